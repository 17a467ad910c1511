//! Applies actions to a world.

use super::{CALM_MS, IDLE_STEP_MS, World};
use crate::model::invariants::Invariant;
use crate::model::network::{self, Payload};
use crate::model::node::Node;
use crate::model::participants::{CallKind, OperatorCall};
use crate::model::{Action, MessageRef, Party};
use topazyard_types::{ConfigurationVersion, DurationMs};
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::Health;
use topazyard_wire::message::operate::{OperatorRequest, Query};
use topazyard_wire::{Input, WriteToken};

/// An event that can take place next.
enum PendingEvent {
    Delivery(usize),
    Sync(usize),
}

/// Request times remembered per reader; a follower keeps no more requests open.
const MAX_OPEN_REQUESTS: usize = 8;

impl World {
    /// Applies an action; returns whether it had any effect.
    pub fn apply(&mut self, action: &Action) -> bool {
        if *action != Action::Next {
            self.note(|| action.to_string());
        }
        let done = self.perform(action);
        self.update_isolation();
        done
    }

    fn perform(&mut self, action: &Action) -> bool {
        match action {
            Action::Next => self.perform_next(),
            Action::Tick(ms) => self.tick(*ms, None),
            Action::TickAlone(ms, node) => self.tick(*ms, Some(*node)),
            Action::Deliver(message) => {
                let Some(at) = self.find_deliverable(message) else { return false };
                let envelope = self.envelopes.remove(at);
                self.deliver(envelope);
                true
            }
            Action::Lose(message) => self.remove_message(message).is_some(),
            Action::Double(message) => {
                let found = network::find(&self.envelopes, message);
                let copy = found.map(|at| self.envelopes[at].clone());
                self.held.extend(copy);
                found.is_some()
            }
            Action::Hold(message) => {
                let taken = self.remove_message(message);
                let found = taken.is_some();
                self.held.extend(taken);
                found
            }
            Action::Release => {
                let Some(envelope) = self.held.pop_front() else { return false };
                self.deliver(envelope);
                true
            }
            Action::Kill { node, kept } => self.kill(*node, *kept),
            Action::PowerLoss { kept } => self.power_loss(kept),
            Action::Wipe(node) => self.wipe(*node, false),
            Action::Replace(node) => self.wipe(*node, true),
            Action::Restart(node) => self.restart(*node),
            Action::Stall(node) => self.set_stalled(*node, true),
            Action::Resume(node) => self.set_stalled(*node, false),
            Action::Cut(from, to) => from != to && self.cuts.insert((*from, *to)),
            Action::CutOff(node) => self.cut_off(*node),
            Action::Heal => self.heal(),
            Action::Freeze(node) => self.set_frozen(*node, true),
            Action::Thaw(node) => self.set_frozen(*node, false),
            Action::Order { operator, node, skip } => self.order(*operator, *node, *skip),
            Action::Resend { operator, node } => self.resend(*operator, *node),
            Action::Read { operator, node } => self.call(
                *operator,
                *node,
                CallKind::Read,
                OperatorRequest::Query(Query::ReadSource),
            ),
            Action::Calm => self.calm(),
        }
    }

    fn remove_message(&mut self, message: &MessageRef) -> Option<network::Envelope> {
        let at = network::find(&self.envelopes, message)?;
        Some(self.envelopes.remove(at))
    }

    fn find_deliverable(&self, message: &MessageRef) -> Option<usize> {
        network::find(&self.envelopes, message).filter(|at| self.is_deliverable(*at))
    }

    /// Whether the receiver of a message is not frozen.
    fn is_deliverable(&self, at: usize) -> bool {
        match self.envelopes[at].to {
            Party::Node(number) => !self.nodes[number].is_frozen,
            Party::Reader(_) | Party::Operator(_) => true,
        }
    }

    fn next_pending(&self) -> Option<PendingEvent> {
        let delivery = (0..self.envelopes.len()).find(|at| self.is_deliverable(*at));
        let delivery =
            delivery.map(|at| (self.envelopes[at].event_number, PendingEvent::Delivery(at)));
        let syncs = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.is_responsive() && !node.is_stalled);
        let syncs = syncs.filter_map(|(number, node)| {
            let write = node.disk.unsynced.front()?;
            Some((write.event_number, PendingEvent::Sync(number)))
        });
        delivery.into_iter().chain(syncs).min_by_key(|(number, _)| *number).map(|(_, event)| event)
    }

    /// Whether no event is pending.
    pub fn is_quiet(&self) -> bool {
        self.next_pending().is_none()
    }

    fn perform_next(&mut self) -> bool {
        match self.next_pending() {
            None => {
                self.note(|| format!("{IDLE_STEP_MS} ms pass"));
                self.tick(IDLE_STEP_MS, None)
            }
            Some(PendingEvent::Sync(number)) => {
                self.note(|| format!("n{number} synced a write"));
                let node = Node::make_mut(&mut self.nodes[number]);
                match node.disk.sync() {
                    Some(token) => self.report_written(number, token),
                    None => false,
                }
            }
            Some(PendingEvent::Delivery(at)) => {
                let envelope = self.envelopes.remove(at);
                let (from, to, label) = (envelope.from, envelope.to, envelope.label());
                self.note(|| format!("{label} {from}->{to}"));
                self.deliver(envelope);
                true
            }
        }
    }

    fn report_written(&mut self, number: usize, token: WriteToken) -> bool {
        self.step(number, Input::Written(token));
        true
    }

    fn tick(&mut self, ms: u64, only: Option<usize>) -> bool {
        self.now = self.now.plus(DurationMs(ms));
        for number in 0..self.nodes.len() {
            if only.is_none_or(|only| only == number) && self.nodes[number].is_responsive() {
                self.step(number, Input::Tick);
            }
        }
        for number in 0..self.readers.len() {
            self.send_reader_request(number);
        }
        true
    }

    fn send_reader_request(&mut self, number: usize) {
        let health = || Health::Edge { ready: true, waiting: 0, refused: 0 };
        let reader = &mut self.readers[number];
        let Some((to, message)) = reader.follower.tick(self.now, health) else { return };
        reader.acknowledged_before.entry(self.now).or_insert(self.checker.newest_acknowledged());
        while reader.acknowledged_before.len() > MAX_OPEN_REQUESTS {
            reader.acknowledged_before.pop_first();
        }
        let from = reader.address;
        let Some(party) = self.party_at(to) else { return };
        let sender = topazyard_types::NodeId(900 + number as u64);
        let message = Message::Feed(message);
        self.post(Party::Reader(number), party, Payload::Frame { sender, from, to, message });
    }

    fn order(&mut self, operator: usize, node: usize, skip: u64) -> bool {
        if self.operators[operator].open_order.is_some() {
            return false;
        }
        let base = self.operators[operator].known_version;
        let order = self.checker.add_order(base, ConfigurationVersion(base.0 + 1 + skip));
        self.operators[operator].open_order = Some(order);
        self.resend(operator, node)
    }

    fn resend(&mut self, operator: usize, node: usize) -> bool {
        let Some(order) = self.operators[operator].open_order.clone() else { return false };
        let request = OperatorRequest::Command(order.command());
        self.call(operator, node, CallKind::Order(order.number), request)
    }

    fn call(
        &mut self,
        operator: usize,
        node: usize,
        kind: CallKind,
        request: OperatorRequest,
    ) -> bool {
        let acknowledged_before = self.checker.newest_acknowledged();
        self.calls.push(OperatorCall {
            operator,
            kind,
            acknowledged_before,
            arrived_at_event: None,
        });
        let call_index = self.calls.len() - 1;
        let call = Payload::Call { call_index, request };
        self.post(Party::Operator(operator), Party::Node(node), call);
        true
    }

    fn calm(&mut self) -> bool {
        self.heal();
        while self.perform(&Action::Release) {}
        for number in 0..self.nodes.len() {
            self.set_frozen(number, false);
            self.set_stalled(number, false);
            self.restart(number);
        }
        let deadline = self.now.plus(DurationMs(CALM_MS));
        while self.now < deadline && self.violation().is_none() {
            self.perform_next();
        }
        if self.has_recovered() {
            self.lost_disks = 0;
        }
        if self.primary().is_none() {
            self.check_recovery();
        }
        true
    }

    /// No node serves although there is no fault. This is no violation where a majority of the
    /// witnesses may lose their disks at once: such a fleet can't always recover.
    fn check_recovery(&mut self) {
        self.unrecovered_calms += 1;
        if self.nodes.len() > 2 * usize::from(self.settings.losses) {
            let text = format!("nobody serves after {CALM_MS} ms without faults");
            self.checker.report(Invariant::Recovers, text);
        }
    }

    /// Whether a node serves, all nodes have the same record, and it names all its backups.
    fn has_recovered(&self) -> bool {
        let records: Vec<_> = self
            .nodes
            .iter()
            .map(|node| node.machine.as_ref().and_then(|machine| machine.record()))
            .collect();
        let agree = records.iter().all(|record| record.is_some() && *record == records[0]);
        let backups = records[0].map_or(0, |record| record.backups.len());
        agree && self.primary().is_some() && backups >= usize::from(self.settings.losses)
    }
}
