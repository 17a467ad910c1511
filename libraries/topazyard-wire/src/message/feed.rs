//! The numbered feed of control state.

use topazyard_types::{Epoch, LogPosition, ShardId};

/// What a follower and the control primary say.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FeedMessage {
    /// What comes after this place?
    Request {
        /// Marks the return; freshness counts from when it was sent.
        nonce: u64,
        /// The place read so far.
        after: LogPosition,
        /// The part of a snapshot that the asking node lacks next, while it fetches one.
        part: Option<PartRequest>,
        /// How old the last return is that the asking node got, if it got any.
        last_response_age: Option<topazyard_types::DurationMs>,
        /// How the asking node fares.
        health: Health,
    },
    /// All up to `place`, confirmed by the replica after the asking.
    Update {
        /// Of which asking.
        nonce: u64,
        /// The place reached.
        position: LogPosition,
        /// The changes since, or everything.
        content: UpdateContent,
    },
    /// Ask there.
    Redirect {
        /// Of which asking.
        nonce: u64,
        /// The epoch the sender knows.
        epoch: Epoch,
        /// Its primary, as far as the sender knows.
        primary: Option<std::net::SocketAddr>,
    },
}

/// The part of a snapshot that a follower lacks next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PartRequest {
    /// The place of the snapshot.
    pub position: LogPosition,
    /// The part, counted from 0.
    pub part: u32,
}

/// A part of an encoded snapshot.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SnapshotPart {
    /// Which part, counted from 0.
    pub part: u32,
    /// How many there are.
    pub parts: u32,
    /// Its bytes; all parts together are the encoded rows.
    pub bytes: bytes::Bytes,
}

/// What a return of the feed brings.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum UpdateContent {
    /// The changes since the place asked for.
    Changes(Vec<crate::RowChange>),
    /// Everything: the place asked for is too old or unknown.
    Snapshot(Vec<(String, bytes::Bytes)>),
    /// A part of everything, where that is too large for one return. It was confirmed when the
    /// snapshot was made, and says nothing of what was acknowledged since.
    Part(SnapshotPart),
}

/// How the asking node fares.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Health {
    /// An edge node: what waits there and what it holds.
    Edge {
        /// Whether its relay is ready.
        ready: bool,
        /// Prompts that wait.
        waiting: u32,
        /// Prompts refused since the last asking for want of budget.
        refused: u32,
    },
    /// A storage node.
    Storage {
        /// Who and where it is.
        member: crate::message::membership::Member,
        /// How its disk fares.
        disk: crate::disk::DiskState,
        /// How long the oldest write not yet synced has taken.
        write_wait_ms: u64,
        /// Waiting cost of each batch shard that it leads.
        waiting: Vec<(ShardId, u64)>,
        /// Live tokens in flight, if it leads the counter.
        live_tokens: Option<u64>,
    },
}
