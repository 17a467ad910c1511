//! A run reports the invariant violations of its own processes, and none of other runs.

use fleet_simulator::check::Line;
use fleet_simulator::check::invariants::violated_since;
use topazyard_wire::invariants::{Invariant, report_violation, thread_counts};

#[test]
fn run_reports_only_its_own_violations() {
    let before = thread_counts();
    let other_run =
        std::thread::spawn(|| report_violation(Invariant::FeedPositionHasOneState, "injected"));
    other_run.join().unwrap();
    assert!(violated_since(&before).is_empty());
    report_violation(Invariant::EpochHasOneRecord, "injected");
    let seen = violated_since(&before);
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].line, Line::Invariant);
    assert!(seen[0].text.contains(&Invariant::EpochHasOneRecord.to_string()));
}
