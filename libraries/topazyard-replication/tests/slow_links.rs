//! Comparisons and refills over links whose round trip is longer than the retry interval.

use topazyard_replication::replica::Sender;
use topazyard_replication::{Copy, Followers, Replica, ReplicaOutput};
use topazyard_types::{BootId, Epoch, MonotonicMs, NodeId, Sequence};
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Group, RowChange};

const START: MonotonicMs = MonotonicMs(10_000);
const TICK_MS: u64 = 25;
const PRIMARY: u64 = 1;
const FOLLOWER: u64 = 2;

fn node(id: u64) -> CoreNode {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], id as u16));
    CoreNode { id: NodeId(id), address }
}

/// A copy of that many rows of a kilobyte each.
fn copy_of(rows: u32) -> Copy {
    let mut copy = Copy::default();
    let row = |n: u32| RowChange {
        key: format!("row {n}"),
        value: Some(bytes::Bytes::from(vec![n as u8; 1024])),
    };
    copy.apply(Epoch(1), Sequence(1), (0..rows).map(row).collect());
    copy
}

/// A message under way.
struct InTransit {
    arrives_at: MonotonicMs,
    to: u64,
    message: ReplicaMessage,
}

/// A primary and one follower, connected by links that delay each message.
struct SlowPair {
    primary: Replica,
    follower: Replica,
    now: MonotonicMs,
    one_way_ms: u64,
    in_transit: std::collections::VecDeque<InTransit>,
    is_serving: bool,
    is_learner_ready: bool,
    range_bytes: usize,
}

impl SlowPair {
    fn new(followers: Followers, rows: u32, one_way_ms: u64) -> Self {
        let replica =
            |copy, boot: u64| Replica::new(Group::Control, true, copy, BootId(boot << 40));
        let mut pair = Self {
            primary: replica(copy_of(rows), 4),
            follower: replica(Copy::default(), 9),
            now: START,
            one_way_ms,
            in_transit: Default::default(),
            is_serving: false,
            is_learner_ready: false,
            range_bytes: 0,
        };
        pair.follower.become_follower(Epoch(2), NodeId(PRIMARY), START);
        let outputs = pair.primary.become_primary(Epoch(2), followers, START);
        pair.collect(PRIMARY, outputs);
        pair
    }

    fn with_learner(rows: u32, one_way_ms: u64) -> Self {
        let learners = vec![node(FOLLOWER)];
        let followers = Followers { backups: Vec::new(), learners, may_serve: false };
        Self::new(followers, rows, one_way_ms)
    }

    fn with_backup(rows: u32, one_way_ms: u64) -> Self {
        let backups = vec![node(FOLLOWER)];
        let followers = Followers { backups, learners: Vec::new(), may_serve: true };
        Self::new(followers, rows, one_way_ms)
    }

    /// Gives both nodes their roles in a new epoch.
    fn begin_epoch(&mut self, epoch: Epoch) {
        self.follower.become_follower(epoch, NodeId(PRIMARY), self.now);
        let learners = vec![node(FOLLOWER)];
        let followers = Followers { backups: Vec::new(), learners, may_serve: false };
        let outputs = self.primary.become_primary(epoch, followers, self.now);
        self.collect(PRIMARY, outputs);
    }

    /// Sends what a node puts out, and completes its writes at once.
    fn collect(&mut self, from: u64, outputs: Vec<ReplicaOutput>) {
        for output in outputs {
            match output {
                ReplicaOutput::Send(to, message) => {
                    if let ReplicaBody::Range(part) = &message.body {
                        self.range_bytes +=
                            part.rows.iter().map(|(_, value)| value.len()).sum::<usize>();
                    }
                    let arrives_at = MonotonicMs(self.now.0 + self.one_way_ms);
                    let to = u64::from(to.port());
                    self.in_transit.push_back(InTransit { arrives_at, to, message });
                }
                ReplicaOutput::Write(token, _) => {
                    let synced = match from {
                        PRIMARY => self.primary.write_synced(token.number),
                        _ => self.follower.write_synced(token.number),
                    };
                    self.collect(from, synced);
                }
                ReplicaOutput::Serving => self.is_serving = true,
                ReplicaOutput::LearnersReady => self.is_learner_ready = true,
                _ => {}
            }
        }
    }

    fn deliver_arrived(&mut self) {
        while self.in_transit.front().is_some_and(|first| first.arrives_at <= self.now) {
            let Some(InTransit { to, message, .. }) = self.in_transit.pop_front() else { return };
            let from = |id| Sender { id: NodeId(id), address: node(id).address };
            match to {
                PRIMARY => {
                    let outputs = self.primary.receive(from(FOLLOWER), message, self.now);
                    self.collect(PRIMARY, outputs);
                }
                _ => {
                    let outputs = self.follower.receive(from(PRIMARY), message, self.now);
                    self.collect(FOLLOWER, outputs);
                }
            }
        }
    }

    /// Lets time pass, with a tick of the primary at the usual interval.
    fn run_for(&mut self, ms: u64) {
        for step in 1..=ms {
            self.now.0 += 1;
            self.deliver_arrived();
            if step % TICK_MS == 0 {
                let outputs = self.primary.tick(self.now);
                self.collect(PRIMARY, outputs);
            }
        }
    }
}

// Guards against a refill that never ends because each response comes after the next round began.
#[test]
fn learner_is_filled_although_responses_take_longer_than_the_retry_interval() {
    let mut pair = SlowPair::with_learner(200, 120);
    pair.run_for(4_000);
    assert!(pair.is_learner_ready);
    assert_eq!(pair.follower.copy().rows(), pair.primary.copy().rows());
}

// Guards against a takeover that never ends for the same reason.
#[test]
fn backup_is_in_sync_although_responses_take_longer_than_the_retry_interval() {
    let mut pair = SlowPair::with_backup(200, 120);
    pair.run_for(4_000);
    assert!(pair.is_serving);
    assert_eq!(pair.follower.copy().rows(), pair.primary.copy().rows());
}

// Guards against a refill that sends what is already under way once more.
#[test]
fn each_row_is_sent_once_over_a_slow_link() {
    let rows = 2_000;
    let mut pair = SlowPair::with_learner(rows, 120);
    pair.run_for(8_000);
    assert!(pair.is_learner_ready);
    assert_eq!(pair.range_bytes, rows as usize * 1024);
}

// Guards against heartbeats and appends that wait behind a whole copy on the same link.
#[test]
fn bytes_in_flight_to_a_learner_are_bounded() {
    let max_bytes = 512 * 1024;
    let mut pair = SlowPair::with_learner(4_000, 1_000);
    pair.run_for(2_200);
    assert!(pair.range_bytes > max_bytes / 2, "{} bytes", pair.range_bytes);
    assert!(pair.range_bytes <= max_bytes, "{} bytes before any is acknowledged", pair.range_bytes);
}

// Guards against a refill that starts again from nothing whenever the epoch changes: it would never
// end where losses come faster than a whole refill.
#[test]
fn refill_goes_on_in_a_new_epoch() {
    let rows = 4_000;
    let mut pair = SlowPair::with_learner(rows, 20);
    pair.run_for(250);
    let sent_before = pair.range_bytes;
    assert!(!pair.is_learner_ready && sent_before > 2_000_000, "{sent_before}");
    pair.begin_epoch(Epoch(3));
    pair.run_for(2_000);
    assert!(pair.is_learner_ready);
    let whole = rows as usize * 1_024;
    // What was in flight, and the ranges that it belongs to, are sent once more.
    let sent_again = pair.range_bytes - whole;
    assert!(sent_again < 1024 * 1024, "{sent_again} of {whole} bytes were sent twice");
    assert_eq!(pair.primary.copy().digests(), pair.follower.copy().digests());
}

// Guards against rows of an earlier primary that a later one no longer has.
#[test]
fn ranges_fetched_in_an_earlier_epoch_count_only_while_they_are_current() {
    let mut pair = SlowPair::with_learner(4_000, 20);
    pair.run_for(250);
    let changed = (0..4_000).step_by(3).map(|n| RowChange::delete(format!("row {n}"))).collect();
    let mut copy = pair.primary.copy().clone();
    copy.apply(Epoch(2), Sequence(2), changed);
    pair.primary = Replica::new(Group::Control, true, copy, BootId(5 << 40));
    pair.begin_epoch(Epoch(3));
    pair.run_for(3_000);
    assert!(pair.is_learner_ready);
    assert_eq!(pair.primary.copy().digests(), pair.follower.copy().digests());
}

// Guards against whole ranges that are sent because one row of each differs.
#[test]
fn follower_that_has_most_rows_is_sent_the_others_only() {
    let rows = 4_000;
    let mut pair = SlowPair::with_backup(rows, 5);
    pair.follower = Replica::new(Group::Control, true, copy_of(rows), BootId(9 << 40));
    pair.follower.become_follower(Epoch(2), NodeId(PRIMARY), START);
    let mut copy = copy_of(rows);
    let put = |n: u32| RowChange::put(format!("row {}", n * 20), &"changed");
    let changes = (0..200).map(put).chain((0..50).map(|n| RowChange::delete(format!("row {n}"))));
    copy.apply(Epoch(1), Sequence(2), changes.collect());
    pair.primary = Replica::new(Group::Control, true, copy, BootId(4 << 40));
    let followers =
        Followers { backups: vec![node(FOLLOWER)], learners: Vec::new(), may_serve: true };
    pair.in_transit.clear();
    let outputs = pair.primary.become_primary(Epoch(2), followers, START);
    pair.collect(PRIMARY, outputs);
    pair.run_for(2_000);
    assert!(pair.is_serving);
    assert_eq!(pair.follower.copy().rows(), pair.primary.copy().rows());
    assert!(pair.range_bytes < 100_000, "{} bytes for 200 small rows", pair.range_bytes);
}

// Guards against a learner that never gets whole because rows change while it is filled: whole
// ranges would be sent again in each pass.
#[test]
fn rows_that_change_during_a_refill_are_sent_again_alone() {
    let rows = 4_000;
    let mut pair = SlowPair::with_learner(rows, 20);
    pair.run_for(250);
    assert!(!pair.is_learner_ready);
    let mut copy = pair.primary.copy().clone();
    let change = |n: u32| RowChange::put(format!("row {}", n * 20), &"changed");
    copy.apply(Epoch(2), Sequence(2), (0..200).map(change).collect());
    pair.primary = Replica::new(Group::Control, true, copy, BootId(5 << 40));
    pair.begin_epoch(Epoch(3));
    pair.run_for(2_000);
    assert!(pair.is_learner_ready);
    assert_eq!(pair.follower.copy().rows(), pair.primary.copy().rows());
    let sent_again = pair.range_bytes - (rows as usize - 200) * 1_024;
    assert!(sent_again < 1_200_000, "{sent_again} bytes were sent again");
}
