//! Batches: calls that relays make to a shard's primary, and their returns.

use topazyard_types::{
    BatchId, Digest, DurationMs, Epoch, ItemNumber, ModelName, RouteName, ShardId, Tokens,
};

/// A message to or from a batch shard's primary, under its epoch.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BatchMessage {
    /// Which shard.
    pub shard: ShardId,
    /// The epoch; a lower one is refused.
    pub epoch: Epoch,
    /// Marks the return.
    pub call: u64,
    /// What is said.
    pub body: BatchBody,
}

/// A call or its return.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum BatchBody {
    /// Asked by a relay.
    Call(BatchCall),
    /// Returned to it.
    Response(BatchResponse),
    /// A read that its primary leaves unanswered, asked of every node that holds a copy. Whoever
    /// can't be sure says nothing.
    ReplicaRead(BatchCall),
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
    /// Where a route directs it. An item without directions goes where its model's lane says.
    pub routing: Option<ItemRouting>,
}

/// How a routed item is sent to its engine. Such items may always run again.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemRouting {
    /// The caller's own id of the item.
    pub id: String,
    /// The path at the engine.
    pub path: String,
    /// Headers that go along, name and value.
    pub headers: Vec<(String, String)>,
    /// The parts that its prompt is built from, in order, each with its tokens.
    pub prefix: Vec<(Digest, Tokens)>,
}

/// The terms of a batch of routed items, as they stood when it was handed in.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RoutedBatchTerms {
    /// The route that directs its items.
    pub route: RouteName,
    /// The host that its requests name.
    pub host: String,
    /// How long after it was handed in it is due.
    pub run_target: DurationMs,
    /// After how long an item that is not done is given up.
    pub retention: DurationMs,
    /// After how many failed attempts an item is given up.
    pub max_attempts: u32,
}

/// A batch of routed items as it is handed in.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RoutedBatch {
    /// Its id.
    pub batch: BatchId,
    /// Its terms.
    pub terms: RoutedBatchTerms,
    /// Its items, each with directions.
    pub items: Vec<Item>,
    /// The ceiling on the route's waiting tokens by the spec in force at the relay; 0 for none.
    pub ceiling: Tokens,
}

/// What is known of the output of a run that broke off midway.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Progress {
    /// The id of the last event received whole; none before the first.
    pub last_event: Option<u64>,
    /// The data of the events received so far, parted by line feeds.
    pub text: String,
}

/// One run of one item.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Run {
    /// The batch.
    pub batch: BatchId,
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
    Complete {
        /// The engine's status.
        status: u16,
        /// The engine's body, byte for byte.
        body: bytes::Bytes,
    },
    /// No byte can have reached an engine, or the engine said that it did not run it.
    NotRun,
    /// It may have run.
    Unknown,
    /// A routed item's stream is complete.
    StreamComplete {
        /// The data of all its events, parted by line feeds.
        text: String,
    },
    /// The engine answered a routed item with a failure of its own.
    Failed,
    /// The engine said that the routed item can never be done.
    Impossible,
    /// A routed item's stream broke off after these events.
    Interrupted(Progress),
}

/// What a relay may ask.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum BatchCall {
    /// Take a batch of items on lanes; the same id again changes nothing.
    Submit {
        /// Its id.
        batch: BatchId,
        /// Its items.
        items: Vec<Item>,
        /// The ceiling on waiting work by the spec in force at the relay.
        ceiling: Tokens,
    },
    /// Take a batch of routed items; the same id again changes nothing.
    SubmitRouted(RoutedBatch),
    /// A batch's results after a position.
    RoutedResults {
        /// The batch.
        batch: BatchId,
        /// Positions up to this are known; 0 asks from the first.
        after: u32,
    },
    /// The body of an item that has no result yet.
    Body {
        /// The batch.
        batch: BatchId,
        /// The caller's own id of the item.
        id: String,
    },
    /// How does the batch stand?
    Read(BatchId),
    /// Its returns after a position.
    ItemResults {
        /// The batch.
        batch: BatchId,
        /// Positions up to this are known; 0 asks from the first.
        after: u32,
    },
    /// Ask an unfinished item back.
    Recall(BatchId, ItemNumber),
    /// End the batch.
    End(BatchId),
    /// Lease items of these models.
    Lease {
        /// At most that many.
        max_items: u32,
        /// Models that have a ready engine.
        models: Vec<ModelName>,
        /// Batch routes that have a ready engine.
        routes: Vec<RouteName>,
    },
    /// May this run start?
    Start(Run),
    /// This run has ended.
    Finish(Run, RunEnd),
    /// These runs go on here.
    Running(Vec<Run>),
}

/// How a batch stands.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BatchStatus {
    /// Its id.
    pub batch: BatchId,
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
    Complete {
        /// The engine's status.
        status: u16,
        /// The engine's body.
        body: bytes::Bytes,
    },
    /// It may have run, and may not run again.
    OutcomeUnknown,
    /// It was asked back before it started.
    Recalled,
    /// The batch ended before it started.
    Ended,
    /// It was given up: an engine can't do it, too many attempts failed, or its time was over.
    Abandoned,
}

/// A final return at its fixed position.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemResult {
    /// Its position, from 1.
    pub position: u32,
    /// Of which item.
    pub item: ItemNumber,
    /// The caller's own id of the item, if it is a routed one.
    pub id: Option<String>,
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
    /// The route and host of a routed item.
    pub route: Option<(RouteName, String)>,
    /// What an earlier run of it brought.
    pub progress: Progress,
}

/// What a shard's primary returns.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum BatchResponse {
    /// Accepted and synced on both, now or before.
    Accepted(BatchStatus),
    /// The batch ceiling is reached: come back later.
    CeilingReached,
    /// How it stands.
    Status(BatchStatus),
    /// Returns in order.
    ItemResults(Vec<ItemResult>),
    /// A batch's results.
    RoutedResults {
        /// Items of the batch.
        total: u32,
        /// Results in order.
        results: Vec<ItemResult>,
    },
    /// The body of an item, byte for byte.
    Body(bytes::Bytes),
    /// There is no such batch or item.
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
    Acknowledged,
    /// I don't lead this shard, or can't yet.
    NotPrimary,
}
