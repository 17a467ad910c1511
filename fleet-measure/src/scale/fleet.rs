//! A fleet of the real machines in one thread, with a meter on each: frames are encoded and decoded
//! as between processes, time is counted rather than waited for, and disks sync in a fixed time.

use super::meter::{Meter, thread_us};
use topazyard_control::{ControlCall, ControlMachine};
use topazyard_edge_agent::AgentMachine;
use topazyard_relay::RelayMachine;
use topazyard_storage::StorageMachine;
use topazyard_types::{CallId, FleetId, MonotonicMs, NodeId, ShardId};
use topazyard_wire::driver::DiskStart;
use topazyard_wire::message::membership::{Duty, Member};
use topazyard_wire::message::operate::{Command, Operate, OperateOutcome};
use topazyard_wire::{Effect, Input, Machine, Message, RowChange, WriteToken};

/// One way between two nodes, in microseconds.
const WAY_US: u64 = 500;
/// How long a disk takes to sync, in microseconds.
const SYNC_US: u64 = 1_000;
/// Between two timers of a node, as in the driver.
const TIMER_US: u64 = 25_000;
const FLEET: FleetId = FleetId(7);

enum Body {
    Control(Box<ControlMachine>),
    Storage(Box<StorageMachine>),
    Agent(Box<AgentMachine>),
    Relay(Box<RelayMachine>),
    /// Sends what it is told to and keeps what comes.
    Client(Vec<Message>),
}

/// A node.
pub struct Node {
    /// Where it takes frames.
    pub address: std::net::SocketAddr,
    /// What it cost.
    pub meter: Meter,
    /// Writes handed to its disk, where they are kept.
    pub kept_writes: Option<Vec<(WriteToken, Vec<RowChange>)>>,
    id: NodeId,
    body: Body,
}

enum Event {
    Timer(usize),
    Frame(usize, bytes::Bytes),
    Written(usize, WriteToken),
}

/// The fleet.
pub struct Fleet {
    /// Its nodes.
    pub nodes: Vec<Node>,
    places: std::collections::BTreeMap<std::net::SocketAddr, usize>,
    events: std::collections::BTreeMap<(u64, u64), Event>,
    time_us: u64,
    last_event: u64,
    outcomes: Vec<OperateOutcome>,
    resources: topazyard_spec::Resources,
    /// Nodes that hear only each other.
    island: Vec<usize>,
}

/// What a machine put out, whichever it is.
#[derive(Default)]
struct Out {
    sends: Vec<(std::net::SocketAddr, Message)>,
    writes: Vec<(WriteToken, Vec<RowChange>)>,
}

fn step<M: Machine>(
    machine: &mut M,
    input: Input<M::Call>,
    now: MonotonicMs,
    mut returned: impl FnMut(M::Return),
) -> Out {
    sorted::<M>(machine.step(input, now), &mut returned)
}

fn sorted<M: Machine>(
    effects: topazyard_wire::machine::Effects<M>,
    returned: &mut impl FnMut(M::Return),
) -> Out {
    let mut out = Out::default();
    for effect in effects {
        match effect {
            Effect::Send { to, message } => out.sends.push((to, message)),
            Effect::Write { token, changes } => out.writes.push((token, changes)),
            Effect::Return { value, .. } => returned(value),
            Effect::Start(_) | Effect::Note { .. } => {}
        }
    }
    out
}

/// What a node is told, but for calls.
enum Told {
    Timer,
    Frame(NodeId, std::net::SocketAddr, Message),
    Written(WriteToken),
}

impl Told {
    fn input<C>(self) -> Input<C> {
        match self {
            Self::Timer => Input::Tick,
            Self::Frame(sender, from, message) => Input::Frame { sender, from, message },
            Self::Written(token) => Input::Written(token),
        }
    }
}

impl Fleet {
    /// Three control nodes, three storage nodes and so many edge nodes, each a relay and an agent.
    pub fn start(edges: usize) -> Self {
        Self::start_within(edges, topazyard_spec::Resources::default())
    }

    /// The same, each with so many resources.
    pub fn start_within(edges: usize, resources: topazyard_spec::Resources) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            places: std::collections::BTreeMap::new(),
            events: std::collections::BTreeMap::new(),
            time_us: 0,
            last_event: 0,
            outcomes: Vec::new(),
            resources,
            island: Vec::new(),
        };
        let seeds: Vec<_> = (0..3).map(|number| address(0, number)).collect();
        let mut first = Vec::new();
        for number in 0..3 {
            let start = fleet.disk_start(Duty::Control, address(0, number), &seeds);
            let id = start.member.id;
            let (machine, effects) = ControlMachine::new(start, fleet.now());
            let index = fleet.add(address(0, number), id, Body::Control(Box::new(machine)));
            first.push((index, effects));
        }
        for number in 0..3 {
            let start = fleet.disk_start(Duty::Storage, address(1, number), &seeds);
            let id = start.member.id;
            let machine = Box::new(StorageMachine::new(start));
            fleet.add(address(1, number), id, Body::Storage(machine));
        }
        for number in 0..edges {
            let (agent, relay) = (address(2, number), address(3, number));
            let start = fleet.disk_start(Duty::Edge, agent, &seeds);
            let id = start.member.id;
            let machine = AgentMachine::new(topazyard_edge_agent::Start {
                remembered: Some(start.remembered()),
                member: start.member,
                seeds: start.seeds,
                relay,
                chance: start.chance,
            });
            fleet.add(agent, id, Body::Agent(Box::new(machine)));
            let id = NodeId(id.0 + 1_000_000);
            let machine = RelayMachine::new(&topazyard_relay::Start {
                node: id,
                agent,
                bounds: topazyard_spec::Bounds::default(),
            });
            fleet.add(relay, id, Body::Relay(Box::new(machine)));
        }
        for (index, effects) in first {
            let out = sorted::<ControlMachine>(effects, &mut |_| {});
            fleet.make_happen(index, out);
        }
        fleet
    }

    fn disk_start(
        &self,
        duty: Duty,
        address: std::net::SocketAddr,
        seeds: &[std::net::SocketAddr],
    ) -> DiskStart {
        let number = self.nodes.len() as u64;
        let member = Member {
            name: None,
            id: NodeId(number + 1),
            address,
            http: None,
            duty,
            zone: topazyard_types::ZoneName(format!("zone-{}", number % 3)),
        };
        let chance = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(number + 1);
        DiskStart {
            member,
            seeds: seeds.to_vec(),
            chance,
            loaded: Default::default(),
            bounds: topazyard_spec::Bounds::default(),
            resources: self.resources.clone(),
            may_found: true,
        }
    }

    /// A node that only sends what it is told to; gives its number.
    pub fn add_client(&mut self) -> usize {
        let number = self.nodes.len();
        self.add(address(4, number), NodeId(number as u64 + 1), Body::Client(Vec::new()))
    }

    fn add(&mut self, address: std::net::SocketAddr, id: NodeId, body: Body) -> usize {
        let index = self.nodes.len();
        self.places.insert(address, index);
        let meter = Meter::default();
        self.nodes.push(Node { address, meter, kept_writes: None, id, body });
        // Timers of different nodes don't fall together.
        self.after((index as u64 * 997) % TIMER_US, Event::Timer(index));
        index
    }

    fn after(&mut self, us: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((self.time_us + us, self.last_event), event);
    }

    fn now(&self) -> MonotonicMs {
        MonotonicMs(86_400_000 + self.time_us / 1_000)
    }

    /// Lets so much time pass.
    pub fn run_ms(&mut self, ms: u64) {
        let until = self.time_us + ms * 1_000;
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= until
        {
            let ((at, _), event) = entry.remove_entry();
            self.time_us = at;
            self.take(event);
        }
        self.time_us = until;
    }

    /// Lets time pass until something holds, or gives up after a minute.
    pub fn run_until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        for _ in 0..600 {
            if holds(self) {
                return;
            }
            self.run_ms(100);
        }
        eprintln!("the fleet never got as far as this: {what}");
        std::process::exit(1);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Timer(index) => {
                self.after(TIMER_US, Event::Timer(index));
                self.tell(index, Told::Timer);
            }
            Event::Written(index, token) => self.tell(index, Told::Written(token)),
            Event::Frame(index, bytes) => {
                let begun = thread_us();
                let frame = topazyard_wire::Frame::decode(&bytes, FLEET);
                let meter = &mut self.nodes[index].meter;
                meter.codec_us += thread_us() - begun;
                meter.frames_in += 1;
                meter.bytes_in += bytes.len() as u64;
                if let Ok(frame) = frame {
                    self.tell(index, Told::Frame(frame.sender, frame.address, frame.message));
                }
            }
        }
    }

    fn tell(&mut self, index: usize, told: Told) {
        let now = self.now();
        let outcomes = &mut self.outcomes;
        let node = &mut self.nodes[index];
        let begun = thread_us();
        let out = match &mut node.body {
            Body::Control(m) => step(m.as_mut(), told.input(), now, |value| outcomes.push(value)),
            Body::Storage(m) => step(m.as_mut(), told.input(), now, |_| {}),
            Body::Agent(m) => step(m.as_mut(), told.input(), now, |_| {}),
            Body::Relay(m) => step(m.as_mut(), told.input(), now, |_| {}),
            Body::Client(kept) => {
                if let Told::Frame(_, _, message) = told {
                    kept.push(message);
                }
                Out::default()
            }
        };
        node.meter.step_us += thread_us() - begun;
        self.make_happen(index, out);
    }

    fn make_happen(&mut self, index: usize, out: Out) {
        for (to, message) in out.sends {
            self.send(index, to, message);
        }
        for (token, changes) in out.writes {
            let size = |c: &RowChange| c.key.len() + c.value.as_ref().map_or(0, |v| v.len());
            let node = &mut self.nodes[index];
            node.meter.writes += 1;
            node.meter.written_bytes += changes.iter().map(size).sum::<usize>() as u64;
            if let Some(kept) = &mut node.kept_writes {
                kept.push((token, changes));
            }
            self.after(SYNC_US, Event::Written(index, token));
        }
    }

    /// Sends a message from a node.
    pub fn send(&mut self, index: usize, to: std::net::SocketAddr, message: Message) {
        let node = &mut self.nodes[index];
        let begun = thread_us();
        let frame = topazyard_wire::Frame {
            version: topazyard_wire::message::FRAME_VERSION,
            fleet: FLEET,
            sender: node.id,
            address: node.address,
            message,
        };
        let bytes = frame.encode();
        node.meter.codec_us += thread_us() - begun;
        node.meter.frames_out += 1;
        node.meter.bytes_out += bytes.len() as u64;
        if let Some(place) = self.places.get(&to).copied()
            && self.island.contains(&index) == self.island.contains(&place)
        {
            self.after(WAY_US, Event::Frame(place, bytes));
        }
    }

    /// Cuts these nodes off from all others, and no others.
    pub fn cut_off(&mut self, nodes: &[usize]) {
        self.island = nodes.to_vec();
    }

    /// Lets time pass until something holds, looked at each millisecond, and gives how much passed.
    pub fn ms_until(&mut self, what: &str, holds: impl Fn(&mut Self) -> bool) -> u64 {
        for ms in 0..60_000 {
            if holds(self) {
                return ms;
            }
            self.run_ms(1);
        }
        eprintln!("the fleet never got as far as this: {what}");
        std::process::exit(1);
    }

    /// Gives the control primary a command, and how long it takes until it is done.
    pub fn ms_of_command(&mut self, command: Command) -> u64 {
        let before = self.outcomes.len();
        self.call_primary(command);
        let ms = self.ms_until("a command has its outcome", |fleet| fleet.outcomes.len() > before);
        self.exit_if_refused();
        ms
    }

    fn relay_health(&mut self, index: usize) -> Option<topazyard_relay::machine::RelayHealth> {
        let now = self.now();
        let Body::Relay(machine) = &mut self.nodes[index].body else { return None };
        let request = topazyard_relay::RelayCall::Health;
        let effects = machine.step(Input::Call { call: CallId(1), request }, now);
        effects.into_iter().find_map(|effect| match effect {
            Effect::Return { value: topazyard_relay::RelayReturn::Health(health), .. } => {
                Some(*health)
            }
            _ => None,
        })
    }

    /// The version in force at a relay.
    pub fn relay_version(&mut self, index: usize) -> Option<u64> {
        self.relay_health(index)?.spec.map(|version| version.0)
    }

    /// How old the last confirmation is that a relay has of the feed.
    pub fn relay_feed_age_ms(&mut self, index: usize) -> Option<u64> {
        self.relay_health(index)?.feed_age_ms.map(|age| age.0)
    }

    /// The control primary, its backup and the third control node.
    pub fn control_roles(&mut self) -> (usize, usize, usize) {
        let primary = self.control_primary();
        self.reset();
        self.run_ms(1_000);
        let mut others: Vec<usize> = (0..3).filter(|index| *index != primary).collect();
        // The backup is the one of the two that gets the primary's batches.
        others.sort_by_key(|index| std::cmp::Reverse(self.nodes[*index].meter.bytes_in));
        (primary, others[0], others[1])
    }

    /// Gives the control primary a command; gives the processor time of the step that takes it, in
    /// microseconds. It must not be refused.
    pub fn command(&mut self, command: Command) -> f64 {
        let before = self.outcomes.len();
        let took = self.call_primary(command);
        self.run_until("a command has its outcome", |fleet| fleet.outcomes.len() > before);
        self.exit_if_refused();
        took
    }

    fn call_primary(&mut self, command: Command) -> f64 {
        let now = self.now();
        let index = self.control_primary();
        let outcomes = &mut self.outcomes;
        let Body::Control(machine) = &mut self.nodes[index].body else { return 0.0 };
        let request = ControlCall::Operate(Operate::Command(command));
        let begun = thread_us();
        let input = Input::Call { call: CallId(1), request };
        let out = step(machine.as_mut(), input, now, |value| outcomes.push(value));
        let took = thread_us() - begun;
        self.nodes[index].meter.step_us += took;
        self.make_happen(index, out);
        took
    }

    fn exit_if_refused(&self) {
        if let Some(OperateOutcome::Refused(error)) = self.outcomes.last() {
            eprintln!("a command was refused: {error:?}");
            std::process::exit(1);
        }
    }

    /// What a client was sent, taken out.
    pub fn take_received(&mut self, index: usize) -> Vec<Message> {
        match &mut self.nodes[index].body {
            Body::Client(kept) => std::mem::take(kept),
            _ => Vec::new(),
        }
    }

    /// All meters begin anew.
    pub fn reset(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.meter = Meter::default());
    }

    /// The number of the control primary, once one serves.
    pub fn control_primary(&self) -> usize {
        self.find(|node| matches!(&node.body, Body::Control(m) if m.is_serving())).unwrap_or(0)
    }

    /// The number of a shard's primary, once one serves.
    pub fn shard_primary(&self, shard: ShardId) -> Option<usize> {
        self.find(|node| matches!(&node.body, Body::Storage(m) if m.is_serving(shard)))
    }

    /// The number of the node that holds the shard's other copy.
    pub fn shard_backup(&self, shard: ShardId) -> Option<usize> {
        let holds = |node: &Node| {
            matches!(&node.body,
            Body::Storage(m) if !m.is_serving(shard) && m.copy(shard).is_some())
        };
        self.find(holds)
    }

    /// The numbers of the relays.
    pub fn relays(&self) -> Vec<usize> {
        self.all(|node| matches!(node.body, Body::Relay(_)))
    }

    /// The numbers of the agents.
    pub fn agents(&self) -> Vec<usize> {
        self.all(|node| matches!(node.body, Body::Agent(_)))
    }

    fn all(&self, is_meant: impl Fn(&Node) -> bool) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| is_meant(&self.nodes[*index])).collect()
    }

    fn find(&self, is_meant: impl Fn(&Node) -> bool) -> Option<usize> {
        self.nodes.iter().position(is_meant)
    }

    /// Lets time pass until control and every shard serve.
    pub fn settle(&mut self) {
        self.run_until("control serves", |fleet| {
            fleet.find(|node| matches!(&node.body, Body::Control(m) if m.is_serving())).is_some()
        });
        self.run_until("every shard serves", |fleet| {
            ShardId::all().all(|shard| fleet.shard_primary(shard).is_some())
        });
    }
}

fn address(kind: u8, number: usize) -> std::net::SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    std::net::SocketAddr::from(([10, kind, high, low], 9_000))
}
