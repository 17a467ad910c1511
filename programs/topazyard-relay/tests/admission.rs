//! Admission by the relay's state machine, with the messages of the other nodes injected by the
//! test.

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
    responses: Vec<(CallId, RelayResponse)>,
    counter_requests: Vec<CounterBody>,
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
            responses: Vec::new(),
            counter_requests: Vec::new(),
            feed_nonce: 0,
        };
        relay.tick(0);
        relay.receive_feed();
        relay.tick(25);
        relay.receive_renewal();
        relay
    }

    fn step(&mut self, input: Input<RelayCall>) {
        for effect in self.machine.step(input, self.now) {
            match effect {
                Effect::Send { message: Message::Counter(message), .. } => {
                    self.counter_requests.push(message.body);
                }
                Effect::Send {
                    message: Message::Feed(FeedMessage::Request { nonce, .. }), ..
                } => {
                    self.feed_nonce = nonce;
                }
                Effect::Respond { call, value } => self.responses.push((call, value)),
                Effect::StartTask(RelayTask::CheckHealth(_) | RelayTask::LimitClients(_))
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

    fn receive_feed(&mut self) {
        self.receive_configuration(1, "m", topazyard_spec::EngineState::Ready);
    }

    /// Receives a configuration whose second model route is for that model, and an engine in that
    /// state.
    fn receive_configuration(
        &mut self,
        sequence: u64,
        model: &str,
        state: topazyard_spec::EngineState,
    ) {
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
        let update = FeedMessage::Update {
            nonce: self.feed_nonce,
            position,
            content: UpdateContent::Snapshot(rows),
        };
        self.step(Input::Frame {
            sender: NodeId(1),
            from: at(AGENT),
            message: Message::Feed(update),
        });
    }

    fn receive_counter(&mut self, body: CounterBody) {
        let message = Message::Counter(CounterMessage { epoch: Epoch(1), body });
        self.step(Input::Frame { sender: NodeId(2), from: at(COUNTER), message });
    }

    fn receive_renewal(&mut self) {
        let number = self.counter_requests.iter().rev().find_map(|body| match body {
            CounterBody::Renew { number, .. } => Some(*number),
            _ => None,
        });
        self.receive_counter(CounterBody::Renewed { number: number.expect("a renewal was sent") });
    }

    fn call(&mut self, request: RelayCall) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.step(Input::Call { call, request });
        call
    }

    fn admit_model(&mut self, id: u64, model: &str, wait_ms: u64) -> CallId {
        let prompt = Prompt {
            id: PromptId(id),
            model: model.into(),
            cost: Tokens(400),
            deadline: MonotonicMs(self.now.0 + wait_ms),
            prefix: Vec::new(),
        };
        self.call(RelayCall::AdmitPrompt(prompt))
    }

    fn admit(&mut self, id: u64, wait_ms: u64) -> CallId {
        self.admit_model(id, "m", wait_ms)
    }

    fn requested_holds(&self) -> Vec<HoldId> {
        let holds = self.counter_requests.iter().filter_map(|body| match body {
            CounterBody::Add(hold) => Some(hold.id),
            _ => None,
        });
        holds.collect()
    }

    fn response(&self, call: CallId) -> Option<&RelayResponse> {
        self.responses.iter().find(|(of, _)| *of == call).map(|(_, value)| value)
    }

    fn code(&self, call: CallId) -> Option<Code> {
        match self.response(call) {
            Some(RelayResponse::Refused(error)) => Some(error.code),
            _ => None,
        }
    }

    fn decide_hold(&mut self, granted: bool) {
        let id = *self.requested_holds().last().expect("a hold request");
        self.receive_counter(CounterBody::Added { id, granted, engine: None });
    }
}

#[test]
fn held_prompt_is_not_dispatched_on_a_stale_feed() {
    let mut relay = Relay::ready();
    let call = relay.admit(1, 60_000);
    relay.decide_hold(true);
    assert!(matches!(relay.response(call), Some(RelayResponse::SendTo(_))));
    let engine = EngineName::from("e1");
    let call = relay.call(RelayCall::DispatchPrompt(PromptId(1), engine.clone()));
    let Some(RelayResponse::SendBefore(until)) = relay.response(call) else {
        panic!("not dispatched")
    };
    assert!(*until <= MonotonicMs(relay.now.0 + 2_000));
    // The process was stopped: it received nothing meanwhile, and its first step is this call.
    relay.now.0 += 5_000;
    let call = relay.call(RelayCall::DispatchPrompt(PromptId(1), engine));
    assert_eq!(relay.code(call), Some(Code::StaleFeed));
}

#[test]
fn dispatch_check_sees_changes_since_admission() {
    use topazyard_spec::EngineState::{Leaving, Ready};
    for (model, state, code) in [("other", Ready, Code::NoLane), ("m", Leaving, Code::NoEngine)] {
        let mut relay = Relay::ready();
        relay.admit(1, 60_000);
        relay.decide_hold(true);
        relay.tick(300);
        relay.receive_configuration(2, model, state);
        let call = relay.call(RelayCall::DispatchPrompt(PromptId(1), "e1".into()));
        assert_eq!(relay.code(call), Some(code));
    }
}

#[test]
fn hold_is_released_once_when_its_prompt_ends() {
    let mut relay = Relay::ready();
    relay.admit(1, 60_000);
    relay.decide_hold(true);
    relay.call(RelayCall::PromptEnded(PromptId(1), EngineOutcome::Aborted));
    relay.call(RelayCall::PromptEnded(PromptId(1), EngineOutcome::Aborted));
    let released =
        relay.counter_requests.iter().filter(|b| matches!(b, CounterBody::Release(_))).count();
    assert_eq!(released, 1);
}

#[test]
fn grant_without_a_waiting_prompt_is_released() {
    let mut relay = Relay::ready();
    relay.admit(1, 60_000);
    relay.call(RelayCall::PromptEnded(PromptId(1), EngineOutcome::Aborted));
    let before = relay.counter_requests.len();
    relay.decide_hold(true);
    assert!(
        relay.counter_requests[before..].iter().any(|body| matches!(body, CounterBody::Release(_)))
    );
}

#[test]
fn prompt_without_budget_is_refused_long_before_its_deadline() {
    let mut relay = Relay::ready();
    let call = relay.admit(1, 60_000);
    let mut waited_ms = 0;
    while relay.response(call).is_none() && waited_ms < 60_000 {
        relay.decide_hold(false);
        relay.tick(50);
        relay.receive_feed();
        relay.receive_renewal();
        waited_ms += 50;
    }
    assert_eq!(relay.code(call), Some(Code::Budget));
    assert!(waited_ms <= 2_050, "{waited_ms}");
}

#[test]
fn passed_deadline_is_refused_without_a_hold_request() {
    let mut relay = Relay::ready();
    let call = relay.admit(1, 0);
    assert_eq!(relay.code(call), Some(Code::Deadline));
    assert!(relay.requested_holds().is_empty());
}

#[test]
fn full_queue_refuses() {
    let mut relay = Relay::ready();
    let calls: Vec<CallId> = (1..=6).map(|id| relay.admit(id, 60_000)).collect();
    assert_eq!(relay.code(calls[5]), Some(Code::QueueFull));
}

#[test]
fn higher_value_goes_first_when_budget_is_short() {
    let mut relay = Relay::ready();
    relay.admit(1, 60_000);
    relay.decide_hold(false);
    let usual = relay.admit(2, 60_000);
    let valuable = relay.admit_model(3, "worth", 60_000);
    relay.tick(50);
    relay.decide_hold(true);
    assert!(matches!(relay.response(valuable), Some(RelayResponse::SendTo(_))));
    assert!(relay.response(usual).is_none());
}

#[test]
fn model_without_a_model_route_is_refused_without_a_hold_request() {
    let mut relay = Relay::ready();
    let call = relay.admit_model(1, "unmapped", 60_000);
    assert_eq!(relay.code(call), Some(Code::NoLane));
    assert!(relay.requested_holds().is_empty());
}

#[test]
fn draining_relay_refuses_new_prompts_and_dispatches_held_ones() {
    let mut relay = Relay::ready();
    relay.admit(1, 60_000);
    relay.decide_hold(true);
    relay.call(RelayCall::Drain(DrainTimes::within(DurationMs(8_000), DurationMs(0))));
    let call = relay.admit(2, 60_000);
    assert_eq!(relay.code(call), Some(Code::Draining));
    let call = relay.call(RelayCall::DispatchPrompt(PromptId(1), "e1".into()));
    assert!(matches!(relay.response(call), Some(RelayResponse::SendBefore(_))));
}

#[test]
fn response_to_an_earlier_process_grants_nothing() {
    let mut relay = Relay::ready();
    let call = relay.admit(1, 60_000);
    for id in 0..50 {
        relay.receive_counter(CounterBody::Added { id: HoldId(id), granted: true, engine: None });
    }
    assert!(relay.response(call).is_none());
}
