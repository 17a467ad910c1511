//! How the nodes that follow the feed fare, as they say it with each asking.

use super::{ControlMachine, Waiting};
use crate::planner::Standings;
use topazyard_types::{DurationMs, MonotonicMs, NodeId};
use topazyard_wire::RowChange;
use topazyard_wire::disk::DiskState;
use topazyard_wire::message::control::{ShardChange, ShardChangeRequest, ShardRecord};
use topazyard_wire::message::feed::Health;
use topazyard_wire::message::membership::{Member, MemberStatus};
use topazyard_wire::state::FleetSnapshot;

/// After how long without a word a node is probed out of turn.
const DOUBT_AFTER: DurationMs = DurationMs(500);
/// A write that takes longer marks a disk as slow.
const SLOW_WRITE_MS: u64 = 1_000;
/// For how long a slow disk stays marked.
const SLOW_FOR: DurationMs = DurationMs(15_000);

#[derive(Debug, Clone)]
pub(crate) struct SeenNode {
    pub(crate) health: Health,
    pub(crate) at: MonotonicMs,
    slow_until: MonotonicMs,
}

/// What was last heard of each follower.
#[derive(Debug, Clone, Default)]
pub(crate) struct Seen {
    pub(crate) nodes: std::collections::BTreeMap<NodeId, SeenNode>,
}

impl Seen {
    /// How a storage node's disk fares, as it said last.
    pub(super) fn disk(&self, id: NodeId) -> Option<DiskState> {
        match &self.nodes.get(&id)?.health {
            Health::Storage { disk, .. } => Some(*disk),
            Health::Edge { .. } => None,
        }
    }

    pub(super) fn take(&mut self, sender: NodeId, health: Health, now: MonotonicMs) {
        let slow = matches!(&health, Health::Storage { write_wait_ms, .. } if *write_wait_ms >= SLOW_WRITE_MS);
        let before = self.nodes.get(&sender).map_or(MonotonicMs(0), |seen| seen.slow_until);
        let slow_until = if slow { now.plus(SLOW_FOR) } else { before };
        self.nodes.insert(sender, SeenNode { health, at: now, slow_until });
        self.nodes.retain(|_, seen| now.since(seen.at) < DurationMs(60_000));
    }
}

impl ControlMachine {
    /// How each storage node stands, for the planner.
    pub(super) fn storage_standings(
        &self,
        known: &FleetSnapshot,
        serving_since: MonotonicMs,
        now: MonotonicMs,
    ) -> Standings {
        let copies = u16::try_from(self.backups() + 1).unwrap_or(u16::MAX);
        let mut standings = Standings { copies, ..Default::default() };
        for (id, seen) in &self.seen.nodes {
            if let Health::Storage { member, .. } = &seen.health
                && now.since(seen.at) < self.timeouts.down
            {
                standings.heard.insert(*id, member.clone());
                if now.since(seen.at) >= DOUBT_AFTER {
                    standings.silent.insert(*id);
                }
            }
        }
        for id in known.storage.keys() {
            let heard = self.seen.nodes.get(id).map_or(serving_since, |seen| seen.at);
            // Who comes back after all were silent does so one by one: the first is no better a
            // primary than the others, which were never down.
            let alone = self.last_alone.unwrap_or(serving_since);
            let silence = now.since(heard.max(serving_since).max(alone));
            let doubted = self.membership.status(*id) != Some(MemberStatus::Alive);
            let is_silent =
                silence >= self.timeouts.surely_down || (silence >= self.timeouts.down && doubted);
            if is_silent || self.is_displaced(known, *id) {
                standings.down.insert(*id);
            }
            if self.seen.nodes.get(id).is_some_and(|seen| now < seen.slow_until) {
                standings.slow.insert(*id);
            }
            if self.seen.disk(*id) == Some(DiskState::Full) {
                standings.full.insert(*id);
            }
        }
        standings.settled = now.since(serving_since) >= self.timeouts.settle;
        standings
    }

    /// Whether another node was heard at a storage node's address after it: its disk is gone, and
    /// its id with it.
    fn is_displaced(&self, known: &FleetSnapshot, id: NodeId) -> bool {
        let Some(row) = known.storage.get(&id) else { return false };
        let heard = self.seen.nodes.get(&id).map(|seen| seen.at);
        self.seen.nodes.iter().any(|(other, seen)| match &seen.health {
            Health::Storage { member, .. } => {
                let is_at_its_address = *other != id && member.address == row.member.address;
                is_at_its_address && Some(seen.at) > heard
            }
            Health::Edge { .. } => false,
        })
    }

    /// Probes storage nodes that have gone silent on the feed, so that a doubt which is right is
    /// confirmed soon and one which is wrong does no harm.
    pub(super) fn probe_the_silent(&mut self, now: MonotonicMs) {
        let silent = self.seen.nodes.iter().filter(|(_, seen)| {
            matches!(seen.health, Health::Storage { .. }) && now.since(seen.at) >= DOUBT_AFTER
        });
        for id in silent.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.membership.probe_next(id);
        }
    }

    /// Keeps a shard primary's wish until nothing else is under way.
    pub(super) fn take_wish(&mut self, sender: NodeId, wish: ShardChangeRequest) {
        let is_shard = topazyard_types::ShardId::all().any(|shard| shard == wish.shard);
        if self.replica.is_serving() && is_shard {
            self.wishes.insert(wish.shard, (sender, wish));
        }
    }

    /// Fulfils the wishes that came, all in one batch: each is about a shard of its own, and a fleet that
    /// starts together has one for each.
    pub(super) fn fulfil_wishes(&mut self, now: MonotonicMs) {
        if self.wishes.is_empty() || self.replica.has_changes_pending() {
            return;
        }
        let wishes = std::mem::take(&mut self.wishes);
        if !self.replica.is_serving() {
            return;
        }
        let view = FleetSnapshot::read(self.replica.copy().rows());
        let standings = self.storage_standings(&view, self.serving_since.unwrap_or(now), now);
        let mut changes = Vec::new();
        for (shard, (sender, wish)) in wishes {
            let record = view.shards.get(&shard);
            // Only one made in the shard's present epoch.
            let is_present =
                |record: &&ShardRecord| record.epoch == wish.epoch && record.primary.id == sender;
            let Some(record) = record.filter(is_present) else { continue };
            if let Some(next) = wished(&view, &standings, record, &wish.change) {
                let key = topazyard_wire::state::shard_key(shard);
                changes.push(RowChange::put(key, &next));
            }
        }
        if !changes.is_empty() {
            self.submit(changes, Waiting::Planner);
        }
    }

    /// The member that a follower said it is.
    pub(super) fn storage_member(&self, id: NodeId) -> Option<&Member> {
        match &self.seen.nodes.get(&id)?.health {
            Health::Storage { member, .. } => Some(member),
            Health::Edge { .. } => None,
        }
    }
}

/// The record that a wish makes of a shard's.
fn wished(
    view: &FleetSnapshot,
    standings: &Standings,
    record: &ShardRecord,
    wish: &ShardChange,
) -> Option<ShardRecord> {
    match wish {
        ShardChange::DropBackups(silent) => {
            crate::planner::without_backups(view, standings, record, silent)
        }
        ShardChange::PromoteLearners => crate::planner::promoted_learners(view, standings, record),
        ShardChange::HandOver => crate::planner::handed_over(view, standings, record),
    }
}
