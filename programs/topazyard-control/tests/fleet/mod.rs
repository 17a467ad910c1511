//! A few control nodes connected by a reliable network, with disks that sync at once.

#![allow(dead_code, reason = "each test file uses a part of it")]

use topazyard_control::{ControlCall, ControlMachine, ControlTask};
use topazyard_types::{CallId, DurationMs, MonotonicMs, NodeId};
use topazyard_wire::disk::DiskState;
use topazyard_wire::driver::DiskStart;
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, Health};
use topazyard_wire::message::membership::{Member, MemberRole};
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest, Query};
use topazyard_wire::{Effect, Input, Machine as _, RowChange, WriteToken};

pub const TICK: DurationMs = DurationMs(25);

pub struct Node {
    pub machine: Option<ControlMachine>,
    pub rows: topazyard_wire::rows::LoadedRows,
    pub outcome: Option<OperatorOutcome>,
    pub list_reads: usize,
    /// Writes waiting for disk space, if the disk is full.
    pub full: Option<Vec<(WriteToken, Vec<RowChange>)>>,
    starts: u64,
}

/// What the network does with a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Delivers it.
    Once,
    /// Delivers it at once, and a copy when the test asks for it.
    Twice,
    /// Delivers it when the test asks for it.
    Delayed,
}

/// A frame in transit.
#[derive(Debug, Clone)]
pub struct Frame {
    pub to: usize,
    pub sender: NodeId,
    pub from: std::net::SocketAddr,
    pub message: Message,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub seeds: Vec<std::net::SocketAddr>,
    pub storage: Vec<Member>,
    /// The storage nodes whose disk is full.
    pub full_storage: Vec<NodeId>,
    pub now: MonotonicMs,
    pub may_bootstrap: bool,
    pub resources: topazyard_spec::Resources,
    /// Decides what happens to each frame.
    pub network: fn(&Message) -> Delivery,
    /// Frames delivered on the test's request.
    pub delayed: Vec<Frame>,
    /// A node outside the fleet, and the messages it received.
    external: Option<(std::net::SocketAddr, Vec<Message>)>,
    /// The messages sent to storage nodes.
    pub storage_messages: Vec<Message>,
}

pub fn at(number: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1_000 + number as u16).into()
}

/// A storage node.
pub fn storage(number: u64) -> Member {
    Member {
        id: NodeId(100 + number),
        name: Some(format!("storage-{number}")),
        address: at(100 + number as usize),
        http: None,
        role: MemberRole::Storage,
        zone: format!("zone-{number}").as_str().into(),
    }
}

impl Fleet {
    /// A fleet of `size` control nodes, of which the first `seeds` are named in the settings.
    pub fn new(size: usize, seeds: usize) -> Self {
        topazyard_wire::invariants::panic_on_violation(true);
        let mut fleet = Self {
            nodes: Vec::new(),
            seeds: (0..seeds).map(at).collect(),
            storage: Vec::new(),
            full_storage: Vec::new(),
            now: MonotonicMs(86_400_000),
            may_bootstrap: true,
            resources: topazyard_spec::Resources::default(),
            network: |_| Delivery::Once,
            delayed: Vec::new(),
            external: None,
            storage_messages: Vec::new(),
        };
        (0..size).for_each(|_| fleet.add());
        fleet
    }

    /// Adds a node with an empty disk.
    pub fn add(&mut self) {
        self.nodes.push(Node {
            machine: None,
            rows: Default::default(),
            outcome: None,
            list_reads: 0,
            full: None,
            starts: 0,
        });
        self.start(self.nodes.len() - 1);
    }

    /// Starts a node from its disk.
    pub fn start(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.starts += 1;
        // A node with an empty disk draws a new id.
        let fresh = NodeId(10 * node.starts + number as u64 + 1);
        let kept = node.rows.entry(topazyard_wire::Group::Node).or_default();
        let id = kept.get("id").and_then(|id| topazyard_wire::rows::decode(id)).unwrap_or(fresh);
        kept.insert("id".to_owned(), topazyard_wire::rows::encode(&id));
        let member = Member {
            id,
            name: Some(format!("core-{number}")),
            address: at(number),
            http: None,
            role: MemberRole::Control,
            zone: format!("zone-{number}").as_str().into(),
        };
        let start = DiskStart {
            resources: self.resources.clone(),
            member,
            seeds: self.seeds.clone(),
            random_seed: (node.starts << 40) + ((number as u64) << 32) + 1,
            loaded: node.rows.clone(),
            bounds: topazyard_spec::Bounds::default(),
            may_bootstrap: self.may_bootstrap,
        };
        let (mut machine, first) = ControlMachine::new(start, self.now);
        machine.set_engine_list_interval(DurationMs(500));
        self.nodes[number].machine = Some(machine);
        self.run_effects(number, first);
    }

    /// Stops a node, and erases its disk if `wipe` is set.
    pub fn stop(&mut self, number: usize, wipe: bool) {
        self.nodes[number].machine = None;
        if wipe {
            self.nodes[number].rows.clear();
        }
    }

    pub fn step(
        &mut self,
        number: usize,
        input: Input<ControlCall>,
    ) -> Vec<Effect<OperatorOutcome, ControlTask>> {
        let now = self.now;
        let machine = self.nodes[number].machine.as_mut();
        machine.map(|machine| machine.step(input, now)).unwrap_or_default()
    }

    pub fn run_effects(&mut self, number: usize, first: Vec<Effect<OperatorOutcome, ControlTask>>) {
        let mut queue: std::collections::VecDeque<(usize, Effect<_, _>)> =
            first.into_iter().map(|effect| (number, effect)).collect();
        while let Some((number, effect)) = queue.pop_front() {
            let (to, input) = match effect {
                Effect::Send { to, message } => {
                    if let Some((address, messages)) = &mut self.external
                        && *address == to
                    {
                        messages.push(message);
                        continue;
                    }
                    let Some(to) = (0..self.nodes.len()).find(|other| at(*other) == to) else {
                        self.storage_messages.push(message);
                        continue;
                    };
                    let sender = self.id(number);
                    let from = at(number);
                    let delivery = (self.network)(&message);
                    if delivery != Delivery::Once {
                        self.delayed.push(Frame { to, sender, from, message: message.clone() });
                    }
                    if delivery == Delivery::Delayed {
                        continue;
                    }
                    (to, Input::Frame { sender, from, message })
                }
                Effect::Write { token, changes } => {
                    if let Some(waiting) = &mut self.nodes[number].full {
                        waiting.push((token, changes));
                        (number, Input::Disk(DiskState::Full))
                    } else {
                        self.sync(number, token, changes);
                        (number, Input::Written(token))
                    }
                }
                Effect::Respond { value, .. } => {
                    self.nodes[number].outcome = Some(value);
                    continue;
                }
                Effect::StartTask(ControlTask::ListEngines) => {
                    self.nodes[number].list_reads += 1;
                    continue;
                }
                Effect::StartTask(ControlTask::FetchLoads(_)) | Effect::Log { .. } => continue,
            };
            let more = self.step(to, input);
            queue.extend(more.into_iter().map(|effect| (to, effect)));
        }
    }

    /// Sends a frame from a node outside the fleet, and returns what that node receives.
    pub fn frame(
        &mut self,
        to: usize,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: Message,
    ) -> Vec<Message> {
        self.external = Some((from, Vec::new()));
        let effects = self.step(to, Input::Frame { sender, from, message });
        self.run_effects(to, effects);
        self.external.take().map(|(_, messages)| messages).unwrap_or_default()
    }

    /// Delivers a frame.
    pub fn deliver(&mut self, frame: Frame) {
        let Frame { to, sender, from, message } = frame;
        let effects = self.step(to, Input::Frame { sender, from, message });
        self.run_effects(to, effects);
    }

    /// Delivers all frames that were delayed or duplicated. The frames that result are delivered at
    /// once.
    pub fn deliver_delayed(&mut self) {
        self.network = |_| Delivery::Once;
        for frame in std::mem::take(&mut self.delayed) {
            self.deliver(frame);
        }
    }

    pub fn sync(&mut self, number: usize, token: WriteToken, changes: Vec<RowChange>) {
        let rows = self.nodes[number].rows.entry(token.group).or_default();
        for change in changes {
            match change.value {
                Some(value) => drop(rows.insert(change.key, value)),
                None => drop(rows.remove(&change.key)),
            }
        }
    }

    /// Advances the time.
    pub fn run(&mut self, for_ms: u64) {
        let end = self.now.plus(DurationMs(for_ms));
        while self.now < end {
            self.now = self.now.plus(TICK);
            for number in 0..self.nodes.len() {
                let effects = self.step(number, Input::Tick);
                self.run_effects(number, effects);
            }
            if self.now.0.is_multiple_of(200) {
                self.send_storage_requests();
            }
        }
    }

    fn send_storage_requests(&mut self) {
        for member in self.storage.clone() {
            let health = Health::Storage {
                member: member.clone(),
                disk: match self.full_storage.contains(&member.id) {
                    true => DiskState::Full,
                    false => DiskState::Healthy,
                },
                write_wait_ms: 0,
                waiting: Vec::new(),
                live_tokens: None,
            };
            for number in 0..self.nodes.len() {
                let request = FeedMessage::Request {
                    nonce: 1,
                    after: Default::default(),
                    part: None,
                    last_response_age: Some(DurationMs(0)),
                    health: health.clone(),
                };
                let (sender, from) = (member.id, member.address);
                let message = Message::Feed(request);
                let effects = self.step(number, Input::Frame { sender, from, message });
                self.run_effects(number, effects);
            }
        }
    }

    /// A node's id.
    pub fn id(&self, number: usize) -> NodeId {
        let rows = &self.nodes[number].rows[&topazyard_wire::Group::Node];
        topazyard_wire::rows::decode(&rows["id"]).expect("an id")
    }

    /// Delivers a message of a storage node.
    pub fn deliver_from(&mut self, number: usize, from: &Member, message: Message) {
        let (sender, from) = (from.id, from.address);
        let effects = self.step(number, Input::Frame { sender, from, message });
        self.run_effects(number, effects);
    }

    /// The node that serves as primary, if there is one.
    pub fn primary(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.machine.as_ref().is_some_and(|m| m.is_serving()))
    }

    /// Makes a call from within a node's process.
    pub fn call(&mut self, number: usize, request: ControlCall) {
        let effects = self.step(number, Input::Call { call: CallId(1), request });
        self.run_effects(number, effects);
    }

    /// Sends an operation to a node and returns its outcome.
    pub fn operate(&mut self, number: usize, operate: OperatorRequest) -> Option<OperatorOutcome> {
        self.nodes[number].outcome = None;
        self.call(number, ControlCall::Operate(operate));
        self.run(100);
        self.nodes[number].outcome.take()
    }

    pub fn command(&mut self, number: usize, command: Command) -> Option<OperatorOutcome> {
        self.operate(number, OperatorRequest::Command(command))
    }

    pub fn query(&mut self, number: usize, query: Query) -> Option<OperatorOutcome> {
        self.operate(number, OperatorRequest::Query(query))
    }
}
