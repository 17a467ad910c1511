//! Violations are counted by name, and the product goes on.

use topazyard_wire::invariants::{self, Invariant, LogLimiter};

#[test]
fn each_listed_invariant_is_counted_by_its_own_name() {
    for invariant in Invariant::ALL {
        let before: Vec<(Invariant, u64)> = invariants::counts().collect();
        invariants::report_violation(*invariant, "planted");
        for ((at, count), (_, old)) in invariants::counts().zip(before) {
            assert_eq!(count - old, u64::from(at == *invariant), "{at:?} after {invariant:?}");
        }
        let text = topazyard_wire::metrics::text(None::<Nothing>).unwrap();
        let sample = format!(
            "topazyard_invariant_violations_total{{invariant=\"{}\"}} {}",
            invariant.name(),
            invariants::violations(*invariant),
        );
        assert!(text.lines().any(|line| line == sample), "{sample} is missing in\n{text}");
    }
}

#[test]
fn names_are_distinct_and_in_snake_case() {
    let names: std::collections::BTreeSet<&str> =
        Invariant::ALL.iter().map(|invariant| invariant.name()).collect();
    assert_eq!(names.len(), Invariant::ALL.len());
    assert!(names.iter().all(|name| name.chars().all(|c| c.is_ascii_lowercase() || c == '_')));
}

#[test]
fn what_holds_costs_no_details() {
    invariants::check(true, Invariant::EpochHasOneRecord, || unreachable!("nothing was violated"));
}

#[test]
fn a_line_is_let_through_once_a_second() {
    let limiter = LogLimiter::new();
    let let_through = (10_000..13_000).step_by(10).filter(|now_ms| limiter.allows(*now_ms)).count();
    assert_eq!(let_through, 3);
}

/// A role without figures.
#[derive(Debug)]
struct Nothing;

impl topazyard_wire::metrics::MetricSource for Nothing {
    fn write(&self, _: &mut topazyard_wire::metrics::Writer<'_>) -> std::fmt::Result {
        Ok(())
    }
}
