//! Each checker can fail: a bug is planted in the simulated world, and the line must go red.

use fleet_simulator::check::{Line, Violation};
use fleet_simulator::run::{run_with, workload_settings};
use fleet_simulator::workload::WorkloadSettings;
use fleet_simulator::world::InjectedBug;
use fleet_simulator::{Deployment, Scenario, run};

/// Seeds tried until the planted bug shows.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;

fn goes_red(injected_bug: InjectedBug, scenario: Scenario, line: Line) {
    let deployment = Deployment::quito();
    let is_clean = run(&deployment, scenario, *SEEDS.start(), None).violations.is_empty();
    assert!(is_clean, "{scenario:?} crosses a line without any bug");
    let shows = |seed| {
        let violations = run(&deployment, scenario, seed, Some(injected_bug)).violations;
        violations.iter().any(|violation| violation.line == line)
    };
    assert!(SEEDS.into_iter().any(shows), "{injected_bug:?} was not seen as {line:?}");
}

/// A calm run in which operators order numbered configurations and some of their answers are lost.
fn run_with_orders(seed: u64, injected_bug: Option<InjectedBug>) -> Vec<Violation> {
    let deployment = Deployment::quito();
    let usual = workload_settings(&deployment, Scenario::Calm);
    let settings = WorkloadSettings { order_interval_ms: 500, lost_responses_percent: 20, ..usual };
    run_with(&deployment, Scenario::Calm, seed, injected_bug, settings).violations
}

fn goes_red_with_orders(injected_bug: InjectedBug, line: Line) {
    let clean = run_with_orders(*SEEDS.start(), None);
    assert!(clean.is_empty(), "a line is crossed without any bug: {clean:#?}");
    let shows = |seed| {
        let violations = run_with_orders(seed, Some(injected_bug));
        violations.iter().any(|violation| violation.line == line)
    };
    assert!(SEEDS.into_iter().any(shows), "{injected_bug:?} was not seen as {line:?}");
}

#[test]
fn two_configurations_acknowledged_under_one_number_are_seen() {
    goes_red_with_orders(InjectedBug::AcknowledgeAll, Line::OrderRace);
}

#[test]
fn an_invalid_configuration_that_is_acknowledged_is_seen() {
    goes_red_with_orders(InjectedBug::AcknowledgeAll, Line::SpecWrong);
}

#[test]
fn a_taken_configuration_that_is_refused_when_sent_again_is_seen() {
    goes_red_with_orders(InjectedBug::RefuseResent, Line::OrderRefused);
}

#[test]
fn a_refused_configuration_in_force_is_seen() {
    goes_red_with_orders(InjectedBug::RefuseApplied, Line::SpecWrong);
}

#[test]
fn a_refusal_without_a_cause_is_seen() {
    goes_red_with_orders(InjectedBug::RefuseWithoutCause, Line::OrderRefused);
}

#[test]
fn an_old_configuration_read_back_is_seen() {
    goes_red_with_orders(InjectedBug::ReadFirstConfiguration, Line::SpecWrong);
}

#[test]
fn a_mixture_of_two_configurations_is_seen() {
    goes_red_with_orders(InjectedBug::LoseRoute, Line::FeedMixed);
}

#[test]
fn a_relay_that_goes_back_is_seen() {
    goes_red_with_orders(InjectedBug::RevertConfiguration, Line::FeedBack);
}

#[test]
fn a_configuration_that_is_not_in_force_in_time_is_seen() {
    goes_red_with_orders(InjectedBug::KeepOldConfiguration, Line::SpecLate);
}

#[test]
fn an_order_that_is_never_answered_is_seen() {
    goes_red_with_orders(InjectedBug::LoseResponses, Line::Recovery);
}

#[test]
fn work_run_twice_is_seen() {
    goes_red(InjectedBug::RunTwice, Scenario::Calm, Line::RanTwiceOrRefused);
}

#[test]
fn a_refusal_of_sent_work_is_seen() {
    goes_red(InjectedBug::ReportNotRun, Scenario::Engines, Line::RanTwiceOrRefused);
}

#[test]
fn another_clients_return_is_seen() {
    goes_red(InjectedBug::WrongResponse, Scenario::Calm, Line::WrongReturn);
}

#[test]
fn a_cut_return_that_looks_whole_is_seen() {
    goes_red(InjectedBug::InterruptedLooksComplete, Scenario::Engines, Line::WrongReturn);
}

#[test]
fn an_altered_body_is_seen() {
    goes_red(InjectedBug::AlteredBody, Scenario::Calm, Line::Altered);
}

#[test]
fn a_lost_piece_is_seen() {
    goes_red(InjectedBug::LosePiece, Scenario::Calm, Line::StreamBroken);
}

#[test]
fn a_repeated_piece_is_seen() {
    goes_red(InjectedBug::RepeatPiece, Scenario::Calm, Line::StreamBroken);
}

#[test]
fn a_changed_listed_return_is_seen() {
    goes_red(InjectedBug::ChangeListedResult, Scenario::Calm, Line::BatchList);
}

#[test]
fn a_disk_that_lies_is_seen() {
    goes_red(InjectedBug::EarlySyncReport, Scenario::Blackout, Line::SpecWrong);
}

#[test]
fn work_for_an_engine_that_left_is_seen() {
    goes_red(InjectedBug::SendLate, Scenario::Engines, Line::EngineLeaving);
}

#[test]
fn an_item_started_after_its_batches_end_is_seen() {
    goes_red(InjectedBug::SendItemsLate, Scenario::Ceiling, Line::BatchEnded);
}

#[test]
fn an_unchecked_budget_is_seen() {
    goes_red(InjectedBug::AlwaysGrantBudget, Scenario::Crowds, Line::Budget);
}

#[test]
fn an_unchecked_ceiling_is_seen() {
    goes_red(InjectedBug::AlwaysGrantCeiling, Scenario::Ceiling, Line::Ceiling);
}

#[test]
fn work_that_no_spec_maps_is_seen() {
    goes_red(InjectedBug::RouteUndeclaredModel, Scenario::Calm, Line::Unmapped);
}

#[test]
fn a_spec_that_is_not_in_force_in_time_is_seen() {
    goes_red(InjectedBug::KeepOldConfiguration, Scenario::Operators, Line::SpecLate);
}

#[test]
fn a_leaked_hold_is_seen() {
    goes_red(InjectedBug::LoseReleases, Scenario::Calm, Line::LeakedHold);
}

#[test]
fn a_refusal_without_when_to_come_back_is_seen() {
    goes_red(InjectedBug::OmitRetryAfter, Scenario::Counter, Line::Answer);
}

#[test]
fn a_relay_that_goes_before_it_is_drained_is_seen() {
    goes_red(InjectedBug::SkipDrain, Scenario::Drains, Line::Drained);
}

#[test]
fn a_fleet_that_does_not_come_back_is_seen() {
    goes_red(InjectedBug::EarlySyncReport, Scenario::Blackout, Line::Recovery);
}

#[test]
fn a_clock_that_stops_in_a_freeze_is_seen() {
    goes_red(InjectedBug::StoppedClock, Scenario::Freezes, Line::EngineLeaving);
}
