//! Admission of prompts on model routes. The cost is estimated beforehand; here the deadline is
//! checked, then the budget.

use super::{EngineOutcome, Outputs, Prompt, PromptId, RelayMachine, RelayResponse};
use topazyard_spec::ModelRouteKind;
use topazyard_types::{CallId, DurationMs, EngineName, HoldId, MonotonicMs, PoolName};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::counter::HoldKind;

/// Maximum time that a prompt waits for budget, however late its deadline.
const MAX_QUEUE_WAIT: DurationMs = DurationMs(2_000);
/// Interval at which the first prompt in the queue requests its hold again while no hold is
/// released here.
const HOLD_RETRY_INTERVAL: DurationMs = DurationMs(40);
/// Maximum number of hold requests in flight.
const MAX_HOLD_REQUESTS: usize = 64;

#[derive(Debug)]
enum Stage {
    /// Waiting for its turn to request a hold.
    Waiting,
    /// Has requested a hold from the counter.
    Requesting(HoldId),
    /// Holds its cost and was given an engine.
    Held(HoldId, EngineName),
}

#[derive(Debug)]
struct PromptEntry {
    call: CallId,
    prompt: Prompt,
    pool: PoolName,
    /// The value of its model route.
    value: u32,
    queued_at: MonotonicMs,
    stage: Stage,
}

/// Estimates of queueing and service times from past requests.
#[derive(Debug, Default)]
struct PaceEstimate {
    /// Moving average of the interval between grants while prompts wait.
    grant_interval_ms: f64,
    last_grant_at: Option<MonotonicMs>,
    /// The best recent service time.
    best_service_ms: f64,
}

/// The queue of one pool.
#[derive(Debug, Default)]
struct Queue {
    order: std::collections::VecDeque<PromptId>,
    pace: PaceEstimate,
    /// Set while the first prompt is refused, so that those behind it wait.
    exhausted_since: Option<MonotonicMs>,
    last_request_at: Option<MonotonicMs>,
}

/// Prompts that wait or hold.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    entries: std::collections::BTreeMap<PromptId, PromptEntry>,
    queues: std::collections::BTreeMap<PoolName, Queue>,
    requested_holds: std::collections::BTreeMap<HoldId, PromptId>,
}

impl Admission {
    pub(crate) fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.order.len()).sum()
    }

    /// How many prompts in a queue precede one of this value: those of the same or a higher value.
    fn ahead_of(&self, pool: &PoolName, value: u32) -> usize {
        let Some(queue) = self.queues.get(pool) else { return 0 };
        let is_less = |id: &PromptId| self.entries.get(id).is_none_or(|e| e.value < value);
        queue.order.iter().position(is_less).unwrap_or(queue.order.len())
    }

    pub(crate) fn holding(&self) -> usize {
        self.entries.values().filter(|e| matches!(e.stage, Stage::Held(..))).count()
    }

    pub(crate) fn has_requested(&self, id: HoldId) -> bool {
        self.requested_holds.contains_key(&id)
    }
}

impl PaceEstimate {
    fn granted(&mut self, now: MonotonicMs, others_waiting: bool) {
        if let Some(last) = self.last_grant_at
            && others_waiting
        {
            let gap_ms = now.since(last).0 as f64;
            self.grant_interval_ms += (gap_ms - self.grant_interval_ms) / 16.0;
        }
        self.last_grant_at = Some(now);
    }

    fn served(&mut self, took: DurationMs) {
        let took_ms = took.0 as f64;
        if self.best_service_ms == 0.0 || took_ms < self.best_service_ms {
            self.best_service_ms = took_ms;
        } else {
            self.best_service_ms += (took_ms - self.best_service_ms) / 64.0;
        }
    }

    /// The expected wait behind this many prompts.
    fn wait_behind(&self, ahead: usize) -> DurationMs {
        DurationMs((self.grant_interval_ms * ahead as f64) as u64)
    }
}

impl RelayMachine {
    /// Admits a prompt, makes it wait briefly, or refuses it at once.
    pub(super) fn admit_prompt(
        &mut self,
        call: CallId,
        prompt: Prompt,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        match self.check_prompt(&prompt, now) {
            Err(error) => self.refuse(call, error, effects),
            Ok((pool, value)) => {
                let id = prompt.id;
                let ahead = self.admission.ahead_of(&pool, value);
                let queue = self.admission.queues.entry(pool.clone()).or_default();
                queue.order.insert(ahead, id);
                let entry = PromptEntry {
                    call,
                    prompt,
                    pool: pool.clone(),
                    value,
                    queued_at: now,
                    stage: Stage::Waiting,
                };
                self.admission.entries.insert(id, entry);
                self.evict_last(&pool, effects);
                self.request_holds(&pool, now, effects);
            }
        }
    }

    fn refuse(&mut self, call: CallId, error: ApiError, effects: &mut Outputs) {
        self.record_refusal(error.code);
        effects.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
    }

    /// The checks that need no other process, cheapest first.
    fn check_prompt(&self, prompt: &Prompt, now: MonotonicMs) -> Result<(PoolName, u32), ApiError> {
        let refused = |code| Err(ApiError::not_run(code));
        if let Some(code) = self.not_ready_reason(now).filter(|code| *code != Code::NoEngine) {
            return refused(code);
        }
        let Some((_, configuration)) = &self.fleet.configuration else {
            return refused(Code::StaleFeed);
        };
        let Some(model_route) = configuration.model_route_for(ModelRouteKind::Live, &prompt.model)
        else {
            return Err(ApiError::not_run(Code::NoLane).at("Topazyard-Model"));
        };
        let queue = self.admission.queues.get(&model_route.pool);
        let ahead = self.admission.ahead_of(&model_route.pool, model_route.value);
        let wait = queue.map_or(DurationMs(0), |queue| queue.pace.wait_behind(ahead));
        let best_ms = queue.map_or(0.0, |queue| queue.pace.best_service_ms);
        let left = prompt.deadline.since(now);
        if left.0 <= wait.0 + best_ms as u64 {
            return refused(Code::Deadline);
        }
        if !self.has_engine(&model_route.pool, &prompt.model) {
            return refused(Code::NoEngine);
        }
        if ahead > self.queue_depth(&model_route.pool) {
            return refused(Code::QueueFull);
        }
        if wait >= MAX_QUEUE_WAIT {
            return refused(Code::Budget);
        }
        Ok((model_route.pool.clone(), model_route.value))
    }

    fn queue_depth(&self, pool: &PoolName) -> usize {
        let configuration =
            self.fleet.configuration.as_ref().map(|(_, configuration)| configuration);
        let pool = configuration.and_then(|configuration| configuration.pool(pool));
        pool.map_or(0, |pool| pool.queue_depth as usize)
    }

    /// Refuses the last prompt of a queue that has grown too long: the latest of those with the
    /// lowest value.
    fn evict_last(&mut self, pool: &PoolName, effects: &mut Outputs) {
        let queue_depth = self.queue_depth(pool);
        let Some(queue) = self.admission.queues.get_mut(pool) else { return };
        // The prompt that requests a hold is not counted against the queue's depth.
        if queue.order.len() <= queue_depth + 1 {
            return;
        }
        if let Some(last) = queue.order.pop_back() {
            self.cancel_hold_request(last, effects);
            self.refuse_waiting(last, Code::QueueFull, effects);
        }
    }

    /// Cancels the hold request of a waiting prompt.
    fn cancel_hold_request(&mut self, id: PromptId, effects: &mut Outputs) {
        if let Some(PromptEntry { stage: Stage::Requesting(hold), .. }) =
            self.admission.entries.get(&id)
        {
            let hold = *hold;
            self.admission.requested_holds.remove(&hold);
            self.release_hold(hold, effects);
        }
    }

    /// Lets the first prompts request holds. After the counter refused the first, only the first
    /// requests again, so that none overtakes it.
    fn request_holds(&mut self, pool: &PoolName, now: MonotonicMs, effects: &mut Outputs) {
        let Some(queue) = self.admission.queues.get_mut(pool) else { return };
        let max_requests = match (queue.exhausted_since, queue.last_request_at) {
            (None, _) => MAX_HOLD_REQUESTS,
            (Some(_), Some(last)) if now.since(last) < HOLD_RETRY_INTERVAL => return,
            (Some(_), _) => 1,
        };
        let first: Vec<PromptId> = queue.order.iter().take(max_requests).copied().collect();
        queue.last_request_at = Some(now);
        for id in first {
            let Some(entry) = self.admission.entries.get(&id) else { continue };
            if !matches!(entry.stage, Stage::Waiting) {
                continue;
            }
            let cost = entry.prompt.cost;
            let hold = self.request_hold(pool.clone(), cost, HoldKind::Live, now, effects);
            self.admission.requested_holds.insert(hold, id);
            if let Some(entry) = self.admission.entries.get_mut(&id) {
                entry.stage = Stage::Requesting(hold);
            }
        }
    }

    pub(super) fn prompt_hold_decided(
        &mut self,
        hold: HoldId,
        granted: bool,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let Some(id) = self.admission.requested_holds.remove(&hold) else { return };
        let Some(entry) = self.admission.entries.get_mut(&id) else { return };
        let pool = entry.pool.clone();
        if !granted {
            entry.stage = Stage::Waiting;
            if let Some(queue) = self.admission.queues.get_mut(&pool) {
                queue.exhausted_since.get_or_insert(now);
            }
            return;
        }
        let (model, prefix, cost) =
            (entry.prompt.model.clone(), entry.prompt.prefix.clone(), entry.prompt.cost);
        let target = self.choose_engine(&pool, &model, &prefix, None);
        if let Some(queue) = self.admission.queues.get_mut(&pool) {
            queue.order.retain(|other| *other != id);
            queue.exhausted_since = None;
            let others_waiting = !queue.order.is_empty();
            queue.pace.granted(now, others_waiting);
        }
        let Some(target) = target else {
            self.release_hold(hold, effects);
            self.refuse_waiting(id, Code::NoEngine, effects);
            return;
        };
        self.engines.hold_started(&target.engine, cost, &prefix);
        if let Some(entry) = self.admission.entries.get_mut(&id) {
            entry.stage = Stage::Held(hold, target.engine.clone());
            self.admitted += 1;
            effects
                .push(Effect::Respond { call: entry.call, value: RelayResponse::SendTo(target) });
        }
        self.request_holds(&pool, now, effects);
    }

    /// Refuses a waiting prompt as its final response.
    fn refuse_waiting(&mut self, id: PromptId, code: Code, effects: &mut Outputs) {
        if let Some(entry) = self.admission.entries.remove(&id) {
            self.refuse(entry.call, ApiError::not_run(code), effects);
        }
    }

    /// The last check before a prompt is sent.
    pub(super) fn dispatch_prompt(
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
        match self.send_deadline(
            engine,
            &entry.pool,
            &entry.prompt.model,
            ModelRouteKind::Live,
            now,
        ) {
            Err(code) => refused(code),
            Ok(until) => RelayResponse::SendBefore(until.min(entry.prompt.deadline)),
        }
    }

    /// Until when work on a model route may be sent to an engine, given the current state.
    pub(super) fn send_deadline(
        &self,
        engine: &EngineName,
        pool: &PoolName,
        model: &topazyard_types::ModelName,
        kind: ModelRouteKind,
        now: MonotonicMs,
    ) -> Result<MonotonicMs, Code> {
        if let Some(code) = self.lost_dependency(now) {
            return Err(code);
        }
        let Some((_, configuration)) = &self.fleet.configuration else {
            return Err(Code::StaleFeed);
        };
        // The configuration may have changed while it waited.
        if configuration
            .model_route_for(kind, model)
            .is_none_or(|model_route| model_route.pool != *pool)
        {
            return Err(Code::NoLane);
        }
        let fits = |e: &topazyard_spec::Engine| {
            e.pool == *pool && e.models.contains(model) && self.engines.is_usable(e)
        };
        if !self.fleet.engines.get(engine).is_some_and(fits) {
            return Err(Code::NoEngine);
        }
        Ok(self.fresh_until().min(self.counter.lease_end()))
    }

    /// Selects another engine for a prompt that this one failed.
    pub(super) fn retry_prompt(
        &mut self,
        id: PromptId,
        failed: &EngineName,
        now: MonotonicMs,
    ) -> RelayResponse {
        self.engines.record_failure(failed, now);
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
        self.engines.hold_ended(&held, prompt.cost);
        self.engines.hold_started(&target.engine, prompt.cost, &prompt.prefix);
        if let Some(entry) = self.admission.entries.get_mut(&id) {
            entry.stage = Stage::Held(hold, target.engine.clone());
        }
        RelayResponse::SendTo(target)
    }

    /// Ends a prompt, whatever the outcome, and releases its hold exactly once.
    pub(super) fn end_prompt(
        &mut self,
        id: PromptId,
        engine_outcome: EngineOutcome,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        self.cancel_hold_request(id, effects);
        let Some(entry) = self.admission.entries.remove(&id) else { return };
        let pool = entry.pool;
        if let Some(queue) = self.admission.queues.get_mut(&pool) {
            queue.order.retain(|other| *other != id);
            if let EngineOutcome::Completed(took) = engine_outcome {
                queue.pace.served(took);
            }
            // Budget was released: the first prompt may request a hold at once.
            queue.last_request_at = None;
        }
        if let Stage::Held(hold, engine) = entry.stage {
            self.release_hold(hold, effects);
            self.engines.hold_ended(&engine, entry.prompt.cost);
            if engine_outcome == EngineOutcome::Failed {
                self.engines.record_failure(&engine, now);
            }
        }
        self.request_holds(&pool, now, effects);
    }

    pub(super) fn admission_tick(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        self.refuse_expired(now, effects);
        let pools: Vec<PoolName> = self.admission.queues.keys().cloned().collect();
        for pool in pools {
            if let Some(queue) = self.admission.queues.get_mut(&pool)
                && queue.order.is_empty()
            {
                queue.exhausted_since = None;
            }
            self.request_holds(&pool, now, effects);
        }
    }

    /// Refuses prompts whose deadline can no longer be met or that waited too long. Their final
    /// response is sent at once.
    fn refuse_expired(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        let lost_dependency = self.lost_dependency(now);
        let mut expired = Vec::new();
        for queue in self.admission.queues.values() {
            let best_ms = queue.pace.best_service_ms as u64;
            for id in &queue.order {
                let Some(entry) = self.admission.entries.get(id) else { continue };
                let code = if let Some(code) = lost_dependency {
                    Some(code)
                } else if entry.prompt.deadline.since(now).0 <= best_ms {
                    Some(Code::Deadline)
                } else if now.since(entry.queued_at) >= MAX_QUEUE_WAIT {
                    Some(if queue.exhausted_since.is_some() {
                        Code::Budget
                    } else {
                        Code::NoCounter
                    })
                } else {
                    None
                };
                expired.extend(code.map(|code| (*id, code)));
            }
        }
        for (id, code) in expired {
            let Some(entry) = self.admission.entries.get(&id) else { continue };
            let pool = entry.pool.clone();
            self.cancel_hold_request(id, effects);
            if let Some(queue) = self.admission.queues.get_mut(&pool) {
                queue.order.retain(|other| *other != id);
            }
            self.refuse_waiting(id, code, effects);
        }
    }
}
