//! Graceful shutdown: a loss right after a node was replaced leaves a majority and a complete copy.

mod fleet;

use fleet::Fleet;
use topazyard_control::ControlCall;
use topazyard_types::ConfigurationVersion;
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest, Query};

fn configuration(base: u64, version: u64) -> Command {
    let route = serde_json::json!({ "name": "r", "host": "a.example", "path_prefix": "/r/",
        "kind": "safe", "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": 5000,
        "max_attempts": 2 });
    let configuration = serde_json::json!({ "pools": [{ "name": "main" }], "routes": [route] });
    Command::ApplyConfiguration {
        base: ConfigurationVersion(base),
        version: ConfigurationVersion(version),
        text: configuration.to_string(),
        source: bytes::Bytes::from(format!("{version}")),
    }
}

/// Three control nodes and a fourth that has just joined, with a configuration in force.
fn with_spare_node() -> Fleet {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(2_000);
    let outcome = fleet.command(0, configuration(0, 3));
    assert!(matches!(outcome, Some(OperatorOutcome::Done(_))), "{outcome:?}");
    fleet.may_bootstrap = false;
    fleet.add();
    fleet.run(1_000);
    fleet
}

/// The second loss follows at once: the node stops as soon as it may, and another loses its disk.
#[test]
fn loss_right_after_a_planned_replacement_leaves_a_majority() {
    for leaving in 0..3 {
        for lost in (0..4).filter(|lost| *lost != leaving) {
            let mut fleet = with_spare_node();
            fleet.nodes[leaving].outcome = None;
            fleet.call(leaving, ControlCall::Leave);
            let mut waited = 0;
            while fleet.nodes[leaving].outcome.is_none() {
                fleet.run(25);
                waited += 25;
                assert!(waited <= 1_500, "node {leaving} is never released");
            }
            fleet.stop(leaving, true);
            fleet.stop(lost, true);
            fleet.run(4_000);
            let queried = (0..4)
                .find(|number| *number != leaving && *number != lost)
                .expect("a node that is left");
            let read = fleet.query(queried, Query::ReadSource);
            assert_eq!(
                read,
                Some(OperatorOutcome::Done("3".into())),
                "{leaving} left, {lost} lost"
            );
        }
    }
}

#[test]
fn irreplaceable_node_stops_at_once() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(2_000);
    for number in 0..3 {
        fleet.nodes[number].outcome = None;
        fleet.call(number, ControlCall::Leave);
        assert!(fleet.nodes[number].outcome.is_some(), "node {number}");
        fleet.stop(number, false);
        fleet.run(1_000);
        assert!(fleet.primary().is_some(), "without node {number}");
        fleet.start(number);
        fleet.run(3_000);
    }
}

/// The smallest step of time in these tests.
const TICK_MS: u64 = fleet::TICK.0;

/// What a node's callers received over a period of time.
fn outcomes(fleet: &mut Fleet, number: usize, for_ms: u64) -> Vec<OperatorOutcome> {
    let mut all = Vec::new();
    for _ in 0..for_ms / TICK_MS {
        all.extend(fleet.nodes[number].outcome.take());
        fleet.run(TICK_MS);
    }
    all.extend(fleet.nodes[number].outcome.take());
    all
}

/// Otherwise an order that was read by a primary or forwarded to it gets no response, while an
/// operator waits 900 ms at most.
#[test]
fn order_read_by_a_leaving_primary_gets_a_response_in_time() {
    let order = || ControlCall::Operate(OperatorRequest::Command(configuration(3, 4)));
    for before_ms in [0, 25, 50, 75, 100, 200] {
        for forwards in [false, true] {
            let mut fleet = with_spare_node();
            let primary = fleet.primary().expect("a primary");
            let queried = if forwards { (primary + 1) % 3 } else { primary };
            fleet.nodes.iter_mut().for_each(|node| node.outcome = None);
            // The order may arrive before the signal or after it.
            fleet.call(primary, ControlCall::Leave);
            let mut received = outcomes(&mut fleet, queried, before_ms);
            fleet.call(queried, order());
            received.extend(outcomes(&mut fleet, queried, 800));
            let order_outcomes =
                received.iter().filter(|outcome| **outcome != OperatorOutcome::Done(String::new()));
            assert_eq!(
                order_outcomes.count(),
                1,
                "{before_ms} ms, forwarded {forwards}: {received:?}"
            );
        }
    }
}
