//! Placement: which storage nodes hold each shard. Every change gives the shard a new epoch.
//!
//! A copy is only released when enough others hold everything to survive the tolerated loss: a
//! learner is filled first, and then the record changes.

use topazyard_types::{DurationMs, Epoch, NodeId, ShardId, ZoneName};
use topazyard_wire::RowChange;
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::message::membership::Member;
use topazyard_wire::state::{
    FleetSnapshot, StorageRow, StorageStage, WeightRow, shard_key, storage_key, weight_key,
};

/// How often placement is planned.
pub const PLAN_INTERVAL: DurationMs = DurationMs(200);

/// The status of the storage nodes.
#[derive(Debug)]
pub struct StorageStatus {
    /// How many copies each shard has, including the primary's: one more than may be lost.
    pub copies: u16,
    /// Nodes that reported recently.
    pub reachable: std::collections::BTreeMap<NodeId, Member>,
    /// Reachable nodes that have missed a report or two.
    pub suspected: std::collections::BTreeSet<NodeId>,
    /// Nodes that count as down.
    pub down: std::collections::BTreeSet<NodeId>,
    /// Nodes whose disk is slow.
    pub slow: std::collections::BTreeSet<NodeId>,
    /// Nodes whose disk is full.
    pub full: std::collections::BTreeSet<NodeId>,
    /// Whether the primary has served long enough to have received a report of every node.
    pub settled: bool,
}

impl Default for StorageStatus {
    /// No reachable nodes, and one machine that may be lost.
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

    /// Whether a node accepts no writes, because it is down or full.
    fn cannot_write(&self, id: NodeId) -> bool {
        self.down.contains(&id) || self.full.contains(&id)
    }
}

/// Drops the fallbacks of a record that may serve: they receive no writes, so a fallback that
/// became primary later would lack what was acknowledged meanwhile.
fn without_unneeded_fallbacks(record: ShardRecord) -> ShardRecord {
    let fallbacks = if record.is_complete() { Vec::new() } else { record.fallbacks };
    ShardRecord { fallbacks, ..record }
}

/// Drops backups from a record. They are kept as fallbacks until the record is complete again.
///
/// ```
/// # use topazyard_control::planner::drop_backups;
/// # use topazyard_types::{Epoch, NodeId};
/// # use topazyard_wire::message::control::{CoreNode, ShardRecord};
/// # let node = |id| CoreNode { id: NodeId(id), address: "127.0.0.1:1".parse().unwrap() };
/// let full = ShardRecord { epoch: Epoch(3), copies: 3, primary: node(1),
///     backups: vec![node(2), node(4)], fallbacks: vec![], learners: vec![] };
/// let next = drop_backups(&full, &[NodeId(2)]).unwrap();
/// assert_eq!(
///     (next.epoch, next.backups, next.fallbacks),
///     (Epoch(4), vec![node(4)], vec![node(2)]),
/// );
/// assert_eq!(drop_backups(&full, &[NodeId(7)]), None);
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

/// Drops backups that don't confirm, and adds learners to replace them.
pub fn replace_backups(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
    silent: &[NodeId],
) -> Option<ShardRecord> {
    let dropped = drop_backups(record, silent)?;
    Some(with_learners(fleet, status, &dropped, silent))
}

/// Adds learners for all missing backups, as far as enough nodes are usable. Nodes that have just
/// failed are chosen last, though they may still be reachable from control.
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

/// Swaps the primary with a backup. Backups that are unreachable may only be starting, as after a
/// power loss, so they are dropped only once all of them are down.
pub fn hand_over_primary(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let is_usable = |node: &&CoreNode| status.is_usable(node.id);
    let preference = |node: &&CoreNode| status.slow.contains(&node.id);
    if let Some(successor) = record.backups.iter().filter(is_usable).min_by_key(preference) {
        return Some(swap_primary(record, *successor));
    }
    let all: Vec<NodeId> = record.backups.iter().map(|node| node.id).collect();
    let all_down = all.iter().all(|id| status.down.contains(id));
    if all_down { replace_backups(fleet, status, record, &all) } else { None }
}

/// Makes a backup the primary and the primary a backup.
fn swap_primary(record: &ShardRecord, successor: CoreNode) -> ShardRecord {
    let replace = |node: &CoreNode| if node.id == successor.id { record.primary } else { *node };
    ShardRecord {
        epoch: record.epoch.next(),
        primary: successor,
        backups: record.backups.iter().map(replace).collect(),
        learners: Vec::new(),
        ..record.clone()
    }
}

/// Promotes the learners to backups, replacing the worst placed ones if that makes too many.
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

/// Cost of placing a node in a record, as a backup or instead of one: unfit first, then sharing the
/// zone of another copy, then a slow disk.
fn placement_cost(
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

/// The backup with the highest placement cost. Among equals, the one whose node holds the most
/// copies.
fn worst_placed_backup(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
) -> Option<CoreNode> {
    let members: Vec<CoreNode> = record.members().copied().collect();
    let key = |node: &&CoreNode| {
        (placement_cost(fleet, status, &members, node), hosted_copies(fleet, node.id), node.id)
    };
    record.backups.iter().max_by_key(key).copied()
}

/// How many copies a node holds or is being filled with.
pub fn hosted_copies(fleet: &FleetSnapshot, id: NodeId) -> usize {
    fleet.shards.values().filter(|record| record.holders().any(|node| node.id == id)).count()
}

/// Whether at least `needed` other nodes remain usable if this one is emptied.
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

/// The changes to make now.
pub fn plan(fleet: &FleetSnapshot, status: &StorageStatus) -> Vec<RowChange> {
    let mut changes = Vec::new();
    register_nodes(fleet, status, &mut changes);
    initialize_weights(fleet, &mut changes);
    if !changes.is_empty() || !status.settled {
        return changes;
    }
    let mut next = fleet.clone();
    for shard in ShardId::all() {
        let next_record = match next.shards.get(&shard) {
            None => place_shard(&next, status),
            Some(record) => repair(&next, status, shard, record),
        };
        if let Some(record) = next_record {
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

/// Registers new storage nodes, and removes those that are down and hold nothing.
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

/// Gives each pool of the configuration in force an initial weight, and deletes the weights of
/// other pools.
fn initialize_weights(fleet: &FleetSnapshot, changes: &mut Vec<RowChange>) {
    let Some((_, configuration)) = &fleet.configuration else { return };
    for pool in &configuration.pools {
        if !fleet.weights.contains_key(&pool.name) {
            let weight = WeightRow { live_percent: configuration.weights.live_start_percent };
            changes.push(RowChange::put(weight_key(&pool.name), &weight));
        }
    }
    for pool in fleet.weights.keys().filter(|pool| configuration.pool(pool).is_none()) {
        changes.push(RowChange::delete(weight_key(pool)));
    }
}

fn node(member: &Member) -> CoreNode {
    CoreNode { id: member.id, address: member.address }
}

fn zone(fleet: &FleetSnapshot, id: NodeId) -> Option<&ZoneName> {
    fleet.storage.get(&id).map(|row| &row.member.zone)
}

/// Nodes that may be given a copy: responsive nodes first, then those in other zones, then those
/// with the fewest copies.
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

/// The zones of nodes, as far as they are known.
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

/// Chooses the next learner, besides those being filled. A healthy fallback in a zone of its own
/// comes first, since it already holds most of the data.
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
    let is_fallback =
        |node: &&CoreNode| record.fallbacks.iter().any(|fallback| fallback.id == node.id);
    let in_other_zone =
        |node: &&CoreNode| zone(fleet, node.id).is_none_or(|own| !avoided.contains(&own));
    let is_healthy =
        |node: &&CoreNode| !status.slow.contains(&node.id) && !status.suspected.contains(&node.id);
    let fallback = all.iter().filter(is_fallback).filter(in_other_zone).find(is_healthy);
    fallback.or(all.first()).copied()
}

/// Makes a holder the primary and adds learners. The old primary becomes a fallback.
fn promote(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
    successor: CoreNode,
) -> ShardRecord {
    let is_usable = |node: &CoreNode| node.id != successor.id && status.is_usable(node.id);
    let (backups, removed): (Vec<CoreNode>, Vec<CoreNode>) =
        record.backups.iter().copied().partition(is_usable);
    let fallbacks = union(&union(&record.fallbacks, &removed), &[record.primary]);
    let promoted = without_unneeded_fallbacks(ShardRecord {
        epoch: record.epoch.next(),
        copies: record.copies,
        primary: successor,
        backups,
        fallbacks: without(&fallbacks, &[successor]),
        learners: Vec::new(),
    });
    with_learners(fleet, status, &promoted, &[])
}

/// The record that repairs a shard, if it needs repair.
fn repair(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    shard: ShardId,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let is_usable = |node: &CoreNode| status.is_usable(node.id);
    if status.cannot_write(record.primary.id) {
        // Every node named in the record holds everything that was ever acknowledged.
        let slow = |node: &&CoreNode| status.slow.contains(&node.id);
        let successor = record.backups.iter().filter(|node| is_usable(node)).min_by_key(slow);
        let successor = successor.or_else(|| record.fallbacks.iter().find(|node| is_usable(node)));
        let Some(successor) = successor else {
            // A counter needs no disk, so one whose disk is full continues.
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
            // As a backup, the old primary would delay the first batch with its stalling disk.
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
        // Fewer losses must be tolerated than before, and the existing copies suffice.
        let fewer =
            ShardRecord { epoch: record.epoch.next(), copies: status.copies, ..record.clone() };
        return Some(without_unneeded_fallbacks(fewer));
    }
    // Only a strictly better copy replaces a backup: one that is unfit, shares the zone of another
    // copy, or has a slow disk, in that order.
    let worst = worst_placed_backup(fleet, status, record)?;
    let others: Vec<CoreNode> =
        record.members().filter(|node| node.id != worst.id).copied().collect();
    let base = ShardRecord { learners: Vec::new(), ..record.clone() };
    let better = choose_replacement(fleet, status, &base, &worst)?;
    let is_better = placement_cost(fleet, status, &others, &better)
        < placement_cost(fleet, status, &others, &worst);
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

/// Chooses the learner that is to replace a backup.
fn choose_replacement(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
    backup: &CoreNode,
) -> Option<CoreNode> {
    let others: Vec<CoreNode> =
        record.backups.iter().filter(|node| node.id != backup.id).copied().collect();
    let remaining = ShardRecord { backups: others, ..record.clone() };
    choose_learner(fleet, status, &remaining, &[backup.id])
}

/// Adds a learner that may replace a backup, unless there is a learner already.
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

/// A counter whose copies are all lost restarts empty on another node, and collects the holds of
/// all live relays before it grants any.
fn replace_counter(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let new_record = place_shard(fleet, status)?;
    Some(ShardRecord { epoch: record.epoch.next(), ..new_record })
}

/// One move that evens out the number of copies, if nothing else is in progress.
fn rebalance(fleet: &FleetSnapshot, status: &StorageStatus) -> Option<(ShardId, ShardRecord)> {
    let settled = |record: &ShardRecord| record.is_complete() && record.learners.is_empty();
    // A slow disk is no target for a move, and moving copies off one is a repair. A suspected node
    // may be down: a move would then only delay the repair.
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
            // Moving its backup would not relieve this node: swap the primary role first.
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
