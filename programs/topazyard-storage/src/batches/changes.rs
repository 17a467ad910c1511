//! Commands on batches. Each state transition happens in one function, which returns the rows that
//! record it.

use super::{
    BatchEntry, BatchRow, Batches, ITEM_LEASE, ItemEntry, ItemState, Lease, RUN_TIMEOUT, rows,
};
use topazyard_types::{BatchId, DurationMs, ItemNumber, ModelName, MonotonicMs, NodeId, Tokens};
use topazyard_wire::RowChange;
use topazyard_wire::message::batch::{
    BatchResponse, Item, ItemEnd, ItemResult, LeasedItem, Progress, Run, RunEnd,
};

/// The end recorded for an item that will not run any more: `end`, unless an earlier run may have
/// executed.
fn end_without_run(may_have_run: bool, end: ItemEnd) -> ItemEnd {
    if may_have_run { ItemEnd::OutcomeUnknown } else { end }
}

impl Batches {
    /// Adds a batch that is not known yet.
    pub fn submit(&mut self, batch: BatchId, items: &[Item]) -> Vec<RowChange> {
        let number = batch.number;
        let row = BatchRow { items: items.len() as u32, finished: 0, ended: false };
        let state = ItemState::Waiting { may_have_run: false };
        let mut changes = vec![rows::batch(number, &row)];
        let mut entries = Vec::new();
        for (item_number, item) in (0..).map(ItemNumber).zip(items) {
            changes.push(rows::item(number, item_number, item));
            changes.push(rows::state(number, item_number, &state));
            self.queue.push_back((number, item_number));
            self.waiting_cost = self.waiting_cost.plus(item.cost);
            entries.push(ItemEntry {
                state,
                model: item.model.clone(),
                repeatable: item.repeatable,
                cost: item.cost,
            });
        }
        self.batches.insert(number, BatchEntry { row, items: entries });
        changes
    }

    /// Sets an item's state; every transition goes through here.
    fn set_state(&mut self, batch: BatchId, item: ItemNumber, state: ItemState) -> RowChange {
        let entry = self
            .batches
            .get_mut(&batch.number)
            .and_then(|batch| batch.items.get_mut(item.0 as usize));
        if let Some(entry) = entry {
            entry.state = state;
        }
        rows::state(batch.number, item, &state)
    }

    /// Records an item's final result at the next position; every result goes through here.
    fn record_result(
        &mut self,
        batch: BatchId,
        item: ItemNumber,
        end: ItemEnd,
        now: MonotonicMs,
    ) -> Vec<RowChange> {
        let cost = self.item_entry(batch, item).map_or(Tokens(0), |entry| entry.cost);
        let Some(entry) = self.batches.get_mut(&batch.number) else { return Vec::new() };
        entry.row.finished += 1;
        let row = entry.row;
        if row.finished == row.items {
            self.finished.push_back((now, batch.number));
        }
        self.waiting_cost = Tokens(self.waiting_cost.0.saturating_sub(cost.0));
        let position = row.finished;
        vec![
            self.set_state(batch, item, ItemState::Finished { position }),
            rows::item_result(batch.number, &ItemResult { position, item, id: None, end }),
            rows::batch(batch.number, &row),
        ]
    }

    /// Puts an item back at the head of the queue, or ends it if its batch has ended.
    fn requeue(&mut self, run: Run, may_have_run: bool, now: MonotonicMs) -> Vec<RowChange> {
        let ended = self.batches.get(&run.batch.number).is_some_and(|batch| batch.row.ended);
        if ended {
            let end = end_without_run(may_have_run, ItemEnd::Ended);
            return self.record_result(run.batch, run.item, end, now);
        }
        self.queue.push_front((run.batch.number, run.item));
        vec![self.set_state(run.batch, run.item, ItemState::Waiting { may_have_run })]
    }

    /// Leases the oldest waiting items of the given models to a relay.
    pub fn lease(
        &mut self,
        relay: NodeId,
        max_items: u32,
        models: &[ModelName],
        copy: &topazyard_replication::Copy,
        now: MonotonicMs,
    ) -> Vec<LeasedItem> {
        let mut leased = Vec::new();
        let mut skipped_entries = Vec::new();
        while leased.len() < max_items as usize {
            let Some((number, item)) = self.queue.pop_front() else { break };
            let batch = self.batch_id(number);
            let Some(entry) = self.item_entry(batch, item) else { continue };
            // Queue entries may be stale: only items that still wait are leased.
            if !matches!(entry.state, ItemState::Waiting { .. }) {
                continue;
            }
            if !models.contains(&entry.model) {
                skipped_entries.push((number, item));
                continue;
            }
            // Not in the committed copy yet: the submission is still being replicated.
            let Some(stored_item) = rows::item_of(copy, number, item) else {
                skipped_entries.push((number, item));
                continue;
            };
            self.last_lease += 1;
            let run = Run { batch, item, lease: self.last_lease };
            self.leases.insert(run, Lease { relay, expires_at: now.plus(ITEM_LEASE) });
            let progress = Progress::default();
            leased.push(LeasedItem { run, item: stored_item, host: None, progress });
        }
        for entry in skipped_entries.into_iter().rev() {
            self.queue.push_front(entry);
        }
        leased
    }

    /// Whether a leased run may start. Idempotent for the relay that started it.
    pub fn start(&mut self, relay: NodeId, run: Run, now: MonotonicMs) -> (bool, Vec<RowChange>) {
        let lease = self.leases.get(&run);
        let leased = lease.is_some_and(|lease| lease.relay == relay && now < lease.expires_at);
        match self.item_entry(run.batch, run.item).map(|entry| entry.state) {
            Some(ItemState::Started { lease, relay: at, .. }) => {
                (lease == run.lease && at == relay, Vec::new())
            }
            Some(ItemState::Waiting { may_have_run }) if leased => {
                self.leases.remove(&run);
                self.last_heard.insert(run, now);
                let started = ItemState::Started { lease: run.lease, relay, may_have_run };
                (true, vec![self.set_state(run.batch, run.item, started)])
            }
            _ => (false, Vec::new()),
        }
    }

    /// Handles the end of a run. Ignored unless it is the item's current run.
    pub fn finish(
        &mut self,
        relay: NodeId,
        run: Run,
        end: RunEnd,
        now: MonotonicMs,
    ) -> Vec<RowChange> {
        let Some(entry) = self.item_entry(run.batch, run.item) else { return Vec::new() };
        let repeatable = entry.repeatable;
        let may_have_run = match entry.state {
            ItemState::Started { lease, relay: at, may_have_run }
                if lease == run.lease && at == relay =>
            {
                may_have_run
            }
            ItemState::Waiting { .. } => {
                // The relay returned the lease without starting the run.
                if self.leases.get(&run).is_some_and(|lease| lease.relay == relay) {
                    self.leases.remove(&run);
                    self.queue.push_front((run.batch.number, run.item));
                }
                return Vec::new();
            }
            ItemState::Started { .. } | ItemState::Finished { .. } => return Vec::new(),
        };
        self.last_heard.remove(&run);
        match end {
            RunEnd::Complete { status, body } => {
                self.record_result(run.batch, run.item, ItemEnd::Complete { status, body }, now)
            }
            RunEnd::NotRun => self.requeue(run, may_have_run, now),
            _ if repeatable => self.requeue(run, true, now),
            // The other ends belong to routed items; here they mean the same as `Unknown`.
            _ => self.record_result(run.batch, run.item, ItemEnd::OutcomeUnknown, now),
        }
    }

    /// Refreshes the timeouts of runs that a relay reports as still running.
    pub fn running(&mut self, runs: &[Run], now: MonotonicMs) {
        for run in runs {
            if let Some(last_heard) = self.last_heard.get_mut(run) {
                *last_heard = now;
            }
        }
    }

    /// Withdraws an item, if it has not started.
    pub fn recall(
        &mut self,
        batch: BatchId,
        item: ItemNumber,
        now: MonotonicMs,
    ) -> (BatchResponse, Vec<RowChange>) {
        match self.item_entry(batch, item).map(|entry| entry.state) {
            None => (BatchResponse::Unknown, Vec::new()),
            Some(ItemState::Waiting { may_have_run }) => {
                self.leases.retain(|run, _| (run.batch, run.item) != (batch, item));
                let end = end_without_run(may_have_run, ItemEnd::Recalled);
                let response = match may_have_run {
                    false => BatchResponse::Recalled,
                    true => BatchResponse::TooLate { returned: true },
                };
                (response, self.record_result(batch, item, end, now))
            }
            Some(ItemState::Started { .. }) => {
                (BatchResponse::TooLate { returned: false }, Vec::new())
            }
            Some(ItemState::Finished { .. }) => {
                (BatchResponse::TooLate { returned: true }, Vec::new())
            }
        }
    }

    /// Ends a batch: items that have not started never will.
    pub fn end(&mut self, batch: BatchId, now: MonotonicMs) -> Option<Vec<RowChange>> {
        let entry = self.batches.get_mut(&batch.number)?;
        if entry.row.ended {
            return Some(Vec::new());
        }
        entry.row.ended = true;
        let row = entry.row;
        let waiting: Vec<(ItemNumber, bool)> = (0..)
            .map(ItemNumber)
            .zip(&entry.items)
            .filter_map(|(item, entry)| match entry.state {
                ItemState::Waiting { may_have_run } => Some((item, may_have_run)),
                _ => None,
            })
            .collect();
        self.leases.retain(|run, _| run.batch != batch);
        let mut changes = vec![rows::batch(batch.number, &row)];
        for (item, may_have_run) in waiting {
            let end = end_without_run(may_have_run, ItemEnd::Ended);
            changes.extend(self.record_result(batch, item, end, now));
        }
        Some(changes)
    }

    /// Ends a batch, whether its items are routed or not.
    pub fn end_any(&mut self, batch: BatchId, now: MonotonicMs) -> Option<Vec<RowChange>> {
        if self.routed.contains(batch) {
            return self.routed.end(batch, now);
        }
        self.end(batch, now)
    }

    /// Deletes finished batches whose retention time is over.
    pub fn remove_expired(&mut self, keep: DurationMs, now: MonotonicMs) -> Vec<RowChange> {
        let mut changes = Vec::new();
        while let Some((finished_at, number)) = self.finished.front().copied() {
            if now.since(finished_at) < keep {
                break;
            }
            self.finished.pop_front();
            if let Some(batch) = self.batches.remove(&number) {
                changes.extend(rows::delete_all(number, batch.row.items));
            }
        }
        changes
    }

    /// Expires leases, and ends runs that no relay has reported within [`RUN_TIMEOUT`].
    pub fn tick(&mut self, now: MonotonicMs) -> Vec<RowChange> {
        let expired: Vec<Run> =
            self.leases.iter().filter(|(_, l)| now >= l.expires_at).map(|(run, _)| *run).collect();
        for run in expired {
            self.leases.remove(&run);
            self.queue.push_front((run.batch.number, run.item));
        }
        let timed_out: Vec<Run> = self
            .last_heard
            .iter()
            .filter(|(_, last_heard)| now.since(**last_heard) >= RUN_TIMEOUT)
            .map(|(run, _)| *run)
            .collect();
        let mut changes = Vec::new();
        for run in timed_out {
            if let Some(ItemState::Started { relay, .. }) =
                self.item_entry(run.batch, run.item).map(|entry| entry.state)
            {
                changes.extend(self.finish(relay, run, RunEnd::Unknown, now));
            }
            self.last_heard.remove(&run);
        }
        changes
    }
}
