//! Simulated processes, each with one of the real machines.

mod clocks;
mod in_force;
mod inspection;
mod steps;

use super::{Caller, Disk, Event, InjectedBug, World};
use crate::history::{Impairment, ImpairmentKind, Micros};
use topazyard_control::ControlMachine;
use topazyard_edge_agent::AgentMachine;
use topazyard_relay::RelayMachine;
use topazyard_storage::StorageMachine;
use topazyard_types::{CallId, NodeId};
use topazyard_wire::RowChange;
use topazyard_wire::driver::DiskStart;
use topazyard_wire::message::membership::{Member, MemberRole};

/// Names a process in the world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIndex(pub usize);

/// What a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeKind {
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

/// How the name of a process ends whose place another took, or that was taken away.
pub(crate) const REPLACED: &str = " (replaced)";

/// A process.
pub struct Node {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: NodeKind,
    /// Where it takes frames.
    pub address: std::net::SocketAddr,
    /// Its neighbour, for relays and agents.
    pub beside: Option<std::net::SocketAddr>,
    /// Its failure zone.
    pub zone: u16,
    /// The seeds in its settings: where control nodes were when it was set up.
    seeds: Vec<std::net::SocketAddr>,
    /// Its disk.
    pub disk: Disk,
    pub(crate) body: Body,
    pub(crate) id: NodeId,
    /// Rises with each start.
    pub(crate) life: u64,
    pub(crate) frozen_until: Option<Micros>,
    /// What its clock showed at some moment, and how much faster than right it runs since, in
    /// millionths.
    clock_at: (Micros, Micros),
    rate_ppm: i64,
    stood_still: Micros,
    last_call: u64,
    calls: std::collections::BTreeMap<CallId, Caller>,
}

impl Node {
    /// Whether another machine took its place, or it was taken away.
    pub fn is_replaced(&self) -> bool {
        self.name.ends_with(REPLACED)
    }

    /// Whether it runs.
    pub fn is_running(&self) -> bool {
        !matches!(self.body, Body::Off)
    }
}

impl World {
    /// Adds a process that does not run yet.
    pub fn add_node(
        &mut self,
        name: String,
        kind: NodeKind,
        port: u16,
        beside: Option<u16>,
        zone: u16,
    ) -> NodeIndex {
        let at = |port: u16| std::net::SocketAddr::from(([10, 0, 0, 1], port));
        let seeds = self.seeds.clone();
        self.nodes.push(Node {
            name,
            kind,
            address: at(port),
            beside: beside.map(at),
            zone,
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

    /// Starts a process from what its disk holds.
    pub fn start(&mut self, index: NodeIndex) {
        if self.nodes[index.0].is_running() {
            return;
        }
        if self.nodes[index.0].disk.is_full {
            self.nodes[index.0].disk.is_awaited = true;
            return;
        }
        let random_seed = self.draw(0..u64::MAX);
        let fresh = NodeId(self.draw(1..u64::MAX) | 1);
        let time = self.time;
        let name = self.nodes[index.0].name.clone();
        self.mend_off(&name);
        let node = &mut self.nodes[index.0];
        node.disk.is_told_full = false;
        let seeds = node.seeds.clone();
        node.life += 1;
        node.clock_at = (time, 0);
        node.stood_still = 0;
        node.frozen_until = None;
        node.calls.clear();
        let keeps_id = matches!(node.kind, NodeKind::Control | NodeKind::Storage);
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
        let role = match node.kind {
            NodeKind::Control => MemberRole::Control,
            NodeKind::Storage => MemberRole::Storage,
            NodeKind::Agent | NodeKind::Relay => MemberRole::Edge,
        };
        let member = Member {
            id: node.id,
            name: Some(format!("node-{}", node.id)),
            address: node.address,
            http: None,
            role,
            zone: topazyard_types::ZoneName(format!("zone-{}", node.zone)),
        };
        let loaded = node.disk.synced.clone();
        let bounds = self.bounds.clone();
        let kind = node.kind;
        let beside = node.beside.unwrap_or(node.address);
        let id = node.id;
        let now = self.node_clock(index);
        let mut first = Vec::new();
        let body = match kind {
            NodeKind::Control => {
                let resources = topazyard_spec::Resources::default();
                let start = DiskStart {
                    member,
                    seeds,
                    random_seed,
                    loaded,
                    bounds,
                    resources,
                    may_bootstrap: true,
                };
                let (machine, effects) = ControlMachine::new(start, now);
                first = effects;
                Body::Control(Box::new(machine))
            }
            NodeKind::Storage => {
                let resources = topazyard_spec::Resources::default();
                let start = DiskStart {
                    member,
                    seeds,
                    random_seed,
                    loaded,
                    bounds,
                    resources,
                    may_bootstrap: true,
                };
                Body::Storage(Box::new(StorageMachine::new(start)))
            }
            NodeKind::Agent => {
                let remembered =
                    topazyard_wire::driver::disk_start::KnownControlNodes::read(&loaded);
                let start = topazyard_edge_agent::Start {
                    member,
                    seeds,
                    remembered: Some(remembered),
                    relay: beside,
                    random_seed,
                };
                Body::Agent(Box::new(AgentMachine::new(start)))
            }
            NodeKind::Relay => {
                let start = topazyard_relay::Start { node: id, agent: beside, bounds };
                Body::Relay(Box::new(RelayMachine::new(&start)))
            }
        };
        self.nodes[index.0].body = body;
        let life = self.nodes[index.0].life;
        for effect in first {
            self.make_control(index, effect);
        }
        let offset = self.draw(0..steps::TICK_US);
        self.after(offset, Event::Tick(index, life));
    }

    /// Ends a process; `power` says whether the power goes with it.
    pub fn stop(&mut self, index: NodeIndex, power: bool) {
        let more = self.draw(0..4) as usize;
        if self.nodes[index.0].is_running() {
            self.strike_for(index, ImpairmentKind::Off);
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
    pub fn freeze(&mut self, index: NodeIndex, us: Micros) {
        let until = self.time + us;
        self.nodes[index.0].frozen_until = Some(until);
        self.strike_for(index, ImpairmentKind::Frozen);
        if let Some(struck) = self.history.impairments.last_mut() {
            struck.until = Some(until);
        }
        if self.injected_bug == Some(InjectedBug::StoppedClock) {
            self.nodes[index.0].stood_still += us;
        }
    }

    /// Notes that a process's machine is struck from now on.
    pub(crate) fn strike_for(&mut self, index: NodeIndex, kind: ImpairmentKind) {
        let node = &self.nodes[index.0];
        let has_disk = matches!(node.kind, NodeKind::Control | NodeKind::Storage);
        let (name, from) = (node.name.clone(), self.time);
        self.history.impairments.push(Impairment { name, kind, has_disk, from, until: None });
    }

    /// Notes that all that were struck so are well again.
    pub(crate) fn mend(&mut self, kind: ImpairmentKind) {
        self.mend_where(|struck| struck.kind == kind);
    }

    /// Takes a machine away that is not missed, as others have what it had.
    pub(crate) fn remove(&mut self, index: NodeIndex) {
        self.stop(index, true);
        let node = &mut self.nodes[index.0];
        node.disk.synced.clear();
        if !node.is_replaced() {
            node.name.push_str(REPLACED);
        }
        let name = node.name.strip_suffix(REPLACED).unwrap_or_default().to_owned();
        self.mend_off(&name);
        self.mend_off(&format!("{name}{REPLACED}"));
    }

    /// Notes that the machine of that name is no longer missed.
    pub(crate) fn mend_off(&mut self, name: &str) {
        self.mend_where(|struck| struck.kind == ImpairmentKind::Off && struck.name == name);
    }

    fn mend_where(&mut self, is_mended: impl Fn(&Impairment) -> bool) {
        let open = self.history.impairments.iter_mut().filter(|struck| struck.until.is_none());
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
        let found = |node: &Node| node.address == address && node.is_running();
        self.nodes.iter().position(found).map(NodeIndex)
    }

    /// The newest process of that name.
    pub fn named(&self, name: &str) -> Option<NodeIndex> {
        self.nodes.iter().rposition(|node| node.name == name).map(NodeIndex)
    }
}
