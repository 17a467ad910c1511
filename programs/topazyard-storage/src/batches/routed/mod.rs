//! Batches of routed items, as a shard's primary holds them. Their items may run more than once,
//! so that a lease is all that a run needs; the first result that is committed is the item's.

mod changes;
mod read;
mod rows;

use topazyard_types::{
    BatchId, DurationMs, ItemNumber, Life, MonotonicMs, NodeId, RouteName, ShardId, Tokens,
};
use topazyard_wire::invariants::{self, Invariant};
use topazyard_wire::message::batch::{Progress, Run, Terms};

pub use changes::SubmitOutcome;
pub use read::{body, results, status};

/// A batch's own row.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct RoutedBatchRow {
    terms: Terms,
    items: u32,
    listed: u32,
    ended: bool,
    /// How old the batch was when this row was written: a successor goes on from there.
    age: DurationMs,
}

/// What the primary keeps of an item without a result.
#[derive(Debug, Clone)]
struct OpenItem {
    id: String,
    cost: Tokens,
    bytes: u64,
    failed_attempts: u32,
    progress: Progress,
}

#[derive(Debug, Clone)]
struct BatchEntry {
    row: RoutedBatchRow,
    /// When it became known here, and how old it was then.
    known_since: MonotonicMs,
    initial_age: DurationMs,
    open: std::collections::BTreeMap<ItemNumber, OpenItem>,
    /// Bytes of its results.
    result_bytes: u64,
}

impl BatchEntry {
    fn age(&self, now: MonotonicMs) -> DurationMs {
        DurationMs(self.initial_age.0 + now.since(self.known_since).0)
    }

    /// When it reaches_age_at an age; its beginning may lie before this process's clock does.
    fn reaches_age_at(&self, age: DurationMs) -> MonotonicMs {
        self.known_since.plus(DurationMs(age.0.saturating_sub(self.initial_age.0)))
    }
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    relay: NodeId,
    expires_at: MonotonicMs,
}

/// An item's place in the queue: when it is due, its batch and its number.
type QueueKey = (MonotonicMs, u64, ItemNumber);

/// Batches of a shard.
#[derive(Debug)]
pub struct RoutedBatches {
    shard: ShardId,
    batches: std::collections::BTreeMap<u64, BatchEntry>,
    /// Items that may be leased, the first due first.
    queue: std::collections::BTreeSet<QueueKey>,
    leases: std::collections::BTreeMap<Run, Lease>,
    /// The cost of open items by route.
    waiting_cost: std::collections::BTreeMap<RouteName, Tokens>,
    /// Batches with open items, by when these are given up.
    abandon_deadlines: std::collections::BTreeSet<(MonotonicMs, u64)>,
    /// Batches that have ended or have all their results, in that order.
    finished: std::collections::VecDeque<u64>,
    /// Bytes of all bodies and results.
    bytes: u64,
    last_lease: u64,
}

/// Checks that a batch that is taken over has each of its items, open or with a result.
fn check_complete(number: u64, row: &RoutedBatchRow, open: usize, results: usize) {
    let listed = row.listed as usize;
    let has_items = row.ended || open + listed == row.items as usize;
    invariants::check(has_items && results == listed, Invariant::BatchIsWhole, || {
        format!("batch={number:016x} open={open} results={results} row={row:?}")
    });
}

impl RoutedBatches {
    /// The batches that a copy holds.
    pub(super) fn from_copy(
        shard: ShardId,
        copy: &topazyard_replication::Copy,
        life: Life,
        now: MonotonicMs,
    ) -> Self {
        let mut batches = Self {
            shard,
            batches: std::collections::BTreeMap::new(),
            queue: std::collections::BTreeSet::new(),
            leases: std::collections::BTreeMap::new(),
            waiting_cost: std::collections::BTreeMap::new(),
            abandon_deadlines: std::collections::BTreeSet::new(),
            finished: std::collections::VecDeque::new(),
            bytes: 0,
            last_lease: life.first_number(),
        };
        for (number, row) in rows::batches(copy) {
            let items = (0..row.items).map(ItemNumber);
            let open = items.filter_map(|item| {
                let value = rows::item_of(copy, number, item)?;
                Some((item, OpenItem::new(&value)))
            });
            let open: std::collections::BTreeMap<ItemNumber, OpenItem> = open.collect();
            let results = (1..=row.listed).filter_map(|at| rows::result_of(copy, number, at));
            let bytes: Vec<u64> =
                results.map(|result| changes::stored_bytes(&result.end)).collect();
            check_complete(number, &row, open.len(), bytes.len());
            let (result_bytes, initial_age) = (bytes.into_iter().sum(), row.age);
            batches.insert(
                number,
                BatchEntry { row, known_since: now, initial_age, open, result_bytes },
            );
        }
        batches
    }

    /// Begins to hold a batch.
    fn insert(&mut self, number: u64, entry: BatchEntry) {
        let due = entry.reaches_age_at(entry.row.terms.run_target);
        let route = self.waiting_cost.entry(entry.row.terms.route.clone()).or_default();
        for (item, open) in &entry.open {
            *route = route.plus(open.cost);
            self.queue.insert((due, number, *item));
            self.bytes += open.bytes;
        }
        self.bytes += entry.result_bytes;
        if entry.open.is_empty() {
            self.finished.push_back(number);
        } else {
            self.abandon_deadlines
                .insert((entry.reaches_age_at(entry.row.terms.retention), number));
        }
        self.batches.insert(number, entry);
    }

    /// The cost of all items without a result.
    pub fn waiting_cost(&self) -> Tokens {
        self.waiting_cost.values().copied().sum()
    }

    /// The cost of a route's items without a result.
    pub fn waiting_cost_of(&self, route: &RouteName) -> Tokens {
        self.waiting_cost.get(route).copied().unwrap_or_default()
    }

    /// How many batches are kept, finished ones among them.
    pub fn count(&self) -> usize {
        self.batches.len()
    }

    /// Items without a result.
    pub fn open_items(&self) -> usize {
        self.batches.values().map(|entry| entry.open.len()).sum()
    }

    /// Whether the batch is known.
    pub fn contains(&self, batch: BatchId) -> bool {
        batch.shard == self.shard && self.batches.contains_key(&batch.number)
    }

    /// Bytes of all bodies and results.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
