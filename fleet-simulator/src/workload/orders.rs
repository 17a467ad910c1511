//! Operators with numbered configurations, each applied in one step: they race, resend an order
//! unchanged to any node until they get a definite answer, and read back what is in force.

mod contents;
mod sending;

use super::Activity;
use crate::history::{Micros, OrderRecord, OrderResponse, ReadBackOutcome, ReadBackRecord};
use crate::world::{Caller, Event, InjectedBug, NodeIndex, NodeKind, World};
use contents::Defect;
pub(crate) use contents::fingerprint;
use topazyard_wire::api::Code;
use topazyard_wire::message::operate::{OperatorOutcome, OperatorRequest, Query};

/// An activity of an operator with numbered configurations.
#[derive(Debug, Clone, Copy)]
pub enum OrderActivity {
    /// Start the next orders; repeats.
    Begin,
    /// Send an order to a node.
    Send(usize),
    /// An attempt to send an order arrives at a node.
    Arrives(usize, usize, NodeIndex),
    /// An attempt to send an order timed out, or got a response.
    Answered(usize, usize),
    /// Read back the configuration in force; repeats.
    Read,
    /// A read-back arrives at a node.
    ReadArrives(usize, NodeIndex),
    /// A read-back is answered.
    ReadAnswered(usize),
}

impl OrderActivity {
    pub(super) fn event(self) -> Event {
        Event::Activity(Activity::Order(self))
    }
}

/// The status of an order at its operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderStatus {
    /// It is sent again until its answer is definite.
    Open,
    /// Its answer was definite.
    Closed,
}

/// The orders of all operators.
#[derive(Debug, Default)]
pub(super) struct Orders {
    statuses: Vec<OrderStatus>,
    /// The newest number that an operator got acknowledged or read back.
    newest: u64,
}

/// The interval at which the configuration in force is read back.
const READ_BACK_INTERVAL_US: Micros = 250_000;
/// How long a response is accepted after an attempt: by then the node's own HTTP front end responds
/// that the outcome is unknown.
const RESPONSE_TIMEOUT_US: Micros = 900_000;
/// One in this many resent orders is any acknowledged one; the others are the newest one.
const RESEND_OLD_ONE_IN: u64 = 3;

impl World {
    /// Submits the first configuration and starts the orders and read-backs that follow.
    pub fn first_order(&mut self) {
        let content = self.new_content(None);
        self.start_order(1, 0, content, 0);
        self.schedule_after(0, OrderActivity::Begin.event());
        self.schedule_after(READ_BACK_INTERVAL_US, OrderActivity::Read.event());
    }

    pub(super) fn perform_order(&mut self, activity: OrderActivity) {
        match activity {
            OrderActivity::Begin => self.start_next_orders(),
            OrderActivity::Send(order) => self.send_order(order),
            OrderActivity::Arrives(order, attempt, node) => {
                self.order_arrives(order, attempt, node)
            }
            OrderActivity::Answered(order, attempt) => {
                self.record_answer(order, attempt, OrderResponse::Unclear);
            }
            OrderActivity::Read => self.read_back(),
            OrderActivity::ReadArrives(read, node) => self.read_arrives(read, node),
            OrderActivity::ReadAnswered(_) => {}
        }
    }

    /// Handles the response of a control node to an operator.
    pub(super) fn order_response(&mut self, activity: OrderActivity, outcome: OperatorOutcome) {
        let lost_percent = self.workload.settings.lost_responses_percent;
        let loses_all = self.injected_bug == Some(InjectedBug::LoseResponses)
            && self.workload.orders.newest > 0;
        if loses_all || (lost_percent > 0 && self.draw(0..100) < lost_percent) {
            return;
        }
        match activity {
            OrderActivity::Answered(order, attempt) => {
                let requested_at = self.history.orders[order].attempts[attempt].requested_at;
                if self.time < requested_at + RESPONSE_TIMEOUT_US {
                    let answer = self.altered_answer(attempt, answer_of(&outcome));
                    self.record_answer(order, attempt, answer);
                }
            }
            OrderActivity::ReadAnswered(read) => self.read_back_response(read, outcome),
            _ => {}
        }
    }

    /// An answer as the injected bug would alter it.
    fn altered_answer(&self, attempt: usize, answer: OrderResponse) -> OrderResponse {
        use OrderResponse::{Acknowledged, Refused};
        match (self.injected_bug, answer) {
            (Some(InjectedBug::AcknowledgeAll), Refused) => Acknowledged,
            (Some(InjectedBug::RefuseResent), Acknowledged) if attempt > 0 => Refused,
            (Some(InjectedBug::RefuseApplied), Acknowledged) if attempt == 0 => Refused,
            _ => answer,
        }
    }

    fn start_next_orders(&mut self) {
        let interval_us = self.workload.settings.order_interval_ms.max(1) * 1_000;
        let next = interval_us / 2 + self.draw(0..interval_us);
        self.schedule_after(next, OrderActivity::Begin.event());
        let open =
            self.workload.orders.statuses.iter().filter(|s| **s == OrderStatus::Open).count();
        let free_slots = self.workload.settings.max_open_orders.saturating_sub(open);
        let base = self.workload.orders.newest;
        if !self.workload.settings.is_active || base == 0 || free_slots == 0 {
            return;
        }
        match self.draw(0..10) {
            0 | 1 => self.start_order_on(base, None),
            2 | 3 => self.start_patch_orders(base),
            4 | 5 => {
                // Two operators with the same number.
                let number = self.next_number(base);
                self.start_numbered_order(number, base, 0);
                let after = self.draw(0..3_000);
                self.start_numbered_order(number, base, after);
            }
            6 => {
                let count = self.draw(2..9).min(free_slots as u64);
                (0..count).for_each(|_| self.start_order_on(base, None));
            }
            7 => {
                let defect = Defect::ALL[self.draw(0..Defect::ALL.len() as u64) as usize];
                self.start_order_on(base, Some(defect));
            }
            8 => self.start_order_chain(base),
            _ => self.resend_acknowledged(),
        }
    }

    /// Starts an order that contains only the changes to the configuration with number `base`, or a
    /// complete one if no operator knows the base. Sometimes two operators race with such orders.
    fn start_patch_orders(&mut self, base: u64) {
        let Some(before) = self.known_source(base) else { return self.start_order_on(base, None) };
        for _ in 0..=self.draw(0..2) {
            let number = self.next_number(base);
            let after = self.draw(0..3_000);
            if let Some(content) = self.patched_content(&before) {
                self.start_order(number, base, content, after);
            }
        }
    }

    /// The source that was acknowledged or read back with a number.
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

    /// Starts two orders of which the second builds on the first, which may not be applied yet.
    fn start_order_chain(&mut self, base: u64) {
        let number = self.next_number(base);
        self.start_numbered_order(number, base, 0);
        let next = self.next_number(number);
        let after = self.draw(0..30_000);
        self.start_numbered_order(next, number, after);
    }

    fn next_number(&mut self, base: u64) -> u64 {
        base + self.draw(1..9)
    }

    fn start_order_on(&mut self, base: u64, defect: Option<Defect>) {
        let number = match defect {
            Some(Defect::NumberNotAbove) => base - self.draw(0..base),
            _ => self.next_number(base),
        };
        let content = self.new_content(defect);
        self.start_order(number, base, content, 0);
    }

    fn start_numbered_order(&mut self, number: u64, base: u64, after: Micros) {
        let content = self.new_content(None);
        self.start_order(number, base, content, after);
    }

    fn start_order(&mut self, number: u64, base: u64, content: contents::Content, after: Micros) {
        let order = self.history.orders.len();
        self.history.orders.push(OrderRecord {
            number,
            base,
            source: content.source,
            fingerprint: content.fingerprint,
            patch: content.patch,
            attempts: Vec::new(),
        });
        self.workload.orders.statuses.push(OrderStatus::Open);
        self.schedule_after(after, OrderActivity::Send(order).event());
    }

    /// Resends an acknowledged order, the newest or any other.
    fn resend_acknowledged(&mut self) {
        let acknowledged: Vec<usize> = (0..self.history.orders.len())
            .filter(|order| {
                let is_closed = self.workload.orders.statuses[*order] == OrderStatus::Closed;
                let seen = &self.history.orders[*order];
                is_closed && seen.first(OrderResponse::Acknowledged).is_some()
            })
            .collect();
        let Some(newest) = acknowledged.last().copied() else { return };
        let order = match self.draw(0..RESEND_OLD_ONE_IN) {
            0 => acknowledged[self.draw(0..acknowledged.len() as u64) as usize],
            _ => newest,
        };
        self.workload.orders.statuses[order] = OrderStatus::Open;
        self.schedule_after(0, OrderActivity::Send(order).event());
    }

    fn record_answer(&mut self, order: usize, attempt: usize, answer: OrderResponse) {
        let time = self.time;
        let seen = &mut self.history.orders[order];
        let number = seen.number;
        let known = &mut seen.attempts[attempt].response;
        if known.is_some() {
            return;
        }
        *known = Some((time, answer));
        match answer {
            OrderResponse::Unclear => self.schedule_resend(order),
            OrderResponse::Refused => self.workload.orders.statuses[order] = OrderStatus::Closed,
            OrderResponse::Acknowledged => {
                self.workload.orders.statuses[order] = OrderStatus::Closed;
                self.observe_number(number);
            }
        }
    }

    fn observe_number(&mut self, number: u64) {
        let newest = &mut self.workload.orders.newest;
        *newest = number.max(*newest);
    }

    fn read_back(&mut self) {
        self.schedule_after(READ_BACK_INTERVAL_US, OrderActivity::Read.event());
        let Some(node) = self.draw_node(NodeKind::Control) else { return };
        let read = self.history.read_backs.len();
        let (name, requested_at) = (self.nodes[node.0].name.clone(), self.time);
        self.history.read_backs.push(ReadBackRecord { node: name, requested_at, outcome: None });
        let delay = self.network_delay();
        self.schedule_after(delay, OrderActivity::ReadArrives(read, node).event());
    }

    fn read_arrives(&mut self, read: usize, node: NodeIndex) {
        if self.defer_if_frozen(node, || OrderActivity::ReadArrives(read, node).event()) {
            return;
        }
        if self.nodes[node.0].is_running() {
            let caller = Caller::Activity(Activity::Order(OrderActivity::ReadAnswered(read)));
            self.call_control(node, OperatorRequest::Query(Query::ReadSource), caller);
        }
    }

    fn read_back_response(&mut self, read: usize, outcome: OperatorOutcome) {
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
            self.observe_number(number);
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
