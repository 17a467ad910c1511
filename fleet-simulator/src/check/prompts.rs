//! Checks prompts: non-repeatable work runs at most once, responses are complete and belong to
//! their request, and refusals are timely and say when to retry.

use super::{Line, Violation, add_violation};
use crate::history::{History, PromptEnd, PromptRecord};
use topazyard_wire::api::Execution;

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    let mut run_counts: std::collections::BTreeMap<usize, usize> =
        std::collections::BTreeMap::new();
    for work in history.runs.iter().filter_map(|run| run.work) {
        *run_counts.entry(work).or_default() += 1;
    }
    for (work, runs) in &run_counts {
        if *runs > 1 && !history.works[*work].repeatable {
            let text = format!("non-repeatable work {work} ran {runs} times");
            add_violation(violations, Line::RanTwiceOrRefused, text);
        }
    }
    for (prompt_index, prompt) in history.prompts.iter().enumerate() {
        check_pieces(prompt_index, prompt, violations);
        let Some((ended, end)) = &prompt.end else { continue };
        if let PromptEnd::Refused { status, ran, has_retry_after } = end {
            if *ran == Execution::NotRun && run_counts.contains_key(&prompt.work) {
                let text = format!("prompt {prompt_index} was reported as not run and ran");
                add_violation(violations, Line::RanTwiceOrRefused, text);
            }
            if matches!(status, 429 | 502..=504) && !has_retry_after || *status == 413 {
                let text =
                    format!("prompt {prompt_index} got {status} without saying when to retry");
                add_violation(violations, Line::Answer, text);
            }
            let took_ms = (ended - prompt.sent) / 1_000;
            let max_ms = (prompt.wait / 1_000).min(2_000) + 400;
            let was_impaired = || history.was_impaired(&prompt.relay, prompt.sent, *ended);
            if *status == 429 && took_ms > max_ms && !was_impaired() {
                let text = format!("prompt {prompt_index} got its 429 after {took_ms} ms");
                add_violation(violations, Line::Answer, text);
            }
        }
    }
}

fn check_pieces(prompt_index: usize, prompt: &PromptRecord, violations: &mut Vec<Violation>) {
    let is_stream = prompt.pieces.first().is_some_and(|piece| piece.of > 1);
    let run = prompt.pieces.first().map(|piece| piece.run);
    for (index, piece) in prompt.pieces.iter().enumerate() {
        if piece.work != prompt.work {
            let text = format!("prompt {prompt_index} got a piece of work {}", piece.work);
            add_violation(violations, Line::WrongReturn, text);
        }
        if piece.index as usize != index || Some(piece.run) != run {
            let text =
                format!("prompt {prompt_index} got piece {} of run {}", piece.index, piece.run);
            add_violation(violations, Line::StreamBroken, text);
        }
    }
    if let Some((_, PromptEnd::Complete)) = &prompt.end {
        let all = prompt.pieces.first().map_or(1, |piece| piece.of as usize);
        if prompt.pieces.len() != all {
            let line = if is_stream { Line::StreamBroken } else { Line::WrongReturn };
            add_violation(
                violations,
                line,
                format!("prompt {prompt_index} looked complete with pieces missing"),
            );
            add_violation(
                violations,
                Line::WrongReturn,
                format!("prompt {prompt_index} looked complete when interrupted"),
            );
        }
    }
}
