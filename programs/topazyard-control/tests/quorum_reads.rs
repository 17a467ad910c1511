//! A control backup confirms shard records by a quorum read while its primary is silent.

mod fleet;

use fleet::{Fleet, TICK, storage};
use topazyard_types::{Epoch, ShardId};
use topazyard_wire::message::Message;
use topazyard_wire::message::confirm::ConfirmMessage;

/// In a new fleet the first seed is the primary and the second its backup.
const PRIMARY: usize = 0;
const BACKUP: usize = 1;
const THIRD: usize = 2;

/// Three control nodes that have placed the shards.
fn running() -> Fleet {
    let mut fleet = Fleet::new(3, 3);
    fleet.storage = (1..=3).map(storage).collect();
    fleet.run(4_000);
    assert_eq!(fleet.primary(), Some(PRIMARY));
    fleet
}

fn send_request(fleet: &mut Fleet, number: usize) {
    fleet.storage_messages.clear();
    let request = ConfirmMessage::RequestRecords { nonce: 77 };
    fleet.deliver_from(number, &storage(1), Message::Confirm(request));
}

/// The records confirmed since the last request.
fn confirmed(fleet: &Fleet) -> Option<Vec<(ShardId, Epoch)>> {
    fleet.storage_messages.iter().find_map(|message| match message {
        Message::Confirm(ConfirmMessage::Records { nonce: 77, epochs }) => Some(epochs.clone()),
        _ => None,
    })
}

/// The records that a node confirms when it is asked now.
fn confirmed_by(fleet: &mut Fleet, number: usize) -> Option<Vec<(ShardId, Epoch)>> {
    send_request(fleet, number);
    fleet.run(2 * TICK.0);
    confirmed(fleet)
}

#[test]
fn backup_confirms_records_once_the_primary_is_gone() {
    let mut fleet = running();
    fleet.stop(PRIMARY, false);
    let records = confirmed_by(&mut fleet, BACKUP).expect("no takeover is waited for");
    assert_eq!(fleet.primary(), None, "nobody has taken over yet");
    let shards: Vec<ShardId> = records.iter().map(|(shard, _)| *shard).collect();
    assert_eq!(shards, ShardId::all().collect::<Vec<_>>());
}

#[test]
fn nothing_is_confirmed_without_a_majority_of_witnesses() {
    let mut fleet = running();
    fleet.stop(PRIMARY, false);
    fleet.stop(THIRD, false);
    assert_eq!(confirmed_by(&mut fleet, BACKUP), None);
    fleet.start(THIRD);
    fleet.run(2 * TICK.0);
    assert!(confirmed_by(&mut fleet, BACKUP).is_some(), "two of three are a majority");
}

#[test]
fn node_that_is_no_backup_confirms_nothing() {
    let mut fleet = running();
    assert_eq!(confirmed_by(&mut fleet, THIRD), None);
}

#[test]
fn replaced_backup_confirms_nothing() {
    // It returns with the record of the old epoch, in which it was the backup, while the others
    // have moved on and may have changed shards. The request arrives before it learns of that.
    let mut fleet = running();
    fleet.stop(BACKUP, false);
    fleet.run(4_000);
    assert_eq!(fleet.primary(), Some(PRIMARY), "it has another backup");
    fleet.start(BACKUP);
    send_request(&mut fleet, BACKUP);
    assert_eq!(confirmed(&fleet), None);
    assert_eq!(confirmed_by(&mut fleet, BACKUP), None);
}
