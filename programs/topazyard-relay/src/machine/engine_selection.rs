//! Selection of the engine for a request on a route, and the statistics about engines that it is
//! based on.
//!
//! Every relay ranks the engines for a prompt's shared parts by the same digest, so that a prompt
//! reaches an engine that has its parts cached without communication between relays. Among the
//! first few, the relay picks the one to which it has recently sent the least: an engine that
//! prefills several prompts at once delays all the streams that it produces, and prompts that each
//! relay spaces evenly rarely coincide.

use super::engines::Engines;
use super::requests::PromptPart;
use super::{EngineLoad, EngineOutcome, Outputs, RelayResponse, RelayTask, Target};
use topazyard_spec::{Engine, EngineState};
use topazyard_types::{Digest, DurationMs, EngineName, MonotonicMs, NodeId, PoolName};
use topazyard_wire::Effect;
use topazyard_wire::state::FleetSnapshot;

/// Consecutive failures after which an engine is paused.
const FAILURES_BEFORE_PAUSE: u32 = 2;
/// The first pause of an engine; each consecutive pause is twice as long.
const INITIAL_PAUSE: DurationMs = DurationMs(500);
const MAX_PAUSE: DurationMs = DurationMs(4_000);
/// How long a suspected engine ranks behind the others.
const SUSPICION_TTL: DurationMs = DurationMs(400);
/// How long an engine that turned a request away ranks behind the others.
const TURNED_AWAY_PENALTY: DurationMs = DurationMs(100);
/// Bounds on the time without a response after which an engine is suspected.
const MIN_SUSPECT_DELAY_MS: f64 = 80.0;
const MAX_SUSPECT_DELAY_MS: f64 = 1_000.0;
/// The number of engines that a prompt's shared parts are sent to and stay cached at.
const AFFINITY_ENGINES: usize = 3;
/// Maximum cost of an engine with affinity relative to the cheapest engine.
const MAX_AFFINITY_COST_RATIO: f64 = 2.0;
/// Decay time of the prompts recently sent to an engine.
const RECENT_DECAY_MS: f64 = 400.0;
/// Weight of a request in flight relative to one that was just sent.
const IN_FLIGHT_WEIGHT: f64 = 0.15;
/// Decay time of an engine's measured time to first byte.
const FIRST_BYTE_DECAY_MS: f64 = 4_000.0;
/// Decay time of the load that an engine reported.
const LOAD_DECAY_MS: f64 = 1_000.0;
/// The share of used slots above which contention is assumed.
const CONTENTION_FILL: f64 = 0.6;
/// What contention at a full engine adds to the cost of another request.
const CONTENTION_WEIGHT: f64 = 2.0;
/// The average prompt size assumed before any prompt was seen, in tokens.
const DEFAULT_PROMPT_TOKENS: f64 = 1_000.0;
/// The time to first byte assumed while nothing was measured.
const DEFAULT_FIRST_BYTE_MS: f64 = 60.0;

/// The requirements on an engine.
#[derive(Debug)]
pub(super) struct EngineQuery<'a> {
    pub(super) pool: &'a PoolName,
    pub(super) prefix: &'a [PromptPart],
    /// Engines that were already tried.
    pub(super) excluded: &'a [EngineName],
}

/// Statistics about one engine from requests on routes.
#[derive(Debug, Default)]
pub(super) struct EngineStatistics {
    /// Requests of this relay that are in flight there.
    in_flight: u32,
    /// Moving average of the time to first byte, and when it was last updated.
    first_byte_ms: Option<f64>,
    first_byte_at: MonotonicMs,
    /// The share of used slots that it last reported, and when.
    fill: Option<(f64, MonotonicMs)>,
    /// Prompts recently sent there, in units of the average prompt, as of `recent_at`.
    recent: f64,
    recent_at: MonotonicMs,
    /// Failures since the last success.
    failures: u32,
    deprioritized_until: Option<MonotonicMs>,
    /// Set while it is paused until it accepts a connection again.
    pause: Option<DurationMs>,
    /// Whether it was last logged as paused.
    is_logged_as_paused: bool,
}

/// The weight that is left of a measurement of this age.
fn decay(age: DurationMs, span_ms: f64) -> f64 {
    (-(age.0 as f64) / span_ms).exp()
}

impl EngineStatistics {
    fn recent_now(&self, now: MonotonicMs) -> f64 {
        self.recent * decay(now.since(self.recent_at), RECENT_DECAY_MS)
    }

    pub(super) fn is_busy(&self) -> bool {
        self.in_flight > 0
    }

    /// What the load that the engine reported adds to the cost of another request.
    fn contention(&self, now: MonotonicMs) -> f64 {
        let Some((fill, at)) = self.fill else { return 0.0 };
        let above = (fill - CONTENTION_FILL).max(0.0) / (1.0 - CONTENTION_FILL);
        CONTENTION_WEIGHT * above * decay(now.since(at), LOAD_DECAY_MS)
    }

    /// The log line about a change between paused and in use, once per change.
    fn state_change(&mut self, engine: &EngineName) -> Option<Effect<RelayResponse, RelayTask>> {
        let is_paused = self.pause.is_some();
        if self.is_logged_as_paused == is_paused {
            return None;
        }
        self.is_logged_as_paused = is_paused;
        let what = if is_paused { "is paused after failures" } else { "is used again" };
        Some(Effect::Log { is_error: false, text: format!("engine {engine} {what}") })
    }
}

impl Engines {
    /// Whether a pool has any engine that could be tried.
    pub(super) fn has_usable(&self, fleet: &FleetSnapshot, pool: &PoolName) -> bool {
        fleet
            .engines
            .values()
            .any(|engine| engine.pool == *pool && engine.state == EngineState::Ready)
    }

    /// The lowest recent time to first byte of any engine of the pool, in ms.
    pub(super) fn best_first_byte_ms(&self, pool: &PoolName) -> u64 {
        self.best_first_byte_ms.get(pool).map_or(0, |best| *best as u64)
    }

    /// Selects an engine, with the time without a response after which it is suspected.
    pub(super) fn choose(
        &self,
        fleet: &FleetSnapshot,
        query: &EngineQuery<'_>,
        node: NodeId,
        now: MonotonicMs,
    ) -> Option<(Target, DurationMs)> {
        let chosen = self.ranked(fleet, query, node, now).into_iter().next()?;
        let target = Target { engine: chosen.name.clone(), address: chosen.address };
        Some((target, self.suspect_delay(chosen, now)))
    }

    /// The engines that a request may go to, best first: the cheapest engine with affinity for its
    /// shared parts, unless another engine is much cheaper, then the others by cost.
    pub(super) fn ranked<'a>(
        &self,
        fleet: &'a FleetSnapshot,
        query: &EngineQuery<'_>,
        node: NodeId,
        now: MonotonicMs,
    ) -> Vec<&'a Engine> {
        let key = shared_key(query.prefix).unwrap_or(Digest(u128::from(node.0)));
        let mut ranked = self.candidates(fleet, query, key, true);
        if ranked.is_empty() {
            // An engine that failed recently is better than none.
            ranked = self.candidates(fleet, query, key, false);
        }
        let is_preferred_tier = |engine: &Engine| {
            let deprioritized =
                self.statistics(&engine.name).and_then(|statistics| statistics.deprioritized_until);
            deprioritized.is_none_or(|until| now >= until)
        };
        if ranked.iter().any(|(_, engine)| is_preferred_tier(engine)) {
            ranked.retain(|(_, engine)| is_preferred_tier(engine));
        }
        ranked.sort_by(|(one, _), (other, _)| other.cmp(one));
        let mut by_cost: Vec<(bool, f64, &Engine)> = ranked
            .into_iter()
            .enumerate()
            .map(|(rank, (_, engine))| (rank < AFFINITY_ENGINES, self.cost(engine, now), engine))
            .collect();
        by_cost.sort_by(|(_, one, _), (_, other, _)| one.total_cmp(other));
        let cheapest = by_cost.first().map_or(0.0, |(_, cost, _)| *cost);
        let is_preferred = |(has_affinity, cost, _): &(bool, f64, &Engine)| {
            *has_affinity && *cost <= cheapest * MAX_AFFINITY_COST_RATIO
        };
        // The others stay in order of their costs.
        if let Some(preferred) = by_cost.iter().position(is_preferred) {
            by_cost[..=preferred].rotate_right(1);
        }
        by_cost.into_iter().map(|(_, _, engine)| engine).collect()
    }

    /// The engines that a request may go to, each with its rank for these parts.
    fn candidates<'a>(
        &self,
        fleet: &'a FleetSnapshot,
        query: &EngineQuery<'_>,
        key: Digest,
        only_usable: bool,
    ) -> Vec<(u64, &'a Engine)> {
        let listed = self.index.ranked(query.pool, key);
        let listed = listed.filter_map(|(rank, name)| Some((rank, fleet.engines.get(name)?)));
        listed
            .filter(|(_, engine)| !query.excluded.contains(&engine.name))
            .filter(|(_, engine)| !only_usable || self.is_usable(engine))
            .collect()
    }

    /// Records the load that an engine reported: running and queued requests, and its slots.
    pub(super) fn record_load(&mut self, engine: &EngineName, load: EngineLoad, now: MonotonicMs) {
        let Some(record) = self.known.get_mut(engine) else { return };
        let fill = f64::from(load.running + load.waiting) / f64::from(load.slots.max(1));
        record.statistics.fill = Some((fill.min(1.0), now));
    }

    fn statistics(&self, engine: &EngineName) -> Option<&EngineStatistics> {
        self.known.get(engine).map(|record| &record.statistics)
    }

    /// The cost of another request there: the expected time to first byte, multiplied by what this
    /// relay recently sent there, what it has in flight there and the contention that the engine
    /// reported.
    fn cost(&self, engine: &Engine, now: MonotonicMs) -> f64 {
        let statistics = self.statistics(&engine.name);
        let load = statistics.map_or(0.0, |statistics| {
            statistics.recent_now(now)
                + f64::from(statistics.in_flight) * IN_FLIGHT_WEIGHT
                + statistics.contention(now)
        });
        self.first_byte_ms(engine, now) * (1.0 + load)
    }

    /// The expected time to first byte: the engine's own measurements decay to the average of its
    /// pool, so that an engine that was slow once is tried again.
    fn first_byte_ms(&self, engine: &Engine, now: MonotonicMs) -> f64 {
        let typical =
            self.typical_first_byte_ms.get(&engine.pool).copied().unwrap_or(DEFAULT_FIRST_BYTE_MS);
        let Some(statistics) = self.statistics(&engine.name) else { return typical };
        let Some(first_byte_ms) = statistics.first_byte_ms else { return typical };
        typical
            + (first_byte_ms - typical)
                * decay(now.since(statistics.first_byte_at), FIRST_BYTE_DECAY_MS)
    }

    fn suspect_delay(&self, engine: &Engine, now: MonotonicMs) -> DurationMs {
        let delay_ms = self.first_byte_ms(engine, now) * 4.0 + 40.0;
        DurationMs(delay_ms.clamp(MIN_SUSPECT_DELAY_MS, MAX_SUSPECT_DELAY_MS) as u64)
    }

    /// Records that a request with that prompt is sent there.
    pub(super) fn request_started(
        &mut self,
        engine: &EngineName,
        prefix: &[PromptPart],
        now: MonotonicMs,
    ) {
        self.now = now;
        let tokens = prefix.iter().map(|part| part.tokens.0).sum::<u64>() as f64;
        if tokens > 0.0 {
            let before =
                if self.mean_prompt_tokens > 0.0 { self.mean_prompt_tokens } else { tokens };
            self.mean_prompt_tokens = before + (tokens - before) / 64.0;
        }
        let typical = if self.mean_prompt_tokens > 0.0 {
            self.mean_prompt_tokens
        } else {
            DEFAULT_PROMPT_TOKENS
        };
        let statistics = &mut self.known.entry(engine.clone()).or_default().statistics;
        statistics.in_flight += 1;
        statistics.recent =
            statistics.recent_now(now) + if tokens > 0.0 { tokens / typical } else { 1.0 };
        statistics.recent_at = now;
    }

    /// Records that a request there ended.
    pub(super) fn request_ended(
        &mut self,
        engine: &EngineName,
        engine_outcome: EngineOutcome,
        now: MonotonicMs,
    ) {
        let Some(record) = self.known.get_mut(engine) else { return };
        let statistics = &mut record.statistics;
        statistics.in_flight = statistics.in_flight.saturating_sub(1);
        match engine_outcome {
            EngineOutcome::Completed(first) => {
                let first_byte_ms = first.0 as f64;
                let before = statistics.first_byte_ms.get_or_insert(first_byte_ms);
                *before += (first_byte_ms - *before) / 8.0;
                statistics.first_byte_at = now;
                statistics.failures = 0;
                statistics.pause = None;
                record.unhealthy_until = None;
            }
            EngineOutcome::TurnedAway => {
                statistics.deprioritized_until = Some(now.plus(TURNED_AWAY_PENALTY))
            }
            EngineOutcome::Failed => {
                statistics.failures += 1;
                if statistics.failures >= FAILURES_BEFORE_PAUSE {
                    self.pause_engine(engine, now);
                }
            }
            EngineOutcome::Unreachable => self.pause_engine(engine, now),
            EngineOutcome::Aborted | EngineOutcome::NotSent => {}
        }
    }

    /// Updates the pool's average and best time to first byte.
    pub(super) fn record_first_byte(&mut self, pool: &PoolName, first: DurationMs) {
        let typical = self.typical_first_byte_ms.entry(pool.clone()).or_insert(first.0 as f64);
        *typical += (first.0 as f64 - *typical) / 64.0;
        let best = self.best_first_byte_ms.entry(pool.clone()).or_insert(first.0 as f64);
        if (first.0 as f64) < *best {
            *best = first.0 as f64;
        } else {
            *best += (first.0 as f64 - *best) / 64.0;
        }
    }

    /// Ranks an engine that has not responded for longer than expected behind the others.
    pub(super) fn suspect(&mut self, engine: &EngineName, now: MonotonicMs) {
        let record = self.known.entry(engine.clone()).or_default();
        record.statistics.deprioritized_until = Some(now.plus(SUSPICION_TTL));
    }

    fn pause_engine(&mut self, engine: &EngineName, now: MonotonicMs) {
        let record = self.known.entry(engine.clone()).or_default();
        let before = record.statistics.pause;
        let pause =
            before.map_or(INITIAL_PAUSE, |pause| DurationMs((pause.0 * 2).min(MAX_PAUSE.0)));
        if record.unhealthy_until.is_none_or(|until| now >= until) {
            record.statistics.pause = Some(pause);
            record.unhealthy_until = Some(now.plus(pause));
        }
    }

    /// Starts a connection probe to each paused engine whose pause is over.
    pub(super) fn probe_tick(
        &mut self,
        fleet: &FleetSnapshot,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        for engine in fleet.engines.values().filter(|e| e.state == EngineState::Ready) {
            let Some(record) = self.known.get_mut(&engine.name) else { continue };
            effects.extend(record.statistics.state_change(&engine.name));
            let Some(pause) = record.statistics.pause else { continue };
            if record.unhealthy_until.is_some_and(|until| now.plus(DurationMs(50)) >= until) {
                // It stays paused until the probe's result arrives.
                record.unhealthy_until = Some(now.plus(pause.max(DurationMs(1_000))));
                let target = Target { engine: engine.name.clone(), address: engine.address };
                effects.push(Effect::StartTask(RelayTask::ProbeConnection(target)));
            }
        }
    }

    /// Records whether a paused engine accepted a connection.
    pub(super) fn connection_probed(
        &mut self,
        engine: &EngineName,
        is_connected: bool,
        now: MonotonicMs,
    ) {
        let Some(record) = self.known.get_mut(engine) else { return };
        if is_connected {
            record.unhealthy_until = None;
            // The next failure pauses it again, for twice as long.
            record.statistics.failures = FAILURES_BEFORE_PAUSE - 1;
        } else {
            record.unhealthy_until = None;
            self.pause_engine(engine, now);
        }
    }
}

/// The digest of the parts that a prompt shares with others: all but the last, or the only one.
fn shared_key(prefix: &[PromptPart]) -> Option<Digest> {
    let shared = prefix.len().saturating_sub(1).max(1);
    let parts = prefix.get(..shared)?;
    Some(parts.iter().fold(Digest::default(), |so_far, part| {
        Digest::of(&[&so_far.0.to_be_bytes(), &part.digest.0.to_be_bytes()])
    }))
}
