//! Admission of requests on routes by the relay's state machine, with the messages of the other
//! nodes injected by the test.

use topazyard_relay::drain::DrainTimes;
use topazyard_relay::machine::requests::{Admitted, Arrival, PromptPart};
use topazyard_relay::machine::{EngineLoad, EngineOutcome, PromptId};
use topazyard_relay::prompt::Failure;
use topazyard_relay::{RelayCall, RelayMachine, RelayResponse, RelayTask, Start};
use topazyard_spec::EngineState;
use topazyard_types::{
    CallId, ConfigurationVersion, Digest, DurationMs, EngineName, Epoch, HoldId, LogPosition,
    MonotonicMs, NodeId, Sequence, ShardId, Tokens,
};
use topazyard_wire::api::Code;
use topazyard_wire::invariants::{Invariant, violations};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::message::counter::{CounterBody, CounterMessage, HoldKind};
use topazyard_wire::message::feed::{FeedMessage, Health, UpdateContent};
use topazyard_wire::state::{IN_FORCE, InForceRow, engine_key, route_key, shard_key};
use topazyard_wire::{Effect, Input, Machine as _, RowChange};

const AGENT: u16 = 1;
const COUNTER: u16 = 2;
const HOST: &str = "a.example";
/// The budget of each pool. A block is one 4,096th of it: 100 tokens.
const LIMIT: u64 = 409_600;
const BLOCK: u64 = 100;
/// What may be held of a pool while the counter does not respond.
const UNGRANTED_ALLOWANCE: u64 = LIMIT / 512;
const PEAK_WINDOW_MS: u64 = 750;
const COMPLETED: EngineOutcome = EngineOutcome::Completed(DurationMs(60));

fn at(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn route(name: &str, prefix: &str, more: &str, pools: &str) -> topazyard_spec::Route {
    let text = format!(
        r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{prefix}","timeout_ms":10000,
        "max_attempts":3,"pools":[{pools}],{more}}}"#
    );
    serde_json::from_str(&text).expect("a route")
}

fn routes() -> Vec<topazyard_spec::Route> {
    let main = r#"{"pool":"main","weight":1}"#;
    let side = r#"{"pool":"side","weight":1}"#;
    let split =
        r#"{"pool":"main","weight":3},{"pool":"side","weight":1},{"pool":"none","weight":0}"#;
    let long_target = r#""kind":"safe","target_latency_ms":4000"#;
    let batch = r#""kind":"batch","batch":{"ceiling_tokens":9,"run_target_ms":9,"retention_ms":9}"#;
    vec![
        route("patient", "/", long_target, main),
        route("brief", "/brief/", r#""kind":"unsafe","target_latency_ms":400"#, main),
        route("longer", "/brief/longer/", r#""kind":"safe""#, side),
        route("split", "/split/", long_target, split),
        route("batch", "/b/", batch, main),
    ]
}

struct Relay {
    machine: RelayMachine,
    now: MonotonicMs,
    last_id: u64,
    feed_nonce: Option<u64>,
    feed_sequence: u64,
    engines: Vec<(EngineName, EngineState)>,
    /// The counter's immediate response to hold requests, if any.
    grants: Option<bool>,
    block_requests: Vec<(HoldId, Tokens)>,
    released: Vec<HoldId>,
    /// The use of the main pool reported by each renewal.
    reported_use: Vec<u64>,
    health: Vec<Health>,
    probed_engines: Vec<EngineName>,
    log_lines: Vec<String>,
    responses: std::collections::BTreeMap<CallId, RelayResponse>,
}

impl Relay {
    /// A relay that knows its routes, 12 engines in one pool and one in another.
    fn ready() -> Self {
        let bounds = topazyard_spec::Bounds {
            config_apply: DurationMs(2_000),
            config_stretch: DurationMs(1_000),
            ..Default::default()
        };
        let start = Start { node: NodeId(99), agent: at(AGENT), bounds };
        let main = (1..=12).map(|n| (EngineName(format!("m{n}")), EngineState::Ready));
        let mut relay = Self {
            machine: RelayMachine::new(&start),
            now: MonotonicMs(86_400_000),
            last_id: 0,
            feed_nonce: None,
            feed_sequence: 0,
            engines: main.chain([(EngineName("s1".to_owned()), EngineState::Ready)]).collect(),
            grants: None,
            block_requests: Vec::new(),
            released: Vec::new(),
            reported_use: Vec::new(),
            health: Vec::new(),
            probed_engines: Vec::new(),
            log_lines: Vec::new(),
            responses: Default::default(),
        };
        relay.tick(0);
        relay.receive_feed();
        relay.tick(25);
        relay
    }

    /// A relay whose counter grants every hold.
    fn granting() -> Self {
        Self { grants: Some(true), ..Self::ready() }
    }

    fn step(&mut self, input: Input<RelayCall>) {
        let mut responses_due = Vec::new();
        for effect in self.machine.step(input, self.now) {
            match effect {
                Effect::Send { message: Message::Counter(message), .. } => match message.body {
                    CounterBody::Add(hold) => {
                        assert_eq!(hold.kind, HoldKind::Block);
                        if !self.block_requests.contains(&(hold.id, hold.cost)) {
                            self.block_requests.push((hold.id, hold.cost));
                        }
                        let body =
                            |granted| CounterBody::Added { id: hold.id, granted, engine: None };
                        responses_due.extend(self.grants.map(body));
                    }
                    CounterBody::Release(id) => self.released.push(id),
                    CounterBody::Renew { number, used, .. } if self.grants.is_some() => {
                        let of_main = used.iter().filter(|(pool, _)| pool.0 == "main");
                        self.reported_use.extend(of_main.map(|(_, used)| used.0));
                        responses_due.push(CounterBody::Renewed { number });
                    }
                    _ => {}
                },
                Effect::Send {
                    message: Message::Feed(FeedMessage::Request { nonce, health, .. }),
                    ..
                } => {
                    self.feed_nonce = Some(nonce);
                    self.health.push(health);
                }
                Effect::Respond { call, value } => drop(self.responses.insert(call, value)),
                Effect::Log { text, .. } => self.log_lines.push(text),
                Effect::StartTask(RelayTask::ProbeConnection(target)) => {
                    self.probed_engines.push(target.engine)
                }
                _ => {}
            }
        }
        responses_due.into_iter().for_each(|body| self.receive_counter(body));
    }

    fn receive(&mut self, port: u16, message: Message) {
        self.step(Input::Frame { sender: NodeId(u64::from(port)), from: at(port), message });
    }

    fn receive_counter(&mut self, body: CounterBody) {
        self.receive(COUNTER, Message::Counter(CounterMessage { epoch: Epoch(1), body }));
    }

    /// The counter responds to the last hold request.
    fn decide(&mut self, granted: bool) {
        let (id, _) = *self.block_requests.last().expect("a block request");
        self.receive_counter(CounterBody::Added { id, granted, engine: None });
    }

    fn tick(&mut self, ms: u64) {
        self.now.0 += ms;
        self.step(Input::Tick);
    }

    /// Advances time in ticks of 25 ms with feed updates.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 25 {
            self.tick(25);
            self.receive_feed();
        }
    }

    /// Receives the configuration in force, if the relay requested it.
    fn receive_feed(&mut self) {
        let Some(nonce) = self.feed_nonce.take() else { return };
        self.feed_sequence += 1;
        let pool = |name: &str| format!(r#"{{"name":"{name}","limit_tokens":{LIMIT}}}"#);
        let text = format!(r#"{{"pools":[{},{},{}]}}"#, pool("main"), pool("side"), pool("none"));
        let node = |port| CoreNode { id: NodeId(u64::from(port)), address: at(port) };
        let record = ShardRecord {
            epoch: Epoch(1),
            primary: node(COUNTER),
            copies: 2,
            backups: Vec::new(),
            fallbacks: Vec::new(),
            learners: Vec::new(),
        };
        let version = ConfigurationVersion(1);
        let mut rows = vec![
            RowChange::put(IN_FORCE, &InForceRow { version, text }),
            RowChange::put(shard_key(ShardId::COUNTER), &record),
        ];
        rows.extend(routes().iter().map(|route| RowChange::put(route_key(&route.name), route)));
        for (name, state) in &self.engines {
            let engine = topazyard_spec::Engine {
                name: name.clone(),
                address: at(9),
                pool: if name.0 == "s1" { "side".into() } else { "main".into() },
                models: Vec::new(),
                state: *state,
                zone: None,
                slots: 0,
            };
            rows.push(RowChange::put(engine_key(name), &engine));
        }
        let rows = rows.into_iter().filter_map(|row| Some((row.key, row.value?))).collect();
        let position = LogPosition { epoch: Epoch(1), sequence: Sequence(self.feed_sequence) };
        let update =
            FeedMessage::Update { nonce, position, content: UpdateContent::Snapshot(rows) };
        self.receive(AGENT, Message::Feed(update));
    }

    fn call(&mut self, request: RelayCall) -> CallId {
        self.last_id += 1;
        let call = CallId(self.last_id);
        self.step(Input::Call { call, request });
        call
    }

    /// A request arrives; its id is that of its call.
    fn arrive(&mut self, path: &str, cost: u64, wait_ms: u64, prefix: &[PromptPart]) -> CallId {
        let arrival = Arrival {
            id: PromptId(self.last_id + 1),
            host: HOST.to_owned(),
            path: path.to_owned(),
            cost: Some(Tokens(cost)),
            arrived_at: self.now,
            wait: DurationMs(wait_ms),
            prefix: prefix.to_vec(),
        };
        self.call(RelayCall::AdmitRequest(arrival))
    }

    fn request(&mut self, cost: u64) -> CallId {
        self.arrive("/x", cost, 10_000, &[])
    }

    fn end(&mut self, request: CallId, engine_outcome: EngineOutcome) {
        self.call(RelayCall::RequestEnded(PromptId(request.0), engine_outcome));
    }

    fn admitted(&self, request: CallId) -> Option<&Admitted> {
        match self.responses.get(&request) {
            Some(RelayResponse::Admitted(terms)) => Some(terms),
            _ => None,
        }
    }

    fn engine(&self, request: CallId) -> EngineName {
        self.admitted(request).expect("the request is admitted").chosen.target.engine.clone()
    }

    fn code(&self, request: CallId) -> Option<Code> {
        match self.responses.get(&request) {
            Some(RelayResponse::Refused(error)) => Some(error.code),
            _ => None,
        }
    }

    fn last_reported_waiting(&self) -> u32 {
        match self.health.last() {
            Some(Health::Edge { waiting, .. }) => *waiting,
            other => panic!("{other:?}"),
        }
    }
}

/// The parts of a prompt: one shared by that key, and one of its own.
fn parts(key: u8, own: u64) -> [PromptPart; 2] {
    let shared = PromptPart { digest: Digest::of(&[&[key]]), tokens: Tokens(500) };
    let last = PromptPart { digest: Digest::of(&[&own.to_be_bytes()]), tokens: Tokens(500) };
    [shared, last]
}

// Guards against a round trip to the counter for each request, and against refusing all requests
// while the counter changes hands.
#[test]
fn request_within_a_held_block_needs_no_hold_request() {
    let mut relay = Relay::ready();
    let first = relay.request(40);
    assert!(relay.admitted(first).is_none(), "no block was granted yet");
    assert_eq!(relay.block_requests.len(), 1);
    assert_eq!(relay.block_requests[0].1, Tokens(BLOCK));
    relay.decide(true);
    let second = relay.request(60);
    assert!(relay.admitted(first).is_some() && relay.admitted(second).is_some());
    assert_eq!(relay.block_requests.len(), 1);
    let third = relay.request(1);
    assert!(relay.admitted(third).is_none(), "the block is used up");
    assert_eq!(relay.block_requests.len(), 2);
}

// Guards against relays that together exceed the budget, which overloads the engines.
#[test]
fn arbitrary_sequences_hold_no_more_than_was_granted() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().with_iterations(300).for_each(|steps| {
        holds_no_more_than_granted(steps);
    });
}

// The same with a long sequence, in which blocks are granted and released over many windows.
#[test]
fn long_sequence_holds_no_more_than_was_granted() {
    let mut seed = 7_u64;
    let mut next = || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 56) as u8
    };
    let steps: Vec<(u8, u8)> = (0..4_000).map(|_| (next(), next())).collect();
    let (granted, released) = holds_no_more_than_granted(&steps);
    assert!(granted > 20 && released > 0, "{granted} {released}");
}

/// Returns how many blocks were granted and released.
fn holds_no_more_than_granted(steps: &[(u8, u8)]) -> (usize, usize) {
    let mut relay = Relay::ready();
    let mut costs = std::collections::BTreeMap::new();
    let mut granted = std::collections::BTreeMap::new();
    let mut answered_count = 0;
    for (action, argument) in steps {
        let respond =
            |relay: &mut Relay, granted: &mut std::collections::BTreeMap<_, _>, grants| {
                let (id, cost) = *relay.block_requests.last().expect("a block request");
                if grants {
                    granted.insert(id, cost.0);
                }
                relay.decide(grants);
            };
        match action % 8 {
            0..=2 => {
                let request = relay.request(u64::from(*argument) + 1);
                costs.insert(request, u64::from(*argument) + 1);
            }
            3 | 4 => {
                let at = usize::from(*argument) % costs.len().max(1);
                if let Some(request) = costs.keys().nth(at).copied() {
                    costs.remove(&request);
                    relay.end(request, COMPLETED);
                }
            }
            5 | 6 => {}
            _ => {
                // The counter always responds here: each request is answered before time advances.
                while relay.block_requests.len() > answered_count {
                    answered_count = relay.block_requests.len();
                    respond(&mut relay, &mut granted, argument % 3 != 0);
                }
                relay.tick(u64::from(*argument));
                relay.receive_feed();
            }
        }
        if action % 8 == 5 && relay.block_requests.len() > answered_count {
            answered_count = relay.block_requests.len();
            respond(&mut relay, &mut granted, argument % 4 != 0);
        }
        let held: u64 = costs
            .iter()
            .filter(|(request, _)| relay.admitted(**request).is_some())
            .map(|(_, cost)| *cost)
            .sum();
        let valid = granted.iter().filter(|(id, _)| !relay.released.contains(id));
        let total: u64 = valid.map(|(_, cost)| *cost).sum();
        assert!(held <= total, "{held} held of {total}");
    }
    (granted.len(), relay.released.len())
}

// Guards against a relay that keeps the blocks of one peak forever, so that other relays starve.
#[test]
fn unneeded_blocks_are_released_after_two_windows() {
    for with_requests in [false, true] {
        let mut relay = Relay::granting();
        let burst: Vec<CallId> = (0..10).map(|_| relay.request(BLOCK)).collect();
        burst.into_iter().for_each(|request| relay.end(request, COMPLETED));
        let blocks = relay.block_requests.len();
        assert_eq!(blocks, 10);
        let mut elapsed_ms = 0;
        while elapsed_ms < 2 * PEAK_WINDOW_MS + 50 {
            if with_requests {
                let request = relay.request(BLOCK / 2);
                assert!(relay.admitted(request).is_some());
                relay.end(request, COMPLETED);
            }
            relay.advance(25);
            elapsed_ms += 25;
            assert!(
                elapsed_ms > PEAK_WINDOW_MS || relay.released.is_empty(),
                "released too early: {elapsed_ms}"
            );
        }
        assert!(relay.released.len() >= blocks - 2, "{} released", relay.released.len());
        assert_eq!(relay.block_requests.len(), blocks, "no further block was needed");
    }
}

// Guards against failing all requests while the counter changes hands, and against ignoring the
// budget meanwhile.
#[test]
fn limited_budget_is_held_while_the_counter_does_not_respond() {
    let mut relay = Relay::ready();
    let requests: Vec<CallId> = (0..5).map(|_| relay.request(300)).collect();
    let admitted_count = |relay: &Relay| {
        requests.iter().filter(|request| relay.admitted(**request).is_some()).count()
    };
    relay.tick(19);
    assert_eq!(admitted_count(&relay), 0, "the counter may still respond");
    relay.tick(1);
    assert_eq!(admitted_count(&relay), (UNGRANTED_ALLOWANCE / 300) as usize);
    for _ in 0..20 {
        relay.tick(20);
        relay.receive_feed();
        assert_eq!(admitted_count(&relay), (UNGRANTED_ALLOWANCE / 300) as usize);
    }
    relay.end(requests[0], COMPLETED);
    assert_eq!(admitted_count(&relay), 3, "the next request uses the released allowance");
}

// Guards against relays that report load whenever the counter responds slowly, and are scaled up or
// avoided for it.
#[test]
fn only_requests_waiting_after_a_refusal_are_reported_as_waiting() {
    let mut relay = Relay::ready();
    relay.advance(150);
    // Too large for the allowance without a grant.
    let request = relay.request(2 * UNGRANTED_ALLOWANCE);
    relay.advance(200);
    assert!(!relay.responses.contains_key(&request));
    assert!(relay.health.len() >= 2, "health was reported meanwhile");
    assert_eq!(relay.last_reported_waiting(), 0, "it only waits for a response");
    relay.decide(false);
    relay.advance(225);
    assert!(!relay.responses.contains_key(&request));
    assert_eq!(relay.last_reported_waiting(), 1, "it waits after a refusal");
}

// A request without a route is a client error, not a failure of the service.
#[test]
fn request_without_a_route_gets_404_and_one_on_a_batch_route_its_name() {
    let mut relay = Relay::granting();
    let arrival = Arrival {
        id: PromptId(77),
        host: "other.example".to_owned(),
        path: "/x".to_owned(),
        cost: None,
        arrived_at: relay.now,
        wait: DurationMs(1_000),
        prefix: Vec::new(),
    };
    let without_route = relay.call(RelayCall::AdmitRequest(arrival));
    assert_eq!(relay.code(without_route).map(Code::status), Some(404));
    let batch = relay.arrive("/b/7", 1, 1_000, &[]);
    let of = relay.responses.get(&batch);
    assert!(matches!(of, Some(RelayResponse::OnBatchRoute)));
    assert!(relay.block_requests.is_empty());
}

// Guards against engines working on requests that cannot meet their deadlines.
#[test]
fn deadline_below_the_best_recent_response_time_is_refused() {
    let mut relay = Relay::granting();
    let late = relay.arrive("/x", 1, 0, &[]);
    assert_eq!(relay.code(late), Some(Code::Deadline));
    let request = relay.request(1);
    relay.end(request, EngineOutcome::Completed(DurationMs(300)));
    let late = relay.arrive("/x", 1, 290, &[]);
    assert_eq!(relay.code(late), Some(Code::Deadline));
    let request = relay.arrive("/x", 1, 1_000, &[]);
    assert!(relay.admitted(request).is_some());
}

// With a shorter age, requests fail while control changes hands; with a longer one, they follow a
// configuration that is no longer in force.
#[test]
fn feed_is_stale_after_its_bound_and_stretch() {
    for (age_ms, code) in [(2_799, None), (2_800, Some(Code::StaleFeed))] {
        let mut relay = Relay::granting();
        // The feed was polled 25 ms ago.
        relay.now.0 += age_ms - 25;
        let request = relay.request(1);
        assert_eq!(relay.code(request), code, "{age_ms}");
        if let Some(terms) = relay.admitted(request) {
            assert!(
                terms.chosen.send_before.0 <= relay.now.0 + 1,
                "the dispatch deadline is bounded as well"
            );
        }
    }
}

// Guards against a route that takes the traffic of a more specific one.
#[test]
fn longest_path_prefix_selects_the_route() {
    let mut relay = Relay::granting();
    let request = relay.arrive("/brief/longer/1", 1, 1_000, &[]);
    assert_eq!(relay.engine(request).0, "s1");
    assert!(relay.admitted(request).is_some_and(|terms| terms.repeatable));
    let request = relay.arrive("/brief/long", 1, 1_000, &[]);
    assert_ne!(relay.engine(request).0, "s1");
    assert!(relay.admitted(request).is_some_and(|terms| !terms.repeatable));
}

// Guards against traffic splits that ignore the weights.
#[test]
fn weights_split_the_requests_of_a_route() {
    let mut relay = Relay::granting();
    let mut side_count = 0;
    for _ in 0..400 {
        let request = relay.arrive("/split/x", 1, 1_000, &[]);
        side_count += u32::from(relay.engine(request).0 == "s1");
        relay.end(request, COMPLETED);
    }
    assert!((70..=130).contains(&side_count), "{side_count} of 400 instead of a quarter");
}

// Guards against a refusal that takes as long as a response would.
#[test]
fn request_without_budget_is_refused_within_a_quarter_of_its_target() {
    let mut relay = Relay { grants: Some(false), ..Relay::ready() };
    let request = relay.arrive("/brief/x", 1, 10_000, &[]);
    let mut waited_ms = 0;
    while relay.code(request).is_none() && waited_ms < 1_000 {
        relay.tick(5);
        waited_ms += 5;
    }
    assert_eq!(relay.code(request), Some(Code::Budget));
    assert!((50..=100).contains(&waited_ms), "{waited_ms}");
    assert_eq!(relay.block_requests.len(), 3, "the block is requested again, but not at each tick");
}

// Guards against admitting a request without the time to finish it, which is lost when the process
// exits.
#[test]
fn draining_relay_admits_a_late_request_only_if_it_ends_in_time() {
    let mut relay = Relay::granting();
    let times = DrainTimes::within(DurationMs(8_000), DurationMs(2_500));
    relay.call(RelayCall::Drain(times));
    let early = relay.arrive("/x", 1, 10_000, &[]);
    assert!(relay.admitted(early).is_some(), "clients are still routed here");
    relay.tick(2_500);
    relay.receive_feed();
    let in_time = relay.arrive("/x", 1, 4_500, &[]);
    assert!(relay.admitted(in_time).is_some());
    let too_long = relay.arrive("/x", 1, 4_501, &[]);
    assert_eq!(relay.code(too_long), Some(Code::Draining));
}

// Guards against a request admitted without the time to finish it that goes unnoticed.
#[test]
fn late_request_that_outlasts_a_drain_is_a_violation() {
    let mut relay = Relay::granting();
    relay.call(RelayCall::Drain(DrainTimes::within(DurationMs(8_000), DurationMs(0))));
    let stuck = relay.arrive("/x", 1, 7_000, &[]);
    assert!(relay.admitted(stuck).is_some());
    relay.tick(7_000);
    assert_eq!(violations(Invariant::AdmittedWithTimeLeft), 0, "it may still be about to end");
    relay.tick(250);
    relay.tick(250);
    assert_eq!(violations(Invariant::AdmittedWithTimeLeft), 1);
}

// Guards against sending requests to an engine that is about to shut down.
#[test]
fn leaving_engine_is_never_selected() {
    let mut relay = Relay::granting();
    for engine in relay.engines.iter_mut().take(10) {
        engine.1 = EngineState::Leaving;
    }
    relay.advance(250);
    for key in 0..100 {
        let request = relay.arrive("/x", 1, 1_000, &parts(key, 1));
        let engine = relay.engine(request).0;
        assert!(engine == "m11" || engine == "m12", "{engine}");
        relay.end(request, COMPLETED);
    }
    relay.engines.iter_mut().for_each(|engine| engine.1 = EngineState::Leaving);
    relay.advance(250);
    let request = relay.request(1);
    assert_eq!(relay.code(request), Some(Code::NoEngine));
}

/// Sends requests with one key until that engine has failed this many times in a row.
fn fail_engine(relay: &mut Relay, engine: &EngineName, times: u32) {
    let mut failed = 0;
    for own in 0..1_000 {
        if failed == times {
            return;
        }
        let request = relay.arrive("/x", 1, 1_000, &parts(1, own));
        let is_it = relay.engine(request) == *engine;
        failed += u32::from(is_it);
        relay.end(request, if is_it { EngineOutcome::Failed } else { COMPLETED });
        relay.advance(25);
    }
    panic!("the engine was not selected often enough");
}

// Guards against repeatedly spending attempts on an engine that is down.
#[test]
fn engine_is_paused_after_two_failures_until_it_accepts_a_connection() {
    let mut relay = Relay::granting();
    let request = relay.arrive("/x", 1, 1_000, &parts(1, 0));
    let engine = relay.engine(request);
    relay.end(request, COMPLETED);
    fail_engine(&mut relay, &engine, 2);
    let is_chosen = |relay: &mut Relay, ms: u64| {
        (0..ms / 25).any(|own| {
            let request = relay.arrive("/x", 1, 1_000, &parts(1, own));
            let is_it = relay.engine(request) == engine;
            relay.end(request, COMPLETED);
            relay.advance(25);
            is_it
        })
    };
    assert!(!is_chosen(&mut relay, 4_000));
    assert!(relay.probed_engines.contains(&engine), "a connection is probed");
    relay.call(RelayCall::ConnectionProbed(engine.clone(), false));
    assert!(!is_chosen(&mut relay, 2_000), "it accepted no connection");
    relay.call(RelayCall::ConnectionProbed(engine.clone(), true));
    assert!(is_chosen(&mut relay, 1_000));
}

// Guards against a log without the names of failing engines, and against a log flooded by one line
// per failure.
#[test]
fn engine_failures_are_logged_as_a_summary_and_pauses_once() {
    let mut relay = Relay::granting();
    relay.log_lines.clear();
    let engine = EngineName("m3".to_owned());
    let other = EngineName("m4".to_owned());
    let gone = EngineName("gone".to_owned());
    for (engine, failure) in [
        (&other, Failure::ConnectionLost),
        (&engine, Failure::MismatchedResponse),
        (&engine, Failure::MismatchedResponse),
        (&gone, Failure::ConnectionLost),
        (&engine, Failure::TimedOut),
    ] {
        relay.call(RelayCall::EngineFailed(engine.clone(), failure));
    }
    relay.advance(9_000);
    assert!(relay.log_lines.is_empty(), "{:?}", relay.log_lines);
    relay.advance(20_000);
    let sum = "engines failed in 10 s: 1 broken, 2 foreign, 1 silent; most at m3: 3";
    assert_eq!(relay.log_lines, [sum]);
    relay.log_lines.clear();
    let request = relay.arrive("/x", 1, 1_000, &parts(1, 0));
    let engine = relay.engine(request);
    relay.end(request, COMPLETED);
    fail_engine(&mut relay, &engine, 2);
    relay.advance(100);
    assert_eq!(relay.log_lines, [format!("engine {engine} is paused after failures")]);
    relay.call(RelayCall::ConnectionProbed(engine.clone(), true));
    relay.log_lines.clear();
    for own in 0..100 {
        let request = relay.arrive("/x", 1, 1_000, &parts(1, own));
        relay.end(request, COMPLETED);
        relay.advance(25);
    }
    assert_eq!(relay.log_lines, [format!("engine {engine} is used again")]);
}

// Guards against prompts with a shared part going to all engines, so that each computes the part
// anew, or all to one engine.
#[test]
fn prompts_with_one_key_alternate_between_three_engines() {
    for key in 0..10 {
        let mut relay = Relay::granting();
        let mut engines: Vec<EngineName> = Vec::new();
        for own in 0..30 {
            let request = relay.arrive("/x", 1, 1_000, &parts(key, own));
            engines.push(relay.engine(request));
            relay.end(request, COMPLETED);
            relay.advance(200);
        }
        assert!(engines.windows(2).all(|pair| pair[0] != pair[1]), "{engines:?}");
        let all: std::collections::BTreeSet<&EngineName> = engines.iter().collect();
        assert_eq!(all.len(), 3, "{engines:?}");
    }
}

// Guards against requests with one popular key queueing at three engines while the others idle.
#[test]
fn other_engines_are_used_when_those_with_affinity_are_loaded() {
    let mut relay = Relay::granting();
    let mut engines = std::collections::BTreeSet::new();
    for own in 0..40 {
        let request = relay.arrive("/x", 1, 1_000, &parts(1, own));
        engines.insert(relay.engine(request));
    }
    assert!(engines.len() > 3, "{engines:?}");
}

// Guards against a request that spends its attempts on the same full engine.
#[test]
fn retry_after_a_turn_away_selects_an_untried_engine() {
    let mut relay = Relay::granting();
    let request = relay.arrive("/x", 1, 1_000, &parts(1, 1));
    let mut tried = vec![relay.engine(request)];
    for _ in 0..11 {
        let call =
            relay.call(RelayCall::RetryRequest(PromptId(request.0), EngineOutcome::TurnedAway));
        let Some(RelayResponse::Chosen(chosen)) = relay.responses.get(&call) else {
            panic!("{:?}", relay.responses.get(&call));
        };
        let engine = chosen.target.engine.clone();
        assert!(!tried.contains(&engine), "{engine:?} was selected again");
        tried.push(engine);
    }
    let call = relay.call(RelayCall::RetryRequest(PromptId(request.0), EngineOutcome::TurnedAway));
    assert_eq!(relay.code(call), Some(Code::NoEngine), "all engines were tried");
}

// Guards against the counter lending budget that this relay's requests hold to batch items, or
// reserving budget that they do not hold.
#[test]
fn renewal_reports_the_mean_use_since_the_previous_one() {
    let mut relay = Relay::granting();
    let request = relay.request(40);
    assert!(relay.admitted(request).is_some());
    relay.advance(1_200);
    assert_eq!(relay.reported_use.last(), Some(&40));
    relay.end(request, EngineOutcome::Completed(DurationMs(9)));
    relay.advance(1_200);
    assert_eq!(relay.reported_use.last(), Some(&0));
    assert!(relay.reported_use.iter().all(|used| *used <= 40), "{:?}", relay.reported_use);
    assert!(
        relay.reported_use.iter().any(|used| (1..40).contains(used)),
        "{:?}",
        relay.reported_use
    );
}

// Guards against sending as many requests to an engine that reports full slots as to an idle one.
#[test]
fn engine_that_reports_full_slots_is_deprioritized_until_the_report_decays() {
    let chosen_of_ten = |load: Option<EngineLoad>, wait_ms: u64| {
        let mut relay = Relay::granting();
        let first = relay.arrive("/x", 40, 10_000, &parts(1, 0));
        let engine = relay.engine(first);
        relay.end(first, EngineOutcome::Completed(DurationMs(50)));
        if let Some(load) = load {
            relay.call(RelayCall::EngineLoad(engine.clone(), load));
        }
        relay.advance(wait_ms);
        let requests: Vec<CallId> =
            (1..=10).map(|own| relay.arrive("/x", 40, 10_000, &parts(1, own))).collect();
        requests.into_iter().filter(|request| relay.engine(*request) == engine).count()
    };
    let full = EngineLoad { running: 9, waiting: 3, slots: 9 };
    let idle = EngineLoad { running: 0, waiting: 0, slots: 9 };
    assert_eq!(chosen_of_ten(Some(full), 25), 0);
    assert!(chosen_of_ten(Some(idle), 25) > 0);
    assert_eq!(chosen_of_ten(Some(full), 10_000), chosen_of_ten(None, 10_000));
}
