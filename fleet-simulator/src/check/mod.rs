//! The checker: it judges a history by what was seen from outside, line by line of what must
//! never happen.

mod batches;
mod engines;
pub mod invariants;
mod orders;
mod prompts;
mod rollouts;
mod service;

use crate::history::{History, Micros};

/// A line of what must never happen, as the brief orders them, and what the design adds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Line {
    /// Unrepeatable work ran twice, or ran after it was said to be refused.
    RanTwiceOrRefused,
    /// A return was not whole, another's, or looked complete when cut.
    WrongReturn,
    /// An engine ran what nobody sent, or something altered.
    Altered,
    /// A service was reached that no spec allowed.
    Unmapped,
    /// A spec was not in force in time, or an older one came back.
    SpecLate,
    /// A refused spec took effect, or one read back was older than acknowledged.
    SpecWrong,
    /// Two configurations were taken under one number or on one base.
    OrderRace,
    /// A configuration was refused though it was taken, or without a cause.
    OrderRefused,
    /// What a relay had in force was no configuration that anybody ordered.
    FeedMixed,
    /// What a relay had in force went back.
    FeedBack,
    /// An engine got work long after it was known to leave.
    EngineLeaving,
    /// A stream lost, repeated or spliced pieces.
    StreamBroken,
    /// A batch was not readable, or its list changed.
    BatchList,
    /// An item of an ended batch started.
    BatchEnded,
    /// Waiting work exceeded its ceiling.
    Ceiling,
    /// Service did not come back.
    Recovery,
    /// A final answer came late, or did not say when to come back.
    Answer,
    /// More tokens were in flight than any recovery allows.
    Budget,
    /// Something broke though machines were drained or emptied before they went.
    Drained,
    /// Something is still held when nothing runs.
    LeakedHold,
    /// A process saw one of the invariants violated that it checks while it runs.
    Invariant,
}

/// A line that was crossed.
#[derive(Debug, Clone)]
pub struct Violation {
    /// Which.
    pub line: Line,
    /// How.
    pub text: String,
}

/// What the checker must know of a run besides its history.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// The budget of in-flight tokens.
    pub limit_tokens: u64,
    /// From when to when service is measured before any fault.
    pub before: (Micros, Micros),
    /// When the last fault was closed, if there was one.
    pub closed: Option<Micros>,
    /// Machines with a disk that may be out at the same time while reads still succeed.
    pub lost_machines: u16,
    /// Whether machines went only after they were drained or emptied, so that nothing breaks.
    pub drained: bool,
}

/// Figures of a run.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Figures {
    /// Prompts sent.
    pub prompts: usize,
    /// Whole returns.
    #[serde(rename = "whole")]
    pub complete: usize,
    /// Prompts refused.
    pub refused: usize,
    /// Connections that broke.
    #[serde(rename = "broken")]
    pub connections_lost: usize,
    /// Items handed in with accepted batches.
    pub items: usize,
    /// Median time of whole returns.
    pub p50_ms: u64,
    /// Time within which 99 of 100 whole returns came.
    pub p99_ms: u64,
    /// Whole returns a second before any fault.
    pub before_per_s: f64,
    /// The same from 12 s after the closing fault on.
    pub after_per_s: f64,
    /// How long after the last fault closed service was back at half its former level.
    pub back_after_ms: Option<u64>,
    /// The longest time, from the first fault on, during which service was below half its former
    /// level.
    pub longest_below_half_ms: u64,
    /// The same for a quarter of its former level.
    pub longest_below_quarter_ms: u64,
    /// Numbered configurations that were acknowledged, and that were refused.
    pub orders: (usize, usize),
    /// The most sendings of an order.
    #[serde(rename = "most_sendings")]
    pub max_sendings: usize,
    /// Read-backs that were given, and that gave nothing clear.
    pub read_backs: (usize, usize),
    /// The most tokens in flight at engines.
    #[serde(rename = "most_tokens")]
    pub max_tokens: u64,
    /// When the last item that ran had ended.
    pub items_done_ms: u64,
    /// Reads of batches asked more than a second after they were accepted.
    pub reads: usize,
    /// Reads of these that failed though no more machines with a disk were out than may be.
    pub reads_failed: usize,
    /// The most waiting batch work, and the ceiling then in force.
    #[serde(rename = "most_waiting")]
    pub max_waiting: (u64, u64),
}

/// Judges a history.
pub fn check(history: &History, bounds: &Bounds) -> (Vec<Violation>, Figures) {
    let mut violations = Vec::new();
    let mut figures = Figures::default();
    prompts::check(history, &mut violations);
    engines::check(history, bounds, &mut violations, &mut figures);
    rollouts::check(history, &mut violations);
    orders::check(history, &mut violations, &mut figures);
    batches::check(history, bounds, &mut violations, &mut figures);
    service::check(history, bounds, &mut violations, &mut figures);
    (violations, figures)
}

pub(crate) fn add_violation(violations: &mut Vec<Violation>, line: Line, text: String) {
    violations.push(Violation { line, text });
}
