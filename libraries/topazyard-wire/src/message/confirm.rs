//! Confirmation of a shard's copy for a read while the control or shard primary is unreachable.
//!
//! A storage node requests the current shard records from the control backups. A control backup
//! responds from its own copy after a quorum read: a majority of the witnesses of its epoch confirm
//! that they have accepted no later epoch. Backups of a shard report to each other what they have
//! synced.

use topazyard_types::{Epoch, Sequence, ShardId};

/// Messages for the confirmation of a copy.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ConfirmMessage {
    /// From a storage node to a control node: requests the current shard records.
    RequestRecords {
        /// Identifies the response.
        nonce: u64,
    },
    /// The response: no later records than these were committed before the request was sent.
    Records {
        /// The nonce of the request.
        nonce: u64,
        /// The epoch of each shard's record.
        epochs: Vec<(ShardId, Epoch)>,
    },
    /// From a control backup to a witness: asks for confirmation that the witness has accepted no
    /// later epoch.
    CheckEpoch {
        /// Identifies the response.
        nonce: u64,
        /// The epoch known to the requesting node.
        epoch: Epoch,
    },
    /// The response, sent only if the witness has accepted no later epoch.
    EpochCurrent {
        /// The nonce of the request.
        nonce: u64,
        /// The epoch in the request.
        epoch: Epoch,
    },
    /// From one backup of a shard to another: asks for confirmation that the other has synced its
    /// copy up to a change batch.
    CheckSynced {
        /// The shard.
        shard: ShardId,
        /// The epoch in which both are backups.
        epoch: Epoch,
        /// The sequence number of the change batch.
        sequence: Sequence,
    },
    /// The response, sent only if it has.
    Synced {
        /// The shard.
        shard: ShardId,
        /// The epoch in which both are backups.
        epoch: Epoch,
        /// The sequence number of the last synced change batch.
        sequence: Sequence,
    },
}
