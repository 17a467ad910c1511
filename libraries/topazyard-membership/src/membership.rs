//! The membership machine.

use crate::gossip::Gossip;
use crate::member_table::{KnownMember, MemberTable};
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use topazyard_types::{DurationMs, Incarnation, MonotonicMs, NodeId};
use topazyard_wire::message::membership::{Duty, Member, MembershipMessage, News, Standing};

/// How often a member probes another.
const PROBE_INTERVAL: DurationMs = DurationMs(400);
/// After how long without a return others are asked for a second opinion.
const INDIRECT_PROBE_DELAY: DurationMs = DurationMs(200);
/// After how long without any return a member is suspected.
const PROBE_TIMEOUT: DurationMs = DurationMs(600);
/// After how long a suspicion that was not refuted removes a member.
const SUSPICION_TIMEOUT: DurationMs = DurationMs(2_000);
/// For how long a removed member is remembered, so that old news can't bring it back.
const REMOVED_RETENTION: DurationMs = DurationMs(60_000);
/// How often one that knows nobody asks its seeds.
const JOIN_RETRY_INTERVAL: DurationMs = DurationMs(500);
/// How often one that knows others asks a seed or a lost member, so that splits heal.
const REJOIN_INTERVAL: DurationMs = DurationMs(3_000);
/// The most addresses that are kept to join by.
const MAX_SEEDS: usize = 32;
/// How many are asked for a second opinion.
const INDIRECT_PROBES: usize = 2;

/// A message and where it goes.
pub type Outgoing = (std::net::SocketAddr, MembershipMessage);

#[derive(Debug, Clone)]
struct Probe {
    nonce: u64,
    target: NodeId,
    address: std::net::SocketAddr,
    sent_at: MonotonicMs,
    indirect_probes_sent: bool,
}

/// A probe made for another member.
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
    own: News,
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
    /// A node that knows only its seeds, and addresses it remembered.
    ///
    /// ```
    /// use topazyard_membership::Membership;
    /// use topazyard_types::{MonotonicMs, NodeId};
    /// use topazyard_wire::message::membership::{Duty, Member};
    /// let own = Member { id: NodeId(1), name: None, address: "127.0.0.1:1".parse().unwrap(),
    ///     http: None, duty: Duty::Control, zone: "north".into() };
    /// let mut membership = Membership::new(own, vec!["127.0.0.1:2".parse().unwrap()], 7);
    /// assert_eq!(membership.tick(MonotonicMs(1_000)).len(), 1); // asks its seed for the roster
    /// ```
    pub fn new(own: Member, seeds: Vec<std::net::SocketAddr>, seed: u64) -> Self {
        use rand::SeedableRng as _;
        let own = News { member: own, incarnation: Incarnation(0), standing: Standing::Alive };
        Self {
            own,
            table: MemberTable::default(),
            gossip: Gossip::default(),
            seeds,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: Vec::new(),
            last_nonce: topazyard_types::Life(seed).first_number(),
            last_probe_at: MonotonicMs(0),
            last_join_at: None,
        }
    }

    /// The members that are not removed, this node not among them.
    pub fn present(&self) -> impl Iterator<Item = &KnownMember> {
        self.table.present()
    }

    /// Every member remembered, the removed ones too.
    pub fn remembered(&self) -> impl Iterator<Item = &KnownMember> {
        self.table.members.values()
    }

    /// The zone that this member stands in.
    pub fn own_zone(&self) -> &topazyard_types::ZoneName {
        &self.own.member.zone
    }

    /// How a member stands, if it is known.
    pub fn status(&self, id: NodeId) -> Option<Standing> {
        if id == self.own.member.id {
            return Some(Standing::Alive);
        }
        self.table.members.get(&id).map(|known| known.latest.standing)
    }

    /// Where the members of a duty take frames.
    pub fn addresses(&self, duty: Duty) -> impl Iterator<Item = std::net::SocketAddr> {
        self.present()
            .filter(move |known| known.latest.member.duty == duty)
            .map(|known| known.latest.member.address)
    }

    /// Probes a member next, as somebody has cause to doubt it.
    pub fn probe_next(&mut self, id: NodeId) {
        let is_probed = self.probe.as_ref().is_some_and(|probe| probe.target == id);
        let is_alive = self.status(id) == Some(Standing::Alive);
        if is_alive && !is_probed && self.probe_order.last() != Some(&id) {
            self.probe_order.push(id);
        }
    }

    /// Joins by these from now on, besides the ones it was given before.
    pub fn add_seeds(&mut self, seeds: Vec<std::net::SocketAddr>) {
        let before = self.seeds.iter().copied().filter(|old| !seeds.contains(old));
        // What is older than two exchanges of all seeds is let go.
        let kept: Vec<_> = seeds.iter().copied().chain(before).take(MAX_SEEDS).collect();
        self.seeds = kept;
    }

    fn next_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }

    fn updates_to_send(&mut self) -> Vec<News> {
        let mut news = self.gossip.next();
        news.push(self.own.clone());
        news
    }

    /// Time has passed.
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
        let lost = self.table.members.values().filter(|k| k.latest.standing == Standing::Removed);
        let mut targets: Vec<std::net::SocketAddr> =
            self.seeds.iter().copied().chain(lost.map(|k| k.latest.member.address)).collect();
        targets.retain(|address| *address != own_address);
        if !is_alone {
            targets = targets.choose(&mut self.rng).copied().into_iter().collect();
        }
        outgoing.extend(
            targets.into_iter().map(|to| (to, MembershipMessage::Join { news: self.own.clone() })),
        );
    }

    fn begin_probe(&mut self, now: MonotonicMs, outgoing: &mut Vec<Outgoing>) {
        if self.probe_order.is_empty() {
            self.probe_order = self.table.present().map(|known| known.latest.member.id).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        let target = loop {
            let Some(id) = self.probe_order.pop() else { return };
            match self.table.members.get(&id) {
                Some(known) if known.latest.standing != Standing::Removed => {
                    break known.latest.clone();
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
        let mut news = self.updates_to_send();
        // A suspect is told, so that it can refute.
        if target.standing == Standing::Suspect {
            news.push(target);
        }
        outgoing.push((address, MembershipMessage::Probe { nonce, news }));
    }

    fn check_probe(&mut self, now: MonotonicMs, outgoing: &mut Vec<Outgoing>) {
        let Some(probe) = &mut self.probe else { return };
        let (nonce, target, address) = (probe.nonce, probe.target, probe.address);
        let waited = now.since(probe.sent_at);
        if waited >= PROBE_TIMEOUT {
            self.probe = None;
            if let Some(news) = self.table.set_status(target, Standing::Suspect, now) {
                self.gossip.broadcast(news, self.table.members.len());
            }
        } else if waited >= INDIRECT_PROBE_DELAY && !probe.indirect_probes_sent {
            probe.indirect_probes_sent = true;
            let others: Vec<std::net::SocketAddr> = self
                .table
                .present()
                .map(|known| &known.latest)
                .filter(|news| news.member.id != target && news.standing == Standing::Alive)
                .map(|news| news.member.address)
                .collect();
            let chosen: Vec<_> =
                others.choose_multiple(&mut self.rng, INDIRECT_PROBES).copied().collect();
            outgoing.extend(
                chosen
                    .into_iter()
                    .map(|to| (to, MembershipMessage::ProbeFor { nonce, target: address })),
            );
        }
    }

    fn remove_unrefuted(&mut self, now: MonotonicMs) {
        let due: Vec<NodeId> = self
            .table
            .members
            .values()
            .filter(|k| {
                k.latest.standing == Standing::Suspect
                    && now.since(k.status_since) >= SUSPICION_TIMEOUT
            })
            .map(|known| known.latest.member.id)
            .collect();
        for id in due {
            if let Some(news) = self.table.set_status(id, Standing::Removed, now) {
                self.gossip.broadcast(news, self.table.members.len());
            }
        }
        self.table.members.retain(|_, known| {
            known.latest.standing != Standing::Removed
                || now.since(known.status_since) < REMOVED_RETENTION
        });
    }

    /// Takes a message.
    pub fn receive(
        &mut self,
        from: std::net::SocketAddr,
        message: MembershipMessage,
        now: MonotonicMs,
    ) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        match message {
            MembershipMessage::Probe { nonce, news } => {
                self.apply_updates(news, now);
                let news = self.updates_to_send();
                outgoing.push((from, MembershipMessage::ProbeReturn { nonce, news }));
            }
            MembershipMessage::ProbeReturn { nonce, news } => {
                self.apply_updates(news, now);
                self.probe.take_if(|probe| probe.nonce == nonce);
                if let Some(at) =
                    self.relayed_probes.iter().position(|relayed| relayed.nonce == nonce)
                {
                    let relayed = self.relayed_probes.swap_remove(at);
                    let news = self.updates_to_send();
                    let nonce = relayed.requester_nonce;
                    outgoing
                        .push((relayed.requester, MembershipMessage::ProbeReturn { nonce, news }));
                }
            }
            MembershipMessage::ProbeFor { nonce, target } => {
                let own_nonce = self.next_nonce();
                self.relayed_probes.push(RelayedProbe {
                    nonce: own_nonce,
                    requester: from,
                    requester_nonce: nonce,
                    sent_at: now,
                });
                let news = self.updates_to_send();
                outgoing.push((target, MembershipMessage::Probe { nonce: own_nonce, news }));
            }
            MembershipMessage::Join { news } => {
                self.apply_updates(vec![news], now);
                let mut news: Vec<News> =
                    self.table.members.values().map(|known| known.latest.clone()).collect();
                news.push(self.own.clone());
                outgoing.push((from, MembershipMessage::Roster { news }));
            }
            MembershipMessage::Roster { news } => self.apply_updates(news, now),
        }
        outgoing
    }

    fn apply_updates(&mut self, all: Vec<News>, now: MonotonicMs) {
        for news in all {
            if news.member.id == self.own.member.id {
                self.refute_if_suspected(&news);
                continue;
            }
            if !self.table.merge(&news, now) {
                continue;
            }
            if news.standing == Standing::Alive {
                for id in self.table.replaced_by(&news) {
                    if let Some(gone) = self.table.set_status(id, Standing::Removed, now) {
                        self.gossip.broadcast(gone, self.table.members.len());
                    }
                }
            }
            self.gossip.broadcast(news, self.table.members.len());
        }
    }

    /// News that doubts this node is refuted under a higher incarnation.
    fn refute_if_suspected(&mut self, news: &News) {
        let is_suspected =
            news.standing != Standing::Alive || news.incarnation > self.own.incarnation;
        if is_suspected && news.incarnation >= self.own.incarnation {
            self.own.incarnation = Incarnation(news.incarnation.0 + 1);
            self.gossip.broadcast(self.own.clone(), self.table.members.len());
        }
    }
}
