//! Operators with numbered configurations, each applied in one step: they race, resend an order
//! unchanged to any node until they get a definite response, and read back what is in force.

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
    StartNext,
    /// Send an order to a node.
    Send(usize),
    /// An attempt to send an order arrives at a node.
    Arrives(usize, usize, NodeIndex),
    /// An attempt to send an order timed out, or got a response.
    AttemptDone(usize, usize),
    /// Read back the configuration in force; repeats.
    ReadBack,
    /// A read-back arrives at a node.
    ReadBackArrives(usize, NodeIndex),
    /// A read-back got a response.
    ReadBackDone(usize),
}

impl OrderActivity {
    pub(super) fn event(self) -> Event {
        Event::Activity(Activity::Order(self))
    }
}

/// The status of an order at its operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderStatus {
    /// It is sent again until it gets a definite response.
    Open,
    /// It got a definite response.
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
        self.schedule_after(0, OrderActivity::StartNext.event());
        self.schedule_after(READ_BACK_INTERVAL_US, OrderActivity::ReadBack.event());
    }

    pub(super) fn perform_order(&mut self, activity: OrderActivity) {
        match activity {
            OrderActivity::StartNext => self.start_next_orders(),
            OrderActivity::Send(order) => self.send_order(order),
            OrderActivity::Arrives(order, attempt, node) => {
                self.order_arrives(order, attempt, node)
            }
            OrderActivity::AttemptDone(order, attempt) => {
                self.record_response(order, attempt, OrderResponse::Unclear);
            }
            OrderActivity::ReadBack => self.read_back(),
            OrderActivity::ReadBackArrives(read, node) => self.read_back_arrives(read, node),
            OrderActivity::ReadBackDone(_) => {}
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
            OrderActivity::AttemptDone(order, attempt) => {
                let requested_at = self.history.orders[order].attempts[attempt].requested_at;
                if self.time < requested_at + RESPONSE_TIMEOUT_US {
                    let response = self.altered_response(attempt, response_of(&outcome));
                    self.record_response(order, attempt, response);
                }
            }
            OrderActivity::ReadBackDone(read) => self.read_back_response(read, outcome),
            _ => {}
        }
    }

    /// A response as the injected bug would alter it.
    fn altered_response(&self, attempt: usize, response: OrderResponse) -> OrderResponse {
        use OrderResponse::{Acknowledged, Refused};
        match (self.injected_bug, response) {
            (Some(InjectedBug::AcknowledgeAll), Refused) => Acknowledged,
            (Some(InjectedBug::RefuseResent), Acknowledged) if attempt > 0 => Refused,
            (Some(InjectedBug::RefuseApplied), Acknowledged) if attempt == 0 => Refused,
            _ => response,
        }
    }

    fn start_next_orders(&mut self) {
        let interval_us = self.workload.settings.order_interval_ms.max(1) * 1_000;
        let next = interval_us / 2 + self.draw(0..interval_us);
        self.schedule_after(next, OrderActivity::StartNext.event());
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
            let outcomes = self.history.read_backs.iter().filter_map(|read| read.outcome.as_ref());
            outcomes
                .into_iter()
                .any(|(_, outcome)| *outcome == ReadBackOutcome::Given(source.clone()))
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
                let record = &self.history.orders[*order];
                is_closed && record.first(OrderResponse::Acknowledged).is_some()
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

    fn record_response(&mut self, order: usize, attempt: usize, response: OrderResponse) {
        let time = self.time;
        let record = &mut self.history.orders[order];
        let number = record.number;
        let known = &mut record.attempts[attempt].response;
        if known.is_some() {
            return;
        }
        *known = Some((time, response));
        match response {
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
        self.schedule_after(READ_BACK_INTERVAL_US, OrderActivity::ReadBack.event());
        let Some(node) = self.draw_node(NodeKind::Control) else { return };
        let read = self.history.read_backs.len();
        let (name, requested_at) = (self.nodes[node.0].name.clone(), self.time);
        self.history.read_backs.push(ReadBackRecord { node: name, requested_at, outcome: None });
        let delay = self.network_delay();
        self.schedule_after(delay, OrderActivity::ReadBackArrives(read, node).event());
    }

    fn read_back_arrives(&mut self, read: usize, node: NodeIndex) {
        if self.defer_if_frozen(node, || OrderActivity::ReadBackArrives(read, node).event()) {
            return;
        }
        if self.nodes[node.0].is_running() {
            let caller = Caller::Activity(Activity::Order(OrderActivity::ReadBackDone(read)));
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

fn response_of(outcome: &OperatorOutcome) -> OrderResponse {
    match outcome {
        OperatorOutcome::Done(_) => OrderResponse::Acknowledged,
        OperatorOutcome::Refused(error) => match error.code.status() {
            408 | 429 | 500.. => OrderResponse::Unclear,
            _ => OrderResponse::Refused,
        },
    }
}
