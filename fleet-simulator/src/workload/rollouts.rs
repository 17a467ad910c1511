//! Operators: they submit, sign off and roll out specs, sometimes two at once, sometimes broken
//! ones, and read back what is in force.

use super::Activity;
use crate::history::{ConfigurationRead, Micros, RolloutRecord};
use crate::world::{Caller, Event, NodeKind, World};
use topazyard_types::ConfigurationVersion;
use topazyard_wire::api::Execution;
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest, Query};

/// A step of a spec.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Which version is the newest?
    Look,
    /// Submit on that base.
    Submit(u64),
    /// Sign off.
    Sign,
    /// Roll out.
    RollOut,
    /// It is in force, or was refused.
    Over,
}

/// An operator with a spec.
#[derive(Debug)]
pub(super) struct SpecOperator {
    step: Step,
    serial: u64,
    requested_at: Option<Micros>,
    is_broken: bool,
}

impl World {
    /// The first spec, before anything else.
    pub fn first_rollout(&mut self) {
        self.begin_spec(false);
    }

    pub(super) fn next_spec(&mut self) {
        let every = self.workload.settings.rollout_interval_s;
        if self.has_orders() {
            return;
        }
        self.after(every.max(1) * 1_000_000, Event::Activity(Activity::NextSpec));
        let all_over = self.workload.specs.iter().all(|spec| spec.step == Step::Over);
        if every == 0 || !self.workload.settings.is_active || !all_over {
            return;
        }
        match self.draw(0..4) {
            0 => self.begin_spec(true),
            1 => {
                // Two operators at once.
                self.begin_spec(false);
                self.begin_spec(false);
            }
            _ => self.begin_spec(false),
        }
    }

    fn begin_spec(&mut self, is_broken: bool) {
        let number = self.history.rollouts.len();
        self.history.rollouts.push(RolloutRecord {
            version: None,
            ceiling: self.workload.settings.waiting_ceiling,
            model: format!("only-{number}"),
            refused: false,
            requested_at: None,
            acknowledged: None,
        });
        let operator = SpecOperator { step: Step::Look, serial: 0, requested_at: None, is_broken };
        self.workload.specs.push(operator);
        self.after(0, Event::Activity(Activity::Spec(number)));
    }

    fn bundle(&self, spec: usize) -> String {
        let model = &self.history.rollouts[spec].model;
        let pool = if self.workload.specs[spec].is_broken { "no such pool" } else { "main" };
        self.bundle_of(model, pool, &[]).to_string()
    }

    /// A bundle with a lane of its own, its batches' lane at that pool, and these routes.
    pub(super) fn bundle_of(
        &self,
        model: &str,
        pool: &str,
        routes: &[serde_json::Value],
    ) -> serde_json::Value {
        let habits = &self.workload.settings;
        let mut lanes = vec![
            serde_json::json!({"name": "live", "kind": "live", "models": ["m"], "pool": "main"}),
            serde_json::json!({"name": "batch", "kind": "batch", "models": ["m"], "pool": pool}),
            serde_json::json!({"name": model, "kind": "live", "models": [model], "pool": "main"}),
        ];
        for lane in 0..habits.extra_model_routes {
            lanes.push(serde_json::json!({
                "name": format!("more-{lane}"), "kind": "live",
                "models": [format!("more-{lane}")], "pool": "main",
            }));
        }
        serde_json::json!({
            "pools": [{"name": "main", "limit_tokens": habits.limit_tokens}],
            "lanes": lanes,
            "routes": routes,
            "batches": {
                "waiting_ceiling_tokens": habits.waiting_ceiling,
                "max_items": 1000, "max_item_bytes": 65536,
            },
            "weights": {
                "live_floor_percent": habits.live_percents.0,
                "live_start_percent": habits.live_percents.1,
                "live_ceiling_percent": habits.live_percents.2,
            },
        })
    }

    pub(super) fn look_after_spec(&mut self, spec: usize) {
        let operator = &self.workload.specs[spec];
        if operator.step == Step::Over {
            return;
        }
        self.after(300_000, Event::Activity(Activity::Spec(spec)));
        let operator = &self.workload.specs[spec];
        if operator.requested_at.is_some_and(|requested_at| self.time - requested_at < 6_000_000) {
            return;
        }
        if operator.requested_at.is_some() && matches!(operator.step, Step::Submit(_)) {
            // Nobody knows what became of it; it is never signed, so it must never take effect.
            self.give_spec_up(spec);
            return;
        }
        let Some(control) = self.draw_node(NodeKind::Control) else { return };
        let version = ConfigurationVersion(self.history.rollouts[spec].version.unwrap_or(0));
        let step = self.workload.specs[spec].step;
        let request = match step {
            Step::Look => OperatorRequest::Query(Query::ListConfigurations),
            Step::Submit(base) => OperatorRequest::Command(Command::SubmitConfiguration {
                base: ConfigurationVersion(base),
                text: self.bundle(spec),
            }),
            Step::Sign => {
                let by = format!("operator {spec}");
                OperatorRequest::Command(Command::SignOff { version, by })
            }
            Step::RollOut => {
                let time = self.time;
                self.history.rollouts[spec].requested_at.get_or_insert(time);
                OperatorRequest::Command(Command::RollOut { version })
            }
            Step::Over => return,
        };
        let time = self.time;
        let operator = &mut self.workload.specs[spec];
        operator.serial += 1;
        operator.requested_at = Some(time);
        let doing = Activity::SpecCall(spec, operator.serial, step);
        self.call_control(control, request, Caller::Activity(doing));
    }

    fn give_spec_up(&mut self, spec: usize) {
        self.history.rollouts[spec].refused = true;
        self.workload.specs[spec].step = Step::Over;
    }

    pub(super) fn spec_told(
        &mut self,
        spec: usize,
        serial: u64,
        step: Step,
        outcome: &OperatorOutcome,
    ) {
        let operator = &mut self.workload.specs[spec];
        if operator.serial != serial || operator.step != step {
            return;
        }
        operator.requested_at = None;
        let text = match outcome {
            OperatorOutcome::Done(text) => text,
            OperatorOutcome::Refused(error) => {
                let status = error.code.status();
                match (step, status, error.ran) {
                    // Surely nothing happened, or asking again is harmless.
                    (Step::Look, ..) | (_, 503, _) | (Step::Sign | Step::RollOut, 504, _) => {}
                    (_, _, Execution::MayHaveRun) => self.give_spec_up(spec),
                    // Refused: it must never take effect.
                    _ => self.give_spec_up(spec),
                }
                return;
            }
        };
        let shown: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
        let time = self.time;
        let next = match step {
            Step::Look => {
                let newest = shown["specs"].as_array().and_then(|specs| specs.last()).cloned();
                let newest = newest.and_then(|spec| spec["version"].as_u64()).unwrap_or(0);
                Step::Submit(newest)
            }
            Step::Submit(_) => {
                self.history.rollouts[spec].version = shown["version"].as_u64();
                Step::Sign
            }
            Step::Sign => Step::RollOut,
            Step::RollOut => {
                self.history.rollouts[spec].acknowledged = Some(time);
                Step::Over
            }
            Step::Over => Step::Over,
        };
        self.workload.specs[spec].step = next;
        self.after(0, Event::Activity(Activity::Spec(spec)));
    }

    pub(super) fn read_spec(&mut self) {
        if self.has_orders() {
            return;
        }
        self.after(1_000_000, Event::Activity(Activity::ReadSpec));
        if let Some(control) = self.draw_node(NodeKind::Control) {
            let request = OperatorRequest::Query(Query::ReadConfiguration(None));
            let asked = Activity::SpecAsked(self.time);
            self.call_control(control, request, Caller::Activity(asked));
        }
    }

    pub(super) fn spec_read(&mut self, requested_at: Micros, outcome: &OperatorOutcome) {
        if let OperatorOutcome::Done(text) = outcome {
            let shown: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
            if let Some(version) = shown["version"].as_u64() {
                self.history.configuration_reads.push(ConfigurationRead { requested_at, version });
            }
        }
    }
}
