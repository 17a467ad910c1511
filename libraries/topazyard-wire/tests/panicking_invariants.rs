//! Once a harness switched it on, each violation panics, and is counted all the same.

use topazyard_wire::invariants::{self, Invariant};

#[test]
fn a_violation_panics_where_a_harness_wants_it() {
    invariants::panic_on_violation(true);
    for invariant in Invariant::ALL {
        let violated = || invariants::report_violation(*invariant, "planted");
        let panicked = std::panic::catch_unwind(violated).unwrap_err();
        let message = panicked.downcast_ref::<String>().unwrap();
        assert!(message.contains(&invariant.to_string()), "{message}");
        assert_eq!(invariants::violations(*invariant), 1);
    }
}
