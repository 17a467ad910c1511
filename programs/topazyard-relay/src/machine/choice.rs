//! Which engine a request of a route goes to, and what each engine's use teaches.
//!
//! Every relay ranks engines for a prompt's shared parts by the same digest, so that parts meet an
//! engine that holds them without any relay telling another. Of the first few the one is taken to
//! which this relay has sent least of late: an engine that must read several prompts at once holds
//! up all streams that it writes, and prompts that each relay spaces evenly seldom come together.

use super::engines::Engines;
use super::requests::PromptPart;
use super::{EngineLoad, EngineOutcome, Out, RelayResponse, RelayTask, Target};
use topazyard_spec::{Engine, EngineState};
use topazyard_types::{Digest, DurationMs, EngineName, MonotonicMs, NodeId, PoolName};
use topazyard_wire::Effect;
use topazyard_wire::state::FleetSnapshot;

/// Failures in a row after which an engine is left alone.
const STRIKES: u32 = 2;
/// For how long an engine is first left alone; each time in a row doubles it.
const FIRST_PAUSE: DurationMs = DurationMs(500);
const LONGEST_PAUSE: DurationMs = DurationMs(4_000);
/// For how long a doubted engine goes behind the others.
const DOUBTED_FOR: DurationMs = DurationMs(400);
/// For how long an engine that turned a request away goes behind the others.
const FULL_FOR: DurationMs = DurationMs(100);
/// Bounds on how long an engine may say nothing before it is doubted.
const SHORTEST_DOUBT_MS: f64 = 80.0;
const LONGEST_DOUBT_MS: f64 = 1_000.0;
/// Engines among which a prompt's shared parts are kept.
const KEEPERS: usize = 3;
/// How much costlier a keeper may be than the cheapest engine of all.
const KEEPER_PREMIUM: f64 = 2.0;
/// Within this span what was sent to an engine counts less and less.
const RECENT_MS: f64 = 400.0;
/// What a request that is still open adds, against one that was just sent.
const OPEN_WEIGHT: f64 = 0.15;
/// What an engine's first words told counts less and less within this span.
const FIRST_WORDS_MS: f64 = 4_000.0;
/// What an engine said of its load counts less and less within this span.
const LOAD_MS: f64 = 1_000.0;
/// From this fill on an engine's slots count as crowded.
const CROWDED: f64 = 0.6;
/// What a full engine adds to the cost of a request more, against an empty one.
const CROWD_WEIGHT: f64 = 2.0;
/// The prompt that counts as one where none was seen yet, in tokens.
const USUAL_TOKENS: f64 = 1_000.0;
/// What an engine is taken to need for its first word while nothing is known.
const UNKNOWN_FIRST_MS: f64 = 60.0;

/// What is asked of an engine.
#[derive(Debug)]
pub(super) struct Wanted<'a> {
    pub(super) pool: &'a PoolName,
    pub(super) prefix: &'a [PromptPart],
    /// Engines that had it already.
    pub(super) not: &'a [EngineName],
}

/// What requests on routes taught of an engine.
#[derive(Debug, Default)]
pub(super) struct Learned {
    /// Requests of this relay that it works on.
    open: u32,
    /// Moving average of the time to its first word, and when the last of them came.
    first_ms: Option<f64>,
    first_at: MonotonicMs,
    /// How full it last said that its slots are, and when.
    fill: Option<(f64, MonotonicMs)>,
    /// Prompts sent there of late, in usual ones, as of the moment beside it.
    recent: f64,
    recent_at: MonotonicMs,
    /// Failures since the last success.
    strikes: u32,
    behind_until: Option<MonotonicMs>,
    /// Whether it is left alone until it takes a connection again.
    pause: Option<DurationMs>,
    /// Whether the log says that it is paused.
    is_logged_as_paused: bool,
}

/// The part that still counts of what was learned so long ago.
fn faded(age: DurationMs, span_ms: f64) -> f64 {
    (-(age.0 as f64) / span_ms).exp()
}

impl Learned {
    fn recent_now(&self, now: MonotonicMs) -> f64 {
        self.recent * faded(now.since(self.recent_at), RECENT_MS)
    }

    pub(super) fn is_busy(&self) -> bool {
        self.open > 0
    }

    /// What the engine said of its load adds to the cost of a request more.
    fn crowd(&self, now: MonotonicMs) -> f64 {
        let Some((fill, at)) = self.fill else { return 0.0 };
        let above = (fill - CROWDED).max(0.0) / (1.0 - CROWDED);
        CROWD_WEIGHT * above * faded(now.since(at), LOAD_MS)
    }

    /// What is to be told of it in the log, once each time it changes.
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
    /// Whether a pool has an engine that could be tried at all.
    pub(super) fn has_usable(&self, view: &FleetSnapshot, pool: &PoolName) -> bool {
        view.engines
            .values()
            .any(|engine| engine.pool == *pool && engine.state == EngineState::Ready)
    }

    /// The shortest time to a first word that any engine of the pool has shown lately, in ms.
    pub(super) fn best_first_ms(&self, pool: &PoolName) -> u64 {
        self.best_first_ms.get(pool).map_or(0, |best| *best as u64)
    }

    /// Chooses an engine, and says after how long without a word it is to be doubted.
    pub(super) fn choose(
        &self,
        view: &FleetSnapshot,
        wanted: &Wanted<'_>,
        own: NodeId,
        now: MonotonicMs,
    ) -> Option<(Target, DurationMs)> {
        let chosen = self.ranked(view, wanted, own, now).into_iter().next()?;
        let target = Target { engine: chosen.name.clone(), address: chosen.address };
        Some((target, self.doubt_after(chosen, now)))
    }

    /// Engines that a request may go to, the best first: the cheapest keeper of its shared parts,
    /// unless another engine costs much less, and then the others by what they cost.
    pub(super) fn ranked<'a>(
        &self,
        view: &'a FleetSnapshot,
        wanted: &Wanted<'_>,
        own: NodeId,
        now: MonotonicMs,
    ) -> Vec<&'a Engine> {
        let key = shared_key(wanted.prefix).unwrap_or(Digest(u128::from(own.0)));
        let mut ranked = self.candidates(view, wanted, key, true);
        if ranked.is_empty() {
            // Rather one that failed lately than none.
            ranked = self.candidates(view, wanted, key, false);
        }
        let is_front = |engine: &Engine| {
            let behind = self.learned(&engine.name).and_then(|learned| learned.behind_until);
            behind.is_none_or(|until| now >= until)
        };
        if ranked.iter().any(|(_, engine)| is_front(engine)) {
            ranked.retain(|(_, engine)| is_front(engine));
        }
        ranked.sort_by(|(one, _), (other, _)| other.cmp(one));
        let mut by_cost: Vec<(bool, f64, &Engine)> = ranked
            .into_iter()
            .enumerate()
            .map(|(place, (_, engine))| (place < KEEPERS, self.cost(engine, now), engine))
            .collect();
        by_cost.sort_by(|(_, one, _), (_, other, _)| one.total_cmp(other));
        let cheapest = by_cost.first().map_or(0.0, |(_, cost, _)| *cost);
        let is_preferred =
            |(keeps, cost, _): &(bool, f64, &Engine)| *keeps && *cost <= cheapest * KEEPER_PREMIUM;
        // The others stay in the order of their costs.
        if let Some(preferred) = by_cost.iter().position(is_preferred) {
            by_cost[..=preferred].rotate_right(1);
        }
        by_cost.into_iter().map(|(_, _, engine)| engine).collect()
    }

    /// The engines that a request may go to, each with its rank for these parts.
    fn candidates<'a>(
        &self,
        view: &'a FleetSnapshot,
        wanted: &Wanted<'_>,
        key: Digest,
        only_usable: bool,
    ) -> Vec<(u64, &'a Engine)> {
        let listed = self.index.ranked(wanted.pool, key);
        let listed = listed.filter_map(|(rank, name)| Some((rank, view.engines.get(name)?)));
        listed
            .filter(|(_, engine)| !wanted.not.contains(&engine.name))
            .filter(|(_, engine)| !only_usable || self.is_usable(engine))
            .collect()
    }

    /// An engine said how many requests it runs, how many wait there, and of how many slots.
    pub(super) fn told_load(&mut self, engine: &EngineName, load: EngineLoad, now: MonotonicMs) {
        let Some(known) = self.known.get_mut(engine) else { return };
        let fill = f64::from(load.running + load.waiting) / f64::from(load.slots.max(1));
        known.learned.fill = Some((fill.min(1.0), now));
    }

    fn learned(&self, engine: &EngineName) -> Option<&Learned> {
        self.known.get(engine).map(|known| &known.learned)
    }

    /// What a request more costs there: how long the engine's first words take, times what this
    /// relay has sent there of late and still has there, and what the engine said of others.
    fn cost(&self, engine: &Engine, now: MonotonicMs) -> f64 {
        let learned = self.learned(&engine.name);
        let load = learned
            .map_or(0.0, |l| l.recent_now(now) + f64::from(l.open) * OPEN_WEIGHT + l.crowd(now));
        self.first_ms(engine, now) * (1.0 + load)
    }

    /// How long an engine's first word likely takes: what it has shown, which fades to what is usual
    /// in its pool, so that one that was slow once is tried again.
    fn first_ms(&self, engine: &Engine, now: MonotonicMs) -> f64 {
        let usual = self.usual_first_ms.get(&engine.pool).copied().unwrap_or(UNKNOWN_FIRST_MS);
        let Some(learned) = self.learned(&engine.name) else { return usual };
        let Some(first_ms) = learned.first_ms else { return usual };
        usual + (first_ms - usual) * faded(now.since(learned.first_at), FIRST_WORDS_MS)
    }

    fn doubt_after(&self, engine: &Engine, now: MonotonicMs) -> DurationMs {
        let doubt_ms = self.first_ms(engine, now) * 4.0 + 40.0;
        DurationMs(doubt_ms.clamp(SHORTEST_DOUBT_MS, LONGEST_DOUBT_MS) as u64)
    }

    /// A request with that prompt goes there.
    pub(super) fn open(&mut self, engine: &EngineName, prefix: &[PromptPart], now: MonotonicMs) {
        self.now = now;
        let tokens = prefix.iter().map(|part| part.tokens.0).sum::<u64>() as f64;
        if tokens > 0.0 {
            let before = if self.usual_tokens > 0.0 { self.usual_tokens } else { tokens };
            self.usual_tokens = before + (tokens - before) / 64.0;
        }
        let usual = if self.usual_tokens > 0.0 { self.usual_tokens } else { USUAL_TOKENS };
        let learned = &mut self.known.entry(engine.clone()).or_default().learned;
        learned.open += 1;
        learned.recent = learned.recent_now(now) + if tokens > 0.0 { tokens / usual } else { 1.0 };
        learned.recent_at = now;
    }

    /// A request there is over.
    pub(super) fn close(
        &mut self,
        engine: &EngineName,
        engine_outcome: EngineOutcome,
        now: MonotonicMs,
    ) {
        let Some(known) = self.known.get_mut(engine) else { return };
        let learned = &mut known.learned;
        learned.open = learned.open.saturating_sub(1);
        match engine_outcome {
            EngineOutcome::Completed(first) => {
                let first_ms = first.0 as f64;
                let before = learned.first_ms.get_or_insert(first_ms);
                *before += (first_ms - *before) / 8.0;
                learned.first_at = now;
                learned.strikes = 0;
                learned.pause = None;
                known.ill_until = None;
            }
            EngineOutcome::TurnedAway => learned.behind_until = Some(now.plus(FULL_FOR)),
            EngineOutcome::Failed => {
                learned.strikes += 1;
                if learned.strikes >= STRIKES {
                    self.leave_alone(engine, now);
                }
            }
            EngineOutcome::Unreachable => self.leave_alone(engine, now),
            EngineOutcome::Aborted | EngineOutcome::NotSent => {}
        }
    }

    /// Learns the pool's usual and best time to a first word.
    pub(super) fn first_word(&mut self, pool: &PoolName, first: DurationMs) {
        let usual = self.usual_first_ms.entry(pool.clone()).or_insert(first.0 as f64);
        *usual += (first.0 as f64 - *usual) / 64.0;
        let best = self.best_first_ms.entry(pool.clone()).or_insert(first.0 as f64);
        if (first.0 as f64) < *best {
            *best = first.0 as f64;
        } else {
            *best += (first.0 as f64 - *best) / 64.0;
        }
    }

    /// An engine has said nothing for longer than it should: others go before it.
    pub(super) fn doubt(&mut self, engine: &EngineName, now: MonotonicMs) {
        let known = self.known.entry(engine.clone()).or_default();
        known.learned.behind_until = Some(now.plus(DOUBTED_FOR));
    }

    fn leave_alone(&mut self, engine: &EngineName, now: MonotonicMs) {
        let known = self.known.entry(engine.clone()).or_default();
        let before = known.learned.pause;
        let pause = before.map_or(FIRST_PAUSE, |p| DurationMs((p.0 * 2).min(LONGEST_PAUSE.0)));
        if known.ill_until.is_none_or(|until| now >= until) {
            known.learned.pause = Some(pause);
            known.ill_until = Some(now.plus(pause));
        }
    }

    /// Engines of routes that were left alone long enough are asked for a connection.
    pub(super) fn reach_tick(&mut self, view: &FleetSnapshot, now: MonotonicMs, out: &mut Out) {
        for engine in view.engines.values().filter(|e| e.state == EngineState::Ready) {
            let Some(known) = self.known.get_mut(&engine.name) else { continue };
            out.extend(known.learned.state_change(&engine.name));
            let Some(pause) = known.learned.pause else { continue };
            if known.ill_until.is_some_and(|until| now.plus(DurationMs(50)) >= until) {
                // It stays out until the answer is here.
                known.ill_until = Some(now.plus(pause.max(DurationMs(1_000))));
                let target = Target { engine: engine.name.clone(), address: engine.address };
                out.push(Effect::StartTask(RelayTask::ProbeConnection(target)));
            }
        }
    }

    /// An engine that was left alone took a connection, or did not.
    pub(super) fn reached(&mut self, engine: &EngineName, reached: bool, now: MonotonicMs) {
        let Some(known) = self.known.get_mut(engine) else { return };
        if reached {
            known.ill_until = None;
            // The next failure puts it out again, for twice as long.
            known.learned.strikes = STRIKES - 1;
        } else {
            known.ill_until = None;
            self.leave_alone(engine, now);
        }
    }
}

/// What tells the parts that a prompt shares with others: all but its last, or that one where it
/// stands alone.
fn shared_key(prefix: &[PromptPart]) -> Option<Digest> {
    let shared = prefix.len().saturating_sub(1).max(1);
    let parts = prefix.get(..shared)?;
    Some(parts.iter().fold(Digest::default(), |so_far, part| {
        Digest::of(&[&so_far.0.to_be_bytes(), &part.digest.0.to_be_bytes()])
    }))
}
