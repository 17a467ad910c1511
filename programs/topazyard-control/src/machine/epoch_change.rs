//! Changing the epoch: the node stops serving, copies the state to as many learners as there must
//! be backups, and then proposes the next record to the witnesses. Only a primary or backup of the
//! old epoch does so.

use super::{AfterWrite, ControlMachine, Effects, bootstrap_record};
use crate::witnesses;
use topazyard_replication::{Proposal, epoch::ProposalStep};
use topazyard_types::{DurationMs, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreMessage, CoreNode, EpochRecord};
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Group, RowChange};

/// The key of the row that holds the newest epoch this node has requested.
pub(super) const REQUESTED_EPOCH_KEY: &str = "claimed";
/// How often a node that found too few learners searches for them again.
const LEARNER_SEARCH_INTERVAL: DurationMs = DurationMs(100);

/// An epoch change in progress.
#[derive(Debug, Clone)]
pub(crate) struct EpochChange {
    base: EpochRecord,
    learners: Vec<CoreNode>,
    /// How often each node failed, by being silent or by not being filled as a learner.
    failures: std::collections::BTreeMap<NodeId, u32>,
    stage_started_at: MonotonicMs,
    /// Whether it is synced that this node serves nothing more in the old epoch.
    stopped: bool,
    proposal: Option<Proposal>,
}

impl ControlMachine {
    pub(super) fn epoch_change_tick(&mut self, now: MonotonicMs, effects: &mut Effects) {
        if self.epoch_change.is_some() {
            self.advance_epoch_change(now, effects);
        } else if self.needs_epoch_change(now) {
            self.begin_epoch_change(now, effects);
        }
    }

    /// Whether this node is a primary or backup that has reason to request the next epoch.
    fn needs_epoch_change(&self, now: MonotonicMs) -> bool {
        let Some(record) = self.witness.record() else { return false };
        let Some(rank) = record.rank(self.me.id) else { return false };
        let is_primary = rank == 0;
        let timeout = DurationMs(
            self.timeouts.primary.0 + self.timeouts.per_rank.0 * rank.saturating_sub(1) as u64,
        );
        let is_full = self.disk.is_full();
        if is_full && !is_primary {
            // A full disk could not sync the requested epoch.
            return false;
        }
        if self.requested_epoch > record.epoch {
            // The node stopped serving before it restarted, or yielded to another member: it
            // requests an epoch again if there is no primary.
            let primary_heard = self.replica.primary_last_heard();
            return primary_heard.is_none_or(|at| now.since(at) >= timeout)
                && (is_primary || self.holds_all_acknowledged(record));
        }
        let primary_is_silent =
            self.replica.primary_last_heard().is_some_and(|at| now.since(at) >= timeout);
        if is_primary {
            let silent = self.replica.backup_silent_since();
            // `primary_is_silent`: this primary may have let a backup copy its state here for an
            // epoch change that was never decided.
            return is_full
                || primary_is_silent
                || silent.is_some_and(|since| now.since(since) >= self.timeouts.backup)
                || self.replica.oldest_write(now) >= self.timeouts.write
                || (self.replica.is_serving() && self.next_witnesses(record, &[], now).is_some())
                || record.backups.iter().any(|node| self.peers.is_leaving(node.id))
                || (record.backups.len() < self.backups()
                    && self.reachable_others(now).count() >= self.backups());
        }
        let next_backup = record.backups.iter().find(|node| !self.peers.is_leaving(node.id));
        let succeeds_leaving_primary = self.peers.is_leaving(record.primary.id)
            && next_backup.is_some_and(|node| node.id == self.me.id);
        self.holds_all_acknowledged(record) && (succeeds_leaving_primary || primary_is_silent)
    }

    /// Whether this backup's copy holds everything acknowledged up to that record.
    pub(super) fn holds_all_acknowledged(&self, record: &EpochRecord) -> bool {
        // In the first epoch nothing was acknowledged before this copy was compared.
        record.epoch == bootstrap_record::FIRST_EPOCH
            || self.replica.copy().position().epoch >= record.epoch
    }

    /// The other control nodes that are reachable and whose disks accept writes.
    pub(super) fn reachable_others(&self, now: MonotonicMs) -> impl Iterator<Item = CoreNode> {
        let nodes = self.peers.known.values().map(|peer| peer.node);
        nodes.filter(move |node| node.id != self.me.id && self.peers.takes_writes(node.id, now))
    }

    fn begin_epoch_change(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let Some(base) = self.witness.record().cloned() else { return };
        if self.disk.is_full() {
            // This epoch change can't proceed until there is disk space: let the backup request the
            // next epoch at once.
            self.send_leaving(now, effects);
        }
        let mut silent = if base.primary.id == self.me.id {
            self.replica.silent_backups(self.timeouts.backup, now)
        } else {
            vec![base.primary.id]
        };
        silent.extend(
            base.backups.iter().map(|node| node.id).filter(|id| self.peers.is_leaving(*id)),
        );
        self.replica.stop_serving();
        self.requested_epoch = base.epoch.next();
        let row = RowChange::put(REQUESTED_EPOCH_KEY, &self.requested_epoch);
        self.epoch_change = Some(EpochChange {
            base,
            learners: Vec::new(),
            failures: silent.into_iter().map(|id| (id, 1)).collect(),
            stage_started_at: now,
            stopped: false,
            proposal: None,
        });
        self.write_own_rows(Group::Witness, vec![row], vec![AfterWrite::FillLearners], effects);
    }

    /// Chooses the learners: members and witnesses of the old epoch first, each in a zone of its
    /// own where possible. Returns none if too few nodes are reachable.
    fn choose_learners(&self, change: &EpochChange, now: MonotonicMs) -> Option<Vec<CoreNode>> {
        let zone = |id: NodeId| {
            let known = self.membership.remembered().find(|known| known.update.member.id == id);
            known.map(|known| known.update.member.zone.clone())
        };
        let mut zones = vec![self.membership.own_zone().clone()];
        let mut others: Vec<CoreNode> = self.reachable_others(now).collect();
        let mut chosen = Vec::new();
        while chosen.len() < self.backups() {
            let preference = |node: &CoreNode| {
                let failures = change.failures.get(&node.id).copied().unwrap_or(0);
                let shares_zone = zone(node.id).is_some_and(|zone| zones.contains(&zone));
                let (base, id) = (&change.base, node.id);
                (failures, shares_zone, !base.is_member(id), !base.is_witness(id), id)
            };
            let (at, next) =
                others.iter().copied().enumerate().min_by_key(|(_, node)| preference(node))?;
            others.remove(at);
            zones.extend(zone(next.id));
            chosen.push(next);
        }
        Some(chosen)
    }

    /// The witnesses of the next record, if they differ from those of `base`: all required nodes,
    /// as many as still form a majority after the tolerated loss, and spares in place of nodes
    /// silent for long.
    fn next_witnesses(
        &self,
        base: &EpochRecord,
        required: &[CoreNode],
        now: MonotonicMs,
    ) -> Option<Vec<CoreNode>> {
        let required_ids: Vec<NodeId> =
            required.iter().map(|node| node.id).chain([self.me.id]).collect();
        let mut spares: Vec<CoreNode> = self.reachable_others(now).collect();
        spares.extend(required.iter().filter(|node| !self.peers.is_reachable(node.id, now)));
        let to_candidates = |nodes: &[CoreNode]| -> Vec<witnesses::Candidate> {
            nodes.iter().map(|node| self.candidate(*node, now)).collect()
        };
        let requirements = witnesses::Requirements {
            count: 2 * self.backups() + 1,
            silence_timeout: self.timeouts.witness,
            lost_zones: usize::from(self.bounds.lost_zones),
        };
        let present = to_candidates(&base.witnesses);
        let witnesses =
            witnesses::next(present, &required_ids, to_candidates(&spares), &requirements);
        Some(witnesses).filter(|witnesses| *witnesses != base.witnesses)
    }

    /// Describes a node as a candidate for witness.
    pub(super) fn candidate(&self, node: CoreNode, now: MonotonicMs) -> witnesses::Candidate {
        let is_me = node.id == self.me.id;
        let known_zone = self.peers.known.get(&node.id).map(|peer| peer.zone.clone());
        let zone = if is_me { Some(self.membership.own_zone().clone()) } else { known_zone };
        let silence = if is_me { DurationMs(0) } else { self.peers.silence(node.id, now) };
        witnesses::Candidate { node, zone, silence }
    }

    /// Copies the state to learners, once it is synced that this node has stopped serving.
    pub(super) fn fill_learners(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let filled = self.replica.filled_learners();
        let Some(change) = &mut self.epoch_change else { return };
        for learner in change.learners.iter().filter(|node| !filled.contains(&node.id)) {
            *change.failures.entry(learner.id).or_default() += 1;
        }
        change.stopped = true;
        change.stage_started_at = now;
        let Some(change) = &self.epoch_change else { return };
        let learners = self.choose_learners(change, now);
        let epoch = change.base.epoch.next();
        if let Some(change) = &mut self.epoch_change {
            change.learners = learners.clone().unwrap_or_default();
        }
        match learners {
            None if self.replica.is_primary() && self.replica.epoch() == epoch => {
                // The former learners are no longer reachable, and another member may fill them.
                let no_followers = topazyard_replication::Followers::default();
                let outputs = self.replica.become_primary(epoch, no_followers, now);
                self.handle_replica_outputs(outputs, now, effects);
            }
            None => {}
            Some(learners) if learners.is_empty() => self.propose(now, effects),
            Some(learners) => {
                let followers = topazyard_replication::Followers { learners, ..Default::default() };
                let outputs = self.replica.become_primary(epoch, followers, now);
                self.handle_replica_outputs(outputs, now, effects);
            }
        }
    }

    fn advance_epoch_change(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let timeouts = self.timeouts.clone();
        let Some(change) = &mut self.epoch_change else { return };
        if let Some(proposal) = &mut change.proposal {
            if let ProposalStep::Broadcast(message) = proposal.tick(now) {
                self.send_to_witnesses(&message, effects);
            }
            return;
        }
        let primary_heard = self.replica.primary_last_heard();
        if change.learners.is_empty()
            && primary_heard.is_some_and(|at| now.since(at) < timeouts.primary)
        {
            // The primary is back, and there are too few nodes to take over with.
            self.epoch_change = None;
            return;
        }
        let retry_interval =
            if change.learners.is_empty() { LEARNER_SEARCH_INTERVAL } else { timeouts.learner };
        if change.stopped && now.since(change.stage_started_at) >= retry_interval {
            self.fill_learners(now, effects);
        }
    }

    /// Proposes the next record to the witnesses once the learners hold everything. A learner that
    /// was given up because too few nodes were reachable may still finish: a record must name all
    /// the backups, so the learners are then chosen again.
    pub(super) fn propose(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let Some(change) = &self.epoch_change else { return };
        if change.learners.len() < self.backups() {
            return;
        }
        let (base, backups) = (change.base.clone(), change.learners.clone());
        let witnesses = self.next_witnesses(&base, &backups, now);
        let witnesses = witnesses.unwrap_or_else(|| base.witnesses.clone());
        let proposed =
            EpochRecord { epoch: base.epoch.next(), primary: self.me, backups, witnesses };
        let (proposal, message) = Proposal::begin(self.me.id, self.boot_id, base, proposed, now);
        if let Some(change) = &mut self.epoch_change {
            change.proposal = Some(proposal);
        }
        self.send_to_witnesses(&message, effects);
    }

    fn send_to_witnesses(&self, message: &CoreMessage, effects: &mut Effects) {
        let proposal = self.epoch_change.as_ref().and_then(|change| change.proposal.as_ref());
        let Some(proposal) = proposal else { return };
        for witness in &proposal.base().witnesses {
            let message = Message::Core(message.clone());
            effects.push(Effect::Send { to: witness.address, message });
        }
    }

    pub(super) fn receive_vote(
        &mut self,
        witness: NodeId,
        from: std::net::SocketAddr,
        message: &CoreMessage,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let proposal = self.epoch_change.as_mut().and_then(|change| change.proposal.as_mut());
        let Some(proposal) = proposal.or(self.bootstrap.as_mut()) else { return };
        let Some(witness) = bootstrap_record::voter_id(proposal.base(), witness, from) else {
            return;
        };
        match proposal.receive(witness, message, now) {
            ProposalStep::Wait => {}
            ProposalStep::Broadcast(message) if self.epoch_change.is_some() => {
                self.send_to_witnesses(&message, effects)
            }
            ProposalStep::Broadcast(message) => self.send_to_seeds(&message, effects),
            ProposalStep::Decided(record) => self.learn_record(&record, now, effects),
        }
    }

    /// Lets a member of the old epoch that requests the next one copy its state to this node.
    pub(super) fn follow_epoch_change_if_due(
        &mut self,
        sender: NodeId,
        message: &ReplicaMessage,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let Some(record) = self.witness.record() else { return };
        let Some(rank) = record.rank(sender) else { return };
        let requests_epoch = message.epoch == record.epoch.next()
            && matches!(message.body, ReplicaBody::Digests { .. });
        if !requests_epoch || sender == self.me.id || self.disk.is_full() {
            return;
        }
        if let Some(change) = &self.epoch_change {
            // Two members request the epoch: the one of higher rank number yields unless it has
            // already proposed its record to the witnesses.
            let is_ahead = record.rank(self.me.id).is_none_or(|own| rank < own);
            if change.proposal.is_some() || !is_ahead {
                return;
            }
            self.epoch_change = None;
        }
        if self.keeps_current_source(record, sender, message.epoch, now) {
            return;
        }
        let outputs = self.replica.become_follower(message.epoch, sender, now);
        self.handle_replica_outputs(outputs, now, effects);
    }

    /// Whether this node continues to be filled by its current source instead of by `requester`. It
    /// has one source at a time, or no copy would ever complete. A member of lower rank number
    /// takes precedence. A source that doesn't receive messages from this node can't complete its
    /// copy.
    fn keeps_current_source(
        &self,
        record: &EpochRecord,
        requester: NodeId,
        epoch: topazyard_types::Epoch,
        now: MonotonicMs,
    ) -> bool {
        let Some(source) = self.replica.primary().filter(|source| *source != requester) else {
            return false;
        };
        let primary_heard = self.replica.primary_last_heard();
        let is_filling = self.replica.epoch() == epoch
            && primary_heard.is_some_and(|at| now.since(at) < self.timeouts.learner)
            && self.peers.receives_from_us(source);
        let is_earlier =
            record.rank(requester) < record.rank(source) && self.peers.receives_from_us(requester);
        is_filling && !is_earlier
    }
}
