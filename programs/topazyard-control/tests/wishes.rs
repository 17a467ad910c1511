//! Wishes of shard primaries, as a fleet that starts together makes them: for every shard at once.

mod fleet;

use fleet::{Fleet, TICK, storage};
use topazyard_types::{Epoch, LogPosition, ShardId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{ShardChange, ShardChangeRequest, ShardRecord};
use topazyard_wire::message::feed::{FeedMessage, Health, UpdateContent};
use topazyard_wire::state::FleetSnapshot;

/// The shards' records, as the feed tells them.
fn records(fleet: &mut Fleet) -> std::collections::BTreeMap<ShardId, ShardRecord> {
    fleet.told.clear();
    let member = storage(1);
    let health = Health::Storage {
        member: member.clone(),
        write_wait_ms: 0,
        waiting: Vec::new(),
        live_tokens: None,
        disk: topazyard_wire::disk::DiskState::Healthy,
    };
    let ask = FeedMessage::Request {
        nonce: 77,
        after: LogPosition::default(),
        part: None,
        last_response_age: None,
        health,
    };
    let primary = fleet.primary().expect("one leads");
    fleet.hear(primary, &member, Message::Feed(ask));
    fleet.run(2 * TICK.0);
    let rows = fleet.told.iter().find_map(|message| match message {
        Message::Feed(FeedMessage::Update {
            nonce: 77,
            content: UpdateContent::Snapshot(rows),
            ..
        }) => Some(rows.iter().cloned().collect()),
        _ => None,
    });
    FleetSnapshot::read(&rows.expect("everything")).shards
}

#[test]
fn wishes_for_all_shards_that_come_in_one_moment_are_all_fulfilled() {
    // Only the first was looked at, and the others 100 ms later, one at a time.
    let mut fleet = Fleet::new(3, 3);
    fleet.storage = (1..=3).map(storage).collect();
    fleet.run(4_000);
    let before = records(&mut fleet);
    assert_eq!(before.len(), ShardId::all().count());
    let primary = fleet.primary().expect("one leads");
    // The first wish's batch is under way for as long as the control backup is away.
    fleet.stop(1, false);
    for (shard, record) in &before {
        let wish = ShardChangeRequest {
            shard: *shard,
            epoch: record.epoch,
            change: ShardChange::HandOver,
        };
        let owner = (1..=3).map(storage).find(|member| member.id == record.primary.id);
        fleet.hear(primary, &owner.expect("known"), Message::ShardChangeRequest(wish));
    }
    fleet.start(1);
    fleet.run(400);
    let after = records(&mut fleet);
    for (shard, record) in &before {
        assert_eq!(after[shard].epoch, record.epoch.next(), "shard {shard}");
        assert_eq!(after[shard].primary, record.backups[0]);
    }
}

#[test]
fn a_wish_of_another_epoch_or_of_another_node_changes_nothing() {
    let mut fleet = Fleet::new(3, 3);
    fleet.storage = (1..=3).map(storage).collect();
    fleet.run(4_000);
    let before = records(&mut fleet);
    let primary = fleet.primary().expect("one leads");
    let (shard, record) = before.iter().next().expect("a shard");
    let wish = |epoch| ShardChangeRequest { shard: *shard, epoch, change: ShardChange::HandOver };
    for member in (1..=3).map(storage) {
        let epoch = match member.id == record.primary.id {
            true => Epoch(record.epoch.0 + 1),
            false => record.epoch,
        };
        fleet.hear(primary, &member, Message::ShardChangeRequest(wish(epoch)));
    }
    fleet.run(TICK.0);
    assert_eq!(records(&mut fleet), before);
}

// Else all that a blank machine led waits until its former id has been silent for long enough.
#[test]
fn shards_whose_primary_lost_its_disk_move_as_soon_as_its_machine_is_heard_under_another_id() {
    let mut fleet = Fleet::new(3, 3);
    fleet.storage = (1..=3).map(storage).collect();
    fleet.run(4_000);
    let lost = fleet.storage[0].id;
    let before = records(&mut fleet);
    assert!(before.values().any(|record| record.primary.id == lost));
    fleet.storage[0].id = topazyard_types::NodeId(77);
    fleet.run(500);
    let after = records(&mut fleet);
    let still: Vec<_> = after.iter().filter(|(_, record)| record.primary.id == lost).collect();
    assert!(still.is_empty(), "{still:?}");
}
