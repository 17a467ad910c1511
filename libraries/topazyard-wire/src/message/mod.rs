//! What the system's own processes say to each other.

pub mod batch;
pub mod confirm;
pub mod control;
pub mod counter;
pub mod feed;
pub mod membership;
pub mod operate;
pub mod replica;

use topazyard_types::{FleetId, NodeId};

/// The version of the frames; any other is refused.
pub const FRAME_VERSION: u16 = 7;

/// The largest frame taken, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// One message with the marks that every message carries.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Frame {
    /// Which version of the frames.
    pub version: u16,
    /// Which fleet.
    pub fleet: FleetId,
    /// Who sends it.
    pub sender: NodeId,
    /// Where the sender takes frames.
    pub address: std::net::SocketAddr,
    /// What it says.
    pub message: Message,
}

/// The protocols.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Membership.
    Membership(membership::MembershipMessage),
    /// Epochs of the control replica.
    Core(control::CoreMessage),
    /// A primary, its backups and its learners.
    Replica(replica::ReplicaMessage),
    /// The numbered feed of control state.
    Feed(feed::FeedMessage),
    /// A shard primary's wish for another record.
    ShardChangeRequest(control::ShardChangeRequest),
    /// An operator's call passed on.
    Operate(operate::OperatorMessage),
    /// Holds on the budget.
    Counter(counter::CounterMessage),
    /// Batches.
    Batch(batch::BatchMessage),
    /// A shard's record, passed on to a holder that has not heard of it.
    ShardRecord(topazyard_types::ShardId, control::ShardRecord),
    /// Confirming a copy for a read while primaries are silent.
    Confirm(confirm::ConfirmMessage),
}

/// Why a frame was refused.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum FrameError {
    /// the bytes are no frame
    Malformed,
    /// the frame is of version {0}
    Version(u16),
    /// the frame is of fleet {0}
    Fleet(FleetId),
}

impl std::error::Error for FrameError {}

impl Frame {
    /// The frame's bytes.
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

    /// Reads a frame of this version and fleet.
    ///
    /// # Errors
    /// Bytes that are no frame, or a frame of another version or fleet.
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
