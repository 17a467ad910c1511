//! Reads answered by a replica, sent when a shard's primary does not respond.
//!
//! The primary and the backups named in a shard's record hold everything that was ever acknowledged
//! under it. So any of them may answer a read once control has confirmed, after the read arrived,
//! that the record is still current. Batches touched by the last changes are left out as long as it
//! is uncertain whether these were committed, because they might be rolled back. A batch that is
//! missing here is never reported as unknown.

use super::hosted::{BatchCaller, Hosted, PendingResponse, ReplicaRead};
use super::{Effects, StorageMachine};
use topazyard_replication::{Copy, Uncommitted};
use topazyard_types::{BatchId, DurationMs, MonotonicMs, NodeId, ShardId};
use topazyard_wire::message::batch::{BatchCall, BatchResponse};
use topazyard_wire::message::control::ShardRecord;

/// Maximum number of replica reads that may wait at a shard.
const MAX_REPLICA_READS: usize = 256;
/// How long a replica read waits; its relay sends it again.
const REPLICA_READ_TIMEOUT: DurationMs = DurationMs(600);

impl PendingResponse {
    /// The response to a call, if the call is a read.
    pub(super) fn for_read(call: &BatchCall) -> Option<Self> {
        match call {
            BatchCall::Read(batch) => Some(Self::Status(*batch, false)),
            BatchCall::ItemResults { batch, after } => Some(Self::Results(*batch, *after)),
            BatchCall::RoutedResults { batch, after } => Some(Self::RoutedResults(*batch, *after)),
            BatchCall::Body { batch, id } => Some(Self::Body(*batch, id.clone())),
            _ => None,
        }
    }

    fn batch(&self) -> Option<BatchId> {
        match self {
            Self::Ready(_) => None,
            Self::Status(batch, _)
            | Self::Results(batch, _)
            | Self::RoutedResults(batch, _)
            | Self::Body(batch, _) => Some(*batch),
        }
    }

    /// The response according to a copy.
    pub(super) fn resolve(self, copy: &Copy) -> Option<BatchResponse> {
        match self {
            Self::Ready(value) => Some(value),
            Self::Status(batch, accepted) => {
                let status = crate::batches::status(copy, batch);
                status.map(|status| match accepted {
                    true => BatchResponse::Accepted(status),
                    false => BatchResponse::Status(status),
                })
            }
            Self::Results(batch, after) => {
                crate::batches::results(copy, batch, after).map(BatchResponse::ItemResults)
            }
            Self::RoutedResults(batch, after) => {
                let found = crate::batches::routed::results(copy, batch, after);
                found.map(|(total, results)| BatchResponse::RoutedResults { total, results })
            }
            Self::Body(batch, id) => {
                crate::batches::routed::body(copy, batch, &id).map(BatchResponse::Body)
            }
        }
    }
}

/// Whether everything that this node's copy has of a batch is certainly committed.
fn is_known_committed(hosted: &Hosted, record: &ShardRecord, me: NodeId, batch: BatchId) -> bool {
    let replica = &hosted.replica;
    let is_of_batch = |key| crate::batches::rows::belongs_to_batch(key, batch.number);
    let in_last_batch = || replica.copy().last_changed_keys().any(is_of_batch);
    let synced_by_all = || {
        let others_have = hosted.all_have_synced(other_backups(record, me));
        let primary_has = replica.primary_synced_last_batch();
        record.is_complete() && replica.is_synced() && others_have && primary_has
    };
    match (replica.uncommitted(), replica.is_primary()) {
        (Uncommitted::Nothing, _) => true,
        // It is on one disk more than the number of losses that the record tolerates. The primary's
        // memory alone is not enough: it may lose power while the others lose their disks.
        (Uncommitted::LastBatch, false) if synced_by_all() => true,
        (Uncommitted::LastBatch, _) => !in_last_batch(),
        (Uncommitted::UnknownBatch | Uncommitted::All, _) => false,
    }
}

/// The backups of a record besides this node.
fn other_backups(record: &ShardRecord, me: NodeId) -> impl Iterator<Item = NodeId> {
    record.backups.iter().map(|node| node.id).filter(move |id| *id != me)
}

impl StorageMachine {
    pub(super) fn queue_replica_read(
        &mut self,
        shard: ShardId,
        caller: BatchCaller,
        call: &BatchCall,
        now: MonotonicMs,
    ) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        hosted.replica_reads.retain(|read| now.since(read.received_at) < REPLICA_READ_TIMEOUT);
        if let Some(response) = PendingResponse::for_read(call)
            && hosted.replica_reads.len() < MAX_REPLICA_READS
        {
            hosted.replica_reads.push(ReplicaRead { caller, response, received_at: now });
        }
    }

    /// Answers the reads that arrived before the last confirmed request was sent.
    pub(super) fn answer_replica_reads(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let by_feed = self.follower.confirmed_at();
        let me = self.member.id;
        for (shard, hosted) in &mut self.hosted {
            let Some(record) = self.fleet.shards.get(shard) else { continue };
            let is_named = record.members().any(|node| node.id == me);
            hosted.replica_reads.retain(|read| now.since(read.received_at) < REPLICA_READ_TIMEOUT);
            if !is_named || record.epoch != hosted.replica.epoch() {
                continue;
            }
            let epoch = record.epoch;
            let Some(confirmed) = hosted.confirmed_at(by_feed) else { continue };
            let waiting = std::mem::take(&mut hosted.replica_reads);
            let (answerable, waiting) = waiting.into_iter().partition::<Vec<_>, _>(|read| {
                let is_committed = |batch| is_known_committed(hosted, record, me, batch);
                read.received_at < confirmed && read.response.batch().is_some_and(is_committed)
            });
            hosted.replica_reads = waiting;
            for read in answerable {
                if let Some(value) = read.response.resolve(hosted.replica.copy()) {
                    super::serving::send(*shard, epoch, read.caller, value, effects);
                }
            }
        }
    }
}
