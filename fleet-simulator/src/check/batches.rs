//! Checks batches: they are readable, their lists are stable, no item starts after the end, and
//! waiting work stays within its ceiling.

use super::rollouts::IN_FORCE_DELAY_US;
use super::{Bounds, Figures, Line, Violation, add_violation};
use crate::history::{
    BatchReadOutcome, BatchRecord, History, Impairment, ListedResult, Micros, RolloutRecord,
};

/// How long after its acceptance a batch may be unreadable.
const READABLE_DELAY_US: Micros = 1_000_000;
/// How long the response to a later read may take.
const READ_TIMEOUT_US: Micros = 1_000_000;
/// How long after a machine with a disk is back some data may have a copy on one machine only.
const CATCH_UP_US: Micros = 5_000_000;
/// Several machines that are out for longer than this count as lost.
const LONG_OUTAGE_US: Micros = 30_000_000;
/// How long reads may fail after several machines were out.
const MULTIPLE_OUTAGES_RECOVERY_US: Micros = 12_000_000;
/// How long after the end of a batch an item may still start.
const START_AFTER_END_US: Micros = 3_000_000;

pub(super) fn check(
    history: &History,
    bounds: &Bounds,
    violations: &mut Vec<Violation>,
    figures: &mut Figures,
) {
    for (index, batch) in history.batches.iter().enumerate() {
        if batch.accepted.is_some() {
            figures.items += batch.items as usize;
        }
        check_reads(index, batch, history, bounds, violations, figures);
        check_lists(index, batch, history, violations);
    }
    for (index, run) in history.runs.iter().enumerate() {
        let Some(work) = run.work else { continue };
        let Some(number) = history.works[work].batch else { continue };
        figures.items_done_ms = figures.items_done_ms.max(run.ended.unwrap_or(0) / 1_000);
        let batch = &history.batches[number];
        let item = (work - batch.first_work) as u32;
        if batch.ended.is_some_and(|ended| run.began > ended + START_AFTER_END_US) {
            let text = format!("run {index}: item {item} of batch {number} started after its end");
            add_violation(violations, Line::BatchEnded, text);
        }
        if batch.recalls.iter().any(|(_, recalled, never)| *recalled == item && *never) {
            let text = format!("run {index}: item {item} of batch {number} was recalled and ran");
            add_violation(violations, Line::RanTwiceOrRefused, text);
        }
        let listed_not_run = batch.lists.iter().flat_map(|(_, list)| list).any(|listed| {
            listed.item == item && matches!(listed.text.as_str(), "recalled" | "ended")
        });
        if listed_not_run {
            let text = format!("run {index}: item {item} of batch {number} is listed as not run");
            add_violation(violations, Line::RanTwiceOrRefused, text);
        }
    }
    check_ceiling(history, violations, figures);
}

/// A refused, unanswered or late read is a violation unless the relay that received it was
/// impaired, or more machines with a disk were out than the deployment tolerates.
fn check_reads(
    index: usize,
    batch: &BatchRecord,
    history: &History,
    bounds: &Bounds,
    violations: &mut Vec<Violation>,
    figures: &mut Figures,
) {
    let Some(accepted) = batch.accepted else { return };
    for read in batch.reads.iter().filter(|read| read.requested_at >= accepted + READABLE_DELAY_US)
    {
        figures.reads += 1;
        if let Some((_, BatchReadOutcome::Unknown)) = read.outcome {
            let text = format!("batch {index} was accepted and reported as unknown");
            add_violation(violations, Line::BatchList, text);
        }
        let until = read.requested_at + READ_TIMEOUT_US;
        let succeeded = matches!(
            read.outcome,
            Some((responded_at, BatchReadOutcome::Given)) if responded_at <= until
        );
        let excused = history.was_impaired(&read.relay, read.requested_at, until);
        if !succeeded
            && !excused
            && !exceeds_tolerated_outages(history, bounds.lost_machines, read.requested_at, until)
        {
            figures.reads_failed += 1;
            let (requested_ms, relay) = (read.requested_at / 1_000, &read.relay);
            let text =
                format!("reading batch {index} at {relay} at {requested_ms} ms failed: {read:?}");
            add_violation(violations, Line::BatchList, text);
        }
    }
}

/// Whether more machines with a disk than tolerated were out at some time or had just been, so that
/// all copies of some data may have been unreachable.
fn exceeds_tolerated_outages(
    history: &History,
    lost_machines: u16,
    from: Micros,
    until: Micros,
) -> bool {
    let out: Vec<_> = history.impairments.iter().filter(|impairment| impairment.has_disk).collect();
    has_overlapping_outages(&out, &mut Vec::new(), usize::from(lost_machines) + 1, &|together| {
        let began = together.iter().map(|impairment| impairment.from).max().unwrap_or(0);
        let recovered_at =
            together.iter().map(|impairment| impairment.ends_at() + CATCH_UP_US).min();
        let recovered_at = recovered_at.unwrap_or(0);
        // Machines that are out for long count as lost: the others must serve without them.
        let ended_at = if recovered_at > began + LONG_OUTAGE_US { began } else { recovered_at };
        began < recovered_at && began <= until && ended_at + MULTIPLE_OUTAGES_RECOVERY_US >= from
    })
}

/// Whether this many different machines had overlapping outages for which `is_relevant` holds.
fn has_overlapping_outages<'a>(
    out: &[&'a Impairment],
    together: &mut Vec<&'a Impairment>,
    count: usize,
    is_relevant: &impl Fn(&[&Impairment]) -> bool,
) -> bool {
    if together.len() == count {
        return is_relevant(together);
    }
    out.iter().enumerate().any(|(index, one)| {
        let overlaps = |other: &&Impairment| {
            let began = one.from.max(other.from);
            let recovered_at = one.ends_at().min(other.ends_at()) + CATCH_UP_US;
            one.name != other.name && began < recovered_at
        };
        if !together.iter().all(overlaps) {
            return false;
        }
        together.push(one);
        let found = has_overlapping_outages(&out[index + 1..], together, count, is_relevant);
        together.pop();
        found
    })
}

fn check_lists(
    index: usize,
    batch: &BatchRecord,
    history: &History,
    violations: &mut Vec<Violation>,
) {
    let mut longest: &[ListedResult] = &[];
    for (_, list) in &batch.lists {
        let common = longest.len().min(list.len());
        if longest[..common] != list[..common] || list.len() < longest.len() {
            let text = format!("batch {index}: a listed result changed, moved or disappeared");
            add_violation(violations, Line::BatchList, text);
        }
        let mut items: Vec<u32> = list.iter().map(|listed| listed.item).collect();
        items.sort_unstable();
        if items.windows(2).any(|two| two[0] == two[1]) {
            add_violation(
                violations,
                Line::BatchList,
                format!("batch {index}: an item is listed twice"),
            );
        }
        let in_order = list.iter().zip(1..).all(|(listed, position)| listed.position == position);
        if !in_order {
            add_violation(
                violations,
                Line::BatchList,
                format!("batch {index}: positions are not in order"),
            );
        }
        longest = list;
    }
    if batch.accepted.is_some() && longest.len() < batch.items as usize {
        let text =
            format!("batch {index} lists {} of {} results at the end", longest.len(), batch.items);
        add_violation(violations, Line::BatchList, text);
    }
    for listed in longest {
        let Some(body) = &listed.body else { continue };
        let work = batch.first_work + listed.item as usize;
        let own = history.runs.iter().enumerate().any(|(run, log)| {
            log.work == Some(work)
                && body.as_ref() == format!("return of work {work} run {run}").as_bytes()
        });
        if !own {
            let text = format!("batch {index}: item {} has the result of other work", listed.item);
            add_violation(violations, Line::WrongReturn, text);
        }
    }
}

/// Compares the waiting work, according to its copies, with the ceiling of the configuration in
/// force. Work that already waits when a configuration lowers the ceiling keeps waiting, but must
/// not grow.
fn check_ceiling(history: &History, violations: &mut Vec<Violation>, figures: &mut Figures) {
    let mut before = 0;
    for (at, waiting) in &history.waiting {
        // Any configuration that may be in force: the last one acknowledged long enough ago, and
        // all later ones whose roll-out was requested.
        let known = |rollout: &&RolloutRecord| {
            rollout.acknowledged.is_some_and(|a| a + IN_FORCE_DELAY_US < *at)
        };
        let confirmed = history.rollouts.iter().filter(known).max_by_key(|rollout| rollout.version);
        let Some(confirmed) = confirmed else { continue };
        let possible = history.rollouts.iter().filter(|rollout| {
            rollout.version > confirmed.version
                && rollout.requested_at.is_some_and(|requested_at| requested_at <= *at)
        });
        let ceiling = possible.map(|rollout| rollout.ceiling).fold(confirmed.ceiling, u64::max);
        if *waiting > ceiling * 11 / 10 && *waiting > before {
            let text = format!("{waiting} waiting at {} ms, ceiling {ceiling}", at / 1_000);
            add_violation(violations, Line::Ceiling, text);
        }
        before = *waiting;
        figures.max_waiting = figures.max_waiting.max((*waiting, ceiling));
    }
}
