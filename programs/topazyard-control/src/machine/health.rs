//! The health that followers of the feed report with each request.

use super::{ControlMachine, Waiting};
use crate::planner::StorageStatus;
use topazyard_types::{DurationMs, MonotonicMs, NodeId};
use topazyard_wire::RowChange;
use topazyard_wire::disk::DiskState;
use topazyard_wire::message::control::{ShardChange, ShardChangeRequest, ShardRecord};
use topazyard_wire::message::feed::Health;
use topazyard_wire::message::membership::{Member, MemberStatus};
use topazyard_wire::state::FleetSnapshot;

/// How long a node may be silent before it is suspected and probed at once.
const SUSPECT_TIMEOUT: DurationMs = DurationMs(500);
/// A write that takes longer marks its disk as slow.
const SLOW_WRITE_MS: u64 = 1_000;
/// How long a disk stays marked as slow.
const SLOW_DISK_TTL: DurationMs = DurationMs(15_000);

#[derive(Debug, Clone)]
pub(crate) struct NodeReport {
    pub(crate) health: Health,
    pub(crate) received_at: MonotonicMs,
    slow_until: MonotonicMs,
}

/// The newest report of each follower.
#[derive(Debug, Clone, Default)]
pub(crate) struct NodeReports {
    pub(crate) by_node: std::collections::BTreeMap<NodeId, NodeReport>,
}

impl NodeReports {
    /// The disk state that a storage node last reported.
    pub(super) fn disk(&self, id: NodeId) -> Option<DiskState> {
        match &self.by_node.get(&id)?.health {
            Health::Storage { disk, .. } => Some(*disk),
            Health::Edge { .. } => None,
        }
    }

    pub(super) fn receive(&mut self, sender: NodeId, health: Health, now: MonotonicMs) {
        let slow = matches!(
            &health,
            Health::Storage { write_wait_ms, .. } if *write_wait_ms >= SLOW_WRITE_MS
        );
        let before = self.by_node.get(&sender).map_or(MonotonicMs(0), |report| report.slow_until);
        let slow_until = if slow { now.plus(SLOW_DISK_TTL) } else { before };
        self.by_node.insert(sender, NodeReport { health, received_at: now, slow_until });
        self.by_node.retain(|_, report| now.since(report.received_at) < DurationMs(60_000));
    }
}

impl ControlMachine {
    /// The status of the storage nodes, as input of the planner.
    pub(super) fn storage_status(
        &self,
        fleet: &FleetSnapshot,
        serving_since: MonotonicMs,
        now: MonotonicMs,
    ) -> StorageStatus {
        let copies = u16::try_from(self.backups() + 1).unwrap_or(u16::MAX);
        let mut status = StorageStatus { copies, ..Default::default() };
        for (id, report) in &self.reports.by_node {
            if let Health::Storage { member, .. } = &report.health
                && now.since(report.received_at) < self.timeouts.suspected_down
            {
                status.reachable.insert(*id, member.clone());
                if now.since(report.received_at) >= SUSPECT_TIMEOUT {
                    status.suspected.insert(*id);
                }
            }
        }
        for id in fleet.storage.keys() {
            let last_heard =
                self.reports.by_node.get(id).map_or(serving_since, |report| report.received_at);
            // Nodes that return after all were silent do so one by one. The first is no better a
            // primary than the others, which were never down.
            let isolated_at = self.last_isolated.unwrap_or(serving_since);
            let silence = now.since(last_heard.max(serving_since).max(isolated_at));
            let suspected = self.membership.status(*id) != Some(MemberStatus::Alive);
            let is_down = silence >= self.timeouts.silent_down
                || (silence >= self.timeouts.suspected_down && suspected);
            if is_down || self.is_replaced(fleet, *id) {
                status.down.insert(*id);
            }
            if self.reports.by_node.get(id).is_some_and(|report| now < report.slow_until) {
                status.slow.insert(*id);
            }
            if self.reports.disk(*id) == Some(DiskState::Full) {
                status.full.insert(*id);
            }
        }
        status.settled = now.since(serving_since) >= self.timeouts.settle;
        status
    }

    /// Whether another node reported later from a storage node's address: the disk is gone, and the
    /// id with it.
    fn is_replaced(&self, fleet: &FleetSnapshot, id: NodeId) -> bool {
        let Some(row) = fleet.storage.get(&id) else { return false };
        let last_heard = self.reports.by_node.get(&id).map(|report| report.received_at);
        self.reports.by_node.iter().any(|(other, report)| match &report.health {
            Health::Storage { member, .. } => {
                let has_same_address = *other != id && member.address == row.member.address;
                has_same_address && Some(report.received_at) > last_heard
            }
            Health::Edge { .. } => false,
        })
    }

    /// Probes storage nodes that have become silent on the feed, so that a correct suspicion is
    /// confirmed soon and a wrong one does no harm.
    pub(super) fn probe_suspected(&mut self, now: MonotonicMs) {
        let suspected = self.reports.by_node.iter().filter(|(_, report)| {
            matches!(report.health, Health::Storage { .. })
                && now.since(report.received_at) >= SUSPECT_TIMEOUT
        });
        for id in suspected.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.membership.probe_next(id);
        }
    }

    /// Keeps the newest change request of a shard primary until no other change is pending.
    pub(super) fn receive_change_request(&mut self, sender: NodeId, request: ShardChangeRequest) {
        let is_shard = topazyard_types::ShardId::all().any(|shard| shard == request.shard);
        if self.replica.is_serving() && is_shard {
            self.change_requests.insert(request.shard, (sender, request));
        }
    }

    /// Applies all waiting change requests in one batch. Each is about a different shard, and a
    /// fleet that starts all at once has one for each.
    pub(super) fn apply_change_requests(&mut self, now: MonotonicMs) {
        if self.change_requests.is_empty() || self.replica.has_changes_pending() {
            return;
        }
        let requests = std::mem::take(&mut self.change_requests);
        if !self.replica.is_serving() {
            return;
        }
        let fleet = FleetSnapshot::read(self.replica.copy().rows());
        let status = self.storage_status(&fleet, self.serving_since.unwrap_or(now), now);
        let mut changes = Vec::new();
        for (shard, (sender, request)) in requests {
            let record = fleet.shards.get(&shard);
            // Only a request made in the shard's current epoch counts.
            let is_current = |record: &&ShardRecord| {
                record.epoch == request.epoch && record.primary.id == sender
            };
            let Some(record) = record.filter(is_current) else { continue };
            if let Some(next) = changed_record(&fleet, &status, record, &request.change) {
                let key = topazyard_wire::state::shard_key(shard);
                changes.push(RowChange::put(key, &next));
            }
        }
        if !changes.is_empty() {
            self.submit(changes, Waiting::Planner);
        }
    }

    /// The member data that a storage node reported for itself.
    pub(super) fn storage_member(&self, id: NodeId) -> Option<&Member> {
        match &self.reports.by_node.get(&id)?.health {
            Health::Storage { member, .. } => Some(member),
            Health::Edge { .. } => None,
        }
    }
}

/// The shard record that results from a requested change.
fn changed_record(
    fleet: &FleetSnapshot,
    status: &StorageStatus,
    record: &ShardRecord,
    change: &ShardChange,
) -> Option<ShardRecord> {
    match change {
        ShardChange::DropBackups(silent) => {
            crate::planner::replace_backups(fleet, status, record, silent)
        }
        ShardChange::PromoteLearners => crate::planner::promote_learners(fleet, status, record),
        ShardChange::HandOver => crate::planner::hand_over_primary(fleet, status, record),
    }
}
