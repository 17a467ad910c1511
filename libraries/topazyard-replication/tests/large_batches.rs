//! Large batches: confirmed piece by piece, and sent again only if they were lost.

use topazyard_replication::replica::Sender;
use topazyard_replication::{Copy, Followers, Replica, ReplicaOutput};
use topazyard_types::{BootId, Epoch, MonotonicMs, NodeId};
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Group, RowChange};

const START: MonotonicMs = MonotonicMs(10_000);
const SUBMISSION_BYTES: usize = 190_000;
const SUBMISSIONS: u64 = 25;

fn node(id: u64) -> CoreNode {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], id as u16));
    CoreNode { id: NodeId(id), address }
}

/// A primary that serves, and its backup. Messages to the backup wait until they are delivered.
struct Pair {
    primary: Replica,
    backup: Replica,
    now: MonotonicMs,
    to_backup: std::collections::VecDeque<ReplicaMessage>,
    committed: Vec<u64>,
    appended_bytes: usize,
    largest_append: usize,
}

impl Pair {
    fn new() -> Self {
        let replica =
            |boot: u64| Replica::new(Group::Control, true, Copy::default(), BootId(boot << 40));
        let mut pair = Self {
            primary: replica(4),
            backup: replica(9),
            now: START,
            to_backup: Default::default(),
            committed: Vec::new(),
            appended_bytes: 0,
            largest_append: 0,
        };
        pair.backup.become_follower(Epoch(1), NodeId(1), START);
        let backups = vec![node(2)];
        let followers = Followers { backups, learners: Vec::new(), may_serve: true };
        let outputs = pair.primary.become_primary(Epoch(1), followers, START);
        pair.collect(outputs);
        pair.deliver_all();
        assert!(pair.primary.is_serving());
        pair
    }

    fn collect(&mut self, outputs: Vec<ReplicaOutput>) {
        for output in outputs {
            match output {
                ReplicaOutput::Send(_, message) => {
                    if let ReplicaBody::Append { changes, .. } = &message.body {
                        let values = changes.iter().filter_map(|change| change.value.as_ref());
                        let bytes = values.map(|value| value.len()).sum();
                        self.appended_bytes += bytes;
                        self.largest_append = self.largest_append.max(bytes);
                    }
                    self.to_backup.push_back(message);
                }
                ReplicaOutput::Write(token, _) => {
                    let synced = self.primary.write_synced(token.number);
                    self.collect(synced);
                }
                ReplicaOutput::Committed(tickets) => self.committed.extend(tickets),
                _ => {}
            }
        }
    }

    /// Delivers what waits for the backup, whose disk syncs at once, and its responses.
    fn deliver_all(&mut self) {
        while let Some(message) = self.to_backup.pop_front() {
            let from = Sender { id: NodeId(1), address: node(1).address };
            let mut outputs = self.backup.receive(from, message, self.now);
            while !outputs.is_empty() {
                let mut more = Vec::new();
                for output in outputs {
                    match output {
                        ReplicaOutput::Write(token, _) => {
                            more.extend(self.backup.write_synced(token.number));
                        }
                        ReplicaOutput::Send(_, message) => {
                            let from = Sender { id: NodeId(2), address: node(2).address };
                            let responses = self.primary.receive(from, message, self.now);
                            self.collect(responses);
                            let next = self.primary.start_next_batch(self.now);
                            self.collect(next);
                        }
                        _ => {}
                    }
                }
                outputs = more;
            }
        }
    }

    fn submit_all(&mut self) {
        for ticket in 1..=SUBMISSIONS {
            let value = Some(bytes::Bytes::from(vec![ticket as u8; SUBMISSION_BYTES]));
            let change = RowChange { key: format!("row {ticket}"), value };
            assert!(self.primary.submit(ticket, vec![change]));
        }
        let outputs = self.primary.start_next_batch(self.now);
        self.collect(outputs);
    }

    /// Lets time pass while nothing reaches the backup.
    fn wait(&mut self, ms: u64) {
        for _ in 0..ms / 25 {
            self.now.0 += 25;
            let outputs = self.primary.tick(self.now);
            self.collect(outputs);
        }
    }
}

// Guards against a primary that drops all its backups because they can't confirm a heap of
// submissions within the time that a backup may be silent.
#[test]
fn heap_of_submissions_is_confirmed_in_bounded_batches() {
    let mut pair = Pair::new();
    pair.submit_all();
    pair.deliver_all();
    assert_eq!(pair.committed, (1..=SUBMISSIONS).collect::<Vec<u64>>());
    assert!(pair.largest_append <= 512 * 1024, "{} bytes in one batch", pair.largest_append);
    assert_eq!(pair.backup.copy().rows(), pair.primary.copy().rows());
}

// Guards against a link that fills with copies of a batch which is still under way on it.
#[test]
fn append_under_way_is_not_sent_again() {
    let mut pair = Pair::new();
    pair.submit_all();
    pair.wait(450);
    pair.deliver_all();
    assert_eq!(pair.committed.len(), SUBMISSIONS as usize);
    assert_eq!(pair.appended_bytes, SUBMISSIONS as usize * SUBMISSION_BYTES);
}

#[test]
fn lost_append_is_sent_again_once_it_is_known_to_be_missing() {
    let mut pair = Pair::new();
    pair.submit_all();
    pair.to_backup.clear();
    pair.wait(100);
    pair.deliver_all();
    assert_eq!(pair.committed.len(), SUBMISSIONS as usize);
    assert_eq!(pair.backup.copy().rows(), pair.primary.copy().rows());
}
