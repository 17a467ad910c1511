//! The agent's machine: it passes its relay's askings on to the control primary, wherever that
//! is, and the returns back. Freshness is counted by the relay from its own asking, so an agent
//! that was frozen can't make old news look fresh.

use topazyard_membership::Membership;
use topazyard_types::{CallId, DurationMs, MonotonicMs};
use topazyard_wire::driver::disk_start::KnownControlNodes;
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, Health, PartRequest};
use topazyard_wire::message::membership::{Member, MemberRole};
use topazyard_wire::{Effect, Group, Input, Machine, WriteToken};

/// The same while it is not known who leads.
const LOOKING_TIMEOUT: DurationMs = DurationMs(125);
/// Control nodes asked at once while it is not known who leads.
const ASKED_AT_ONCE: usize = 3;
/// After how long another is asked where one knew of no primary.
const TURNED_AWAY: DurationMs = DurationMs(50);
/// After how long without a return another control node is asked.
const TIMEOUT: DurationMs = DurationMs(250);
/// After how long without an asking an agent that is to end counts its relay as ended: a relay asks
/// every 200 ms, and after 450 ms where no answer came.
const RELAY_ENDED: DurationMs = DurationMs(750);
/// After how long without an asking the relay counts as gone, and its agent leaves the fleet.
const RELAY_SILENT: DurationMs = DurationMs(3_000);

type Out = Vec<Effect<AgentHealth, topazyard_wire::machine::NoTask>>;

/// What may be asked of an agent from within its process.
#[derive(Debug)]
pub enum AgentCall {
    /// The settings name other control nodes now.
    Seeds(Vec<std::net::SocketAddr>),
    /// The process is about to end: returned once its relay has ended.
    Leave,
    /// How does it fare?
    Health,
}

/// How an agent fares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentHealth {
    /// How long ago its relay last asked.
    pub relay_heard_ago: Option<DurationMs>,
    /// For how long the asking passed on last has waited for its answer.
    pub unanswered_for: Option<DurationMs>,
    /// Whether it knows the control primary.
    pub knows_primary: bool,
    /// Control nodes that it knows.
    pub control_nodes: usize,
}

/// From what an agent starts.
#[derive(Debug)]
pub struct Start {
    /// Who and where it is; its HTTP is the relay's.
    pub member: Member,
    /// Control nodes to begin with.
    pub seeds: Vec<std::net::SocketAddr>,
    /// What its data folder remembers, if it has one.
    pub remembered: Option<KnownControlNodes>,
    /// The relay beside it.
    pub relay: std::net::SocketAddr,
    /// Seeds its chances.
    pub random_seed: u64,
}

/// An asking that was passed on.
#[derive(Debug)]
struct Passed {
    nonce: u64,
    relay_nonce: u64,
    after: topazyard_types::LogPosition,
    part: Option<PartRequest>,
    last_response_age: Option<topazyard_types::DurationMs>,
    health: Health,
    at: MonotonicMs,
}

/// One agent.
pub struct AgentMachine {
    membership: Membership,
    relay: std::net::SocketAddr,
    sources: Vec<std::net::SocketAddr>,
    next_source: usize,
    leader: Option<std::net::SocketAddr>,
    passed: Option<Passed>,
    /// When a control node said that it knows of no primary.
    turned_away: Option<MonotonicMs>,
    last_nonce: u64,
    last_write: u64,
    last_synced: u64,
    remembered: Option<KnownControlNodes>,
    relay_heard: Option<MonotonicMs>,
    /// The process's wish to end, until its relay has ended.
    leaving: Option<CallId>,
}

impl AgentMachine {
    /// An agent as it starts.
    ///
    /// ```
    /// use topazyard_edge_agent::{AgentMachine, Start};
    /// use topazyard_wire::message::membership::{MemberRole, Member};
    /// let at = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    /// let member = Member { id: topazyard_types::NodeId(1), name: None, address: at(1),
    ///     http: Some(at(2)), role: MemberRole::Edge, zone: "north".into() };
    /// let start = Start { member, seeds: vec![at(3), at(4), at(5)], remembered: None,
    ///     relay: at(6), random_seed: 1 };
    /// AgentMachine::new(start);
    /// ```
    pub fn new(start: Start) -> Self {
        let known = start.remembered.as_ref().map(|kept| kept.with_seeds(&start.seeds));
        let sources = known.unwrap_or(start.seeds);
        Self {
            membership: Membership::new(start.member, sources.clone(), start.random_seed),
            relay: start.relay,
            sources,
            next_source: 0,
            leader: None,
            passed: None,
            turned_away: None,
            last_nonce: topazyard_types::BootId(start.random_seed).first_number(),
            last_write: 0,
            last_synced: 0,
            remembered: start.remembered,
            relay_heard: None,
            leaving: None,
        }
    }

    /// Sends what was asked last to the control node that is thought to lead.
    fn pass_on(&mut self, now: MonotonicMs, out: &mut Out) {
        let to = match self.leader {
            Some(leader) => vec![leader],
            None => {
                let known = self.sources.len();
                let first = self.next_source;
                self.next_source = (first + ASKED_AT_ONCE) % known.max(1);
                let asked = (first..).take(ASKED_AT_ONCE.min(known));
                asked.filter_map(|at| self.sources.get(at % known).copied()).collect()
            }
        };
        let Some(passed) = &mut self.passed else { return };
        self.turned_away = None;
        // Asked again, it is the same asking: an answer that was on its way to it still fits.
        if passed.nonce == 0 {
            self.last_nonce += 1;
            passed.nonce = self.last_nonce;
        }
        passed.at = now;
        let message = FeedMessage::Request {
            nonce: passed.nonce,
            after: passed.after,
            part: passed.part,
            last_response_age: passed.last_response_age,
            health: passed.health.clone(),
        };
        for to in to {
            out.push(Effect::Send { to, message: Message::Feed(message.clone()) });
        }
    }

    fn receive_feed(
        &mut self,
        from: std::net::SocketAddr,
        message: FeedMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        match message {
            FeedMessage::Request { nonce, after, part, last_response_age, health } => {
                if from != self.relay {
                    return;
                }
                self.relay_heard = Some(now);
                // The relay asks again only when it gave the last asking up.
                let unanswered = self.passed.is_some();
                self.passed = Some(Passed {
                    nonce: 0,
                    relay_nonce: nonce,
                    after,
                    part,
                    last_response_age,
                    health,
                    at: now,
                });
                if unanswered {
                    self.leader = None;
                }
                self.pass_on(now, out);
            }
            FeedMessage::Update { nonce, position, content } => {
                if let Some(passed) = self.passed.take_if(|passed| passed.nonce == nonce) {
                    self.leader = Some(from);
                    let nonce = passed.relay_nonce;
                    let message = Message::Feed(FeedMessage::Update { nonce, position, content });
                    out.push(Effect::Send { to: self.relay, message });
                }
            }
            FeedMessage::Redirect { nonce, primary, .. } => {
                if self.passed.as_ref().is_some_and(|passed| passed.nonce == nonce) {
                    self.leader = primary.filter(|primary| *primary != from);
                    if self.leader.is_some() {
                        self.pass_on(now, out);
                    } else {
                        // It knows of no primary: another may, and soon.
                        self.turned_away = Some(now);
                    }
                }
            }
        }
    }

    /// Asks the seeds named now, besides every control node that it knows of.
    fn take_seeds(&mut self, seeds: Vec<std::net::SocketAddr>) {
        let new = seeds.iter().filter(|seed| !self.sources.contains(seed)).copied();
        self.sources.extend(new.collect::<Vec<_>>());
        self.membership.add_seeds(seeds);
    }

    fn tick(&mut self, now: MonotonicMs, out: &mut Out) {
        for address in self.membership.addresses(MemberRole::Control) {
            if !self.sources.contains(&address) {
                self.sources.push(address);
            }
        }
        // One write at a time, so that nothing piles up behind a disk that is full or stalls.
        let is_synced = self.last_synced == self.last_write;
        let remembered = self.remembered.as_mut().filter(|_| is_synced);
        let row =
            remembered.and_then(|kept| kept.update(self.membership.addresses(MemberRole::Control)));
        if let Some(row) = row {
            self.last_write += 1;
            let token = WriteToken { group: Group::Node, number: self.last_write };
            out.push(Effect::Write { token, changes: vec![row] });
        }
        let again = self.turned_away.is_some_and(|at| now.since(at) >= TURNED_AWAY);
        let timeout = if self.leader.is_some() { TIMEOUT } else { LOOKING_TIMEOUT };
        let late = self.passed.as_ref().is_some_and(|passed| now.since(passed.at) >= timeout);
        if late || (again && self.passed.is_some()) {
            self.leader = None;
            self.pass_on(now, out);
        }
        self.leave_after_relay(now, out);
        // An agent answers for its relay: without one it doesn't return probes, nor sends any.
        if self.relay_is_heard(now) {
            let outgoing = self.membership.tick(now);
            out.extend(topazyard_membership::effects(outgoing));
        }
    }

    fn health(&self, now: MonotonicMs) -> AgentHealth {
        AgentHealth {
            relay_heard_ago: self.relay_heard.map(|heard| now.since(heard)),
            unanswered_for: self.passed.as_ref().map(|passed| now.since(passed.at)),
            knows_primary: self.leader.is_some(),
            control_nodes: self.sources.len(),
        }
    }

    fn relay_is_heard(&self, now: MonotonicMs) -> bool {
        self.relay_is_heard_within(RELAY_SILENT, now)
    }

    fn relay_is_heard_within(&self, limit: DurationMs, now: MonotonicMs) -> bool {
        self.relay_heard.is_some_and(|heard| now.since(heard) < limit)
    }

    /// Lets the process end once its relay has: a relay that drains needs the feed until then.
    fn leave_after_relay(&mut self, now: MonotonicMs, out: &mut Out) {
        if self.relay_is_heard_within(RELAY_ENDED, now) {
            return;
        }
        if let Some(call) = self.leaving.take() {
            let value = self.health(now);
            out.push(Effect::Respond { call, value });
        }
    }
}

impl Machine for AgentMachine {
    type Call = AgentCall;
    type Response = AgentHealth;
    type Task = topazyard_wire::machine::NoTask;

    fn step(&mut self, input: Input<AgentCall>, now: MonotonicMs) -> Out {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut out),
            Input::Frame { from, message: Message::Membership(message), .. } => {
                if self.relay_is_heard(now) {
                    let outgoing = self.membership.receive(from, message, now);
                    out.extend(topazyard_membership::effects(outgoing));
                }
            }
            Input::Frame { from, message: Message::Feed(message), .. } => {
                self.receive_feed(from, message, now, &mut out);
            }
            Input::Call { request: AgentCall::Seeds(seeds), .. } => self.take_seeds(seeds),
            Input::Call { request: AgentCall::Leave, call } => {
                self.leaving = Some(call);
                self.leave_after_relay(now, &mut out);
            }
            Input::Call { call, request: AgentCall::Health } => {
                out.push(Effect::Respond { call, value: self.health(now) });
            }
            Input::Written(token) => self.last_synced = token.number,
            Input::Frame { .. } | Input::Disk(_) => {}
        }
        out
    }
}
