//! A storage node with a full disk accepts no calls, reports it, and resumes once there is space.

mod storage_node;

use storage_node::{CONTROL, feed_update, last_feed_nonce, node, storage_node};
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

/// A storage node and what it sent and wrote; the test plays control and the backup.
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
            machine: storage_node(ME.0),
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

    fn receive(&mut self, sender: NodeId, message: Message) {
        self.step(Input::Frame { sender, from: node(sender.0).address, message });
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / 25 {
            self.now = self.now.plus(DurationMs(25));
            self.step(Input::Tick);
        }
    }

    /// Control makes the node the shard's primary, and the backup reports that it is in sync.
    fn become_primary(&mut self) {
        self.run(50);
        let record = ShardRecord {
            epoch: EPOCH,
            copies: 2,
            primary: node(ME.0),
            backups: vec![node(BACKUP.0)],
            fallbacks: Vec::new(),
            learners: Vec::new(),
        };
        let nonce = last_feed_nonce(&self.sent).expect("no feed request was sent");
        self.receive(NodeId(CONTROL), feed_update(nonce, SHARD, 1, &record));
        self.confirm();
        assert!(self.machine.is_serving(SHARD));
    }

    /// The backup confirms everything that it was sent.
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
            self.receive(BACKUP, Message::Replica(message));
        }
    }

    /// The health that the node last reported to control.
    fn reported_health(&self) -> Option<Health> {
        self.sent.iter().rev().find_map(|message| match message {
            Message::Feed(FeedMessage::Request { health, .. }) => Some(health.clone()),
            _ => None,
        })
    }

    /// A relay reads a batch; returns the response sent at once or after the backup's confirmation.
    fn read_batch(&mut self) -> Option<BatchResponse> {
        self.sent.clear();
        let call = BatchCall::Read(BatchId { shard: SHARD, number: 7 });
        let body = BatchBody::Call(call);
        let message = BatchMessage { shard: SHARD, epoch: EPOCH, call: 3, body };
        self.receive(NodeId(20), Message::Batch(message));
        let response = self.response();
        if response.is_some() {
            return response;
        }
        self.confirm();
        self.response()
    }

    fn response(&self) -> Option<BatchResponse> {
        self.sent.iter().find_map(|message| match message {
            Message::Batch(BatchMessage { body: BatchBody::Response(value), .. }) => {
                Some(value.clone())
            }
            _ => None,
        })
    }
}

#[test]
fn primary_with_full_disk_refuses_calls_until_it_recovers() {
    let mut node = Node::new();
    node.become_primary();
    assert_eq!(node.read_batch(), Some(BatchResponse::Unknown), "the batch does not exist");
    node.step(Input::Disk(DiskState::Full));
    assert_eq!(node.read_batch(), Some(BatchResponse::NotPrimary));
    node.step(Input::Disk(DiskState::Healthy));
    assert_eq!(node.read_batch(), Some(BatchResponse::Unknown), "the node serves again");
}

#[test]
fn full_disk_is_reported_to_control_health_and_log() {
    let mut node = Node::new();
    node.become_primary();
    node.step(Input::Disk(DiskState::Full));
    node.run(500);
    let Some(Health::Storage { disk, .. }) = node.reported_health() else {
        panic!("no health was reported")
    };
    assert_eq!(disk, DiskState::Full);
    node.step(Input::Call { call: CallId(1), request: StorageCall::Health });
    assert_eq!(node.health.take().map(|health| health.disk), Some(DiskState::Full));
    assert!(node.notes.iter().any(|note| note.contains("disk full")), "{:?}", node.notes);
    node.step(Input::Disk(DiskState::Healthy));
    node.run(50);
    assert!(node.notes.iter().any(|note| note.contains("disk healthy")), "{:?}", node.notes);
}

#[test]
fn backup_with_stalled_disk_confirms_nothing_and_bounds_its_writes() {
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
    let nonce = last_feed_nonce(&node.sent).expect("no feed request was sent");
    node.receive(NodeId(CONTROL), feed_update(nonce, SHARD, 1, &record));
    node.sent.clear();
    // Its primary compares digests repeatedly, as it does while nobody responds.
    for round in 1..=5_000 {
        let digests = vec![Digest::default(); topazyard_replication::copy::RANGE_COUNT];
        let of = topazyard_wire::message::replica::FollowerRole::Backup;
        let body = ReplicaBody::Digests { round, sequence: Sequence(0), digests, of };
        let message = ReplicaMessage { group: Group::Shard(SHARD), epoch: EPOCH, body };
        node.receive(BACKUP, Message::Replica(message));
    }
    assert!(node.unsynced.len() <= 200, "{} writes wait", node.unsynced.len());
    let is_confirmation = |message: &Message| {
        matches!(message, Message::Replica(ReplicaMessage { body: ReplicaBody::InSync { .. }, .. }))
    };
    assert!(!node.sent.iter().any(is_confirmation));
    for token in std::mem::take(&mut node.unsynced) {
        node.step(Input::Written(token));
    }
    assert!(node.sent.iter().any(is_confirmation), "in sync once all is synced");
}
