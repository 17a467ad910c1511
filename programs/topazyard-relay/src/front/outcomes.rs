//! Counters of the outcomes of admitted requests, and of requests without a response.

use crate::prompt::State;
use std::sync::atomic::{AtomicU64, Ordering};
use topazyard_wire::invariants::{self, Invariant};

static ANSWERED: AtomicU64 = AtomicU64::new(0);
static REFUSED: AtomicU64 = AtomicU64::new(0);
static CUT: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

static UNANSWERED: AtomicU64 = AtomicU64::new(0);

/// Counts a request as unanswered while this value exists. It is dropped with the response, or when
/// the client disconnects.
#[derive(Debug)]
pub struct UnansweredRequest(());

impl UnansweredRequest {
    /// Counts one more unanswered request.
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

/// Checks, right before the process exits, that every request has a response.
pub fn check_all_answered() {
    let unanswered = UNANSWERED.load(Ordering::Relaxed);
    invariants::check(unanswered == 0, Invariant::AnsweredBeforeEnd, || {
        format!("unanswered={unanswered}")
    });
}

/// Counts a request that ended in this state. One that ended in an intermediate state was dropped:
/// its client disconnected, or its connection was closed.
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

/// The counts since the process started, by outcome.
pub fn counts() -> Vec<(&'static str, u64)> {
    let counters =
        [("answered", &ANSWERED), ("refused", &REFUSED), ("cut", &CUT), ("dropped", &DROPPED)];
    counters.map(|(outcome, counter)| (outcome, counter.load(Ordering::Relaxed))).to_vec()
}
