//! Comparisons: a copy that is brought in step is the old one or the new one, never part of both.

use topazyard_replication::replica::Sender;
use topazyard_replication::{Copy, Followers, Replica, ReplicaOutput};
use topazyard_types::{BootId, Epoch, LogPosition, MonotonicMs, NodeId, Sequence};
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::replica::{FollowerRole, RangePart, ReplicaBody, ReplicaMessage};
use topazyard_wire::{Group, RowChange};

const NOW: MonotonicMs = MonotonicMs(10_000);
const ROWS: usize = 20;

type Rows = std::collections::BTreeMap<String, bytes::Bytes>;

fn node(id: u64) -> CoreNode {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], id as u16));
    CoreNode { id: NodeId(id), address }
}

fn from(id: u64) -> Sender {
    Sender { id: NodeId(id), address: node(id).address }
}

/// A copy whose rows all name the same batch.
fn copy_of(batch: u8) -> Copy {
    let mut copy = Copy::default();
    let rows = (0..ROWS).map(|row| RowChange::put(format!("row {row}"), &batch)).collect();
    copy.apply(Epoch(1), Sequence(u64::from(batch)), rows);
    copy
}

/// What a disk holds after these writes, on top of a copy that it held before.
fn on_disk(before: &Copy, writes: &[Vec<RowChange>]) -> Copy {
    let mut rows: Rows = before.rows().clone();
    for change in writes.iter().flatten() {
        match &change.value {
            Some(value) => drop(rows.insert(change.key.clone(), value.clone())),
            None => drop(rows.remove(&change.key)),
        }
    }
    Copy::from_rows(rows)
}

fn batches_in(copy: &Copy) -> std::collections::BTreeSet<Vec<u8>> {
    copy.rows().values().map(|value| value.to_vec()).collect()
}

/// A claimer's messages to the copy that it fills, one at a time.
struct Filling {
    primary: Replica,
    learner: Replica,
    writes: Vec<Vec<RowChange>>,
    at_learner: std::collections::VecDeque<ReplicaMessage>,
    is_ready: bool,
}

impl Filling {
    fn new(source: Copy, learner: Copy) -> Self {
        let mut filling = Self {
            primary: Replica::new(Group::Control, true, source, BootId(4 << 40)),
            learner: Replica::new(Group::Control, true, learner, BootId(9 << 40)),
            writes: Vec::new(),
            at_learner: Default::default(),
            is_ready: false,
        };
        let followers =
            Followers { backups: Vec::new(), learners: vec![node(2)], may_serve: false };
        filling.learner.become_follower(Epoch(2), NodeId(1), NOW);
        let out = filling.primary.become_primary(Epoch(2), followers, NOW);
        filling.take_primary(out);
        filling
    }

    fn take_primary(&mut self, out: Vec<ReplicaOutput>) {
        for output in out {
            match output {
                ReplicaOutput::Send(_, message) => self.at_learner.push_back(message),
                ReplicaOutput::LearnersReady => self.is_ready = true,
                _ => {}
            }
        }
    }

    /// Carries one message to the learner, and its answers back.
    fn step(&mut self) -> bool {
        let Some(message) = self.at_learner.pop_front() else { return false };
        let mut outputs = self.learner.receive(from(1), message, NOW);
        while !outputs.is_empty() {
            let mut more = Vec::new();
            for output in outputs {
                match output {
                    ReplicaOutput::Write(token, rows) => {
                        self.writes.push(rows);
                        more.extend(self.learner.write_synced(token.number));
                    }
                    ReplicaOutput::Send(_, message) => {
                        let out = self.primary.receive(from(2), message, NOW);
                        self.take_primary(out);
                    }
                    _ => {}
                }
            }
            outputs = more;
        }
        true
    }
}

#[test]
fn a_copy_that_dies_while_it_is_filled_is_never_half_of_two() {
    let (old, new) = (copy_of(1), copy_of(2));
    let mut filling = Filling::new(new, old.clone());
    let mut seen = std::collections::BTreeSet::new();
    loop {
        // It may die here: before the message, and after each of the writes that it made.
        for writes in 0..=filling.writes.len() {
            let restarted = on_disk(&old, &filling.writes[..writes]);
            let batches = batches_in(&restarted);
            assert_eq!(batches.len(), 1, "rows of two batches: {batches:?}");
            seen.extend(batches);
        }
        if !filling.step() {
            break;
        }
    }
    assert!(filling.is_ready);
    assert_eq!(seen.len(), 2, "it was seen before and after");
    assert_eq!(filling.learner.copy().rows(), filling.primary.copy().rows());
}

#[test]
fn a_member_whose_filling_ends_midway_still_holds_what_it_held() {
    let old = copy_of(1);
    let mut filling = Filling::new(copy_of(2), old.clone());
    // The claimer's digests and all but one of the ranges arrive; then the claimer is gone.
    while filling.at_learner.len() != 1 || filling.writes.is_empty() {
        let last = filling.at_learner.len() == 1
            && matches!(filling.at_learner[0].body, ReplicaBody::Range(_));
        if last || !filling.step() {
            break;
        }
    }
    assert_eq!(filling.learner.copy().rows(), old.rows());
    assert_eq!(filling.learner.copy().position().epoch, Epoch(1));
}

#[test]
fn a_range_larger_than_a_part_arrives_in_several() {
    let mut source = Copy::default();
    let large = |n: u8| RowChange {
        key: format!("large {n}"),
        value: Some(bytes::Bytes::from(vec![n; 700 * 1024])),
    };
    source.apply(Epoch(1), Sequence(1), (0..120).map(large).collect());
    let mut filling = Filling::new(source, Copy::default());
    let mut largest = 0;
    let mut parts = 0;
    loop {
        if let Some(ReplicaBody::Range(RangePart { part, rows, .. })) =
            filling.at_learner.front().map(|message| &message.body)
        {
            largest = largest.max(rows.iter().map(|(_, value)| value.len()).sum::<usize>());
            parts = parts.max(part.of);
        }
        if !filling.step() {
            break;
        }
    }
    assert!(filling.is_ready);
    assert!(parts > 1 && largest <= 1024 * 1024, "{parts} parts, the largest {largest}");
    assert_eq!(filling.learner.copy().rows(), filling.primary.copy().rows());
}

/// Parts come in any order and more than once.
#[test]
fn parts_are_taken_in_any_order() {
    bolero::check!().with_type::<(Vec<u16>, Vec<bool>)>().with_iterations(200).for_each(
        |(order, twice)| {
            let mut source = Copy::default();
            let rows = (0..40_u8).map(|n| RowChange {
                key: format!("row {n}"),
                value: Some(bytes::Bytes::from(vec![n; 300 * 1024])),
            });
            source.apply(Epoch(1), Sequence(1), rows.collect());
            let mut filling = Filling::new(source, copy_of(1));
            let mut turn = 0;
            while !filling.at_learner.is_empty() {
                let draw = order.get(turn).copied().unwrap_or(0);
                let at = usize::from(draw) % filling.at_learner.len();
                if let Some(message) = filling.at_learner.remove(at) {
                    if twice.get(turn).copied().unwrap_or(false) {
                        filling.at_learner.push_back(message.clone());
                    }
                    filling.at_learner.push_front(message);
                }
                filling.step();
                turn += 1;
                assert!(turn < 10_000);
            }
            // A last comparison may have to be begun again by the clock.
            for later in 1..40 {
                let out = filling.primary.tick(MonotonicMs(NOW.0 + later * 500));
                filling.take_primary(out);
                while filling.step() {}
            }
            assert!(filling.is_ready);
            assert_eq!(filling.learner.copy().rows(), filling.primary.copy().rows());
        },
    );
}

/// A frame of the primary's former life fits the sequence by chance, and is not of this life.
#[test]
fn a_batch_of_a_former_life_of_the_primary_is_not_taken() {
    let mut backup = Replica::new(Group::Control, false, copy_of(1), BootId(9 << 40));
    backup.become_follower(Epoch(1), NodeId(1), NOW);
    let message = |body| ReplicaMessage { group: Group::Control, epoch: Epoch(1), body };
    let held = copy_of(1);
    let digests = ReplicaBody::Digests {
        round: 7 << 40,
        sequence: Sequence(1),
        digests: held.digests().to_vec(),
        of: FollowerRole::Backup,
    };
    let out = backup.receive(from(1), message(digests), NOW);
    let in_step = |output: &ReplicaOutput| {
        matches!(
            output,
            ReplicaOutput::Send(_, ReplicaMessage { body: ReplicaBody::InSync { .. }, .. })
        )
    };
    assert!(out.iter().any(in_step), "{out:?}");
    let late = ReplicaBody::Append {
        round: (3 << 40) + 9,
        sequence: Sequence(2),
        changes: vec![RowChange::put("row 1", &9_u8)],
    };
    backup.receive(from(1), message(late), NOW);
    assert_eq!(backup.copy().rows(), held.rows());
    assert_eq!(backup.copy().position(), LogPosition { epoch: Epoch(1), sequence: Sequence(1) });
    let next = ReplicaBody::Append {
        round: (7 << 40) + 1,
        sequence: Sequence(2),
        changes: vec![RowChange::put("row 1", &9_u8)],
    };
    backup.receive(from(1), message(next), NOW);
    assert_eq!(backup.copy().position().sequence, Sequence(2));
}

/// Digests that come again late must not keep a backup from following.
#[test]
fn digests_that_come_twice_do_not_stop_a_backup() {
    let mut backup = Replica::new(Group::Control, false, copy_of(1), BootId(9 << 40));
    backup.become_follower(Epoch(1), NodeId(1), NOW);
    let message = |body| ReplicaMessage { group: Group::Control, epoch: Epoch(1), body };
    let append = |round: u64, sequence: u64| ReplicaBody::Append {
        round,
        sequence: Sequence(sequence),
        changes: vec![RowChange::put("row 1", &sequence)],
    };
    let digests = ReplicaBody::Digests {
        round: 100,
        sequence: Sequence(1),
        digests: copy_of(1).digests().to_vec(),
        of: FollowerRole::Backup,
    };
    backup.receive(from(1), message(digests.clone()), NOW);
    backup.receive(from(1), message(append(101, 2)), NOW);
    backup.receive(from(1), message(digests), NOW);
    let out = backup.receive(from(1), message(append(102, 3)), NOW);
    let taken = |output: &ReplicaOutput| {
        matches!(
            output,
            ReplicaOutput::Send(_, ReplicaMessage { body: ReplicaBody::Appended { .. }, .. })
        )
    };
    assert!(out.iter().any(taken), "{out:?}");
    assert_eq!(backup.copy().position().sequence, Sequence(3));
}
