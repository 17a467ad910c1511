//! Choice of witnesses: enough for a majority after the tolerated loss, spread over zones.

use topazyard_types::{DurationMs, NodeId, ZoneName};
use topazyard_wire::message::control::CoreNode;

/// A control node that is or may become a witness.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The node.
    pub node: CoreNode,
    /// Its zone, if known.
    pub zone: Option<ZoneName>,
    /// How long it has been silent.
    pub silence: DurationMs,
}

/// The requirements on a set of witnesses.
#[derive(Debug)]
pub struct Requirements {
    /// How many witnesses there should be.
    pub count: usize,
    /// How long a witness may be silent before it is replaced.
    pub silence_timeout: DurationMs,
    /// How many zones may be lost at once.
    pub lost_zones: usize,
}

fn count_in_zone(chosen: &[Candidate], zone: &Option<ZoneName>) -> usize {
    match zone {
        Some(_) => chosen.iter().filter(|candidate| candidate.zone == *zone).count(),
        None => 0,
    }
}

/// Removes and returns the candidate whose zone has the fewest chosen nodes.
fn take_next(chosen: &[Candidate], candidates: &mut Vec<Candidate>) -> Option<Candidate> {
    let zone_count = |candidate: &Candidate| count_in_zone(chosen, &candidate.zone);
    let (at, _) = candidates
        .iter()
        .enumerate()
        .min_by_key(|(_, candidate)| (zone_count(candidate), candidate.node.id))?;
    Some(candidates.remove(at))
}

/// Chooses all required nodes and as many candidates as are missing, over as many zones as
/// possible.
pub fn spread(
    required: Vec<Candidate>,
    mut candidates: Vec<Candidate>,
    count: usize,
) -> Vec<CoreNode> {
    let mut chosen = required;
    while chosen.len() < count {
        let Some(next) = take_next(&chosen, &mut candidates) else { break };
        chosen.push(next);
    }
    chosen.into_iter().map(|candidate| candidate.node).collect()
}

/// Whether a majority remains after the loss of the zones that have the most witnesses.
pub fn survive_zone_loss(witnesses: &[Candidate], lost_zones: usize) -> bool {
    let mut zones = std::collections::BTreeMap::<&ZoneName, usize>::new();
    for zone in witnesses.iter().filter_map(|witness| witness.zone.as_ref()) {
        *zones.entry(zone).or_default() += 1;
    }
    let mut counts: Vec<usize> = zones.into_values().collect();
    counts.sort_unstable_by(|left, right| right.cmp(left));
    let lost: usize = counts.iter().take(lost_zones).sum();
    witnesses.len() - lost > witnesses.len() / 2
}

/// The witnesses to follow `present`: all required nodes are included, silent ones are replaced by
/// spares, and where too many share a zone, one of them is replaced by a spare of another zone.
pub fn next(
    present: Vec<Candidate>,
    required: &[NodeId],
    spares: Vec<Candidate>,
    requirements: &Requirements,
) -> Vec<CoreNode> {
    let (required_spares, mut spares): (Vec<_>, Vec<_>) =
        spares.into_iter().partition(|spare| required.contains(&spare.node.id));
    let mut witnesses = present;
    let is_required = |witness: &Candidate| required.contains(&witness.node.id);
    for spare in required_spares {
        if witnesses.iter().any(|witness| witness.node.id == spare.node.id) {
            continue;
        }
        let replaced = most_silent(&witnesses, is_required, DurationMs(0));
        add_or_replace(&mut witnesses, spare, replaced, requirements.count);
    }
    spares.retain(|spare| witnesses.iter().all(|witness| witness.node.id != spare.node.id));
    loop {
        let replaced = most_silent(&witnesses, is_required, requirements.silence_timeout);
        if replaced.is_none() && witnesses.len() >= requirements.count {
            break;
        }
        let mut others = witnesses.clone();
        replaced.map(|at| others.remove(at));
        let Some(spare) = take_next(&others, &mut spares) else { break };
        add_or_replace(&mut witnesses, spare, replaced, requirements.count);
    }
    while !survive_zone_loss(&witnesses, requirements.lost_zones) {
        let Some((at, spare)) = better_spread(&witnesses, is_required, &mut spares) else { break };
        witnesses[at] = spare;
    }
    witnesses.into_iter().map(|witness| witness.node).collect()
}

/// Adds a witness if there are too few, and otherwise replaces the given one.
fn add_or_replace(
    witnesses: &mut Vec<Candidate>,
    next: Candidate,
    replaced: Option<usize>,
    count: usize,
) {
    match replaced {
        _ if witnesses.len() < count => witnesses.push(next),
        Some(at) => witnesses[at] = next,
        None => {}
    }
}

fn most_silent(
    witnesses: &[Candidate],
    is_required: impl Fn(&Candidate) -> bool,
    silence_timeout: DurationMs,
) -> Option<usize> {
    let replaceable = witnesses.iter().enumerate().filter(|(_, witness)| !is_required(witness));
    let silent = replaceable.filter(|(_, witness)| witness.silence >= silence_timeout);
    silent.max_by_key(|(at, witness)| (witness.silence, *at)).map(|(at, _)| at)
}

/// A witness of the zone that has the most, and a spare of a zone that has at least two fewer.
fn better_spread(
    witnesses: &[Candidate],
    is_required: impl Fn(&Candidate) -> bool,
    spares: &mut Vec<Candidate>,
) -> Option<(usize, Candidate)> {
    let replaceable = witnesses.iter().enumerate().filter(|(_, witness)| !is_required(witness));
    let (at, from_largest_zone) =
        replaceable.max_by_key(|(_, witness)| count_in_zone(witnesses, &witness.zone))?;
    let spare = take_next(witnesses, spares)?;
    let improves = count_in_zone(witnesses, &spare.zone) + 1
        < count_in_zone(witnesses, &from_largest_zone.zone);
    (improves && spare.zone.is_some()).then_some((at, spare))
}
