//! Reading of the platform's list of engines by the primary. A list that can't be read completely
//! changes nothing.

use super::{ControlMachine, ControlTask, Effects};
use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::Effect;
use topazyard_wire::message::operate::{Command, OperatorRequest};

/// Time without a report after which a read counts as lost.
const READ_TIMEOUT: DurationMs = DurationMs(3_000);

/// State of the engine list reader on this node.
#[derive(Debug, Clone, Default)]
pub(crate) struct EngineListReader {
    /// How often the list is read, or none if the platform submits it.
    interval: Option<DurationMs>,
    started_at: Option<MonotonicMs>,
    in_progress: bool,
}

impl ControlMachine {
    /// Sets how often this node reads the platform's list while it is the primary.
    pub fn set_engine_list_interval(&mut self, interval: DurationMs) {
        self.engine_list.interval = Some(interval);
    }

    pub(super) fn engine_list_tick(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let Some(interval) = self.engine_list.interval.filter(|_| self.replica.is_serving()) else {
            return;
        };
        let elapsed = self.engine_list.started_at.map(|started_at| now.since(started_at));
        let wait = if self.engine_list.in_progress { interval.max(READ_TIMEOUT) } else { interval };
        if elapsed.is_some_and(|elapsed| elapsed < wait) {
            return;
        }
        self.engine_list.started_at = Some(now);
        self.engine_list.in_progress = true;
        effects.push(Effect::StartTask(ControlTask::ListEngines));
    }

    /// Replaces the engine list with a new one if they differ.
    pub(super) fn receive_engine_list(
        &mut self,
        list: Option<Vec<topazyard_spec::Engine>>,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        self.engine_list.in_progress = false;
        let Some(engines) = list.filter(|_| self.replica.is_serving()) else { return };
        if self.changes_engines(&engines) {
            let command = OperatorRequest::Command(Command::ListEngines(engines));
            self.handle_request(super::operations::Origin::EngineList, command, now, effects);
        }
    }
}
