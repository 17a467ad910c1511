//! Sending of orders: to any node on the operator's list, again after a failure or a second without
//! response, with a growing retry delay.

use super::{OrderActivity, OrderStatus};
use crate::history::{Micros, OrderAttempt, OrderRecord, OrderResponse};
use crate::workload::Activity;
use crate::world::{Caller, InjectedBug, NodeIndex, NodeKind, World};
use topazyard_types::ConfigurationVersion;
use topazyard_wire::message::operate::{Command, OperatorRequest, SourcePatch};

/// The time without response after which an operator tries another node.
const ATTEMPT_TIMEOUT_US: Micros = 1_000_000;
/// The delay that doubles with each attempt to send an order.
const BASE_RETRY_DELAY_US: Micros = 50_000;
/// The maximum delay between two attempts, before jitter.
const MAX_RETRY_DELAY_US: Micros = 800_000;

impl World {
    /// Sends an order to any control node on the list, which still contains nodes that have just
    /// stopped.
    pub(super) fn send_order(&mut self, order: usize) {
        if self.workload.orders.statuses[order] == OrderStatus::Closed {
            return;
        }
        let Some(node) = self.draw_listed_control() else { return };
        let attempt = self.history.orders[order].attempts.len();
        let (name, requested_at) = (self.nodes[node.0].name.clone(), self.time);
        let sent = OrderAttempt { node: name, requested_at, response: None };
        self.history.orders[order].attempts.push(sent);
        let delay = self.network_delay();
        self.schedule_after(delay, OrderActivity::Arrives(order, attempt, node).event());
        self.schedule_after(ATTEMPT_TIMEOUT_US, OrderActivity::AttemptDone(order, attempt).event());
    }

    fn draw_listed_control(&mut self) -> Option<NodeIndex> {
        let listed: Vec<usize> = (0..self.nodes.len())
            .filter(|index| {
                let node = &self.nodes[*index];
                node.kind == NodeKind::Control && !node.is_replaced()
            })
            .collect();
        let index = self.draw(0..listed.len().max(1) as u64) as usize;
        listed.get(index).map(|index| NodeIndex(*index))
    }

    pub(super) fn order_arrives(&mut self, order: usize, attempt: usize, node: NodeIndex) {
        let arrival = OrderActivity::Arrives(order, attempt, node);
        // A request in the socket of a frozen process is read when the process wakes.
        if self.defer_if_frozen(node, || arrival.event()) {
            return;
        }
        if !self.nodes[node.0].is_running() {
            self.record_response(order, attempt, OrderResponse::Unclear);
            return;
        }
        if self.injected_bug == Some(InjectedBug::RefuseWithoutCause) && attempt == 0 && order > 0 {
            self.record_response(order, attempt, OrderResponse::Refused);
            return;
        }
        let record = &self.history.orders[order];
        let command = order_command(record);
        let caller = Caller::Activity(Activity::Order(OrderActivity::AttemptDone(order, attempt)));
        self.call_control(node, OperatorRequest::Command(command), caller);
    }

    pub(super) fn schedule_resend(&mut self, order: usize) {
        let sent = self.history.orders[order].attempts.len().min(8) as u32;
        let retry_delay = (BASE_RETRY_DELAY_US << sent).min(MAX_RETRY_DELAY_US);
        let retry_delay = retry_delay / 2 + self.draw(0..retry_delay);
        self.schedule_after(retry_delay, OrderActivity::Send(order).event());
    }
}

/// The maximum size of a configuration that a patch may produce, in bytes.
const MAX_SOURCE_BYTES: u64 = 4 * 1024 * 1024;

/// The command of an order.
fn order_command(order: &OrderRecord) -> Command {
    let (base, version) = (ConfigurationVersion(order.base), ConfigurationVersion(order.number));
    match &order.patch {
        None => Command::ApplyConfiguration {
            base,
            version,
            text: String::from_utf8_lossy(&order.source).into_owned(),
            source: order.source.clone(),
        },
        // The source that is read back is the configuration itself, so the same patch applies to
        // both.
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
