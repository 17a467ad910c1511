//! Beats between core nodes, by which records spread and a new fleet is founded.

use super::{AfterWrite, ControlMachine, Out};
use topazyard_types::{DurationMs, Epoch, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::cohort::Duty;
use topazyard_wire::message::control::{CoreMessage, CoreNode, EpochRecord};
use topazyard_wire::{Effect, Group};

const BEAT_EVERY: DurationMs = DurationMs(250);
/// Within which time a core node counts as heard.
pub(super) const HEARD_WITHIN: DurationMs = DurationMs(1_000);

/// A core node as it was last heard.
#[derive(Debug, Clone)]
pub(crate) struct Heard {
    pub(crate) node: CoreNode,
    pub(crate) at: MonotonicMs,
    /// When it last said that its disk takes writes.
    wrote: MonotonicMs,
    /// Whether it takes writes now.
    takes_writes: bool,
    /// Whether it knows no record at all.
    empty: bool,
    /// Whether it hears this node.
    hears_us: bool,
}

/// What is known of the other core nodes.
#[derive(Debug, Default)]
pub(crate) struct CoreView {
    pub(crate) heard: std::collections::BTreeMap<NodeId, Heard>,
    last_beat: MonotonicMs,
    /// Since when this process watches, so that silence is not counted from before.
    pub(crate) watching_since: Option<MonotonicMs>,
}

impl CoreView {
    /// Whether a node was heard lately.
    pub(crate) fn is_heard(&self, id: NodeId, now: MonotonicMs) -> bool {
        self.heard.get(&id).is_some_and(|heard| now.since(heard.at) < HEARD_WITHIN)
    }

    /// Whether a node was heard lately and may be given a duty that writes.
    pub(crate) fn takes_writes(&self, id: NodeId, now: MonotonicMs) -> bool {
        self.is_heard(id, now) && self.heard.get(&id).is_some_and(|heard| heard.takes_writes)
    }

    /// The nodes that said last that their disk is full.
    pub(crate) fn full_nodes(&self) -> Vec<std::net::SocketAddr> {
        let full = self.heard.values().filter(|heard| !heard.takes_writes);
        full.map(|heard| heard.node.address).collect()
    }

    /// For how long a node has not been heard, or has said that its disk takes no writes.
    pub(crate) fn silence(&self, id: NodeId, now: MonotonicMs) -> DurationMs {
        let since = self.heard.get(&id).map(|heard| heard.wrote).or(self.watching_since);
        since.map_or(DurationMs(0), |since| now.since(since))
    }
}

impl ControlMachine {
    pub(super) fn core_beat(&mut self, now: MonotonicMs, out: &mut Out) {
        self.core.watching_since.get_or_insert(now);
        if now.since(self.core.last_beat) < BEAT_EVERY {
            return;
        }
        self.core.last_beat = now;
        let heard: Vec<CoreNode> = self
            .core
            .heard
            .values()
            .filter(|heard| now.since(heard.at) < HEARD_WITHIN)
            .map(|heard| heard.node)
            .collect();
        let record = self.witness.record().cloned();
        let mut to: std::collections::BTreeSet<std::net::SocketAddr> =
            self.seeds.iter().copied().collect();
        to.extend(heard.iter().map(|node| node.address));
        to.extend(self.cohort.addresses(Duty::Control));
        to.extend(record.iter().flat_map(|r| r.witnesses.iter().map(|node| node.address)));
        to.remove(&self.me.address);
        for to in to {
            let beat = CoreMessage::Beat {
                record: record.clone(),
                heard: heard.clone(),
                takes_writes: !self.disk.is_full(),
            };
            out.push(Effect::Send { to, message: Message::Core(beat) });
        }
        self.found_if_due(now, out);
    }

    /// The first seed founds a fleet once it hears all seeds, all of them hear it and none knows of
    /// a fleet; it waits a while for as many control nodes as there should be witnesses. A node whose
    /// disk was lost, or that was added later, may not.
    fn found_if_due(&mut self, now: MonotonicMs, out: &mut Out) {
        let is_first = self.seeds.first() == Some(&self.me.address);
        let may_found = self.may_found && !self.disk.is_full();
        if !may_found || !is_first || self.witness.record().is_some() {
            return;
        }
        let joins = |heard: &&Heard| {
            let is_able = heard.empty && heard.hears_us && heard.takes_writes;
            is_able && now.since(heard.at) < HEARD_WITHIN
        };
        let joining: Vec<CoreNode> =
            self.core.heard.values().filter(joins).map(|heard| heard.node).collect();
        let mut witnesses = vec![self.me];
        for seed in &self.seeds[1..] {
            let Some(node) = joining.iter().find(|node| node.address == *seed) else { return };
            witnesses.push(*node);
        }
        // Settings name only some of the control nodes; the others are heard a little later.
        let others = joining.iter().filter(|node| !self.seeds.contains(&node.address));
        witnesses.extend(others.take((2 * self.backups() + 1).saturating_sub(witnesses.len())));
        let watched = self.core.watching_since.map_or(DurationMs(0), |since| now.since(since));
        // Whoever is heard only after a third of that is named a witness later.
        let waits = DurationMs(self.bounds.contact.0 / 3);
        if witnesses.len() < 2 * self.backups() + 1 && watched < waits {
            return;
        }
        // With fewer copies than the tolerated loss needs nothing could be acknowledged.
        let Some(backups) = witnesses.get(1..=self.backups()) else { return };
        let backups = backups.to_vec();
        let record = EpochRecord { epoch: Epoch(1), primary: self.me, backups, witnesses };
        self.learn_record(&record, now, out);
    }

    /// Takes a decided record: the one place where this node's epoch changes.
    pub(super) fn learn_record(&mut self, record: &EpochRecord, now: MonotonicMs, out: &mut Out) {
        let Some(changes) = self.witness.learn(record) else { return };
        self.write_own(Group::Witness, changes, Vec::new(), out);
        let backups: Vec<String> =
            record.backups.iter().map(|node| node.address.to_string()).collect();
        let text = format!(
            "epoch {}: primary {} backups {}",
            record.epoch,
            record.primary.address,
            backups.join(" ")
        );
        out.push(Effect::Note { grave: false, text });
        self.claim = None;
        // The others hear of it with the next beat, and whoever asks them is sent to the primary.
        self.core.last_beat = MonotonicMs(0);
        self.settle_role(now, out);
    }

    /// Takes the role that the record gives this node.
    pub(super) fn settle_role(&mut self, now: MonotonicMs, out: &mut Out) {
        let Some(record) = self.witness.record().cloned() else { return };
        let stopped = self.claimed > record.epoch;
        let outputs = if stopped {
            // It asked for a later epoch before it restarted: nothing more in this one.
            self.pair.become_idle(record.epoch)
        } else if record.primary.id == self.me.id {
            let followers = topazyard_replication::Followers {
                answers: record.backups.len() >= self.backups(),
                backups: record.backups,
                learners: Vec::new(),
            };
            self.pair.become_primary(record.epoch, followers, now)
        } else if record.is_member(self.me.id) {
            self.pair.become_follower(record.epoch, record.primary.id, now)
        } else {
            self.pair.become_idle(record.epoch)
        };
        self.take_pair(outputs, now, out);
        if !self.pair.is_primary() {
            self.refuse_all_queued(now, out);
        }
    }

    pub(super) fn receive_core(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: CoreMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        match message {
            CoreMessage::Beat { record, heard, takes_writes } => {
                let known = self.core.heard.get(&sender).map(|known| known.wrote);
                let wrote = if takes_writes { now } else { known.unwrap_or(now) };
                self.core.heard.retain(|id, other| *id == sender || other.node.address != from);
                let seen = Heard {
                    node: CoreNode { id: sender, address: from },
                    at: now,
                    wrote,
                    takes_writes,
                    empty: record.is_none(),
                    hears_us: heard.iter().any(|node| node.id == self.me.id),
                };
                self.core.heard.insert(sender, seen);
                if let Some(record) = record {
                    self.learn_record(&record, now, out);
                }
            }
            CoreMessage::Prepare { base, ballot } => {
                self.learn_record(&base, now, out);
                self.vote(from, |witness| witness.prepare(&base, ballot), out);
            }
            CoreMessage::Accept { base, ballot, record } => {
                self.learn_record(&base, now, out);
                self.vote(from, |witness| witness.accept(&base, ballot, record), out);
            }
            CoreMessage::Leaving { epoch } => self.hear_leaving(sender, epoch, now, out),
            CoreMessage::Promise { .. }
            | CoreMessage::Accepted { .. }
            | CoreMessage::Outbid { .. } => self.hear_witness(sender, &message, now, out),
        }
    }

    /// Votes, if the record names this node a witness, and says so once it is synced.
    fn vote(
        &mut self,
        to: std::net::SocketAddr,
        ask: impl FnOnce(
            &mut topazyard_replication::Witness,
        ) -> Option<(Vec<topazyard_wire::RowChange>, CoreMessage)>,
        out: &mut Out,
    ) {
        if !self.witness.record().is_some_and(|record| record.is_witness(self.me.id)) {
            return;
        }
        // A vote counts once it is synced: who votes anew in the meantime is asked again.
        if !self.disk.takes_more() {
            return;
        }
        if let Some((changes, say)) = ask(&mut self.witness) {
            self.write_own(Group::Witness, changes, vec![AfterWrite::Say(to, say)], out);
        }
    }
}
