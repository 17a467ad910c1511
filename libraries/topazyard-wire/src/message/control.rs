//! Epochs of the control group, and change requests of shard primaries.

use topazyard_types::{BootId, Epoch, NodeId, ShardId};

/// A control node, by id and address.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct CoreNode {
    /// Its id.
    pub id: NodeId,
    /// The address at which it receives frames.
    pub address: std::net::SocketAddr,
}

/// The nodes of the control group in an epoch: who stores the control state, and which witnesses
/// decide the next epoch.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EpochRecord {
    /// The epoch.
    pub epoch: Epoch,
    /// The node that commits changes.
    pub primary: CoreNode,
    /// The nodes that must all confirm each commit.
    pub backups: Vec<CoreNode>,
    /// The witnesses that decide the next epoch.
    pub witnesses: Vec<CoreNode>,
}

impl EpochRecord {
    /// Whether a node is the primary or a backup.
    ///
    /// ```
    /// # use topazyard_wire::message::control::{CoreNode, EpochRecord};
    /// # use topazyard_types::{Epoch, NodeId};
    /// # let node = |id| CoreNode { id: NodeId(id), address: "127.0.0.1:1".parse().unwrap() };
    /// let record = EpochRecord { epoch: Epoch(1), primary: node(1), backups: vec![node(2)],
    ///     witnesses: vec![node(1), node(2), node(3)] };
    /// assert!(record.is_member(NodeId(2)) && !record.is_member(NodeId(3)));
    /// ```
    pub fn is_member(&self, id: NodeId) -> bool {
        self.rank(id).is_some()
    }

    /// The rank of a member, by which members take turns to request the next epoch. The primary has
    /// rank 0.
    ///
    /// ```
    /// # use topazyard_wire::message::control::{CoreNode, EpochRecord};
    /// # use topazyard_types::{Epoch, NodeId};
    /// # let node = |id| CoreNode { id: NodeId(id), address: "127.0.0.1:1".parse().unwrap() };
    /// let record = EpochRecord { epoch: Epoch(1), primary: node(1), backups: vec![node(2)],
    ///     witnesses: vec![node(1)] };
    /// assert_eq!(record.rank(NodeId(2)), Some(1));
    /// assert_eq!(record.rank(NodeId(3)), None);
    /// ```
    pub fn rank(&self, id: NodeId) -> Option<usize> {
        let mut members = std::iter::once(&self.primary).chain(&self.backups);
        members.position(|node| node.id == id)
    }

    /// Whether a node is a witness.
    ///
    /// ```
    /// # use topazyard_wire::message::control::{CoreNode, EpochRecord};
    /// # use topazyard_types::{Epoch, NodeId};
    /// # let node = |id| CoreNode { id: NodeId(id), address: "127.0.0.1:1".parse().unwrap() };
    /// # let record = EpochRecord { epoch: Epoch(1), primary: node(1), backups: vec![node(2)],
    /// #     witnesses: vec![node(1), node(2), node(3)] };
    /// assert!(record.is_witness(NodeId(3)) && !record.is_witness(NodeId(4)));
    /// ```
    pub fn is_witness(&self, id: NodeId) -> bool {
        self.witnesses.iter().any(|witness| witness.id == id)
    }
}

/// A ballot. The proposer and its boot id distinguish ballots of the same round.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Ballot {
    /// The round.
    pub round: u64,
    /// The node that proposes.
    pub proposer: NodeId,
    /// The boot id of the proposer, which may propose another record after a restart.
    pub boot_id: BootId,
}

/// Messages between control nodes about epochs. A proposal contains the record that it follows.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CoreMessage {
    /// Reports that the sender is alive, and the newest record it knows.
    Heartbeat {
        /// The newest decided record known to the sender.
        record: Option<EpochRecord>,
        /// The control nodes that the sender has recently heard from.
        reachable: Vec<CoreNode>,
        /// The sender's zone.
        zone: topazyard_types::ZoneName,
        /// Whether its disk accepts writes; otherwise it can neither vote nor store a copy.
        takes_writes: bool,
    },
    /// Asks for a promise to accept no lower ballot.
    Prepare {
        /// The record that the proposal follows.
        base: EpochRecord,
        /// The ballot.
        ballot: Ballot,
    },
    /// The promise, with the record accepted earlier, if any.
    Promise {
        /// The epoch that is being decided.
        epoch: Epoch,
        /// The ballot.
        ballot: Ballot,
        /// The record accepted earlier, with its ballot.
        accepted: Option<(Ballot, EpochRecord)>,
    },
    /// Asks to accept a record.
    Accept {
        /// The record that the proposal follows.
        base: EpochRecord,
        /// The ballot.
        ballot: Ballot,
        /// The proposed record.
        record: EpochRecord,
    },
    /// The record was accepted.
    Accepted {
        /// The epoch that is being decided.
        epoch: Epoch,
        /// The ballot.
        ballot: Ballot,
    },
    /// The sender is shutting down: other nodes may replace it at once.
    Leaving,
    /// The ballot was rejected because a higher one was promised.
    Rejected {
        /// The epoch that is being decided.
        epoch: Epoch,
        /// The promised ballot.
        promised: Ballot,
    },
}

/// The nodes that store a shard in an epoch. The primary, the backups and the fallbacks each have
/// every acknowledged change. With fewer copies than the record requires, the shard doesn't serve
/// requests.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ShardRecord {
    /// The epoch.
    pub epoch: Epoch,
    /// The number of copies, including the primary's, that must have a change before it is
    /// acknowledged.
    pub copies: u16,
    /// The node that commits changes.
    pub primary: CoreNode,
    /// The nodes that must all confirm each commit.
    pub backups: Vec<CoreNode>,
    /// Former members that still have every acknowledged change, while backups are missing.
    pub fallbacks: Vec<CoreNode>,
    /// Nodes that are being filled with a copy.
    pub learners: Vec<CoreNode>,
}

impl ShardRecord {
    /// Whether there are enough members for the shard to serve requests.
    ///
    /// ```
    /// # use topazyard_wire::message::control::{CoreNode, ShardRecord};
    /// # use topazyard_types::{Epoch, NodeId};
    /// # let node = |id| CoreNode { id: NodeId(id), address: "127.0.0.1:1".parse().unwrap() };
    /// let record = ShardRecord { epoch: Epoch(1), copies: 2, primary: node(1), backups: vec![],
    ///     fallbacks: vec![], learners: vec![] };
    /// assert!(!record.is_complete());
    /// assert!(ShardRecord { copies: 1, ..record }.is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.backups.len() + 1 >= usize::from(self.copies)
    }

    /// Whether a node is one of the backups.
    pub fn is_backup(&self, id: NodeId) -> bool {
        self.backups.iter().any(|node| node.id == id)
    }

    /// The primary and the backups.
    pub fn members(&self) -> impl Iterator<Item = &CoreNode> {
        std::iter::once(&self.primary).chain(&self.backups)
    }

    /// All nodes that have a copy or are being filled with one.
    pub fn holders(&self) -> impl Iterator<Item = &CoreNode> {
        self.members().chain(&self.fallbacks).chain(&self.learners)
    }
}

/// A request by a shard's primary to change the shard's record.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ShardChangeRequest {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the request. It is void in any other epoch.
    pub epoch: Epoch,
    /// The requested change.
    pub change: ShardChange,
}

/// A change of a shard's record.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ShardChange {
    /// Removes backups that don't confirm changes. The primary stops serving requests.
    DropBackups(Vec<NodeId>),
    /// Promotes the learners, which have all changes, to backups. The primary stops serving
    /// requests.
    PromoteLearners,
    /// Makes a backup the primary. This primary restarted and may lack changes that a backup has
    /// exposed since.
    HandOver,
}
