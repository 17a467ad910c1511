//! Callers that a shard's primary refused are told once it serves.

mod storage_node;

use storage_node::{CONTROL, feed_update, last_feed_nonce, node, storage_node};
use topazyard_storage::StorageMachine;
use topazyard_types::{BatchId, DurationMs, Epoch, MonotonicMs, NodeId, ShardId};
use topazyard_wire::message::Message;
use topazyard_wire::message::batch::{BatchBody, BatchCall, BatchMessage, BatchResponse};
use topazyard_wire::message::control::ShardRecord;
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Group, Input, Machine as _};

const SHARD: ShardId = ShardId(1);
const ME: u64 = 1;
const BACKUP: u64 = 2;
const RELAY: u64 = 20;

/// A storage node whose writes complete at once, with all that it sent and to whom.
struct Primary {
    machine: StorageMachine,
    now: MonotonicMs,
    sent: Vec<(std::net::SocketAddr, Message)>,
}

impl Primary {
    /// A primary whose backup is not in sync yet.
    fn comparing() -> Self {
        let now = MonotonicMs(86_400_000);
        let mut primary = Self { machine: storage_node(ME), now, sent: Vec::new() };
        let nonce = loop {
            primary.run_for(25);
            let sent: Vec<Message> = primary.sent.iter().map(|(_, sent)| sent.clone()).collect();
            if let Some(nonce) = last_feed_nonce(&sent) {
                break nonce;
            }
        };
        let record = ShardRecord {
            epoch: Epoch(1),
            copies: 2,
            primary: node(ME),
            backups: vec![node(BACKUP)],
            fallbacks: Vec::new(),
            learners: Vec::new(),
        };
        primary.receive(CONTROL, feed_update(nonce, SHARD, 1, &record));
        primary
    }

    fn step(&mut self, input: Input<topazyard_storage::StorageCall>) {
        let mut inputs = std::collections::VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.machine.step(input, self.now) {
                match effect {
                    Effect::Send { to, message } => self.sent.push((to, message)),
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

    fn receive(&mut self, sender: u64, message: Message) {
        let from = node(sender).address;
        self.step(Input::Frame { sender: NodeId(sender), from, message });
    }

    fn check_serving(&mut self) {
        let body = BatchBody::CheckServing;
        let message = BatchMessage { shard: SHARD, epoch: Epoch(1), call: 0, body };
        self.receive(RELAY, Message::Batch(message));
    }

    /// The backup reports that it is in sync with the last comparison.
    fn backup_in_sync(&mut self) {
        let comparison = self.sent.iter().rev().find_map(|(_, message)| match message {
            Message::Replica(ReplicaMessage {
                body: ReplicaBody::Digests { round, sequence, .. },
                ..
            }) => Some((*round, *sequence)),
            _ => None,
        });
        let (round, sequence) = comparison.expect("a comparison");
        let body = ReplicaBody::InSync { round, sequence };
        let message = ReplicaMessage { group: Group::Shard(SHARD), epoch: Epoch(1), body };
        self.receive(BACKUP, Message::Replica(message));
        assert!(self.machine.is_serving(SHARD));
    }

    /// What the relay was sent about the shard, oldest first.
    fn sent_to_relay(&self) -> Vec<&BatchBody> {
        let to_relay = self.sent.iter().filter(|(to, _)| *to == node(RELAY).address);
        let bodies = to_relay.filter_map(|(_, message)| match message {
            Message::Batch(message) => Some(&message.body),
            _ => None,
        });
        bodies.collect()
    }
}

fn serving() -> BatchBody {
    BatchBody::Serving { pending_calls: Vec::new() }
}

// Guards against callers that learn only by their retries that a shard serves again.
#[test]
fn refused_caller_is_told_once_the_shard_serves() {
    let mut primary = Primary::comparing();
    primary.check_serving();
    let refused = BatchBody::Response(BatchResponse::NotPrimary);
    assert_eq!(primary.sent_to_relay(), [&refused]);
    primary.backup_in_sync();
    assert_eq!(primary.sent_to_relay(), [&refused, &serving()]);
    primary.run_for(1_000);
    assert_eq!(primary.sent_to_relay().len(), 2, "it is told once");
}

#[test]
fn serving_primary_answers_a_check_at_once() {
    let mut primary = Primary::comparing();
    primary.backup_in_sync();
    primary.check_serving();
    assert_eq!(primary.sent_to_relay(), [&serving()]);
}

// Guards against a body that is sent again although its shard has it and only waits for a commit.
#[test]
fn check_names_the_calls_that_wait_for_a_commit() {
    let mut primary = Primary::comparing();
    primary.backup_in_sync();
    let call = BatchCall::Read(BatchId { shard: SHARD, number: 7 });
    let body = BatchBody::Call(call);
    let message = BatchMessage { shard: SHARD, epoch: Epoch(1), call: 3, body };
    primary.receive(RELAY, Message::Batch(message));
    primary.check_serving();
    assert_eq!(primary.sent_to_relay(), [&BatchBody::Serving { pending_calls: vec![3] }]);
}
