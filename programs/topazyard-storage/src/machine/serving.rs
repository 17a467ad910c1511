//! Calls to a batch shard's primary, and the responses once their write tickets are committed.

use super::hosted::{BatchCaller, CommitWaiter, PendingResponse, ServingState, Submission};
use super::{Effects, StorageMachine};
use crate::batches::routed::SubmitOutcome;
use topazyard_replication::WriteTicket;
use topazyard_types::{Epoch, MonotonicMs, NodeId, ShardId};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::batch::{BatchBody, BatchCall, BatchMessage, BatchResponse};

/// Maximum number of refused submissions that a shard remembers.
const MAX_REFUSED_SUBMISSIONS: usize = 256;
/// Maximum number of submissions that may wait for capacity below the ceiling.
const MAX_PENDING_SUBMISSIONS: usize = 256;
/// Maximum number of refused callers that a shard remembers. Others ask again by themselves.
const MAX_WAITING_CALLERS: usize = 4_096;

impl StorageMachine {
    pub(super) fn receive_batch(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: BatchMessage,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let (shard, caller) = (message.shard, BatchCaller { to: from, call: message.call });
        let call = match message.body {
            BatchBody::Call(call) => call,
            BatchBody::ReplicaRead(call) => {
                return self.queue_replica_read(shard, caller, &call, now);
            }
            BatchBody::CheckServing => {
                return self.answer_serving_check(shard, message.epoch, caller, effects);
            }
            BatchBody::Response(_) | BatchBody::Serving { .. } => return,
        };
        let is_full = self.disk.is_full();
        let capacity_bytes = self.capacity_bytes(shard);
        let served = match self.hosted.get_mut(&shard) {
            Some(hosted) if hosted.is_serving_in(message.epoch) && !is_full => {
                Self::execute_call(hosted, sender, caller, call, capacity_bytes, now)
            }
            _ => false,
        };
        if served {
            self.report_waiting(shard, now, effects);
        } else {
            self.refuse_call(shard, message.epoch, caller, effects);
        }
    }

    /// Answers whether this node serves the shard as its primary in the epoch.
    fn answer_serving_check(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        caller: BatchCaller,
        effects: &mut Effects,
    ) {
        let serving = self.hosted.get(&shard).filter(|hosted| hosted.is_serving_in(epoch));
        match serving.filter(|_| !self.disk.is_full()) {
            Some(hosted) => {
                let pending_calls = hosted.pending_calls_of(caller.to);
                send_serving(shard, epoch, caller.to, pending_calls, effects);
            }
            None => self.refuse_call(shard, epoch, caller, effects),
        }
    }

    /// Refuses a call that this node can't handle now. The caller is told once it can.
    fn refuse_call(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        caller: BatchCaller,
        effects: &mut Effects,
    ) {
        let hosted = self.hosted.get_mut(&shard);
        let own_epoch = hosted.as_ref().map_or(epoch, |hosted| hosted.replica.epoch());
        if let Some(hosted) = hosted
            && hosted.waiting_callers.len() < MAX_WAITING_CALLERS
        {
            hosted.waiting_callers.insert(caller.to);
        }
        send(shard, own_epoch, caller, BatchResponse::NotPrimary, effects);
    }

    /// Tells the callers that were refused that this node now serves the shard.
    pub(super) fn notify_waiting_callers(&mut self, shard: ShardId, effects: &mut Effects) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        let epoch = hosted.replica.epoch();
        for to in std::mem::take(&mut hosted.waiting_callers) {
            send_serving(shard, epoch, to, Vec::new(), effects);
        }
    }

    /// Executes a call; returns false if this node can't.
    fn execute_call(
        hosted: &mut super::Hosted,
        relay: NodeId,
        caller: BatchCaller,
        call: BatchCall,
        capacity_bytes: u64,
        now: MonotonicMs,
    ) -> bool {
        let ServingState::Batches(batches) = &mut hosted.serving_state else { return false };
        let (changes, response) = match call {
            BatchCall::Submit { batch, items, ceiling } if !batches.contains(batch) => {
                let queue = &mut hosted.pending_submissions.queue;
                if queue.len() >= MAX_PENDING_SUBMISSIONS {
                    return false;
                }
                // A repeated submission: the latest call gets the response.
                match queue.iter_mut().find(|pending| pending.batch == batch) {
                    Some(pending) => {
                        (pending.caller, pending.ceiling, pending.last_heard) =
                            (caller, ceiling, now);
                    }
                    None => {
                        let (received_at, last_heard) = (now, now);
                        let submission =
                            Submission { caller, batch, items, ceiling, received_at, last_heard };
                        queue.push_back(submission);
                    }
                }
                return true;
            }
            BatchCall::Submit { batch, .. } => (Vec::new(), PendingResponse::Status(batch, true)),
            BatchCall::SubmitRouted(routed) => {
                let submission = (relay, caller.call);
                let outcome = match hosted.refused_submissions.contains(&submission) {
                    true => SubmitOutcome::CeilingReached,
                    false => batches.routed.submit(&routed, capacity_bytes, now),
                };
                let refusal = match outcome {
                    SubmitOutcome::Accepted(changes) => {
                        let response = PendingResponse::Status(routed.batch, true);
                        hosted.submit(changes, CommitWaiter::Batch(caller, response));
                        return true;
                    }
                    SubmitOutcome::Unrouted(item) => BatchResponse::Unrouted(item),
                    SubmitOutcome::CeilingReached | SubmitOutcome::OverCapacity => {
                        BatchResponse::CeilingReached
                    }
                };
                if hosted.refused_submissions.len() >= MAX_REFUSED_SUBMISSIONS {
                    hosted.refused_submissions.pop_front();
                }
                hosted.refused_submissions.push_back(submission);
                (Vec::new(), PendingResponse::Ready(refusal))
            }
            BatchCall::Read(_)
            | BatchCall::ItemResults { .. }
            | BatchCall::RoutedResults { .. }
            | BatchCall::Body { .. } => match PendingResponse::for_read(&call) {
                Some(response) => (Vec::new(), response),
                None => return false,
            },
            BatchCall::Recall(batch, item) => {
                let (value, changes) = batches.recall(batch, item, now);
                (changes, PendingResponse::Ready(value))
            }
            BatchCall::End(batch) => match batches.end_any(batch, now) {
                Some(changes) => (changes, PendingResponse::Status(batch, false)),
                None => (Vec::new(), PendingResponse::Ready(BatchResponse::Unknown)),
            },
            BatchCall::Lease { max_items: most, models, routes } => {
                let copy = hosted.replica.copy();
                let mut leased = batches.routed.lease(relay, most, &routes, copy, now);
                let remaining = most - leased.len() as u32;
                leased.extend(batches.lease(relay, remaining, &models, copy, now));
                (Vec::new(), PendingResponse::Ready(BatchResponse::Leased(leased)))
            }
            BatchCall::Start(run) => {
                let (may_start, changes) = batches.start(relay, run, now);
                (changes, PendingResponse::Ready(BatchResponse::MayStart(may_start)))
            }
            BatchCall::Finish(run, end) => {
                let changes = match batches.routed.contains(run.batch) {
                    true => batches.routed.finish(relay, run, end, now),
                    false => batches.finish(relay, run, end, now),
                };
                (changes, PendingResponse::Ready(BatchResponse::Acknowledged))
            }
            BatchCall::Running(runs) => {
                batches.running(&runs, now);
                batches.routed.running(relay, &runs, now);
                (Vec::new(), PendingResponse::Ready(BatchResponse::Acknowledged))
            }
        };
        hosted.submit(changes, CommitWaiter::Batch(caller, response));
        true
    }

    /// Accepts a submission that was granted capacity, or refuses it.
    pub(super) fn complete_submission(
        &mut self,
        shard: ShardId,
        submission: &Submission,
        granted: bool,
        effects: &mut Effects,
    ) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        let ServingState::Batches(batches) = &mut hosted.serving_state else { return };
        let (batch, caller) = (submission.batch, submission.caller);
        if !granted && !batches.contains(batch) {
            let epoch = hosted.replica.epoch();
            send(shard, epoch, caller, BatchResponse::CeilingReached, effects);
            return;
        }
        let changes = if batches.contains(batch) {
            Vec::new()
        } else {
            batches.submit(batch, &submission.items)
        };
        hosted.submit(changes, CommitWaiter::Batch(caller, PendingResponse::Status(batch, true)));
    }

    /// Sends the response of a committed ticket; the copy holds exactly the committed changes.
    pub(super) fn complete_ticket(
        &mut self,
        shard: ShardId,
        ticket: WriteTicket,
        effects: &mut Effects,
    ) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        let Some(waiter) = hosted.waiters.remove(&ticket) else { return };
        let epoch = hosted.replica.epoch();
        match waiter {
            CommitWaiter::Nobody => {}
            CommitWaiter::Counter(to, body) => super::counter_calls::send(to, epoch, body, effects),
            CommitWaiter::Batch(caller, response) => {
                let value = response.resolve(hosted.replica.copy());
                if matches!(value, Some(BatchResponse::Accepted(_))) {
                    self.batches_acknowledged += 1;
                }
                send(shard, epoch, caller, value.unwrap_or(BatchResponse::Unknown), effects);
            }
        }
    }

    /// Applies the changes that are due by time alone.
    pub(super) fn sweep(&mut self, shard: ShardId, now: MonotonicMs, effects: &mut Effects) {
        self.drop_expired_submissions(shard, now, effects);
        self.report_waiting(shard, now, effects);
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        // Writes must not pile up on a full disk; the counter needs no disk.
        let disk_blocks_writes = self.disk.is_full() && !shard.is_counter();
        if !hosted.replica.is_serving() || disk_blocks_writes {
            return;
        }
        let changes = match &mut hosted.serving_state {
            ServingState::None => Vec::new(),
            ServingState::Counter(counter) => counter.tick(now),
            ServingState::Batches(batches) => {
                let limits = self
                    .fleet
                    .configuration
                    .as_ref()
                    .map(|(_, configuration)| &configuration.batches);
                let keep_s = limits.map(|limits| u64::from(limits.keep_finished_s));
                let mut changes = batches.tick(now);
                changes.extend(batches.routed.tick(now));
                changes.extend(batches.routed.remove_expired(self.bounds.keep_batches, now));
                if let Some(keep_s) = keep_s {
                    let keep = topazyard_types::DurationMs(keep_s * 1_000);
                    changes.extend(batches.remove_expired(keep, now));
                }
                changes
            }
        };
        if !changes.is_empty() {
            hosted.submit(changes, CommitWaiter::Nobody);
        }
    }

    /// Starts the next change batch of every shard.
    pub(super) fn start_next_batches(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let shards: Vec<ShardId> = self.hosted.keys().copied().collect();
        for shard in shards {
            if let Some(hosted) = self.hosted.get_mut(&shard) {
                let outputs = hosted.replica.start_next_batch(now);
                self.apply_replica_outputs(shard, outputs, now, effects);
            }
        }
    }
}

fn send_serving(
    shard: ShardId,
    epoch: Epoch,
    to: std::net::SocketAddr,
    pending_calls: Vec<u64>,
    effects: &mut Effects,
) {
    let body = BatchBody::Serving { pending_calls };
    let message = BatchMessage { shard, epoch, call: 0, body };
    effects.push(Effect::Send { to, message: Message::Batch(message) });
}

pub(super) fn send(
    shard: ShardId,
    epoch: Epoch,
    caller: BatchCaller,
    value: BatchResponse,
    effects: &mut Effects,
) {
    let body = BatchBody::Response(value);
    let message = Message::Batch(BatchMessage { shard, epoch, call: caller.call, body });
    effects.push(Effect::Send { to: caller.to, message });
}
