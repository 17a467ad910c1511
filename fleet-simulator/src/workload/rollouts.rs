//! Operators who submit, sign off and roll out configurations, sometimes two at once, sometimes
//! invalid ones, and read back what is in force.

use super::Activity;
use crate::history::{ConfigurationRead, Micros, RolloutRecord};
use crate::world::{Caller, Event, NodeKind, World};
use topazyard_types::ConfigurationVersion;
use topazyard_wire::api::Execution;
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest, Query};

/// A step of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Query the newest version, to build on it.
    FindBase,
    /// Submit the configuration on this base version.
    Submit(u64),
    /// Sign off.
    SignOff,
    /// Roll out.
    RollOut,
    /// The configuration is in force, or was refused.
    Finished,
}

/// An operator who rolls out a configuration.
#[derive(Debug)]
pub(super) struct RolloutOperator {
    step: Step,
    serial: u64,
    requested_at: Option<Micros>,
    is_invalid: bool,
}

impl World {
    /// Starts the first rollout, before any load.
    pub fn first_rollout(&mut self) {
        self.start_rollout(false);
    }

    pub(super) fn next_rollout(&mut self) {
        let interval_s = self.workload.settings.rollout_interval_s;
        if self.has_orders() {
            return;
        }
        self.schedule_after(interval_s.max(1) * 1_000_000, Event::Activity(Activity::NextRollout));
        let all_finished =
            self.workload.rollouts.iter().all(|operator| operator.step == Step::Finished);
        if interval_s == 0 || !self.workload.settings.is_active || !all_finished {
            return;
        }
        match self.draw(0..4) {
            0 => self.start_rollout(true),
            1 => {
                // Two operators at once.
                self.start_rollout(false);
                self.start_rollout(false);
            }
            _ => self.start_rollout(false),
        }
    }

    fn start_rollout(&mut self, is_invalid: bool) {
        let number = self.history.rollouts.len();
        self.history.rollouts.push(RolloutRecord {
            version: None,
            ceiling: self.workload.settings.waiting_ceiling,
            model: format!("only-{number}"),
            refused: false,
            requested_at: None,
            acknowledged: None,
        });
        let operator =
            RolloutOperator { step: Step::FindBase, serial: 0, requested_at: None, is_invalid };
        self.workload.rollouts.push(operator);
        self.schedule_after(0, Event::Activity(Activity::ContinueRollout(number)));
    }

    fn rollout_text(&self, rollout: usize) -> String {
        let model = &self.history.rollouts[rollout].model;
        let pool = if self.workload.rollouts[rollout].is_invalid { "no such pool" } else { "main" };
        self.configuration_json(model, pool, &[]).to_string()
    }

    /// A configuration with a model route for `model`, the batch model route at the given pool, and
    /// the given routes.
    pub(super) fn configuration_json(
        &self,
        model: &str,
        pool: &str,
        routes: &[serde_json::Value],
    ) -> serde_json::Value {
        let settings = &self.workload.settings;
        let mut lanes = vec![
            serde_json::json!({"name": "live", "kind": "live", "models": ["m"], "pool": "main"}),
            serde_json::json!({"name": "batch", "kind": "batch", "models": ["m"], "pool": pool}),
            serde_json::json!({"name": model, "kind": "live", "models": [model], "pool": "main"}),
        ];
        for lane in 0..settings.extra_model_routes {
            lanes.push(serde_json::json!({
                "name": format!("more-{lane}"), "kind": "live",
                "models": [format!("more-{lane}")], "pool": "main",
            }));
        }
        serde_json::json!({
            "pools": [{"name": "main", "limit_tokens": settings.limit_tokens}],
            "lanes": lanes,
            "routes": routes,
            "batches": {
                "waiting_ceiling_tokens": settings.waiting_ceiling,
                "max_items": 1000, "max_item_bytes": 65536,
            },
            "weights": {
                "live_floor_percent": settings.live_percents.0,
                "live_start_percent": settings.live_percents.1,
                "live_ceiling_percent": settings.live_percents.2,
            },
        })
    }

    pub(super) fn continue_rollout(&mut self, rollout: usize) {
        let operator = &self.workload.rollouts[rollout];
        if operator.step == Step::Finished {
            return;
        }
        self.schedule_after(300_000, Event::Activity(Activity::ContinueRollout(rollout)));
        let operator = &self.workload.rollouts[rollout];
        if operator.requested_at.is_some_and(|requested_at| self.time - requested_at < 6_000_000) {
            return;
        }
        if operator.requested_at.is_some() && matches!(operator.step, Step::Submit(_)) {
            // The outcome of the submission is unknown. The configuration is never signed off, so
            // it must never take effect.
            self.abandon_rollout(rollout);
            return;
        }
        let Some(control) = self.draw_node(NodeKind::Control) else { return };
        let version = ConfigurationVersion(self.history.rollouts[rollout].version.unwrap_or(0));
        let step = self.workload.rollouts[rollout].step;
        let request = match step {
            Step::FindBase => OperatorRequest::Query(Query::ListConfigurations),
            Step::Submit(base) => OperatorRequest::Command(Command::SubmitConfiguration {
                base: ConfigurationVersion(base),
                text: self.rollout_text(rollout),
            }),
            Step::SignOff => {
                let by = format!("operator {rollout}");
                OperatorRequest::Command(Command::SignOff { version, by })
            }
            Step::RollOut => {
                let time = self.time;
                self.history.rollouts[rollout].requested_at.get_or_insert(time);
                OperatorRequest::Command(Command::RollOut { version })
            }
            Step::Finished => return,
        };
        let time = self.time;
        let operator = &mut self.workload.rollouts[rollout];
        operator.serial += 1;
        operator.requested_at = Some(time);
        let activity = Activity::RolloutCallDone(rollout, operator.serial, step);
        self.call_control(control, request, Caller::Activity(activity));
    }

    fn abandon_rollout(&mut self, rollout: usize) {
        self.history.rollouts[rollout].refused = true;
        self.workload.rollouts[rollout].step = Step::Finished;
    }

    pub(super) fn rollout_response(
        &mut self,
        rollout: usize,
        serial: u64,
        step: Step,
        outcome: &OperatorOutcome,
    ) {
        let operator = &mut self.workload.rollouts[rollout];
        if operator.serial != serial || operator.step != step {
            return;
        }
        operator.requested_at = None;
        let text = match outcome {
            OperatorOutcome::Done(text) => text,
            OperatorOutcome::Refused(error) => {
                let status = error.code.status();
                match (step, status, error.ran) {
                    // The step had no effect, or repeating it is harmless.
                    (Step::FindBase, ..)
                    | (_, 503, _)
                    | (Step::SignOff | Step::RollOut, 504, _) => {}
                    (_, _, Execution::MayHaveRun) => self.abandon_rollout(rollout),
                    // Refused: the configuration must never take effect.
                    _ => self.abandon_rollout(rollout),
                }
                return;
            }
        };
        let response: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
        let time = self.time;
        let next = match step {
            Step::FindBase => {
                let newest = response["specs"].as_array().and_then(|specs| specs.last()).cloned();
                let newest = newest.and_then(|spec| spec["version"].as_u64()).unwrap_or(0);
                Step::Submit(newest)
            }
            Step::Submit(_) => {
                self.history.rollouts[rollout].version = response["version"].as_u64();
                Step::SignOff
            }
            Step::SignOff => Step::RollOut,
            Step::RollOut => {
                self.history.rollouts[rollout].acknowledged = Some(time);
                Step::Finished
            }
            Step::Finished => Step::Finished,
        };
        self.workload.rollouts[rollout].step = next;
        self.schedule_after(0, Event::Activity(Activity::ContinueRollout(rollout)));
    }

    pub(super) fn read_configuration(&mut self) {
        if self.has_orders() {
            return;
        }
        self.schedule_after(1_000_000, Event::Activity(Activity::ReadConfiguration));
        if let Some(control) = self.draw_node(NodeKind::Control) {
            let request = OperatorRequest::Query(Query::ReadConfiguration(None));
            let activity = Activity::ReadConfigurationDone(self.time);
            self.call_control(control, request, Caller::Activity(activity));
        }
    }

    pub(super) fn configuration_read(&mut self, requested_at: Micros, outcome: &OperatorOutcome) {
        if let OperatorOutcome::Done(text) = outcome {
            let response: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
            if let Some(version) = response["version"].as_u64() {
                self.history.configuration_reads.push(ConfigurationRead { requested_at, version });
            }
        }
    }
}
