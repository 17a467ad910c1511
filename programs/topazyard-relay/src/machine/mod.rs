//! The relay's machine: what it knows of the fleet, its holds, its queue, its engines and the
//! batch items it runs.

mod admission;
pub mod batches;
mod choice;
mod counting;
mod engine_failures;
mod engine_index;
mod engines;
pub mod items;
pub mod requests;
pub mod routed_items;

use crate::prompt::Failure;
use topazyard_replication::{FeedFollower, follower::FollowOutcome};
use topazyard_types::{
    BatchId, BootId, ConfigurationVersion, DurationMs, EngineName, ModelName, MonotonicMs, NodeId,
    RouteName, ShardId, Tokens,
};
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::Message;
use topazyard_wire::message::batch::{BatchCall, BatchResponse, Item, Run, RunEnd};
use topazyard_wire::message::feed::{FeedMessage, Health};
use topazyard_wire::state::FleetSnapshot;
use topazyard_wire::{Effect, Input, Machine};

/// How old the last confirmation of the feed may be. Below the 2 s that operators are promised.
pub const MAX_FEED_AGE: DurationMs = DurationMs(1_800);

/// A block of budget stands for so many times the time in which trouble is over.
const BLOCK_EXPIRY_OF_CONTACT: u64 = 4;

/// Names a prompt within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptId(pub u64);

static LAST_PROMPT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

impl PromptId {
    /// The next name in this process.
    pub fn next() -> Self {
        Self(1 + LAST_PROMPT.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
    }
}

/// What admission must know of a prompt.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// Names it.
    pub id: PromptId,
    /// The model it wants.
    pub model: ModelName,
    /// Its estimated cost.
    pub cost: Tokens,
    /// Until when its client waits.
    pub deadline: MonotonicMs,
    /// The shared prefix parts it is built from, in order.
    pub prefix: Vec<String>,
}

/// An engine to send to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub engine: EngineName,
    /// Where it listens.
    pub address: std::net::SocketAddr,
}

/// What an engine says of its load with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

/// How a prompt's use of an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOutcome {
    /// The engine's whole return came, after so long.
    Completed(DurationMs),
    /// The engine failed.
    Failed,
    /// The relay or the client broke off, or the engine was never used.
    Aborted,
    /// It took no connection.
    Unreachable,
    /// It said that it didn't run it.
    TurnedAway,
    /// The time to send it went by before it was sent.
    NotSent,
}

/// What may be asked of the relay's machine.
#[derive(Debug)]
pub enum RelayCall {
    /// Let this prompt in, now or after a brief wait.
    AdmitPrompt(Prompt),
    /// May it be sent to that engine now?
    DispatchPrompt(PromptId, EngineName),
    /// That engine failed it: name another.
    RetryPrompt(PromptId, EngineName),
    /// The prompt has ended, whichever way.
    PromptEnded(PromptId, EngineOutcome),
    /// Find the route of this request and let it in, now or after a brief wait.
    AdmitRequest(requests::Arrival),
    /// That request needs another engine, for this reason.
    RetryRequest(PromptId, EngineOutcome),
    /// That engine has said nothing for longer than it should.
    SuspectEngine(EngineName),
    /// A request failed at that engine.
    EngineFailed(EngineName, Failure),
    /// An engine said how loaded it is.
    EngineLoad(EngineName, EngineLoad),
    /// The request has ended, whichever way.
    RequestEnded(PromptId, EngineOutcome),
    /// Whether an engine that was left alone took a connection.
    ConnectionProbed(EngineName, bool),
    /// A call on batches, within a limit.
    Batch(BatchCall, DurationMs),
    /// Hand in a batch.
    SubmitBatch(BatchId, Vec<Item>),
    /// Hand in a batch of routed items, within a limit.
    SubmitRoutedBatch(BatchId, RouteName, Vec<Item>, DurationMs),
    /// May this item's run be sent to that engine now?
    DispatchItem(Run, EngineName),
    /// An item's run ended.
    ItemEnded(Run, RunEnd),
    /// A routed item's run ended, and so did its use of the engine.
    RoutedItemEnded(Run, RunEnd, EngineOutcome),
    /// What a look at an engine's health gave.
    HealthChecked(EngineName, bool),
    /// Take from now on only what is over in time, and finish what is under way.
    Drain(crate::drain::DrainTimes),
    /// Is the relay ready?
    Ready,
    /// How does it fare?
    Health,
}

/// What the relay's machine returns.
#[derive(Debug)]
pub enum RelayResponse {
    /// The prompt holds its cost: send it there.
    SendTo(Target),
    /// The request was let in.
    Admitted(Box<requests::Admitted>),
    /// Another engine for the request.
    Chosen(Box<requests::Chosen>),
    /// The request is for this batch route.
    OnBatchRoute(topazyard_types::RouteName),
    /// It may be sent if it is sent before that moment.
    SendBefore(MonotonicMs),
    /// What came of a call on batches.
    Batch(BatchResponse),
    /// It drains, at these times.
    Draining(crate::drain::Draining),
    /// Nothing to say.
    Done,
    /// Refused.
    Refused(ApiError),
    /// How the relay fares.
    Health(Box<RelayHealth>),
}

/// What the relay's machine begins outside.
#[derive(Debug)]
pub enum RelayTask {
    /// Run an item and report its end.
    RunItem {
        /// The run.
        run: Run,
        /// Where.
        target: Target,
        /// The body, byte for byte.
        body: bytes::Bytes,
    },
    /// Run a routed item and report its end.
    RunRoutedItem(Box<routed_items::RoutedRun>),
    /// Break off the runs of routed items, and report how far each came.
    AbortRoutedRuns,
    /// Look at an engine's health and report it.
    CheckHealth(Target),
    /// Make a connection to an engine, keep it, and report it.
    ProbeConnection(Target),
}

/// How the relay fares.
#[derive(Debug, Clone, serde::Serialize)]
pub struct RelayHealth {
    /// Its id in this life.
    pub node: NodeId,
    /// Whether it is ready.
    pub ready: bool,
    /// The spec in force here.
    #[serde(rename = "spec")]
    pub configuration: Option<ConfigurationVersion>,
    /// The place read in the feed.
    #[serde(rename = "place")]
    pub position: String,
    /// How old the last confirmation of the feed is.
    pub feed_age_ms: Option<DurationMs>,
    /// Prompts that wait.
    pub waiting: usize,
    /// Prompts that hold their cost.
    pub holding: usize,
    /// Batch items leased or running here.
    pub items: usize,
    /// Clients' calls on batches under way.
    pub batch_calls: usize,
    /// Ends of items' runs that their shards have not noted yet.
    #[serde(rename = "ends_to_tell")]
    pub unacknowledged_run_ends: usize,
    /// Askings for items whose answers have not come: some may be leased to this relay.
    #[serde(rename = "leases_asked")]
    pub pending_lease_requests: usize,
    /// How long it has taken nothing new, if it drains.
    pub drained_for_ms: Option<DurationMs>,
    /// Engines that may be used.
    pub engines: usize,
    /// Prompts let in since the start.
    #[serde(rename = "allowed")]
    pub admitted: u64,
    /// Prompts refused since the start, by code.
    pub refused: std::collections::BTreeMap<String, u64>,
}

impl RelayHealth {
    /// Whether anything is under way that a relay should finish before it ends.
    pub fn under_way(&self) -> bool {
        let of_items = self.items + self.pending_lease_requests + self.unacknowledged_run_ends;
        self.waiting + self.holding + self.batch_calls + of_items > 0
    }
}

/// From what a relay starts.
#[derive(Debug)]
pub struct Start {
    /// Its id in this life.
    pub node: NodeId,
    /// The agent beside it.
    pub agent: std::net::SocketAddr,
    /// The bounds of the place that the fleet runs at.
    pub bounds: topazyard_spec::Bounds,
}

pub(crate) type Out = Vec<Effect<RelayResponse, RelayTask>>;

/// One relay.
pub struct RelayMachine {
    pub(crate) node: NodeId,
    agent: std::net::SocketAddr,
    pub(crate) bounds: topazyard_spec::Bounds,
    follower: FeedFollower,
    pub(crate) view: FleetSnapshot,
    pub(crate) counting: counting::Counting,
    pub(crate) admission: admission::Admission,
    pub(crate) requests: requests::Requests,
    /// How old the last confirmation of the feed may be for requests on routes.
    routes_fresh_for: DurationMs,
    /// After how long without a renewal the counter takes blocks back.
    pub(crate) block_expiry: DurationMs,
    pub(crate) engines: engines::Engines,
    pub(crate) items: items::Items,
    pub(crate) batches: batches::BatchCalls,
    admitted: u64,
    refused: std::collections::BTreeMap<Code, u64>,
    refused_for_room: u32,
    engine_failures: engine_failures::EngineFailures,
    /// How it ends, once it was asked to.
    pub(crate) draining: Option<crate::drain::Draining>,
}

impl RelayMachine {
    /// A relay as it starts: it knows nothing and refuses everything.
    pub fn new(start: &Start) -> Self {
        // A relay's id is new in each life.
        let boot_id = BootId(start.node.0);
        Self {
            node: start.node,
            agent: start.agent,
            bounds: start.bounds.clone(),
            follower: FeedFollower::new(vec![start.agent], boot_id),
            view: FleetSnapshot::default(),
            counting: counting::Counting::new(boot_id),
            admission: admission::Admission::default(),
            requests: requests::Requests::default(),
            routes_fresh_for: DurationMs(
                (start.bounds.config_apply.0 + start.bounds.config_stretch.0).saturating_sub(200),
            ),
            block_expiry: DurationMs(start.bounds.contact.0 * BLOCK_EXPIRY_OF_CONTACT),
            engines: engines::Engines::default(),
            items: items::Items::default(),
            batches: batches::BatchCalls::new(boot_id),
            admitted: 0,
            refused: std::collections::BTreeMap::new(),
            refused_for_room: 0,
            engine_failures: engine_failures::EngineFailures::default(),
            draining: None,
        }
    }

    /// Until when the feed's last confirmation counts as fresh.
    pub(crate) fn fresh_until(&self) -> MonotonicMs {
        self.follower.confirmed_at().map_or(MonotonicMs(0), |at| at.plus(MAX_FEED_AGE))
    }

    /// Which of the others this relay must hear and doesn't.
    pub(crate) fn cut_off(&self, now: MonotonicMs) -> Option<Code> {
        if now >= self.fresh_until() || self.view.configuration.is_none() {
            Some(Code::StaleFeed)
        } else if now >= self.counting.leased_until() {
            Some(Code::NoCounter)
        } else {
            None
        }
    }

    /// Why neither lanes nor routes could be served now, if so.
    fn cut_off_from_all(&self, now: MonotonicMs) -> Option<Code> {
        let has_routes = self.view.routes.iter().next().is_some();
        if has_routes && now < self.routes_until() && !self.requests.unanswered(now) {
            return None;
        }
        self.cut_off(now)
    }

    /// Why the relay takes nothing new now, if it doesn't.
    pub(crate) fn unready(&self, now: MonotonicMs) -> Option<Code> {
        if self.draining.is_some() {
            Some(Code::Draining)
        } else if let Some(code) = self.cut_off_from_all(now) {
            Some(code)
        } else if self.view.engines.values().all(|engine| !self.engines.is_usable(engine)) {
            Some(Code::NoEngine)
        } else {
            None
        }
    }

    pub(crate) fn count_refusal(&mut self, code: Code) {
        *self.refused.entry(code).or_default() += 1;
        if matches!(code, Code::Budget | Code::QueueFull | Code::Deadline) {
            self.refused_for_room += 1;
        }
    }

    fn health(&self, now: MonotonicMs) -> RelayHealth {
        RelayHealth {
            node: self.node,
            ready: self.unready(now).is_none(),
            configuration: self.view.configuration.as_ref().map(|(version, _)| *version),
            position: self.follower.copy().position().to_string(),
            feed_age_ms: self.follower.confirmed_at().map(|at| now.since(at)),
            waiting: self.admission.waiting() + self.requests.waiting(),
            holding: self.admission.holding() + self.requests.holding(),
            items: self.items.len(),
            batch_calls: self.batches.of_clients(),
            unacknowledged_run_ends: self.batches.ends_to_tell(),
            pending_lease_requests: self.batches.leases_asked(),
            drained_for_ms: self.draining.map(|draining| draining.elapsed(now)),
            engines: self.view.engines.values().filter(|e| self.engines.is_usable(e)).count(),
            admitted: self.admitted,
            refused: self
                .refused
                .iter()
                .map(|(code, count)| {
                    let name = serde_json::to_value(code).ok();
                    let name = name.and_then(|name| name.as_str().map(str::to_owned));
                    (name.unwrap_or_default(), *count)
                })
                .collect(),
        }
    }

    /// Asks the feed, if it is time to.
    fn ask_feed(&mut self, now: MonotonicMs, out: &mut Out) {
        let health = Health::Edge {
            ready: self.unready(now).is_none(),
            waiting: (self.admission.waiting() + self.requests.wanting()) as u32,
            refused: self.refused_for_room,
        };
        if let Some((to, message)) = self.follower.tick(now, || health) {
            self.refused_for_room = 0;
            out.push(Effect::Send { to, message: Message::Feed(message) });
        }
    }

    fn tick(&mut self, now: MonotonicMs, out: &mut Out) {
        self.ask_feed(now, out);
        self.counting_tick(now, out);
        self.admission_tick(now, out);
        self.requests_tick(now, out);
        self.engines_tick(now, out);
        self.engine_failures_tick(now, out);
        self.items_tick(now, out);
        self.batches_tick(now, out);
    }

    fn take_news(&mut self, from: std::net::SocketAddr, message: FeedMessage, out: &mut Out) {
        if self.follower.receive(from, message) != FollowOutcome::Changed {
            return;
        }
        let before = self.view.configuration.as_ref().map(|(version, _)| *version);
        let engines = std::mem::take(&mut self.view.engines);
        self.view = FleetSnapshot::read(self.follower.copy().rows());
        if self.view.engines != engines {
            self.engines.index = engine_index::EngineIndex::of(self.view.engines.values());
        }
        let version = self.view.configuration.as_ref().map(|(version, _)| *version);
        if let Some(version) = version.filter(|version| before != Some(*version)) {
            let engines = self.view.engines.len();
            let text = format!("spec {version} in force, {engines} engines listed");
            out.push(Effect::Log { is_error: false, text });
        }
    }

    fn take_call(
        &mut self,
        call: topazyard_types::CallId,
        request: RelayCall,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let value = match request {
            RelayCall::AdmitPrompt(prompt) => return self.allow(call, prompt, now, out),
            RelayCall::Batch(request, limit) => {
                return self.call_batch(call, request, limit, now, out);
            }
            RelayCall::SubmitBatch(batch, items) => {
                return self.submit_batch(call, batch, items, now, out);
            }
            RelayCall::SubmitRoutedBatch(batch, route, items, limit) => {
                return self.submit_routed(call, (batch, &route), items, limit, now, out);
            }
            RelayCall::AdmitRequest(arrival) => return self.arrive(call, arrival, now, out),
            RelayCall::RetryRequest(id, engine_outcome) => self.retry(id, engine_outcome, now),
            RelayCall::SuspectEngine(engine) => {
                self.engines.doubt(&engine, now);
                RelayResponse::Done
            }
            RelayCall::EngineFailed(engine, failure) => {
                self.count_failure(engine, failure);
                RelayResponse::Done
            }
            RelayCall::EngineLoad(engine, load) => {
                self.engines.told_load(&engine, load, now);
                RelayResponse::Done
            }
            RelayCall::RequestEnded(id, engine_outcome) => {
                self.end_request(id, engine_outcome, now, out);
                RelayResponse::Done
            }
            RelayCall::ConnectionProbed(engine, reached) => {
                self.engines.reached(&engine, reached, now);
                RelayResponse::Done
            }
            RelayCall::DispatchPrompt(id, engine) => self.dispatch(id, &engine, now),
            RelayCall::RetryPrompt(id, failed) => self.another(id, &failed, now),
            RelayCall::PromptEnded(id, engine_outcome) => {
                self.end_prompt(id, engine_outcome, now, out);
                RelayResponse::Done
            }
            RelayCall::DispatchItem(run, engine) => self.dispatch_item(run, &engine, now),
            RelayCall::RoutedItemEnded(run, end, engine_outcome) => {
                self.routed_ended(run, end, engine_outcome, now, out);
                RelayResponse::Done
            }
            RelayCall::ItemEnded(run, end) => {
                self.item_ended(run, end, now, out);
                RelayResponse::Done
            }
            RelayCall::HealthChecked(engine, is_well) => {
                self.engines.looked(engine, is_well, now);
                RelayResponse::Done
            }
            RelayCall::Drain(times) => RelayResponse::Draining(self.drain(times, now, out)),
            RelayCall::Ready => match self.unready(now) {
                None => RelayResponse::Done,
                Some(code) => RelayResponse::Refused(ApiError::not_run(code)),
            },
            RelayCall::Health => RelayResponse::Health(Box::new(self.health(now))),
        };
        out.push(Effect::Respond { call, value });
    }

    /// Takes from now on only what is over in time. A drain that was begun goes on as it is.
    fn drain(
        &mut self,
        times: crate::drain::DrainTimes,
        now: MonotonicMs,
        out: &mut Out,
    ) -> crate::drain::Draining {
        let begun = crate::drain::Draining::start(times, now);
        let draining = *self.draining.get_or_insert(begun);
        self.batches.end_calls_by(draining.batch_call_deadline());
        self.drain_items(draining.abort_runs_at(), now, out);
        draining
    }

    /// Passes a shard's record on to its holders, where one of them spoke under a lower epoch: it
    /// may be cut off from control while this relay isn't.
    pub(crate) fn tell_record(&self, shard: ShardId, told: topazyard_types::Epoch, out: &mut Out) {
        let Some(record) = self.view.shards.get(&shard).filter(|r| r.epoch > told) else { return };
        for holder in record.holders() {
            let message = Message::ShardRecord(shard, record.clone());
            out.push(Effect::Send { to: holder.address, message });
        }
    }

    /// The shard's primary and epoch, as the feed last said.
    pub(crate) fn leads(
        &self,
        shard: ShardId,
    ) -> Option<(std::net::SocketAddr, topazyard_types::Epoch)> {
        self.view.shards.get(&shard).map(|record| (record.primary.address, record.epoch))
    }
}

impl Machine for RelayMachine {
    type Call = RelayCall;
    type Response = RelayResponse;
    type Task = RelayTask;

    fn step(&mut self, input: Input<RelayCall>, now: MonotonicMs) -> Out {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut out),
            Input::Call { call, request } => self.take_call(call, request, now, &mut out),
            Input::Frame { from, message, .. } => match message {
                // Only its own agent may tell it what is in force.
                Message::Feed(message) if from == self.agent => {
                    self.take_news(from, message, &mut out);
                    if self.follower.is_fetching() {
                        self.ask_feed(now, &mut out);
                    }
                }
                Message::Counter(message) => self.receive_counter(&message, now, &mut out),
                Message::Batch(message) => self.receive_batch(message, now, &mut out),
                _ => {}
            },
            Input::Written(_) | Input::Disk(_) => {}
        }
        out
    }
}
