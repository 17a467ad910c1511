//! A violation of each invariant that this library checks is detected.

use topazyard_replication::{FeedFollower, Witness};
use topazyard_types::{BootId, Epoch, LogPosition, MonotonicMs, NodeId, Sequence};
use topazyard_wire::RowChange;
use topazyard_wire::invariants::{Invariant, violations};
use topazyard_wire::message::control::{CoreNode, EpochRecord};
use topazyard_wire::message::feed::{FeedMessage, Health, UpdateContent};

fn record(primary: u64) -> EpochRecord {
    let at = std::net::SocketAddr::from(([127, 0, 0, 1], 9_000 + primary as u16));
    let primary = CoreNode { id: NodeId(primary), address: at };
    EpochRecord { epoch: Epoch(4), primary, backups: Vec::new(), witnesses: vec![primary] }
}

#[test]
fn two_records_of_one_epoch_are_a_violation() {
    let mut witness = Witness::default();
    witness.learn(&record(1));
    witness.learn(&record(1));
    assert_eq!(violations(Invariant::EpochHasOneRecord), 0);
    witness.learn(&record(2));
    assert_eq!(violations(Invariant::EpochHasOneRecord), 1);
}

/// Sends a request and receives one row at a fixed position in response.
fn follow(follower: &mut FeedFollower, now: u64, value: u8) {
    let health = Health::Edge { ready: true, waiting: 0, refused: 0 };
    let request = follower.tick(MonotonicMs(now), || health);
    let Some((to, FeedMessage::Request { nonce, .. })) = request else {
        panic!("no request was sent")
    };
    let position = LogPosition { epoch: Epoch(1), sequence: Sequence(7) };
    let content = UpdateContent::Changes(vec![RowChange::put("row", &value)]);
    follower.receive(to, FeedMessage::Update { nonce, position, content });
}

#[test]
fn two_states_at_one_feed_position_are_a_violation() {
    let sources = vec![std::net::SocketAddr::from(([127, 0, 0, 1], 9_000))];
    let mut follower = FeedFollower::new(sources, BootId(1));
    follow(&mut follower, 1_000, 5);
    follow(&mut follower, 2_000, 5);
    assert_eq!(violations(Invariant::FeedPositionHasOneState), 0);
    follow(&mut follower, 3_000, 6);
    assert_eq!(violations(Invariant::FeedPositionHasOneState), 1);
}
