//! How much of a pool's token budget counts as taken.
//!
//! Holds of prompts and items count in full. Blocks are tokens that a relay reserves for the
//! requests on routes; each relay uses a fluctuating part of its blocks, and the relays seldom
//! reach their peaks at the same time. So the used tokens count, plus a reserve for fluctuations.
//! For independent fluctuations it grows with the square root of the sum of their squares
//! (statistical multiplexing).

use topazyard_types::{EngineName, NodeId, Tokens};

/// Reserve kept when granting blocks, in halves of the root of the summed squares of the relays'
/// unused blocks. At 5 halves the unused blocks of up to six equal relays count in full.
const BLOCK_RESERVE_HALVES: u64 = 5;
/// Reserve kept when granting items, in the same unit. Smaller than for blocks, because blocks may
/// exceed the limit while items hold a part of it.
const ITEM_RESERVE_HALVES: u64 = 3;
/// Blocks are granted up to this multiple of the limit, however few of their tokens are used.
/// Bounds what all relays can use before a renewal reports it.
const BLOCK_OVERCOMMIT_FACTOR: u64 = 2;
/// While items hold a part of the limit, blocks may raise the total to this percentage of it: the
/// limit is 85 % of the engines' capacity, and tokens granted to items are freed only as the items
/// end.
const MAX_PERCENT_WITH_ITEMS: u64 = 115;

/// Tokens that one relay holds in blocks, and how many of them it last reported as used.
#[derive(Debug, Default, Clone, Copy)]
struct RelayBlocks {
    granted: u64,
    used: u64,
}

impl RelayBlocks {
    fn used(self) -> u64 {
        self.used.min(self.granted)
    }

    fn unused(self) -> u64 {
        self.granted - self.used()
    }
}

/// Usage of one pool's budget.
#[derive(Debug, Default)]
pub(super) struct PoolUsage {
    live: u64,
    items: u64,
    /// Tokens held by items, by engine.
    items_by_engine: std::collections::BTreeMap<EngineName, u64>,
    blocks: std::collections::BTreeMap<NodeId, RelayBlocks>,
    /// Sums over the blocks of all relays: tokens granted, tokens used, and squares of tokens
    /// unused.
    granted: u64,
    used: u64,
    unused_squares: u128,
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
            *self.items_by_engine.entry(engine.clone()).or_default() += charge.0;
        }
    }

    pub(super) fn remove_item(&mut self, engine: Option<&EngineName>, charge: Tokens) {
        self.items -= charge.0;
        let Some(engine) = engine else { return };
        if let Some(held) = self.items_by_engine.get_mut(engine) {
            *held -= charge.0;
            if *held == 0 {
                self.items_by_engine.remove(engine);
            }
        }
    }

    /// The engine with the fewest item tokens; the first one on a tie.
    pub(super) fn least_loaded<'a>(&self, engines: &'a [EngineName]) -> Option<&'a EngineName> {
        engines.iter().min_by_key(|engine| self.items_by_engine.get(*engine).copied().unwrap_or(0))
    }

    /// Adds a block to a relay's. The relay requested it because its blocks were used up, so it
    /// counts as used until the relay's next report.
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

    /// Records how many tokens a relay's requests use of its blocks.
    pub(super) fn record_used(&mut self, relay: NodeId, used: Tokens) {
        if self.blocks.contains_key(&relay) {
            self.update(relay, |blocks| blocks.used = used.0);
        }
    }

    fn update(&mut self, relay: NodeId, change: impl FnOnce(&mut RelayBlocks)) {
        let blocks = self.blocks.entry(relay).or_default();
        let square = |blocks: RelayBlocks| u128::from(blocks.unused()).pow(2);
        self.granted -= blocks.granted;
        self.used -= blocks.used();
        self.unused_squares -= square(*blocks);
        change(blocks);
        self.granted += blocks.granted;
        self.used += blocks.used();
        self.unused_squares += square(*blocks);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.live == 0 && self.items == 0 && self.blocks.is_empty()
    }

    /// Tokens held by live prompts and used by requests on routes.
    pub(super) fn live(&self) -> Tokens {
        Tokens(self.live + self.used)
    }

    /// Live tokens plus a reserve for fluctuations of the given size.
    fn live_with_reserve(&self, halves: u64) -> u64 {
        let reserve = self.unused_squares.isqrt() as u64 * halves / 2;
        self.live + self.used + reserve.min(self.granted - self.used)
    }

    /// Tokens held, counting granted blocks in full.
    pub(super) fn held(&self) -> Tokens {
        Tokens(self.live + self.items + self.granted)
    }

    pub(super) fn items(&self) -> Tokens {
        Tokens(self.items)
    }

    /// Whether a prompt or an item of this charge fits.
    pub(super) fn fits(&self, charge: Tokens, limit: Tokens) -> bool {
        let live = self.live_with_reserve(ITEM_RESERVE_HALVES) + charge.0;
        limit > Tokens(0) && live + self.items <= limit.0
    }

    /// Whether a block of this charge fits.
    pub(super) fn fits_block(&self, charge: Tokens, limit: Tokens) -> bool {
        let live = self.live_with_reserve(BLOCK_RESERVE_HALVES) + charge.0;
        let max_total = limit.0 * MAX_PERCENT_WITH_ITEMS / 100;
        limit > Tokens(0)
            && live <= limit.0
            && live + self.items <= max_total
            && self.granted + charge.0 <= limit.0 * BLOCK_OVERCOMMIT_FACTOR
    }

    /// The usage as text for the log.
    pub(super) fn summary(&self) -> String {
        let (used, granted, relays) = (self.used, self.granted, self.blocks.len());
        let (live, items) = (self.live_with_reserve(BLOCK_RESERVE_HALVES), self.items);
        format!(
            "{live} tokens live with reserve, {used} used of {granted} in blocks of \
             {relays} relays, {items} held by items"
        )
    }
}
