//! Asking for the next epoch: stop answering, copy everything to a learner, then let the
//! witnesses decide. Only a member of the old pair does so.

use super::{AfterWrite, ControlMachine, Out};
use topazyard_replication::{Proposal, epoch::Step};
use topazyard_types::{DurationMs, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreMessage, CoreNode, EpochRecord};
use topazyard_wire::message::pair::{PairBody, PairMessage};
use topazyard_wire::{Effect, Group, RowChange};

/// The row that keeps which epoch this node asked for.
pub(super) const CLAIMED_KEY: &str = "claimed";
/// How often one that claims and hears nobody to copy to looks again.
const LOOK_AGAIN: DurationMs = DurationMs(100);

/// A claim that is under way.
#[derive(Debug)]
pub(crate) struct Claim {
    base: EpochRecord,
    learner: Option<CoreNode>,
    since: MonotonicMs,
    /// Whether it is synced that this node answers nothing more in the old epoch.
    stopped: bool,
    proposal: Option<Proposal>,
}

impl ControlMachine {
    pub(super) fn claim_beat(&mut self, now: MonotonicMs, out: &mut Out) {
        if self.claim.is_some() {
            self.push_claim(now, out);
        } else if self.wants_claim(now) {
            self.begin_claim(now, out);
        }
    }

    /// Whether this node, being of the pair, has cause to ask for the next epoch.
    fn wants_claim(&self, now: MonotonicMs) -> bool {
        let Some(record) = self.witness.record() else { return false };
        if !record.in_pair(self.me.id) {
            return false;
        }
        let is_primary = record.primary.id == self.me.id;
        if self.claimed > record.epoch {
            // It stopped answering before it restarted, or yielded: ask again if nobody leads.
            let led = self.pair.heard_primary();
            return led.is_none_or(|at| now.since(at) >= self.patience.primary)
                && (is_primary || self.holds_all(record));
        }
        if is_primary {
            let silent = self.pair.backup_silent_since();
            return silent.is_some_and(|since| now.since(since) >= self.patience.backup)
                || self.pair.oldest_write(now) >= self.patience.write
                || (self.pair.is_serving() && self.exchange(record, None, now).is_some());
        }
        let silent = self.pair.heard_primary();
        self.holds_all(record) && silent.is_some_and(|at| now.since(at) >= self.patience.primary)
    }

    /// A primary that ends in order says so to its backup.
    pub(super) fn say_leaving(&self, out: &mut Out) {
        let Some(record) = self.witness.record() else { return };
        if self.pair.is_serving() && record.primary.id == self.me.id {
            let message = Message::Core(CoreMessage::Leaving { epoch: record.epoch });
            out.push(Effect::Send { to: record.backup.address, message });
        }
    }

    /// The primary ends: ask at once rather than after its silence. Whoever leads next, the
    /// witnesses decide, so that a word that comes late does no harm.
    pub(super) fn hear_leaving(
        &mut self,
        sender: NodeId,
        epoch: topazyard_types::Epoch,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let Some(record) = self.witness.record() else { return };
        let is_ours = record.epoch == epoch && record.primary.id == sender;
        let may_ask = record.backup.id == self.me.id && self.holds_all(record);
        if is_ours && may_ask && self.claim.is_none() && self.claimed <= epoch {
            self.begin_claim(now, out);
        }
    }

    /// Whether this backup's copy holds all that was ever answered up to that record.
    fn holds_all(&self, record: &EpochRecord) -> bool {
        self.pair.copy().place().epoch >= record.epoch
    }

    fn begin_claim(&mut self, now: MonotonicMs, out: &mut Out) {
        let Some(base) = self.witness.record().cloned() else { return };
        self.pair.stop_answering();
        self.claimed = base.epoch.next();
        let row = RowChange::put(CLAIMED_KEY, &self.claimed);
        self.claim =
            Some(Claim { base, learner: None, since: now, stopped: false, proposal: None });
        self.write_own(Group::Witness, vec![row], vec![AfterWrite::BeginClaim], out);
    }

    /// Whom to copy to: a witness that is heard, else a spare core node.
    fn choose_learner(
        &self,
        base: &EpochRecord,
        not: Option<NodeId>,
        now: MonotonicMs,
    ) -> Option<CoreNode> {
        let heard = |id: NodeId| id != self.me.id && self.core.is_heard(id, now);
        let rank = |node: &CoreNode| {
            let in_pair = base.in_pair(node.id);
            let backup_works = in_pair && self.exchange(base, None, now).is_some();
            // The backup itself comes first where only witnesses are exchanged, else last.
            (Some(node.id) == not, in_pair && !backup_works, !base.is_witness(node.id), node.id)
        };
        let nodes = self.core.heard.values().map(|seen| seen.node);
        nodes.filter(|node| heard(node.id)).min_by_key(rank)
    }

    /// The witness to let go and the spare to name in its place, if there is cause and a spare.
    fn exchange(
        &self,
        base: &EpochRecord,
        must_name: Option<CoreNode>,
        now: MonotonicMs,
    ) -> Option<(CoreNode, CoreNode)> {
        let spare = match must_name {
            Some(node) => Some(node),
            None => self
                .core
                .heard
                .values()
                .map(|seen| seen.node)
                .find(|node| !base.is_witness(node.id) && self.core.is_heard(node.id, now)),
        }?;
        let patience = if must_name.is_some() { DurationMs(0) } else { self.patience.witness };
        let gone = base
            .witnesses
            .iter()
            .filter(|node| node.id != self.me.id)
            .filter(|node| self.core.silence(node.id, now) >= patience)
            .max_by_key(|node| self.core.silence(node.id, now))?;
        Some((*gone, spare))
    }

    /// Everything this node held back is synced as stopped: copy the state to a learner.
    pub(super) fn copy_to_learner(&mut self, now: MonotonicMs, out: &mut Out) {
        let Some(claim) = &self.claim else { return };
        let base = claim.base.clone();
        let learner = self.choose_learner(&base, claim.learner.map(|node| node.id), now);
        if let Some(claim) = &mut self.claim {
            claim.stopped = true;
            claim.since = now;
            claim.learner = learner;
        }
        if learner.is_some() {
            let outputs = self.pair.become_primary(base.epoch.next(), None, learner, now);
            self.take_pair(outputs, now, out);
        }
    }

    fn push_claim(&mut self, now: MonotonicMs, out: &mut Out) {
        let patience = self.patience.clone();
        let Some(claim) = &mut self.claim else { return };
        if let Some(proposal) = &mut claim.proposal {
            if let Step::Say(message) = proposal.beat(now) {
                self.say_to_witnesses(&message, out);
            }
            return;
        }
        let led = self.pair.heard_primary();
        if claim.learner.is_none() && led.is_some_and(|at| now.since(at) < patience.primary) {
            // The primary is back, and there is nobody to take over with.
            self.claim = None;
            return;
        }
        let again = if claim.learner.is_none() { LOOK_AGAIN } else { patience.learner };
        if claim.stopped && now.since(claim.since) >= again {
            self.copy_to_learner(now, out);
        }
    }

    /// The learner holds everything: ask the witnesses.
    pub(super) fn propose(&mut self, learner: NodeId, now: MonotonicMs, out: &mut Out) {
        let Some(claim) = &self.claim else { return };
        let Some(backup) = claim.learner.filter(|node| node.id == learner) else { return };
        let base = claim.base.clone();
        let must_name = Some(backup).filter(|node| !base.is_witness(node.id));
        let mut witnesses = base.witnesses.clone();
        if let Some((gone, spare)) = self.exchange(&base, must_name, now)
            && gone.id != backup.id
        {
            for witness in &mut witnesses {
                if witness.id == gone.id {
                    *witness = spare;
                }
            }
        }
        let wanted = EpochRecord { epoch: base.epoch.next(), primary: self.me, backup, witnesses };
        let (proposal, message) = Proposal::begin(self.me.id, self.life, base, wanted, now);
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
        message: &CoreMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let proposal = self.claim.as_mut().and_then(|claim| claim.proposal.as_mut());
        let Some(proposal) = proposal else { return };
        match proposal.receive(witness, message, now) {
            Step::Wait => {}
            Step::Say(message) => self.say_to_witnesses(&message, out),
            Step::Decided(record) => self.learn_record(&record, now, out),
        }
    }

    /// Lets a member of the old pair that claims the next epoch copy its state here.
    pub(super) fn follow_claim_if_due(
        &mut self,
        sender: NodeId,
        message: &PairMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let Some(record) = self.witness.record() else { return };
        let claims = message.epoch == record.epoch.next()
            && record.in_pair(sender)
            && matches!(message.body, PairBody::Digests { .. });
        if !claims || sender == self.me.id {
            return;
        }
        if let Some(claim) = &self.claim {
            // Two claim: the backup yields to the primary, unless it already asks the witnesses.
            if claim.proposal.is_some() || sender != record.primary.id {
                return;
            }
            self.claim = None;
        }
        // One source at a time, so that two copies don't mix for long.
        let follows_other = self.pair.epoch() == message.epoch
            && self.pair.heard_primary().is_some_and(|at| now.since(at) < self.patience.learner);
        if follows_other && !self.pair.follows(sender) {
            return;
        }
        let outputs = self.pair.become_follower(message.epoch, sender, now);
        self.take_pair(outputs, now, out);
    }
}
