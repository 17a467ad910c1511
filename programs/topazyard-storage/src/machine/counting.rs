//! The counter's calls, and the batch shards' reports to it.

use super::hosted::{Waiting, Work};
use super::{Out, StorageMachine};
use crate::counter::Checked;
use topazyard_types::{DurationMs, Epoch, MonotonicMs, NodeId, ShardId, Tokens};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::counter::{CounterBody, CounterMessage};

/// How often a batch shard reports its waiting cost.
const REPORT_EVERY: DurationMs = DurationMs(250);
/// How long a submission may wait for room below the ceiling.
const RAISE_LIMIT: DurationMs = DurationMs(2_000);
/// How long it waits without a word of its relay: the ceiling it came with grows old.
const UNHEARD_LIMIT: DurationMs = DurationMs(1_000);
/// After how long a raise without a return is asked for again.
const RAISE_AGAIN: DurationMs = DurationMs(300);

/// How often the log tells what is taken of each pool's budget.
const TELL_BUDGETS_EVERY: DurationMs = DurationMs(5_000);

impl StorageMachine {
    /// Tells the log now and then what is taken of each budget, where this node counts it.
    pub(super) fn tell_budgets(&mut self, now: MonotonicMs, out: &mut Out) {
        if now.since(self.budgets_told) < TELL_BUDGETS_EVERY {
            return;
        }
        self.budgets_told = now;
        let Some(hosted) = self.hosted.get(&ShardId::COUNTER) else { return };
        let counter = hosted.counter().filter(|_| hosted.replica.is_serving());
        let lines = counter.into_iter().flat_map(crate::counter::Counter::lines);
        out.extend(lines.map(|text| Effect::Log { is_error: false, text }));
    }

    pub(super) fn receive_counter(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: CounterMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        match message.body {
            CounterBody::WaitingSettled { shard, number, granted } => {
                return self.settle_raise(shard, number, granted, out);
            }
            // A return is never returned to: two nodes would go on for ever.
            CounterBody::Added { .. } | CounterBody::Renewed { .. } | CounterBody::NotPrimary => {
                return;
            }
            _ => {}
        }
        let Some(hosted) = self.hosted.get_mut(&ShardId::COUNTER) else {
            send(from, message.epoch, CounterBody::NotPrimary, out);
            return;
        };
        let serving = hosted.is_serving_in(message.epoch);
        let Work::Counter(counter) = &mut hosted.work else {
            send(from, hosted.replica.epoch(), CounterBody::NotPrimary, out);
            return;
        };
        if !serving {
            send(from, hosted.replica.epoch(), CounterBody::NotPrimary, out);
            return;
        }
        match message.body {
            CounterBody::Add(hold) => {
                let (granted, changes) = match counter.add(sender, &hold, now) {
                    Checked::Added(changes) => (true, changes),
                    Checked::Refused => (false, Vec::new()),
                    Checked::Gathering => {
                        send(from, message.epoch, CounterBody::NotPrimary, out);
                        return;
                    }
                };
                let engine = counter.engine_of(sender, hold.id);
                let answer = CounterBody::Added { id: hold.id, granted, engine };
                hosted.submit(changes, Waiting::Counter(from, answer));
            }
            CounterBody::Release(id) => {
                let changes = counter.release(sender, id);
                if !changes.is_empty() {
                    hosted.submit(changes, Waiting::Nobody);
                }
            }
            CounterBody::Renew { number, up_to, holds, pending, used } => {
                let changes = counter.renew(sender, up_to, &holds, &pending, now);
                counter.tell_used(sender, &used);
                // A counter that can't grant yet leaves the lease unanswered: its relays are not ready.
                let waiting = if counter.is_gathering(now) {
                    Waiting::Nobody
                } else {
                    Waiting::Counter(from, CounterBody::Renewed { number })
                };
                hosted.submit(changes, waiting);
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
                let told = crate::counter::Report { shard_epoch, boot_id, number, total };
                let settled = counter.report(shard, told, requested, ceiling, now);
                if let Some((granted, changes)) = settled {
                    let answer = CounterBody::WaitingSettled { shard, number, granted };
                    hosted.submit(changes, Waiting::Counter(from, answer));
                }
            }
            CounterBody::Added { .. }
            | CounterBody::Renewed { .. }
            | CounterBody::WaitingSettled { .. }
            | CounterBody::NotPrimary => {}
        }
    }

    /// Reports a shard's waiting cost, or asks for room for the next submission.
    pub(super) fn report_waiting(&mut self, shard: ShardId, now: MonotonicMs, out: &mut Out) {
        let Some(counter) = self.view.shards.get(&ShardId::COUNTER) else { return };
        let (to, epoch) = (counter.primary.address, counter.epoch);
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        let Work::Batches(batches) = &hosted.work else { return };
        let raising = &mut hosted.raising;
        let first = raising.queue.front();
        let asks = first.map(|s| s.items.iter().map(|item| item.cost).sum());
        let ceiling = first.map_or(Tokens(0), |s| s.ceiling);
        let due = match raising.asked {
            Some((_, since)) => now.since(since) >= RAISE_AGAIN,
            None => asks.is_some() || now.since(raising.last_report) >= REPORT_EVERY,
        };
        if !due || !hosted.replica.is_serving() || self.disk.is_full() {
            return;
        }
        raising.last_number += 1;
        raising.last_report = now;
        raising.asked = asks.map(|_| (raising.last_number, now));
        let (total, requested) = (batches.waiting(), asks.unwrap_or(Tokens(0)));
        let (shard_epoch, number) = (hosted.replica.epoch(), raising.last_number);
        let boot_id = self.boot_id;
        let body =
            CounterBody::Waiting { shard, shard_epoch, boot_id, number, total, requested, ceiling };
        send(to, epoch, body, out);
    }

    fn settle_raise(&mut self, shard: ShardId, number: u64, granted: bool, out: &mut Out) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        if hosted.raising.asked.is_none_or(|(asked, _)| asked != number) {
            return;
        }
        hosted.raising.asked = None;
        if let Some(submission) = hosted.raising.queue.pop_front() {
            self.settle_submission(shard, &submission, granted, out);
        }
    }

    /// Gives up on submissions for which no room could be asked in time.
    pub(super) fn drop_late_submissions(
        &mut self,
        shard: ShardId,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        let epoch = hosted.replica.epoch();
        let is_late = |s: &super::hosted::Submission| {
            now.since(s.since) >= RAISE_LIMIT || now.since(s.heard) >= UNHEARD_LIMIT
        };
        while hosted.raising.queue.front().is_some_and(is_late) {
            hosted.raising.asked = None;
            if let Some(late) = hosted.raising.queue.pop_front() {
                let answer = topazyard_wire::message::batch::BatchResponse::NotPrimary;
                super::serving::send(shard, epoch, late.caller, answer, out);
            }
        }
    }
}

pub(super) fn send(to: std::net::SocketAddr, epoch: Epoch, body: CounterBody, out: &mut Out) {
    let message = Message::Counter(CounterMessage { epoch, body });
    out.push(Effect::Send { to, message });
}
