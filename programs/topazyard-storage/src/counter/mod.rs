//! The in-flight token counter, kept in memory by a primary and its backups.
//!
//! Its primary checks the budget and adds a hold in one step, so two prompts can't be granted the
//! same tokens.

mod rows;
mod usage;

use topazyard_types::{
    BootId, DurationMs, EngineName, Epoch, HoldId, MonotonicMs, NodeId, PoolName, ShardId, Tokens,
};
use topazyard_wire::RowChange;
use topazyard_wire::message::counter::{Hold, HoldKind};

/// Lease of a relay's holds: they are released after this time without a renewal.
pub const RELAY_LEASE: DurationMs = DurationMs(3_000);
/// How long a counter that starts without a copy gathers holds before it grants freely. Within this
/// time every live relay renews, and the leases of all others expire.
const GATHER_DURATION: DurationMs = DurationMs(3_500);

/// The share of a limit, in percent, up to which blocks and items are granted while gathering.
const GATHERING_PERCENT: u64 = 50;

#[derive(Debug, Clone)]
struct HoldEntry {
    hold: Hold,
    charge: Tokens,
    expires_at: MonotonicMs,
}

/// A shard's report of its waiting cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The shard's epoch.
    pub shard_epoch: Epoch,
    /// Identifies the process of the shard's primary; numbers are compared only within one process.
    pub boot_id: BootId,
    /// Increases with each report of that process.
    pub number: u64,
    /// Cost of the items waiting in the shard.
    pub total: Tokens,
}

/// The counter's state at its primary.
#[derive(Debug, Default)]
pub struct Counter {
    holds: std::collections::BTreeMap<(NodeId, HoldId), HoldEntry>,
    usage: std::collections::BTreeMap<PoolName, usage::PoolUsage>,
    leases: std::collections::BTreeMap<NodeId, MonotonicMs>,
    reports: std::collections::BTreeMap<ShardId, Report>,
    gathering_until: Option<MonotonicMs>,
}

/// Outcome of checking and adding a hold.
#[derive(Debug, PartialEq, Eq)]
pub enum AddOutcome {
    /// Added, with the rows that record it.
    Added(Vec<RowChange>),
    /// The hold does not fit the budget.
    Refused,
    /// The counter is still gathering holds and can't decide.
    Gathering,
}

impl Counter {
    /// Rebuilds the counter from a copy of its rows, when this node becomes the primary. A copy
    /// without any history makes it gather holds before it grants.
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

    /// Whether the counter is still gathering holds.
    pub fn is_gathering(&self, now: MonotonicMs) -> bool {
        self.gathering_until.is_some_and(|until| now < until)
    }

    /// Tokens held in a pool, counting granted blocks in full.
    pub fn held(&self, pool: &PoolName) -> Tokens {
        self.usage.get(pool).map_or(Tokens(0), usage::PoolUsage::held)
    }

    /// Tokens held by live prompts and used by requests on routes, over all pools.
    pub fn live_tokens(&self) -> Tokens {
        self.usage.values().map(usage::PoolUsage::live).sum()
    }

    /// A log line for each pool with the usage of its budget.
    pub fn usage_summaries(&self) -> impl Iterator<Item = String> {
        self.usage.iter().map(|(pool, usage)| format!("budget of {pool}: {}", usage.summary()))
    }

    /// Number of holds.
    pub fn hold_count(&self) -> usize {
        self.holds.len()
    }

    fn insert(&mut self, relay: NodeId, hold: Hold, now: MonotonicMs) {
        // A cost above the whole limit counts as the limit, so that it runs alone rather than
        // never.
        let charge = Tokens(hold.cost.0.min(hold.terms.limit.0));
        let expires_at = now.plus(hold.terms.expiry);
        self.remove(relay, hold.id);
        let usage = self.usage.entry(hold.pool.clone()).or_default();
        match hold.kind {
            HoldKind::Live => usage.add_live(charge),
            HoldKind::Item => usage.add_item(hold.engines.first(), charge),
            HoldKind::Block => usage.add_block(relay, charge),
        }
        self.holds.insert((relay, hold.id), HoldEntry { hold, charge, expires_at });
    }

    /// Removes a hold and its charge; returns whether it existed.
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

    /// Checks the budget and adds the hold in one step. Adding the same hold again changes nothing.
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
            // Relays report the holds they already have with their next renewal. Until all have,
            // blocks and items are granted from a part of the limit, with granted blocks counted in
            // full, so that service resumes without waiting after all copies were lost.
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
            // A single item larger than the whole item limit runs alone rather than never.
            item_limit > 0 && (items == Tokens(0) || items.plus(charge).0 <= item_limit)
        };
        if !fits || !within_item_limit {
            return AddOutcome::Refused;
        }
        // Choose the allowed engine with the fewest item tokens: no relay sees the items of all
        // relays.
        let engine = usage.least_loaded(&hold.engines).cloned();
        let hold = Hold { engines: engine.into_iter().collect(), ..hold.clone() };
        self.leases.insert(relay, now.plus(RELAY_LEASE));
        let change = rows::hold(relay, &hold);
        self.insert(relay, hold, now);
        AddOutcome::Added(vec![change])
    }

    /// The engine assigned to a granted hold, if one was assigned.
    pub fn engine_of(&self, relay: NodeId, id: HoldId) -> Option<EngineName> {
        self.holds.get(&(relay, id))?.hold.engines.first().cloned()
    }

    /// Releases a hold. Idempotent.
    pub fn release(&mut self, relay: NodeId, id: HoldId) -> Vec<RowChange> {
        let existed = self.remove(relay, id);
        existed.then(|| rows::delete_hold(relay, id)).into_iter().collect()
    }

    /// Renews a relay's lease. Listed holds stay; unlisted holds up to `up_to` are released.
    pub fn renew(
        &mut self,
        relay: NodeId,
        up_to: HoldId,
        holds: &[Hold],
        pending: &[HoldId],
        now: MonotonicMs,
    ) -> Vec<RowChange> {
        self.leases.insert(relay, now.plus(RELAY_LEASE));
        let listed: std::collections::BTreeSet<HoldId> =
            holds.iter().map(|hold| hold.id).chain(pending.iter().copied()).collect();
        let gone: Vec<HoldId> = self
            .holds
            .range((relay, HoldId(0))..=(relay, up_to))
            .map(|((_, id), _)| *id)
            .filter(|id| !listed.contains(id))
            .collect();
        let mut changes: Vec<RowChange> =
            gone.into_iter().flat_map(|id| self.release(relay, id)).collect();
        for hold in holds {
            // Added even above the limit: the requests of these holds already run.
            match self.holds.get_mut(&(relay, hold.id)) {
                Some(entry) => entry.expires_at = now.plus(hold.terms.expiry),
                None => {
                    changes.push(rows::hold(relay, hold));
                    self.insert(relay, hold.clone(), now);
                }
            }
        }
        changes
    }

    /// Records how many tokens a relay's requests use of its blocks, by pool.
    pub fn record_used(&mut self, relay: NodeId, used: &[(PoolName, Tokens)]) {
        for (pool, used) in used {
            if let Some(usage) = self.usage.get_mut(pool) {
                usage.record_used(relay, *used);
            }
        }
    }

    /// Releases the holds of relays whose lease has expired, and holds that were not renewed in
    /// time.
    pub fn tick(&mut self, now: MonotonicMs) -> Vec<RowChange> {
        let expired: Vec<NodeId> =
            self.leases.iter().filter(|(_, until)| now >= **until).map(|(id, _)| *id).collect();
        for relay in &expired {
            self.leases.remove(relay);
        }
        let due: Vec<(NodeId, HoldId)> = self
            .holds
            .iter()
            .filter(|((relay, _), entry)| {
                let lease_expired = entry.hold.kind != HoldKind::Block && expired.contains(relay);
                lease_expired || now >= entry.expires_at
            })
            .map(|(key, _)| *key)
            .collect();
        due.into_iter().flat_map(|(relay, id)| self.release(relay, id)).collect()
    }

    /// Records a shard's report of its waiting cost, and checks the cost it requests in addition
    /// against the ceiling. Returns whether that is granted, or `None` if the report is stale or
    /// the counter can't decide yet.
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
            let same =
                known.shard_epoch == received.shard_epoch && known.boot_id == received.boot_id;
            known.shard_epoch > received.shard_epoch || (same && known.number >= received.number)
        };
        if known.is_some_and(is_stale) {
            return None;
        }
        self.reports.insert(shard, received);
        // The items of a shard that has no primary at the moment still wait: without a report of
        // every shard nothing can be granted.
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
