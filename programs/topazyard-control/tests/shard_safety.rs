//! Losses, repairs and retirements in any order: every holder named in a record has everything ever
//! acknowledged, and one of them works as long as no more is lost at once than the fleet tolerates.

use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use std::collections::{BTreeMap, BTreeSet};
use topazyard_control::planner::{
    StorageStatus, hand_over_primary, hosted_copies, plan, promote_learners, replace_backups,
};
use topazyard_types::{NodeId, ShardId};
use topazyard_wire::RowChange;
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::message::membership::{Member, MemberRole};
use topazyard_wire::state::{FleetSnapshot, StorageRow, StorageStage, shard_key, storage_key};

fn member(id: u64, zone: u64) -> Member {
    Member {
        id: NodeId(id),
        name: None,
        address: std::net::SocketAddr::from(([127, 0, 0, 1], id as u16)),
        http: None,
        role: MemberRole::Storage,
        zone: format!("zone-{zone}").as_str().into(),
    }
}

/// Storage nodes, the decisions of control, and the actual contents of the disks.
struct Fleet {
    rows: BTreeMap<String, bytes::Bytes>,
    snapshot: FleetSnapshot,
    members: BTreeMap<NodeId, Member>,
    /// Nodes that run.
    up: BTreeSet<NodeId>,
    /// For each shard the nodes whose disks hold everything ever acknowledged.
    complete_holders: BTreeMap<ShardId, BTreeSet<NodeId>>,
    copies: u16,
    last_id: u64,
    random: rand::rngs::StdRng,
}

impl Fleet {
    fn new(size: u64, zones: u64, copies: u16, seed: u64) -> Self {
        let mut fleet = Self {
            rows: BTreeMap::new(),
            snapshot: FleetSnapshot::default(),
            members: BTreeMap::new(),
            up: BTreeSet::new(),
            complete_holders: BTreeMap::new(),
            copies,
            last_id: 0,
            random: rand::rngs::StdRng::seed_from_u64(seed),
        };
        (0..size).for_each(|number| fleet.add(number % zones));
        for _ in 0..20 {
            fleet.run_planner();
        }
        for (shard, record) in &fleet.snapshot.shards {
            let holders = record.members().map(|node| node.id).collect();
            fleet.complete_holders.insert(*shard, holders);
        }
        fleet
    }

    fn add(&mut self, zone: u64) {
        self.last_id += 1;
        let member = member(self.last_id, zone);
        self.up.insert(member.id);
        self.members.insert(member.id, member);
    }

    fn status(&self) -> StorageStatus {
        let reachable = |id: &NodeId| (*id, self.members[id].clone());
        let is_down = |id: &&NodeId| !self.up.contains(id);
        StorageStatus {
            copies: self.copies,
            reachable: self.up.iter().map(reachable).collect(),
            down: self.snapshot.storage.keys().filter(is_down).copied().collect(),
            settled: true,
            ..StorageStatus::default()
        }
    }

    fn apply(&mut self, changes: Vec<RowChange>) {
        for change in changes {
            match change.value {
                Some(value) => drop(self.rows.insert(change.key, value)),
                None => drop(self.rows.remove(&change.key)),
            }
        }
        self.snapshot = FleetSnapshot::read(&self.rows);
        self.check();
    }

    /// Runs the planner once.
    fn run_planner(&mut self) {
        let changes = plan(&self.snapshot, &self.status());
        self.apply(changes);
    }

    fn is_up(&self, node: &CoreNode) -> bool {
        self.up.contains(&node.id)
    }

    /// Performs one action of a shard's primary: it acknowledges a write, which makes all other
    /// copies stale, or fills its learners, or drops silent backups, or hands over.
    fn act_as_primary(&mut self, shard: ShardId) {
        let record = self.snapshot.shards[&shard].clone();
        if !self.is_up(&record.primary) {
            return;
        }
        let silent: Vec<NodeId> =
            record.backups.iter().filter(|node| !self.is_up(node)).map(|node| node.id).collect();
        let status = self.status();
        let next = match self.random.random_range(0..4) {
            0 if record.is_complete() && silent.is_empty() => {
                let holders = record.members().map(|node| node.id).collect();
                self.complete_holders.insert(shard, holders);
                None
            }
            1 if !silent.is_empty() => replace_backups(&self.snapshot, &status, &record, &silent),
            2 if record.learners.iter().all(|node| self.is_up(node)) => {
                let filled = record.learners.iter().map(|node| node.id);
                self.complete_holders.entry(shard).or_default().extend(filled);
                promote_learners(&self.snapshot, &status, &record)
            }
            3 => hand_over_primary(&self.snapshot, &status, &record),
            _ => None,
        };
        if let Some(next) = next {
            self.apply(vec![RowChange::put(shard_key(shard), &next)]);
        }
    }

    fn is_repaired(&self) -> bool {
        let is_complete = |record: &ShardRecord| {
            record.is_complete()
                && record.learners.is_empty()
                && record.members().all(|node| self.is_up(node))
        };
        self.snapshot.shards.values().all(is_complete)
    }

    /// Powers a node off. In half of the cases its disk is lost for good and another machine
    /// replaces it.
    fn power_off(&mut self, id: NodeId) -> bool {
        self.up.remove(&id);
        let is_wiped = self.random.random_bool(0.5);
        if is_wiped {
            self.erase_disk(id);
        }
        is_wiped
    }

    /// Erases a node's disk.
    fn erase_disk(&mut self, id: NodeId) {
        for holders in self.complete_holders.values_mut() {
            holders.remove(&id);
        }
    }

    fn retire(&mut self, id: NodeId) {
        let Some(row) = self.snapshot.storage.get(&id) else { return };
        if row.stage == StorageStage::Active {
            let row = StorageRow { stage: StorageStage::Retiring, ..row.clone() };
            self.apply(vec![RowChange::put(storage_key(id), &row)]);
        }
    }

    /// Switches off retired nodes for good, since their retirement is completed.
    fn switch_off_retired(&mut self) {
        let is_retired = |row: &StorageRow| row.stage == StorageStage::Retired;
        let retired: Vec<NodeId> = self
            .snapshot
            .storage
            .iter()
            .filter(|(_, row)| is_retired(row))
            .map(|(id, _)| *id)
            .collect();
        for id in retired {
            assert_eq!(hosted_copies(&self.snapshot, id), 0, "a retired node is still named");
            self.up.remove(&id);
            self.erase_disk(id);
        }
    }

    /// Checks that every node that may become primary holds everything, unless its disk was lost.
    fn check(&self) {
        for (shard, holders) in &self.complete_holders {
            let record = &self.snapshot.shards[shard];
            let named: Vec<NodeId> =
                record.members().chain(&record.fallbacks).map(|node| node.id).collect();
            for id in named.iter().filter(|id| self.up.contains(id)) {
                assert!(holders.contains(id), "{id:?} is named but incomplete: {record:?}");
            }
            assert!(
                named.iter().any(|id| holders.contains(id)),
                "no complete copy is left: {record:?}"
            );
        }
    }

    fn any_running(&mut self) -> NodeId {
        let up: Vec<NodeId> = self.up.iter().copied().collect();
        *up.choose(&mut self.random).expect("a running node")
    }

    fn run_some_steps(&mut self) {
        for _ in 0..self.random.random_range(0..6) {
            self.run_planner();
            self.switch_off_retired();
            ShardId::all().for_each(|shard| self.act_as_primary(shard));
        }
    }

    /// Runs until everything is repaired. A node that is down stays down.
    fn repair(&mut self) {
        for _ in 0..400 {
            self.run_planner();
            self.switch_off_retired();
            ShardId::all().for_each(|shard| self.act_as_primary(shard));
            if self.is_repaired() {
                return;
            }
        }
        panic!("it is never repaired: {:?}", self.snapshot.shards);
    }
}

/// Nodes are lost and return while repairs and retirements are in progress, never more of them at
/// once than the fleet tolerates. A node whose disk is lost counts until everything has its copies
/// again.
fn survives_losses(size: u64, zones: u64, copies: u16, seed: u64) {
    let mut fleet = Fleet::new(size, zones, copies, seed);
    for _ in 0..12 {
        let zone_of_new = fleet.random.random_range(0..zones);
        fleet.add(zone_of_new);
        if fleet.random.random_bool(0.5) {
            let leaving = fleet.any_running();
            fleet.retire(leaving);
        }
        let mut lost: Vec<(NodeId, bool)> = Vec::new();
        for _ in 0..2 * copies {
            fleet.run_some_steps();
            let back = lost.iter().position(|(_, is_wiped)| !is_wiped);
            if lost.len() + 1 < usize::from(copies) {
                let id = fleet.any_running();
                let is_wiped = fleet.power_off(id);
                lost.push((id, is_wiped));
            } else if let Some(at) = back {
                fleet.up.insert(lost.remove(at).0);
            }
            fleet.check();
        }
        fleet.repair();
        for (id, is_wiped) in lost {
            if is_wiped {
                fleet.add(zone_of_new);
            } else {
                fleet.up.insert(id);
            }
        }
        fleet.repair();
    }
}

#[test]
fn single_losses_during_retirements_lose_no_data() {
    (0..150).for_each(|seed| survives_losses(4, 4, 2, seed));
}

#[test]
fn two_losses_at_once_during_retirements_lose_no_data() {
    (0..100).for_each(|seed| survives_losses(7, 4, 3, seed));
}

#[test]
fn copies_are_in_separate_zones_after_each_repair() {
    for seed in 0..100 {
        let mut fleet = Fleet::new(6, 3, 2, seed);
        let first = fleet.any_running();
        fleet.power_off(first);
        fleet.repair();
        for record in fleet.snapshot.shards.values() {
            let zones: BTreeSet<_> =
                record.members().map(|node| fleet.members[&node.id].zone.clone()).collect();
            assert_eq!(zones.len(), 2, "one zone holds every copy: {record:?}");
        }
    }
}
