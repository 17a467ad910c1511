//! Placement: which storage nodes hold each shard. Every change gives the shard a new epoch.
//!
//! A copy is only ever let go when as many others hold everything as the tolerated loss needs: a
//! learner is filled first, then the record switches.

use topazyard_types::{DurationMs, Epoch, NodeId, ShardId, ZoneName};
use topazyard_wire::RowChange;
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::message::membership::Member;
use topazyard_wire::state::{
    FleetSnapshot, StorageRow, StorageStage, WeightRow, shard_key, storage_key, weight_key,
};

/// How often placement is looked at.
pub const PLAN_INTERVAL: DurationMs = DurationMs(200);

/// How the storage nodes stand.
#[derive(Debug)]
pub struct StorageStatus {
    /// How many copies each shard has, its primary's among them: one more than may be lost.
    pub copies: u16,
    /// Those heard just now.
    pub reachable: std::collections::BTreeMap<NodeId, Member>,
    /// Those of them that have missed an asking or two.
    pub suspected: std::collections::BTreeSet<NodeId>,
    /// Those that count as down.
    pub down: std::collections::BTreeSet<NodeId>,
    /// Those whose disk is slow.
    pub slow: std::collections::BTreeSet<NodeId>,
    /// Those whose disk is full.
    pub full: std::collections::BTreeSet<NodeId>,
    /// Whether the primary has served long enough to have heard everyone.
    pub settled: bool,
}

impl Default for StorageStatus {
    /// Nobody heard, and one machine that may be lost.
    fn default() -> Self {
        Self {
            copies: 2,
            reachable: std::collections::BTreeMap::new(),
            suspected: std::collections::BTreeSet::new(),
            down: std::collections::BTreeSet::new(),
            slow: std::collections::BTreeSet::new(),
            full: std::collections::BTreeSet::new(),
            settled: false,
        }
    }
}

impl StorageStatus {
    fn backups(&self) -> usize {
        usize::from(self.copies).saturating_sub(1)
    }

    /// Whether a node may hold a copy that must take writes.
    fn is_usable(&self, id: NodeId) -> bool {
        self.reachable.contains_key(&id) && !self.cannot_write(id)
    }

    /// Whether a node can take no write, be it down or full.
    fn cannot_write(&self, id: NodeId) -> bool {
        self.down.contains(&id) || self.full.contains(&id)
    }
}

/// The record without fallbacks if it may answer: they are sent nothing, and one that led later would
/// lack what was answered meanwhile.
fn without_unneeded_fallbacks(record: ShardRecord) -> ShardRecord {
    let fallbacks = if record.is_complete() { Vec::new() } else { record.fallbacks };
    ShardRecord { fallbacks, ..record }
}

/// The record after backups are let go; they are kept as fallbacks until it is complete again.
///
/// ```
/// # use topazyard_control::planner::dropped_backups;
/// # use topazyard_types::{Epoch, NodeId};
/// # use topazyard_wire::message::control::{CoreNode, ShardRecord};
/// # let node = |id| CoreNode { id: NodeId(id), address: "127.0.0.1:1".parse().unwrap() };
/// let full = ShardRecord { epoch: Epoch(3), copies: 3, primary: node(1),
///     backups: vec![node(2), node(4)], fallbacks: vec![], learners: vec![] };
/// let next = dropped_backups(&full, &[NodeId(2)]).unwrap();
/// assert_eq!((next.epoch, next.backups, next.fallbacks), (Epoch(4), vec![node(4)], vec![node(2)]));
/// assert_eq!(dropped_backups(&full, &[NodeId(7)]), None);
/// ```
pub fn drop_backups(record: &ShardRecord, silent: &[NodeId]) -> Option<ShardRecord> {
    let is_silent = |node: &CoreNode| silent.contains(&node.id);
    let (removed, backups): (Vec<CoreNode>, Vec<CoreNode>) =
        record.backups.iter().copied().partition(is_silent);
    if removed.is_empty() {
        return None;
    }
    Some(without_unneeded_fallbacks(ShardRecord {
        epoch: record.epoch.next(),
        backups,
        fallbacks: union(&record.fallbacks, &removed),
        learners: without(&record.learners, &removed),
        ..record.clone()
    }))
}

fn without(nodes: &[CoreNode], removed: &[CoreNode]) -> Vec<CoreNode> {
    let stays = |node: &&CoreNode| removed.iter().all(|other| other.id != node.id);
    nodes.iter().filter(stays).copied().collect()
}

fn union(nodes: &[CoreNode], more: &[CoreNode]) -> Vec<CoreNode> {
    without(nodes, more).into_iter().chain(more.iter().copied()).collect()
}

/// The record after backups that don't confirm are let go, with whom to fill in their place.
pub fn replace_backups(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
    silent: &[NodeId],
) -> Option<ShardRecord> {
    let dropped = drop_backups(record, silent)?;
    Some(with_learners(fleet, status, &dropped, silent))
}

/// The record with learners for all backups that are missing, if so many nodes work. Those that
/// have just failed come last, though control may still hear them.
fn with_learners(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
    failed: &[NodeId],
) -> ShardRecord {
    let missing = status.backups().saturating_sub(record.backups.len());
    let mut next = record.clone();
    while next.learners.len() < missing {
        let chosen = choose_learner(fleet, status, &next, failed)
            .or_else(|| choose_learner(fleet, status, &next, &[]));
        let Some(learner) = chosen else { break };
        next.learners.push(learner);
    }
    next
}

/// The record after the primary and a backup change places. While none is heard, one may only be
/// starting, as after a loss of power: they are let go once all of them are down.
pub fn hand_over_primary(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let is_usable = |node: &&CoreNode| status.is_usable(node.id);
    let rank = |node: &&CoreNode| status.slow.contains(&node.id);
    if let Some(successor) = record.backups.iter().filter(is_usable).min_by_key(rank) {
        return Some(swap_primary(record, *successor));
    }
    let all: Vec<NodeId> = record.backups.iter().map(|node| node.id).collect();
    let all_down = all.iter().all(|id| status.down.contains(id));
    if all_down { replace_backups(fleet, status, record, &all) } else { None }
}

/// The record after a backup leads and its primary takes its place.
fn swap_primary(record: &ShardRecord, successor: CoreNode) -> ShardRecord {
    let place = |node: &CoreNode| if node.id == successor.id { record.primary } else { *node };
    ShardRecord {
        epoch: record.epoch.next(),
        primary: successor,
        backups: record.backups.iter().map(place).collect(),
        learners: Vec::new(),
        ..record.clone()
    }
}

/// The record after its learners become backups, in place of the worst where that makes too many.
pub fn promote_learners(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    if record.learners.is_empty() {
        return None;
    }
    let mut next = ShardRecord {
        epoch: record.epoch.next(),
        backups: union(&record.backups, &record.learners),
        learners: Vec::new(),
        ..record.clone()
    };
    while next.backups.len() > status.backups() {
        let worst = worst_placed_backup(fleet, status, &next)?;
        next.backups.retain(|node| node.id != worst.id);
    }
    if next.backups.len() == status.backups() {
        next.copies = status.copies;
    }
    next.fallbacks = without(&next.fallbacks, &next.backups);
    next = without_unneeded_fallbacks(next);
    if !next.is_complete() {
        next = with_learners(fleet, status, &next, &[]);
    }
    Some(next)
}

/// How ill a node is placed in a record, whether as backup or in place of one: unfit, then in the
/// zone of another copy, then with a slow disk.
fn rank(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    others: &[CoreNode],
    node: &CoreNode,
) -> (bool, bool, bool) {
    let own = zone(fleet, node.id);
    let shares_zone =
        others.iter().any(|other| other.id != node.id && zone(fleet, other.id) == own);
    (is_unfit(fleet, status, node), shares_zone, status.slow.contains(&node.id))
}

fn is_unfit(fleet: &FleetSnapshot, status: &StorageStatus, node: &CoreNode) -> bool {
    status.cannot_write(node.id)
        || fleet.storage.get(&node.id).is_none_or(|row| row.stage != StorageStage::Active)
}

/// The backup that is placed worst; of several alike the one whose node holds most.
fn worst_placed_backup(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
) -> Option<CoreNode> {
    let members: Vec<CoreNode> = record.members().copied().collect();
    let key = |node: &&CoreNode| {
        (rank(fleet, status, &members, node), hosted_copies(fleet, node.id), node.id)
    };
    record.backups.iter().max_by_key(key).copied()
}

/// How many copies a node holds or is being given.
pub fn hosted_copies(fleet: &FleetSnapshot, id: NodeId) -> usize {
    fleet.shards.values().filter(|record| record.holders().any(|node| node.id == id)).count()
}

/// Whether so many nodes that work would be left to keep shards on if this one were emptied.
pub fn has_capacity_without(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    id: NodeId,
    needed: usize,
) -> bool {
    let others = fleet.storage.iter().filter(|(other, row)| {
        **other != id && row.stage == StorageStage::Active && status.is_usable(**other)
    });
    others.count() >= needed
}

/// What should change now.
pub fn plan(fleet: &FleetSnapshot, status: &StorageStatus) -> Vec<RowChange> {
    let mut changes = Vec::new();
    register_nodes(fleet, status, &mut changes);
    initialize_weights(fleet, &mut changes);
    if !changes.is_empty() || !status.settled {
        return changes;
    }
    let mut next = fleet.clone();
    for shard in ShardId::all() {
        let wanted = match next.shards.get(&shard) {
            None => place_shard(&next, status),
            Some(record) => repair(&next, status, shard, record),
        };
        if let Some(record) = wanted {
            changes.push(RowChange::put(shard_key(shard), &record));
            next.shards.insert(shard, record);
        }
    }
    if changes.is_empty()
        && let Some((shard, record)) = rebalance(&next, status)
    {
        changes.push(RowChange::put(shard_key(shard), &record));
    }
    changes
}

/// Takes in storage nodes that are new, and forgets those that are down and hold nothing.
fn register_nodes(fleet: &FleetSnapshot, status: &StorageStatus, changes: &mut Vec<RowChange>) {
    for (id, member) in &status.reachable {
        let known = fleet.storage.get(id);
        if known.is_none_or(|row| row.member != *member) {
            let stage = known.map_or(StorageStage::Active, |row| row.stage);
            let row = StorageRow { member: member.clone(), stage };
            changes.push(RowChange::put(storage_key(*id), &row));
        }
    }
    for (id, row) in &fleet.storage {
        if row.stage == StorageStage::Retiring && hosted_copies(fleet, *id) == 0 {
            let row = StorageRow { stage: StorageStage::Retired, ..row.clone() };
            changes.push(RowChange::put(storage_key(*id), &row));
        }
    }
    for id in fleet.storage.keys() {
        if status.down.contains(id) && hosted_copies(fleet, *id) == 0 {
            changes.push(RowChange::delete(storage_key(*id)));
        }
    }
}

/// Gives each pool of the spec in force a weight to begin with, and takes those of other pools away.
fn initialize_weights(fleet: &FleetSnapshot, changes: &mut Vec<RowChange>) {
    let Some((_, bundle)) = &fleet.configuration else { return };
    for pool in &bundle.pools {
        if !fleet.weights.contains_key(&pool.name) {
            let weight = WeightRow { live_percent: bundle.weights.live_start_percent };
            changes.push(RowChange::put(weight_key(&pool.name), &weight));
        }
    }
    for pool in fleet.weights.keys().filter(|pool| bundle.pool(pool).is_none()) {
        changes.push(RowChange::delete(weight_key(pool)));
    }
}

fn node(member: &Member) -> CoreNode {
    CoreNode { id: member.id, address: member.address }
}

fn zone(fleet: &FleetSnapshot, id: NodeId) -> Option<&ZoneName> {
    fleet.storage.get(&id).map(|row| &row.member.zone)
}

/// Nodes that may be given a copy: those that speak before the silent, then those of other
/// zones, then the least laden.
fn candidates(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    avoided_zones: &[&ZoneName],
    excluded: &[NodeId],
) -> Vec<CoreNode> {
    let mut nodes: Vec<(bool, bool, bool, usize, NodeId, CoreNode)> = fleet
        .storage
        .iter()
        .filter(|(id, row)| {
            row.stage == StorageStage::Active && status.is_usable(**id) && !excluded.contains(id)
        })
        .map(|(id, row)| {
            let shares_zone = avoided_zones.contains(&&row.member.zone);
            let (suspected, slow) = (status.suspected.contains(id), status.slow.contains(id));
            (suspected, shares_zone, slow, hosted_copies(fleet, *id), *id, node(&row.member))
        })
        .collect();
    nodes.sort_by_key(|(suspected, shares_zone, slow, load, id, _)| {
        (*suspected, *shares_zone, *slow, *load, *id)
    });
    nodes.into_iter().map(|(_, _, _, _, _, node)| node).collect()
}

/// Zones of nodes, as far as they are known.
fn zones<'a>(
    fleet: &'a FleetSnapshot,
    nodes: impl Iterator<Item = &'a CoreNode>,
) -> Vec<&'a ZoneName> {
    nodes.filter_map(|node| zone(fleet, node.id)).collect()
}

fn place_shard(fleet: &FleetSnapshot, status: &StorageStatus) -> Option<ShardRecord> {
    let primary = *candidates(fleet, status, &[], &[]).first()?;
    let mut record = ShardRecord {
        epoch: Epoch(1),
        copies: status.copies,
        primary,
        backups: Vec::new(),
        fallbacks: Vec::new(),
        learners: Vec::new(),
    };
    while !record.is_complete() {
        let avoided = zones(fleet, record.members());
        let excluded: Vec<NodeId> = record.members().map(|node| node.id).collect();
        let backup = *candidates(fleet, status, &avoided, &excluded).first()?;
        record.backups.push(backup);
    }
    Some(record)
}

/// Chooses whom to fill besides those that are being filled: who already holds most comes first.
fn choose_learner(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
    failed: &[NodeId],
) -> Option<CoreNode> {
    let assigned = || record.members().chain(&record.learners);
    let excluded: Vec<NodeId> =
        assigned().map(|node| node.id).chain(failed.iter().copied()).collect();
    let avoided = zones(fleet, assigned());
    let all = candidates(fleet, status, &avoided, &excluded);
    let is_fallback = |node: &&CoreNode| record.fallbacks.iter().any(|kept| kept.id == node.id);
    let in_other_zone =
        |node: &&CoreNode| zone(fleet, node.id).is_none_or(|own| !avoided.contains(&own));
    let is_healthy =
        |node: &&CoreNode| !status.slow.contains(&node.id) && !status.suspected.contains(&node.id);
    let fallback = all.iter().filter(is_fallback).filter(in_other_zone).find(is_healthy);
    fallback.or(all.first()).copied()
}

/// The record after a holder takes over, with whom to fill; the old primary stays as fallback.
fn promote(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
    successor: CoreNode,
) -> ShardRecord {
    let is_usable = |node: &CoreNode| node.id != successor.id && status.is_usable(node.id);
    let (backups, removed): (Vec<CoreNode>, Vec<CoreNode>) =
        record.backups.iter().copied().partition(is_usable);
    let is_fallback = union(&union(&record.fallbacks, &removed), &[record.primary]);
    let promoted = without_unneeded_fallbacks(ShardRecord {
        epoch: record.epoch.next(),
        copies: record.copies,
        primary: successor,
        backups,
        fallbacks: without(&is_fallback, &[successor]),
        learners: Vec::new(),
    });
    with_learners(fleet, status, &promoted, &[])
}

/// What a shard's record should become, if it should change.
fn repair(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    shard: ShardId,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let is_usable = |node: &CoreNode| status.is_usable(node.id);
    if status.cannot_write(record.primary.id) {
        // Whoever is named here holds all that was ever answered.
        let slow = |node: &&CoreNode| status.slow.contains(&node.id);
        let successor = record.backups.iter().filter(|node| is_usable(node)).min_by_key(slow);
        let successor = successor.or_else(|| record.fallbacks.iter().find(|node| is_usable(node)));
        let Some(successor) = successor else {
            // A counter whose disk is full goes on: it needs none.
            return if shard.is_counter() && status.down.contains(&record.primary.id) {
                replace_counter(fleet, status, record)
            } else {
                None
            };
        };
        return Some(promote(fleet, status, record, *successor));
    }
    let unfit = |node: &CoreNode| is_unfit(fleet, status, node);
    let is_slow = |node: &CoreNode| status.slow.contains(&node.id);
    let working: Vec<CoreNode> =
        record.backups.iter().filter(|node| is_usable(node)).copied().collect();
    let fit = |node: &&CoreNode| !unfit(node) && !is_slow(node);
    if let Some(first) = working.first() {
        let successor = working.iter().find(fit);
        if let Some(successor) = successor.filter(|_| is_slow(&record.primary)) {
            // A disk that stalls would hold up its successor's first batch, were it a backup.
            let promoted = promote(fleet, status, record, *successor);
            if promoted.learners.iter().any(|learner| !is_slow(learner)) {
                return Some(promoted);
            }
        }
        let should_hand_over = unfit(&record.primary) || is_slow(&record.primary);
        if should_hand_over && (successor.is_some() || !is_slow(first)) {
            if let Some(successor) = successor {
                return Some(swap_primary(record, *successor));
            }
            if record.backups.len() >= status.backups() {
                return add_replacement_learner(fleet, status, record);
            }
        }
    }
    if record.backups.len() < status.backups() {
        let fit: Vec<CoreNode> =
            record.learners.iter().filter(|node| !unfit(node)).copied().collect();
        let base = ShardRecord { learners: fit.clone(), ..record.clone() };
        let next = with_learners(fleet, status, &base, &[]);
        let found = next.learners.len() > fit.len();
        return found.then(|| ShardRecord { epoch: record.epoch.next(), ..next });
    }
    if record.copies > status.copies {
        // Less may be lost than before: the copies there are suffice.
        let fewer =
            ShardRecord { epoch: record.epoch.next(), copies: status.copies, ..record.clone() };
        return Some(without_unneeded_fallbacks(fewer));
    }
    // Only for a strictly better copy: in place of a backup that is unfit, stands in the zone of
    // another copy, or has a slow disk, in that order.
    let worst = worst_placed_backup(fleet, status, record)?;
    let others: Vec<CoreNode> =
        record.members().filter(|node| node.id != worst.id).copied().collect();
    let base = ShardRecord { learners: Vec::new(), ..record.clone() };
    let better = choose_replacement(fleet, status, &base, &worst)?;
    let is_better = rank(fleet, status, &others, &better) < rank(fleet, status, &others, &worst);
    let learner_unfit = record.learners.iter().any(unfit);
    if is_better && (record.learners.is_empty() || learner_unfit) {
        return Some(ShardRecord {
            epoch: record.epoch.next(),
            learners: vec![better],
            ..record.clone()
        });
    }
    None
}

/// Whom to fill so that it takes a backup's place.
fn choose_replacement(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
    backup: &CoreNode,
) -> Option<CoreNode> {
    let others: Vec<CoreNode> =
        record.backups.iter().filter(|node| node.id != backup.id).copied().collect();
    let without = ShardRecord { backups: others, ..record.clone() };
    choose_learner(fleet, status, &without, &[backup.id])
}

/// The record with a learner that may take the place of a backup.
fn add_replacement_learner(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    if !record.learners.is_empty() {
        return None;
    }
    let worst = worst_placed_backup(fleet, status, record)?;
    let learner = choose_replacement(fleet, status, record, &worst)?;
    let epoch = record.epoch.next();
    Some(ShardRecord { epoch, learners: vec![learner], ..record.clone() })
}

/// A counter whose copies are all gone starts empty elsewhere and gathers the holds of all live
/// relays before it grants.
fn replace_counter(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let fresh = place_shard(fleet, status)?;
    Some(ShardRecord { epoch: record.epoch.next(), ..fresh })
}

/// One move that evens the number of copies, when nothing else is under way.
fn rebalance(fleet: &FleetSnapshot, status: &StorageStatus) -> Option<(ShardId, ShardRecord)> {
    let settled = |record: &ShardRecord| record.is_complete() && record.learners.is_empty();
    // A slow disk is no place to move to, and moving off one is mending, not balancing. Who is
    // silent may be down: moving then would only get in the way of mending.
    let all_healthy = status.slow.is_empty() && status.suspected.is_empty();
    let all_usable = fleet.storage.keys().all(|id| status.is_usable(*id));
    if !fleet.shards.values().all(settled) || !all_healthy || !all_usable {
        return None;
    }
    let load = |id: NodeId| hosted_copies(fleet, id);
    let (most_loaded, _) = fleet.storage.iter().max_by_key(|(id, _)| (load(**id), **id))?;
    for (shard, record) in &fleet.shards {
        let excluded: Vec<NodeId> = record.members().map(|node| node.id).collect();
        if record.primary.id == *most_loaded
            && let Some(backup) = record.backups.first()
        {
            // Its backup's place can't be eased by a move; hand the primary duty over first.
            let avoided = zones(fleet, record.backups.iter());
            let target = candidates(fleet, status, &avoided, &excluded);
            if target.first().is_some_and(|target| load(*most_loaded) >= load(target.id) + 2)
                && fleet.shards.values().all(|other| !other.is_backup(*most_loaded))
            {
                return Some((*shard, swap_primary(record, *backup)));
            }
        }
        if record.is_backup(*most_loaded) {
            let others: Vec<&CoreNode> =
                record.members().filter(|node| node.id != *most_loaded).collect();
            let avoided = zones(fleet, others.into_iter());
            let target = candidates(fleet, status, &avoided, &excluded);
            let in_other_zone =
                |id: NodeId| zone(fleet, id).is_none_or(|own| !avoided.contains(&own));
            let target = target
                .first()
                .filter(|target| load(*most_loaded) >= load(target.id) + 2)
                .filter(|target| in_other_zone(target.id) || !in_other_zone(*most_loaded));
            let Some(target) = target else { continue };
            let epoch = record.epoch.next();
            let moved = ShardRecord { epoch, learners: vec![*target], ..record.clone() };
            return Some((*shard, moved));
        }
    }
    None
}
