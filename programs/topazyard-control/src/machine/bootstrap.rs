//! Bootstrap: how the first epoch record of a new fleet is decided.
//!
//! A majority of the seeds decides it, as a majority of witnesses decides any other record, so that
//! two fleets can't be created. Any seed may propose it. A seed is identified by its address, since
//! the ids of the others aren't known beforehand. It votes only if its disk has existed since the
//! fleet was new, so that a seed that lost its disk, and its vote with it, can't vote a second
//! time.

use super::{ControlMachine, Effects, bootstrap_record};
use crate::witnesses;
use topazyard_replication::{Proposal, epoch::ProposalStep};
use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreMessage, EpochRecord};
use topazyard_wire::{Effect, Group};

impl ControlMachine {
    /// Persists that this node may vote on the first record, if its disk is empty and its settings
    /// say that the fleet is new.
    pub(super) fn persist_bootstrap_eligibility(&mut self, is_new: bool, effects: &mut Effects) {
        let Some(base) = bootstrap_record::bootstrap_record(&self.seeds).filter(|_| is_new) else {
            return;
        };
        if let Some(row) = self.witness.allow_bootstrap(base) {
            self.write_own_rows(Group::Witness, vec![row], Vec::new(), effects);
        }
    }

    pub(super) fn bootstrap_tick(&mut self, now: MonotonicMs, effects: &mut Effects) {
        if let Some(proposal) = &mut self.bootstrap {
            if let ProposalStep::Broadcast(message) = proposal.tick(now) {
                self.send_to_seeds(&message, effects);
            }
            return;
        }
        let Some(first_record) = self.first_record(now) else { return };
        let Some(base) = self.witness.bootstrap_base().cloned() else { return };
        let (proposal, message) =
            Proposal::begin(self.me.id, self.boot_id, base, first_record, now);
        self.bootstrap = Some(proposal);
        self.send_to_seeds(&message, effects);
    }

    pub(super) fn send_to_seeds(&self, message: &CoreMessage, effects: &mut Effects) {
        let Some(base) = self.witness.bootstrap_base() else { return };
        for seed in &base.witnesses {
            let message = Message::Core(message.clone());
            effects.push(Effect::Send { to: seed.address, message });
        }
    }

    /// The first record to propose, if this node may propose one now.
    fn first_record(&self, now: MonotonicMs) -> Option<EpochRecord> {
        let base = self.witness.bootstrap_base().filter(|_| self.witness.record().is_none())?;
        if self.disk.is_full() {
            return None;
        }
        let rank = base.witnesses.iter().position(|seed| seed.address == self.me.address)?;
        let peers: Vec<&super::peers::Peer> = self.peers.reachable(now).collect();
        if peers.iter().any(|peer| !peer.has_no_record) {
            // A peer knows a record, so a fleet already exists.
            return None;
        }
        let can_join = |peer: &&&super::peers::Peer| peer.receives_from_us && peer.takes_writes;
        let joining: Vec<&super::peers::Peer> = peers.iter().filter(can_join).copied().collect();
        let is_seed = |peer: &&&super::peers::Peer| {
            base.witnesses.iter().any(|seed| seed.address == peer.node.address)
        };
        let seeds = 1 + joining.iter().filter(is_seed).count();
        let witness_count = 2 * self.backups() + 1;
        let delay = self.bootstrap_delay(
            rank,
            seeds == base.witnesses.len(),
            joining.len() >= witness_count - 1,
        );
        if self.peers.observed_for(now) < delay || seeds * 2 <= base.witnesses.len() {
            return None;
        }
        let candidates = joining.iter().map(|peer| self.candidate(peer.node, now));
        let me = self.candidate(self.me, now);
        let witnesses = witnesses::spread(vec![me], candidates.collect(), witness_count);
        // With fewer backups than the fleet must tolerate losses, nothing could be acknowledged.
        let backups = witnesses.get(1..=self.backups())?.to_vec();
        Some(EpochRecord {
            epoch: bootstrap_record::FIRST_EPOCH,
            primary: self.me,
            backups,
            witnesses,
        })
    }

    /// How long this node waits before it proposes the first record. The first seed proposes as
    /// soon as it reaches enough nodes. The others wait for it, and all wait for a seed that is
    /// missing.
    fn bootstrap_delay(
        &self,
        rank: usize,
        all_seeds_reachable: bool,
        enough_reachable: bool,
    ) -> DurationMs {
        if rank == 0 && all_seeds_reachable && enough_reachable {
            return DurationMs(0);
        }
        if rank == 0 && all_seeds_reachable {
            // A node that becomes reachable later is made a witness by a later epoch change.
            return DurationMs(self.bounds.contact.0 / 3);
        }
        DurationMs(self.bounds.contact.0 + rank as u64 * self.timeouts.per_rank.0)
    }
}
