//! Reads asked aside, when a shard's primary leaves them unanswered.
//!
//! Whoever a shard's record names primary or backup holds all that was ever answered under it. So
//! either may answer a read once control has confirmed, after the read came, that the record still
//! stands. Left out is what the last batch touched as long as nobody knows whether it was
//! committed: it might go again. A parcel that isn't held is never said not to exist.

use super::hosted::{Aside, Hosted, ParcelAnswer, ParcelCaller};
use super::{Out, StorageMachine};
use topazyard_replication::{Copy, Doubt};
use topazyard_types::{DurationMs, MonotonicMs, NodeId, ParcelId, ShardId};
use topazyard_wire::message::control::ShardRecord;
use topazyard_wire::message::parcel::{ParcelCall, ParcelReturn};

/// Reads asked aside that may wait at a shard.
const MOST_ASIDES: usize = 256;
/// How long one waits; its relay asks again.
const WAITS: DurationMs = DurationMs(600);

impl ParcelAnswer {
    /// What a read is answered with, if it is one.
    pub(super) fn of_read(call: &ParcelCall) -> Option<Self> {
        match call {
            ParcelCall::Read(parcel) => Some(Self::Standing(*parcel, false)),
            ParcelCall::Returns { parcel, after } => Some(Self::Returns(*parcel, *after)),
            ParcelCall::Results { parcel, after } => Some(Self::Results(*parcel, *after)),
            ParcelCall::Body { parcel, id } => Some(Self::Body(*parcel, id.clone())),
            _ => None,
        }
    }

    fn parcel(&self) -> Option<ParcelId> {
        match self {
            Self::Ready(_) => None,
            Self::Standing(parcel, _)
            | Self::Returns(parcel, _)
            | Self::Results(parcel, _)
            | Self::Body(parcel, _) => Some(*parcel),
        }
    }

    /// The return, as a copy has it.
    pub(super) fn answered_by(self, copy: &Copy) -> Option<ParcelReturn> {
        match self {
            Self::Ready(value) => Some(value),
            Self::Standing(parcel, accepted) => {
                let standing = crate::parcels::standing(copy, parcel);
                standing.map(|standing| match accepted {
                    true => ParcelReturn::Accepted(standing),
                    false => ParcelReturn::Standing(standing),
                })
            }
            Self::Returns(parcel, after) => {
                crate::parcels::returns(copy, parcel, after).map(ParcelReturn::Returns)
            }
            Self::Results(parcel, after) => {
                let found = crate::parcels::batches::results(copy, parcel, after);
                found.map(|(total, results)| ParcelReturn::Results { total, results })
            }
            Self::Body(parcel, id) => {
                crate::parcels::batches::body(copy, parcel, &id).map(ParcelReturn::Body)
            }
        }
    }
}

/// Whether all that this node's copy has of a parcel surely stays.
fn is_sure(hosted: &Hosted, record: &ShardRecord, me: NodeId, parcel: ParcelId) -> bool {
    let replica = &hosted.replica;
    let is_of_parcel = |key| crate::parcels::rows::is_of(key, parcel.number);
    let touched = || replica.copy().last_changed().any(is_of_parcel);
    let synced_by_all = || {
        let others_have = hosted.all_have_synced(other_backups(record, me));
        let primary_has = replica.is_last_synced_by_primary();
        record.is_complete() && replica.is_synced() && others_have && primary_has
    };
    match (replica.doubt(), replica.is_primary()) {
        (Doubt::Nothing, _) => true,
        // It is on as many disks as the record bears losses, and one more. That the primary holds it in
        // memory is not enough: it may lose its power while the others lose their disks.
        (Doubt::LastBatch, false) if synced_by_all() => true,
        (Doubt::LastBatch, _) => !touched(),
        (Doubt::SomeBatch | Doubt::All, _) => false,
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
        caller: ParcelCaller,
        call: &ParcelCall,
        now: MonotonicMs,
    ) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        hosted.asides.retain(|aside| now.since(aside.since) < WAITS);
        if let Some(answer) = ParcelAnswer::of_read(call)
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
                let sure = |parcel| is_sure(hosted, record, me, parcel);
                aside.since < confirmed && aside.answer.parcel().is_some_and(sure)
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
