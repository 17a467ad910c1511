//! A relay's state machine with the messages of the other nodes injected by the test: a host's batch
//! routes, an engine in each of two pools, the counter and the primary of the host's shard.

#![allow(dead_code, reason = "each test file uses a part of it")]

use topazyard_relay::machine::batches::RoutedSubmission;
use topazyard_relay::machine::routed_items::RoutedRun;
use topazyard_relay::{RelayCall, RelayMachine, RelayResponse, RelayTask, Start};
use topazyard_types::{
    BatchId, CallId, DurationMs, EngineName, Epoch, HoldId, ItemNumber, LogPosition, MonotonicMs,
    NodeId, Sequence, ShardId, Tokens,
};
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::Message;
use topazyard_wire::message::batch::{
    BatchBody, BatchCall, BatchMessage, BatchResponse, BatchStatus, Item, ItemRouting, LeasedItem,
    Progress, Run, RunEnd,
};
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::message::counter::{CounterBody, CounterMessage};
use topazyard_wire::message::feed::{FeedMessage, UpdateContent};
use topazyard_wire::routes::RoutePaths;
use topazyard_wire::state::{IN_FORCE, InForceRow, engine_key, route_key, shard_key};
use topazyard_wire::{Effect, Input, Machine as _, RowChange};

pub fn at(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

pub const AGENT: u16 = 1;
pub const COUNTER: u16 = 2;
pub const SHARD: u16 = 4;
pub const HOST: &str = "a.example";
pub const CANCEL: DurationMs = DurationMs(1_500);

pub struct Relay {
    pub machine: RelayMachine,
    pub now: MonotonicMs,
    pub last_call: u64,
    pub feed_nonce: u64,
    pub holds: Vec<HoldId>,
    /// The engines at which the last hold may be granted, best first.
    pub hold_engines: Vec<EngineName>,
    pub released: Vec<HoldId>,
    pub renewals: Vec<u64>,
    pub calls: Vec<(u64, BatchCall)>,
    /// Total size of the messages sent to the batch's shard.
    pub bytes_to_shard: usize,
    /// Number of replica reads sent.
    pub replica_reads: usize,
    /// The calls that the batch's shard reports as received.
    pub received_calls: Vec<u64>,
    /// Whether the batch's shard reports that it serves when it is asked.
    pub shard_serves: bool,
    pub responses: Vec<(CallId, RelayResponse)>,
    pub runs: Vec<RoutedRun>,
    /// The primary of the batch's shard and its epoch, according to the feed.
    pub shard: u16,
    pub epoch: Epoch,
}

impl Relay {
    /// A relay that has just become ready.
    pub fn ready() -> Self {
        let bounds = topazyard_spec::Bounds { cancel: CANCEL, ..Default::default() };
        let start = Start { node: NodeId(99), agent: at(AGENT), bounds };
        let mut relay = Self {
            machine: RelayMachine::new(&start),
            now: MonotonicMs(86_400_000),
            last_call: 0,
            feed_nonce: 0,
            holds: Vec::new(),
            hold_engines: Vec::new(),
            released: Vec::new(),
            renewals: Vec::new(),
            calls: Vec::new(),
            bytes_to_shard: 0,
            replica_reads: 0,
            received_calls: Vec::new(),
            shard_serves: true,
            responses: Vec::new(),
            runs: Vec::new(),
            shard: SHARD,
            epoch: Epoch(1),
        };
        relay.tick(0);
        relay.receive_feed(1, true);
        relay.tick(25);
        relay.receive_renewal();
        relay
    }

    pub fn step(&mut self, input: Input<RelayCall>) {
        let mut serving_checks = 0;
        for effect in self.machine.step(input, self.now) {
            match effect {
                Effect::Send { message: Message::Counter(message), .. } => match message.body {
                    CounterBody::Add(hold) => {
                        self.holds.push(hold.id);
                        self.hold_engines = hold.engines;
                    }
                    CounterBody::Release(id) => self.released.push(id),
                    CounterBody::Renew { number, .. } => self.renewals.push(number),
                    _ => {}
                },
                Effect::Send {
                    message: Message::Feed(FeedMessage::Request { nonce, .. }), ..
                } => {
                    self.feed_nonce = nonce;
                }
                Effect::Send { to, message: Message::Batch(message) } => {
                    assert_eq!(to, at(self.shard));
                    self.bytes_to_shard += topazyard_wire::rows::encode(&message).len();
                    match message.body {
                        BatchBody::Call(call) => self.calls.push((message.call, call)),
                        BatchBody::ReplicaRead(_) => self.replica_reads += 1,
                        BatchBody::CheckServing => serving_checks += 1,
                        BatchBody::Response(_) | BatchBody::Serving { .. } => {}
                    }
                }
                Effect::Respond { call, value } => self.responses.push((call, value)),
                Effect::StartTask(RelayTask::RunRoutedItem(run)) => self.runs.push(*run),
                _ => {}
            }
        }
        (0..serving_checks).for_each(|_| self.answer_serving_check());
    }

    /// The batch's shard answers whether it serves.
    pub fn answer_serving_check(&mut self) {
        let body = match self.shard_serves {
            true => BatchBody::Serving { pending_calls: self.received_calls.clone() },
            false => BatchBody::Response(BatchResponse::NotPrimary),
        };
        let (shard, epoch) = (batch().shard, self.epoch);
        self.receive(self.shard, Message::Batch(BatchMessage { shard, epoch, call: 0, body }));
    }

    pub fn tick(&mut self, ms: u64) {
        self.now.0 += ms;
        self.step(Input::Tick);
    }

    pub fn receive(&mut self, port: u16, message: Message) {
        self.step(Input::Frame { sender: NodeId(u64::from(port)), from: at(port), message });
    }

    /// Receives the engines, the shards and, with `with_route`, the route.
    pub fn receive_feed(&mut self, sequence: u64, with_route: bool) {
        let routes = [batch_route("r", "/b/", "main")];
        self.receive_routes(sequence, if with_route { &routes } else { &[] });
    }

    /// Receives a configuration with these routes, the engines and the shards.
    pub fn receive_routes(&mut self, sequence: u64, routes: &[topazyard_spec::Route]) {
        let text = r#"{"pools":[{"name":"main","limit_tokens":1000},
            {"name":"other","limit_tokens":1000}],"lanes":[
            {"name":"usual","kind":"live","models":["m"],"pool":"main"}]}"#;
        let node = |port| CoreNode { id: NodeId(u64::from(port)), address: at(port) };
        let record = |port| ShardRecord {
            epoch: self.epoch,
            primary: node(port),
            copies: 2,
            backups: Vec::new(),
            fallbacks: Vec::new(),
            learners: Vec::new(),
        };
        let engine = |name: &str, port, pool: &str| topazyard_spec::Engine {
            name: name.into(),
            address: at(port),
            pool: pool.into(),
            models: vec!["m".into()],
            state: topazyard_spec::EngineState::Ready,
            zone: None,
            slots: 32,
        };
        let version = topazyard_types::ConfigurationVersion(sequence);
        let mut rows = vec![
            RowChange::put(IN_FORCE, &InForceRow { version, text: text.to_owned() }),
            RowChange::put(shard_key(ShardId::COUNTER), &record(COUNTER)),
            RowChange::put(shard_key(batch().shard), &record(self.shard)),
        ];
        for engine in [engine("e1", 9, "main"), engine("e2", 10, "other")] {
            rows.push(RowChange::put(engine_key(&engine.name), &engine));
        }
        rows.extend(routes.iter().map(|route| RowChange::put(route_key(&route.name), route)));
        let rows = rows.into_iter().filter_map(|row| Some((row.key, row.value?))).collect();
        let position = LogPosition { epoch: Epoch(1), sequence: Sequence(sequence) };
        let update = FeedMessage::Update {
            nonce: self.feed_nonce,
            position,
            content: UpdateContent::Snapshot(rows),
        };
        self.receive(AGENT, Message::Feed(update));
    }

    pub fn receive_counter(&mut self, body: CounterBody) {
        self.receive(COUNTER, Message::Counter(CounterMessage { epoch: Epoch(1), body }));
    }

    pub fn receive_renewal(&mut self) {
        let number = *self.renewals.last().expect("a renewal was sent");
        self.receive_counter(CounterBody::Renewed { number });
    }

    pub fn receive_shard(&mut self, call: u64, value: BatchResponse) {
        self.receive_shard_in_epoch(self.epoch, call, value);
    }

    pub fn receive_shard_in_epoch(&mut self, epoch: Epoch, call: u64, value: BatchResponse) {
        let body = BatchBody::Response(value);
        let message = BatchMessage { shard: batch().shard, epoch, call, body };
        self.receive(SHARD, Message::Batch(message));
    }

    /// The batch's shard gets another primary.
    pub fn move_shard(&mut self) {
        self.tick(200);
        (self.shard, self.epoch) = (SHARD + 1, Epoch(2));
        self.receive_feed(2, true);
    }

    pub fn call(&mut self, request: RelayCall) {
        self.last_call += 1;
        self.step(Input::Call { call: CallId(self.last_call), request });
    }

    pub fn submit(&mut self) {
        self.submit_at(HOST, "/b/7c41", DurationMs(1_000));
    }

    /// Submits a batch of one item at a host and path.
    pub fn submit_at(&mut self, host: &str, path: &str, timeout: DurationMs) {
        self.call(RelayCall::SubmitRoutedBatch(RoutedSubmission {
            batch: batch(),
            host: host.to_owned(),
            path: path.to_owned(),
            items: vec![item()],
            timeout,
        }));
    }

    pub fn last_response(&self) -> &RelayResponse {
        &self.responses.last().expect("a response").1
    }

    pub fn last_code(&self) -> Option<Code> {
        match self.last_response() {
            RelayResponse::Refused(ApiError { code, .. }) => Some(*code),
            _ => None,
        }
    }

    /// The last lease request: its call id, its maximum number of items and its routes.
    pub fn last_lease(&self) -> (u64, u32, &[RoutePaths]) {
        let lease = self.calls.iter().rev().find_map(|(call, body)| match body {
            BatchCall::Lease { max_items, models, routes } => {
                assert!(models.is_empty());
                Some((*call, *max_items, &routes[..]))
            }
            _ => None,
        });
        lease.expect("a lease request")
    }

    /// The last lease request, for items of the route `r`: its call id and its maximum number of
    /// items.
    pub fn last_lease_request(&self) -> (u64, u32) {
        let (call, max_items, routes) = self.last_lease();
        assert_eq!(routes, [original_paths()]);
        (call, max_items)
    }

    /// Leases an item with this progress to the relay.
    pub fn lease_item(&mut self, progress: Progress) -> Run {
        let run = Run { batch: batch(), item: ItemNumber(0), lease: 5 };
        let (call, _) = self.last_lease_request();
        let host = Some(HOST.to_owned());
        let leased = LeasedItem { run, item: item(), host, progress };
        self.receive_shard(call, BatchResponse::Leased(vec![leased]));
        run
    }

    /// Grants the last hold that was requested, at the best of its engines.
    pub fn grant_hold(&mut self) {
        if let Some(id) = self.holds.last().copied() {
            let engine = self.hold_engines.first().cloned();
            self.receive_counter(CounterBody::Added { id, granted: true, engine });
        }
    }

    /// Leases an item to the relay and grants its hold.
    pub fn start_item(&mut self) -> Run {
        let run = self.lease_item(progress());
        self.grant_hold();
        run
    }

    pub fn finished(&self) -> Option<&RunEnd> {
        self.calls.iter().rev().find_map(|(_, call)| match call {
            BatchCall::Finish(_, end) => Some(end),
            _ => None,
        })
    }
}

/// A batch route of the host.
pub fn batch_route(name: &str, path_prefix: &str, pool: &str) -> topazyard_spec::Route {
    let text = format!(
        r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{path_prefix}","kind":"batch",
        "timeout_ms":1000,"max_attempts":2,"pools":[{{"pool":"{pool}","weight":1}}],"batch":
        {{"ceiling_tokens":700,"run_target_ms":8000,"retention_ms":40000}}}}"#
    );
    serde_json::from_str(&text).expect("a route")
}

/// A route of the host for live requests.
pub fn live_route(name: &str, path_prefix: &str, pool: &str) -> topazyard_spec::Route {
    let route = batch_route(name, path_prefix, pool);
    topazyard_spec::Route { kind: topazyard_spec::RouteKind::Safe, batch: None, ..route }
}

/// The paths of the route `r`.
pub fn original_paths() -> RoutePaths {
    RoutePaths { host: HOST.to_owned(), prefix: "/b/".to_owned(), excluded: Vec::new() }
}

pub fn batch() -> BatchId {
    BatchId::of_host(HOST, "7c41")
}

/// The status of the batch when it has just been accepted.
pub fn status() -> BatchStatus {
    BatchStatus { batch: batch(), items: 1, returned: 0, waiting: 1, running: 0, ended: false }
}

/// The output of an interrupted run in the pool `main`.
pub fn progress() -> Progress {
    Progress { last_event: Some(3), text: "so far".to_owned(), pool: Some("main".into()) }
}

pub fn item() -> Item {
    Item {
        model: "m".into(),
        body: bytes::Bytes::from_static(b"prompt"),
        repeatable: true,
        cost: Tokens(10),
        routing: Some(ItemRouting {
            id: "e5".to_owned(),
            path: "/b/3/1".to_owned(),
            headers: Vec::new(),
            prefix: Vec::new(),
        }),
    }
}
