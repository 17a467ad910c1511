//! The membership state machine.

use crate::gossip::Gossip;
use crate::member_table::{KnownMember, MemberTable};
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use topazyard_types::{DurationMs, Incarnation, MonotonicMs, NodeId};
use topazyard_wire::message::membership::{
    Member, MemberRole, MemberStatus, MemberUpdate, MembershipMessage,
};

/// Interval between probes.
const PROBE_INTERVAL: DurationMs = DurationMs(400);
/// Time without a response after which other members are requested to probe the target too.
const INDIRECT_PROBE_DELAY: DurationMs = DurationMs(200);
/// Time without any response after which a member is suspected.
const PROBE_TIMEOUT: DurationMs = DurationMs(600);
/// Time after which a suspected member is removed unless it refutes the suspicion.
const SUSPICION_TIMEOUT: DurationMs = DurationMs(2_000);
/// How long a removed member is remembered, so that old updates can't bring it back.
const REMOVED_RETENTION: DurationMs = DurationMs(60_000);
/// Interval at which a node that knows no other member contacts its seeds.
const JOIN_RETRY_INTERVAL: DurationMs = DurationMs(500);
/// Interval at which a node that knows others contacts a seed or a removed member, so that network
/// partitions heal.
const REJOIN_INTERVAL: DurationMs = DurationMs(3_000);
/// Maximum number of seed addresses to keep.
const MAX_SEEDS: usize = 32;
/// Number of members requested to probe the target too.
const INDIRECT_PROBES: usize = 2;

/// A message and its destination.
pub type Outgoing = (std::net::SocketAddr, MembershipMessage);

#[derive(Debug, Clone)]
struct Probe {
    nonce: u64,
    target: NodeId,
    address: std::net::SocketAddr,
    sent_at: MonotonicMs,
    indirect_probes_sent: bool,
}

/// A probe sent on behalf of another member.
#[derive(Debug, Clone)]
struct RelayedProbe {
    nonce: u64,
    requester: std::net::SocketAddr,
    requester_nonce: u64,
    sent_at: MonotonicMs,
}

/// What one node knows of the fleet.
#[derive(Debug, Clone)]
pub struct Membership {
    own: MemberUpdate,
    table: MemberTable,
    gossip: Gossip,
    seeds: Vec<std::net::SocketAddr>,
    rng: rand::rngs::StdRng,
    probe_order: Vec<NodeId>,
    probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    last_nonce: u64,
    last_probe_at: MonotonicMs,
    last_join_at: Option<MonotonicMs>,
}

impl Membership {
    /// Creates the membership of a node that knows only its seeds, remembered addresses included.
    ///
    /// ```
    /// use topazyard_membership::Membership;
    /// use topazyard_types::{MonotonicMs, NodeId};
    /// use topazyard_wire::message::membership::{MemberRole, Member};
    /// let own = Member { id: NodeId(1), name: None, address: "127.0.0.1:1".parse().unwrap(),
    ///     http: None, role: MemberRole::Control, zone: "north".into() };
    /// let mut membership = Membership::new(own, vec!["127.0.0.1:2".parse().unwrap()], 7);
    /// assert_eq!(membership.tick(MonotonicMs(1_000)).len(), 1); // joins through its seed
    /// ```
    pub fn new(own: Member, seeds: Vec<std::net::SocketAddr>, seed: u64) -> Self {
        use rand::SeedableRng as _;
        let own =
            MemberUpdate { member: own, incarnation: Incarnation(0), status: MemberStatus::Alive };
        Self {
            own,
            table: MemberTable::default(),
            gossip: Gossip::default(),
            seeds,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: Vec::new(),
            last_nonce: topazyard_types::BootId(seed).first_number(),
            last_probe_at: MonotonicMs(0),
            last_join_at: None,
        }
    }

    /// The members that are not removed, without this node.
    pub fn present(&self) -> impl Iterator<Item = &KnownMember> {
        self.table.present()
    }

    /// All known members, including removed ones that are still remembered.
    pub fn remembered(&self) -> impl Iterator<Item = &KnownMember> {
        self.table.members.values()
    }

    /// The zone of this node.
    pub fn own_zone(&self) -> &topazyard_types::ZoneName {
        &self.own.member.zone
    }

    /// The status of a member, if it is known.
    pub fn status(&self, id: NodeId) -> Option<MemberStatus> {
        if id == self.own.member.id {
            return Some(MemberStatus::Alive);
        }
        self.table.members.get(&id).map(|known| known.update.status)
    }

    /// The addresses at which the members with a role receive frames.
    pub fn addresses(&self, role: MemberRole) -> impl Iterator<Item = std::net::SocketAddr> {
        self.present()
            .filter(move |known| known.update.member.role == role)
            .map(|known| known.update.member.address)
    }

    /// Makes a member the next one to be probed, because a caller suspects it.
    pub fn probe_next(&mut self, id: NodeId) {
        let is_probed = self.probe.as_ref().is_some_and(|probe| probe.target == id);
        let is_alive = self.status(id) == Some(MemberStatus::Alive);
        if is_alive && !is_probed && self.probe_order.last() != Some(&id) {
            self.probe_order.push(id);
        }
    }

    /// Adds seeds; the newest ones come first.
    pub fn add_seeds(&mut self, seeds: Vec<std::net::SocketAddr>) {
        let before = self.seeds.iter().copied().filter(|old| !seeds.contains(old));
        // Seeds older than the last two complete replacements are dropped.
        let kept: Vec<_> = seeds.iter().copied().chain(before).take(MAX_SEEDS).collect();
        self.seeds = kept;
    }

    fn next_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }

    fn updates_to_send(&mut self) -> Vec<MemberUpdate> {
        let mut updates = self.gossip.next();
        updates.push(self.own.clone());
        updates
    }

    /// Sends whatever is due as time passes.
    pub fn tick(&mut self, now: MonotonicMs) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        self.join_if_due(now, &mut outgoing);
        self.check_probe(now, &mut outgoing);
        if now.since(self.last_probe_at) >= PROBE_INTERVAL && self.probe.is_none() {
            self.last_probe_at = now;
            self.begin_probe(now, &mut outgoing);
        }
        self.remove_unrefuted(now);
        self.relayed_probes.retain(|relayed| now.since(relayed.sent_at) < PROBE_TIMEOUT);
        outgoing
    }

    fn join_if_due(&mut self, now: MonotonicMs, outgoing: &mut Vec<Outgoing>) {
        let is_alone = self.table.present().next().is_none();
        let interval = if is_alone { JOIN_RETRY_INTERVAL } else { REJOIN_INTERVAL };
        if self.last_join_at.is_some_and(|at| now.since(at) < interval) {
            return;
        }
        self.last_join_at = Some(now);
        let own_address = self.own.member.address;
        let removed =
            self.table.members.values().filter(|k| k.update.status == MemberStatus::Removed);
        let mut targets: Vec<std::net::SocketAddr> =
            self.seeds.iter().copied().chain(removed.map(|k| k.update.member.address)).collect();
        targets.retain(|address| *address != own_address);
        if !is_alone {
            targets = targets.choose(&mut self.rng).copied().into_iter().collect();
        }
        outgoing.extend(
            targets
                .into_iter()
                .map(|to| (to, MembershipMessage::Join { update: self.own.clone() })),
        );
    }

    fn begin_probe(&mut self, now: MonotonicMs, outgoing: &mut Vec<Outgoing>) {
        if self.probe_order.is_empty() {
            self.probe_order = self.table.present().map(|known| known.update.member.id).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        let target = loop {
            let Some(id) = self.probe_order.pop() else { return };
            match self.table.members.get(&id) {
                Some(known) if known.update.status != MemberStatus::Removed => {
                    break known.update.clone();
                }
                _ => {}
            }
        };
        let nonce = self.next_nonce();
        let address = target.member.address;
        self.probe = Some(Probe {
            nonce,
            target: target.member.id,
            address,
            sent_at: now,
            indirect_probes_sent: false,
        });
        let mut updates = self.updates_to_send();
        // Tell a suspect that it is suspected, so that it can refute this.
        if target.status == MemberStatus::Suspect {
            updates.push(target);
        }
        outgoing.push((address, MembershipMessage::Probe { nonce, updates }));
    }

    fn check_probe(&mut self, now: MonotonicMs, outgoing: &mut Vec<Outgoing>) {
        let Some(probe) = &mut self.probe else { return };
        let (nonce, target, address) = (probe.nonce, probe.target, probe.address);
        let waited = now.since(probe.sent_at);
        if waited >= PROBE_TIMEOUT {
            self.probe = None;
            if let Some(update) = self.table.set_status(target, MemberStatus::Suspect, now) {
                self.gossip.broadcast(update, self.table.members.len());
            }
        } else if waited >= INDIRECT_PROBE_DELAY && !probe.indirect_probes_sent {
            probe.indirect_probes_sent = true;
            let others: Vec<std::net::SocketAddr> = self
                .table
                .present()
                .map(|known| &known.update)
                .filter(|update| update.member.id != target && update.status == MemberStatus::Alive)
                .map(|update| update.member.address)
                .collect();
            let chosen: Vec<_> =
                others.choose_multiple(&mut self.rng, INDIRECT_PROBES).copied().collect();
            outgoing.extend(
                chosen
                    .into_iter()
                    .map(|to| (to, MembershipMessage::IndirectProbe { nonce, target: address })),
            );
        }
    }

    fn remove_unrefuted(&mut self, now: MonotonicMs) {
        let due: Vec<NodeId> = self
            .table
            .members
            .values()
            .filter(|k| {
                k.update.status == MemberStatus::Suspect
                    && now.since(k.status_since) >= SUSPICION_TIMEOUT
            })
            .map(|known| known.update.member.id)
            .collect();
        for id in due {
            if let Some(update) = self.table.set_status(id, MemberStatus::Removed, now) {
                self.gossip.broadcast(update, self.table.members.len());
            }
        }
        self.table.members.retain(|_, known| {
            known.update.status != MemberStatus::Removed
                || now.since(known.status_since) < REMOVED_RETENTION
        });
    }

    /// Handles a message.
    pub fn receive(
        &mut self,
        from: std::net::SocketAddr,
        message: MembershipMessage,
        now: MonotonicMs,
    ) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        match message {
            MembershipMessage::Probe { nonce, updates } => {
                self.apply_updates(updates, now);
                let updates = self.updates_to_send();
                outgoing.push((from, MembershipMessage::ProbeAck { nonce, updates }));
            }
            MembershipMessage::ProbeAck { nonce, updates } => {
                self.apply_updates(updates, now);
                self.probe.take_if(|probe| probe.nonce == nonce);
                if let Some(at) =
                    self.relayed_probes.iter().position(|relayed| relayed.nonce == nonce)
                {
                    let relayed = self.relayed_probes.swap_remove(at);
                    let updates = self.updates_to_send();
                    let nonce = relayed.requester_nonce;
                    outgoing
                        .push((relayed.requester, MembershipMessage::ProbeAck { nonce, updates }));
                }
            }
            MembershipMessage::IndirectProbe { nonce, target } => {
                let own_nonce = self.next_nonce();
                self.relayed_probes.push(RelayedProbe {
                    nonce: own_nonce,
                    requester: from,
                    requester_nonce: nonce,
                    sent_at: now,
                });
                let updates = self.updates_to_send();
                outgoing.push((target, MembershipMessage::Probe { nonce: own_nonce, updates }));
            }
            MembershipMessage::Join { update } => {
                self.apply_updates(vec![update], now);
                let mut updates: Vec<MemberUpdate> =
                    self.table.members.values().map(|known| known.update.clone()).collect();
                updates.push(self.own.clone());
                outgoing.push((from, MembershipMessage::MemberList { updates }));
            }
            MembershipMessage::MemberList { updates } => self.apply_updates(updates, now),
        }
        outgoing
    }

    fn apply_updates(&mut self, all: Vec<MemberUpdate>, now: MonotonicMs) {
        for update in all {
            if update.member.id == self.own.member.id {
                self.refute_if_suspected(&update);
                continue;
            }
            if !self.table.merge(&update, now) {
                continue;
            }
            if update.status == MemberStatus::Alive {
                for id in self.table.replaced_by(&update) {
                    if let Some(gone) = self.table.set_status(id, MemberStatus::Removed, now) {
                        self.gossip.broadcast(gone, self.table.members.len());
                    }
                }
            }
            self.gossip.broadcast(update, self.table.members.len());
        }
    }

    /// Refutes an update that suspects this node by a higher incarnation.
    fn refute_if_suspected(&mut self, update: &MemberUpdate) {
        let is_suspected =
            update.status != MemberStatus::Alive || update.incarnation > self.own.incarnation;
        if is_suspected && update.incarnation >= self.own.incarnation {
            self.own.incarnation = Incarnation(update.incarnation.0 + 1);
            self.gossip.broadcast(self.own.clone(), self.table.members.len());
        }
    }
}
