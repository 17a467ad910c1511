//! Commands: each changes an item's state in one place and gives the rows that record it.

use super::{Batch, BatchRow, Batches, ItemFacts, ItemState, LEASE, Lease, RUN_SILENT, rows};
use topazyard_types::{BatchId, DurationMs, ItemNumber, ModelName, MonotonicMs, NodeId, Tokens};
use topazyard_wire::RowChange;
use topazyard_wire::message::batch::{
    BatchResponse, Item, ItemEnd, ItemResult, LeasedItem, Progress, Run, RunEnd,
};

/// How an item ends that is not run any more: as said, unless it may have run before.
fn unrun_end(may_have_run: bool, end: ItemEnd) -> ItemEnd {
    if may_have_run { ItemEnd::OutcomeUnknown } else { end }
}

impl Batches {
    /// Takes a batch that is not known yet.
    pub fn submit(&mut self, batch: BatchId, items: &[Item]) -> Vec<RowChange> {
        let number = batch.number;
        let row = BatchRow { items: items.len() as u32, returned: 0, ended: false };
        let state = ItemState::Waiting { may_have_run: false };
        let mut changes = vec![rows::batch(number, &row)];
        let mut kept = Vec::new();
        for (item_number, item) in (0..).map(ItemNumber).zip(items) {
            changes.push(rows::item(number, item_number, item));
            changes.push(rows::state(number, item_number, &state));
            self.queue.push_back((number, item_number));
            self.waiting = self.waiting.plus(item.cost);
            kept.push(ItemFacts {
                state,
                model: item.model.clone(),
                repeatable: item.repeatable,
                cost: item.cost,
            });
        }
        self.batches.insert(number, Batch { row, items: kept });
        changes
    }

    /// The one place where an item's state changes.
    fn set_state(&mut self, batch: BatchId, item: ItemNumber, state: ItemState) -> RowChange {
        let facts = self
            .batches
            .get_mut(&batch.number)
            .and_then(|batch| batch.items.get_mut(item.0 as usize));
        if let Some(facts) = facts {
            facts.state = state;
        }
        rows::state(batch.number, item, &state)
    }

    /// The one place where an item gets its final return, at the next position.
    fn give_return(
        &mut self,
        batch: BatchId,
        item: ItemNumber,
        end: ItemEnd,
        now: MonotonicMs,
    ) -> Vec<RowChange> {
        let cost = self.facts(batch, item).map_or(Tokens(0), |facts| facts.cost);
        let Some(kept) = self.batches.get_mut(&batch.number) else { return Vec::new() };
        kept.row.returned += 1;
        let row = kept.row;
        if row.returned == row.items {
            self.finished.push_back((now, batch.number));
        }
        self.waiting = Tokens(self.waiting.0.saturating_sub(cost.0));
        let position = row.returned;
        vec![
            self.set_state(batch, item, ItemState::Returned { position }),
            rows::item_return(batch.number, &ItemResult { position, item, id: None, end }),
            rows::batch(batch.number, &row),
        ]
    }

    /// Lets an item wait for its next run.
    fn wait_again(&mut self, run: Run, may_have_run: bool, now: MonotonicMs) -> Vec<RowChange> {
        let ended = self.batches.get(&run.batch.number).is_some_and(|batch| batch.row.ended);
        if ended {
            let end = unrun_end(may_have_run, ItemEnd::Ended);
            return self.give_return(run.batch, run.item, end, now);
        }
        self.queue.push_front((run.batch.number, run.item));
        vec![self.set_state(run.batch, run.item, ItemState::Waiting { may_have_run })]
    }

    /// Leases the oldest items of these models to a relay.
    pub fn lease(
        &mut self,
        relay: NodeId,
        most: u32,
        models: &[ModelName],
        copy: &topazyard_replication::Copy,
        now: MonotonicMs,
    ) -> Vec<LeasedItem> {
        let mut leased = Vec::new();
        let mut passed_over = Vec::new();
        while leased.len() < most as usize {
            let Some((number, item)) = self.queue.pop_front() else { break };
            let batch = self.id(number);
            let Some(facts) = self.facts(batch, item) else { continue };
            // An entry may be old: only what still waits is leased.
            if !matches!(facts.state, ItemState::Waiting { .. }) {
                continue;
            }
            if !models.contains(&facts.model) {
                passed_over.push((number, item));
                continue;
            }
            // Not on both yet: its submission is still being committed.
            let Some(whole) = rows::item_of(copy, number, item) else {
                passed_over.push((number, item));
                continue;
            };
            self.last_lease += 1;
            let run = Run { batch, item, lease: self.last_lease };
            self.leases.insert(run, Lease { relay, until: now.plus(LEASE) });
            let progress = Progress::default();
            leased.push(LeasedItem { run, item: whole, route: None, progress });
        }
        for entry in passed_over.into_iter().rev() {
            self.queue.push_front(entry);
        }
        leased
    }

    /// Whether a leased run may start. The same relay may ask again.
    pub fn start(&mut self, relay: NodeId, run: Run, now: MonotonicMs) -> (bool, Vec<RowChange>) {
        let lease = self.leases.get(&run);
        let leased = lease.is_some_and(|lease| lease.relay == relay && now < lease.until);
        match self.facts(run.batch, run.item).map(|facts| facts.state) {
            Some(ItemState::Started { lease, relay: at, .. }) => {
                (lease == run.lease && at == relay, Vec::new())
            }
            Some(ItemState::Waiting { may_have_run }) if leased => {
                self.leases.remove(&run);
                self.heard.insert(run, now);
                let started = ItemState::Started { lease: run.lease, relay, may_have_run };
                (true, vec![self.set_state(run.batch, run.item, started)])
            }
            _ => (false, Vec::new()),
        }
    }

    /// Takes how a run ended. What is not the present run of its item is passed over.
    pub fn finish(
        &mut self,
        relay: NodeId,
        run: Run,
        end: RunEnd,
        now: MonotonicMs,
    ) -> Vec<RowChange> {
        let Some(facts) = self.facts(run.batch, run.item) else { return Vec::new() };
        let repeatable = facts.repeatable;
        let may_have_run = match facts.state {
            ItemState::Started { lease, relay: at, may_have_run }
                if lease == run.lease && at == relay =>
            {
                may_have_run
            }
            ItemState::Waiting { .. } => {
                // A lease handed back.
                if self.leases.get(&run).is_some_and(|lease| lease.relay == relay) {
                    self.leases.remove(&run);
                    self.queue.push_front((run.batch.number, run.item));
                }
                return Vec::new();
            }
            ItemState::Started { .. } | ItemState::Returned { .. } => return Vec::new(),
        };
        self.heard.remove(&run);
        match end {
            RunEnd::Complete { status, body } => {
                self.give_return(run.batch, run.item, ItemEnd::Complete { status, body }, now)
            }
            RunEnd::NotRun => self.wait_again(run, may_have_run, now),
            _ if repeatable => self.wait_again(run, true, now),
            // The ends of routed items say no more of one that isn't.
            _ => self.give_return(run.batch, run.item, ItemEnd::OutcomeUnknown, now),
        }
    }

    /// Notes that runs go on at a relay.
    pub fn running(&mut self, runs: &[Run], now: MonotonicMs) {
        for run in runs {
            if let Some(heard) = self.heard.get_mut(run) {
                *heard = now;
            }
        }
    }

    /// Asks an item back.
    pub fn recall(
        &mut self,
        batch: BatchId,
        item: ItemNumber,
        now: MonotonicMs,
    ) -> (BatchResponse, Vec<RowChange>) {
        match self.facts(batch, item).map(|facts| facts.state) {
            None => (BatchResponse::Unknown, Vec::new()),
            Some(ItemState::Waiting { may_have_run }) => {
                self.leases.retain(|run, _| (run.batch, run.item) != (batch, item));
                let end = unrun_end(may_have_run, ItemEnd::Recalled);
                let answer = match may_have_run {
                    false => BatchResponse::Recalled,
                    true => BatchResponse::TooLate { returned: true },
                };
                (answer, self.give_return(batch, item, end, now))
            }
            Some(ItemState::Started { .. }) => {
                (BatchResponse::TooLate { returned: false }, Vec::new())
            }
            Some(ItemState::Returned { .. }) => {
                (BatchResponse::TooLate { returned: true }, Vec::new())
            }
        }
    }

    /// Ends a batch: what has not started never will.
    pub fn end(&mut self, batch: BatchId, now: MonotonicMs) -> Option<Vec<RowChange>> {
        let kept = self.batches.get_mut(&batch.number)?;
        if kept.row.ended {
            return Some(Vec::new());
        }
        kept.row.ended = true;
        let row = kept.row;
        let waiting: Vec<(ItemNumber, bool)> = (0..)
            .map(ItemNumber)
            .zip(&kept.items)
            .filter_map(|(item, facts)| match facts.state {
                ItemState::Waiting { may_have_run } => Some((item, may_have_run)),
                _ => None,
            })
            .collect();
        self.leases.retain(|run, _| run.batch != batch);
        let mut changes = vec![rows::batch(batch.number, &row)];
        for (item, may_have_run) in waiting {
            let end = unrun_end(may_have_run, ItemEnd::Ended);
            changes.extend(self.give_return(batch, item, end, now));
        }
        Some(changes)
    }

    /// Ends a batch, of routed items or not.
    pub fn end_either(&mut self, batch: BatchId, now: MonotonicMs) -> Option<Vec<RowChange>> {
        if self.routed.contains(batch) {
            return self.routed.end(batch, now);
        }
        self.end(batch, now)
    }

    /// Notes batches that have all their returns, and lets go of those kept long enough.
    pub fn let_go(&mut self, keep: DurationMs, now: MonotonicMs) -> Vec<RowChange> {
        let mut changes = Vec::new();
        while let Some((since, number)) = self.finished.front().copied() {
            if now.since(since) < keep {
                break;
            }
            self.finished.pop_front();
            if let Some(batch) = self.batches.remove(&number) {
                changes.extend(rows::all_gone(number, batch.row.items));
            }
        }
        changes
    }

    /// Takes back leases that ran out, and settles runs that nobody speaks of any more.
    pub fn tick(&mut self, now: MonotonicMs) -> Vec<RowChange> {
        let lapsed: Vec<Run> =
            self.leases.iter().filter(|(_, l)| now >= l.until).map(|(run, _)| *run).collect();
        for run in lapsed {
            self.leases.remove(&run);
            self.queue.push_front((run.batch.number, run.item));
        }
        let silent: Vec<Run> = self
            .heard
            .iter()
            .filter(|(_, heard)| now.since(**heard) >= RUN_SILENT)
            .map(|(run, _)| *run)
            .collect();
        let mut changes = Vec::new();
        for run in silent {
            if let Some(ItemState::Started { relay, .. }) =
                self.facts(run.batch, run.item).map(|facts| facts.state)
            {
                changes.extend(self.finish(relay, run, RunEnd::Unknown, now));
            }
            self.heard.remove(&run);
        }
        changes
    }
}
