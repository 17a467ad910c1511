//! The state machine of a control node.

mod bootstrap;
mod bootstrap_record;
mod commands;
pub mod configurations;
mod engine_list;
mod epoch_change;
mod feed;
mod health;
mod leaving;
mod operations;
mod orders;
mod peers;
mod queries;
mod quorum_reads;
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

/// Calls made to a control node's machine from within its process.
#[derive(Debug)]
pub enum ControlCall {
    /// An operator's command or query.
    Operate(OperatorRequest),
    /// The load reported by engines.
    Loads(Vec<crate::tuner::EngineLoad>),
    /// The platform's complete list of engines, or none if it could not be read.
    Engines(Option<Vec<topazyard_spec::Engine>>),
    /// The process is about to shut down. Returns once the node has been replaced or can't be.
    Leave,
    /// The settings now name these control nodes as seeds.
    Seeds(Vec<std::net::SocketAddr>),
    /// Returns the health of this node.
    Health,
}

/// Health of a control node, whether or not it is the primary.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ControlHealth {
    /// The node's id.
    pub node: NodeId,
    /// The newest epoch known to this node.
    pub epoch: Option<topazyard_types::Epoch>,
    /// The primary of that epoch.
    pub primary: Option<std::net::SocketAddr>,
    /// Whether this node serves as the primary.
    pub serving: bool,
    /// State of the node's disk.
    pub disk: topazyard_wire::disk::DiskState,
    /// Age of the oldest write that is not yet synced.
    pub write_wait_ms: topazyard_types::DurationMs,
    /// Configurations acknowledged by this node as primary since it started, repeats included.
    pub configurations_acknowledged: u64,
    /// Configurations refused by this node as primary since it started.
    pub configurations_refused: u64,
    /// Orders queued on this node or forwarded to the primary.
    pub orders_waiting: usize,
}

/// Tasks that a control node starts outside its machine.
#[derive(Debug)]
pub enum ControlTask {
    /// Fetch the load of these engines and report it with [`ControlCall::Loads`].
    FetchLoads(Vec<topazyard_spec::Engine>),
    /// Read the platform's list of engines and report it with [`ControlCall::Engines`].
    ListEngines,
}

/// The effects of one step of a control node.
pub(crate) type Effects = Vec<Effect<OperatorOutcome, ControlTask>>;

/// The state machine of one control node.
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
    pub(crate) peers: peers::Peers,
    pub(crate) epoch_change: Option<epoch_change::EpochChange>,
    /// The newest epoch that this node has requested. It serves nothing in any earlier epoch.
    pub(crate) requested_epoch: topazyard_types::Epoch,
    pub(crate) waiting: std::collections::BTreeMap<WriteTicket, Waiting>,
    pub(crate) last_ticket: WriteTicket,
    pub(crate) operations: operations::OperationQueue,
    order_bounds: orders::OrderBounds,
    configurations: configurations::Configurations,
    snapshots: feed::Snapshots,
    pub(crate) reports: health::NodeReports,
    quorum_reads: quorum_reads::QuorumReads,
    /// The latest change request for each shard and the node that sent it, until it can be handled.
    change_requests: std::collections::BTreeMap<ShardId, (NodeId, ShardChangeRequest)>,
    tuning: tuning::Tuning,
    engine_list: engine_list::EngineListReader,
    /// The proposal of a new fleet's first epoch record, while this node is proposing it.
    pub(crate) bootstrap: Option<topazyard_replication::Proposal>,
    leaving: Option<leaving::Leaving>,
    pub(crate) serving_since: Option<MonotonicMs>,
    after_write: std::collections::BTreeMap<u64, Vec<AfterWrite>>,
    last_write: u64,
    last_plan: MonotonicMs,
    /// When no storage node was reachable at all: then this node is the one that is isolated.
    last_isolated: Option<MonotonicMs>,
    known_control_nodes: topazyard_wire::driver::disk_start::KnownControlNodes,
    pub(crate) disk: topazyard_wire::disk::DiskWatch,
}

/// What to do once a write of this node's own rows is synced.
#[derive(Debug, Clone)]
pub(crate) enum AfterWrite {
    /// Send a message.
    Send(std::net::SocketAddr, CoreMessage),
    /// Continue an epoch change by filling the learners.
    FillLearners,
}

/// What is waiting for a write ticket to be committed.
#[derive(Debug, Clone)]
pub(crate) enum Waiting {
    /// A follower of the feed.
    Follower {
        to: std::net::SocketAddr,
        nonce: u64,
        after: topazyard_types::LogPosition,
        part: Option<topazyard_wire::message::feed::PartRequest>,
    },
    /// A command, with the outcome to return once it is committed.
    Command {
        origin: operations::Origin,
        outcome: OperatorOutcome,
        /// Whether it activates a configuration.
        is_configuration: bool,
    },
    /// A query, executed on the committed state.
    Query(operations::Origin, topazyard_wire::message::operate::Query),
    /// The planner, which needs no response.
    Planner,
}

impl ControlMachine {
    /// Starts a control node from the rows loaded from its disk.
    pub fn new(mut start: DiskStart, now: MonotonicMs) -> (Self, Effects) {
        let me = CoreNode { id: start.member.id, address: start.member.address };
        // A disk that already holds rows of a fleet must not bootstrap a new one.
        let held = |group| start.loaded.get(&group).is_some_and(|rows| !rows.is_empty());
        let is_new = start.may_bootstrap && !held(Group::Control) && !held(Group::Witness);
        let copy = Copy::from_rows(start.loaded.remove(&Group::Control).unwrap_or_default());
        let witness_rows = start.loaded.remove(&Group::Witness).unwrap_or_default();
        let known_control_nodes = start.known_control_nodes();
        let control_addresses = start.control_addresses();
        let boot_id = topazyard_types::BootId(start.random_seed);
        let mut machine = Self {
            me,
            boot_id,
            membership: Membership::new(start.member, control_addresses, start.random_seed),
            seeds: start.seeds,
            timeouts: timeouts::Timeouts::from_bounds(&start.bounds),
            bounds: start.bounds,
            witness: Witness::from_rows(&witness_rows),
            replica: Replica::new(Group::Control, true, copy, boot_id),
            peers: peers::Peers::default(),
            epoch_change: None,
            requested_epoch: witness_rows
                .get(epoch_change::REQUESTED_EPOCH_KEY)
                .and_then(|value| topazyard_wire::rows::decode(value))
                .unwrap_or_default(),
            waiting: std::collections::BTreeMap::new(),
            last_ticket: 0,
            operations: operations::OperationQueue::new(boot_id),
            order_bounds: orders::OrderBounds::from_resources(&start.resources),
            configurations: configurations::Configurations::default(),
            snapshots: feed::Snapshots::new(),
            reports: health::NodeReports::default(),
            quorum_reads: quorum_reads::QuorumReads::new(boot_id),
            change_requests: std::collections::BTreeMap::new(),
            tuning: tuning::Tuning::default(),
            engine_list: engine_list::EngineListReader::default(),
            bootstrap: None,
            leaving: None,
            serving_since: None,
            after_write: std::collections::BTreeMap::new(),
            last_write: 0,
            last_plan: MonotonicMs(0),
            last_isolated: None,
            known_control_nodes,
            disk: topazyard_wire::disk::DiskWatch::default(),
        };
        let mut effects = Vec::new();
        machine.persist_bootstrap_eligibility(is_new, &mut effects);
        machine.assume_role(now, &mut effects);
        machine.track_writes(&effects, now);
        (machine, effects)
    }

    /// How many machines may be lost at once, which is the number of backups that confirm each
    /// commit.
    pub(crate) fn backups(&self) -> usize {
        usize::from(self.bounds.lost_machines.max(self.bounds.lost_zones))
    }

    /// Whether this node serves as the primary.
    pub fn is_serving(&self) -> bool {
        self.replica.is_serving()
    }

    /// This node's copy of the control state.
    pub fn copy(&self) -> &Copy {
        self.replica.copy()
    }

    /// The newest epoch record known to this node.
    pub fn record(&self) -> Option<&EpochRecord> {
        self.witness.record()
    }

    pub(crate) fn next_ticket(&mut self) -> WriteTicket {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Submits changes to the replica on behalf of `waiting`.
    pub(crate) fn submit(&mut self, changes: Vec<RowChange>, waiting: Waiting) {
        let ticket = self.next_ticket();
        if self.replica.submit(ticket, changes) {
            self.waiting.insert(ticket, waiting);
        }
    }

    /// Writes rows that belong to this node alone and runs `then` once they are synced.
    pub(crate) fn write_own_rows(
        &mut self,
        group: Group,
        changes: Vec<RowChange>,
        then: Vec<AfterWrite>,
        effects: &mut Effects,
    ) {
        self.last_write += 1;
        let token = WriteToken { group, number: self.last_write };
        if !then.is_empty() {
            self.after_write.insert(self.last_write, then);
        }
        effects.push(Effect::Write { token, changes });
    }

    /// Checks, before anything is acknowledged, that all members of the epoch have synced it.
    fn check_acknowledged(&self) {
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

    /// Carries out the outputs of the replica.
    pub(crate) fn handle_replica_outputs(
        &mut self,
        outputs: Vec<ReplicaOutput>,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        for output in outputs {
            match output {
                ReplicaOutput::Send(to, message) => {
                    effects.push(Effect::Send { to, message: Message::Replica(message) });
                }
                ReplicaOutput::Write(token, changes) => {
                    effects.push(Effect::Write { token, changes })
                }
                ReplicaOutput::Committed(tickets) => {
                    self.check_acknowledged();
                    for ticket in tickets {
                        if let Some(waiting) = self.waiting.remove(&ticket) {
                            self.complete(waiting, now, effects);
                        }
                    }
                }
                ReplicaOutput::OutcomeUnknown(tickets) => {
                    for ticket in tickets {
                        if let Some(waiting) = self.waiting.remove(&ticket) {
                            self.fail(&waiting, now, effects);
                        }
                    }
                }
                ReplicaOutput::Serving => {
                    self.configurations.check(self.version_in_force());
                    if self.serving_since.is_none() {
                        self.serving_since = Some(now);
                        let text =
                            format!("control primary serves in epoch {}", self.replica.epoch());
                        effects.push(Effect::Log { is_error: false, text });
                    }
                }
                ReplicaOutput::LearnersReady => self.propose(now, effects),
                ReplicaOutput::Refill(follower, event) => {
                    let text = format!("refill of {follower} {event}");
                    effects.push(Effect::Log { is_error: false, text });
                }
            }
        }
    }

    /// Responds to a waiter whose ticket is committed.
    fn complete(&mut self, waiting: Waiting, now: MonotonicMs, effects: &mut Effects) {
        match waiting {
            Waiting::Follower { to, nonce, after, part } => {
                self.send_update(to, nonce, after, part, effects);
            }
            Waiting::Command { origin, outcome, is_configuration } => {
                if is_configuration {
                    self.configurations.record_outcome(&outcome, self.version_in_force());
                }
                self.respond(origin, outcome, now, effects);
            }
            Waiting::Query(origin, query) => {
                let outcome = self.query(&query, now);
                self.respond(origin, outcome, now, effects);
            }
            Waiting::Planner => {}
        }
    }

    /// Reports to a waiter that the outcome of its ticket is unknown.
    fn fail(&mut self, waiting: &Waiting, now: MonotonicMs, effects: &mut Effects) {
        use topazyard_wire::api::{ApiError, Code};
        match waiting {
            Waiting::Command { origin, .. } => {
                let unknown = ApiError::may_have_run(Code::OutcomeUnknown);
                self.respond(*origin, OperatorOutcome::Refused(unknown), now, effects);
            }
            Waiting::Query(origin, _) => {
                let refused = ApiError::not_run(Code::NoPrimary);
                self.respond(*origin, OperatorOutcome::Refused(refused), now, effects);
            }
            // A follower retries by itself.
            Waiting::Follower { .. } | Waiting::Planner => {}
        }
    }

    /// The record of a shard.
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
        effects: &mut Effects,
    ) {
        if message.group != Group::Control {
            return;
        }
        let known = self.witness.record().map(|record| record.epoch).unwrap_or_default();
        if message.epoch > known && message.body.is_for_backups() {
            // A backup confirms only after the record that names it is on its disk. Otherwise
            // another node that requests the same epoch could still overwrite data that was
            // acknowledged on the strength of that confirmation.
            return;
        }
        self.follow_epoch_change_if_due(sender, &message, now, effects);
        let from = topazyard_replication::replica::Sender { id: sender, address: from };
        let outputs = self.replica.receive(from, message, now);
        self.handle_replica_outputs(outputs, now, effects);
    }

    /// Tracks the writes that are handed to the disk.
    fn track_writes(&mut self, effects: &Effects, now: MonotonicMs) {
        for effect in effects {
            if let Effect::Write { token, .. } = effect {
                self.disk.write_started(*token, now);
            }
        }
    }

    /// Logs when the disk becomes full, stalls or recovers.
    fn log_disk_state(&mut self, now: MonotonicMs, effects: &mut Effects) {
        if let Some(state) = self.disk.take_state_change(now) {
            effects.push(Effect::Log { is_error: false, text: state.to_string() });
        }
    }

    /// Health of this node, whether or not it is the primary.
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
            orders_waiting: self.operations.waiting(),
        };
        OperatorOutcome::Done(serde_json::json!(health).to_string())
    }

    /// Persists the addresses of other control nodes, so that stale seeds don't isolate this node.
    fn remember_addresses(&mut self, effects: &mut Effects) {
        if !self.disk.accepts_writes() {
            return;
        }
        if let Some(row) =
            self.known_control_nodes.update(self.membership.addresses(MemberRole::Control))
        {
            self.write_own_rows(Group::Node, vec![row], Vec::new(), effects);
        }
    }

    fn tick(&mut self, now: MonotonicMs, effects: &mut Effects) {
        self.log_disk_state(now, effects);
        let outgoing = self.membership.tick(now);
        effects.extend(topazyard_membership::effects(outgoing));
        self.remember_addresses(effects);
        self.heartbeat_tick(now, effects);
        self.epoch_change_tick(now, effects);
        self.leaving_tick(now, effects);
        self.quorum_read_tick(now, effects);
        let outputs = self.replica.tick(now);
        self.handle_replica_outputs(outputs, now, effects);
        self.operations_tick(now, effects);
        self.tuning_tick(now, effects);
        self.engine_list_tick(now, effects);
        if !self.replica.is_serving() {
            self.serving_since = None;
            self.snapshots.clear();
        }
        if now.since(self.last_plan) >= crate::planner::PLAN_INTERVAL {
            self.last_plan = now;
            self.probe_suspected(now);
            self.plan(now);
        }
    }

    /// Lets the planner change placement if no other change is pending.
    fn plan(&mut self, now: MonotonicMs) {
        let Some(serving_since) = self.serving_since else { return };
        if self.replica.has_changes_pending() {
            return;
        }
        let fleet = topazyard_wire::state::FleetSnapshot::read(self.replica.copy().rows());
        let status = self.storage_status(&fleet, serving_since, now);
        let is_responsive =
            |id: &NodeId| status.reachable.contains_key(id) && !status.suspected.contains(id);
        if !fleet.storage.is_empty() && !fleet.storage.keys().any(is_responsive) {
            self.last_isolated = Some(now);
        }
        let changes = crate::planner::plan(&fleet, &status);
        if !changes.is_empty() {
            self.submit(changes, Waiting::Planner);
        }
    }
}

impl Machine for ControlMachine {
    type Call = ControlCall;
    type Response = OperatorOutcome;
    type Task = ControlTask;

    fn step(&mut self, input: Input<ControlCall>, now: MonotonicMs) -> Effects {
        let mut effects = Vec::new();
        if let Input::Written(token) = &input {
            self.disk.write_synced(*token);
        }
        match input {
            Input::Tick => self.tick(now, &mut effects),
            Input::Disk(state) => self.disk.set_state(state, now),
            Input::Written(token) if token.group == Group::Control => {
                let outputs = self.replica.write_synced(token.number);
                self.handle_replica_outputs(outputs, now, &mut effects);
            }
            Input::Written(token) => {
                for then in self.after_write.remove(&token.number).unwrap_or_default() {
                    match then {
                        AfterWrite::Send(to, message) => {
                            effects.push(Effect::Send { to, message: Message::Core(message) });
                        }
                        AfterWrite::FillLearners => self.fill_learners(now, &mut effects),
                    }
                }
            }
            Input::Call { call, request: ControlCall::Operate(request) } => {
                self.handle_request(operations::Origin::Local(call), request, now, &mut effects);
            }
            Input::Call { request: ControlCall::Loads(loads), .. } => {
                self.receive_loads(loads, now)
            }
            Input::Call { request: ControlCall::Engines(list), .. } => {
                self.receive_engine_list(list, now, &mut effects);
            }
            Input::Call { call, request: ControlCall::Leave } => {
                self.begin_shutdown(call, now, &mut effects);
            }
            Input::Call { call, request: ControlCall::Health } => {
                effects.push(Effect::Respond { call, value: self.health(now) });
            }
            Input::Call { request: ControlCall::Seeds(seeds), .. } => {
                self.seeds.clone_from(&seeds);
                self.membership.add_seeds(seeds);
            }
            Input::Frame { sender, from, message } => match message {
                Message::Membership(message) => {
                    let outgoing = self.membership.receive(from, message, now);
                    effects.extend(topazyard_membership::effects(outgoing));
                }
                Message::Core(message) => {
                    self.receive_core(sender, from, message, now, &mut effects)
                }
                Message::Replica(message) => {
                    self.receive_replica(sender, from, message, now, &mut effects)
                }
                Message::Feed(message) => {
                    self.receive_feed(sender, from, message, now, &mut effects)
                }
                Message::ShardChangeRequest(request) => {
                    self.receive_change_request(sender, request)
                }
                Message::Operate(message) => {
                    self.receive_operator_message(sender, from, message, now, &mut effects);
                }
                Message::Confirm(message) => {
                    self.receive_quorum_read(sender, from, message, now, &mut effects);
                }
                Message::Counter(_) | Message::Batch(_) | Message::ShardRecord(..) => {}
            },
        }
        self.apply_change_requests(now);
        self.run_commands(now, &mut effects);
        let outputs = self.replica.start_next_batch(now);
        self.handle_replica_outputs(outputs, now, &mut effects);
        self.track_writes(&effects, now);
        effects
    }
}
