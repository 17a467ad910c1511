//! Epochs of the control replica, and wishes of shard primaries.

use topazyard_types::{BootId, Epoch, NodeId, ShardId};

/// A core node by id and address.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct CoreNode {
    /// Its id.
    pub id: NodeId,
    /// Where it takes frames.
    pub address: std::net::SocketAddr,
}

/// Who holds the control state in an epoch, and whose witnesses decide the next one.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EpochRecord {
    /// The epoch.
    pub epoch: Epoch,
    /// Who commits.
    pub primary: CoreNode,
    /// Who confirm each commit, all of them.
    pub backups: Vec<CoreNode>,
    /// Who decides the epoch after this.
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

    /// In which turn a member may ask for the next epoch: the primary comes first.
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

/// A ballot: rounds are told apart by who called them and in which life.
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
    /// Who called it.
    pub proposer: NodeId,
    /// In which of the proposer's lives: one that restarted may want another record.
    pub boot_id: BootId,
}

/// What core nodes say about epochs. A message names the epoch record it builds on.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CoreMessage {
    /// I am here and know this record.
    Heartbeat {
        /// The newest record decided, as far as the sender knows.
        record: Option<EpochRecord>,
        /// Core nodes the sender has lately heard.
        reachable: Vec<CoreNode>,
        /// The sender's zone.
        zone: topazyard_types::ZoneName,
        /// Whether its disk takes writes: without them it can neither vote nor hold a copy.
        takes_writes: bool,
    },
    /// Promise to take nothing lower.
    Prepare {
        /// The record that the proposal follows.
        base: EpochRecord,
        /// Under which ballot.
        ballot: Ballot,
    },
    /// Promised, with what was accepted before.
    Promise {
        /// The epoch that is being decided.
        epoch: Epoch,
        /// Under which ballot.
        ballot: Ballot,
        /// What was accepted before.
        accepted: Option<(Ballot, EpochRecord)>,
    },
    /// Accept this record.
    Accept {
        /// The record that the proposal follows.
        base: EpochRecord,
        /// Under which ballot.
        ballot: Ballot,
        /// The record proposed.
        record: EpochRecord,
    },
    /// Accepted.
    Accepted {
        /// The epoch that is being decided.
        epoch: Epoch,
        /// Under which ballot.
        ballot: Ballot,
    },
    /// The sender is about to end: others may stand in its place at once.
    Leaving,
    /// Refused: a higher ballot was promised.
    Rejected {
        /// The epoch that is being decided.
        epoch: Epoch,
        /// The ballot promised.
        promised: Ballot,
    },
}

/// Who holds a shard in an epoch. The primary, the backups and the fallbacks each hold all that was
/// ever answered; with fewer copies than the record asks for nothing is answered.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ShardRecord {
    /// The epoch.
    pub epoch: Epoch,
    /// How many copies, the primary's among them, must hold what is answered.
    pub copies: u16,
    /// Who commits.
    pub primary: CoreNode,
    /// Who confirm each commit, all of them.
    pub backups: Vec<CoreNode>,
    /// Who still hold all that was ever answered, while backups are missing.
    pub fallbacks: Vec<CoreNode>,
    /// Who are being given a copy.
    pub learners: Vec<CoreNode>,
}

impl ShardRecord {
    /// Whether enough copies are named for anything to be answered.
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

    /// Primary and backups.
    pub fn members(&self) -> impl Iterator<Item = &CoreNode> {
        std::iter::once(&self.primary).chain(&self.backups)
    }

    /// All who hold a copy or are being given one.
    pub fn holders(&self) -> impl Iterator<Item = &CoreNode> {
        self.members().chain(&self.fallbacks).chain(&self.learners)
    }
}

/// A shard primary's wish for another record.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ShardChangeRequest {
    /// The shard.
    pub shard: ShardId,
    /// The epoch the wish is made in; any other makes it void.
    pub epoch: Epoch,
    /// What is wished.
    pub change: ShardChange,
}

/// What a shard primary may wish.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ShardChange {
    /// These backups don't confirm: let them go. Nothing is answered from now on.
    DropBackups(Vec<NodeId>),
    /// The learners hold all: make them backups. Nothing is answered from now on.
    PromoteLearners,
    /// This primary restarted and may lack what a backup has shown since: let a backup lead.
    HandOver,
}
