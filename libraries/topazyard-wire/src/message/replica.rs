//! A primary, its backups and its learners.

use topazyard_types::{Digest, Epoch, Sequence};

/// A message of one group's replica, under its epoch.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReplicaMessage {
    /// Which group.
    pub group: crate::Group,
    /// The epoch; a lower one is refused.
    pub epoch: Epoch,
    /// What is said.
    pub body: ReplicaBody,
}

/// What a node is to the primary that it is compared with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FollowerRole {
    /// A backup that the record of the epoch names: what it confirms may be answered.
    Backup,
    /// A learner: nothing is answered on its word, and the epoch may not be decided yet.
    Learner,
}

/// Which part of something that is sent in several frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Part {
    /// Counted from 0.
    pub number: u32,
    /// How many there are.
    pub of: u32,
}

/// A range's rows, or some of them where the range is large.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RangePart {
    /// Of which comparison.
    pub round: u64,
    /// The range.
    pub range: u16,
    /// Which part of it.
    pub part: Part,
    /// The part's rows.
    pub rows: Vec<(String, bytes::Bytes)>,
}

impl ReplicaBody {
    /// Whether only a backup may be told this: one that knows the record that names it.
    pub fn is_for_backups(&self) -> bool {
        matches!(
            self,
            Self::Append { .. }
                | Self::Synced { .. }
                | Self::Digests { of: FollowerRole::Backup, .. }
        )
    }
}

/// What a replica says.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ReplicaBody {
    /// Take these changes; no changes ask only for a confirmation.
    Append {
        /// Marks the confirmation.
        round: u64,
        /// The sequence after the changes.
        sequence: Sequence,
        /// The changes.
        changes: Vec<crate::RowChange>,
    },
    /// Taken and synced.
    Appended {
        /// Which round.
        round: u64,
    },
    /// I can't follow: compare us.
    OutOfSync,
    /// Compare with these digests, one a range.
    Digests {
        /// Marks the returns.
        round: u64,
        /// The primary's sequence.
        sequence: Sequence,
        /// A digest of each range.
        digests: Vec<Digest>,
        /// What the other node is to the sender in this epoch.
        of: FollowerRole,
    },
    /// These ranges differ.
    Differ {
        /// Of which comparison.
        round: u64,
        /// The ranges.
        ranges: Vec<u16>,
    },
    /// What a range holds, or a part of it.
    Range(RangePart),
    /// No range differs, and all is synced.
    InSync {
        /// Of which comparison.
        round: u64,
        /// The sequence held.
        sequence: Sequence,
    },
    /// The primary's own disk has synced that round's batch; its backups may still be at it.
    Synced {
        /// Which round.
        round: u64,
    },
    /// I hold no copy of this group.
    NotHeld,
}
