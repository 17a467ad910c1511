//! With panics enabled, each violation panics and is still counted.

use topazyard_wire::invariants::{self, Invariant};

#[test]
fn violation_panics_when_enabled() {
    invariants::panic_on_violation(true);
    for invariant in Invariant::ALL {
        let violated = || invariants::report_violation(*invariant, "injected");
        let panicked = std::panic::catch_unwind(violated).unwrap_err();
        let message = panicked.downcast_ref::<String>().unwrap();
        assert!(message.contains(&invariant.to_string()), "{message}");
        assert_eq!(invariants::violations(*invariant), 1);
    }
}
