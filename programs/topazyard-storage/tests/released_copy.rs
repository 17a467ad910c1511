//! A copy that was deleted and is created again: writes of the old copy that complete late do not
//! confirm anything of the new one.

mod storage_node;

use storage_node::{CONTROL, feed_update, last_feed_nonce, node, storage_node};
use topazyard_storage::{StorageCall, StorageMachine};
use topazyard_types::{DurationMs, Epoch, MonotonicMs, NodeId, Sequence, ShardId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::message::replica::{FollowerRole, ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Group, Input, Machine as _, WriteToken};

const SHARD: ShardId = ShardId(1);
const ME: u64 = 1;
const PRIMARY: u64 = 2;
const OTHER: u64 = 3;

/// A storage node whose writes complete when the test says so.
struct Storage {
    machine: StorageMachine,
    now: MonotonicMs,
    sent: Vec<Message>,
    unsynced: std::collections::VecDeque<WriteToken>,
}

impl Storage {
    fn new() -> Self {
        Self {
            machine: storage_node(ME),
            now: MonotonicMs(86_400_000),
            sent: Vec::new(),
            unsynced: Default::default(),
        }
    }

    fn step(&mut self, input: Input<StorageCall>) {
        for effect in self.machine.step(input, self.now) {
            match effect {
                Effect::Send { message, .. } => self.sent.push(message),
                Effect::Write { token, .. } if token.group == Group::Shard(SHARD) => {
                    self.unsynced.push_back(token);
                }
                Effect::Write { .. } | Effect::Log { .. } | Effect::Respond { .. } => {}
                Effect::StartTask(never) => match never {},
            }
        }
    }

    fn receive(&mut self, sender: u64, message: Message) {
        let (sender, from) = (NodeId(sender), node(sender).address);
        self.step(Input::Frame { sender, from, message });
    }

    /// Control publishes a record in which this node is a learner, or has no role.
    fn receive_record(&mut self, epoch: u64, learners: Vec<CoreNode>) {
        self.sent.clear();
        while last_feed_nonce(&self.sent).is_none() {
            self.now = self.now.plus(DurationMs(25));
            self.step(Input::Tick);
        }
        let record = ShardRecord {
            epoch: Epoch(epoch),
            copies: 2,
            primary: node(PRIMARY),
            backups: vec![node(OTHER)],
            fallbacks: Vec::new(),
            learners,
        };
        let nonce = last_feed_nonce(&self.sent).expect("no feed request was sent");
        self.receive(CONTROL, feed_update(nonce, SHARD, epoch, &record));
    }

    /// The primary compares digests, with a copy that is as empty as this one.
    fn receive_digests(&mut self, epoch: u64, round: u64) {
        let digests = topazyard_replication::Copy::default().digests().to_vec();
        let (sequence, of) = (Sequence(0), FollowerRole::Learner);
        let body = ReplicaBody::Digests { round, sequence, digests, of };
        let group = Group::Shard(SHARD);
        let message = ReplicaMessage { group, epoch: Epoch(epoch), body };
        self.receive(PRIMARY, Message::Replica(message));
    }

    fn confirms_in_sync(&self, round: u64) -> bool {
        self.sent.iter().any(|message| match message {
            Message::Replica(ReplicaMessage { body, .. }) => {
                matches!(body, ReplicaBody::InSync { round: confirmed, .. } if *confirmed == round)
            }
            _ => false,
        })
    }

    fn complete_one_write(&mut self) {
        let token = self.unsynced.pop_front().expect("no write is pending");
        self.step(Input::Written(token));
    }
}

#[test]
fn late_sync_of_a_deleted_copy_does_not_confirm_its_successor() {
    let mut storage = Storage::new();
    storage.receive_record(1, vec![node(ME)]);
    (1..=3).for_each(|round| storage.receive_digests(1, round));
    // The copy is deleted while its disk lags, and created again.
    storage.receive_record(2, Vec::new());
    storage.receive_record(3, vec![node(ME)]);
    storage.receive_digests(3, 100);
    assert_eq!(storage.unsynced.len(), 5, "three comparisons, a deletion, a comparison");
    for _ in 0..4 {
        storage.complete_one_write();
        assert!(!storage.confirms_in_sync(100), "its copy is not on disk yet");
    }
    storage.complete_one_write();
    assert!(storage.confirms_in_sync(100));
}
