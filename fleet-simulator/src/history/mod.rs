//! What was seen from outside. Moments are microseconds of simulated time.

mod orders;

use topazyard_wire::api::Execution;

pub use orders::{
    InForceRecord, OrderAttempt, OrderRecord, OrderResponse, ReadBackOutcome, ReadBackRecord,
};

/// A moment of simulated time.
pub type Micros = u64;

/// How a prompt ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromptEnd {
    /// A return that looked whole.
    Complete,
    /// The connection broke.
    ConnectionLost,
    /// An error.
    Refused {
        /// Its status.
        status: u16,
        /// Whether it says that the work may have run.
        ran: Execution,
        /// Whether it says when to come back.
        has_retry_after: bool,
    },
}

/// A piece of a return: of which prompt's run, which run, and which piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Piece {
    /// The prompt or item that the engine ran.
    pub work: usize,
    /// The run.
    pub run: usize,
    /// The piece.
    pub index: u32,
    /// How many there are.
    pub of: u32,
}

/// A prompt as its client saw it.
#[derive(Debug, Clone)]
pub struct PromptRecord {
    /// Which work it is, in the engines' logs too.
    pub work: usize,
    /// The model asked for.
    pub model: String,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// When it was sent.
    pub sent: Micros,
    /// How long the client waits.
    pub wait: Micros,
    /// The relay it was sent to.
    pub relay: String,
    /// The pieces that came.
    pub pieces: Vec<Piece>,
    /// How it ended, and when.
    pub end: Option<(Micros, PromptEnd)>,
}

/// A run as an engine logged it.
#[derive(Debug, Clone)]
pub struct EngineRun {
    /// Which work, or none if no client sent such a body.
    pub work: Option<usize>,
    /// The engine.
    pub engine: String,
    /// When it began.
    pub began: Micros,
    /// When it ended, if it did.
    pub ended: Option<Micros>,
    /// The cost that admission should have held for it.
    pub cost: u64,
}

/// A kind of work that was handed in.
#[derive(Debug, Clone)]
pub struct Work {
    /// Its body; no two are alike.
    pub body: bytes::Bytes,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Its model.
    pub model: String,
    /// Its estimated cost.
    pub cost: u64,
    /// The batch it is an item of.
    pub batch: Option<usize>,
}

/// A return as a batch's list showed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedResult {
    /// Its position.
    pub position: u32,
    /// Its item.
    pub item: u32,
    /// What it says, with the body.
    pub text: String,
    /// The engine's whole return, where it is one.
    pub body: Option<bytes::Bytes>,
}

/// A read of a batch as its client saw it.
#[derive(Debug, Clone)]
pub struct BatchRead {
    /// When it was asked.
    pub requested_at: Micros,
    /// The relay that was asked.
    pub relay: String,
    /// What came back, and when.
    pub outcome: Option<(Micros, BatchReadOutcome)>,
}

/// What a read of a batch gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchReadOutcome {
    /// How it stands, or a page of its list.
    Given,
    /// That there is no such batch.
    Unknown,
    /// An error.
    Refused,
}

/// What a machine is struck by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ImpairmentKind {
    /// It is off.
    Off,
    /// It is frozen.
    Frozen,
    /// It is cut off, at least one way.
    Cut,
    /// Its disk is slow.
    SlowDisk,
    /// Its disk is full.
    FullDisk,
}

/// A time during which a machine was struck: off, frozen, cut off, or with a slow or full disk.
#[derive(Debug, Clone)]
pub struct Impairment {
    /// The process on it.
    pub name: String,
    /// By what.
    pub kind: ImpairmentKind,
    /// Whether it keeps something on a disk.
    pub has_disk: bool,
    /// From when.
    pub from: Micros,
    /// Until when; none if it was never mended.
    pub until: Option<Micros>,
}

impl Impairment {
    /// When it was well again, or for ever.
    pub fn ends_at(&self) -> Micros {
        self.until.unwrap_or(Micros::MAX / 2)
    }
}

/// A batch as its client saw it.
#[derive(Debug, Clone)]
pub struct BatchRecord {
    /// Its id.
    pub id: topazyard_types::BatchId,
    /// The first of its items in the list of works; the others follow.
    pub first_work: usize,
    /// How many items.
    pub items: u32,
    /// The cost of all items.
    pub cost: u64,
    /// When it was first sent.
    pub sent: Micros,
    /// When it was accepted.
    pub accepted: Option<Micros>,
    /// Reads after it was accepted, of how it stands and of its list.
    pub reads: Vec<BatchRead>,
    /// Every list read from the first position: when answered, and what it showed.
    pub lists: Vec<(Micros, Vec<ListedResult>)>,
    /// When its end was asked and acknowledged.
    pub ended: Option<Micros>,
    /// Items asked back, with the moment of the answer and whether it said that they never run.
    pub recalls: Vec<(Micros, u32, bool)>,
}

/// A spec version as operators saw it.
#[derive(Debug, Clone)]
pub struct RolloutRecord {
    /// Its version, once submitted.
    pub version: Option<u64>,
    /// Its ceiling on waiting batch work.
    pub ceiling: u64,
    /// The model that only this version maps.
    pub model: String,
    /// Whether some step was refused, so that it never may take effect.
    pub refused: bool,
    /// When its roll-out was first asked for.
    pub requested_at: Option<Micros>,
    /// When its roll-out was acknowledged.
    pub acknowledged: Option<Micros>,
}

/// A read of the spec in force.
#[derive(Debug, Clone)]
pub struct ConfigurationRead {
    /// When it was asked.
    pub requested_at: Micros,
    /// The version it gave.
    pub version: u64,
}

/// A list of engines that control acknowledged.
#[derive(Debug, Clone)]
pub struct EngineListRecord {
    /// When the platform first sent it.
    pub sent: Micros,
    /// When it was acknowledged.
    pub acknowledged: Option<Micros>,
    /// Engines that may be given work.
    pub ready: std::collections::BTreeSet<String>,
}

/// A fault, and when it was closed.
#[derive(Debug, Clone)]
pub struct FaultRecord {
    /// What was done.
    pub text: String,
    /// When.
    pub at: Micros,
}

/// Everything seen from outside.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// All work handed in.
    pub works: Vec<Work>,
    /// Prompts.
    pub prompts: Vec<PromptRecord>,
    /// Engine runs.
    pub runs: Vec<EngineRun>,
    /// Batches.
    pub batches: Vec<BatchRecord>,
    /// Specs.
    pub rollouts: Vec<RolloutRecord>,
    /// Reads of the spec in force.
    pub configuration_reads: Vec<ConfigurationRead>,
    /// Numbered configurations that were ordered.
    pub orders: Vec<OrderRecord>,
    /// Read-backs of the numbered configuration in force.
    pub read_backs: Vec<ReadBackRecord>,
    /// What each relay had in force, in the order in which it was seen.
    pub in_force: Vec<InForceRecord>,
    /// Engine lists.
    pub engine_lists: Vec<EngineListRecord>,
    /// Faults, for the trace.
    pub faults: Vec<FaultRecord>,
    /// Machines that were struck, and for how long.
    pub impairments: Vec<Impairment>,
    /// Waiting batch work as the copies have it, now and then.
    pub waiting: Vec<(Micros, u64)>,
    /// Holds at the counter at the very end, when nothing runs any more.
    pub holds_at_rest: Option<usize>,
}

impl History {
    /// Whether a process's machine was struck at some time between two moments.
    pub fn was_impaired(&self, name: &str, from: Micros, to: Micros) -> bool {
        let overlaps =
            |impairment: &Impairment| impairment.from <= to && impairment.ends_at() >= from;
        self.impairments.iter().any(|impairment| impairment.name == name && overlaps(impairment))
    }
}
