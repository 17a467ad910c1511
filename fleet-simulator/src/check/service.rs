//! Checks the service: it recovers after the last fault, and no hold is left when nothing runs.

use super::{Bounds, Figures, Line, Violation, add_violation};
use crate::history::{History, Micros, PromptEnd};

/// How long after the end of the last fault the service must have recovered.
const RECOVERY_TIMEOUT_US: Micros = 12_000_000;
/// The period over which the service is measured after that.
const MEASUREMENT_US: Micros = 5_000_000;

pub(super) fn check(
    history: &History,
    bounds: &Bounds,
    violations: &mut Vec<Violation>,
    figures: &mut Figures,
) {
    let mut latencies_ms = Vec::new();
    figures.prompts = history.prompts.len();
    for prompt in &history.prompts {
        match &prompt.end {
            Some((ended, PromptEnd::Complete)) => {
                figures.complete += 1;
                latencies_ms.push((ended - prompt.sent) / 1_000);
            }
            Some((_, PromptEnd::Refused { .. })) => figures.refused += 1,
            Some((_, PromptEnd::ConnectionLost)) | None => figures.connections_lost += 1,
        }
    }
    if bounds.drained && figures.connections_lost > 0 {
        let text = format!("{} connections lost", figures.connections_lost);
        add_violation(violations, Line::Drained, text);
    }
    latencies_ms.sort_unstable();
    let percentile = |percent: usize| {
        let at = (latencies_ms.len() * percent / 100).min(latencies_ms.len().saturating_sub(1));
        latencies_ms.get(at).copied().unwrap_or(0)
    };
    (figures.p50_ms, figures.p99_ms) = (percentile(50), percentile(99));
    let (from, to) = bounds.before;
    figures.before_per_s = completed_per_s(history, from, to);
    if let Some(closed) = bounds.closed {
        let after = closed + RECOVERY_TIMEOUT_US;
        figures.after_per_s = completed_per_s(history, after, after + MEASUREMENT_US);
        if figures.after_per_s < figures.before_per_s / 4.0 {
            let text = format!(
                "{:.1} complete responses/s after {:.1}/s before",
                figures.after_per_s, figures.before_per_s
            );
            add_violation(violations, Line::Recovery, text);
        }
        let recovered_at = (0..60)
            .map(|half_seconds| closed + half_seconds * 500_000)
            .find(|at| completed_per_s(history, *at, at + 1_000_000) >= figures.before_per_s / 2.0);
        let watched = to..closed + RECOVERY_TIMEOUT_US + MEASUREMENT_US;
        let longest_below_fraction =
            |fraction| longest_below(history, watched.clone(), figures.before_per_s * fraction);
        (figures.longest_below_half_ms, figures.longest_below_quarter_ms) =
            (longest_below_fraction(0.5), longest_below_fraction(0.25));
        // Applies during all faults: no fault may keep the service below a quarter for longer.
        if figures.longest_below_quarter_ms * 1_000 > RECOVERY_TIMEOUT_US {
            let text = format!(
                "below a quarter of the earlier rate for {} ms",
                figures.longest_below_quarter_ms
            );
            add_violation(violations, Line::Recovery, text);
        }
        figures.back_after_ms = recovered_at.map(|at| (at - closed) / 1_000);
    }
    if let Some(holds) = history.holds_at_rest.filter(|holds| *holds > 0) {
        add_violation(violations, Line::LeakedHold, format!("{holds} holds left at the end"));
    }
}

/// The longest period, in milliseconds, in which the service was below a rate.
fn longest_below(history: &History, watched: std::ops::Range<Micros>, rate: f64) -> u64 {
    let mut longest_ms = 0;
    let mut below_since = None;
    for at in watched.step_by(250_000) {
        if completed_per_s(history, at, at + 500_000) >= rate {
            below_since = None;
        } else {
            let since = *below_since.get_or_insert(at);
            longest_ms = longest_ms.max((at + 250_000 - since) / 1_000);
        }
    }
    longest_ms
}

fn completed_per_s(history: &History, from: Micros, to: Micros) -> f64 {
    let completed = history.prompts.iter().filter(
        |prompt| matches!(&prompt.end, Some((at, PromptEnd::Complete)) if (from..to).contains(at)),
    );
    completed.count() as f64 / ((to - from) as f64 / 1e6)
}
