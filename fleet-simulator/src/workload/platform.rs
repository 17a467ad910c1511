//! The platform: which engines there are, and which relays are ready.

use super::Activity;
use crate::history::EngineListRecord;
use crate::world::{Caller, Event, NodeIndex, NodeKind, World};
use topazyard_relay::{RelayCall, RelayResponse};
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest};

impl World {
    pub(super) fn ask_ready(&mut self) {
        self.after(500_000, Event::Activity(Activity::AskReady));
        for at in 0..self.nodes.len() {
            let relay = NodeIndex(at);
            let node = &self.nodes[at];
            if node.kind != NodeKind::Relay {
                continue;
            }
            let awake = node.frozen_until.is_none_or(|until| until <= self.time);
            if node.is_running() && awake {
                self.call_relay(relay, RelayCall::Ready, Caller::Activity(Activity::Ready(relay)));
            } else {
                self.workload.ready.remove(&relay);
            }
        }
    }

    pub(super) fn ready_told(&mut self, relay: NodeIndex, value: &RelayResponse) {
        if matches!(value, RelayResponse::Done) {
            self.workload.ready.insert(relay);
        } else {
            self.workload.ready.remove(&relay);
        }
    }

    /// Lists the engines anew, with these ready and all others leaving.
    pub fn list_engines(&mut self) {
        let ready = self.workload.listed_ready.clone();
        let seen = EngineListRecord { sent: self.time, acknowledged: None, ready };
        self.history.engine_lists.push(seen);
        self.after(0, Event::Activity(Activity::PutEngines));
    }

    pub(super) fn put_engines(&mut self) {
        let Some(list) = self.history.engine_lists.len().checked_sub(1) else { return };
        if self.history.engine_lists[list].acknowledged.is_some() {
            return;
        }
        self.after(1_000_000, Event::Activity(Activity::PutEngines));
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
        self.call_control(control, request, Caller::Activity(Activity::EnginesSent(list)));
    }

    pub(super) fn engines_told(&mut self, list: usize, outcome: &OperatorOutcome) {
        if matches!(outcome, OperatorOutcome::Done(_)) {
            let time = self.time;
            self.history.engine_lists[list].acknowledged.get_or_insert(time);
        }
    }
}
