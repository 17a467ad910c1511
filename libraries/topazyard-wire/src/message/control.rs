//! Epochs of the control pair, and wishes of shard primaries.

use topazyard_types::{Epoch, Life, NodeId, ShardId};

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
    /// Who confirms each commit.
    pub backup: CoreNode,
    /// Who decides the epoch after this.
    pub witnesses: Vec<CoreNode>,
}

impl EpochRecord {
    /// Whether a node is of the pair.
    ///
    /// ```
    /// # use topazyard_wire::message::control::{CoreNode, EpochRecord};
    /// # use topazyard_types::{Epoch, NodeId};
    /// # let node = |id| CoreNode { id: NodeId(id), address: "127.0.0.1:1".parse().unwrap() };
    /// let record = EpochRecord { epoch: Epoch(1), primary: node(1), backup: node(2),
    ///     witnesses: vec![node(1), node(2), node(3)] };
    /// assert!(record.in_pair(NodeId(2)) && !record.in_pair(NodeId(3)));
    /// ```
    pub fn in_pair(&self, id: NodeId) -> bool {
        self.primary.id == id || self.backup.id == id
    }

    /// Whether a node is a witness.
    ///
    /// ```
    /// # use topazyard_wire::message::control::{CoreNode, EpochRecord};
    /// # use topazyard_types::{Epoch, NodeId};
    /// # let node = |id| CoreNode { id: NodeId(id), address: "127.0.0.1:1".parse().unwrap() };
    /// # let record = EpochRecord { epoch: Epoch(1), primary: node(1), backup: node(2),
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
    pub life: Life,
}

/// What core nodes say about epochs. A message names the epoch record it builds on.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CoreMessage {
    /// I am here and know this record.
    Beat {
        /// The newest record decided, as far as the sender knows.
        record: Option<EpochRecord>,
        /// Core nodes the sender has lately heard.
        heard: Vec<CoreNode>,
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
    /// The primary of this epoch ends in order: its backup may take over at once.
    Leaving {
        /// The epoch.
        epoch: Epoch,
    },
    /// Refused: a higher ballot was promised.
    Outbid {
        /// The epoch that is being decided.
        epoch: Epoch,
        /// The ballot promised.
        promised: Ballot,
    },
}

/// Who holds a shard in an epoch. Without a backup nothing is answered.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ShardRecord {
    /// The epoch.
    pub epoch: Epoch,
    /// Who commits.
    pub primary: CoreNode,
    /// Who confirms each commit.
    pub backup: Option<CoreNode>,
    /// Who still holds all that was ever answered, while there is no backup.
    pub fallback: Option<CoreNode>,
    /// Who is being given a copy.
    pub learner: Option<CoreNode>,
}

/// A shard primary's wish for another record.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ShardWish {
    /// The shard.
    pub shard: ShardId,
    /// The epoch the wish is made in; any other makes it void.
    pub epoch: Epoch,
    /// What is wished.
    pub wish: Wish,
}

/// What a shard primary may wish.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Wish {
    /// The backup doesn't confirm: let it go. Nothing is answered from now on.
    DropBackup,
    /// The learner holds all: make it the backup. Nothing is answered from now on.
    PromoteLearner,
    /// This primary restarted and may lack what its backup has shown since: let the backup lead.
    HandOver,
}
