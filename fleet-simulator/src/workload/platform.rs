//! The platform: it lists the engines and checks which relays are ready.

use super::Activity;
use crate::history::EngineListRecord;
use crate::world::{Caller, Event, NodeIndex, NodeKind, World};
use topazyard_relay::{RelayCall, RelayResponse};
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest};

impl World {
    pub(super) fn check_ready(&mut self) {
        self.schedule_after(500_000, Event::Activity(Activity::CheckReady));
        for index in 0..self.nodes.len() {
            let relay = NodeIndex(index);
            let node = &self.nodes[index];
            if node.kind != NodeKind::Relay {
                continue;
            }
            let is_awake = node.frozen_until.is_none_or(|until| until <= self.time);
            if node.is_running() && is_awake {
                self.call_relay(
                    relay,
                    RelayCall::Ready,
                    Caller::Activity(Activity::CheckReadyDone(relay)),
                );
            } else {
                self.workload.ready.remove(&relay);
            }
        }
    }

    pub(super) fn ready_response(&mut self, relay: NodeIndex, value: &RelayResponse) {
        if matches!(value, RelayResponse::Done) {
            self.workload.ready.insert(relay);
        } else {
            self.workload.ready.remove(&relay);
        }
    }

    /// Sends a new engine list, with `listed_ready` as ready and all other engines as leaving.
    pub fn list_engines(&mut self) {
        let ready = self.workload.listed_ready.clone();
        let record = EngineListRecord { sent: self.time, acknowledged: None, ready };
        self.history.engine_lists.push(record);
        self.schedule_after(0, Event::Activity(Activity::PutEngines));
    }

    pub(super) fn put_engines(&mut self) {
        let Some(list) = self.history.engine_lists.len().checked_sub(1) else { return };
        if self.history.engine_lists[list].acknowledged.is_some() {
            return;
        }
        self.schedule_after(1_000_000, Event::Activity(Activity::PutEngines));
        let Some(control) = self.draw_node(NodeKind::Control) else { return };
        let ready = &self.history.engine_lists[list].ready;
        let models: Vec<String> = (0..200).map(|n| format!("only-{n}")).collect();
        let models: Vec<&str> =
            ["m", "unmapped"].into_iter().chain(models.iter().map(String::as_str)).collect();
        let engines: Vec<serde_json::Value> = self
            .engines
            .iter()
            .map(|engine| {
                let state = if ready.contains(&engine.name) { "ready" } else { "leaving" };
                serde_json::json!({
                    "name": engine.name, "address": engine.address, "pool": "main",
                    "models": models, "state": state,
                })
            })
            .collect();
        let text = serde_json::json!({ "engines": engines }).to_string();
        let request = OperatorRequest::Command(Command::PutEngines { text });
        self.call_control(control, request, Caller::Activity(Activity::PutEnginesDone(list)));
    }

    pub(super) fn put_engines_response(&mut self, list: usize, outcome: &OperatorOutcome) {
        if matches!(outcome, OperatorOutcome::Done(_)) {
            let time = self.time;
            self.history.engine_lists[list].acknowledged.get_or_insert(time);
        }
    }
}
