//! A control node whose disk is full steps down from what writes, answers the rest, and returns.

mod fleet;

use fleet::{Fleet, storage};
use topazyard_control::ControlCall;
use topazyard_types::ConfigurationVersion;
use topazyard_wire::Input;
use topazyard_wire::disk::DiskState;
use topazyard_wire::message::operate::{Command, OperateOutcome, Query};

impl Fleet {
    /// A node's disk takes no more bytes; it hears of it with its next write, or at once.
    fn fill(&mut self, number: usize, tell: bool) {
        self.nodes[number].full = Some(Vec::new());
        if tell {
            let effects = self.step(number, Input::Disk(DiskState::Full));
            self.happen(number, effects);
        }
    }

    /// A node's disk has room again: what waited is synced in its order.
    fn make_room(&mut self, number: usize) {
        let waiting = self.nodes[number].full.take().unwrap_or_default();
        let effects = self.step(number, Input::Disk(DiskState::Healthy));
        self.happen(number, effects);
        for (token, changes) in waiting {
            self.sync(number, token, changes);
            let effects = self.step(number, Input::Written(token));
            self.happen(number, effects);
        }
    }

    /// How many writes wait for room at a node.
    fn unsynced(&self, number: usize) -> usize {
        self.nodes[number].full.as_ref().map_or(0, Vec::len)
    }
}

fn spec(base: u64, version: u64) -> Command {
    let route = serde_json::json!({ "name": "r", "host": "a.example", "path_prefix": "/",
        "kind": "safe", "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": 5000,
        "max_attempts": 2 });
    let bundle = serde_json::json!({ "pools": [{ "name": "main" }], "routes": [route] });
    Command::ApplyConfiguration {
        base: ConfigurationVersion(base),
        version: ConfigurationVersion(version),
        text: bundle.to_string(),
        source: bytes::Bytes::from(format!("version {version}")),
    }
}

fn running(size: usize) -> Fleet {
    let mut fleet = Fleet::new(size, 3);
    fleet.run(2_500);
    assert!(fleet.primary().is_some());
    fleet
}

fn address(number: usize) -> String {
    format!("127.0.0.1:{}", 1_000 + number)
}

/// Which nodes are the primary and the backups, as the primary says it, if it can.
fn known_members(fleet: &mut Fleet) -> Option<Vec<usize>> {
    let primary = fleet.primary()?;
    let Some(OperateOutcome::Done(text)) = fleet.query(primary, Query::FleetState) else {
        return None;
    };
    let state: serde_json::Value = serde_json::from_str(&text).expect("json");
    let control = &state["control"];
    let backups = control["backups"].as_array().expect("backups").iter();
    let all = backups.chain([&control["primary"]]).map(|node| node.as_str().expect("an address"));
    let number = |node: &str| (0..fleet.nodes.len()).find(|number| address(*number) == node);
    Some(all.map(|node| number(node).expect("a node of the fleet")).collect())
}

fn members(fleet: &mut Fleet) -> Vec<usize> {
    known_members(fleet).expect("a primary that answers")
}

fn health(fleet: &mut Fleet, number: usize) -> serde_json::Value {
    fleet.nodes[number].returned = None;
    fleet.tell(number, ControlCall::Health);
    match fleet.nodes[number].returned.take() {
        Some(OperateOutcome::Done(text)) => serde_json::from_str(&text).expect("json"),
        other => panic!("no health: {other:?}"),
    }
}

#[test]
fn a_primary_without_room_hands_over_at_once_and_says_why() {
    let mut fleet = running(3);
    let old = fleet.primary().expect("a primary");
    assert_eq!(health(&mut fleet, old)["disk"], "healthy");
    fleet.fill(old, true);
    fleet.run(300);
    let new = fleet.primary().expect("another leads within 300 ms");
    assert_ne!(new, old);
    assert!(!members(&mut fleet).contains(&old), "what can't write holds no copy");
    assert_eq!(health(&mut fleet, old)["disk"], "full");
    let taken = fleet.command(new, spec(0, 1));
    assert!(matches!(taken, Some(OperateOutcome::Done(_))), "{taken:?}");
    // What needs no new byte goes on there: it passes a query on to who leads.
    let read = fleet.query(old, Query::ReadSource);
    assert_eq!(read, Some(OperateOutcome::Done("version 1".to_owned())));
}

#[test]
fn a_node_that_has_room_again_votes_and_takes_copies_again() {
    let mut fleet = running(3);
    let old = fleet.primary().expect("a primary");
    fleet.fill(old, true);
    fleet.run(1_000);
    let new = fleet.primary().expect("another leads");
    fleet.command(new, spec(0, 1));
    fleet.make_room(old);
    fleet.run(1_000);
    assert_eq!(health(&mut fleet, old)["disk"], "healthy");
    // Its vote is needed now, and its disk for the copy.
    fleet.stop(new, false);
    fleet.run(4_000);
    let last = fleet.primary().expect("two of three lead again");
    assert!(members(&mut fleet).contains(&old));
    let read = fleet.query(last, Query::ReadSource);
    assert_eq!(read, Some(OperateOutcome::Done("version 1".to_owned())));
}

#[test]
fn a_backup_without_room_is_exchanged_and_confirms_nothing() {
    let mut fleet = running(3);
    let backup = *members(&mut fleet).first().expect("a backup");
    let primary = fleet.primary().expect("a primary");
    fleet.fill(backup, false);
    let unknown = fleet.command(primary, spec(0, 1));
    assert_eq!(unknown, None, "not acknowledged before it is on two disks");
    fleet.run(2_000);
    assert!(!members(&mut fleet).contains(&backup));
    let leads = fleet.primary().expect("a primary");
    let read = fleet.query(leads, Query::ReadSource);
    assert_eq!(read, Some(OperateOutcome::Done("version 1".to_owned())));
}

#[test]
fn a_node_without_room_is_not_chosen_where_another_can_be() {
    let mut fleet = running(4);
    let held = members(&mut fleet);
    // Of the two that are left the witness would come first, were its vote not given away.
    let full = (0..3).find(|number| !held.contains(number)).expect("a third seed");
    fleet.fill(full, true);
    fleet.run(10_000);
    fleet.stop(held[0], false);
    for _ in 0..30 {
        fleet.run(100);
        if let Some(members) = known_members(&mut fleet) {
            assert!(!members.contains(&full));
        }
    }
    assert_eq!(fleet.primary(), held.get(1).copied());
    assert!(members(&mut fleet).contains(&3), "the spare one took the place");
}

#[test]
fn nobody_without_room_founds_a_fleet_or_is_founded_with() {
    for full in 0..3 {
        let mut fleet = Fleet::new(3, 3);
        fleet.fill(full, true);
        fleet.run(3_000);
        assert_eq!(fleet.primary(), None, "node {full} is full");
        fleet.make_room(full);
        fleet.run(2_000);
        assert!(fleet.primary().is_some(), "node {full} has room");
    }
}

#[test]
fn what_waits_for_room_stays_bounded_however_long_it_lasts() {
    let mut fleet = running(4);
    let held = members(&mut fleet);
    let full = (0..3).find(|number| !held.contains(number)).expect("a third seed");
    fleet.fill(full, true);
    fleet.run(300);
    // The spare node takes the copy, but without the full one no majority of witnesses is left: its
    // vote is asked for again and again.
    fleet.stop(held[0], false);
    fleet.run(120_000);
    assert_eq!(known_members(&mut fleet), None);
    assert!(fleet.unsynced(full) < 64, "{} writes wait", fleet.unsynced(full));
    fleet.make_room(full);
    fleet.run(4_000);
    assert!(members(&mut fleet).contains(&3), "the spare one took the place");
}

#[test]
fn a_storage_node_without_room_leads_no_shard_and_operators_see_why() {
    let mut fleet = running(3);
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(5_000);
    let state = |fleet: &mut Fleet| -> serde_json::Value {
        let primary = fleet.primary().expect("a primary");
        match fleet.query(primary, Query::ListStorage) {
            Some(OperateOutcome::Done(text)) => serde_json::from_str(&text).expect("json"),
            other => panic!("no list: {other:?}"),
        }
    };
    let before = state(&mut fleet);
    let led = before["shards"][1]["primary"].clone();
    let full = fleet.storage.iter().find(|member| led == member.address.to_string());
    let full = full.expect("a storage node").clone();
    fleet.full_storage.push(full.id);
    fleet.run(1_000);
    let after = state(&mut fleet);
    let shards = after["shards"].as_array().expect("shards");
    assert!(shards.iter().all(|shard| shard["primary"] != led), "{after}");
    let nodes = after["nodes"].as_array().expect("nodes");
    let row = nodes.iter().find(|node| node["address"] == led).expect("its row");
    assert_eq!(row["disk"], "full");
}
