//! Selection of the engine for a prompt on a model route: one that still has its prefix cached,
//! unless that one is overloaded.

use super::{Outputs, RelayMachine, RelayTask, Target};
use topazyard_spec::{Engine, EngineState};
use topazyard_types::{Digest, DurationMs, EngineName, ModelName, MonotonicMs, PoolName, Tokens};
use topazyard_wire::Effect;

/// Interval between health checks of an engine.
const HEALTH_CHECK_INTERVAL: DurationMs = DurationMs(1_000);
/// How long an engine that failed is paused, unless a health check succeeds earlier.
const FAILURE_PAUSE: DurationMs = DurationMs(2_000);
/// Maximum number of prefixes remembered.
const MAX_PREFIXES: usize = 4_096;
/// The load relative to the mean up to which an engine is still preferred for a prefix, in percent.
const OVERLOADED_PERCENT: u64 = 150;

#[derive(Debug, Default)]
pub(super) struct EngineRecord {
    held_tokens: Tokens,
    pub(super) unhealthy_until: Option<MonotonicMs>,
    last_check_at: Option<MonotonicMs>,
    pub(super) statistics: super::engine_selection::EngineStatistics,
}

/// What this relay knows of engines beyond the configured list.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    pub(super) known: std::collections::BTreeMap<EngineName, EngineRecord>,
    /// Moving average of a prompt's size in tokens.
    pub(super) mean_prompt_tokens: f64,
    /// Moving average of the time to first byte, by pool.
    pub(super) typical_first_byte_ms: std::collections::BTreeMap<PoolName, f64>,
    pub(super) index: super::engine_index::EngineIndex,
    pub(super) best_first_byte_ms: std::collections::BTreeMap<PoolName, f64>,
    /// The engine that each prefix was last sent to, oldest first.
    prefixes: indexmap::IndexMap<Digest, EngineName>,
    pub(super) now: MonotonicMs,
}

/// The digests of each leading run of parts, shortest first.
fn prefix_digests(prefix: &[String]) -> Vec<Digest> {
    let mut so_far = Digest::default();
    let parts = prefix.iter();
    parts
        .map(|part| {
            so_far = Digest::of(&[&so_far.0.to_be_bytes(), part.as_bytes()]);
            so_far
        })
        .collect()
}

impl EngineRecord {
    fn is_busy(&self) -> bool {
        self.held_tokens > Tokens(0) || self.statistics.is_busy()
    }
}

impl Engines {
    /// Whether an engine may be given work.
    pub(crate) fn is_usable(&self, engine: &Engine) -> bool {
        let unhealthy_until =
            self.known.get(&engine.name).and_then(|record| record.unhealthy_until);
        engine.state == EngineState::Ready && unhealthy_until.is_none_or(|until| self.now >= until)
    }

    pub(super) fn hold_started(&mut self, engine: &EngineName, cost: Tokens, prefix: &[String]) {
        let record = self.known.entry(engine.clone()).or_default();
        record.held_tokens = record.held_tokens.plus(cost);
        for digest in prefix_digests(prefix) {
            self.prefixes.shift_remove(&digest);
            self.prefixes.insert(digest, engine.clone());
        }
        while self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.shift_remove_index(0);
        }
    }

    pub(super) fn hold_ended(&mut self, engine: &EngineName, cost: Tokens) {
        if let Some(record) = self.known.get_mut(engine) {
            record.held_tokens = Tokens(record.held_tokens.0.saturating_sub(cost.0));
        }
    }

    pub(super) fn record_failure(&mut self, engine: &EngineName, now: MonotonicMs) {
        let record = self.known.entry(engine.clone()).or_default();
        record.unhealthy_until = Some(now.plus(FAILURE_PAUSE));
        // Prefixes cached there are probably lost.
        self.prefixes.retain(|_, holder| holder != engine);
    }

    pub(super) fn health_checked(
        &mut self,
        engine: EngineName,
        is_healthy: bool,
        now: MonotonicMs,
    ) {
        if is_healthy {
            self.known.entry(engine).or_default().unhealthy_until = None;
        } else {
            self.record_failure(&engine, now);
        }
    }

    fn held_tokens(&self, engine: &EngineName) -> Tokens {
        self.known.get(engine).map_or(Tokens(0), |record| record.held_tokens)
    }
}

impl RelayMachine {
    fn usable<'a>(
        &'a self,
        pool: &'a PoolName,
        model: &'a ModelName,
    ) -> impl Iterator<Item = &'a Engine> {
        self.fleet.engines.values().filter(move |engine| {
            engine.pool == *pool && engine.models.contains(model) && self.engines.is_usable(engine)
        })
    }

    pub(super) fn has_engine(&self, pool: &PoolName, model: &ModelName) -> bool {
        self.usable(pool, model).next().is_some()
    }

    /// Models that have an engine for batch items.
    pub(super) fn models_with_engine(&self) -> Vec<ModelName> {
        let Some((_, configuration)) = &self.fleet.configuration else { return Vec::new() };
        let mut models: Vec<ModelName> = configuration
            .lanes
            .iter()
            .filter(|model_route| model_route.kind != topazyard_spec::ModelRouteKind::Live)
            .flat_map(|model_route| {
                model_route.models.iter().filter(|model| self.has_engine(&model_route.pool, model))
            })
            .cloned()
            .collect();
        models.sort();
        models.dedup();
        models
    }

    /// Selects an engine: the one that the longest known prefix was sent to, otherwise by
    /// rendezvous hashing over the first part, so that relays agree without communication; in both
    /// cases only if it is not overloaded.
    pub(super) fn choose_engine(
        &self,
        pool: &PoolName,
        model: &ModelName,
        prefix: &[String],
        excluded: Option<&EngineName>,
    ) -> Option<Target> {
        let usable: Vec<&Engine> =
            self.usable(pool, model).filter(|engine| Some(&engine.name) != excluded).collect();
        let target = |e: &Engine| Target { engine: e.name.clone(), address: e.address };
        let held = |e: &Engine| self.engines.held_tokens(&e.name);
        let total: Tokens = usable.iter().map(|engine| held(engine)).sum();
        let mean = total.0 / usable.len().max(1) as u64;
        let is_overloaded = |e: &Engine| held(e).0 > (mean + 512) * OVERLOADED_PERCENT / 100;
        let digests = prefix_digests(prefix);
        let cached = digests.iter().rev().find_map(|digest| {
            let holder = self.engines.prefixes.get(digest)?;
            usable.iter().find(|engine| engine.name == *holder && !is_overloaded(engine))
        });
        if let Some(engine) = cached {
            return Some(target(engine));
        }
        if let Some(first) = digests.first() {
            let rank =
                |engine: &&&Engine| Digest::of(&[&first.0.to_be_bytes(), engine.name.0.as_bytes()]);
            let preferred = usable.iter().filter(|engine| !is_overloaded(engine)).max_by_key(rank);
            if let Some(engine) = preferred {
                return Some(target(engine));
            }
        }
        // The least loaded; ties are broken in a different order at each relay.
        let least_loaded_order = |engine: &&&Engine| {
            let order = Digest::of(&[&self.node.0.to_be_bytes(), engine.name.0.as_bytes()]);
            (held(engine), order)
        };
        usable.iter().min_by_key(least_loaded_order).map(|engine| target(engine))
    }

    /// The pools used by model routes. Engines that only serve routes are judged by the outcome of
    /// their requests: a health check there would occupy a slot.
    fn model_route_pools(&self) -> std::collections::BTreeSet<PoolName> {
        let model_routes =
            self.fleet.configuration.iter().flat_map(|(_, configuration)| &configuration.lanes);
        model_routes.map(|model_route| model_route.pool.clone()).collect()
    }

    pub(super) fn engines_tick(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        self.engines.now = now;
        self.engines.probe_tick(&self.fleet, now, effects);
        let checked_pools = self.model_route_pools();
        let is_checked =
            |e: &&Engine| e.state == EngineState::Ready && checked_pools.contains(&e.pool);
        for engine in self.fleet.engines.values().filter(is_checked) {
            let record = self.engines.known.entry(engine.name.clone()).or_default();
            if record.last_check_at.is_none_or(|at| now.since(at) >= HEALTH_CHECK_INTERVAL) {
                record.last_check_at = Some(now);
                let target = Target { engine: engine.name.clone(), address: engine.address };
                effects.push(Effect::StartTask(RelayTask::CheckHealth(target)));
            }
        }
        let listed = &self.fleet.engines;
        self.engines.known.retain(|name, record| listed.contains_key(name) || record.is_busy());
    }
}
