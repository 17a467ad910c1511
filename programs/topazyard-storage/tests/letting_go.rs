//! A copy that was let go and is taken up again: what its disk still does for the old one counts for
//! nothing in the new one.

mod storage_node;

use storage_node::{CONTROL, asked, blank, news_of, node};
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

/// A storage node whose writes are synced when the test says so.
struct Storage {
    machine: StorageMachine,
    now: MonotonicMs,
    sent: Vec<Message>,
    unsynced: std::collections::VecDeque<WriteToken>,
}

impl Storage {
    fn new() -> Self {
        Self {
            machine: blank(ME),
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

    fn hear(&mut self, sender: u64, message: Message) {
        let (sender, from) = (NodeId(sender), node(sender).address);
        self.step(Input::Frame { sender, from, message });
    }

    /// Control tells of a record in which this node is a learner, or nothing.
    fn learn(&mut self, epoch: u64, learners: Vec<CoreNode>) {
        self.sent.clear();
        while asked(&self.sent).is_none() {
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
        let nonce = asked(&self.sent).expect("it asks the feed");
        self.hear(CONTROL, news_of(nonce, SHARD, epoch, &record));
    }

    /// The primary compares, with a copy that is as empty as this one.
    fn compare(&mut self, epoch: u64, round: u64) {
        let digests = topazyard_replication::Copy::default().digests().to_vec();
        let (sequence, of) = (Sequence(0), FollowerRole::Learner);
        let body = ReplicaBody::Digests { round, sequence, digests, of };
        let group = Group::Shard(SHARD);
        let message = ReplicaMessage { group, epoch: Epoch(epoch), body };
        self.hear(PRIMARY, Message::Replica(message));
    }

    fn says_in_step(&self, round: u64) -> bool {
        self.sent.iter().any(|message| match message {
            Message::Replica(ReplicaMessage { body, .. }) => {
                matches!(body, ReplicaBody::InSync { round: said, .. } if *said == round)
            }
            _ => false,
        })
    }

    fn sync_one(&mut self) {
        let token = self.unsynced.pop_front().expect("a write");
        self.step(Input::Written(token));
    }
}

#[test]
fn a_late_sync_for_a_copy_that_was_let_go_confirms_nothing_of_the_next_one() {
    let mut storage = Storage::new();
    storage.learn(1, vec![node(ME)]);
    (1..=3).for_each(|round| storage.compare(1, round));
    // It is let go while its disk lags, and taken up again.
    storage.learn(2, Vec::new());
    storage.learn(3, vec![node(ME)]);
    storage.compare(3, 100);
    assert_eq!(storage.unsynced.len(), 5, "three comparisons, a deletion, a comparison");
    for _ in 0..4 {
        storage.sync_one();
        assert!(!storage.says_in_step(100), "its copy is not on disk yet");
    }
    storage.sync_one();
    assert!(storage.says_in_step(100));
}
