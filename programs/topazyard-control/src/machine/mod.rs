//! The control node's machine.

mod claim;
mod commands;
pub mod configurations;
mod confirm;
mod core;
mod feed;
mod founding;
mod genesis;
mod health;
mod leaving;
mod listing;
mod operate;
mod orders;
mod queries;
mod timeouts;
mod tuning;

use topazyard_membership::Membership;
use topazyard_replication::invariants::{check_acknowledged_on_enough, report};
use topazyard_replication::{Copy, Replica, ReplicaOutput, Witness, WriteTicket};
use topazyard_types::{MonotonicMs, NodeId, ShardId};
use topazyard_wire::driver::DiskStart;
use topazyard_wire::invariants::Invariant;
use topazyard_wire::message::control::{CoreMessage, CoreNode, EpochRecord, ShardChangeRequest};
use topazyard_wire::message::membership::MemberRole;
use topazyard_wire::message::operate::{OperatorOutcome, OperatorRequest};
use topazyard_wire::message::{Message, replica::ReplicaMessage};
use topazyard_wire::{Effect, Group, Input, Machine, RowChange, WriteToken};

/// What may be asked of a control node from within its process.
#[derive(Debug)]
pub enum ControlCall {
    /// An operator's call.
    Operate(OperatorRequest),
    /// What engines said of their load.
    Loads(Vec<crate::tuner::EngineLoad>),
    /// The platform's whole list of engines, if it could be read.
    Engines(Option<Vec<topazyard_spec::Engine>>),
    /// The process is about to end: returned once that was said.
    Leave,
    /// The settings name other control nodes now.
    Seeds(Vec<std::net::SocketAddr>),
    /// How does this node itself fare?
    Health,
}

/// How a control node itself fares, whether or not it leads.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ControlHealth {
    /// Its id.
    pub node: NodeId,
    /// The newest epoch that it knows.
    pub epoch: Option<topazyard_types::Epoch>,
    /// The primary of that epoch.
    pub primary: Option<std::net::SocketAddr>,
    /// Whether this node serves as the primary.
    pub serving: bool,
    /// How its disk fares.
    pub disk: topazyard_wire::disk::DiskState,
    /// How long the oldest write not yet synced has taken.
    pub write_wait_ms: topazyard_types::DurationMs,
    /// Configurations acknowledged here as primary since the start, repeats among them.
    pub configurations_acknowledged: u64,
    /// Configurations refused here as primary since the start.
    pub configurations_refused: u64,
    /// Orders that wait here or were passed on.
    pub orders_waiting: usize,
}

/// What a control node begins outside.
#[derive(Debug)]
pub enum ControlTask {
    /// Ask engines for their load and report it.
    FetchLoads(Vec<topazyard_spec::Engine>),
    /// Read the platform's list of engines and report it.
    ListEngines,
}

/// The effects of a control node.
pub(crate) type Out = Vec<Effect<OperatorOutcome, ControlTask>>;

/// One control node.
#[derive(Debug, Clone)]
pub struct ControlMachine {
    pub(crate) me: CoreNode,
    pub(crate) boot_id: topazyard_types::BootId,
    pub(crate) seeds: Vec<std::net::SocketAddr>,
    pub(crate) bounds: topazyard_spec::Bounds,
    pub(crate) timeouts: timeouts::Timeouts,
    pub(crate) membership: Membership,
    pub(crate) witness: Witness,
    pub(crate) replica: Replica,
    pub(crate) core: core::CoreView,
    pub(crate) claim: Option<claim::Claim>,
    /// The epoch this node asked for, after which it answers nothing in the one before.
    pub(crate) claimed: topazyard_types::Epoch,
    pub(crate) waiting: std::collections::BTreeMap<WriteTicket, Waiting>,
    pub(crate) last_ticket: WriteTicket,
    pub(crate) operate: operate::OperateQueue,
    order_bounds: orders::OrderBounds,
    configurations: configurations::Configurations,
    snapshots: feed::Snapshots,
    pub(crate) seen: health::Seen,
    confirming: confirm::Confirming,
    /// The last wish for each shard, with who made it, until it can be looked at.
    wishes: std::collections::BTreeMap<ShardId, (NodeId, ShardChangeRequest)>,
    tuning: tuning::Tuning,
    listing: listing::Listing,
    /// The proposal of a new fleet's first record, while this node asks for it.
    pub(crate) founding: Option<topazyard_replication::Proposal>,
    leaving: Option<leaving::Leaving>,
    pub(crate) serving_since: Option<MonotonicMs>,
    after_write: std::collections::BTreeMap<u64, Vec<AfterWrite>>,
    last_write: u64,
    last_plan: MonotonicMs,
    /// When no storage node was heard at all: then it is this node that is cut off.
    last_alone: Option<MonotonicMs>,
    remembered: topazyard_wire::driver::disk_start::KnownControlNodes,
    pub(crate) disk: topazyard_wire::disk::DiskWatch,
}

/// What must wait until a write of this node's own rows is synced.
#[derive(Debug, Clone)]
pub(crate) enum AfterWrite {
    /// Say this.
    Say(std::net::SocketAddr, CoreMessage),
    /// Go on with the claim.
    BeginClaim,
}

/// Who waits for a ticket.
#[derive(Debug, Clone)]
pub(crate) enum Waiting {
    /// A follower of the feed.
    Follower {
        to: std::net::SocketAddr,
        nonce: u64,
        after: topazyard_types::LogPosition,
        part: Option<topazyard_wire::message::feed::PartRequest>,
    },
    /// A command whose outcome is known once it is committed.
    Command {
        origin: operate::Origin,
        outcome: OperatorOutcome,
        /// Whether it puts a configuration in force.
        is_configuration: bool,
    },
    /// A query, answered from the committed state.
    Query(operate::Origin, topazyard_wire::message::operate::Query),
    /// The planner; nobody waits.
    Planner,
}

impl ControlMachine {
    /// A control node as it starts.
    pub fn new(mut start: DiskStart, now: MonotonicMs) -> (Self, Out) {
        let me = CoreNode { id: start.member.id, address: start.member.address };
        // A disk that holds anything of a fleet is no beginning.
        let held = |group| start.loaded.get(&group).is_some_and(|rows| !rows.is_empty());
        let is_new = start.may_bootstrap && !held(Group::Control) && !held(Group::Witness);
        let copy = Copy::from_rows(start.loaded.remove(&Group::Control).unwrap_or_default());
        let witness_rows = start.loaded.remove(&Group::Witness).unwrap_or_default();
        let remembered = start.known_control_nodes();
        let ask = start.control_addresses();
        let boot_id = topazyard_types::BootId(start.random_seed);
        let mut machine = Self {
            me,
            boot_id,
            membership: Membership::new(start.member, ask, start.random_seed),
            seeds: start.seeds,
            timeouts: timeouts::Timeouts::within(&start.bounds),
            bounds: start.bounds,
            witness: Witness::from_rows(&witness_rows),
            replica: Replica::new(Group::Control, true, copy, boot_id),
            core: core::CoreView::default(),
            claim: None,
            claimed: witness_rows
                .get(claim::CLAIMED_KEY)
                .and_then(|value| topazyard_wire::rows::decode(value))
                .unwrap_or_default(),
            waiting: std::collections::BTreeMap::new(),
            last_ticket: 0,
            operate: operate::OperateQueue::new(boot_id),
            order_bounds: orders::OrderBounds::within(&start.resources),
            configurations: configurations::Configurations::default(),
            snapshots: feed::Snapshots::new(),
            seen: health::Seen::default(),
            confirming: confirm::Confirming::new(boot_id),
            wishes: std::collections::BTreeMap::new(),
            tuning: tuning::Tuning::default(),
            listing: listing::Listing::default(),
            founding: None,
            leaving: None,
            serving_since: None,
            after_write: std::collections::BTreeMap::new(),
            last_write: 0,
            last_plan: MonotonicMs(0),
            last_alone: None,
            remembered,
            disk: topazyard_wire::disk::DiskWatch::default(),
        };
        let mut out = Vec::new();
        machine.keep_right_to_found(is_new, &mut out);
        machine.settle_role(now, &mut out);
        machine.watch_writes(&out, now);
        (machine, out)
    }

    /// How many machines may be lost at once: as many backups confirm each commit.
    pub(crate) fn backups(&self) -> usize {
        usize::from(self.bounds.lost_machines.max(self.bounds.lost_zones))
    }

    /// Whether this node serves as the primary.
    pub fn is_serving(&self) -> bool {
        self.replica.is_serving()
    }

    /// What this node holds of the control state.
    pub fn copy(&self) -> &Copy {
        self.replica.copy()
    }

    /// The newest record of the control state's holders that this node knows.
    pub fn record(&self) -> Option<&EpochRecord> {
        self.witness.record()
    }

    pub(crate) fn next_ticket(&mut self) -> WriteTicket {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Submits changes to the replica on somebody's behalf.
    pub(crate) fn submit(&mut self, changes: Vec<RowChange>, waiting: Waiting) {
        let ticket = self.next_ticket();
        if self.replica.submit(ticket, changes) {
            self.waiting.insert(ticket, waiting);
        }
    }

    /// Writes rows of this node's own and does something once they are synced.
    pub(crate) fn write_own(
        &mut self,
        group: Group,
        changes: Vec<RowChange>,
        then: Vec<AfterWrite>,
        out: &mut Out,
    ) {
        self.last_write += 1;
        let token = WriteToken { group, number: self.last_write };
        if !then.is_empty() {
            self.after_write.insert(self.last_write, then);
        }
        out.push(Effect::Write { token, changes });
    }

    /// Checks, before anything is acknowledged, that all members of the epoch have synced it.
    fn check_acknowledges(&self) {
        let epoch = self.replica.epoch();
        let Some(record) = self.witness.record().filter(|record| record.epoch == epoch) else {
            return;
        };
        let (synced, needed) = (self.replica.synced_copies(), record.backups.len() + 1);
        let holds = check_acknowledged_on_enough(synced, needed);
        report(holds, Invariant::AcknowledgedOnEnoughCopies, || {
            format!("control in epoch {epoch}: {synced} of {needed}")
        });
    }

    /// Deals with what the replica put out.
    pub(crate) fn take_replica(
        &mut self,
        outputs: Vec<ReplicaOutput>,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        for output in outputs {
            match output {
                ReplicaOutput::Send(to, message) => {
                    out.push(Effect::Send { to, message: Message::Replica(message) });
                }
                ReplicaOutput::Write(token, changes) => out.push(Effect::Write { token, changes }),
                ReplicaOutput::Committed(tickets) => {
                    self.check_acknowledges();
                    for ticket in tickets {
                        if let Some(waiting) = self.waiting.remove(&ticket) {
                            self.settle(waiting, now, out);
                        }
                    }
                }
                ReplicaOutput::OutcomeUnknown(tickets) => {
                    for ticket in tickets {
                        if let Some(waiting) = self.waiting.remove(&ticket) {
                            self.lose(&waiting, now, out);
                        }
                    }
                }
                ReplicaOutput::Serving => {
                    self.configurations.check(self.version_in_force());
                    if self.serving_since.is_none() {
                        self.serving_since = Some(now);
                        let text =
                            format!("control primary serves in epoch {}", self.replica.epoch());
                        out.push(Effect::Log { is_error: false, text });
                    }
                }
                ReplicaOutput::LearnersReady => self.propose(now, out),
            }
        }
    }

    /// Answers one whose ticket is committed.
    fn settle(&mut self, waiting: Waiting, now: MonotonicMs, out: &mut Out) {
        match waiting {
            Waiting::Follower { to, nonce, after, part } => {
                self.send_news(to, nonce, after, part, out);
            }
            Waiting::Command { origin, outcome, is_configuration } => {
                if is_configuration {
                    self.configurations.answered(&outcome, self.version_in_force());
                }
                self.answer(origin, outcome, now, out);
            }
            Waiting::Query(origin, query) => {
                let outcome = self.query(&query, now);
                self.answer(origin, outcome, now, out);
            }
            Waiting::Planner => {}
        }
    }

    /// Tells one whose ticket was lost that nothing is known.
    fn lose(&mut self, waiting: &Waiting, now: MonotonicMs, out: &mut Out) {
        use topazyard_wire::api::{ApiError, Code};
        match waiting {
            Waiting::Command { origin, .. } => {
                let unknown = ApiError::may_have_run(Code::OutcomeUnknown);
                self.answer(*origin, OperatorOutcome::Refused(unknown), now, out);
            }
            Waiting::Query(origin, _) => {
                let refused = ApiError::not_run(Code::NoPrimary);
                self.answer(*origin, OperatorOutcome::Refused(refused), now, out);
            }
            // A follower asks again.
            Waiting::Follower { .. } | Waiting::Planner => {}
        }
    }

    /// The shard's record.
    pub(crate) fn shard(
        &self,
        shard: ShardId,
    ) -> Option<topazyard_wire::message::control::ShardRecord> {
        self.replica.copy().get(&topazyard_wire::state::shard_key(shard))
    }

    fn receive_replica(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: ReplicaMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        if message.group != Group::Control {
            return;
        }
        let known = self.witness.record().map(|record| record.epoch).unwrap_or_default();
        if message.epoch > known && message.body.is_for_backups() {
            // A backup confirms only once the record that names it is on its disk: else another
            // that asks for the same epoch could still copy over what was answered on its word.
            return;
        }
        self.follow_claim_if_due(sender, &message, now, out);
        let from = topazyard_replication::replica::Sender { id: sender, address: from };
        let outputs = self.replica.receive(from, message, now);
        self.take_replica(outputs, now, out);
    }

    /// Counts the writes that are handed to the disk.
    fn watch_writes(&mut self, out: &Out, now: MonotonicMs) {
        for effect in out {
            if let Effect::Write { token, .. } = effect {
                self.disk.write_started(*token, now);
            }
        }
    }

    /// Says in the log when the disk is full, stalls or is well again.
    fn note_disk(&mut self, now: MonotonicMs, out: &mut Out) {
        if let Some(state) = self.disk.take_state_change(now) {
            out.push(Effect::Log { is_error: false, text: state.to_string() });
        }
    }

    /// How this node itself fares, whether or not it leads.
    fn health(&self, now: MonotonicMs) -> OperatorOutcome {
        let record = self.witness.record();
        let health = ControlHealth {
            node: self.me.id,
            epoch: record.map(|record| record.epoch),
            primary: record.map(|record| record.primary.address),
            serving: self.replica.is_serving(),
            disk: self.disk.state(now),
            write_wait_ms: self.disk.oldest_write_age(now),
            configurations_acknowledged: self.configurations.acknowledged,
            configurations_refused: self.configurations.refused,
            orders_waiting: self.operate.waiting(),
        };
        OperatorOutcome::Done(serde_json::json!(health).to_string())
    }

    /// Remembers where others are, so that stale seeds don't strand this node.
    fn remember_addresses(&mut self, out: &mut Out) {
        if !self.disk.accepts_writes() {
            return;
        }
        if let Some(row) = self.remembered.update(self.membership.addresses(MemberRole::Control)) {
            self.write_own(Group::Node, vec![row], Vec::new(), out);
        }
    }

    fn tick(&mut self, now: MonotonicMs, out: &mut Out) {
        self.note_disk(now, out);
        let outgoing = self.membership.tick(now);
        out.extend(topazyard_membership::effects(outgoing));
        self.remember_addresses(out);
        self.core_tick(now, out);
        self.claim_tick(now, out);
        self.leaving_tick(now, out);
        self.confirm_tick(now, out);
        let outputs = self.replica.tick(now);
        self.take_replica(outputs, now, out);
        self.operate_tick(now, out);
        self.tuning_tick(now, out);
        self.listing_tick(now, out);
        if !self.replica.is_serving() {
            self.serving_since = None;
            self.snapshots.clear();
        }
        if now.since(self.last_plan) >= crate::planner::EVERY {
            self.last_plan = now;
            self.probe_the_silent(now);
            self.plan(now);
        }
    }

    /// Lets the planner change placement, if nothing else is under way.
    fn plan(&mut self, now: MonotonicMs) {
        let Some(serving_since) = self.serving_since else { return };
        if self.replica.has_changes_pending() {
            return;
        }
        let view = topazyard_wire::state::FleetSnapshot::read(self.replica.copy().rows());
        let standings = self.storage_standings(&view, serving_since, now);
        let speaks =
            |id: &NodeId| standings.heard.contains_key(id) && !standings.silent.contains(id);
        if !view.storage.is_empty() && !view.storage.keys().any(speaks) {
            self.last_alone = Some(now);
        }
        let changes = crate::planner::plan(&view, &standings);
        if !changes.is_empty() {
            self.submit(changes, Waiting::Planner);
        }
    }
}

impl Machine for ControlMachine {
    type Call = ControlCall;
    type Response = OperatorOutcome;
    type Task = ControlTask;

    fn step(&mut self, input: Input<ControlCall>, now: MonotonicMs) -> Out {
        let mut out = Vec::new();
        if let Input::Written(token) = &input {
            self.disk.write_synced(*token);
        }
        match input {
            Input::Tick => self.tick(now, &mut out),
            Input::Disk(state) => self.disk.set_state(state, now),
            Input::Written(token) if token.group == Group::Control => {
                let outputs = self.replica.write_synced(token.number);
                self.take_replica(outputs, now, &mut out);
            }
            Input::Written(token) => {
                for then in self.after_write.remove(&token.number).unwrap_or_default() {
                    match then {
                        AfterWrite::Say(to, message) => {
                            out.push(Effect::Send { to, message: Message::Core(message) });
                        }
                        AfterWrite::BeginClaim => self.copy_to_learners(now, &mut out),
                    }
                }
            }
            Input::Call { call, request: ControlCall::Operate(request) } => {
                self.take_operate(operate::Origin::Local(call), request, now, &mut out);
            }
            Input::Call { request: ControlCall::Loads(loads), .. } => self.take_loads(loads, now),
            Input::Call { request: ControlCall::Engines(list), .. } => {
                self.take_list(list, now, &mut out);
            }
            Input::Call { call, request: ControlCall::Leave } => {
                self.begin_leaving(call, now, &mut out);
            }
            Input::Call { call, request: ControlCall::Health } => {
                out.push(Effect::Respond { call, value: self.health(now) });
            }
            Input::Call { request: ControlCall::Seeds(seeds), .. } => {
                self.seeds.clone_from(&seeds);
                self.membership.add_seeds(seeds);
            }
            Input::Frame { sender, from, message } => match message {
                Message::Membership(message) => {
                    let outgoing = self.membership.receive(from, message, now);
                    out.extend(topazyard_membership::effects(outgoing));
                }
                Message::Core(message) => self.receive_core(sender, from, message, now, &mut out),
                Message::Replica(message) => {
                    self.receive_replica(sender, from, message, now, &mut out)
                }
                Message::Feed(message) => self.receive_feed(sender, from, message, now, &mut out),
                Message::ShardChangeRequest(wish) => self.take_wish(sender, wish),
                Message::Operate(message) => {
                    self.receive_operate(sender, from, message, now, &mut out);
                }
                Message::Confirm(message) => {
                    self.receive_confirm(sender, from, message, now, &mut out);
                }
                Message::Counter(_) | Message::Batch(_) | Message::ShardRecord(..) => {}
            },
        }
        self.fulfil_wishes(now);
        self.run_commands(now, &mut out);
        let outputs = self.replica.start_next_batch(now);
        self.take_replica(outputs, now, &mut out);
        self.watch_writes(&out, now);
        out
    }
}
