//! Calls to the token counter, and the batch shards' reports to it.

use super::hosted::{CommitWaiter, ServingState};
use super::{Effects, StorageMachine};
use crate::counter::AddOutcome;
use topazyard_types::{DurationMs, Epoch, MonotonicMs, NodeId, ShardId, Tokens};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::counter::{CounterBody, CounterMessage};

/// Interval of a batch shard's reports of its waiting cost.
const REPORT_INTERVAL: DurationMs = DurationMs(250);
/// How long a submission may wait for capacity below the ceiling.
const SUBMISSION_TIMEOUT: DurationMs = DurationMs(2_000);
/// How long a submission waits without being repeated by its relay: the ceiling it carries becomes
/// stale.
const RELAY_SILENCE_TIMEOUT: DurationMs = DurationMs(1_000);
/// Time after which an unanswered capacity request is sent again.
const CAPACITY_RETRY_INTERVAL: DurationMs = DurationMs(300);

/// Interval of the log lines on the usage of each pool's budget.
const BUDGET_LOG_INTERVAL: DurationMs = DurationMs(5_000);

impl StorageMachine {
    /// Logs the usage of each budget at an interval, if this node serves the counter.
    pub(super) fn log_budgets(&mut self, now: MonotonicMs, effects: &mut Effects) {
        if now.since(self.budgets_logged_at) < BUDGET_LOG_INTERVAL {
            return;
        }
        self.budgets_logged_at = now;
        let Some(hosted) = self.hosted.get(&ShardId::COUNTER) else { return };
        let counter = hosted.counter().filter(|_| hosted.replica.is_serving());
        let summaries = counter.into_iter().flat_map(crate::counter::Counter::usage_summaries);
        effects.extend(summaries.map(|text| Effect::Log { is_error: false, text }));
    }

    pub(super) fn receive_counter(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: CounterMessage,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        match message.body {
            CounterBody::WaitingSettled { shard, number, granted } => {
                return self.settle_capacity_request(shard, number, granted, effects);
            }
            // A response never gets a response, or two nodes would exchange them without end.
            CounterBody::Added { .. } | CounterBody::Renewed { .. } | CounterBody::NotPrimary => {
                return;
            }
            _ => {}
        }
        let Some(hosted) = self.hosted.get_mut(&ShardId::COUNTER) else {
            send(from, message.epoch, CounterBody::NotPrimary, effects);
            return;
        };
        let serving = hosted.is_serving_in(message.epoch);
        let ServingState::Counter(counter) = &mut hosted.serving_state else {
            send(from, hosted.replica.epoch(), CounterBody::NotPrimary, effects);
            return;
        };
        if !serving {
            send(from, hosted.replica.epoch(), CounterBody::NotPrimary, effects);
            return;
        }
        match message.body {
            CounterBody::Add(hold) => {
                let (granted, changes) = match counter.add(sender, &hold, now) {
                    AddOutcome::Added(changes) => (true, changes),
                    AddOutcome::Refused => (false, Vec::new()),
                    AddOutcome::Gathering => {
                        send(from, message.epoch, CounterBody::NotPrimary, effects);
                        return;
                    }
                };
                let engine = counter.engine_of(sender, hold.id);
                let response = CounterBody::Added { id: hold.id, granted, engine };
                hosted.submit(changes, CommitWaiter::Counter(from, response));
            }
            CounterBody::Release(id) => {
                let changes = counter.release(sender, id);
                if !changes.is_empty() {
                    hosted.submit(changes, CommitWaiter::Nobody);
                }
            }
            CounterBody::Renew { number, up_to, holds, pending, used } => {
                let changes = counter.renew(sender, up_to, &holds, &pending, now);
                counter.record_used(sender, &used);
                // A counter that is still gathering leaves the renewal unanswered, so that its
                // relays do not become ready.
                let waiter = if counter.is_gathering(now) {
                    CommitWaiter::Nobody
                } else {
                    CommitWaiter::Counter(from, CounterBody::Renewed { number })
                };
                hosted.submit(changes, waiter);
            }
            CounterBody::Waiting {
                shard,
                shard_epoch,
                boot_id,
                number,
                total,
                requested,
                ceiling,
            } => {
                let report = crate::counter::Report { shard_epoch, boot_id, number, total };
                let settled = counter.report(shard, report, requested, ceiling, now);
                if let Some((granted, changes)) = settled {
                    let response = CounterBody::WaitingSettled { shard, number, granted };
                    hosted.submit(changes, CommitWaiter::Counter(from, response));
                }
            }
            CounterBody::Added { .. }
            | CounterBody::Renewed { .. }
            | CounterBody::WaitingSettled { .. }
            | CounterBody::NotPrimary => {}
        }
    }

    /// Reports a shard's waiting cost, with a request for the cost of the next submission if there
    /// is one.
    pub(super) fn report_waiting(
        &mut self,
        shard: ShardId,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let Some(counter) = self.fleet.shards.get(&ShardId::COUNTER) else { return };
        let (to, epoch) = (counter.primary.address, counter.epoch);
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        let ServingState::Batches(batches) = &hosted.serving_state else { return };
        let pending_submissions = &mut hosted.pending_submissions;
        let first = pending_submissions.queue.front();
        let requested_cost = first.map(|s| s.items.iter().map(|item| item.cost).sum());
        let ceiling = first.map_or(Tokens(0), |s| s.ceiling);
        let due = match pending_submissions.requested {
            Some((_, since)) => now.since(since) >= CAPACITY_RETRY_INTERVAL,
            None => {
                requested_cost.is_some()
                    || now.since(pending_submissions.last_report) >= REPORT_INTERVAL
            }
        };
        if !due || !hosted.replica.is_serving() || self.disk.is_full() {
            return;
        }
        pending_submissions.last_number += 1;
        pending_submissions.last_report = now;
        pending_submissions.requested =
            requested_cost.map(|_| (pending_submissions.last_number, now));
        let (total, requested) = (batches.waiting_cost(), requested_cost.unwrap_or(Tokens(0)));
        let (shard_epoch, number) = (hosted.replica.epoch(), pending_submissions.last_number);
        let boot_id = self.boot_id;
        let body =
            CounterBody::Waiting { shard, shard_epoch, boot_id, number, total, requested, ceiling };
        send(to, epoch, body, effects);
    }

    fn settle_capacity_request(
        &mut self,
        shard: ShardId,
        number: u64,
        granted: bool,
        effects: &mut Effects,
    ) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        if hosted.pending_submissions.requested.is_none_or(|(requested, _)| requested != number) {
            return;
        }
        hosted.pending_submissions.requested = None;
        if let Some(submission) = hosted.pending_submissions.queue.pop_front() {
            self.complete_submission(shard, &submission, granted, effects);
        }
    }

    /// Refuses submissions for which no capacity was granted in time.
    pub(super) fn drop_expired_submissions(
        &mut self,
        shard: ShardId,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        let epoch = hosted.replica.epoch();
        let is_expired = |s: &super::hosted::Submission| {
            now.since(s.received_at) >= SUBMISSION_TIMEOUT
                || now.since(s.last_heard) >= RELAY_SILENCE_TIMEOUT
        };
        while hosted.pending_submissions.queue.front().is_some_and(is_expired) {
            hosted.pending_submissions.requested = None;
            if let Some(expired) = hosted.pending_submissions.queue.pop_front() {
                let response = topazyard_wire::message::batch::BatchResponse::NotPrimary;
                super::serving::send(shard, epoch, expired.caller, response, effects);
            }
        }
    }
}

pub(super) fn send(
    to: std::net::SocketAddr,
    epoch: Epoch,
    body: CounterBody,
    effects: &mut Effects,
) {
    let message = Message::Counter(CounterMessage { epoch, body });
    effects.push(Effect::Send { to, message });
}
