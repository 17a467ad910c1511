//! Batches: requests of relays to the primary of a batch shard, and the responses.

use crate::routes::RoutePaths;
use topazyard_types::{
    BatchId, Digest, DurationMs, Epoch, ItemNumber, ModelName, PoolName, RouteName, ShardId, Tokens,
};

/// A message to or from the primary of a batch shard.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BatchMessage {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the shard. Messages of a lower epoch are rejected.
    pub epoch: Epoch,
    /// Identifies the response; 0 if the message is about the shard as a whole.
    pub call: u64,
    /// The content of the message.
    pub body: BatchBody,
}

/// A request or its response.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum BatchBody {
    /// A request by a relay.
    Call(BatchCall),
    /// The response to the relay.
    Response(BatchResponse),
    /// A replica read: a read to which the primary doesn't respond, sent to every node with a copy.
    /// Nodes that can't confirm their copy don't respond.
    ReplicaRead(BatchCall),
    /// Asks the primary whether it serves. A primary that doesn't responds with
    /// [`BatchResponse::NotPrimary`], and reports once it does.
    CheckServing,
    /// The sender serves the shard as its primary in the message's epoch.
    Serving {
        /// The receiver's calls that the sender has received and not answered yet.
        pending_calls: Vec<u64>,
    },
}

/// An item as submitted.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Item {
    /// The requested model.
    pub model: ModelName,
    /// The request body for the engine, byte for byte.
    pub body: bytes::Bytes,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The estimated cost.
    pub cost: Tokens,
    /// How a route sends it to an engine. An item without this is sent by the model route of its
    /// model.
    pub routing: Option<ItemRouting>,
}

/// How a routed item is sent to its engine. Routed items may always run more than once.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemRouting {
    /// The caller's own id of the item.
    pub id: String,
    /// The path of the request to the engine.
    pub path: String,
    /// The headers of the request, name and value.
    pub headers: Vec<(String, String)>,
    /// The parts of its prompt in order, each with its number of tokens.
    pub prefix: Vec<(Digest, Tokens)>,
}

/// The terms of a batch of routed items at the time of its submission.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RoutedBatchTerms {
    /// The name of its route when it was submitted, for people who read the rows. A later
    /// configuration may give the name to another route, so nothing is looked up by it.
    pub submitted_route: RouteName,
    /// The host that its items are addressed to. Together with an item's path it decides the route
    /// of the item under the configuration in force.
    pub host: String,
    /// The time from its submission until it is due.
    pub run_target: DurationMs,
    /// The time after which an unfinished item is abandoned.
    pub retention: DurationMs,
    /// The number of failed attempts after which an item is abandoned.
    pub max_attempts: u32,
}

/// A batch of routed items as submitted.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RoutedBatch {
    /// Its id.
    pub batch: BatchId,
    /// Its terms.
    pub terms: RoutedBatchTerms,
    /// Its items, each with its routing.
    pub items: Vec<Item>,
    /// The ceilings that its items come under in the configuration in force at the relay.
    pub ceilings: Vec<WaitingCeiling>,
    /// The first item whose path has no batch route in that configuration. With such an item, the
    /// batch is accepted only if it was accepted before.
    pub unrouted_item: Option<ItemNumber>,
}

/// The ceiling on the tokens of the items that wait on a route.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WaitingCeiling {
    /// The paths of the route.
    pub paths: RoutePaths,
    /// The maximum total tokens.
    pub tokens: Tokens,
}

/// The output received so far from a run that was interrupted.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Progress {
    /// The id of the last complete event; none before the first.
    pub last_event: Option<u64>,
    /// The data of the events received so far, separated by line feeds.
    pub text: String,
    /// The pool whose engines produced it. Another pool may produce other events.
    pub pool: Option<PoolName>,
}

/// One run of an item.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Run {
    /// The batch.
    pub batch: BatchId,
    /// The item.
    pub item: ItemNumber,
    /// The lease of the run. Leases are unique, so that a late message about one never affects
    /// another.
    pub lease: u64,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RunEnd {
    /// The complete response of the engine.
    Complete {
        /// The status of the response.
        status: u16,
        /// The body of the response, byte for byte.
        body: bytes::Bytes,
    },
    /// It did not run: no byte can have reached an engine, or the engine reported that it did not
    /// run it.
    NotRun,
    /// It is unknown whether it ran.
    Unknown,
    /// The stream of a routed item is complete.
    StreamComplete {
        /// The data of all events, separated by line feeds.
        text: String,
    },
    /// The engine reported a failure for a routed item.
    Failed,
    /// The engine reported that the routed item can never succeed.
    Impossible,
    /// The stream of a routed item was interrupted after these events.
    Interrupted(Progress),
}

/// A request of a relay.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum BatchCall {
    /// Submits a batch of items for model routes. Submitting the same id again has no effect.
    Submit {
        /// Its id.
        batch: BatchId,
        /// Its items.
        items: Vec<Item>,
        /// The ceiling on the waiting cost in the configuration in force at the relay.
        ceiling: Tokens,
    },
    /// Submits a batch of routed items. Submitting the same id again has no effect.
    SubmitRouted(RoutedBatch),
    /// Reads the results of a routed batch after a position.
    RoutedResults {
        /// The batch.
        batch: BatchId,
        /// The last position that the caller has; 0 to read from the first.
        after: u32,
    },
    /// Reads the body of an item that has no result yet.
    Body {
        /// The batch.
        batch: BatchId,
        /// The caller's own id of the item.
        id: String,
    },
    /// Reads the status of a batch.
    Read(BatchId),
    /// Reads the results of a batch after a position.
    ItemResults {
        /// The batch.
        batch: BatchId,
        /// The last position that the caller has; 0 to read from the first.
        after: u32,
    },
    /// Recalls an unfinished item.
    Recall(BatchId, ItemNumber),
    /// Ends a batch.
    End(BatchId),
    /// Leases items of these models and routes.
    Lease {
        /// The maximum number of items.
        max_items: u32,
        /// The models that have a ready engine.
        models: Vec<ModelName>,
        /// The paths of the batch routes that have a ready engine.
        routes: Vec<RoutePaths>,
    },
    /// Asks whether a run may start.
    Start(Run),
    /// Reports the end of a run.
    Finish(Run, RunEnd),
    /// Reports the runs that are still in progress at the relay.
    Running(Vec<Run>),
}

/// The status of a batch.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BatchStatus {
    /// Its id.
    pub batch: BatchId,
    /// The number of items.
    pub items: u32,
    /// The number of items with a final result.
    pub returned: u32,
    /// The number of items that have not started.
    pub waiting: u32,
    /// The number of running items.
    pub running: u32,
    /// Whether it was ended.
    pub ended: bool,
}

/// The final outcome of an item.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemEnd {
    /// The complete response of the engine.
    Complete {
        /// The status of the response.
        status: u16,
        /// The body of the response.
        body: bytes::Bytes,
    },
    /// It may have run, and must not run again.
    OutcomeUnknown,
    /// It was recalled before it started.
    Recalled,
    /// The batch ended before it started.
    Ended,
    /// It was abandoned: it can't succeed at an engine, too many attempts failed, or its retention
    /// time ended.
    Abandoned,
}

/// The final result of an item, at a fixed position in the batch's result list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemResult {
    /// The position, counted from 1.
    pub position: u32,
    /// The item.
    pub item: ItemNumber,
    /// The caller's own id of the item, if it is a routed item.
    pub id: Option<String>,
    /// The outcome.
    pub end: ItemEnd,
}

/// An item leased to a relay.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeasedItem {
    /// The run for which it is leased.
    pub run: Run,
    /// The item.
    pub item: Item,
    /// The host that a routed item is addressed to.
    pub host: Option<String>,
    /// The output of an earlier, interrupted run.
    pub progress: Progress,
}

/// A response of a shard's primary.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum BatchResponse {
    /// The batch is accepted and synced on all required copies, now or earlier.
    Accepted(BatchStatus),
    /// The ceiling on waiting work is reached; the caller should retry later.
    CeilingReached,
    /// The path of this item has no batch route, so none of the submitted batch will run.
    Unrouted(ItemNumber),
    /// The status of the batch.
    Status(BatchStatus),
    /// Results in order.
    ItemResults(Vec<ItemResult>),
    /// Results of a routed batch.
    RoutedResults {
        /// The number of items of the batch.
        total: u32,
        /// The results in order.
        results: Vec<ItemResult>,
    },
    /// The body of an item, byte for byte.
    Body(bytes::Bytes),
    /// There is no such batch or item.
    Unknown,
    /// The item will never run.
    Recalled,
    /// The item can't be recalled any more.
    TooLate {
        /// Whether it has its final result; otherwise it has started.
        returned: bool,
    },
    /// The leased items.
    Leased(Vec<LeasedItem>),
    /// Whether the run may start.
    MayStart(bool),
    /// The report was received.
    Acknowledged,
    /// The receiver is not the primary of this shard, or can't serve requests yet.
    NotPrimary,
}
