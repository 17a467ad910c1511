//! Steps of the machines: their inputs, and their effects on the world.

use super::{NodeIndex, NodeMachine};
use crate::world::{Caller, Event, World};
use topazyard_relay::{RelayCall, RelayResponse, RelayTask};
use topazyard_types::{CallId, NodeId};
use topazyard_wire::disk::DiskState;
use topazyard_wire::message::operate::{OperatorOutcome, OperatorRequest};
use topazyard_wire::{Effect, Input, Machine as _, Message, WriteToken};

/// The tick interval of a process.
pub(super) const TICK_US: u64 = 25_000;

/// A response from any kind of machine.
enum Response {
    Operate(OperatorOutcome),
    Relay(RelayResponse),
}

impl World {
    pub(crate) fn tick_node(&mut self, index: NodeIndex, generation: u64) {
        if self.nodes[index.0].generation != generation {
            return;
        }
        if self.defer_if_frozen(index, || Event::Tick(index, generation)) {
            return;
        }
        self.step(index, StepInput::Tick);
        if self.has_orders() {
            self.extend_in_force(index);
        }
        self.schedule_after(TICK_US, Event::Tick(index, generation));
    }

    pub(crate) fn deliver(
        &mut self,
        to: std::net::SocketAddr,
        from: std::net::SocketAddr,
        sender: NodeId,
        message: Message,
    ) {
        let Some(index) = self.running_node_at(to) else { return };
        if self.is_frozen(index) {
            self.defer_if_frozen(index, || Event::Frame { to, from, sender, message });
            return;
        }
        let is_feed_message = self.has_orders() && matches!(message, Message::Feed(_));
        self.step(index, StepInput::Frame(sender, from, message));
        if is_feed_message {
            self.record_in_force(index);
        }
    }

    pub(crate) fn report_written(&mut self, index: NodeIndex, token: WriteToken) {
        self.step(index, StepInput::Written(token));
    }

    pub(crate) fn report_disk_state(&mut self, index: NodeIndex, state: DiskState) {
        self.step(index, StepInput::Disk(state));
    }

    /// Calls into a relay's machine.
    pub(crate) fn call_relay(&mut self, index: NodeIndex, request: RelayCall, caller: Caller) {
        let call = self.register_call(index, caller);
        self.step(index, StepInput::Relay(call, request));
    }

    /// Calls into a control node's machine.
    pub(crate) fn call_control(
        &mut self,
        index: NodeIndex,
        request: OperatorRequest,
        caller: Caller,
    ) {
        let call = self.register_call(index, caller);
        let request = topazyard_control::ControlCall::Operate(request);
        self.step(index, StepInput::Control(call, request));
    }

    /// Requests a control node to leave before its process is stopped.
    pub(crate) fn request_leave(&mut self, index: NodeIndex) {
        let call = self.register_call(index, Caller::Ignored);
        self.step(index, StepInput::Control(call, topazyard_control::ControlCall::Leave));
    }

    fn register_call(&mut self, index: NodeIndex, caller: Caller) -> CallId {
        let node = &mut self.nodes[index.0];
        node.last_call += 1;
        let call = CallId(node.last_call);
        node.calls.insert(call, caller);
        call
    }

    fn step(&mut self, index: NodeIndex, input: StepInput) {
        let now = self.node_clock(index);
        // The machine is taken out while it steps, so that its effects can borrow the whole world.
        let mut node_machine =
            std::mem::replace(&mut self.nodes[index.0].machine, NodeMachine::Stopped);
        let generation = self.nodes[index.0].generation;
        match &mut node_machine {
            NodeMachine::Stopped => {}
            NodeMachine::Control(machine) => {
                let input = input.into_control();
                let effects = input.map(|input| machine.step(input, now)).unwrap_or_default();
                self.put_machine_back(index, node_machine, generation);
                effects.into_iter().for_each(|effect| self.apply_control_effect(index, effect));
            }
            NodeMachine::Storage(machine) => {
                let input = input.into_input();
                let effects = input.map(|input| machine.step(input, now)).unwrap_or_default();
                self.put_machine_back(index, node_machine, generation);
                effects.into_iter().for_each(|effect| self.apply_effect(index, effect));
            }
            NodeMachine::Agent(machine) => {
                let input = input.into_input();
                let effects = input.map(|input| machine.step(input, now)).unwrap_or_default();
                self.put_machine_back(index, node_machine, generation);
                effects.into_iter().for_each(|effect| self.apply_effect(index, effect));
            }
            NodeMachine::Relay(machine) => {
                let input = input.into_relay();
                let effects = input.map(|input| machine.step(input, now)).unwrap_or_default();
                self.put_machine_back(index, node_machine, generation);
                for effect in effects {
                    match effect {
                        Effect::Send { to, message } => self.send_from(index, to, message),
                        Effect::Respond { call, value } => {
                            self.handle_response(index, call, Response::Relay(value));
                        }
                        Effect::StartTask(task) => self.start_task(index, task),
                        Effect::Log { text, .. } => self.log(index, &text),
                        Effect::Write { .. } => {}
                    }
                }
            }
        }
    }

    fn put_machine_back(&mut self, index: NodeIndex, node_machine: NodeMachine, generation: u64) {
        if self.nodes[index.0].generation == generation {
            self.nodes[index.0].machine = node_machine;
        }
    }

    /// Applies an effect of a machine that takes no calls from outside and starts no tasks.
    fn apply_effect<R>(
        &mut self,
        index: NodeIndex,
        effect: Effect<R, topazyard_wire::machine::NoTask>,
    ) {
        match effect {
            Effect::Send { to, message } => self.send_from(index, to, message),
            Effect::Write { token, changes } => self.write(index, token, changes),
            Effect::Log { text, .. } => self.log(index, &text),
            Effect::Respond { .. } => {}
            Effect::StartTask(never) => match never {},
        }
    }

    pub(super) fn apply_control_effect(
        &mut self,
        index: NodeIndex,
        effect: Effect<OperatorOutcome, topazyard_control::ControlTask>,
    ) {
        match effect {
            Effect::Send { to, message } => self.send_from(index, to, message),
            Effect::Write { token, changes } => self.write(index, token, changes),
            Effect::Respond { call, value } => {
                self.handle_response(index, call, Response::Operate(value))
            }
            Effect::Log { text, .. } => self.log(index, &text),
            // The simulated platform submits the list of engines itself.
            Effect::StartTask(topazyard_control::ControlTask::ListEngines) => {}
            Effect::StartTask(topazyard_control::ControlTask::FetchLoads(engines)) => {
                let generation = self.nodes[index.0].generation;
                let names = engines.into_iter().map(|engine| engine.name).collect();
                let us = 2 * self.network_delay();
                self.schedule_after(us, Event::EngineLoads(index, generation, names));
            }
        }
    }

    pub(crate) fn deliver_engine_loads(
        &mut self,
        index: NodeIndex,
        generation: u64,
        engines: Vec<topazyard_types::EngineName>,
    ) {
        if self.nodes[index.0].generation != generation {
            return;
        }
        if self.is_frozen(index) {
            self.defer_if_frozen(index, || Event::EngineLoads(index, generation, engines));
            return;
        }
        let loads = engines
            .into_iter()
            .filter_map(|engine| {
                let queued = self.engine_queue(&engine)?;
                Some(topazyard_control::tuner::EngineLoad { engine, queued })
            })
            .collect();
        let call = self.register_call(index, Caller::Ignored);
        self.step(index, StepInput::Control(call, topazyard_control::ControlCall::Loads(loads)));
    }

    fn log(&mut self, index: NodeIndex, text: &str) {
        let name = &self.nodes[index.0].name;
        self.notes.push(format!("{:>6} ms {name}: {text}", self.time / 1_000));
    }

    fn send_from(&mut self, index: NodeIndex, to: std::net::SocketAddr, message: Message) {
        let (from, sender) = (self.nodes[index.0].address, self.nodes[index.0].id);
        self.send_frame(from, sender, to, message);
    }

    fn handle_response(&mut self, index: NodeIndex, call: CallId, outcome: Response) {
        let Some(caller) = self.nodes[index.0].calls.remove(&call) else { return };
        match (caller, outcome) {
            (Caller::Session(session), Response::Relay(value)) => {
                self.session_response(session, value);
            }
            (Caller::Item(run), Response::Relay(value)) => self.item_response(run, value),
            (Caller::Activity(activity), Response::Relay(value)) => {
                self.relay_response(activity, value)
            }
            (Caller::Activity(activity), Response::Operate(value)) => {
                self.control_response(activity, value)
            }
            _ => {}
        }
    }

    fn start_task(&mut self, index: NodeIndex, task: RelayTask) {
        let generation = self.nodes[index.0].generation;
        match task {
            RelayTask::RunItem { run, target, body } => self.start_item(index, run, target, body),
            // No simulated client submits routed items.
            RelayTask::RunRoutedItem(_)
            | RelayTask::AbortRoutedRuns
            | RelayTask::LimitClients(_) => {}
            // Only model routes are simulated: no engine is ever contacted for a route by host and
            // path.
            RelayTask::CheckHealth(target) | RelayTask::ProbeConnection(target) => {
                let is_healthy = self.engine_answers_health_checks(&target.engine);
                let us = if is_healthy { 2 * self.network_delay() } else { 800_000 };
                self.schedule_after(
                    us,
                    Event::HealthChecked(index, generation, target.engine, is_healthy),
                );
            }
        }
    }

    pub(crate) fn health_checked(
        &mut self,
        index: NodeIndex,
        generation: u64,
        engine: topazyard_types::EngineName,
        is_healthy: bool,
    ) {
        if self.nodes[index.0].generation != generation {
            return;
        }
        let name = engine.clone();
        if self.defer_if_frozen(index, || Event::HealthChecked(index, generation, name, is_healthy))
        {
            return;
        }
        self.call_relay(index, RelayCall::HealthChecked(engine, is_healthy), Caller::Ignored);
    }
}

/// An input to any kind of machine.
enum StepInput {
    Tick,
    Frame(NodeId, std::net::SocketAddr, Message),
    Written(WriteToken),
    Disk(DiskState),
    Relay(CallId, RelayCall),
    Control(CallId, topazyard_control::ControlCall),
}

impl StepInput {
    /// Converts to the input of a machine that takes no calls from outside.
    fn into_input<C>(self) -> Option<Input<C>> {
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
            other => other.into_input(),
        }
    }

    fn into_relay(self) -> Option<Input<RelayCall>> {
        match self {
            Self::Relay(call, request) => Some(Input::Call { call, request }),
            other => other.into_input(),
        }
    }
}
