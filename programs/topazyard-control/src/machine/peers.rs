//! Heartbeats between control nodes, which spread epoch records.

use super::{AfterWrite, ControlMachine, Effects, bootstrap_record};
use topazyard_types::{DurationMs, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreMessage, CoreNode, EpochRecord};
use topazyard_wire::message::membership::MemberRole;
use topazyard_wire::{Effect, Group};

const HEARTBEAT_INTERVAL: DurationMs = DurationMs(250);
/// A control node counts as reachable for this long after its last heartbeat.
pub(super) const REACHABLE_TIMEOUT: DurationMs = DurationMs(1_000);
/// How long a leaving node is remembered as such. After that its silence shows that it is gone.
const LEAVING_TTL: DurationMs = DurationMs(60_000);

/// The last heartbeat of another control node.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) node: CoreNode,
    pub(crate) last_heard: MonotonicMs,
    /// When it last reported that its disk accepts writes.
    last_writable: MonotonicMs,
    /// Whether its disk accepts writes now.
    pub(super) takes_writes: bool,
    /// Whether it knows no epoch record.
    pub(super) has_no_record: bool,
    /// Whether it receives messages from this node.
    pub(super) receives_from_us: bool,
    /// Its zone.
    pub(super) zone: topazyard_types::ZoneName,
}

/// The other control nodes known to this node.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    pub(crate) known: std::collections::BTreeMap<NodeId, Peer>,
    last_heartbeat: MonotonicMs,
    /// Nodes that announced that they are leaving, with the time of the last announcement.
    leaving: std::collections::BTreeMap<NodeId, MonotonicMs>,
    /// When this process began to receive heartbeats, so that silence before that does not count.
    pub(crate) watching_since: Option<MonotonicMs>,
}

impl Peers {
    /// Whether a node was heard from recently and is not leaving.
    pub(crate) fn is_reachable(&self, id: NodeId, now: MonotonicMs) -> bool {
        !self.leaving.contains_key(&id)
            && self
                .known
                .get(&id)
                .is_some_and(|peer| now.since(peer.last_heard) < REACHABLE_TIMEOUT)
    }

    /// Records that a node is leaving. It counts as gone at once.
    pub(crate) fn note_leaving(&mut self, id: NodeId, now: MonotonicMs) {
        self.leaving.retain(|_, last_received| now.since(*last_received) < LEAVING_TTL);
        self.leaving.insert(id, now);
    }

    /// Whether a node announced that it is leaving.
    pub(crate) fn is_leaving(&self, id: NodeId) -> bool {
        self.leaving.contains_key(&id)
    }

    /// The other nodes that are reachable.
    pub(crate) fn reachable(&self, now: MonotonicMs) -> impl Iterator<Item = &Peer> {
        self.known.values().filter(move |peer| self.is_reachable(peer.node.id, now))
    }

    /// Whether a node receives messages from this one, by its last heartbeat.
    pub(crate) fn receives_from_us(&self, id: NodeId) -> bool {
        self.known.get(&id).is_some_and(|peer| peer.receives_from_us)
    }

    /// How long this process has been receiving heartbeats.
    pub(crate) fn observed_for(&self, now: MonotonicMs) -> DurationMs {
        self.watching_since.map_or(DurationMs(0), |since| now.since(since))
    }

    /// Handles a heartbeat of a node that was leaving: it has returned unless it announced that
    /// recently.
    fn note_returned(&mut self, id: NodeId, now: MonotonicMs) {
        self.leaving.retain(|other, last_received| {
            *other != id || now.since(*last_received) < REACHABLE_TIMEOUT
        });
    }

    /// Whether a node is reachable and may be given a role that writes.
    pub(crate) fn takes_writes(&self, id: NodeId, now: MonotonicMs) -> bool {
        self.is_reachable(id, now) && self.known.get(&id).is_some_and(|peer| peer.takes_writes)
    }

    /// The nodes whose last heartbeat reported a full disk.
    pub(crate) fn full_nodes(&self) -> Vec<std::net::SocketAddr> {
        let full = self.known.values().filter(|peer| !peer.takes_writes);
        full.map(|peer| peer.node.address).collect()
    }

    /// For how long a node has been silent or has reported a disk that accepts no writes.
    pub(crate) fn silence(&self, id: NodeId, now: MonotonicMs) -> DurationMs {
        if self.is_leaving(id) {
            return DurationMs(u64::MAX);
        }
        let since = self.known.get(&id).map(|peer| peer.last_writable).or(self.watching_since);
        since.map_or(DurationMs(0), |since| now.since(since))
    }
}

impl ControlMachine {
    pub(super) fn heartbeat_tick(&mut self, now: MonotonicMs, effects: &mut Effects) {
        self.peers.watching_since.get_or_insert(now);
        if now.since(self.peers.last_heartbeat) < HEARTBEAT_INTERVAL {
            return;
        }
        self.send_heartbeats(now, effects);
        self.bootstrap_tick(now, effects);
    }

    /// Sends the newest record to the other control nodes.
    fn send_heartbeats(&mut self, now: MonotonicMs, effects: &mut Effects) {
        self.peers.last_heartbeat = now;
        let reachable: Vec<CoreNode> = self.peers.reachable(now).map(|peer| peer.node).collect();
        let record = self.witness.record().cloned();
        let mut to: std::collections::BTreeSet<std::net::SocketAddr> =
            self.seeds.iter().copied().collect();
        to.extend(reachable.iter().map(|node| node.address));
        to.extend(self.membership.addresses(MemberRole::Control));
        to.extend(record.iter().flat_map(|r| r.witnesses.iter().map(|node| node.address)));
        to.remove(&self.me.address);
        for to in to {
            let heartbeat = CoreMessage::Heartbeat {
                record: record.clone(),
                reachable: reachable.clone(),
                zone: self.membership.own_zone().clone(),
                takes_writes: !self.disk.is_full(),
            };
            effects.push(Effect::Send { to, message: Message::Core(heartbeat) });
        }
    }

    /// Learns a decided record. This is the only place where this node's epoch changes.
    pub(super) fn learn_record(
        &mut self,
        record: &EpochRecord,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let Some(changes) = self.witness.learn(record) else { return };
        self.write_own_rows(Group::Witness, changes, Vec::new(), effects);
        let backups: Vec<String> =
            record.backups.iter().map(|node| node.address.to_string()).collect();
        let text = format!(
            "epoch {}: primary {} backups {}",
            record.epoch,
            record.primary.address,
            backups.join(" ")
        );
        effects.push(Effect::Log { is_error: false, text });
        self.epoch_change = None;
        self.bootstrap = None;
        // The record is announced before any message of its epoch, since a backup confirms nothing
        // before it knows the record.
        self.send_heartbeats(now, effects);
        self.assume_role(now, effects);
    }

    /// Takes the role that the newest record assigns to this node.
    pub(super) fn assume_role(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let Some(record) = self.witness.record().cloned() else { return };
        let stopped = self.requested_epoch > record.epoch;
        let outputs = if stopped {
            // The node requested a later epoch before it restarted and must not act in this one.
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
        self.handle_replica_outputs(outputs, now, effects);
        if !self.replica.is_primary() {
            self.refuse_all_queued(now, effects);
        }
    }

    pub(super) fn receive_core(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: CoreMessage,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        match message {
            CoreMessage::Heartbeat { record, reachable, zone, takes_writes } => {
                let known = self.peers.known.get(&sender).map(|known| known.last_writable);
                let last_writable = if takes_writes { now } else { known.unwrap_or(now) };
                self.peers.known.retain(|id, other| *id == sender || other.node.address != from);
                let peer = Peer {
                    node: CoreNode { id: sender, address: from },
                    last_heard: now,
                    last_writable,
                    takes_writes,
                    has_no_record: record.is_none(),
                    receives_from_us: reachable.iter().any(|node| node.id == self.me.id),
                    zone,
                };
                self.peers.known.insert(sender, peer);
                self.peers.note_returned(sender, now);
                if let Some(record) = record {
                    self.learn_record(&record, now, effects);
                }
            }
            CoreMessage::Prepare { base, ballot } => {
                self.learn_base_record(&base, now, effects);
                self.vote(from, |witness| witness.prepare(&base, ballot), effects);
            }
            CoreMessage::Accept { base, ballot, record } => {
                self.learn_base_record(&base, now, effects);
                self.vote(from, |witness| witness.accept(&base, ballot, record), effects);
            }
            CoreMessage::Leaving => self.receive_leaving(sender, now, effects),
            CoreMessage::Promise { .. }
            | CoreMessage::Accepted { .. }
            | CoreMessage::Rejected { .. } => {
                self.receive_vote(sender, from, &message, now, effects)
            }
        }
    }

    /// Learns the record that a proposal is based on, unless it is the bootstrap record, which was
    /// never decided.
    fn learn_base_record(&mut self, base: &EpochRecord, now: MonotonicMs, effects: &mut Effects) {
        if base.epoch != bootstrap_record::BOOTSTRAP_EPOCH {
            self.learn_record(base, now, effects);
        }
    }

    /// Votes if the record names this node as a witness, and sends the vote once it is synced.
    fn vote(
        &mut self,
        to: std::net::SocketAddr,
        cast_vote: impl FnOnce(
            &mut topazyard_replication::Witness,
        ) -> Option<(Vec<topazyard_wire::RowChange>, CoreMessage)>,
        effects: &mut Effects,
    ) {
        let record = self.witness.record().or(self.witness.bootstrap_base());
        let (id, address) = (self.me.id, self.me.address);
        if record.and_then(|record| bootstrap_record::voter_id(record, id, address)).is_none() {
            return;
        }
        // A vote counts only once it is synced, so a disk that takes no more writes casts none. The
        // proposer retries.
        if !self.disk.accepts_writes() {
            return;
        }
        if let Some((changes, reply)) = cast_vote(&mut self.witness) {
            self.write_own_rows(
                Group::Witness,
                changes,
                vec![AfterWrite::Send(to, reply)],
                effects,
            );
        }
    }
}
