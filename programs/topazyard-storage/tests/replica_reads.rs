//! Replica reads while the control primary is silent: a copy answers only once a control backup has
//! confirmed its record after the read arrived, and every backup has synced what the copy holds.

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

/// A record with the primary and the given number of backups.
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

/// A storage node whose disk syncs at once, and what it sent last.
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

    fn receive(&mut self, from: u64, message: Message) {
        let (sender, from) = (NodeId(from), address(from));
        self.step(Input::Frame { sender, from, message });
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK.0 {
            self.now = self.now.plus(TICK);
            self.step(Input::Tick);
        }
    }

    /// Receives the control node's membership, and the record from the feed.
    fn receive_record(&mut self, record: &ShardRecord) {
        self.receive_record_of(SHARD, record);
    }

    fn receive_record_of(&mut self, shard: ShardId, record: &ShardRecord) {
        let member = member(CONTROL, MemberRole::Control);
        let incarnation = topazyard_types::Incarnation(0);
        let updates = vec![MemberUpdate { member, incarnation, status: MemberStatus::Alive }];
        self.receive(CONTROL, Message::Membership(MembershipMessage::MemberList { updates }));
        self.run(TICK.0);
        let feed_nonce = self.sent.iter().rev().find_map(|(_, message)| match message {
            Message::Feed(FeedMessage::Request { nonce, .. }) => Some(*nonce),
            _ => None,
        });
        let row = RowChange::put(topazyard_wire::state::shard_key(shard), record);
        let content =
            UpdateContent::Snapshot(vec![(row.key, row.value.expect("the row has a value"))]);
        let position = LogPosition { epoch: Epoch(1), sequence: Sequence(record.epoch.0) };
        let nonce = feed_nonce.expect("no feed request was sent");
        self.receive(CONTROL, Message::Feed(FeedMessage::Update { nonce, position, content }));
    }

    /// Lets time pass with a control node that answers each feed request.
    fn run_with_control(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK.0 {
            self.sent.clear();
            self.run(TICK.0);
            let request = self.sent.iter().find_map(|(_, message)| match message {
                Message::Feed(FeedMessage::Request { nonce, after, .. }) => Some((*nonce, *after)),
                _ => None,
            });
            if let Some((nonce, position)) = request {
                let content = UpdateContent::Changes(Vec::new());
                self.receive(
                    CONTROL,
                    Message::Feed(FeedMessage::Update { nonce, position, content }),
                );
            }
        }
    }

    fn receive_from_primary(&mut self, body: ReplicaBody) {
        let message = ReplicaMessage { group: Group::Shard(SHARD), epoch: Epoch(1), body };
        self.receive(PRIMARY, Message::Replica(message));
    }

    /// Is synchronized with an empty primary, then receives a batch that is not confirmed yet.
    fn receive_uncommitted_batch(&mut self) {
        let empty = topazyard_replication::Copy::default();
        let digests: Vec<Digest> = empty.digests().to_vec();
        self.receive_from_primary(ReplicaBody::Digests {
            round: 1,
            sequence: Sequence(0),
            digests,
            of: topazyard_wire::message::replica::FollowerRole::Backup,
        });
        let mut batches = topazyard_storage::batches::Batches::from_copy(
            SHARD,
            &empty,
            topazyard_types::BootId(3),
            self.now,
        );
        let changes = batches.submit(BATCH, &[]);
        self.receive_from_primary(ReplicaBody::Append { round: 2, sequence: Sequence(1), changes });
    }

    fn send_replica_read(&mut self) {
        let body = BatchBody::ReplicaRead(BatchCall::Read(BATCH));
        let message = BatchMessage { shard: SHARD, epoch: Epoch(1), call: 7, body };
        self.receive(RELAY, Message::Batch(message));
    }

    /// The nonce of the last query to control.
    fn last_query_nonce(&self) -> u64 {
        let query = self.sent.iter().rev().find_map(|(to, message)| match message {
            Message::Confirm(ConfirmMessage::RequestRecords { nonce }) => Some((*to, *nonce)),
            _ => None,
        });
        let (to, nonce) = query.expect("no query was sent");
        assert_eq!(to, address(CONTROL));
        nonce
    }

    fn receive_records(&mut self, nonce: u64, epoch: u64) {
        let epochs = vec![(SHARD, Epoch(epoch))];
        self.receive(CONTROL, Message::Confirm(ConfirmMessage::Records { nonce, epochs }));
    }

    fn receive_synced(&mut self, from: u64, epoch: u64, sequence: u64) {
        let (epoch, sequence) = (Epoch(epoch), Sequence(sequence));
        let synced = ConfirmMessage::Synced { shard: SHARD, epoch, sequence };
        self.receive(from, Message::Confirm(synced));
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
    storage.receive_record(&record(backups));
    storage.receive_uncommitted_batch();
    storage.receive_from_primary(ReplicaBody::Synced { round: 2 });
    storage
}

#[test]
fn read_is_answered_once_a_control_backup_confirms_the_record() {
    let mut storage = backup_of(1);
    storage.send_replica_read();
    storage.run(100);
    assert!(!storage.has_answered(), "the record is not confirmed yet");
    storage.receive_records(storage.last_query_nonce(), 1);
    assert!(storage.has_answered());
}

#[test]
fn confirmation_requested_before_the_read_does_not_count() {
    let mut storage = backup_of(1);
    storage.send_replica_read();
    storage.run(100);
    let nonce = storage.last_query_nonce();
    storage.receive_records(nonce, 1);
    storage.sent.clear();
    storage.run(100);
    storage.send_replica_read();
    storage.receive_records(nonce, 1);
    assert!(!storage.has_answered(), "the record may have changed in between");
    storage.run(100);
    storage.receive_records(storage.last_query_nonce(), 1);
    assert!(storage.has_answered());
}

#[test]
fn copy_of_an_older_record_answers_no_read() {
    let mut storage = backup_of(1);
    storage.send_replica_read();
    storage.run(100);
    storage.receive_records(storage.last_query_nonce(), 2);
    assert!(!storage.has_answered());
}

#[test]
fn backup_serves_its_last_batch_once_the_other_backup_has_synced_it() {
    let mut storage = backup_of(2);
    storage.send_replica_read();
    storage.run(100);
    storage.receive_records(storage.last_query_nonce(), 1);
    assert!(!storage.has_answered(), "the batch may be on this copy alone");
    storage.receive_synced(OTHER_BACKUP, 1, 0);
    storage.receive_synced(OTHER_BACKUP, 2, 1);
    storage.receive_synced(RELAY, 1, 1);
    assert!(!storage.has_answered(), "the other backup has not reported its sync");
    storage.receive_synced(OTHER_BACKUP, 1, 1);
    assert!(storage.has_answered());
}

#[test]
fn backup_reports_synced_changes_of_the_requested_epoch() {
    let mut storage = backup_of(2);
    let query = |epoch, sequence| {
        let (epoch, sequence) = (Epoch(epoch), Sequence(sequence));
        Message::Confirm(ConfirmMessage::CheckSynced { shard: SHARD, epoch, sequence })
    };
    storage.receive(OTHER_BACKUP, query(1, 2));
    storage.receive(OTHER_BACKUP, query(2, 1));
    let synced_reports = |storage: &Storage| {
        let is_synced_report = |(_, message): &&(_, Message)| {
            matches!(message, Message::Confirm(ConfirmMessage::Synced { .. }))
        };
        storage.sent.iter().filter(is_synced_report).count()
    };
    assert_eq!(synced_reports(&storage), 0);
    storage.receive(OTHER_BACKUP, query(1, 1));
    assert_eq!(synced_reports(&storage), 1);
}

#[test]
fn restarted_primary_hands_over_without_synchronizing_its_backups() {
    // What its backup has served in the meantime may not have been synced here: synchronizing the
    // backup with this copy would lose it.
    let mut stored = topazyard_replication::Copy::default();
    let rows = stored.apply(Epoch(1), Sequence(1), Vec::new());
    let rows = rows.into_iter().filter_map(|row| Some((row.key, row.value?))).collect();
    let loaded = topazyard_wire::rows::LoadedRows::from([(Group::Shard(SHARD), rows)]);
    let mut storage = Storage::start(PRIMARY, loaded);
    storage.receive_record(&record(1));
    storage.run(200);
    let requests_handover = storage.sent.iter().any(|(_, message)| match message {
        Message::ShardChangeRequest(request) => request.change == ShardChange::HandOver,
        _ => false,
    });
    assert!(requests_handover, "its backup should become primary");
    let sends_replica_messages =
        storage.sent.iter().any(|(_, message)| matches!(message, Message::Replica(_)));
    assert!(!sends_replica_messages, "its backup must keep what it holds");
}

#[test]
fn starting_primary_waits_longer_for_a_silent_backup() {
    let mut storage = Storage::start(PRIMARY, Default::default());
    storage.receive_record_of(ShardId::COUNTER, &record(1));
    let drops = |storage: &Storage| {
        storage.sent.iter().any(|(_, message)| match message {
            Message::ShardChangeRequest(request) => {
                request.change == ShardChange::DropBackups(vec![NodeId(BACKUP)])
            }
            _ => false,
        })
    };
    for _ in 0..11 {
        storage.run_with_control(100);
        assert!(!drops(&storage), "the backup may still be starting");
    }
    storage.run_with_control(200);
    assert!(drops(&storage), "the backup is lost");
}

#[test]
fn backup_serves_its_last_batch_once_the_primary_has_synced_it() {
    // The primary may hold it only in memory. If this disk were lost and the primary lost power,
    // nobody would have what was served.
    for backups in 1..=2 {
        let mut storage = Storage::start(BACKUP, Default::default());
        storage.receive_record(&record(backups));
        storage.receive_uncommitted_batch();
        storage.send_replica_read();
        storage.run(100);
        storage.receive_records(storage.last_query_nonce(), 1);
        storage.receive_synced(OTHER_BACKUP, 1, 1);
        assert!(
            !storage.has_answered(),
            "the primary has not reported its sync: {backups} backups"
        );
        storage.receive_from_primary(ReplicaBody::Synced { round: 1 });
        assert!(!storage.has_answered(), "the report is of an earlier round");
        storage.receive_from_primary(ReplicaBody::Synced { round: 2 });
        storage.run(100);
        storage.receive_records(storage.last_query_nonce(), 1);
        assert!(storage.has_answered(), "{backups} backups");
    }
}

#[test]
fn next_round_replaces_a_lost_sync_report_of_the_primary() {
    // The report is sent once. If it were required, a backup that missed it would never answer
    // replica reads again.
    let mut storage = Storage::start(BACKUP, Default::default());
    storage.receive_record(&record(1));
    storage.receive_uncommitted_batch();
    storage.receive_from_primary(ReplicaBody::Append {
        round: 3,
        sequence: Sequence(1),
        changes: Vec::new(),
    });
    storage.send_replica_read();
    storage.run(100);
    storage.receive_records(storage.last_query_nonce(), 1);
    assert!(storage.has_answered(), "a round is begun once the one before is committed");
}

#[test]
fn sync_report_of_another_sender_or_epoch_is_ignored() {
    for (from, epoch) in [(OTHER_BACKUP, 1), (PRIMARY, 0), (PRIMARY, 2)] {
        let mut storage = Storage::start(BACKUP, Default::default());
        storage.receive_record(&record(1));
        storage.receive_uncommitted_batch();
        let body = ReplicaBody::Synced { round: 2 };
        let message = ReplicaMessage { group: Group::Shard(SHARD), epoch: Epoch(epoch), body };
        storage.receive(from, Message::Replica(message));
        storage.send_replica_read();
        storage.run(100);
        storage.receive_records(storage.last_query_nonce(), 1);
        assert!(!storage.has_answered(), "from {from} in epoch {epoch}");
    }
}

#[test]
fn repeated_or_late_sync_report_delays_no_read() {
    let mut storage = backup_of(1);
    storage.receive_from_primary(ReplicaBody::Synced { round: 2 });
    storage.receive_from_primary(ReplicaBody::Synced { round: 1 });
    storage.send_replica_read();
    storage.receive_from_primary(ReplicaBody::Synced { round: 2 });
    storage.run(100);
    storage.receive_records(storage.last_query_nonce(), 1);
    assert!(storage.has_answered());
}
