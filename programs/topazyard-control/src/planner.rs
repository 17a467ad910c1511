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
pub const EVERY: DurationMs = DurationMs(200);

/// How the storage nodes stand.
#[derive(Debug)]
pub struct Standings {
    /// How many copies each shard has, its primary's among them: one more than may be lost.
    pub copies: u16,
    /// Those heard just now.
    pub heard: std::collections::BTreeMap<NodeId, Member>,
    /// Those of them that have missed an asking or two.
    pub silent: std::collections::BTreeSet<NodeId>,
    /// Those that count as down.
    pub down: std::collections::BTreeSet<NodeId>,
    /// Those whose disk is slow.
    pub slow: std::collections::BTreeSet<NodeId>,
    /// Those whose disk is full.
    pub full: std::collections::BTreeSet<NodeId>,
    /// Whether the primary has served long enough to have heard everyone.
    pub settled: bool,
}

impl Default for Standings {
    /// Nobody heard, and one machine that may be lost.
    fn default() -> Self {
        Self {
            copies: 2,
            heard: std::collections::BTreeMap::new(),
            silent: std::collections::BTreeSet::new(),
            down: std::collections::BTreeSet::new(),
            slow: std::collections::BTreeSet::new(),
            full: std::collections::BTreeSet::new(),
            settled: false,
        }
    }
}

impl Standings {
    fn backups(&self) -> usize {
        usize::from(self.copies).saturating_sub(1)
    }

    /// Whether a node may hold a copy that must take writes.
    fn works(&self, id: NodeId) -> bool {
        self.heard.contains_key(&id) && !self.is_lost(id)
    }

    /// Whether a node can take no write, be it down or full.
    fn is_lost(&self, id: NodeId) -> bool {
        self.down.contains(&id) || self.full.contains(&id)
    }
}

/// The record without fallbacks if it may answer: they are sent nothing, and one that led later would
/// lack what was answered meanwhile.
fn without_needless_fallbacks(record: ShardRecord) -> ShardRecord {
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
pub fn dropped_backups(record: &ShardRecord, silent: &[NodeId]) -> Option<ShardRecord> {
    let is_silent = |node: &CoreNode| silent.contains(&node.id);
    let (gone, backups): (Vec<CoreNode>, Vec<CoreNode>) =
        record.backups.iter().copied().partition(is_silent);
    if gone.is_empty() {
        return None;
    }
    Some(without_needless_fallbacks(ShardRecord {
        epoch: record.epoch.next(),
        backups,
        fallbacks: with_more(&record.fallbacks, &gone),
        learners: without(&record.learners, &gone),
        ..record.clone()
    }))
}

fn without(nodes: &[CoreNode], gone: &[CoreNode]) -> Vec<CoreNode> {
    let stays = |node: &&CoreNode| gone.iter().all(|other| other.id != node.id);
    nodes.iter().filter(stays).copied().collect()
}

fn with_more(nodes: &[CoreNode], more: &[CoreNode]) -> Vec<CoreNode> {
    without(nodes, more).into_iter().chain(more.iter().copied()).collect()
}

/// The record after backups that don't confirm are let go, with whom to fill in their place.
pub fn without_backups(
    view: &FleetSnapshot,
    standings: &Standings,
    record: &ShardRecord,
    silent: &[NodeId],
) -> Option<ShardRecord> {
    let dropped = dropped_backups(record, silent)?;
    Some(with_learners(view, standings, &dropped, silent))
}

/// The record with learners for all backups that are missing, if so many nodes work. Those that
/// have just failed come last, though control may still hear them.
fn with_learners(
    view: &FleetSnapshot,
    standings: &Standings,
    record: &ShardRecord,
    failed: &[NodeId],
) -> ShardRecord {
    let missing = standings.backups().saturating_sub(record.backups.len());
    let mut next = record.clone();
    while next.learners.len() < missing {
        let chosen = choose_learner(view, standings, &next, failed)
            .or_else(|| choose_learner(view, standings, &next, &[]));
        let Some(learner) = chosen else { break };
        next.learners.push(learner);
    }
    next
}

/// The record after the primary and a backup change places. While none is heard, one may only be
/// starting, as after a loss of power: they are let go once all of them are down.
pub fn handed_over(
    view: &FleetSnapshot,
    standings: &Standings,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let works = |node: &&CoreNode| standings.works(node.id);
    let rank = |node: &&CoreNode| standings.slow.contains(&node.id);
    if let Some(successor) = record.backups.iter().filter(works).min_by_key(rank) {
        return Some(swapped(record, *successor));
    }
    let all: Vec<NodeId> = record.backups.iter().map(|node| node.id).collect();
    let all_down = all.iter().all(|id| standings.down.contains(id));
    if all_down { without_backups(view, standings, record, &all) } else { None }
}

/// The record after a backup leads and its primary takes its place.
fn swapped(record: &ShardRecord, successor: CoreNode) -> ShardRecord {
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
pub fn promoted_learners(
    view: &FleetSnapshot,
    standings: &Standings,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    if record.learners.is_empty() {
        return None;
    }
    let mut next = ShardRecord {
        epoch: record.epoch.next(),
        backups: with_more(&record.backups, &record.learners),
        learners: Vec::new(),
        ..record.clone()
    };
    while next.backups.len() > standings.backups() {
        let worst = worst_backup(view, standings, &next)?;
        next.backups.retain(|node| node.id != worst.id);
    }
    if next.backups.len() == standings.backups() {
        next.copies = standings.copies;
    }
    next.fallbacks = without(&next.fallbacks, &next.backups);
    next = without_needless_fallbacks(next);
    if !next.is_complete() {
        next = with_learners(view, standings, &next, &[]);
    }
    Some(next)
}

/// How ill a node is placed in a record, whether as backup or in place of one: unfit, then in the
/// zone of another copy, then with a slow disk.
fn rank(
    view: &FleetSnapshot,
    standings: &Standings,
    others: &[CoreNode],
    node: &CoreNode,
) -> (bool, bool, bool) {
    let own = zone(view, node.id);
    let together = others.iter().any(|other| other.id != node.id && zone(view, other.id) == own);
    (is_unfit(view, standings, node), together, standings.slow.contains(&node.id))
}

fn is_unfit(view: &FleetSnapshot, standings: &Standings, node: &CoreNode) -> bool {
    standings.is_lost(node.id)
        || view.storage.get(&node.id).is_none_or(|row| row.stage != StorageStage::Active)
}

/// The backup that is placed worst; of several alike the one whose node holds most.
fn worst_backup(
    view: &FleetSnapshot,
    standings: &Standings,
    record: &ShardRecord,
) -> Option<CoreNode> {
    let members: Vec<CoreNode> = record.members().copied().collect();
    let key =
        |node: &&CoreNode| (rank(view, standings, &members, node), hosted(view, node.id), node.id);
    record.backups.iter().max_by_key(key).copied()
}

/// How many copies a node holds or is being given.
pub fn hosted(view: &FleetSnapshot, id: NodeId) -> usize {
    view.shards.values().filter(|record| record.holders().any(|node| node.id == id)).count()
}

/// Whether so many nodes that work would be left to keep shards on if this one were emptied.
pub fn has_room_without(
    view: &FleetSnapshot,
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
pub fn plan(view: &FleetSnapshot, standings: &Standings) -> Vec<RowChange> {
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
fn enlist(view: &FleetSnapshot, standings: &Standings, changes: &mut Vec<RowChange>) {
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
            changes.push(RowChange::delete(storage_key(*id)));
        }
    }
}

/// Gives each pool of the spec in force a weight to begin with, and takes those of other pools away.
fn give_first_weights(view: &FleetSnapshot, changes: &mut Vec<RowChange>) {
    let Some((_, bundle)) = &view.configuration else { return };
    for pool in &bundle.pools {
        if !view.weights.contains_key(&pool.name) {
            let weight = WeightRow { live_percent: bundle.weights.live_start_percent };
            changes.push(RowChange::put(weight_key(&pool.name), &weight));
        }
    }
    for pool in view.weights.keys().filter(|pool| bundle.pool(pool).is_none()) {
        changes.push(RowChange::delete(weight_key(pool)));
    }
}

fn node(member: &Member) -> CoreNode {
    CoreNode { id: member.id, address: member.address }
}

fn zone(view: &FleetSnapshot, id: NodeId) -> Option<&ZoneName> {
    view.storage.get(&id).map(|row| &row.member.zone)
}

/// Nodes that may be given a copy: those that speak before the silent, then those of other
/// zones, then the least laden.
fn candidates(
    view: &FleetSnapshot,
    standings: &Standings,
    apart_from: &[&ZoneName],
    not: &[NodeId],
) -> Vec<CoreNode> {
    let mut nodes: Vec<(bool, bool, bool, usize, NodeId, CoreNode)> = view
        .storage
        .iter()
        .filter(|(id, row)| {
            row.stage == StorageStage::Active && standings.works(**id) && !not.contains(id)
        })
        .map(|(id, row)| {
            let together = apart_from.contains(&&row.member.zone);
            let (silent, slow) = (standings.silent.contains(id), standings.slow.contains(id));
            (silent, together, slow, hosted(view, *id), *id, node(&row.member))
        })
        .collect();
    nodes.sort_by_key(|(silent, together, slow, laden, id, _)| {
        (*silent, *together, *slow, *laden, *id)
    });
    nodes.into_iter().map(|(_, _, _, _, _, node)| node).collect()
}

/// Zones of nodes, as far as they are known.
fn zones<'a>(
    view: &'a FleetSnapshot,
    nodes: impl Iterator<Item = &'a CoreNode>,
) -> Vec<&'a ZoneName> {
    nodes.filter_map(|node| zone(view, node.id)).collect()
}

fn place_new(view: &FleetSnapshot, standings: &Standings) -> Option<ShardRecord> {
    let primary = *candidates(view, standings, &[], &[]).first()?;
    let mut record = ShardRecord {
        epoch: Epoch(1),
        copies: standings.copies,
        primary,
        backups: Vec::new(),
        fallbacks: Vec::new(),
        learners: Vec::new(),
    };
    while !record.is_complete() {
        let apart = zones(view, record.members());
        let not: Vec<NodeId> = record.members().map(|node| node.id).collect();
        let backup = *candidates(view, standings, &apart, &not).first()?;
        record.backups.push(backup);
    }
    Some(record)
}

/// Chooses whom to fill besides those that are being filled: who already holds most comes first.
fn choose_learner(
    view: &FleetSnapshot,
    standings: &Standings,
    record: &ShardRecord,
    failed: &[NodeId],
) -> Option<CoreNode> {
    let taken = || record.members().chain(&record.learners);
    let not: Vec<NodeId> = taken().map(|node| node.id).chain(failed.iter().copied()).collect();
    let apart = zones(view, taken());
    let all = candidates(view, standings, &apart, &not);
    let kept = |node: &&CoreNode| record.fallbacks.iter().any(|kept| kept.id == node.id);
    let is_apart = |node: &&CoreNode| zone(view, node.id).is_none_or(|own| !apart.contains(&own));
    let is_well = |node: &&CoreNode| {
        !standings.slow.contains(&node.id) && !standings.silent.contains(&node.id)
    };
    let fallback = all.iter().filter(kept).filter(is_apart).find(is_well);
    fallback.or(all.first()).copied()
}

/// The record after a holder takes over, with whom to fill; the old primary stays as fallback.
fn promoted(
    view: &FleetSnapshot,
    standings: &Standings,
    record: &ShardRecord,
    successor: CoreNode,
) -> ShardRecord {
    let works = |node: &CoreNode| node.id != successor.id && standings.works(node.id);
    let (backups, gone): (Vec<CoreNode>, Vec<CoreNode>) =
        record.backups.iter().copied().partition(works);
    let kept = with_more(&with_more(&record.fallbacks, &gone), &[record.primary]);
    let promoted = without_needless_fallbacks(ShardRecord {
        epoch: record.epoch.next(),
        copies: record.copies,
        primary: successor,
        backups,
        fallbacks: without(&kept, &[successor]),
        learners: Vec::new(),
    });
    with_learners(view, standings, &promoted, &[])
}

/// What a shard's record should become, if it should change.
fn mend(
    view: &FleetSnapshot,
    standings: &Standings,
    shard: ShardId,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let works = |node: &CoreNode| standings.works(node.id);
    if standings.is_lost(record.primary.id) {
        // Whoever is named here holds all that was ever answered.
        let slow = |node: &&CoreNode| standings.slow.contains(&node.id);
        let successor = record.backups.iter().filter(|node| works(node)).min_by_key(slow);
        let successor = successor.or_else(|| record.fallbacks.iter().find(|node| works(node)));
        let Some(successor) = successor else {
            // A counter whose disk is full goes on: it needs none.
            return if shard.is_counter() && standings.down.contains(&record.primary.id) {
                replace_counter(view, standings, record)
            } else {
                None
            };
        };
        return Some(promoted(view, standings, record, *successor));
    }
    let unfit = |node: &CoreNode| is_unfit(view, standings, node);
    let is_slow = |node: &CoreNode| standings.slow.contains(&node.id);
    let working: Vec<CoreNode> =
        record.backups.iter().filter(|node| works(node)).copied().collect();
    let fit = |node: &&CoreNode| !unfit(node) && !is_slow(node);
    if let Some(first) = working.first() {
        let successor = working.iter().find(fit);
        if let Some(successor) = successor.filter(|_| is_slow(&record.primary)) {
            // A disk that stalls would hold up its successor's first batch, were it a backup.
            let promoted = promoted(view, standings, record, *successor);
            if promoted.learners.iter().any(|learner| !is_slow(learner)) {
                return Some(promoted);
            }
        }
        let hand_over = unfit(&record.primary) || is_slow(&record.primary);
        if hand_over && (successor.is_some() || !is_slow(first)) {
            if let Some(successor) = successor {
                return Some(swapped(record, *successor));
            }
            if record.backups.len() >= standings.backups() {
                return learner_if_missing(view, standings, record);
            }
        }
    }
    if record.backups.len() < standings.backups() {
        let fit: Vec<CoreNode> =
            record.learners.iter().filter(|node| !unfit(node)).copied().collect();
        let base = ShardRecord { learners: fit.clone(), ..record.clone() };
        let next = with_learners(view, standings, &base, &[]);
        let found = next.learners.len() > fit.len();
        return found.then(|| ShardRecord { epoch: record.epoch.next(), ..next });
    }
    if record.copies > standings.copies {
        // Less may be lost than before: the copies there are suffice.
        let fewer =
            ShardRecord { epoch: record.epoch.next(), copies: standings.copies, ..record.clone() };
        return Some(without_needless_fallbacks(fewer));
    }
    // Only for a strictly better copy: in place of a backup that is unfit, stands in the zone of
    // another copy, or has a slow disk, in that order.
    let worst = worst_backup(view, standings, record)?;
    let others: Vec<CoreNode> =
        record.members().filter(|node| node.id != worst.id).copied().collect();
    let base = ShardRecord { learners: Vec::new(), ..record.clone() };
    let better = choose_in_place_of(view, standings, &base, &worst)?;
    let is_better =
        rank(view, standings, &others, &better) < rank(view, standings, &others, &worst);
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
fn choose_in_place_of(
    view: &FleetSnapshot,
    standings: &Standings,
    record: &ShardRecord,
    backup: &CoreNode,
) -> Option<CoreNode> {
    let others: Vec<CoreNode> =
        record.backups.iter().filter(|node| node.id != backup.id).copied().collect();
    let without = ShardRecord { backups: others, ..record.clone() };
    choose_learner(view, standings, &without, &[backup.id])
}

/// The record with a learner that may take the place of a backup.
fn learner_if_missing(
    view: &FleetSnapshot,
    standings: &Standings,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    if !record.learners.is_empty() {
        return None;
    }
    let worst = worst_backup(view, standings, record)?;
    let learner = choose_in_place_of(view, standings, record, &worst)?;
    let epoch = record.epoch.next();
    Some(ShardRecord { epoch, learners: vec![learner], ..record.clone() })
}

/// A counter whose copies are all gone starts empty elsewhere and gathers the holds of all live
/// relays before it grants.
fn replace_counter(
    view: &FleetSnapshot,
    standings: &Standings,
    record: &ShardRecord,
) -> Option<ShardRecord> {
    let fresh = place_new(view, standings)?;
    Some(ShardRecord { epoch: record.epoch.next(), ..fresh })
}

/// One move that evens the number of copies, when nothing else is under way.
fn balance(view: &FleetSnapshot, standings: &Standings) -> Option<(ShardId, ShardRecord)> {
    let settled = |record: &ShardRecord| record.is_complete() && record.learners.is_empty();
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
        let not: Vec<NodeId> = record.members().map(|node| node.id).collect();
        if record.primary.id == *most
            && let Some(backup) = record.backups.first()
        {
            // Its backup's place can't be eased by a move; hand the primary duty over first.
            let apart = zones(view, record.backups.iter());
            let least = candidates(view, standings, &apart, &not);
            if least.first().is_some_and(|least| laden(*most) >= laden(least.id) + 2)
                && view.shards.values().all(|other| !other.is_backup(*most))
            {
                return Some((*shard, swapped(record, *backup)));
            }
        }
        if record.is_backup(*most) {
            let others: Vec<&CoreNode> = record.members().filter(|node| node.id != *most).collect();
            let apart = zones(view, others.into_iter());
            let least = candidates(view, standings, &apart, &not);
            let is_apart = |id: NodeId| zone(view, id).is_none_or(|own| !apart.contains(&own));
            let least = least
                .first()
                .filter(|least| laden(*most) >= laden(least.id) + 2)
                .filter(|least| is_apart(least.id) || !is_apart(*most));
            let Some(least) = least else { continue };
            let epoch = record.epoch.next();
            let moved = ShardRecord { epoch, learners: vec![*least], ..record.clone() };
            return Some((*shard, moved));
        }
    }
    None
}
