//! Pairs: nothing is committed until the backup has synced it in the same epoch.

use topazyard_replication::replica::Sender;
use topazyard_replication::{Copy, Followers, Replica, ReplicaOutput};
use topazyard_types::{BootId, Epoch, MonotonicMs, NodeId};
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Group, RowChange};

const NOW: MonotonicMs = MonotonicMs(10_000);

fn node(id: u64) -> CoreNode {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], id as u16));
    CoreNode { id: NodeId(id), address }
}

fn with_backup(backup: u64) -> Followers {
    Followers { backups: vec![node(backup)], learners: Vec::new(), may_serve: true }
}

fn with_learner(learner: u64) -> Followers {
    Followers { backups: Vec::new(), learners: vec![node(learner)], may_serve: false }
}

struct Pair {
    primary: Replica,
    backup: Replica,
    committed: Vec<u64>,
}

impl Pair {
    fn new(durable: bool) -> Self {
        let replica =
            |boot_id| Replica::new(Group::Control, durable, Copy::default(), BootId(boot_id));
        let mut pair =
            Self { primary: replica(4 << 30), backup: replica(9 << 30), committed: Vec::new() };
        pair.backup.become_follower(Epoch(1), NodeId(1), NOW);
        let out = pair.primary.become_primary(Epoch(1), with_backup(2), NOW);
        pair.run(true, out, NOW);
        pair
    }

    /// Delivers all messages both ways and syncs all writes, unless the backup's disk stalls.
    fn run(&mut self, backup_syncs: bool, first: Vec<ReplicaOutput>, now: MonotonicMs) {
        let mut primary_outputs = first;
        let mut backup_outputs: Vec<ReplicaOutput> = Vec::new();
        while !primary_outputs.is_empty() || !backup_outputs.is_empty() {
            for output in std::mem::take(&mut primary_outputs) {
                match output {
                    ReplicaOutput::Send(_, message) => {
                        let from = Sender { id: NodeId(1), address: node(1).address };
                        backup_outputs.extend(self.backup.receive(from, message, now));
                    }
                    ReplicaOutput::Write(token, _) => {
                        primary_outputs.extend(self.primary.write_synced(token.number));
                    }
                    ReplicaOutput::Committed(tickets) => self.committed.extend(tickets),
                    _ => {}
                }
            }
            for output in std::mem::take(&mut backup_outputs) {
                match output {
                    ReplicaOutput::Send(_, message) => {
                        let from = Sender { id: NodeId(2), address: node(2).address };
                        primary_outputs.extend(self.primary.receive(from, message, now));
                    }
                    ReplicaOutput::Write(token, _) if backup_syncs => {
                        backup_outputs.extend(self.backup.write_synced(token.number));
                    }
                    _ => {}
                }
            }
        }
    }

    fn submit(&mut self, ticket: u64, key: &str, backup_syncs: bool) {
        assert!(self.primary.submit(ticket, vec![RowChange::put(key, &1_u8)]));
        let out = self.primary.start_next_batch(NOW);
        self.run(backup_syncs, out, NOW);
    }
}

#[test]
fn change_is_committed_once_both_copies_are_synced() {
    let mut pair = Pair::new(true);
    pair.submit(1, "a", true);
    assert_eq!(pair.committed, [1]);
    pair.submit(2, "b", false);
    assert_eq!(pair.committed, [1], "the backup's disk has not synced it");
}

#[test]
fn old_primary_commits_nothing_after_its_backup_left() {
    let mut pair = Pair::new(true);
    pair.backup.become_primary(Epoch(2), with_learner(3), NOW);
    pair.submit(1, "a", true);
    assert!(pair.committed.is_empty());
    assert!(pair.backup.copy().rows().is_empty());
}

#[test]
fn late_frame_of_a_lower_epoch_is_ignored() {
    let mut pair = Pair::new(true);
    pair.submit(1, "a", true);
    // The same pair in the next epoch; then a batch of the previous epoch arrives late.
    let out = pair.primary.become_primary(Epoch(2), with_backup(2), NOW);
    pair.backup.become_follower(Epoch(2), NodeId(1), NOW);
    pair.run(true, out, NOW);
    let position = pair.backup.copy().position();
    let late_frame = ReplicaMessage {
        group: Group::Control,
        epoch: Epoch(1),
        body: ReplicaBody::Append {
            round: 1,
            sequence: position.sequence.next(),
            changes: vec![RowChange::put("late", &1_u8)],
        },
    };
    let from = Sender { id: NodeId(1), address: node(1).address };
    assert!(pair.backup.receive(from, late_frame, NOW).is_empty());
    assert_eq!(pair.backup.copy().position(), position);
}

#[test]
fn confirmation_for_an_earlier_boot_is_ignored() {
    let mut pair = Pair::new(true);
    pair.submit(1, "a", false);
    // The primary restarts in the same epoch; its disk had synced the change.
    let rows = pair.primary.copy().rows().clone();
    let copy = Copy::from_rows(rows);
    pair.primary = Replica::new(Group::Control, true, copy, BootId(77 << 30));
    pair.primary.become_primary(Epoch(1), with_backup(2), NOW);
    assert!(pair.primary.submit(2, vec![RowChange::put("b", &1_u8)]));
    // Every confirmation that the backup could still send to the earlier boot arrives now.
    let from = Sender { id: NodeId(2), address: node(2).address };
    for round in (4_u64 << 29)..(4 << 29) + 50 {
        let body = ReplicaBody::Appended { round };
        let message = ReplicaMessage { group: Group::Control, epoch: Epoch(1), body };
        let out = pair.primary.receive(from, message, NOW);
        assert!(out.iter().all(|output| !matches!(output, ReplicaOutput::Committed(_))));
    }
}

#[test]
fn differing_copy_becomes_equal_to_the_primarys() {
    type Rows = std::collections::BTreeMap<u8, u8>;
    bolero::check!().with_type::<(Rows, Rows)>().with_iterations(300).for_each(
        |(primary_rows, backup_rows)| {
            let copy = |rows: &Rows| {
                let rows = rows.iter().map(|(key, value)| {
                    let change = RowChange::put(format!("row/{key}"), value);
                    (change.key, change.value.expect("a value"))
                });
                Copy::from_rows(rows.collect())
            };
            let mut pair = Pair::new(true);
            pair.primary = Replica::new(Group::Control, true, copy(primary_rows), BootId(3 << 30));
            pair.backup = Replica::new(Group::Control, true, copy(backup_rows), BootId(5 << 30));
            pair.backup.become_follower(Epoch(1), NodeId(1), NOW);
            let out = pair.primary.become_primary(Epoch(1), with_backup(2), NOW);
            pair.run(true, out, NOW);
            assert!(pair.primary.is_serving());
            assert_eq!(pair.primary.copy().rows(), pair.backup.copy().rows());
        },
    );
}

#[test]
fn learner_is_ready_with_all_rows_and_stops_the_primary() {
    let mut pair = Pair::new(true);
    pair.submit(1, "a", true);
    let mut learner = Replica::new(Group::Control, true, Copy::default(), BootId(6 << 30));
    learner.become_follower(Epoch(2), NodeId(1), NOW);
    pair.backup.become_idle(Epoch(2));
    let mut out = pair.primary.become_primary(Epoch(2), with_learner(3), NOW);
    let mut ready = false;
    while !out.is_empty() {
        let mut learner_outputs = Vec::new();
        for output in std::mem::take(&mut out) {
            match output {
                ReplicaOutput::Send(_, message) => {
                    let from = Sender { id: NodeId(1), address: node(1).address };
                    learner_outputs.extend(learner.receive(from, message, NOW));
                }
                ReplicaOutput::LearnersReady => {
                    ready = pair.primary.filled_learners() == [NodeId(3)]
                }
                _ => {}
            }
        }
        while let Some(output) = learner_outputs.pop() {
            match output {
                ReplicaOutput::Send(_, message) => {
                    let from = Sender { id: NodeId(3), address: node(3).address };
                    out.extend(pair.primary.receive(from, message, NOW));
                }
                ReplicaOutput::Write(token, _) => {
                    learner_outputs.extend(learner.write_synced(token.number))
                }
                _ => {}
            }
        }
    }
    assert!(ready);
    assert_eq!(learner.copy().rows(), pair.primary.copy().rows());
    assert!(!pair.primary.is_serving());
}
