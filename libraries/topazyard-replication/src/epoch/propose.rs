//! The proposer: a member of the current group that asks the current witnesses to accept the next
//! epoch record.

use topazyard_types::{BootId, DurationMs, MonotonicMs, NodeId};
use topazyard_wire::message::control::{Ballot, CoreMessage, EpochRecord};

/// Time without a decision after which the proposer starts a higher ballot.
const BALLOT_RETRY_INTERVAL: DurationMs = DurationMs(400);

/// A proposal in progress.
#[derive(Debug, Clone)]
pub struct Proposal {
    me: NodeId,
    base: EpochRecord,
    desired: EpochRecord,
    ballot: Ballot,
    ballot_started_at: MonotonicMs,
    stage: Stage,
}

#[derive(Debug, Clone)]
enum Stage {
    Preparing {
        promised: std::collections::BTreeSet<NodeId>,
        accepted: Option<(Ballot, EpochRecord)>,
    },
    Accepting {
        record: EpochRecord,
        accepted: std::collections::BTreeSet<NodeId>,
    },
}

/// The result of a tick or a received message.
#[derive(Debug)]
pub enum ProposalStep {
    /// Nothing to do.
    Wait,
    /// Send this message to every witness of the base record.
    Broadcast(CoreMessage),
    /// A record was decided, possibly that of another proposer.
    Decided(EpochRecord),
}

impl Proposal {
    /// Starts a proposal of `desired` as the record that follows `base`.
    pub fn begin(
        me: NodeId,
        boot_id: BootId,
        base: EpochRecord,
        desired: EpochRecord,
        now: MonotonicMs,
    ) -> (Self, CoreMessage) {
        let mut proposal = Self {
            me,
            base,
            desired,
            ballot: Ballot { round: 0, proposer: me, boot_id },
            ballot_started_at: now,
            stage: Stage::Preparing { promised: Default::default(), accepted: None },
        };
        let message = proposal.start_ballot(1, now);
        (proposal, message)
    }

    /// The record whose witnesses decide.
    pub fn base(&self) -> &EpochRecord {
        &self.base
    }

    fn start_ballot(&mut self, round: u64, now: MonotonicMs) -> CoreMessage {
        self.ballot = Ballot { round, ..self.ballot };
        self.ballot_started_at = now;
        self.stage = Stage::Preparing { promised: Default::default(), accepted: None };
        CoreMessage::Prepare { base: self.base.clone(), ballot: self.ballot }
    }

    /// Starts a higher ballot if there is no decision yet. The timeout depends on the node id, so
    /// that one of two competing proposers wins.
    pub fn tick(&mut self, now: MonotonicMs) -> ProposalStep {
        let timeout = DurationMs(BALLOT_RETRY_INTERVAL.0 + self.me.0 % 7 * 50);
        if now.since(self.ballot_started_at) < timeout {
            return ProposalStep::Wait;
        }
        let round = self.ballot.round + 1;
        ProposalStep::Broadcast(self.start_ballot(round, now))
    }

    fn majority(&self) -> usize {
        self.base.witnesses.len() / 2 + 1
    }

    /// Handles the response of a witness.
    pub fn receive(
        &mut self,
        witness: NodeId,
        message: &CoreMessage,
        now: MonotonicMs,
    ) -> ProposalStep {
        if !self.base.is_witness(witness) {
            return ProposalStep::Wait;
        }
        let majority = self.majority();
        let next = self.base.epoch.next();
        match (message, &mut self.stage) {
            (
                CoreMessage::Promise { epoch, ballot, accepted: before },
                Stage::Preparing { promised, accepted },
            ) if *epoch == next && *ballot == self.ballot => {
                promised.insert(witness);
                if before.as_ref().map(|(b, _)| *b) > accepted.as_ref().map(|(b, _)| *b) {
                    *accepted = before.clone();
                }
                if promised.len() < majority {
                    return ProposalStep::Wait;
                }
                let record = match accepted.take() {
                    Some((_, record)) => record,
                    None => self.desired.clone(),
                };
                let request = CoreMessage::Accept {
                    base: self.base.clone(),
                    ballot: self.ballot,
                    record: record.clone(),
                };
                self.stage = Stage::Accepting { record, accepted: Default::default() };
                ProposalStep::Broadcast(request)
            }
            (CoreMessage::Accepted { epoch, ballot }, Stage::Accepting { record, accepted })
                if *epoch == next && *ballot == self.ballot =>
            {
                accepted.insert(witness);
                if accepted.len() < majority {
                    return ProposalStep::Wait;
                }
                ProposalStep::Decided(record.clone())
            }
            (CoreMessage::Rejected { epoch, promised }, _) if *epoch == next => {
                // The next tick starts a ballot higher than the one that won over this one.
                self.ballot.round = self.ballot.round.max(promised.round);
                self.ballot_started_at = self
                    .ballot_started_at
                    .max(MonotonicMs(now.0.saturating_sub(BALLOT_RETRY_INTERVAL.0 / 2)));
                ProposalStep::Wait
            }
            _ => ProposalStep::Wait,
        }
    }
}
