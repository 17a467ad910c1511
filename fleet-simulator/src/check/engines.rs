//! Checks engines: they get no altered body, no model without a route and no work after they left,
//! and the tokens in flight stay within the budget.

use super::{Bounds, Figures, Line, Violation, add_violation};
use crate::history::{History, ImpairmentKind, Micros};

/// How long after a list of engines was acknowledged an engine that is not on it may still get
/// work.
const REMOVAL_DELAY_US: Micros = 3_000_000;

/// How long work sent by a relay may keep running after the relay recovered.
const RUN_DRAIN_US: Micros = 10_000_000;

pub(super) fn check(
    history: &History,
    bounds: &Bounds,
    violations: &mut Vec<Violation>,
    figures: &mut Figures,
) {
    for (index, run) in history.runs.iter().enumerate() {
        let Some(work) = run.work else {
            let text = format!("run {index} at {} has a body that nobody sent", run.engine);
            add_violation(violations, Line::Altered, text);
            continue;
        };
        if history.works[work].model == "unmapped" {
            let text =
                format!("run {index} is of work {work}, whose model no configuration routes");
            add_violation(violations, Line::Unmapped, text);
        }
        // The last list that certainly was acknowledged long enough before, unless a later list
        // that may have been applied contains the engine again.
        let due = history.engine_lists.iter().rposition(|list| {
            list.acknowledged.is_some_and(|at| at + REMOVAL_DELAY_US < run.began)
        });
        if let Some(due) = due {
            let later = &history.engine_lists[due..];
            let candidates = later.iter().filter(|list| list.sent < run.began);
            if candidates.clone().all(|list| !list.ready.contains(&run.engine)) {
                let text = format!(
                    "run {index} started at {} long after the engine was last listed",
                    run.engine
                );
                add_violation(violations, Line::EngineLeaving, text);
            }
        }
    }
    let mut changes: Vec<(Micros, i64)> = Vec::new();
    for run in &history.runs {
        let cost = run.cost.min(bounds.limit_tokens) as i64;
        changes.push((run.began, cost));
        changes.push((run.ended.unwrap_or(Micros::MAX), -cost));
    }
    changes.sort_unstable();
    let mut in_flight = 0;
    let mut max_unexcused = 0;
    for (at, change) in changes {
        in_flight += change;
        let tokens = in_flight.max(0) as u64;
        figures.max_tokens = figures.max_tokens.max(tokens);
        if !is_excused(history, at) {
            max_unexcused = max_unexcused.max(tokens);
        }
    }
    let limit = bounds.limit_tokens;
    if max_unexcused > limit || figures.max_tokens > limit * 3 / 2 {
        let text =
            format!("{max_unexcused} to {} tokens in flight, limit {limit}", figures.max_tokens);
        add_violation(violations, Line::Budget, text);
    }
}

/// A relay that was frozen or cut off loses its lease while its work keeps running. Until that work
/// has ended, up to 1.5 times the limit may be in flight.
fn is_excused(history: &History, at: Micros) -> bool {
    history.impairments.iter().any(|impairment| {
        let may_run = matches!(impairment.kind, ImpairmentKind::Frozen | ImpairmentKind::Cut)
            && !impairment.has_disk;
        may_run && (impairment.from..impairment.ends_at() + RUN_DRAIN_US).contains(&at)
    })
}
