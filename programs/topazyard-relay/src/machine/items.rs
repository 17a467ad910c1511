//! Batch items run by this relay. An item is leased from its shard, gets a budget hold, has its
//! start recorded on both replicas, and only then is sent.

use super::batches::Caller;
use super::engine_selection::EngineQuery;
use super::requests::PromptPart;
use super::{EngineOutcome, Outputs, RelayMachine, RelayResponse, RelayTask, Target};
use topazyard_spec::{ModelRouteKind, Route, RouteKind};
use topazyard_types::{
    BatchId, Digest, DurationMs, EngineName, HoldId, MonotonicMs, PoolName, ShardId, Tokens,
};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::batch::{BatchCall, Item, LeasedItem, Progress, Run, RunEnd};
use topazyard_wire::message::counter::{HoldKind, MAX_ENGINES};
use topazyard_wire::routes::RoutePaths;
use topazyard_wire::state::FleetSnapshot;

/// Timeout of an item's run. An unresponsive engine holds its budget no longer than this.
pub const RUN_TIMEOUT: DurationMs = DurationMs(30_000);
/// Items that one relay may lease or run at a time where the engines' slots are unknown or few.
const DEFAULT_MAX_ITEMS: usize = 24;
/// One relay may lease up to one in this many of the engines' slots.
const SLOTS_DIVISOR: usize = 4;
/// Lower bound of the maximum number of items requested in one lease.
const MIN_LEASE_ITEMS: usize = 4;
/// Interval between lease requests to a shard that has items.
const LEASE_INTERVAL: DurationMs = DurationMs(120);
/// Maximum interval between lease requests to a shard without items.
const MAX_IDLE_LEASE_INTERVAL: DurationMs = DurationMs(600);
/// How long no more items are leased after the counter refused an item's hold.
const LEASE_BACKOFF: DurationMs = DurationMs(200);
/// Minimum interval between two halvings of the window for waiting items.
const WINDOW_HALVING_INTERVAL: DurationMs = DurationMs(100);
/// Waiting items that request a hold when another item's hold was granted.
const HOLD_REQUESTS_PER_GRANT: usize = 2;
/// How long a leased item may wait here for a hold; below the shard's lease.
const MAX_HOLD_WAIT: DurationMs = DurationMs(1_200);
/// Interval at which the item that has waited longest requests its hold again after a refusal.
const HOLD_RETRY_INTERVAL: DurationMs = DurationMs(50);
/// How long after its start was requested an item may still be sent. Together with the request's
/// own travel time, it stays below the 3 s within which an ended batch starts nothing more.
const START_TIMEOUT: DurationMs = DurationMs(2_000);
/// Interval between reports to shards of the runs in progress.
const RUN_REPORT_INTERVAL: DurationMs = DurationMs(500);
/// How long the end of a run is reported again until it is acknowledged.
const FINISH_TIMEOUT: DurationMs = DurationMs(60_000);

#[derive(Debug)]
enum Stage {
    /// Leased; waiting for budget.
    Leased,
    /// Has requested a hold from the counter.
    Requesting(HoldId),
    /// Holds its cost and has requested, at this time, that its start be recorded.
    Starting(HoldId, MonotonicMs),
    /// Its start is recorded, or needs no record; it is being sent or runs. It may be sent until
    /// this time.
    Started(HoldId, MonotonicMs, EngineName),
}

#[derive(Debug)]
struct ItemEntry {
    item: Item,
    pool: PoolName,
    leased_at: MonotonicMs,
    stage: Stage,
    routed: Option<RoutedItem>,
}

/// The data of a leased item whose run is governed by a route.
#[derive(Debug)]
struct RoutedItem {
    /// The host that it is addressed to. Together with the item's path it decides the route.
    host: String,
    progress: Progress,
    /// Until when it may be sent under its lease.
    start_deadline: MonotonicMs,
}

/// Items leased or running here.
#[derive(Debug, Default)]
pub(crate) struct Items {
    entries: std::collections::BTreeMap<Run, ItemEntry>,
    /// Shards with a pending lease request, and for how many items.
    pending_leases: std::collections::BTreeMap<ShardId, usize>,
    /// How many items may wait for a hold here. It follows the counter's decisions: one more with
    /// each grant, half after a refusal, so that items wait at their shards and not here.
    window: Option<usize>,
    window_halved_at: MonotonicMs,
    /// When a hold may be requested again after a refusal.
    next_hold_request_at: Option<MonotonicMs>,
    next_lease_request: std::collections::BTreeMap<ShardId, (MonotonicMs, DurationMs)>,
    lease_backoff_until: MonotonicMs,
    last_run_report_at: MonotonicMs,
    /// When a draining relay aborts the remaining runs.
    abort_runs_at: Option<MonotonicMs>,
}

impl Items {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn lease_request_ended(&mut self, shard: ShardId) {
        self.pending_leases.remove(&shard);
    }

    /// Items that wait for a hold.
    fn waiting(&self) -> usize {
        let is_waiting =
            |entry: &&ItemEntry| matches!(entry.stage, Stage::Leased | Stage::Requesting(_));
        self.entries.values().filter(is_waiting).count()
    }

    fn hold_refused(&mut self, now: MonotonicMs) {
        self.lease_backoff_until = now.plus(LEASE_BACKOFF);
        self.next_hold_request_at = Some(now.plus(HOLD_RETRY_INTERVAL));
        if let Some(window) = &mut self.window
            && now.since(self.window_halved_at) >= WINDOW_HALVING_INTERVAL
        {
            *window = (*window / 2).max(1);
            self.window_halved_at = now;
        }
    }

    fn hold_granted(&mut self) {
        self.next_hold_request_at = None;
        if let Some(window) = &mut self.window {
            *window += 1;
        }
    }

    /// The item that has waited longest without a pending hold request.
    fn longest_waiting(&self) -> Option<Run> {
        let waiting = self.entries.iter().filter(|(_, e)| matches!(e.stage, Stage::Leased));
        waiting.min_by_key(|(_, entry)| entry.leased_at).map(|(run, _)| *run)
    }
}

impl RelayMachine {
    pub(super) fn items_tick(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        self.report_runs(now, effects);
        self.retry_waiting_items(now, effects);
        self.lease_more(now, effects);
        self.abort_late_runs(now, effects);
    }

    /// Leases no more items, and hands back those that have not started.
    pub(super) fn drain_items(
        &mut self,
        abort_runs_at: MonotonicMs,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        self.items.abort_runs_at = Some(abort_runs_at);
        self.hand_back_waiting(now, effects);
    }

    /// Aborts routed items that would outlast a draining relay: another relay resumes them after
    /// the last event received. Other items cannot be resumed and keep their time.
    fn abort_late_runs(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        let is_routed = |entry: &ItemEntry| entry.routed.is_some();
        if self.items.abort_runs_at.is_some_and(|at| now >= at)
            && self.items.entries.values().any(is_routed)
        {
            effects.push(Effect::StartTask(RelayTask::AbortRoutedRuns));
            self.items.abort_runs_at = None;
        }
    }

    fn report_runs(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        if now.since(self.items.last_run_report_at) < RUN_REPORT_INTERVAL {
            return;
        }
        self.items.last_run_report_at = now;
        let mut by_shard: std::collections::BTreeMap<ShardId, Vec<Run>> = Default::default();
        for (run, entry) in &self.items.entries {
            if matches!(entry.stage, Stage::Started(..)) {
                by_shard.entry(run.batch.shard).or_default().push(*run);
            }
        }
        for (shard, runs) in by_shard {
            self.notify_shard(shard, BatchCall::Running(runs), effects);
        }
    }

    fn lease_more(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        if now < self.items.lease_backoff_until || self.not_ready_reason(now).is_some() {
            return;
        }
        let models = self.models_with_engine();
        let mut routes = self.batch_routes_with_engine();
        let max_items = self.max_items();
        let max_lease = (max_items / SLOTS_DIVISOR).max(MIN_LEASE_ITEMS);
        let window = self.items.window.get_or_insert(max_lease);
        *window = (*window).min(max_lease);
        let (window, waiting) = (*window, self.items.waiting());
        let shards = self.fleet.shards.keys().copied().filter(|shard| !shard.is_counter());
        for shard in shards.collect::<Vec<ShardId>>() {
            let routes = routes.remove(&shard).unwrap_or_default();
            if models.is_empty() && routes.is_empty() {
                continue;
            }
            let requested: usize = self.items.pending_leases.values().sum();
            let capacity = max_items.saturating_sub(self.items.entries.len() + requested);
            let capacity = capacity.min(window.saturating_sub(waiting + requested));
            let next = self.items.next_lease_request.get(&shard);
            if capacity == 0
                || self.items.pending_leases.contains_key(&shard)
                || next.is_some_and(|(at, _)| now < *at)
            {
                continue;
            }
            self.items.pending_leases.insert(shard, max_lease.min(capacity));
            let lease_items = max_lease.min(capacity) as u32;
            let models = models.clone();
            let call = BatchCall::Lease { max_items: lease_items, models, routes };
            let timeout = DurationMs(1_000);
            self.send_batch(Caller::Leasing(now), shard, call, timeout, now, effects);
        }
    }

    pub(super) fn items_leased(
        &mut self,
        shard: ShardId,
        leased: Vec<LeasedItem>,
        requested_at: MonotonicMs,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        self.items.lease_request_ended(shard);
        // A shard without items is queried less and less often, so that a large idle fleet puts
        // little load on its storage nodes.
        let previous = self
            .items
            .next_lease_request
            .get(&shard)
            .map_or(LEASE_INTERVAL, |(_, interval)| *interval);
        let interval = match leased.is_empty() {
            true => DurationMs((previous.0 * 2).min(MAX_IDLE_LEASE_INTERVAL.0)),
            false => LEASE_INTERVAL,
        };
        self.items.next_lease_request.insert(shard, (now.plus(interval), interval));
        if self.draining.is_some() {
            for LeasedItem { run, .. } in leased {
                self.finish_run(run, RunEnd::NotRun, now, effects);
            }
            return;
        }
        for LeasedItem { run, item, host, progress } in leased {
            if let Some(host) = host {
                let start_deadline = requested_at.plus(self.max_start_delay());
                let routed = RoutedItem { host, progress, start_deadline };
                self.accept_routed(run, item, routed, now, effects);
                continue;
            }
            let model_route = self.fleet.configuration.as_ref().and_then(|(_, configuration)| {
                configuration.model_route_for(ModelRouteKind::Batch, &item.model)
            });
            let Some(pool) = model_route.map(|model_route| model_route.pool.clone()) else {
                self.finish_run(run, RunEnd::NotRun, now, effects);
                continue;
            };
            let entry =
                ItemEntry { item, pool, leased_at: now, stage: Stage::Leased, routed: None };
            self.items.entries.insert(run, entry);
            self.request_item_hold(run, now, effects);
        }
    }

    fn request_item_hold(&mut self, run: Run, now: MonotonicMs, effects: &mut Outputs) {
        let Some(entry) = self.items.entries.get(&run) else { return };
        let (pool, cost) = (entry.pool.clone(), entry.item.cost);
        let pool_configuration = self
            .fleet
            .configuration
            .as_ref()
            .and_then(|(_, configuration)| configuration.pool(&pool));
        // Routed items are charged like live requests on routes.
        let cost = match pool_configuration.filter(|_| entry.routed.is_some()) {
            Some(pool_configuration) => FleetSnapshot::charge(pool_configuration, cost),
            None => cost,
        };
        let engines = self.engines_for(run, now);
        let hold = self.request_hold_at(engines, pool, cost, HoldKind::Item, now, effects);
        self.set_stage(run, Stage::Requesting(hold));
    }

    /// Engines that a routed item may run at, best first.
    fn engines_for(&mut self, run: Run, now: MonotonicMs) -> Vec<EngineName> {
        let Some(entry) = self.items.entries.get(&run) else { return Vec::new() };
        if entry.routed.is_none() {
            return Vec::new();
        }
        let prefix = prompt_prefix(&entry.item);
        let query = EngineQuery { pool: &entry.pool, prefix: &prefix, excluded: &[] };
        let ranked = self.engines.ranked(&self.fleet, &query, self.node, now);
        ranked.into_iter().take(MAX_ENGINES).map(|engine| engine.name.clone()).collect()
    }

    /// Lets up to this many waiting items request holds, those that have waited longest first.
    fn request_waiting_holds(
        &mut self,
        max_requests: usize,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        for _ in 0..max_requests {
            let Some(run) = self.items.longest_waiting() else { return };
            self.request_item_hold(run, now, effects);
        }
    }

    /// The only place where an item's stage changes.
    fn set_stage(&mut self, run: Run, stage: Stage) {
        if let Some(entry) = self.items.entries.get_mut(&run) {
            entry.stage = stage;
        }
    }

    /// Hands back items that have not started: this relay accepts no new work, and others wait for
    /// its leases. An item whose start is being recorded is handed back once the result is known.
    fn hand_back_waiting(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        let is_waiting =
            |entry: &ItemEntry| matches!(entry.stage, Stage::Leased | Stage::Requesting(_));
        let waiting = self.items.entries.iter().filter(|(_, entry)| is_waiting(entry));
        let waiting: Vec<Run> = waiting.map(|(run, _)| *run).collect();
        for run in waiting {
            self.release_item(run, effects);
            self.finish_run(run, RunEnd::NotRun, now, effects);
        }
    }

    fn retry_waiting_items(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        let is_overdue = |entry: &ItemEntry| {
            let is_waiting = matches!(entry.stage, Stage::Leased | Stage::Requesting(_));
            is_waiting && now.since(entry.leased_at) >= MAX_HOLD_WAIT
        };
        let overdue = self.items.entries.iter().filter(|(_, entry)| is_overdue(entry));
        let overdue: Vec<Run> = overdue.map(|(run, _)| *run).collect();
        for run in overdue {
            self.release_item(run, effects);
            self.finish_run(run, RunEnd::NotRun, now, effects);
        }
        if self.items.next_hold_request_at.is_some_and(|at| now >= at) {
            self.items.next_hold_request_at = Some(now.plus(HOLD_RETRY_INTERVAL));
            self.request_waiting_holds(1, now, effects);
        }
    }

    /// Removes an item here and releases its hold.
    fn release_item(&mut self, run: Run, effects: &mut Outputs) {
        let Some(entry) = self.items.entries.remove(&run) else { return };
        match entry.stage {
            Stage::Leased => {}
            Stage::Requesting(hold) | Stage::Starting(hold, _) => self.release_hold(hold, effects),
            Stage::Started(hold, _, engine) => {
                self.release_hold(hold, effects);
                if entry.routed.is_none() {
                    self.engines.hold_ended(&engine, entry.item.cost);
                }
            }
        }
    }

    /// The item that requested a hold.
    fn run_for_hold(&self, hold: HoldId) -> Option<Run> {
        let is_requesting =
            |entry: &ItemEntry| matches!(entry.stage, Stage::Requesting(id) if id == hold);
        let found = self.items.entries.iter().find(|(_, entry)| is_requesting(entry));
        found.map(|(run, _)| *run)
    }

    pub(super) fn item_hold_refused(&mut self, hold: HoldId, now: MonotonicMs) {
        self.items.hold_refused(now);
        if let Some(run) = self.run_for_hold(hold) {
            self.set_stage(run, Stage::Leased);
        }
    }

    pub(super) fn item_hold_granted(
        &mut self,
        hold: HoldId,
        engine: Option<&EngineName>,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let Some(run) = self.run_for_hold(hold) else { return };
        self.items.hold_granted();
        if self.items.entries.get(&run).is_some_and(|entry| entry.routed.is_some()) {
            self.start_routed(run, hold, engine, now, effects);
        } else {
            self.set_stage(run, Stage::Starting(hold, now));
            let call = BatchCall::Start(run);
            self.send_batch(
                Caller::Starting(run),
                run.batch.shard,
                call,
                START_TIMEOUT,
                now,
                effects,
            );
        }
        self.request_waiting_holds(HOLD_REQUESTS_PER_GRANT, now, effects);
    }

    pub(super) fn start_decided(
        &mut self,
        run: Run,
        may_start: bool,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let Some(entry) = self.items.entries.get(&run) else { return };
        let Stage::Starting(hold, requested_at) = entry.stage else { return };
        let may_start =
            may_start && now.since(requested_at) < START_TIMEOUT && self.draining.is_none();
        let (pool, model) = (entry.pool.clone(), entry.item.model.clone());
        let (body, cost) = (entry.item.body.clone(), entry.item.cost);
        let target = self.choose_engine(&pool, &model, &[], None);
        match target.filter(|_| may_start) {
            Some(target) => {
                self.engines.hold_started(&target.engine, cost, &[]);
                let until = requested_at.plus(START_TIMEOUT);
                self.set_stage(run, Stage::Started(hold, until, target.engine.clone()));
                effects.push(Effect::StartTask(RelayTask::RunItem { run, target, body }));
            }
            None => {
                // If the start was recorded after all, this reports that nothing ran.
                self.release_item(run, effects);
                self.finish_run(run, RunEnd::NotRun, now, effects);
            }
        }
    }

    /// The last check before an item is sent.
    pub(super) fn dispatch_item(
        &self,
        run: Run,
        engine: &EngineName,
        now: MonotonicMs,
    ) -> RelayResponse {
        let refused = |code| RelayResponse::Refused(ApiError::not_run(code));
        let Some(entry) = self.items.entries.get(&run) else { return refused(Code::NotFound) };
        let Stage::Started(_, start_deadline, chosen) = &entry.stage else {
            return refused(Code::NotFound);
        };
        if chosen != engine {
            return refused(Code::NoEngine);
        }
        if self.draining.is_some() {
            return refused(Code::Draining);
        }
        if let Some(routed) = &entry.routed {
            let route = self.route_of(&entry.item, &routed.host);
            return match self.routed_send_deadline(engine, &entry.pool, route, now) {
                Err(code) => refused(code),
                Ok(until) => RelayResponse::SendBefore(until.min(*start_deadline)),
            };
        }
        match self.send_deadline(engine, &entry.pool, &entry.item.model, ModelRouteKind::Batch, now)
        {
            Err(code) => refused(code),
            Ok(until) => RelayResponse::SendBefore(until.min(*start_deadline)),
        }
    }

    pub(super) fn item_ended(
        &mut self,
        run: Run,
        end: RunEnd,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        if end == RunEnd::Unknown
            && let Some(ItemEntry { stage: Stage::Started(_, _, engine), .. }) =
                self.items.entries.get(&run)
        {
            let engine = engine.clone();
            self.engines.record_failure(&engine, now);
        }
        self.release_item(run, effects);
        self.finish_run(run, end, now, effects);
    }

    fn finish_run(&mut self, run: Run, end: RunEnd, now: MonotonicMs, effects: &mut Outputs) {
        let call = BatchCall::Finish(run, end);
        self.send_batch(Caller::Finishing, run.batch.shard, call, FINISH_TIMEOUT, now, effects);
    }
}

/// The parts of a routed item's prompt that it shares with others.
fn prompt_prefix(item: &Item) -> Vec<PromptPart> {
    let prefix = item.routing.as_ref().map_or(&[][..], |routing| &routing.prefix);
    let part =
        |(digest, tokens): &(Digest, Tokens)| PromptPart { digest: *digest, tokens: *tokens };
    prefix.iter().map(part).collect()
}

/// Routed items need no recorded start, because they may run again.
impl RelayMachine {
    /// How long after a lease was requested an item may be sent under it. The lease was granted
    /// after the request, and nothing of a batch that has since ended may start later than the
    /// bound.
    fn max_start_delay(&self) -> DurationMs {
        DurationMs(self.bounds.cancel.0 * 2 / 3)
    }

    /// The route of a routed item under the configuration in force. It follows from the item's host
    /// and path: a route's name may belong to another route in the next configuration.
    fn route_of(&self, item: &Item, host: &str) -> Option<&Route> {
        self.fleet.routes.find_batch(host, &item.routing.as_ref()?.path)
    }

    /// The paths of the batch routes that have an engine, by the shard of their host's batches.
    fn batch_routes_with_engine(&self) -> std::collections::BTreeMap<ShardId, Vec<RoutePaths>> {
        let is_batch = |route: &&Route| route.kind == RouteKind::Batch;
        let routes = self.fleet.routes.iter().filter(is_batch);
        let ready = routes.filter(|route| {
            let pool_of = |engine: &topazyard_spec::Engine| {
                route.pools.iter().any(|share| share.weight > 0 && share.pool == engine.pool)
            };
            let mut engines = self.fleet.engines.values();
            engines.any(|engine| pool_of(engine) && self.engines.is_usable(engine))
        });
        let mut by_shard: std::collections::BTreeMap<ShardId, Vec<RoutePaths>> = Default::default();
        for route in ready {
            let shard = BatchId::of_host(&route.host, "").shard;
            by_shard.entry(shard).or_default().push(self.fleet.routes.paths_of(route));
        }
        by_shard
    }

    /// Items that this relay may lease or run at a time.
    fn max_items(&self) -> usize {
        let usable = self.fleet.engines.values().filter(|engine| self.engines.is_usable(engine));
        let slots: usize = usable.map(|engine| engine.slots as usize).sum();
        DEFAULT_MAX_ITEMS.max(slots / SLOTS_DIVISOR)
    }

    /// Accepts a leased routed item if a route takes it.
    fn accept_routed(
        &mut self,
        run: Run,
        item: Item,
        mut routed: RoutedItem,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let route = self.route_of(&item, &routed.host);
        let Some(pool) = route.and_then(|route| super::routed_items::pool_of(route, run)) else {
            return self.finish_run(run, RunEnd::NotRun, now, effects);
        };
        // A result never joins the output of two pools: in another pool the item starts anew.
        if routed.progress.pool.as_ref() != Some(&pool) {
            routed.progress = Progress::default();
        }
        let stage = Stage::Leased;
        let entry = ItemEntry { item, pool, leased_at: now, stage, routed: Some(routed) };
        self.items.entries.insert(run, entry);
        self.request_item_hold(run, now, effects);
    }

    /// Starts a routed item that holds its cost, at the engine granted with the hold.
    fn start_routed(
        &mut self,
        run: Run,
        hold: HoldId,
        engine: Option<&EngineName>,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let Some(entry) = self.items.entries.get(&run) else { return };
        let Some(routed) = &entry.routed else { return };
        let prefix = prompt_prefix(&entry.item);
        let listed = engine.and_then(|name| self.fleet.engines.get(name));
        let target = listed.map(|e| Target { engine: e.name.clone(), address: e.address });
        let route = self.route_of(&entry.item, &routed.host);
        let run_parts = (target, entry.item.routing.clone(), route);
        let (Some(target), Some(routing), Some(route)) = run_parts else {
            self.set_stage(run, Stage::Requesting(hold));
            self.release_item(run, effects);
            return self.finish_run(run, RunEnd::NotRun, now, effects);
        };
        let started = Stage::Started(hold, routed.start_deadline, target.engine.clone());
        let routed_run = super::routed_items::RoutedRun {
            run,
            routing,
            host: routed.host.clone(),
            body: entry.item.body.clone(),
            progress: routed.progress.clone(),
            silence_timeout: super::routed_items::silence_timeout(route),
            target,
        };
        self.engines.request_started(&routed_run.target.engine, &prefix, now);
        self.set_stage(run, started);
        effects.push(Effect::StartTask(RelayTask::RunRoutedItem(Box::new(routed_run))));
    }

    /// Until when a routed item may be sent to an engine by its route in force.
    fn routed_send_deadline(
        &self,
        engine: &EngineName,
        pool: &PoolName,
        route: Option<&Route>,
        now: MonotonicMs,
    ) -> Result<MonotonicMs, Code> {
        if now >= self.routes_fresh_until() || self.fleet.configuration.is_none() {
            return Err(Code::StaleFeed);
        }
        // Its hold was granted within the time in which a run may start, so no counter lease is
        // needed. The routes may have changed while it waited.
        let route = route.ok_or(Code::NoLane)?;
        if !route.pools.iter().any(|share| share.pool == *pool && share.weight > 0) {
            return Err(Code::NoLane);
        }
        let engine = self.fleet.engines.get(engine);
        if !engine.is_some_and(|e| e.pool == *pool && self.engines.is_usable(e)) {
            return Err(Code::NoEngine);
        }
        Ok(self.routes_fresh_until())
    }

    /// Ends the run of a routed item.
    pub(super) fn routed_ended(
        &mut self,
        run: Run,
        mut end: RunEnd,
        engine_outcome: EngineOutcome,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        if let Some(ItemEntry { stage: Stage::Started(_, _, engine), pool, .. }) =
            self.items.entries.get(&run)
        {
            if let RunEnd::Interrupted(progress) = &mut end {
                progress.pool = Some(pool.clone());
            }
            let engine = engine.clone();
            self.engines.request_ended(&engine, engine_outcome, now);
        }
        self.release_item(run, effects);
        self.finish_run(run, end, now, effects);
    }
}
