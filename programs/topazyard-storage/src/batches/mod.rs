//! The batches of one shard, as its primary holds them.

mod changes;
mod read;
pub mod routed;
pub(crate) mod rows;

use topazyard_types::{
    BatchId, BootId, DurationMs, ItemNumber, MonotonicMs, NodeId, ShardId, Tokens,
};
use topazyard_wire::message::batch::Run;

pub use read::{returns, standing, waiting_cost};

/// How long a leased item waits for its start.
pub const LEASE: DurationMs = DurationMs(2_500);
/// After how long without a word of a run its outcome counts as unknown.
const RUN_SILENT: DurationMs = DurationMs(5_000);

/// How an item stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) enum ItemState {
    /// It may be leased.
    Waiting {
        /// Whether it was started before and nobody knows what came of it.
        may_have_run: bool,
    },
    /// It runs at a relay.
    Started {
        /// Under which lease.
        lease: u64,
        /// Where.
        relay: NodeId,
        /// Whether it was started before and nobody knows what came of that.
        may_have_run: bool,
    },
    /// It has its final return at a position.
    Returned {
        /// The position.
        position: u32,
    },
}

/// A batch's own row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct BatchRow {
    pub(crate) items: u32,
    pub(crate) returned: u32,
    pub(crate) ended: bool,
}

/// What the primary keeps of an item beside its state.
#[derive(Debug, Clone)]
struct ItemFacts {
    state: ItemState,
    model: topazyard_types::ModelName,
    repeatable: bool,
    cost: Tokens,
}

#[derive(Debug, Clone)]
struct Batch {
    row: BatchRow,
    items: Vec<ItemFacts>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    relay: NodeId,
    until: MonotonicMs,
}

/// The batches of a shard.
#[derive(Debug)]
pub struct Batches {
    shard: ShardId,
    batches: std::collections::BTreeMap<u64, Batch>,
    /// Items that may be leased, oldest first.
    queue: std::collections::VecDeque<(u64, ItemNumber)>,
    leases: std::collections::BTreeMap<Run, Lease>,
    heard: std::collections::BTreeMap<Run, MonotonicMs>,
    waiting: Tokens,
    /// Batches with all their returns, and since when that is known here.
    finished: std::collections::VecDeque<(MonotonicMs, u64)>,
    last_lease: u64,
    /// Routed batches, which have rows and rules of their own.
    pub routed: routed::RoutedBatches,
}

impl Batches {
    /// The batches that a copy holds.
    pub fn taken_over(
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
            heard: std::collections::BTreeMap::new(),
            waiting: Tokens(0),
            finished: std::collections::VecDeque::new(),
            last_lease: boot_id.first_number(),
            routed: routed::RoutedBatches::taken_over(shard, copy, boot_id, now),
        };
        for (number, row) in rows::batches(copy) {
            let mut items = Vec::new();
            for item in (0..row.items).map(ItemNumber) {
                let (Some(state), Some(facts)) =
                    (rows::state_of(copy, number, item), rows::item_of(copy, number, item))
                else {
                    continue;
                };
                let run = |lease| Run { batch: BatchId { shard, number }, item, lease };
                match state {
                    ItemState::Waiting { .. } => batches.queue.push_back((number, item)),
                    // A run that is still going will be heard of; one that isn't times out.
                    ItemState::Started { lease, .. } => {
                        batches.heard.insert(run(lease), now);
                    }
                    ItemState::Returned { .. } => {}
                }
                if !matches!(state, ItemState::Returned { .. }) {
                    batches.waiting = batches.waiting.plus(facts.cost);
                }
                items.push(ItemFacts {
                    state,
                    model: facts.model,
                    repeatable: facts.repeatable,
                    cost: facts.cost,
                });
            }
            // A successor counts anew: a batch may be kept longer than it must, never shorter.
            if row.returned == row.items {
                batches.finished.push_back((now, number));
            }
            batches.batches.insert(number, Batch { row, items });
        }
        batches
    }

    /// The cost of all items without a final return, those of routed batches left out.
    pub fn waiting(&self) -> Tokens {
        self.waiting
    }

    /// The cost of all items without a final return or result.
    pub fn waiting_with_routed(&self) -> Tokens {
        self.waiting.plus(self.routed.waiting())
    }

    /// Whether the batch is known.
    pub fn contains(&self, batch: BatchId) -> bool {
        batch.shard == self.shard && self.batches.contains_key(&batch.number)
    }

    fn id(&self, number: u64) -> BatchId {
        BatchId { shard: self.shard, number }
    }

    fn facts(&self, batch: BatchId, item: ItemNumber) -> Option<&ItemFacts> {
        self.batches.get(&batch.number)?.items.get(item.0 as usize)
    }
}
