//! Batch items run here: leased, held, recorded as started on both, and only then sent.

use super::batches::Caller;
use super::choice::Wanted;
use super::requests::PromptPart;
use super::{EngineOutcome, Out, RelayMachine, RelayResponse, RelayTask, Target};
use topazyard_spec::{ModelRouteKind, RouteKind};
use topazyard_types::{
    BatchId, Digest, DurationMs, EngineName, HoldId, ModelName, MonotonicMs, PoolName, RouteName,
    ShardId, Tokens,
};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::batch::{BatchCall, Item, LeasedItem, Progress, Run, RunEnd};
use topazyard_wire::message::counter::{HoldKind, MAX_ENGINES};
use topazyard_wire::state::FleetSnapshot;

/// How long an item may run. A dark engine holds its budget no longer than this.
pub const RUN_TIMEOUT: DurationMs = DurationMs(30_000);
/// Items that one relay leases or runs at a time where nobody says what engines can take.
const MOST_ITEMS: usize = 24;
/// Of what engines can take at once, the part that one relay may lease: one in so many.
const SLOTS_SHARE: usize = 4;
/// Items asked for in one lease, at the least.
const MOST_LEASED: usize = 4;
/// How often a shard that has items is asked for more.
const LEASE_EVERY: DurationMs = DurationMs(120);
/// How often one that had none is asked, at the least.
const LEASE_IDLE: DurationMs = DurationMs(600);
/// How long nothing more is leased after the counter had no room for an item.
const NO_ROOM_PAUSE: DurationMs = DurationMs(200);
/// How often the share of waiting items is halved at most, while the counter has no room.
const HALVE_EVERY: DurationMs = DurationMs(100);
/// Items that ask at once when another was given room.
const ASK_AFTER_GRANT: usize = 2;
/// How long a leased item may wait here for room; below the shard's lease.
const WAIT_FOR_ROOM: DurationMs = DurationMs(1_200);
/// How often the counter is asked again after it had no room, for the item that waits longest.
const ASK_EVERY: DurationMs = DurationMs(50);
/// How long after a start was asked for the item may still be sent. With the asking's own way it
/// stays below the 3 s within which an ended batch starts nothing more.
const START_WITHIN: DurationMs = DurationMs(2_000);
/// How often shards hear which runs go on.
const SPEAK_EVERY: DurationMs = DurationMs(500);
/// How long the end of a run is told again until it is noted.
const FINISH_LIMIT: DurationMs = DurationMs(60_000);

#[derive(Debug)]
enum Stage {
    /// Leased; it waits for room.
    Leased,
    /// It asked the counter.
    Asking(HoldId),
    /// It holds its cost and asked whether it may start.
    Starting(HoldId, MonotonicMs),
    /// Its start is recorded, or it needs no record; it is being sent, or runs. It may be sent
    /// before that moment.
    Started(HoldId, MonotonicMs, EngineName),
}

#[derive(Debug)]
struct Entry {
    item: Item,
    pool: PoolName,
    since: MonotonicMs,
    stage: Stage,
    routed: Option<Routed>,
}

/// What a leased item has that a route directs.
#[derive(Debug)]
struct Routed {
    route: RouteName,
    host: String,
    progress: Progress,
    /// Until when it may be sent under its lease.
    start_until: MonotonicMs,
}

/// Items leased or running here.
#[derive(Debug, Default)]
pub(crate) struct Items {
    entries: std::collections::BTreeMap<Run, Entry>,
    /// Shards that were asked for items, and for how many.
    leasing: std::collections::BTreeMap<ShardId, usize>,
    /// How many items may wait for room here. It follows what the counter grants: one more with each
    /// grant, half when it has no room, so that items wait at their shards and not here.
    window: Option<usize>,
    halved_at: MonotonicMs,
    /// When the counter may be asked again, after it had no room.
    ask_again_at: Option<MonotonicMs>,
    next_lease: std::collections::BTreeMap<ShardId, (MonotonicMs, DurationMs)>,
    no_room_until: MonotonicMs,
    last_spoken: MonotonicMs,
    /// When a draining relay breaks off the runs that are left.
    break_off_at: Option<MonotonicMs>,
}

impl Items {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn lease_over(&mut self, shard: ShardId) {
        self.leasing.remove(&shard);
    }

    /// Items that wait for room.
    fn waiting(&self) -> usize {
        let waits = |entry: &&Entry| matches!(entry.stage, Stage::Leased | Stage::Asking(_));
        self.entries.values().filter(waits).count()
    }

    fn refused(&mut self, now: MonotonicMs) {
        self.no_room_until = now.plus(NO_ROOM_PAUSE);
        self.ask_again_at = Some(now.plus(ASK_EVERY));
        if let Some(window) = &mut self.window
            && now.since(self.halved_at) >= HALVE_EVERY
        {
            *window = (*window / 2).max(1);
            self.halved_at = now;
        }
    }

    fn granted(&mut self) {
        self.ask_again_at = None;
        if let Some(window) = &mut self.window {
            *window += 1;
        }
    }

    /// The item that has waited longest without asking.
    fn longest_waiting(&self) -> Option<Run> {
        let waits = self.entries.iter().filter(|(_, e)| matches!(e.stage, Stage::Leased));
        waits.min_by_key(|(_, entry)| entry.since).map(|(run, _)| *run)
    }
}

impl RelayMachine {
    pub(super) fn items_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        self.speak_of_runs(now, out);
        self.ask_for_waiting(now, out);
        self.lease_more(now, out);
        self.break_off_late_runs(now, out);
    }

    /// Takes no more items, and hands back what has not started.
    pub(super) fn drain_items(
        &mut self,
        break_off_at: MonotonicMs,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        self.items.break_off_at = Some(break_off_at);
        self.hand_back_waiting(now, out);
    }

    /// Breaks off routed items that would outlast a draining relay: another goes on with them from
    /// the last event that came. An item of a batch can't be taken up so, and keeps its time.
    fn break_off_late_runs(&mut self, now: MonotonicMs, out: &mut Out) {
        let is_routed = |entry: &Entry| entry.routed.is_some();
        if self.items.break_off_at.is_some_and(|at| now >= at)
            && self.items.entries.values().any(is_routed)
        {
            out.push(Effect::StartTask(RelayTask::AbortRoutedRuns));
            self.items.break_off_at = None;
        }
    }

    fn speak_of_runs(&mut self, now: MonotonicMs, out: &mut Out) {
        if now.since(self.items.last_spoken) < SPEAK_EVERY {
            return;
        }
        self.items.last_spoken = now;
        let mut by_shard: std::collections::BTreeMap<ShardId, Vec<Run>> = Default::default();
        for (run, entry) in &self.items.entries {
            if matches!(entry.stage, Stage::Started(..)) {
                by_shard.entry(run.batch.shard).or_default().push(*run);
            }
        }
        for (shard, runs) in by_shard {
            self.tell_batch(shard, BatchCall::Running(runs), out);
        }
    }

    fn lease_more(&mut self, now: MonotonicMs, out: &mut Out) {
        if now < self.items.no_room_until || self.unready(now).is_some() {
            return;
        }
        let models = self.models_with_engine();
        let routes = self.batch_routes_with_engine();
        let most_items = self.most_items();
        let most = (most_items / SLOTS_SHARE).max(MOST_LEASED);
        let window = self.items.window.get_or_insert(most);
        *window = (*window).min(most);
        let (window, waiting) = (*window, self.items.waiting());
        for shard in self.shards_with_work(&models, &routes) {
            let under_way: usize = self.items.leasing.values().sum();
            let room = most_items.saturating_sub(self.items.entries.len() + under_way);
            let room = room.min(window.saturating_sub(waiting + under_way));
            let next = self.items.next_lease.get(&shard);
            if room == 0
                || self.items.leasing.contains_key(&shard)
                || next.is_some_and(|(at, _)| now < *at)
            {
                continue;
            }
            self.items.leasing.insert(shard, most.min(room));
            let most = most.min(room) as u32;
            let models = models.clone();
            let call = BatchCall::Lease { max_items: most, models, routes: routes.clone() };
            let limit = DurationMs(1_000);
            self.send_batch(Caller::Leasing(now), shard, call, limit, now, out);
        }
    }

    pub(super) fn items_leased(
        &mut self,
        shard: ShardId,
        leased: Vec<LeasedItem>,
        asked: MonotonicMs,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        self.items.lease_over(shard);
        // A shard without items is asked less and less often, so that a large idle fleet does
        // not weigh on its storage nodes.
        let before = self.items.next_lease.get(&shard).map_or(LEASE_EVERY, |(_, gap)| *gap);
        let gap = match leased.is_empty() {
            true => DurationMs((before.0 * 2).min(LEASE_IDLE.0)),
            false => LEASE_EVERY,
        };
        self.items.next_lease.insert(shard, (now.plus(gap), gap));
        if self.draining.is_some() {
            for LeasedItem { run, .. } in leased {
                self.finish_run(run, RunEnd::NotRun, now, out);
            }
            return;
        }
        for LeasedItem { run, item, route, progress } in leased {
            if let Some((route, host)) = route {
                let start_until = asked.plus(self.start_within());
                let routed = Routed { route, host, progress, start_until };
                self.take_routed(run, item, routed, now, out);
                continue;
            }
            let lane =
                self.view.configuration.as_ref().and_then(|(_, bundle)| {
                    bundle.model_route_for(ModelRouteKind::Batch, &item.model)
                });
            let Some(pool) = lane.map(|lane| lane.pool.clone()) else {
                self.finish_run(run, RunEnd::NotRun, now, out);
                continue;
            };
            let entry = Entry { item, pool, since: now, stage: Stage::Leased, routed: None };
            self.items.entries.insert(run, entry);
            self.ask_for_item(run, now, out);
        }
    }

    fn ask_for_item(&mut self, run: Run, now: MonotonicMs, out: &mut Out) {
        let Some(entry) = self.items.entries.get(&run) else { return };
        let (pool, cost) = (entry.pool.clone(), entry.item.cost);
        let declared = self.view.configuration.as_ref().and_then(|(_, bundle)| bundle.pool(&pool));
        // What a route directs is charged as its live requests are.
        let cost = match declared.filter(|_| entry.routed.is_some()) {
            Some(declared) => FleetSnapshot::charge(declared, cost),
            None => cost,
        };
        let engines = self.engines_for(run, now);
        let hold = self.ask_hold_at(engines, pool, cost, HoldKind::Item, now, out);
        self.set_stage(run, Stage::Asking(hold));
    }

    /// Engines that a routed item may run at, the best first.
    fn engines_for(&mut self, run: Run, now: MonotonicMs) -> Vec<EngineName> {
        let Some(entry) = self.items.entries.get(&run) else { return Vec::new() };
        if entry.routed.is_none() {
            return Vec::new();
        }
        let prefix = prefix_of(&entry.item);
        let wanted = Wanted { pool: &entry.pool, prefix: &prefix, not: &[] };
        let ranked = self.engines.ranked(&self.view, &wanted, self.node, now);
        ranked.into_iter().take(MAX_ENGINES).map(|engine| engine.name.clone()).collect()
    }

    /// Lets items that wait ask, as many as that, those that wait longest first.
    fn let_ask(&mut self, most: usize, now: MonotonicMs, out: &mut Out) {
        for _ in 0..most {
            let Some(run) = self.items.longest_waiting() else { return };
            self.ask_for_item(run, now, out);
        }
    }

    /// The one place where an item's stage changes.
    fn set_stage(&mut self, run: Run, stage: Stage) {
        if let Some(entry) = self.items.entries.get_mut(&run) {
            entry.stage = stage;
        }
    }

    /// Hands back what has not started: this relay takes nothing new, and others wait for its leases.
    /// An item whose start is being recorded is handed back once that is settled.
    fn hand_back_waiting(&mut self, now: MonotonicMs, out: &mut Out) {
        let waits = |entry: &Entry| matches!(entry.stage, Stage::Leased | Stage::Asking(_));
        let waiting = self.items.entries.iter().filter(|(_, entry)| waits(entry));
        let waiting: Vec<Run> = waiting.map(|(run, _)| *run).collect();
        for run in waiting {
            self.let_item_go(run, out);
            self.finish_run(run, RunEnd::NotRun, now, out);
        }
    }

    fn ask_for_waiting(&mut self, now: MonotonicMs, out: &mut Out) {
        let waits_too_long = |entry: &Entry| {
            let waits = matches!(entry.stage, Stage::Leased | Stage::Asking(_));
            waits && now.since(entry.since) >= WAIT_FOR_ROOM
        };
        let late = self.items.entries.iter().filter(|(_, entry)| waits_too_long(entry));
        let late: Vec<Run> = late.map(|(run, _)| *run).collect();
        for run in late {
            self.let_item_go(run, out);
            self.finish_run(run, RunEnd::NotRun, now, out);
        }
        if self.items.ask_again_at.is_some_and(|at| now >= at) {
            self.items.ask_again_at = Some(now.plus(ASK_EVERY));
            self.let_ask(1, now, out);
        }
    }

    /// Forgets an item here and releases what it holds.
    fn let_item_go(&mut self, run: Run, out: &mut Out) {
        let Some(entry) = self.items.entries.remove(&run) else { return };
        match entry.stage {
            Stage::Leased => {}
            Stage::Asking(hold) | Stage::Starting(hold, _) => self.release_hold(hold, out),
            Stage::Started(hold, _, engine) => {
                self.release_hold(hold, out);
                if entry.routed.is_none() {
                    self.engines.end(&engine, entry.item.cost);
                }
            }
        }
    }

    /// The item that asked for a hold.
    fn asked_by(&self, hold: HoldId) -> Option<Run> {
        let asking = |entry: &Entry| matches!(entry.stage, Stage::Asking(asked) if asked == hold);
        let found = self.items.entries.iter().find(|(_, entry)| asking(entry));
        found.map(|(run, _)| *run)
    }

    pub(super) fn item_hold_refused(&mut self, hold: HoldId, now: MonotonicMs) {
        self.items.refused(now);
        if let Some(run) = self.asked_by(hold) {
            self.set_stage(run, Stage::Leased);
        }
    }

    pub(super) fn item_hold_granted(
        &mut self,
        hold: HoldId,
        engine: Option<&EngineName>,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let Some(run) = self.asked_by(hold) else { return };
        self.items.granted();
        if self.items.entries.get(&run).is_some_and(|entry| entry.routed.is_some()) {
            self.start_routed(run, hold, engine, now, out);
        } else {
            self.set_stage(run, Stage::Starting(hold, now));
            let call = BatchCall::Start(run);
            self.send_batch(Caller::Starting(run), run.batch.shard, call, START_WITHIN, now, out);
        }
        self.let_ask(ASK_AFTER_GRANT, now, out);
    }

    pub(super) fn start_settled(&mut self, run: Run, may: bool, now: MonotonicMs, out: &mut Out) {
        let Some(entry) = self.items.entries.get(&run) else { return };
        let Stage::Starting(hold, asked) = entry.stage else { return };
        let may = may && now.since(asked) < START_WITHIN && self.draining.is_none();
        let (pool, model) = (entry.pool.clone(), entry.item.model.clone());
        let (body, cost) = (entry.item.body.clone(), entry.item.cost);
        let target = self.choose_engine(&pool, &model, &[], None);
        match target.filter(|_| may) {
            Some(target) => {
                self.engines.begin(&target.engine, cost, &[]);
                let until = asked.plus(START_WITHIN);
                self.set_stage(run, Stage::Started(hold, until, target.engine.clone()));
                out.push(Effect::StartTask(RelayTask::RunItem { run, target, body }));
            }
            None => {
                // If the start was recorded after all, this says that nothing ran.
                self.let_item_go(run, out);
                self.finish_run(run, RunEnd::NotRun, now, out);
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
        let Stage::Started(_, start_until, chosen) = &entry.stage else {
            return refused(Code::NotFound);
        };
        if chosen != engine {
            return refused(Code::NoEngine);
        }
        if self.draining.is_some() {
            return refused(Code::Draining);
        }
        if let Some(routed) = &entry.routed {
            return match self.routed_go_until(engine, &entry.pool, &routed.route, now) {
                Err(code) => refused(code),
                Ok(until) => RelayResponse::SendBefore(until.min(*start_until)),
            };
        }
        match self.go_until(engine, &entry.pool, &entry.item.model, ModelRouteKind::Batch, now) {
            Err(code) => refused(code),
            Ok(until) => RelayResponse::SendBefore(until.min(*start_until)),
        }
    }

    pub(super) fn item_ended(&mut self, run: Run, end: RunEnd, now: MonotonicMs, out: &mut Out) {
        if end == RunEnd::Unknown
            && let Some(Entry { stage: Stage::Started(_, _, engine), .. }) =
                self.items.entries.get(&run)
        {
            let engine = engine.clone();
            self.engines.failed(&engine, now);
        }
        self.let_item_go(run, out);
        self.finish_run(run, end, now, out);
    }

    fn finish_run(&mut self, run: Run, end: RunEnd, now: MonotonicMs, out: &mut Out) {
        let call = BatchCall::Finish(run, end);
        self.send_batch(Caller::Finishing, run.batch.shard, call, FINISH_LIMIT, now, out);
    }
}

/// The parts of a routed item's prompt that others share.
fn prefix_of(item: &Item) -> Vec<PromptPart> {
    let prefix = item.routing.as_ref().map_or(&[][..], |routing| &routing.prefix);
    let part =
        |(digest, tokens): &(Digest, Tokens)| PromptPart { digest: *digest, tokens: *tokens };
    prefix.iter().map(part).collect()
}

/// What a route directs: such items need no recorded start, for they may run again.
impl RelayMachine {
    /// How long after a lease was asked for an item may be sent under it. It was given after it
    /// was asked for, and nothing of a batch that ended since may start later than the bound.
    fn start_within(&self) -> DurationMs {
        DurationMs(self.bounds.cancel.0 * 2 / 3)
    }

    /// Batch routes that have an engine.
    fn batch_routes_with_engine(&self) -> Vec<RouteName> {
        let is_batch = |route: &&topazyard_spec::Route| route.kind == RouteKind::Batch;
        let routes = self.view.routes.iter().filter(is_batch);
        let ready = routes.filter(|route| {
            let pool_of = |engine: &topazyard_spec::Engine| {
                route.pools.iter().any(|share| share.weight > 0 && share.pool == engine.pool)
            };
            let mut engines = self.view.engines.values();
            engines.any(|engine| pool_of(engine) && self.engines.is_usable(engine))
        });
        ready.map(|route| route.name.clone()).collect()
    }

    /// Shards that may have items of these models or routes.
    fn shards_with_work(&self, models: &[ModelName], routes: &[RouteName]) -> Vec<ShardId> {
        let hosts = routes.iter().filter_map(|name| self.view.routes.named(name));
        let of_hosts: std::collections::BTreeSet<ShardId> =
            hosts.map(|route| BatchId::of_host(&route.host, "").shard).collect();
        let shards = self.view.shards.keys().copied().filter(|shard| !shard.is_counter());
        shards.filter(|shard| !models.is_empty() || of_hosts.contains(shard)).collect()
    }

    /// Items that this relay may lease or run at a time.
    fn most_items(&self) -> usize {
        let usable = self.view.engines.values().filter(|engine| self.engines.is_usable(engine));
        let slots: usize = usable.map(|engine| engine.slots as usize).sum();
        MOST_ITEMS.max(slots / SLOTS_SHARE)
    }

    /// Takes a leased item that a route directs, if the route still does.
    fn take_routed(
        &mut self,
        run: Run,
        item: Item,
        routed: Routed,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let route = self.view.routes.named(&routed.route);
        let Some(pool) = route.and_then(|route| super::routed_items::pool_of(route, run)) else {
            return self.finish_run(run, RunEnd::NotRun, now, out);
        };
        let stage = Stage::Leased;
        let entry = Entry { item, pool, since: now, stage, routed: Some(routed) };
        self.items.entries.insert(run, entry);
        self.ask_for_item(run, now, out);
    }

    /// Starts a routed item that holds its cost, at the engine that came with it.
    fn start_routed(
        &mut self,
        run: Run,
        hold: HoldId,
        engine: Option<&EngineName>,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let Some(entry) = self.items.entries.get(&run) else { return };
        let Some(routed) = &entry.routed else { return };
        let prefix = prefix_of(&entry.item);
        let listed = engine.and_then(|name| self.view.engines.get(name));
        let target = listed.map(|e| Target { engine: e.name.clone(), address: e.address });
        let terms = self.view.routes.named(&routed.route);
        let directed = (target, entry.item.routing.clone(), terms);
        let (Some(target), Some(routing), Some(route)) = directed else {
            self.set_stage(run, Stage::Asking(hold));
            self.let_item_go(run, out);
            return self.finish_run(run, RunEnd::NotRun, now, out);
        };
        let started = Stage::Started(hold, routed.start_until, target.engine.clone());
        let routed_run = super::routed_items::RoutedRun {
            run,
            routing,
            host: routed.host.clone(),
            body: entry.item.body.clone(),
            progress: routed.progress.clone(),
            silence_timeout: super::routed_items::silence_of(route),
            target,
        };
        self.engines.open(&routed_run.target.engine, &prefix, now);
        self.set_stage(run, started);
        out.push(Effect::StartTask(RelayTask::RunRoutedItem(Box::new(routed_run))));
    }

    /// Until when a routed item may be sent to an engine.
    fn routed_go_until(
        &self,
        engine: &EngineName,
        pool: &PoolName,
        route: &RouteName,
        now: MonotonicMs,
    ) -> Result<MonotonicMs, Code> {
        if now >= self.routes_until() || self.view.configuration.is_none() {
            return Err(Code::StaleFeed);
        }
        // Its hold was granted within the time that a run may start in; no lease is needed beside it.
        // The routes may have changed while it waited.
        let route = self.view.routes.named(route).ok_or(Code::NoLane)?;
        if !route.pools.iter().any(|share| share.pool == *pool && share.weight > 0) {
            return Err(Code::NoLane);
        }
        let engine = self.view.engines.get(engine);
        if !engine.is_some_and(|e| e.pool == *pool && self.engines.is_usable(e)) {
            return Err(Code::NoEngine);
        }
        Ok(self.routes_until())
    }

    /// A routed item's run ended.
    pub(super) fn routed_ended(
        &mut self,
        run: Run,
        end: RunEnd,
        engine_outcome: EngineOutcome,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        if let Some(Entry { stage: Stage::Started(_, _, engine), .. }) =
            self.items.entries.get(&run)
        {
            let engine = engine.clone();
            self.engines.close(&engine, engine_outcome, now);
        }
        self.let_item_go(run, out);
        self.finish_run(run, end, now, out);
    }
}
