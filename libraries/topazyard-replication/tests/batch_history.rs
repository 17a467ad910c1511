//! The history of batches that a copy keeps, and what a follower receives from it.

use topazyard_replication::follower::FollowOutcome;
use topazyard_replication::{Copy, FeedFollower};
use topazyard_types::{BootId, Epoch, LogPosition, MonotonicMs, Sequence};
use topazyard_wire::RowChange;
use topazyard_wire::message::feed::{FeedMessage, Health, UpdateContent};

const MIB: usize = 1024 * 1024;

fn position(sequence: u64) -> LogPosition {
    LogPosition { epoch: Epoch(1), sequence: Sequence(sequence) }
}

fn row(key: &str, bytes: usize, fill: u8) -> RowChange {
    RowChange { key: key.to_owned(), value: Some(vec![fill; bytes].into()) }
}

fn apply(copy: &mut Copy, sequence: u64, changes: Vec<RowChange>) {
    copy.apply(Epoch(1), Sequence(sequence), changes);
}

/// The bytes of rows in the history of a copy whose newest batch is `last`.
fn history_bytes(copy: &Copy, last: u64) -> usize {
    let oldest = (0..=last).find_map(|sequence| copy.changes_after(position(sequence)));
    let changes = oldest.unwrap_or_default();
    changes.iter().map(|c| c.key.len() + c.value.as_ref().map_or(0, |value| value.len())).sum()
}

// Without the limit, a large configuration that is applied repeatedly would fill control's memory.
#[test]
fn history_is_limited_to_4_mib() {
    let mut copy = Copy::default();
    for sequence in 1..=64 {
        apply(&mut copy, sequence, vec![row("a", MIB / 2, sequence as u8)]);
        assert!(history_bytes(&copy, sequence) <= 4 * MIB, "{sequence}");
    }
    // Seven batches fit with their keys. The changes of the oldest are what a follower of the batch
    // before it would need, so that one is not known.
    assert!(copy.changes_after(position(64)).is_some_and(|changes| changes.is_empty()));
    assert!(copy.changes_after(position(59)).is_some_and(|changes| changes.len() == 5));
    assert_eq!(copy.changes_after(position(50)), None);
}

// Without the limit, small changes would accumulate forever.
#[test]
fn history_is_limited_to_1024_batches() {
    let mut copy = Copy::default();
    (1..=3_000).for_each(|sequence| apply(&mut copy, sequence, vec![row("a", 1, 0)]));
    assert_eq!(copy.changes_after(position(1_976)), None);
    assert!(copy.changes_after(position(1_977)).is_some_and(|changes| changes.len() == 1_023));
}

// The keys of the last batch must be known while it may be uncommitted, and a large batch must not
// push out the small ones after it.
#[test]
fn oversized_batch_is_kept_alone_until_the_next() {
    let mut copy = Copy::default();
    apply(&mut copy, 1, vec![row("a", 1, 0)]);
    apply(&mut copy, 2, vec![row("large", 5 * MIB, 0)]);
    assert_eq!(copy.last_changed_keys().collect::<Vec<_>>(), ["large"]);
    assert_eq!(copy.changes_after(position(1)), None);
    for sequence in 3..=10 {
        apply(&mut copy, sequence, vec![row("a", 1, 0)]);
    }
    assert!(copy.changes_after(position(3)).is_some_and(|changes| changes.len() == 7));
    assert_eq!(copy.changes_after(position(2)), None);
}

// If batches discarded by a comparison still counted, nothing would be kept again.
#[test]
fn discarded_batches_do_not_count_towards_the_limit() {
    let mut copy = Copy::default();
    apply(&mut copy, 1, vec![row("a", 4 * MIB - 100, 0)]);
    copy.replace(position(1), vec![row("c", 1, 0)]);
    (2..=5).for_each(|sequence| apply(&mut copy, sequence, vec![row("b", MIB / 2, 0)]));
    assert!(copy.changes_after(position(2)).is_some_and(|changes| changes.len() == 3));
}

/// Brings a follower to the position of a copy, as control does, and returns whether it needed a
/// snapshot rather than changes.
fn follow(follower: &mut FeedFollower, copy: &Copy, now: MonotonicMs) -> bool {
    let health = || Health::Edge { ready: true, waiting: 0, refused: 0 };
    let (to, request) = follower.tick(now, health).expect("a request is due");
    let FeedMessage::Request { nonce, after, .. } = request else { panic!("{request:?}") };
    let (content, is_snapshot) = match copy.changes_after(after) {
        Some(changes) => (UpdateContent::Changes(changes), false),
        None => {
            let rows = copy.rows().iter().map(|(key, value)| (key.clone(), value.clone()));
            (UpdateContent::Snapshot(rows.collect()), true)
        }
    };
    let update = FeedMessage::Update { nonce, position: copy.position(), content };
    assert_eq!(follower.receive(to, update), FollowOutcome::Changed);
    is_snapshot
}

// Otherwise a follower that was away would continue from a position whose changes are gone, and
// miss them.
#[test]
fn follower_behind_the_history_gets_a_snapshot() {
    let mut copy = Copy::default();
    let source = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let mut follower = FeedFollower::new(vec![source], BootId(1));
    apply(&mut copy, 1, vec![row("gone", 1, 0), row("kept", 1, 0)]);
    let mut now = MonotonicMs(10_000);
    assert!(follow(&mut follower, &copy, now), "a new follower needs a snapshot");
    apply(&mut copy, 2, vec![row("a", MIB, 0)]);
    now.0 += 1_000;
    assert!(!follow(&mut follower, &copy, now), "the history holds the missing batch");
    apply(&mut copy, 3, vec![RowChange::delete("gone")]);
    (4..=8).for_each(|sequence| apply(&mut copy, sequence, vec![row("a", MIB, sequence as u8)]));
    now.0 += 1_000;
    assert!(follow(&mut follower, &copy, now), "the next batch is no longer in the history");
    assert_eq!(follower.copy().rows(), copy.rows());
    assert!(!follower.copy().rows().contains_key("gone"));
    assert_eq!(follower.copy().position(), copy.position());
}
