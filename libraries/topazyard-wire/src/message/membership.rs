//! Membership: probes to a few in turn, second opinions, news that spreads with them.

use topazyard_types::{Incarnation, NodeId, ZoneName};

/// What a member does in the fleet.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Keeps control state.
    Control,
    /// Keeps shards.
    Storage,
    /// Serves clients; its agent answers for it.
    Edge,
}

/// Who a member is.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Its id.
    pub id: NodeId,
    /// The name its operators know it by, if it has one.
    pub name: Option<String>,
    /// Where it takes frames.
    pub address: std::net::SocketAddr,
    /// Where it serves HTTP, if it does.
    pub http: Option<std::net::SocketAddr>,
    /// What it does.
    pub role: MemberRole,
    /// Its failure zone.
    pub zone: ZoneName,
}

/// How a member stands.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// It returns probes.
    Alive,
    /// Neither we nor those asked for a second opinion hear it.
    Suspect,
    /// It never refuted the suspicion, or it left.
    Removed,
}

/// News of a member.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberUpdate {
    /// Of whom.
    pub member: Member,
    /// Under which of the member's own incarnations.
    pub incarnation: Incarnation,
    /// How it stands.
    pub status: MemberStatus,
}

/// What members say.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum MembershipMessage {
    /// Are you there?
    Probe {
        /// Marks the return.
        nonce: u64,
        /// News on the way.
        updates: Vec<MemberUpdate>,
    },
    /// I am.
    ProbeAck {
        /// Of which probe.
        nonce: u64,
        /// News on the way.
        updates: Vec<MemberUpdate>,
    },
    /// Probe that member for me.
    IndirectProbe {
        /// Marks the return.
        nonce: u64,
        /// Whom to probe.
        target: std::net::SocketAddr,
    },
    /// Tell me of everyone.
    Join {
        /// News of the one that joins.
        update: MemberUpdate,
    },
    /// Everyone I know.
    MemberList {
        /// News of each.
        updates: Vec<MemberUpdate>,
    },
}
