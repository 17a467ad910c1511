//! The relay's state machine: its snapshot of the fleet, budget holds, queues, engine selection and
//! the batch items that it runs.

mod admission;
pub mod batches;
mod counter;
mod engine_failures;
mod engine_index;
mod engine_selection;
mod engines;
pub mod items;
pub mod requests;
pub mod routed_items;
mod shard_primaries;

use crate::prompt::Failure;
use topazyard_replication::{FeedFollower, follower::FollowOutcome};
use topazyard_types::{
    BatchId, BootId, ConfigurationVersion, DurationMs, EngineName, ModelName, MonotonicMs, NodeId,
    ShardId, Tokens,
};
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::Message;
use topazyard_wire::message::batch::{BatchCall, BatchResponse, Item, Run, RunEnd};
use topazyard_wire::message::feed::{FeedMessage, Health};
use topazyard_wire::state::FleetSnapshot;
use topazyard_wire::{Effect, Input, Machine};

/// Maximum age of the feed's last confirmation. Below the 2 s within which operators are promised
/// that a change applies.
pub const MAX_FEED_AGE: DurationMs = DurationMs(1_800);

/// A budget block expires after this multiple of `Bounds::contact`, the time within which faults
/// are expected to be over.
const BLOCK_EXPIRY_MULTIPLE: u64 = 4;

/// Identifies a request within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptId(pub u64);

static LAST_PROMPT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

impl PromptId {
    /// The next unused id in this process.
    pub fn next() -> Self {
        Self(1 + LAST_PROMPT.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
    }
}

/// What admission needs to know of a request on a model route.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// The id.
    pub id: PromptId,
    /// The requested model.
    pub model: ModelName,
    /// The estimated cost.
    pub cost: Tokens,
    /// Until when the client waits.
    pub deadline: MonotonicMs,
    /// The shared prefix parts that the prompt is built from, in order.
    pub prefix: Vec<String>,
}

/// An engine to send a request to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The engine's name.
    pub engine: EngineName,
    /// The address it listens on.
    pub address: std::net::SocketAddr,
}

/// The load that an engine reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued at the engine.
    pub waiting: u32,
    /// Requests that it can process concurrently.
    pub slots: u32,
}

/// How the use of an engine for a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOutcome {
    /// The complete response was received; with the time until its head, or on a model route until
    /// its end.
    Completed(DurationMs),
    /// The engine failed.
    Failed,
    /// The relay or the client aborted the request, or the engine was never used.
    Aborted,
    /// The engine accepted no connection.
    Unreachable,
    /// The engine reported that it did not run the request.
    TurnedAway,
    /// The time in which it could be sent passed before it was sent.
    NotSent,
}

/// Calls to the relay's state machine.
#[derive(Debug)]
pub enum RelayCall {
    /// Admits a prompt, at once or after a short wait.
    AdmitPrompt(Prompt),
    /// Checks whether the prompt may be sent to that engine now.
    DispatchPrompt(PromptId, EngineName),
    /// Requests another engine for a prompt that this one failed.
    RetryPrompt(PromptId, EngineName),
    /// The prompt ended, whatever the outcome.
    PromptEnded(PromptId, EngineOutcome),
    /// Finds the route of a request and admits it, at once or after a short wait.
    AdmitRequest(requests::Arrival),
    /// Requests another engine for a request, with the outcome at the last one.
    RetryRequest(PromptId, EngineOutcome),
    /// The engine has not responded for longer than expected.
    SuspectEngine(EngineName),
    /// A request failed at that engine.
    EngineFailed(EngineName, Failure),
    /// An engine reported its load.
    EngineLoad(EngineName, EngineLoad),
    /// The request ended, whatever the outcome.
    RequestEnded(PromptId, EngineOutcome),
    /// Whether a paused engine accepted a connection.
    ConnectionProbed(EngineName, bool),
    /// A batch call with its timeout.
    Batch(BatchCall, DurationMs),
    /// Submits a batch.
    SubmitBatch(BatchId, Vec<Item>),
    /// Submits a batch of routed items.
    SubmitRoutedBatch(batches::RoutedSubmission),
    /// Checks whether this item's run may be sent to that engine now.
    DispatchItem(Run, EngineName),
    /// The run of an item ended.
    ItemEnded(Run, RunEnd),
    /// The run of a routed item ended, with the outcome at the engine.
    RoutedItemEnded(Run, RunEnd, EngineOutcome),
    /// The result of an engine's health check.
    HealthChecked(EngineName, bool),
    /// Starts a drain: from now on admits only what ends in time, and finishes what is under way.
    Drain(crate::drain::DrainTimes),
    /// Requests the relay's readiness.
    Ready,
    /// Requests the relay's health.
    Health,
}

/// Responses of the relay's state machine.
#[derive(Debug)]
pub enum RelayResponse {
    /// The prompt holds its cost: send it to this engine.
    SendTo(Target),
    /// The request was admitted.
    Admitted(Box<requests::Admitted>),
    /// Another engine for the request.
    Chosen(Box<requests::Chosen>),
    /// The request submits a batch: its route is a batch route.
    OnBatchRoute,
    /// It may be sent before this time.
    SendBefore(MonotonicMs),
    /// The result of a batch call.
    Batch(BatchResponse),
    /// The drain, with its phases.
    Draining(crate::drain::Draining),
    /// Done; there is no value to return.
    Done,
    /// Refused.
    Refused(ApiError),
    /// The relay's health.
    Health(Box<RelayHealth>),
}

/// Tasks that the driver runs for the relay's state machine.
#[derive(Debug)]
pub enum RelayTask {
    /// Runs an item and reports its end.
    RunItem {
        /// The run.
        run: Run,
        /// The engine.
        target: Target,
        /// The body, byte for byte.
        body: bytes::Bytes,
    },
    /// Runs a routed item and reports its end.
    RunRoutedItem(Box<routed_items::RoutedRun>),
    /// Aborts the runs of routed items and reports the progress of each.
    AbortRoutedRuns,
    /// Checks an engine's health and reports the result.
    CheckHealth(Target),
    /// Opens a connection to an engine, keeps it and reports the result.
    ProbeConnection(Target),
    /// Puts limits on what clients send in force.
    LimitClients(topazyard_spec::ClientLimits),
}

/// The health of a relay.
#[derive(Debug, Clone, serde::Serialize)]
pub struct RelayHealth {
    /// The node's id, drawn when the process starts.
    pub node: NodeId,
    /// Whether it is ready.
    pub ready: bool,
    /// The configuration in force here.
    #[serde(rename = "spec")]
    pub configuration: Option<ConfigurationVersion>,
    /// The position reached in the feed.
    #[serde(rename = "place")]
    pub position: String,
    /// Age of the feed's last confirmation.
    pub feed_age_ms: Option<DurationMs>,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that hold their cost.
    pub holding: usize,
    /// Batch items leased or running here.
    pub items: usize,
    /// Clients' batch calls under way.
    pub batch_calls: usize,
    /// Ends of item runs that their shards have not acknowledged.
    #[serde(rename = "ends_to_tell")]
    pub unacknowledged_run_ends: usize,
    /// Lease requests without a response; items may already be leased to this relay.
    #[serde(rename = "leases_asked")]
    pub pending_lease_requests: usize,
    /// Time since the drain started, while draining.
    pub drained_for_ms: Option<DurationMs>,
    /// Usable engines.
    pub engines: usize,
    /// Requests admitted since the start.
    #[serde(rename = "allowed")]
    pub admitted: u64,
    /// Requests refused since the start, by code.
    pub refused: std::collections::BTreeMap<String, u64>,
}

impl RelayHealth {
    /// Whether any work is under way that a relay should finish before it exits.
    pub fn under_way(&self) -> bool {
        let item_work = self.items + self.pending_lease_requests + self.unacknowledged_run_ends;
        self.waiting + self.holding + self.batch_calls + item_work > 0
    }
}

/// What a relay needs to start.
#[derive(Debug)]
pub struct Start {
    /// The node's id, drawn when the process starts.
    pub node: NodeId,
    /// The local agent's address.
    pub agent: std::net::SocketAddr,
    /// The time bounds configured for the fleet.
    pub bounds: topazyard_spec::Bounds,
}

pub(crate) type Outputs = Vec<Effect<RelayResponse, RelayTask>>;

/// The state machine of one relay.
pub struct RelayMachine {
    pub(crate) node: NodeId,
    agent: std::net::SocketAddr,
    pub(crate) bounds: topazyard_spec::Bounds,
    follower: FeedFollower,
    pub(crate) fleet: FleetSnapshot,
    pub(crate) counter: counter::CounterClient,
    pub(crate) admission: admission::Admission,
    pub(crate) requests: requests::Requests,
    /// Maximum age of the feed's last confirmation for requests on routes.
    max_routes_feed_age: DurationMs,
    /// Time without a renewal after which the counter takes blocks back.
    pub(crate) block_expiry: DurationMs,
    pub(crate) engines: engines::Engines,
    pub(crate) items: items::Items,
    pub(crate) batches: batches::BatchCalls,
    admitted: u64,
    refused: std::collections::BTreeMap<Code, u64>,
    refused_for_capacity: u32,
    engine_failures: engine_failures::EngineFailures,
    /// The drain, once requested.
    pub(crate) draining: Option<crate::drain::Draining>,
}

impl RelayMachine {
    /// A relay at its start: it knows nothing and refuses everything.
    pub fn new(start: &Start) -> Self {
        // A relay draws a new id at each start, so the id serves as the boot id.
        let boot_id = BootId(start.node.0);
        Self {
            node: start.node,
            agent: start.agent,
            bounds: start.bounds.clone(),
            follower: FeedFollower::new(vec![start.agent], boot_id),
            fleet: FleetSnapshot::default(),
            counter: counter::CounterClient::new(boot_id),
            admission: admission::Admission::default(),
            requests: requests::Requests::default(),
            max_routes_feed_age: DurationMs(
                (start.bounds.config_apply.0 + start.bounds.config_stretch.0).saturating_sub(200),
            ),
            block_expiry: DurationMs(start.bounds.contact.0 * BLOCK_EXPIRY_MULTIPLE),
            engines: engines::Engines::default(),
            items: items::Items::default(),
            batches: batches::BatchCalls::new(start.node, boot_id),
            admitted: 0,
            refused: std::collections::BTreeMap::new(),
            refused_for_capacity: 0,
            engine_failures: engine_failures::EngineFailures::default(),
            draining: None,
        }
    }

    /// Until when the feed's last confirmation counts as fresh.
    pub(crate) fn fresh_until(&self) -> MonotonicMs {
        self.follower.confirmed_at().map_or(MonotonicMs(0), |at| at.plus(MAX_FEED_AGE))
    }

    /// The dependency that was not heard from in time: the feed or the counter.
    pub(crate) fn lost_dependency(&self, now: MonotonicMs) -> Option<Code> {
        if now >= self.fresh_until() || self.fleet.configuration.is_none() {
            Some(Code::StaleFeed)
        } else if now >= self.counter.lease_end() {
            Some(Code::NoCounter)
        } else {
            None
        }
    }

    /// Why requests on neither model routes nor routes could be served now, if so.
    fn unavailable_for_all(&self, now: MonotonicMs) -> Option<Code> {
        let has_routes = self.fleet.routes.iter().next().is_some();
        if has_routes && now < self.routes_fresh_until() && !self.requests.counter_timed_out(now) {
            return None;
        }
        self.lost_dependency(now)
    }

    /// Why the relay accepts no new work now, if it does not.
    pub(crate) fn not_ready_reason(&self, now: MonotonicMs) -> Option<Code> {
        if self.draining.is_some() {
            Some(Code::Draining)
        } else if let Some(code) = self.unavailable_for_all(now) {
            Some(code)
        } else if self.fleet.engines.values().all(|engine| !self.engines.is_usable(engine)) {
            Some(Code::NoEngine)
        } else {
            None
        }
    }

    pub(crate) fn record_refusal(&mut self, code: Code) {
        *self.refused.entry(code).or_default() += 1;
        if matches!(code, Code::Budget | Code::QueueFull | Code::Deadline) {
            self.refused_for_capacity += 1;
        }
    }

    fn health(&self, now: MonotonicMs) -> RelayHealth {
        RelayHealth {
            node: self.node,
            ready: self.not_ready_reason(now).is_none(),
            configuration: self.fleet.configuration.as_ref().map(|(version, _)| *version),
            position: self.follower.copy().position().to_string(),
            feed_age_ms: self.follower.confirmed_at().map(|at| now.since(at)),
            waiting: self.admission.waiting() + self.requests.waiting(),
            holding: self.admission.holding() + self.requests.holding(),
            items: self.items.len(),
            batch_calls: self.batches.client_calls(),
            unacknowledged_run_ends: self.batches.unreported_ends(),
            pending_lease_requests: self.batches.pending_leases(),
            drained_for_ms: self.draining.map(|draining| draining.elapsed(now)),
            engines: self.fleet.engines.values().filter(|e| self.engines.is_usable(e)).count(),
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

    /// Polls the feed when it is due.
    fn poll_feed(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        let health = Health::Edge {
            ready: self.not_ready_reason(now).is_none(),
            waiting: (self.admission.waiting() + self.requests.waiting_for_budget()) as u32,
            refused: self.refused_for_capacity,
        };
        if let Some((to, message)) = self.follower.tick(now, || health) {
            self.refused_for_capacity = 0;
            effects.push(Effect::Send { to, message: Message::Feed(message) });
        }
    }

    fn tick(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        self.poll_feed(now, effects);
        self.counter_tick(now, effects);
        self.admission_tick(now, effects);
        self.requests_tick(now, effects);
        self.engines_tick(now, effects);
        self.engine_failures_tick(now, effects);
        self.items_tick(now, effects);
        self.batches_tick(now, effects);
    }

    fn apply_feed_update(
        &mut self,
        from: std::net::SocketAddr,
        message: FeedMessage,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        if self.follower.receive(from, message) != FollowOutcome::Changed {
            return;
        }
        let previous = self.fleet.configuration.as_ref().map(|(version, _)| *version);
        let engines = std::mem::take(&mut self.fleet.engines);
        self.fleet = FleetSnapshot::read(self.follower.copy().rows());
        if self.fleet.engines != engines {
            self.engines.index = engine_index::EngineIndex::of(self.fleet.engines.values());
        }
        let version = self.fleet.configuration.as_ref().map(|(version, _)| *version);
        if let Some(version) = version.filter(|version| previous != Some(*version)) {
            let engines = self.fleet.engines.len();
            let text = format!("configuration {version} in force, {engines} engines listed");
            effects.push(Effect::Log { is_error: false, text });
            if let Some((_, configuration)) = &self.fleet.configuration {
                let limits = configuration.clients.clone();
                effects.push(Effect::StartTask(RelayTask::LimitClients(limits)));
            }
        }
        self.send_due_batch_calls(now, effects);
    }

    fn handle_call(
        &mut self,
        call: topazyard_types::CallId,
        request: RelayCall,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let value = match request {
            RelayCall::AdmitPrompt(prompt) => return self.admit_prompt(call, prompt, now, effects),
            RelayCall::Batch(request, timeout) => {
                return self.call_batch(call, request, timeout, now, effects);
            }
            RelayCall::SubmitBatch(batch, items) => {
                return self.submit_batch(call, batch, items, now, effects);
            }
            RelayCall::SubmitRoutedBatch(submission) => {
                return self.submit_routed(call, submission, now, effects);
            }
            RelayCall::AdmitRequest(arrival) => {
                return self.admit_request(call, arrival, now, effects);
            }
            RelayCall::RetryRequest(id, engine_outcome) => {
                self.retry_request(id, engine_outcome, now)
            }
            RelayCall::SuspectEngine(engine) => {
                self.engines.suspect(&engine, now);
                RelayResponse::Done
            }
            RelayCall::EngineFailed(engine, failure) => {
                self.record_engine_failure(engine, failure);
                RelayResponse::Done
            }
            RelayCall::EngineLoad(engine, load) => {
                self.engines.record_load(&engine, load, now);
                RelayResponse::Done
            }
            RelayCall::RequestEnded(id, engine_outcome) => {
                self.end_request(id, engine_outcome, now, effects);
                RelayResponse::Done
            }
            RelayCall::ConnectionProbed(engine, is_connected) => {
                self.engines.connection_probed(&engine, is_connected, now);
                RelayResponse::Done
            }
            RelayCall::DispatchPrompt(id, engine) => self.dispatch_prompt(id, &engine, now),
            RelayCall::RetryPrompt(id, failed) => self.retry_prompt(id, &failed, now),
            RelayCall::PromptEnded(id, engine_outcome) => {
                self.end_prompt(id, engine_outcome, now, effects);
                RelayResponse::Done
            }
            RelayCall::DispatchItem(run, engine) => self.dispatch_item(run, &engine, now),
            RelayCall::RoutedItemEnded(run, end, engine_outcome) => {
                self.routed_ended(run, end, engine_outcome, now, effects);
                RelayResponse::Done
            }
            RelayCall::ItemEnded(run, end) => {
                self.item_ended(run, end, now, effects);
                RelayResponse::Done
            }
            RelayCall::HealthChecked(engine, is_healthy) => {
                self.engines.health_checked(engine, is_healthy, now);
                RelayResponse::Done
            }
            RelayCall::Drain(times) => RelayResponse::Draining(self.drain(times, now, effects)),
            RelayCall::Ready => match self.not_ready_reason(now) {
                None => RelayResponse::Done,
                Some(code) => RelayResponse::Refused(ApiError::not_run(code)),
            },
            RelayCall::Health => RelayResponse::Health(Box::new(self.health(now))),
        };
        effects.push(Effect::Respond { call, value });
    }

    /// Starts a drain: from now on admits only what ends in time. A drain already in progress
    /// continues unchanged.
    fn drain(
        &mut self,
        times: crate::drain::DrainTimes,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) -> crate::drain::Draining {
        let started = crate::drain::Draining::start(times, now);
        let draining = *self.draining.get_or_insert(started);
        self.batches.limit_client_deadlines(draining.batch_call_deadline());
        self.drain_items(draining.abort_runs_at(), now, effects);
        draining
    }

    /// Forwards a shard's record to the nodes that hold the shard when one of them used a lower
    /// epoch: it may be cut off from control while this relay is not.
    pub(crate) fn forward_record(
        &self,
        shard: ShardId,
        sender_epoch: topazyard_types::Epoch,
        effects: &mut Outputs,
    ) {
        let Some(record) = self.fleet.shards.get(&shard).filter(|r| r.epoch > sender_epoch) else {
            return;
        };
        for holder in record.holders() {
            let message = Message::ShardRecord(shard, record.clone());
            effects.push(Effect::Send { to: holder.address, message });
        }
    }

    /// The shard's primary and epoch, as last received from the feed.
    pub(crate) fn primary_of(
        &self,
        shard: ShardId,
    ) -> Option<(std::net::SocketAddr, topazyard_types::Epoch)> {
        self.fleet.shards.get(&shard).map(|record| (record.primary.address, record.epoch))
    }
}

impl Machine for RelayMachine {
    type Call = RelayCall;
    type Response = RelayResponse;
    type Task = RelayTask;

    fn step(&mut self, input: Input<RelayCall>, now: MonotonicMs) -> Outputs {
        let mut effects = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut effects),
            Input::Call { call, request } => self.handle_call(call, request, now, &mut effects),
            Input::Frame { from, message, .. } => match message {
                // Only the local agent is trusted to report what is in force.
                Message::Feed(message) if from == self.agent => {
                    self.apply_feed_update(from, message, now, &mut effects);
                    if self.follower.is_fetching() {
                        self.poll_feed(now, &mut effects);
                    }
                }
                Message::Counter(message) => self.receive_counter(&message, now, &mut effects),
                Message::Batch(message) => self.receive_batch(message, now, &mut effects),
                _ => {}
            },
            Input::Written(_) | Input::Disk(_) => {}
        }
        effects
    }
}
