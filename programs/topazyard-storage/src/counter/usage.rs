//! How much of a pool's budget is counted as taken.
//!
//! Holds of prompts and items are counted whole. The blocks that relays keep for the requests of
//! routes are room, of which each relay uses a part that swings: all relays seldom need their peak
//! at the same moment. So what they use is counted, and beside it a reserve for their swings that
//! grows as independent swings add up, with the root of the sum of their squares
//! (statistical multiplexing).

use topazyard_types::{EngineName, NodeId, Tokens};

/// The reserve beside which blocks are granted, in halves of what independent swings come to. With
/// it few relays' spare room is counted whole, that of six relays alike just so.
const BLOCK_RESERVE_HALVES: u64 = 5;
/// The reserve beside which items are granted, likewise: blocks may go above the limit beside items.
const ITEM_RESERVE_HALVES: u64 = 3;
/// Blocks are granted up to so many times the limit, whatever is used of them: the bound on what
/// all relays could use before a renewal tells it.
const BLOCK_OVERCOMMIT_FACTOR: u64 = 2;
/// Where items take their part of it, blocks may go so far above the limit, in percent: the limit
/// is 85 % of what engines hold, and what was granted to items comes back only as they end.
const MAX_PERCENT_WITH_ITEMS: u64 = 115;

/// What one relay keeps in blocks, and what it last told to use of them.
#[derive(Debug, Default, Clone, Copy)]
struct RelayBlocks {
    granted: u64,
    used: u64,
}

impl RelayBlocks {
    fn used(self) -> u64 {
        self.used.min(self.granted)
    }

    fn spare(self) -> u64 {
        self.granted - self.used()
    }
}

/// What is taken of one pool's budget.
#[derive(Debug, Default)]
pub(super) struct PoolUsage {
    live: u64,
    items: u64,
    /// What items hold of each engine.
    items_at: std::collections::BTreeMap<EngineName, u64>,
    blocks: std::collections::BTreeMap<NodeId, RelayBlocks>,
    /// Sums over all usage: of what they hold, of what is used, and of their spare parts' squares.
    granted: u64,
    used: u64,
    spare_squares: u128,
}

impl PoolUsage {
    pub(super) fn add_live(&mut self, charge: Tokens) {
        self.live += charge.0;
    }

    pub(super) fn remove_live(&mut self, charge: Tokens) {
        self.live -= charge.0;
    }

    pub(super) fn add_item(&mut self, engine: Option<&EngineName>, charge: Tokens) {
        self.items += charge.0;
        if let Some(engine) = engine {
            *self.items_at.entry(engine.clone()).or_default() += charge.0;
        }
    }

    pub(super) fn remove_item(&mut self, engine: Option<&EngineName>, charge: Tokens) {
        self.items -= charge.0;
        let Some(engine) = engine else { return };
        if let Some(held) = self.items_at.get_mut(engine) {
            *held -= charge.0;
            if *held == 0 {
                self.items_at.remove(engine);
            }
        }
    }

    /// Of engines, the one of which items hold least; the first of equals.
    pub(super) fn least_loaded<'a>(&self, engines: &'a [EngineName]) -> Option<&'a EngineName> {
        engines.iter().min_by_key(|engine| self.items_at.get(*engine).copied().unwrap_or(0))
    }

    /// A relay has one block more. It asked since what it had was used up, so this one counts as
    /// used until the relay tells more.
    pub(super) fn add_block(&mut self, relay: NodeId, charge: Tokens) {
        self.update(relay, |blocks| {
            blocks.granted += charge.0;
            blocks.used += charge.0;
        });
    }

    pub(super) fn remove_block(&mut self, relay: NodeId, charge: Tokens) {
        self.update(relay, |blocks| blocks.granted -= charge.0);
        if self.blocks.get(&relay).is_some_and(|blocks| blocks.granted == 0) {
            self.blocks.remove(&relay);
        }
    }

    /// A relay tells what its requests hold of its blocks.
    pub(super) fn record_used(&mut self, relay: NodeId, used: Tokens) {
        if self.blocks.contains_key(&relay) {
            self.update(relay, |blocks| blocks.used = used.0);
        }
    }

    fn update(&mut self, relay: NodeId, change: impl FnOnce(&mut RelayBlocks)) {
        let blocks = self.blocks.entry(relay).or_default();
        let square = |blocks: RelayBlocks| u128::from(blocks.spare()).pow(2);
        self.granted -= blocks.granted;
        self.used -= blocks.used();
        self.spare_squares -= square(*blocks);
        change(blocks);
        self.granted += blocks.granted;
        self.used += blocks.used();
        self.spare_squares += square(*blocks);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.live == 0 && self.items == 0 && self.blocks.is_empty()
    }

    /// What live prompts hold and the requests of routes use.
    pub(super) fn live(&self) -> Tokens {
        Tokens(self.live + self.used)
    }

    /// That and a reserve of so many halves of a reserve.
    fn live_with_reserve(&self, halves: u64) -> u64 {
        let reserve = self.spare_squares.isqrt() as u64 * halves / 2;
        self.live + self.used + reserve.min(self.granted - self.used)
    }

    /// What is held, with blocks counted whole.
    pub(super) fn held(&self) -> Tokens {
        Tokens(self.live + self.items + self.granted)
    }

    pub(super) fn items(&self) -> Tokens {
        Tokens(self.items)
    }

    /// Whether a prompt or an item of that charge fits.
    pub(super) fn fits(&self, charge: Tokens, limit: Tokens) -> bool {
        let live = self.live_with_reserve(ITEM_RESERVE_HALVES) + charge.0;
        limit > Tokens(0) && live + self.items <= limit.0
    }

    /// Whether a block of that charge fits.
    pub(super) fn fits_block(&self, charge: Tokens, limit: Tokens) -> bool {
        let live = self.live_with_reserve(BLOCK_RESERVE_HALVES) + charge.0;
        let max_total = limit.0 * MAX_PERCENT_WITH_ITEMS / 100;
        limit > Tokens(0)
            && live <= limit.0
            && live + self.items <= max_total
            && self.granted + charge.0 <= limit.0 * BLOCK_OVERCOMMIT_FACTOR
    }

    /// One summary for the log.
    pub(super) fn summary(&self) -> String {
        let (used, granted, relays) = (self.used, self.granted, self.blocks.len());
        let (live, items) = (self.live_with_reserve(BLOCK_RESERVE_HALVES), self.items);
        format!(
            "{live} live, of which {used} used of {granted} in blocks of {relays} relays; {items} items"
        )
    }
}
