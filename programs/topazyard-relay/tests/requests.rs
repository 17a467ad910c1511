//! Requests on routes as the relay's machine lets them in, with the others' words put in by hand.

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
/// The budget of each pool. A block is a 4,096th of it: 100 tokens.
const LIMIT: u64 = 409_600;
const BLOCK: u64 = 100;
/// What may be held of a pool while the counter says nothing.
const UNASKED: u64 = LIMIT / 512;
const SPAN_MS: u64 = 750;
const FIRST: EngineOutcome = EngineOutcome::Completed(DurationMs(60));

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
    let patient = r#""kind":"safe","target_latency_ms":4000"#;
    let batch = r#""kind":"batch","batch":{"ceiling_tokens":9,"run_target_ms":9,"retention_ms":9}"#;
    vec![
        route("patient", "/", patient, main),
        route("brief", "/brief/", r#""kind":"unsafe","target_latency_ms":400"#, main),
        route("longer", "/brief/longer/", r#""kind":"safe""#, side),
        route("split", "/split/", patient, split),
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
    /// What the counter answers at once, if it does.
    grants: Option<bool>,
    asked: Vec<(HoldId, Tokens)>,
    released: Vec<HoldId>,
    /// What each renewal told to be used of the main pool.
    told_used: Vec<u64>,
    health: Vec<Health>,
    reached_for: Vec<EngineName>,
    notes: Vec<String>,
    returned: std::collections::BTreeMap<CallId, RelayResponse>,
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
            asked: Vec::new(),
            released: Vec::new(),
            told_used: Vec::new(),
            health: Vec::new(),
            reached_for: Vec::new(),
            notes: Vec::new(),
            returned: Default::default(),
        };
        relay.tick(0);
        relay.hear_feed();
        relay.tick(25);
        relay
    }

    /// One whose counter grants all.
    fn granted() -> Self {
        Self { grants: Some(true), ..Self::ready() }
    }

    fn step(&mut self, input: Input<RelayCall>) {
        let mut answers = Vec::new();
        for effect in self.machine.step(input, self.now) {
            match effect {
                Effect::Send { message: Message::Counter(message), .. } => match message.body {
                    CounterBody::Add(hold) => {
                        assert_eq!(hold.kind, HoldKind::Block);
                        if !self.asked.contains(&(hold.id, hold.cost)) {
                            self.asked.push((hold.id, hold.cost));
                        }
                        let body =
                            |granted| CounterBody::Added { id: hold.id, granted, engine: None };
                        answers.extend(self.grants.map(body));
                    }
                    CounterBody::Release(id) => self.released.push(id),
                    CounterBody::Renew { number, used, .. } if self.grants.is_some() => {
                        let of_main = used.iter().filter(|(pool, _)| pool.0 == "main");
                        self.told_used.extend(of_main.map(|(_, used)| used.0));
                        answers.push(CounterBody::Renewed { number });
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
                Effect::Respond { call, value } => drop(self.returned.insert(call, value)),
                Effect::Log { text, .. } => self.notes.push(text),
                Effect::StartTask(RelayTask::ProbeConnection(target)) => {
                    self.reached_for.push(target.engine)
                }
                _ => {}
            }
        }
        answers.into_iter().for_each(|body| self.hear_counter(body));
    }

    fn hear(&mut self, port: u16, message: Message) {
        self.step(Input::Frame { sender: NodeId(u64::from(port)), from: at(port), message });
    }

    fn hear_counter(&mut self, body: CounterBody) {
        self.hear(COUNTER, Message::Counter(CounterMessage { epoch: Epoch(1), body }));
    }

    /// The counter answers the asking that was sent last.
    fn settle(&mut self, granted: bool) {
        let (id, _) = *self.asked.last().expect("an asking");
        self.hear_counter(CounterBody::Added { id, granted, engine: None });
    }

    fn tick(&mut self, ms: u64) {
        self.now.0 += ms;
        self.step(Input::Tick);
    }

    /// Lets time pass in ticks of 25 ms while the feed goes on.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 25 {
            self.tick(25);
            self.hear_feed();
        }
    }

    /// Hears what is in force, if it asked.
    fn hear_feed(&mut self) {
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
        let news = FeedMessage::Update { nonce, position, content: UpdateContent::Snapshot(rows) };
        self.hear(AGENT, Message::Feed(news));
    }

    fn call(&mut self, request: RelayCall) -> CallId {
        self.last_id += 1;
        let call = CallId(self.last_id);
        self.step(Input::Call { call, request });
        call
    }

    /// A request comes; its id is that of its call.
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

    fn ask(&mut self, cost: u64) -> CallId {
        self.arrive("/x", cost, 10_000, &[])
    }

    fn end(&mut self, request: CallId, engine_outcome: EngineOutcome) {
        self.call(RelayCall::RequestEnded(PromptId(request.0), engine_outcome));
    }

    fn admitted(&self, request: CallId) -> Option<&Admitted> {
        match self.returned.get(&request) {
            Some(RelayResponse::Admitted(terms)) => Some(terms),
            _ => None,
        }
    }

    fn engine(&self, request: CallId) -> EngineName {
        self.admitted(request).expect("it is let in").chosen.target.engine.clone()
    }

    fn code(&self, request: CallId) -> Option<Code> {
        match self.returned.get(&request) {
            Some(RelayResponse::Refused(error)) => Some(error.code),
            _ => None,
        }
    }

    fn last_waiting(&self) -> u32 {
        match self.health.last() {
            Some(Health::Edge { waiting, .. }) => *waiting,
            other => panic!("{other:?}"),
        }
    }
}

/// A prompt's parts: one that it shares by that key, and one of its own.
fn parts(key: u8, own: u64) -> [PromptPart; 2] {
    let shared = PromptPart { digest: Digest::of(&[&[key]]), tokens: Tokens(500) };
    let last = PromptPart { digest: Digest::of(&[&own.to_be_bytes()]), tokens: Tokens(500) };
    [shared, last]
}

// Else every request would cost a round trip, and none could be served while the counter moves.
#[test]
fn a_request_that_fits_a_held_block_asks_for_nothing() {
    let mut relay = Relay::ready();
    let first = relay.ask(40);
    assert!(relay.admitted(first).is_none(), "nothing is granted yet");
    assert_eq!(relay.asked.len(), 1);
    assert_eq!(relay.asked[0].1, Tokens(BLOCK));
    relay.settle(true);
    let second = relay.ask(60);
    assert!(relay.admitted(first).is_some() && relay.admitted(second).is_some());
    assert_eq!(relay.asked.len(), 1);
    let third = relay.ask(1);
    assert!(relay.admitted(third).is_none(), "the block is used up");
    assert_eq!(relay.asked.len(), 2);
}

// Else the relays together could go above the budget, which the engines don't survive.
#[test]
fn no_sequence_holds_more_than_was_granted() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().with_iterations(300).for_each(|steps| {
        holds_no_more_than_granted(steps);
    });
}

// A long sequence of the same kind, with blocks that come and go over many spans.
#[test]
fn no_long_sequence_holds_more_than_was_granted() {
    let mut seed = 7_u64;
    let mut next = || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 56) as u8
    };
    let steps: Vec<(u8, u8)> = (0..4_000).map(|_| (next(), next())).collect();
    let (granted, released) = holds_no_more_than_granted(&steps);
    assert!(granted > 20 && released > 0, "{granted} {released}");
}

/// Gives how many blocks were granted and released.
fn holds_no_more_than_granted(steps: &[(u8, u8)]) -> (usize, usize) {
    let mut relay = Relay::ready();
    let mut costs = std::collections::BTreeMap::new();
    let mut granted = std::collections::BTreeMap::new();
    let mut answered = 0;
    for (what, how) in steps {
        let answer = |relay: &mut Relay, granted: &mut std::collections::BTreeMap<_, _>, grants| {
            let (id, cost) = *relay.asked.last().expect("an asking");
            if grants {
                granted.insert(id, cost.0);
            }
            relay.settle(grants);
        };
        match what % 8 {
            0..=2 => {
                let request = relay.ask(u64::from(*how) + 1);
                costs.insert(request, u64::from(*how) + 1);
            }
            3 | 4 => {
                let at = usize::from(*how) % costs.len().max(1);
                if let Some(request) = costs.keys().nth(at).copied() {
                    costs.remove(&request);
                    relay.end(request, FIRST);
                }
            }
            5 | 6 => {}
            _ => {
                // The counter is never silent here: whatever is asked is answered before time goes.
                while relay.asked.len() > answered {
                    answered = relay.asked.len();
                    answer(&mut relay, &mut granted, how % 3 != 0);
                }
                relay.tick(u64::from(*how));
                relay.hear_feed();
            }
        }
        if what % 8 == 5 && relay.asked.len() > answered {
            answered = relay.asked.len();
            answer(&mut relay, &mut granted, how % 4 != 0);
        }
        let held: u64 = costs
            .iter()
            .filter(|(request, _)| relay.admitted(**request).is_some())
            .map(|(_, cost)| *cost)
            .sum();
        let stands = granted.iter().filter(|(id, _)| !relay.released.contains(id));
        let room: u64 = stands.map(|(_, cost)| *cost).sum();
        assert!(held <= room, "{held} held of {room}");
    }
    (granted.len(), relay.released.len())
}

// Else a relay keeps for good what it needed in one bad moment, and the others starve.
#[test]
fn blocks_not_needed_for_two_spans_are_released_also_while_requests_come() {
    for with_requests in [false, true] {
        let mut relay = Relay::granted();
        let burst: Vec<CallId> = (0..10).map(|_| relay.ask(BLOCK)).collect();
        burst.into_iter().for_each(|request| relay.end(request, FIRST));
        let blocks = relay.asked.len();
        assert_eq!(blocks, 10);
        let mut passed_ms = 0;
        while passed_ms < 2 * SPAN_MS + 50 {
            if with_requests {
                let request = relay.ask(BLOCK / 2);
                assert!(relay.admitted(request).is_some());
                relay.end(request, FIRST);
            }
            relay.pass(25);
            passed_ms += 25;
            assert!(passed_ms > SPAN_MS || relay.released.is_empty(), "too early: {passed_ms}");
        }
        assert!(relay.released.len() >= blocks - 2, "{} released", relay.released.len());
        assert_eq!(relay.asked.len(), blocks, "nothing more was needed");
    }
}

// Else all requests fail while the counter changes hands; with more, the budget would mean nothing.
#[test]
fn while_the_counter_is_silent_a_little_is_held_unasked_and_not_more() {
    let mut relay = Relay::ready();
    let requests: Vec<CallId> = (0..5).map(|_| relay.ask(300)).collect();
    let let_in = |relay: &Relay| {
        requests.iter().filter(|request| relay.admitted(**request).is_some()).count()
    };
    relay.tick(19);
    assert_eq!(let_in(&relay), 0, "it may answer yet");
    relay.tick(1);
    assert_eq!(let_in(&relay), (UNASKED / 300) as usize);
    for _ in 0..20 {
        relay.tick(20);
        relay.hear_feed();
        assert_eq!(let_in(&relay), (UNASKED / 300) as usize);
    }
    relay.end(requests[0], FIRST);
    assert_eq!(let_in(&relay), 3, "what one lets go another may take");
}

// Else edges look laden whenever the counter is a little slow, and are scaled or avoided for that.
#[test]
fn only_requests_that_wait_after_a_refusal_count_as_waiting() {
    let mut relay = Relay::ready();
    relay.pass(150);
    // Too large to be let in unasked.
    let request = relay.ask(2 * UNASKED);
    relay.pass(200);
    assert!(!relay.returned.contains_key(&request));
    assert!(relay.health.len() >= 2, "it told how it fares meanwhile");
    assert_eq!(relay.last_waiting(), 0, "it merely waits for an answer");
    relay.settle(false);
    relay.pass(225);
    assert!(!relay.returned.contains_key(&request));
    assert_eq!(relay.last_waiting(), 1, "there is no room for it");
}

// Else clients would be told that something went wrong where there never was anything.
#[test]
fn a_request_without_a_route_gets_404_and_one_on_a_batch_route_its_name() {
    let mut relay = Relay::granted();
    let arrival = Arrival {
        id: PromptId(77),
        host: "other.example".to_owned(),
        path: "/x".to_owned(),
        cost: None,
        arrived_at: relay.now,
        wait: DurationMs(1_000),
        prefix: Vec::new(),
    };
    let stray = relay.call(RelayCall::AdmitRequest(arrival));
    assert_eq!(relay.code(stray).map(Code::status), Some(404));
    let batch = relay.arrive("/b/7", 1, 1_000, &[]);
    let of = relay.returned.get(&batch);
    assert!(matches!(of, Some(RelayResponse::OnBatchRoute(name)) if name.0 == "batch"));
    assert!(relay.asked.is_empty());
}

// Else engines work on what can't be there in time.
#[test]
fn a_deadline_that_no_engine_has_met_lately_is_refused_at_once() {
    let mut relay = Relay::granted();
    let late = relay.arrive("/x", 1, 0, &[]);
    assert_eq!(relay.code(late), Some(Code::Deadline));
    let request = relay.ask(1);
    relay.end(request, EngineOutcome::Completed(DurationMs(300)));
    let late = relay.arrive("/x", 1, 290, &[]);
    assert_eq!(relay.code(late), Some(Code::Deadline));
    let request = relay.arrive("/x", 1, 1_000, &[]);
    assert!(relay.admitted(request).is_some());
}

// Earlier, requests fail while control changes hands; later, they go by what is no longer in force.
#[test]
fn a_feed_is_stale_only_after_its_bound_and_stretch() {
    for (age_ms, code) in [(2_799, None), (2_800, Some(Code::StaleFeed))] {
        let mut relay = Relay::granted();
        // It was asked for 25 ms ago.
        relay.now.0 += age_ms - 25;
        let request = relay.ask(1);
        assert_eq!(relay.code(request), code, "{age_ms}");
        if let Some(terms) = relay.admitted(request) {
            assert!(
                terms.chosen.send_before.0 <= relay.now.0 + 1,
                "it may not be sent later either"
            );
        }
    }
}

// Else a route for one path takes the traffic of another.
#[test]
fn the_longest_prefix_decides() {
    let mut relay = Relay::granted();
    let request = relay.arrive("/brief/longer/1", 1, 1_000, &[]);
    assert_eq!(relay.engine(request).0, "s1");
    assert!(relay.admitted(request).is_some_and(|terms| terms.repeatable));
    let request = relay.arrive("/brief/long", 1, 1_000, &[]);
    assert_ne!(relay.engine(request).0, "s1");
    assert!(relay.admitted(request).is_some_and(|terms| !terms.repeatable));
}

// Else a pool that is to get a small part gets much or nothing.
#[test]
fn weights_split_a_routes_requests() {
    let mut relay = Relay::granted();
    let mut aside = 0;
    for _ in 0..400 {
        let request = relay.arrive("/split/x", 1, 1_000, &[]);
        aside += u32::from(relay.engine(request).0 == "s1");
        relay.end(request, FIRST);
    }
    assert!((70..=130).contains(&aside), "{aside} of 400 for a quarter");
}

// Else a client waits for a refusal as long as for a response.
#[test]
fn a_request_given_up_on_gets_its_answer_within_a_quarter_of_its_target() {
    let mut relay = Relay { grants: Some(false), ..Relay::ready() };
    let request = relay.arrive("/brief/x", 1, 10_000, &[]);
    let mut waited_ms = 0;
    while relay.code(request).is_none() && waited_ms < 1_000 {
        relay.tick(5);
        waited_ms += 5;
    }
    assert_eq!(relay.code(request), Some(Code::Budget));
    assert!((50..=100).contains(&waited_ms), "{waited_ms}");
    assert_eq!(relay.asked.len(), 3, "it is asked for again, but not at each tick");
}

// Else a request is taken without the time to finish it, and is dropped with the process.
#[test]
fn a_relay_that_drains_takes_a_late_request_only_if_it_is_over_in_time() {
    let mut relay = Relay::granted();
    let times = DrainTimes::within(DurationMs(8_000), DurationMs(2_500));
    relay.call(RelayCall::Drain(times));
    let early = relay.arrive("/x", 1, 10_000, &[]);
    assert!(relay.admitted(early).is_some(), "clients are still sent here");
    relay.tick(2_500);
    relay.hear_feed();
    let over_in_time = relay.arrive("/x", 1, 4_500, &[]);
    assert!(relay.admitted(over_in_time).is_some());
    let too_long = relay.arrive("/x", 1, 4_501, &[]);
    assert_eq!(relay.code(too_long), Some(Code::Draining));
}

// Else nobody hears of a request that a relay took without the time to finish it.
#[test]
fn a_late_request_that_outlasts_a_drain_is_a_violation() {
    let mut relay = Relay::granted();
    relay.call(RelayCall::Drain(DrainTimes::within(DurationMs(8_000), DurationMs(0))));
    let stuck = relay.arrive("/x", 1, 7_000, &[]);
    assert!(relay.admitted(stuck).is_some());
    relay.tick(7_000);
    assert_eq!(violations(Invariant::AdmittedWithTimeLeft), 0, "it may be about to end");
    relay.tick(250);
    relay.tick(250);
    assert_eq!(violations(Invariant::AdmittedWithTimeLeft), 1);
}

// Else requests go to an engine that is about to end, and are cut.
#[test]
fn an_engine_that_leaves_is_never_chosen() {
    let mut relay = Relay::granted();
    for engine in relay.engines.iter_mut().take(10) {
        engine.1 = EngineState::Leaving;
    }
    relay.pass(250);
    for key in 0..100 {
        let request = relay.arrive("/x", 1, 1_000, &parts(key, 1));
        let engine = relay.engine(request).0;
        assert!(engine == "m11" || engine == "m12", "{engine}");
        relay.end(request, FIRST);
    }
    relay.engines.iter_mut().for_each(|engine| engine.1 = EngineState::Leaving);
    relay.pass(250);
    let request = relay.ask(1);
    assert_eq!(relay.code(request), Some(Code::NoEngine));
}

/// Sends requests of one key until that engine has failed that often in a row.
fn fail_engine(relay: &mut Relay, engine: &EngineName, times: u32) {
    let mut failed = 0;
    for own in 0..1_000 {
        if failed == times {
            return;
        }
        let request = relay.arrive("/x", 1, 1_000, &parts(1, own));
        let is_it = relay.engine(request) == *engine;
        failed += u32::from(is_it);
        relay.end(request, if is_it { EngineOutcome::Failed } else { FIRST });
        relay.pass(25);
    }
    panic!("it was not chosen");
}

// Else each request pays for a dead engine with a try, again and again.
#[test]
fn an_engine_that_failed_twice_is_left_alone_until_it_was_reached() {
    let mut relay = Relay::granted();
    let request = relay.arrive("/x", 1, 1_000, &parts(1, 0));
    let engine = relay.engine(request);
    relay.end(request, FIRST);
    fail_engine(&mut relay, &engine, 2);
    let is_chosen = |relay: &mut Relay, ms: u64| {
        (0..ms / 25).any(|own| {
            let request = relay.arrive("/x", 1, 1_000, &parts(1, own));
            let is_it = relay.engine(request) == engine;
            relay.end(request, FIRST);
            relay.pass(25);
            is_it
        })
    };
    assert!(!is_chosen(&mut relay, 4_000));
    assert!(relay.reached_for.contains(&engine), "a connection is tried");
    relay.call(RelayCall::ConnectionProbed(engine.clone(), false));
    assert!(!is_chosen(&mut relay, 2_000), "it took none");
    relay.call(RelayCall::ConnectionProbed(engine.clone(), true));
    assert!(is_chosen(&mut relay, 1_000));
}

// Else an operator can't see from the log which engines fail, or the log fills up with one line
// for each failure.
#[test]
fn failures_of_engines_are_told_as_a_sum_and_once_when_one_is_paused() {
    let mut relay = Relay::granted();
    relay.notes.clear();
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
    relay.pass(9_000);
    assert!(relay.notes.is_empty(), "{:?}", relay.notes);
    relay.pass(20_000);
    let sum = "engines failed in 10 s: 1 broken, 2 foreign, 1 silent; most at m3: 3";
    assert_eq!(relay.notes, [sum]);
    relay.notes.clear();
    let request = relay.arrive("/x", 1, 1_000, &parts(1, 0));
    let engine = relay.engine(request);
    relay.end(request, FIRST);
    fail_engine(&mut relay, &engine, 2);
    relay.pass(100);
    assert_eq!(relay.notes, [format!("engine {engine} is paused after failures")]);
    relay.call(RelayCall::ConnectionProbed(engine.clone(), true));
    relay.notes.clear();
    for own in 0..100 {
        let request = relay.arrive("/x", 1, 1_000, &parts(1, own));
        relay.end(request, FIRST);
        relay.pass(25);
    }
    assert_eq!(relay.notes, [format!("engine {engine} is used again")]);
}

// Else each engine reads each shared part anew; or one engine gets all that share a part.
#[test]
fn prompts_of_one_key_stay_with_three_engines_and_spread_over_these() {
    for key in 0..10 {
        let mut relay = Relay::granted();
        let mut engines: Vec<EngineName> = Vec::new();
        for own in 0..30 {
            let request = relay.arrive("/x", 1, 1_000, &parts(key, own));
            engines.push(relay.engine(request));
            relay.end(request, FIRST);
            relay.pass(200);
        }
        assert!(engines.windows(2).all(|replica| replica[0] != replica[1]), "{engines:?}");
        let all: std::collections::BTreeSet<&EngineName> = engines.iter().collect();
        assert_eq!(all.len(), 3, "{engines:?}");
    }
}

// Else a crowd on one key waits at three engines while the others idle.
#[test]
fn laden_engines_of_a_key_are_passed_over() {
    let mut relay = Relay::granted();
    let mut engines = std::collections::BTreeSet::new();
    for own in 0..40 {
        let request = relay.arrive("/x", 1, 1_000, &parts(1, own));
        engines.insert(relay.engine(request));
    }
    assert!(engines.len() > 3, "{engines:?}");
}

// Else a request asks a full engine again and spends its tries there.
#[test]
fn another_engine_is_named_after_one_turned_the_request_away() {
    let mut relay = Relay::granted();
    let request = relay.arrive("/x", 1, 1_000, &parts(1, 1));
    let mut had = vec![relay.engine(request)];
    for _ in 0..11 {
        let call =
            relay.call(RelayCall::RetryRequest(PromptId(request.0), EngineOutcome::TurnedAway));
        let Some(RelayResponse::Chosen(chosen)) = relay.returned.get(&call) else {
            panic!("{:?}", relay.returned.get(&call));
        };
        let engine = chosen.target.engine.clone();
        assert!(!had.contains(&engine), "{engine:?} again");
        had.push(engine);
    }
    let call = relay.call(RelayCall::RetryRequest(PromptId(request.0), EngineOutcome::TurnedAway));
    assert_eq!(relay.code(call), Some(Code::NoEngine), "it had all");
}

// Else the counter lends to items what this relay's requests hold, or keeps what they don't.
#[test]
fn each_renewal_tells_what_requests_held_in_the_mean_since_the_one_before() {
    let mut relay = Relay::granted();
    let request = relay.ask(40);
    assert!(relay.admitted(request).is_some());
    relay.pass(1_200);
    assert_eq!(relay.told_used.last(), Some(&40));
    relay.end(request, EngineOutcome::Completed(DurationMs(9)));
    relay.pass(1_200);
    assert_eq!(relay.told_used.last(), Some(&0));
    assert!(relay.told_used.iter().all(|used| *used <= 40), "{:?}", relay.told_used);
    assert!(relay.told_used.iter().any(|used| (1..40).contains(used)), "{:?}", relay.told_used);
}

// Else an engine that says that it is full is sent as much as an idle one.
#[test]
fn an_engine_that_says_it_is_full_goes_behind_others_until_its_word_is_old() {
    let chosen_of_ten = |load: Option<EngineLoad>, wait_ms: u64| {
        let mut relay = Relay::granted();
        let first = relay.arrive("/x", 40, 10_000, &parts(1, 0));
        let engine = relay.engine(first);
        relay.end(first, EngineOutcome::Completed(DurationMs(50)));
        if let Some(load) = load {
            relay.call(RelayCall::EngineLoad(engine.clone(), load));
        }
        relay.pass(wait_ms);
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
