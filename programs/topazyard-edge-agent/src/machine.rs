//! The agent's state machine. It forwards the feed requests of its relay to the control primary,
//! which it locates, and the updates back to the relay. The relay measures freshness from the time
//! of its own request, so an agent that was paused can't make an old update look fresh.

use topazyard_membership::Membership;
use topazyard_types::{CallId, DurationMs, MonotonicMs};
use topazyard_wire::driver::disk_start::KnownControlNodes;
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, Health, PartRequest};
use topazyard_wire::message::membership::{Member, MemberRole};
use topazyard_wire::{Effect, Group, Input, Machine, WriteToken};

/// Time without a response after which other control nodes are tried while the primary is unknown.
const PRIMARY_SEARCH_TIMEOUT: DurationMs = DurationMs(125);
/// Control nodes that receive a request in parallel while the primary is unknown.
const PRIMARY_SEARCH_FANOUT: usize = 3;
/// Delay until other control nodes are tried after one reported that it knows no primary.
const NO_PRIMARY_RETRY_DELAY: DurationMs = DurationMs(50);
/// Time without a response after which the known primary is given up.
const PRIMARY_TIMEOUT: DurationMs = DurationMs(250);
/// Time without a request after which a terminating agent considers its relay ended: a relay sends
/// a request every 200 ms, and repeats one without a response after 450 ms.
const RELAY_END_TIMEOUT: DurationMs = DurationMs(750);
/// Time without a request after which the relay is considered lost and its agent no longer takes
/// part in the membership.
const RELAY_LOSS_TIMEOUT: DurationMs = DurationMs(3_000);

type Outputs = Vec<Effect<AgentHealth, topazyard_wire::machine::NoTask>>;

/// A call to the agent's machine from its own process.
#[derive(Debug)]
pub enum AgentCall {
    /// Adds the control nodes that the reloaded settings name.
    Seeds(Vec<std::net::SocketAddr>),
    /// The process is about to end. The response follows once the relay has ended.
    Leave,
    /// Requests the agent's health.
    Health,
}

/// Health of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentHealth {
    /// Time since the relay's last request, none before the first.
    pub relay_heard_ago: Option<DurationMs>,
    /// How long the last forwarded request has waited for a response, none if it has one.
    pub unanswered_for: Option<DurationMs>,
    /// Whether the control primary is known.
    pub knows_primary: bool,
    /// Number of known control nodes.
    pub control_nodes: usize,
}

/// What an agent starts with.
#[derive(Debug)]
pub struct Start {
    /// The agent's own membership entry, with the HTTP address of its relay.
    pub member: Member,
    /// Initial addresses of control nodes.
    pub seeds: Vec<std::net::SocketAddr>,
    /// Control nodes stored in the data folder, if there is one.
    pub remembered: Option<KnownControlNodes>,
    /// Address of the agent's relay.
    pub relay: std::net::SocketAddr,
    /// Seed of the random number generator.
    pub random_seed: u64,
}

/// A feed request of the relay that was forwarded and has no response yet.
#[derive(Debug)]
struct ForwardedRequest {
    /// The nonce towards control; 0 until the request is first sent.
    nonce: u64,
    relay_nonce: u64,
    after: topazyard_types::LogPosition,
    part: Option<PartRequest>,
    last_response_age: Option<topazyard_types::DurationMs>,
    health: Health,
    sent_at: MonotonicMs,
}

/// The state of an agent.
pub struct AgentMachine {
    membership: Membership,
    relay: std::net::SocketAddr,
    control_nodes: Vec<std::net::SocketAddr>,
    next_control_node: usize,
    primary: Option<std::net::SocketAddr>,
    forwarded: Option<ForwardedRequest>,
    /// When a control node last reported that it knows no primary.
    no_primary_at: Option<MonotonicMs>,
    last_nonce: u64,
    last_write: u64,
    last_synced: u64,
    remembered: Option<KnownControlNodes>,
    relay_last_heard: Option<MonotonicMs>,
    /// The pending [`AgentCall::Leave`], which is responded to once the relay has ended.
    leave_call: Option<CallId>,
}

impl AgentMachine {
    /// Creates an agent that knows the stored control nodes and the seeds.
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
        let stored = start.remembered.as_ref().map(|stored| stored.with_seeds(&start.seeds));
        let control_nodes = stored.unwrap_or(start.seeds);
        Self {
            membership: Membership::new(start.member, control_nodes.clone(), start.random_seed),
            relay: start.relay,
            control_nodes,
            next_control_node: 0,
            primary: None,
            forwarded: None,
            no_primary_at: None,
            last_nonce: topazyard_types::BootId(start.random_seed).first_number(),
            last_write: 0,
            last_synced: 0,
            remembered: start.remembered,
            relay_last_heard: None,
            leave_call: None,
        }
    }

    /// Sends the pending request to the known primary, or to several control nodes in rotation
    /// while the primary is unknown.
    fn forward_request(&mut self, now: MonotonicMs, outputs: &mut Outputs) {
        let to = match self.primary {
            Some(primary) => vec![primary],
            None => {
                let known = self.control_nodes.len();
                let first = self.next_control_node;
                self.next_control_node = (first + PRIMARY_SEARCH_FANOUT) % known.max(1);
                let indices = (first..).take(PRIMARY_SEARCH_FANOUT.min(known));
                indices.filter_map(|index| self.control_nodes.get(index % known).copied()).collect()
            }
        };
        let Some(request) = &mut self.forwarded else { return };
        self.no_primary_at = None;
        // A resent request keeps its nonce, so that a response already in transit is accepted.
        if request.nonce == 0 {
            self.last_nonce += 1;
            request.nonce = self.last_nonce;
        }
        request.sent_at = now;
        let message = FeedMessage::Request {
            nonce: request.nonce,
            after: request.after,
            part: request.part,
            last_response_age: request.last_response_age,
            health: request.health.clone(),
        };
        for to in to {
            outputs.push(Effect::Send { to, message: Message::Feed(message.clone()) });
        }
    }

    fn receive_feed(
        &mut self,
        from: std::net::SocketAddr,
        message: FeedMessage,
        now: MonotonicMs,
        outputs: &mut Outputs,
    ) {
        match message {
            FeedMessage::Request { nonce, after, part, last_response_age, health } => {
                if from != self.relay {
                    return;
                }
                self.relay_last_heard = Some(now);
                // The relay sends another request only after it gave up on the last one.
                let unanswered = self.forwarded.is_some();
                self.forwarded = Some(ForwardedRequest {
                    nonce: 0,
                    relay_nonce: nonce,
                    after,
                    part,
                    last_response_age,
                    health,
                    sent_at: now,
                });
                if unanswered {
                    self.primary = None;
                }
                self.forward_request(now, outputs);
            }
            FeedMessage::Update { nonce, position, content } => {
                if let Some(request) = self.forwarded.take_if(|request| request.nonce == nonce) {
                    self.primary = Some(from);
                    let nonce = request.relay_nonce;
                    let message = Message::Feed(FeedMessage::Update { nonce, position, content });
                    outputs.push(Effect::Send { to: self.relay, message });
                }
            }
            FeedMessage::Redirect { nonce, primary, .. } => {
                if self.forwarded.as_ref().is_some_and(|request| request.nonce == nonce) {
                    self.primary = primary.filter(|primary| *primary != from);
                    if self.primary.is_some() {
                        self.forward_request(now, outputs);
                    } else {
                        // Another control node may know the primary: retry after a short delay.
                        self.no_primary_at = Some(now);
                    }
                }
            }
        }
    }

    /// Adds seeds to the known control nodes.
    fn add_seeds(&mut self, seeds: Vec<std::net::SocketAddr>) {
        let new = seeds.iter().filter(|seed| !self.control_nodes.contains(seed)).copied();
        self.control_nodes.extend(new.collect::<Vec<_>>());
        self.membership.add_seeds(seeds);
    }

    fn tick(&mut self, now: MonotonicMs, outputs: &mut Outputs) {
        for address in self.membership.addresses(MemberRole::Control) {
            if !self.control_nodes.contains(&address) {
                self.control_nodes.push(address);
            }
        }
        // One write at a time, so that writes don't queue up on a full or stalled disk.
        let is_synced = self.last_synced == self.last_write;
        let remembered = self.remembered.as_mut().filter(|_| is_synced);
        let row = remembered
            .and_then(|stored| stored.update(self.membership.addresses(MemberRole::Control)));
        if let Some(row) = row {
            self.last_write += 1;
            let token = WriteToken { group: Group::Node, number: self.last_write };
            outputs.push(Effect::Write { token, changes: vec![row] });
        }
        let retry = self.no_primary_at.is_some_and(|at| now.since(at) >= NO_PRIMARY_RETRY_DELAY);
        let timeout = if self.primary.is_some() { PRIMARY_TIMEOUT } else { PRIMARY_SEARCH_TIMEOUT };
        let timed_out =
            self.forwarded.as_ref().is_some_and(|request| now.since(request.sent_at) >= timeout);
        if timed_out || (retry && self.forwarded.is_some()) {
            self.primary = None;
            self.forward_request(now, outputs);
        }
        self.leave_after_relay(now, outputs);
        // The agent's membership stands for its relay: without one it neither sends probes nor
        // responds to them.
        if self.relay_is_reachable(now) {
            let outgoing = self.membership.tick(now);
            outputs.extend(topazyard_membership::effects(outgoing));
        }
    }

    fn health(&self, now: MonotonicMs) -> AgentHealth {
        AgentHealth {
            relay_heard_ago: self.relay_last_heard.map(|heard| now.since(heard)),
            unanswered_for: self.forwarded.as_ref().map(|request| now.since(request.sent_at)),
            knows_primary: self.primary.is_some(),
            control_nodes: self.control_nodes.len(),
        }
    }

    fn relay_is_reachable(&self, now: MonotonicMs) -> bool {
        self.relay_is_heard_within(RELAY_LOSS_TIMEOUT, now)
    }

    fn relay_is_heard_within(&self, timeout: DurationMs, now: MonotonicMs) -> bool {
        self.relay_last_heard.is_some_and(|heard| now.since(heard) < timeout)
    }

    /// Lets the process end once its relay has ended: a draining relay needs the feed until then.
    fn leave_after_relay(&mut self, now: MonotonicMs, outputs: &mut Outputs) {
        if self.relay_is_heard_within(RELAY_END_TIMEOUT, now) {
            return;
        }
        if let Some(call) = self.leave_call.take() {
            let value = self.health(now);
            outputs.push(Effect::Respond { call, value });
        }
    }
}

impl Machine for AgentMachine {
    type Call = AgentCall;
    type Response = AgentHealth;
    type Task = topazyard_wire::machine::NoTask;

    fn step(&mut self, input: Input<AgentCall>, now: MonotonicMs) -> Outputs {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut outputs),
            Input::Frame { from, message: Message::Membership(message), .. } => {
                if self.relay_is_reachable(now) {
                    let outgoing = self.membership.receive(from, message, now);
                    outputs.extend(topazyard_membership::effects(outgoing));
                }
            }
            Input::Frame { from, message: Message::Feed(message), .. } => {
                self.receive_feed(from, message, now, &mut outputs);
            }
            Input::Call { request: AgentCall::Seeds(seeds), .. } => self.add_seeds(seeds),
            Input::Call { request: AgentCall::Leave, call } => {
                self.leave_call = Some(call);
                self.leave_after_relay(now, &mut outputs);
            }
            Input::Call { call, request: AgentCall::Health } => {
                outputs.push(Effect::Respond { call, value: self.health(now) });
            }
            Input::Written(token) => self.last_synced = token.number,
            Input::Frame { .. } | Input::Disk(_) => {}
        }
        outputs
    }
}
