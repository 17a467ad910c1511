//! Membership and failure detection: direct and indirect probes, with updates about members
//! piggybacked on them.

use topazyard_types::{Incarnation, NodeId, ZoneName};

/// The role of a member in the fleet.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Stores the control state.
    Control,
    /// Stores shards.
    Storage,
    /// Serves clients. Its agent responds to probes.
    Edge,
}

/// A member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Its id.
    pub id: NodeId,
    /// The name given by the operators, if any.
    pub name: Option<String>,
    /// The address at which it receives frames.
    pub address: std::net::SocketAddr,
    /// The address of its HTTP server, if it has one.
    pub http: Option<std::net::SocketAddr>,
    /// Its role.
    pub role: MemberRole,
    /// Its failure zone.
    pub zone: ZoneName,
}

/// The status of a member.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// It responds to probes.
    Alive,
    /// It responds neither to direct nor to indirect probes.
    Suspect,
    /// It did not refute the suspicion, or it left.
    Removed,
}

/// An update about a member.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub member: Member,
    /// The incarnation of the member.
    pub incarnation: Incarnation,
    /// The status.
    pub status: MemberStatus,
}

/// Messages between members.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum MembershipMessage {
    /// Asks for a response, to detect failures.
    Probe {
        /// Identifies the response.
        nonce: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// The response to a probe.
    ProbeAck {
        /// The nonce of the probe.
        nonce: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe another member for the sender.
    IndirectProbe {
        /// Identifies the response.
        nonce: u64,
        /// The address of the member to probe.
        target: std::net::SocketAddr,
    },
    /// Requests the member list.
    Join {
        /// The update about the joining member.
        update: MemberUpdate,
    },
    /// All members known to the sender.
    MemberList {
        /// An update about each of them.
        updates: Vec<MemberUpdate>,
    },
}
