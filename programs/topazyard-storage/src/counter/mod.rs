//! The in-flight counter, kept in memory on two nodes.
//!
//! The check and the add are one step of one owner, so two prompts can't both find the same room.

mod rows;
mod usage;

use topazyard_types::{
    DurationMs, EngineName, Epoch, HoldId, Life, MonotonicMs, NodeId, PoolName, ShardId, Tokens,
};
use topazyard_wire::RowChange;
use topazyard_wire::message::counter::{Hold, HoldKind};

/// How long a relay's holds stand without a renewal.
pub const RELAY_LEASE: DurationMs = DurationMs(3_000);
/// How long a counter without any copy gathers holds before it grants. All relays that live renew
/// within that time, and the leases of all others have run out.
const GATHER_DURATION: DurationMs = DurationMs(3_500);

/// The part of the limit, in percent, from which blocks are granted while holds are gathered.
const GATHERING_PERCENT: u64 = 50;

#[derive(Debug, Clone)]
struct HoldEntry {
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
    pub life: Life,
    /// Rises with each report of that life.
    pub number: u64,
    /// The cost that waits there.
    pub total: Tokens,
}

/// The counter as its primary holds it.
#[derive(Debug, Default)]
pub struct Counter {
    holds: std::collections::BTreeMap<(NodeId, HoldId), HoldEntry>,
    usage: std::collections::BTreeMap<PoolName, usage::PoolUsage>,
    leases: std::collections::BTreeMap<NodeId, MonotonicMs>,
    reports: std::collections::BTreeMap<ShardId, Report>,
    gathering_until: Option<MonotonicMs>,
}

/// What comes of a check and add.
#[derive(Debug, PartialEq, Eq)]
pub enum AddOutcome {
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
    ///     topazyard_storage::counter::Counter::from_copy(&Copy::default(), MonotonicMs(0));
    /// assert!(counter.is_gathering(MonotonicMs(10)));
    /// ```
    pub fn from_copy(copy: &topazyard_replication::Copy, now: MonotonicMs) -> Self {
        let mut counter = Self::default();
        let is_empty = copy.position().sequence == topazyard_types::Sequence(0);
        counter.gathering_until = is_empty.then(|| now.plus(GATHER_DURATION));
        for (relay, hold) in rows::holds(copy) {
            counter.leases.entry(relay).or_insert_with(|| now.plus(RELAY_LEASE));
            counter.insert(relay, hold, now);
        }
        counter.reports = rows::reports(copy).collect();
        counter
    }

    /// Whether it still gathers.
    pub fn is_gathering(&self, now: MonotonicMs) -> bool {
        self.gathering_until.is_some_and(|until| now < until)
    }

    /// Tokens held in a pool, with blocks counted whole.
    pub fn held(&self, pool: &PoolName) -> Tokens {
        self.usage.get(pool).map_or(Tokens(0), usage::PoolUsage::held)
    }

    /// Tokens that live prompts hold and requests of routes use, in all pools.
    pub fn live_tokens(&self) -> Tokens {
        self.usage.values().map(usage::PoolUsage::live).sum()
    }

    /// What is taken of each pool's budget, a summary each, for the log.
    pub fn usage_summaries(&self) -> impl Iterator<Item = String> {
        self.usage.iter().map(|(pool, usage)| format!("budget of {pool}: {}", usage.summary()))
    }

    /// How many holds there are.
    pub fn hold_count(&self) -> usize {
        self.holds.len()
    }

    fn insert(&mut self, relay: NodeId, hold: Hold, now: MonotonicMs) {
        // A cost above the whole limit counts as the limit: it runs alone rather than never.
        let charge = Tokens(hold.cost.0.min(hold.terms.limit.0));
        let expires = now.plus(hold.terms.expiry);
        self.remove(relay, hold.id);
        let usage = self.usage.entry(hold.pool.clone()).or_default();
        match hold.kind {
            HoldKind::Live => usage.add_live(charge),
            HoldKind::Item => usage.add_item(hold.engines.first(), charge),
            HoldKind::Block => usage.add_block(relay, charge),
        }
        self.holds.insert((relay, hold.id), HoldEntry { hold, charge, expires });
    }

    /// Takes a hold out of all sums; gives whether there was one.
    fn remove(&mut self, relay: NodeId, id: HoldId) -> bool {
        let Some(HoldEntry { hold, charge, .. }) = self.holds.remove(&(relay, id)) else {
            return false;
        };
        if let Some(usage) = self.usage.get_mut(&hold.pool) {
            match hold.kind {
                HoldKind::Live => usage.remove_live(charge),
                HoldKind::Item => usage.remove_item(hold.engines.first(), charge),
                HoldKind::Block => usage.remove_block(relay, charge),
            }
            if usage.is_empty() {
                self.usage.remove(&hold.pool);
            }
        }
        true
    }

    /// Checks and adds, in one. The same hold again changes nothing.
    pub fn add(&mut self, relay: NodeId, hold: &Hold, now: MonotonicMs) -> AddOutcome {
        if self.holds.contains_key(&(relay, hold.id)) {
            return AddOutcome::Added(Vec::new());
        }
        let gathering = self.is_gathering(now);
        if gathering && hold.kind == HoldKind::Live {
            return AddOutcome::Gathering;
        }
        let charge = Tokens(hold.cost.0.min(hold.terms.limit.0));
        let no_usage = usage::PoolUsage::default();
        let usage = self.usage.get(&hold.pool).unwrap_or(&no_usage);
        let fits = match (gathering, hold.kind) {
            // What relays hold from before is told within moments; until all have, blocks and items
            // are granted from a part of the limit, with blocks counted whole, so that service after
            // the loss of all holders does not wait.
            (true, _) => {
                let gathering_limit = hold.terms.limit.0 * GATHERING_PERCENT / 100;
                usage.held().plus(charge).0 <= gathering_limit
            }
            (false, HoldKind::Block) => usage.fits_block(charge, hold.terms.limit),
            (false, _) => usage.fits(charge, hold.terms.limit),
        };
        let within_item_limit = hold.kind != HoldKind::Item || {
            let percent = if gathering { GATHERING_PERCENT } else { 100 };
            let item_limit = hold.terms.part.0 * percent / 100;
            let items = usage.items();
            // One item larger than the whole part may run alone, likewise.
            item_limit > 0 && (items == Tokens(0) || items.plus(charge).0 <= item_limit)
        };
        if !fits || !within_item_limit {
            return AddOutcome::Refused;
        }
        // Of the engines that it may use it gets the one with the least items: no relay sees them all.
        let engine = usage.least_loaded(&hold.engines).cloned();
        let hold = Hold { engines: engine.into_iter().collect(), ..hold.clone() };
        self.leases.insert(relay, now.plus(RELAY_LEASE));
        let change = rows::hold(relay, &hold);
        self.insert(relay, hold, now);
        AddOutcome::Added(vec![change])
    }

    /// The engine that a granted hold was given, if its engine was chosen with it.
    pub fn engine_of(&self, relay: NodeId, id: HoldId) -> Option<EngineName> {
        self.holds.get(&(relay, id))?.hold.engines.first().cloned()
    }

    /// Lets a hold go; once is enough.
    pub fn release(&mut self, relay: NodeId, id: HoldId) -> Vec<RowChange> {
        let existed = self.remove(relay, id);
        existed.then(|| rows::delete_hold(relay, id)).into_iter().collect()
    }

    /// Renews a relay's lease: what it lists stands, what it doesn't list goes, up to an id.
    pub fn renew(
        &mut self,
        relay: NodeId,
        up_to: HoldId,
        holds: &[Hold],
        requested: &[HoldId],
        now: MonotonicMs,
    ) -> Vec<RowChange> {
        self.leases.insert(relay, now.plus(RELAY_LEASE));
        let listed: std::collections::BTreeSet<HoldId> =
            holds.iter().map(|hold| hold.id).chain(requested.iter().copied()).collect();
        let gone: Vec<HoldId> = self
            .holds
            .range((relay, HoldId(0))..=(relay, up_to))
            .map(|((_, id), _)| *id)
            .filter(|id| !listed.contains(id))
            .collect();
        let mut changes: Vec<RowChange> =
            gone.into_iter().flat_map(|id| self.release(relay, id)).collect();
        for hold in holds {
            // Above the limit if need be: these run already.
            match self.holds.get_mut(&(relay, hold.id)) {
                Some(held) => held.expires = now.plus(hold.terms.expiry),
                None => {
                    changes.push(rows::hold(relay, hold));
                    self.insert(relay, hold.clone(), now);
                }
            }
        }
        changes
    }

    /// A relay tells what its requests hold of its blocks, by pool.
    pub fn record_used(&mut self, relay: NodeId, used: &[(PoolName, Tokens)]) {
        for (pool, used) in used {
            if let Some(usage) = self.usage.get_mut(pool) {
                usage.record_used(relay, *used);
            }
        }
    }

    /// Frees what relays that are gone held, and what nobody renewed.
    pub fn tick(&mut self, now: MonotonicMs) -> Vec<RowChange> {
        let expired: Vec<NodeId> =
            self.leases.iter().filter(|(_, until)| now >= **until).map(|(id, _)| *id).collect();
        for relay in &expired {
            self.leases.remove(relay);
        }
        let due: Vec<(NodeId, HoldId)> = self
            .holds
            .iter()
            .filter(|((relay, _), held)| {
                let lapses = held.hold.kind != HoldKind::Block && expired.contains(relay);
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
        received: Report,
        requested: Tokens,
        ceiling: Tokens,
        now: MonotonicMs,
    ) -> Option<(bool, Vec<RowChange>)> {
        let known = self.reports.get(&shard);
        let is_stale = |known: &Report| {
            let same = known.shard_epoch == received.shard_epoch && known.life == received.life;
            known.shard_epoch > received.shard_epoch || (same && known.number >= received.number)
        };
        if known.is_some_and(is_stale) {
            return None;
        }
        self.reports.insert(shard, received);
        // What a shard keeps that nobody serves just now still waits: without its report nothing
        // can be granted.
        let mut shards = ShardId::all().filter(|shard| !shard.is_counter());
        let all_reported = shards.all(|shard| self.reports.contains_key(&shard));
        if requested > Tokens(0) && (self.is_gathering(now) || !all_reported) {
            return None;
        }
        let all = self.reports.values().map(|report| report.total).sum::<Tokens>().plus(requested);
        let granted = requested == Tokens(0) || all <= ceiling;
        let total = if granted { received.total.plus(requested) } else { received.total };
        let report = Report { total, ..received };
        self.reports.insert(shard, report);
        Some((granted, vec![rows::report(shard, &report)]))
    }
}
