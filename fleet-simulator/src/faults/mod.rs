//! Faults and their effects on the simulated world.

use crate::history::{FaultRecord, ImpairmentKind};
use crate::workload::Activity;
use crate::world::{
    Caller, EngineHealth, Event, InjectedBug, NodeIndex, NodeKind, REPLACED, World,
};
use topazyard_relay::RelayCall;
use topazyard_relay::drain::DrainTimes;
use topazyard_types::{DurationMs, ShardId};
use topazyard_wire::message::operate::{Command, OperatorRequest};

/// The process a fault applies to, resolved when the fault happens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultTarget {
    /// The process with this name.
    Named(String),
    /// The control primary at that time.
    ControlPrimary,
    /// The first running control node that is not the primary.
    OtherControl,
    /// The first control backup in the primary's epoch record.
    ControlBackup,
    /// A control node that is neither primary nor backup.
    ControlSpare,
    /// The primary of a shard at that time.
    ShardPrimary(u16),
    /// A running storage node that has a copy of a shard and is not its primary.
    ShardHolder(u16),
}

/// A fault, or a change of load or configuration that a scenario makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed.
    Kill(FaultTarget),
    /// A machine loses power and all unsynced writes.
    LosePower(FaultTarget),
    /// A machine loses its disk and power.
    LoseDisk(FaultTarget),
    /// A stopped process starts again.
    Start(FaultTarget),
    /// All stopped processes start again, except replaced ones.
    StartAll,
    /// A process freezes for this many milliseconds.
    Freeze(FaultTarget, u64),
    /// A process is cut off from all others, in one or both directions.
    CutOff(FaultTarget, Direction),
    /// A process is cut off from control nodes only.
    CutOffFromCore(FaultTarget, Direction),
    /// Control nodes and storage nodes can't reach each other.
    SplitCoreFromStorage,
    /// A zone is cut off from all others.
    CutZone(u16),
    /// Every machine of a zone loses power.
    LoseZone(u16),
    /// Of ten thousand frames, this many are duplicated and as many arrive up to 3 s late.
    Untidy(u64),
    /// From now on each clock runs up to 1 % too fast or too slow.
    Drift,
    /// All blocked links work again.
    Mend,
    /// Of ten thousand frames, this many are lost.
    Lossy(u64),
    /// Each sync of a disk takes this many milliseconds longer.
    SlowDisk(FaultTarget, u64),
    /// All disks have their usual speed again.
    FastDisks,
    /// A disk is full.
    FullDisk(FaultTarget),
    /// All processes whose disk is full are killed.
    KillFull,
    /// All disks have free space again.
    Room,
    /// The health of an engine changes.
    Engine(u16, EngineHealth),
    /// The platform lists an engine as leaving.
    EngineLeaves(u16),
    /// The platform lists an engine as ready again.
    EngineReady(u16),
    /// Clients send this many prompts a second.
    Crowd(u64),
    /// This many batches are submitted at once.
    Batches(u64),
    /// A machine is replaced by an empty one at a new address.
    Replace(FaultTarget),
    /// An empty machine is started at a new address to take the place of a machine, which keeps
    /// running.
    Succeed(FaultTarget),
    /// A control node is requested to leave.
    Leave(FaultTarget),
    /// A machine that was replaced is removed.
    Remove(FaultTarget),
    /// An operator requests the retirement of a storage node and removes it once that is completed.
    Retire(FaultTarget),
    /// Of a hundred responses to operators, this many are lost.
    LoseAnswers(u64),
    /// Operators submit numbered configurations at this interval in milliseconds.
    OrdersEvery(u64),
    /// A new storage node is added.
    AddStorage,
    /// A relay is requested to drain.
    Drain(FaultTarget),
    /// An operator requests a storage node to be emptied.
    Empty(FaultTarget),
    /// New configurations have this many extra model routes.
    MoreLanes(u64),
    /// New configurations have this ceiling on waiting batch work.
    Ceiling(u64),
    /// After this many more responses to clients about a batch, the maximum number of disks is
    /// lost, among them disks with copies of the batch's shard, and all other machines lose power
    /// at the same instant. All start again after this many milliseconds.
    WipeAfterAnswers(u64, u64),
    /// The machines with a disk are split into two halves that can't reach each other; the number
    /// seeds the split.
    Halves(u64),
}

/// The directions in which a process is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Both directions.
    Both,
    /// Only the frames it sends.
    Outward,
    /// Only the frames it receives.
    Inward,
}

impl World {
    fn resolve(&self, target: &FaultTarget) -> Option<NodeIndex> {
        match target {
            FaultTarget::Named(name) => self.node_named(name),
            FaultTarget::ControlPrimary => self.control_primary(),
            FaultTarget::OtherControl => {
                let primary = self.control_primary();
                (0..self.nodes.len()).map(NodeIndex).find(|index| {
                    let node = &self.nodes[index.0];
                    node.kind == NodeKind::Control && node.is_running() && Some(*index) != primary
                })
            }
            FaultTarget::ControlBackup => self.control_backup(),
            FaultTarget::ControlSpare => self.control_spare(),
            FaultTarget::ShardPrimary(shard) => self.shard_primary(ShardId(*shard)),
            FaultTarget::ShardHolder(shard) => self.other_replica(ShardId(*shard)),
        }
    }

    /// Applies a fault and records it in the history.
    pub(crate) fn apply_fault(&mut self, fault: Fault) {
        let target = match &fault {
            Fault::Kill(target)
            | Fault::LosePower(target)
            | Fault::LoseDisk(target)
            | Fault::Freeze(target, _)
            | Fault::CutOff(target, _)
            | Fault::CutOffFromCore(target, _)
            | Fault::Succeed(target)
            | Fault::Leave(target)
            | Fault::Remove(target)
            | Fault::Retire(target)
            | Fault::SlowDisk(target, _)
            | Fault::FullDisk(target)
            | Fault::Drain(target)
            | Fault::Empty(target)
            | Fault::Start(target)
            | Fault::Replace(target) => self.resolve(target),
            _ => None,
        };
        let name = target.map_or(String::new(), |index| self.nodes[index.0].name.clone());
        let text = format!("{fault:?} {name}");
        self.history.faults.push(FaultRecord { text, at: self.time });
        match fault {
            Fault::Kill(_) => self.stop_target(target, false),
            Fault::LosePower(_) => self.stop_target(target, true),
            Fault::LoseDisk(_) => {
                self.stop_target(target, true);
                if let Some(index) = target {
                    self.nodes[index.0].disk.synced.clear();
                }
            }
            Fault::Start(_) => {
                if let Some(index) = target {
                    self.start(index);
                }
            }
            Fault::StartAll => {
                for index in 0..self.nodes.len() {
                    if !self.nodes[index].is_replaced() {
                        self.start(NodeIndex(index));
                    }
                }
            }
            Fault::Freeze(_, ms) => {
                if let Some(index) = target {
                    self.freeze(index, ms * 1_000);
                }
            }
            Fault::CutOff(_, direction) => {
                if let Some(index) = target {
                    self.isolate(index, direction, |_| true);
                }
            }
            Fault::CutOffFromCore(_, direction) => {
                if let Some(index) = target {
                    let core = self.addresses_of(NodeKind::Control);
                    self.isolate(index, direction, |other| core.contains(&other));
                }
            }
            Fault::SplitCoreFromStorage => {
                let core = self.addresses_of(NodeKind::Control);
                let storage = self.addresses_of(NodeKind::Storage);
                self.block_where(|from, to| {
                    (core.contains(&from) && storage.contains(&to))
                        || (storage.contains(&from) && core.contains(&to))
                });
            }
            Fault::CutZone(zone) => {
                let inside = self.nodes_in_zone(zone);
                inside.iter().for_each(|index| self.record_impairment(*index, ImpairmentKind::Cut));
                let inside: std::collections::BTreeSet<_> =
                    inside.into_iter().map(|index| self.nodes[index.0].address).collect();
                self.block_where(|from, to| inside.contains(&from) != inside.contains(&to));
            }
            Fault::LoseZone(zone) => {
                for index in self.nodes_in_zone(zone) {
                    self.stop(index, true);
                }
            }
            Fault::Untidy(share) => self.network.disordered_per_10000 = share,
            Fault::Drift => {
                for index in 0..self.nodes.len() {
                    let rate_ppm = self.draw(0..20_001) as i64 - 10_000;
                    self.set_clock_rate(NodeIndex(index), rate_ppm);
                }
            }
            Fault::Mend => {
                self.network.unblock_all();
                self.end_impairments(ImpairmentKind::Cut);
            }
            Fault::Lossy(share) => self.network.loss_per_10000 = share,
            Fault::SlowDisk(_, ms) => {
                if let Some(index) = target {
                    self.nodes[index.0].disk.slow_us = ms * 1_000;
                    self.record_impairment(index, ImpairmentKind::SlowDisk);
                }
            }
            Fault::FastDisks => {
                self.nodes.iter_mut().for_each(|node| node.disk.slow_us = 0);
                self.end_impairments(ImpairmentKind::SlowDisk);
            }
            Fault::FullDisk(_) => {
                if let Some(index) = target {
                    self.nodes[index.0].disk.is_full = true;
                    self.record_impairment(index, ImpairmentKind::FullDisk);
                }
            }
            Fault::KillFull => {
                for index in 0..self.nodes.len() {
                    if self.nodes[index].disk.is_full {
                        self.stop(NodeIndex(index), false);
                    }
                }
            }
            Fault::Room => {
                (0..self.nodes.len()).for_each(|index| self.free_space(NodeIndex(index)));
                self.end_impairments(ImpairmentKind::FullDisk);
            }
            Fault::Engine(engine, health) => self.set_engine_health(usize::from(engine), health),
            Fault::EngineLeaves(engine) => {
                let name = self.engines[usize::from(engine)].name.clone();
                self.workload.listed_ready.remove(&name);
                self.list_engines();
            }
            Fault::EngineReady(engine) => {
                let name = self.engines[usize::from(engine)].name.clone();
                self.workload.listed_ready.insert(name);
                self.list_engines();
            }
            Fault::Crowd(rate) => self.workload.settings.prompts_per_s = rate,
            Fault::Batches(count) => (0..count).for_each(|_| self.submit_batch()),
            Fault::Replace(_) => {
                if let Some(index) = target {
                    self.stop(index, true);
                    self.start_successor(index);
                }
            }
            Fault::Succeed(_) => {
                if let Some(index) = target {
                    self.start_successor(index);
                }
            }
            Fault::Leave(_) => {
                if let Some(index) = target {
                    self.request_leave(index);
                }
            }
            Fault::Remove(_) => {
                if let Some(index) = target {
                    self.remove(index);
                }
            }
            Fault::Retire(_) => {
                if let Some(index) = target {
                    self.schedule_after(0, Event::Activity(Activity::Retire(index)));
                }
            }
            Fault::LoseAnswers(percent) => self.workload.settings.lost_responses_percent = percent,
            Fault::OrdersEvery(ms) => self.workload.settings.order_interval_ms = ms,
            Fault::AddStorage => {
                let number = self.nodes.iter().filter(|n| n.kind == NodeKind::Storage).count() + 1;
                let zone = number as u16 % self.zones;
                let port = 2_100 + number as u16;
                let name = format!("storage-{number}");
                let index = self.add_node(name, NodeKind::Storage, port, None, zone);
                self.start(index);
            }
            Fault::Drain(_) => {
                if self.injected_bug == Some(InjectedBug::SkipDrain) {
                    self.stop_target(target, false);
                } else if let Some(relay) = target {
                    let grace = topazyard_spec::Bounds::default().grace;
                    let times = DrainTimes::within(grace, DurationMs(0));
                    self.call_relay(relay, RelayCall::Drain(times), Caller::Ignored);
                }
            }
            Fault::Empty(_) => {
                if let (Some(index), Some(control)) = (target, self.draw_node(NodeKind::Control)) {
                    let command = Command::EmptyStorage(self.nodes[index.0].id);
                    self.call_control(control, OperatorRequest::Command(command), Caller::Ignored);
                }
            }
            Fault::Ceiling(tokens) => self.workload.settings.waiting_ceiling = tokens,
            Fault::MoreLanes(lanes) => self.workload.settings.extra_model_routes = lanes,
            Fault::WipeAfterAnswers(responses, down_ms) => self.wipe_after = (responses, down_ms),
            Fault::Halves(seed) => self.split_into_halves(seed),
        }
    }

    /// Counts a response to a client about a batch, and causes the loss of disks and power planned
    /// by `Fault::WipeAfterAnswers` once enough responses were sent.
    pub(crate) fn count_batch_response(&mut self, shard: ShardId) {
        let (responses, down_ms) = self.wipe_after;
        self.wipe_after.0 = responses.saturating_sub(1);
        if responses != 1 {
            return;
        }
        let mut wiped = self.replica_nodes(shard);
        if self.draw(0..4) == 0 {
            let primary = self.control_primary().into_iter();
            wiped.extend(primary.chain(self.control_backup()));
        }
        while wiped.len() > usize::from(self.bounds.lost_machines) {
            let index = self.draw(0..wiped.len() as u64) as usize;
            wiped.swap_remove(index);
        }
        let names: Vec<&str> =
            wiped.iter().map(|index| self.nodes[index.0].name.as_str()).collect();
        let text = format!("all lose their power, and their disks {}", names.join(" "));
        self.history.faults.push(FaultRecord { text, at: self.time });
        for index in (0..self.nodes.len()).map(NodeIndex) {
            if self.nodes[index.0].is_running() {
                self.stop(index, true);
            }
        }
        wiped.iter().for_each(|index| self.nodes[index.0].disk.synced.clear());
        self.schedule_after(down_ms * 1_000, Event::Fault(Fault::StartAll));
    }

    /// Splits the machines with a disk into two halves, each with some control nodes and some
    /// storage nodes.
    fn split_into_halves(&mut self, seed: u64) {
        use rand::{SeedableRng as _, seq::SliceRandom as _};
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let mut half = std::collections::BTreeSet::new();
        for kind in [NodeKind::Control, NodeKind::Storage] {
            let mut all: Vec<NodeIndex> = (0..self.nodes.len()).map(NodeIndex).collect();
            all.retain(|index| {
                self.nodes[index.0].kind == kind && !self.nodes[index.0].is_replaced()
            });
            all.iter().for_each(|index| self.record_impairment(*index, ImpairmentKind::Cut));
            all.shuffle(&mut rng);
            let inside = &all[..all.len() / 2];
            half.extend(inside.iter().map(|index| self.nodes[index.0].address));
        }
        let with_disk: std::collections::BTreeSet<_> = [NodeKind::Control, NodeKind::Storage]
            .into_iter()
            .flat_map(|kind| self.addresses_of(kind))
            .collect();
        self.block_where(|from, to| {
            with_disk.contains(&from)
                && with_disk.contains(&to)
                && half.contains(&from) != half.contains(&to)
        });
    }

    fn nodes_in_zone(&self, zone: u16) -> Vec<NodeIndex> {
        let is_inside = |index: &NodeIndex| self.nodes[index.0].zone == zone;
        (0..self.nodes.len()).map(NodeIndex).filter(is_inside).collect()
    }

    fn stop_target(&mut self, target: Option<NodeIndex>, power: bool) {
        if let Some(index) = target {
            self.stop(index, power);
        }
    }

    fn block_where(
        &mut self,
        is_blocked: impl Fn(std::net::SocketAddr, std::net::SocketAddr) -> bool,
    ) {
        // An agent and its relay communicate over loopback, which is never blocked.
        let are_neighbours = |world: &Self, from, to| {
            world.nodes.iter().any(|node| node.address == from && node.neighbour == Some(to))
        };
        let addresses: Vec<std::net::SocketAddr> =
            self.nodes.iter().map(|node| node.address).collect();
        for from in &addresses {
            for to in &addresses {
                if from != to && is_blocked(*from, *to) && !are_neighbours(self, *from, *to) {
                    self.network.block(*from, *to);
                }
            }
        }
    }

    fn addresses_of(&self, kind: NodeKind) -> std::collections::BTreeSet<std::net::SocketAddr> {
        let nodes = self.nodes.iter().filter(|node| node.kind == kind);
        nodes.map(|node| node.address).collect()
    }

    /// Cuts a node off from the given peers, in one or both directions.
    fn isolate(
        &mut self,
        index: NodeIndex,
        direction: Direction,
        is_peer: impl Fn(std::net::SocketAddr) -> bool,
    ) {
        let address = self.nodes[index.0].address;
        self.record_impairment(index, ImpairmentKind::Cut);
        self.block_where(|from, to| {
            let (outbound, inbound) =
                (from == address && is_peer(to), to == address && is_peer(from));
            match direction {
                Direction::Both => outbound || inbound,
                Direction::Outward => outbound,
                Direction::Inward => inbound,
            }
        });
    }

    /// Starts an empty machine at a new address in place of another machine.
    fn start_successor(&mut self, index: NodeIndex) {
        let (kind, zone) = (self.nodes[index.0].kind, self.nodes[index.0].zone);
        let name = self.nodes[index.0].name.clone();
        self.nodes[index.0].name = format!("{name}{REPLACED}");
        let port = 3_000 + self.nodes.len() as u16;
        if kind == NodeKind::Control {
            // Machines set up from now on have the new address as a seed.
            let old = self.nodes[index.0].address;
            let address = std::net::SocketAddr::from(([10, 0, 0, 1], port));
            self.seeds.iter_mut().filter(|seed| **seed == old).for_each(|seed| *seed = address);
        }
        let new = self.add_node(name, kind, port, None, zone);
        self.start(new);
    }

    /// Schedules a fault.
    pub fn schedule_fault(&mut self, at_ms: u64, fault: Fault) {
        self.schedule_at(at_ms * 1_000, Event::Fault(fault));
    }
}
