//! Failures of engines under requests, logged as a periodic summary: one line per failure would
//! flood the log just when most goes wrong.

use super::{Outputs, RelayMachine};
use crate::prompt::Failure;
use topazyard_types::{DurationMs, EngineName, MonotonicMs};
use topazyard_wire::Effect;

/// The interval that one summary covers.
const SUMMARY_INTERVAL: DurationMs = DurationMs(10_000);

/// Failures of engines that were not logged yet.
#[derive(Debug, Default)]
pub(crate) struct EngineFailures {
    by_failure: std::collections::BTreeMap<Failure, u32>,
    by_engine: std::collections::BTreeMap<EngineName, u32>,
    interval_started_at: MonotonicMs,
}

impl EngineFailures {
    fn summary(&self) -> Option<String> {
        let counts: Vec<String> = self
            .by_failure
            .iter()
            .map(|(failure, count)| format!("{count} {}", failure_label(*failure)))
            .collect();
        let (engine, most) = self.by_engine.iter().max_by_key(|(_, count)| **count)?;
        let (counts, seconds) = (counts.join(", "), SUMMARY_INTERVAL.0 / 1_000);
        Some(format!("engines failed in {seconds} s: {counts}; most at {engine}: {most}"))
    }
}

fn failure_label(failure: Failure) -> &'static str {
    match failure {
        Failure::NotConnected => "unconnected",
        Failure::ConnectionLost => "broken",
        Failure::MismatchedResponse => "foreign",
        Failure::EngineError => "errors",
        Failure::TimedOut => "silent",
        Failure::TurnedAway => "turned away",
    }
}

impl RelayMachine {
    /// Counts a failed request at an engine, unless the engine is no longer listed.
    pub(super) fn record_engine_failure(&mut self, engine: EngineName, failure: Failure) {
        if self.fleet.engines.contains_key(&engine) {
            *self.engine_failures.by_failure.entry(failure).or_default() += 1;
            *self.engine_failures.by_engine.entry(engine).or_default() += 1;
        }
    }

    pub(super) fn engine_failures_tick(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        if self.engine_failures.by_failure.is_empty() {
            self.engine_failures.interval_started_at = now;
        } else if now.since(self.engine_failures.interval_started_at) >= SUMMARY_INTERVAL {
            let reported = std::mem::take(&mut self.engine_failures);
            self.engine_failures.interval_started_at = now;
            effects.extend(reported.summary().map(|text| Effect::Log { is_error: false, text }));
        }
    }
}
