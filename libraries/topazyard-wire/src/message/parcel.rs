//! Parcels: calls that relays make to a shard's primary, and their returns.

use topazyard_types::{Epoch, ItemNumber, ModelName, ParcelId, ShardId, Tokens};

/// A message to or from a parcel shard's primary, under its epoch.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ParcelMessage {
    /// Which shard.
    pub shard: ShardId,
    /// The epoch; a lower one is refused.
    pub epoch: Epoch,
    /// Marks the return.
    pub call: u64,
    /// What is said.
    pub body: ParcelBody,
}

/// A call or its return.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ParcelBody {
    /// Asked by a relay.
    Call(ParcelCall),
    /// Returned to it.
    Return(ParcelReturn),
    /// A read that its primary leaves unanswered, asked of every node that holds a copy. Whoever
    /// can't be sure says nothing.
    Aside(ParcelCall),
}

/// One item as handed in.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Item {
    /// The model it wants.
    pub model: ModelName,
    /// The body for the engine, byte for byte.
    pub body: bytes::Bytes,
    /// Whether it may run again.
    pub repeatable: bool,
    /// Its estimated cost.
    pub cost: Tokens,
}

/// One run of one item.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Run {
    /// The parcel.
    pub parcel: ParcelId,
    /// The item.
    pub item: ItemNumber,
    /// The lease under which it would run; no two leases are alike, so that a late word on one
    /// never touches another.
    pub lease: u64,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RunEnd {
    /// The engine's whole return.
    Whole {
        /// The engine's status.
        status: u16,
        /// The engine's body, byte for byte.
        body: bytes::Bytes,
    },
    /// No byte can have reached an engine.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What a relay may ask.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ParcelCall {
    /// Take a parcel; the same id again changes nothing.
    Submit {
        /// Its id.
        parcel: ParcelId,
        /// Its items.
        items: Vec<Item>,
        /// The ceiling on waiting work by the spec in force at the relay.
        ceiling: Tokens,
    },
    /// How does the parcel stand?
    Read(ParcelId),
    /// Its returns after a position.
    Returns {
        /// The parcel.
        parcel: ParcelId,
        /// Positions up to this are known; 0 asks from the first.
        after: u32,
    },
    /// Ask an unfinished item back.
    Recall(ParcelId, ItemNumber),
    /// End the parcel.
    End(ParcelId),
    /// Lease items of these models.
    Lease {
        /// At most that many.
        most: u32,
        /// Models that have a ready engine.
        models: Vec<ModelName>,
    },
    /// May this run start?
    Start(Run),
    /// This run has ended.
    Finish(Run, RunEnd),
    /// These runs go on here.
    Running(Vec<Run>),
}

/// How a parcel stands.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ParcelStanding {
    /// Its id.
    pub parcel: ParcelId,
    /// Its items.
    pub items: u32,
    /// Items with a final return.
    pub returned: u32,
    /// Items that have not started.
    pub waiting: u32,
    /// Items that run.
    pub running: u32,
    /// Whether it was ended.
    pub ended: bool,
}

/// How an item ended, for good.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemEnd {
    /// The engine's whole return.
    Whole {
        /// The engine's status.
        status: u16,
        /// The engine's body.
        body: bytes::Bytes,
    },
    /// It may have run, and may not run again.
    OutcomeUnknown,
    /// It was asked back before it started.
    Recalled,
    /// The parcel ended before it started.
    Ended,
}

/// A final return at its fixed position.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemReturn {
    /// Its position, from 1.
    pub position: u32,
    /// Of which item.
    pub item: ItemNumber,
    /// How it ended.
    pub end: ItemEnd,
}

/// An item given to a relay for a short time.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeasedItem {
    /// The run it would be.
    pub run: Run,
    /// The item.
    pub item: Item,
}

/// What a shard's primary returns.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ParcelReturn {
    /// Accepted and synced on both, now or before.
    Accepted(ParcelStanding),
    /// The parcel ceiling is reached: come back later.
    CeilingReached,
    /// How it stands.
    Standing(ParcelStanding),
    /// Returns in order.
    Returns(Vec<ItemReturn>),
    /// There is no such parcel or item.
    Unknown,
    /// The item will never run.
    Recalled,
    /// The item has started, or has its return.
    TooLate {
        /// Whether its return is final.
        returned: bool,
    },
    /// Leased items.
    Leased(Vec<LeasedItem>),
    /// Whether the run may start.
    MayStart(bool),
    /// Noted.
    Noted,
    /// I don't lead this shard, or can't yet.
    NotHere,
}
