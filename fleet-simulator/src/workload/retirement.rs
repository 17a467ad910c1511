//! Operators who request the retirement of a storage node and remove it once that is completed.

use super::Activity;
use crate::history::Micros;
use crate::world::{Caller, Event, NodeIndex, NodeKind, World};
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest, Query};

/// The interval at which the retirement is requested and its status is queried.
const POLL_INTERVAL_US: Micros = 500_000;

impl World {
    /// Requests the retirement of a storage node repeatedly until it is acknowledged.
    pub(super) fn retire(&mut self, node: NodeIndex) {
        if self.workload.retiring.contains(&node) {
            return;
        }
        self.schedule_after(POLL_INTERVAL_US, Event::Activity(Activity::Retire(node)));
        let command = Command::RetireNamed(self.member_name(node));
        self.call_any_control(OperatorRequest::Command(command), Activity::RetireDone(node));
    }

    pub(super) fn retire_response(&mut self, node: NodeIndex, outcome: &OperatorOutcome) {
        if matches!(outcome, OperatorOutcome::Done(_)) && self.workload.retiring.insert(node) {
            self.schedule_after(0, Event::Activity(Activity::CheckRetired(node)));
        }
    }

    /// Queries repeatedly whether the retirement is completed, until it is.
    pub(super) fn check_retired(&mut self, node: NodeIndex) {
        if self.nodes[node.0].is_replaced() {
            return;
        }
        self.schedule_after(POLL_INTERVAL_US, Event::Activity(Activity::CheckRetired(node)));
        let query = Query::Retirement(self.member_name(node));
        self.call_any_control(OperatorRequest::Query(query), Activity::CheckRetiredDone(node));
    }

    pub(super) fn retirement_response(&mut self, node: NodeIndex, outcome: &OperatorOutcome) {
        let is_done = matches!(outcome, OperatorOutcome::Done(text) if text.contains("completed"));
        if is_done && !self.nodes[node.0].is_replaced() {
            self.remove(node);
        }
    }

    fn member_name(&self, node: NodeIndex) -> String {
        format!("node-{}", self.nodes[node.0].id)
    }

    fn call_any_control(&mut self, request: OperatorRequest, activity: Activity) {
        if let Some(control) = self.draw_node(NodeKind::Control) {
            self.call_control(control, request, Caller::Activity(activity));
        }
    }
}
