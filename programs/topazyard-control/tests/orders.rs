//! An order that was taken is never refused, and one that was refused is never taken, however its
//! copies travel.

mod fleet;

use fleet::{Fate, Fleet, storage};
use topazyard_control::ControlCall;
use topazyard_types::ConfigurationVersion;
use topazyard_wire::Message;
use topazyard_wire::api::Code;
use topazyard_wire::message::operate::{
    Command, Operate, OperateMessage, OperateOutcome, Query, SourcePatch,
};

fn bundle(routes: usize) -> String {
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
        text: bundle(2),
        source: bytes::Bytes::from(format!("{mark} {version}")),
    }
}

fn submission(base: u64, routes: usize) -> Command {
    Command::SubmitConfiguration { base: ConfigurationVersion(base), text: bundle(routes) }
}

fn retire(name: &str) -> Command {
    Command::RetireNamed(name.to_owned())
}

#[track_caller]
fn taken(outcome: Option<OperateOutcome>) -> serde_json::Value {
    match outcome {
        Some(OperateOutcome::Done(text)) => serde_json::from_str(&text).expect("JSON"),
        other => panic!("not taken: {other:?}"),
    }
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

/// Hands in an order and gives its outcome without letting any time pass.
fn at_once(fleet: &mut Fleet, number: usize, command: Command) -> Option<OperateOutcome> {
    fleet.nodes[number].returned = None;
    fleet.tell(number, ControlCall::Operate(Operate::Command(command)));
    fleet.nodes[number].returned.take()
}

fn control_bytes(fleet: &Fleet, number: usize, prefix: &str) -> usize {
    let rows = fleet.nodes[number].rows.get(&topazyard_wire::Group::Control);
    let rows = rows.into_iter().flatten().filter(|(key, _)| key.starts_with(prefix));
    rows.map(|(key, value)| key.len() + value.len()).sum()
}

#[test]
fn an_order_is_acknowledged_again_after_a_thousand_changes_and_a_restart() {
    let mut fleet = running();
    for version in 1..=1_000 {
        taken(at_once(&mut fleet, 0, order(version - 1, version, "a")));
    }
    for version in [1, 2, 500, 936, 937, 999, 1_000] {
        taken(at_once(&mut fleet, 1, order(version - 1, version, "a")));
        let other = at_once(&mut fleet, 2, order(version - 1, version, "b"));
        refused(other, Code::StaleBase);
    }
    (0..3).for_each(|number| fleet.stop(number, false));
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(6_000);
    taken(fleet.command(2, order(0, 1, "a")));
    source_is(&mut fleet, 0, "a 1000");
}

#[test]
fn a_resent_submission_sign_off_and_roll_out_are_acknowledged_again() {
    let mut fleet = running();
    let sign =
        |version| Command::SignOff { version: ConfigurationVersion(version), by: "ada".into() };
    let roll = |version| Command::RollOut { version: ConfigurationVersion(version) };
    for version in 1..=70 {
        let given = taken(fleet.command(0, submission(version - 1, version as usize)));
        assert_eq!(given["version"], version);
        taken(fleet.command(1, sign(version)));
        taken(fleet.command(2, roll(version)));
    }
    for version in [1_u64, 30, 69, 70] {
        let given = taken(fleet.command(1, submission(version - 1, version as usize)));
        assert_eq!(given["version"], version);
        refused(fleet.command(1, submission(version - 1, 99)), Code::StaleBase);
    }
    taken(fleet.command(2, sign(69)));
    assert_eq!(taken(fleet.command(2, roll(69)))["in_force"], false);
    assert_eq!(taken(fleet.command(2, roll(70)))["in_force"], true);
    // Their texts are gone: nothing is known of how far they came.
    refused(fleet.command(2, sign(1)), Code::OutcomeUnknown);
    refused(fleet.command(2, roll(1)), Code::OutcomeUnknown);
    refused(fleet.command(2, roll(71)), Code::NotFound);
}

// A refusal of it would be taken back once the order below it has arrived.
#[test]
fn an_order_on_a_version_that_is_still_to_come_is_unclear() {
    let mut fleet = running();
    taken(fleet.command(0, order(0, 3, "a")));
    refused(fleet.command(1, order(5, 7, "a")), Code::OutcomeUnknown);
    refused(fleet.command(1, submission(5, 1)), Code::OutcomeUnknown);
    taken(fleet.command(2, order(3, 5, "a")));
    taken(fleet.command(1, order(5, 7, "a")));
    refused(fleet.command(1, order(5, 8, "b")), Code::StaleBase);
}

#[test]
fn an_order_older_than_all_that_is_remembered_is_unclear_and_never_taken() {
    let mut fleet = Fleet::new(0, 3);
    // Orders may fill 4 kB, and texts 32 kB.
    fleet.resources.disk_bytes = 256 * 1_024;
    (0..3).for_each(|_| fleet.add());
    fleet.run(2_000);
    for version in 1..=1_000 {
        taken(at_once(&mut fleet, 0, order(version - 1, version, "a")));
    }
    refused(at_once(&mut fleet, 1, order(0, 1, "a")), Code::OutcomeUnknown);
    refused(at_once(&mut fleet, 1, order(0, 1, "b")), Code::OutcomeUnknown);
    taken(at_once(&mut fleet, 1, order(998, 999, "a")));
    refused(at_once(&mut fleet, 1, order(998, 999, "b")), Code::StaleBase);
    for number in 0..3 {
        assert!(control_bytes(&fleet, number, "order/") <= 4_096);
        assert!(control_bytes(&fleet, number, "spec/") <= 32 * 1_024);
    }
    source_is(&mut fleet, 2, "a 1000");
}

#[test]
fn kept_texts_are_bounded_by_bytes_and_the_one_in_force_stays() {
    let mut fleet = Fleet::new(0, 3);
    fleet.resources.memory_bytes = 256_000_000;
    fleet.resources.disk_bytes = 128_000_000;
    (0..3).for_each(|_| fleet.add());
    fleet.run(2_000);
    let large = "x".repeat(4 * 1_024 * 1_024);
    for version in 1..=12 {
        taken(at_once(&mut fleet, 0, order(version - 1, version, &large)));
    }
    for number in 0..3 {
        assert!(control_bytes(&fleet, number, "spec/") <= 16_000_000);
    }
    source_is(&mut fleet, 1, &format!("{large} 12"));
    // Neither do submissions that nobody rolls out pile up, nor put out what is in force.
    for version in 13..=160 {
        let text = bundle(1_000);
        taken(at_once(
            &mut fleet,
            0,
            Command::SubmitConfiguration { base: ConfigurationVersion(version - 1), text },
        ));
    }
    assert!(control_bytes(&fleet, 0, "spec/") <= 16_000_000);
    source_is(&mut fleet, 1, &format!("{large} 12"));
}

/// Two storage nodes, of which none may be retired as long as no more come.
fn with_two_storage_nodes(fleet: &mut Fleet) {
    fleet.storage = (1..=2).map(storage).collect();
    fleet.run(4_000);
}

fn is_ask(message: &Message) -> bool {
    matches!(message, Message::Operate(OperateMessage::Request { .. }))
}

#[test]
fn a_late_copy_of_a_refused_retirement_is_not_taken() {
    let mut fleet = running();
    with_two_storage_nodes(&mut fleet);
    fleet.network = |message| if is_ask(message) { Fate::ArrivesTwice } else { Fate::Arrives };
    for number in 0..3 {
        refused(fleet.command(number, retire("storage-1")), Code::NoRoom);
    }
    assert_eq!(fleet.late.len(), 2, "two of the three passed it on");
    // Room comes, and with it the copies.
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(4_000);
    fleet.arrive_all();
    fleet.run(6_000);
    let primary = fleet.primary().expect("a primary");
    let rows = &fleet.nodes[primary].rows[&topazyard_wire::Group::Control];
    let view = topazyard_wire::state::FleetSnapshot::read(rows);
    let active = topazyard_wire::state::StorageStage::Active;
    assert!(view.storage.values().all(|row| row.stage == active), "{:?}", view.storage);
}

// The order is held on its way; its caller is told that nothing is known and goes elsewhere.
#[test]
fn an_order_that_travels_longer_than_its_caller_waits_is_not_taken() {
    let mut fleet = running();
    with_two_storage_nodes(&mut fleet);
    let primary = fleet.primary().expect("a primary");
    let (first, second) = ((primary + 1) % 3, (primary + 2) % 3);
    fleet.network = |message| if is_ask(message) { Fate::Waits } else { Fate::Arrives };
    assert_eq!(at_once(&mut fleet, first, retire("storage-1")), None);
    fleet.network = |_| Fate::Arrives;
    fleet.run(1_000);
    refused(fleet.command(second, retire("storage-1")), Code::NoRoom);
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(2_000);
    fleet.arrive_all();
    fleet.run(6_000);
    let found = fleet.query(primary, Query::Retirement("storage-1".into()));
    assert_eq!(taken(found)["state"], "active");
    // Had it been taken, this would be refused as under way.
    taken(fleet.command(second, retire("storage-1")));
}

// A confirmation that comes late would let the order run after its caller was told that nothing is
// known.
#[test]
fn a_late_confirmation_lets_nothing_run() {
    let mut fleet = running();
    with_two_storage_nodes(&mut fleet);
    let primary = fleet.primary().expect("a primary");
    fleet.network = |message| match message {
        Message::Operate(OperateMessage::StillWaiting { .. }) => Fate::Waits,
        _ => Fate::Arrives,
    };
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(4_000);
    assert_eq!(at_once(&mut fleet, (primary + 1) % 3, retire("storage-1")), None);
    fleet.run(500);
    fleet.arrive_all();
    fleet.run(500);
    taken(fleet.command((primary + 2) % 3, retire("storage-1")));
}

#[test]
fn an_answer_counts_only_from_the_node_that_was_asked() {
    let mut fleet = running();
    let primary = fleet.primary().expect("a primary");
    let (asking, other) = ((primary + 1) % 3, (primary + 2) % 3);
    fleet.network = |message| match message {
        Message::Operate(OperateMessage::Response { .. }) => Fate::Waits,
        _ => Fate::Arrives,
    };
    assert_eq!(at_once(&mut fleet, asking, order(0, 3, "a")), None);
    fleet.network = |_| Fate::Arrives;
    let answer = fleet.late.pop().expect("an answer");
    let Message::Operate(OperateMessage::Response { id, .. }) = answer.message else { panic!() };
    // Another node, or another life at the same address, answers an asking of the same number.
    for sender in [fleet.id(other), topazyard_types::NodeId(999)] {
        let outcome = OperateOutcome::Done("wrong".into());
        let message = Message::Operate(OperateMessage::Response { id, outcome });
        fleet.arrive(fleet::Frame { sender, message, ..answer.clone() });
        assert_eq!(fleet.nodes[asking].returned, None);
    }
    fleet.arrive(answer);
    taken(fleet.nodes[asking].returned.take());
}

/// Counts how many of the orders were acknowledged, sending each to all nodes, in an order that
/// `turn` picks, while the first is still under way.
fn raced(turn: usize) {
    let mut fleet = running();
    taken(fleet.command(0, order(0, 3, "a")));
    fleet.network = |message| match message {
        Message::Replica(_) | Message::Operate(_) => Fate::Waits,
        _ => Fate::Arrives,
    };
    let marks = ["b", "c", "d"];
    for number in 0..3 {
        let mark = marks[(number + turn) % 3];
        assert_eq!(at_once(&mut fleet, number, order(3, 5, mark)), None);
    }
    // Frames arrive in another order, and some twice.
    fleet.network = |message| if is_ask(message) { Fate::ArrivesTwice } else { Fate::Arrives };
    let mut late = std::mem::take(&mut fleet.late);
    let shift = turn % late.len().max(1);
    late.rotate_left(shift);
    late.into_iter().for_each(|frame| fleet.arrive(frame));
    fleet.run(300);
    fleet.arrive_all();
    fleet.run(300);
    let mut winners = Vec::new();
    for number in 0..3 {
        let mark = marks[(number + turn) % 3];
        if matches!(fleet.nodes[number].returned.take(), Some(OperateOutcome::Done(_))) {
            winners.push(mark);
        }
    }
    assert_eq!(winners.len(), 1, "one number has one content");
    // The losers stay refused at every node, the winner is acknowledged at every node.
    for number in 0..3 {
        for mark in marks {
            match winners.contains(&mark) {
                true => drop(taken(fleet.command(number, order(3, 5, mark)))),
                false => refused(fleet.command(number, order(3, 5, mark)), Code::StaleBase),
            }
        }
    }
    source_is(&mut fleet, 2, &format!("{} 5", winners[0]));
}

#[test]
fn of_three_orders_under_one_number_one_is_confirmed() {
    (0..9).for_each(raced);
}

fn is_answer(message: &Message) -> bool {
    matches!(message, Message::Operate(OperateMessage::Response { .. }))
}

fn stage_of(fleet: &Fleet, id: topazyard_types::NodeId) -> topazyard_wire::state::StorageStage {
    let primary = fleet.primary().expect("a primary");
    let rows = &fleet.nodes[primary].rows[&topazyard_wire::Group::Control];
    topazyard_wire::state::FleetSnapshot::read(rows).storage[&id].stage
}

// The answer to the first copy is under way still, so that its caller waits; the second copy must
// not undo what came in between.
#[test]
fn of_two_copies_of_a_command_one_runs() {
    use topazyard_wire::state::StorageStage::{Active, Emptying};
    let mut fleet = running();
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(4_000);
    let id = fleet.storage[0].id;
    let primary = fleet.primary().expect("a primary");
    fleet.network = |message| match message {
        message if is_ask(message) => Fate::ArrivesTwice,
        message if is_answer(message) => Fate::Waits,
        _ => Fate::Arrives,
    };
    assert_eq!(at_once(&mut fleet, (primary + 1) % 3, Command::EmptyStorage(id)), None);
    assert_eq!(stage_of(&fleet, id), Emptying);
    fleet.network = |_| Fate::Arrives;
    taken(fleet.command((primary + 2) % 3, Command::AddStorage(id)));
    assert_eq!(stage_of(&fleet, id), Active);
    fleet.arrive_all();
    fleet.run(300);
    assert_eq!(stage_of(&fleet, id), Active);
}

// The primary dies with the answer on its lips, or before the order was committed. Whichever, the
// order is taken once, and a rival on the same base then isn't.
#[test]
fn an_order_that_was_under_way_when_the_primary_died_is_taken_once() {
    for is_committed in [true, false] {
        let mut fleet = running();
        taken(fleet.command(0, order(0, 3, "a")));
        let primary = fleet.primary().expect("a primary");
        let (asking, other) = ((primary + 1) % 3, (primary + 2) % 3);
        fleet.network = match is_committed {
            true => |message| if is_answer(message) { Fate::Waits } else { Fate::Arrives },
            false => |message| match message {
                Message::Replica(_) => Fate::Waits,
                _ => Fate::Arrives,
            },
        };
        assert_eq!(at_once(&mut fleet, asking, order(3, 5, "a")), None);
        fleet.stop(primary, false);
        fleet.network = |_| Fate::Arrives;
        let late = std::mem::take(&mut fleet.late);
        fleet.run(3_000);
        fleet.start(primary);
        taken(fleet.command(other, order(3, 5, "a")));
        late.into_iter().for_each(|frame| fleet.arrive(frame));
        fleet.run(3_000);
        refused(fleet.command(asking, order(3, 5, "b")), Code::StaleBase);
        taken(fleet.command(primary, order(3, 5, "a")));
        source_is(&mut fleet, asking, "a 5");
    }
}

// Folders of programs that kept no digests: what they had taken is neither refused nor taken again.
#[test]
fn orders_from_before_digests_were_kept_are_unclear() {
    let mut fleet = running();
    taken(fleet.command(0, order(0, 3, "a")));
    taken(fleet.command(0, order(3, 5, "a")));
    for number in 0..3 {
        fleet.stop(number, false);
        let rows = fleet.nodes[number].rows.get_mut(&topazyard_wire::Group::Control);
        rows.into_iter().for_each(|rows| rows.retain(|key, _| !key.starts_with("order/")));
    }
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(6_000);
    refused(fleet.command(1, order(0, 3, "a")), Code::OutcomeUnknown);
    taken(fleet.command(1, order(5, 7, "a")));
    refused(fleet.command(1, order(0, 3, "a")), Code::OutcomeUnknown);
    refused(fleet.command(1, order(5, 6, "b")), Code::StaleBase);
    source_is(&mut fleet, 2, "a 7");
}

/// A source as an adapter writes it: JSON with a list of named items.
fn whole(base: u64, version: u64) -> Command {
    Command::ApplyConfiguration {
        base: ConfigurationVersion(base),
        version: ConfigurationVersion(version),
        text: bundle(3),
        source: br#"{"items":[{"name":"r0"},{"name":"r1"},{"name":"r2"}],"number":1}"#[..].into(),
    }
}

/// A change that removes one route, in the bundle and in the source.
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
fn a_partial_change_makes_a_whole_configuration_and_is_acknowledged_again() {
    let mut fleet = running();
    refused(fleet.command(0, removal(0, 5, "r1")), Code::InvalidSpec);
    taken(fleet.command(0, whole(0, 1)));
    taken(fleet.command(1, removal(1, 5, "r1")));
    source_is(&mut fleet, 2, r#"{"items":[{"name":"r0"},{"name":"r2"}],"number":5}"#);
    let Some(OperateOutcome::Done(read)) = fleet.query(0, Query::ReadConfiguration(None)) else {
        panic!("not read");
    };
    let read: serde_json::Value = serde_json::from_str(&read).expect("JSON");
    let names: Vec<_> = read["bundle"]["routes"].as_array().expect("routes").iter().collect();
    assert_eq!(
        names.iter().map(|r| r["name"].as_str()).collect::<Vec<_>>(),
        [Some("r0"), Some("r2")]
    );
    // Sent again, also once others came after it and after a restart.
    taken(fleet.command(2, removal(1, 5, "r1")));
    taken(fleet.command(0, removal(5, 8, "r0")));
    (0..3).for_each(|number| fleet.stop(number, false));
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(6_000);
    taken(fleet.command(2, removal(1, 5, "r1")));
    source_is(&mut fleet, 1, r#"{"items":[{"name":"r2"}],"number":8}"#);
}

#[test]
fn of_two_partial_changes_on_one_version_one_is_taken() {
    let mut fleet = running();
    taken(fleet.command(0, whole(0, 1)));
    taken(at_once(&mut fleet, 0, removal(1, 5, "r1")));
    refused(at_once(&mut fleet, 0, removal(1, 6, "r0")), Code::StaleBase);
    refused(at_once(&mut fleet, 1, removal(1, 5, "r0")), Code::StaleBase);
    source_is(&mut fleet, 2, r#"{"items":[{"name":"r0"},{"name":"r2"}],"number":5}"#);
}

#[test]
fn a_partial_change_that_cannot_be_made_changes_nothing() {
    let mut fleet = running();
    taken(fleet.command(0, whole(0, 3)));
    refused(fleet.command(0, removal(3, 5, "nobody")), Code::InvalidSpec);
    refused(fleet.command(0, removal(3, 2, "r1")), Code::InvalidSpec);
    let Command::PatchConfiguration { base, version, patch, source } = removal(3, 5, "r1") else {
        panic!("a partial change");
    };
    let small = SourcePatch { max_bytes: 10, ..source.clone() };
    let oversized =
        Command::PatchConfiguration { base, version, patch: patch.clone(), source: small };
    refused(fleet.command(0, oversized), Code::BodyTooLarge);
    let apart = SourcePatch { patch: r#"{"remove":{"items":["r7"]}}"#.into(), ..source };
    refused(
        fleet.command(0, Command::PatchConfiguration { base, version, patch, source: apart }),
        Code::InvalidSpec,
    );
    source_is(&mut fleet, 0, r#"{"items":[{"name":"r0"},{"name":"r1"},{"name":"r2"}],"number":1}"#);
}

#[test]
fn a_submitted_change_waits_for_its_signature() {
    let mut fleet = running();
    let patch = || Command::SubmitPatch {
        base: ConfigurationVersion(1),
        patch: r#"{"remove":{"routes":["r0"]}}"#.into(),
    };
    taken(fleet.command(0, submission(0, 2)));
    assert_eq!(taken(fleet.command(1, patch()))["version"], 2);
    assert_eq!(taken(fleet.command(2, patch()))["version"], 2);
    let read = taken(fleet.query(0, Query::ReadConfiguration(Some(ConfigurationVersion(2)))));
    assert_eq!(read["stage"], "submitted");
    assert_eq!(read["bundle"]["routes"].as_array().map(Vec::len), Some(1));
}
