//! Losses, repairs and retirements in any order: whoever a record names as a holder holds all that was
//! ever answered, and as long as no more is lost at once than the fleet bears, one of them works.

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

/// Storage nodes, what control has decided, and who really holds what.
struct Fleet {
    rows: BTreeMap<String, bytes::Bytes>,
    view: FleetSnapshot,
    members: BTreeMap<NodeId, Member>,
    /// Nodes that run.
    up: BTreeSet<NodeId>,
    /// For each shard the nodes with all that was ever answered on their disks.
    whole: BTreeMap<ShardId, BTreeSet<NodeId>>,
    copies: u16,
    last_id: u64,
    random: rand::rngs::StdRng,
}

impl Fleet {
    fn new(size: u64, zones: u64, copies: u16, seed: u64) -> Self {
        let mut fleet = Self {
            rows: BTreeMap::new(),
            view: FleetSnapshot::default(),
            members: BTreeMap::new(),
            up: BTreeSet::new(),
            whole: BTreeMap::new(),
            copies,
            last_id: 0,
            random: rand::rngs::StdRng::seed_from_u64(seed),
        };
        (0..size).for_each(|number| fleet.add(number % zones));
        for _ in 0..20 {
            fleet.decide();
        }
        for (shard, record) in &fleet.view.shards {
            let holders = record.members().map(|node| node.id).collect();
            fleet.whole.insert(*shard, holders);
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
            down: self.view.storage.keys().filter(is_down).copied().collect(),
            settled: true,
            ..StorageStatus::default()
        }
    }

    fn take(&mut self, changes: Vec<RowChange>) {
        for change in changes {
            match change.value {
                Some(value) => drop(self.rows.insert(change.key, value)),
                None => drop(self.rows.remove(&change.key)),
            }
        }
        self.view = FleetSnapshot::read(&self.rows);
        self.check();
    }

    /// Control looks at placement once.
    fn decide(&mut self) {
        let changes = plan(&self.view, &self.status());
        self.take(changes);
    }

    fn is_up(&self, node: &CoreNode) -> bool {
        self.up.contains(&node.id)
    }

    /// A shard's primary does what it can: answers, which makes all other copies stale, or fills
    /// its learners, or lets silent backups go, or hands over.
    fn work(&mut self, shard: ShardId) {
        let record = self.view.shards[&shard].clone();
        if !self.is_up(&record.primary) {
            return;
        }
        let silent: Vec<NodeId> =
            record.backups.iter().filter(|node| !self.is_up(node)).map(|node| node.id).collect();
        let status = self.status();
        let next = match self.random.random_range(0..4) {
            0 if record.is_complete() && silent.is_empty() => {
                let holders = record.members().map(|node| node.id).collect();
                self.whole.insert(shard, holders);
                None
            }
            1 if !silent.is_empty() => replace_backups(&self.view, &status, &record, &silent),
            2 if record.learners.iter().all(|node| self.is_up(node)) => {
                let filled = record.learners.iter().map(|node| node.id);
                self.whole.entry(shard).or_default().extend(filled);
                promote_learners(&self.view, &status, &record)
            }
            3 => hand_over_primary(&self.view, &status, &record),
            _ => None,
        };
        if let Some(next) = next {
            self.take(vec![RowChange::put(shard_key(shard), &next)]);
        }
    }

    fn is_mended(&self) -> bool {
        let is_whole = |record: &ShardRecord| {
            record.is_complete()
                && record.learners.is_empty()
                && record.members().all(|node| self.is_up(node))
        };
        self.view.shards.values().all(is_whole)
    }

    /// Takes a node's power; its disk is lost for good in half of the cases, and another machine
    /// comes in its place.
    fn lose(&mut self, id: NodeId) -> bool {
        self.up.remove(&id);
        let is_wiped = self.random.random_bool(0.5);
        if is_wiped {
            self.forget(id);
        }
        is_wiped
    }

    /// A node's disk is gone.
    fn forget(&mut self, id: NodeId) {
        for holders in self.whole.values_mut() {
            holders.remove(&id);
        }
    }

    fn retire(&mut self, id: NodeId) {
        let Some(row) = self.view.storage.get(&id) else { return };
        if row.stage == StorageStage::Active {
            let row = StorageRow { stage: StorageStage::Retiring, ..row.clone() };
            self.take(vec![RowChange::put(storage_key(id), &row)]);
        }
    }

    /// A node that was retired is switched off for good, as its order is completed.
    fn switch_off_retired(&mut self) {
        let is_retired = |row: &StorageRow| row.stage == StorageStage::Retired;
        let retired: Vec<NodeId> = self
            .view
            .storage
            .iter()
            .filter(|(_, row)| is_retired(row))
            .map(|(id, _)| *id)
            .collect();
        for id in retired {
            assert_eq!(hosted_copies(&self.view, id), 0, "a retired node is still named");
            self.up.remove(&id);
            self.forget(id);
        }
    }

    /// Whoever may lead next holds everything, unless its disk was lost.
    fn check(&self) {
        for (shard, holders) in &self.whole {
            let record = &self.view.shards[shard];
            let named: Vec<NodeId> =
                record.members().chain(&record.fallbacks).map(|node| node.id).collect();
            for id in named.iter().filter(|id| self.up.contains(id)) {
                assert!(holders.contains(id), "{id:?} is named and lacks something: {record:?}");
            }
            assert!(named.iter().any(|id| holders.contains(id)), "all is lost: {record:?}");
        }
    }

    fn any_up(&mut self) -> NodeId {
        let up: Vec<NodeId> = self.up.iter().copied().collect();
        *up.choose(&mut self.random).expect("some run")
    }

    fn some_steps(&mut self) {
        for _ in 0..self.random.random_range(0..6) {
            self.decide();
            self.switch_off_retired();
            ShardId::all().for_each(|shard| self.work(shard));
        }
    }

    /// Lets everything be mended; a node that is down meanwhile stays so.
    fn mend(&mut self) {
        for _ in 0..400 {
            self.decide();
            self.switch_off_retired();
            ShardId::all().for_each(|shard| self.work(shard));
            if self.is_mended() {
                return;
            }
        }
        panic!("it is never mended: {:?}", self.view.shards);
    }
}

/// Nodes are lost and come back while repairs and retirements are under way, never more of them out at
/// once than the fleet bears; a node whose disk is gone counts until everything has its copies again.
fn outlives(size: u64, zones: u64, copies: u16, seed: u64) {
    let mut fleet = Fleet::new(size, zones, copies, seed);
    for _ in 0..12 {
        let zone_of_new = fleet.random.random_range(0..zones);
        fleet.add(zone_of_new);
        if fleet.random.random_bool(0.5) {
            let leaving = fleet.any_up();
            fleet.retire(leaving);
        }
        let mut out: Vec<(NodeId, bool)> = Vec::new();
        for _ in 0..2 * copies {
            fleet.some_steps();
            let back = out.iter().position(|(_, is_wiped)| !is_wiped);
            if out.len() + 1 < usize::from(copies) {
                let id = fleet.any_up();
                let is_wiped = fleet.lose(id);
                out.push((id, is_wiped));
            } else if let Some(at) = back {
                fleet.up.insert(out.remove(at).0);
            }
            fleet.check();
        }
        fleet.mend();
        for (id, is_wiped) in out {
            if is_wiped {
                fleet.add(zone_of_new);
            } else {
                fleet.up.insert(id);
            }
        }
        fleet.mend();
    }
}

#[test]
fn one_loss_after_another_beside_retirements_loses_nothing() {
    (0..150).for_each(|seed| outlives(4, 4, 2, seed));
}

#[test]
fn two_losses_at_once_beside_retirements_lose_nothing() {
    (0..100).for_each(|seed| outlives(7, 4, 3, seed));
}

#[test]
fn copies_stand_in_zones_apart_again_after_each_repair() {
    for seed in 0..100 {
        let mut fleet = Fleet::new(6, 3, 2, seed);
        let first = fleet.any_up();
        fleet.lose(first);
        fleet.mend();
        for record in fleet.view.shards.values() {
            let zones: BTreeSet<_> =
                record.members().map(|node| fleet.members[&node.id].zone.clone()).collect();
            assert_eq!(zones.len(), 2, "one zone holds every copy: {record:?}");
        }
    }
}
