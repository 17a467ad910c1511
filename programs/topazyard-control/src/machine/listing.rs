//! The duty of reading the platform's list of engines: the primary's. A list that can't be read
//! whole changes nothing.

use super::{ControlMachine, ControlTask, Out};
use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::Effect;
use topazyard_wire::message::operate::{Command, OperatorRequest};

/// After how long without a report a reading counts as lost.
const LOST_AFTER: DurationMs = DurationMs(3_000);

/// The duty as this node keeps it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Listing {
    /// How often the list is read; never where the platform hands it in.
    every: Option<DurationMs>,
    begun: Option<MonotonicMs>,
    under_way: bool,
}

impl ControlMachine {
    /// Reads the platform's list so often from now on, while this node is the primary.
    pub fn set_engine_list_interval(&mut self, every: DurationMs) {
        self.listing.every = Some(every);
    }

    pub(super) fn listing_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        let Some(every) = self.listing.every.filter(|_| self.replica.is_serving()) else { return };
        let since = self.listing.begun.map(|begun| now.since(begun));
        let wait = if self.listing.under_way { every.max(LOST_AFTER) } else { every };
        if since.is_some_and(|since| since < wait) {
            return;
        }
        self.listing.begun = Some(now);
        self.listing.under_way = true;
        out.push(Effect::StartTask(ControlTask::ListEngines));
    }

    /// Puts a list in place of the one before, if it says anything new.
    pub(super) fn take_list(
        &mut self,
        list: Option<Vec<topazyard_spec::Engine>>,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        self.listing.under_way = false;
        let Some(engines) = list.filter(|_| self.replica.is_serving()) else { return };
        if self.changes_engines(&engines) {
            let command = OperatorRequest::Command(Command::ListEngines(engines));
            self.take_operate(super::operate::Origin::Listing, command, now, out);
        }
    }
}
