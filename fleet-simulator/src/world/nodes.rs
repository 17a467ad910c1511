//! Simulated processes, each with one of the real machines.

use super::{Caller, Disk, Event, Plant, World};
use crate::history::{Struck, StruckSeen, Us};
use topazyard_control::ControlMachine;
use topazyard_edge_agent::AgentMachine;
use topazyard_relay::{RelayCall, RelayMachine, RelayReturn, RelayTask};
use topazyard_storage::StorageMachine;
use topazyard_types::{CallId, MonotonicMs, NodeId};
use topazyard_wire::disk::DiskState;
use topazyard_wire::driver::DiskStart;
use topazyard_wire::message::cohort::{Duty, Member};
use topazyard_wire::message::operate::{Operate, OperateOutcome};
use topazyard_wire::{Effect, Input, Machine as _, Message, RowChange, WriteToken};

/// Names a process in the world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIndex(pub usize);

/// What a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A control node.
    Control,
    /// A storage node.
    Storage,
    /// An agent beside a relay.
    Agent,
    /// A relay.
    Relay,
}

/// A process's machine.
pub(crate) enum Body {
    /// It does not run.
    Off,
    /// A control node's.
    Control(Box<ControlMachine>),
    /// A storage node's.
    Storage(Box<StorageMachine>),
    /// An agent's.
    Agent(Box<AgentMachine>),
    /// A relay's.
    Relay(Box<RelayMachine>),
}

/// A process.
pub struct Node {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// Where it takes frames.
    pub address: std::net::SocketAddr,
    /// Its neighbour, for relays and agents.
    pub beside: Option<std::net::SocketAddr>,
    /// Its failure domain.
    pub domain: u16,
    /// The seeds in its settings: where control nodes were when it was set up.
    seeds: Vec<std::net::SocketAddr>,
    /// Its disk.
    pub disk: Disk,
    pub(crate) body: Body,
    pub(crate) id: NodeId,
    /// Rises with each start.
    pub(crate) life: u64,
    pub(crate) frozen_until: Option<Us>,
    /// What its clock showed at some moment, and how much faster than right it runs since, in
    /// millionths.
    clock_at: (Us, Us),
    rate_ppm: i64,
    stood_still: Us,
    last_call: u64,
    calls: std::collections::BTreeMap<CallId, Caller>,
}

const BEAT_US: Us = 25_000;

impl Node {
    /// Whether it runs.
    pub fn is_on(&self) -> bool {
        !matches!(self.body, Body::Off)
    }
}

/// What a machine put out, whichever machine it is.
enum Outcome {
    Operate(OperateOutcome),
    Relay(RelayReturn),
}

impl World {
    /// Adds a process that does not run yet.
    pub fn add_node(
        &mut self,
        name: String,
        kind: Kind,
        port: u16,
        beside: Option<u16>,
        domain: u16,
    ) -> NodeIndex {
        let at = |port: u16| std::net::SocketAddr::from(([10, 0, 0, 1], port));
        let seeds = self.seeds.clone();
        self.nodes.push(Node {
            name,
            kind,
            address: at(port),
            beside: beside.map(at),
            domain,
            seeds,
            disk: Disk::default(),
            body: Body::Off,
            id: NodeId(0),
            life: 0,
            frozen_until: None,
            clock_at: (0, 0),
            rate_ppm: 0,
            stood_still: 0,
            last_call: 0,
            calls: std::collections::BTreeMap::new(),
        });
        NodeIndex(self.nodes.len() - 1)
    }

    fn node_clock(&self, node: NodeIndex) -> MonotonicMs {
        let ran = self.clock_us(node).saturating_sub(self.nodes[node.0].stood_still);
        MonotonicMs(86_400_000 + ran / 1_000)
    }

    fn clock_us(&self, node: NodeIndex) -> Us {
        let node = &self.nodes[node.0];
        let (at, shown) = node.clock_at;
        shown + ((self.time - at) as i64 * (1_000_000 + node.rate_ppm) / 1_000_000) as Us
    }

    /// From now on its clock runs so much faster than right, in millionths.
    pub(crate) fn set_rate(&mut self, index: NodeIndex, rate_ppm: i64) {
        let shown = self.clock_us(index);
        let time = self.time;
        let node = &mut self.nodes[index.0];
        (node.clock_at, node.rate_ppm) = ((time, shown), rate_ppm);
    }

    /// Starts a process from what its disk holds.
    pub fn start(&mut self, index: NodeIndex) {
        if self.nodes[index.0].is_on() {
            return;
        }
        if self.nodes[index.0].disk.is_full {
            self.nodes[index.0].disk.is_awaited = true;
            return;
        }
        let chance = self.draw(0..u64::MAX);
        let fresh = NodeId(self.draw(1..u64::MAX) | 1);
        let time = self.time;
        let name = self.nodes[index.0].name.clone();
        self.mend_where(|struck| struck.by == Struck::Off && struck.name == name);
        let node = &mut self.nodes[index.0];
        node.disk.is_told_full = false;
        let seeds = node.seeds.clone();
        node.life += 1;
        node.clock_at = (time, 0);
        node.stood_still = 0;
        node.frozen_until = None;
        node.calls.clear();
        let keeps_id = matches!(node.kind, Kind::Control | Kind::Storage);
        let rows = node.disk.synced.entry(topazyard_wire::Group::Node).or_default();
        let kept = rows.get("id").and_then(|value| topazyard_wire::rows::decode(value));
        node.id = match kept {
            Some(id) if keeps_id => id,
            _ => {
                if let Some(value) = RowChange::put("id", &fresh).value {
                    rows.insert("id".to_owned(), value);
                }
                fresh
            }
        };
        let duty = match node.kind {
            Kind::Control => Duty::Control,
            Kind::Storage => Duty::Storage,
            Kind::Agent | Kind::Relay => Duty::Edge,
        };
        let member = Member {
            id: node.id,
            name: Some(format!("node-{}", node.id)),
            address: node.address,
            http: None,
            duty,
            domain: topazyard_types::DomainName(format!("domain-{}", node.domain)),
        };
        let loaded = node.disk.synced.clone();
        let bounds = self.bounds.clone();
        let kind = node.kind;
        let beside = node.beside.unwrap_or(node.address);
        let id = node.id;
        let now = self.node_clock(index);
        let mut first = Vec::new();
        let body = match kind {
            Kind::Control => {
                let resources = topazyard_spec::Resources::default();
                let start =
                    DiskStart { member, seeds, chance, loaded, bounds, resources, may_found: true };
                let (machine, effects) = ControlMachine::new(start, now);
                first = effects;
                Body::Control(Box::new(machine))
            }
            Kind::Storage => {
                let resources = topazyard_spec::Resources::default();
                let start =
                    DiskStart { member, seeds, chance, loaded, bounds, resources, may_found: true };
                Body::Storage(Box::new(StorageMachine::new(start)))
            }
            Kind::Agent => {
                let remembered = topazyard_wire::driver::disked::Remembered::read(&loaded);
                let start = topazyard_edge_agent::Start {
                    member,
                    seeds,
                    remembered: Some(remembered),
                    relay: beside,
                    chance,
                };
                Body::Agent(Box::new(AgentMachine::new(start)))
            }
            Kind::Relay => {
                let start = topazyard_relay::Start { node: id, agent: beside, bounds };
                Body::Relay(Box::new(RelayMachine::new(&start)))
            }
        };
        self.nodes[index.0].body = body;
        let life = self.nodes[index.0].life;
        for effect in first {
            self.make_control(index, effect);
        }
        let offset = self.draw(0..BEAT_US);
        self.after(offset, Event::Beat(index, life));
    }

    /// Ends a process; `power` says whether the power goes with it.
    pub fn stop(&mut self, index: NodeIndex, power: bool) {
        let more = self.draw(0..4) as usize;
        if self.nodes[index.0].is_on() {
            self.strike_for(index, Struck::Off);
        }
        let node = &mut self.nodes[index.0];
        node.body = Body::Off;
        node.life += 1;
        node.frozen_until = None;
        if power {
            node.disk.lose_power();
        } else {
            node.disk.outlive(more);
        }
        self.break_sessions_of(index);
    }

    /// Freezes a process: nothing of it happens until it wakes.
    pub fn freeze(&mut self, index: NodeIndex, us: Us) {
        let until = self.time + us;
        self.nodes[index.0].frozen_until = Some(until);
        self.strike_for(index, Struck::Frozen);
        if let Some(struck) = self.history.struck.last_mut() {
            struck.until = Some(until);
        }
        if self.plant == Some(Plant::StoppedClock) {
            self.nodes[index.0].stood_still += us;
        }
    }

    /// Notes that a process's machine is struck from now on.
    pub(crate) fn strike_for(&mut self, index: NodeIndex, by: Struck) {
        let node = &self.nodes[index.0];
        let has_disk = matches!(node.kind, Kind::Control | Kind::Storage);
        let (name, from) = (node.name.clone(), self.time);
        self.history.struck.push(StruckSeen { name, by, has_disk, from, until: None });
    }

    /// Notes that all that were struck so are well again.
    pub(crate) fn mend(&mut self, by: Struck) {
        self.mend_where(|struck| struck.by == by);
    }

    fn mend_where(&mut self, is_mended: impl Fn(&StruckSeen) -> bool) {
        let open = self.history.struck.iter_mut().filter(|struck| struck.until.is_none());
        for struck in open.filter(|struck| is_mended(struck)) {
            struck.until = Some(self.time);
        }
    }

    /// Whether a process is frozen now.
    pub(crate) fn is_frozen(&self, index: NodeIndex) -> bool {
        self.nodes[index.0].frozen_until.is_some_and(|until| until > self.time)
    }

    /// Puts an event off while a process is frozen.
    pub(crate) fn defer_if_frozen(
        &mut self,
        index: NodeIndex,
        event: impl FnOnce() -> Event,
    ) -> bool {
        match self.nodes[index.0].frozen_until {
            Some(until) if until > self.time => {
                self.at(until, event());
                true
            }
            _ => false,
        }
    }

    pub(crate) fn find(&self, address: std::net::SocketAddr) -> Option<NodeIndex> {
        let found = |node: &Node| node.address == address && node.is_on();
        self.nodes.iter().position(found).map(NodeIndex)
    }

    /// The process of that name.
    pub fn named(&self, name: &str) -> Option<NodeIndex> {
        self.nodes.iter().position(|node| node.name == name).map(NodeIndex)
    }

    pub(crate) fn beat_node(&mut self, index: NodeIndex, life: u64) {
        if self.nodes[index.0].life != life {
            return;
        }
        if self.defer_if_frozen(index, || Event::Beat(index, life)) {
            return;
        }
        self.step(index, StepInput::Beat);
        self.after(BEAT_US, Event::Beat(index, life));
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
        self.step(index, StepInput::Frame(sender, from, message));
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
    pub(crate) fn call_control(&mut self, index: NodeIndex, request: Operate, caller: Caller) {
        let call = self.note_call(index, caller);
        let request = topazyard_control::ControlCall::Operate(request);
        self.step(index, StepInput::Control(call, request));
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
                        Effect::Return { call, value } => {
                            self.returned(index, call, Outcome::Relay(value));
                        }
                        Effect::Start(task) => self.begin_task(index, task),
                        Effect::Note { text, .. } => self.note(index, &text),
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
            Effect::Note { text, .. } => self.note(index, &text),
            Effect::Return { .. } => {}
            Effect::Start(never) => match never {},
        }
    }

    fn make_control(
        &mut self,
        index: NodeIndex,
        effect: Effect<OperateOutcome, topazyard_control::ControlTask>,
    ) {
        match effect {
            Effect::Send { to, message } => self.send_from(index, to, message),
            Effect::Write { token, changes } => self.write(index, token, changes),
            Effect::Return { call, value } => self.returned(index, call, Outcome::Operate(value)),
            Effect::Note { text, .. } => self.note(index, &text),
            // The platform hands the list of engines in.
            Effect::Start(topazyard_control::ControlTask::ListEngines) => {}
            Effect::Start(topazyard_control::ControlTask::AskLoads(engines)) => {
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
            (Caller::Person(doing), Outcome::Relay(value)) => self.relay_told(doing, value),
            (Caller::Person(doing), Outcome::Operate(value)) => self.control_told(doing, value),
            _ => {}
        }
    }

    fn begin_task(&mut self, index: NodeIndex, task: RelayTask) {
        let life = self.nodes[index.0].life;
        match task {
            RelayTask::RunItem { run, target, body } => self.begin_item(index, run, target, body),
            // Nobody here hands in routed items.
            RelayTask::RunRouted(_) => {}
            // Lanes alone are simulated: no engine is ever reached for a route.
            RelayTask::Look(target) | RelayTask::Reach(target) => {
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
        self.call_relay(index, RelayCall::Looked(engine, is_well), Caller::Nobody);
    }

    /// A relay's moment so many microseconds ahead, on its own clock.
    pub(crate) fn relay_moment(&self, index: NodeIndex, ahead: Us) -> MonotonicMs {
        MonotonicMs(self.node_clock(index).0 + ahead / 1_000)
    }

    /// Whether a moment on a process's clock is still ahead.
    pub(crate) fn is_ahead(&self, index: NodeIndex, until: MonotonicMs) -> bool {
        self.node_clock(index) < until
    }

    /// The control node that serves as the primary.
    pub fn control_primary(&self) -> Option<NodeIndex> {
        let serves =
            |node: &Node| matches!(&node.body, Body::Control(machine) if machine.is_serving());
        self.nodes.iter().position(serves).map(NodeIndex)
    }

    /// The storage node that serves a shard.
    pub fn shard_primary(&self, shard: topazyard_types::ShardId) -> Option<NodeIndex> {
        let serves =
            |node: &Node| matches!(&node.body, Body::Storage(machine) if machine.is_serving(shard));
        self.nodes.iter().position(serves).map(NodeIndex)
    }

    /// A storage node that runs, has a copy of a shard and doesn't serve it.
    pub fn other_holder(&self, shard: topazyard_types::ShardId) -> Option<NodeIndex> {
        let holds = |node: &Node| match &node.body {
            Body::Storage(machine) => machine.copy(shard).is_some() && !machine.is_serving(shard),
            _ => false,
        };
        self.nodes.iter().position(holds).map(NodeIndex)
    }

    /// The cost of all accepted items without a final return, as the most advanced copy of each
    /// shard has it.
    pub(crate) fn waiting_work(&mut self) -> u64 {
        let mut all = 0;
        for shard in topazyard_types::ShardId::all().filter(|shard| !shard.is_counter()) {
            let copies = self.nodes.iter().filter_map(|node| match &node.body {
                Body::Storage(machine) => machine.copy(shard),
                _ => None,
            });
            let Some(copy) = copies.max_by_key(|copy| copy.place()) else { continue };
            let weighed = self.weighed.get(&shard).filter(|(place, _)| *place == copy.place());
            let waiting = match weighed {
                Some((_, waiting)) => *waiting,
                None => topazyard_storage::parcels::waiting(copy).0,
            };
            self.weighed.insert(shard, (copy.place(), waiting));
            all += waiting;
        }
        all
    }

    /// Holds at the counter, where one leads it.
    pub fn holds(&self) -> Option<usize> {
        self.nodes.iter().find_map(|node| match &node.body {
            Body::Storage(machine) if machine.is_serving(topazyard_types::ShardId::COUNTER) => {
                machine.holds()
            }
            _ => None,
        })
    }
}

/// What a machine is told, whichever it is.
enum StepInput {
    Beat,
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
            Self::Beat => Some(Input::Beat),
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
