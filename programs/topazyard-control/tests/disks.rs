//! A control node whose disk is full gives up the roles that write, still responds to the rest, and
//! returns.

mod fleet;

use fleet::{Fleet, storage};
use topazyard_control::ControlCall;
use topazyard_types::ConfigurationVersion;
use topazyard_wire::Input;
use topazyard_wire::disk::DiskState;
use topazyard_wire::message::operate::{Command, OperatorOutcome, Query};

impl Fleet {
    /// Fills a node's disk. The node learns of it with its next write, or at once if `notify` is
    /// set.
    fn fill(&mut self, number: usize, notify: bool) {
        self.nodes[number].full = Some(Vec::new());
        if notify {
            let effects = self.step(number, Input::Disk(DiskState::Full));
            self.run_effects(number, effects);
        }
    }

    /// Frees a node's disk. The waiting writes are synced in order.
    fn free_disk(&mut self, number: usize) {
        let waiting = self.nodes[number].full.take().unwrap_or_default();
        let effects = self.step(number, Input::Disk(DiskState::Healthy));
        self.run_effects(number, effects);
        for (token, changes) in waiting {
            self.sync(number, token, changes);
            let effects = self.step(number, Input::Written(token));
            self.run_effects(number, effects);
        }
    }

    /// How many of a node's writes wait for disk space.
    fn unsynced(&self, number: usize) -> usize {
        self.nodes[number].full.as_ref().map_or(0, Vec::len)
    }
}

fn configuration(base: u64, version: u64) -> Command {
    let route = serde_json::json!({ "name": "r", "host": "a.example", "path_prefix": "/",
        "kind": "safe", "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": 5000,
        "max_attempts": 2 });
    let configuration = serde_json::json!({ "pools": [{ "name": "main" }], "routes": [route] });
    Command::ApplyConfiguration {
        base: ConfigurationVersion(base),
        version: ConfigurationVersion(version),
        text: configuration.to_string(),
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

/// The primary and the backups as reported by the primary, if there is one.
fn known_members(fleet: &mut Fleet) -> Option<Vec<usize>> {
    let primary = fleet.primary()?;
    let Some(OperatorOutcome::Done(text)) = fleet.query(primary, Query::FleetState) else {
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
    known_members(fleet).expect("a primary that responds")
}

fn health(fleet: &mut Fleet, number: usize) -> serde_json::Value {
    fleet.nodes[number].outcome = None;
    fleet.call(number, ControlCall::Health);
    match fleet.nodes[number].outcome.take() {
        Some(OperatorOutcome::Done(text)) => serde_json::from_str(&text).expect("json"),
        other => panic!("no health: {other:?}"),
    }
}

#[test]
fn primary_with_a_full_disk_hands_over_and_reports_it() {
    let mut fleet = running(3);
    let old = fleet.primary().expect("a primary");
    assert_eq!(health(&mut fleet, old)["disk"], "healthy");
    fleet.fill(old, true);
    fleet.run(300);
    let new = fleet.primary().expect("another primary within 300 ms");
    assert_ne!(new, old);
    assert!(!members(&mut fleet).contains(&old), "a node that can't write holds no copy");
    assert_eq!(health(&mut fleet, old)["disk"], "full");
    let outcome = fleet.command(new, configuration(0, 1));
    assert!(matches!(outcome, Some(OperatorOutcome::Done(_))), "{outcome:?}");
    // Operations that write nothing still work there: it forwards a query to the primary.
    let read = fleet.query(old, Query::ReadSource);
    assert_eq!(read, Some(OperatorOutcome::Done("version 1".to_owned())));
}

#[test]
fn node_with_a_freed_disk_votes_and_takes_copies_again() {
    let mut fleet = running(3);
    let old = fleet.primary().expect("a primary");
    fleet.fill(old, true);
    fleet.run(1_000);
    let new = fleet.primary().expect("another primary");
    fleet.command(new, configuration(0, 1));
    fleet.free_disk(old);
    fleet.run(1_000);
    assert_eq!(health(&mut fleet, old)["disk"], "healthy");
    // Its vote is needed now, and its disk for the copy.
    fleet.stop(new, false);
    fleet.run(4_000);
    let last = fleet.primary().expect("a primary, with two of three nodes");
    assert!(members(&mut fleet).contains(&old));
    let read = fleet.query(last, Query::ReadSource);
    assert_eq!(read, Some(OperatorOutcome::Done("version 1".to_owned())));
}

#[test]
fn backup_with_a_full_disk_is_replaced_and_confirms_nothing() {
    let mut fleet = running(3);
    let backup = *members(&mut fleet).first().expect("a backup");
    let primary = fleet.primary().expect("a primary");
    fleet.fill(backup, false);
    let unknown = fleet.command(primary, configuration(0, 1));
    assert_eq!(unknown, None, "not acknowledged before it is on two disks");
    fleet.run(2_000);
    assert!(!members(&mut fleet).contains(&backup));
    let primary = fleet.primary().expect("a primary");
    let read = fleet.query(primary, Query::ReadSource);
    assert_eq!(read, Some(OperatorOutcome::Done("version 1".to_owned())));
}

#[test]
fn node_with_a_full_disk_is_not_chosen_if_another_can_be() {
    let mut fleet = running(4);
    let members_before = members(&mut fleet);
    // Of the remaining two the witness would be chosen first if its disk were not full.
    let full = (0..3).find(|number| !members_before.contains(number)).expect("a third seed");
    fleet.fill(full, true);
    fleet.run(10_000);
    fleet.stop(members_before[0], false);
    for _ in 0..30 {
        fleet.run(100);
        if let Some(members) = known_members(&mut fleet) {
            assert!(!members.contains(&full));
        }
    }
    assert_eq!(fleet.primary(), members_before.get(1).copied());
    assert!(members(&mut fleet).contains(&3), "the spare node replaced it");
}

#[test]
fn bootstrap_waits_for_a_seed_with_a_full_disk() {
    for full in 0..3 {
        let mut fleet = Fleet::new(3, 3);
        fleet.fill(full, true);
        fleet.run(3_000);
        assert_eq!(fleet.primary(), None, "node {full} is full");
        fleet.free_disk(full);
        fleet.run(2_000);
        assert!(fleet.primary().is_some(), "node {full} has disk space");
    }
}

#[test]
fn writes_waiting_for_disk_space_stay_bounded() {
    let mut fleet = running(4);
    let members_before = members(&mut fleet);
    let full = (0..3).find(|number| !members_before.contains(number)).expect("a third seed");
    fleet.fill(full, true);
    fleet.run(300);
    // The spare node takes the copy, but without the full one there is no majority of witnesses, so
    // its vote is requested again and again.
    fleet.stop(members_before[0], false);
    fleet.run(120_000);
    assert_eq!(known_members(&mut fleet), None);
    assert!(fleet.unsynced(full) < 64, "{} writes wait", fleet.unsynced(full));
    fleet.free_disk(full);
    fleet.run(4_000);
    assert!(members(&mut fleet).contains(&3), "the spare node replaced it");
}

#[test]
fn storage_node_with_a_full_disk_leads_no_shard_and_is_reported() {
    let mut fleet = running(3);
    fleet.storage = (1..=4).map(storage).collect();
    fleet.run(5_000);
    let state = |fleet: &mut Fleet| -> serde_json::Value {
        let primary = fleet.primary().expect("a primary");
        match fleet.query(primary, Query::ListStorage) {
            Some(OperatorOutcome::Done(text)) => serde_json::from_str(&text).expect("json"),
            other => panic!("no list: {other:?}"),
        }
    };
    let before = state(&mut fleet);
    let old_primary = before["shards"][1]["primary"].clone();
    let full = fleet.storage.iter().find(|member| old_primary == member.address.to_string());
    let full = full.expect("a storage node").clone();
    fleet.full_storage.push(full.id);
    fleet.run(1_000);
    let after = state(&mut fleet);
    let shards = after["shards"].as_array().expect("shards");
    assert!(shards.iter().all(|shard| shard["primary"] != old_primary), "{after}");
    let nodes = after["nodes"].as_array().expect("nodes");
    let row = nodes.iter().find(|node| node["address"] == old_primary).expect("its row");
    assert_eq!(row["disk"], "full");
}
