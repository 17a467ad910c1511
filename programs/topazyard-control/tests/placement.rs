//! Placement: it mends what is lost and then stands still.

use topazyard_control::planner::{
    StorageStatus, drop_backups, hand_over_primary, plan, promote_learners,
};
use topazyard_types::{NodeId, ShardId};
use topazyard_wire::message::membership::{Member, MemberRole};
use topazyard_wire::state::FleetSnapshot;

fn member(id: u64, zone: &str) -> Member {
    Member {
        id: NodeId(id),
        name: None,
        address: std::net::SocketAddr::from(([127, 0, 0, 1], id as u16)),
        http: None,
        role: MemberRole::Storage,
        zone: zone.into(),
    }
}

fn status(members: &[Member]) -> StorageStatus {
    let reachable = members.iter().map(|member| (member.id, member.clone())).collect();
    StorageStatus { reachable, settled: true, ..StorageStatus::default() }
}

/// Lets the planner work until it changes nothing, with learners filled at once; gives how many
/// steps that took.
fn settle(view: &mut FleetSnapshot, status: &StorageStatus) -> usize {
    let mut rows = std::collections::BTreeMap::new();
    for (id, row) in &view.storage {
        let change = topazyard_wire::RowChange::put(topazyard_wire::state::storage_key(*id), row);
        rows.insert(change.key, change.value.expect("a value"));
    }
    for (shard, record) in &view.shards {
        let key = topazyard_wire::state::shard_key(*shard);
        let change = topazyard_wire::RowChange::put(key, record);
        rows.insert(change.key, change.value.expect("a value"));
    }
    for step in 0..100 {
        let changes = plan(view, status);
        let mut moved = !changes.is_empty();
        for change in changes {
            match change.value {
                Some(value) => rows.insert(change.key, value),
                None => rows.remove(&change.key),
            };
        }
        *view = FleetSnapshot::read(&rows);
        let shards: Vec<ShardId> = view.shards.keys().copied().collect();
        for shard in shards {
            let record = &view.shards[&shard];
            let primary_works = !status.down.contains(&record.primary.id);
            if let Some(next) = promote_learners(view, status, record).filter(|_| primary_works) {
                let key = topazyard_wire::state::shard_key(shard);
                let change = topazyard_wire::RowChange::put(key, &next);
                rows.insert(change.key, change.value.expect("a value"));
                moved = true;
            }
        }
        *view = FleetSnapshot::read(&rows);
        if !moved {
            return step;
        }
    }
    panic!("placement never stands still");
}

fn settled_fleet() -> (Vec<Member>, FleetSnapshot) {
    let members = vec![member(1, "north"), member(2, "east"), member(3, "west")];
    let mut view = FleetSnapshot::default();
    settle(&mut view, &status(&members));
    (members, view)
}

#[test]
fn each_shard_gets_two_copies_in_two_zones() {
    let (members, view) = settled_fleet();
    assert_eq!(view.shards.len(), ShardId::all().count());
    for record in view.shards.values() {
        let zone = |id| &members.iter().find(|member| member.id == id).expect("known").zone;
        assert_eq!(record.backups.len(), 1);
        let backup = record.backups.first().expect("a backup");
        assert_ne!(zone(record.primary.id), zone(backup.id));
    }
}

#[test]
fn a_lost_node_leaves_no_shard_with_one_copy() {
    let (members, mut view) = settled_fleet();
    let mut status = status(&members[1..]);
    status.down.insert(members[0].id);
    settle(&mut view, &status);
    for record in view.shards.values() {
        assert!(record.primary.id != members[0].id);
        assert!(record.backups.first().is_some_and(|backup| backup.id != members[0].id));
    }
}

#[test]
fn a_slow_disk_makes_placement_move_once_and_not_to_and_fro() {
    // Seen as cristallo, chaos, seed 111: balancing moved copies onto the slow node and mending
    // moved them off again, five times a second, until service stopped.
    for slow in 0..3 {
        let (members, mut view) = settled_fleet();
        let mut status = status(&members);
        status.slow.insert(members[slow].id);
        let steps = settle(&mut view, &status);
        assert!(steps < 12, "{steps} steps");
        assert!(view.shards.values().all(|record| record.primary.id != members[slow].id));
    }
}

#[test]
fn a_lost_primary_is_followed_only_by_one_that_holds_all() {
    let (members, view) = settled_fleet();
    let (shard, record) = view.shards.iter().next().expect("a shard");
    let dropped = drop_backups(record, &[record.backups[0].id]).expect("it had a backup");
    let mut view = view.clone();
    view.shards.insert(*shard, dropped.clone());
    let mut status = status(&members);
    status.reachable.remove(&dropped.primary.id);
    status.down.insert(dropped.primary.id);
    let changes = plan(&view, &status);
    let key = topazyard_wire::state::shard_key(*shard);
    let next = changes.iter().find(|change| change.key == key).and_then(|c| c.value.clone());
    let next: topazyard_wire::message::control::ShardRecord =
        topazyard_wire::rows::decode(&next.expect("a change")).expect("a record");
    assert_eq!(vec![next.primary], dropped.fallbacks);
    assert_eq!(next.backups, [], "nothing is answered before a learner holds all");
}

#[test]
fn a_backup_that_is_only_starting_is_not_let_go_by_a_primary_that_hands_over() {
    // Seen as all machines lost power: a primary that was up first let its one backup go 35 ms after it
    // had learned its record, and then waited 1.1 s for a learner.
    let (members, view) = settled_fleet();
    let record = view.shards.values().next().expect("a shard");
    let backup = record.backups[0].id;
    let mut status = status(&members);
    status.reachable.remove(&backup);
    assert_eq!(hand_over_primary(&view, &status, record), None, "it may be reachable soon");
    status.down.insert(backup);
    let alone = hand_over_primary(&view, &status, record).expect("it is lost");
    assert_eq!((alone.primary, alone.backups.len()), (record.primary, 0));
    assert!(!alone.learners.is_empty());
    status.down.clear();
    status
        .reachable
        .insert(backup, members.iter().find(|m| m.id == backup).expect("known").clone());
    let swapped = hand_over_primary(&view, &status, record).expect("it is reachable");
    assert_eq!((swapped.primary.id, swapped.backups), (backup, vec![record.primary]));
}

#[test]
fn a_retired_node_is_given_nothing_while_it_runs_and_forgotten_once_it_is_down() {
    // Seen by hand: a node that was retired while it still ran was taken for a new one.
    let (mut members, mut view) = settled_fleet();
    members.push(member(4, "south"));
    let key = topazyard_wire::state::storage_key(NodeId(4));
    let row = topazyard_wire::state::StorageRow {
        member: members[3].clone(),
        stage: topazyard_wire::state::StorageStage::Retired,
    };
    view.storage.insert(NodeId(4), row);
    let mut status = status(&members);
    settle(&mut view, &status);
    assert_eq!(topazyard_control::planner::hosted_copies(&view, NodeId(4)), 0);
    assert!(view.storage.contains_key(&NodeId(4)));
    status.reachable.remove(&NodeId(4));
    status.down.insert(NodeId(4));
    let gone = topazyard_wire::RowChange::delete(key);
    assert!(plan(&view, &status).contains(&gone));
}

/// Ten nodes in five zones.
fn ten() -> Vec<Member> {
    let zones = ["north", "east", "west", "south", "centre"];
    (1..=10).map(|id| member(id, zones[id as usize % 5])).collect()
}

fn settled_with(members: &[Member], copies: u16) -> FleetSnapshot {
    let mut view = FleetSnapshot::default();
    settle(&mut view, &StorageStatus { copies, ..status(members) });
    view
}

#[test]
fn each_shard_gets_as_many_copies_as_asked_for_each_in_a_zone_of_its_own() {
    for copies in 1..=3 {
        let members = ten();
        let view = settled_with(&members, copies);
        assert_eq!(view.shards.len(), ShardId::all().count());
        for record in view.shards.values() {
            let zone = |id| &members.iter().find(|member| member.id == id).expect("known").zone;
            let zones: std::collections::BTreeSet<_> =
                record.members().map(|node| zone(node.id)).collect();
            assert_eq!((record.copies, record.members().count()), (copies, usize::from(copies)));
            assert_eq!(zones.len(), usize::from(copies));
        }
    }
}

#[test]
fn any_two_nodes_lost_at_once_leave_three_copies_again_and_none_is_led_by_one_that_lacks_any() {
    let members = ten();
    for one in 0..members.len() {
        for other in one + 1..members.len() {
            let mut view = settled_with(&members, 3);
            let before = view.shards.clone();
            let left =
                members.iter().filter(|m| ![members[one].id, members[other].id].contains(&m.id));
            let left: Vec<Member> = left.cloned().collect();
            let mut status = StorageStatus { copies: 3, ..status(&left) };
            status.down.extend([members[one].id, members[other].id]);
            for (shard, record) in &before {
                let key = topazyard_wire::state::shard_key(*shard);
                let change = plan(&view, &status).into_iter().find(|change| change.key == key);
                let Some(value) = change.and_then(|change| change.value) else { continue };
                let next: topazyard_wire::message::control::ShardRecord =
                    topazyard_wire::rows::decode(&value).expect("a record");
                assert!(record.members().any(|node| node.id == next.primary.id));
                assert!(next.backups.iter().all(|node| record.is_backup(node.id)));
            }
            settle(&mut view, &status);
            for record in view.shards.values() {
                assert!(record.is_complete() && record.members().count() == 3);
                assert!(record.members().all(|node| !status.down.contains(&node.id)));
            }
        }
    }
}

#[test]
fn with_fewer_nodes_than_copies_nothing_is_placed_and_nothing_is_answered() {
    let members = ten();
    assert!(settled_with(&members[..2], 3).shards.is_empty());
    let mut view = settled_with(&members[..3], 3);
    let mut status = StorageStatus { copies: 3, ..status(&members[..2]) };
    status.down.insert(members[2].id);
    for record in view.shards.values_mut() {
        let silent = [members[2].id];
        if let Some(next) = drop_backups(record, &silent) {
            *record = next;
        }
    }
    settle(&mut view, &status);
    assert!(view.shards.values().all(|record| !record.is_complete()));
}

#[test]
fn more_copies_are_filled_while_the_old_ones_serve_and_fewer_are_enough_at_once() {
    let members = ten();
    let mut view = settled_with(&members, 2);
    let more = StorageStatus { copies: 3, ..status(&members) };
    for change in plan(&view, &more) {
        let next = change.value.as_deref().and_then(topazyard_wire::rows::decode);
        let next: topazyard_wire::message::control::ShardRecord = next.expect("a record");
        assert!(next.is_complete(), "it goes on serving with the copies there are");
    }
    settle(&mut view, &more);
    assert!(view.shards.values().all(|record| record.copies == 3 && record.is_complete()));
    settle(&mut view, &StorageStatus { copies: 1, ..status(&members) });
    assert!(view.shards.values().all(|record| record.copies == 1));
}

#[test]
fn a_node_without_room_loses_its_duties_and_is_given_none() {
    let members = ten();
    let mut view = settled_with(&members, 2);
    let full = members.iter().find(|member| {
        view.shards.values().any(|record| record.primary.id == member.id)
            && view.shards.values().any(|record| record.is_backup(member.id))
    });
    let full = full.or(members.first()).expect("a member").id;
    let before = view.shards.clone();
    let mut status = StorageStatus { copies: 2, ..status(&members) };
    status.full.insert(full);
    for change in plan(&view, &status) {
        let next: Option<topazyard_wire::message::control::ShardRecord> =
            change.value.as_deref().and_then(topazyard_wire::rows::decode);
        let next = next.expect("a record");
        assert_ne!(next.primary.id, full, "its backup leads at once");
        assert!(next.learners.iter().all(|learner| learner.id != full));
    }
    settle(&mut view, &status);
    assert!(view.shards.values().all(|record| record.members().all(|node| node.id != full)));
    assert!(view.shards.values().all(|record| record.is_complete()));
    // Its copies are worth their place again once there is room.
    status.full.clear();
    settle(&mut view, &status);
    assert_eq!(view.shards.len(), before.len());
    assert!(view.storage.contains_key(&full), "it was never forgotten");
}

#[test]
fn a_shard_whose_only_copy_has_no_room_waits_for_it_and_its_counter_goes_on() {
    let (members, mut view) = settled_fleet();
    let full: Vec<NodeId> = members.iter().map(|member| member.id).collect();
    let before = view.shards.clone();
    let mut status = status(&members);
    status.full.extend(full);
    settle(&mut view, &status);
    assert_eq!(view.shards, before, "nobody is better");
}

#[test]
fn a_record_that_may_answer_names_no_fallback() {
    // A fallback is not sent what is answered: named beside members that answer, it could lead later
    // with a copy that lacks it. Seen where the number of losses to be borne was changed.
    let members: Vec<Member> = (1..=6).map(|id| member(id, &format!("zone-{id}"))).collect();
    for (before, after) in [(3, 2), (2, 3), (4, 2), (2, 4)] {
        for lost in 0..6 {
            let mut view = FleetSnapshot::default();
            settle(&mut view, &StorageStatus { copies: before, ..status(&members) });
            let mut status = StorageStatus { copies: after, ..status(&members) };
            status.reachable.remove(&members[lost].id);
            status.down.insert(members[lost].id);
            for _ in 0..40 {
                let changes = plan(&view, &status);
                for change in changes {
                    let Some(value) = change.value else { continue };
                    let shard = ShardId::all()
                        .find(|shard| topazyard_wire::state::shard_key(*shard) == change.key);
                    let record: Option<topazyard_wire::message::control::ShardRecord> =
                        topazyard_wire::rows::decode(&value);
                    if let (Some(shard), Some(record)) = (shard, record) {
                        assert!(!record.is_complete() || record.fallbacks.is_empty(), "{record:?}");
                        view.shards.insert(shard, record);
                    }
                }
            }
        }
    }
}
