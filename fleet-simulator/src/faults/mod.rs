//! Faults, as they are caused.

use crate::history::{FaultRecord, ImpairmentKind};
use crate::workload::Activity;
use crate::world::{
    Caller, EngineHealth, Event, InjectedBug, NodeIndex, NodeKind, REPLACED, World,
};
use topazyard_relay::RelayCall;
use topazyard_relay::drain::DrainTimes;
use topazyard_types::{DurationMs, ShardId};
use topazyard_wire::message::operate::{Command, OperatorRequest};

/// Whom a fault strikes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Whom {
    /// The process of that name.
    Named(String),
    /// Whoever is the control primary then.
    ControlPrimary,
    /// Whoever is the control backup then: a control node that is not the primary.
    OtherControl,
    /// The first backup of control then.
    ControlBackup,
    /// A control node that runs and is neither primary nor backup then.
    ControlSpare,
    /// Whoever leads a shard then.
    ShardPrimary(u16),
    /// Another node that holds a copy of a shard then.
    ShardHolder(u16),
}

/// A fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed.
    Kill(Whom),
    /// A machine loses its power, and what was not synced with it.
    LosePower(Whom),
    /// A machine loses its disk and its power.
    LoseDisk(Whom),
    /// A process that was struck starts again.
    Start(Whom),
    /// Everything that was struck starts again.
    StartAll,
    /// A process freezes for so many milliseconds, and wakes.
    Freeze(Whom, u64),
    /// A process is cut off from all others; the numbers say which ways are cut.
    CutOff(Whom, Way),
    /// A control node is cut off from the other control nodes alone.
    CutOffFromCore(Whom, Way),
    /// Control nodes are split from all storage nodes.
    SplitCoreFromStorage,
    /// A zone is cut off from all others.
    CutZone(u16),
    /// Every machine of a zone loses its power.
    LoseZone(u16),
    /// Of ten thousand frames so many come twice, and as many up to 3 s late.
    Untidy(u64),
    /// From now on each clock runs up to a hundredth too fast or too slow.
    Drift,
    /// All cuts are mended.
    Mend,
    /// Of ten thousand frames so many are lost.
    Lossy(u64),
    /// A disk takes so many milliseconds longer for each sync.
    SlowDisk(Whom, u64),
    /// All disks are as fast as ever.
    FastDisks,
    /// A disk takes no more bytes.
    FullDisk(Whom),
    /// Every process whose disk is full is killed.
    KillFull,
    /// All disks have room again.
    Room,
    /// An engine fares so.
    Engine(u16, EngineHealth),
    /// The platform lists an engine as leaving.
    EngineLeaves(u16),
    /// The platform lists an engine as ready again.
    EngineReady(u16),
    /// The clients send so many prompts a second.
    Crowd(u64),
    /// So many batches land at once.
    Batches(u64),
    /// A machine is replaced by an empty one at a new address.
    Replace(Whom),
    /// An empty machine is started at a new address to take a machine's place, which runs on.
    Succeed(Whom),
    /// A control node is told to leave.
    Leave(Whom),
    /// A machine whose place another took is taken away.
    Remove(Whom),
    /// An operator has a storage node retired, and takes it away once that is done.
    Retire(Whom),
    /// Of a hundred answers to operators so many are lost.
    LoseAnswers(u64),
    /// Operators order a numbered configuration every so many milliseconds.
    OrdersEvery(u64),
    /// A new storage node is added.
    AddStorage,
    /// A relay is asked to drain.
    Drain(Whom),
    /// An operator asks for a storage node to be emptied.
    Empty(Whom),
    /// Specs have so many lanes more.
    MoreLanes(u64),
    /// The next specs have that ceiling on waiting batch work.
    Ceiling(u64),
    /// After so many more answers that tell a client of a batch, as many disks are lost as may be, those
    /// of the batch's shard among them, and all other machines lose their power at the same instant. All
    /// start again after so many milliseconds.
    WipeAfterAnswers(u64, u64),
    /// The machines with a disk are split into two halves, drawn from that number.
    Halves(u64),
}

/// Which ways are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Both.
    Both,
    /// Only what it sends.
    Outward,
    /// Only what it gets.
    Inward,
}

impl World {
    fn whom(&self, whom: &Whom) -> Option<NodeIndex> {
        match whom {
            Whom::Named(name) => self.named(name),
            Whom::ControlPrimary => self.control_primary(),
            Whom::OtherControl => {
                let primary = self.control_primary();
                (0..self.nodes.len()).map(NodeIndex).find(|index| {
                    let node = &self.nodes[index.0];
                    node.kind == NodeKind::Control && node.is_running() && Some(*index) != primary
                })
            }
            Whom::ControlBackup => self.control_backup(),
            Whom::ControlSpare => self.control_spare(),
            Whom::ShardPrimary(shard) => self.shard_primary(ShardId(*shard)),
            Whom::ShardHolder(shard) => self.other_replica(ShardId(*shard)),
        }
    }

    /// Causes a fault, and notes it in the history.
    pub(crate) fn cause(&mut self, fault: Fault) {
        let struck = match &fault {
            Fault::Kill(whom)
            | Fault::LosePower(whom)
            | Fault::LoseDisk(whom)
            | Fault::Freeze(whom, _)
            | Fault::CutOff(whom, _)
            | Fault::CutOffFromCore(whom, _)
            | Fault::Succeed(whom)
            | Fault::Leave(whom)
            | Fault::Remove(whom)
            | Fault::Retire(whom)
            | Fault::SlowDisk(whom, _)
            | Fault::FullDisk(whom)
            | Fault::Drain(whom)
            | Fault::Empty(whom)
            | Fault::Start(whom)
            | Fault::Replace(whom) => self.whom(whom),
            _ => None,
        };
        let name = struck.map_or(String::new(), |index| self.nodes[index.0].name.clone());
        let text = format!("{fault:?} {name}");
        self.history.faults.push(FaultRecord { text, at: self.time });
        match fault {
            Fault::Kill(_) => self.strike(struck, false),
            Fault::LosePower(_) => self.strike(struck, true),
            Fault::LoseDisk(_) => {
                self.strike(struck, true);
                if let Some(index) = struck {
                    self.nodes[index.0].disk.synced.clear();
                }
            }
            Fault::Start(_) => {
                if let Some(index) = struck {
                    self.start(index);
                }
            }
            Fault::StartAll => {
                for at in 0..self.nodes.len() {
                    if !self.nodes[at].is_replaced() {
                        self.start(NodeIndex(at));
                    }
                }
            }
            Fault::Freeze(_, ms) => {
                if let Some(index) = struck {
                    self.freeze(index, ms * 1_000);
                }
            }
            Fault::CutOff(_, way) => {
                if let Some(index) = struck {
                    self.cut_off(index, way, |_| true);
                }
            }
            Fault::CutOffFromCore(_, way) => {
                if let Some(index) = struck {
                    let core = self.addresses_of(NodeKind::Control);
                    self.cut_off(index, way, |other| core.contains(&other));
                }
            }
            Fault::SplitCoreFromStorage => {
                let core = self.addresses_of(NodeKind::Control);
                let storage = self.addresses_of(NodeKind::Storage);
                self.cut_where(|from, to| {
                    (core.contains(&from) && storage.contains(&to))
                        || (storage.contains(&from) && core.contains(&to))
                });
            }
            Fault::CutZone(zone) => {
                let inside = self.of_zone(zone);
                inside.iter().for_each(|index| self.strike_for(*index, ImpairmentKind::Cut));
                let inside: std::collections::BTreeSet<_> =
                    inside.into_iter().map(|index| self.nodes[index.0].address).collect();
                self.cut_where(|from, to| inside.contains(&from) != inside.contains(&to));
            }
            Fault::LoseZone(zone) => {
                for index in self.of_zone(zone) {
                    self.stop(index, true);
                }
            }
            Fault::Untidy(share) => self.network.disordered_per_10000 = share,
            Fault::Drift => {
                for at in 0..self.nodes.len() {
                    let rate_ppm = self.draw(0..20_001) as i64 - 10_000;
                    self.set_rate(NodeIndex(at), rate_ppm);
                }
            }
            Fault::Mend => {
                self.network.mend();
                self.mend(ImpairmentKind::Cut);
            }
            Fault::Lossy(share) => self.network.loss_per_10000 = share,
            Fault::SlowDisk(_, ms) => {
                if let Some(index) = struck {
                    self.nodes[index.0].disk.slow_us = ms * 1_000;
                    self.strike_for(index, ImpairmentKind::SlowDisk);
                }
            }
            Fault::FastDisks => {
                self.nodes.iter_mut().for_each(|node| node.disk.slow_us = 0);
                self.mend(ImpairmentKind::SlowDisk);
            }
            Fault::FullDisk(_) => {
                if let Some(index) = struck {
                    self.nodes[index.0].disk.is_full = true;
                    self.strike_for(index, ImpairmentKind::FullDisk);
                }
            }
            Fault::KillFull => {
                for at in 0..self.nodes.len() {
                    if self.nodes[at].disk.is_full {
                        self.stop(NodeIndex(at), false);
                    }
                }
            }
            Fault::Room => {
                (0..self.nodes.len()).for_each(|at| self.make_room(NodeIndex(at)));
                self.mend(ImpairmentKind::FullDisk);
            }
            Fault::Engine(at, health) => self.set_engine_health(usize::from(at), health),
            Fault::EngineLeaves(at) => {
                let name = self.engines[usize::from(at)].name.clone();
                self.workload.listed_ready.remove(&name);
                self.list_engines();
            }
            Fault::EngineReady(at) => {
                let name = self.engines[usize::from(at)].name.clone();
                self.workload.listed_ready.insert(name);
                self.list_engines();
            }
            Fault::Crowd(rate) => self.workload.settings.prompts_per_s = rate,
            Fault::Batches(count) => (0..count).for_each(|_| self.hand_in_batch()),
            Fault::Replace(_) => {
                if let Some(index) = struck {
                    self.stop(index, true);
                    self.succeed(index);
                }
            }
            Fault::Succeed(_) => {
                if let Some(index) = struck {
                    self.succeed(index);
                }
            }
            Fault::Leave(_) => {
                if let Some(index) = struck {
                    self.tell_to_leave(index);
                }
            }
            Fault::Remove(_) => {
                if let Some(index) = struck {
                    self.remove(index);
                }
            }
            Fault::Retire(_) => {
                if let Some(index) = struck {
                    self.after(0, Event::Activity(Activity::Retire(index)));
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
                    self.strike(struck, false);
                } else if let Some(relay) = struck {
                    let grace = topazyard_spec::Bounds::default().grace;
                    let times = DrainTimes::within(grace, DurationMs(0));
                    self.call_relay(relay, RelayCall::Drain(times), Caller::Nobody);
                }
            }
            Fault::Empty(_) => {
                if let (Some(index), Some(control)) = (struck, self.draw_node(NodeKind::Control)) {
                    let command = Command::EmptyStorage(self.nodes[index.0].id);
                    self.call_control(control, OperatorRequest::Command(command), Caller::Nobody);
                }
            }
            Fault::Ceiling(tokens) => self.workload.settings.waiting_ceiling = tokens,
            Fault::MoreLanes(lanes) => self.workload.settings.extra_model_routes = lanes,
            Fault::WipeAfterAnswers(answers, dark_ms) => self.wipe_after = (answers, dark_ms),
            Fault::Halves(seed) => self.split_into_halves(seed),
        }
    }

    /// A client was told of a batch: the loss that waits for that may strike now.
    pub(crate) fn batch_answered(&mut self, shard: ShardId) {
        let (answers, dark_ms) = self.wipe_after;
        self.wipe_after.0 = answers.saturating_sub(1);
        if answers != 1 {
            return;
        }
        let mut wiped = self.replica_nodes(shard);
        if self.draw(0..4) == 0 {
            let primary = self.control_primary().into_iter();
            wiped.extend(primary.chain(self.control_backup()));
        }
        while wiped.len() > usize::from(self.bounds.lost_machines) {
            let at = self.draw(0..wiped.len() as u64) as usize;
            wiped.swap_remove(at);
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
        self.after(dark_ms * 1_000, Event::Fault(Fault::StartAll));
    }

    /// Splits the machines with a disk into halves, each with some of the core and of the storage nodes.
    fn split_into_halves(&mut self, seed: u64) {
        use rand::{SeedableRng as _, seq::SliceRandom as _};
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let mut half = std::collections::BTreeSet::new();
        for kind in [NodeKind::Control, NodeKind::Storage] {
            let mut all: Vec<NodeIndex> = (0..self.nodes.len()).map(NodeIndex).collect();
            all.retain(|at| self.nodes[at.0].kind == kind && !self.nodes[at.0].is_replaced());
            all.iter().for_each(|index| self.strike_for(*index, ImpairmentKind::Cut));
            all.shuffle(&mut rng);
            let inside = &all[..all.len() / 2];
            half.extend(inside.iter().map(|index| self.nodes[index.0].address));
        }
        let with_disk: std::collections::BTreeSet<_> = [NodeKind::Control, NodeKind::Storage]
            .into_iter()
            .flat_map(|kind| self.addresses_of(kind))
            .collect();
        self.cut_where(|from, to| {
            with_disk.contains(&from)
                && with_disk.contains(&to)
                && half.contains(&from) != half.contains(&to)
        });
    }

    fn of_zone(&self, zone: u16) -> Vec<NodeIndex> {
        let is_inside = |at: &NodeIndex| self.nodes[at.0].zone == zone;
        (0..self.nodes.len()).map(NodeIndex).filter(is_inside).collect()
    }

    fn strike(&mut self, struck: Option<NodeIndex>, power: bool) {
        if let Some(index) = struck {
            self.stop(index, power);
        }
    }

    fn cut_where(&mut self, is_cut: impl Fn(std::net::SocketAddr, std::net::SocketAddr) -> bool) {
        // An agent and its relay talk over loopback, which no cut reaches.
        let beside = |world: &Self, from, to| {
            world.nodes.iter().any(|node| node.address == from && node.beside == Some(to))
        };
        let addresses: Vec<std::net::SocketAddr> =
            self.nodes.iter().map(|node| node.address).collect();
        for from in &addresses {
            for to in &addresses {
                if from != to && is_cut(*from, *to) && !beside(self, *from, *to) {
                    self.network.cut(*from, *to);
                }
            }
        }
    }

    fn addresses_of(&self, kind: NodeKind) -> std::collections::BTreeSet<std::net::SocketAddr> {
        let nodes = self.nodes.iter().filter(|node| node.kind == kind);
        nodes.map(|node| node.address).collect()
    }

    /// Cuts a node off from those others, one way or both.
    fn cut_off(
        &mut self,
        index: NodeIndex,
        way: Way,
        is_other: impl Fn(std::net::SocketAddr) -> bool,
    ) {
        let address = self.nodes[index.0].address;
        self.strike_for(index, ImpairmentKind::Cut);
        self.cut_where(|from, to| {
            let (outward, inward) =
                (from == address && is_other(to), to == address && is_other(from));
            match way {
                Way::Both => outward || inward,
                Way::Outward => outward,
                Way::Inward => inward,
            }
        });
    }

    /// Starts an empty machine at a new address in a machine's place.
    fn succeed(&mut self, index: NodeIndex) {
        let (kind, zone) = (self.nodes[index.0].kind, self.nodes[index.0].zone);
        let name = self.nodes[index.0].name.clone();
        self.nodes[index.0].name = format!("{name}{REPLACED}");
        let port = 3_000 + self.nodes.len() as u16;
        if kind == NodeKind::Control {
            // Whoever sets up machines from now on names the new one as a seed.
            let old = self.nodes[index.0].address;
            let address = std::net::SocketAddr::from(([10, 0, 0, 1], port));
            self.seeds.iter_mut().filter(|seed| **seed == old).for_each(|seed| *seed = address);
        }
        let new = self.add_node(name, kind, port, None, zone);
        self.start(new);
    }

    /// Plans a fault.
    pub fn schedule_fault(&mut self, at_ms: u64, fault: Fault) {
        self.at(at_ms * 1_000, Event::Fault(fault));
    }
}
