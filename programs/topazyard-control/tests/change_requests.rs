//! Change requests of shard primaries. A fleet that starts all at once sends one for every shard.

mod fleet;

use fleet::{Fleet, TICK, storage};
use topazyard_types::{Epoch, LogPosition, ShardId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{ShardChange, ShardChangeRequest, ShardRecord};
use topazyard_wire::message::feed::{FeedMessage, Health, UpdateContent};
use topazyard_wire::state::FleetSnapshot;

/// The shards' records, read from the feed.
fn records(fleet: &mut Fleet) -> std::collections::BTreeMap<ShardId, ShardRecord> {
    fleet.storage_messages.clear();
    let member = storage(1);
    let health = Health::Storage {
        member: member.clone(),
        write_wait_ms: 0,
        waiting: Vec::new(),
        live_tokens: None,
        disk: topazyard_wire::disk::DiskState::Healthy,
    };
    let request = FeedMessage::Request {
        nonce: 77,
        after: LogPosition::default(),
        part: None,
        last_response_age: None,
        health,
    };
    let primary = fleet.primary().expect("a primary");
    fleet.deliver_from(primary, &member, Message::Feed(request));
    fleet.run(2 * TICK.0);
    let rows = fleet.storage_messages.iter().find_map(|message| match message {
        Message::Feed(FeedMessage::Update {
            nonce: 77,
            content: UpdateContent::Snapshot(rows),
            ..
        }) => Some(rows.iter().cloned().collect()),
        _ => None,
    });
    FleetSnapshot::read(&rows.expect("a snapshot")).shards
}

#[test]
fn simultaneous_requests_for_all_shards_are_applied() {
    // Guards against handling only the first request at once, and the others 100 ms apart.
    let mut fleet = Fleet::new(3, 3);
    fleet.storage = (1..=3).map(storage).collect();
    fleet.run(4_000);
    let before = records(&mut fleet);
    assert_eq!(before.len(), ShardId::all().count());
    let primary = fleet.primary().expect("a primary");
    // The first request stays pending for as long as the control backup is away.
    fleet.stop(1, false);
    for (shard, record) in &before {
        let request = ShardChangeRequest {
            shard: *shard,
            epoch: record.epoch,
            change: ShardChange::HandOver,
        };
        let owner = (1..=3).map(storage).find(|member| member.id == record.primary.id);
        fleet.deliver_from(primary, &owner.expect("known"), Message::ShardChangeRequest(request));
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
fn request_of_another_epoch_or_node_changes_nothing() {
    let mut fleet = Fleet::new(3, 3);
    fleet.storage = (1..=3).map(storage).collect();
    fleet.run(4_000);
    let before = records(&mut fleet);
    let primary = fleet.primary().expect("a primary");
    let (shard, record) = before.iter().next().expect("a shard");
    let request =
        |epoch| ShardChangeRequest { shard: *shard, epoch, change: ShardChange::HandOver };
    for member in (1..=3).map(storage) {
        let epoch = match member.id == record.primary.id {
            true => Epoch(record.epoch.0 + 1),
            false => record.epoch,
        };
        fleet.deliver_from(primary, &member, Message::ShardChangeRequest(request(epoch)));
    }
    fleet.run(TICK.0);
    assert_eq!(records(&mut fleet), before);
}

// Otherwise every shard led by a machine that lost its disk waits until the old id times out.
#[test]
fn shards_move_when_their_machine_returns_under_another_id() {
    let mut fleet = Fleet::new(3, 3);
    fleet.storage = (1..=3).map(storage).collect();
    fleet.run(4_000);
    let lost = fleet.storage[0].id;
    let before = records(&mut fleet);
    assert!(before.values().any(|record| record.primary.id == lost));
    fleet.storage[0].id = topazyard_types::NodeId(77);
    fleet.run(500);
    let after = records(&mut fleet);
    let remaining: Vec<_> = after.iter().filter(|(_, record)| record.primary.id == lost).collect();
    assert!(remaining.is_empty(), "{remaining:?}");
}
