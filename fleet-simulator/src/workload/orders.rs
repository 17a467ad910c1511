//! Operators with numbered configurations, each taken in one step: they race, send an order again
//! unchanged to any node until its answer is clear, and read back what is in force.

mod contents;
mod sending;

use super::Activity;
use crate::history::{Micros, OrderRecord, OrderResponse, ReadBackOutcome, ReadBackRecord};
use crate::world::{Caller, Event, InjectedBug, NodeIndex, NodeKind, World};
use contents::Fault;
pub(crate) use contents::fingerprint;
use topazyard_wire::api::Code;
use topazyard_wire::message::operate::{OperatorOutcome, OperatorRequest, Query};

/// Something that an operator with numbered configurations does.
#[derive(Debug, Clone, Copy)]
pub enum OrderActivity {
    /// Begin the next orders, and so on.
    Begin,
    /// Send an order to a node.
    Send(usize),
    /// A sending of an order arrives at a node.
    Arrives(usize, usize, NodeIndex),
    /// A sending of an order was silent for long enough, or is answered.
    Answered(usize, usize),
    /// Read back what is in force, and so on.
    Read,
    /// A read-back arrives at a node.
    ReadArrives(usize, NodeIndex),
    /// A read-back is answered.
    ReadAnswered(usize),
}

impl OrderActivity {
    pub(super) fn event(self) -> Event {
        Event::Activity(Activity::Configuration(self))
    }
}

/// How an order stands with its operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It is sent until its answer is clear.
    Open,
    /// Its answer was clear.
    Closed,
}

/// The orders of all operators.
#[derive(Debug, Default)]
pub(super) struct Orders {
    standings: Vec<Standing>,
    /// The newest number that an operator saw acknowledged or read back.
    newest: u64,
}

/// How often what is in force is read back.
const READ_EVERY_US: Micros = 250_000;
/// After how long an answer comes no more: the node's own front answers by then that it knows
/// nothing.
const ANSWER_WITHIN_US: Micros = 900_000;
/// How far orders of the past reach that are sent again.
const SENT_AGAIN_OF: u64 = 3;

impl World {
    /// The first configuration, and whatever follows it.
    pub fn first_order(&mut self) {
        let content = self.new_content(None);
        self.begin_order(1, 0, content, 0);
        self.after(0, OrderActivity::Begin.event());
        self.after(READ_EVERY_US, OrderActivity::Read.event());
    }

    pub(super) fn order_doing(&mut self, doing: OrderActivity) {
        match doing {
            OrderActivity::Begin => self.begin_orders(),
            OrderActivity::Send(order) => self.send_order(order),
            OrderActivity::Arrives(order, attempt, node) => {
                self.order_arrives(order, attempt, node)
            }
            OrderActivity::Answered(order, attempt) => {
                self.order_answered(order, attempt, OrderResponse::Unclear);
            }
            OrderActivity::Read => self.read_back(),
            OrderActivity::ReadArrives(read, node) => self.read_arrives(read, node),
            OrderActivity::ReadAnswered(_) => {}
        }
    }

    /// A control node answered an operator.
    pub(super) fn order_told(&mut self, doing: OrderActivity, outcome: OperatorOutcome) {
        let lost = self.workload.settings.lost_responses_percent;
        let loses_all = self.injected_bug == Some(InjectedBug::LoseResponses)
            && self.workload.orders.newest > 0;
        if loses_all || (lost > 0 && self.draw(0..100) < lost) {
            return;
        }
        match doing {
            OrderActivity::Answered(order, attempt) => {
                let requested_at = self.history.orders[order].attempts[attempt].requested_at;
                if self.time < requested_at + ANSWER_WITHIN_US {
                    let answer = self.spoiled(attempt, answer_of(&outcome));
                    self.order_answered(order, attempt, answer);
                }
            }
            OrderActivity::ReadAnswered(read) => self.read_told(read, outcome),
            _ => {}
        }
    }

    /// An answer as the planted bug would have it.
    fn spoiled(&self, attempt: usize, answer: OrderResponse) -> OrderResponse {
        use OrderResponse::{Acknowledged, Refused};
        match (self.injected_bug, answer) {
            (Some(InjectedBug::AcknowledgeAll), Refused) => Acknowledged,
            (Some(InjectedBug::RefuseResent), Acknowledged) if attempt > 0 => Refused,
            (Some(InjectedBug::RefuseApplied), Acknowledged) if attempt == 0 => Refused,
            _ => answer,
        }
    }

    fn begin_orders(&mut self) {
        let every = self.workload.settings.order_interval_ms.max(1) * 1_000;
        let next = every / 2 + self.draw(0..every);
        self.after(next, OrderActivity::Begin.event());
        let open = self.workload.orders.standings.iter().filter(|s| **s == Standing::Open).count();
        let room = self.workload.settings.max_open_orders.saturating_sub(open);
        let base = self.workload.orders.newest;
        if !self.workload.settings.is_active || base == 0 || room == 0 {
            return;
        }
        match self.draw(0..10) {
            0 | 1 => self.order_on(base, None),
            2 | 3 => self.order_in_part(base),
            4 | 5 => {
                // Two operators under one number.
                let number = self.next_number(base);
                self.order_numbered(number, base, 0);
                let after = self.draw(0..3_000);
                self.order_numbered(number, base, after);
            }
            6 => {
                let many = self.draw(2..9).min(room as u64);
                (0..many).for_each(|_| self.order_on(base, None));
            }
            7 => {
                let fault = Fault::ALL[self.draw(0..Fault::ALL.len() as u64) as usize];
                self.order_on(base, Some(fault));
            }
            8 => self.order_in_turn(base),
            _ => self.send_again(),
        }
    }

    /// An order that says only what it changes of the configuration that an operator knows under
    /// that number; a whole one where none does. Now and then two operators race with such orders.
    fn order_in_part(&mut self, base: u64) {
        let Some(before) = self.known_source(base) else { return self.order_on(base, None) };
        for _ in 0..=self.draw(0..2) {
            let number = self.next_number(base);
            let after = self.draw(0..3_000);
            if let Some(content) = self.changed_content(&before) {
                self.begin_order(number, base, content, after);
            }
        }
    }

    /// What was acknowledged or read back under a number.
    fn known_source(&self, number: u64) -> Option<bytes::Bytes> {
        let numbered = || self.history.orders.iter().filter(|order| order.number == number);
        let acknowledged = numbered().find(|o| o.first(OrderResponse::Acknowledged).is_some());
        let was_read = |source: &bytes::Bytes| {
            let told = self.history.read_backs.iter().filter_map(|read| read.outcome.as_ref());
            told.into_iter().any(|(_, told)| *told == ReadBackOutcome::Given(source.clone()))
        };
        let known = acknowledged.or_else(|| numbered().find(|order| was_read(&order.source)));
        known.map(|order| order.source.clone())
    }

    /// Two orders of which one builds on the other, which may still be under way.
    fn order_in_turn(&mut self, base: u64) {
        let number = self.next_number(base);
        self.order_numbered(number, base, 0);
        let next = self.next_number(number);
        let after = self.draw(0..30_000);
        self.order_numbered(next, number, after);
    }

    fn next_number(&mut self, base: u64) -> u64 {
        base + self.draw(1..9)
    }

    fn order_on(&mut self, base: u64, fault: Option<Fault>) {
        let number = match fault {
            Some(Fault::NumberNotAbove) => base - self.draw(0..base),
            _ => self.next_number(base),
        };
        let content = self.new_content(fault);
        self.begin_order(number, base, content, 0);
    }

    fn order_numbered(&mut self, number: u64, base: u64, after: Micros) {
        let content = self.new_content(None);
        self.begin_order(number, base, content, after);
    }

    fn begin_order(&mut self, number: u64, base: u64, content: contents::Content, after: Micros) {
        let order = self.history.orders.len();
        self.history.orders.push(OrderRecord {
            number,
            base,
            source: content.source,
            fingerprint: content.fingerprint,
            patch: content.patch,
            attempts: Vec::new(),
        });
        self.workload.orders.standings.push(Standing::Open);
        self.after(after, OrderActivity::Send(order).event());
    }

    /// Sends an order again that was acknowledged, the newest or any before it.
    fn send_again(&mut self) {
        let acknowledged: Vec<usize> = (0..self.history.orders.len())
            .filter(|order| {
                let is_closed = self.workload.orders.standings[*order] == Standing::Closed;
                let seen = &self.history.orders[*order];
                is_closed && seen.first(OrderResponse::Acknowledged).is_some()
            })
            .collect();
        let Some(newest) = acknowledged.last().copied() else { return };
        let order = match self.draw(0..SENT_AGAIN_OF) {
            0 => acknowledged[self.draw(0..acknowledged.len() as u64) as usize],
            _ => newest,
        };
        self.workload.orders.standings[order] = Standing::Open;
        self.after(0, OrderActivity::Send(order).event());
    }

    fn order_answered(&mut self, order: usize, attempt: usize, answer: OrderResponse) {
        let time = self.time;
        let seen = &mut self.history.orders[order];
        let number = seen.number;
        let known = &mut seen.attempts[attempt].response;
        if known.is_some() {
            return;
        }
        *known = Some((time, answer));
        match answer {
            OrderResponse::Unclear => self.send_later(order),
            OrderResponse::Refused => self.workload.orders.standings[order] = Standing::Closed,
            OrderResponse::Acknowledged => {
                self.workload.orders.standings[order] = Standing::Closed;
                self.saw_newest(number);
            }
        }
    }

    fn saw_newest(&mut self, number: u64) {
        let newest = &mut self.workload.orders.newest;
        *newest = number.max(*newest);
    }

    fn read_back(&mut self) {
        self.after(READ_EVERY_US, OrderActivity::Read.event());
        let Some(node) = self.draw_node(NodeKind::Control) else { return };
        let read = self.history.read_backs.len();
        let (name, requested_at) = (self.nodes[node.0].name.clone(), self.time);
        self.history.read_backs.push(ReadBackRecord { node: name, requested_at, outcome: None });
        let way = self.way();
        self.after(way, OrderActivity::ReadArrives(read, node).event());
    }

    fn read_arrives(&mut self, read: usize, node: NodeIndex) {
        if self.defer_if_frozen(node, || OrderActivity::ReadArrives(read, node).event()) {
            return;
        }
        if self.nodes[node.0].is_running() {
            let caller =
                Caller::Activity(Activity::Configuration(OrderActivity::ReadAnswered(read)));
            self.call_control(node, OperatorRequest::Query(Query::ReadSource), caller);
        }
    }

    fn read_told(&mut self, read: usize, outcome: OperatorOutcome) {
        let time = self.time;
        let read_back = match outcome {
            OperatorOutcome::Done(source) => ReadBackOutcome::Given(source.into()),
            OperatorOutcome::Refused(error) if error.code == Code::NotFound => {
                ReadBackOutcome::Missing
            }
            OperatorOutcome::Refused(_) => ReadBackOutcome::Unclear,
        };
        let read_back = match (self.injected_bug, read_back) {
            (Some(InjectedBug::ReadFirstConfiguration), ReadBackOutcome::Given(_)) => {
                ReadBackOutcome::Given(self.history.orders[0].source.clone())
            }
            (_, read_back) => read_back,
        };
        if let ReadBackOutcome::Given(source) = &read_back {
            let found = self.history.orders.iter().find(|order| order.source == *source);
            let number = found.map_or(0, |order| order.number);
            self.saw_newest(number);
        }
        self.history.read_backs[read].outcome = Some((time, read_back));
    }
}

fn answer_of(outcome: &OperatorOutcome) -> OrderResponse {
    match outcome {
        OperatorOutcome::Done(_) => OrderResponse::Acknowledged,
        OperatorOutcome::Refused(error) => match error.code.status() {
            408 | 429 | 500.. => OrderResponse::Unclear,
            _ => OrderResponse::Refused,
        },
    }
}
