//! Operations of operators and the platform, on any control node and across restarts.

mod fleet;

use fleet::{Fleet, storage};
use topazyard_control::ControlCall;
use topazyard_types::ConfigurationVersion;
use topazyard_wire::api::Code;
use topazyard_wire::message::operate::{Command, OperatorOutcome, Query};

fn configuration(base: u64, version: u64, routes: usize, mark: &str) -> Command {
    let routes: Vec<_> = (0..routes)
        .map(|n| {
            serde_json::json!({ "name": format!("r{n}"), "host": "a.example",
                "path_prefix": format!("/{n}/"), "kind": "safe",
                "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": 5000,
                "max_attempts": 2 })
        })
        .collect();
    let configuration = serde_json::json!({ "pools": [{ "name": "main" }], "routes": routes });
    Command::ApplyConfiguration {
        base: ConfigurationVersion(base),
        version: ConfigurationVersion(version),
        text: configuration.to_string(),
        source: bytes::Bytes::from(format!("{mark} {version}")),
    }
}

#[track_caller]
fn assert_accepted(outcome: Option<OperatorOutcome>) {
    assert!(matches!(outcome, Some(OperatorOutcome::Done(_))), "{outcome:?}");
}

#[track_caller]
fn assert_refused(outcome: Option<OperatorOutcome>, code: Code) {
    match outcome {
        Some(OperatorOutcome::Refused(error)) => assert_eq!(error.code, code),
        other => panic!("not refused: {other:?}"),
    }
}

#[track_caller]
fn assert_source(fleet: &mut Fleet, number: usize, expected: &str) {
    let read = fleet.query(number, Query::ReadSource);
    assert_eq!(read, Some(OperatorOutcome::Done(expected.to_owned())));
}

fn running() -> Fleet {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(2_000);
    fleet
}

#[test]
fn first_configuration_is_acknowledged_within_two_seconds() {
    let mut fleet = running();
    assert_accepted(fleet.command(1, configuration(0, 3, 200, "a")));
    assert_source(&mut fleet, 2, "a 3");
}

#[test]
fn resent_configuration_is_acknowledged_after_a_newer_one() {
    let mut fleet = running();
    assert_accepted(fleet.command(0, configuration(0, 3, 2, "a")));
    assert_accepted(fleet.command(1, configuration(0, 3, 2, "a")));
    assert_accepted(fleet.command(2, configuration(3, 8, 2, "a")));
    assert_accepted(fleet.command(0, configuration(0, 3, 2, "a")));
    assert_source(&mut fleet, 0, "a 8");
}

#[test]
fn one_of_two_configurations_on_the_same_base_wins() {
    let mut fleet = running();
    assert_accepted(fleet.command(0, configuration(0, 3, 2, "a")));
    assert_accepted(fleet.command(1, configuration(3, 5, 2, "a")));
    assert_refused(fleet.command(2, configuration(3, 6, 2, "b")), Code::StaleBase);
    assert_refused(fleet.command(2, configuration(3, 5, 2, "b")), Code::StaleBase);
    assert_source(&mut fleet, 1, "a 5");
}

#[test]
fn invalid_configurations_change_nothing() {
    let mut fleet = running();
    assert_accepted(fleet.command(0, configuration(0, 3, 2, "a")));
    assert_refused(fleet.command(0, configuration(3, 3, 2, "b")), Code::InvalidSpec);
    assert_refused(fleet.command(0, configuration(3, 2, 2, "b")), Code::InvalidSpec);
    assert_refused(fleet.command(0, configuration(3, 4, 0, "b")), Code::InvalidSpec);
    assert_source(&mut fleet, 0, "a 3");
}

#[test]
fn acknowledged_configuration_survives_a_restart_of_all_nodes() {
    let mut fleet = running();
    assert_accepted(fleet.command(0, configuration(0, 3, 200, "a")));
    (0..3).for_each(|number| fleet.stop(number, false));
    fleet.run(1_000);
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(6_000);
    assert_source(&mut fleet, 2, "a 3");
    assert_accepted(fleet.command(1, configuration(3, 4, 200, "a")));
}

#[test]
fn acknowledged_configuration_survives_the_loss_of_one_disk() {
    for lost in 0..3 {
        let mut fleet = running();
        assert_accepted(fleet.command(0, configuration(0, 3, 2, "a")));
        (0..3).for_each(|number| fleet.stop(number, number == lost));
        fleet.run(1_000);
        fleet.may_bootstrap = false;
        (0..3).for_each(|number| fleet.start(number));
        fleet.run(8_000);
        assert_source(&mut fleet, 0, "a 3");
    }
}

#[test]
fn two_seeds_bootstrap_a_fleet() {
    let mut fleet = Fleet::new(2, 2);
    fleet.run(2_000);
    assert_accepted(fleet.command(1, configuration(0, 3, 2, "a")));
}

#[test]
fn nodes_without_permission_do_not_bootstrap() {
    let mut fleet = Fleet::new(3, 3);
    (0..3).for_each(|number| fleet.stop(number, true));
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(10_000);
    assert_eq!(fleet.primary(), None);
}

#[test]
fn node_that_lost_its_disk_rejoins() {
    let mut fleet = running();
    assert_accepted(fleet.command(0, configuration(0, 3, 2, "a")));
    fleet.may_bootstrap = false;
    let primary = fleet.primary().expect("a primary");
    fleet.stop(primary, true);
    fleet.run(500);
    fleet.start(primary);
    fleet.run(6_000);
    assert_source(&mut fleet, primary, "a 3");
}

#[test]
fn leaving_primary_is_replaced_at_once() {
    let mut fleet = running();
    assert_accepted(fleet.command(0, configuration(0, 3, 2, "a")));
    let primary = fleet.primary().expect("a primary");
    fleet.call(primary, ControlCall::Leave);
    fleet.stop(primary, false);
    fleet.run(200);
    let next = fleet.primary().expect("another primary");
    assert_source(&mut fleet, next, "a 3");
    fleet.start(primary);
    fleet.run(2_000);
    assert_source(&mut fleet, primary, "a 3");
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
    let Some(OperatorOutcome::Done(text)) = fleet.query(0, Query::ListEngines) else {
        panic!("no list")
    };
    let list: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let list = list["engines"].as_array().expect("a list").clone();
    let text = |engine: &serde_json::Value, key: &str| engine[key].as_str().unwrap().to_owned();
    list.iter().map(|engine| (text(engine, "name"), text(engine, "state"))).collect()
}

#[test]
fn only_the_primary_reads_the_engine_list() {
    use topazyard_spec::EngineState::{Leaving, Ready};
    let mut fleet = running();
    let primary = fleet.primary().expect("a primary");
    let reads: Vec<usize> = fleet.nodes.iter().map(|node| node.list_reads).collect();
    assert!(reads[primary] > 0 && reads.iter().sum::<usize>() == reads[primary]);

    let reported = vec![engine("i1", Ready), engine("i2", Ready)];
    fleet.call(primary, ControlCall::Engines(Some(reported.clone())));
    fleet.run(100);
    let both = [("i1".to_owned(), "ready".to_owned()), ("i2".to_owned(), "ready".to_owned())];
    assert_eq!(engines(&mut fleet), both);
    // A list that could not be read, and one that reaches another node, change nothing.
    fleet.call(primary, ControlCall::Engines(None));
    fleet.call((primary + 1) % 3, ControlCall::Engines(Some(Vec::new())));
    fleet.run(100);
    assert_eq!(engines(&mut fleet), both);
    fleet.call(primary, ControlCall::Engines(Some(vec![engine("i2", Leaving)])));
    fleet.run(100);
    assert_eq!(engines(&mut fleet), [("i2".to_owned(), "leaving".to_owned())]);
}

#[test]
fn unchanged_engine_list_commits_nothing() {
    use topazyard_spec::EngineState::Ready;
    let mut fleet = running();
    let primary = fleet.primary().expect("a primary");
    let position = |fleet: &mut Fleet| {
        let Some(OperatorOutcome::Done(text)) = fleet.query(0, Query::FleetState) else {
            panic!("no state")
        };
        serde_json::from_str::<serde_json::Value>(&text).expect("JSON")["place"].clone()
    };
    fleet.call(primary, ControlCall::Engines(Some(vec![engine("i1", Ready)])));
    fleet.run(100);
    let before = position(&mut fleet);
    for _ in 0..5 {
        fleet.call(primary, ControlCall::Engines(Some(vec![engine("i1", Ready)])));
        fleet.run(500);
    }
    assert_eq!(position(&mut fleet), before);
}

#[test]
fn lost_read_of_the_engine_list_is_retried() {
    let mut fleet = running();
    let primary = fleet.primary().expect("a primary");
    let before = fleet.nodes[primary].list_reads;
    fleet.run(10_000);
    assert!(fleet.nodes[primary].list_reads > before + 1);
}

fn retirement(fleet: &mut Fleet, name: &str) -> String {
    match fleet.query(0, Query::Retirement(name.to_owned())) {
        Some(OperatorOutcome::Done(text)) => text,
        other => panic!("no state: {other:?}"),
    }
}

#[test]
fn retiring_storage_node_with_copies_is_emptied() {
    let mut fleet = running();
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(4_000);
    let retire = |name: &str| Command::RetireNamed(name.to_owned());
    assert_refused(fleet.command(1, retire("storage-9")), Code::NotFound);
    assert_refused(fleet.query(1, Query::Retirement("storage-9".into())), Code::NotFound);
    // Nothing here fills a learner, so the node keeps its copies.
    assert_accepted(fleet.command(1, retire("storage-1")));
    fleet.run(1_000);
    assert_eq!(retirement(&mut fleet, "storage-1"), r#"{"state":"active"}"#);
    assert_refused(fleet.command(2, retire("storage-1")), Code::WrongState);
}

#[test]
fn retirement_of_a_node_without_copies_completes() {
    let mut fleet = running();
    fleet.storage = (1..=3).map(storage).collect();
    fleet.run(4_000);
    // A node that joined after all shards were placed holds nothing yet.
    fleet.storage.push(storage(4));
    let retire = Command::RetireNamed("storage-4".to_owned());
    let outcome = (0..10).find_map(|_| {
        let outcome = fleet.command(1, retire.clone());
        matches!(outcome, Some(OperatorOutcome::Done(_))).then_some(outcome)
    });
    assert_accepted(outcome.flatten());
    fleet.run(1_000);
    assert_eq!(retirement(&mut fleet, "storage-4"), r#"{"state":"completed"}"#);
    assert_accepted(fleet.command(2, retire));
}

#[test]
fn service_resumes_soon_after_the_loss_of_any_control_node() {
    for lost in 0..3 {
        let mut fleet = running();
        assert_accepted(fleet.command(0, configuration(0, 3, 2, "a")));
        fleet.stop(lost, false);
        fleet.run(1_200);
        let serving = fleet.primary().expect("a primary");
        let reads = fleet.nodes[serving].list_reads;
        assert!(reads > 0, "the list is read at once");
        assert_source(&mut fleet, serving, "a 3");
    }
}

#[test]
fn node_is_not_retired_if_too_few_would_remain() {
    let mut fleet = running();
    fleet.storage = (1..=2).map(storage).collect();
    fleet.run(4_000);
    assert_refused(fleet.command(1, Command::RetireNamed("storage-1".into())), Code::NoRoom);
}

#[test]
fn new_seeds_are_contacted() {
    let mut fleet = running();
    assert_accepted(fleet.command(0, configuration(0, 3, 2, "a")));
    // One more node, whose settings name a node that no longer exists.
    let seeds = std::mem::replace(&mut fleet.seeds, vec![([127, 0, 0, 1], 9).into()]);
    fleet.may_bootstrap = false;
    fleet.add();
    fleet.run(2_000);
    assert_refused(fleet.query(3, Query::ReadSource), Code::NoPrimary);
    fleet.call(3, ControlCall::Seeds(seeds));
    fleet.run(3_000);
    assert_source(&mut fleet, 3, "a 3");
}
