//! Reads asked aside while the control primary is silent: a copy answers only once a control backup has
//! confirmed its record after the read came, and every backup has synced what the copy holds.

use topazyard_storage::StorageMachine;
use topazyard_types::{
    BatchId, Digest, DurationMs, Epoch, LogPosition, MonotonicMs, NodeId, Sequence, ShardId,
};
use topazyard_wire::driver::DiskStart;
use topazyard_wire::message::Message;
use topazyard_wire::message::batch::{BatchBody, BatchCall, BatchMessage, BatchResponse};
use topazyard_wire::message::confirm::ConfirmMessage;
use topazyard_wire::message::control::{CoreNode, ShardChange, ShardRecord};
use topazyard_wire::message::feed::{FeedMessage, UpdateContent};
use topazyard_wire::message::membership::{
    Member, MemberRole, MemberStatus, MemberUpdate, MembershipMessage,
};
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Group, Input, Machine, RowChange};

const SHARD: ShardId = ShardId(1);
const BATCH: BatchId = BatchId { shard: SHARD, number: 5 };
const PRIMARY: u64 = 1;
const BACKUP: u64 = 2;
const OTHER_BACKUP: u64 = 3;
const CONTROL: u64 = 8;
const RELAY: u64 = 9;
const TICK: DurationMs = DurationMs(25);

fn address(id: u64) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1_000 + id as u16).into()
}

fn node(id: u64) -> CoreNode {
    CoreNode { id: NodeId(id), address: address(id) }
}

fn member(id: u64, role: MemberRole) -> Member {
    let zone = format!("zone-{id}").as_str().into();
    Member { id: NodeId(id), name: None, address: address(id), http: None, role, zone }
}

/// A record with the primary and so many backups.
fn record(backups: u64) -> ShardRecord {
    ShardRecord {
        epoch: Epoch(1),
        copies: backups as u16 + 1,
        primary: node(PRIMARY),
        backups: (0..backups).map(|n| node(BACKUP + n)).collect(),
        fallbacks: Vec::new(),
        learners: Vec::new(),
    }
}

/// One storage node whose disk syncs at once, and what it sent last.
struct Storage {
    machine: StorageMachine,
    now: MonotonicMs,
    sent: Vec<(std::net::SocketAddr, Message)>,
}

impl Storage {
    fn start(id: u64, loaded: topazyard_wire::rows::LoadedRows) -> Self {
        let start = DiskStart {
            resources: topazyard_spec::Resources::default(),
            member: member(id, MemberRole::Storage),
            seeds: vec![address(CONTROL)],
            random_seed: id + 1,
            loaded,
            bounds: topazyard_spec::Bounds::default(),
            may_bootstrap: false,
        };
        let now = MonotonicMs(86_400_000);
        Self { machine: StorageMachine::new(start), now, sent: Vec::new() }
    }

    fn step(&mut self, input: Input<<StorageMachine as Machine>::Call>) {
        let mut inputs = std::collections::VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let effects = self.machine.step(input, self.now);
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => self.sent.push((to, message)),
                    Effect::Write { token, .. } => inputs.push_back(Input::Written(token)),
                    Effect::Respond { .. } | Effect::Log { .. } | Effect::StartTask(_) => {}
                }
            }
        }
    }

    fn hear(&mut self, from: u64, message: Message) {
        let (sender, from) = (NodeId(from), address(from));
        self.step(Input::Frame { sender, from, message });
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK.0 {
            self.now = self.now.plus(TICK);
            self.step(Input::Tick);
        }
    }

    /// Learns of the control node, and of the record by the feed.
    fn learn(&mut self, record: &ShardRecord) {
        self.learn_of(SHARD, record);
    }

    fn learn_of(&mut self, shard: ShardId, record: &ShardRecord) {
        let member = member(CONTROL, MemberRole::Control);
        let incarnation = topazyard_types::Incarnation(0);
        let updates = vec![MemberUpdate { member, incarnation, status: MemberStatus::Alive }];
        self.hear(CONTROL, Message::Membership(MembershipMessage::MemberList { updates }));
        self.run(TICK.0);
        let ask = self.sent.iter().rev().find_map(|(_, message)| match message {
            Message::Feed(FeedMessage::Request { nonce, .. }) => Some(*nonce),
            _ => None,
        });
        let row = RowChange::put(topazyard_wire::state::shard_key(shard), record);
        let content = UpdateContent::Snapshot(vec![(row.key, row.value.expect("a value"))]);
        let position = LogPosition { epoch: Epoch(1), sequence: Sequence(record.epoch.0) };
        let nonce = ask.expect("it asks the feed");
        self.hear(CONTROL, Message::Feed(FeedMessage::Update { nonce, position, content }));
    }

    /// Lets time pass with a control node that returns each asking of the feed.
    fn run_with_control(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK.0 {
            self.sent.clear();
            self.run(TICK.0);
            let asked = self.sent.iter().find_map(|(_, message)| match message {
                Message::Feed(FeedMessage::Request { nonce, after, .. }) => Some((*nonce, *after)),
                _ => None,
            });
            if let Some((nonce, position)) = asked {
                let content = UpdateContent::Changes(Vec::new());
                self.hear(CONTROL, Message::Feed(FeedMessage::Update { nonce, position, content }));
            }
        }
    }

    fn hear_primary(&mut self, body: ReplicaBody) {
        let message = ReplicaMessage { group: Group::Shard(SHARD), epoch: Epoch(1), body };
        self.hear(PRIMARY, Message::Replica(message));
    }

    /// Is brought in step with an empty primary, then takes a batch that no one confirmed yet.
    fn take_unconfirmed_batch(&mut self) {
        let empty = topazyard_replication::Copy::default();
        let digests: Vec<Digest> = empty.digests().to_vec();
        self.hear_primary(ReplicaBody::Digests {
            round: 1,
            sequence: Sequence(0),
            digests,
            of: topazyard_wire::message::replica::FollowerRole::Backup,
        });
        let mut batches = topazyard_storage::batches::Batches::taken_over(
            SHARD,
            &empty,
            topazyard_types::BootId(3),
            self.now,
        );
        let changes = batches.submit(BATCH, &[]);
        self.hear_primary(ReplicaBody::Append { round: 2, sequence: Sequence(1), changes });
    }

    fn ask_aside(&mut self) {
        let body = BatchBody::ReplicaRead(BatchCall::Read(BATCH));
        let message = BatchMessage { shard: SHARD, epoch: Epoch(1), call: 7, body };
        self.hear(RELAY, Message::Batch(message));
    }

    /// The last question to control.
    fn asked(&self) -> u64 {
        let asked = self.sent.iter().rev().find_map(|(to, message)| match message {
            Message::Confirm(ConfirmMessage::RequestRecords { nonce }) => Some((*to, *nonce)),
            _ => None,
        });
        let (to, nonce) = asked.expect("it asks control");
        assert_eq!(to, address(CONTROL));
        nonce
    }

    fn hear_records(&mut self, nonce: u64, epoch: u64) {
        let epochs = vec![(SHARD, Epoch(epoch))];
        self.hear(CONTROL, Message::Confirm(ConfirmMessage::Records { nonce, epochs }));
    }

    fn hear_synced(&mut self, from: u64, epoch: u64, sequence: u64) {
        let (epoch, sequence) = (Epoch(epoch), Sequence(sequence));
        let synced = ConfirmMessage::Synced { shard: SHARD, epoch, sequence };
        self.hear(from, Message::Confirm(synced));
    }

    fn has_answered(&self) -> bool {
        self.sent.iter().any(|(to, message)| match message {
            Message::Batch(BatchMessage { body: BatchBody::Response(value), .. }) => {
                assert_eq!(*to, address(RELAY));
                matches!(value, BatchResponse::Status(_))
            }
            _ => false,
        })
    }
}

fn backup_of(backups: u64) -> Storage {
    let mut storage = Storage::start(BACKUP, Default::default());
    storage.learn(&record(backups));
    storage.take_unconfirmed_batch();
    storage.hear_primary(ReplicaBody::Synced { round: 2 });
    storage
}

#[test]
fn a_read_is_answered_once_a_control_backup_has_confirmed_the_record() {
    let mut storage = backup_of(1);
    storage.ask_aside();
    storage.run(100);
    assert!(!storage.has_answered(), "nobody has confirmed the record");
    storage.hear_records(storage.asked(), 1);
    assert!(storage.has_answered());
}

#[test]
fn a_confirmation_that_was_asked_for_before_the_read_came_does_not_count() {
    let mut storage = backup_of(1);
    storage.ask_aside();
    storage.run(100);
    let before = storage.asked();
    storage.hear_records(before, 1);
    storage.sent.clear();
    storage.run(100);
    storage.ask_aside();
    storage.hear_records(before, 1);
    assert!(!storage.has_answered(), "the record may have changed in between");
    storage.run(100);
    storage.hear_records(storage.asked(), 1);
    assert!(storage.has_answered());
}

#[test]
fn a_copy_of_an_older_record_answers_nothing() {
    let mut storage = backup_of(1);
    storage.ask_aside();
    storage.run(100);
    storage.hear_records(storage.asked(), 2);
    assert!(!storage.has_answered());
}

#[test]
fn of_two_backups_one_shows_its_last_batch_once_the_other_has_synced_it() {
    let mut storage = backup_of(2);
    storage.ask_aside();
    storage.run(100);
    storage.hear_records(storage.asked(), 1);
    assert!(!storage.has_answered(), "the batch may be on this copy alone");
    storage.hear_synced(OTHER_BACKUP, 1, 0);
    storage.hear_synced(OTHER_BACKUP, 2, 1);
    storage.hear_synced(RELAY, 1, 1);
    assert!(!storage.has_answered(), "the other backup has not said so");
    storage.hear_synced(OTHER_BACKUP, 1, 1);
    assert!(storage.has_answered());
}

#[test]
fn a_backup_says_what_it_has_synced_in_the_epoch_asked_about() {
    let mut storage = backup_of(2);
    let ask = |epoch, sequence| {
        let (epoch, sequence) = (Epoch(epoch), Sequence(sequence));
        Message::Confirm(ConfirmMessage::CheckSynced { shard: SHARD, epoch, sequence })
    };
    storage.hear(OTHER_BACKUP, ask(1, 2));
    storage.hear(OTHER_BACKUP, ask(2, 1));
    let said = |storage: &Storage| {
        let is_said = |(_, message): &&(_, Message)| {
            matches!(message, Message::Confirm(ConfirmMessage::Synced { .. }))
        };
        storage.sent.iter().filter(is_said).count()
    };
    assert_eq!(said(&storage), 0);
    storage.hear(OTHER_BACKUP, ask(1, 1));
    assert_eq!(said(&storage), 1);
}

#[test]
fn a_restarted_primary_hands_over_and_compares_its_copy_with_nobody() {
    // What its backup has shown meanwhile may not have been synced here: were the backup brought in
    // step with this copy, it would lose that.
    let mut kept = topazyard_replication::Copy::default();
    let rows = kept.apply(Epoch(1), Sequence(1), Vec::new());
    let rows = rows.into_iter().filter_map(|row| Some((row.key, row.value?))).collect();
    let loaded = topazyard_wire::rows::LoadedRows::from([(Group::Shard(SHARD), rows)]);
    let mut storage = Storage::start(PRIMARY, loaded);
    storage.learn(&record(1));
    storage.run(200);
    let wishes = storage.sent.iter().any(|(_, message)| match message {
        Message::ShardChangeRequest(wish) => wish.change == ShardChange::HandOver,
        _ => false,
    });
    assert!(wishes, "its backup should lead");
    let compares = storage.sent.iter().any(|(_, message)| matches!(message, Message::Replica(_)));
    assert!(!compares, "its backup must keep what it holds");
}

#[test]
fn a_primary_that_has_just_started_waits_for_a_backup_that_may_be_starting_too() {
    let mut storage = Storage::start(PRIMARY, Default::default());
    storage.learn_of(ShardId::COUNTER, &record(1));
    let drops = |storage: &Storage| {
        storage.sent.iter().any(|(_, message)| match message {
            Message::ShardChangeRequest(wish) => {
                wish.change == ShardChange::DropBackups(vec![NodeId(BACKUP)])
            }
            _ => false,
        })
    };
    for _ in 0..11 {
        storage.run_with_control(100);
        assert!(!drops(&storage), "it may be heard soon");
    }
    storage.run_with_control(200);
    assert!(drops(&storage), "it is lost");
}

#[test]
fn a_backup_shows_its_last_batch_only_once_it_knows_that_its_primary_has_synced_it() {
    // The primary may hold it in memory alone. Were this disk lost while the primary loses its power,
    // nobody would have what was shown.
    for backups in 1..=2 {
        let mut storage = Storage::start(BACKUP, Default::default());
        storage.learn(&record(backups));
        storage.take_unconfirmed_batch();
        storage.ask_aside();
        storage.run(100);
        storage.hear_records(storage.asked(), 1);
        storage.hear_synced(OTHER_BACKUP, 1, 1);
        assert!(!storage.has_answered(), "the primary has not said so: {backups} backups");
        storage.hear_primary(ReplicaBody::Synced { round: 1 });
        assert!(!storage.has_answered(), "that was an earlier round");
        storage.hear_primary(ReplicaBody::Synced { round: 2 });
        storage.run(100);
        storage.hear_records(storage.asked(), 1);
        assert!(storage.has_answered(), "{backups} backups");
    }
}

#[test]
fn a_lost_word_of_the_primarys_sync_is_made_up_for_by_its_next_round() {
    // The word is sent once. Were it waited for, a backup would show nothing aside for ever.
    let mut storage = Storage::start(BACKUP, Default::default());
    storage.learn(&record(1));
    storage.take_unconfirmed_batch();
    storage.hear_primary(ReplicaBody::Append {
        round: 3,
        sequence: Sequence(1),
        changes: Vec::new(),
    });
    storage.ask_aside();
    storage.run(100);
    storage.hear_records(storage.asked(), 1);
    assert!(storage.has_answered(), "a round is begun once the one before is committed");
}

#[test]
fn a_word_of_sync_from_another_than_the_primary_or_of_another_epoch_shows_nothing() {
    for (from, epoch) in [(OTHER_BACKUP, 1), (PRIMARY, 0), (PRIMARY, 2)] {
        let mut storage = Storage::start(BACKUP, Default::default());
        storage.learn(&record(1));
        storage.take_unconfirmed_batch();
        let body = ReplicaBody::Synced { round: 2 };
        let message = ReplicaMessage { group: Group::Shard(SHARD), epoch: Epoch(epoch), body };
        storage.hear(from, Message::Replica(message));
        storage.ask_aside();
        storage.run(100);
        storage.hear_records(storage.asked(), 1);
        assert!(!storage.has_answered(), "from {from} in epoch {epoch}");
    }
}

#[test]
fn a_word_of_sync_that_comes_twice_or_late_puts_nothing_off_for_good() {
    let mut storage = backup_of(1);
    storage.hear_primary(ReplicaBody::Synced { round: 2 });
    storage.hear_primary(ReplicaBody::Synced { round: 1 });
    storage.ask_aside();
    storage.hear_primary(ReplicaBody::Synced { round: 2 });
    storage.run(100);
    storage.hear_records(storage.asked(), 1);
    assert!(storage.has_answered());
}
