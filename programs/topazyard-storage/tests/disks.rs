//! A storage node whose disk is full takes no more work, says so, and goes on once there is room.

mod storage_node;

use storage_node::{CONTROL, asked, blank, news_of, node};
use topazyard_storage::{StorageCall, StorageHealth, StorageMachine};
use topazyard_types::{BatchId, CallId, Digest, DurationMs, Epoch, MonotonicMs, NodeId};
use topazyard_types::{Sequence, ShardId};
use topazyard_wire::disk::DiskState;
use topazyard_wire::message::Message;
use topazyard_wire::message::batch::{BatchBody, BatchCall, BatchMessage, BatchResponse};
use topazyard_wire::message::control::ShardRecord;
use topazyard_wire::message::feed::{FeedMessage, Health};
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Group, Input, Machine as _, WriteToken};

const SHARD: ShardId = ShardId(1);
const ME: NodeId = NodeId(1);
const BACKUP: NodeId = NodeId(2);
const EPOCH: Epoch = Epoch(1);

/// A storage node with what it said and wrote; control and the backup are played by the test.
struct Node {
    machine: StorageMachine,
    now: MonotonicMs,
    sent: Vec<Message>,
    notes: Vec<String>,
    unsynced: Vec<WriteToken>,
    health: Option<StorageHealth>,
}

impl Node {
    fn new() -> Self {
        Self {
            machine: blank(ME.0),
            now: MonotonicMs(86_400_000),
            sent: Vec::new(),
            notes: Vec::new(),
            unsynced: Vec::new(),
            health: None,
        }
    }

    fn step(&mut self, input: Input<StorageCall>) {
        for effect in self.machine.step(input, self.now) {
            match effect {
                Effect::Send { message, .. } => self.sent.push(message),
                Effect::Write { token, .. } => self.unsynced.push(token),
                Effect::Log { text, .. } => self.notes.push(text),
                Effect::Respond { value, .. } => self.health = Some(value),
                Effect::StartTask(never) => match never {},
            }
        }
    }

    fn hear(&mut self, sender: NodeId, message: Message) {
        self.step(Input::Frame { sender, from: node(sender.0).address, message });
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / 25 {
            self.now = self.now.plus(DurationMs(25));
            self.step(Input::Tick);
        }
    }

    /// Control tells the node that it leads the shard, and the backup that it is in step.
    fn lead(&mut self) {
        self.run(50);
        let record = ShardRecord {
            epoch: EPOCH,
            copies: 2,
            primary: node(ME.0),
            backups: vec![node(BACKUP.0)],
            fallbacks: Vec::new(),
            learners: Vec::new(),
        };
        let nonce = asked(&self.sent).expect("it asks control");
        self.hear(NodeId(CONTROL), news_of(nonce, SHARD, 1, &record));
        self.confirm();
        assert!(self.machine.is_serving(SHARD));
    }

    /// The backup confirms all that it was sent.
    fn confirm(&mut self) {
        for message in std::mem::take(&mut self.sent) {
            let Message::Replica(ReplicaMessage { body, .. }) = message else { continue };
            let body = match body {
                ReplicaBody::Digests { round, sequence, .. } => {
                    ReplicaBody::InSync { round, sequence }
                }
                ReplicaBody::Append { round, .. } => ReplicaBody::Appended { round },
                _ => continue,
            };
            let message = ReplicaMessage { group: Group::Shard(SHARD), epoch: EPOCH, body };
            self.hear(BACKUP, Message::Replica(message));
        }
    }

    /// How it told control last that it fares.
    fn told_health(&self) -> Option<Health> {
        self.sent.iter().rev().find_map(|message| match message {
            Message::Feed(FeedMessage::Request { health, .. }) => Some(health.clone()),
            _ => None,
        })
    }

    /// A relay asks about a batch; gives what it is told at once or once the backup confirmed.
    fn ask_batch(&mut self) -> Option<BatchResponse> {
        self.sent.clear();
        let call = BatchCall::Read(BatchId { shard: SHARD, number: 7 });
        let body = BatchBody::Call(call);
        let message = BatchMessage { shard: SHARD, epoch: EPOCH, call: 3, body };
        self.hear(NodeId(20), Message::Batch(message));
        let returned = self.returned();
        if returned.is_some() {
            return returned;
        }
        self.confirm();
        self.returned()
    }

    fn returned(&self) -> Option<BatchResponse> {
        self.sent.iter().find_map(|message| match message {
            Message::Batch(BatchMessage { body: BatchBody::Response(value), .. }) => {
                Some(value.clone())
            }
            _ => None,
        })
    }
}

#[test]
fn a_primary_without_room_takes_no_calls_until_there_is_some() {
    let mut node = Node::new();
    node.lead();
    assert_eq!(node.ask_batch(), Some(BatchResponse::Unknown), "there is no such batch");
    node.step(Input::Disk(DiskState::Full));
    assert_eq!(node.ask_batch(), Some(BatchResponse::NotPrimary));
    node.step(Input::Disk(DiskState::Healthy));
    assert_eq!(node.ask_batch(), Some(BatchResponse::Unknown), "it goes on as before");
}

#[test]
fn a_node_without_room_says_so_to_control_to_operators_and_in_its_log() {
    let mut node = Node::new();
    node.lead();
    node.step(Input::Disk(DiskState::Full));
    node.run(500);
    let Some(Health::Storage { disk, .. }) = node.told_health() else { panic!("no word") };
    assert_eq!(disk, DiskState::Full);
    node.step(Input::Call { call: CallId(1), request: StorageCall::Health });
    assert_eq!(node.health.take().map(|health| health.disk), Some(DiskState::Full));
    assert!(node.notes.iter().any(|note| note.contains("disk full")), "{:?}", node.notes);
    node.step(Input::Disk(DiskState::Healthy));
    node.run(50);
    assert!(node.notes.iter().any(|note| note.contains("disk healthy")), "{:?}", node.notes);
}

#[test]
fn a_backup_that_syncs_nothing_confirms_nothing_and_piles_nothing_up() {
    let mut node = Node::new();
    node.run(50);
    let record = ShardRecord {
        epoch: EPOCH,
        copies: 2,
        primary: storage_node::node(BACKUP.0),
        backups: vec![storage_node::node(ME.0)],
        fallbacks: Vec::new(),
        learners: Vec::new(),
    };
    let nonce = asked(&node.sent).expect("it asks control");
    node.hear(NodeId(CONTROL), news_of(nonce, SHARD, 1, &record));
    node.sent.clear();
    // Its primary compares again and again, as it does while nobody answers.
    for round in 1..=5_000 {
        let digests = vec![Digest::default(); topazyard_replication::copy::RANGE_COUNT];
        let of = topazyard_wire::message::replica::FollowerRole::Backup;
        let body = ReplicaBody::Digests { round, sequence: Sequence(0), digests, of };
        let message = ReplicaMessage { group: Group::Shard(SHARD), epoch: EPOCH, body };
        node.hear(BACKUP, Message::Replica(message));
    }
    assert!(node.unsynced.len() <= 200, "{} writes wait", node.unsynced.len());
    let confirms = |message: &Message| {
        matches!(message, Message::Replica(ReplicaMessage { body: ReplicaBody::InSync { .. }, .. }))
    };
    assert!(!node.sent.iter().any(confirms));
    for token in std::mem::take(&mut node.unsynced) {
        node.step(Input::Written(token));
    }
    assert!(node.sent.iter().any(confirms), "in step once all is synced");
}
