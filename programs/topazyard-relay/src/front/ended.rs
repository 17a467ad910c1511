//! Counts how requests that were let in ended.

use crate::prompt::State;
use std::sync::atomic::{AtomicU64, Ordering};

static ANSWERED: AtomicU64 = AtomicU64::new(0);
static REFUSED: AtomicU64 = AtomicU64::new(0);
static CUT: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// A request ended in a state of its chart. One that stands midway was dropped: its client left, or
/// its connection was closed under it.
pub(super) fn count(state: State) {
    let counter = match state {
        State::Whole => &ANSWERED,
        State::Refused => &REFUSED,
        State::Cut => &CUT,
        State::Arrived | State::Waiting | State::Held | State::Dispatched | State::Relaying => {
            &DROPPED
        }
    };
    counter.fetch_add(1, Ordering::Relaxed);
}

/// The counts since the process began, by outcome.
pub fn counts() -> Vec<(&'static str, u64)> {
    let counters =
        [("answered", &ANSWERED), ("refused", &REFUSED), ("cut", &CUT), ("dropped", &DROPPED)];
    counters.map(|(outcome, counter)| (outcome, counter.load(Ordering::Relaxed))).to_vec()
}
