//! Service: back after a closing fault, and nothing held when nothing runs.

use super::{Bounds, Figures, Line, Violation, crossed};
use crate::history::{History, Micros, PromptEnd};

/// How long after a closing fault service must be back.
const BACK_US: Micros = 12_000_000;
/// Over which time service is measured after that.
const MEASURED_US: Micros = 5_000_000;

pub(super) fn check(
    history: &History,
    bounds: &Bounds,
    violations: &mut Vec<Violation>,
    figures: &mut Figures,
) {
    let mut took_ms = Vec::new();
    figures.prompts = history.prompts.len();
    for prompt in &history.prompts {
        match &prompt.end {
            Some((ended, PromptEnd::Complete)) => {
                figures.complete += 1;
                took_ms.push((ended - prompt.sent) / 1_000);
            }
            Some((_, PromptEnd::Refused { .. })) => figures.refused += 1,
            Some((_, PromptEnd::ConnectionLost)) | None => figures.connections_lost += 1,
        }
    }
    if bounds.drained && figures.connections_lost > 0 {
        let text = format!("{} connections broke", figures.connections_lost);
        crossed(violations, Line::Drained, text);
    }
    took_ms.sort_unstable();
    let share = |percent: usize| {
        let at = (took_ms.len() * percent / 100).min(took_ms.len().saturating_sub(1));
        took_ms.get(at).copied().unwrap_or(0)
    };
    (figures.p50_ms, figures.p99_ms) = (share(50), share(99));
    let (from, to) = bounds.before;
    figures.before_per_s = whole_per_s(history, from, to);
    if let Some(closed) = bounds.closed {
        let after = closed + BACK_US;
        figures.after_per_s = whole_per_s(history, after, after + MEASURED_US);
        if figures.after_per_s < figures.before_per_s / 4.0 {
            let text = format!("{:.1}/s after {:.1}/s", figures.after_per_s, figures.before_per_s);
            crossed(violations, Line::Recovery, text);
        }
        let back = (0..60)
            .map(|half| closed + half * 500_000)
            .find(|at| whole_per_s(history, *at, at + 1_000_000) >= figures.before_per_s / 2.0);
        let watched = to..closed + BACK_US + MEASURED_US;
        let longest = |share| longest_below(history, watched.clone(), figures.before_per_s * share);
        (figures.longest_below_half_ms, figures.longest_below_quarter_ms) =
            (longest(0.5), longest(0.25));
        // Not only after the last fault: no fault may leave service below for longer.
        if figures.longest_below_quarter_ms * 1_000 > BACK_US {
            let text = format!("below a quarter for {} ms", figures.longest_below_quarter_ms);
            crossed(violations, Line::Recovery, text);
        }
        figures.back_after_ms = back.map(|at| (at - closed) / 1_000);
    }
    if let Some(holds) = history.holds_at_rest.filter(|holds| *holds > 0) {
        crossed(violations, Line::LeakedHold, format!("{holds} holds at rest"));
    }
}

/// For how many milliseconds at a stretch service was below a rate.
fn longest_below(history: &History, watched: std::ops::Range<Micros>, rate: f64) -> u64 {
    let mut longest_ms = 0;
    let mut below_since = None;
    for at in watched.step_by(250_000) {
        if whole_per_s(history, at, at + 500_000) >= rate {
            below_since = None;
        } else {
            let since = *below_since.get_or_insert(at);
            longest_ms = longest_ms.max((at + 250_000 - since) / 1_000);
        }
    }
    longest_ms
}

fn whole_per_s(history: &History, from: Micros, to: Micros) -> f64 {
    let whole = history.prompts.iter().filter(
        |prompt| matches!(&prompt.end, Some((at, PromptEnd::Complete)) if (from..to).contains(at)),
    );
    whole.count() as f64 / ((to - from) as f64 / 1e6)
}
