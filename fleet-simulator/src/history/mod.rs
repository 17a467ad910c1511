//! Everything the checker knows of a run: what clients, operators, engines and the simulated
//! machines recorded. Times are microseconds of simulated time.

mod orders;

use topazyard_wire::api::Execution;

pub use orders::{
    InForceRecord, OrderAttempt, OrderRecord, OrderResponse, ReadBackOutcome, ReadBackRecord,
};

/// A simulated time or duration in microseconds.
pub type Micros = u64;

/// How a prompt ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromptEnd {
    /// A response that looked complete.
    Complete,
    /// The connection was lost.
    ConnectionLost,
    /// An error response.
    Refused {
        /// The HTTP status.
        status: u16,
        /// What the error says about whether the work ran.
        ran: Execution,
        /// Whether it says when to retry.
        has_retry_after: bool,
    },
}

/// A piece of an engine's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Piece {
    /// Index of the work that the engine ran.
    pub work: usize,
    /// Index of the run.
    pub run: usize,
    /// Index of the piece.
    pub index: u32,
    /// Number of pieces in the response.
    pub of: u32,
}

/// A prompt as its client recorded it.
#[derive(Debug, Clone)]
pub struct PromptRecord {
    /// Index of the work, as in the engines' logs.
    pub work: usize,
    /// The requested model.
    pub model: String,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// When it was sent.
    pub sent: Micros,
    /// How long the client waits for the response.
    pub wait: Micros,
    /// The relay to which it was sent.
    pub relay: String,
    /// The pieces received.
    pub pieces: Vec<Piece>,
    /// How it ended, and when.
    pub end: Option<(Micros, PromptEnd)>,
}

/// A run of an engine.
#[derive(Debug, Clone)]
pub struct EngineRun {
    /// Index of the work; `None` if no client sent such a body.
    pub work: Option<usize>,
    /// The engine.
    pub engine: String,
    /// When it started.
    pub began: Micros,
    /// When it ended, if it did.
    pub ended: Option<Micros>,
    /// The cost that admission should have reserved for it.
    pub cost: u64,
}

/// Work submitted by a client: a prompt or an item of a batch.
#[derive(Debug, Clone)]
pub struct Work {
    /// Its body, which is unique.
    pub body: bytes::Bytes,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its model.
    pub model: String,
    /// Its estimated cost.
    pub cost: u64,
    /// The batch that it is an item of.
    pub batch: Option<usize>,
}

/// A result in the list of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedResult {
    /// Its position in the list.
    pub position: u32,
    /// Index of the item.
    pub item: u32,
    /// The kind of result, and its body if it has one.
    pub text: String,
    /// The engine's complete response, if the result is one.
    pub body: Option<bytes::Bytes>,
}

/// A read of a batch's status or list as its client recorded it.
#[derive(Debug, Clone)]
pub struct BatchRead {
    /// When the request was sent.
    pub requested_at: Micros,
    /// The relay to which it was sent.
    pub relay: String,
    /// The response, and when it arrived.
    pub outcome: Option<(Micros, BatchReadOutcome)>,
}

/// The outcome of a read of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchReadOutcome {
    /// The status of the batch or a page of its list.
    Given,
    /// The response that there is no such batch.
    Unknown,
    /// An error response.
    Refused,
}

/// Kinds of impairments of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ImpairmentKind {
    /// It is stopped.
    Off,
    /// It is frozen.
    Frozen,
    /// It is cut off in at least one direction.
    Cut,
    /// Its disk is slow.
    SlowDisk,
    /// Its disk is full.
    FullDisk,
}

/// A period during which a machine was impaired: stopped, frozen, cut off, or with a slow or full
/// disk.
#[derive(Debug, Clone)]
pub struct Impairment {
    /// Name of the process on the machine.
    pub name: String,
    /// The kind of impairment.
    pub kind: ImpairmentKind,
    /// Whether the process keeps data on a disk.
    pub has_disk: bool,
    /// When it began.
    pub from: Micros,
    /// When it ended; `None` if it never did.
    pub until: Option<Micros>,
}

impl Impairment {
    /// When the machine recovered; a time beyond every run if it never did.
    pub fn ends_at(&self) -> Micros {
        self.until.unwrap_or(Micros::MAX / 2)
    }
}

/// A batch as its client recorded it.
#[derive(Debug, Clone)]
pub struct BatchRecord {
    /// Its id.
    pub id: topazyard_types::BatchId,
    /// Index of the work of its first item; the other items follow.
    pub first_work: usize,
    /// Number of items.
    pub items: u32,
    /// The total cost of its items.
    pub cost: u64,
    /// When it was first sent.
    pub sent: Micros,
    /// When it was accepted.
    pub accepted: Option<Micros>,
    /// Reads of its status and its list after it was accepted.
    pub reads: Vec<BatchRead>,
    /// Each complete read of its list, with the time of the last response.
    pub lists: Vec<(Micros, Vec<ListedResult>)>,
    /// When a request to end it was acknowledged.
    pub ended: Option<Micros>,
    /// Recalled items: time of the response, index of the item, and whether the response says that
    /// it never runs.
    pub recalls: Vec<(Micros, u32, bool)>,
}

/// A configuration that is rolled out in stages, as operators recorded it.
#[derive(Debug, Clone)]
pub struct RolloutRecord {
    /// Its version once it was submitted.
    pub version: Option<u64>,
    /// Its limit on waiting batch work.
    pub ceiling: u64,
    /// A model that only this version routes.
    pub model: String,
    /// Whether a step was refused, so that it must never take effect.
    pub refused: bool,
    /// When its roll-out was first requested.
    pub requested_at: Option<Micros>,
    /// When its roll-out was acknowledged.
    pub acknowledged: Option<Micros>,
}

/// A read of the rolled-out configuration in force.
#[derive(Debug, Clone)]
pub struct ConfigurationRead {
    /// When the request was sent.
    pub requested_at: Micros,
    /// The version returned.
    pub version: u64,
}

/// A list of engines that the platform sent to control.
#[derive(Debug, Clone)]
pub struct EngineListRecord {
    /// When it was first sent.
    pub sent: Micros,
    /// When it was acknowledged.
    pub acknowledged: Option<Micros>,
    /// Engines that may receive work.
    pub ready: std::collections::BTreeSet<String>,
}

/// A fault or the end of one.
#[derive(Debug, Clone)]
pub struct FaultRecord {
    /// What happened.
    pub text: String,
    /// When it happened.
    pub at: Micros,
}

/// The history of a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// All submitted work.
    pub works: Vec<Work>,
    /// Prompts.
    pub prompts: Vec<PromptRecord>,
    /// Engine runs.
    pub runs: Vec<EngineRun>,
    /// Batches.
    pub batches: Vec<BatchRecord>,
    /// Configurations rolled out in stages.
    pub rollouts: Vec<RolloutRecord>,
    /// Reads of the rolled-out configuration in force.
    pub configuration_reads: Vec<ConfigurationRead>,
    /// Numbered configurations that operators ordered.
    pub orders: Vec<OrderRecord>,
    /// Reads of the numbered configuration in force.
    pub read_backs: Vec<ReadBackRecord>,
    /// Numbered configurations in force at each relay, in the order in which they were recorded.
    pub in_force: Vec<InForceRecord>,
    /// Lists of engines.
    pub engine_lists: Vec<EngineListRecord>,
    /// Faults, printed with the run.
    pub faults: Vec<FaultRecord>,
    /// Impairments of machines.
    pub impairments: Vec<Impairment>,
    /// Waiting batch work over time, according to the copies on the shards.
    pub waiting: Vec<(Micros, u64)>,
    /// Holds at the token counter at the end, when nothing runs any more.
    pub holds_at_rest: Option<usize>,
}

impl History {
    /// Whether the machine of a process was impaired at any time between two times.
    pub fn was_impaired(&self, name: &str, from: Micros, to: Micros) -> bool {
        let overlaps =
            |impairment: &Impairment| impairment.from <= to && impairment.ends_at() >= from;
        self.impairments.iter().any(|impairment| impairment.name == name && overlaps(impairment))
    }
}
