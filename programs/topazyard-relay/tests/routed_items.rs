//! Batches of routed items as the relay's machine hands them in and runs them, with the others'
//! words put in by hand.

use topazyard_relay::drain::DrainTimes;
use topazyard_relay::front::items::{InvalidStream, ItemEvents};
use topazyard_relay::machine::EngineOutcome;
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
use topazyard_wire::state::{IN_FORCE, InForceRow, engine_key, route_key, shard_key};
use topazyard_wire::{Effect, Input, Machine as _, RowChange};

fn at(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

const AGENT: u16 = 1;
const COUNTER: u16 = 2;
const SHARD: u16 = 4;
const HOST: &str = "a.example";
const CANCEL: DurationMs = DurationMs(1_500);

struct Relay {
    machine: RelayMachine,
    now: MonotonicMs,
    last_call: u64,
    feed_nonce: u64,
    holds: Vec<HoldId>,
    released: Vec<HoldId>,
    renewals: Vec<u64>,
    calls: Vec<(u64, BatchCall)>,
    returned: Vec<(CallId, RelayResponse)>,
    runs: Vec<RoutedRun>,
    /// The primary of the shard with the batch and its epoch, as the feed says.
    shard: u16,
    epoch: Epoch,
}

impl Relay {
    /// A relay that has just become ready.
    fn ready() -> Self {
        let bounds = topazyard_spec::Bounds { cancel: CANCEL, ..Default::default() };
        let start = Start { node: NodeId(99), agent: at(AGENT), bounds };
        let mut relay = Self {
            machine: RelayMachine::new(&start),
            now: MonotonicMs(86_400_000),
            last_call: 0,
            feed_nonce: 0,
            holds: Vec::new(),
            released: Vec::new(),
            renewals: Vec::new(),
            calls: Vec::new(),
            returned: Vec::new(),
            runs: Vec::new(),
            shard: SHARD,
            epoch: Epoch(1),
        };
        relay.tick(0);
        relay.hear_feed(1, true);
        relay.tick(25);
        relay.hear_lease();
        relay
    }

    fn step(&mut self, input: Input<RelayCall>) {
        for effect in self.machine.step(input, self.now) {
            match effect {
                Effect::Send { message: Message::Counter(message), .. } => match message.body {
                    CounterBody::Add(hold) => self.holds.push(hold.id),
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
                    if let BatchBody::Call(call) = message.body {
                        self.calls.push((message.call, call));
                    }
                }
                Effect::Respond { call, value } => self.returned.push((call, value)),
                Effect::StartTask(RelayTask::RunRoutedItem(run)) => self.runs.push(*run),
                _ => {}
            }
        }
    }

    fn tick(&mut self, ms: u64) {
        self.now.0 += ms;
        self.step(Input::Tick);
    }

    fn hear(&mut self, port: u16, message: Message) {
        self.step(Input::Frame { sender: NodeId(u64::from(port)), from: at(port), message });
    }

    /// Hears of the engine, the shards and, maybe, the route.
    fn hear_feed(&mut self, sequence: u64, with_route: bool) {
        let text = r#"{"pools":[{"name":"main","limit_tokens":1000}],"lanes":[
            {"name":"usual","kind":"live","models":["m"],"pool":"main"}]}"#;
        let route = format!(
            r#"{{"name":"r","host":"{HOST}","path_prefix":"/b/","kind":"batch","timeout_ms":1000,
            "max_attempts":2,"pools":[{{"pool":"main","weight":1}}],"batch":
            {{"ceiling_tokens":700,"run_target_ms":8000,"retention_ms":40000}}}}"#
        );
        let route: topazyard_spec::Route = serde_json::from_str(&route).expect("a route");
        let node = |port| CoreNode { id: NodeId(u64::from(port)), address: at(port) };
        let record = |port| ShardRecord {
            epoch: self.epoch,
            primary: node(port),
            copies: 2,
            backups: Vec::new(),
            fallbacks: Vec::new(),
            learners: Vec::new(),
        };
        let engine = topazyard_spec::Engine {
            name: "e1".into(),
            address: at(9),
            pool: "main".into(),
            models: vec!["m".into()],
            state: topazyard_spec::EngineState::Ready,
            zone: None,
            slots: 64,
        };
        let version = topazyard_types::ConfigurationVersion(sequence);
        let mut rows = vec![
            RowChange::put(IN_FORCE, &InForceRow { version, text: text.to_owned() }),
            RowChange::put(shard_key(ShardId::COUNTER), &record(COUNTER)),
            RowChange::put(shard_key(batch().shard), &record(self.shard)),
            RowChange::put(engine_key(&engine.name), &engine),
        ];
        if with_route {
            rows.push(RowChange::put(route_key(&route.name), &route));
        }
        let rows = rows.into_iter().filter_map(|row| Some((row.key, row.value?))).collect();
        let position = LogPosition { epoch: Epoch(1), sequence: Sequence(sequence) };
        let news = FeedMessage::Update {
            nonce: self.feed_nonce,
            position,
            content: UpdateContent::Snapshot(rows),
        };
        self.hear(AGENT, Message::Feed(news));
    }

    fn hear_counter(&mut self, body: CounterBody) {
        self.hear(COUNTER, Message::Counter(CounterMessage { epoch: Epoch(1), body }));
    }

    fn hear_lease(&mut self) {
        let number = *self.renewals.last().expect("the lease is asked for");
        self.hear_counter(CounterBody::Renewed { number });
    }

    fn hear_shard(&mut self, call: u64, value: BatchResponse) {
        self.hear_shard_of(self.epoch, call, value);
    }

    fn hear_shard_of(&mut self, epoch: Epoch, call: u64, value: BatchResponse) {
        let body = BatchBody::Response(value);
        let message = BatchMessage { shard: batch().shard, epoch, call, body };
        self.hear(SHARD, Message::Batch(message));
    }

    /// The shard with the batch has another primary.
    fn move_shard(&mut self) {
        self.tick(200);
        (self.shard, self.epoch) = (SHARD + 1, Epoch(2));
        self.hear_feed(2, true);
    }

    fn call(&mut self, request: RelayCall) {
        self.last_call += 1;
        self.step(Input::Call { call: CallId(self.last_call), request });
    }

    fn submit(&mut self) {
        let (items, limit) = (vec![item()], DurationMs(1_000));
        self.call(RelayCall::SubmitRoutedBatch(batch(), "r".into(), items, limit));
    }

    fn last_return(&self) -> &RelayResponse {
        &self.returned.last().expect("it is answered").1
    }

    fn last_code(&self) -> Option<Code> {
        match self.last_return() {
            RelayResponse::Refused(ApiError { code, .. }) => Some(*code),
            _ => None,
        }
    }

    /// The call under which the shard was asked for items last.
    fn asked_lease(&self) -> (u64, u32) {
        let lease = self.calls.iter().rev().find_map(|(call, body)| match body {
            BatchCall::Lease { max_items: most, models, routes } => {
                assert!(models.is_empty() && *routes == ["r".into()]);
                Some((*call, *most))
            }
            _ => None,
        });
        lease.expect("items are asked for")
    }

    /// Leases an item and lets it have its cost.
    fn run_one(&mut self) -> Run {
        let run = Run { batch: batch(), item: ItemNumber(0), lease: 5 };
        let (call, _) = self.asked_lease();
        let route = Some(("r".into(), HOST.to_owned()));
        let progress = Progress { last_event: Some(3), text: "so far".to_owned() };
        let leased = LeasedItem { run, item: item(), route, progress };
        self.hear_shard(call, BatchResponse::Leased(vec![leased]));
        if let Some(id) = self.holds.last().copied() {
            self.hear_counter(CounterBody::Added { id, granted: true, engine: Some("e1".into()) });
        }
        run
    }

    fn finished(&self) -> Option<&RunEnd> {
        self.calls.iter().rev().find_map(|(_, call)| match call {
            BatchCall::Finish(_, end) => Some(end),
            _ => None,
        })
    }
}

fn batch() -> BatchId {
    BatchId::of_host(HOST, "7c41")
}

fn item() -> Item {
    Item {
        model: "m".into(),
        body: bytes::Bytes::from_static(b"prompt"),
        repeatable: true,
        cost: Tokens(10),
        routing: Some(ItemRouting {
            id: "e5".to_owned(),
            path: "/p/1".to_owned(),
            headers: Vec::new(),
            prefix: Vec::new(),
        }),
    }
}

#[test]
fn a_leased_item_runs_with_its_hold_and_without_a_recorded_start() {
    let mut relay = Relay::ready();
    relay.tick(25);
    assert_eq!(relay.asked_lease().1, 6, "of 64 places a relay leases a part of a part");
    let run = relay.run_one();
    let started = relay.runs.first().expect("it runs");
    assert_eq!((started.run, started.host.as_str()), (run, HOST));
    assert_eq!(started.progress.last_event, Some(3));
    assert!(!relay.calls.iter().any(|(_, call)| matches!(call, BatchCall::Start(_))));
    relay.call(RelayCall::RoutedItemEnded(
        run,
        RunEnd::StreamComplete { text: "x".to_owned() },
        EngineOutcome::Completed(DurationMs(9)),
    ));
    assert_eq!(relay.finished(), Some(&RunEnd::StreamComplete { text: "x".to_owned() }));
    assert_eq!(relay.released, relay.holds);
}

#[test]
fn an_item_is_not_sent_later_than_an_ended_batch_allows() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let asked = relay.now;
    let run = relay.run_one();
    relay.call(RelayCall::DispatchItem(run, EngineName("e1".to_owned())));
    let RelayResponse::SendBefore(until) = relay.last_return() else { panic!("it may go") };
    assert!(*until < asked.plus(CANCEL), "{until:?}");
}

#[test]
fn an_item_whose_route_went_is_handed_back() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let asked = relay.asked_lease();
    relay.tick(500);
    relay.hear_feed(2, false);
    assert_eq!(relay.asked_lease(), asked);
    relay.run_one();
    assert!(relay.runs.is_empty());
    assert_eq!(relay.finished(), Some(&RunEnd::NotRun));
}

#[test]
fn an_item_whose_route_goes_while_it_connects_is_not_sent() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let run = relay.run_one();
    relay.tick(500);
    relay.hear_feed(2, false);
    relay.call(RelayCall::DispatchItem(run, EngineName("e1".to_owned())));
    assert_eq!(relay.last_code(), Some(Code::NoLane));
}

#[test]
fn a_batch_goes_to_its_shard_with_the_ceiling_in_force() {
    let mut relay = Relay::ready();
    relay.submit();
    let (call, body) = relay.calls.last().cloned().expect("it is sent");
    let BatchCall::SubmitRouted(routed) = body else { panic!("{body:?}") };
    assert_eq!((routed.ceiling, routed.terms.max_attempts), (Tokens(700), 2));
    let standing =
        BatchStatus { batch: batch(), items: 1, returned: 0, waiting: 1, running: 0, ended: false };
    relay.hear_shard(call, BatchResponse::Accepted(standing));
    assert!(matches!(relay.last_return(), RelayResponse::Batch(BatchResponse::Accepted(_))));
}

#[test]
fn a_batch_that_does_not_fit_is_refused_and_one_of_unknown_fate_is_not() {
    let mut relay = Relay::ready();
    relay.submit();
    let call = relay.calls.last().expect("it is sent").0;
    relay.hear_shard(call, BatchResponse::CeilingReached);
    assert_eq!(relay.last_code().map(Code::status), Some(429));
    relay.submit();
    relay.tick(1_000);
    assert_eq!(relay.last_code().map(Code::status), Some(504), "it may have been taken");
}

// Else a batch that its shard's primary left unanswered as it ended is answered by nobody.
#[test]
fn a_batch_whose_shard_moves_is_handed_in_at_its_new_primary() {
    let mut relay = Relay::ready();
    relay.submit();
    let first = relay.calls.last().expect("it is sent").clone();
    relay.move_shard();
    relay.tick(400);
    let again = relay.calls.last().expect("it is sent again").clone();
    assert_eq!(again, first, "the same call, to the new primary");
    let standing =
        BatchStatus { batch: batch(), items: 1, returned: 0, waiting: 1, running: 0, ended: false };
    relay.hear_shard(again.0, BatchResponse::Accepted(standing));
    assert!(matches!(relay.last_return(), RelayResponse::Batch(BatchResponse::Accepted(_))));
}

// Else a client is promised that nothing runs of a batch that the new primary takes.
#[test]
fn a_former_primarys_refusal_says_nothing_of_a_batch_that_was_sent_to_its_successor() {
    let mut relay = Relay::ready();
    relay.submit();
    let call = relay.calls.last().expect("it is sent").0;
    relay.move_shard();
    relay.tick(400);
    let answered = relay.returned.len();
    relay.hear_shard_of(Epoch(1), call, BatchResponse::CeilingReached);
    assert_eq!(relay.returned.len(), answered, "its successor may take it");
    relay.hear_shard_of(Epoch(2), call, BatchResponse::CeilingReached);
    assert_eq!(relay.last_code().map(Code::status), Some(429));
}

#[test]
fn a_batch_whose_route_goes_before_it_was_sent_is_surely_not_taken() {
    let mut relay = Relay::ready();
    // Its shard is not heard of lately enough: it waits here.
    relay.tick(1_000);
    relay.submit();
    assert!(!relay.calls.iter().any(|(_, call)| matches!(call, BatchCall::SubmitRouted(_))));
    relay.hear_feed(2, false);
    relay.tick(1_000);
    assert_eq!(relay.last_code().map(Code::status), Some(503));
}

#[test]
fn a_batch_is_handed_in_only_on_a_route_that_is_there() {
    let mut relay = Relay::ready();
    let limit = DurationMs(1_000);
    relay.call(RelayCall::SubmitRoutedBatch(batch(), "other".into(), vec![item()], limit));
    assert_eq!(relay.last_code(), Some(Code::NoLane));
}

/// The relay's bounds: how long it may take to end.
fn grace() -> u64 {
    topazyard_spec::Bounds::default().grace.0
}

impl Relay {
    fn drain(&mut self) {
        let grace = topazyard_spec::Bounds::default().grace;
        self.call(RelayCall::Drain(DrainTimes::within(grace, DurationMs(0))));
    }

    fn is_under_way(&mut self) -> bool {
        self.call(RelayCall::Health);
        match self.last_return() {
            RelayResponse::Health(health) => health.under_way(),
            other => panic!("{other:?}"),
        }
    }

    /// Lets time go by while the agent still brings news, tick by tick.
    fn pass(&mut self, ms: u64) {
        for sequence in 0..ms / 200 {
            self.hear_feed(10 + self.now.0 + sequence, true);
            for _ in 0..8 {
                self.tick(25);
            }
        }
    }

    fn lease_without_room(&mut self) -> Run {
        let run = Run { batch: batch(), item: ItemNumber(0), lease: 5 };
        let (call, _) = self.asked_lease();
        let route = Some(("r".into(), HOST.to_owned()));
        let leased = LeasedItem { run, item: item(), route, progress: Progress::default() };
        self.hear_shard(call, BatchResponse::Leased(vec![leased]));
        run
    }
}

// Else items are leased to a relay that has ended, and wait for the end of their leases.
#[test]
fn a_relay_ends_only_after_it_heard_what_was_leased_to_it() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let (call, _) = relay.asked_lease();
    relay.drain();
    assert!(relay.is_under_way(), "items may be on their way here");
    relay.hear_shard(call, BatchResponse::Leased(Vec::new()));
    assert!(!relay.is_under_way());
}

// Else an item waits for the end of its lease, or is begun by a relay that ends.
#[test]
fn an_item_that_waits_for_room_is_handed_back_as_the_relay_drains() {
    let mut relay = Relay::ready();
    relay.tick(25);
    relay.lease_without_room();
    assert_eq!((relay.holds.len(), relay.finished()), (1, None));
    relay.drain();
    assert_eq!(relay.finished(), Some(&RunEnd::NotRun));
    assert_eq!(relay.released, relay.holds);
}

#[test]
fn items_leased_to_a_relay_that_drains_are_handed_back() {
    let mut relay = Relay::ready();
    relay.tick(25);
    relay.drain();
    relay.lease_without_room();
    assert_eq!(relay.finished(), Some(&RunEnd::NotRun));
    assert!(relay.runs.is_empty() && relay.released == relay.holds);
}

#[test]
fn an_item_that_still_connects_is_not_sent_by_a_relay_that_drains() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let run = relay.run_one();
    relay.drain();
    relay.call(RelayCall::DispatchItem(run, EngineName("e1".to_owned())));
    assert_eq!(relay.last_code(), Some(Code::Draining));
}

// Else the result of a run that ended just before its relay is lost with it, and the item runs again.
#[test]
fn a_relay_ends_only_after_the_end_of_a_run_was_noted() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let run = relay.run_one();
    relay.drain();
    assert!(relay.is_under_way());
    let done = RunEnd::StreamComplete { text: "x".to_owned() };
    relay.call(RelayCall::RoutedItemEnded(
        run,
        done.clone(),
        EngineOutcome::Completed(DurationMs(9)),
    ));
    assert!(relay.is_under_way(), "the shard may not have heard of it");
    let told = relay.calls.iter().rev().find_map(|(call, body)| match body {
        BatchCall::Finish(_, end) if *end == done => Some(*call),
        _ => None,
    });
    relay.hear_shard(told.expect("it is told"), BatchResponse::Acknowledged);
    assert!(!relay.is_under_way());
}

// Else a read that comes late in a drain, or a call that came before it, is cut by the process's end.
#[test]
fn a_batch_call_is_answered_before_a_draining_relay_ends() {
    for late in [0, grace() / 2, grace() * 3 / 4, grace() * 13 / 16] {
        let mut relay = Relay::ready();
        let read = BatchCall::RoutedResults { batch: batch(), after: 0 };
        relay.drain();
        relay.pass(late / 200 * 200);
        relay.returned.clear();
        // The limit is a client's that waits longer than the process lives.
        relay.call(RelayCall::Batch(read, DurationMs(grace())));
        let left = (grace() * 27 / 32).saturating_sub(late);
        relay.pass(left);
        assert_eq!(relay.last_code().map(Code::status), Some(503), "{late} ms after the signal");
    }
}

#[test]
fn a_batch_that_was_sent_before_the_signal_is_answered_before_the_relay_ends() {
    let mut relay = Relay::ready();
    let (items, limit) = (vec![item()], DurationMs(grace()));
    relay.call(RelayCall::SubmitRoutedBatch(batch(), "r".into(), items, limit));
    relay.drain();
    relay.returned.clear();
    relay.pass(grace() * 27 / 32);
    assert_eq!(relay.last_code().map(Code::status), Some(504), "it may have been taken");
}

fn events(pieces: &[&str], so_far: Progress) -> Result<Option<String>, InvalidStream> {
    let mut events = ItemEvents::resume(so_far);
    for piece in pieces {
        events.push(piece.as_bytes())?;
    }
    Ok(events.into_text())
}

#[test]
fn a_text_is_whole_only_if_its_events_follow_on_each_other() {
    let fresh = Progress::default;
    let whole = |text: &str| Ok(Some(text.to_owned()));
    assert_eq!(events(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], fresh()), whole("a\nb"));
    assert_eq!(events(&["id:0\r\nda", "ta:a\r\n\r", "\n"], fresh()), whole("a"));
    assert_eq!(events(&["some-version: 4\nid: 1\ndata: a\ndata: b\n\n"], fresh()), whole("a\nb"));
    assert_eq!(events(&["id: 1\ndata: a\n\nid: 3\ndata: b\n\n"], fresh()), Err(InvalidStream));
    assert_eq!(events(&["id: 1\ndata: a\n\nid: 1\ndata: a\n\n"], fresh()), Err(InvalidStream));
    assert_eq!(events(&["id: 2\ndata: a\n\n"], fresh()), Err(InvalidStream));
    assert_eq!(events(&["data: a\n\n"], fresh()), Err(InvalidStream));
    assert_eq!(events(&["id: 1\ndata: a\n\nid: 2\ndata: b\n"], fresh()), Ok(None));
    assert_eq!(events(&["id: 1\ndata: a\n\nid: 2\nda"], fresh()), Ok(None));
    assert_eq!(events(&[], fresh()), Ok(None));
}

#[test]
fn a_resumed_text_joins_only_at_the_event_after_the_last() {
    let so_far = || Progress { last_event: Some(2), text: "a\nb".to_owned() };
    assert_eq!(events(&["id: 3\ndata: c\n\n"], so_far()), Ok(Some("a\nb\nc".to_owned())));
    assert_eq!(events(&["id: 1\ndata: a\n\n"], so_far()), Err(InvalidStream));
    assert_eq!(events(&["id: 4\ndata: d\n\n"], so_far()), Err(InvalidStream));
}

// Else a relay keeps items from others, and asks for each in a loop, while there is no room.
#[test]
fn while_there_is_no_room_fewer_items_are_leased_and_one_at_a_time_asks() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let (call, most) = relay.asked_lease();
    assert_eq!(most, 6);
    let leased = |number| LeasedItem {
        run: Run { batch: batch(), item: ItemNumber(number), lease: u64::from(number) },
        item: item(),
        route: Some(("r".into(), HOST.to_owned())),
        progress: Progress::default(),
    };
    relay.hear_shard(call, BatchResponse::Leased((0..6).map(leased).collect()));
    let asked = relay.holds.clone();
    assert_eq!(asked.len(), 6, "what is leased asks at once");
    for id in asked {
        relay.hear_counter(CounterBody::Added { id, granted: false, engine: None });
    }
    relay.tick(25);
    assert_eq!(relay.holds.len(), 6);
    relay.tick(25);
    assert_eq!(relay.holds.len(), 7, "the one that waits longest asks again");
    let id = *relay.holds.last().expect("it asked");
    relay.hear_counter(CounterBody::Added { id, granted: true, engine: Some("e1".into()) });
    assert_eq!(relay.runs.len(), 1);
    assert_eq!(relay.holds.len(), 9, "a grant lets two more ask");
    assert_eq!(relay.asked_lease().0, call, "those that wait are as many as may");
}
