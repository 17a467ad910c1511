//! A primary, its backups and its learners.

use topazyard_types::{Digest, Epoch, Sequence};

/// A message of one group's pair, under its epoch.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PairMessage {
    /// Which group.
    pub group: crate::Group,
    /// The epoch; a lower one is refused.
    pub epoch: Epoch,
    /// What is said.
    pub body: PairBody,
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

/// What a pair says.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PairBody {
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
    OutOfStep,
    /// Compare with these digests, one a range.
    Digests {
        /// Marks the returns.
        round: u64,
        /// The primary's sequence.
        sequence: Sequence,
        /// A digest of each range.
        digests: Vec<Digest>,
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
    InStep {
        /// Of which comparison.
        round: u64,
        /// The sequence held.
        sequence: Sequence,
    },
}
