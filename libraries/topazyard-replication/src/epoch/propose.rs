//! The proposer: a member of the old replica that asks the old witnesses for the next record.

use topazyard_types::{BootId, DurationMs, MonotonicMs, NodeId};
use topazyard_wire::message::control::{Ballot, CoreMessage, EpochRecord};

/// After how long without a decision a higher ballot is called.
const AGAIN: DurationMs = DurationMs(400);

/// A proposal that is under way.
#[derive(Debug, Clone)]
pub struct Proposal {
    me: NodeId,
    base: EpochRecord,
    wanted: EpochRecord,
    ballot: Ballot,
    begun: MonotonicMs,
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

/// What comes of a step of the proposal.
#[derive(Debug)]
pub enum ProposalStep {
    /// Nothing yet.
    Wait,
    /// Say this to every witness of the base.
    Broadcast(CoreMessage),
    /// Decided, maybe for another's proposal.
    Decided(EpochRecord),
}

impl Proposal {
    /// Begins to ask for `wanted` after `base`.
    pub fn begin(
        me: NodeId,
        boot_id: BootId,
        base: EpochRecord,
        wanted: EpochRecord,
        now: MonotonicMs,
    ) -> (Self, CoreMessage) {
        let mut proposal = Self {
            me,
            base,
            wanted,
            ballot: Ballot { round: 0, proposer: me, boot_id },
            begun: now,
            stage: Stage::Preparing { promised: Default::default(), accepted: None },
        };
        let message = proposal.call(1, now);
        (proposal, message)
    }

    /// The record whose witnesses are asked.
    pub fn base(&self) -> &EpochRecord {
        &self.base
    }

    fn call(&mut self, round: u64, now: MonotonicMs) -> CoreMessage {
        self.ballot = Ballot { round, ..self.ballot };
        self.begun = now;
        self.stage = Stage::Preparing { promised: Default::default(), accepted: None };
        CoreMessage::Prepare { base: self.base.clone(), ballot: self.ballot }
    }

    /// Calls a higher ballot if no decision came. Proposers wait differently long, so that one
    /// of two gets through.
    pub fn tick(&mut self, now: MonotonicMs) -> ProposalStep {
        let apart = DurationMs(AGAIN.0 + self.me.0 % 7 * 50);
        if now.since(self.begun) < apart {
            return ProposalStep::Wait;
        }
        let round = self.ballot.round + 1;
        ProposalStep::Broadcast(self.call(round, now))
    }

    fn majority(&self) -> usize {
        self.base.witnesses.len() / 2 + 1
    }

    /// Takes what a witness said.
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
                    None => self.wanted.clone(),
                };
                let say = CoreMessage::Accept {
                    base: self.base.clone(),
                    ballot: self.ballot,
                    record: record.clone(),
                };
                self.stage = Stage::Accepting { record, accepted: Default::default() };
                ProposalStep::Broadcast(say)
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
                // The next tick calls a ballot above the one that outbid this.
                self.ballot.round = self.ballot.round.max(promised.round);
                self.begun = self.begun.max(MonotonicMs(now.0.saturating_sub(AGAIN.0 / 2)));
                ProposalStep::Wait
            }
            _ => ProposalStep::Wait,
        }
    }
}
