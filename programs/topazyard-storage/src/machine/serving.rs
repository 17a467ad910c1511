//! The calls of a batch shard's primary, and answers once tickets are committed.

use super::hosted::{BatchAnswer, BatchCaller, Submission, Waiting, Work};
use super::{Out, StorageMachine};
use crate::batches::routed::Taken;
use topazyard_replication::WriteTicket;
use topazyard_types::{Epoch, MonotonicMs, NodeId, ShardId};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::batch::{BatchBody, BatchCall, BatchMessage, BatchResponse};

/// Refused submissions of batches that a shard remembers.
const REFUSED: usize = 256;
/// Submissions that may wait for room below the ceiling.
const SUBMISSIONS: usize = 256;

impl StorageMachine {
    pub(super) fn receive_batch(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: BatchMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let (shard, caller) = (message.shard, BatchCaller { to: from, call: message.call });
        let call = match message.body {
            BatchBody::Call(call) => call,
            BatchBody::ReplicaRead(call) => return self.take_aside(shard, caller, &call, now),
            BatchBody::Response(_) => return,
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
            send(shard, epoch, caller, BatchResponse::NotPrimary, out);
        }
    }

    /// Works on a call; gives false where it can't.
    fn work(
        hosted: &mut super::Hosted,
        relay: NodeId,
        caller: BatchCaller,
        call: BatchCall,
        room_bytes: u64,
        now: MonotonicMs,
    ) -> bool {
        let Work::Batches(batches) = &mut hosted.work else { return false };
        let (changes, answer) = match call {
            BatchCall::Submit { batch, items, ceiling } if !batches.contains(batch) => {
                let queue = &mut hosted.raising.queue;
                if queue.len() >= SUBMISSIONS {
                    return false;
                }
                // Sent again while it waits: the later call gets the return.
                match queue.iter_mut().find(|waiting| waiting.batch == batch) {
                    Some(waiting) => {
                        (waiting.caller, waiting.ceiling, waiting.heard) = (caller, ceiling, now);
                    }
                    None => {
                        let (since, heard) = (now, now);
                        let new = Submission { caller, batch, items, ceiling, since, heard };
                        queue.push_back(new);
                    }
                }
                return true;
            }
            BatchCall::Submit { batch, .. } => (Vec::new(), BatchAnswer::Standing(batch, true)),
            BatchCall::SubmitRouted(routed) => {
                let me = (relay, caller.call);
                let taken = match hosted.refused.contains(&me) {
                    true => Taken::CeilingReached,
                    false => batches.routed.submit(&routed, room_bytes, now),
                };
                match taken {
                    Taken::Accepted(changes) => {
                        (changes, BatchAnswer::Standing(routed.batch, true))
                    }
                    Taken::CeilingReached | Taken::NoRoom => {
                        if hosted.refused.len() >= REFUSED {
                            hosted.refused.pop_front();
                        }
                        hosted.refused.push_back(me);
                        (Vec::new(), BatchAnswer::Ready(BatchResponse::CeilingReached))
                    }
                }
            }
            BatchCall::Read(_)
            | BatchCall::ItemResults { .. }
            | BatchCall::RoutedResults { .. }
            | BatchCall::Body { .. } => match BatchAnswer::of_read(&call) {
                Some(answer) => (Vec::new(), answer),
                None => return false,
            },
            BatchCall::Recall(batch, item) => {
                let (answer, changes) = batches.recall(batch, item, now);
                (changes, BatchAnswer::Ready(answer))
            }
            BatchCall::End(batch) => match batches.end_either(batch, now) {
                Some(changes) => (changes, BatchAnswer::Standing(batch, false)),
                None => (Vec::new(), BatchAnswer::Ready(BatchResponse::Unknown)),
            },
            BatchCall::Lease { max_items: most, models, routes } => {
                let copy = hosted.replica.copy();
                let mut leased = batches.routed.lease(relay, most, &routes, copy, now);
                let left = most - leased.len() as u32;
                leased.extend(batches.lease(relay, left, &models, copy, now));
                (Vec::new(), BatchAnswer::Ready(BatchResponse::Leased(leased)))
            }
            BatchCall::Start(run) => {
                let (may_start, changes) = batches.start(relay, run, now);
                (changes, BatchAnswer::Ready(BatchResponse::MayStart(may_start)))
            }
            BatchCall::Finish(run, end) => {
                let changes = match batches.routed.contains(run.batch) {
                    true => batches.routed.finish(relay, run, end, now),
                    false => batches.finish(relay, run, end, now),
                };
                (changes, BatchAnswer::Ready(BatchResponse::Acknowledged))
            }
            BatchCall::Running(runs) => {
                batches.running(&runs, now);
                batches.routed.running(relay, &runs, now);
                (Vec::new(), BatchAnswer::Ready(BatchResponse::Acknowledged))
            }
        };
        hosted.submit(changes, Waiting::Batch(caller, answer));
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
        let Work::Batches(batches) = &mut hosted.work else { return };
        let (batch, caller) = (submission.batch, submission.caller);
        if !granted && !batches.contains(batch) {
            let epoch = hosted.replica.epoch();
            send(shard, epoch, caller, BatchResponse::CeilingReached, out);
            return;
        }
        let changes = if batches.contains(batch) {
            Vec::new()
        } else {
            batches.submit(batch, &submission.items)
        };
        hosted.submit(changes, Waiting::Batch(caller, BatchAnswer::Standing(batch, true)));
    }

    /// Answers one whose ticket is committed; the copy holds just what is committed.
    pub(super) fn settle(&mut self, shard: ShardId, ticket: WriteTicket, out: &mut Out) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        let Some(waiting) = hosted.waiting.remove(&ticket) else { return };
        let epoch = hosted.replica.epoch();
        match waiting {
            Waiting::Nobody => {}
            Waiting::Counter(to, body) => super::counting::send(to, epoch, body, out),
            Waiting::Batch(caller, answer) => {
                let value = answer.answered_by(hosted.replica.copy());
                if matches!(value, Some(BatchResponse::Accepted(_))) {
                    self.batches_acknowledged += 1;
                }
                send(shard, epoch, caller, value.unwrap_or(BatchResponse::Unknown), out);
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
            Work::Batches(batches) => {
                let limits = self.view.configuration.as_ref().map(|(_, bundle)| &bundle.batches);
                let keep_s = limits.map(|limits| u64::from(limits.keep_finished_s));
                let mut changes = batches.tick(now);
                changes.extend(batches.routed.tick(now));
                changes.extend(batches.routed.let_go(self.bounds.keep_batches, now));
                if let Some(keep_s) = keep_s {
                    let keep = topazyard_types::DurationMs(keep_s * 1_000);
                    changes.extend(batches.let_go(keep, now));
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
                let outputs = hosted.replica.start_next_batch(now);
                self.take_replica(shard, outputs, now, out);
            }
        }
    }
}

pub(super) fn send(
    shard: ShardId,
    epoch: Epoch,
    caller: BatchCaller,
    value: BatchResponse,
    out: &mut Out,
) {
    let body = BatchBody::Response(value);
    let message = Message::Batch(BatchMessage { shard, epoch, call: caller.call, body });
    out.push(Effect::Send { to: caller.to, message });
}
