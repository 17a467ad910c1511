//! Batches of routed items, as held by a shard's primary. Routed items may run more than once, so a
//! run needs only a lease; the first committed result counts.

mod changes;
mod read;
mod rows;

use topazyard_types::{
    BatchId, BootId, DurationMs, ItemNumber, MonotonicMs, NodeId, ShardId, Tokens,
};
use topazyard_wire::invariants::{self, Invariant};
use topazyard_wire::message::batch::{Progress, RoutedBatchTerms, Run};
use topazyard_wire::routes::RoutePaths;

pub use changes::SubmitOutcome;
pub use read::{body, results, status};

/// The row of a batch.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct RoutedBatchRow {
    terms: RoutedBatchTerms,
    items: u32,
    result_count: u32,
    ended: bool,
    /// Age of the batch when this row was written; the next primary counts on from it.
    age: DurationMs,
}

/// What the primary keeps in memory of an item without a result.
#[derive(Debug, Clone)]
struct OpenItem {
    id: String,
    /// Decides its route, together with the host of the batch.
    path: String,
    cost: Tokens,
    bytes: u64,
    failed_attempts: u32,
    progress: Progress,
}

#[derive(Debug, Clone)]
struct BatchEntry {
    row: RoutedBatchRow,
    /// When this node learned of the batch, and the batch's age at that time.
    known_since: MonotonicMs,
    initial_age: DurationMs,
    open_items: std::collections::BTreeMap<ItemNumber, OpenItem>,
    /// Size of its results, in bytes.
    result_bytes: u64,
}

impl BatchEntry {
    fn age(&self, now: MonotonicMs) -> DurationMs {
        DurationMs(self.initial_age.0 + now.since(self.known_since).0)
    }

    /// Cost of the items without a result that take a route.
    fn waiting_cost_on(&self, route: &RoutePaths) -> Tokens {
        let host = &self.row.terms.host;
        let items = self.open_items.values();
        items.filter(|item| route.contains(host, &item.path)).map(|item| item.cost).sum()
    }

    /// When the batch reaches an age. Computed from the known age, because its submission may lie
    /// before the start of this process's clock.
    fn reaches_age_at(&self, age: DurationMs) -> MonotonicMs {
        self.known_since.plus(DurationMs(age.0.saturating_sub(self.initial_age.0)))
    }
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    relay: NodeId,
    expires_at: MonotonicMs,
}

/// Position of an item in the queue: its due time, its batch and its number.
type QueueKey = (MonotonicMs, u64, ItemNumber);

/// The batches of routed items of a shard.
#[derive(Debug)]
pub struct RoutedBatches {
    shard: ShardId,
    batches: std::collections::BTreeMap<u64, BatchEntry>,
    /// Items that may be leased, ordered by due time.
    queue: std::collections::BTreeSet<QueueKey>,
    leases: std::collections::BTreeMap<Run, Lease>,
    /// Cost of all items without a result.
    waiting_cost: Tokens,
    /// Batches with open items, by the time at which the items are abandoned.
    abandon_deadlines: std::collections::BTreeSet<(MonotonicMs, u64)>,
    /// Batches that have ended or have all their results, in that order.
    finished: std::collections::VecDeque<u64>,
    /// Size of all bodies and results, in bytes.
    bytes: u64,
    last_lease: u64,
}

/// Checks that a batch loaded from a copy has all its items, each open or with a result.
fn check_complete(number: u64, row: &RoutedBatchRow, open: usize, results: usize) {
    let result_count = row.result_count as usize;
    let has_items = row.ended || open + result_count == row.items as usize;
    invariants::check(has_items && results == result_count, Invariant::BatchIsWhole, || {
        format!("batch={number:016x} open={open} results={results} row={row:?}")
    });
}

impl RoutedBatches {
    /// Rebuilds the state from a copy of the shard's rows, when this node becomes the primary.
    pub(super) fn from_copy(
        shard: ShardId,
        copy: &topazyard_replication::Copy,
        boot_id: BootId,
        now: MonotonicMs,
    ) -> Self {
        let mut batches = Self {
            shard,
            batches: std::collections::BTreeMap::new(),
            queue: std::collections::BTreeSet::new(),
            leases: std::collections::BTreeMap::new(),
            waiting_cost: Tokens(0),
            abandon_deadlines: std::collections::BTreeSet::new(),
            finished: std::collections::VecDeque::new(),
            bytes: 0,
            last_lease: boot_id.first_number(),
        };
        for (number, row) in rows::batches(copy) {
            let items = (0..row.items).map(ItemNumber);
            let open = items.filter_map(|item| {
                let value = rows::item_of(copy, number, item)?;
                Some((item, OpenItem::new(&value)))
            });
            let open_items: std::collections::BTreeMap<ItemNumber, OpenItem> = open.collect();
            let results = (1..=row.result_count).filter_map(|at| rows::result_of(copy, number, at));
            let bytes: Vec<u64> =
                results.map(|result| changes::stored_bytes(&result.end)).collect();
            check_complete(number, &row, open_items.len(), bytes.len());
            let (result_bytes, initial_age) = (bytes.into_iter().sum(), row.age);
            batches.insert(
                number,
                BatchEntry { row, known_since: now, initial_age, open_items, result_bytes },
            );
        }
        batches
    }

    /// Adds a batch to the maps, the queue and all sums.
    fn insert(&mut self, number: u64, entry: BatchEntry) {
        let due = entry.reaches_age_at(entry.row.terms.run_target);
        for (item, open) in &entry.open_items {
            self.waiting_cost = self.waiting_cost.plus(open.cost);
            self.queue.insert((due, number, *item));
            self.bytes += open.bytes;
        }
        self.bytes += entry.result_bytes;
        if entry.open_items.is_empty() {
            self.finished.push_back(number);
        } else {
            self.abandon_deadlines
                .insert((entry.reaches_age_at(entry.row.terms.retention), number));
        }
        self.batches.insert(number, entry);
    }

    /// Cost of all items without a result.
    pub fn waiting_cost(&self) -> Tokens {
        self.waiting_cost
    }

    /// Cost of the items without a result that take a route, whatever it was named when they were
    /// submitted.
    pub fn waiting_cost_on(&self, route: &RoutePaths) -> Tokens {
        let waits_on_host = |entry: &&BatchEntry| {
            !entry.open_items.is_empty() && entry.row.terms.host == route.host
        };
        let batches = self.batches.values().filter(waits_on_host);
        batches.map(|entry| entry.waiting_cost_on(route)).sum()
    }

    /// Number of batches, including finished ones.
    pub fn count(&self) -> usize {
        self.batches.len()
    }

    /// Number of items without a result.
    pub fn open_items(&self) -> usize {
        self.batches.values().map(|entry| entry.open_items.len()).sum()
    }

    /// Whether the batch is known.
    pub fn contains(&self, batch: BatchId) -> bool {
        batch.shard == self.shard && self.batches.contains_key(&batch.number)
    }

    /// Size of all bodies and results, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
