//! Reports on how a primary fills the copies of its followers.

use topazyard_types::{DurationMs, NodeId};

/// An event of filling a follower's copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum RefillEvent {
    /// started with {bytes} bytes
    Started {
        /// The bytes to send.
        bytes: u64,
    },
    /// stalled with {bytes_left} bytes left
    Stalled {
        /// The bytes that are not acknowledged.
        bytes_left: u64,
    },
    /// completed with {bytes} bytes
    Completed {
        /// The bytes that were acknowledged.
        bytes: u64,
        /// The time since the start.
        took: DurationMs,
    },
}

/// How far a follower's copy is filled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefillProgress {
    /// The follower.
    pub follower: NodeId,
    /// The bytes of requested ranges that it has not acknowledged.
    pub bytes_left: u64,
}
