//! What a copy remembers of its last batches, and what a follower gets from it.

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

/// The bytes of rows in all batches that a copy remembers, when `last` is its newest.
fn remembered_bytes(copy: &Copy, last: u64) -> usize {
    let oldest = (0..=last).find_map(|sequence| copy.changes_after(position(sequence)));
    let changes = oldest.unwrap_or_default();
    changes.iter().map(|c| c.key.len() + c.value.as_ref().map_or(0, |value| value.len())).sum()
}

// Else a large configuration that is put in force again and again takes all of control's memory.
#[test]
fn a_copy_remembers_at_most_4_mib_of_batches() {
    let mut copy = Copy::default();
    for sequence in 1..=64 {
        apply(&mut copy, sequence, vec![row("a", MIB / 2, sequence as u8)]);
        assert!(remembered_bytes(&copy, sequence) <= 4 * MIB, "{sequence}");
    }
    // Seven fit with their keys; the batch before the first is not known, as its changes went.
    assert!(copy.changes_after(position(64)).is_some_and(|changes| changes.is_empty()));
    assert!(copy.changes_after(position(59)).is_some_and(|changes| changes.len() == 5));
    assert_eq!(copy.changes_after(position(50)), None);
}

// Else small changes pile up without end.
#[test]
fn a_copy_remembers_at_most_1024_small_batches() {
    let mut copy = Copy::default();
    (1..=3_000).for_each(|sequence| apply(&mut copy, sequence, vec![row("a", 1, 0)]));
    assert_eq!(copy.changes_after(position(1_976)), None);
    assert!(copy.changes_after(position(1_977)).is_some_and(|changes| changes.len() == 1_023));
}

// Else what the last batch touched is not known where it is in doubt; or small batches after a
// large one are forgotten for its sake.
#[test]
fn a_batch_above_the_bound_is_remembered_alone_and_forgotten_with_the_next() {
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

// Else the bytes of batches that a comparison threw away count on, and none is remembered again.
#[test]
fn batches_that_were_thrown_away_no_longer_count() {
    let mut copy = Copy::default();
    apply(&mut copy, 1, vec![row("a", 4 * MIB - 100, 0)]);
    copy.replace(position(1), vec![row("c", 1, 0)]);
    (2..=5).for_each(|sequence| apply(&mut copy, sequence, vec![row("b", MIB / 2, 0)]));
    assert!(copy.changes_after(position(2)).is_some_and(|changes| changes.len() == 3));
}

/// Takes a follower from its place to that of a copy, as control does, and gives whether it got
/// everything rather than the changes.
fn follow(follower: &mut FeedFollower, copy: &Copy, now: MonotonicMs) -> bool {
    let health = || Health::Edge { ready: true, waiting: 0, refused: 0 };
    let (to, asked) = follower.tick(now, health).expect("it asks");
    let FeedMessage::Request { nonce, after, .. } = asked else { panic!("{asked:?}") };
    let (content, whole) = match copy.changes_after(after) {
        Some(changes) => (UpdateContent::Changes(changes), false),
        None => {
            let rows = copy.rows().iter().map(|(key, value)| (key.clone(), value.clone()));
            (UpdateContent::Snapshot(rows.collect()), true)
        }
    };
    let news = FeedMessage::Update { nonce, position: copy.position(), content };
    assert_eq!(follower.receive(to, news), FollowOutcome::Changed);
    whole
}

// Else a follower that was away goes on from a place whose changes are gone, and misses these.
#[test]
fn a_follower_further_back_than_is_remembered_gets_everything() {
    let mut copy = Copy::default();
    let source = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let mut follower = FeedFollower::new(vec![source], BootId(1));
    apply(&mut copy, 1, vec![row("gone", 1, 0), row("kept", 1, 0)]);
    let mut now = MonotonicMs(10_000);
    assert!(follow(&mut follower, &copy, now), "it knew nothing");
    apply(&mut copy, 2, vec![row("a", MIB, 0)]);
    now.0 += 1_000;
    assert!(!follow(&mut follower, &copy, now), "it is one batch behind");
    apply(&mut copy, 3, vec![RowChange::delete("gone")]);
    (4..=8).for_each(|sequence| apply(&mut copy, sequence, vec![row("a", MIB, sequence as u8)]));
    now.0 += 1_000;
    assert!(follow(&mut follower, &copy, now), "what came next is no longer remembered");
    assert_eq!(follower.copy().rows(), copy.rows());
    assert!(!follower.copy().rows().contains_key("gone"));
    assert_eq!(follower.copy().position(), copy.position());
}
