//! Operators, who order and read, and readers, who follow the feed.

use super::order::Order;
use std::sync::Arc;
use topazyard_replication::FeedFollower;
use topazyard_types::ConfigurationVersion;

/// What an operator asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// To take an order.
    Order(usize),
    /// What is in force.
    Read,
}

/// A call of an operator.
#[derive(Debug, Clone, Copy)]
pub struct OperatorCall {
    /// Whose.
    pub operator: usize,
    /// What.
    pub kind: CallKind,
    /// The newest version acknowledged when it began.
    pub acknowledged_before: ConfigurationVersion,
    /// When it reached the node, among all events.
    pub arrived_at_event: Option<u64>,
}

/// An operator.
#[derive(Debug, Clone, Default)]
pub struct Operator {
    /// The newest version that it knows to be in force.
    pub known_version: ConfigurationVersion,
    /// The order that it has no clear answer to.
    pub open_order: Option<Arc<Order>>,
}

/// A follower of the feed, in one life.
#[derive(Debug, Clone)]
pub struct Reader {
    /// Where it takes frames.
    pub address: std::net::SocketAddr,
    /// What it follows with.
    pub follower: FeedFollower,
    /// The newest version acknowledged at each moment at which it asked: an asking that was given up
    /// may still be answered, and then confirms what it was asked for.
    pub acknowledged_before:
        std::collections::BTreeMap<topazyard_types::MonotonicMs, ConfigurationVersion>,
    /// When its last asking reached each node, among all events.
    pub request_arrivals: std::collections::BTreeMap<usize, u64>,
}

impl Reader {
    /// A reader that asks these.
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
