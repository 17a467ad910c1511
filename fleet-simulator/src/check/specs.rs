//! Specs: in force in time, never back, never a refused one, read back no older than said.
//!
//! Each spec maps a model that no other maps, so that prompts tell from outside what is in force.

use super::{Line, Violation, crossed};
use crate::history::{History, Micros, PromptEnd, RolloutRecord};

/// How long after its acknowledgement a spec may not be in force yet.
pub(super) const IN_FORCE_US: Micros = 2_000_000;

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    let number_of = |model: &str| history.rollouts.iter().position(|spec| spec.model == model);
    for (at, run) in history.runs.iter().enumerate() {
        let Some(work) = run.work else { continue };
        let Some(number) = number_of(&history.works[work].model) else { continue };
        let spec = &history.rollouts[number];
        if spec.refused && spec.acknowledged.is_none() && spec.requested_at.is_none() {
            let text = format!("run {at} is of a model that only refused spec {number} maps");
            crossed(violations, Line::SpecWrong, text);
        }
        if spec.requested_at.is_none_or(|asked| run.began < asked) {
            let text = format!("run {at} is of spec {number} before its roll-out was asked");
            crossed(violations, Line::Unmapped, text);
        }
        let overtaken = later(history, spec).filter_map(|other| other.acknowledged).min();
        if overtaken.is_some_and(|since| since + IN_FORCE_US < run.began) {
            let text = format!("run {at} is of spec {number} long after a later one was in force");
            crossed(violations, Line::SpecLate, text);
        }
    }
    for (at, prompt) in history.prompts.iter().enumerate() {
        let Some(number) = number_of(&prompt.model) else { continue };
        let spec = &history.rollouts[number];
        let Some((ended, PromptEnd::Refused { status: 404, .. })) = &prompt.end else { continue };
        let due = spec.acknowledged.is_some_and(|since| since + IN_FORCE_US < prompt.sent);
        let overtaken = later(history, spec).filter_map(|other| other.requested_at).min();
        if due && overtaken.is_none_or(|since| since > *ended) {
            let text = format!("prompt {at} was not mapped long after spec {number} was in force");
            crossed(violations, Line::SpecLate, text);
        }
    }
    for read in &history.configuration_reads {
        let promised = history
            .rollouts
            .iter()
            .filter(|spec| spec.acknowledged.is_some_and(|at| at < read.requested_at))
            .filter_map(|spec| spec.version)
            .max();
        if promised > Some(read.version) {
            let text = format!("read back {} when {promised:?} was acknowledged", read.version);
            crossed(violations, Line::SpecWrong, text);
        }
        let known = history.rollouts.iter().find(|spec| spec.version == Some(read.version));
        if known.is_none_or(|spec| spec.requested_at.is_none()) {
            let text = format!("read back {}, which nobody rolled out", read.version);
            crossed(violations, Line::SpecWrong, text);
        }
    }
}

/// Specs of a later version.
fn later<'a>(
    history: &'a History,
    spec: &'a RolloutRecord,
) -> impl Iterator<Item = &'a RolloutRecord> {
    history.rollouts.iter().filter(move |other| other.version > spec.version)
}
