//! A run reports the invariants that its processes saw violated, and no other run's.

use fleet_simulator::check::Line;
use fleet_simulator::check::invariants::violated_since;
use topazyard_wire::invariants::{Invariant, report_violation, thread_counts};

#[test]
fn a_run_reports_its_own_violations_alone() {
    let before = thread_counts();
    let other_run =
        std::thread::spawn(|| report_violation(Invariant::FeedPositionHasOneState, "planted"));
    other_run.join().unwrap();
    assert!(violated_since(&before).is_empty());
    report_violation(Invariant::EpochHasOneRecord, "planted");
    let seen = violated_since(&before);
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].line, Line::Invariant);
    assert!(seen[0].text.contains(&Invariant::EpochHasOneRecord.to_string()));
}
