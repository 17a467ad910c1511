//! The batches of one shard, as held by its primary.

mod changes;
mod read;
pub mod routed;
pub(crate) mod rows;

use topazyard_types::{
    BatchId, BootId, DurationMs, ItemNumber, MonotonicMs, NodeId, ShardId, Tokens,
};
use topazyard_wire::message::batch::Run;

pub use read::{results, status, waiting_cost};

/// How long a relay may take to start a leased item, or to report a routed run as still running.
pub const ITEM_LEASE: DurationMs = DurationMs(2_500);
/// Time without a report of a run after which its outcome counts as unknown.
const RUN_TIMEOUT: DurationMs = DurationMs(5_000);

/// State of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) enum ItemState {
    /// It may be leased.
    Waiting {
        /// Whether an earlier run was started whose outcome is unknown.
        may_have_run: bool,
    },
    /// It runs at a relay.
    Started {
        /// The lease of the run.
        lease: u64,
        /// The relay that runs it.
        relay: NodeId,
        /// Whether an earlier run was started whose outcome is unknown.
        may_have_run: bool,
    },
    /// It has its final result.
    Finished {
        /// Position of the result in the batch's result list.
        position: u32,
    },
}

/// The row of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct BatchRow {
    pub(crate) items: u32,
    pub(crate) finished: u32,
    pub(crate) ended: bool,
}

/// What the primary keeps in memory of an item.
#[derive(Debug, Clone)]
struct ItemEntry {
    state: ItemState,
    model: topazyard_types::ModelName,
    repeatable: bool,
    cost: Tokens,
}

#[derive(Debug, Clone)]
struct BatchEntry {
    row: BatchRow,
    items: Vec<ItemEntry>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    relay: NodeId,
    expires_at: MonotonicMs,
}

/// The batches of a shard.
#[derive(Debug)]
pub struct Batches {
    shard: ShardId,
    batches: std::collections::BTreeMap<u64, BatchEntry>,
    /// Items that may be leased, oldest first.
    queue: std::collections::VecDeque<(u64, ItemNumber)>,
    leases: std::collections::BTreeMap<Run, Lease>,
    last_heard: std::collections::BTreeMap<Run, MonotonicMs>,
    waiting_cost: Tokens,
    /// Batches with all their results, and when this node learned of it.
    finished: std::collections::VecDeque<(MonotonicMs, u64)>,
    last_lease: u64,
    /// Batches of routed items, which have their own rows and rules.
    pub routed: routed::RoutedBatches,
}

impl Batches {
    /// Rebuilds the state from a copy of the shard's rows, when this node becomes the primary.
    pub fn from_copy(
        shard: ShardId,
        copy: &topazyard_replication::Copy,
        boot_id: BootId,
        now: MonotonicMs,
    ) -> Self {
        let mut batches = Self {
            shard,
            batches: std::collections::BTreeMap::new(),
            queue: std::collections::VecDeque::new(),
            leases: std::collections::BTreeMap::new(),
            last_heard: std::collections::BTreeMap::new(),
            waiting_cost: Tokens(0),
            finished: std::collections::VecDeque::new(),
            last_lease: boot_id.first_number(),
            routed: routed::RoutedBatches::from_copy(shard, copy, boot_id, now),
        };
        for (number, row) in rows::batches(copy) {
            let mut items = Vec::new();
            for item in (0..row.items).map(ItemNumber) {
                let (Some(state), Some(stored_item)) =
                    (rows::state_of(copy, number, item), rows::item_of(copy, number, item))
                else {
                    continue;
                };
                let run = |lease| Run { batch: BatchId { shard, number }, item, lease };
                match state {
                    ItemState::Waiting { .. } => batches.queue.push_back((number, item)),
                    // A relay keeps reporting a run that is still going; any other run times out.
                    ItemState::Started { lease, .. } => {
                        batches.last_heard.insert(run(lease), now);
                    }
                    ItemState::Finished { .. } => {}
                }
                if !matches!(state, ItemState::Finished { .. }) {
                    batches.waiting_cost = batches.waiting_cost.plus(stored_item.cost);
                }
                items.push(ItemEntry {
                    state,
                    model: stored_item.model,
                    repeatable: stored_item.repeatable,
                    cost: stored_item.cost,
                });
            }
            // Retention starts anew at each primary: a batch may be kept longer than required,
            // never shorter.
            if row.finished == row.items {
                batches.finished.push_back((now, number));
            }
            batches.batches.insert(number, BatchEntry { row, items });
        }
        batches
    }

    /// Cost of all items without a final result, not counting routed batches.
    pub fn waiting_cost(&self) -> Tokens {
        self.waiting_cost
    }

    /// Cost of all items without a final result, including routed batches.
    pub fn total_waiting_cost(&self) -> Tokens {
        self.waiting_cost.plus(self.routed.waiting_cost())
    }

    /// Whether the batch is known.
    pub fn contains(&self, batch: BatchId) -> bool {
        batch.shard == self.shard && self.batches.contains_key(&batch.number)
    }

    fn batch_id(&self, number: u64) -> BatchId {
        BatchId { shard: self.shard, number }
    }

    fn item_entry(&self, batch: BatchId, item: ItemNumber) -> Option<&ItemEntry> {
        self.batches.get(&batch.number)?.items.get(item.0 as usize)
    }
}
