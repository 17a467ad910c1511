//! Founding: how the first epoch record of a new fleet comes about.
//!
//! The seeds decide it as witnesses decide any other record, by a majority of them, so that two
//! fleets can't be founded, and any seed may ask for it. A seed counts by its address, since the ids
//! of the others aren't known beforehand; it votes only if its disk has been its own since the fleet
//! was new, so that a seed that lost its disk, and with it its vote, has no second one.

use super::{ControlMachine, Out, genesis};
use crate::witnesses;
use topazyard_replication::{Proposal, epoch::ProposalStep};
use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreMessage, EpochRecord};
use topazyard_wire::{Effect, Group};

impl ControlMachine {
    /// Keeps durably that this node may vote on the first record, if its disk is empty and its
    /// settings say that the fleet is new.
    pub(super) fn keep_right_to_found(&mut self, is_new: bool, out: &mut Out) {
        let Some(genesis) = genesis::genesis(&self.seeds).filter(|_| is_new) else { return };
        if let Some(row) = self.witness.allow_bootstrap(genesis) {
            self.write_own(Group::Witness, vec![row], Vec::new(), out);
        }
    }

    pub(super) fn founding_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        if let Some(proposal) = &mut self.founding {
            if let ProposalStep::Broadcast(message) = proposal.tick(now) {
                self.ask_seeds(&message, out);
            }
            return;
        }
        let Some(wanted) = self.first_record(now) else { return };
        let Some(genesis) = self.witness.bootstrap_base().cloned() else { return };
        let (proposal, message) = Proposal::begin(self.me.id, self.boot_id, genesis, wanted, now);
        self.founding = Some(proposal);
        self.ask_seeds(&message, out);
    }

    pub(super) fn ask_seeds(&self, message: &CoreMessage, out: &mut Out) {
        let Some(genesis) = self.witness.bootstrap_base() else { return };
        for seed in &genesis.witnesses {
            let message = Message::Core(message.clone());
            out.push(Effect::Send { to: seed.address, message });
        }
    }

    /// The first record to ask for, if it is this node's turn to ask for one.
    fn first_record(&self, now: MonotonicMs) -> Option<EpochRecord> {
        let genesis = self.witness.bootstrap_base().filter(|_| self.witness.record().is_none())?;
        if self.disk.is_full() {
            return None;
        }
        let turn = genesis.witnesses.iter().position(|seed| seed.address == self.me.address)?;
        let heard: Vec<&super::core::Heard> = self.core.heard_lately(now).collect();
        if heard.iter().any(|heard| !heard.empty) {
            // A fleet exists.
            return None;
        }
        let joins = |heard: &&&super::core::Heard| heard.hears_us && heard.takes_writes;
        let joining: Vec<&super::core::Heard> = heard.iter().filter(joins).copied().collect();
        let is_seed = |heard: &&&super::core::Heard| {
            genesis.witnesses.iter().any(|seed| seed.address == heard.node.address)
        };
        let seeds = 1 + joining.iter().filter(is_seed).count();
        let wanted = 2 * self.backups() + 1;
        let waits = self.waits_to_found(
            turn,
            seeds == genesis.witnesses.len(),
            joining.len() >= wanted - 1,
        );
        if self.core.watched(now) < waits || seeds * 2 <= genesis.witnesses.len() {
            return None;
        }
        let candidates = joining.iter().map(|heard| self.candidate(heard.node, now));
        let me = self.candidate(self.me, now);
        let witnesses = witnesses::spread(vec![me], candidates.collect(), wanted);
        // With fewer copies than the tolerated loss needs nothing could be acknowledged.
        let backups = witnesses.get(1..=self.backups())?.to_vec();
        Some(EpochRecord { epoch: genesis::FIRST, primary: self.me, backups, witnesses })
    }

    /// How long this node listens before it asks for the first record. The first seed asks as soon as
    /// it hears enough nodes; the others give it time, and all give time to a seed that is missing.
    fn waits_to_found(&self, turn: usize, hears_all_seeds: bool, hears_enough: bool) -> DurationMs {
        if turn == 0 && hears_all_seeds && hears_enough {
            return DurationMs(0);
        }
        if turn == 0 && hears_all_seeds {
            // Whoever is heard only after that is named a witness later.
            return DurationMs(self.bounds.contact.0 / 3);
        }
        DurationMs(self.bounds.contact.0 + turn as u64 * self.timeouts.turn.0)
    }
}
