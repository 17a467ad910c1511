//! The feed of the control state to followers.

use topazyard_types::{Epoch, LogPosition, ShardId};

/// Messages between a follower and the control primary.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FeedMessage {
    /// Requests the changes after a position.
    Request {
        /// Identifies the response. Its freshness counts from when the request was sent.
        nonce: u64,
        /// The position reached so far.
        after: LogPosition,
        /// The next part of a snapshot, while the follower fetches one.
        part: Option<PartRequest>,
        /// The age of the last response that the follower received, if any.
        last_response_age: Option<topazyard_types::DurationMs>,
        /// The state of the follower.
        health: Health,
    },
    /// All changes up to `position`, confirmed by the control group after the request was sent.
    Update {
        /// The nonce of the request.
        nonce: u64,
        /// The position reached.
        position: LogPosition,
        /// The changes, or a complete snapshot.
        content: UpdateContent,
    },
    /// Refers the follower to the primary.
    Redirect {
        /// The nonce of the request.
        nonce: u64,
        /// The epoch known to the sender.
        epoch: Epoch,
        /// The address of the primary, if the sender knows it.
        primary: Option<std::net::SocketAddr>,
    },
}

/// The part of a snapshot that a follower requests next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PartRequest {
    /// The position of the snapshot.
    pub position: LogPosition,
    /// The number of the part, counted from 0.
    pub part: u32,
}

/// A part of an encoded snapshot.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SnapshotPart {
    /// The number of the part, counted from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
    /// The bytes. All parts together are the encoded rows.
    pub bytes: bytes::Bytes,
}

/// The content of an update.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum UpdateContent {
    /// The changes after the requested position.
    Changes(Vec<crate::RowChange>),
    /// All rows, because the requested position is too old or unknown.
    Snapshot(Vec<(String, bytes::Bytes)>),
    /// A part of a snapshot that is too large for one response. It was confirmed when the snapshot
    /// was taken, and doesn't cover changes acknowledged since.
    Part(SnapshotPart),
}

/// The state of a follower's node.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Health {
    /// An edge node.
    Edge {
        /// Whether its relay is ready.
        ready: bool,
        /// The number of waiting prompts.
        waiting: u32,
        /// The number of prompts rejected for lack of budget since the last request.
        refused: u32,
    },
    /// A storage node.
    Storage {
        /// Its id, address and zone.
        member: crate::message::membership::Member,
        /// The state of its disk.
        disk: crate::disk::DiskState,
        /// The time that the oldest unsynced write has waited.
        write_wait_ms: u64,
        /// The waiting cost of each batch shard of which it is the primary.
        waiting: Vec<(ShardId, u64)>,
        /// The live tokens in flight, if it is the primary of the counter.
        live_tokens: Option<u64>,
    },
}
