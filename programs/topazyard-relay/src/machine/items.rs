//! Parcel items run here: leased, held, recorded as started on both, and only then sent.

use super::parcels::Caller;
use super::{Out, RelayMachine, RelayReturn, RelayTask};
use topazyard_spec::LaneKind;
use topazyard_types::{DurationMs, EngineName, HoldId, MonotonicMs, PoolName, ShardId};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::counter::HoldKind;
use topazyard_wire::message::parcel::{Item, LeasedItem, ParcelCall, Run, RunEnd};

/// How long an item may run. A dark engine holds its budget no longer than this.
pub const RUN_LIMIT: DurationMs = DurationMs(30_000);
/// Items that one relay leases or runs at a time.
const MOST_ITEMS: usize = 24;
/// Items asked for in one lease.
const MOST_LEASED: u32 = 4;
/// How often a shard that has items is asked for more.
const LEASE_EVERY: DurationMs = DurationMs(120);
/// How often one that had none is asked, at the least.
const LEASE_IDLE: DurationMs = DurationMs(600);
/// How long no items are asked for after the counter had no room for one.
const NO_ROOM_PAUSE: DurationMs = DurationMs(200);
/// How long a leased item may wait here for room; below the shard's lease.
const WAIT_FOR_ROOM: DurationMs = DurationMs(1_200);
/// How often the counter is asked again for a waiting item.
const ASK_EVERY: DurationMs = DurationMs(150);
/// How long after a start was asked for the item may still be sent. With the asking's own way it
/// stays below the 3 s within which an ended parcel starts nothing more.
const START_WITHIN: DurationMs = DurationMs(2_000);
/// How often shards hear which runs go on.
const SPEAK_EVERY: DurationMs = DurationMs(500);
/// How long the end of a run is told again until it is noted.
const FINISH_LIMIT: DurationMs = DurationMs(60_000);

#[derive(Debug)]
enum Stage {
    /// Leased; it waits for room since the last asking.
    Leased(Option<MonotonicMs>),
    /// It asked the counter.
    Asking(HoldId),
    /// It holds its cost and asked whether it may start.
    Starting(HoldId, MonotonicMs),
    /// Its start is recorded; it is being sent, or runs.
    Started(HoldId, MonotonicMs, EngineName),
}

#[derive(Debug)]
struct Entry {
    item: Item,
    pool: PoolName,
    since: MonotonicMs,
    stage: Stage,
}

/// Items leased or running here.
#[derive(Debug, Default)]
pub(crate) struct Items {
    entries: std::collections::BTreeMap<Run, Entry>,
    leasing: std::collections::BTreeSet<ShardId>,
    next_lease: std::collections::BTreeMap<ShardId, (MonotonicMs, DurationMs)>,
    no_room_until: MonotonicMs,
    last_spoken: MonotonicMs,
}

impl Items {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn lease_over(&mut self, shard: ShardId) {
        self.leasing.remove(&shard);
    }
}

impl RelayMachine {
    pub(super) fn items_beat(&mut self, now: MonotonicMs, out: &mut Out) {
        self.speak_of_runs(now, out);
        self.ask_for_waiting(now, out);
        self.lease_more(now, out);
    }

    fn speak_of_runs(&mut self, now: MonotonicMs, out: &mut Out) {
        if now.since(self.items.last_spoken) < SPEAK_EVERY {
            return;
        }
        self.items.last_spoken = now;
        let mut by_shard: std::collections::BTreeMap<ShardId, Vec<Run>> = Default::default();
        for (run, entry) in &self.items.entries {
            if matches!(entry.stage, Stage::Started(..)) {
                by_shard.entry(run.parcel.shard).or_default().push(*run);
            }
        }
        for (shard, runs) in by_shard {
            self.tell_parcel(shard, ParcelCall::Running(runs), out);
        }
    }

    fn lease_more(&mut self, now: MonotonicMs, out: &mut Out) {
        if now < self.items.no_room_until || self.unready(now).is_some() {
            return;
        }
        let shards: Vec<ShardId> =
            self.view.shards.keys().copied().filter(|shard| !shard.is_counter()).collect();
        for shard in shards {
            let under_way = self.items.leasing.len() * MOST_LEASED as usize;
            let next = self.items.next_lease.get(&shard);
            if self.items.entries.len() + under_way >= MOST_ITEMS
                || self.items.leasing.contains(&shard)
                || next.is_some_and(|(at, _)| now < *at)
            {
                continue;
            }
            let models = self.models_with_engine();
            if models.is_empty() {
                return;
            }
            self.items.leasing.insert(shard);
            let call = ParcelCall::Lease { most: MOST_LEASED, models };
            let limit = DurationMs(1_000);
            self.send_parcel(Caller::Leasing, shard, call, limit, now, out);
        }
    }

    pub(super) fn items_leased(
        &mut self,
        shard: ShardId,
        leased: Vec<LeasedItem>,
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
        for LeasedItem { run, item } in leased {
            let lane = self
                .view
                .spec
                .as_ref()
                .and_then(|(_, bundle)| bundle.lane_for(LaneKind::Parcel, &item.model));
            let Some(pool) = lane.map(|lane| lane.pool.clone()) else {
                self.finish_run(run, RunEnd::NotRun, now, out);
                continue;
            };
            let entry = Entry { item, pool, since: now, stage: Stage::Leased(None) };
            self.items.entries.insert(run, entry);
            self.ask_for_item(run, now, out);
        }
    }

    fn ask_for_item(&mut self, run: Run, now: MonotonicMs, out: &mut Out) {
        let Some(entry) = self.items.entries.get(&run) else { return };
        let (pool, cost) = (entry.pool.clone(), entry.item.cost);
        let hold = self.ask_hold(pool, cost, HoldKind::Item, now, out);
        self.set_stage(run, Stage::Asking(hold));
    }

    /// The one place where an item's stage changes.
    fn set_stage(&mut self, run: Run, stage: Stage) {
        if let Some(entry) = self.items.entries.get_mut(&run) {
            entry.stage = stage;
        }
    }

    fn ask_for_waiting(&mut self, now: MonotonicMs, out: &mut Out) {
        let mut again = Vec::new();
        let mut hand_back = Vec::new();
        for (run, entry) in &self.items.entries {
            match &entry.stage {
                Stage::Leased(_) | Stage::Asking(_) if now.since(entry.since) >= WAIT_FOR_ROOM => {
                    hand_back.push(*run);
                }
                Stage::Leased(Some(last)) if now.since(*last) >= ASK_EVERY => again.push(*run),
                _ => {}
            }
        }
        for run in hand_back {
            self.let_item_go(run, out);
            self.finish_run(run, RunEnd::NotRun, now, out);
        }
        for run in again {
            self.ask_for_item(run, now, out);
        }
    }

    /// Forgets an item here and releases what it holds.
    fn let_item_go(&mut self, run: Run, out: &mut Out) {
        let Some(entry) = self.items.entries.remove(&run) else { return };
        match entry.stage {
            Stage::Leased(_) => {}
            Stage::Asking(hold) | Stage::Starting(hold, _) => self.release_hold(hold, out),
            Stage::Started(hold, _, engine) => {
                self.release_hold(hold, out);
                self.engines.end(&engine, entry.item.cost);
            }
        }
    }

    pub(super) fn item_hold_settled(
        &mut self,
        hold: HoldId,
        granted: bool,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let asking = |entry: &Entry| matches!(entry.stage, Stage::Asking(asked) if asked == hold);
        let found = self.items.entries.iter().find(|(_, entry)| asking(entry));
        let Some(run) = found.map(|(run, _)| *run) else { return };
        if !granted {
            self.items.no_room_until = now.plus(NO_ROOM_PAUSE);
            self.set_stage(run, Stage::Leased(Some(now)));
            return;
        }
        self.set_stage(run, Stage::Starting(hold, now));
        let call = ParcelCall::Start(run);
        self.send_parcel(Caller::Starting(run), run.parcel.shard, call, START_WITHIN, now, out);
    }

    pub(super) fn start_settled(&mut self, run: Run, may: bool, now: MonotonicMs, out: &mut Out) {
        let Some(entry) = self.items.entries.get(&run) else { return };
        let Stage::Starting(hold, asked) = entry.stage else { return };
        let in_time = now.since(asked) < START_WITHIN;
        let (pool, model) = (entry.pool.clone(), entry.item.model.clone());
        let (body, cost) = (entry.item.body.clone(), entry.item.cost);
        let target = self.choose_engine(&pool, &model, &[], None);
        match target.filter(|_| may && in_time) {
            Some(target) => {
                self.engines.begin(&target.engine, cost, &[]);
                self.set_stage(run, Stage::Started(hold, asked, target.engine.clone()));
                out.push(Effect::Start(RelayTask::RunItem { run, target, body }));
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
    ) -> RelayReturn {
        let refused = |code| RelayReturn::Refused(ApiError::not_run(code));
        let Some(entry) = self.items.entries.get(&run) else { return refused(Code::NotFound) };
        let Stage::Started(_, asked, chosen) = &entry.stage else {
            return refused(Code::NotFound);
        };
        if chosen != engine {
            return refused(Code::NoEngine);
        }
        match self.go_until(engine, &entry.pool, &entry.item.model, LaneKind::Parcel, now) {
            Err(code) => refused(code),
            Ok(until) => RelayReturn::GoUntil(until.min(asked.plus(START_WITHIN))),
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
        let call = ParcelCall::Finish(run, end);
        self.send_parcel(Caller::Finishing, run.parcel.shard, call, FINISH_LIMIT, now, out);
    }
}
