//! Admission of requests on routes: the route is found by host and path, the cheapest checks come
//! first, the cost is reserved from this relay's share of the pool's budget, and an engine is
//! selected.
//!
//! Checking and reserving are one step of this single owner. The share comes in blocks from the
//! counter, which checks and adds them in the same way, so that all relays together stay within the
//! limit while a request needs no round trip.

use super::engine_selection::EngineQuery;
use super::{EngineOutcome, Outputs, PromptId, RelayMachine, RelayResponse, Target};
use topazyard_spec::RouteKind;
use topazyard_types::{
    CallId, Digest, DurationMs, EngineName, HoldId, MonotonicMs, PoolName, Tokens,
};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::invariants::{self, Invariant};
use topazyard_wire::message::counter::HoldKind;

/// The cost assumed for a request that states none: the source's default response length, and as
/// much again for its prompt.
pub const DEFAULT_COST: Tokens = Tokens(512);
/// How long the admission checks stay valid, so that the last check before a dispatch needs no
/// call.
const DISPATCH_TTL: DurationMs = DurationMs(200);
/// Interval at which a block is requested again while requests wait.
const BLOCK_RETRY_INTERVAL: DurationMs = DurationMs(40);
/// Time without a response after which a relay uses its allowance without a grant.
const GRANT_TIMEOUT: DurationMs = DurationMs(20);
/// While the counter does not respond, a relay may hold one part in this many of the pool's budget
/// without a grant.
const UNGRANTED_SHARE_DIVISOR: u64 = 512;
/// Time without a response after which the counter counts as unreachable.
const COUNTER_TIMEOUT: DurationMs = DurationMs(500);
/// Blocks that were not needed in the last two windows of this length are released.
const PEAK_WINDOW: DurationMs = DurationMs(750);
/// A block is one part in this many of the pool's budget, or one request's cost where that is more.
const BLOCK_SHARE_DIVISOR: u64 = 4_096;
/// Maximum delay between a request's deadline and the report to the machine that it ended.
const END_REPORT_TIMEOUT: DurationMs = DurationMs(250);
/// Minimum time that a request may wait for budget, whatever its latency target.
const MIN_QUEUE_WAIT: DurationMs = DurationMs(30);

/// A part of a prompt that requests share, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Digest of its content.
    pub digest: Digest,
    /// Its size in tokens.
    pub tokens: Tokens,
}

/// A request on a route, as read by the HTTP front end.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The id within this process.
    pub id: PromptId,
    /// The requested host.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// Prompt tokens plus maximum output tokens, if stated.
    pub cost: Option<Tokens>,
    /// When it arrived.
    pub arrived_at: MonotonicMs,
    /// How long the client waits.
    pub wait: DurationMs,
    /// The parts of its prompt.
    pub prefix: Vec<PromptPart>,
}

/// The terms on which a request was admitted, and its engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admitted {
    /// Whether it may run again if it is not known to have run.
    pub repeatable: bool,
    /// Whether its response is an event stream, relayed as it arrives.
    pub stream: bool,
    /// Whether a stream may be continued from another engine.
    pub resumable: bool,
    /// The maximum number of engines that it may be sent to.
    pub max_attempts: u32,
    /// The deadline of its response.
    pub deadline: MonotonicMs,
    /// The engine that it goes to.
    pub chosen: Chosen,
}

/// An engine selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chosen {
    /// The engine.
    pub target: Target,
    /// Until when it may be sent there, by the checks made so far.
    pub send_before: MonotonicMs,
    /// Time without a response after which the engine is suspected.
    pub suspect_after: DurationMs,
}

#[derive(Debug)]
enum Stage {
    /// Waiting for budget.
    Waiting(CallId),
    /// Has budget and an engine.
    Held(EngineName),
}

#[derive(Debug)]
struct RequestEntry {
    pool: PoolName,
    charge: Tokens,
    priority: u32,
    arrived_at: MonotonicMs,
    deadline: MonotonicMs,
    wait_deadline: MonotonicMs,
    prefix: Vec<PromptPart>,
    terms: Admitted,
    tried_engines: Vec<EngineName>,
    stage: Stage,
}

/// This relay's share of a pool's budget.
#[derive(Debug, Default)]
struct PoolBudget {
    /// What its requests hold.
    used: Tokens,
    /// Blocks that the counter granted, and when each was requested.
    blocks: std::collections::BTreeMap<HoldId, (Tokens, MonotonicMs)>,
    /// The block that was requested, and when.
    requested: Option<(HoldId, Tokens, MonotonicMs)>,
    refused: bool,
    last_request_at: Option<MonotonicMs>,
    /// The peak use in the current window and in the one before.
    peaks: [Tokens; 2],
    window_started_at: MonotonicMs,
    /// The use since the last renewal, in tokens times ms up to `counted_until`, and when that
    /// renewal was.
    token_ms: u64,
    counted_until: MonotonicMs,
    renewed_at: MonotonicMs,
    /// Requests that wait, in order.
    queue: std::collections::VecDeque<PromptId>,
}

impl PoolBudget {
    fn hold(&mut self, charge: Tokens, now: MonotonicMs) {
        self.accumulate_until(now);
        self.used = self.used.plus(charge);
        self.peaks[0] = self.peaks[0].max(self.used);
    }

    fn release(&mut self, charge: Tokens, now: MonotonicMs) {
        self.accumulate_until(now);
        self.used = Tokens(self.used.0.saturating_sub(charge.0));
    }

    fn accumulate_until(&mut self, now: MonotonicMs) {
        self.token_ms += self.used.0 * now.since(self.counted_until).0;
        self.counted_until = now;
    }

    /// The mean use since the last call.
    fn take_mean_used(&mut self, now: MonotonicMs) -> Tokens {
        self.accumulate_until(now);
        let elapsed = now.since(std::mem::replace(&mut self.renewed_at, now));
        let mean = self.token_ms.checked_div(elapsed.0);
        self.token_ms = 0;
        mean.map_or(self.used, Tokens)
    }

    /// The total of the blocks that may be used: those requested or renewed after `oldest`.
    fn granted(&self, renewed_at: MonotonicMs, oldest: MonotonicMs) -> Tokens {
        let is_valid = |requested: &MonotonicMs| renewed_at.max(*requested) > oldest;
        self.blocks
            .values()
            .filter(|(_, requested)| is_valid(requested))
            .map(|(block, _)| *block)
            .sum()
    }
}

/// Requests on routes that wait or hold.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    entries: std::collections::BTreeMap<PromptId, RequestEntry>,
    budgets: std::collections::BTreeMap<PoolName, PoolBudget>,
    /// Whether the check at the end of a drain's serving phase was made.
    drain_checked: bool,
}

impl Requests {
    pub(crate) fn waiting(&self) -> usize {
        self.budgets.values().map(|budget| budget.queue.len()).sum()
    }

    /// Requests that wait because the counter refused more budget, not just for its response.
    pub(crate) fn waiting_for_budget(&self) -> usize {
        let full = self.budgets.values().filter(|budget| budget.refused);
        full.map(|budget| budget.queue.len()).sum()
    }

    pub(crate) fn holding(&self) -> usize {
        self.entries.len() - self.waiting()
    }

    /// By pool: the mean use since the last call.
    pub(super) fn take_mean_used(&mut self, now: MonotonicMs) -> Vec<(PoolName, Tokens)> {
        let budgets = self.budgets.iter_mut();
        budgets.map(|(pool, budget)| (pool.clone(), budget.take_mean_used(now))).collect()
    }

    pub(crate) fn has_requested(&self, id: HoldId) -> bool {
        self.budgets
            .values()
            .any(|budget| budget.requested.is_some_and(|(requested, ..)| requested == id))
    }

    /// Whether the counter leaves a block request unanswered.
    pub(crate) fn counter_timed_out(&self, now: MonotonicMs) -> bool {
        let expired = |at: MonotonicMs| now.since(at) >= COUNTER_TIMEOUT;
        self.budgets.values().any(|budget| budget.requested.is_some_and(|(_, _, at)| expired(at)))
    }
}

/// The result of the checks before any budget is reserved.
struct PassedChecks {
    pool: PoolName,
    charge: Tokens,
    priority: u32,
    wait_deadline: MonotonicMs,
    terms: Admitted,
}

impl RelayMachine {
    /// Until when requests on routes may be served by the configuration known here.
    pub(super) fn routes_fresh_until(&self) -> MonotonicMs {
        let confirmed = self.follower.confirmed_at();
        confirmed.map_or(MonotonicMs(0), |at| at.plus(self.max_routes_feed_age))
    }

    /// The snapshot of the fleet, while it may be used for requests on routes.
    pub fn in_force(&self, now: MonotonicMs) -> Option<&topazyard_wire::state::FleetSnapshot> {
        let is_usable = now < self.routes_fresh_until() && self.fleet.configuration.is_some();
        is_usable.then_some(&self.fleet)
    }

    /// Admits a request, makes it wait briefly, or refuses it at once.
    pub(super) fn admit_request(
        &mut self,
        call: CallId,
        arrival: Arrival,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let passed = match self.check_arrival(&arrival, now) {
            Ok(passed) => passed,
            Err(refused) => {
                if let RelayResponse::Refused(error) = &refused {
                    self.record_refusal(error.code);
                }
                return effects.push(Effect::Respond { call, value: refused });
            }
        };
        let (pool, id) = (passed.pool.clone(), arrival.id);
        let entry = RequestEntry {
            pool: passed.pool,
            charge: passed.charge,
            priority: passed.priority,
            arrived_at: arrival.arrived_at,
            deadline: passed.terms.deadline,
            wait_deadline: passed.wait_deadline,
            prefix: arrival.prefix,
            terms: passed.terms,
            tried_engines: Vec::new(),
            stage: Stage::Waiting(call),
        };
        let ahead = self.requests.budgets.get(&pool).map_or(0, |budget| {
            budget.queue.partition_point(|other| {
                self.requests.entries.get(other).is_some_and(|o| o.priority <= entry.priority)
            })
        });
        self.requests.entries.insert(id, entry);
        self.requests.budgets.entry(pool.clone()).or_default().queue.insert(ahead, id);
        self.admit_waiting(&pool, now, effects);
    }

    /// The checks that need no other process, cheapest first.
    fn check_arrival(
        &self,
        arrival: &Arrival,
        now: MonotonicMs,
    ) -> Result<PassedChecks, RelayResponse> {
        let refused = |code| RelayResponse::Refused(ApiError::not_run(code));
        let fleet = self.in_force(now).ok_or_else(|| refused(Code::StaleFeed))?;
        let Some((_, configuration)) = &fleet.configuration else {
            return Err(refused(Code::StaleFeed));
        };
        let Some(route) = fleet.routes.find(&arrival.host, &arrival.path) else {
            return Err(refused(Code::NoRoute));
        };
        if route.kind == RouteKind::Batch {
            return Err(RelayResponse::OnBatchRoute);
        }
        let pool = choose_pool(route, arrival.id).and_then(|name| configuration.pool(name));
        let Some(pool) = pool else { return Err(refused(Code::NoEngine)) };
        let wait = DurationMs(arrival.wait.0.min(route.timeout_ms));
        let deadline = arrival.arrived_at.plus(wait);
        if self.draining.is_some_and(|draining| !draining.may_admit(deadline, now)) {
            return Err(refused(Code::Draining));
        }
        if deadline.since(now).0 <= self.engines.best_first_byte_ms(&pool.name) {
            return Err(refused(Code::Deadline));
        }
        if !self.engines.has_usable(&self.fleet, &pool.name) {
            return Err(refused(Code::NoEngine));
        }
        let budget = self.requests.budgets.get(&pool.name);
        if budget.is_some_and(|budget| budget.queue.len() >= pool.queue_depth as usize) {
            return Err(refused(Code::QueueFull));
        }
        let timeout = DurationMs((route.target_latency_ms / 4).max(MIN_QUEUE_WAIT.0));
        Ok(PassedChecks {
            pool: pool.name.clone(),
            charge: arrival.cost.unwrap_or(DEFAULT_COST),
            priority: route.priority,
            wait_deadline: arrival.arrived_at.plus(timeout).min(deadline),
            terms: Admitted {
                repeatable: route.is_repeatable(),
                stream: route.kind == RouteKind::Streaming,
                resumable: route.resumable && route.kind == RouteKind::Streaming,
                max_attempts: route.max_attempts,
                deadline,
                chosen: Chosen {
                    target: Target { engine: EngineName::default(), address: self.agent },
                    send_before: now,
                    suspect_after: DurationMs(0),
                },
            },
        })
    }

    /// Admits waiting requests in order while the budget suffices, and requests a block where it
    /// does not.
    fn admit_waiting(&mut self, pool: &PoolName, now: MonotonicMs, effects: &mut Outputs) {
        let (renewed_at, oldest) = self.block_validity(now);
        let ungranted_allowance = self.ungranted_allowance(pool, now);
        loop {
            let Some(budget) = self.requests.budgets.get_mut(pool) else { return };
            let Some(id) = budget.queue.front().copied() else { return };
            let Some(entry) = self.requests.entries.get_mut(&id) else {
                budget.queue.pop_front();
                continue;
            };
            if budget.used.plus(entry.charge)
                > budget.granted(renewed_at, oldest).plus(ungranted_allowance)
            {
                let charge = entry.charge;
                return self.request_block(pool, charge, now, effects);
            }
            budget.queue.pop_front();
            budget.hold(entry.charge, now);
            let chosen = self.choose(id, now);
            let Some(entry) = self.requests.entries.get_mut(&id) else { return };
            let Stage::Waiting(call) = entry.stage else { continue };
            match chosen {
                Some(chosen) => {
                    entry.stage = Stage::Held(chosen.target.engine.clone());
                    entry.terms.chosen = chosen;
                    let value = RelayResponse::Admitted(Box::new(entry.terms.clone()));
                    self.admitted += 1;
                    effects.push(Effect::Respond { call, value });
                }
                None => {
                    self.drop_request(id, now);
                    self.refuse_request(call, Code::NoEngine, effects);
                }
            }
        }
    }

    /// When blocks were last renewed, and after which time one must have been requested or renewed
    /// to be used: the counter takes it back only later.
    fn block_validity(&self, now: MonotonicMs) -> (MonotonicMs, MonotonicMs) {
        let valid_ms = self.block_expiry.0 - self.block_expiry.0 / 8;
        let renewed_at = self.counter.lease_start().unwrap_or(MonotonicMs(0));
        (renewed_at, MonotonicMs(now.0.saturating_sub(valid_ms)))
    }

    /// What may be held of a pool without a grant: nothing, unless the counter leaves a request
    /// unanswered. The counter is then changing hands, and its successor learns what is held with
    /// the next renewal of the granted holds.
    fn ungranted_allowance(&self, pool: &PoolName, now: MonotonicMs) -> Tokens {
        let requested = self.requests.budgets.get(pool).and_then(|budget| budget.requested);
        let is_late = requested.is_some_and(|(_, _, at)| now.since(at) >= GRANT_TIMEOUT);
        let pool_configuration = self
            .fleet
            .configuration
            .as_ref()
            .and_then(|(_, configuration)| configuration.pool(pool));
        match pool_configuration.filter(|_| is_late) {
            Some(pool_configuration) => {
                Tokens(self.fleet.limit(pool_configuration).0 / UNGRANTED_SHARE_DIVISOR)
            }
            None => Tokens(0),
        }
    }

    fn request_block(
        &mut self,
        pool: &PoolName,
        min_tokens: Tokens,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let Some((_, configuration)) = &self.fleet.configuration else { return };
        let Some(pool_configuration) = configuration.pool(pool) else { return };
        let limit = self.fleet.limit(pool_configuration);
        let Some(budget) = self.requests.budgets.get_mut(pool) else { return };
        let due = budget.last_request_at.is_none_or(|at| now.since(at) >= BLOCK_RETRY_INTERVAL);
        if budget.requested.is_some() || (budget.refused && !due) {
            return;
        }
        // After a refusal, only as much as needed is requested.
        let block = if budget.refused {
            min_tokens
        } else {
            Tokens(min_tokens.0.max(limit.0 / BLOCK_SHARE_DIVISOR))
        };
        budget.last_request_at = Some(now);
        let id = self.request_hold(pool.clone(), block, HoldKind::Block, now, effects);
        if let Some(budget) = self.requests.budgets.get_mut(pool) {
            budget.requested = Some((id, block, now));
        }
    }

    /// The counter decided on a block.
    pub(super) fn block_decided(
        &mut self,
        id: HoldId,
        granted: bool,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let found = self.requests.budgets.iter_mut().find_map(|(pool, budget)| {
            let (_, block, requested_at) =
                budget.requested.take_if(|(requested, ..)| *requested == id)?;
            budget.refused = !granted;
            if granted {
                budget.blocks.insert(id, (block, requested_at));
            }
            Some(pool.clone())
        });
        if let Some(pool) = found {
            self.admit_waiting(&pool, now, effects);
        }
    }

    fn choose(&mut self, id: PromptId, now: MonotonicMs) -> Option<Chosen> {
        let entry = self.requests.entries.get(&id)?;
        let query = EngineQuery {
            pool: &entry.pool,
            prefix: &entry.prefix,
            excluded: &entry.tried_engines,
        };
        let (target, suspect_after) = self.engines.choose(&self.fleet, &query, self.node, now)?;
        self.engines.request_started(&target.engine, &entry.prefix, now);
        let send_before = self.routes_fresh_until().min(now.plus(DISPATCH_TTL)).min(entry.deadline);
        Some(Chosen { target, send_before, suspect_after })
    }

    /// Selects another engine for a request that one failed or turned away, or whose time to be
    /// sent passed.
    pub(super) fn retry_request(
        &mut self,
        id: PromptId,
        engine_outcome: EngineOutcome,
        now: MonotonicMs,
    ) -> RelayResponse {
        let refused = |code| RelayResponse::Refused(ApiError::not_run(code));
        if now >= self.routes_fresh_until() {
            return refused(Code::StaleFeed);
        }
        let Some(entry) = self.requests.entries.get_mut(&id) else {
            return refused(Code::Deadline);
        };
        let Stage::Held(engine) = &entry.stage else { return refused(Code::Deadline) };
        let engine = engine.clone();
        if engine_outcome != EngineOutcome::NotSent {
            entry.tried_engines.push(engine.clone());
        }
        self.engines.request_ended(&engine, engine_outcome, now);
        let chosen = self.choose(id, now);
        let Some(entry) = self.requests.entries.get_mut(&id) else {
            return refused(Code::Deadline);
        };
        match chosen {
            Some(chosen) => {
                entry.stage = Stage::Held(chosen.target.engine.clone());
                RelayResponse::Chosen(Box::new(chosen))
            }
            None => {
                // It has no engine any more; its budget is released when it ends.
                entry.stage = Stage::Held(EngineName::default());
                refused(Code::NoEngine)
            }
        }
    }

    /// Ends a request, whatever the outcome, and releases its budget exactly once.
    pub(super) fn end_request(
        &mut self,
        id: PromptId,
        engine_outcome: EngineOutcome,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let Some(entry) = self.requests.entries.remove(&id) else { return };
        if let Some(budget) = self.requests.budgets.get_mut(&entry.pool) {
            match &entry.stage {
                Stage::Waiting(_) => budget.queue.retain(|other| *other != id),
                Stage::Held(_) => budget.release(entry.charge, now),
            }
        }
        if let Stage::Held(engine) = &entry.stage {
            self.engines.request_ended(engine, engine_outcome, now);
        }
        if let EngineOutcome::Completed(first) = engine_outcome {
            self.engines.record_first_byte(&entry.pool, first);
        }
        self.admit_waiting(&entry.pool, now, effects);
    }

    fn drop_request(&mut self, id: PromptId, now: MonotonicMs) {
        let Some(entry) = self.requests.entries.remove(&id) else { return };
        if let Some(budget) = self.requests.budgets.get_mut(&entry.pool) {
            budget.release(entry.charge, now);
        }
    }

    fn refuse_request(&mut self, call: CallId, code: Code, effects: &mut Outputs) {
        self.record_refusal(code);
        let value = RelayResponse::Refused(ApiError::not_run(code));
        effects.push(Effect::Respond { call, value });
    }

    pub(super) fn requests_tick(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        self.check_taken_with_time_left(now);
        self.refuse_expired_waiting(now, effects);
        let pools: Vec<PoolName> = self.requests.budgets.keys().cloned().collect();
        for pool in pools {
            self.release_spare_blocks(&pool, now, effects);
            self.admit_waiting(&pool, now, effects);
        }
    }

    /// Checks, once a drain's serving phase is over, that no request admitted late is left.
    fn check_taken_with_time_left(&mut self, now: MonotonicMs) {
        let Some(draining) = self.draining else { return };
        if self.requests.drain_checked || now < draining.serving_deadline().plus(END_REPORT_TIMEOUT)
        {
            return;
        }
        self.requests.drain_checked = true;
        let late_from = draining.deregistered_at();
        let left = self.requests.entries.values().filter(|entry| entry.arrived_at >= late_from);
        let left = left.count();
        invariants::check(left == 0, Invariant::AdmittedWithTimeLeft, || format!("left={left}"));
    }

    /// Refuses, at once and for good, the requests that have waited too long.
    fn refuse_expired_waiting(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        let stale = now >= self.routes_fresh_until();
        let counter_timed_out = self.requests.counter_timed_out(now);
        let mut expired = Vec::new();
        for budget in self.requests.budgets.values_mut() {
            let refused = budget.refused;
            let entries = &self.requests.entries;
            budget.queue.retain(|id| {
                let Some(entry) = entries.get(id) else { return false };
                if !stale && now < entry.wait_deadline {
                    return true;
                }
                let code = match (stale, now >= entry.deadline) {
                    (true, _) => Code::StaleFeed,
                    (_, true) => Code::Deadline,
                    _ if counter_timed_out || !refused => Code::NoCounter,
                    _ => Code::Budget,
                };
                expired.push((*id, code));
                false
            });
        }
        for (id, code) in expired {
            let Some(entry) = self.requests.entries.remove(&id) else { continue };
            if let Stage::Waiting(call) = entry.stage {
                self.refuse_request(call, code, effects);
            }
        }
    }

    /// Releases blocks that were not needed recently, and all blocks of a removed pool.
    fn release_spare_blocks(&mut self, pool: &PoolName, now: MonotonicMs, effects: &mut Outputs) {
        let is_known =
            self.fleet.configuration.as_ref().is_some_and(|(_, b)| b.pool(pool).is_some());
        let Some(budget) = self.requests.budgets.get_mut(pool) else { return };
        if now.since(budget.window_started_at) < PEAK_WINDOW {
            return;
        }
        budget.window_started_at = now;
        let needed = budget.peaks[0].max(budget.peaks[1]);
        budget.peaks = [budget.used, budget.peaks[0]];
        if budget.blocks.is_empty() && !is_known && budget.queue.is_empty() {
            self.requests.budgets.remove(pool);
            return;
        }
        let mut granted: Tokens = budget.blocks.values().map(|(block, _)| *block).sum();
        let mut spare = Vec::new();
        for (id, (block, _)) in &budget.blocks {
            // One block more than needed is kept, so that a usual fluctuation needs no request.
            if granted.0 >= needed.0 + 2 * block.0 || (needed.0 == 0 && !is_known) {
                granted = Tokens(granted.0 - block.0);
                spare.push(*id);
            }
        }
        for id in &spare {
            budget.blocks.remove(id);
        }
        spare.into_iter().for_each(|id| self.release_hold(id, effects));
    }
}

/// The pool that a request goes to, by the weights of its route.
fn choose_pool(route: &topazyard_spec::Route, id: PromptId) -> Option<&PoolName> {
    let total: u64 = route.pools.iter().map(|share| u64::from(share.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut at = Digest::of(&[&id.0.to_be_bytes()]).0 as u64 % total;
    for share in &route.pools {
        if at < u64::from(share.weight) {
            return Some(&share.pool);
        }
        at -= u64::from(share.weight);
    }
    None
}
