//! Batches: readable, listed for good, ended for good, within their ceiling.

use super::specs::IN_FORCE_US;
use super::{Bounds, Figures, Line, Violation, crossed};
use crate::history::{
    BatchReadOutcome, BatchRecord, History, Impairment, ListedResult, Micros, RolloutRecord,
};

/// How long after its acceptance a batch may not be readable yet.
const READABLE_US: Micros = 1_000_000;
/// Within which time a read must then be answered.
const READ_WITHIN_US: Micros = 1_000_000;
/// How long after a machine with a disk is back its copies may still be on one machine only.
const MENDED_US: Micros = 5_000_000;
/// After how long several machines that are out count as gone.
const FOR_LONG_US: Micros = 30_000_000;
/// How long after several machines were out a read may still fail.
const AFTER_SEVERAL_US: Micros = 12_000_000;
/// How long after its end an item may still start.
const ENDED_US: Micros = 3_000_000;

pub(super) fn check(
    history: &History,
    bounds: &Bounds,
    violations: &mut Vec<Violation>,
    figures: &mut Figures,
) {
    for (at, batch) in history.batches.iter().enumerate() {
        if batch.accepted.is_some() {
            figures.items += batch.items as usize;
        }
        check_reads(at, batch, history, bounds, violations, figures);
        check_lists(at, batch, history, violations);
    }
    for (at, run) in history.runs.iter().enumerate() {
        let Some(work) = run.work else { continue };
        let Some(number) = history.works[work].batch else { continue };
        figures.items_done_ms = figures.items_done_ms.max(run.ended.unwrap_or(0) / 1_000);
        let batch = &history.batches[number];
        let item = (work - batch.first_work) as u32;
        if batch.ended.is_some_and(|ended| run.began > ended + ENDED_US) {
            let text = format!("run {at}: item {item} of batch {number} started after its end");
            crossed(violations, Line::BatchEnded, text);
        }
        if batch.recalls.iter().any(|(_, recalled, never)| *recalled == item && *never) {
            let text = format!("run {at}: item {item} of batch {number} was recalled and ran");
            crossed(violations, Line::RanTwiceOrRefused, text);
        }
        let said_not_run = batch.lists.iter().flat_map(|(_, list)| list).any(|listed| {
            listed.item == item && matches!(listed.text.as_str(), "recalled" | "ended")
        });
        if said_not_run {
            let text = format!("run {at}: item {item} of batch {number} is listed as not run");
            crossed(violations, Line::RanTwiceOrRefused, text);
        }
    }
    check_ceiling(history, violations, figures);
}

/// A read that is refused, unanswered or late counts as one that can't be made, unless the relay
/// that was asked was struck itself or more than one machine with a disk was out.
fn check_reads(
    at: usize,
    batch: &BatchRecord,
    history: &History,
    bounds: &Bounds,
    violations: &mut Vec<Violation>,
    figures: &mut Figures,
) {
    let Some(accepted) = batch.accepted else { return };
    for read in batch.reads.iter().filter(|read| read.requested_at >= accepted + READABLE_US) {
        figures.reads += 1;
        if let Some((_, BatchReadOutcome::Unknown)) = read.outcome {
            let text = format!("batch {at} was accepted and is not known");
            crossed(violations, Line::BatchList, text);
        }
        let until = read.requested_at + READ_WITHIN_US;
        let given = matches!(read.outcome, Some((told, BatchReadOutcome::Given)) if told <= until);
        let excused = history.was_impaired(&read.relay, read.requested_at, until);
        if !given
            && !excused
            && !too_many_are_out(history, bounds.lost_machines, read.requested_at, until)
        {
            figures.reads_failed += 1;
            let (asked, relay) = (read.requested_at / 1_000, &read.relay);
            let text =
                format!("batch {at} asked of {relay} at {asked} ms could not be read: {read:?}");
            crossed(violations, Line::BatchList, text);
        }
    }
}

/// Whether more machines with a disk were out at some time, or had just been, than may be, so that
/// all copies of something may have been out of reach then.
fn too_many_are_out(history: &History, lost_machines: u16, from: Micros, until: Micros) -> bool {
    let out: Vec<_> = history.impairments.iter().filter(|impairment| impairment.has_disk).collect();
    are_out_together(&out, &mut Vec::new(), usize::from(lost_machines) + 1, &|together| {
        let began = together.iter().map(|impairment| impairment.from).max().unwrap_or(0);
        let mended = together.iter().map(|impairment| impairment.ends_at() + MENDED_US).min();
        let mended = mended.unwrap_or(0);
        // What stays out for long is gone: the others must do without it.
        let over = if mended > began + FOR_LONG_US { began } else { mended };
        began < mended && began <= until && over + AFTER_SEVERAL_US >= from
    })
}

/// Whether so many machines, each another one, were out together in a way that counts.
fn are_out_together<'a>(
    out: &[&'a Impairment],
    together: &mut Vec<&'a Impairment>,
    many: usize,
    counts: &impl Fn(&[&Impairment]) -> bool,
) -> bool {
    if together.len() == many {
        return counts(together);
    }
    out.iter().enumerate().any(|(at, one)| {
        let overlaps = |other: &&Impairment| {
            let began = one.from.max(other.from);
            let mended = one.ends_at().min(other.ends_at()) + MENDED_US;
            one.name != other.name && began < mended
        };
        if !together.iter().all(overlaps) {
            return false;
        }
        together.push(one);
        let counted = are_out_together(&out[at + 1..], together, many, counts);
        together.pop();
        counted
    })
}

fn check_lists(at: usize, batch: &BatchRecord, history: &History, violations: &mut Vec<Violation>) {
    let mut longest: &[ListedResult] = &[];
    for (_, list) in &batch.lists {
        let common = longest.len().min(list.len());
        if longest[..common] != list[..common] || list.len() < longest.len() {
            let text = format!("batch {at}: a listed return changed, moved or went");
            crossed(violations, Line::BatchList, text);
        }
        let mut items: Vec<u32> = list.iter().map(|listed| listed.item).collect();
        items.sort_unstable();
        if items.windows(2).any(|two| two[0] == two[1]) {
            crossed(violations, Line::BatchList, format!("batch {at}: an item is listed twice"));
        }
        let in_order = list.iter().zip(1..).all(|(listed, position)| listed.position == position);
        if !in_order {
            crossed(violations, Line::BatchList, format!("batch {at}: positions are not in order"));
        }
        longest = list;
    }
    if batch.accepted.is_some() && longest.len() < batch.items as usize {
        let text = format!("batch {at} has {} of {} returns at rest", longest.len(), batch.items);
        crossed(violations, Line::BatchList, text);
    }
    for listed in longest {
        let Some(body) = &listed.body else { continue };
        let work = batch.first_work + listed.item as usize;
        let own = history.runs.iter().enumerate().any(|(run, log)| {
            log.work == Some(work)
                && body.as_ref() == format!("return of work {work} run {run}").as_bytes()
        });
        if !own {
            let text = format!("batch {at}: item {} has a return not its own", listed.item);
            crossed(violations, Line::WrongReturn, text);
        }
    }
}

/// Holds what waits, as the copies have it, against the ceiling of the spec in force. What waits
/// when a spec lowers the ceiling goes on waiting, but grows no more.
fn check_ceiling(history: &History, violations: &mut Vec<Violation>, figures: &mut Figures) {
    let mut before = 0;
    for (at, waiting) in &history.waiting {
        // Any spec that may be in force: the last one acknowledged long enough ago, and all that
        // were asked for since.
        let known =
            |spec: &&RolloutRecord| spec.acknowledged.is_some_and(|a| a + IN_FORCE_US < *at);
        let surely = history.rollouts.iter().filter(known).max_by_key(|spec| spec.version);
        let Some(surely) = surely else { continue };
        let may_be = history.rollouts.iter().filter(|spec| {
            spec.version > surely.version && spec.requested_at.is_some_and(|asked| asked <= *at)
        });
        let ceiling = may_be.map(|spec| spec.ceiling).fold(surely.ceiling, u64::max);
        if *waiting > ceiling * 11 / 10 && *waiting > before {
            let text = format!("{waiting} waits at {} ms, ceiling {ceiling}", at / 1_000);
            crossed(violations, Line::Ceiling, text);
        }
        before = *waiting;
        figures.max_waiting = figures.max_waiting.max((*waiting, ceiling));
    }
}
