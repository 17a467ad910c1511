//! A storage node's machine and the updates of control, shared by several tests.

use topazyard_storage::StorageMachine;
use topazyard_types::{Epoch, LogPosition, NodeId, Sequence, ShardId};
use topazyard_wire::driver::DiskStart;
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::message::feed::{FeedMessage, UpdateContent};
use topazyard_wire::message::membership::{Member, MemberRole};

/// The control node that publishes the records.
pub const CONTROL: u64 = 9;

/// A node with an address of its own.
pub fn node(id: u64) -> CoreNode {
    CoreNode { id: NodeId(id), address: ([127, 0, 0, 1], id as u16).into() }
}

/// A storage node that starts with an empty disk.
pub fn storage_node(id: u64) -> StorageMachine {
    let member = Member {
        id: NodeId(id),
        name: None,
        address: node(id).address,
        http: None,
        role: MemberRole::Storage,
        zone: "north".into(),
    };
    StorageMachine::new(DiskStart {
        member,
        seeds: vec![node(CONTROL).address],
        random_seed: 5 << 40,
        loaded: Default::default(),
        bounds: Default::default(),
        resources: Default::default(),
        may_bootstrap: false,
    })
}

/// The nonce of the last feed request.
pub fn last_feed_nonce(sent: &[Message]) -> Option<u64> {
    sent.iter().rev().find_map(|message| match message {
        Message::Feed(FeedMessage::Request { nonce, .. }) => Some(*nonce),
        _ => None,
    })
}

/// Control's response to a feed request: a snapshot with only this record.
pub fn feed_update(nonce: u64, shard: ShardId, sequence: u64, record: &ShardRecord) -> Message {
    let key = topazyard_wire::state::shard_key(shard);
    let content = UpdateContent::Snapshot(vec![(key, topazyard_wire::rows::encode(record))]);
    let position = LogPosition { epoch: Epoch(1), sequence: Sequence(sequence) };
    Message::Feed(FeedMessage::Update { nonce, position, content })
}
