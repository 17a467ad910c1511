//! Leaving in order: a loss right after a node was replaced leaves a majority and a whole copy.

mod fleet;

use fleet::Fleet;
use topazyard_control::ControlCall;
use topazyard_types::SpecVersion;
use topazyard_wire::message::operate::{Command, OperateOutcome, Query};

fn configuration(base: u64, version: u64) -> Command {
    let route = serde_json::json!({ "name": "r", "host": "a.example", "path_prefix": "/r/",
        "kind": "safe", "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": 5000,
        "max_attempts": 2 });
    let bundle = serde_json::json!({ "pools": [{ "name": "main" }], "routes": [route] });
    Command::TakeSpec {
        base: SpecVersion(base),
        version: SpecVersion(version),
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
    fleet.may_found = false;
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
