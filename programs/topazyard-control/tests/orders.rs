//! An accepted order is never refused and a refused one never accepted, however its copies travel.

mod fleet;

use fleet::{Delivery, Fleet, storage};
use topazyard_control::ControlCall;
use topazyard_types::ConfigurationVersion;
use topazyard_wire::Message;
use topazyard_wire::api::Code;
use topazyard_wire::message::operate::{
    Command, OperatorMessage, OperatorOutcome, OperatorRequest, Query, SourcePatch,
};

fn configuration_text(routes: usize) -> String {
    let routes: Vec<_> = (0..routes)
        .map(|n| {
            serde_json::json!({ "name": format!("r{n}"), "host": "a.example",
                "path_prefix": format!("/{n}/"), "kind": "safe",
                "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": 5000,
                "max_attempts": 2 })
        })
        .collect();
    serde_json::json!({ "pools": [{ "name": "main" }], "routes": routes }).to_string()
}

fn order(base: u64, version: u64, mark: &str) -> Command {
    Command::ApplyConfiguration {
        base: ConfigurationVersion(base),
        version: ConfigurationVersion(version),
        text: configuration_text(2),
        source: bytes::Bytes::from(format!("{mark} {version}")),
    }
}

fn submission(base: u64, routes: usize) -> Command {
    Command::SubmitConfiguration {
        base: ConfigurationVersion(base),
        text: configuration_text(routes),
    }
}

fn retire(name: &str) -> Command {
    Command::RetireNamed(name.to_owned())
}

#[track_caller]
fn assert_accepted(outcome: Option<OperatorOutcome>) -> serde_json::Value {
    match outcome {
        Some(OperatorOutcome::Done(text)) => serde_json::from_str(&text).expect("JSON"),
        other => panic!("not accepted: {other:?}"),
    }
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

/// Submits an order and returns its outcome without advancing the time.
fn command_at_once(fleet: &mut Fleet, number: usize, command: Command) -> Option<OperatorOutcome> {
    fleet.nodes[number].outcome = None;
    fleet.call(number, ControlCall::Operate(OperatorRequest::Command(command)));
    fleet.nodes[number].outcome.take()
}

fn control_bytes(fleet: &Fleet, number: usize, prefix: &str) -> usize {
    let rows = fleet.nodes[number].rows.get(&topazyard_wire::Group::Control);
    let rows = rows.into_iter().flatten().filter(|(key, _)| key.starts_with(prefix));
    rows.map(|(key, value)| key.len() + value.len()).sum()
}

#[test]
fn order_is_acknowledged_again_after_many_changes_and_a_restart() {
    let mut fleet = running();
    for version in 1..=1_000 {
        assert_accepted(command_at_once(&mut fleet, 0, order(version - 1, version, "a")));
    }
    for version in [1, 2, 500, 936, 937, 999, 1_000] {
        assert_accepted(command_at_once(&mut fleet, 1, order(version - 1, version, "a")));
        let other = command_at_once(&mut fleet, 2, order(version - 1, version, "b"));
        assert_refused(other, Code::StaleBase);
    }
    (0..3).for_each(|number| fleet.stop(number, false));
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(6_000);
    assert_accepted(fleet.command(2, order(0, 1, "a")));
    assert_source(&mut fleet, 0, "a 1000");
}

#[test]
fn resent_submission_sign_off_and_roll_out_are_acknowledged() {
    let mut fleet = running();
    let sign =
        |version| Command::SignOff { version: ConfigurationVersion(version), by: "ada".into() };
    let roll = |version| Command::RollOut { version: ConfigurationVersion(version) };
    for version in 1..=70 {
        let response = assert_accepted(fleet.command(0, submission(version - 1, version as usize)));
        assert_eq!(response["version"], version);
        assert_accepted(fleet.command(1, sign(version)));
        assert_accepted(fleet.command(2, roll(version)));
    }
    for version in [1_u64, 30, 69, 70] {
        let response = assert_accepted(fleet.command(1, submission(version - 1, version as usize)));
        assert_eq!(response["version"], version);
        assert_refused(fleet.command(1, submission(version - 1, 99)), Code::StaleBase);
    }
    assert_accepted(fleet.command(2, sign(69)));
    assert_eq!(assert_accepted(fleet.command(2, roll(69)))["in_force"], false);
    assert_eq!(assert_accepted(fleet.command(2, roll(70)))["in_force"], true);
    // Their texts are gone, so how far they got is unknown.
    assert_refused(fleet.command(2, sign(1)), Code::OutcomeUnknown);
    assert_refused(fleet.command(2, roll(1)), Code::OutcomeUnknown);
    assert_refused(fleet.command(2, roll(71)), Code::NotFound);
}

// A refusal would be contradicted once the order that creates the base arrives.
#[test]
fn order_on_a_future_version_has_an_unknown_outcome() {
    let mut fleet = running();
    assert_accepted(fleet.command(0, order(0, 3, "a")));
    assert_refused(fleet.command(1, order(5, 7, "a")), Code::OutcomeUnknown);
    assert_refused(fleet.command(1, submission(5, 1)), Code::OutcomeUnknown);
    assert_accepted(fleet.command(2, order(3, 5, "a")));
    assert_accepted(fleet.command(1, order(5, 7, "a")));
    assert_refused(fleet.command(1, order(5, 8, "b")), Code::StaleBase);
}

#[test]
fn forgotten_order_has_an_unknown_outcome_and_is_never_accepted() {
    let mut fleet = Fleet::new(0, 3);
    // Digests may use 4 kB, and texts 32 kB.
    fleet.resources.disk_bytes = 256 * 1_024;
    (0..3).for_each(|_| fleet.add());
    fleet.run(2_000);
    for version in 1..=1_000 {
        assert_accepted(command_at_once(&mut fleet, 0, order(version - 1, version, "a")));
    }
    assert_refused(command_at_once(&mut fleet, 1, order(0, 1, "a")), Code::OutcomeUnknown);
    assert_refused(command_at_once(&mut fleet, 1, order(0, 1, "b")), Code::OutcomeUnknown);
    assert_accepted(command_at_once(&mut fleet, 1, order(998, 999, "a")));
    assert_refused(command_at_once(&mut fleet, 1, order(998, 999, "b")), Code::StaleBase);
    for number in 0..3 {
        assert!(control_bytes(&fleet, number, "order/") <= 4_096);
        assert!(control_bytes(&fleet, number, "spec/") <= 32 * 1_024);
    }
    assert_source(&mut fleet, 2, "a 1000");
}

#[test]
fn texts_are_bounded_and_the_one_in_force_is_kept() {
    let mut fleet = Fleet::new(0, 3);
    fleet.resources.memory_bytes = 256_000_000;
    fleet.resources.disk_bytes = 128_000_000;
    (0..3).for_each(|_| fleet.add());
    fleet.run(2_000);
    let large = "x".repeat(4 * 1_024 * 1_024);
    for version in 1..=12 {
        assert_accepted(command_at_once(&mut fleet, 0, order(version - 1, version, &large)));
    }
    for number in 0..3 {
        assert!(control_bytes(&fleet, number, "spec/") <= 16_000_000);
    }
    assert_source(&mut fleet, 1, &format!("{large} 12"));
    // Submissions that are never rolled out neither accumulate nor displace the version in force.
    for version in 13..=160 {
        let text = configuration_text(1_000);
        assert_accepted(command_at_once(
            &mut fleet,
            0,
            Command::SubmitConfiguration { base: ConfigurationVersion(version - 1), text },
        ));
    }
    assert!(control_bytes(&fleet, 0, "spec/") <= 16_000_000);
    assert_source(&mut fleet, 1, &format!("{large} 12"));
}

/// Two storage nodes, neither of which may be retired until more join.
fn with_two_storage_nodes(fleet: &mut Fleet) {
    fleet.storage = (1..=2).map(storage).collect();
    fleet.run(4_000);
}

fn is_request(message: &Message) -> bool {
    matches!(message, Message::Operate(OperatorMessage::Request { .. }))
}

#[test]
fn late_copy_of_a_refused_retirement_is_not_accepted() {
    let mut fleet = running();
    with_two_storage_nodes(&mut fleet);
    fleet.network = |message| if is_request(message) { Delivery::Twice } else { Delivery::Once };
    for number in 0..3 {
        assert_refused(fleet.command(number, retire("storage-1")), Code::NoRoom);
    }
    assert_eq!(fleet.delayed.len(), 2, "two of the three forwarded it");
    // More nodes join, and then the late copies arrive.
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(4_000);
    fleet.deliver_delayed();
    fleet.run(6_000);
    let primary = fleet.primary().expect("a primary");
    let rows = &fleet.nodes[primary].rows[&topazyard_wire::Group::Control];
    let snapshot = topazyard_wire::state::FleetSnapshot::read(rows);
    let active = topazyard_wire::state::StorageStage::Active;
    assert!(snapshot.storage.values().all(|row| row.stage == active), "{:?}", snapshot.storage);
}

// The order is delayed in the network; its caller is told that the outcome is unknown and asks
// another node.
#[test]
fn order_that_arrives_after_its_caller_gave_up_is_not_accepted() {
    let mut fleet = running();
    with_two_storage_nodes(&mut fleet);
    let primary = fleet.primary().expect("a primary");
    let (first, second) = ((primary + 1) % 3, (primary + 2) % 3);
    fleet.network = |message| if is_request(message) { Delivery::Delayed } else { Delivery::Once };
    assert_eq!(command_at_once(&mut fleet, first, retire("storage-1")), None);
    fleet.network = |_| Delivery::Once;
    fleet.run(1_000);
    assert_refused(fleet.command(second, retire("storage-1")), Code::NoRoom);
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(2_000);
    fleet.deliver_delayed();
    fleet.run(6_000);
    let outcome = fleet.query(primary, Query::Retirement("storage-1".into()));
    assert_eq!(assert_accepted(outcome)["state"], "active");
    // Had it been accepted, this would be refused as already in progress.
    assert_accepted(fleet.command(second, retire("storage-1")));
}

// A late confirmation must not let the order run after its caller was told that the outcome is
// unknown.
#[test]
fn late_confirmation_lets_no_command_run() {
    let mut fleet = running();
    with_two_storage_nodes(&mut fleet);
    let primary = fleet.primary().expect("a primary");
    fleet.network = |message| match message {
        Message::Operate(OperatorMessage::StillWaiting { .. }) => Delivery::Delayed,
        _ => Delivery::Once,
    };
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(4_000);
    assert_eq!(command_at_once(&mut fleet, (primary + 1) % 3, retire("storage-1")), None);
    fleet.run(500);
    fleet.deliver_delayed();
    fleet.run(500);
    assert_accepted(fleet.command((primary + 2) % 3, retire("storage-1")));
}

#[test]
fn response_counts_only_from_the_node_that_was_asked() {
    let mut fleet = running();
    let primary = fleet.primary().expect("a primary");
    let (requester, other) = ((primary + 1) % 3, (primary + 2) % 3);
    fleet.network = |message| match message {
        Message::Operate(OperatorMessage::Response { .. }) => Delivery::Delayed,
        _ => Delivery::Once,
    };
    assert_eq!(command_at_once(&mut fleet, requester, order(0, 3, "a")), None);
    fleet.network = |_| Delivery::Once;
    let response = fleet.delayed.pop().expect("a response");
    let Message::Operate(OperatorMessage::Response { id, .. }) = response.message else { panic!() };
    // Another node, or another process at the same address, responds to a request of the same
    // number.
    for sender in [fleet.id(other), topazyard_types::NodeId(999)] {
        let outcome = OperatorOutcome::Done("wrong".into());
        let message = Message::Operate(OperatorMessage::Response { id, outcome });
        fleet.deliver(fleet::Frame { sender, message, ..response.clone() });
        assert_eq!(fleet.nodes[requester].outcome, None);
    }
    fleet.deliver(response);
    assert_accepted(fleet.nodes[requester].outcome.take());
}

/// Sends one order to each node, in a sequence chosen by `offset`, while the first is still in
/// progress, and checks that one is acknowledged.
fn race_orders(offset: usize) {
    let mut fleet = running();
    assert_accepted(fleet.command(0, order(0, 3, "a")));
    fleet.network = |message| match message {
        Message::Replica(_) | Message::Operate(_) => Delivery::Delayed,
        _ => Delivery::Once,
    };
    let marks = ["b", "c", "d"];
    for number in 0..3 {
        let mark = marks[(number + offset) % 3];
        assert_eq!(command_at_once(&mut fleet, number, order(3, 5, mark)), None);
    }
    // Frames arrive in another sequence, and some twice.
    fleet.network = |message| if is_request(message) { Delivery::Twice } else { Delivery::Once };
    let mut delayed = std::mem::take(&mut fleet.delayed);
    let shift = offset % delayed.len().max(1);
    delayed.rotate_left(shift);
    delayed.into_iter().for_each(|frame| fleet.deliver(frame));
    fleet.run(300);
    fleet.deliver_delayed();
    fleet.run(300);
    let mut winners = Vec::new();
    for number in 0..3 {
        let mark = marks[(number + offset) % 3];
        if matches!(fleet.nodes[number].outcome.take(), Some(OperatorOutcome::Done(_))) {
            winners.push(mark);
        }
    }
    assert_eq!(winners.len(), 1, "one version has one content");
    // The losers stay refused on every node, and the winner is acknowledged on every node.
    for number in 0..3 {
        for mark in marks {
            match winners.contains(&mark) {
                true => drop(assert_accepted(fleet.command(number, order(3, 5, mark)))),
                false => assert_refused(fleet.command(number, order(3, 5, mark)), Code::StaleBase),
            }
        }
    }
    assert_source(&mut fleet, 2, &format!("{} 5", winners[0]));
}

#[test]
fn one_of_three_orders_for_a_version_is_acknowledged() {
    (0..9).for_each(race_orders);
}

fn is_response(message: &Message) -> bool {
    matches!(message, Message::Operate(OperatorMessage::Response { .. }))
}

fn stage_of(fleet: &Fleet, id: topazyard_types::NodeId) -> topazyard_wire::state::StorageStage {
    let primary = fleet.primary().expect("a primary");
    let rows = &fleet.nodes[primary].rows[&topazyard_wire::Group::Control];
    topazyard_wire::state::FleetSnapshot::read(rows).storage[&id].stage
}

// The response to the first copy is still in transit, so its caller is waiting. The second copy
// must not undo what happened in between.
#[test]
fn one_of_two_copies_of_a_command_runs() {
    use topazyard_wire::state::StorageStage::{Active, Emptying};
    let mut fleet = running();
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(4_000);
    let id = fleet.storage[0].id;
    let primary = fleet.primary().expect("a primary");
    fleet.network = |message| match message {
        message if is_request(message) => Delivery::Twice,
        message if is_response(message) => Delivery::Delayed,
        _ => Delivery::Once,
    };
    assert_eq!(command_at_once(&mut fleet, (primary + 1) % 3, Command::EmptyStorage(id)), None);
    assert_eq!(stage_of(&fleet, id), Emptying);
    fleet.network = |_| Delivery::Once;
    assert_accepted(fleet.command((primary + 2) % 3, Command::AddStorage(id)));
    assert_eq!(stage_of(&fleet, id), Active);
    fleet.deliver_delayed();
    fleet.run(300);
    assert_eq!(stage_of(&fleet, id), Active);
}

// The primary stops before its response arrives, or before the order is committed. Either way the
// order is accepted once, and a competing order on the same base is not.
#[test]
fn order_in_progress_when_the_primary_stops_is_accepted_once() {
    for is_committed in [true, false] {
        let mut fleet = running();
        assert_accepted(fleet.command(0, order(0, 3, "a")));
        let primary = fleet.primary().expect("a primary");
        let (requester, other) = ((primary + 1) % 3, (primary + 2) % 3);
        fleet.network = match is_committed {
            true => |message| if is_response(message) { Delivery::Delayed } else { Delivery::Once },
            false => |message| match message {
                Message::Replica(_) => Delivery::Delayed,
                _ => Delivery::Once,
            },
        };
        assert_eq!(command_at_once(&mut fleet, requester, order(3, 5, "a")), None);
        fleet.stop(primary, false);
        fleet.network = |_| Delivery::Once;
        let delayed = std::mem::take(&mut fleet.delayed);
        fleet.run(3_000);
        fleet.start(primary);
        assert_accepted(fleet.command(other, order(3, 5, "a")));
        delayed.into_iter().for_each(|frame| fleet.deliver(frame));
        fleet.run(3_000);
        assert_refused(fleet.command(requester, order(3, 5, "b")), Code::StaleBase);
        assert_accepted(fleet.command(primary, order(3, 5, "a")));
        assert_source(&mut fleet, requester, "a 5");
    }
}

// Data written by releases that kept no digests: the orders accepted then are neither refused nor
// accepted again.
#[test]
fn orders_without_digests_have_an_unknown_outcome() {
    let mut fleet = running();
    assert_accepted(fleet.command(0, order(0, 3, "a")));
    assert_accepted(fleet.command(0, order(3, 5, "a")));
    for number in 0..3 {
        fleet.stop(number, false);
        let rows = fleet.nodes[number].rows.get_mut(&topazyard_wire::Group::Control);
        rows.into_iter().for_each(|rows| rows.retain(|key, _| !key.starts_with("order/")));
    }
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(6_000);
    assert_refused(fleet.command(1, order(0, 3, "a")), Code::OutcomeUnknown);
    assert_accepted(fleet.command(1, order(5, 7, "a")));
    assert_refused(fleet.command(1, order(0, 3, "a")), Code::OutcomeUnknown);
    assert_refused(fleet.command(1, order(5, 6, "b")), Code::StaleBase);
    assert_source(&mut fleet, 2, "a 7");
}

/// A source as an adapter writes it: JSON with a list of named items.
fn complete_order(base: u64, version: u64) -> Command {
    Command::ApplyConfiguration {
        base: ConfigurationVersion(base),
        version: ConfigurationVersion(version),
        text: configuration_text(3),
        source: br#"{"items":[{"name":"r0"},{"name":"r1"},{"name":"r2"}],"number":1}"#[..].into(),
    }
}

/// A change that removes one route, from the configuration and from the source.
fn removal(base: u64, version: u64, route: &str) -> Command {
    let patch = serde_json::json!({ "remove": { "routes": [route] } }).to_string();
    let of_source =
        serde_json::json!({ "fields": { "number": version }, "remove": { "items": [route] } });
    Command::PatchConfiguration {
        base: ConfigurationVersion(base),
        version: ConfigurationVersion(version),
        source: SourcePatch {
            order: patch.clone().into(),
            patch: of_source.to_string(),
            max_bytes: 1_000,
        },
        patch,
    }
}

#[test]
fn patch_makes_a_complete_configuration_and_is_acknowledged_again() {
    let mut fleet = running();
    assert_refused(fleet.command(0, removal(0, 5, "r1")), Code::InvalidSpec);
    assert_accepted(fleet.command(0, complete_order(0, 1)));
    assert_accepted(fleet.command(1, removal(1, 5, "r1")));
    assert_source(&mut fleet, 2, r#"{"items":[{"name":"r0"},{"name":"r2"}],"number":5}"#);
    let Some(OperatorOutcome::Done(read)) = fleet.query(0, Query::ReadConfiguration(None)) else {
        panic!("not read");
    };
    let read: serde_json::Value = serde_json::from_str(&read).expect("JSON");
    let names: Vec<_> = read["bundle"]["routes"].as_array().expect("routes").iter().collect();
    assert_eq!(
        names.iter().map(|r| r["name"].as_str()).collect::<Vec<_>>(),
        [Some("r0"), Some("r2")]
    );
    // Sent again, also after newer ones and after a restart.
    assert_accepted(fleet.command(2, removal(1, 5, "r1")));
    assert_accepted(fleet.command(0, removal(5, 8, "r0")));
    (0..3).for_each(|number| fleet.stop(number, false));
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(6_000);
    assert_accepted(fleet.command(2, removal(1, 5, "r1")));
    assert_source(&mut fleet, 1, r#"{"items":[{"name":"r2"}],"number":8}"#);
}

#[test]
fn one_of_two_patches_on_a_version_is_accepted() {
    let mut fleet = running();
    assert_accepted(fleet.command(0, complete_order(0, 1)));
    assert_accepted(command_at_once(&mut fleet, 0, removal(1, 5, "r1")));
    assert_refused(command_at_once(&mut fleet, 0, removal(1, 6, "r0")), Code::StaleBase);
    assert_refused(command_at_once(&mut fleet, 1, removal(1, 5, "r0")), Code::StaleBase);
    assert_source(&mut fleet, 2, r#"{"items":[{"name":"r0"},{"name":"r2"}],"number":5}"#);
}

#[test]
fn invalid_patch_changes_nothing() {
    let mut fleet = running();
    assert_accepted(fleet.command(0, complete_order(0, 3)));
    assert_refused(fleet.command(0, removal(3, 5, "nobody")), Code::InvalidSpec);
    assert_refused(fleet.command(0, removal(3, 2, "r1")), Code::InvalidSpec);
    let Command::PatchConfiguration { base, version, patch, source } = removal(3, 5, "r1") else {
        panic!("a patch");
    };
    let small = SourcePatch { max_bytes: 10, ..source.clone() };
    let oversized =
        Command::PatchConfiguration { base, version, patch: patch.clone(), source: small };
    assert_refused(fleet.command(0, oversized), Code::BodyTooLarge);
    let mismatched = SourcePatch { patch: r#"{"remove":{"items":["r7"]}}"#.into(), ..source };
    assert_refused(
        fleet.command(0, Command::PatchConfiguration { base, version, patch, source: mismatched }),
        Code::InvalidSpec,
    );
    assert_source(
        &mut fleet,
        0,
        r#"{"items":[{"name":"r0"},{"name":"r1"},{"name":"r2"}],"number":1}"#,
    );
}

#[test]
fn submitted_patch_waits_for_its_sign_off() {
    let mut fleet = running();
    let patch = || Command::SubmitPatch {
        base: ConfigurationVersion(1),
        patch: r#"{"remove":{"routes":["r0"]}}"#.into(),
    };
    assert_accepted(fleet.command(0, submission(0, 2)));
    assert_eq!(assert_accepted(fleet.command(1, patch()))["version"], 2);
    assert_eq!(assert_accepted(fleet.command(2, patch()))["version"], 2);
    let read =
        assert_accepted(fleet.query(0, Query::ReadConfiguration(Some(ConfigurationVersion(2)))));
    assert_eq!(read["stage"], "submitted");
    assert_eq!(read["bundle"]["routes"].as_array().map(Vec::len), Some(1));
}
