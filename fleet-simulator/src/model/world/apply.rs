//! What each action does.

use super::{CALM_MS, STEP_MS, World};
use crate::model::judge::Invariant;
use crate::model::network::{self, Payload};
use crate::model::node::Node;
use crate::model::people::{Asked, Asking};
use crate::model::{Action, Letter, Party};
use topazyard_types::{ConfigurationVersion, DurationMs};
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::Health;
use topazyard_wire::message::operate::{OperatorRequest, Query};
use topazyard_wire::{Input, WriteToken};

/// What happens next by itself.
enum Event {
    Arrives(usize),
    Synced(usize),
}

/// Moments at which a reader asked that are remembered; a follower keeps no more askings open.
const ASKINGS_KEPT: usize = 8;

impl World {
    /// Does an action; gives whether there was anything to do.
    pub fn apply(&mut self, action: &Action) -> bool {
        if *action != Action::Next {
            self.note(|| action.to_string());
        }
        let done = self.happen(action);
        self.see_who_is_alone();
        done
    }

    fn happen(&mut self, action: &Action) -> bool {
        match action {
            Action::Next => self.happen_next(),
            Action::Tick(ms) => self.tick(*ms, None),
            Action::TickAlone(ms, node) => self.tick(*ms, Some(*node)),
            Action::Deliver(letter) => {
                let Some(at) = self.find_deliverable(letter) else { return false };
                let envelope = self.envelopes.remove(at);
                self.arrive(envelope);
                true
            }
            Action::Lose(letter) => self.take_out(letter).is_some(),
            Action::Double(letter) => {
                let found = network::find(&self.envelopes, letter);
                let copy = found.map(|at| self.envelopes[at].clone());
                self.held.extend(copy);
                found.is_some()
            }
            Action::Hold(letter) => {
                let taken = self.take_out(letter);
                let found = taken.is_some();
                self.held.extend(taken);
                found
            }
            Action::Release => {
                let Some(envelope) = self.held.pop_front() else { return false };
                self.arrive(envelope);
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
            Action::Read { operator, node } => {
                self.call(*operator, *node, Asked::Read, OperatorRequest::Query(Query::ReadSource))
            }
            Action::Calm => self.calm(),
        }
    }

    fn take_out(&mut self, letter: &Letter) -> Option<network::Envelope> {
        let at = network::find(&self.envelopes, letter)?;
        Some(self.envelopes.remove(at))
    }

    fn find_deliverable(&self, letter: &Letter) -> Option<usize> {
        network::find(&self.envelopes, letter).filter(|at| self.is_deliverable(*at))
    }

    /// Whether who is to take it does not stand still.
    fn is_deliverable(&self, at: usize) -> bool {
        match self.envelopes[at].to {
            Party::Node(number) => !self.nodes[number].is_frozen,
            Party::Reader(_) | Party::Operator(_) => true,
        }
    }

    fn next(&self) -> Option<Event> {
        let arrives = (0..self.envelopes.len()).find(|at| self.is_deliverable(*at));
        let arrives = arrives.map(|at| (self.envelopes[at].number, Event::Arrives(at)));
        let syncs =
            self.nodes.iter().enumerate().filter(|(_, node)| node.is_awake() && !node.is_stalled);
        let syncs = syncs.filter_map(|(number, node)| {
            let write = node.disk.unsynced.front()?;
            Some((write.number, Event::Synced(number)))
        });
        arrives.into_iter().chain(syncs).min_by_key(|(number, _)| *number).map(|(_, event)| event)
    }

    /// Whether nothing is under way that could happen now.
    pub fn is_quiet(&self) -> bool {
        self.next().is_none()
    }

    fn happen_next(&mut self) -> bool {
        match self.next() {
            None => {
                self.note(|| format!("{STEP_MS} ms pass"));
                self.tick(STEP_MS, None)
            }
            Some(Event::Synced(number)) => {
                self.note(|| format!("n{number} synced a write"));
                let node = Node::change(&mut self.nodes[number]);
                match node.disk.sync() {
                    Some(token) => self.tell_written(number, token),
                    None => false,
                }
            }
            Some(Event::Arrives(at)) => {
                let envelope = self.envelopes.remove(at);
                let (from, to, label) = (envelope.from, envelope.to, envelope.label());
                self.note(|| format!("{label} {from}->{to}"));
                self.arrive(envelope);
                true
            }
        }
    }

    fn tell_written(&mut self, number: usize, token: WriteToken) -> bool {
        self.step(number, Input::Written(token));
        true
    }

    fn tick(&mut self, ms: u64, alone: Option<usize>) -> bool {
        self.now = self.now.plus(DurationMs(ms));
        for number in 0..self.nodes.len() {
            if alone.is_none_or(|alone| alone == number) && self.nodes[number].is_awake() {
                self.step(number, Input::Tick);
            }
        }
        for number in 0..self.readers.len() {
            self.reader_asks(number);
        }
        true
    }

    fn reader_asks(&mut self, number: usize) {
        let health = || Health::Edge { ready: true, waiting: 0, refused: 0 };
        let reader = &mut self.readers[number];
        let Some((to, message)) = reader.follower.tick(self.now, health) else { return };
        reader.since.entry(self.now).or_insert(self.judge.newest_acknowledged());
        while reader.since.len() > ASKINGS_KEPT {
            reader.since.pop_first();
        }
        let from = reader.address;
        let Some(party) = self.party_at(to) else { return };
        let sender = topazyard_types::NodeId(900 + number as u64);
        let message = Message::Feed(message);
        self.post(Party::Reader(number), party, Payload::Frame { sender, from, to, message });
    }

    fn order(&mut self, operator: usize, node: usize, skip: u64) -> bool {
        if self.operators[operator].open.is_some() {
            return false;
        }
        let base = self.operators[operator].knows;
        let order = self.judge.add_order(base, ConfigurationVersion(base.0 + 1 + skip));
        self.operators[operator].open = Some(order);
        self.resend(operator, node)
    }

    fn resend(&mut self, operator: usize, node: usize) -> bool {
        let Some(order) = self.operators[operator].open.clone() else { return false };
        let request = OperatorRequest::Command(order.command());
        self.call(operator, node, Asked::Order(order.number), request)
    }

    fn call(
        &mut self,
        operator: usize,
        node: usize,
        asked: Asked,
        request: OperatorRequest,
    ) -> bool {
        let since = self.judge.newest_acknowledged();
        self.askings.push(Asking { operator, asked, since, arrived: None });
        let asking = self.askings.len() - 1;
        let call = Payload::Call { asking, request };
        self.post(Party::Operator(operator), Party::Node(node), call);
        true
    }

    fn calm(&mut self) -> bool {
        self.heal();
        while self.happen(&Action::Release) {}
        for number in 0..self.nodes.len() {
            self.set_frozen(number, false);
            self.set_stalled(number, false);
            self.restart(number);
        }
        let until = self.now.plus(DurationMs(CALM_MS));
        while self.now < until && self.violation().is_none() {
            self.happen_next();
        }
        if self.is_whole() {
            self.lost_disks = 0;
        }
        if self.primary().is_none() {
            self.see_stuck();
        }
        true
    }

    /// Nobody serves though nothing is wrong. Where a majority of the witnesses may be lost at once
    /// that can't be helped.
    fn see_stuck(&mut self) {
        self.stuck_calms += 1;
        if self.nodes.len() > 2 * usize::from(self.settings.losses) {
            let text = format!("nobody serves after {CALM_MS} ms without trouble");
            self.judge.cross(Invariant::Recovers, text);
        }
    }

    /// Whether a node serves, all know its record, and it has all its backups.
    fn is_whole(&self) -> bool {
        let records: Vec<_> = self
            .nodes
            .iter()
            .map(|node| node.machine.as_ref().and_then(|machine| machine.record()))
            .collect();
        let same = records.iter().all(|record| record.is_some() && *record == records[0]);
        let backups = records[0].map_or(0, |record| record.backups.len());
        same && self.primary().is_some() && backups >= usize::from(self.settings.losses)
    }
}
