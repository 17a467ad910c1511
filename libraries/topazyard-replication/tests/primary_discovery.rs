//! How a follower finds the control primary; the test plays the other nodes.

use topazyard_replication::{FeedFollower, follower::FollowOutcome};
use topazyard_types::{BootId, Epoch, LogPosition, MonotonicMs, Sequence};
use topazyard_wire::message::feed::{FeedMessage, Health, UpdateContent};

type Address = std::net::SocketAddr;

fn at(port: u16) -> Address {
    Address::from(([127, 0, 0, 1], port))
}

struct Discovery {
    follower: FeedFollower,
    now: MonotonicMs,
    /// Requests sent, as (destination, time, nonce).
    requests: Vec<(Address, MonotonicMs, u64)>,
}

impl Discovery {
    /// A follower that has just started and knows three control nodes.
    fn new() -> Self {
        let sources = vec![at(1), at(2), at(3)];
        let follower = FeedFollower::new(sources, BootId(1));
        Self { follower, now: MonotonicMs(100_000), requests: Vec::new() }
    }

    fn run(&mut self, for_ms: u64) {
        let until = self.now.0 + for_ms;
        while self.now.0 < until {
            self.now.0 += 5;
            let health = || Health::Edge { ready: true, waiting: 0, refused: 0 };
            if let Some((to, FeedMessage::Request { nonce, .. })) =
                self.follower.tick(self.now, health)
            {
                self.requests.push((to, self.now, nonce));
            }
        }
    }

    fn receive_update(&mut self, from: Address, nonce: u64, sequence: u64) -> FollowOutcome {
        let position = LogPosition { epoch: Epoch(1), sequence: Sequence(sequence) };
        let content = UpdateContent::Changes(Vec::new());
        self.follower.receive(from, FeedMessage::Update { nonce, position, content })
    }

    fn receive_redirect(&mut self, from: Address, nonce: u64, primary: Option<Address>) {
        let message = FeedMessage::Redirect { nonce, epoch: Epoch(1), primary };
        self.follower.receive(from, message);
    }
}

#[test]
fn new_follower_tries_the_next_node_soon() {
    // Otherwise it waits 450 ms for each node that has not started yet.
    let mut discovery = Discovery::new();
    discovery.run(300);
    let to: std::collections::BTreeSet<Address> =
        discovery.requests.iter().map(|(to, _, _)| *to).collect();
    assert_eq!(to.len(), 3, "{:?}", discovery.requests);
}

#[test]
fn unresponsive_named_primary_is_given_up_soon() {
    let mut discovery = Discovery::new();
    discovery.run(5);
    let (first, _, nonce) = discovery.requests[0];
    let named = at(3);
    assert_ne!(first, named);
    discovery.receive_redirect(first, nonce, Some(named));
    discovery.run(5);
    assert_eq!(discovery.requests[1].0, named);
    discovery.run(100);
    assert_ne!(discovery.requests[2].0, named);
}

#[test]
fn next_node_is_tried_within_50_ms_if_no_primary_is_known() {
    let mut discovery = Discovery::new();
    discovery.run(5);
    let (first, _, nonce) = discovery.requests[0];
    discovery.receive_redirect(first, nonce, None);
    discovery.run(50);
    assert_eq!(discovery.requests.len(), 2);
}

#[test]
fn late_response_confirms_as_of_its_request() {
    let mut discovery = Discovery::new();
    discovery.run(250);
    let (slow, sent_at, nonce) = discovery.requests[0];
    assert!(discovery.requests.len() > 1, "it has sent requests to others since");
    assert_eq!(discovery.receive_update(slow, nonce, 7), FollowOutcome::Changed);
    assert_eq!(discovery.follower.primary(), Some(slow));
    assert_eq!(discovery.follower.confirmed_at(), Some(sent_at));
}

#[test]
fn response_older_than_the_last_changes_nothing() {
    let mut discovery = Discovery::new();
    discovery.run(250);
    let (slow, _, early) = discovery.requests[0];
    let (quick, sent_at, late) = discovery.requests[1];
    discovery.receive_update(quick, late, 7);
    assert_eq!(discovery.receive_update(slow, early, 9), FollowOutcome::Unchanged);
    assert_eq!(discovery.follower.primary(), Some(quick));
    assert_eq!(discovery.follower.confirmed_at(), Some(sent_at));
}
