//! Commands: each changes what is held in one place and gives the rows that record it.

use super::{Held, Lease, Open, Place, RoutedBatchRow, RoutedBatches, rows};
use crate::batches::LEASE;
use topazyard_types::{BatchId, DurationMs, ItemNumber, MonotonicMs, NodeId, RouteName, Tokens};
use topazyard_wire::RowChange;
use topazyard_wire::message::batch::{
    Item, ItemEnd, ItemResult, LeasedItem, Progress, RoutedBatch, Run, RunEnd,
};

/// What an item or a result weighs beside its body, in bytes.
const BESIDE_BODY: u64 = 256;
/// The most bytes of a broken run's output that are kept for the next one.
const MOST_PROGRESS: usize = 256 * 1024;

/// What came of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    /// It is taken, now or before.
    Accepted(Vec<RowChange>),
    /// It doesn't fit below the route's ceiling.
    CeilingReached,
    /// There is no room to keep it.
    NoRoom,
}

pub(super) fn bytes_of(end: &ItemEnd) -> u64 {
    match end {
        ItemEnd::Complete { body, .. } => BESIDE_BODY + body.len() as u64,
        _ => BESIDE_BODY,
    }
}

impl Open {
    pub(super) fn new(item: &Item) -> Self {
        let beside = item.routing.as_ref().map_or(0, |routing| {
            let headers = routing.headers.iter().map(|(name, value)| name.len() + value.len());
            headers.sum::<usize>() + routing.path.len()
        });
        Self {
            id: item.routing.as_ref().map(|d| d.id.clone()).unwrap_or_default(),
            cost: item.cost,
            bytes: BESIDE_BODY + (item.body.len() + beside) as u64,
            failed_attempts: 0,
            progress: Progress::default(),
        }
    }
}

impl RoutedBatches {
    /// Takes a batch, unless it is known already. `room_bytes` is what all batches here may weigh.
    pub fn submit(&mut self, routed: &RoutedBatch, room_bytes: u64, now: MonotonicMs) -> Taken {
        if self.contains(routed.batch) {
            return Taken::Accepted(Vec::new());
        }
        let asked: Tokens = routed.items.iter().map(|item| item.cost).sum();
        let waiting = self.waiting_on(&routed.terms.route);
        if routed.ceiling > Tokens(0) && waiting.plus(asked) > routed.ceiling {
            return Taken::CeilingReached;
        }
        let items = (0..).map(ItemNumber).zip(&routed.items);
        let open: std::collections::BTreeMap<ItemNumber, Open> =
            items.clone().map(|(number, item)| (number, Open::new(item))).collect();
        let bytes: u64 = open.values().map(|open| open.bytes).sum();
        if self.bytes + bytes > room_bytes {
            return Taken::NoRoom;
        }
        let number = routed.batch.number;
        let row = RoutedBatchRow {
            terms: routed.terms.clone(),
            items: routed.items.len() as u32,
            listed: 0,
            ended: false,
            age: DurationMs(0),
        };
        let mut changes = vec![rows::batch(number, &row)];
        changes.extend(items.map(|(at, item)| rows::item(number, at, item)));
        let age_then = DurationMs(0);
        self.hold(number, Held { row, since: now, age_then, open, result_bytes: 0 });
        Taken::Accepted(changes)
    }

    fn place(&self, batch: BatchId, item: ItemNumber) -> Option<Place> {
        let held = self.held.get(&batch.number)?;
        Some((held.reaches(held.row.terms.run_target), batch.number, item))
    }

    /// Leases items of these routes: the first due first, and what is late already only where
    /// nothing else waits.
    pub fn lease(
        &mut self,
        relay: NodeId,
        most: u32,
        routes: &[RouteName],
        copy: &topazyard_replication::Copy,
        now: MonotonicMs,
    ) -> Vec<LeasedItem> {
        let from = (now, 0, ItemNumber(0));
        let in_order = self.queue.range(from..).chain(self.queue.range(..from));
        let fitting = in_order.filter_map(|place| {
            let held = self.held.get(&place.1)?;
            let open = held.open.get(&place.2)?;
            let terms = &held.row.terms;
            if !routes.contains(&terms.route) {
                return None;
            }
            // Not on both yet: its submission is still being committed.
            let item = rows::item_of(copy, place.1, place.2)?;
            let route = Some((terms.route.clone(), terms.host.clone()));
            Some((*place, item, route, open.progress.clone()))
        });
        let chosen: Vec<_> = fitting.take(most as usize).collect();
        let mut leased = Vec::new();
        for (place, item, route, progress) in chosen {
            self.queue.remove(&place);
            self.last_lease += 1;
            let batch = BatchId { shard: self.shard, number: place.1 };
            let run = Run { batch, item: place.2, lease: self.last_lease };
            self.leases.insert(run, Lease { relay, until: now.plus(LEASE) });
            leased.push(LeasedItem { run, item, route, progress });
        }
        leased
    }

    /// Notes that runs go on at a relay.
    pub fn running(&mut self, relay: NodeId, runs: &[Run], now: MonotonicMs) {
        for run in runs {
            if let Some(lease) = self.leases.get_mut(run).filter(|lease| lease.relay == relay) {
                lease.until = now.plus(LEASE);
            }
        }
    }

    /// Takes how a run ended. A result counts whoever brings it, as long as the item has none; a
    /// failure counts only from the run that holds the lease, and so only once.
    pub fn finish(
        &mut self,
        relay: NodeId,
        run: Run,
        end: RunEnd,
        now: MonotonicMs,
    ) -> Vec<RowChange> {
        let held_lease = self.leases.get(&run).is_some_and(|lease| lease.relay == relay);
        if held_lease {
            self.leases.remove(&run);
        }
        let Some(held) = self.held.get_mut(&run.batch.number) else { return Vec::new() };
        let max_attempts = held.row.terms.max_attempts;
        let Some(open) = held.open.get_mut(&run.item) else { return Vec::new() };
        let result = match end {
            RunEnd::StreamComplete { text } => {
                Some(ItemEnd::Complete { status: 200, body: text.into() })
            }
            RunEnd::Impossible => Some(ItemEnd::Abandoned),
            RunEnd::Failed if held_lease => {
                open.failed_attempts += 1;
                (open.failed_attempts >= max_attempts).then_some(ItemEnd::Abandoned)
            }
            RunEnd::Interrupted(progress) => {
                let is_further = progress.last_event > open.progress.last_event;
                if is_further && progress.text.len() <= MOST_PROGRESS {
                    open.progress = progress;
                }
                None
            }
            RunEnd::Failed | RunEnd::NotRun | RunEnd::Unknown | RunEnd::Complete { .. } => None,
        };
        if let Some(result) = result {
            return self.give_result(run.batch, run.item, result, now);
        }
        if held_lease && let Some(place) = self.place(run.batch, run.item) {
            self.queue.insert(place);
        }
        Vec::new()
    }

    /// The one place where an item gets its result, at the next position.
    fn give_result(
        &mut self,
        batch: BatchId,
        item: ItemNumber,
        end: ItemEnd,
        now: MonotonicMs,
    ) -> Vec<RowChange> {
        let Some(open) = self.close(batch, item) else { return Vec::new() };
        let Some(held) = self.held.get_mut(&batch.number) else { return Vec::new() };
        held.row.listed += 1;
        held.row.age = held.age(now);
        let position = held.row.listed;
        let bytes = bytes_of(&end);
        held.result_bytes += bytes;
        self.bytes += bytes;
        let result = ItemResult { position, item, id: Some(open.id), end };
        let changes = vec![
            rows::item_gone(batch.number, item),
            rows::result(batch.number, &result),
            rows::batch(batch.number, &held.row),
        ];
        self.note_if_finished(batch.number);
        changes
    }

    /// Takes an item out of everything that waits.
    fn close(&mut self, batch: BatchId, item: ItemNumber) -> Option<Open> {
        let place = self.place(batch, item)?;
        let held = self.held.get_mut(&batch.number)?;
        let open = held.open.remove(&item)?;
        self.queue.remove(&place);
        if let Some(waiting) = self.waiting.get_mut(&held.row.terms.route) {
            *waiting = Tokens(waiting.0.saturating_sub(open.cost.0));
        }
        self.bytes = self.bytes.saturating_sub(open.bytes);
        self.leases.retain(|run, _| (run.batch, run.item) != (batch, item));
        Some(open)
    }

    fn note_if_finished(&mut self, number: u64) {
        let Some(held) = self.held.get(&number).filter(|held| held.open.is_empty()) else {
            return;
        };
        let at = held.reaches(held.row.terms.retention);
        if self.give_up.remove(&(at, number)) {
            self.finished.push_back(number);
        }
    }

    /// Ends a batch: what has no result gets none. None if the batch is unknown.
    pub fn end(&mut self, batch: BatchId, now: MonotonicMs) -> Option<Vec<RowChange>> {
        let held = self.held.get_mut(&batch.number)?;
        if held.row.ended || held.open.is_empty() {
            return Some(Vec::new());
        }
        held.row.ended = true;
        held.row.age = held.age(now);
        let open: Vec<ItemNumber> = held.open.keys().copied().collect();
        let mut changes = vec![rows::batch(batch.number, &held.row)];
        for item in open {
            self.close(batch, item);
            changes.push(rows::item_gone(batch.number, item));
        }
        self.note_if_finished(batch.number);
        Some(changes)
    }

    /// Lets go of finished batches that are older than `keep`.
    pub fn let_go(&mut self, keep: DurationMs, now: MonotonicMs) -> Vec<RowChange> {
        let mut changes = Vec::new();
        while let Some(number) = self.finished.front().copied() {
            if self.held.get(&number).is_some_and(|held| held.age(now) < keep) {
                break;
            }
            self.finished.pop_front();
            if let Some(held) = self.held.remove(&number) {
                self.bytes = self.bytes.saturating_sub(held.result_bytes);
                changes.extend(rows::all_gone(number, held.row.listed));
            }
        }
        changes
    }

    /// Takes back leases that ran out, and gives up what has waited too long.
    pub fn tick(&mut self, now: MonotonicMs) -> Vec<RowChange> {
        let lapsed: Vec<Run> =
            self.leases.iter().filter(|(_, l)| now >= l.until).map(|(run, _)| *run).collect();
        for run in lapsed {
            self.leases.remove(&run);
            if let Some(place) = self.place(run.batch, run.item) {
                self.queue.insert(place);
            }
        }
        let mut changes = Vec::new();
        while let Some((at, number)) = self.give_up.first().copied().filter(|(at, _)| now >= *at) {
            let items = self.held.get(&number).map(|held| held.open.keys().copied().collect());
            let items: Vec<ItemNumber> = items.unwrap_or_default();
            let batch = BatchId { shard: self.shard, number };
            for item in items {
                changes.extend(self.give_result(batch, item, ItemEnd::Abandoned, now));
            }
            self.give_up.remove(&(at, number));
        }
        changes
    }
}
