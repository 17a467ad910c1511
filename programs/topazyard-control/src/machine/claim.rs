//! Asking for the next epoch: stop answering, copy everything to as many learners as there must be
//! backups, then let the witnesses decide. Only a primary or backup of the old epoch does so.

use super::{AfterWrite, ControlMachine, Out, genesis};
use crate::witnesses;
use topazyard_replication::{Proposal, epoch::ProposalStep};
use topazyard_types::{DurationMs, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreMessage, CoreNode, EpochRecord};
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Group, RowChange};

/// The row that keeps which epoch this node asked for.
pub(super) const CLAIMED_KEY: &str = "claimed";
/// How often one that claims and hears nobody to copy to looks again.
const LOOK_AGAIN: DurationMs = DurationMs(100);

/// A claim that is under way.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    base: EpochRecord,
    learners: Vec<CoreNode>,
    /// How often a node gave cause to do without it: by its silence, or as a learner not filled.
    failures: std::collections::BTreeMap<NodeId, u32>,
    since: MonotonicMs,
    /// Whether it is synced that this node answers nothing more in the old epoch.
    stopped: bool,
    proposal: Option<Proposal>,
}

impl ControlMachine {
    pub(super) fn claim_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        if self.claim.is_some() {
            self.push_claim(now, out);
        } else if self.wants_claim(now) {
            self.begin_claim(now, out);
        }
    }

    /// Whether this node, being primary or backup, has cause to ask for the next epoch.
    fn wants_claim(&self, now: MonotonicMs) -> bool {
        let Some(record) = self.witness.record() else { return false };
        let Some(turn) = record.rank(self.me.id) else { return false };
        let is_primary = turn == 0;
        let timeout = DurationMs(
            self.timeouts.primary.0 + self.timeouts.turn.0 * turn.saturating_sub(1) as u64,
        );
        let is_full = self.disk.is_full();
        if is_full && !is_primary {
            // It could not sync that it asks.
            return false;
        }
        if self.claimed > record.epoch {
            // It stopped answering before it restarted, or yielded: ask again if nobody leads.
            let led = self.replica.primary_last_heard();
            return led.is_none_or(|at| now.since(at) >= timeout)
                && (is_primary || self.holds_all(record));
        }
        let follows_nobody =
            self.replica.primary_last_heard().is_some_and(|at| now.since(at) >= timeout);
        if is_primary {
            let silent = self.replica.backup_silent_since();
            // It may have let a backup's claim copy here that came to nothing.
            return is_full
                || follows_nobody
                || silent.is_some_and(|since| now.since(since) >= self.timeouts.backup)
                || self.replica.oldest_write(now) >= self.timeouts.write
                || (self.replica.is_serving() && self.next_witnesses(record, &[], now).is_some())
                || record.backups.iter().any(|node| self.core.is_leaving(node.id))
                || (record.backups.len() < self.backups()
                    && self.others_heard(now).count() >= self.backups());
        }
        let is_next = record.backups.iter().find(|node| !self.core.is_leaving(node.id));
        let follows_leaver = self.core.is_leaving(record.primary.id)
            && is_next.is_some_and(|node| node.id == self.me.id);
        self.holds_all(record) && (follows_leaver || follows_nobody)
    }

    /// Whether this backup's copy holds all that was ever answered up to that record.
    pub(super) fn holds_all(&self, record: &EpochRecord) -> bool {
        // Nothing was answered in the first epoch before this copy was compared.
        record.epoch == genesis::FIRST || self.replica.copy().position().epoch >= record.epoch
    }

    /// The other core nodes that are heard and whose disks take writes.
    pub(super) fn others_heard(&self, now: MonotonicMs) -> impl Iterator<Item = CoreNode> {
        let heard = self.core.heard.values().map(|seen| seen.node);
        heard.filter(move |node| node.id != self.me.id && self.core.takes_writes(node.id, now))
    }

    fn begin_claim(&mut self, now: MonotonicMs, out: &mut Out) {
        let Some(base) = self.witness.record().cloned() else { return };
        if self.disk.is_full() {
            // Nothing of this claim goes on before there is room: let the backup ask at once.
            self.say_leaving(now, out);
        }
        let mut silent = if base.primary.id == self.me.id {
            self.replica.silent_backups(self.timeouts.backup, now)
        } else {
            vec![base.primary.id]
        };
        silent
            .extend(base.backups.iter().map(|node| node.id).filter(|id| self.core.is_leaving(*id)));
        self.replica.stop_serving();
        self.claimed = base.epoch.next();
        let row = RowChange::put(CLAIMED_KEY, &self.claimed);
        self.claim = Some(Claim {
            base,
            learners: Vec::new(),
            failures: silent.into_iter().map(|id| (id, 1)).collect(),
            since: now,
            stopped: false,
            proposal: None,
        });
        self.write_own(Group::Witness, vec![row], vec![AfterWrite::BeginClaim], out);
    }

    /// Whom to copy to: members of the epoch before and witnesses first, each in a zone of its
    /// own where that can be. Gives none where too few are heard.
    fn choose_learners(&self, claim: &Claim, now: MonotonicMs) -> Option<Vec<CoreNode>> {
        let zone = |id: NodeId| {
            let known = self.membership.remembered().find(|known| known.update.member.id == id);
            known.map(|known| known.update.member.zone.clone())
        };
        let mut zones = vec![self.membership.own_zone().clone()];
        let mut others: Vec<CoreNode> = self.others_heard(now).collect();
        let mut chosen = Vec::new();
        while chosen.len() < self.backups() {
            let rank = |node: &CoreNode| {
                let failures = claim.failures.get(&node.id).copied().unwrap_or(0);
                let together = zone(node.id).is_some_and(|zone| zones.contains(&zone));
                let (base, id) = (&claim.base, node.id);
                (failures, together, !base.is_member(id), !base.is_witness(id), id)
            };
            let (at, next) =
                others.iter().copied().enumerate().min_by_key(|(_, node)| rank(node))?;
            others.remove(at);
            zones.extend(zone(next.id));
            chosen.push(next);
        }
        Some(chosen)
    }

    /// The witnesses to name next, if others than now: all that must be among them, as many as
    /// decide through the tolerated loss, and spares in place of those silent for long.
    fn next_witnesses(
        &self,
        base: &EpochRecord,
        must_name: &[CoreNode],
        now: MonotonicMs,
    ) -> Option<Vec<CoreNode>> {
        let must: Vec<NodeId> = must_name.iter().map(|node| node.id).chain([self.me.id]).collect();
        let mut spares: Vec<CoreNode> = self.others_heard(now).collect();
        spares.extend(must_name.iter().filter(|node| !self.core.is_heard(node.id, now)));
        let as_candidates = |nodes: &[CoreNode]| -> Vec<witnesses::Candidate> {
            nodes.iter().map(|node| self.candidate(*node, now)).collect()
        };
        let terms = witnesses::Terms {
            wanted: 2 * self.backups() + 1,
            silent_for: self.timeouts.witness,
            lost_zones: usize::from(self.bounds.lost_zones),
        };
        let present = as_candidates(&base.witnesses);
        let witnesses = witnesses::next(present, &must, as_candidates(&spares), &terms);
        Some(witnesses).filter(|witnesses| *witnesses != base.witnesses)
    }

    /// A node as a candidate for witness.
    pub(super) fn candidate(&self, node: CoreNode, now: MonotonicMs) -> witnesses::Candidate {
        let is_me = node.id == self.me.id;
        let heard = self.core.heard.get(&node.id).map(|heard| heard.zone.clone());
        let zone = if is_me { Some(self.membership.own_zone().clone()) } else { heard };
        let silence = if is_me { DurationMs(0) } else { self.core.silence(node.id, now) };
        witnesses::Candidate { node, zone, silence }
    }

    /// Everything this node held back is synced as stopped: copy the state to learners.
    pub(super) fn copy_to_learners(&mut self, now: MonotonicMs, out: &mut Out) {
        let filled = self.replica.filled_learners();
        let Some(claim) = &mut self.claim else { return };
        for learner in claim.learners.iter().filter(|node| !filled.contains(&node.id)) {
            *claim.failures.entry(learner.id).or_default() += 1;
        }
        claim.stopped = true;
        claim.since = now;
        let Some(claim) = &self.claim else { return };
        let learners = self.choose_learners(claim, now);
        let epoch = claim.base.epoch.next();
        if let Some(claim) = &mut self.claim {
            claim.learners = learners.clone().unwrap_or_default();
        }
        match learners {
            None if self.replica.is_primary() && self.replica.epoch() == epoch => {
                // Whoever it copied to is no longer heard, and may be asked by another member.
                let nobody = topazyard_replication::Followers::default();
                let outputs = self.replica.become_primary(epoch, nobody, now);
                self.take_replica(outputs, now, out);
            }
            None => {}
            Some(none) if none.is_empty() => self.propose(now, out),
            Some(learners) => {
                let followers = topazyard_replication::Followers { learners, ..Default::default() };
                let outputs = self.replica.become_primary(epoch, followers, now);
                self.take_replica(outputs, now, out);
            }
        }
    }

    fn push_claim(&mut self, now: MonotonicMs, out: &mut Out) {
        let timeouts = self.timeouts.clone();
        let Some(claim) = &mut self.claim else { return };
        if let Some(proposal) = &mut claim.proposal {
            if let ProposalStep::Broadcast(message) = proposal.tick(now) {
                self.say_to_witnesses(&message, out);
            }
            return;
        }
        let led = self.replica.primary_last_heard();
        if claim.learners.is_empty() && led.is_some_and(|at| now.since(at) < timeouts.primary) {
            // The primary is back, and there are too few to take over with.
            self.claim = None;
            return;
        }
        let again = if claim.learners.is_empty() { LOOK_AGAIN } else { timeouts.learner };
        if claim.stopped && now.since(claim.since) >= again {
            self.copy_to_learners(now, out);
        }
    }

    /// The learners hold everything: ask the witnesses. A learner that was given up, as too few were
    /// heard, may come back filled: a record must name all the backups, so that one is chosen again.
    pub(super) fn propose(&mut self, now: MonotonicMs, out: &mut Out) {
        let Some(claim) = &self.claim else { return };
        if claim.learners.len() < self.backups() {
            return;
        }
        let (base, backups) = (claim.base.clone(), claim.learners.clone());
        let witnesses = self.next_witnesses(&base, &backups, now);
        let witnesses = witnesses.unwrap_or_else(|| base.witnesses.clone());
        let wanted = EpochRecord { epoch: base.epoch.next(), primary: self.me, backups, witnesses };
        let (proposal, message) = Proposal::begin(self.me.id, self.boot_id, base, wanted, now);
        if let Some(claim) = &mut self.claim {
            claim.proposal = Some(proposal);
        }
        self.say_to_witnesses(&message, out);
    }

    fn say_to_witnesses(&self, message: &CoreMessage, out: &mut Out) {
        let proposal = self.claim.as_ref().and_then(|claim| claim.proposal.as_ref());
        let Some(proposal) = proposal else { return };
        for witness in &proposal.base().witnesses {
            let message = Message::Core(message.clone());
            out.push(Effect::Send { to: witness.address, message });
        }
    }

    pub(super) fn hear_witness(
        &mut self,
        witness: NodeId,
        from: std::net::SocketAddr,
        message: &CoreMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let proposal = self.claim.as_mut().and_then(|claim| claim.proposal.as_mut());
        let Some(proposal) = proposal.or(self.founding.as_mut()) else { return };
        let Some(witness) = genesis::voter(proposal.base(), witness, from) else { return };
        match proposal.receive(witness, message, now) {
            ProposalStep::Wait => {}
            ProposalStep::Broadcast(message) if self.claim.is_some() => {
                self.say_to_witnesses(&message, out)
            }
            ProposalStep::Broadcast(message) => self.ask_seeds(&message, out),
            ProposalStep::Decided(record) => self.learn_record(&record, now, out),
        }
    }

    /// Lets a member of the old epoch that claims the next one copy its state here.
    pub(super) fn follow_claim_if_due(
        &mut self,
        sender: NodeId,
        message: &ReplicaMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let Some(record) = self.witness.record() else { return };
        let Some(turn) = record.rank(sender) else { return };
        let claims = message.epoch == record.epoch.next()
            && matches!(message.body, ReplicaBody::Digests { .. });
        if !claims || sender == self.me.id || self.disk.is_full() {
            return;
        }
        if let Some(claim) = &self.claim {
            // Two claim: the later in turn yields, unless it already asks the witnesses.
            let is_ahead = record.rank(self.me.id).is_none_or(|own| turn < own);
            if claim.proposal.is_some() || !is_ahead {
                return;
            }
            self.claim = None;
        }
        if self.keeps_source(record, sender, message.epoch, now) {
            return;
        }
        let outputs = self.replica.become_follower(message.epoch, sender, now);
        self.take_replica(outputs, now, out);
    }

    /// Whether this node goes on being filled by another member than the one that asks now: one
    /// source at a time, or none would ever be done. A member whose turn is earlier goes first. A
    /// source that doesn't hear this node can't bring its copy to an end.
    fn keeps_source(
        &self,
        record: &EpochRecord,
        asks: NodeId,
        epoch: topazyard_types::Epoch,
        now: MonotonicMs,
    ) -> bool {
        let Some(source) = self.replica.primary().filter(|source| *source != asks) else {
            return false;
        };
        let heard = self.replica.primary_last_heard();
        let is_filling = self.replica.epoch() == epoch
            && heard.is_some_and(|at| now.since(at) < self.timeouts.learner)
            && self.core.is_heard_by(source);
        let is_earlier = record.rank(asks) < record.rank(source) && self.core.is_heard_by(asks);
        is_filling && !is_earlier
    }
}
