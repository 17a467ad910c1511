//! Heartbeats between core nodes, by which records spread.

use super::{AfterWrite, ControlMachine, Out, genesis};
use topazyard_types::{DurationMs, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreMessage, CoreNode, EpochRecord};
use topazyard_wire::message::membership::MemberRole;
use topazyard_wire::{Effect, Group};

const HEARTBEAT_EVERY: DurationMs = DurationMs(250);
/// Within which time a core node counts as heard.
pub(super) const HEARD_WITHIN: DurationMs = DurationMs(1_000);
/// After how long it is forgotten that a node said that it ends: by then its silence says so.
const FORGET_AFTER: DurationMs = DurationMs(60_000);

/// A core node as it was last heard.
#[derive(Debug, Clone)]
pub(crate) struct Heard {
    pub(crate) node: CoreNode,
    pub(crate) at: MonotonicMs,
    /// When it last said that its disk takes writes.
    wrote: MonotonicMs,
    /// Whether it takes writes now.
    pub(super) takes_writes: bool,
    /// Whether it knows no record at all.
    pub(super) empty: bool,
    /// Whether it hears this node.
    pub(super) hears_us: bool,
    /// Its zone.
    pub(super) zone: topazyard_types::ZoneName,
}

/// What is known of the other core nodes.
#[derive(Debug, Clone, Default)]
pub(crate) struct CoreView {
    pub(crate) heard: std::collections::BTreeMap<NodeId, Heard>,
    last_heartbeat: MonotonicMs,
    /// Nodes that said that they end, with when they last said so.
    leaving: std::collections::BTreeMap<NodeId, MonotonicMs>,
    /// Since when this process watches, so that silence is not counted from before.
    pub(crate) watching_since: Option<MonotonicMs>,
}

impl CoreView {
    /// Whether a node was heard lately.
    pub(crate) fn is_heard(&self, id: NodeId, now: MonotonicMs) -> bool {
        !self.leaving.contains_key(&id)
            && self.heard.get(&id).is_some_and(|heard| now.since(heard.at) < HEARD_WITHIN)
    }

    /// Takes a node's word that it ends. It counts as gone at once.
    pub(crate) fn take_leaving(&mut self, id: NodeId, now: MonotonicMs) {
        self.leaving.retain(|_, said| now.since(*said) < FORGET_AFTER);
        self.leaving.insert(id, now);
    }

    /// Whether a node said that it ends.
    pub(crate) fn is_leaving(&self, id: NodeId) -> bool {
        self.leaving.contains_key(&id)
    }

    /// The other nodes that were heard lately.
    pub(crate) fn heard_lately(&self, now: MonotonicMs) -> impl Iterator<Item = &Heard> {
        self.heard.values().filter(move |heard| self.is_heard(heard.node.id, now))
    }

    /// Whether a node hears this one, as it said last.
    pub(crate) fn is_heard_by(&self, id: NodeId) -> bool {
        self.heard.get(&id).is_some_and(|heard| heard.hears_us)
    }

    /// For how long this process has watched.
    pub(crate) fn watched(&self, now: MonotonicMs) -> DurationMs {
        self.watching_since.map_or(DurationMs(0), |since| now.since(since))
    }

    /// A node is heard: if it said that it ends, and no longer says so, it has come back.
    fn returned(&mut self, id: NodeId, now: MonotonicMs) {
        self.leaving.retain(|other, said| *other != id || now.since(*said) < HEARD_WITHIN);
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
        if self.is_leaving(id) {
            return DurationMs(u64::MAX);
        }
        let since = self.heard.get(&id).map(|heard| heard.wrote).or(self.watching_since);
        since.map_or(DurationMs(0), |since| now.since(since))
    }
}

impl ControlMachine {
    pub(super) fn core_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        self.core.watching_since.get_or_insert(now);
        if now.since(self.core.last_heartbeat) < HEARTBEAT_EVERY {
            return;
        }
        self.announce(now, out);
        self.founding_tick(now, out);
    }

    /// Tells the other core nodes which record this node knows.
    fn announce(&mut self, now: MonotonicMs, out: &mut Out) {
        self.core.last_heartbeat = now;
        let heard: Vec<CoreNode> = self.core.heard_lately(now).map(|heard| heard.node).collect();
        let record = self.witness.record().cloned();
        let mut to: std::collections::BTreeSet<std::net::SocketAddr> =
            self.seeds.iter().copied().collect();
        to.extend(heard.iter().map(|node| node.address));
        to.extend(self.membership.addresses(MemberRole::Control));
        to.extend(record.iter().flat_map(|r| r.witnesses.iter().map(|node| node.address)));
        to.remove(&self.me.address);
        for to in to {
            let tick = CoreMessage::Heartbeat {
                record: record.clone(),
                reachable: heard.clone(),
                zone: self.membership.own_zone().clone(),
                takes_writes: !self.disk.is_full(),
            };
            out.push(Effect::Send { to, message: Message::Core(tick) });
        }
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
        out.push(Effect::Log { is_error: false, text });
        self.claim = None;
        self.founding = None;
        // Told before anything is asked in its epoch: a backup confirms nothing before it knows.
        self.announce(now, out);
        self.settle_role(now, out);
    }

    /// Takes the role that the record gives this node.
    pub(super) fn settle_role(&mut self, now: MonotonicMs, out: &mut Out) {
        let Some(record) = self.witness.record().cloned() else { return };
        let stopped = self.claimed > record.epoch;
        let outputs = if stopped {
            // It asked for a later epoch before it restarted: nothing more in this one.
            self.replica.become_idle(record.epoch)
        } else if record.primary.id == self.me.id {
            let followers = topazyard_replication::Followers {
                may_serve: record.backups.len() >= self.backups(),
                backups: record.backups,
                learners: Vec::new(),
            };
            self.replica.become_primary(record.epoch, followers, now)
        } else if record.is_member(self.me.id) {
            self.replica.become_follower(record.epoch, record.primary.id, now)
        } else {
            self.replica.become_idle(record.epoch)
        };
        self.take_replica(outputs, now, out);
        if !self.replica.is_primary() {
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
            CoreMessage::Heartbeat { record, reachable, zone, takes_writes } => {
                let known = self.core.heard.get(&sender).map(|known| known.wrote);
                let wrote = if takes_writes { now } else { known.unwrap_or(now) };
                self.core.heard.retain(|id, other| *id == sender || other.node.address != from);
                let seen = Heard {
                    node: CoreNode { id: sender, address: from },
                    at: now,
                    wrote,
                    takes_writes,
                    empty: record.is_none(),
                    hears_us: reachable.iter().any(|node| node.id == self.me.id),
                    zone,
                };
                self.core.heard.insert(sender, seen);
                self.core.returned(sender, now);
                if let Some(record) = record {
                    self.learn_record(&record, now, out);
                }
            }
            CoreMessage::Prepare { base, ballot } => {
                self.learn_base(&base, now, out);
                self.vote(from, |witness| witness.prepare(&base, ballot), out);
            }
            CoreMessage::Accept { base, ballot, record } => {
                self.learn_base(&base, now, out);
                self.vote(from, |witness| witness.accept(&base, ballot, record), out);
            }
            CoreMessage::Leaving => self.hear_leaving(sender, now, out),
            CoreMessage::Promise { .. }
            | CoreMessage::Accepted { .. }
            | CoreMessage::Rejected { .. } => self.hear_witness(sender, from, &message, now, out),
        }
    }

    /// Learns the record that a proposal follows. What the first record follows is none.
    fn learn_base(&mut self, base: &EpochRecord, now: MonotonicMs, out: &mut Out) {
        if base.epoch != genesis::GENESIS {
            self.learn_record(base, now, out);
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
        let record = self.witness.record().or(self.witness.bootstrap_base());
        let (id, address) = (self.me.id, self.me.address);
        if record.and_then(|record| genesis::voter(record, id, address)).is_none() {
            return;
        }
        // A vote counts once it is synced: who votes anew in the meantime is asked again.
        if !self.disk.accepts_writes() {
            return;
        }
        if let Some((changes, say)) = ask(&mut self.witness) {
            self.write_own(Group::Witness, changes, vec![AfterWrite::Say(to, say)], out);
        }
    }
}
