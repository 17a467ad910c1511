//! Checks configurations that are rolled out: they are in force in time, never reverted, never in
//! force after a refusal, and reads return none older than acknowledged.
//!
//! Each configuration routes a model that no other one routes, so that prompts show which one is in
//! force.

use super::{Line, Violation, add_violation};
use crate::history::{History, Micros, PromptEnd, RolloutRecord};

/// How long after its acknowledgement a configuration may not be in force yet.
pub(super) const IN_FORCE_DELAY_US: Micros = 2_000_000;

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    let index_of = |model: &str| history.rollouts.iter().position(|rollout| rollout.model == model);
    for (run_index, run) in history.runs.iter().enumerate() {
        let Some(work) = run.work else { continue };
        let Some(index) = index_of(&history.works[work].model) else { continue };
        let rollout = &history.rollouts[index];
        if rollout.refused && rollout.acknowledged.is_none() && rollout.requested_at.is_none() {
            let text = format!(
                "run {run_index} used a model that only the refused configuration {index} routes"
            );
            add_violation(violations, Line::SpecWrong, text);
        }
        if rollout.requested_at.is_none_or(|requested_at| run.began < requested_at) {
            let text = format!(
                "run {run_index} used configuration {index} before its roll-out was requested"
            );
            add_violation(violations, Line::Unmapped, text);
        }
        let overtaken = later(history, rollout).filter_map(|other| other.acknowledged).min();
        if overtaken.is_some_and(|since| since + IN_FORCE_DELAY_US < run.began) {
            let text = format!(
                "run {run_index} used configuration {index} long after a later one was in force"
            );
            add_violation(violations, Line::SpecLate, text);
        }
    }
    for (prompt_index, prompt) in history.prompts.iter().enumerate() {
        let Some(index) = index_of(&prompt.model) else { continue };
        let rollout = &history.rollouts[index];
        let Some((ended, PromptEnd::Refused { status: 404, .. })) = &prompt.end else { continue };
        let due = rollout.acknowledged.is_some_and(|since| since + IN_FORCE_DELAY_US < prompt.sent);
        let overtaken = later(history, rollout).filter_map(|other| other.requested_at).min();
        if due && overtaken.is_none_or(|since| since > *ended) {
            let text = format!(
                "prompt {prompt_index} had no route long after configuration {index} was in force"
            );
            add_violation(violations, Line::SpecLate, text);
        }
    }
    for read in &history.configuration_reads {
        let acknowledged = history
            .rollouts
            .iter()
            .filter(|rollout| rollout.acknowledged.is_some_and(|at| at < read.requested_at))
            .filter_map(|rollout| rollout.version)
            .max();
        if acknowledged > Some(read.version) {
            let text = format!(
                "read back version {} after {acknowledged:?} was acknowledged",
                read.version
            );
            add_violation(violations, Line::SpecWrong, text);
        }
        let known = history.rollouts.iter().find(|rollout| rollout.version == Some(read.version));
        if known.is_none_or(|rollout| rollout.requested_at.is_none()) {
            let text = format!("read back version {}, which nobody rolled out", read.version);
            add_violation(violations, Line::SpecWrong, text);
        }
    }
}

/// Configurations with a higher version.
fn later<'a>(
    history: &'a History,
    rollout: &'a RolloutRecord,
) -> impl Iterator<Item = &'a RolloutRecord> {
    history.rollouts.iter().filter(move |other| other.version > rollout.version)
}
