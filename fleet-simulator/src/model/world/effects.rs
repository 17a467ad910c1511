//! Steps of the machines and the effects that they request.

use super::World;
use crate::model::invariants::Invariant;
use crate::model::network::{Envelope, Payload};
use crate::model::node::{Node, Write};
use crate::model::participants::CallKind;
use crate::model::{InjectedFault, Party};
use topazyard_control::{ControlCall, ControlTask};
use topazyard_types::ConfigurationVersion;
use topazyard_wire::api::Code;
use topazyard_wire::message::control::CoreMessage;
use topazyard_wire::message::feed::{FeedMessage, UpdateContent};
use topazyard_wire::message::operate::OperatorOutcome;
use topazyard_wire::message::replica::{FollowerRole, ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Input, Machine as _, Message};

pub(super) type ControlEffect = Effect<OperatorOutcome, ControlTask>;

/// State of the injected faults.
#[derive(Debug, Clone, Default)]
pub(super) struct InjectedFaultState {
    /// The first snapshot that a reader received.
    first_snapshot: Option<std::collections::BTreeMap<String, bytes::Bytes>>,
    /// The first source that was read.
    first_source: Option<String>,
    /// Orders that got a response already.
    responded: std::collections::BTreeSet<usize>,
}

/// Whether an outcome is final: the order is applied or refused for good.
fn is_final(outcome: &OperatorOutcome) -> bool {
    match outcome {
        OperatorOutcome::Done(_) => true,
        OperatorOutcome::Refused(error) => {
            matches!(error.code, Code::StaleBase | Code::InvalidSpec | Code::NotFound)
        }
    }
}

fn stale_base() -> OperatorOutcome {
    OperatorOutcome::Refused(topazyard_wire::ApiError::not_run(Code::StaleBase))
}

impl World {
    pub(super) fn next_event(&mut self) -> u64 {
        self.events += 1;
        self.events
    }

    /// Passes an input to a machine and applies the effects.
    pub(super) fn step(&mut self, number: usize, input: Input<ControlCall>) {
        let now = self.now;
        let node = Node::make_mut(&mut self.nodes[number]);
        let Some(machine) = &mut node.machine else { return };
        let before = (machine.copy().position(), machine.is_serving());
        let effects = machine.step(input, now);
        self.checker.check_node(node.id, machine, before);
        self.apply_effects(number, effects);
    }

    pub(super) fn apply_effects(&mut self, number: usize, effects: Vec<ControlEffect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(number, to, message),
                Effect::Write { token, changes } => {
                    let event = self.next_event();
                    let node = Node::make_mut(&mut self.nodes[number]);
                    node.disk.unsynced.push_back(Write { event_number: event, token, changes });
                    if self.settings.injected_fault == Some(InjectedFault::ReportSyncEarly) {
                        self.step(number, Input::Written(token));
                    }
                }
                Effect::Respond { call, value } => self.respond(number, call, value),
                Effect::Log { text, .. } => self.note(|| format!("    n{number}: {text}")),
                Effect::StartTask(_) => {}
            }
        }
    }

    /// Whether messages pass from one party to another.
    pub(super) fn is_connected(&self, from: Party, to: Party) -> bool {
        match (from, to) {
            (Party::Node(from), Party::Node(to)) => !self.cuts.contains(&(from, to)),
            _ => true,
        }
    }

    fn send(&mut self, number: usize, to: std::net::SocketAddr, mut message: Message) {
        if let Message::Core(CoreMessage::Accept { record, .. }) = &mut message
            && self.settings.injected_fault == Some(InjectedFault::DropBackups)
        {
            record.backups.clear();
        }
        let Some(party) = self.party_at(to) else { return };
        if let (Message::Feed(FeedMessage::Update { .. }), Party::Reader(reader)) =
            (&message, party)
        {
            let request_event = self.readers[reader].request_arrivals.get(&number).copied();
            self.check_isolated(number, request_event, "confirmed a reader's request");
        }
        if !self.is_connected(Party::Node(number), party) {
            self.forge_confirmation(number, party, &message);
            return;
        }
        let (sender, from) = (self.nodes[number].id, self.nodes[number].address);
        // Membership is not part of the model: its messages are dropped, or while heartbeats are
        // messages in flight, delivered at once between connected nodes.
        let is_instant = match &message {
            Message::Membership(_) => !self.settings.instant_ticks,
            Message::Core(CoreMessage::Heartbeat { .. }) => self.settings.instant_ticks,
            _ => false,
        };
        let dropped = matches!(message, Message::Membership(_)) && !is_instant;
        if dropped {
            return;
        }
        if is_instant {
            if let Party::Node(to) = party
                && self.nodes[to].is_responsive()
            {
                self.step(to, Input::Frame { sender, from, message });
            }
            return;
        }
        self.post(Party::Node(number), party, Payload::Frame { sender, from, to, message });
    }

    /// Puts a message in flight.
    pub(super) fn post(&mut self, from: Party, to: Party, payload: Payload) {
        let event_number = self.next_event();
        self.envelopes.push(Envelope { event_number, from, to, payload });
    }

    /// Injected fault: an isolated primary receives responses that its backups never sent.
    fn forge_confirmation(&mut self, number: usize, to: Party, message: &Message) {
        let (Party::Node(backup), Message::Replica(sent)) = (to, message) else { return };
        let body = match (self.settings.injected_fault, &sent.body) {
            (Some(InjectedFault::ForgeConfirmations), ReplicaBody::Append { round, .. }) => {
                ReplicaBody::Appended { round: *round }
            }
            (
                Some(InjectedFault::ForgetVotesAndForgeInSync),
                ReplicaBody::Digests { round, sequence, of: FollowerRole::Backup, .. },
            ) => ReplicaBody::InSync { round: *round, sequence: *sequence },
            _ => return,
        };
        let message = Message::Replica(ReplicaMessage { body, ..sent.clone() });
        let (sender, from) = (self.nodes[backup].id, self.nodes[backup].address);
        let to = self.nodes[number].address;
        // The sender is an operator so that no message of the backup counts as in flight.
        let frame = Payload::Frame { sender, from, to, message };
        self.post(Party::Operator(0), Party::Node(number), frame);
    }

    /// An isolated node must not decide anything that was requested after it became isolated.
    fn check_isolated(&mut self, number: usize, request_event: Option<u64>, what: &str) {
        let isolated_since = self.nodes[number].isolated_since;
        if let (Some(isolated_since), Some(request_event)) = (isolated_since, request_event)
            && request_event > isolated_since
        {
            let text = format!("n{number} receives nothing from the other nodes and {what}");
            self.checker.report(Invariant::AloneDecidesNothing, text);
        }
    }

    fn respond(&mut self, number: usize, call: topazyard_types::CallId, outcome: OperatorOutcome) {
        let node = Node::make_mut(&mut self.nodes[number]);
        let Some(call_index) = node.calls.remove(&call) else { return };
        if is_final(&outcome) {
            let arrived_at_event = self.calls[call_index].arrived_at_event;
            self.check_isolated(number, arrived_at_event, "responded to an operator");
        }
        let to = Party::Operator(self.calls[call_index].operator);
        self.post(Party::Node(number), to, Payload::Response { call_index, outcome });
    }

    /// Delivers a message; a process that does not run receives nothing.
    pub(super) fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, payload, .. } = envelope;
        match (to, payload) {
            (Party::Node(number), payload) if self.nodes[number].is_responsive() => {
                self.node_receives(number, from, payload);
            }
            (Party::Reader(reader), Payload::Frame { from, message, .. }) => {
                self.reader_receives(reader, from, message);
            }
            (Party::Operator(operator), Payload::Response { call_index, outcome }) => {
                self.operator_receives(operator, call_index, outcome);
            }
            _ => {}
        }
    }

    fn node_receives(&mut self, number: usize, party: Party, payload: Payload) {
        match payload {
            // The node may have moved to another address since.
            Payload::Frame { to, .. } if self.nodes[number].address != to => {}
            Payload::Frame { sender, from, message, .. } => {
                let is_request = matches!(message, Message::Feed(FeedMessage::Request { .. }));
                if let (Party::Reader(reader), true) = (party, is_request) {
                    let event = self.next_event();
                    self.readers[reader].request_arrivals.insert(number, event);
                }
                self.step(number, Input::Frame { sender, from, message });
            }
            Payload::Call { call_index, request } => {
                self.calls[call_index].arrived_at_event = Some(self.next_event());
                let node = Node::make_mut(&mut self.nodes[number]);
                node.last_call += 1;
                let call = topazyard_types::CallId(node.last_call);
                node.calls.insert(call, call_index);
                self.step(number, Input::Call { call, request: ControlCall::Operate(request) });
            }
            Payload::Response { .. } => {}
        }
    }

    fn reader_receives(&mut self, number: usize, from: std::net::SocketAddr, message: Message) {
        let Message::Feed(message) = message else { return };
        let before =
            crate::model::order::version_in_force(self.readers[number].follower.copy().rows());
        let message = match self.settings.injected_fault {
            Some(InjectedFault::StaleSnapshot) => self.inject_stale_snapshot(before, message),
            _ => message,
        };
        let reader = &mut self.readers[number];
        let confirmed = reader.follower.confirmed_at();
        reader.follower.receive(from, message);
        let confirmed = reader.follower.confirmed_at().filter(|at| Some(*at) != confirmed);
        if let Some(requested_at) = confirmed {
            let rows = reader.follower.copy().rows();
            let acknowledged_before =
                reader.acknowledged_before.get(&requested_at).copied().unwrap_or_default();
            self.checker.check_reader(
                &format!("reader{number}"),
                rows,
                before,
                acknowledged_before,
            );
        }
    }

    /// Injected fault: a reader receives the first snapshot again.
    fn inject_stale_snapshot(
        &mut self,
        version_shown: Option<ConfigurationVersion>,
        message: FeedMessage,
    ) -> FeedMessage {
        let FeedMessage::Update { nonce, position, content } = message else { return message };
        if let UpdateContent::Snapshot(rows) = &content {
            self.injected_state
                .first_snapshot
                .get_or_insert_with(|| rows.iter().cloned().collect());
        }
        let content = match &self.injected_state.first_snapshot {
            Some(rows) if crate::model::order::version_in_force(rows) < version_shown => {
                UpdateContent::Snapshot(rows.clone().into_iter().collect())
            }
            _ => content,
        };
        FeedMessage::Update { nonce, position, content }
    }

    fn operator_receives(&mut self, number: usize, call_index: usize, outcome: OperatorOutcome) {
        let call = self.calls[call_index];
        let outcome = self.inject_outcome(call.kind, outcome);
        let operator = &mut self.operators[number];
        match (call.kind, &outcome) {
            (CallKind::Order(order), OperatorOutcome::Done(_)) => {
                let version = self.checker.order(order).map(|order| order.version);
                operator.known_version = operator.known_version.max(version.unwrap_or_default());
                operator.open_order.take_if(|open| open.number == order);
                self.checker.record_acknowledged(order);
            }
            (CallKind::Order(order), refused) if is_final(refused) => {
                operator.open_order.take_if(|open| open.number == order);
                self.checker.record_refused(order);
            }
            (CallKind::Read, OperatorOutcome::Done(source)) => {
                let read = crate::model::order::order_number(source);
                let version = read.and_then(|number| self.checker.order(number)).map(|o| o.version);
                operator.known_version = operator.known_version.max(version.unwrap_or_default());
                self.checker.check_read(
                    &format!("operator{number}"),
                    read,
                    call.acknowledged_before,
                );
            }
            (CallKind::Read, read) if is_final(read) => {
                self.checker.check_read(
                    &format!("operator{number}"),
                    None,
                    call.acknowledged_before,
                );
            }
            _ => {}
        }
        self.note(|| format!("    operator{number}: {:?} -> {outcome:?}", call.kind));
    }

    fn inject_outcome(&mut self, kind: CallKind, outcome: OperatorOutcome) -> OperatorOutcome {
        let Some(injected_fault) = self.settings.injected_fault else { return outcome };
        let is_done = matches!(outcome, OperatorOutcome::Done(_));
        match (injected_fault, kind) {
            // The first order is part of the initial state, so no fault applies to it.
            (_, CallKind::Order(0)) => outcome,
            (InjectedFault::ReportAppliedAsRefused, CallKind::Order(_)) if is_done => stale_base(),
            (InjectedFault::RefuseResent, CallKind::Order(order)) if is_done => {
                if self.injected_state.responded.insert(order) { outcome } else { stale_base() }
            }
            (InjectedFault::ReportRefusedAsApplied, CallKind::Order(_))
                if !is_done && is_final(&outcome) =>
            {
                OperatorOutcome::Done("{}".to_owned())
            }
            (InjectedFault::StaleRead, CallKind::Read) => match &outcome {
                OperatorOutcome::Done(source) => {
                    let first =
                        self.injected_state.first_source.get_or_insert_with(|| source.clone());
                    OperatorOutcome::Done(first.clone())
                }
                OperatorOutcome::Refused(_) => outcome,
            },
            _ => outcome,
        }
    }
}
