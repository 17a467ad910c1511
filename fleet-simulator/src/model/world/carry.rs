//! Steps of the machines, and what becomes of their effects.

use super::World;
use crate::model::judge::Invariant;
use crate::model::network::{Envelope, Payload};
use crate::model::node::{Node, Write};
use crate::model::people::Asked;
use crate::model::{Party, Plant};
use topazyard_control::{ControlCall, ControlTask};
use topazyard_types::ConfigurationVersion;
use topazyard_wire::api::Code;
use topazyard_wire::message::control::CoreMessage;
use topazyard_wire::message::feed::{FeedMessage, UpdateContent};
use topazyard_wire::message::operate::OperatorOutcome;
use topazyard_wire::message::replica::{FollowerRole, ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Input, Machine as _, Message};

pub(super) type ControlEffect = Effect<OperatorOutcome, ControlTask>;

/// What a planted fault remembers.
#[derive(Debug, Clone, Default)]
pub(super) struct Planted {
    /// The first view that a reader was given.
    view: Option<std::collections::BTreeMap<String, bytes::Bytes>>,
    /// The first source that was read.
    source: Option<String>,
    /// Orders that were answered once.
    answered: std::collections::BTreeSet<usize>,
}

/// Whether an outcome is final: the order is taken, or refused for good.
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

    /// Lets a machine take an input, and carries out what it wants.
    pub(super) fn step(&mut self, number: usize, input: Input<ControlCall>) {
        let now = self.now;
        let node = Node::change(&mut self.nodes[number]);
        let Some(machine) = &mut node.machine else { return };
        let before = (machine.copy().position(), machine.is_serving());
        let effects = machine.step(input, now);
        self.judge.see_node(node.id, machine, before);
        self.carry_out(number, effects);
    }

    pub(super) fn carry_out(&mut self, number: usize, effects: Vec<ControlEffect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(number, to, message),
                Effect::Write { token, changes } => {
                    let event = self.next_event();
                    let node = Node::change(&mut self.nodes[number]);
                    node.disk.unsynced.push_back(Write { number: event, token, changes });
                    if self.settings.plant == Some(Plant::SyncedEarly) {
                        self.step(number, Input::Written(token));
                    }
                }
                Effect::Respond { call, value } => self.answer(number, call, value),
                Effect::Log { text, .. } => self.note(|| format!("    n{number}: {text}")),
                Effect::StartTask(_) => {}
            }
        }
    }

    /// Whether anything that is sent goes from one node to another.
    pub(super) fn is_linked(&self, from: Party, to: Party) -> bool {
        match (from, to) {
            (Party::Node(from), Party::Node(to)) => !self.cuts.contains(&(from, to)),
            _ => true,
        }
    }

    fn send(&mut self, number: usize, to: std::net::SocketAddr, mut message: Message) {
        if let Message::Core(CoreMessage::Accept { record, .. }) = &mut message
            && self.settings.plant == Some(Plant::DropBackups)
        {
            record.backups.clear();
        }
        let Some(party) = self.party_at(to) else { return };
        if let (Message::Feed(FeedMessage::Update { .. }), Party::Reader(reader)) =
            (&message, party)
        {
            let asked = self.readers[reader].arrived.get(&number).copied();
            self.check_alone(number, asked, "confirmed a reader's asking");
        }
        if !self.is_linked(Party::Node(number), party) {
            self.forge_confirmation(number, party, &message);
            return;
        }
        let (sender, from) = (self.nodes[number].id, self.nodes[number].address);
        // Membership is no part of what is modelled: nothing is lost of it where nodes are linked.
        let at_once = match &message {
            Message::Membership(_) => !self.settings.ticks_at_once,
            Message::Core(CoreMessage::Heartbeat { .. }) => self.settings.ticks_at_once,
            _ => false,
        };
        let dropped = matches!(message, Message::Membership(_)) && !at_once;
        if dropped {
            return;
        }
        if at_once {
            if let Party::Node(to) = party
                && self.nodes[to].is_awake()
            {
                self.step(to, Input::Frame { sender, from, message });
            }
            return;
        }
        self.post(Party::Node(number), party, Payload::Frame { sender, from, to, message });
    }

    /// Puts a message under way.
    pub(super) fn post(&mut self, from: Party, to: Party, payload: Payload) {
        let number = self.next_event();
        self.envelopes.push(Envelope { number, from, to, payload });
    }

    /// The planted fault of a primary that is told what its backups never said.
    fn forge_confirmation(&mut self, number: usize, to: Party, message: &Message) {
        let (Party::Node(backup), Message::Replica(sent)) = (to, message) else { return };
        let body = match (self.settings.plant, &sent.body) {
            (Some(Plant::ForgeConfirmations), ReplicaBody::Append { round, .. }) => {
                ReplicaBody::Appended { round: *round }
            }
            (
                Some(Plant::ForgetVotesAndForgeSteps),
                ReplicaBody::Digests { round, sequence, of: FollowerRole::Backup, .. },
            ) => ReplicaBody::InSync { round: *round, sequence: *sequence },
            _ => return,
        };
        let message = Message::Replica(ReplicaMessage { body, ..sent.clone() });
        let (sender, from) = (self.nodes[backup].id, self.nodes[backup].address);
        let to = self.nodes[number].address;
        // It comes from nowhere: nothing of the backup is under way.
        let frame = Payload::Frame { sender, from, to, message };
        self.post(Party::Operator(0), Party::Node(number), frame);
    }

    /// A node that hears no other decides nothing that was asked since.
    fn check_alone(&mut self, number: usize, asked: Option<u64>, what: &str) {
        let alone = self.nodes[number].alone_since;
        if let (Some(alone), Some(asked)) = (alone, asked)
            && asked > alone
        {
            let text = format!("n{number} hears no other node and {what}");
            self.judge.cross(Invariant::AloneDecidesNothing, text);
        }
    }

    fn answer(&mut self, number: usize, call: topazyard_types::CallId, outcome: OperatorOutcome) {
        let node = Node::change(&mut self.nodes[number]);
        let Some(asking) = node.calls.remove(&call) else { return };
        if is_final(&outcome) {
            let arrived = self.askings[asking].arrived;
            self.check_alone(number, arrived, "answered an operator");
        }
        let to = Party::Operator(self.askings[asking].operator);
        self.post(Party::Node(number), to, Payload::Answer { asking, outcome });
    }

    /// A message reaches who is to take it; one that does not run takes nothing.
    pub(super) fn arrive(&mut self, envelope: Envelope) {
        let Envelope { from, to, payload, .. } = envelope;
        match (to, payload) {
            (Party::Node(number), payload) if self.nodes[number].is_awake() => {
                self.node_takes(number, from, payload);
            }
            (Party::Reader(reader), Payload::Frame { from, message, .. }) => {
                self.reader_takes(reader, from, message);
            }
            (Party::Operator(operator), Payload::Answer { asking, outcome }) => {
                self.operator_takes(operator, asking, outcome);
            }
            _ => {}
        }
    }

    fn node_takes(&mut self, number: usize, party: Party, payload: Payload) {
        match payload {
            // The address may have gone to another machine meanwhile.
            Payload::Frame { to, .. } if self.nodes[number].address != to => {}
            Payload::Frame { sender, from, message, .. } => {
                let is_asking = matches!(message, Message::Feed(FeedMessage::Request { .. }));
                if let (Party::Reader(reader), true) = (party, is_asking) {
                    let event = self.next_event();
                    self.readers[reader].arrived.insert(number, event);
                }
                self.step(number, Input::Frame { sender, from, message });
            }
            Payload::Call { asking, request } => {
                self.askings[asking].arrived = Some(self.next_event());
                let node = Node::change(&mut self.nodes[number]);
                node.last_call += 1;
                let call = topazyard_types::CallId(node.last_call);
                node.calls.insert(call, asking);
                self.step(number, Input::Call { call, request: ControlCall::Operate(request) });
            }
            Payload::Answer { .. } => {}
        }
    }

    fn reader_takes(&mut self, number: usize, from: std::net::SocketAddr, message: Message) {
        let Message::Feed(message) = message else { return };
        let before = crate::model::order::in_force(self.readers[number].follower.copy().rows());
        let message = match self.settings.plant {
            Some(Plant::OldNews) => self.plant_news(before, message),
            _ => message,
        };
        let reader = &mut self.readers[number];
        let confirmed = reader.follower.confirmed_at();
        reader.follower.receive(from, message);
        let confirmed = reader.follower.confirmed_at().filter(|at| Some(*at) != confirmed);
        if let Some(asked) = confirmed {
            let rows = reader.follower.copy().rows();
            let since = reader.since.get(&asked).copied().unwrap_or_default();
            self.judge.see_reader(&format!("reader{number}"), rows, before, since);
        }
    }

    /// The planted fault of a reader that is shown the first view again.
    fn plant_news(
        &mut self,
        shown: Option<ConfigurationVersion>,
        message: FeedMessage,
    ) -> FeedMessage {
        let FeedMessage::Update { nonce, position, content } = message else { return message };
        if let UpdateContent::Snapshot(rows) = &content {
            self.planted.view.get_or_insert_with(|| rows.iter().cloned().collect());
        }
        let content = match &self.planted.view {
            Some(rows) if crate::model::order::in_force(rows) < shown => {
                UpdateContent::Snapshot(rows.clone().into_iter().collect())
            }
            _ => content,
        };
        FeedMessage::Update { nonce, position, content }
    }

    fn operator_takes(&mut self, number: usize, asking: usize, outcome: OperatorOutcome) {
        let asking = self.askings[asking];
        let outcome = self.plant_outcome(asking.asked, outcome);
        let operator = &mut self.operators[number];
        match (asking.asked, &outcome) {
            (Asked::Order(order), OperatorOutcome::Done(_)) => {
                let version = self.judge.order(order).map(|order| order.version);
                operator.knows = operator.knows.max(version.unwrap_or_default());
                operator.open.take_if(|open| open.number == order);
                self.judge.acknowledge(order);
            }
            (Asked::Order(order), refused) if is_final(refused) => {
                operator.open.take_if(|open| open.number == order);
                self.judge.refuse(order);
            }
            (Asked::Read, OperatorOutcome::Done(source)) => {
                let read = crate::model::order::number_of(source);
                let version = read.and_then(|number| self.judge.order(number)).map(|o| o.version);
                operator.knows = operator.knows.max(version.unwrap_or_default());
                self.judge.see_read(&format!("operator{number}"), read, asking.since);
            }
            (Asked::Read, read) if is_final(read) => {
                self.judge.see_read(&format!("operator{number}"), None, asking.since);
            }
            _ => {}
        }
        self.note(|| format!("    operator{number}: {:?} -> {outcome:?}", asking.asked));
    }

    fn plant_outcome(&mut self, asked: Asked, outcome: OperatorOutcome) -> OperatorOutcome {
        let Some(plant) = self.settings.plant else { return outcome };
        let is_done = matches!(outcome, OperatorOutcome::Done(_));
        match (plant, asked) {
            // The first order founds what follows.
            (_, Asked::Order(0)) => outcome,
            (Plant::RefuseTaken, Asked::Order(_)) if is_done => stale_base(),
            (Plant::RefuseAgain, Asked::Order(order)) if is_done => {
                if self.planted.answered.insert(order) { outcome } else { stale_base() }
            }
            (Plant::TakeRefused, Asked::Order(_)) if !is_done && is_final(&outcome) => {
                OperatorOutcome::Done("{}".to_owned())
            }
            (Plant::OldSource, Asked::Read) => match &outcome {
                OperatorOutcome::Done(source) => {
                    let first = self.planted.source.get_or_insert_with(|| source.clone());
                    OperatorOutcome::Done(first.clone())
                }
                OperatorOutcome::Refused(_) => outcome,
            },
            _ => outcome,
        }
    }
}
