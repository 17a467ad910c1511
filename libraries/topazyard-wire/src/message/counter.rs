//! Holds on the token budget.

use topazyard_types::{BootId, DurationMs, EngineName, Epoch, HoldId, PoolName, ShardId, Tokens};

/// A message to or from the counter's primary, under its epoch.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CounterMessage {
    /// The epoch; a lower one is refused.
    pub epoch: Epoch,
    /// What is said.
    pub body: CounterBody,
}

/// For what a hold is.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum HoldKind {
    /// A live prompt: may use the whole limit.
    Live,
    /// A batch item: may use only what the weights leave.
    Item,
    /// Room that a relay keeps for the requests of routes, from which it takes without asking.
    /// It stands until its expiry, not only until the relay's lease: its relay may go on while
    /// the counter changes hands.
    Block,
}

/// The most engines that a hold may name.
pub const MAX_ENGINES: usize = 8;

/// A hold, named by the relay that asks and its own rising id.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hold {
    /// Its id within the relay's life.
    pub id: HoldId,
    /// The budget.
    pub pool: PoolName,
    /// The cost held.
    pub cost: Tokens,
    /// For what.
    pub kind: HoldKind,
    /// While it is asked for: engines that it may use, the best first, [`MAX_ENGINES`] at most. Once
    /// it is granted: the one that it uses. Empty where its engine is not chosen with it.
    pub engines: Vec<EngineName>,
    /// The terms of the spec in force at the relay, whose word of control is fresh: the counter
    /// may know an older one.
    pub terms: HoldTerms,
}

/// What a hold is checked against, and how long it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HoldTerms {
    /// The budget's limit.
    pub limit: Tokens,
    /// The part of it that holds of this kind may take.
    pub part: Tokens,
    /// After how long without a renewal it is taken back.
    pub expiry: DurationMs,
}

/// What relays, shard primaries and the counter say.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CounterBody {
    /// Check and add, in one.
    Add(Hold),
    /// Whether it was added.
    Added {
        /// Which hold.
        id: HoldId,
        /// Whether it was added.
        granted: bool,
        /// Which of the engines that it may use it was given.
        engine: Option<EngineName>,
    },
    /// The return ended or was cut: let it go.
    Release(HoldId),
    /// All my holds up to that id; any other of mine may go.
    Renew {
        /// Rises with each renewal.
        number: u64,
        /// The greatest id that the lists speak of.
        up_to: HoldId,
        /// Holds that were granted: they stand even where the counter has lost them.
        holds: Vec<Hold>,
        /// Holds asked for and not yet answered: they stand where the counter has them.
        pending: Vec<HoldId>,
        /// By pool: what my requests held of my blocks, in the mean since the last renewal.
        used: Vec<(PoolName, Tokens)>,
    },
    /// The lease runs anew from when that renewal was sent.
    Renewed {
        /// Which renewal.
        number: u64,
    },
    /// A batch shard's waiting cost, and how much more it asks to accept.
    Waiting {
        /// Which shard.
        shard: ShardId,
        /// The shard's epoch.
        shard_epoch: Epoch,
        /// The life of the shard's primary.
        boot_id: BootId,
        /// Rises with each report of that life.
        number: u64,
        /// The cost that waits there: it stands, whatever the ceiling.
        total: Tokens,
        /// The cost asked for besides: checked against the ceiling and added, in one.
        requested: Tokens,
        /// The ceiling by the spec in force at the relay that handed the batch in.
        ceiling: Tokens,
    },
    /// Whether the report stands.
    WaitingSettled {
        /// Which shard.
        shard: ShardId,
        /// Which report.
        number: u64,
        /// Whether it stands.
        granted: bool,
    },
    /// I don't lead the counter, or can't yet.
    NotPrimary,
}
