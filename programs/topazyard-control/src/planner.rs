//! Placement: which storage nodes hold each shard. Every change gives the shard a new epoch.
//!
//! A copy is only ever let go when two others hold everything: a learner is filled first, then
//! the record switches.

use topazyard_types::{DomainName, DurationMs, Epoch, NodeId, ShardId};
use topazyard_wire::RowChange;
use topazyard_wire::message::cohort::Member;
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::state::{
    FleetView, StorageRow, StorageStage, WeightRow, shard_key, storage_key, weight_key,
};

/// How often placement is looked at.
pub const EVERY: DurationMs = DurationMs(200);

/// How the storage nodes stand.
#[derive(Debug, Default)]
pub struct Standings {
    /// Those heard just now.
    pub heard: std::collections::BTreeMap<NodeId, Member>,
    /// Those of them that have missed an asking or two.
    pub silent: std::collections::BTreeSet<NodeId>,
    /// Those that count as down.
    pub down: std::collections::BTreeSet<NodeId>,
    /// Those whose disk is slow.
    pub slow: std::collections::BTreeSet<NodeId>,
    /// Whether the primary has served long enough to have heard everyone.
    pub settled: bool,
}

impl Standings {
    fn works(&self, id: NodeId) -> bool {
        self.heard.contains_key(&id) && !self.down.contains(&id)
    }
}

/// The record after its backup is let go.
///
/// ```
/// # use topazyard_control::planner::dropped_backup;
/// # use topazyard_types::{Epoch, NodeId};
/// # use topazyard_wire::message::control::{CoreNode, ShardRecord};
/// # let node = |id| CoreNode { id: NodeId(id), address: "127.0.0.1:1".parse().unwrap() };
/// let full = ShardRecord { epoch: Epoch(3), primary: node(1), backup: Some(node(2)),
///     fallback: None, learner: None };
/// let next = dropped_backup(&full).unwrap();
/// assert_eq!((next.epoch, next.backup, next.fallback), (Epoch(4), None, Some(node(2))));
/// ```
pub fn dropped_backup(record: &ShardRecord) -> Option<ShardRecord> {
    let backup = record.backup?;
    Some(ShardRecord {
        epoch: record.epoch.next(),
        backup: None,
        fallback: Some(backup),
        learner: record.learner.filter(|learner| learner.id != backup.id),
        ..record.clone()
    })
}

/// The record after its backup is let go, with whom to fill in its place.
pub fn without_backup(
    view: &FleetView,
    standings: &Standings,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let dropped = dropped_backup(record)?;
    // The one that has just failed to confirm comes last, though control may still hear it.
    let another =
        || choose_learner(view, standings, &ShardRecord { fallback: None, ..record.clone() });
    let any = || choose_learner(view, standings, &dropped);
    let learner = dropped.learner.or_else(another).or_else(any);
    Some(ShardRecord { learner, ..dropped })
}

/// The record after the primary and its backup change places; a backup that doesn't work is let go
/// instead.
pub fn handed_over(
    view: &FleetView,
    standings: &Standings,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let backup = record.backup?;
    if !standings.works(backup.id) {
        return without_backup(view, standings, record);
    }
    Some(ShardRecord {
        epoch: record.epoch.next(),
        primary: backup,
        backup: Some(record.primary),
        learner: None,
        ..record.clone()
    })
}

/// The record after its learner becomes the backup.
pub fn promoted_learner(record: &ShardRecord) -> Option<ShardRecord> {
    let learner = record.learner?;
    Some(ShardRecord {
        epoch: record.epoch.next(),
        backup: Some(learner),
        fallback: None,
        learner: None,
        ..record.clone()
    })
}

/// How many copies a node holds or is being given.
pub fn hosted(view: &FleetView, id: NodeId) -> usize {
    view.shards.values().filter(|record| holders(record).any(|node| node.id == id)).count()
}

fn holders(record: &ShardRecord) -> impl Iterator<Item = CoreNode> {
    [Some(record.primary), record.backup, record.fallback, record.learner].into_iter().flatten()
}

/// Whether so many nodes that work would be left to keep shards on if this one were emptied.
pub fn has_room_without(
    view: &FleetView,
    standings: &Standings,
    id: NodeId,
    needed: usize,
) -> bool {
    let others = view.storage.iter().filter(|(other, row)| {
        **other != id && row.stage == StorageStage::Active && standings.works(**other)
    });
    others.count() >= needed
}

/// What should change now.
pub fn plan(view: &FleetView, standings: &Standings) -> Vec<RowChange> {
    let mut changes = Vec::new();
    enlist(view, standings, &mut changes);
    give_first_weights(view, &mut changes);
    if !changes.is_empty() || !standings.settled {
        return changes;
    }
    let mut next = view.clone();
    for shard in ShardId::all() {
        let wanted = match next.shards.get(&shard) {
            None => place_new(&next, standings),
            Some(record) => mend(&next, standings, shard, record),
        };
        if let Some(record) = wanted {
            changes.push(RowChange::put(shard_key(shard), &record));
            next.shards.insert(shard, record);
        }
    }
    if changes.is_empty()
        && let Some((shard, record)) = balance(&next, standings)
    {
        changes.push(RowChange::put(shard_key(shard), &record));
    }
    changes
}

/// Takes in storage nodes that are new, and forgets those that are down and hold nothing.
fn enlist(view: &FleetView, standings: &Standings, changes: &mut Vec<RowChange>) {
    for (id, member) in &standings.heard {
        let known = view.storage.get(id);
        if known.is_none_or(|row| row.member != *member) {
            let stage = known.map_or(StorageStage::Active, |row| row.stage);
            let row = StorageRow { member: member.clone(), stage };
            changes.push(RowChange::put(storage_key(*id), &row));
        }
    }
    for (id, row) in &view.storage {
        if row.stage == StorageStage::Retiring && hosted(view, *id) == 0 {
            let row = StorageRow { stage: StorageStage::Retired, ..row.clone() };
            changes.push(RowChange::put(storage_key(*id), &row));
        }
    }
    for id in view.storage.keys() {
        if standings.down.contains(id) && hosted(view, *id) == 0 {
            changes.push(RowChange::gone(storage_key(*id)));
        }
    }
}

/// Gives each pool of the spec in force a weight to begin with, and takes those of other pools away.
fn give_first_weights(view: &FleetView, changes: &mut Vec<RowChange>) {
    let Some((_, bundle)) = &view.spec else { return };
    for pool in &bundle.pools {
        if !view.weights.contains_key(&pool.name) {
            let weight = WeightRow { live_percent: bundle.weights.live_start_percent };
            changes.push(RowChange::put(weight_key(&pool.name), &weight));
        }
    }
    for pool in view.weights.keys().filter(|pool| bundle.pool(pool).is_none()) {
        changes.push(RowChange::gone(weight_key(pool)));
    }
}

fn node(member: &Member) -> CoreNode {
    CoreNode { id: member.id, address: member.address }
}

fn domain(view: &FleetView, id: NodeId) -> Option<&DomainName> {
    view.storage.get(&id).map(|row| &row.member.domain)
}

/// Nodes that may be given a copy: those that speak before the silent, then those of other
/// domains, then the least laden.
fn candidates(
    view: &FleetView,
    standings: &Standings,
    apart_from: Option<&DomainName>,
    not: &[NodeId],
) -> Vec<CoreNode> {
    let mut nodes: Vec<(bool, bool, bool, usize, NodeId, CoreNode)> = view
        .storage
        .iter()
        .filter(|(id, row)| {
            row.stage == StorageStage::Active && standings.works(**id) && !not.contains(id)
        })
        .map(|(id, row)| {
            let together = apart_from == Some(&row.member.domain);
            let (silent, slow) = (standings.silent.contains(id), standings.slow.contains(id));
            (silent, together, slow, hosted(view, *id), *id, node(&row.member))
        })
        .collect();
    nodes.sort_by_key(|(silent, together, slow, laden, id, _)| {
        (*silent, *together, *slow, *laden, *id)
    });
    nodes.into_iter().map(|(_, _, _, _, _, node)| node).collect()
}

fn place_new(view: &FleetView, standings: &Standings) -> Option<ShardRecord> {
    let primary = *candidates(view, standings, None, &[]).first()?;
    let apart = domain(view, primary.id);
    let backup = *candidates(view, standings, apart, &[primary.id]).first()?;
    Some(ShardRecord {
        epoch: Epoch(1),
        primary,
        backup: Some(backup),
        fallback: None,
        learner: None,
    })
}

/// Chooses whom to fill: who already holds most comes first.
fn choose_learner(
    view: &FleetView,
    standings: &Standings,
    record: &ShardRecord,
) -> Option<CoreNode> {
    let not: Vec<NodeId> =
        [Some(record.primary), record.backup].into_iter().flatten().map(|node| node.id).collect();
    let apart = domain(view, record.primary.id);
    let all = candidates(view, standings, apart, &not);
    let is_apart = |node: &&CoreNode| domain(view, node.id) != apart;
    let fallback = record.fallback.and_then(|kept| all.iter().find(|node| node.id == kept.id));
    let fallback = fallback
        .filter(is_apart)
        .filter(|node| !standings.slow.contains(&node.id) && !standings.silent.contains(&node.id));
    fallback.or(all.first()).copied()
}

/// The record after a holder takes over alone, with whom to fill; the old primary stays as fallback.
fn promoted(
    view: &FleetView,
    standings: &Standings,
    record: &ShardRecord,
    successor: CoreNode,
) -> ShardRecord {
    let promoted = ShardRecord {
        epoch: record.epoch.next(),
        primary: successor,
        backup: None,
        fallback: Some(record.primary),
        learner: None,
    };
    let learner = choose_learner(view, standings, &promoted);
    ShardRecord { learner, ..promoted }
}

/// What a shard's record should become, if it should change.
fn mend(
    view: &FleetView,
    standings: &Standings,
    shard: ShardId,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let works = |node: &CoreNode| standings.works(node.id);
    if standings.down.contains(&record.primary.id) {
        // Whoever is named here holds all that was ever answered.
        let successor = record.backup.or(record.fallback).filter(works);
        let Some(successor) = successor else {
            return if shard.is_counter() {
                replace_counter(view, standings, record)
            } else {
                None
            };
        };
        return Some(promoted(view, standings, record, successor));
    }
    let unfit = |node: &CoreNode| {
        standings.down.contains(&node.id)
            || view.storage.get(&node.id).is_none_or(|row| row.stage != StorageStage::Active)
    };
    if let Some(backup) = record.backup.filter(works) {
        let is_slow = standings.slow.contains(&record.primary.id);
        if is_slow && !unfit(&backup) && !standings.slow.contains(&backup.id) {
            // A disk that stalls would hold up its successor's first batch, were it the backup.
            let promoted = promoted(view, standings, record, backup);
            if promoted.learner.is_some_and(|learner| !standings.slow.contains(&learner.id)) {
                return Some(promoted);
            }
        }
        let hand_over = unfit(&record.primary) || is_slow;
        if hand_over && !standings.slow.contains(&backup.id) {
            let stays = !unfit(&backup);
            return stays
                .then(|| handed_over(view, standings, record))
                .flatten()
                .or_else(|| learner_if_missing(view, standings, record));
        }
    }
    // Only for a strictly better copy: a backup that is unfit, stands in the primary's own
    // domain, or has a slow disk, in that order.
    let rank = |node: &CoreNode| {
        let together = domain(view, node.id) == domain(view, record.primary.id);
        (unfit(node), together, standings.slow.contains(&node.id))
    };
    let wants_learner = record.backup.as_ref().is_none_or(|backup| {
        let better = choose_learner(view, standings, record);
        better.is_some_and(|learner| rank(&learner) < rank(backup))
    });
    let learner_unfit = record.learner.as_ref().is_some_and(unfit);
    if wants_learner && (record.learner.is_none() || learner_unfit) {
        return learner_if_missing(
            view,
            standings,
            &ShardRecord { learner: None, ..record.clone() },
        );
    }
    None
}

fn learner_if_missing(
    view: &FleetView,
    standings: &Standings,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    if record.learner.is_some() {
        return None;
    }
    let learner = choose_learner(view, standings, record)?;
    Some(ShardRecord { epoch: record.epoch.next(), learner: Some(learner), ..record.clone() })
}

/// A counter whose copies are all gone starts empty elsewhere and gathers the holds of all live
/// relays before it grants.
fn replace_counter(
    view: &FleetView,
    standings: &Standings,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let fresh = place_new(view, standings)?;
    Some(ShardRecord { epoch: record.epoch.next(), ..fresh })
}

/// One move that evens the number of copies, when nothing else is under way.
fn balance(view: &FleetView, standings: &Standings) -> Option<(ShardId, ShardRecord)> {
    let settled = |record: &ShardRecord| record.backup.is_some() && record.learner.is_none();
    // A slow disk is no place to move to, and moving off one is mending, not balancing. Who is
    // silent may be down: moving then would only get in the way of mending.
    let quiet = standings.slow.is_empty() && standings.silent.is_empty();
    let all_work = view.storage.keys().all(|id| standings.works(*id));
    if !view.shards.values().all(settled) || !quiet || !all_work {
        return None;
    }
    let laden = |id: NodeId| hosted(view, id);
    let (most, _) = view.storage.iter().max_by_key(|(id, _)| (laden(**id), **id))?;
    for (shard, record) in &view.shards {
        let backup = record.backup?;
        if record.primary.id == *most {
            // Its backup's place can't be eased by a move; hand the primary duty over first.
            let least = candidates(view, standings, domain(view, backup.id), &[*most, backup.id]);
            if least.first().is_some_and(|least| laden(*most) >= laden(least.id) + 2)
                && view.shards.values().all(|other| other.backup.is_none_or(|b| b.id != *most))
            {
                let swapped = ShardRecord {
                    epoch: record.epoch.next(),
                    primary: backup,
                    backup: Some(record.primary),
                    ..record.clone()
                };
                return Some((*shard, swapped));
            }
        }
        if backup.id == *most {
            let apart = domain(view, record.primary.id);
            let least = candidates(view, standings, apart, &[*most, record.primary.id]);
            let is_apart = |node: &CoreNode| domain(view, node.id) != apart;
            let least = least
                .first()
                .filter(|least| laden(*most) >= laden(least.id) + 2)
                .filter(|least| is_apart(least) || !is_apart(&backup));
            let Some(least) = least else { continue };
            let moved =
                ShardRecord { epoch: record.epoch.next(), learner: Some(*least), ..record.clone() };
            return Some((*shard, moved));
        }
    }
    None
}
