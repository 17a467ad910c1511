//! Holds on the token budget.

use topazyard_types::{BootId, DurationMs, EngineName, Epoch, HoldId, PoolName, ShardId, Tokens};

/// A message to or from the primary of the token counter.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CounterMessage {
    /// The epoch of the counter shard. Messages of a lower epoch are rejected.
    pub epoch: Epoch,
    /// The content of the message.
    pub body: CounterBody,
}

/// The purpose of a hold.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum HoldKind {
    /// A live prompt, which may use the whole limit.
    Live,
    /// A batch item, which may use only the share that the weights leave to batches.
    Item,
    /// A block of budget that a relay reserves for requests on routes and uses without further
    /// requests to the counter. It is valid until its own expiry rather than the relay's lease, so
    /// that the relay can go on while the primary of the counter changes.
    Block,
}

/// The maximum number of engines in a hold.
pub const MAX_ENGINES: usize = 8;

/// A hold, identified by the relay that requests it and an increasing id.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hold {
    /// The id within this run of the relay.
    pub id: HoldId,
    /// The pool whose budget is held.
    pub pool: PoolName,
    /// The held cost.
    pub cost: Tokens,
    /// The purpose.
    pub kind: HoldKind,
    /// In a request: the engines that it may use, the best first, [`MAX_ENGINES`] at most. Once
    /// granted: the engine that it uses. Empty if the hold doesn't choose the engine.
    pub engines: Vec<EngineName>,
    /// The terms of the configuration in force at the relay. The relay's control state is fresh;
    /// the counter's may be older.
    pub terms: HoldTerms,
}

/// The limits that a hold is checked against, and its lifetime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HoldTerms {
    /// The limit of the budget.
    pub limit: Tokens,
    /// The part of the limit that holds of this kind may use.
    pub part: Tokens,
    /// The time without a renewal after which the hold expires.
    pub expiry: DurationMs,
}

/// Messages between relays or shard primaries and the counter.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CounterBody {
    /// Requests a hold. The check and the addition are one atomic step.
    Add(Hold),
    /// The response to a request for a hold.
    Added {
        /// The id of the hold.
        id: HoldId,
        /// Whether the hold was granted.
        granted: bool,
        /// The engine that it was assigned, out of those that it may use.
        engine: Option<EngineName>,
    },
    /// Releases a hold because its response has ended or was interrupted.
    Release(HoldId),
    /// Renews the relay's holds with a complete list up to an id. The counter may release any other
    /// hold of the relay up to that id.
    Renew {
        /// The number of the renewal, which increases with each one.
        number: u64,
        /// The greatest id that the lists cover.
        up_to: HoldId,
        /// Granted holds. They are valid even if the counter has lost them.
        holds: Vec<Hold>,
        /// Requested holds without a response so far. They are valid if the counter has them.
        pending: Vec<HoldId>,
        /// By pool: the mean use of the relay's blocks by its requests since the last renewal.
        used: Vec<(PoolName, Tokens)>,
    },
    /// Renews the relay's lease, counted from when the renewal was sent.
    Renewed {
        /// The number of the renewal.
        number: u64,
    },
    /// Reports the cost that waits at a batch shard, and requests to accept more.
    Waiting {
        /// The shard.
        shard: ShardId,
        /// The epoch of the shard.
        shard_epoch: Epoch,
        /// The boot id of the shard's primary.
        boot_id: BootId,
        /// The number of the report, which increases with each one of that boot id.
        number: u64,
        /// The waiting cost, which counts whatever the ceiling is.
        total: Tokens,
        /// The additional cost. The check against the ceiling and the addition are one atomic step.
        requested: Tokens,
        /// The ceiling of the configuration in force at the relay that submitted the batch.
        ceiling: Tokens,
    },
    /// The response to a report of the waiting cost.
    WaitingSettled {
        /// The shard.
        shard: ShardId,
        /// The number of the report.
        number: u64,
        /// Whether the additional cost was accepted.
        granted: bool,
    },
    /// The receiver is not the primary of the counter, or can't serve requests yet.
    NotPrimary,
}
