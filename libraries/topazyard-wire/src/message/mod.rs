//! The messages between the processes of a fleet.

pub mod batch;
pub mod confirm;
pub mod control;
pub mod counter;
pub mod feed;
pub mod membership;
pub mod operate;
pub mod replica;

use topazyard_types::{FleetId, NodeId};

/// The version of the frame format. Frames of any other version are rejected.
pub const FRAME_VERSION: u16 = 10;

/// The maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A message with the header that every message has.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Frame {
    /// The version of the frame format.
    pub version: u16,
    /// The fleet of the sender.
    pub fleet: FleetId,
    /// The sender.
    pub sender: NodeId,
    /// The address at which the sender receives frames.
    pub address: std::net::SocketAddr,
    /// The message.
    pub message: Message,
}

/// A message of one of the protocols.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Membership and failure detection.
    Membership(membership::MembershipMessage),
    /// Epochs of the control group.
    Core(control::CoreMessage),
    /// Replication between a primary, its backups and its learners.
    Replica(replica::ReplicaMessage),
    /// The feed of the control state.
    Feed(feed::FeedMessage),
    /// A request by a shard's primary to change the shard's record.
    ShardChangeRequest(control::ShardChangeRequest),
    /// An operator's request, forwarded between control nodes.
    Operate(operate::OperatorMessage),
    /// Holds on the token budget.
    Counter(counter::CounterMessage),
    /// Batches.
    Batch(batch::BatchMessage),
    /// The record of a shard, forwarded to a holder that doesn't know it yet.
    ShardRecord(topazyard_types::ShardId, control::ShardRecord),
    /// Confirmation of a copy for reads while primaries are unreachable.
    Confirm(confirm::ConfirmMessage),
}

/// Why a frame was rejected.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum FrameError {
    /// malformed frame
    Malformed,
    /// the frame has version {0}
    Version(u16),
    /// the frame belongs to fleet {0}
    Fleet(FleetId),
}

impl std::error::Error for FrameError {}

impl Frame {
    /// Encodes the frame.
    ///
    /// ```
    /// use topazyard_wire::message::{membership::MembershipMessage, Frame, Message, FRAME_VERSION};
    /// use topazyard_types::{FleetId, NodeId};
    /// let frame = Frame {
    ///     version: FRAME_VERSION, fleet: FleetId(7), sender: NodeId(1),
    ///     address: "127.0.0.1:9000".parse().unwrap(),
    ///     message: Message::Membership(MembershipMessage::Probe { nonce: 1, updates: vec![] }),
    /// };
    /// assert_eq!(Frame::decode(&frame.encode(), FleetId(7)), Ok(frame.clone()));
    /// assert!(Frame::decode(&frame.encode(), FleetId(8)).is_err());
    /// ```
    pub fn encode(&self) -> bytes::Bytes {
        crate::rows::encode(self)
    }

    /// Decodes a frame of this version and fleet.
    ///
    /// # Errors
    /// The bytes are not a frame, or the frame has another version or fleet.
    pub fn decode(bytes: &[u8], fleet: FleetId) -> Result<Self, FrameError> {
        let (version, _) =
            postcard::take_from_bytes::<u16>(bytes).map_err(|_| FrameError::Malformed)?;
        if version != FRAME_VERSION {
            return Err(FrameError::Version(version));
        }
        let frame: Self = postcard::from_bytes(bytes).map_err(|_| FrameError::Malformed)?;
        if frame.fleet == fleet { Ok(frame) } else { Err(FrameError::Fleet(frame.fleet)) }
    }
}
