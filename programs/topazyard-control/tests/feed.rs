//! Followers of the feed that were away catch up in responses of a bounded size, and never see a
//! partial state or one older than theirs.

mod fleet;

use fleet::{Fleet, at};
use topazyard_control::ControlCall;
use topazyard_replication::FeedFollower;
use topazyard_replication::follower::FollowOutcome;
use topazyard_types::{BootId, ConfigurationVersion, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, Health, UpdateContent};
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest};
use topazyard_wire::state::FleetSnapshot;

/// Maximum size of a response. What exceeds a part is keys, lengths and the frame.
const MAX_BYTES: usize = 144 * 1_024;

/// A configuration of `routes` routes with hosts of a given length, in which `change` alters one
/// route.
fn order(version: u64, routes: usize, host: usize, change: u64) -> Command {
    let routes: Vec<_> = (0..routes)
        .map(|n| {
            let timeout_ms =
                if n as u64 == change % routes as u64 { 5_000 + change } else { 5_000 };
            serde_json::json!({ "name": format!("r{n}"),
                "host": format!("{}{n}.example", "x".repeat(host)),
                "path_prefix": format!("/{n}/"), "kind": "safe",
                "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": timeout_ms,
                "max_attempts": 2 })
        })
        .collect();
    let configuration = serde_json::json!({ "pools": [{ "name": "main" }], "routes": routes });
    Command::ApplyConfiguration {
        base: ConfigurationVersion(version - 1),
        version: ConfigurationVersion(version),
        text: configuration.to_string(),
        source: bytes::Bytes::from_static(b"source"),
    }
}

/// A fleet, and followers of its feed.
struct FeedFixture {
    fleet: Fleet,
    now: MonotonicMs,
    version: u64,
    /// The size of each response since the last check.
    response_sizes: Vec<usize>,
}

impl FeedFixture {
    fn new() -> Self {
        let mut fleet = Fleet::new(3, 3);
        fleet.run(2_000);
        Self { fleet, now: MonotonicMs(1_000), version: 0, response_sizes: Vec::new() }
    }

    fn change(&mut self, routes: usize, host: usize) {
        self.version += 1;
        let command = order(self.version, routes, host, self.version);
        let primary = self.fleet.primary().expect("a primary");
        self.fleet.nodes[primary].outcome = None;
        self.fleet.call(primary, ControlCall::Operate(OperatorRequest::Command(command)));
        let outcome = self.fleet.nodes[primary].outcome.take();
        assert!(matches!(outcome, Some(OperatorOutcome::Done(_))), "not accepted");
    }

    /// Sends one request of a follower and returns the response.
    fn request(&mut self, follower: &mut FeedFollower) -> FeedMessage {
        self.now.0 += 1_000;
        let health = || Health::Edge { ready: true, waiting: 0, refused: 0 };
        let (_, request) = follower.tick(self.now, health).expect("it sends a request");
        let primary = self.fleet.primary().expect("a primary");
        let (sender, from) = (NodeId(500), ([127, 0, 0, 1], 500).into());
        let message = Message::Feed(request);
        let response = self.fleet.frame(primary, sender, from, message).pop();
        let Some(Message::Feed(response)) = response else { panic!("no response") };
        if let FeedMessage::Update { content, .. } = &response {
            self.response_sizes.push(topazyard_wire::rows::encode(content).len());
        }
        response
    }

    fn request_and_apply(&mut self, follower: &mut FeedFollower) -> FollowOutcome {
        let response = self.request(follower);
        follower.receive(at(self.fleet.primary().expect("a primary")), response)
    }

    /// Sends requests of a follower until it is up to date.
    fn follow(&mut self, follower: &mut FeedFollower) {
        self.response_sizes.clear();
        let before = follower.confirmed_at();
        for _ in 0..2_000 {
            self.request_and_apply(follower);
            if follower.confirmed_at() > before {
                break;
            }
        }
        assert!(follower.confirmed_at() > before, "it never caught up");
        let snapshot = FleetSnapshot::read(follower.copy().rows());
        assert_eq!(snapshot.configuration.map(|(version, _)| version.0), Some(self.version));
        assert!(
            self.response_sizes.iter().all(|bytes| *bytes <= MAX_BYTES),
            "{:?}",
            self.response_sizes
        );
    }
}

fn follower() -> FeedFollower {
    FeedFollower::new(vec![at(0)], BootId(1))
}

#[test]
fn followers_catch_up_in_responses_of_bounded_size() {
    // The largest text is 4 MB.
    for (routes, host, times) in
        [(20, 5, [1, 100, 1_000]), (300, 5, [1, 100, 1_000]), (10_000, 230, [1, 2, 3])]
    {
        let mut feed = FeedFixture::new();
        feed.change(routes, host);
        let mut follower = follower();
        feed.follow(&mut follower);
        for away in times {
            (0..away).for_each(|_| feed.change(routes, host));
            feed.follow(&mut follower);
        }
    }
}

#[test]
fn snapshot_is_applied_only_when_complete() {
    let mut feed = FeedFixture::new();
    feed.change(2_000, 200);
    let mut follower = follower();
    feed.follow(&mut follower);
    let before = follower.copy().rows().clone();
    let confirmed = follower.confirmed_at();
    feed.change(2_000, 210);
    let mut parts = 0;
    while feed.request_and_apply(&mut follower) == FollowOutcome::Unchanged {
        assert_eq!(*follower.copy().rows(), before);
        parts += 1;
    }
    assert!(parts > 3, "{parts}");
    assert_ne!(*follower.copy().rows(), before);
    assert_eq!(follower.confirmed_at(), confirmed, "it did not request what came since");
    feed.request_and_apply(&mut follower);
    assert!(follower.confirmed_at() > confirmed);
}

// Otherwise a follower would never finish while changes keep coming.
#[test]
fn changes_meanwhile_do_not_restart_a_snapshot() {
    let mut feed = FeedFixture::new();
    feed.change(2_000, 200);
    let mut follower = follower();
    let mut requests = 0;
    while follower.confirmed_at().is_none() {
        feed.request_and_apply(&mut follower);
        feed.change(2_000, 200);
        // Other followers start in between.
        feed.request_and_apply(&mut self::follower());
        requests += 1;
        assert!(requests < 40, "it never caught up");
    }
    let snapshot = FleetSnapshot::read(follower.copy().rows());
    let (version, _) = snapshot.configuration.expect("a configuration");
    assert!(version.0 >= feed.version - 1, "{version} of {}", feed.version);
    assert_eq!(snapshot.routes.iter().count(), 2_000);
}

#[test]
fn overtaken_snapshot_is_complete_and_never_older() {
    let mut feed = FeedFixture::new();
    feed.change(2_000, 200);
    let mut slow = follower();
    feed.request_and_apply(&mut slow);
    feed.request_and_apply(&mut slow);
    // Other followers make the primary build newer snapshots meanwhile.
    for host in [210, 220, 230] {
        feed.change(2_000, host);
        feed.follow(&mut follower());
    }
    feed.follow(&mut slow);
    let mut quick = follower();
    feed.follow(&mut quick);
    assert_eq!(slow.copy().rows(), quick.copy().rows());
    assert_eq!(slow.copy().position(), quick.copy().position());
}

#[test]
fn late_or_duplicate_parts_change_nothing() {
    let mut feed = FeedFixture::new();
    feed.change(2_000, 200);
    let mut follower = follower();
    let first = feed.request(&mut follower);
    let FeedMessage::Update { nonce, position, content: UpdateContent::Part(part) } = first.clone()
    else {
        panic!("{first:?}")
    };
    follower.receive(at(0), first.clone());
    // Again, and under the nonce of the next request.
    follower.receive(at(0), first);
    let next = feed.request(&mut follower);
    let again =
        FeedMessage::Update { nonce: nonce + 1, position, content: UpdateContent::Part(part) };
    follower.receive(at(0), again);
    follower.receive(at(0), next);
    assert!(follower.copy().rows().is_empty());
    feed.follow(&mut follower);
    assert_eq!(FleetSnapshot::read(follower.copy().rows()).routes.iter().count(), 2_000);
}

#[test]
fn new_primary_restarts_the_snapshot() {
    let mut feed = FeedFixture::new();
    feed.change(2_000, 200);
    let mut follower = follower();
    feed.request_and_apply(&mut follower);
    let primary = feed.fleet.primary().expect("a primary");
    feed.fleet.stop(primary, false);
    feed.fleet.run(3_000);
    feed.follow(&mut follower);
    assert_eq!(FleetSnapshot::read(follower.copy().rows()).routes.iter().count(), 2_000);
}

// With 400 followers at once the memory for unsent data is bounded, since the parts share their
// bytes.
#[test]
fn many_followers_share_one_snapshot() {
    let mut feed = FeedFixture::new();
    feed.change(10_000, 230);
    let mut followers: Vec<FeedFollower> = (0..400).map(|_| follower()).collect();
    let mut parts = Vec::new();
    for follower in &mut followers {
        if let FeedMessage::Update { content: UpdateContent::Part(part), .. } =
            feed.request(follower)
        {
            parts.push(part.bytes);
        }
    }
    assert_eq!(parts.len(), 400);
    assert!(feed.response_sizes.iter().sum::<usize>() <= 400 * MAX_BYTES);
    let first = parts[0].as_ptr();
    assert!(parts.iter().all(|bytes| bytes.as_ptr() == first), "each has a snapshot of its own");
}

#[test]
fn followers_receive_no_configuration_texts_or_orders() {
    let mut feed = FeedFixture::new();
    (0..100).for_each(|_| feed.change(2, 5));
    let mut follower = follower();
    feed.follow(&mut follower);
    feed.change(2, 5);
    feed.follow(&mut follower);
    let rows = follower.copy().rows();
    assert!(rows.keys().all(|key| topazyard_wire::state::is_in_feed(key)));
}
