//! Invariants of replication: a check for each, and the function that reports a violation.
//!
//! Each check is a plain function of what the replica itself knows, so tests can call it directly.

use topazyard_types::Sequence;
use topazyard_wire::invariants::{self, Invariant};

/// Whether an acknowledged batch is synced on as many copies as the epoch record requires, which is
/// one more than the number of nodes that may be lost.
///
/// ```
/// use topazyard_replication::invariants::check_acknowledged_on_enough;
/// assert!(check_acknowledged_on_enough(3, 3));
/// assert!(!check_acknowledged_on_enough(1, 2));
/// ```
pub fn check_acknowledged_on_enough(synced_copies: usize, needed: usize) -> bool {
    synced_copies >= needed
}

/// Whether a copy that moves to sequence `now` keeps everything that it knows to be committed.
/// Sequences continue across epochs, and every primary holds all committed batches, so the sequence
/// of a copy never drops below a committed one.
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

/// Counts and logs a violation if the invariant does not hold.
///
/// # Panics
/// Panics on a violation in builds with debug assertions, so that tests and the simulator notice it
/// at once.
pub fn report(holds: bool, invariant: Invariant, details: impl Fn() -> String) {
    invariants::check(holds, invariant, &details);
    debug_assert!(holds, "{invariant}: {}", details());
}
