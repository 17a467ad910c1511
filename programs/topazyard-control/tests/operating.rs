//! What operators and the platform ask of control, at any node, through restarts.

mod fleet;

use fleet::{Fleet, storage};
use topazyard_control::ControlCall;
use topazyard_types::ConfigurationVersion;
use topazyard_wire::api::Code;
use topazyard_wire::message::operate::{Command, OperateOutcome, Query};

fn spec(base: u64, version: u64, routes: usize, mark: &str) -> Command {
    let routes: Vec<_> = (0..routes)
        .map(|n| {
            serde_json::json!({ "name": format!("r{n}"), "host": "a.example",
                "path_prefix": format!("/{n}/"), "kind": "safe",
                "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": 5000,
                "max_attempts": 2 })
        })
        .collect();
    let bundle = serde_json::json!({ "pools": [{ "name": "main" }], "routes": routes });
    Command::ApplyConfiguration {
        base: ConfigurationVersion(base),
        version: ConfigurationVersion(version),
        text: bundle.to_string(),
        source: bytes::Bytes::from(format!("{mark} {version}")),
    }
}

#[track_caller]
fn taken(outcome: Option<OperateOutcome>) {
    assert!(matches!(outcome, Some(OperateOutcome::Done(_))), "{outcome:?}");
}

#[track_caller]
fn refused(outcome: Option<OperateOutcome>, code: Code) {
    match outcome {
        Some(OperateOutcome::Refused(error)) => assert_eq!(error.code, code),
        other => panic!("not refused: {other:?}"),
    }
}

#[track_caller]
fn source_is(fleet: &mut Fleet, number: usize, wanted: &str) {
    let read = fleet.query(number, Query::ReadSource);
    assert_eq!(read, Some(OperateOutcome::Done(wanted.to_owned())));
}

fn running() -> Fleet {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(2_000);
    fleet
}

#[test]
fn a_first_spec_is_acknowledged_within_two_seconds_of_the_start() {
    let mut fleet = running();
    taken(fleet.command(1, spec(0, 3, 200, "a")));
    source_is(&mut fleet, 2, "a 3");
}

#[test]
fn the_same_spec_is_acknowledged_again_even_after_a_newer_one() {
    let mut fleet = running();
    taken(fleet.command(0, spec(0, 3, 2, "a")));
    taken(fleet.command(1, spec(0, 3, 2, "a")));
    taken(fleet.command(2, spec(3, 8, 2, "a")));
    taken(fleet.command(0, spec(0, 3, 2, "a")));
    source_is(&mut fleet, 0, "a 8");
}

#[test]
fn one_of_two_on_the_same_base_wins() {
    let mut fleet = running();
    taken(fleet.command(0, spec(0, 3, 2, "a")));
    taken(fleet.command(1, spec(3, 5, 2, "a")));
    refused(fleet.command(2, spec(3, 6, 2, "b")), Code::StaleBase);
    refused(fleet.command(2, spec(3, 5, 2, "b")), Code::StaleBase);
    source_is(&mut fleet, 1, "a 5");
}

#[test]
fn invalid_specs_change_nothing() {
    let mut fleet = running();
    taken(fleet.command(0, spec(0, 3, 2, "a")));
    refused(fleet.command(0, spec(3, 3, 2, "b")), Code::InvalidSpec);
    refused(fleet.command(0, spec(3, 2, 2, "b")), Code::InvalidSpec);
    refused(fleet.command(0, spec(3, 4, 0, "b")), Code::InvalidSpec);
    source_is(&mut fleet, 0, "a 3");
}

#[test]
fn what_was_acknowledged_outlives_a_restart_of_all() {
    let mut fleet = running();
    taken(fleet.command(0, spec(0, 3, 200, "a")));
    (0..3).for_each(|number| fleet.stop(number, false));
    fleet.run(1_000);
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(6_000);
    source_is(&mut fleet, 2, "a 3");
    taken(fleet.command(1, spec(3, 4, 200, "a")));
}

#[test]
fn what_was_acknowledged_outlives_one_disk() {
    for lost in 0..3 {
        let mut fleet = running();
        taken(fleet.command(0, spec(0, 3, 2, "a")));
        (0..3).for_each(|number| fleet.stop(number, number == lost));
        fleet.run(1_000);
        fleet.may_bootstrap = false;
        (0..3).for_each(|number| fleet.start(number));
        fleet.run(8_000);
        source_is(&mut fleet, 0, "a 3");
    }
}

#[test]
fn two_seeds_make_a_fleet() {
    let mut fleet = Fleet::new(2, 2);
    fleet.run(2_000);
    taken(fleet.command(1, spec(0, 3, 2, "a")));
}

#[test]
fn nobody_founds_a_fleet_who_may_not() {
    let mut fleet = Fleet::new(3, 3);
    (0..3).for_each(|number| fleet.stop(number, true));
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(10_000);
    assert_eq!(fleet.primary(), None);
}

#[test]
fn a_node_that_lost_its_disk_joins() {
    let mut fleet = running();
    taken(fleet.command(0, spec(0, 3, 2, "a")));
    fleet.may_bootstrap = false;
    let primary = fleet.primary().expect("a primary");
    fleet.stop(primary, true);
    fleet.run(500);
    fleet.start(primary);
    fleet.run(6_000);
    source_is(&mut fleet, primary, "a 3");
}

#[test]
fn a_primary_that_ends_in_order_is_followed_at_once() {
    let mut fleet = running();
    taken(fleet.command(0, spec(0, 3, 2, "a")));
    let primary = fleet.primary().expect("a primary");
    fleet.tell(primary, ControlCall::Leave);
    fleet.stop(primary, false);
    fleet.run(200);
    let next = fleet.primary().expect("another primary");
    source_is(&mut fleet, next, "a 3");
    fleet.start(primary);
    fleet.run(2_000);
    source_is(&mut fleet, primary, "a 3");
}

fn engine(name: &str, state: topazyard_spec::EngineState) -> topazyard_spec::Engine {
    topazyard_spec::Engine {
        name: name.into(),
        address: ([127, 0, 0, 1], 80).into(),
        pool: "main".into(),
        models: Vec::new(),
        state,
        zone: None,
        slots: 4,
    }
}

fn engines(fleet: &mut Fleet) -> Vec<(String, String)> {
    let Some(OperateOutcome::Done(text)) = fleet.query(0, Query::ListEngines) else {
        panic!("no list")
    };
    let list: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let list = list["engines"].as_array().expect("a list").clone();
    let text = |engine: &serde_json::Value, key: &str| engine[key].as_str().unwrap().to_owned();
    list.iter().map(|engine| (text(engine, "name"), text(engine, "state"))).collect()
}

#[test]
fn the_primary_reads_the_list_and_only_it() {
    use topazyard_spec::EngineState::{Leaving, Ready};
    let mut fleet = running();
    let primary = fleet.primary().expect("a primary");
    let begun: Vec<usize> = fleet.nodes.iter().map(|node| node.lists_begun).collect();
    assert!(begun[primary] > 0 && begun.iter().sum::<usize>() == begun[primary]);

    let told = vec![engine("i1", Ready), engine("i2", Ready)];
    fleet.tell(primary, ControlCall::Engines(Some(told.clone())));
    fleet.run(100);
    let both = [("i1".to_owned(), "ready".to_owned()), ("i2".to_owned(), "ready".to_owned())];
    assert_eq!(engines(&mut fleet), both);
    // A list that could not be read, and one that reaches another node, change nothing.
    fleet.tell(primary, ControlCall::Engines(None));
    fleet.tell((primary + 1) % 3, ControlCall::Engines(Some(Vec::new())));
    fleet.run(100);
    assert_eq!(engines(&mut fleet), both);
    fleet.tell(primary, ControlCall::Engines(Some(vec![engine("i2", Leaving)])));
    fleet.run(100);
    assert_eq!(engines(&mut fleet), [("i2".to_owned(), "leaving".to_owned())]);
}

#[test]
fn a_list_that_says_nothing_new_commits_nothing() {
    use topazyard_spec::EngineState::Ready;
    let mut fleet = running();
    let primary = fleet.primary().expect("a primary");
    let place = |fleet: &mut Fleet| {
        let Some(OperateOutcome::Done(text)) = fleet.query(0, Query::FleetState) else {
            panic!("no state")
        };
        serde_json::from_str::<serde_json::Value>(&text).expect("JSON")["place"].clone()
    };
    fleet.tell(primary, ControlCall::Engines(Some(vec![engine("i1", Ready)])));
    fleet.run(100);
    let before = place(&mut fleet);
    for _ in 0..5 {
        fleet.tell(primary, ControlCall::Engines(Some(vec![engine("i1", Ready)])));
        fleet.run(500);
    }
    assert_eq!(place(&mut fleet), before);
}

#[test]
fn a_reading_that_never_reports_is_begun_again() {
    let mut fleet = running();
    let primary = fleet.primary().expect("a primary");
    let before = fleet.nodes[primary].lists_begun;
    fleet.run(10_000);
    assert!(fleet.nodes[primary].lists_begun > before + 1);
}

fn retirement(fleet: &mut Fleet, name: &str) -> String {
    match fleet.query(0, Query::Retirement(name.to_owned())) {
        Some(OperateOutcome::Done(text)) => text,
        other => panic!("no state: {other:?}"),
    }
}

#[test]
fn a_named_storage_node_that_holds_copies_is_emptied() {
    let mut fleet = running();
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(4_000);
    let retire = |name: &str| Command::RetireNamed(name.to_owned());
    refused(fleet.command(1, retire("storage-9")), Code::NotFound);
    refused(fleet.query(1, Query::Retirement("storage-9".into())), Code::NotFound);
    // Nothing here fills a learner, so the node keeps its copies.
    taken(fleet.command(1, retire("storage-1")));
    fleet.run(1_000);
    assert_eq!(retirement(&mut fleet, "storage-1"), r#"{"state":"active"}"#);
    refused(fleet.command(2, retire("storage-1")), Code::WrongState);
}

#[test]
fn a_retired_node_that_holds_nothing_is_completed() {
    let mut fleet = running();
    fleet.storage = (1..=3).map(storage).collect();
    fleet.run(4_000);
    // One that came after all was placed holds nothing yet.
    fleet.storage.push(storage(4));
    let retire = Command::RetireNamed("storage-4".to_owned());
    let asked = (0..10).find_map(|_| {
        let outcome = fleet.command(1, retire.clone());
        matches!(outcome, Some(OperateOutcome::Done(_))).then_some(outcome)
    });
    taken(asked.flatten());
    fleet.run(1_000);
    assert_eq!(retirement(&mut fleet, "storage-4"), r#"{"state":"completed"}"#);
    taken(fleet.command(2, retire));
}

#[test]
fn the_loss_of_any_control_node_is_over_well_within_contact() {
    for lost in 0..3 {
        let mut fleet = running();
        taken(fleet.command(0, spec(0, 3, 2, "a")));
        fleet.stop(lost, false);
        fleet.run(1_200);
        let serving = fleet.primary().expect("a primary");
        let begun = fleet.nodes[serving].lists_begun;
        assert!(begun > 0, "the list is read at once");
        source_is(&mut fleet, serving, "a 3");
    }
}

#[test]
fn no_node_is_retired_if_too_few_would_be_left() {
    let mut fleet = running();
    fleet.storage = (1..=2).map(storage).collect();
    fleet.run(4_000);
    refused(fleet.command(1, Command::RetireNamed("storage-1".into())), Code::NoRoom);
}

#[test]
fn new_seeds_are_asked() {
    let mut fleet = running();
    taken(fleet.command(0, spec(0, 3, 2, "a")));
    // One more node, whose settings name a node that is gone.
    let seeds = std::mem::replace(&mut fleet.seeds, vec![([127, 0, 0, 1], 9).into()]);
    fleet.may_bootstrap = false;
    fleet.add();
    fleet.run(2_000);
    refused(fleet.query(3, Query::ReadSource), Code::NoPrimary);
    fleet.tell(3, ControlCall::Seeds(seeds));
    fleet.run(3_000);
    source_is(&mut fleet, 3, "a 3");
}
