//! Founding: how the first epoch record of a new fleet comes about.
//!
//! The seeds decide it as witnesses decide any other record, by a majority of them, so that two
//! fleets can't be founded, and any seed may ask for it. A seed counts by its address, since the ids
//! of the others aren't known beforehand; it votes only if its disk has been its own since the fleet
//! was new, so that a seed that lost its disk, and with it its vote, has no second one.

use super::{ControlMachine, Effects, bootstrap_record};
use crate::witnesses;
use topazyard_replication::{Proposal, epoch::ProposalStep};
use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreMessage, EpochRecord};
use topazyard_wire::{Effect, Group};

impl ControlMachine {
    /// Keeps durably that this node may vote on the first record, if its disk is empty and its
    /// settings say that the fleet is new.
    pub(super) fn persist_bootstrap_eligibility(&mut self, is_new: bool, effects: &mut Effects) {
        let Some(initial) = bootstrap_record::bootstrap_record(&self.seeds).filter(|_| is_new)
        else {
            return;
        };
        if let Some(row) = self.witness.allow_bootstrap(initial) {
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
        let Some(initial) = self.witness.bootstrap_base().cloned() else { return };
        let (proposal, message) =
            Proposal::begin(self.me.id, self.boot_id, initial, first_record, now);
        self.bootstrap = Some(proposal);
        self.send_to_seeds(&message, effects);
    }

    pub(super) fn send_to_seeds(&self, message: &CoreMessage, effects: &mut Effects) {
        let Some(initial) = self.witness.bootstrap_base() else { return };
        for seed in &initial.witnesses {
            let message = Message::Core(message.clone());
            effects.push(Effect::Send { to: seed.address, message });
        }
    }

    /// The first record to ask for, if it is this node's turn to ask for one.
    fn first_record(&self, now: MonotonicMs) -> Option<EpochRecord> {
        let initial = self.witness.bootstrap_base().filter(|_| self.witness.record().is_none())?;
        if self.disk.is_full() {
            return None;
        }
        let rank = initial.witnesses.iter().position(|seed| seed.address == self.me.address)?;
        let peer: Vec<&super::peers::Peer> = self.peers.reachable(now).collect();
        if peer.iter().any(|peer| !peer.has_no_record) {
            // A fleet exists.
            return None;
        }
        let joins = |peer: &&&super::peers::Peer| peer.receives_from_us && peer.takes_writes;
        let joining: Vec<&super::peers::Peer> = peer.iter().filter(joins).copied().collect();
        let is_seed = |peer: &&&super::peers::Peer| {
            initial.witnesses.iter().any(|seed| seed.address == peer.node.address)
        };
        let seeds = 1 + joining.iter().filter(is_seed).count();
        let first_record = 2 * self.backups() + 1;
        let delay = self.bootstrap_delay(
            rank,
            seeds == initial.witnesses.len(),
            joining.len() >= first_record - 1,
        );
        if self.peers.observed_for(now) < delay || seeds * 2 <= initial.witnesses.len() {
            return None;
        }
        let candidates = joining.iter().map(|peer| self.candidate(peer.node, now));
        let me = self.candidate(self.me, now);
        let witnesses = witnesses::spread(vec![me], candidates.collect(), first_record);
        // With fewer copies than the tolerated loss needs nothing could be acknowledged.
        let backups = witnesses.get(1..=self.backups())?.to_vec();
        Some(EpochRecord {
            epoch: bootstrap_record::FIRST_EPOCH,
            primary: self.me,
            backups,
            witnesses,
        })
    }

    /// How long this node listens before it asks for the first record. The first seed asks as soon as
    /// it hears enough nodes; the others give it time, and all give time to a seed that is missing.
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
            // Whoever is heard only after that is named a witness later.
            return DurationMs(self.bounds.contact.0 / 3);
        }
        DurationMs(self.bounds.contact.0 + rank as u64 * self.timeouts.per_rank.0)
    }
}
