//! Which engine a prompt goes to: one that still holds its prefix, unless that one is laden.

use super::{Out, RelayMachine, RelayTask, Target};
use topazyard_spec::{Engine, EngineState};
use topazyard_types::{Digest, DurationMs, EngineName, ModelName, MonotonicMs, PoolName, Tokens};
use topazyard_wire::Effect;

/// How often an engine's health is looked at.
const LOOK_EVERY: DurationMs = DurationMs(1_000);
/// For how long an engine that failed is left alone, unless a look finds it well.
const LEFT_ALONE: DurationMs = DurationMs(2_000);
/// Prefixes remembered.
const PREFIXES: usize = 4_096;
/// How much more than the mean an engine may hold and still be preferred for a prefix, in percent.
const LADEN_PERCENT: u64 = 150;

#[derive(Debug, Default)]
pub(super) struct Known {
    holds: Tokens,
    pub(super) ill_until: Option<MonotonicMs>,
    last_look: Option<MonotonicMs>,
    pub(super) learned: super::choice::Learned,
}

/// What this relay knows of engines beyond the platform's list.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    pub(super) known: std::collections::BTreeMap<EngineName, Known>,
    /// Moving average of a prompt's tokens.
    pub(super) usual_tokens: f64,
    /// Moving average of the time to a first word, by pool.
    pub(super) usual_first_ms: std::collections::BTreeMap<PoolName, f64>,
    pub(super) index: super::engine_index::EngineIndex,
    pub(super) best_first_ms: std::collections::BTreeMap<PoolName, f64>,
    /// Where a prefix was last sent, the oldest first.
    prefixes: indexmap::IndexMap<Digest, EngineName>,
    pub(super) now: MonotonicMs,
}

/// The digests of each leading run of parts, the shortest first.
fn leading(prefix: &[String]) -> Vec<Digest> {
    let mut so_far = Digest::default();
    let parts = prefix.iter();
    parts
        .map(|part| {
            so_far = Digest::of(&[&so_far.0.to_be_bytes(), part.as_bytes()]);
            so_far
        })
        .collect()
}

impl Known {
    fn is_busy(&self) -> bool {
        self.holds > Tokens(0) || self.learned.is_busy()
    }
}

impl Engines {
    /// Whether an engine may be given work.
    pub(crate) fn is_usable(&self, engine: &Engine) -> bool {
        let ill = self.known.get(&engine.name).and_then(|known| known.ill_until);
        engine.state == EngineState::Ready && ill.is_none_or(|until| self.now >= until)
    }

    pub(super) fn begin(&mut self, engine: &EngineName, cost: Tokens, prefix: &[String]) {
        let known = self.known.entry(engine.clone()).or_default();
        known.holds = known.holds.plus(cost);
        for digest in leading(prefix) {
            self.prefixes.shift_remove(&digest);
            self.prefixes.insert(digest, engine.clone());
        }
        while self.prefixes.len() > PREFIXES {
            self.prefixes.shift_remove_index(0);
        }
    }

    pub(super) fn end(&mut self, engine: &EngineName, cost: Tokens) {
        if let Some(known) = self.known.get_mut(engine) {
            known.holds = Tokens(known.holds.0.saturating_sub(cost.0));
        }
    }

    pub(super) fn failed(&mut self, engine: &EngineName, now: MonotonicMs) {
        let known = self.known.entry(engine.clone()).or_default();
        known.ill_until = Some(now.plus(LEFT_ALONE));
        // A prefix there is as good as lost.
        self.prefixes.retain(|_, holder| holder != engine);
    }

    pub(super) fn looked(&mut self, engine: EngineName, is_well: bool, now: MonotonicMs) {
        if is_well {
            self.known.entry(engine).or_default().ill_until = None;
        } else {
            self.failed(&engine, now);
        }
    }

    fn holds(&self, engine: &EngineName) -> Tokens {
        self.known.get(engine).map_or(Tokens(0), |known| known.holds)
    }
}

impl RelayMachine {
    fn usable<'a>(
        &'a self,
        pool: &'a PoolName,
        model: &'a ModelName,
    ) -> impl Iterator<Item = &'a Engine> {
        self.view.engines.values().filter(move |engine| {
            engine.pool == *pool && engine.models.contains(model) && self.engines.is_usable(engine)
        })
    }

    pub(super) fn has_engine(&self, pool: &PoolName, model: &ModelName) -> bool {
        self.usable(pool, model).next().is_some()
    }

    /// Models that have an engine for batch items.
    pub(super) fn models_with_engine(&self) -> Vec<ModelName> {
        let Some((_, bundle)) = &self.view.configuration else { return Vec::new() };
        let mut models: Vec<ModelName> = bundle
            .lanes
            .iter()
            .filter(|lane| lane.kind != topazyard_spec::ModelRouteKind::Live)
            .flat_map(|lane| lane.models.iter().filter(|model| self.has_engine(&lane.pool, model)))
            .cloned()
            .collect();
        models.sort();
        models.dedup();
        models
    }

    /// Chooses an engine: where the longest known prefix went, else by rendezvous over the first
    /// part, so that relays that never spoke agree; in either case only if it is not laden.
    pub(super) fn choose_engine(
        &self,
        pool: &PoolName,
        model: &ModelName,
        prefix: &[String],
        not: Option<&EngineName>,
    ) -> Option<Target> {
        let usable: Vec<&Engine> =
            self.usable(pool, model).filter(|engine| Some(&engine.name) != not).collect();
        let target = |e: &Engine| Target { engine: e.name.clone(), address: e.address };
        let holds = |e: &Engine| self.engines.holds(&e.name);
        let total: Tokens = usable.iter().map(|engine| holds(engine)).sum();
        let mean = total.0 / usable.len().max(1) as u64;
        let is_laden = |e: &Engine| holds(e).0 > (mean + 512) * LADEN_PERCENT / 100;
        let digests = leading(prefix);
        let known = digests.iter().rev().find_map(|digest| {
            let holder = self.engines.prefixes.get(digest)?;
            usable.iter().find(|engine| engine.name == *holder && !is_laden(engine))
        });
        if let Some(engine) = known {
            return Some(target(engine));
        }
        if let Some(first) = digests.first() {
            let rank =
                |engine: &&&Engine| Digest::of(&[&first.0.to_be_bytes(), engine.name.0.as_bytes()]);
            let preferred = usable.iter().filter(|engine| !is_laden(engine)).max_by_key(rank);
            if let Some(engine) = preferred {
                return Some(target(engine));
            }
        }
        // The least laden; among equals each relay has an order of its own.
        let own = |engine: &&&Engine| {
            let order = Digest::of(&[&self.node.0.to_be_bytes(), engine.name.0.as_bytes()]);
            (holds(engine), order)
        };
        usable.iter().min_by_key(own).map(|engine| target(engine))
    }

    /// Pools that lanes use. Engines that serve routes alone are judged by what their requests come
    /// to: a look there would cost a slot.
    fn pools_of_lanes(&self) -> std::collections::BTreeSet<PoolName> {
        let bundle = self.view.configuration.iter().flat_map(|(_, bundle)| &bundle.lanes);
        bundle.map(|lane| lane.pool.clone()).collect()
    }

    pub(super) fn engines_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        self.engines.now = now;
        self.engines.reach_tick(&self.view, now, out);
        let lanes = self.pools_of_lanes();
        let looked_at = |e: &&Engine| e.state == EngineState::Ready && lanes.contains(&e.pool);
        for engine in self.view.engines.values().filter(looked_at) {
            let known = self.engines.known.entry(engine.name.clone()).or_default();
            if known.last_look.is_none_or(|at| now.since(at) >= LOOK_EVERY) {
                known.last_look = Some(now);
                let target = Target { engine: engine.name.clone(), address: engine.address };
                out.push(Effect::StartTask(RelayTask::CheckHealth(target)));
            }
        }
        let listed = &self.view.engines;
        self.engines.known.retain(|name, k| listed.contains_key(name) || k.is_busy());
    }
}
