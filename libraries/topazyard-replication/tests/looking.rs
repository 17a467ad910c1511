//! How a follower finds the control primary, with the others' words put in by hand.

use topazyard_replication::{FeedFollower, follower::FollowOutcome};
use topazyard_types::{BootId, Epoch, LogPosition, MonotonicMs, Sequence};
use topazyard_wire::message::feed::{FeedMessage, Health, UpdateContent};

type Address = std::net::SocketAddr;

fn at(port: u16) -> Address {
    Address::from(([127, 0, 0, 1], port))
}

struct Looking {
    follower: FeedFollower,
    now: MonotonicMs,
    /// Whom it asked, when, and under which nonce.
    asked: Vec<(Address, MonotonicMs, u64)>,
}

impl Looking {
    /// A follower that has just started and knows three control nodes.
    fn new() -> Self {
        let sources = vec![at(1), at(2), at(3)];
        let follower = FeedFollower::new(sources, BootId(1));
        Self { follower, now: MonotonicMs(100_000), asked: Vec::new() }
    }

    fn run(&mut self, for_ms: u64) {
        let until = self.now.0 + for_ms;
        while self.now.0 < until {
            self.now.0 += 5;
            let health = || Health::Edge { ready: true, waiting: 0, refused: 0 };
            if let Some((to, FeedMessage::Request { nonce, .. })) =
                self.follower.tick(self.now, health)
            {
                self.asked.push((to, self.now, nonce));
            }
        }
    }

    fn hear_news(&mut self, from: Address, nonce: u64, sequence: u64) -> FollowOutcome {
        let position = LogPosition { epoch: Epoch(1), sequence: Sequence(sequence) };
        let content = UpdateContent::Changes(Vec::new());
        self.follower.receive(from, FeedMessage::Update { nonce, position, content })
    }

    fn hear_elsewhere(&mut self, from: Address, nonce: u64, primary: Option<Address>) {
        let message = FeedMessage::Redirect { nonce, epoch: Epoch(1), primary };
        self.follower.receive(from, message);
    }
}

#[test]
fn one_that_has_just_started_asks_the_next_node_soon() {
    // Else it stays 450 ms with each node that has not started yet.
    let mut looking = Looking::new();
    looking.run(300);
    let to: std::collections::BTreeSet<Address> =
        looking.asked.iter().map(|(to, _, _)| *to).collect();
    assert_eq!(to.len(), 3, "{:?}", looking.asked);
}

#[test]
fn one_that_is_named_but_does_not_run_is_left_soon() {
    let mut looking = Looking::new();
    looking.run(5);
    let (first, _, nonce) = looking.asked[0];
    let named = at(3);
    assert_ne!(first, named);
    looking.hear_elsewhere(first, nonce, Some(named));
    looking.run(5);
    assert_eq!(looking.asked[1].0, named);
    looking.run(100);
    assert_ne!(looking.asked[2].0, named);
}

#[test]
fn where_one_knows_of_no_primary_the_next_is_asked_within_50_ms() {
    let mut looking = Looking::new();
    looking.run(5);
    let (first, _, nonce) = looking.asked[0];
    looking.hear_elsewhere(first, nonce, None);
    looking.run(50);
    assert_eq!(looking.asked.len(), 2);
}

#[test]
fn a_return_that_comes_late_still_counts_as_of_when_it_was_asked_for() {
    let mut looking = Looking::new();
    looking.run(250);
    let (slow, asked_at, nonce) = looking.asked[0];
    assert!(looking.asked.len() > 1, "it has asked others since");
    assert_eq!(looking.hear_news(slow, nonce, 7), FollowOutcome::Changed);
    assert_eq!(looking.follower.primary(), Some(slow));
    assert_eq!(looking.follower.confirmed_at(), Some(asked_at));
}

#[test]
fn a_return_older_than_the_last_one_changes_nothing() {
    let mut looking = Looking::new();
    looking.run(250);
    let (slow, _, early) = looking.asked[0];
    let (quick, asked_at, late) = looking.asked[1];
    looking.hear_news(quick, late, 7);
    assert_eq!(looking.hear_news(slow, early, 9), FollowOutcome::Unchanged);
    assert_eq!(looking.follower.primary(), Some(quick));
    assert_eq!(looking.follower.confirmed_at(), Some(asked_at));
}
