//! Followers of the feed that were away get what they lack in answers of a bounded size, never half
//! of it and never anything older than they had.

mod fleet;

use fleet::{Fleet, at};
use topazyard_control::ControlCall;
use topazyard_replication::FeedFollower;
use topazyard_replication::follower::FollowOutcome;
use topazyard_types::{BootId, ConfigurationVersion, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, Health, UpdateContent};
use topazyard_wire::message::operate::{Command, Operate, OperateOutcome};
use topazyard_wire::state::FleetSnapshot;

/// No answer may be much larger: the rest is keys, lengths and the frame.
const MOST_BYTES: usize = 144 * 1_024;

/// A configuration whose route of each number has a host that long; `change` marks one of them.
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
    let bundle = serde_json::json!({ "pools": [{ "name": "main" }], "routes": routes });
    Command::ApplyConfiguration {
        base: ConfigurationVersion(version - 1),
        version: ConfigurationVersion(version),
        text: bundle.to_string(),
        source: bytes::Bytes::from_static(b"source"),
    }
}

/// A fleet, and followers of its feed.
struct Fed {
    fleet: Fleet,
    now: MonotonicMs,
    version: u64,
    /// The bytes of each answer since the last look.
    answers: Vec<usize>,
}

impl Fed {
    fn new() -> Self {
        let mut fleet = Fleet::new(3, 3);
        fleet.run(2_000);
        Self { fleet, now: MonotonicMs(1_000), version: 0, answers: Vec::new() }
    }

    fn change(&mut self, routes: usize, host: usize) {
        self.version += 1;
        let command = order(self.version, routes, host, self.version);
        let primary = self.fleet.primary().expect("a primary");
        self.fleet.nodes[primary].returned = None;
        self.fleet.tell(primary, ControlCall::Operate(Operate::Command(command)));
        let outcome = self.fleet.nodes[primary].returned.take();
        assert!(matches!(outcome, Some(OperateOutcome::Done(_))), "not taken");
    }

    /// Lets a follower ask once, and gives what it is answered.
    fn answer(&mut self, follower: &mut FeedFollower) -> FeedMessage {
        self.now.0 += 1_000;
        let health = || Health::Edge { ready: true, waiting: 0, refused: 0 };
        let (_, ask) = follower.tick(self.now, health).expect("it asks");
        let primary = self.fleet.primary().expect("a primary");
        let (sender, from) = (NodeId(500), ([127, 0, 0, 1], 500).into());
        let message = Message::Feed(ask);
        let answer = self.fleet.frame(primary, sender, from, message).pop();
        let Some(Message::Feed(answer)) = answer else { panic!("no answer") };
        if let FeedMessage::Update { content, .. } = &answer {
            self.answers.push(topazyard_wire::rows::encode(content).len());
        }
        answer
    }

    fn ask(&mut self, follower: &mut FeedFollower) -> FollowOutcome {
        let answer = self.answer(follower);
        follower.receive(at(self.fleet.primary().expect("a primary")), answer)
    }

    /// Lets a follower ask until it is up to date.
    fn follow(&mut self, follower: &mut FeedFollower) {
        self.answers.clear();
        let before = follower.confirmed_at();
        for _ in 0..2_000 {
            self.ask(follower);
            if follower.confirmed_at() > before {
                break;
            }
        }
        assert!(follower.confirmed_at() > before, "it never caught up");
        let view = FleetSnapshot::read(follower.copy().rows());
        assert_eq!(view.configuration.map(|(version, _)| version.0), Some(self.version));
        assert!(self.answers.iter().all(|bytes| *bytes <= MOST_BYTES), "{:?}", self.answers);
    }
}

fn follower() -> FeedFollower {
    FeedFollower::new(vec![at(0)], BootId(1))
}

#[test]
fn any_follower_catches_up_in_answers_of_a_bounded_size() {
    // The largest text is 4 MB.
    for (routes, host, times) in
        [(20, 5, [1, 100, 1_000]), (300, 5, [1, 100, 1_000]), (10_000, 230, [1, 2, 3])]
    {
        let mut fed = Fed::new();
        fed.change(routes, host);
        let mut follower = follower();
        fed.follow(&mut follower);
        for away in times {
            (0..away).for_each(|_| fed.change(routes, host));
            fed.follow(&mut follower);
        }
    }
}

#[test]
fn a_snapshot_is_applied_only_when_it_is_whole() {
    let mut fed = Fed::new();
    fed.change(2_000, 200);
    let mut follower = follower();
    fed.follow(&mut follower);
    let before = follower.copy().rows().clone();
    let confirmed = follower.confirmed_at();
    fed.change(2_000, 210);
    let mut parts = 0;
    while fed.ask(&mut follower) == FollowOutcome::Unchanged {
        assert_eq!(*follower.copy().rows(), before);
        parts += 1;
    }
    assert!(parts > 3, "{parts}");
    assert_ne!(*follower.copy().rows(), before);
    assert_eq!(follower.confirmed_at(), confirmed, "it was not asked for what came since");
    fed.ask(&mut follower);
    assert!(follower.confirmed_at() > confirmed);
}

// Else a follower would fetch for ever while changes come.
#[test]
fn changes_that_come_meanwhile_do_not_begin_it_anew() {
    let mut fed = Fed::new();
    fed.change(2_000, 200);
    let mut follower = follower();
    let mut asked = 0;
    while follower.confirmed_at().is_none() {
        fed.ask(&mut follower);
        fed.change(2_000, 200);
        // Others begin in between.
        fed.ask(&mut self::follower());
        asked += 1;
        assert!(asked < 40, "it never caught up");
    }
    let view = FleetSnapshot::read(follower.copy().rows());
    let (version, _) = view.configuration.expect("a spec");
    assert!(version.0 >= fed.version - 1, "{version} of {}", fed.version);
    assert_eq!(view.routes.iter().count(), 2_000);
}

#[test]
fn a_snapshot_that_is_overtaken_is_still_whole_and_never_older() {
    let mut fed = Fed::new();
    fed.change(2_000, 200);
    let mut slow = follower();
    fed.ask(&mut slow);
    fed.ask(&mut slow);
    // Others make the primary build newer ones meanwhile.
    for host in [210, 220, 230] {
        fed.change(2_000, host);
        fed.follow(&mut follower());
    }
    fed.follow(&mut slow);
    let mut quick = follower();
    fed.follow(&mut quick);
    assert_eq!(slow.copy().rows(), quick.copy().rows());
    assert_eq!(slow.copy().position(), quick.copy().position());
}

#[test]
fn parts_that_come_late_or_twice_or_of_another_snapshot_change_nothing() {
    let mut fed = Fed::new();
    fed.change(2_000, 200);
    let mut follower = follower();
    let first = fed.answer(&mut follower);
    let FeedMessage::Update { nonce, position, content: UpdateContent::Part(part) } = first.clone()
    else {
        panic!("{first:?}")
    };
    follower.receive(at(0), first.clone());
    // Again, and under the nonce of the next asking.
    follower.receive(at(0), first);
    let next = fed.answer(&mut follower);
    let again =
        FeedMessage::Update { nonce: nonce + 1, position, content: UpdateContent::Part(part) };
    follower.receive(at(0), again);
    follower.receive(at(0), next);
    assert!(follower.copy().rows().is_empty());
    fed.follow(&mut follower);
    assert_eq!(FleetSnapshot::read(follower.copy().rows()).routes.iter().count(), 2_000);
}

#[test]
fn a_new_primary_begins_the_snapshot_anew() {
    let mut fed = Fed::new();
    fed.change(2_000, 200);
    let mut follower = follower();
    fed.ask(&mut follower);
    let primary = fed.fleet.primary().expect("a primary");
    fed.fleet.stop(primary, false);
    fed.fleet.run(3_000);
    fed.follow(&mut follower);
    assert_eq!(FleetSnapshot::read(follower.copy().rows()).routes.iter().count(), 2_000);
}

// Four hundred followers at once: what waits in memory to be sent is bounded, and the parts share
// their bytes.
#[test]
fn a_herd_shares_one_snapshot() {
    let mut fed = Fed::new();
    fed.change(10_000, 230);
    let mut herd: Vec<FeedFollower> = (0..400).map(|_| follower()).collect();
    let mut held = Vec::new();
    for follower in &mut herd {
        if let FeedMessage::Update { content: UpdateContent::Part(part), .. } = fed.answer(follower)
        {
            held.push(part.bytes);
        }
    }
    assert_eq!(held.len(), 400);
    assert!(fed.answers.iter().sum::<usize>() <= 400 * MOST_BYTES);
    let first = held[0].as_ptr();
    assert!(held.iter().all(|bytes| bytes.as_ptr() == first), "each has a snapshot of its own");
}

#[test]
fn followers_are_told_nothing_of_specs_and_orders() {
    let mut fed = Fed::new();
    (0..100).for_each(|_| fed.change(2, 5));
    let mut follower = follower();
    fed.follow(&mut follower);
    fed.change(2, 5);
    fed.follow(&mut follower);
    let rows = follower.copy().rows();
    assert!(rows.keys().all(|key| topazyard_wire::state::is_fed(key)));
}
