//! Counts how requests that were let in ended, and those that have no response yet.

use crate::prompt::State;
use std::sync::atomic::{AtomicU64, Ordering};
use topazyard_wire::invariants::{self, Invariant};

static ANSWERED: AtomicU64 = AtomicU64::new(0);
static REFUSED: AtomicU64 = AtomicU64::new(0);
static CUT: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

static UNANSWERED: AtomicU64 = AtomicU64::new(0);

/// A request without a response, for as long as this value stands. It goes with the response, and
/// also when the client leaves.
#[derive(Debug)]
pub struct UnansweredRequest(());

impl UnansweredRequest {
    /// Counts one more.
    pub fn start() -> Self {
        UNANSWERED.fetch_add(1, Ordering::Relaxed);
        Self(())
    }
}

impl Drop for UnansweredRequest {
    fn drop(&mut self) {
        UNANSWERED.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Checks, right before the process ends, that no request is left without a response.
pub fn check_all_answered() {
    let unanswered = UNANSWERED.load(Ordering::Relaxed);
    invariants::check(unanswered == 0, Invariant::AnsweredBeforeEnd, || {
        format!("unanswered={unanswered}")
    });
}

/// A request ended in a state of its chart. One that stands midway was dropped: its client left, or
/// its connection was closed under it.
pub(super) fn count(state: State) {
    let counter = match state {
        State::Completed => &ANSWERED,
        State::Refused => &REFUSED,
        State::Interrupted => &CUT,
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
