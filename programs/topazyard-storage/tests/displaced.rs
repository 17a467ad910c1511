//! A backup whose machine came back with a blank disk, under another id at the same address.

mod storage_node;

use storage_node::{CONTROL, asked, blank, news_of, node};
use topazyard_storage::{StorageCall, StorageMachine};
use topazyard_types::{DurationMs, Epoch, MonotonicMs, NodeId, Sequence, ShardId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{ShardChange, ShardChangeRequest, ShardRecord};
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Group, Input, Machine as _};

const SHARD: ShardId = ShardId(1);
const ME: u64 = 1;
const BACKUP: u64 = 2;
const BLANK: u64 = 77;

/// A storage node whose writes are synced at once.
struct Storage {
    machine: StorageMachine,
    now: MonotonicMs,
    sent: Vec<Message>,
}

impl Storage {
    /// One that control has told of a record with this primary, and of its backup.
    fn told_of(primary: u64) -> Self {
        let mut storage =
            Self { machine: blank(ME), now: MonotonicMs(86_400_000), sent: Vec::new() };
        storage.hear_record(primary);
        storage.pass(50);
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

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 25 {
            self.now = self.now.plus(DurationMs(25));
            self.step(Input::Tick);
        }
    }

    fn hear(&mut self, sender: u64, from: u64, message: Message) {
        let (sender, from) = (NodeId(sender), node(from).address);
        self.step(Input::Frame { sender, from, message });
    }

    fn hear_record(&mut self, primary: u64) {
        while asked(&self.sent).is_none() {
            self.pass(25);
        }
        let nonce = asked(&self.sent).expect("it asks the feed");
        let record = ShardRecord {
            epoch: Epoch(1),
            copies: 2,
            primary: node(primary),
            backups: vec![node(BACKUP)],
            fallbacks: Vec::new(),
            learners: Vec::new(),
        };
        self.hear(CONTROL, CONTROL, news_of(nonce, SHARD, 1, &record));
    }

    fn hear_not_held(&mut self, sender: u64, from: u64, epoch: u64) {
        let body = ReplicaBody::NotHeld;
        let message = ReplicaMessage { group: Group::Shard(SHARD), epoch: Epoch(epoch), body };
        self.hear(sender, from, Message::Replica(message));
        self.pass(25);
    }

    fn wishes(&self) -> Vec<&ShardChangeRequest> {
        self.sent
            .iter()
            .filter_map(|message| match message {
                Message::ShardChangeRequest(wish) => Some(wish),
                _ => None,
            })
            .collect()
    }

    fn says_not_held(&self) -> bool {
        self.sent
            .iter()
            .any(|message| matches!(message, Message::Replica(m) if m.body == ReplicaBody::NotHeld))
    }
}

// Else each shard of which it held a backup waits until the blank one's silence is long enough.
#[test]
fn a_backup_whose_address_another_id_answers_from_is_let_go_at_once() {
    let mut storage = Storage::told_of(ME);
    storage.hear_not_held(BLANK, BACKUP, 1);
    let wish = ShardChangeRequest {
        shard: SHARD,
        epoch: Epoch(1),
        change: ShardChange::DropBackups(vec![NodeId(BACKUP)]),
    };
    assert_eq!(storage.wishes().first(), Some(&&wish));
}

#[test]
fn nobody_is_let_go_for_another_address_another_epoch_or_its_own_word() {
    for (sender, from, epoch) in [(BLANK, 55, 1), (BLANK, BACKUP, 2), (BACKUP, BACKUP, 1)] {
        let mut storage = Storage::told_of(ME);
        storage.hear_not_held(sender, from, epoch);
        assert!(storage.wishes().is_empty(), "{sender} from {from} in epoch {epoch}");
    }
}

#[test]
fn only_the_primary_lets_a_backup_go() {
    let mut storage = Storage::told_of(55);
    storage.hear_not_held(BLANK, BACKUP, 1);
    assert!(storage.wishes().is_empty());
}

#[test]
fn who_holds_no_copy_says_so_to_a_primary_that_takes_it_for_a_backup() {
    let mut storage = Storage::told_of(55);
    let said = |storage: &mut Storage, shard, body| {
        storage.sent.clear();
        let message = ReplicaMessage { group: Group::Shard(shard), epoch: Epoch(1), body };
        storage.hear(55, 55, Message::Replica(message));
        storage.says_not_held()
    };
    let append = |round| ReplicaBody::Append { round, sequence: Sequence(4), changes: Vec::new() };
    assert!(said(&mut storage, ShardId(2), append(1)));
    assert!(!said(&mut storage, ShardId(2), ReplicaBody::Differ { round: 1, ranges: Vec::new() }));
    // It never answers such a word with one: two nodes would go on for ever.
    assert!(!said(&mut storage, ShardId(2), ReplicaBody::NotHeld));
}
