//! A few control nodes that speak over a perfect network and disks that sync at once.

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
    pub returned: Option<OperatorOutcome>,
    pub lists_begun: usize,
    /// What waits for room, where its disk is full.
    pub full: Option<Vec<(WriteToken, Vec<RowChange>)>>,
    lives: u64,
}

/// What the network does with a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It arrives.
    Arrives,
    /// It arrives, and a copy of it when the test says so.
    ArrivesTwice,
    /// It arrives when the test says so.
    Waits,
}

/// A frame that is under way.
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
    /// Those of them whose disk is full.
    pub full_storage: Vec<NodeId>,
    pub now: MonotonicMs,
    pub may_bootstrap: bool,
    pub resources: topazyard_spec::Resources,
    /// Decides what happens to each frame.
    pub network: fn(&Message) -> Fate,
    /// Frames that the test lets arrive.
    pub late: Vec<Frame>,
    /// A node outside the fleet, and what it was sent.
    outside: Option<(std::net::SocketAddr, Vec<Message>)>,
    /// What was said to storage nodes.
    pub told: Vec<Message>,
}

pub fn at(number: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1_000 + number as u16).into()
}

/// A storage node that says it is well.
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
    /// A fleet of so many control nodes, of which the first `seeds` are in the settings.
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
            network: |_| Fate::Arrives,
            late: Vec::new(),
            outside: None,
            told: Vec::new(),
        };
        (0..size).for_each(|_| fleet.add());
        fleet
    }

    /// Adds a node with an empty disk.
    pub fn add(&mut self) {
        self.nodes.push(Node {
            machine: None,
            rows: Default::default(),
            returned: None,
            lists_begun: 0,
            full: None,
            lives: 0,
        });
        self.start(self.nodes.len() - 1);
    }

    /// Starts a node with what its disk holds.
    pub fn start(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.lives += 1;
        // A node with an empty disk draws a new id.
        let fresh = NodeId(10 * node.lives + number as u64 + 1);
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
            random_seed: (node.lives << 40) + ((number as u64) << 32) + 1,
            loaded: node.rows.clone(),
            bounds: topazyard_spec::Bounds::default(),
            may_bootstrap: self.may_bootstrap,
        };
        let (mut machine, first) = ControlMachine::new(start, self.now);
        machine.set_engine_list_interval(DurationMs(500));
        self.nodes[number].machine = Some(machine);
        self.happen(number, first);
    }

    /// Ends a node; its disk stays, or is lost too.
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

    pub fn happen(&mut self, number: usize, first: Vec<Effect<OperatorOutcome, ControlTask>>) {
        let mut queue: std::collections::VecDeque<(usize, Effect<_, _>)> =
            first.into_iter().map(|effect| (number, effect)).collect();
        while let Some((number, effect)) = queue.pop_front() {
            let (to, input) = match effect {
                Effect::Send { to, message } => {
                    if let Some((address, messages)) = &mut self.outside
                        && *address == to
                    {
                        messages.push(message);
                        continue;
                    }
                    let Some(to) = (0..self.nodes.len()).find(|other| at(*other) == to) else {
                        self.told.push(message);
                        continue;
                    };
                    let sender = self.id(number);
                    let from = at(number);
                    let fate = (self.network)(&message);
                    if fate != Fate::Arrives {
                        self.late.push(Frame { to, sender, from, message: message.clone() });
                    }
                    if fate == Fate::Waits {
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
                    self.nodes[number].returned = Some(value);
                    continue;
                }
                Effect::StartTask(ControlTask::ListEngines) => {
                    self.nodes[number].lists_begun += 1;
                    continue;
                }
                Effect::StartTask(ControlTask::FetchLoads(_)) | Effect::Log { .. } => continue,
            };
            let more = self.step(to, input);
            queue.extend(more.into_iter().map(|effect| (to, effect)));
        }
    }

    /// Lets a node outside the fleet send a frame, and gives what it is sent.
    pub fn frame(
        &mut self,
        to: usize,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: Message,
    ) -> Vec<Message> {
        self.outside = Some((from, Vec::new()));
        let effects = self.step(to, Input::Frame { sender, from, message });
        self.happen(to, effects);
        self.outside.take().map(|(_, messages)| messages).unwrap_or_default()
    }

    /// Lets a frame arrive.
    pub fn arrive(&mut self, frame: Frame) {
        let Frame { to, sender, from, message } = frame;
        let effects = self.step(to, Input::Frame { sender, from, message });
        self.happen(to, effects);
    }

    /// Lets all frames arrive that were held back or doubled; what follows from them arrives at
    /// once.
    pub fn arrive_all(&mut self) {
        self.network = |_| Fate::Arrives;
        for frame in std::mem::take(&mut self.late) {
            self.arrive(frame);
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

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let until = self.now.plus(DurationMs(for_ms));
        while self.now < until {
            self.now = self.now.plus(TICK);
            for number in 0..self.nodes.len() {
                let effects = self.step(number, Input::Tick);
                self.happen(number, effects);
            }
            if self.now.0.is_multiple_of(200) {
                self.storage_asks();
            }
        }
    }

    fn storage_asks(&mut self) {
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
                let ask = FeedMessage::Request {
                    nonce: 1,
                    after: Default::default(),
                    part: None,
                    last_response_age: Some(DurationMs(0)),
                    health: health.clone(),
                };
                let (sender, from) = (member.id, member.address);
                let message = Message::Feed(ask);
                let effects = self.step(number, Input::Frame { sender, from, message });
                self.happen(number, effects);
            }
        }
    }

    /// A node's id.
    pub fn id(&self, number: usize) -> NodeId {
        let rows = &self.nodes[number].rows[&topazyard_wire::Group::Node];
        topazyard_wire::rows::decode(&rows["id"]).expect("an id")
    }

    /// Has a node hear what a storage node says.
    pub fn hear(&mut self, number: usize, from: &Member, message: Message) {
        let (sender, from) = (from.id, from.address);
        let effects = self.step(number, Input::Frame { sender, from, message });
        self.happen(number, effects);
    }

    /// Which node serves, if one does.
    pub fn primary(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.machine.as_ref().is_some_and(|m| m.is_serving()))
    }

    /// Hands in a call from within a node's process.
    pub fn tell(&mut self, number: usize, request: ControlCall) {
        let effects = self.step(number, Input::Call { call: CallId(1), request });
        self.happen(number, effects);
    }

    /// Asks a node and gives what it returns.
    pub fn ask(&mut self, number: usize, operate: OperatorRequest) -> Option<OperatorOutcome> {
        self.nodes[number].returned = None;
        self.tell(number, ControlCall::Operate(operate));
        self.run(100);
        self.nodes[number].returned.take()
    }

    pub fn command(&mut self, number: usize, command: Command) -> Option<OperatorOutcome> {
        self.ask(number, OperatorRequest::Command(command))
    }

    pub fn query(&mut self, number: usize, query: Query) -> Option<OperatorOutcome> {
        self.ask(number, OperatorRequest::Query(query))
    }
}
