//! Operators, which order and read configurations, and readers, which follow the feed.

use super::order::Order;
use std::sync::Arc;
use topazyard_replication::FeedFollower;
use topazyard_types::ConfigurationVersion;

/// The kind of an operator's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Applies the order of this number.
    Order(usize),
    /// Reads the configuration in force.
    Read,
}

/// A call of an operator.
#[derive(Debug, Clone, Copy)]
pub struct OperatorCall {
    /// The operator.
    pub operator: usize,
    /// The kind of call.
    pub kind: CallKind,
    /// The newest version that was acknowledged when the call was sent.
    pub acknowledged_before: ConfigurationVersion,
    /// Number of the event in which it reached the node.
    pub arrived_at_event: Option<u64>,
}

/// An operator.
#[derive(Debug, Clone, Default)]
pub struct Operator {
    /// The newest version it knows to be in force.
    pub known_version: ConfigurationVersion,
    /// The order whose outcome it does not know yet.
    pub open_order: Option<Arc<Order>>,
}

/// A reader: a follower of the feed that never restarts.
#[derive(Debug, Clone)]
pub struct Reader {
    /// The address at which it receives frames.
    pub address: std::net::SocketAddr,
    /// The follower.
    pub follower: FeedFollower,
    /// The newest acknowledged version by the time of each request. An abandoned request may still
    /// get a response, which then confirms the state as of that request.
    pub acknowledged_before:
        std::collections::BTreeMap<topazyard_types::MonotonicMs, ConfigurationVersion>,
    /// Number of the event in which its last request reached each node.
    pub request_arrivals: std::collections::BTreeMap<usize, u64>,
}

impl Reader {
    /// A reader that requests updates from these sources.
    pub fn new(number: usize, sources: Vec<std::net::SocketAddr>) -> Self {
        let address = ([127, 0, 0, 1], 3_000 + number as u16).into();
        let boot_id = topazyard_types::BootId((number as u64 + 1) << 40);
        let follower = FeedFollower::new(sources, boot_id);
        Self {
            address,
            follower,
            acknowledged_before: Default::default(),
            request_arrivals: Default::default(),
        }
    }
}
