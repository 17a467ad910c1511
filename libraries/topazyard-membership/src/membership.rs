//! The membership machine.

use crate::gossip::Gossip;
use crate::roll::{KnownMember, Roll};
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use topazyard_types::{DurationMs, Incarnation, MonotonicMs, NodeId};
use topazyard_wire::message::membership::{
    Member, MemberRole, MemberStatus, MemberUpdate, MembershipMessage,
};

/// How often a member probes another.
const PROBE_EVERY: DurationMs = DurationMs(400);
/// After how long without a return others are asked for a second opinion.
const SECOND_OPINION: DurationMs = DurationMs(200);
/// After how long without any return a member is suspected.
const SUSPECT_AFTER: DurationMs = DurationMs(600);
/// After how long a suspicion that was not refuted removes a member.
const REMOVE_AFTER: DurationMs = DurationMs(2_000);
/// For how long a removed member is remembered, so that old news can't bring it back.
const REMEMBER: DurationMs = DurationMs(60_000);
/// How often one that knows nobody asks its seeds.
const JOIN_ALONE: DurationMs = DurationMs(500);
/// How often one that knows others asks a seed or a lost member, so that splits heal.
const JOIN_AGAIN: DurationMs = DurationMs(3_000);
/// The most addresses that are kept to join by.
const SEEDS_KEPT: usize = 32;
/// How many are asked for a second opinion.
const OPINIONS: usize = 2;

/// A message and where it goes.
pub type Outgoing = (std::net::SocketAddr, MembershipMessage);

#[derive(Debug, Clone)]
struct Probe {
    nonce: u64,
    target: NodeId,
    address: std::net::SocketAddr,
    sent: MonotonicMs,
    others_asked: bool,
}

/// A probe made for another member.
#[derive(Debug, Clone)]
struct Errand {
    nonce: u64,
    asker: std::net::SocketAddr,
    asker_nonce: u64,
    sent: MonotonicMs,
}

/// What one node knows of the fleet.
#[derive(Debug, Clone)]
pub struct Membership {
    own: MemberUpdate,
    roll: Roll,
    gossip: Gossip,
    seeds: Vec<std::net::SocketAddr>,
    rng: rand::rngs::StdRng,
    turn: Vec<NodeId>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    last_nonce: u64,
    last_probe: MonotonicMs,
    last_join: Option<MonotonicMs>,
}

impl Membership {
    /// A node that knows only its seeds, and addresses it remembered.
    ///
    /// ```
    /// use topazyard_membership::Membership;
    /// use topazyard_types::{MonotonicMs, NodeId};
    /// use topazyard_wire::message::membership::{MemberRole, Member};
    /// let own = Member { id: NodeId(1), name: None, address: "127.0.0.1:1".parse().unwrap(),
    ///     http: None, role: MemberRole::Control, zone: "north".into() };
    /// let mut membership = Membership::new(own, vec!["127.0.0.1:2".parse().unwrap()], 7);
    /// assert_eq!(membership.tick(MonotonicMs(1_000)).len(), 1); // asks its seed for the roster
    /// ```
    pub fn new(own: Member, seeds: Vec<std::net::SocketAddr>, seed: u64) -> Self {
        use rand::SeedableRng as _;
        let own =
            MemberUpdate { member: own, incarnation: Incarnation(0), status: MemberStatus::Alive };
        Self {
            own,
            roll: Roll::default(),
            gossip: Gossip::default(),
            seeds,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            turn: Vec::new(),
            probe: None,
            errands: Vec::new(),
            last_nonce: topazyard_types::BootId(seed).first_number(),
            last_probe: MonotonicMs(0),
            last_join: None,
        }
    }

    /// The members that are not removed, this node not among them.
    pub fn present(&self) -> impl Iterator<Item = &KnownMember> {
        self.roll.present()
    }

    /// Every member remembered, the removed ones too.
    pub fn remembered(&self) -> impl Iterator<Item = &KnownMember> {
        self.roll.members.values()
    }

    /// The zone that this member stands in.
    pub fn own_zone(&self) -> &topazyard_types::ZoneName {
        &self.own.member.zone
    }

    /// How a member stands, if it is known.
    pub fn status(&self, id: NodeId) -> Option<MemberStatus> {
        if id == self.own.member.id {
            return Some(MemberStatus::Alive);
        }
        self.roll.members.get(&id).map(|known| known.update.status)
    }

    /// Where the members of a duty take frames.
    pub fn addresses(&self, role: MemberRole) -> impl Iterator<Item = std::net::SocketAddr> {
        self.present()
            .filter(move |known| known.update.member.role == role)
            .map(|known| known.update.member.address)
    }

    /// Probes a member next, as somebody has cause to doubt it.
    pub fn probe_next(&mut self, id: NodeId) {
        let is_probed = self.probe.as_ref().is_some_and(|probe| probe.target == id);
        let is_alive = self.status(id) == Some(MemberStatus::Alive);
        if is_alive && !is_probed && self.turn.last() != Some(&id) {
            self.turn.push(id);
        }
    }

    /// Joins by these from now on, besides the ones it was given before.
    pub fn add_seeds(&mut self, seeds: Vec<std::net::SocketAddr>) {
        let before = self.seeds.iter().copied().filter(|old| !seeds.contains(old));
        // What is older than two exchanges of all seeds is let go.
        let kept: Vec<_> = seeds.iter().copied().chain(before).take(SEEDS_KEPT).collect();
        self.seeds = kept;
    }

    fn next_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }

    fn news_to_send(&mut self) -> Vec<MemberUpdate> {
        let mut updates = self.gossip.next();
        updates.push(self.own.clone());
        updates
    }

    /// Time has passed.
    pub fn tick(&mut self, now: MonotonicMs) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.join_if_due(now, &mut out);
        self.follow_up_probe(now, &mut out);
        if now.since(self.last_probe) >= PROBE_EVERY && self.probe.is_none() {
            self.last_probe = now;
            self.begin_probe(now, &mut out);
        }
        self.remove_unrefuted(now);
        self.errands.retain(|errand| now.since(errand.sent) < SUSPECT_AFTER);
        out
    }

    fn join_if_due(&mut self, now: MonotonicMs, out: &mut Vec<Outgoing>) {
        let alone = self.roll.present().next().is_none();
        let every = if alone { JOIN_ALONE } else { JOIN_AGAIN };
        if self.last_join.is_some_and(|at| now.since(at) < every) {
            return;
        }
        self.last_join = Some(now);
        let own_address = self.own.member.address;
        let lost = self.roll.members.values().filter(|k| k.update.status == MemberStatus::Removed);
        let mut ask: Vec<std::net::SocketAddr> =
            self.seeds.iter().copied().chain(lost.map(|k| k.update.member.address)).collect();
        ask.retain(|address| *address != own_address);
        if !alone {
            ask = ask.choose(&mut self.rng).copied().into_iter().collect();
        }
        out.extend(
            ask.into_iter().map(|to| (to, MembershipMessage::Join { update: self.own.clone() })),
        );
    }

    fn begin_probe(&mut self, now: MonotonicMs, out: &mut Vec<Outgoing>) {
        if self.turn.is_empty() {
            self.turn = self.roll.present().map(|known| known.update.member.id).collect();
            self.turn.shuffle(&mut self.rng);
        }
        let target = loop {
            let Some(id) = self.turn.pop() else { return };
            match self.roll.members.get(&id) {
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
            sent: now,
            others_asked: false,
        });
        let mut updates = self.news_to_send();
        // A suspect is told, so that it can refute.
        if target.status == MemberStatus::Suspect {
            updates.push(target);
        }
        out.push((address, MembershipMessage::Probe { nonce, updates }));
    }

    fn follow_up_probe(&mut self, now: MonotonicMs, out: &mut Vec<Outgoing>) {
        let Some(probe) = &mut self.probe else { return };
        let (nonce, target, address) = (probe.nonce, probe.target, probe.address);
        let waited = now.since(probe.sent);
        if waited >= SUSPECT_AFTER {
            self.probe = None;
            if let Some(update) = self.roll.restand(target, MemberStatus::Suspect, now) {
                self.gossip.spread(update, self.roll.members.len());
            }
        } else if waited >= SECOND_OPINION && !probe.others_asked {
            probe.others_asked = true;
            let others: Vec<std::net::SocketAddr> = self
                .roll
                .present()
                .map(|known| &known.update)
                .filter(|update| update.member.id != target && update.status == MemberStatus::Alive)
                .map(|update| update.member.address)
                .collect();
            let chosen: Vec<_> = others.choose_multiple(&mut self.rng, OPINIONS).copied().collect();
            out.extend(
                chosen
                    .into_iter()
                    .map(|to| (to, MembershipMessage::IndirectProbe { nonce, target: address })),
            );
        }
    }

    fn remove_unrefuted(&mut self, now: MonotonicMs) {
        let due: Vec<NodeId> = self
            .roll
            .members
            .values()
            .filter(|k| {
                k.update.status == MemberStatus::Suspect && now.since(k.since) >= REMOVE_AFTER
            })
            .map(|known| known.update.member.id)
            .collect();
        for id in due {
            if let Some(update) = self.roll.restand(id, MemberStatus::Removed, now) {
                self.gossip.spread(update, self.roll.members.len());
            }
        }
        self.roll.members.retain(|_, known| {
            known.update.status != MemberStatus::Removed || now.since(known.since) < REMEMBER
        });
    }

    /// Takes a message.
    pub fn receive(
        &mut self,
        from: std::net::SocketAddr,
        message: MembershipMessage,
        now: MonotonicMs,
    ) -> Vec<Outgoing> {
        let mut out = Vec::new();
        match message {
            MembershipMessage::Probe { nonce, updates } => {
                self.take_news(updates, now);
                let updates = self.news_to_send();
                out.push((from, MembershipMessage::ProbeAck { nonce, updates }));
            }
            MembershipMessage::ProbeAck { nonce, updates } => {
                self.take_news(updates, now);
                self.probe.take_if(|probe| probe.nonce == nonce);
                if let Some(at) = self.errands.iter().position(|errand| errand.nonce == nonce) {
                    let errand = self.errands.swap_remove(at);
                    let updates = self.news_to_send();
                    let nonce = errand.asker_nonce;
                    out.push((errand.asker, MembershipMessage::ProbeAck { nonce, updates }));
                }
            }
            MembershipMessage::IndirectProbe { nonce, target } => {
                let own_nonce = self.next_nonce();
                self.errands.push(Errand {
                    nonce: own_nonce,
                    asker: from,
                    asker_nonce: nonce,
                    sent: now,
                });
                let updates = self.news_to_send();
                out.push((target, MembershipMessage::Probe { nonce: own_nonce, updates }));
            }
            MembershipMessage::Join { update } => {
                self.take_news(vec![update], now);
                let mut updates: Vec<MemberUpdate> =
                    self.roll.members.values().map(|known| known.update.clone()).collect();
                updates.push(self.own.clone());
                out.push((from, MembershipMessage::MemberList { updates }));
            }
            MembershipMessage::MemberList { updates } => self.take_news(updates, now),
        }
        out
    }

    fn take_news(&mut self, all: Vec<MemberUpdate>, now: MonotonicMs) {
        for update in all {
            if update.member.id == self.own.member.id {
                self.refute_if_doubted(&update);
                continue;
            }
            if !self.roll.take(&update, now) {
                continue;
            }
            if update.status == MemberStatus::Alive {
                for id in self.roll.overtaken_by(&update) {
                    if let Some(gone) = self.roll.restand(id, MemberStatus::Removed, now) {
                        self.gossip.spread(gone, self.roll.members.len());
                    }
                }
            }
            self.gossip.spread(update, self.roll.members.len());
        }
    }

    /// News that doubts this node is refuted under a higher incarnation.
    fn refute_if_doubted(&mut self, update: &MemberUpdate) {
        let doubted =
            update.status != MemberStatus::Alive || update.incarnation > self.own.incarnation;
        if doubted && update.incarnation >= self.own.incarnation {
            self.own.incarnation = Incarnation(update.incarnation.0 + 1);
            self.gossip.spread(self.own.clone(), self.roll.members.len());
        }
    }
}
