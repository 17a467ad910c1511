//! How an order travels: to any node that the operator's list names, again after a failure or a
//! second of silence, with a pause that grows.

use super::{OrderActivity, Standing};
use crate::history::{Micros, OrderAttempt, OrderRecord, OrderResponse};
use crate::workload::Activity;
use crate::world::{Caller, InjectedBug, NodeIndex, NodeKind, World};
use topazyard_types::ConfigurationVersion;
use topazyard_wire::message::operate::{Command, OperatorRequest, SourcePatch};

/// After how long without an answer an operator goes on to another node.
const SILENCE_US: Micros = 1_000_000;
/// The pause before an order is sent again; it doubles with each sending.
const PAUSE_US: Micros = 50_000;
/// The longest pause.
const LONGEST_PAUSE_US: Micros = 800_000;

impl World {
    /// Sends an order to any control node on the list: ones that just went still stand there.
    pub(super) fn send_order(&mut self, order: usize) {
        if self.workload.orders.standings[order] == Standing::Closed {
            return;
        }
        let Some(node) = self.draw_listed_control() else { return };
        let attempt = self.history.orders[order].attempts.len();
        let (name, requested_at) = (self.nodes[node.0].name.clone(), self.time);
        let sent = OrderAttempt { node: name, requested_at, response: None };
        self.history.orders[order].attempts.push(sent);
        let way = self.way();
        self.after(way, OrderActivity::Arrives(order, attempt, node).event());
        self.after(SILENCE_US, OrderActivity::Answered(order, attempt).event());
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
        let again = OrderActivity::Arrives(order, attempt, node);
        // What lies in a frozen process's socket is taken when it wakes.
        if self.defer_if_frozen(node, || again.event()) {
            return;
        }
        if !self.nodes[node.0].is_running() {
            self.order_answered(order, attempt, OrderResponse::Unclear);
            return;
        }
        if self.injected_bug == Some(InjectedBug::RefuseWithoutCause) && attempt == 0 && order > 0 {
            self.order_answered(order, attempt, OrderResponse::Refused);
            return;
        }
        let seen = &self.history.orders[order];
        let command = command_of(seen);
        let caller =
            Caller::Activity(Activity::Configuration(OrderActivity::Answered(order, attempt)));
        self.call_control(node, OperatorRequest::Command(command), caller);
    }

    pub(super) fn send_later(&mut self, order: usize) {
        let sent = self.history.orders[order].attempts.len().min(8) as u32;
        let pause = (PAUSE_US << sent).min(LONGEST_PAUSE_US);
        let pause = pause / 2 + self.draw(0..pause);
        self.after(pause, OrderActivity::Send(order).event());
    }
}

/// The largest configuration that an operator's order may make, in bytes.
const MOST_SOURCE_BYTES: u64 = 4 * 1024 * 1024;

/// What an order asks of control.
fn command_of(order: &OrderRecord) -> Command {
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
                max_bytes: MOST_SOURCE_BYTES,
            },
        },
    }
}
