//! Replication between a primary, its backups and its learners.

use topazyard_types::{Digest, Epoch, Sequence};

/// A message between the replicas of a group.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReplicaMessage {
    /// The group.
    pub group: crate::Group,
    /// The epoch of the group. Messages of a lower epoch are rejected.
    pub epoch: Epoch,
    /// The content of the message.
    pub body: ReplicaBody,
}

/// The role of a node relative to the primary that compares it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FollowerRole {
    /// A backup in the record of the epoch. What it confirms may be acknowledged.
    Backup,
    /// A learner. Its confirmation acknowledges nothing, and the epoch may not be decided yet.
    Learner,
}

/// The part of something that is sent in several frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Part {
    /// The number of the part, counted from 0.
    pub number: u32,
    /// The number of parts.
    pub of: u32,
}

/// A range that differs from the primary's.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DifferingRange {
    /// The range.
    pub range: u16,
    /// The digests of the rows that the follower has in it; `None` if it wants the whole range.
    pub known: Option<Vec<Digest>>,
}

/// The rows of a range, or a part of them if the range is large.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RangePart {
    /// The round of the comparison in which the range was requested. Parts of one range belong
    /// together only if they have the same.
    pub round: u64,
    /// The range.
    pub range: u16,
    /// The part of the range.
    pub part: Part,
    /// The rows of the part.
    pub rows: Vec<(String, bytes::Bytes)>,
    /// `None` if the parts are the whole range. Otherwise the rows are those that the follower did
    /// not report as known, and these are the digests of known ones that the range doesn't have.
    pub stale: Option<Vec<Digest>>,
}

impl ReplicaBody {
    /// Whether this may only be sent to a backup that knows the record in which it is named.
    pub fn is_for_backups(&self) -> bool {
        matches!(
            self,
            Self::Append { .. }
                | Self::Synced { .. }
                | Self::CheckAppended { .. }
                | Self::Digests { of: FollowerRole::Backup, .. }
        )
    }
}

/// The content of a message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ReplicaBody {
    /// Appends changes. Without changes it only requests a confirmation.
    Append {
        /// Identifies the confirmation.
        round: u64,
        /// The sequence number after the changes.
        sequence: Sequence,
        /// The changes.
        changes: Vec<crate::RowChange>,
    },
    /// The changes were appended and synced.
    Appended {
        /// The round of the append.
        round: u64,
    },
    /// The sender can't append the changes and requests a comparison.
    OutOfSync,
    /// Starts a comparison with the digests of all ranges.
    Digests {
        /// Identifies the responses.
        round: u64,
        /// The sequence number of the primary.
        sequence: Sequence,
        /// The digest of each range.
        digests: Vec<Digest>,
        /// The role of the receiver in this epoch.
        of: FollowerRole,
    },
    /// Reports the ranges that differ.
    Differ {
        /// The round of the comparison.
        round: u64,
        /// The ranges.
        ranges: Vec<DifferingRange>,
    },
    /// The rows of a range, or a part of them.
    Range(RangePart),
    /// No range differs, and everything is synced.
    InSync {
        /// The round of the comparison.
        round: u64,
        /// The sequence number of the copy.
        sequence: Sequence,
    },
    /// The primary's own disk has synced the change batch of a round. Its backups may not have
    /// synced it yet.
    Synced {
        /// The round of the append.
        round: u64,
    },
    /// The sender has no copy of this group.
    NotHeld,
    /// Asks whether an append arrived that has not been confirmed.
    CheckAppended {
        /// The round of the append.
        round: u64,
    },
    /// An append did not arrive. Frames arrive in order, so it is lost.
    AppendMissing {
        /// The round of the append.
        round: u64,
    },
    /// A part of a range arrived.
    RangeReceived {
        /// The range.
        range: u16,
        /// The number of the part.
        part: u32,
    },
}
