//! Violations that the processes themselves detected.

use super::{Line, Violation};
use topazyard_wire::invariants::{self, Invariant};

/// The invariants that this thread violated since `before` was taken. Each run has its own thread,
/// so these are the violations of the run.
pub fn violated_since(before: &[(Invariant, u64)]) -> Vec<Violation> {
    let counts = invariants::thread_counts().into_iter().zip(before);
    let newly = counts.map(|((invariant, count), (_, before))| (invariant, count - before));
    let newly = newly.filter(|(_, count)| *count > 0);
    newly.map(|(invariant, count)| violation(invariant, count)).collect()
}

fn violation(invariant: Invariant, count: u64) -> Violation {
    let text = format!("{invariant}: violated {count} times, see the log");
    Violation { line: Line::Invariant, text }
}
