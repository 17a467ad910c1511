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
const HALVES_BESIDE_BLOCKS: u64 = 5;
/// The reserve beside which items are granted, likewise: blocks may go above the limit beside items.
const HALVES_BESIDE_ITEMS: u64 = 3;
/// Blocks are granted up to so many times the limit, whatever is used of them: the bound on what
/// all relays could use before a renewal tells it.
const ROOM_OF_LIMIT: u64 = 2;
/// Where items take their part of it, blocks may go so far above the limit, in percent: the limit
/// is 85 % of what engines hold, and what was granted to items comes back only as they end.
const BESIDE_ITEMS_PERCENT: u64 = 115;

/// What one relay keeps in blocks, and what it last told to use of them.
#[derive(Debug, Default, Clone, Copy)]
struct Room {
    granted: u64,
    used: u64,
}

impl Room {
    fn used(self) -> u64 {
        self.used.min(self.granted)
    }

    fn spare(self) -> u64 {
        self.granted - self.used()
    }
}

/// What is taken of one pool's budget.
#[derive(Debug, Default)]
pub(super) struct Taken {
    live: u64,
    items: u64,
    /// What items hold of each engine.
    items_at: std::collections::BTreeMap<EngineName, u64>,
    rooms: std::collections::BTreeMap<NodeId, Room>,
    /// Sums over all rooms: of what they hold, of what is used, and of their spare parts' squares.
    granted: u64,
    used: u64,
    spare_squares: u128,
}

impl Taken {
    pub(super) fn add_live(&mut self, charge: Tokens) {
        self.live += charge.0;
    }

    pub(super) fn end_live(&mut self, charge: Tokens) {
        self.live -= charge.0;
    }

    pub(super) fn add_item(&mut self, engine: Option<&EngineName>, charge: Tokens) {
        self.items += charge.0;
        if let Some(engine) = engine {
            *self.items_at.entry(engine.clone()).or_default() += charge.0;
        }
    }

    pub(super) fn end_item(&mut self, engine: Option<&EngineName>, charge: Tokens) {
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
    pub(super) fn least_held<'a>(&self, engines: &'a [EngineName]) -> Option<&'a EngineName> {
        engines.iter().min_by_key(|engine| self.items_at.get(*engine).copied().unwrap_or(0))
    }

    /// A relay has one block more. It asked since what it had was used up, so this one counts as
    /// used until the relay tells more.
    pub(super) fn add_block(&mut self, relay: NodeId, charge: Tokens) {
        self.change(relay, |room| {
            room.granted += charge.0;
            room.used += charge.0;
        });
    }

    pub(super) fn end_block(&mut self, relay: NodeId, charge: Tokens) {
        self.change(relay, |room| room.granted -= charge.0);
        if self.rooms.get(&relay).is_some_and(|room| room.granted == 0) {
            self.rooms.remove(&relay);
        }
    }

    /// A relay tells what its requests hold of its blocks.
    pub(super) fn tell_used(&mut self, relay: NodeId, used: Tokens) {
        if self.rooms.contains_key(&relay) {
            self.change(relay, |room| room.used = used.0);
        }
    }

    fn change(&mut self, relay: NodeId, change: impl FnOnce(&mut Room)) {
        let room = self.rooms.entry(relay).or_default();
        let square = |room: Room| u128::from(room.spare()).pow(2);
        self.granted -= room.granted;
        self.used -= room.used();
        self.spare_squares -= square(*room);
        change(room);
        self.granted += room.granted;
        self.used += room.used();
        self.spare_squares += square(*room);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.live == 0 && self.items == 0 && self.rooms.is_empty()
    }

    /// What live prompts hold and the requests of routes use.
    pub(super) fn live(&self) -> Tokens {
        Tokens(self.live + self.used)
    }

    /// That and a reserve of so many halves of a swing.
    fn likely_live(&self, halves: u64) -> u64 {
        let swing = self.spare_squares.isqrt() as u64 * halves / 2;
        self.live + self.used + swing.min(self.granted - self.used)
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
        let likely = self.likely_live(HALVES_BESIDE_ITEMS) + charge.0;
        limit > Tokens(0) && likely + self.items <= limit.0
    }

    /// Whether a block of that charge fits.
    pub(super) fn fits_block(&self, charge: Tokens, limit: Tokens) -> bool {
        let likely = self.likely_live(HALVES_BESIDE_BLOCKS) + charge.0;
        let most = limit.0 * BESIDE_ITEMS_PERCENT / 100;
        limit > Tokens(0)
            && likely <= limit.0
            && likely + self.items <= most
            && self.granted + charge.0 <= limit.0 * ROOM_OF_LIMIT
    }

    /// One line for the log.
    pub(super) fn line(&self) -> String {
        let (used, granted, relays) = (self.used, self.granted, self.rooms.len());
        let (live, items) = (self.likely_live(HALVES_BESIDE_BLOCKS), self.items);
        format!(
            "{live} live, of which {used} used of {granted} in rooms of {relays} relays; {items} items"
        )
    }
}
