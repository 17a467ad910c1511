//! Requests on routes: found by host and path, checked cheapest first, let in against room that
//! this relay keeps of the fleet's budget, and given an engine.
//!
//! The check and the add are one step of this one owner. The room comes in blocks from the counter,
//! which checks and adds them the same way, so that all relays together stay within the limit
//! while a request needs no round trip.

use super::choice::Wanted;
use super::{EngineOutcome, Out, PromptId, RelayMachine, RelayResponse, Target};
use topazyard_spec::RouteKind;
use topazyard_types::{
    CallId, Digest, DurationMs, EngineName, HoldId, MonotonicMs, PoolName, Tokens,
};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::invariants::{self, Invariant};
use topazyard_wire::message::counter::HoldKind;

/// What a request without stated counts is taken to cost: the source's default answer length and
/// as much again for its prompt.
pub const UNSTATED_COST: Tokens = Tokens(512);
/// For how long what was checked holds, so that the last look before a dispatch needs no asking.
const HOLDS_FOR: DurationMs = DurationMs(200);
/// How often a block is asked for again while requests wait.
const ASK_EVERY: DurationMs = DurationMs(40);
/// After how long without an answer a relay goes on with what it may hold unasked.
const UNASKED_AFTER: DurationMs = DurationMs(20);
/// What a relay may hold unasked while the counter doesn't answer is this part of the budget.
const UNASKED_OF_LIMIT: u64 = 512;
/// After how long without an answer the counter counts as out of reach.
const COUNTER_SILENT: DurationMs = DurationMs(500);
/// Blocks that were not needed in the last two spans of this length are let go.
const PEAK_SPAN: DurationMs = DurationMs(750);
/// A block is this part of the pool's budget, or one request's cost where that is more.
const BLOCKS_OF_LIMIT: u64 = 4_096;
/// How soon after its deadline the machine has been told that a request ended.
const END_TOLD_WITHIN: DurationMs = DurationMs(250);
/// The shortest that a request waits for room, whatever its target.
const SHORTEST_WAIT: DurationMs = DurationMs(30);

/// A part of a prompt that requests share, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// What it is.
    pub digest: Digest,
    /// Its tokens.
    pub tokens: Tokens,
}

/// A request on a route, as its front read it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its name in this process.
    pub id: PromptId,
    /// The host that it names.
    pub host: String,
    /// Its path, without the query.
    pub path: String,
    /// Prompt tokens and most tokens out, if stated.
    pub cost: Option<Tokens>,
    /// When it arrived.
    pub arrived_at: MonotonicMs,
    /// How long its client waits.
    pub wait: DurationMs,
    /// The parts of its prompt.
    pub prefix: Vec<PromptPart>,
}

/// On what terms a request was let in, and to which engine it goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admitted {
    /// Whether it may run again if it is not known to have run.
    pub repeatable: bool,
    /// Whether its response is a series of events, passed on as they come.
    pub stream: bool,
    /// Whether a stream may be gone on with from another engine.
    pub resumable: bool,
    /// The most engines that it may be sent to.
    pub max_attempts: u32,
    /// When it is over.
    pub deadline: MonotonicMs,
    /// Where it goes.
    pub chosen: Chosen,
}

/// An engine for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chosen {
    /// The engine.
    pub target: Target,
    /// Until when it may be sent there by what was checked.
    pub send_before: MonotonicMs,
    /// After how long without a word the engine is doubted.
    pub suspect_after: DurationMs,
}

#[derive(Debug)]
enum Stage {
    /// It waits for room.
    Waiting(CallId),
    /// It has room and an engine.
    Held(EngineName),
}

#[derive(Debug)]
struct Entry {
    pool: PoolName,
    charge: Tokens,
    priority: u32,
    arrived_at: MonotonicMs,
    deadline: MonotonicMs,
    give_up_at: MonotonicMs,
    prefix: Vec<PromptPart>,
    terms: Admitted,
    tried: Vec<EngineName>,
    stage: Stage,
}

/// The room that this relay keeps of a pool's budget.
#[derive(Debug, Default)]
struct Room {
    /// What its requests hold.
    used: Tokens,
    /// Blocks that the counter granted, and when each was asked for.
    blocks: std::collections::BTreeMap<HoldId, (Tokens, MonotonicMs)>,
    /// A block that was asked for, and when.
    asked: Option<(HoldId, Tokens, MonotonicMs)>,
    refused: bool,
    last_ask: Option<MonotonicMs>,
    /// The most that its requests held at once, in the present span and in the one before.
    peaks: [Tokens; 2],
    span_began: MonotonicMs,
    /// What they held since the last renewal, in tokens times ms up to the moment beside it, and
    /// when that renewal was.
    token_ms: u64,
    counted_to: MonotonicMs,
    renewed: MonotonicMs,
    /// Requests that wait, in order.
    queue: std::collections::VecDeque<PromptId>,
}

impl Room {
    fn hold(&mut self, charge: Tokens, now: MonotonicMs) {
        self.count_to(now);
        self.used = self.used.plus(charge);
        self.peaks[0] = self.peaks[0].max(self.used);
    }

    fn let_go(&mut self, charge: Tokens, now: MonotonicMs) {
        self.count_to(now);
        self.used = Tokens(self.used.0.saturating_sub(charge.0));
    }

    fn count_to(&mut self, now: MonotonicMs) {
        self.token_ms += self.used.0 * now.since(self.counted_to).0;
        self.counted_to = now;
    }

    /// What its requests held in the mean since this was last asked.
    fn take_mean_used(&mut self, now: MonotonicMs) -> Tokens {
        self.count_to(now);
        let span = now.since(std::mem::replace(&mut self.renewed, now));
        let mean = self.token_ms.checked_div(span.0);
        self.token_ms = 0;
        mean.map_or(self.used, Tokens)
    }

    /// What the blocks hold that may be used: those asked for, or renewed, after that moment.
    fn granted(&self, renewed: MonotonicMs, oldest: MonotonicMs) -> Tokens {
        let stands = |asked: &MonotonicMs| renewed.max(*asked) > oldest;
        self.blocks.values().filter(|(_, asked)| stands(asked)).map(|(block, _)| *block).sum()
    }
}

/// Requests on routes that wait or hold.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    entries: std::collections::BTreeMap<PromptId, Entry>,
    rooms: std::collections::BTreeMap<PoolName, Room>,
    /// Whether the end of a drain's time to serve has been looked at.
    drain_checked: bool,
}

impl Requests {
    pub(crate) fn waiting(&self) -> usize {
        self.rooms.values().map(|room| room.queue.len()).sum()
    }

    /// Requests that wait because the counter had no room, not just for its answer.
    pub(crate) fn wanting(&self) -> usize {
        let full = self.rooms.values().filter(|room| room.refused);
        full.map(|room| room.queue.len()).sum()
    }

    pub(crate) fn holding(&self) -> usize {
        self.entries.len() - self.waiting()
    }

    /// By pool: what requests held in the mean since this was last asked.
    pub(super) fn take_mean_used(&mut self, now: MonotonicMs) -> Vec<(PoolName, Tokens)> {
        let rooms = self.rooms.iter_mut();
        rooms.map(|(pool, room)| (pool.clone(), room.take_mean_used(now))).collect()
    }

    pub(crate) fn asks(&self, id: HoldId) -> bool {
        self.rooms.values().any(|room| room.asked.is_some_and(|(asked, ..)| asked == id))
    }

    /// Whether the counter leaves an asking unanswered.
    pub(crate) fn unanswered(&self, now: MonotonicMs) -> bool {
        let late = |at: MonotonicMs| now.since(at) >= COUNTER_SILENT;
        self.rooms.values().any(|room| room.asked.is_some_and(|(_, _, at)| late(at)))
    }
}

/// What was found for a request before any room is taken.
struct Judged {
    pool: PoolName,
    charge: Tokens,
    priority: u32,
    give_up_at: MonotonicMs,
    terms: Admitted,
}

impl RelayMachine {
    /// Until when requests on routes may be handled by what is known of the spec.
    pub(super) fn routes_until(&self) -> MonotonicMs {
        let confirmed = self.follower.confirmed_at();
        confirmed.map_or(MonotonicMs(0), |at| at.plus(self.routes_fresh_for))
    }

    /// What is known of the fleet, while that may be used for requests on routes.
    pub fn in_force(&self, now: MonotonicMs) -> Option<&topazyard_wire::state::FleetSnapshot> {
        let is_usable = now < self.routes_until() && self.view.configuration.is_some();
        is_usable.then_some(&self.view)
    }

    /// Lets a request in, makes it wait briefly, or refuses it at once.
    pub(super) fn arrive(
        &mut self,
        call: CallId,
        arrival: Arrival,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let judged = match self.judge_arrival(&arrival, now) {
            Ok(judged) => judged,
            Err(refused) => {
                if let RelayResponse::Refused(error) = &refused {
                    self.count_refusal(error.code);
                }
                return out.push(Effect::Respond { call, value: refused });
            }
        };
        let (pool, id) = (judged.pool.clone(), arrival.id);
        let entry = Entry {
            pool: judged.pool,
            charge: judged.charge,
            priority: judged.priority,
            arrived_at: arrival.arrived_at,
            deadline: judged.terms.deadline,
            give_up_at: judged.give_up_at,
            prefix: arrival.prefix,
            terms: judged.terms,
            tried: Vec::new(),
            stage: Stage::Waiting(call),
        };
        let ahead = self.requests.rooms.get(&pool).map_or(0, |room| {
            room.queue.partition_point(|other| {
                self.requests.entries.get(other).is_some_and(|o| o.priority <= entry.priority)
            })
        });
        self.requests.entries.insert(id, entry);
        self.requests.rooms.entry(pool.clone()).or_default().queue.insert(ahead, id);
        self.serve_room(&pool, now, out);
    }

    /// The checks that need no other process, cheapest first.
    fn judge_arrival(&self, arrival: &Arrival, now: MonotonicMs) -> Result<Judged, RelayResponse> {
        let refused = |code| RelayResponse::Refused(ApiError::not_run(code));
        let view = self.in_force(now).ok_or_else(|| refused(Code::StaleFeed))?;
        let Some((_, bundle)) = &view.configuration else { return Err(refused(Code::StaleFeed)) };
        let Some(route) = view.routes.find(&arrival.host, &arrival.path) else {
            return Err(refused(Code::NoRoute));
        };
        if route.kind == RouteKind::Batch {
            return Err(RelayResponse::OnBatchRoute(route.name.clone()));
        }
        let pool = share_of(route, arrival.id).and_then(|name| bundle.pool(name));
        let Some(pool) = pool else { return Err(refused(Code::NoEngine)) };
        let wait = DurationMs(arrival.wait.0.min(route.timeout_ms));
        let deadline = arrival.arrived_at.plus(wait);
        if self.draining.is_some_and(|draining| !draining.may_admit(deadline, now)) {
            return Err(refused(Code::Draining));
        }
        if deadline.since(now).0 <= self.engines.best_first_ms(&pool.name) {
            return Err(refused(Code::Deadline));
        }
        if !self.engines.has_usable(&self.view, &pool.name) {
            return Err(refused(Code::NoEngine));
        }
        let room = self.requests.rooms.get(&pool.name);
        if room.is_some_and(|room| room.queue.len() >= pool.queue_depth as usize) {
            return Err(refused(Code::QueueFull));
        }
        let timeout = DurationMs((route.target_latency_ms / 4).max(SHORTEST_WAIT.0));
        Ok(Judged {
            pool: pool.name.clone(),
            charge: arrival.cost.unwrap_or(UNSTATED_COST),
            priority: route.priority,
            give_up_at: arrival.arrived_at.plus(timeout).min(deadline),
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

    /// Gives room to those that wait, in order, and asks for more where it doesn't do.
    fn serve_room(&mut self, pool: &PoolName, now: MonotonicMs, out: &mut Out) {
        let (renewed, oldest) = self.blocks_since(now);
        let unasked = self.unasked(pool, now);
        loop {
            let Some(room) = self.requests.rooms.get_mut(pool) else { return };
            let Some(id) = room.queue.front().copied() else { return };
            let Some(entry) = self.requests.entries.get_mut(&id) else {
                room.queue.pop_front();
                continue;
            };
            if room.used.plus(entry.charge) > room.granted(renewed, oldest).plus(unasked) {
                let charge = entry.charge;
                return self.ask_for_block(pool, charge, now, out);
            }
            room.queue.pop_front();
            room.hold(entry.charge, now);
            let chosen = self.choose(id, now);
            let Some(entry) = self.requests.entries.get_mut(&id) else { return };
            let Stage::Waiting(call) = entry.stage else { continue };
            match chosen {
                Some(chosen) => {
                    entry.stage = Stage::Held(chosen.target.engine.clone());
                    entry.terms.chosen = chosen;
                    let value = RelayResponse::Admitted(Box::new(entry.terms.clone()));
                    self.admitted += 1;
                    out.push(Effect::Respond { call, value });
                }
                None => {
                    self.forget_request(id, now);
                    self.refuse_request(call, Code::NoEngine, out);
                }
            }
        }
    }

    /// When blocks were last renewed, and since when one must have been asked for or renewed to be
    /// used: its counter takes it back only later.
    fn blocks_since(&self, now: MonotonicMs) -> (MonotonicMs, MonotonicMs) {
        let stands = self.block_expiry.0 - self.block_expiry.0 / 8;
        let renewed = self.counting.leased_from().unwrap_or(MonotonicMs(0));
        (renewed, MonotonicMs(now.0.saturating_sub(stands)))
    }

    /// What may be held of a pool without a grant: nothing, unless the counter leaves an asking
    /// unanswered. It changes hands then, and its successor learns what is held with the next
    /// renewal of what was granted.
    fn unasked(&self, pool: &PoolName, now: MonotonicMs) -> Tokens {
        let asked = self.requests.rooms.get(pool).and_then(|room| room.asked);
        let is_late = asked.is_some_and(|(_, _, at)| now.since(at) >= UNASKED_AFTER);
        let declared = self.view.configuration.as_ref().and_then(|(_, bundle)| bundle.pool(pool));
        match declared.filter(|_| is_late) {
            Some(declared) => Tokens(self.view.limit(declared).0 / UNASKED_OF_LIMIT),
            None => Tokens(0),
        }
    }

    fn ask_for_block(&mut self, pool: &PoolName, least: Tokens, now: MonotonicMs, out: &mut Out) {
        let Some((_, bundle)) = &self.view.configuration else { return };
        let Some(declared) = bundle.pool(pool) else { return };
        let limit = self.view.limit(declared);
        let Some(room) = self.requests.rooms.get_mut(pool) else { return };
        let due = room.last_ask.is_none_or(|at| now.since(at) >= ASK_EVERY);
        if room.asked.is_some() || (room.refused && !due) {
            return;
        }
        // One that was refused asks for no more than it needs.
        let block =
            if room.refused { least } else { Tokens(least.0.max(limit.0 / BLOCKS_OF_LIMIT)) };
        room.last_ask = Some(now);
        let id = self.ask_hold(pool.clone(), block, HoldKind::Block, now, out);
        if let Some(room) = self.requests.rooms.get_mut(pool) {
            room.asked = Some((id, block, now));
        }
    }

    /// The counter answered for a block.
    pub(super) fn block_settled(
        &mut self,
        id: HoldId,
        granted: bool,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let found = self.requests.rooms.iter_mut().find_map(|(pool, room)| {
            let (_, block, asked_at) = room.asked.take_if(|(asked, ..)| *asked == id)?;
            room.refused = !granted;
            if granted {
                room.blocks.insert(id, (block, asked_at));
            }
            Some(pool.clone())
        });
        if let Some(pool) = found {
            self.serve_room(&pool, now, out);
        }
    }

    fn choose(&mut self, id: PromptId, now: MonotonicMs) -> Option<Chosen> {
        let entry = self.requests.entries.get(&id)?;
        let wanted = Wanted { pool: &entry.pool, prefix: &entry.prefix, not: &entry.tried };
        let (target, suspect_after) = self.engines.choose(&self.view, &wanted, self.node, now)?;
        self.engines.open(&target.engine, &entry.prefix, now);
        let send_before = self.routes_until().min(now.plus(HOLDS_FOR)).min(entry.deadline);
        Some(Chosen { target, send_before, suspect_after })
    }

    /// Names another engine for a request that one failed or turned away, or whose time to
    /// dispatch went by.
    pub(super) fn retry(
        &mut self,
        id: PromptId,
        engine_outcome: EngineOutcome,
        now: MonotonicMs,
    ) -> RelayResponse {
        let refused = |code| RelayResponse::Refused(ApiError::not_run(code));
        if now >= self.routes_until() {
            return refused(Code::StaleFeed);
        }
        let Some(entry) = self.requests.entries.get_mut(&id) else {
            return refused(Code::Deadline);
        };
        let Stage::Held(engine) = &entry.stage else { return refused(Code::Deadline) };
        let engine = engine.clone();
        if engine_outcome != EngineOutcome::NotSent {
            entry.tried.push(engine.clone());
        }
        self.engines.close(&engine, engine_outcome, now);
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
                // It has no engine any more; what it holds goes with its end.
                entry.stage = Stage::Held(EngineName::default());
                refused(Code::NoEngine)
            }
        }
    }

    /// A request ended, whichever way: its room is free again, once.
    pub(super) fn end_request(
        &mut self,
        id: PromptId,
        engine_outcome: EngineOutcome,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let Some(entry) = self.requests.entries.remove(&id) else { return };
        if let Some(room) = self.requests.rooms.get_mut(&entry.pool) {
            match &entry.stage {
                Stage::Waiting(_) => room.queue.retain(|other| *other != id),
                Stage::Held(_) => room.let_go(entry.charge, now),
            }
        }
        if let Stage::Held(engine) = &entry.stage {
            self.engines.close(engine, engine_outcome, now);
        }
        if let EngineOutcome::Completed(first) = engine_outcome {
            self.engines.first_word(&entry.pool, first);
        }
        self.serve_room(&entry.pool, now, out);
    }

    fn forget_request(&mut self, id: PromptId, now: MonotonicMs) {
        let Some(entry) = self.requests.entries.remove(&id) else { return };
        if let Some(room) = self.requests.rooms.get_mut(&entry.pool) {
            room.let_go(entry.charge, now);
        }
    }

    fn refuse_request(&mut self, call: CallId, code: Code, out: &mut Out) {
        self.count_refusal(code);
        let value = RelayResponse::Refused(ApiError::not_run(code));
        out.push(Effect::Respond { call, value });
    }

    pub(super) fn requests_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        self.check_taken_with_time_left(now);
        self.give_up_waiting(now, out);
        let pools: Vec<PoolName> = self.requests.rooms.keys().cloned().collect();
        for pool in pools {
            self.let_block_go(&pool, now, out);
            self.serve_room(&pool, now, out);
        }
    }

    /// Checks, once a drain's time to serve is over, that nothing is left of what was taken late.
    fn check_taken_with_time_left(&mut self, now: MonotonicMs) {
        let Some(draining) = self.draining else { return };
        if self.requests.drain_checked || now < draining.serving_deadline().plus(END_TOLD_WITHIN) {
            return;
        }
        self.requests.drain_checked = true;
        let late_from = draining.deregistered_at();
        let left = self.requests.entries.values().filter(|entry| entry.arrived_at >= late_from);
        let left = left.count();
        invariants::check(left == 0, Invariant::AdmittedWithTimeLeft, || format!("left={left}"));
    }

    /// Those that waited as long as it makes sense get their final answer at once.
    fn give_up_waiting(&mut self, now: MonotonicMs, out: &mut Out) {
        let stale = now >= self.routes_until();
        let no_counter = self.requests.unanswered(now);
        let mut late = Vec::new();
        for room in self.requests.rooms.values_mut() {
            let refused = room.refused;
            let entries = &self.requests.entries;
            room.queue.retain(|id| {
                let Some(entry) = entries.get(id) else { return false };
                if !stale && now < entry.give_up_at {
                    return true;
                }
                let code = match (stale, now >= entry.deadline) {
                    (true, _) => Code::StaleFeed,
                    (_, true) => Code::Deadline,
                    _ if no_counter || !refused => Code::NoCounter,
                    _ => Code::Budget,
                };
                late.push((*id, code));
                false
            });
        }
        for (id, code) in late {
            let Some(entry) = self.requests.entries.remove(&id) else { continue };
            if let Stage::Waiting(call) = entry.stage {
                self.refuse_request(call, code, out);
            }
        }
    }

    /// Lets blocks go that were not needed lately, and all of a pool that is gone.
    fn let_block_go(&mut self, pool: &PoolName, now: MonotonicMs, out: &mut Out) {
        let is_known =
            self.view.configuration.as_ref().is_some_and(|(_, b)| b.pool(pool).is_some());
        let Some(room) = self.requests.rooms.get_mut(pool) else { return };
        if now.since(room.span_began) < PEAK_SPAN {
            return;
        }
        room.span_began = now;
        let needed = room.peaks[0].max(room.peaks[1]);
        room.peaks = [room.used, room.peaks[0]];
        if room.blocks.is_empty() && !is_known && room.queue.is_empty() {
            self.requests.rooms.remove(pool);
            return;
        }
        let mut granted: Tokens = room.blocks.values().map(|(block, _)| *block).sum();
        let mut spare = Vec::new();
        for (id, (block, _)) in &room.blocks {
            // One block more than needed stays, so that a usual swing asks for nothing.
            if granted.0 >= needed.0 + 2 * block.0 || (needed.0 == 0 && !is_known) {
                granted = Tokens(granted.0 - block.0);
                spare.push(*id);
            }
        }
        for id in &spare {
            room.blocks.remove(id);
        }
        spare.into_iter().for_each(|id| self.release_hold(id, out));
    }
}

/// The pool that a request goes to, by the weights of its route.
fn share_of(route: &topazyard_spec::Route, id: PromptId) -> Option<&PoolName> {
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
