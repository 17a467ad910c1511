//! The calls of a parcel shard's primary, and answers once tickets are committed.

use super::hosted::{ParcelAnswer, ParcelCaller, Submission, Waiting, Work};
use super::{Out, StorageMachine};
use crate::parcels::batches::Taken;
use topazyard_replication::Ticket;
use topazyard_types::{Epoch, MonotonicMs, NodeId, ShardId};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::parcel::{ParcelBody, ParcelCall, ParcelMessage, ParcelReturn};

/// Refused submissions of batches that a shard remembers.
const REFUSED: usize = 256;
/// Submissions that may wait for room below the ceiling.
const SUBMISSIONS: usize = 256;

impl StorageMachine {
    pub(super) fn receive_parcel(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: ParcelMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let (shard, caller) = (message.shard, ParcelCaller { to: from, call: message.call });
        let call = match message.body {
            ParcelBody::Call(call) => call,
            ParcelBody::Aside(call) => return self.take_aside(shard, caller, &call, now),
            ParcelBody::Return(_) => return,
        };
        let epoch = self.hosted.get(&shard).map_or(message.epoch, |hosted| hosted.replica.epoch());
        let is_full = self.disk.is_full();
        let served = match self.hosted.get_mut(&shard) {
            Some(hosted) if hosted.is_serving_in(message.epoch) && !is_full => {
                Self::work(hosted, sender, caller, call, self.room_bytes, now)
            }
            _ => false,
        };
        if served {
            self.report_waiting(shard, now, out);
        } else {
            send(shard, epoch, caller, ParcelReturn::NotHere, out);
        }
    }

    /// Works on a call; gives false where it can't.
    fn work(
        hosted: &mut super::Hosted,
        relay: NodeId,
        caller: ParcelCaller,
        call: ParcelCall,
        room_bytes: u64,
        now: MonotonicMs,
    ) -> bool {
        let Work::Parcels(parcels) = &mut hosted.work else { return false };
        let (changes, answer) = match call {
            ParcelCall::Submit { parcel, items, ceiling } if !parcels.contains(parcel) => {
                let queue = &mut hosted.raising.queue;
                if queue.len() >= SUBMISSIONS {
                    return false;
                }
                // Sent again while it waits: the later call gets the return.
                match queue.iter_mut().find(|waiting| waiting.parcel == parcel) {
                    Some(waiting) => {
                        (waiting.caller, waiting.ceiling, waiting.heard) = (caller, ceiling, now);
                    }
                    None => {
                        let (since, heard) = (now, now);
                        let new = Submission { caller, parcel, items, ceiling, since, heard };
                        queue.push_back(new);
                    }
                }
                return true;
            }
            ParcelCall::Submit { parcel, .. } => (Vec::new(), ParcelAnswer::Standing(parcel, true)),
            ParcelCall::SubmitBatch(batch) => {
                let me = (relay, caller.call);
                let taken = match hosted.refused.contains(&me) {
                    true => Taken::CeilingReached,
                    false => parcels.batches.submit(&batch, room_bytes, now),
                };
                match taken {
                    Taken::Accepted(changes) => {
                        (changes, ParcelAnswer::Standing(batch.parcel, true))
                    }
                    Taken::CeilingReached | Taken::NoRoom => {
                        if hosted.refused.len() >= REFUSED {
                            hosted.refused.pop_front();
                        }
                        hosted.refused.push_back(me);
                        (Vec::new(), ParcelAnswer::Ready(ParcelReturn::CeilingReached))
                    }
                }
            }
            ParcelCall::Read(_)
            | ParcelCall::Returns { .. }
            | ParcelCall::Results { .. }
            | ParcelCall::Body { .. } => match ParcelAnswer::of_read(&call) {
                Some(answer) => (Vec::new(), answer),
                None => return false,
            },
            ParcelCall::Recall(parcel, item) => {
                let (answer, changes) = parcels.recall(parcel, item, now);
                (changes, ParcelAnswer::Ready(answer))
            }
            ParcelCall::End(parcel) => match parcels.end_either(parcel, now) {
                Some(changes) => (changes, ParcelAnswer::Standing(parcel, false)),
                None => (Vec::new(), ParcelAnswer::Ready(ParcelReturn::Unknown)),
            },
            ParcelCall::Lease { most, models, routes } => {
                let copy = hosted.replica.copy();
                let mut leased = parcels.batches.lease(relay, most, &routes, copy, now);
                let left = most - leased.len() as u32;
                leased.extend(parcels.lease(relay, left, &models, copy, now));
                (Vec::new(), ParcelAnswer::Ready(ParcelReturn::Leased(leased)))
            }
            ParcelCall::Start(run) => {
                let (may_start, changes) = parcels.start(relay, run, now);
                (changes, ParcelAnswer::Ready(ParcelReturn::MayStart(may_start)))
            }
            ParcelCall::Finish(run, end) => {
                let changes = match parcels.batches.contains(run.parcel) {
                    true => parcels.batches.finish(relay, run, end, now),
                    false => parcels.finish(relay, run, end, now),
                };
                (changes, ParcelAnswer::Ready(ParcelReturn::Noted))
            }
            ParcelCall::Running(runs) => {
                parcels.running(&runs, now);
                parcels.batches.running(relay, &runs, now);
                (Vec::new(), ParcelAnswer::Ready(ParcelReturn::Noted))
            }
        };
        hosted.submit(changes, Waiting::Parcel(caller, answer));
        true
    }

    /// Accepts a submission for which there is room, or refuses it.
    pub(super) fn settle_submission(
        &mut self,
        shard: ShardId,
        submission: &Submission,
        granted: bool,
        out: &mut Out,
    ) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        let Work::Parcels(parcels) = &mut hosted.work else { return };
        let (parcel, caller) = (submission.parcel, submission.caller);
        if !granted && !parcels.contains(parcel) {
            let epoch = hosted.replica.epoch();
            send(shard, epoch, caller, ParcelReturn::CeilingReached, out);
            return;
        }
        let changes = if parcels.contains(parcel) {
            Vec::new()
        } else {
            parcels.submit(parcel, &submission.items)
        };
        hosted.submit(changes, Waiting::Parcel(caller, ParcelAnswer::Standing(parcel, true)));
    }

    /// Answers one whose ticket is committed; the copy holds just what is committed.
    pub(super) fn settle(&mut self, shard: ShardId, ticket: Ticket, out: &mut Out) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        let Some(waiting) = hosted.waiting.remove(&ticket) else { return };
        let epoch = hosted.replica.epoch();
        match waiting {
            Waiting::Nobody => {}
            Waiting::Counter(to, body) => super::counting::send(to, epoch, body, out),
            Waiting::Parcel(caller, answer) => {
                let value = answer.answered_by(hosted.replica.copy());
                if matches!(value, Some(ParcelReturn::Accepted(_))) {
                    self.batches_acknowledged += 1;
                }
                send(shard, epoch, caller, value.unwrap_or(ParcelReturn::Unknown), out);
            }
        }
    }

    /// What time alone changes in a shard.
    pub(super) fn sweep(&mut self, shard: ShardId, now: MonotonicMs, out: &mut Out) {
        self.drop_late_submissions(shard, now, out);
        self.report_waiting(shard, now, out);
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        // Nothing piles up behind a write that finds no room; the counter needs none.
        let waits_for_room = self.disk.is_full() && !shard.is_counter();
        if !hosted.replica.is_serving() || waits_for_room {
            return;
        }
        let changes = match &mut hosted.work {
            Work::None => Vec::new(),
            Work::Counter(counter) => counter.tick(now),
            Work::Parcels(parcels) => {
                let limits = self.view.spec.as_ref().map(|(_, bundle)| &bundle.parcels);
                let keep_s = limits.map(|limits| u64::from(limits.keep_finished_s));
                let mut changes = parcels.tick(now);
                changes.extend(parcels.batches.tick(now));
                changes.extend(parcels.batches.let_go(self.bounds.keep_batches, now));
                if let Some(keep_s) = keep_s {
                    let keep = topazyard_types::DurationMs(keep_s * 1_000);
                    changes.extend(parcels.let_go(keep, now));
                }
                changes
            }
        };
        if !changes.is_empty() {
            hosted.submit(changes, Waiting::Nobody);
        }
    }

    /// Begins the next batch of every shard.
    pub(super) fn proceed(&mut self, now: MonotonicMs, out: &mut Out) {
        let shards: Vec<ShardId> = self.hosted.keys().copied().collect();
        for shard in shards {
            if let Some(hosted) = self.hosted.get_mut(&shard) {
                let outputs = hosted.replica.proceed(now);
                self.take_replica(shard, outputs, now, out);
            }
        }
    }
}

pub(super) fn send(
    shard: ShardId,
    epoch: Epoch,
    caller: ParcelCaller,
    value: ParcelReturn,
    out: &mut Out,
) {
    let body = ParcelBody::Return(value);
    let message = Message::Parcel(ParcelMessage { shard, epoch, call: caller.call, body });
    out.push(Effect::Send { to: caller.to, message });
}
