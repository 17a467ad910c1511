//! Admission as the relay's machine does it, with the others' words put in by hand.

use topazyard_relay::drain::DrainTimes;
use topazyard_relay::machine::{EngineOutcome, Prompt, PromptId};
use topazyard_relay::{RelayCall, RelayMachine, RelayResponse, RelayTask, Start};
use topazyard_types::{
    CallId, DurationMs, EngineName, Epoch, HoldId, LogPosition, MonotonicMs, NodeId, Sequence,
    ShardId, Tokens,
};
use topazyard_wire::api::Code;
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::message::counter::{CounterBody, CounterMessage};
use topazyard_wire::message::feed::{FeedMessage, UpdateContent};
use topazyard_wire::state::{IN_FORCE, InForceRow, engine_key, shard_key};
use topazyard_wire::{Effect, Input, Machine as _, RowChange};

fn at(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

const AGENT: u16 = 1;
const COUNTER: u16 = 2;

struct Relay {
    machine: RelayMachine,
    now: MonotonicMs,
    last_call: u64,
    returned: Vec<(CallId, RelayResponse)>,
    asked: Vec<CounterBody>,
    feed_nonce: u64,
}

impl Relay {
    /// A relay that has just become ready.
    fn ready() -> Self {
        let start =
            Start { node: NodeId(99), agent: at(AGENT), bounds: topazyard_spec::Bounds::default() };
        let mut relay = Self {
            machine: RelayMachine::new(&start),
            now: MonotonicMs(86_400_000),
            last_call: 0,
            returned: Vec::new(),
            asked: Vec::new(),
            feed_nonce: 0,
        };
        relay.tick(0);
        relay.hear_feed();
        relay.tick(25);
        relay.hear_lease();
        relay
    }

    fn step(&mut self, input: Input<RelayCall>) {
        for effect in self.machine.step(input, self.now) {
            match effect {
                Effect::Send { message: Message::Counter(message), .. } => {
                    self.asked.push(message.body);
                }
                Effect::Send {
                    message: Message::Feed(FeedMessage::Request { nonce, .. }), ..
                } => {
                    self.feed_nonce = nonce;
                }
                Effect::Respond { call, value } => self.returned.push((call, value)),
                Effect::StartTask(RelayTask::CheckHealth(_))
                | Effect::Send { .. }
                | Effect::Log { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }

    fn tick(&mut self, ms: u64) {
        self.now.0 += ms;
        self.step(Input::Tick);
    }

    fn hear_feed(&mut self) {
        self.hear_news(1, "m", topazyard_spec::EngineState::Ready);
    }

    /// Hears that the usual lane takes that model, and that the engine stands so.
    fn hear_news(&mut self, sequence: u64, model: &str, state: topazyard_spec::EngineState) {
        let text = r#"{"pools":[{"name":"main","limit_tokens":1000,"queue_depth":3}],"lanes":[
            {"name":"worth","kind":"live","models":["worth"],"pool":"main","value":9},
            {"name":"usual","kind":"live","models":["m"],"pool":"main"}]}"#;
        let text = text.replace("[\"m\"]", &format!("[{model:?}]"));
        let version = topazyard_types::ConfigurationVersion(sequence);
        let node = |port| CoreNode { id: NodeId(u64::from(port)), address: at(port) };
        let record = ShardRecord {
            epoch: Epoch(1),
            primary: node(COUNTER),
            copies: 2,
            backups: vec![node(3)],
            fallbacks: Vec::new(),
            learners: Vec::new(),
        };
        let engine = topazyard_spec::Engine {
            name: "e1".into(),
            address: at(9),
            pool: "main".into(),
            models: vec!["m".into(), "worth".into()],
            state,
            zone: None,
            slots: 0,
        };
        let rows = [
            RowChange::put(IN_FORCE, &InForceRow { version, text }),
            RowChange::put(shard_key(ShardId::COUNTER), &record),
            RowChange::put(engine_key(&engine.name), &engine),
        ];
        let rows = rows.into_iter().filter_map(|row| Some((row.key, row.value?))).collect();
        let position = LogPosition { epoch: Epoch(1), sequence: Sequence(sequence) };
        let news = FeedMessage::Update {
            nonce: self.feed_nonce,
            position,
            content: UpdateContent::Snapshot(rows),
        };
        self.step(Input::Frame {
            sender: NodeId(1),
            from: at(AGENT),
            message: Message::Feed(news),
        });
    }

    fn counter_says(&mut self, body: CounterBody) {
        let message = Message::Counter(CounterMessage { epoch: Epoch(1), body });
        self.step(Input::Frame { sender: NodeId(2), from: at(COUNTER), message });
    }

    fn hear_lease(&mut self) {
        let number = self.asked.iter().rev().find_map(|body| match body {
            CounterBody::Renew { number, .. } => Some(*number),
            _ => None,
        });
        self.counter_says(CounterBody::Renewed { number: number.expect("a renewal") });
    }

    fn call(&mut self, request: RelayCall) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.step(Input::Call { call, request });
        call
    }

    fn allow_model(&mut self, id: u64, model: &str, wait_ms: u64) -> CallId {
        let prompt = Prompt {
            id: PromptId(id),
            model: model.into(),
            cost: Tokens(400),
            deadline: MonotonicMs(self.now.0 + wait_ms),
            prefix: Vec::new(),
        };
        self.call(RelayCall::AdmitPrompt(prompt))
    }

    fn allow(&mut self, id: u64, wait_ms: u64) -> CallId {
        self.allow_model(id, "m", wait_ms)
    }

    fn asked_holds(&self) -> Vec<HoldId> {
        let holds = self.asked.iter().filter_map(|body| match body {
            CounterBody::Add(hold) => Some(hold.id),
            _ => None,
        });
        holds.collect()
    }

    fn returned(&self, call: CallId) -> Option<&RelayResponse> {
        self.returned.iter().find(|(of, _)| *of == call).map(|(_, value)| value)
    }

    fn code(&self, call: CallId) -> Option<Code> {
        match self.returned(call) {
            Some(RelayResponse::Refused(error)) => Some(error.code),
            _ => None,
        }
    }

    fn settle(&mut self, granted: bool) {
        let id = *self.asked_holds().last().expect("an asking");
        self.counter_says(CounterBody::Added { id, granted, engine: None });
    }
}

#[test]
fn a_granted_prompt_may_be_sent_only_while_all_it_rests_on_is_fresh() {
    let mut relay = Relay::ready();
    let call = relay.allow(1, 60_000);
    relay.settle(true);
    assert!(matches!(relay.returned(call), Some(RelayResponse::SendTo(_))));
    let engine = EngineName::from("e1");
    let call = relay.call(RelayCall::DispatchPrompt(PromptId(1), engine.clone()));
    let Some(RelayResponse::SendBefore(until)) = relay.returned(call) else {
        panic!("not allowed")
    };
    assert!(*until <= MonotonicMs(relay.now.0 + 2_000));
    // It froze: nothing was heard meanwhile, and the first thing it does is to go on.
    relay.now.0 += 5_000;
    let call = relay.call(RelayCall::DispatchPrompt(PromptId(1), engine));
    assert_eq!(relay.code(call), Some(Code::StaleFeed));
}

#[test]
fn what_changed_since_it_was_held_is_seen_by_the_last_check() {
    use topazyard_spec::EngineState::{Leaving, Ready};
    for (model, state, code) in [("other", Ready, Code::NoLane), ("m", Leaving, Code::NoEngine)] {
        let mut relay = Relay::ready();
        relay.allow(1, 60_000);
        relay.settle(true);
        relay.tick(300);
        relay.hear_news(2, model, state);
        let call = relay.call(RelayCall::DispatchPrompt(PromptId(1), "e1".into()));
        assert_eq!(relay.code(call), Some(code));
    }
}

#[test]
fn a_hold_is_released_once_whichever_way_its_prompt_ends() {
    let mut relay = Relay::ready();
    relay.allow(1, 60_000);
    relay.settle(true);
    relay.call(RelayCall::PromptEnded(PromptId(1), EngineOutcome::Aborted));
    relay.call(RelayCall::PromptEnded(PromptId(1), EngineOutcome::Aborted));
    let released = relay.asked.iter().filter(|b| matches!(b, CounterBody::Release(_))).count();
    assert_eq!(released, 1);
}

#[test]
fn a_grant_that_nobody_waits_for_is_given_back() {
    let mut relay = Relay::ready();
    relay.allow(1, 60_000);
    relay.call(RelayCall::PromptEnded(PromptId(1), EngineOutcome::Aborted));
    let before = relay.asked.len();
    relay.settle(true);
    assert!(relay.asked[before..].iter().any(|body| matches!(body, CounterBody::Release(_))));
}

#[test]
fn a_prompt_is_given_up_on_at_once_and_not_held_until_its_deadline() {
    let mut relay = Relay::ready();
    let call = relay.allow(1, 60_000);
    let mut waited_ms = 0;
    while relay.returned(call).is_none() && waited_ms < 60_000 {
        relay.settle(false);
        relay.tick(50);
        relay.hear_feed();
        relay.hear_lease();
        waited_ms += 50;
    }
    assert_eq!(relay.code(call), Some(Code::Budget));
    assert!(waited_ms <= 2_050, "{waited_ms}");
}

#[test]
fn a_deadline_that_has_passed_is_refused_before_the_counter_is_asked() {
    let mut relay = Relay::ready();
    let call = relay.allow(1, 0);
    assert_eq!(relay.code(call), Some(Code::Deadline));
    assert!(relay.asked_holds().is_empty());
}

#[test]
fn an_queue_that_is_full_refuses() {
    let mut relay = Relay::ready();
    let calls: Vec<CallId> = (1..=6).map(|id| relay.allow(id, 60_000)).collect();
    assert_eq!(relay.code(calls[5]), Some(Code::QueueFull));
}

#[test]
fn when_room_is_short_what_is_worth_more_goes_first_and_equals_in_order() {
    let mut relay = Relay::ready();
    relay.allow(1, 60_000);
    relay.settle(false);
    let usual = relay.allow(2, 60_000);
    let worth = relay.allow_model(3, "worth", 60_000);
    relay.tick(50);
    relay.settle(true);
    assert!(matches!(relay.returned(worth), Some(RelayResponse::SendTo(_))));
    assert!(relay.returned(usual).is_none());
}

#[test]
fn a_model_without_a_lane_reaches_neither_counter_nor_engine() {
    let mut relay = Relay::ready();
    let call = relay.allow_model(1, "unmapped", 60_000);
    assert_eq!(relay.code(call), Some(Code::NoLane));
    assert!(relay.asked_holds().is_empty());
}

#[test]
fn a_relay_that_drains_takes_nothing_new_and_finishes_what_it_has() {
    let mut relay = Relay::ready();
    relay.allow(1, 60_000);
    relay.settle(true);
    relay.call(RelayCall::Drain(DrainTimes::within(DurationMs(8_000), DurationMs(0))));
    let call = relay.allow(2, 60_000);
    assert_eq!(relay.code(call), Some(Code::Draining));
    let call = relay.call(RelayCall::DispatchPrompt(PromptId(1), "e1".into()));
    assert!(matches!(relay.returned(call), Some(RelayResponse::SendBefore(_))));
}

#[test]
fn an_answer_to_a_former_life_grants_nothing() {
    let mut relay = Relay::ready();
    let call = relay.allow(1, 60_000);
    for id in 0..50 {
        relay.counter_says(CounterBody::Added { id: HoldId(id), granted: true, engine: None });
    }
    assert!(relay.returned(call).is_none());
}
