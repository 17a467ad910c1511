//! Batches of routed items, as a shard's primary holds them. Their items may run more than once,
//! so that a lease is all that a run needs; the first result that is committed is the item's.

mod changes;
mod read;
mod rows;

use topazyard_types::{
    BatchId, BootId, DurationMs, ItemNumber, MonotonicMs, NodeId, RouteName, ShardId, Tokens,
};
use topazyard_wire::invariants::{self, Invariant};
use topazyard_wire::message::batch::{Progress, RoutedBatchTerms, Run};

pub use changes::Taken;
pub use read::{body, results, standing};

/// A batch's own row.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct RoutedBatchRow {
    terms: RoutedBatchTerms,
    items: u32,
    listed: u32,
    ended: bool,
    /// How old the batch was when this row was written: a successor goes on from there.
    age: DurationMs,
}

/// What the primary keeps of an item without a result.
#[derive(Debug, Clone)]
struct Open {
    id: String,
    cost: Tokens,
    bytes: u64,
    failed_attempts: u32,
    progress: Progress,
}

#[derive(Debug, Clone)]
struct Held {
    row: RoutedBatchRow,
    /// When it became known here, and how old it was then.
    since: MonotonicMs,
    age_then: DurationMs,
    open: std::collections::BTreeMap<ItemNumber, Open>,
    /// Bytes of its results.
    result_bytes: u64,
}

impl Held {
    fn age(&self, now: MonotonicMs) -> DurationMs {
        DurationMs(self.age_then.0 + now.since(self.since).0)
    }

    /// When it reaches an age; its beginning may lie before this process's clock does.
    fn reaches(&self, age: DurationMs) -> MonotonicMs {
        self.since.plus(DurationMs(age.0.saturating_sub(self.age_then.0)))
    }
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    relay: NodeId,
    until: MonotonicMs,
}

/// An item's place in the queue: when it is due, its batch and its number.
type Place = (MonotonicMs, u64, ItemNumber);

/// Batches of a shard.
#[derive(Debug)]
pub struct RoutedBatches {
    shard: ShardId,
    held: std::collections::BTreeMap<u64, Held>,
    /// Items that may be leased, the first due first.
    queue: std::collections::BTreeSet<Place>,
    leases: std::collections::BTreeMap<Run, Lease>,
    /// The cost of open items by route.
    waiting: std::collections::BTreeMap<RouteName, Tokens>,
    /// Batches with open items, by when these are given up.
    give_up: std::collections::BTreeSet<(MonotonicMs, u64)>,
    /// Batches that have ended or have all their results, in that order.
    finished: std::collections::VecDeque<u64>,
    /// Bytes of all bodies and results.
    bytes: u64,
    last_lease: u64,
}

/// Checks that a batch that is taken over has each of its items, open or with a result.
fn check_whole(number: u64, row: &RoutedBatchRow, open: usize, results: usize) {
    let listed = row.listed as usize;
    let has_items = row.ended || open + listed == row.items as usize;
    invariants::check(has_items && results == listed, Invariant::BatchIsWhole, || {
        format!("batch={number:016x} open={open} results={results} row={row:?}")
    });
}

impl RoutedBatches {
    /// The batches that a copy holds.
    pub(super) fn taken_over(
        shard: ShardId,
        copy: &topazyard_replication::Copy,
        boot_id: BootId,
        now: MonotonicMs,
    ) -> Self {
        let mut batches = Self {
            shard,
            held: std::collections::BTreeMap::new(),
            queue: std::collections::BTreeSet::new(),
            leases: std::collections::BTreeMap::new(),
            waiting: std::collections::BTreeMap::new(),
            give_up: std::collections::BTreeSet::new(),
            finished: std::collections::VecDeque::new(),
            bytes: 0,
            last_lease: boot_id.first_number(),
        };
        for (number, row) in rows::batches(copy) {
            let items = (0..row.items).map(ItemNumber);
            let open = items.filter_map(|item| {
                let value = rows::item_of(copy, number, item)?;
                Some((item, Open::new(&value)))
            });
            let open: std::collections::BTreeMap<ItemNumber, Open> = open.collect();
            let results = (1..=row.listed).filter_map(|at| rows::result_of(copy, number, at));
            let bytes: Vec<u64> = results.map(|result| changes::bytes_of(&result.end)).collect();
            check_whole(number, &row, open.len(), bytes.len());
            let (result_bytes, age_then) = (bytes.into_iter().sum(), row.age);
            batches.hold(number, Held { row, since: now, age_then, open, result_bytes });
        }
        batches
    }

    /// Begins to hold a batch.
    fn hold(&mut self, number: u64, held: Held) {
        let due = held.reaches(held.row.terms.run_target);
        let route = self.waiting.entry(held.row.terms.route.clone()).or_default();
        for (item, open) in &held.open {
            *route = route.plus(open.cost);
            self.queue.insert((due, number, *item));
            self.bytes += open.bytes;
        }
        self.bytes += held.result_bytes;
        if held.open.is_empty() {
            self.finished.push_back(number);
        } else {
            self.give_up.insert((held.reaches(held.row.terms.retention), number));
        }
        self.held.insert(number, held);
    }

    /// The cost of all items without a result.
    pub fn waiting(&self) -> Tokens {
        self.waiting.values().copied().sum()
    }

    /// The cost of a route's items without a result.
    pub fn waiting_on(&self, route: &RouteName) -> Tokens {
        self.waiting.get(route).copied().unwrap_or_default()
    }

    /// How many batches are kept, finished ones among them.
    pub fn count(&self) -> usize {
        self.held.len()
    }

    /// Items without a result.
    pub fn open_items(&self) -> usize {
        self.held.values().map(|held| held.open.len()).sum()
    }

    /// Whether the batch is known.
    pub fn contains(&self, batch: BatchId) -> bool {
        batch.shard == self.shard && self.held.contains_key(&batch.number)
    }

    /// Bytes of all bodies and results.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
