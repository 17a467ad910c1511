//! Comparisons: a copy that is synchronized is either the old one or the new one, never a mix.

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

/// A copy whose rows all hold the number of one batch.
fn copy_of(batch: u8) -> Copy {
    let mut copy = Copy::default();
    let rows = (0..ROWS).map(|row| RowChange::put(format!("row {row}"), &batch)).collect();
    copy.apply(Epoch(1), Sequence(u64::from(batch)), rows);
    copy
}

/// What a disk holds after these writes, starting from a copy that it held before.
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

fn batches_of(copy: &Copy) -> std::collections::BTreeSet<Vec<u8>> {
    copy.rows().values().map(|value| value.to_vec()).collect()
}

/// A primary that fills a learner; its messages are delivered one at a time.
struct Filling {
    primary: Replica,
    learner: Replica,
    writes: Vec<Vec<RowChange>>,
    to_learner: std::collections::VecDeque<ReplicaMessage>,
    is_ready: bool,
}

impl Filling {
    fn new(source: Copy, learner: Copy) -> Self {
        let mut filling = Self {
            primary: Replica::new(Group::Control, true, source, BootId(4 << 40)),
            learner: Replica::new(Group::Control, true, learner, BootId(9 << 40)),
            writes: Vec::new(),
            to_learner: Default::default(),
            is_ready: false,
        };
        let followers =
            Followers { backups: Vec::new(), learners: vec![node(2)], may_serve: false };
        filling.learner.become_follower(Epoch(2), NodeId(1), NOW);
        let out = filling.primary.become_primary(Epoch(2), followers, NOW);
        filling.collect_primary_outputs(out);
        filling
    }

    fn collect_primary_outputs(&mut self, out: Vec<ReplicaOutput>) {
        for output in out {
            match output {
                ReplicaOutput::Send(_, message) => self.to_learner.push_back(message),
                ReplicaOutput::LearnersReady => self.is_ready = true,
                _ => {}
            }
        }
    }

    /// Delivers one message to the learner, and its responses to the primary.
    fn deliver_next(&mut self) -> bool {
        let Some(message) = self.to_learner.pop_front() else { return false };
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
                        self.collect_primary_outputs(out);
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
fn crash_while_filling_leaves_the_old_or_the_new_copy() {
    let (old, new) = (copy_of(1), copy_of(2));
    let mut filling = Filling::new(new, old.clone());
    let mut seen = std::collections::BTreeSet::new();
    loop {
        // The learner may crash here: before the message, and after each of its writes.
        for writes in 0..=filling.writes.len() {
            let restarted = on_disk(&old, &filling.writes[..writes]);
            let batches = batches_of(&restarted);
            assert_eq!(batches.len(), 1, "rows of two batches: {batches:?}");
            seen.extend(batches);
        }
        if !filling.deliver_next() {
            break;
        }
    }
    assert!(filling.is_ready);
    assert_eq!(seen.len(), 2, "both the old and the new copy were seen");
    assert_eq!(filling.learner.copy().rows(), filling.primary.copy().rows());
}

#[test]
fn interrupted_filling_leaves_the_copy_unchanged() {
    let old = copy_of(1);
    let mut filling = Filling::new(copy_of(2), old.clone());
    // The primary's digests and all but one of the ranges arrive; then the primary fails.
    while filling.to_learner.len() != 1 || filling.writes.is_empty() {
        let last = filling.to_learner.len() == 1
            && matches!(filling.to_learner[0].body, ReplicaBody::Range(_));
        if last || !filling.deliver_next() {
            break;
        }
    }
    assert_eq!(filling.learner.copy().rows(), old.rows());
    assert_eq!(filling.learner.copy().position().epoch, Epoch(1));
}

#[test]
fn large_range_is_sent_in_several_parts() {
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
            filling.to_learner.front().map(|message| &message.body)
        {
            largest = largest.max(rows.iter().map(|(_, value)| value.len()).sum::<usize>());
            parts = parts.max(part.of);
        }
        if !filling.deliver_next() {
            break;
        }
    }
    assert!(filling.is_ready);
    assert!(parts > 1 && largest <= 1024 * 1024, "{parts} parts, the largest {largest}");
    assert_eq!(filling.learner.copy().rows(), filling.primary.copy().rows());
}

/// Delivers parts in any order, some of them twice.
#[test]
fn parts_may_arrive_in_any_order_and_twice() {
    bolero::check!().with_type::<(Vec<u16>, Vec<bool>)>().with_iterations(200).for_each(
        |(order, twice)| {
            let mut source = Copy::default();
            let rows = (0..40_u8).map(|n| RowChange {
                key: format!("row {n}"),
                value: Some(bytes::Bytes::from(vec![n; 300 * 1024])),
            });
            source.apply(Epoch(1), Sequence(1), rows.collect());
            let mut filling = Filling::new(source, copy_of(1));
            let mut step = 0;
            while !filling.to_learner.is_empty() {
                let draw = order.get(step).copied().unwrap_or(0);
                let at = usize::from(draw) % filling.to_learner.len();
                if let Some(message) = filling.to_learner.remove(at) {
                    if twice.get(step).copied().unwrap_or(false) {
                        filling.to_learner.push_back(message.clone());
                    }
                    filling.to_learner.push_front(message);
                }
                filling.deliver_next();
                step += 1;
                assert!(step < 10_000);
            }
            // The final comparison may have to start again after its timeout.
            for later in 1..40 {
                let out = filling.primary.tick(MonotonicMs(NOW.0 + later * 500));
                filling.collect_primary_outputs(out);
                while filling.deliver_next() {}
            }
            assert!(filling.is_ready);
            assert_eq!(filling.learner.copy().rows(), filling.primary.copy().rows());
        },
    );
}

/// A delayed frame from the primary's earlier boot may have the next sequence by chance.
#[test]
fn append_from_an_earlier_boot_is_ignored() {
    let mut backup = Replica::new(Group::Control, false, copy_of(1), BootId(9 << 40));
    backup.become_follower(Epoch(1), NodeId(1), NOW);
    let message = |body| ReplicaMessage { group: Group::Control, epoch: Epoch(1), body };
    let original = copy_of(1);
    let digests = ReplicaBody::Digests {
        round: 7 << 40,
        sequence: Sequence(1),
        digests: original.digests().to_vec(),
        of: FollowerRole::Backup,
    };
    let out = backup.receive(from(1), message(digests), NOW);
    let is_in_sync = |output: &ReplicaOutput| {
        matches!(
            output,
            ReplicaOutput::Send(_, ReplicaMessage { body: ReplicaBody::InSync { .. }, .. })
        )
    };
    assert!(out.iter().any(is_in_sync), "{out:?}");
    let late = ReplicaBody::Append {
        round: (3 << 40) + 9,
        sequence: Sequence(2),
        changes: vec![RowChange::put("row 1", &9_u8)],
    };
    backup.receive(from(1), message(late), NOW);
    assert_eq!(backup.copy().rows(), original.rows());
    assert_eq!(backup.copy().position(), LogPosition { epoch: Epoch(1), sequence: Sequence(1) });
    let next = ReplicaBody::Append {
        round: (7 << 40) + 1,
        sequence: Sequence(2),
        changes: vec![RowChange::put("row 1", &9_u8)],
    };
    backup.receive(from(1), message(next), NOW);
    assert_eq!(backup.copy().position().sequence, Sequence(2));
}

/// A delayed repetition of the digests must not keep a backup from following.
#[test]
fn repeated_digests_do_not_stop_a_backup() {
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
    let is_appended = |output: &ReplicaOutput| {
        matches!(
            output,
            ReplicaOutput::Send(_, ReplicaMessage { body: ReplicaBody::Appended { .. }, .. })
        )
    };
    assert!(out.iter().any(is_appended), "{out:?}");
    assert_eq!(backup.copy().position().sequence, Sequence(3));
}
