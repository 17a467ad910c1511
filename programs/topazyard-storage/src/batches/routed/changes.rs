//! Commands on batches of routed items. Each change happens in one function, which returns the rows
//! that record it.

use super::{BatchEntry, Lease, OpenItem, QueueKey, RoutedBatchRow, RoutedBatches, rows};
use crate::batches::ITEM_LEASE;
use topazyard_types::{BatchId, DurationMs, ItemNumber, MonotonicMs, NodeId, Tokens};
use topazyard_wire::RowChange;
use topazyard_wire::message::batch::{
    Item, ItemEnd, ItemResult, LeasedItem, Progress, RoutedBatch, Run, RunEnd, WaitingCeiling,
};
use topazyard_wire::routes::RoutePaths;

/// Storage accounted for an item or a result in addition to its body, in bytes.
const OVERHEAD_BYTES: u64 = 256;
/// Maximum size of an interrupted run's output that is kept for the next run, in bytes.
const MAX_PROGRESS_BYTES: usize = 256 * 1024;

/// Outcome of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The batch is accepted, by this call or by an earlier one.
    Accepted(Vec<RowChange>),
    /// The path of this item has no batch route.
    Unrouted(ItemNumber),
    /// Its cost would exceed the ceiling of a route.
    CeilingReached,
    /// Its rows would exceed the storage capacity for batches.
    OverCapacity,
}

pub(super) fn stored_bytes(end: &ItemEnd) -> u64 {
    match end {
        ItemEnd::Complete { body, .. } => OVERHEAD_BYTES + body.len() as u64,
        _ => OVERHEAD_BYTES,
    }
}

/// Groups routes by host.
fn by_host(routes: &[RoutePaths]) -> std::collections::BTreeMap<&str, Vec<&RoutePaths>> {
    let mut grouped: std::collections::BTreeMap<&str, Vec<&RoutePaths>> = Default::default();
    for route in routes {
        grouped.entry(&route.host).or_default().push(route);
    }
    grouped
}

impl OpenItem {
    pub(super) fn new(item: &Item) -> Self {
        let directions_bytes = item.routing.as_ref().map_or(0, |routing| {
            let headers = routing.headers.iter().map(|(name, value)| name.len() + value.len());
            headers.sum::<usize>() + routing.path.len()
        });
        let routing = item.routing.as_ref();
        Self {
            id: routing.map(|routing| routing.id.clone()).unwrap_or_default(),
            path: routing.map(|routing| routing.path.clone()).unwrap_or_default(),
            cost: item.cost,
            bytes: OVERHEAD_BYTES + (item.body.len() + directions_bytes) as u64,
            failed_attempts: 0,
            progress: Progress::default(),
        }
    }
}

impl RoutedBatches {
    /// Adds a batch, unless it is already known. `capacity_bytes` bounds the size of all batches of
    /// this shard.
    pub fn submit(
        &mut self,
        routed: &RoutedBatch,
        capacity_bytes: u64,
        now: MonotonicMs,
    ) -> SubmitOutcome {
        if self.contains(routed.batch) {
            return SubmitOutcome::Accepted(Vec::new());
        }
        if let Some(item) = routed.unrouted_item {
            return SubmitOutcome::Unrouted(item);
        }
        let items = (0..).map(ItemNumber).zip(&routed.items);
        let open_items: std::collections::BTreeMap<ItemNumber, OpenItem> =
            items.clone().map(|(number, item)| (number, OpenItem::new(item))).collect();
        let bytes: u64 = open_items.values().map(|open| open.bytes).sum();
        if self.bytes + bytes > capacity_bytes {
            return SubmitOutcome::OverCapacity;
        }
        let number = routed.batch.number;
        let row = RoutedBatchRow {
            terms: routed.terms.clone(),
            items: routed.items.len() as u32,
            result_count: 0,
            ended: false,
            age: DurationMs(0),
        };
        let initial_age = DurationMs(0);
        let entry = BatchEntry { row, known_since: now, initial_age, open_items, result_bytes: 0 };
        if routed.ceilings.iter().any(|ceiling| self.exceeds(ceiling, &entry)) {
            return SubmitOutcome::CeilingReached;
        }
        let mut changes = vec![rows::batch(number, &entry.row)];
        changes.extend(items.map(|(at, item)| rows::item(number, at, item)));
        self.insert(number, entry);
        SubmitOutcome::Accepted(changes)
    }

    /// Whether more would wait on a route than its ceiling allows if a batch were added.
    fn exceeds(&self, ceiling: &WaitingCeiling, added: &BatchEntry) -> bool {
        let requested = added.waiting_cost_on(&ceiling.paths);
        self.waiting_cost_on(&ceiling.paths).plus(requested) > ceiling.tokens
    }

    fn queue_key(&self, batch: BatchId, item: ItemNumber) -> Option<QueueKey> {
        let entry = self.batches.get(&batch.number)?;
        Some((entry.reaches_age_at(entry.row.terms.run_target), batch.number, item))
    }

    /// Leases items whose paths belong to the given routes, earliest due time first. Items past
    /// their due time come last.
    pub fn lease(
        &mut self,
        relay: NodeId,
        max_items: u32,
        routes: &[RoutePaths],
        copy: &topazyard_replication::Copy,
        now: MonotonicMs,
    ) -> Vec<LeasedItem> {
        let routes = by_host(routes);
        let first_due = (now, 0, ItemNumber(0));
        let in_order = self.queue.range(first_due..).chain(self.queue.range(..first_due));
        let eligible = in_order.filter_map(|key| {
            let entry = self.batches.get(&key.1)?;
            let open = entry.open_items.get(&key.2)?;
            let host = &entry.row.terms.host;
            if !routes.get(host.as_str())?.iter().any(|route| route.contains(host, &open.path)) {
                return None;
            }
            // Not in the committed copy yet: the submission is still being replicated.
            let item = rows::item_of(copy, key.1, key.2)?;
            Some((*key, item, Some(host.clone()), open.progress.clone()))
        });
        let chosen: Vec<_> = eligible.take(max_items as usize).collect();
        let mut leased = Vec::new();
        for (key, item, host, progress) in chosen {
            self.queue.remove(&key);
            self.last_lease += 1;
            let batch = BatchId { shard: self.shard, number: key.1 };
            let run = Run { batch, item: key.2, lease: self.last_lease };
            self.leases.insert(run, Lease { relay, expires_at: now.plus(ITEM_LEASE) });
            leased.push(LeasedItem { run, item, host, progress });
        }
        leased
    }

    /// Renews the leases of runs that a relay reports as still running.
    pub fn running(&mut self, relay: NodeId, runs: &[Run], now: MonotonicMs) {
        for run in runs {
            if let Some(lease) = self.leases.get_mut(run).filter(|lease| lease.relay == relay) {
                lease.expires_at = now.plus(ITEM_LEASE);
            }
        }
    }

    /// Handles the end of a run. A result is accepted from any run as long as the item has none; a
    /// failure is counted only from the run that holds the lease, so only once.
    pub fn finish(
        &mut self,
        relay: NodeId,
        run: Run,
        end: RunEnd,
        now: MonotonicMs,
    ) -> Vec<RowChange> {
        let owns_lease = self.leases.get(&run).is_some_and(|lease| lease.relay == relay);
        if owns_lease {
            self.leases.remove(&run);
        }
        let Some(entry) = self.batches.get_mut(&run.batch.number) else { return Vec::new() };
        let max_attempts = entry.row.terms.max_attempts;
        let Some(open) = entry.open_items.get_mut(&run.item) else { return Vec::new() };
        let result = match end {
            RunEnd::StreamComplete { text } => {
                Some(ItemEnd::Complete { status: 200, body: text.into() })
            }
            RunEnd::Impossible => Some(ItemEnd::Abandoned),
            RunEnd::Failed if owns_lease => {
                open.failed_attempts += 1;
                (open.failed_attempts >= max_attempts).then_some(ItemEnd::Abandoned)
            }
            RunEnd::Interrupted(progress) => {
                // Only the pool that produced an output can go on from it.
                let kept = &open.progress;
                let is_useful = if kept.pool.is_none() || kept.pool == progress.pool {
                    progress.last_event > kept.last_event
                } else {
                    owns_lease
                };
                if is_useful && progress.text.len() <= MAX_PROGRESS_BYTES {
                    open.progress = progress;
                }
                None
            }
            RunEnd::Failed | RunEnd::NotRun | RunEnd::Unknown | RunEnd::Complete { .. } => None,
        };
        if let Some(result) = result {
            return self.record_result(run.batch, run.item, result, now);
        }
        if owns_lease && let Some(key) = self.queue_key(run.batch, run.item) {
            self.queue.insert(key);
        }
        Vec::new()
    }

    /// Records an item's result at the next position; every result goes through here.
    fn record_result(
        &mut self,
        batch: BatchId,
        item: ItemNumber,
        end: ItemEnd,
        now: MonotonicMs,
    ) -> Vec<RowChange> {
        let Some(open) = self.remove_open_item(batch, item) else { return Vec::new() };
        let Some(entry) = self.batches.get_mut(&batch.number) else { return Vec::new() };
        entry.row.result_count += 1;
        entry.row.age = entry.age(now);
        let position = entry.row.result_count;
        let bytes = stored_bytes(&end);
        entry.result_bytes += bytes;
        self.bytes += bytes;
        let result = ItemResult { position, item, id: Some(open.id), end };
        let changes = vec![
            rows::delete_item(batch.number, item),
            rows::result(batch.number, &result),
            rows::batch(batch.number, &entry.row),
        ];
        self.mark_if_finished(batch.number);
        changes
    }

    /// Removes an item from the queue, the leases and all sums.
    fn remove_open_item(&mut self, batch: BatchId, item: ItemNumber) -> Option<OpenItem> {
        let key = self.queue_key(batch, item)?;
        let entry = self.batches.get_mut(&batch.number)?;
        let open = entry.open_items.remove(&item)?;
        self.queue.remove(&key);
        self.waiting_cost = Tokens(self.waiting_cost.0.saturating_sub(open.cost.0));
        self.bytes = self.bytes.saturating_sub(open.bytes);
        self.leases.retain(|run, _| (run.batch, run.item) != (batch, item));
        Some(open)
    }

    fn mark_if_finished(&mut self, number: u64) {
        let Some(entry) = self.batches.get(&number).filter(|entry| entry.open_items.is_empty())
        else {
            return;
        };
        let at = entry.reaches_age_at(entry.row.terms.retention);
        if self.abandon_deadlines.remove(&(at, number)) {
            self.finished.push_back(number);
        }
    }

    /// Ends a batch: items without a result get none. Returns `None` if the batch is unknown.
    pub fn end(&mut self, batch: BatchId, now: MonotonicMs) -> Option<Vec<RowChange>> {
        let entry = self.batches.get_mut(&batch.number)?;
        if entry.row.ended || entry.open_items.is_empty() {
            return Some(Vec::new());
        }
        entry.row.ended = true;
        entry.row.age = entry.age(now);
        let open: Vec<ItemNumber> = entry.open_items.keys().copied().collect();
        let mut changes = vec![rows::batch(batch.number, &entry.row)];
        for item in open {
            self.remove_open_item(batch, item);
            changes.push(rows::delete_item(batch.number, item));
        }
        self.mark_if_finished(batch.number);
        Some(changes)
    }

    /// Deletes finished batches older than `keep`.
    pub fn remove_expired(&mut self, keep: DurationMs, now: MonotonicMs) -> Vec<RowChange> {
        let mut changes = Vec::new();
        while let Some(number) = self.finished.front().copied() {
            if self.batches.get(&number).is_some_and(|entry| entry.age(now) < keep) {
                break;
            }
            self.finished.pop_front();
            if let Some(entry) = self.batches.remove(&number) {
                self.bytes = self.bytes.saturating_sub(entry.result_bytes);
                changes.extend(rows::delete_all(number, entry.row.result_count));
            }
        }
        changes
    }

    /// Expires leases, and abandons items whose batch has reached its retention time.
    pub fn tick(&mut self, now: MonotonicMs) -> Vec<RowChange> {
        let expired: Vec<Run> =
            self.leases.iter().filter(|(_, l)| now >= l.expires_at).map(|(run, _)| *run).collect();
        for run in expired {
            self.leases.remove(&run);
            if let Some(key) = self.queue_key(run.batch, run.item) {
                self.queue.insert(key);
            }
        }
        let mut changes = Vec::new();
        while let Some((at, number)) =
            self.abandon_deadlines.first().copied().filter(|(at, _)| now >= *at)
        {
            let items =
                self.batches.get(&number).map(|entry| entry.open_items.keys().copied().collect());
            let items: Vec<ItemNumber> = items.unwrap_or_default();
            let batch = BatchId { shard: self.shard, number };
            for item in items {
                changes.extend(self.record_result(batch, item, ItemEnd::Abandoned, now));
            }
            self.abandon_deadlines.remove(&(at, number));
        }
        changes
    }
}
