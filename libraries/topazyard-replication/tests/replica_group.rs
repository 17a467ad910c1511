//! Groups with no, one and two backups, all of which must confirm each batch.

use topazyard_replication::replica::Sender;
use topazyard_replication::{Copy, Followers, Replica, ReplicaOutput};
use topazyard_types::{BootId, DurationMs, Epoch, MonotonicMs, NodeId};
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::{Group, RowChange};

const NOW: MonotonicMs = MonotonicMs(10_000);
const PRIMARY: u64 = 1;

fn node(id: u64) -> CoreNode {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], id as u16));
    CoreNode { id: NodeId(id), address }
}

/// A primary (node 1), its backups (from node 2 on) and then its learners.
struct Fleet {
    nodes: std::collections::BTreeMap<u64, Replica>,
    /// Nodes that receive and send nothing.
    disconnected: std::collections::BTreeSet<u64>,
    /// Nodes whose disks sync nothing.
    stalled: std::collections::BTreeSet<u64>,
    committed: Vec<u64>,
    learners_ready: bool,
}

impl Fleet {
    fn new(backups: u64, learners: u64, may_serve: bool) -> Self {
        let replica =
            |id: u64| Replica::new(Group::Control, true, Copy::default(), BootId(id << 30));
        let last = PRIMARY + backups + learners;
        let mut fleet = Self {
            nodes: (PRIMARY..=last).map(|id| (id, replica(id))).collect(),
            disconnected: Default::default(),
            stalled: Default::default(),
            committed: Vec::new(),
            learners_ready: false,
        };
        for id in PRIMARY + 1..=last {
            fleet.node(id).become_follower(Epoch(1), NodeId(PRIMARY), NOW);
        }
        let followers = Followers {
            backups: (PRIMARY + 1..=PRIMARY + backups).map(node).collect(),
            learners: (PRIMARY + backups + 1..=last).map(node).collect(),
            may_serve,
        };
        let out = fleet.node(PRIMARY).become_primary(Epoch(1), followers, NOW);
        fleet.run(PRIMARY, out, NOW);
        fleet
    }

    fn node(&mut self, id: u64) -> &mut Replica {
        self.nodes.get_mut(&id).expect("a node of the fleet")
    }

    /// Delivers all messages and syncs all writes, except for disconnected or stalled nodes.
    fn run(&mut self, source: u64, first: Vec<ReplicaOutput>, now: MonotonicMs) {
        let mut pending: std::collections::VecDeque<(u64, ReplicaOutput)> =
            first.into_iter().map(|output| (source, output)).collect();
        while let Some((id, output)) = pending.pop_front() {
            let (to, more) = match output {
                ReplicaOutput::Send(to, message) => {
                    let to = u64::from(to.port());
                    if self.disconnected.contains(&id) || self.disconnected.contains(&to) {
                        continue;
                    }
                    let from = Sender { id: NodeId(id), address: node(id).address };
                    (to, self.node(to).receive(from, message, now))
                }
                ReplicaOutput::Write(token, _) if !self.stalled.contains(&id) => {
                    (id, self.node(id).write_synced(token.number))
                }
                ReplicaOutput::Committed(tickets) => {
                    self.committed.extend(tickets);
                    continue;
                }
                ReplicaOutput::LearnersReady => {
                    self.learners_ready = true;
                    continue;
                }
                _ => continue,
            };
            pending.extend(more.into_iter().map(|output| (to, output)));
        }
    }

    fn submit(&mut self, ticket: u64, key: &str) {
        let change = RowChange::put(key, &1_u8);
        assert!(self.node(PRIMARY).submit(ticket, vec![change]));
        let out = self.node(PRIMARY).start_next_batch(NOW);
        self.run(PRIMARY, out, NOW);
    }

    fn tick(&mut self, now: MonotonicMs) {
        let out = self.node(PRIMARY).tick(now);
        self.run(PRIMARY, out, now);
    }
}

#[test]
fn change_is_committed_once_all_copies_are_synced() {
    for backups in 0..=2 {
        let mut fleet = Fleet::new(backups, 0, true);
        fleet.submit(1, "a");
        assert_eq!(fleet.committed, [1], "{backups} backups");
        for id in fleet.nodes.keys().copied().collect::<Vec<_>>() {
            assert!(fleet.node(id).copy().rows().contains_key("a"), "node {id}");
        }
    }
}

#[test]
fn change_is_not_committed_while_one_copy_is_unsynced() {
    for backups in 0..=2 {
        for missing in PRIMARY..=PRIMARY + backups {
            let mut fleet = Fleet::new(backups, 0, true);
            fleet.stalled.insert(missing);
            fleet.submit(1, "a");
            assert!(fleet.committed.is_empty(), "{backups} backups, node {missing} stalls");
        }
    }
}

#[test]
fn only_unconfirmed_backups_are_reported_silent() {
    let timeout = DurationMs(500);
    let late = NOW.plus(timeout);
    let mut fleet = Fleet::new(2, 0, true);
    fleet.disconnected.insert(3);
    fleet.submit(1, "a");
    assert_eq!(fleet.node(PRIMARY).silent_backups(timeout, NOW), []);
    assert_eq!(fleet.node(PRIMARY).silent_backups(timeout, late), [NodeId(3)]);
    fleet.disconnected.insert(2);
    let mut both = Fleet::new(2, 0, true);
    both.disconnected.extend([2, 3]);
    both.submit(1, "a");
    assert_eq!(both.node(PRIMARY).silent_backups(timeout, late), [NodeId(2), NodeId(3)]);
}

#[test]
fn lost_append_is_resent() {
    let mut fleet = Fleet::new(2, 0, true);
    fleet.disconnected.insert(3);
    fleet.submit(1, "a");
    assert!(fleet.committed.is_empty());
    fleet.disconnected.clear();
    fleet.tick(MonotonicMs(NOW.0 + 200));
    assert_eq!(fleet.committed, [1]);
}

#[test]
fn backup_out_of_sync_blocks_commits_until_it_is_back() {
    let mut fleet = Fleet::new(2, 0, true);
    // Node 3 restarts with what it had synced and receives its role again.
    let rows = fleet.node(3).copy().rows().clone();
    fleet
        .nodes
        .insert(3, Replica::new(Group::Control, true, Copy::from_rows(rows), BootId(77 << 30)));
    fleet.node(3).become_follower(Epoch(1), NodeId(PRIMARY), NOW);
    fleet.stalled.insert(3);
    fleet.submit(1, "a");
    assert!(fleet.committed.is_empty() && !fleet.node(PRIMARY).is_serving());
    fleet.stalled.clear();
    fleet.tick(MonotonicMs(NOW.0 + 1_000));
    assert!(fleet.node(PRIMARY).is_serving());
    assert_eq!(fleet.committed, [1]);
    assert!(fleet.node(3).copy().rows().contains_key("a"));
}

#[test]
fn nothing_is_committed_with_too_few_backups() {
    for backups in 0..=1 {
        let mut fleet = Fleet::new(backups, 0, false);
        fleet.submit(1, "a");
        fleet.tick(MonotonicMs(NOW.0 + 1_000));
        assert!(fleet.committed.is_empty() && !fleet.node(PRIMARY).is_serving());
    }
}

#[test]
fn learners_become_ready_together() {
    let fleet = Fleet::new(0, 2, false);
    assert!(fleet.learners_ready);
    let mut fleet = Fleet::new(1, 2, false);
    assert!(fleet.learners_ready);
    assert_eq!(fleet.node(PRIMARY).filled_learners(), [NodeId(3), NodeId(4)]);
    let replica = |id: u64| Replica::new(Group::Control, true, Copy::default(), BootId(id << 30));
    fleet.nodes = (1..=3).map(|id| (id, replica(id))).collect();
    fleet.learners_ready = false;
    fleet.disconnected.insert(3);
    for id in 2..=3 {
        fleet.node(id).become_follower(Epoch(2), NodeId(PRIMARY), NOW);
    }
    let followers = Followers { learners: vec![node(2), node(3)], ..Followers::default() };
    let out = fleet.node(PRIMARY).become_primary(Epoch(2), followers, NOW);
    fleet.run(PRIMARY, out, NOW);
    assert!(!fleet.learners_ready);
    assert_eq!(fleet.node(PRIMARY).filled_learners(), [NodeId(2)]);
    fleet.disconnected.clear();
    fleet.tick(MonotonicMs(NOW.0 + 100));
    assert!(fleet.learners_ready);
}

/// Whichever nodes are disconnected while batches are in flight, every committed change is on every
/// copy, so that a single remaining copy holds it.
#[test]
fn committed_changes_are_on_every_copy() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().with_iterations(500).for_each(|actions| {
        for backups in 0..=2_u64 {
            let mut fleet = Fleet::new(backups, 0, true);
            let mut now = NOW;
            for (ticket, (action, node)) in (1_u64..).zip(actions) {
                now = now.plus(DurationMs(120));
                let node = PRIMARY + u64::from(*node) % (backups + 1);
                match action % 4 {
                    0 => drop(fleet.disconnected.insert(node)),
                    1 => fleet.disconnected.clear(),
                    2 => {
                        let change = RowChange::put(format!("row/{ticket}"), &ticket);
                        fleet.node(PRIMARY).submit(ticket, vec![change]);
                    }
                    _ => fleet.tick(now),
                }
                let out = fleet.node(PRIMARY).start_next_batch(now);
                fleet.run(PRIMARY, out, now);
                let copies = fleet.nodes.values().map(|node| node.copy().rows());
                for rows in copies {
                    let holds = |ticket: &u64| rows.contains_key(&format!("row/{ticket}"));
                    assert!(fleet.committed.iter().all(holds));
                }
            }
        }
    });
}
