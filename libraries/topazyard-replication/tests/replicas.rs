//! Pairs: nothing is committed that the backup has not synced in the same epoch.

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

fn backed_by(backup: u64) -> Followers {
    Followers { backups: vec![node(backup)], learners: Vec::new(), may_serve: true }
}

fn filling(learner: u64) -> Followers {
    Followers { backups: Vec::new(), learners: vec![node(learner)], may_serve: false }
}

struct Two {
    primary: Replica,
    backup: Replica,
    committed: Vec<u64>,
}

impl Two {
    fn new(durable: bool) -> Self {
        let replica =
            |boot_id| Replica::new(Group::Control, durable, Copy::default(), BootId(boot_id));
        let mut two =
            Self { primary: replica(4 << 30), backup: replica(9 << 30), committed: Vec::new() };
        two.backup.become_follower(Epoch(1), NodeId(1), NOW);
        let out = two.primary.become_primary(Epoch(1), backed_by(2), NOW);
        two.run(true, out, NOW);
        two
    }

    /// Carries all messages both ways and syncs all writes, unless the backup's disk stalls.
    fn run(&mut self, backup_syncs: bool, first: Vec<ReplicaOutput>, now: MonotonicMs) {
        let mut at_primary = first;
        let mut at_backup: Vec<ReplicaOutput> = Vec::new();
        while !at_primary.is_empty() || !at_backup.is_empty() {
            for output in std::mem::take(&mut at_primary) {
                match output {
                    ReplicaOutput::Send(_, message) => {
                        let from = Sender { id: NodeId(1), address: node(1).address };
                        at_backup.extend(self.backup.receive(from, message, now));
                    }
                    ReplicaOutput::Write(token, _) => {
                        at_primary.extend(self.primary.write_synced(token.number));
                    }
                    ReplicaOutput::Committed(tickets) => self.committed.extend(tickets),
                    _ => {}
                }
            }
            for output in std::mem::take(&mut at_backup) {
                match output {
                    ReplicaOutput::Send(_, message) => {
                        let from = Sender { id: NodeId(2), address: node(2).address };
                        at_primary.extend(self.primary.receive(from, message, now));
                    }
                    ReplicaOutput::Write(token, _) if backup_syncs => {
                        at_backup.extend(self.backup.write_synced(token.number));
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
fn a_change_is_committed_once_both_have_synced_it() {
    let mut two = Two::new(true);
    two.submit(1, "a", true);
    assert_eq!(two.committed, [1]);
    two.submit(2, "b", false);
    assert_eq!(two.committed, [1], "the backup's disk has not synced it");
}

#[test]
fn an_old_primary_commits_nothing_once_its_backup_moved_on() {
    let mut two = Two::new(true);
    two.backup.become_primary(Epoch(2), filling(3), NOW);
    two.submit(1, "a", true);
    assert!(two.committed.is_empty());
    assert!(two.backup.copy().rows().is_empty());
}

#[test]
fn a_late_frame_of_a_lower_epoch_changes_nothing() {
    let mut two = Two::new(true);
    two.submit(1, "a", true);
    // The same replica in the next epoch; then a batch of the one before arrives after all.
    let out = two.primary.become_primary(Epoch(2), backed_by(2), NOW);
    two.backup.become_follower(Epoch(2), NodeId(1), NOW);
    two.run(true, out, NOW);
    let position = two.backup.copy().position();
    let late = ReplicaMessage {
        group: Group::Control,
        epoch: Epoch(1),
        body: ReplicaBody::Append {
            round: 1,
            sequence: position.sequence.next(),
            changes: vec![RowChange::put("late", &1_u8)],
        },
    };
    let from = Sender { id: NodeId(1), address: node(1).address };
    assert!(two.backup.receive(from, late, NOW).is_empty());
    assert_eq!(two.backup.copy().position(), position);
}

#[test]
fn a_confirmation_of_a_former_life_is_not_taken() {
    let mut two = Two::new(true);
    two.submit(1, "a", false);
    // The primary restarts with the same epoch; its disk had synced the change.
    let rows = two.primary.copy().rows().clone();
    let copy = Copy::from_rows(rows);
    two.primary = Replica::new(Group::Control, true, copy, BootId(77 << 30));
    two.primary.become_primary(Epoch(1), backed_by(2), NOW);
    assert!(two.primary.submit(2, vec![RowChange::put("b", &1_u8)]));
    // Every confirmation that the backup could still owe the former life arrives now.
    let from = Sender { id: NodeId(2), address: node(2).address };
    for round in (4_u64 << 29)..(4 << 29) + 50 {
        let body = ReplicaBody::Appended { round };
        let message = ReplicaMessage { group: Group::Control, epoch: Epoch(1), body };
        let out = two.primary.receive(from, message, NOW);
        assert!(out.iter().all(|output| !matches!(output, ReplicaOutput::Committed(_))));
    }
}

#[test]
fn copies_that_differ_anywhere_end_up_equal_to_the_primarys() {
    type Rows = std::collections::BTreeMap<u8, u8>;
    bolero::check!().with_type::<(Rows, Rows)>().with_iterations(300).for_each(|(ours, theirs)| {
        let copy = |rows: &Rows| {
            let rows = rows.iter().map(|(key, value)| {
                let change = RowChange::put(format!("row/{key}"), value);
                (change.key, change.value.expect("a value"))
            });
            Copy::from_rows(rows.collect())
        };
        let mut two = Two::new(true);
        two.primary = Replica::new(Group::Control, true, copy(ours), BootId(3 << 30));
        two.backup = Replica::new(Group::Control, true, copy(theirs), BootId(5 << 30));
        two.backup.become_follower(Epoch(1), NodeId(1), NOW);
        let out = two.primary.become_primary(Epoch(1), backed_by(2), NOW);
        two.run(true, out, NOW);
        assert!(two.primary.is_serving());
        assert_eq!(two.primary.copy().rows(), two.backup.copy().rows());
    });
}

#[test]
fn a_learner_is_ready_only_with_everything_and_stops_the_primary() {
    let mut two = Two::new(true);
    two.submit(1, "a", true);
    let mut learner = Replica::new(Group::Control, true, Copy::default(), BootId(6 << 30));
    learner.become_follower(Epoch(2), NodeId(1), NOW);
    two.backup.become_idle(Epoch(2));
    let mut out = two.primary.become_primary(Epoch(2), filling(3), NOW);
    let mut ready = false;
    while !out.is_empty() {
        let mut back = Vec::new();
        for output in std::mem::take(&mut out) {
            match output {
                ReplicaOutput::Send(_, message) => {
                    let from = Sender { id: NodeId(1), address: node(1).address };
                    back.extend(learner.receive(from, message, NOW));
                }
                ReplicaOutput::LearnersReady => {
                    ready = two.primary.filled_learners() == [NodeId(3)]
                }
                _ => {}
            }
        }
        while let Some(output) = back.pop() {
            match output {
                ReplicaOutput::Send(_, message) => {
                    let from = Sender { id: NodeId(3), address: node(3).address };
                    out.extend(two.primary.receive(from, message, NOW));
                }
                ReplicaOutput::Write(token, _) => back.extend(learner.write_synced(token.number)),
                _ => {}
            }
        }
    }
    assert!(ready);
    assert_eq!(learner.copy().rows(), two.primary.copy().rows());
    assert!(!two.primary.is_serving());
}
