//! Admission: the estimate is made before; here the deadline is checked, then the budget.

use super::{EngineOutcome, Out, Prompt, PromptId, RelayMachine, RelayResponse};
use topazyard_spec::ModelRouteKind;
use topazyard_types::{CallId, DurationMs, EngineName, HoldId, MonotonicMs, PoolName};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::counter::HoldKind;

/// The longest a prompt waits for room, however late its deadline.
const LONGEST_WAIT: DurationMs = DurationMs(2_000);
/// How often the first in the queue asks again when nothing was let go here meanwhile.
const ASK_EVERY: DurationMs = DurationMs(40);
/// How many askings may be on their way.
const MOST_ASKINGS: usize = 64;

#[derive(Debug)]
enum Stage {
    /// It waits for its turn to ask.
    Waiting,
    /// It asked the counter.
    Asking(HoldId),
    /// It holds its cost and was given an engine.
    Held(HoldId, EngineName),
}

#[derive(Debug)]
struct Entry {
    call: CallId,
    prompt: Prompt,
    pool: PoolName,
    /// What its lane says it is worth.
    value: u32,
    since: MonotonicMs,
    stage: Stage,
}

/// How long things take, learned from what went through.
#[derive(Debug, Default)]
struct Pace {
    /// Moving average of the time between grants while prompts wait.
    grant_every_ms: f64,
    last_grant: Option<MonotonicMs>,
    /// The best service time seen lately.
    best_service_ms: f64,
}

/// A pool's queue.
#[derive(Debug, Default)]
struct Queue {
    order: std::collections::VecDeque<PromptId>,
    pace: Pace,
    /// Whether the first was refused, so that those behind it wait.
    full_since: Option<MonotonicMs>,
    last_ask: Option<MonotonicMs>,
}

/// Prompts that wait or hold.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    entries: std::collections::BTreeMap<PromptId, Entry>,
    queuees: std::collections::BTreeMap<PoolName, Queue>,
    askings: std::collections::BTreeMap<HoldId, PromptId>,
}

impl Admission {
    pub(crate) fn waiting(&self) -> usize {
        self.queuees.values().map(|queue| queue.order.len()).sum()
    }

    /// How many in an queue go before one that is worth so much: those worth as much or more.
    fn ahead_of(&self, pool: &PoolName, value: u32) -> usize {
        let Some(queue) = self.queuees.get(pool) else { return 0 };
        let is_less = |id: &PromptId| self.entries.get(id).is_none_or(|e| e.value < value);
        queue.order.iter().position(is_less).unwrap_or(queue.order.len())
    }

    pub(crate) fn holding(&self) -> usize {
        self.entries.values().filter(|e| matches!(e.stage, Stage::Held(..))).count()
    }

    pub(crate) fn asks(&self, id: HoldId) -> bool {
        self.askings.contains_key(&id)
    }
}

impl Pace {
    fn granted(&mut self, now: MonotonicMs, others_wait: bool) {
        if let Some(last) = self.last_grant
            && others_wait
        {
            let gap_ms = now.since(last).0 as f64;
            self.grant_every_ms += (gap_ms - self.grant_every_ms) / 16.0;
        }
        self.last_grant = Some(now);
    }

    fn served(&mut self, took: DurationMs) {
        let took_ms = took.0 as f64;
        if self.best_service_ms == 0.0 || took_ms < self.best_service_ms {
            self.best_service_ms = took_ms;
        } else {
            self.best_service_ms += (took_ms - self.best_service_ms) / 64.0;
        }
    }

    /// How long one that comes behind so many would wait.
    fn wait_behind(&self, ahead: usize) -> DurationMs {
        DurationMs((self.grant_every_ms * ahead as f64) as u64)
    }
}

impl RelayMachine {
    /// Lets a prompt in, makes it wait briefly, or refuses it at once.
    pub(super) fn allow(&mut self, call: CallId, prompt: Prompt, now: MonotonicMs, out: &mut Out) {
        match self.judge(&prompt, now) {
            Err(error) => self.refuse(call, error, out),
            Ok((pool, value)) => {
                let id = prompt.id;
                let ahead = self.admission.ahead_of(&pool, value);
                let queue = self.admission.queuees.entry(pool.clone()).or_default();
                queue.order.insert(ahead, id);
                let entry = Entry {
                    call,
                    prompt,
                    pool: pool.clone(),
                    value,
                    since: now,
                    stage: Stage::Waiting,
                };
                self.admission.entries.insert(id, entry);
                self.displace_last(&pool, out);
                self.ask_in_order(&pool, now, out);
            }
        }
    }

    fn refuse(&mut self, call: CallId, error: ApiError, out: &mut Out) {
        self.count_refusal(error.code);
        out.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
    }

    /// The checks that need no other process, cheapest first.
    fn judge(&self, prompt: &Prompt, now: MonotonicMs) -> Result<(PoolName, u32), ApiError> {
        let refused = |code| Err(ApiError::not_run(code));
        if let Some(code) = self.unready(now).filter(|code| *code != Code::NoEngine) {
            return refused(code);
        }
        let Some((_, bundle)) = &self.view.configuration else { return refused(Code::StaleFeed) };
        let Some(lane) = bundle.model_route_for(ModelRouteKind::Live, &prompt.model) else {
            return Err(ApiError::not_run(Code::NoLane).at("Topazyard-Model"));
        };
        let queue = self.admission.queuees.get(&lane.pool);
        let ahead = self.admission.ahead_of(&lane.pool, lane.value);
        let wait = queue.map_or(DurationMs(0), |queue| queue.pace.wait_behind(ahead));
        let best_ms = queue.map_or(0.0, |queue| queue.pace.best_service_ms);
        let left = prompt.deadline.since(now);
        if left.0 <= wait.0 + best_ms as u64 {
            return refused(Code::Deadline);
        }
        if !self.has_engine(&lane.pool, &prompt.model) {
            return refused(Code::NoEngine);
        }
        if ahead > self.depth(&lane.pool) {
            return refused(Code::QueueFull);
        }
        if wait >= LONGEST_WAIT {
            return refused(Code::Budget);
        }
        Ok((lane.pool.clone(), lane.value))
    }

    fn depth(&self, pool: &PoolName) -> usize {
        let bundle = self.view.configuration.as_ref().map(|(_, bundle)| bundle);
        let pool = bundle.and_then(|bundle| bundle.pool(pool));
        pool.map_or(0, |pool| pool.queue_depth as usize)
    }

    /// Gives up on the last of an queue that has become too long: it is worth least, and of those
    /// it came last.
    fn displace_last(&mut self, pool: &PoolName, out: &mut Out) {
        let depth = self.depth(pool);
        let Some(queue) = self.admission.queuees.get_mut(pool) else { return };
        // One more than the queue holds is the one that asks.
        if queue.order.len() <= depth + 1 {
            return;
        }
        if let Some(last) = queue.order.pop_back() {
            self.forget_asking(last, out);
            self.give_up(last, Code::QueueFull, out);
        }
    }

    /// Lets go of what a waiting prompt has asked for.
    fn forget_asking(&mut self, id: PromptId, out: &mut Out) {
        if let Some(Entry { stage: Stage::Asking(hold), .. }) = self.admission.entries.get(&id) {
            let hold = *hold;
            self.admission.askings.remove(&hold);
            self.release_hold(hold, out);
        }
    }

    /// Lets those at the front ask the counter. When it has refused the first, only the first
    /// asks again, so that nobody goes before it.
    fn ask_in_order(&mut self, pool: &PoolName, now: MonotonicMs, out: &mut Out) {
        let Some(queue) = self.admission.queuees.get_mut(pool) else { return };
        let most = match (queue.full_since, queue.last_ask) {
            (None, _) => MOST_ASKINGS,
            (Some(_), Some(last)) if now.since(last) < ASK_EVERY => return,
            (Some(_), _) => 1,
        };
        let first: Vec<PromptId> = queue.order.iter().take(most).copied().collect();
        queue.last_ask = Some(now);
        for id in first {
            let Some(entry) = self.admission.entries.get(&id) else { continue };
            if !matches!(entry.stage, Stage::Waiting) {
                continue;
            }
            let cost = entry.prompt.cost;
            let hold = self.ask_hold(pool.clone(), cost, HoldKind::Live, now, out);
            self.admission.askings.insert(hold, id);
            if let Some(entry) = self.admission.entries.get_mut(&id) {
                entry.stage = Stage::Asking(hold);
            }
        }
    }

    pub(super) fn prompt_hold_settled(
        &mut self,
        hold: HoldId,
        granted: bool,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let Some(id) = self.admission.askings.remove(&hold) else { return };
        let Some(entry) = self.admission.entries.get_mut(&id) else { return };
        let pool = entry.pool.clone();
        if !granted {
            entry.stage = Stage::Waiting;
            if let Some(queue) = self.admission.queuees.get_mut(&pool) {
                queue.full_since.get_or_insert(now);
            }
            return;
        }
        let (model, prefix, cost) =
            (entry.prompt.model.clone(), entry.prompt.prefix.clone(), entry.prompt.cost);
        let target = self.choose_engine(&pool, &model, &prefix, None);
        if let Some(queue) = self.admission.queuees.get_mut(&pool) {
            queue.order.retain(|other| *other != id);
            queue.full_since = None;
            let others_wait = !queue.order.is_empty();
            queue.pace.granted(now, others_wait);
        }
        let Some(target) = target else {
            self.release_hold(hold, out);
            self.give_up(id, Code::NoEngine, out);
            return;
        };
        self.engines.begin(&target.engine, cost, &prefix);
        if let Some(entry) = self.admission.entries.get_mut(&id) {
            entry.stage = Stage::Held(hold, target.engine.clone());
            self.admitted += 1;
            out.push(Effect::Respond { call: entry.call, value: RelayResponse::SendTo(target) });
        }
        self.ask_in_order(&pool, now, out);
    }

    /// Gives a waiting prompt its final answer.
    fn give_up(&mut self, id: PromptId, code: Code, out: &mut Out) {
        if let Some(entry) = self.admission.entries.remove(&id) {
            self.refuse(entry.call, ApiError::not_run(code), out);
        }
    }

    /// The last check before a prompt is sent.
    pub(super) fn dispatch(
        &self,
        id: PromptId,
        engine: &EngineName,
        now: MonotonicMs,
    ) -> RelayResponse {
        let refused = |code| RelayResponse::Refused(ApiError::not_run(code));
        let Some(entry) = self.admission.entries.get(&id) else { return refused(Code::Deadline) };
        if !matches!(&entry.stage, Stage::Held(_, held) if held == engine) {
            return refused(Code::NoEngine);
        }
        match self.go_until(engine, &entry.pool, &entry.prompt.model, ModelRouteKind::Live, now) {
            Err(code) => refused(code),
            Ok(until) => RelayResponse::SendBefore(until.min(entry.prompt.deadline)),
        }
    }

    /// Until when work of a lane may be sent to an engine, by all that is known now.
    pub(super) fn go_until(
        &self,
        engine: &EngineName,
        pool: &PoolName,
        model: &topazyard_types::ModelName,
        kind: ModelRouteKind,
        now: MonotonicMs,
    ) -> Result<MonotonicMs, Code> {
        if let Some(code) = self.cut_off(now) {
            return Err(code);
        }
        let Some((_, bundle)) = &self.view.configuration else { return Err(Code::StaleFeed) };
        // The spec may have changed while it waited.
        if bundle.model_route_for(kind, model).is_none_or(|lane| lane.pool != *pool) {
            return Err(Code::NoLane);
        }
        let fits = |e: &topazyard_spec::Engine| {
            e.pool == *pool && e.models.contains(model) && self.engines.is_usable(e)
        };
        if !self.view.engines.get(engine).is_some_and(fits) {
            return Err(Code::NoEngine);
        }
        Ok(self.fresh_until().min(self.counting.leased_until()))
    }

    /// Names another engine for a prompt that one failed.
    pub(super) fn another(
        &mut self,
        id: PromptId,
        failed: &EngineName,
        now: MonotonicMs,
    ) -> RelayResponse {
        self.engines.failed(failed, now);
        let Some(entry) = self.admission.entries.get(&id) else {
            return RelayResponse::Refused(ApiError::not_run(Code::Deadline));
        };
        let Stage::Held(hold, held) = &entry.stage else {
            return RelayResponse::Refused(ApiError::not_run(Code::NoEngine));
        };
        let (hold, held) = (*hold, held.clone());
        let (pool, prompt) = (entry.pool.clone(), entry.prompt.clone());
        let target = self.choose_engine(&pool, &prompt.model, &prompt.prefix, Some(failed));
        let Some(target) = target else {
            return RelayResponse::Refused(ApiError::not_run(Code::NoEngine));
        };
        self.engines.end(&held, prompt.cost);
        self.engines.begin(&target.engine, prompt.cost, &prompt.prefix);
        if let Some(entry) = self.admission.entries.get_mut(&id) {
            entry.stage = Stage::Held(hold, target.engine.clone());
        }
        RelayResponse::SendTo(target)
    }

    /// A prompt ended, whichever way: its hold is let go, once.
    pub(super) fn end_prompt(
        &mut self,
        id: PromptId,
        engine_outcome: EngineOutcome,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        self.forget_asking(id, out);
        let Some(entry) = self.admission.entries.remove(&id) else { return };
        let pool = entry.pool;
        if let Some(queue) = self.admission.queuees.get_mut(&pool) {
            queue.order.retain(|other| *other != id);
            if let EngineOutcome::Completed(took) = engine_outcome {
                queue.pace.served(took);
            }
            // There is room again: the first may ask at once.
            queue.last_ask = None;
        }
        if let Stage::Held(hold, engine) = entry.stage {
            self.release_hold(hold, out);
            self.engines.end(&engine, entry.prompt.cost);
            if engine_outcome == EngineOutcome::Failed {
                self.engines.failed(&engine, now);
            }
        }
        self.ask_in_order(&pool, now, out);
    }

    pub(super) fn admission_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        self.give_up_late(now, out);
        let pools: Vec<PoolName> = self.admission.queuees.keys().cloned().collect();
        for pool in pools {
            if let Some(queue) = self.admission.queuees.get_mut(&pool)
                && queue.order.is_empty()
            {
                queue.full_since = None;
            }
            self.ask_in_order(&pool, now, out);
        }
    }

    /// Gives up on those whose deadline can't be met any more, or that waited long enough. Their
    /// final answer goes out at once.
    fn give_up_late(&mut self, now: MonotonicMs, out: &mut Out) {
        let cut_off = self.cut_off(now);
        let mut late = Vec::new();
        for queue in self.admission.queuees.values() {
            let best_ms = queue.pace.best_service_ms as u64;
            for id in &queue.order {
                let Some(entry) = self.admission.entries.get(id) else { continue };
                let code = if let Some(code) = cut_off {
                    Some(code)
                } else if entry.prompt.deadline.since(now).0 <= best_ms {
                    Some(Code::Deadline)
                } else if now.since(entry.since) >= LONGEST_WAIT {
                    Some(if queue.full_since.is_some() { Code::Budget } else { Code::NoCounter })
                } else {
                    None
                };
                late.extend(code.map(|code| (*id, code)));
            }
        }
        for (id, code) in late {
            let Some(entry) = self.admission.entries.get(&id) else { continue };
            let pool = entry.pool.clone();
            self.forget_asking(id, out);
            if let Some(queue) = self.admission.queuees.get_mut(&pool) {
                queue.order.retain(|other| *other != id);
            }
            self.give_up(id, code, out);
        }
    }
}
