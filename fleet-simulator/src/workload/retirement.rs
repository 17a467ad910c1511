//! Operators who have a storage node retired, and take it away once that is done.

use super::Activity;
use crate::history::Micros;
use crate::world::{Caller, Event, NodeIndex, NodeKind, World};
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest, Query};

/// How often it is asked for and after.
const ASK_EVERY_US: Micros = 500_000;

impl World {
    /// Asks for it, again and again until it is acknowledged.
    pub(super) fn retire(&mut self, node: NodeIndex) {
        if self.workload.retiring.contains(&node) {
            return;
        }
        self.after(ASK_EVERY_US, Event::Activity(Activity::Retire(node)));
        let command = Command::RetireNamed(self.name_in_fleet(node));
        self.ask_of_retirement(OperatorRequest::Command(command), Activity::RetireAnswered(node));
    }

    pub(super) fn retire_told(&mut self, node: NodeIndex, outcome: &OperatorOutcome) {
        if matches!(outcome, OperatorOutcome::Done(_)) && self.workload.retiring.insert(node) {
            self.after(0, Event::Activity(Activity::AskRetired(node)));
        }
    }

    /// Asks whether it is done, again and again until it is.
    pub(super) fn ask_retired(&mut self, node: NodeIndex) {
        if self.nodes[node.0].is_replaced() {
            return;
        }
        self.after(ASK_EVERY_US, Event::Activity(Activity::AskRetired(node)));
        let query = Query::Retirement(self.name_in_fleet(node));
        self.ask_of_retirement(OperatorRequest::Query(query), Activity::RetiredAnswered(node));
    }

    pub(super) fn retired_told(&mut self, node: NodeIndex, outcome: &OperatorOutcome) {
        let is_done = matches!(outcome, OperatorOutcome::Done(text) if text.contains("completed"));
        if is_done && !self.nodes[node.0].is_replaced() {
            self.remove(node);
        }
    }

    fn name_in_fleet(&self, node: NodeIndex) -> String {
        format!("node-{}", self.nodes[node.0].id)
    }

    fn ask_of_retirement(&mut self, request: OperatorRequest, doing: Activity) {
        if let Some(control) = self.draw_node(NodeKind::Control) {
            self.call_control(control, request, Caller::Activity(doing));
        }
    }
}
