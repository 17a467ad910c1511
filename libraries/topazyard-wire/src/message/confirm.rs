//! How a copy of a shard is confirmed for a read while the primaries that would do it are silent.
//!
//! A storage node asks the control backups which shard records stand. A control backup answers from
//! its own copy after a quorum read: a majority of the witnesses of its epoch say that they have
//! accepted no later one. Backups of a shard tell each other what they have synced.

use topazyard_types::{Epoch, Sequence, ShardId};

/// What is asked and said to confirm a copy.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ConfirmMessage {
    /// From a storage node to a control node: which shard records stand?
    RequestRecords {
        /// Marks the answer.
        nonce: u64,
    },
    /// The answer: no record later than these was committed before the question was sent.
    Records {
        /// Of which question.
        nonce: u64,
        /// The epoch of each shard's record.
        epochs: Vec<(ShardId, Epoch)>,
    },
    /// From a control backup to a witness: have you accepted no epoch after this one?
    CheckEpoch {
        /// Marks the answer.
        nonce: u64,
        /// The epoch that the asking node knows.
        epoch: Epoch,
    },
    /// The answer, given only where the witness has accepted none.
    EpochCurrent {
        /// Of which question.
        nonce: u64,
        /// The epoch asked about.
        epoch: Epoch,
    },
    /// From one backup of a shard to another: have you synced the shard's copy up to there?
    CheckSynced {
        /// The shard.
        shard: ShardId,
        /// The epoch in which both follow.
        epoch: Epoch,
        /// The batch asked about.
        sequence: Sequence,
    },
    /// The answer, given only where it has.
    Synced {
        /// The shard.
        shard: ShardId,
        /// The epoch in which both follow.
        epoch: Epoch,
        /// The last batch synced.
        sequence: Sequence,
    },
}
