//! Leaving in order: a loss right after a node was replaced leaves a majority and a whole copy.

mod fleet;

use fleet::Fleet;
use topazyard_control::ControlCall;
use topazyard_types::ConfigurationVersion;
use topazyard_wire::message::operate::{Command, Operate, OperateOutcome, Query};

fn configuration(base: u64, version: u64) -> Command {
    let route = serde_json::json!({ "name": "r", "host": "a.example", "path_prefix": "/r/",
        "kind": "safe", "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": 5000,
        "max_attempts": 2 });
    let bundle = serde_json::json!({ "pools": [{ "name": "main" }], "routes": [route] });
    Command::ApplyConfiguration {
        base: ConfigurationVersion(base),
        version: ConfigurationVersion(version),
        text: bundle.to_string(),
        source: bytes::Bytes::from(format!("{version}")),
    }
}

/// Three control nodes and a fourth that has just joined, with a configuration in force.
fn with_a_successor() -> Fleet {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(2_000);
    let taken = fleet.command(0, configuration(0, 3));
    assert!(matches!(taken, Some(OperateOutcome::Done(_))), "{taken:?}");
    fleet.may_bootstrap = false;
    fleet.add();
    fleet.run(1_000);
    fleet
}

/// The second loss comes at once: the node ends as soon as it may, and another loses its disk.
#[test]
fn a_loss_right_after_a_planned_replacement_leaves_a_majority() {
    for leaves in 0..3 {
        for lost in (0..4).filter(|lost| *lost != leaves) {
            let mut fleet = with_a_successor();
            fleet.nodes[leaves].returned = None;
            fleet.tell(leaves, ControlCall::Leave);
            let mut waited = 0;
            while fleet.nodes[leaves].returned.is_none() {
                fleet.run(25);
                waited += 25;
                assert!(waited <= 1_500, "node {leaves} never may end");
            }
            fleet.stop(leaves, true);
            fleet.stop(lost, true);
            fleet.run(4_000);
            let asked = (0..4).find(|number| *number != leaves && *number != lost).expect("one");
            let read = fleet.query(asked, Query::ReadSource);
            assert_eq!(read, Some(OperateOutcome::Done("3".into())), "{leaves} left, {lost} lost");
        }
    }
}

#[test]
fn a_node_that_nobody_can_replace_ends_at_once() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(2_000);
    for number in 0..3 {
        fleet.nodes[number].returned = None;
        fleet.tell(number, ControlCall::Leave);
        assert!(fleet.nodes[number].returned.is_some(), "node {number}");
        fleet.stop(number, false);
        fleet.run(1_000);
        assert!(fleet.primary().is_some(), "without node {number}");
        fleet.start(number);
        fleet.run(3_000);
    }
}

/// The least that time goes on by here.
const TICK_MS: u64 = fleet::TICK.0;

/// What callers at a node were returned while so much time passed.
fn returned(fleet: &mut Fleet, number: usize, for_ms: u64) -> Vec<OperateOutcome> {
    let mut all = Vec::new();
    for _ in 0..for_ms / TICK_MS {
        all.extend(fleet.nodes[number].returned.take());
        fleet.run(TICK_MS);
    }
    all.extend(fleet.nodes[number].returned.take());
    all
}

/// Else an order that was read by a primary, or passed on to it, is answered by nobody: an operator
/// waits for 900 ms at most.
#[test]
fn an_order_that_a_leaving_primary_has_taken_is_answered_in_time() {
    let order = || ControlCall::Operate(Operate::Command(configuration(3, 4)));
    for before_ms in [0, 25, 50, 75, 100, 200] {
        for passes_on in [false, true] {
            let mut fleet = with_a_successor();
            let primary = fleet.primary().expect("one leads");
            let asked = if passes_on { (primary + 1) % 3 } else { primary };
            fleet.nodes.iter_mut().for_each(|node| node.returned = None);
            // The order may come before the signal or after it.
            fleet.tell(primary, ControlCall::Leave);
            let mut got = returned(&mut fleet, asked, before_ms);
            fleet.tell(asked, order());
            got.extend(returned(&mut fleet, asked, 800));
            let of_order =
                got.iter().filter(|outcome| **outcome != OperateOutcome::Done(String::new()));
            assert_eq!(of_order.count(), 1, "{before_ms} ms, passed on {passes_on}: {got:?}");
        }
    }
}
