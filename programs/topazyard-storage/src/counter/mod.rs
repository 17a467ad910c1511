//! The in-flight counter, kept in memory on two nodes.
//!
//! The check and the add are one step of one owner, so two prompts can't both find the same room.

mod rooms;
mod rows;

use topazyard_types::{
    BootId, DurationMs, EngineName, Epoch, HoldId, MonotonicMs, NodeId, PoolName, ShardId, Tokens,
};
use topazyard_wire::RowChange;
use topazyard_wire::message::counter::{Hold, HoldKind};

/// How long a relay's holds stand without a renewal.
pub const LEASE: DurationMs = DurationMs(3_000);
/// How long a counter without any copy gathers holds before it grants. All relays that live renew
/// within that time, and the leases of all others have run out.
const GATHER: DurationMs = DurationMs(3_500);

/// The part of the limit, in percent, from which blocks are granted while holds are gathered.
const GATHERING_PERCENT: u64 = 50;

#[derive(Debug, Clone)]
struct Held {
    hold: Hold,
    charge: Tokens,
    expires: MonotonicMs,
}

/// A shard's report of its waiting cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The shard's epoch.
    pub shard_epoch: Epoch,
    /// The life of the shard's primary; numbers are compared within one.
    pub boot_id: BootId,
    /// Rises with each report of that life.
    pub number: u64,
    /// The cost that waits there.
    pub total: Tokens,
}

/// The counter as its primary holds it.
#[derive(Debug, Default)]
pub struct Counter {
    held: std::collections::BTreeMap<(NodeId, HoldId), Held>,
    taken: std::collections::BTreeMap<PoolName, rooms::Taken>,
    leases: std::collections::BTreeMap<NodeId, MonotonicMs>,
    reports: std::collections::BTreeMap<ShardId, Report>,
    gathers_until: Option<MonotonicMs>,
}

/// What comes of a check and add.
#[derive(Debug, PartialEq, Eq)]
pub enum Checked {
    /// Added, with the rows that record it.
    Added(Vec<RowChange>),
    /// There is no room.
    Refused,
    /// The counter can't tell yet.
    Gathering,
}

impl Counter {
    /// The counter that a copy holds; one without any history gathers before it grants.
    ///
    /// ```
    /// use topazyard_replication::Copy;
    /// use topazyard_types::MonotonicMs;
    /// let counter =
    ///     topazyard_storage::counter::Counter::taken_over(&Copy::default(), MonotonicMs(0));
    /// assert!(counter.is_gathering(MonotonicMs(10)));
    /// ```
    pub fn taken_over(copy: &topazyard_replication::Copy, now: MonotonicMs) -> Self {
        let mut counter = Self::default();
        let blank = copy.position().sequence == topazyard_types::Sequence(0);
        counter.gathers_until = blank.then(|| now.plus(GATHER));
        for (relay, hold) in rows::holds(copy) {
            counter.leases.entry(relay).or_insert_with(|| now.plus(LEASE));
            counter.hold(relay, hold, now);
        }
        counter.reports = rows::reports(copy).collect();
        counter
    }

    /// Whether it still gathers.
    pub fn is_gathering(&self, now: MonotonicMs) -> bool {
        self.gathers_until.is_some_and(|until| now < until)
    }

    /// Tokens held in a pool, with blocks counted whole.
    pub fn held(&self, pool: &PoolName) -> Tokens {
        self.taken.get(pool).map_or(Tokens(0), rooms::Taken::held)
    }

    /// Tokens that live prompts hold and requests of routes use, in all pools.
    pub fn live_tokens(&self) -> Tokens {
        self.taken.values().map(rooms::Taken::live).sum()
    }

    /// What is taken of each pool's budget, a line each, for the log.
    pub fn lines(&self) -> impl Iterator<Item = String> {
        self.taken.iter().map(|(pool, taken)| format!("budget of {pool}: {}", taken.line()))
    }

    /// How many holds there are.
    pub fn holds(&self) -> usize {
        self.held.len()
    }

    fn hold(&mut self, relay: NodeId, hold: Hold, now: MonotonicMs) {
        // A cost above the whole limit counts as the limit: it runs alone rather than never.
        let charge = Tokens(hold.cost.0.min(hold.terms.limit.0));
        let expires = now.plus(hold.terms.expiry);
        self.let_go(relay, hold.id);
        let taken = self.taken.entry(hold.pool.clone()).or_default();
        match hold.kind {
            HoldKind::Live => taken.add_live(charge),
            HoldKind::Item => taken.add_item(hold.engines.first(), charge),
            HoldKind::Block => taken.add_block(relay, charge),
        }
        self.held.insert((relay, hold.id), Held { hold, charge, expires });
    }

    /// Takes a hold out of all sums; gives whether there was one.
    fn let_go(&mut self, relay: NodeId, id: HoldId) -> bool {
        let Some(Held { hold, charge, .. }) = self.held.remove(&(relay, id)) else { return false };
        if let Some(taken) = self.taken.get_mut(&hold.pool) {
            match hold.kind {
                HoldKind::Live => taken.end_live(charge),
                HoldKind::Item => taken.end_item(hold.engines.first(), charge),
                HoldKind::Block => taken.end_block(relay, charge),
            }
            if taken.is_empty() {
                self.taken.remove(&hold.pool);
            }
        }
        true
    }

    /// Checks and adds, in one. The same hold again changes nothing.
    pub fn add(&mut self, relay: NodeId, hold: &Hold, now: MonotonicMs) -> Checked {
        if self.held.contains_key(&(relay, hold.id)) {
            return Checked::Added(Vec::new());
        }
        let gathering = self.is_gathering(now);
        if gathering && hold.kind == HoldKind::Live {
            return Checked::Gathering;
        }
        let charge = Tokens(hold.cost.0.min(hold.terms.limit.0));
        let nothing = rooms::Taken::default();
        let taken = self.taken.get(&hold.pool).unwrap_or(&nothing);
        let fits = match (gathering, hold.kind) {
            // What relays hold from before is told within moments; until all have, blocks and items
            // are granted from a part of the limit, with blocks counted whole, so that service after
            // the loss of all holders does not wait.
            (true, _) => {
                let room = hold.terms.limit.0 * GATHERING_PERCENT / 100;
                taken.held().plus(charge).0 <= room
            }
            (false, HoldKind::Block) => taken.fits_block(charge, hold.terms.limit),
            (false, _) => taken.fits(charge, hold.terms.limit),
        };
        let within_part = hold.kind != HoldKind::Item || {
            let percent = if gathering { GATHERING_PERCENT } else { 100 };
            let part = hold.terms.part.0 * percent / 100;
            let items = taken.items();
            // One item larger than the whole part may run alone, likewise.
            part > 0 && (items == Tokens(0) || items.plus(charge).0 <= part)
        };
        if !fits || !within_part {
            return Checked::Refused;
        }
        // Of the engines that it may use it gets the one with the least items: no relay sees them all.
        let engine = taken.least_held(&hold.engines).cloned();
        let hold = Hold { engines: engine.into_iter().collect(), ..hold.clone() };
        self.leases.insert(relay, now.plus(LEASE));
        let change = rows::hold(relay, &hold);
        self.hold(relay, hold, now);
        Checked::Added(vec![change])
    }

    /// The engine that a granted hold was given, if its engine was chosen with it.
    pub fn engine_of(&self, relay: NodeId, id: HoldId) -> Option<EngineName> {
        self.held.get(&(relay, id))?.hold.engines.first().cloned()
    }

    /// Lets a hold go; once is enough.
    pub fn release(&mut self, relay: NodeId, id: HoldId) -> Vec<RowChange> {
        let was_held = self.let_go(relay, id);
        was_held.then(|| rows::no_hold(relay, id)).into_iter().collect()
    }

    /// Renews a relay's lease: what it lists stands, what it doesn't list goes, up to an id.
    pub fn renew(
        &mut self,
        relay: NodeId,
        up_to: HoldId,
        holds: &[Hold],
        asked: &[HoldId],
        now: MonotonicMs,
    ) -> Vec<RowChange> {
        self.leases.insert(relay, now.plus(LEASE));
        let listed: std::collections::BTreeSet<HoldId> =
            holds.iter().map(|hold| hold.id).chain(asked.iter().copied()).collect();
        let gone: Vec<HoldId> = self
            .held
            .range((relay, HoldId(0))..=(relay, up_to))
            .map(|((_, id), _)| *id)
            .filter(|id| !listed.contains(id))
            .collect();
        let mut changes: Vec<RowChange> =
            gone.into_iter().flat_map(|id| self.release(relay, id)).collect();
        for hold in holds {
            // Above the limit if need be: these run already.
            match self.held.get_mut(&(relay, hold.id)) {
                Some(held) => held.expires = now.plus(hold.terms.expiry),
                None => {
                    changes.push(rows::hold(relay, hold));
                    self.hold(relay, hold.clone(), now);
                }
            }
        }
        changes
    }

    /// A relay tells what its requests hold of its blocks, by pool.
    pub fn tell_used(&mut self, relay: NodeId, used: &[(PoolName, Tokens)]) {
        for (pool, used) in used {
            if let Some(taken) = self.taken.get_mut(pool) {
                taken.tell_used(relay, *used);
            }
        }
    }

    /// Frees what relays that are gone held, and what nobody renewed.
    pub fn tick(&mut self, now: MonotonicMs) -> Vec<RowChange> {
        let lapsed: Vec<NodeId> =
            self.leases.iter().filter(|(_, until)| now >= **until).map(|(id, _)| *id).collect();
        for relay in &lapsed {
            self.leases.remove(relay);
        }
        let due: Vec<(NodeId, HoldId)> = self
            .held
            .iter()
            .filter(|((relay, _), held)| {
                let lapses = held.hold.kind != HoldKind::Block && lapsed.contains(relay);
                lapses || now >= held.expires
            })
            .map(|(key, _)| *key)
            .collect();
        due.into_iter().flat_map(|(relay, id)| self.release(relay, id)).collect()
    }

    /// Takes a shard's report of its waiting cost, and checks what it asks for besides against the
    /// ceiling. Gives whether that is granted, or nothing where the report is old or the counter
    /// can't tell yet.
    pub fn report(
        &mut self,
        shard: ShardId,
        told: Report,
        asked: Tokens,
        ceiling: Tokens,
        now: MonotonicMs,
    ) -> Option<(bool, Vec<RowChange>)> {
        let known = self.reports.get(&shard);
        let is_old = |known: &Report| {
            let same = known.shard_epoch == told.shard_epoch && known.boot_id == told.boot_id;
            known.shard_epoch > told.shard_epoch || (same && known.number >= told.number)
        };
        if known.is_some_and(is_old) {
            return None;
        }
        self.reports.insert(shard, told);
        // What a shard keeps that nobody serves just now still waits: without its report nothing
        // can be granted.
        let mut shards = ShardId::all().filter(|shard| !shard.is_counter());
        let all_told = shards.all(|shard| self.reports.contains_key(&shard));
        if asked > Tokens(0) && (self.is_gathering(now) || !all_told) {
            return None;
        }
        let all = self.reports.values().map(|report| report.total).sum::<Tokens>().plus(asked);
        let granted = asked == Tokens(0) || all <= ceiling;
        let total = if granted { told.total.plus(asked) } else { told.total };
        let report = Report { total, ..told };
        self.reports.insert(shard, report);
        Some((granted, vec![rows::report(shard, &report)]))
    }
}
