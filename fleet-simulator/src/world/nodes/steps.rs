//! Steps of the machines: what they are told, and their effects on the world.

use super::{Body, NodeIndex};
use crate::world::{Caller, Event, World};
use topazyard_relay::{RelayCall, RelayResponse, RelayTask};
use topazyard_types::{CallId, NodeId};
use topazyard_wire::disk::DiskState;
use topazyard_wire::message::operate::{OperatorOutcome, OperatorRequest};
use topazyard_wire::{Effect, Input, Machine as _, Message, WriteToken};

/// How often a process ticks.
pub(super) const TICK_US: u64 = 25_000;

/// What a machine put out, whichever machine it is.
enum Outcome {
    Operate(OperatorOutcome),
    Relay(RelayResponse),
}

impl World {
    pub(crate) fn ticks_node(&mut self, index: NodeIndex, life: u64) {
        if self.nodes[index.0].life != life {
            return;
        }
        if self.defer_if_frozen(index, || Event::Tick(index, life)) {
            return;
        }
        self.step(index, StepInput::Tick);
        if self.has_orders() {
            self.extend_in_force(index);
        }
        self.after(TICK_US, Event::Tick(index, life));
    }

    pub(crate) fn deliver(
        &mut self,
        to: std::net::SocketAddr,
        from: std::net::SocketAddr,
        sender: NodeId,
        message: Message,
    ) {
        let Some(index) = self.find(to) else { return };
        if self.is_frozen(index) {
            self.defer_if_frozen(index, || Event::Frame { to, from, sender, message });
            return;
        }
        let is_news = self.has_orders() && matches!(message, Message::Feed(_));
        self.step(index, StepInput::Frame(sender, from, message));
        if is_news {
            self.see_in_force(index);
        }
    }

    pub(crate) fn tell_written(&mut self, index: NodeIndex, token: WriteToken) {
        self.step(index, StepInput::Written(token));
    }

    pub(crate) fn tell_disk(&mut self, index: NodeIndex, state: DiskState) {
        self.step(index, StepInput::Disk(state));
    }

    /// Calls into a relay's machine.
    pub(crate) fn call_relay(&mut self, index: NodeIndex, request: RelayCall, caller: Caller) {
        let call = self.note_call(index, caller);
        self.step(index, StepInput::Relay(call, request));
    }

    /// Calls into a control node's machine.
    pub(crate) fn call_control(
        &mut self,
        index: NodeIndex,
        request: OperatorRequest,
        caller: Caller,
    ) {
        let call = self.note_call(index, caller);
        let request = topazyard_control::ControlCall::Operate(request);
        self.step(index, StepInput::Control(call, request));
    }

    /// Tells a control node that its process is about to end.
    pub(crate) fn tell_to_leave(&mut self, index: NodeIndex) {
        let call = self.note_call(index, Caller::Nobody);
        self.step(index, StepInput::Control(call, topazyard_control::ControlCall::Leave));
    }

    fn note_call(&mut self, index: NodeIndex, caller: Caller) -> CallId {
        let node = &mut self.nodes[index.0];
        node.last_call += 1;
        let call = CallId(node.last_call);
        node.calls.insert(call, caller);
        call
    }

    fn step(&mut self, index: NodeIndex, input: StepInput) {
        let now = self.node_clock(index);
        // Taken out while it steps, so that its effects may reach the whole world.
        let mut body = std::mem::replace(&mut self.nodes[index.0].body, Body::Off);
        let life = self.nodes[index.0].life;
        match &mut body {
            Body::Off => {}
            Body::Control(machine) => {
                let input = input.into_control();
                let effects = input.map(|input| machine.step(input, now)).unwrap_or_default();
                self.put_back(index, body, life);
                effects.into_iter().for_each(|effect| self.make_control(index, effect));
            }
            Body::Storage(machine) => {
                let input = input.into_plain();
                let effects = input.map(|input| machine.step(input, now)).unwrap_or_default();
                self.put_back(index, body, life);
                effects.into_iter().for_each(|effect| self.make_plain(index, effect));
            }
            Body::Agent(machine) => {
                let input = input.into_plain();
                let effects = input.map(|input| machine.step(input, now)).unwrap_or_default();
                self.put_back(index, body, life);
                effects.into_iter().for_each(|effect| self.make_plain(index, effect));
            }
            Body::Relay(machine) => {
                let input = input.into_relay();
                let effects = input.map(|input| machine.step(input, now)).unwrap_or_default();
                self.put_back(index, body, life);
                for effect in effects {
                    match effect {
                        Effect::Send { to, message } => self.send_from(index, to, message),
                        Effect::Respond { call, value } => {
                            self.returned(index, call, Outcome::Relay(value));
                        }
                        Effect::StartTask(task) => self.begin_task(index, task),
                        Effect::Log { text, .. } => self.note(index, &text),
                        Effect::Write { .. } => {}
                    }
                }
            }
        }
    }

    fn put_back(&mut self, index: NodeIndex, body: Body, life: u64) {
        if self.nodes[index.0].life == life {
            self.nodes[index.0].body = body;
        }
    }

    /// Makes an effect of a machine happen that nobody outside calls and that begins no tasks.
    fn make_plain<R>(
        &mut self,
        index: NodeIndex,
        effect: Effect<R, topazyard_wire::machine::NoTask>,
    ) {
        match effect {
            Effect::Send { to, message } => self.send_from(index, to, message),
            Effect::Write { token, changes } => self.write(index, token, changes),
            Effect::Log { text, .. } => self.note(index, &text),
            Effect::Respond { .. } => {}
            Effect::StartTask(never) => match never {},
        }
    }

    pub(super) fn make_control(
        &mut self,
        index: NodeIndex,
        effect: Effect<OperatorOutcome, topazyard_control::ControlTask>,
    ) {
        match effect {
            Effect::Send { to, message } => self.send_from(index, to, message),
            Effect::Write { token, changes } => self.write(index, token, changes),
            Effect::Respond { call, value } => self.returned(index, call, Outcome::Operate(value)),
            Effect::Log { text, .. } => self.note(index, &text),
            // The platform hands the list of engines in.
            Effect::StartTask(topazyard_control::ControlTask::ListEngines) => {}
            Effect::StartTask(topazyard_control::ControlTask::FetchLoads(engines)) => {
                let life = self.nodes[index.0].life;
                let names = engines.into_iter().map(|engine| engine.name).collect();
                let us = 2 * self.way();
                self.after(us, Event::Loads(index, life, names));
            }
        }
    }

    pub(crate) fn loads(
        &mut self,
        index: NodeIndex,
        life: u64,
        engines: Vec<topazyard_types::EngineName>,
    ) {
        if self.nodes[index.0].life != life {
            return;
        }
        if self.is_frozen(index) {
            self.defer_if_frozen(index, || Event::Loads(index, life, engines));
            return;
        }
        let loads = engines
            .into_iter()
            .filter_map(|engine| {
                let queued = self.engine_queue(&engine)?;
                Some(topazyard_control::tuner::EngineLoad { engine, queued })
            })
            .collect();
        let call = self.note_call(index, Caller::Nobody);
        self.step(index, StepInput::Control(call, topazyard_control::ControlCall::Loads(loads)));
    }

    fn note(&mut self, index: NodeIndex, text: &str) {
        let name = &self.nodes[index.0].name;
        self.notes.push(format!("{:>6} ms {name}: {text}", self.time / 1_000));
    }

    fn send_from(&mut self, index: NodeIndex, to: std::net::SocketAddr, message: Message) {
        let (from, sender) = (self.nodes[index.0].address, self.nodes[index.0].id);
        self.send_frame(from, sender, to, message);
    }

    fn returned(&mut self, index: NodeIndex, call: CallId, outcome: Outcome) {
        let Some(caller) = self.nodes[index.0].calls.remove(&call) else { return };
        match (caller, outcome) {
            (Caller::Session(session), Outcome::Relay(value)) => {
                self.session_returned(session, value);
            }
            (Caller::Item(run), Outcome::Relay(value)) => self.item_returned(run, value),
            (Caller::Activity(doing), Outcome::Relay(value)) => self.relay_told(doing, value),
            (Caller::Activity(doing), Outcome::Operate(value)) => self.control_told(doing, value),
            _ => {}
        }
    }

    fn begin_task(&mut self, index: NodeIndex, task: RelayTask) {
        let life = self.nodes[index.0].life;
        match task {
            RelayTask::RunItem { run, target, body } => self.begin_item(index, run, target, body),
            // Nobody here hands in routed items.
            RelayTask::RunRoutedItem(_) | RelayTask::AbortRoutedRuns => {}
            // Lanes alone are simulated: no engine is ever reached for a route.
            RelayTask::CheckHealth(target) | RelayTask::ProbeConnection(target) => {
                let is_well = self.engine_takes_looks(&target.engine);
                let us = if is_well { 2 * self.way() } else { 800_000 };
                self.after(us, Event::Looked(index, life, target.engine, is_well));
            }
        }
    }

    pub(crate) fn looked(
        &mut self,
        index: NodeIndex,
        life: u64,
        engine: topazyard_types::EngineName,
        is_well: bool,
    ) {
        if self.nodes[index.0].life != life {
            return;
        }
        let name = engine.clone();
        if self.defer_if_frozen(index, || Event::Looked(index, life, name, is_well)) {
            return;
        }
        self.call_relay(index, RelayCall::HealthChecked(engine, is_well), Caller::Nobody);
    }
}

/// What a machine is told, whichever it is.
enum StepInput {
    Tick,
    Frame(NodeId, std::net::SocketAddr, Message),
    Written(WriteToken),
    Disk(DiskState),
    Relay(CallId, RelayCall),
    Control(CallId, topazyard_control::ControlCall),
}

impl StepInput {
    /// The input of a machine that takes no calls here.
    fn into_plain<C>(self) -> Option<Input<C>> {
        match self {
            Self::Tick => Some(Input::Tick),
            Self::Frame(sender, from, message) => Some(Input::Frame { sender, from, message }),
            Self::Written(token) => Some(Input::Written(token)),
            Self::Disk(state) => Some(Input::Disk(state)),
            Self::Relay(..) | Self::Control(..) => None,
        }
    }

    fn into_control(self) -> Option<Input<topazyard_control::ControlCall>> {
        match self {
            Self::Control(call, request) => Some(Input::Call { call, request }),
            other => other.into_plain(),
        }
    }

    fn into_relay(self) -> Option<Input<RelayCall>> {
        match self {
            Self::Relay(call, request) => Some(Input::Call { call, request }),
            other => other.into_plain(),
        }
    }
}
