//! Reads asked aside, when a shard's primary leaves them unanswered.
//!
//! Whoever a shard's record names primary or backup holds all that was ever answered under it. So
//! either may answer a read once control has confirmed, after the read came, that the record still
//! stands. Left out is what the last changes touched as long as nobody knows whether they were
//! committed: they might go again. A batch that isn't held is never said not to exist.

use super::hosted::{Aside, BatchAnswer, BatchCaller, Hosted};
use super::{Out, StorageMachine};
use topazyard_replication::{Copy, Uncommitted};
use topazyard_types::{BatchId, DurationMs, MonotonicMs, NodeId, ShardId};
use topazyard_wire::message::batch::{BatchCall, BatchResponse};
use topazyard_wire::message::control::ShardRecord;

/// Reads asked aside that may wait at a shard.
const MOST_ASIDES: usize = 256;
/// How long one waits; its relay asks again.
const WAITS: DurationMs = DurationMs(600);

impl BatchAnswer {
    /// What a read is answered with, if it is one.
    pub(super) fn of_read(call: &BatchCall) -> Option<Self> {
        match call {
            BatchCall::Read(batch) => Some(Self::Standing(*batch, false)),
            BatchCall::ItemResults { batch, after } => Some(Self::Returns(*batch, *after)),
            BatchCall::RoutedResults { batch, after } => Some(Self::Results(*batch, *after)),
            BatchCall::Body { batch, id } => Some(Self::Body(*batch, id.clone())),
            _ => None,
        }
    }

    fn batch(&self) -> Option<BatchId> {
        match self {
            Self::Ready(_) => None,
            Self::Standing(batch, _)
            | Self::Returns(batch, _)
            | Self::Results(batch, _)
            | Self::Body(batch, _) => Some(*batch),
        }
    }

    /// The return, as a copy has it.
    pub(super) fn answered_by(self, copy: &Copy) -> Option<BatchResponse> {
        match self {
            Self::Ready(value) => Some(value),
            Self::Standing(batch, accepted) => {
                let standing = crate::batches::standing(copy, batch);
                standing.map(|standing| match accepted {
                    true => BatchResponse::Accepted(standing),
                    false => BatchResponse::Status(standing),
                })
            }
            Self::Returns(batch, after) => {
                crate::batches::returns(copy, batch, after).map(BatchResponse::ItemResults)
            }
            Self::Results(batch, after) => {
                let found = crate::batches::routed::results(copy, batch, after);
                found.map(|(total, results)| BatchResponse::RoutedResults { total, results })
            }
            Self::Body(batch, id) => {
                crate::batches::routed::body(copy, batch, &id).map(BatchResponse::Body)
            }
        }
    }
}

/// Whether all that this node's copy has of a batch surely stays.
fn is_sure(hosted: &Hosted, record: &ShardRecord, me: NodeId, batch: BatchId) -> bool {
    let replica = &hosted.replica;
    let is_of_batch = |key| crate::batches::rows::is_of(key, batch.number);
    let touched = || replica.copy().last_changed_keys().any(is_of_batch);
    let synced_by_all = || {
        let others_have = hosted.all_have_synced(other_backups(record, me));
        let primary_has = replica.primary_synced_last_batch();
        record.is_complete() && replica.is_synced() && others_have && primary_has
    };
    match (replica.uncommitted(), replica.is_primary()) {
        (Uncommitted::Nothing, _) => true,
        // It is on as many disks as the record bears losses, and one more. That the primary holds it in
        // memory is not enough: it may lose its power while the others lose their disks.
        (Uncommitted::LastBatch, false) if synced_by_all() => true,
        (Uncommitted::LastBatch, _) => !touched(),
        (Uncommitted::UnknownBatch | Uncommitted::All, _) => false,
    }
}

/// The backups of a record besides this node.
fn other_backups(record: &ShardRecord, me: NodeId) -> impl Iterator<Item = NodeId> {
    record.backups.iter().map(|node| node.id).filter(move |id| *id != me)
}

impl StorageMachine {
    pub(super) fn take_aside(
        &mut self,
        shard: ShardId,
        caller: BatchCaller,
        call: &BatchCall,
        now: MonotonicMs,
    ) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        hosted.asides.retain(|aside| now.since(aside.since) < WAITS);
        if let Some(answer) = BatchAnswer::of_read(call)
            && hosted.asides.len() < MOST_ASIDES
        {
            hosted.asides.push(Aside { caller, answer, since: now });
        }
    }

    /// Answers reads that came before the asking that was confirmed last.
    pub(super) fn answer_asides(&mut self, now: MonotonicMs, out: &mut Out) {
        let by_feed = self.follower.confirmed_at();
        let me = self.member.id;
        for (shard, hosted) in &mut self.hosted {
            let Some(record) = self.view.shards.get(shard) else { continue };
            let is_named = record.members().any(|node| node.id == me);
            hosted.asides.retain(|aside| now.since(aside.since) < WAITS);
            if !is_named || record.epoch != hosted.replica.epoch() {
                continue;
            }
            let epoch = record.epoch;
            let Some(confirmed) = hosted.confirmed_at(by_feed) else { continue };
            let waiting = std::mem::take(&mut hosted.asides);
            let (now_sure, waiting) = waiting.into_iter().partition::<Vec<_>, _>(|aside| {
                let sure = |batch| is_sure(hosted, record, me, batch);
                aside.since < confirmed && aside.answer.batch().is_some_and(sure)
            });
            hosted.asides = waiting;
            for aside in now_sure {
                if let Some(value) = aside.answer.answered_by(hosted.replica.copy()) {
                    super::serving::send(*shard, epoch, aside.caller, value, out);
                }
            }
        }
    }
}
