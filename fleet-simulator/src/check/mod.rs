//! The checker: compares the history of a run with the properties that every run must have.

mod batches;
mod engines;
pub mod invariants;
mod orders;
mod prompts;
mod rollouts;
mod service;

use crate::history::{History, Micros};

/// A property that no run may violate; each variant names the violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Line {
    /// Non-repeatable work ran twice, or ran after it was reported as not run.
    RanTwiceOrRefused,
    /// A response was incomplete, belonged to another request, or looked complete although it was
    /// interrupted.
    WrongReturn,
    /// An engine ran a body that nobody sent or that was altered.
    Altered,
    /// An engine got work of a model that no configuration in force routes to it.
    Unmapped,
    /// A configuration was not in force in time, or an older one came back.
    SpecLate,
    /// A refused configuration took effect, or a read returned an older one than acknowledged.
    SpecWrong,
    /// Two configurations were applied with the same number or on the same base.
    OrderRace,
    /// A configuration was refused although it was applied, or without a reason.
    OrderRefused,
    /// A relay had a configuration in force that nobody ordered, such as a mixture of two.
    FeedMixed,
    /// The configuration in force at a relay went back to an older one.
    FeedBack,
    /// An engine got work long after control knew that it leaves.
    EngineLeaving,
    /// A stream lost, repeated or mixed up pieces.
    StreamBroken,
    /// A batch was not readable, or its list changed.
    BatchList,
    /// An item started after the end of its batch.
    BatchEnded,
    /// Waiting work exceeded its ceiling.
    Ceiling,
    /// The service did not recover.
    Recovery,
    /// A final response was late, or did not say when to retry.
    Answer,
    /// More tokens were in flight than any recovery permits.
    Budget,
    /// Connections were lost although machines were drained or emptied before they were removed.
    Drained,
    /// A hold is left when nothing runs any more.
    LeakedHold,
    /// A process detected the violation of an invariant that it checks while it runs.
    Invariant,
}

/// A violation of a property.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The violated property.
    pub line: Line,
    /// What was observed.
    pub text: String,
}

/// What the checker needs to know of a run besides its history.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// The budget of in-flight tokens.
    pub limit_tokens: u64,
    /// The period before any fault in which the rate of the service is measured.
    pub before: (Micros, Micros),
    /// When the last fault ended, if there was one.
    pub closed: Option<Micros>,
    /// How many machines with a disk may be out at the same time while reads still succeed.
    pub lost_machines: u16,
    /// Whether machines were only removed after they were drained or emptied, so that no connection
    /// may be lost.
    pub drained: bool,
}

/// Figures of a run.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Figures {
    /// Prompts sent.
    pub prompts: usize,
    /// Complete responses.
    #[serde(rename = "whole")]
    pub complete: usize,
    /// Refused prompts.
    pub refused: usize,
    /// Lost connections.
    #[serde(rename = "broken")]
    pub connections_lost: usize,
    /// Items of accepted batches.
    pub items: usize,
    /// Median response time of complete responses.
    pub p50_ms: u64,
    /// 99th percentile of the response time of complete responses.
    pub p99_ms: u64,
    /// Complete responses per second before any fault.
    pub before_per_s: f64,
    /// Complete responses per second from 12 s after the end of the last fault.
    pub after_per_s: f64,
    /// How long after the end of the last fault the service was back at half its earlier rate.
    pub back_after_ms: Option<u64>,
    /// The longest period, from the first fault on, in which the service was below half its earlier
    /// rate.
    pub longest_below_half_ms: u64,
    /// The longest such period below a quarter of its earlier rate.
    pub longest_below_quarter_ms: u64,
    /// Numbered configurations that were acknowledged, and that were refused.
    pub orders: (usize, usize),
    /// The largest number of attempts to send an order.
    #[serde(rename = "most_sendings")]
    pub max_sendings: usize,
    /// Reads of the numbered configuration with a clear outcome, and without one.
    pub read_backs: (usize, usize),
    /// The largest number of tokens in flight at engines.
    #[serde(rename = "most_tokens")]
    pub max_tokens: u64,
    /// When the last run of a batch item ended.
    pub items_done_ms: u64,
    /// Reads of batches that were sent more than a second after the batch was accepted.
    pub reads: usize,
    /// Those of them that failed although no more machines with a disk were out than tolerated.
    pub reads_failed: usize,
    /// The largest amount of waiting batch work, and the ceiling in force at that time.
    #[serde(rename = "most_waiting")]
    pub max_waiting: (u64, u64),
}

/// Checks a history; returns the violations and the figures of the run.
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
