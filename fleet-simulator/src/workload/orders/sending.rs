//! How an order travels: to any node that the operator's list names, again after a failure or a
//! second of silence, with a pause that grows.

use super::{OrderActivity, OrderStatus};
use crate::history::{OrderAnswer, OrderAttempt, OrderSeen, Us};
use crate::workload::Activity;
use crate::world::{Caller, InjectedBug, NodeIndex, NodeKind, World};
use topazyard_types::ConfigurationVersion;
use topazyard_wire::message::operate::{Command, OperatorRequest, SourcePatch};

/// After how long without an answer an operator goes on to another node.
const ATTEMPT_TIMEOUT_US: Us = 1_000_000;
/// The pause before an order is sent again; it doubles with each sending.
const INITIAL_RETRY_DELAY_US: Us = 50_000;
/// The longest pause.
const MAX_RETRY_DELAY_US: Us = 800_000;

impl World {
    /// Sends an order to any control node on the list: ones that just went still stand there.
    pub(super) fn send_order(&mut self, order: usize) {
        if self.workload.orders.statuses[order] == OrderStatus::Closed {
            return;
        }
        let Some(node) = self.draw_listed_control() else { return };
        let attempt = self.history.orders[order].attempts.len();
        let (name, asked) = (self.nodes[node.0].name.clone(), self.time);
        let sent = OrderAttempt { node: name, asked, answer: None };
        self.history.orders[order].attempts.push(sent);
        let delay = self.network_delay();
        self.schedule_after(delay, OrderActivity::Arrives(order, attempt, node).event());
        self.schedule_after(ATTEMPT_TIMEOUT_US, OrderActivity::Answered(order, attempt).event());
    }

    fn draw_listed_control(&mut self) -> Option<NodeIndex> {
        let listed: Vec<usize> = (0..self.nodes.len())
            .filter(|at| {
                let node = &self.nodes[*at];
                node.kind == NodeKind::Control && !node.is_replaced()
            })
            .collect();
        let at = self.draw(0..listed.len().max(1) as u64) as usize;
        listed.get(at).map(|at| NodeIndex(*at))
    }

    pub(super) fn order_arrives(&mut self, order: usize, attempt: usize, node: NodeIndex) {
        let arrival = OrderActivity::Arrives(order, attempt, node);
        // What lies in a frozen process's socket is taken when it wakes.
        if self.defer_if_frozen(node, || arrival.event()) {
            return;
        }
        if !self.nodes[node.0].is_running() {
            self.record_answer(order, attempt, OrderAnswer::Unclear);
            return;
        }
        if self.injected_bug == Some(InjectedBug::RefuseWithoutCause) && attempt == 0 && order > 0 {
            self.record_answer(order, attempt, OrderAnswer::Refused);
            return;
        }
        let seen = &self.history.orders[order];
        let command = order_command(seen);
        let caller = Caller::Activity(Activity::Order(OrderActivity::Answered(order, attempt)));
        self.call_control(node, OperatorRequest::Command(command), caller);
    }

    pub(super) fn schedule_resend(&mut self, order: usize) {
        let sent = self.history.orders[order].attempts.len().min(8) as u32;
        let retry_delay = (INITIAL_RETRY_DELAY_US << sent).min(MAX_RETRY_DELAY_US);
        let retry_delay = retry_delay / 2 + self.draw(0..retry_delay);
        self.schedule_after(retry_delay, OrderActivity::Send(order).event());
    }
}

/// The largest configuration that an operator's order may make, in bytes.
const MAX_SOURCE_BYTES: u64 = 4 * 1024 * 1024;

/// What an order asks of control.
fn order_command(order: &OrderSeen) -> Command {
    let (base, version) = (ConfigurationVersion(order.base), ConfigurationVersion(order.number));
    match &order.patch {
        None => Command::ApplyConfiguration {
            base,
            version,
            text: String::from_utf8_lossy(&order.source).into_owned(),
            source: order.source.clone(),
        },
        // What is read back is the bundle itself, so both are changed alike.
        Some(patch) => Command::PatchConfiguration {
            base,
            version,
            patch: patch.clone(),
            source: SourcePatch {
                order: patch.clone().into(),
                patch: patch.clone(),
                max_bytes: MAX_SOURCE_BYTES,
            },
        },
    }
}
