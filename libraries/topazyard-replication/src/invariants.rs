//! What must hold of copies while they run: a check for each, and the one place that reports.
//!
//! A check is a plain function over what the copy itself knows, so that a test can ask it too.

use topazyard_types::Sequence;
use topazyard_wire::invariants::{self, Invariant};

/// Whether what is acknowledged is synced on as many copies as its record asks for: one more than may
/// be lost.
///
/// ```
/// use topazyard_replication::invariants::check_acknowledged_on_enough;
/// assert!(check_acknowledged_on_enough(3, 3));
/// assert!(!check_acknowledged_on_enough(1, 2));
/// ```
pub fn check_acknowledged_on_enough(synced_copies: usize, needed: usize) -> bool {
    synced_copies >= needed
}

/// Whether a copy that comes to a sequence keeps what was committed on it. Sequences go on from epoch
/// to epoch, and whoever leads holds all that was committed.
///
/// ```
/// use topazyard_replication::invariants::check_committed_stays;
/// use topazyard_types::Sequence;
/// assert!(check_committed_stays(Sequence(4), Sequence(4)));
/// assert!(!check_committed_stays(Sequence(4), Sequence(3)));
/// ```
pub fn check_committed_stays(committed: Sequence, now: Sequence) -> bool {
    now >= committed
}

/// Counts and logs an invariant that does not hold.
///
/// # Panics
/// Without optimisations for release an invariant that does not hold ends the process: tests and the
/// simulator see it at once.
pub fn report(holds: bool, invariant: Invariant, details: impl Fn() -> String) {
    invariants::check(holds, invariant, &details);
    debug_assert!(holds, "{invariant}: {}", details());
}
