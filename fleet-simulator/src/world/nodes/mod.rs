//! Simulated processes, each running one of the real state machines.

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

/// The index of a process in the world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIndex(pub usize);

/// The kind of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeKind {
    /// A control node.
    Control,
    /// A storage node.
    Storage,
    /// An edge agent next to a relay.
    Agent,
    /// A relay.
    Relay,
}

/// The state machine that a process runs.
pub(crate) enum NodeMachine {
    /// The process is not running.
    Stopped,
    /// The machine of a control node.
    Control(Box<ControlMachine>),
    /// The machine of a storage node.
    Storage(Box<StorageMachine>),
    /// The machine of an edge agent.
    Agent(Box<AgentMachine>),
    /// The machine of a relay.
    Relay(Box<RelayMachine>),
}

/// Suffix of the name of a process that was replaced or removed.
pub(crate) const REPLACED: &str = " (replaced)";

/// A simulated process and the machine it runs on.
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its kind.
    pub kind: NodeKind,
    /// The address it receives frames on.
    pub address: std::net::SocketAddr,
    /// The address of the agent next to a relay, or of the relay next to an agent.
    pub neighbour: Option<std::net::SocketAddr>,
    /// Its failure zone.
    pub zone: u16,
    /// The seed addresses in its settings: where control nodes were when it was set up.
    seeds: Vec<std::net::SocketAddr>,
    /// Its disk.
    pub disk: Disk,
    pub(crate) machine: NodeMachine,
    pub(crate) id: NodeId,
    /// Rises with each start and stop, so that events of an earlier run are ignored.
    pub(crate) generation: u64,
    pub(crate) frozen_until: Option<Micros>,
    /// A simulated time and what the process's clock showed then. Since then the clock has run
    /// faster than real time by `rate_ppm` parts per million.
    clock_reference: (Micros, Micros),
    rate_ppm: i64,
    clock_stopped_us: Micros,
    last_call: u64,
    calls: std::collections::BTreeMap<CallId, Caller>,
}

impl Node {
    /// Whether another machine replaced it, or it was removed.
    pub fn is_replaced(&self) -> bool {
        self.name.ends_with(REPLACED)
    }

    /// Whether the process is running.
    pub fn is_running(&self) -> bool {
        !matches!(self.machine, NodeMachine::Stopped)
    }
}

impl World {
    /// Adds a process that is not running yet.
    pub fn add_node(
        &mut self,
        name: String,
        kind: NodeKind,
        port: u16,
        neighbour: Option<u16>,
        zone: u16,
    ) -> NodeIndex {
        let at = |port: u16| std::net::SocketAddr::from(([10, 0, 0, 1], port));
        let seeds = self.seeds.clone();
        self.nodes.push(Node {
            name,
            kind,
            address: at(port),
            neighbour: neighbour.map(at),
            zone,
            seeds,
            disk: Disk::default(),
            machine: NodeMachine::Stopped,
            id: NodeId(0),
            generation: 0,
            frozen_until: None,
            clock_reference: (0, 0),
            rate_ppm: 0,
            clock_stopped_us: 0,
            last_call: 0,
            calls: std::collections::BTreeMap::new(),
        });
        NodeIndex(self.nodes.len() - 1)
    }

    /// Starts a process from the synced rows of its disk. If the disk is full, the process starts
    /// once there is space.
    pub fn start(&mut self, index: NodeIndex) {
        if self.nodes[index.0].is_running() {
            return;
        }
        if self.nodes[index.0].disk.is_full {
            self.nodes[index.0].disk.start_is_waiting = true;
            return;
        }
        let random_seed = self.draw(0..u64::MAX);
        let new_id = NodeId(self.draw(1..u64::MAX) | 1);
        let time = self.time;
        let name = self.nodes[index.0].name.clone();
        self.end_outage(&name);
        let node = &mut self.nodes[index.0];
        node.disk.reported_full = false;
        let seeds = node.seeds.clone();
        node.generation += 1;
        node.clock_reference = (time, 0);
        node.clock_stopped_us = 0;
        node.frozen_until = None;
        node.calls.clear();
        let keeps_id = matches!(node.kind, NodeKind::Control | NodeKind::Storage);
        let rows = node.disk.synced.entry(topazyard_wire::Group::Node).or_default();
        let stored_id = rows.get("id").and_then(|value| topazyard_wire::rows::decode(value));
        node.id = match stored_id {
            Some(id) if keeps_id => id,
            _ => {
                if let Some(value) = RowChange::put("id", &new_id).value {
                    rows.insert("id".to_owned(), value);
                }
                new_id
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
        let neighbour = node.neighbour.unwrap_or(node.address);
        let id = node.id;
        let now = self.node_clock(index);
        let mut initial_effects = Vec::new();
        let machine = match kind {
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
                initial_effects = effects;
                NodeMachine::Control(Box::new(machine))
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
                NodeMachine::Storage(Box::new(StorageMachine::new(start)))
            }
            NodeKind::Agent => {
                let known_control_nodes =
                    topazyard_wire::driver::disk_start::KnownControlNodes::read(&loaded);
                let start = topazyard_edge_agent::Start {
                    member,
                    seeds,
                    remembered: Some(known_control_nodes),
                    relay: neighbour,
                    random_seed,
                };
                NodeMachine::Agent(Box::new(AgentMachine::new(start)))
            }
            NodeKind::Relay => {
                let start = topazyard_relay::Start { node: id, agent: neighbour, bounds };
                NodeMachine::Relay(Box::new(RelayMachine::new(&start)))
            }
        };
        self.nodes[index.0].machine = machine;
        let generation = self.nodes[index.0].generation;
        for effect in initial_effects {
            self.apply_control_effect(index, effect);
        }
        let offset = self.draw(0..steps::TICK_US);
        self.schedule_after(offset, Event::Tick(index, generation));
    }

    /// Stops a process; `loses_power` says whether its machine loses power too.
    pub fn stop(&mut self, index: NodeIndex, loses_power: bool) {
        let extra_writes = self.draw(0..4) as usize;
        if self.nodes[index.0].is_running() {
            self.record_impairment(index, ImpairmentKind::Off);
        }
        let node = &mut self.nodes[index.0];
        node.machine = NodeMachine::Stopped;
        node.generation += 1;
        node.frozen_until = None;
        if loses_power {
            node.disk.lose_power();
        } else {
            node.disk.keep_some_writes(extra_writes);
        }
        self.abort_sessions_of(index);
    }

    /// Freezes a process: its events wait until it wakes.
    pub fn freeze(&mut self, index: NodeIndex, us: Micros) {
        let until = self.time + us;
        self.nodes[index.0].frozen_until = Some(until);
        self.record_impairment(index, ImpairmentKind::Frozen);
        if let Some(impairment) = self.history.impairments.last_mut() {
            impairment.until = Some(until);
        }
        if self.injected_bug == Some(InjectedBug::StoppedClock) {
            self.nodes[index.0].clock_stopped_us += us;
        }
    }

    /// Records that a process's machine is impaired from now on.
    pub(crate) fn record_impairment(&mut self, index: NodeIndex, kind: ImpairmentKind) {
        let node = &self.nodes[index.0];
        let has_disk = matches!(node.kind, NodeKind::Control | NodeKind::Storage);
        let (name, from) = (node.name.clone(), self.time);
        self.history.impairments.push(Impairment { name, kind, has_disk, from, until: None });
    }

    /// Records that all impairments of this kind have ended.
    pub(crate) fn end_impairments(&mut self, kind: ImpairmentKind) {
        self.end_impairments_where(|impairment| impairment.kind == kind);
    }

    /// Removes a machine for good: others hold its data, so its absence no longer counts as an
    /// outage.
    pub(crate) fn remove(&mut self, index: NodeIndex) {
        self.stop(index, true);
        let node = &mut self.nodes[index.0];
        node.disk.synced.clear();
        if !node.is_replaced() {
            node.name.push_str(REPLACED);
        }
        let name = node.name.strip_suffix(REPLACED).unwrap_or_default().to_owned();
        self.end_outage(&name);
        self.end_outage(&format!("{name}{REPLACED}"));
    }

    /// Records that the outage of the machine with this name has ended.
    pub(crate) fn end_outage(&mut self, name: &str) {
        self.end_impairments_where(|impairment| {
            impairment.kind == ImpairmentKind::Off && impairment.name == name
        });
    }

    fn end_impairments_where(&mut self, has_ended: impl Fn(&Impairment) -> bool) {
        let open =
            self.history.impairments.iter_mut().filter(|impairment| impairment.until.is_none());
        for impairment in open.filter(|impairment| has_ended(impairment)) {
            impairment.until = Some(self.time);
        }
    }

    /// Whether a process is frozen now.
    pub(crate) fn is_frozen(&self, index: NodeIndex) -> bool {
        self.nodes[index.0].frozen_until.is_some_and(|until| until > self.time)
    }

    /// Postpones an event while a process is frozen. Returns whether it did.
    pub(crate) fn defer_if_frozen(
        &mut self,
        index: NodeIndex,
        event: impl FnOnce() -> Event,
    ) -> bool {
        match self.nodes[index.0].frozen_until {
            Some(until) if until > self.time => {
                self.schedule_at(until, event());
                true
            }
            _ => false,
        }
    }

    pub(crate) fn running_node_at(&self, address: std::net::SocketAddr) -> Option<NodeIndex> {
        let is_match = |node: &Node| node.address == address && node.is_running();
        self.nodes.iter().position(is_match).map(NodeIndex)
    }

    /// The newest process with this name.
    pub fn node_named(&self, name: &str) -> Option<NodeIndex> {
        self.nodes.iter().rposition(|node| node.name == name).map(NodeIndex)
    }
}
