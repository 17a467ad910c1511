//! The choice of witnesses: as many as decide through the tolerated loss, spread over zones.

use topazyard_types::{DurationMs, NodeId, ZoneName};
use topazyard_wire::message::control::CoreNode;

/// A control node that is or may become a witness.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// It.
    pub node: CoreNode,
    /// Its zone, where it is known.
    pub zone: Option<ZoneName>,
    /// For how long it has not been heard.
    pub silence: DurationMs,
}

/// What a choice of witnesses must hold to.
#[derive(Debug)]
pub struct Requirements {
    /// How many there should be.
    pub count: usize,
    /// After how long without a word a witness is replaced.
    pub silence_timeout: DurationMs,
    /// How many zones may be lost at once.
    pub lost_zones: usize,
}

fn in_zone(chosen: &[Candidate], zone: &Option<ZoneName>) -> usize {
    match zone {
        Some(_) => chosen.iter().filter(|candidate| candidate.zone == *zone).count(),
        None => 0,
    }
}

/// Takes the candidate whose zone holds fewest of the chosen ones.
fn take_next(chosen: &[Candidate], candidates: &mut Vec<Candidate>) -> Option<Candidate> {
    let in_same_zone = |candidate: &Candidate| in_zone(chosen, &candidate.zone);
    let (at, _) = candidates
        .iter()
        .enumerate()
        .min_by_key(|(_, candidate)| (in_same_zone(candidate), candidate.node.id))?;
    Some(candidates.remove(at))
}

/// Those that must be chosen, and of the candidates as many more as are wanted, over as many zones as
/// can be.
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

/// Whether a majority is left after the loss of the zones that hold most of them.
pub fn survive_zone_loss(witnesses: &[Candidate], lost_zones: usize) -> bool {
    let mut zones = std::collections::BTreeMap::<&ZoneName, usize>::new();
    for zone in witnesses.iter().filter_map(|witness| witness.zone.as_ref()) {
        *zones.entry(zone).or_default() += 1;
    }
    let mut counts: Vec<usize> = zones.into_values().collect();
    counts.sort_unstable_by(|candidate, other| other.cmp(candidate));
    let lost: usize = counts.iter().take(lost_zones).sum();
    witnesses.len() - lost > witnesses.len() / 2
}

/// The witnesses after these: all that must be named are, silent ones give way to spares, and where
/// too many stand in one zone, one of them gives way to a spare of another.
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
    for named in required_spares {
        if witnesses.iter().any(|witness| witness.node.id == named.node.id) {
            continue;
        }
        let replaced = most_silent(&witnesses, is_required, DurationMs(0));
        add_or_replace(&mut witnesses, named, replaced, requirements.count);
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

/// Adds a witness where there are too few, or else puts it in the place of one.
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

/// A witness of the zone that holds most, and a spare of a zone that holds fewer by two at least.
fn better_spread(
    witnesses: &[Candidate],
    is_required: impl Fn(&Candidate) -> bool,
    spares: &mut Vec<Candidate>,
) -> Option<(usize, Candidate)> {
    let replaceable = witnesses.iter().enumerate().filter(|(_, witness)| !is_required(witness));
    let (at, from_largest_zone) =
        replaceable.max_by_key(|(_, witness)| in_zone(witnesses, &witness.zone))?;
    let spare = take_next(witnesses, spares)?;
    let improves =
        in_zone(witnesses, &spare.zone) + 1 < in_zone(witnesses, &from_largest_zone.zone);
    (improves && spare.zone.is_some()).then_some((at, spare))
}
