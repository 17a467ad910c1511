//! What went wrong with engines under requests, told in the log as a sum now and then: one line for
//! each failure would be the most just when most goes wrong.

use super::{Out, RelayMachine};
use crate::prompt::Failure;
use topazyard_types::{DurationMs, EngineName, MonotonicMs};
use topazyard_wire::Effect;

/// Failures are summed up over this span.
const SPAN: DurationMs = DurationMs(10_000);

/// Failures of engines that were not told yet.
#[derive(Debug, Default)]
pub(crate) struct EngineFailures {
    by_failure: std::collections::BTreeMap<Failure, u32>,
    by_engine: std::collections::BTreeMap<EngineName, u32>,
    span_began: MonotonicMs,
}

impl EngineFailures {
    fn line(&self) -> Option<String> {
        let counts: Vec<String> = self
            .by_failure
            .iter()
            .map(|(failure, count)| format!("{count} {}", name_of(*failure)))
            .collect();
        let (engine, most) = self.by_engine.iter().max_by_key(|(_, count)| **count)?;
        let (counts, seconds) = (counts.join(", "), SPAN.0 / 1_000);
        Some(format!("engines failed in {seconds} s: {counts}; most at {engine}: {most}"))
    }
}

fn name_of(failure: Failure) -> &'static str {
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
    /// A request failed at an engine. What is not listed any more is not counted.
    pub(super) fn count_failure(&mut self, engine: EngineName, failure: Failure) {
        if self.view.engines.contains_key(&engine) {
            *self.engine_failures.by_failure.entry(failure).or_default() += 1;
            *self.engine_failures.by_engine.entry(engine).or_default() += 1;
        }
    }

    pub(super) fn engine_failures_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        if self.engine_failures.by_failure.is_empty() {
            self.engine_failures.span_began = now;
        } else if now.since(self.engine_failures.span_began) >= SPAN {
            let told = std::mem::take(&mut self.engine_failures);
            self.engine_failures.span_began = now;
            out.extend(told.line().map(|text| Effect::Log { is_error: false, text }));
        }
    }
}
