//! A control backup confirms shard records by a quorum read while its primary is silent.

mod fleet;

use fleet::{Fleet, TICK, storage};
use topazyard_types::{Epoch, ShardId};
use topazyard_wire::message::Message;
use topazyard_wire::message::confirm::ConfirmMessage;

/// Of a new fleet the first seed leads, and the second is its backup.
const PRIMARY: usize = 0;
const BACKUP: usize = 1;
const THIRD: usize = 2;

/// Three control nodes and the shards that they have placed.
fn running() -> Fleet {
    let mut fleet = Fleet::new(3, 3);
    fleet.storage = (1..=3).map(storage).collect();
    fleet.run(4_000);
    assert_eq!(fleet.primary(), Some(PRIMARY));
    fleet
}

fn ask(fleet: &mut Fleet, number: usize) {
    fleet.told.clear();
    let ask = ConfirmMessage::RequestRecords { nonce: 77 };
    fleet.hear(number, &storage(1), Message::Confirm(ask));
}

/// The records that were confirmed since the last question.
fn confirmed(fleet: &Fleet) -> Option<Vec<(ShardId, Epoch)>> {
    fleet.told.iter().find_map(|message| match message {
        Message::Confirm(ConfirmMessage::Records { nonce: 77, epochs }) => Some(epochs.clone()),
        _ => None,
    })
}

/// The records that a node confirms when it is asked now.
fn confirmed_by(fleet: &mut Fleet, number: usize) -> Option<Vec<(ShardId, Epoch)>> {
    ask(fleet, number);
    fleet.run(2 * TICK.0);
    confirmed(fleet)
}

#[test]
fn a_backup_confirms_the_records_as_soon_as_the_primary_is_gone() {
    let mut fleet = running();
    fleet.stop(PRIMARY, false);
    let records = confirmed_by(&mut fleet, BACKUP).expect("no takeover is waited for");
    assert_eq!(fleet.primary(), None, "nobody has taken over yet");
    let shards: Vec<ShardId> = records.iter().map(|(shard, _)| *shard).collect();
    assert_eq!(shards, ShardId::all().collect::<Vec<_>>());
}

#[test]
fn without_a_majority_of_the_witnesses_nothing_is_confirmed() {
    let mut fleet = running();
    fleet.stop(PRIMARY, false);
    fleet.stop(THIRD, false);
    assert_eq!(confirmed_by(&mut fleet, BACKUP), None);
    fleet.start(THIRD);
    fleet.run(2 * TICK.0);
    assert!(confirmed_by(&mut fleet, BACKUP).is_some(), "two of three are a majority");
}

#[test]
fn a_node_that_is_no_backup_confirms_nothing() {
    let mut fleet = running();
    assert_eq!(confirmed_by(&mut fleet, THIRD), None);
}

#[test]
fn a_backup_that_was_replaced_confirms_nothing() {
    // It comes back with the record of the old epoch, in which it was the backup, while the others
    // have moved on and may have changed shards. It is asked before it hears of that.
    let mut fleet = running();
    fleet.stop(BACKUP, false);
    fleet.run(4_000);
    assert_eq!(fleet.primary(), Some(PRIMARY), "it has another backup");
    fleet.start(BACKUP);
    ask(&mut fleet, BACKUP);
    assert_eq!(confirmed(&fleet), None);
    assert_eq!(confirmed_by(&mut fleet, BACKUP), None);
}
