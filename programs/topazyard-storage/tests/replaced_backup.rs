//! A backup whose machine came back with a blank disk, at the same address under a new node id.

mod storage_node;

use storage_node::{CONTROL, feed_update, last_feed_nonce, node, storage_node};
use topazyard_storage::{StorageCall, StorageMachine};
use topazyard_types::{DurationMs, Epoch, MonotonicMs, NodeId, Sequence, ShardId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{ShardChange, ShardChangeRequest, ShardRecord};
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Group, Input, Machine as _};

const SHARD: ShardId = ShardId(1);
const ME: u64 = 1;
const BACKUP: u64 = 2;
const REPLACEMENT: u64 = 77;

/// A storage node whose writes complete at once.
struct Storage {
    machine: StorageMachine,
    now: MonotonicMs,
    sent: Vec<Message>,
}

impl Storage {
    /// A node that has received a record with this primary and the backup.
    fn with_primary(primary: u64) -> Self {
        let mut storage =
            Self { machine: storage_node(ME), now: MonotonicMs(86_400_000), sent: Vec::new() };
        storage.receive_record(primary);
        storage.run_for(50);
        storage
    }

    fn step(&mut self, input: Input<StorageCall>) {
        let mut inputs = std::collections::VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.machine.step(input, self.now) {
                match effect {
                    Effect::Send { message, .. } => self.sent.push(message),
                    Effect::Write { token, .. } => inputs.push_back(Input::Written(token)),
                    Effect::Log { .. } | Effect::Respond { .. } => {}
                    Effect::StartTask(never) => match never {},
                }
            }
        }
    }

    fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / 25 {
            self.now = self.now.plus(DurationMs(25));
            self.step(Input::Tick);
        }
    }

    fn receive(&mut self, sender: u64, from: u64, message: Message) {
        let (sender, from) = (NodeId(sender), node(from).address);
        self.step(Input::Frame { sender, from, message });
    }

    fn receive_record(&mut self, primary: u64) {
        while last_feed_nonce(&self.sent).is_none() {
            self.run_for(25);
        }
        let nonce = last_feed_nonce(&self.sent).expect("no feed request was sent");
        let record = ShardRecord {
            epoch: Epoch(1),
            copies: 2,
            primary: node(primary),
            backups: vec![node(BACKUP)],
            fallbacks: Vec::new(),
            learners: Vec::new(),
        };
        self.receive(CONTROL, CONTROL, feed_update(nonce, SHARD, 1, &record));
    }

    fn receive_not_held(&mut self, sender: u64, from: u64, epoch: u64) {
        let body = ReplicaBody::NotHeld;
        let message = ReplicaMessage { group: Group::Shard(SHARD), epoch: Epoch(epoch), body };
        self.receive(sender, from, Message::Replica(message));
        self.run_for(25);
    }

    fn change_requests(&self) -> Vec<&ShardChangeRequest> {
        self.sent
            .iter()
            .filter_map(|message| match message {
                Message::ShardChangeRequest(request) => Some(request),
                _ => None,
            })
            .collect()
    }

    fn reported_not_held(&self) -> bool {
        self.sent
            .iter()
            .any(|message| matches!(message, Message::Replica(m) if m.body == ReplicaBody::NotHeld))
    }
}

// Guards against waiting for the backup timeout in each shard of which the lost node held a backup.
#[test]
fn backup_is_dropped_when_another_id_responds_from_its_address() {
    let mut storage = Storage::with_primary(ME);
    storage.receive_not_held(REPLACEMENT, BACKUP, 1);
    let request = ShardChangeRequest {
        shard: SHARD,
        epoch: Epoch(1),
        change: ShardChange::DropBackups(vec![NodeId(BACKUP)]),
    };
    assert_eq!(storage.change_requests().first(), Some(&&request));
}

#[test]
fn backup_stays_on_reports_for_other_addresses_epochs_or_its_own_id() {
    for (sender, from, epoch) in
        [(REPLACEMENT, 55, 1), (REPLACEMENT, BACKUP, 2), (BACKUP, BACKUP, 1)]
    {
        let mut storage = Storage::with_primary(ME);
        storage.receive_not_held(sender, from, epoch);
        assert!(storage.change_requests().is_empty(), "{sender} from {from} in epoch {epoch}");
    }
}

#[test]
fn only_the_primary_drops_a_replaced_backup() {
    let mut storage = Storage::with_primary(55);
    storage.receive_not_held(REPLACEMENT, BACKUP, 1);
    assert!(storage.change_requests().is_empty());
}

#[test]
fn node_without_a_copy_reports_it_to_the_primary() {
    let mut storage = Storage::with_primary(55);
    let reports_not_held = |storage: &mut Storage, shard, body| {
        storage.sent.clear();
        let message = ReplicaMessage { group: Group::Shard(shard), epoch: Epoch(1), body };
        storage.receive(55, 55, Message::Replica(message));
        storage.reported_not_held()
    };
    let append = |round| ReplicaBody::Append { round, sequence: Sequence(4), changes: Vec::new() };
    assert!(reports_not_held(&mut storage, ShardId(2), append(1)));
    assert!(!reports_not_held(
        &mut storage,
        ShardId(2),
        ReplicaBody::Differ { round: 1, ranges: Vec::new() }
    ));
    // Such a report is never answered with one, or two nodes would exchange them without end.
    assert!(!reports_not_held(&mut storage, ShardId(2), ReplicaBody::NotHeld));
}
