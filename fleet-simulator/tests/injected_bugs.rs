//! The checker must report each bug injected into the simulated world as a violation of its line.

use fleet_simulator::check::{Line, Violation};
use fleet_simulator::run::{run_with, workload_settings};
use fleet_simulator::workload::WorkloadSettings;
use fleet_simulator::world::InjectedBug;
use fleet_simulator::{Deployment, Scenario, run};

/// Seeds tried until the checker reports the bug.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;

fn assert_reported(injected_bug: InjectedBug, scenario: Scenario, line: Line) {
    let deployment = Deployment::quito();
    let is_clean = run(&deployment, scenario, *SEEDS.start(), None).violations.is_empty();
    assert!(is_clean, "{scenario:?} has violations without an injected bug");
    let is_reported = |seed| {
        let violations = run(&deployment, scenario, seed, Some(injected_bug)).violations;
        violations.iter().any(|violation| violation.line == line)
    };
    assert!(SEEDS.into_iter().any(is_reported), "{injected_bug:?} was not reported as {line:?}");
}

/// Runs without faults while operators submit numbered configurations and some responses to them
/// are lost.
fn run_with_orders(seed: u64, injected_bug: Option<InjectedBug>) -> Vec<Violation> {
    let deployment = Deployment::quito();
    let usual = workload_settings(&deployment, Scenario::Calm);
    let settings = WorkloadSettings { order_interval_ms: 500, lost_responses_percent: 20, ..usual };
    run_with(&deployment, Scenario::Calm, seed, injected_bug, settings).violations
}

fn assert_reported_with_orders(injected_bug: InjectedBug, line: Line) {
    let clean = run_with_orders(*SEEDS.start(), None);
    assert!(clean.is_empty(), "violations without an injected bug: {clean:#?}");
    let is_reported = |seed| {
        let violations = run_with_orders(seed, Some(injected_bug));
        violations.iter().any(|violation| violation.line == line)
    };
    assert!(SEEDS.into_iter().any(is_reported), "{injected_bug:?} was not reported as {line:?}");
}

#[test]
fn two_configurations_acknowledged_with_one_number() {
    assert_reported_with_orders(InjectedBug::AcknowledgeAll, Line::OrderRace);
}

#[test]
fn invalid_configuration_acknowledged() {
    assert_reported_with_orders(InjectedBug::AcknowledgeAll, Line::SpecWrong);
}

#[test]
fn applied_configuration_refused_when_resent() {
    assert_reported_with_orders(InjectedBug::RefuseResent, Line::OrderRefused);
}

#[test]
fn refused_configuration_in_force() {
    assert_reported_with_orders(InjectedBug::RefuseApplied, Line::SpecWrong);
}

#[test]
fn refusal_without_cause() {
    assert_reported_with_orders(InjectedBug::RefuseWithoutCause, Line::OrderRefused);
}

#[test]
fn old_configuration_read_back() {
    assert_reported_with_orders(InjectedBug::ReadFirstConfiguration, Line::SpecWrong);
}

#[test]
fn mixture_of_two_configurations_in_force() {
    assert_reported_with_orders(InjectedBug::LoseRoute, Line::FeedMixed);
}

#[test]
fn relay_reverts_to_previous_configuration() {
    assert_reported_with_orders(InjectedBug::RevertConfiguration, Line::FeedBack);
}

#[test]
fn numbered_configuration_in_force_too_late() {
    assert_reported_with_orders(InjectedBug::KeepOldConfiguration, Line::SpecLate);
}

#[test]
fn order_without_response() {
    assert_reported_with_orders(InjectedBug::LoseResponses, Line::Recovery);
}

#[test]
fn work_run_twice() {
    assert_reported(InjectedBug::RunTwice, Scenario::Calm, Line::RanTwiceOrRefused);
}

#[test]
fn refusal_of_work_that_ran() {
    assert_reported(InjectedBug::ReportNotRun, Scenario::Engines, Line::RanTwiceOrRefused);
}

#[test]
fn response_of_another_client() {
    assert_reported(InjectedBug::WrongResponse, Scenario::Calm, Line::WrongReturn);
}

#[test]
fn interrupted_response_that_looks_complete() {
    assert_reported(InjectedBug::InterruptedLooksComplete, Scenario::Engines, Line::WrongReturn);
}

#[test]
fn altered_body() {
    assert_reported(InjectedBug::AlteredBody, Scenario::Calm, Line::Altered);
}

#[test]
fn lost_stream_piece() {
    assert_reported(InjectedBug::LosePiece, Scenario::Calm, Line::StreamBroken);
}

#[test]
fn repeated_stream_piece() {
    assert_reported(InjectedBug::RepeatPiece, Scenario::Calm, Line::StreamBroken);
}

#[test]
fn changed_listed_result() {
    assert_reported(InjectedBug::ChangeListedResult, Scenario::Calm, Line::BatchList);
}

#[test]
fn acknowledged_configuration_lost_by_early_sync_report() {
    assert_reported(InjectedBug::EarlySyncReport, Scenario::Blackout, Line::SpecWrong);
}

#[test]
fn work_sent_to_an_engine_that_left() {
    assert_reported(InjectedBug::SendLate, Scenario::Engines, Line::EngineLeaving);
}

#[test]
fn item_started_after_its_batch_ended() {
    assert_reported(InjectedBug::SendItemsLate, Scenario::Ceiling, Line::BatchEnded);
}

#[test]
fn unchecked_budget() {
    assert_reported(InjectedBug::AlwaysGrantBudget, Scenario::Crowds, Line::Budget);
}

#[test]
fn unchecked_ceiling() {
    assert_reported(InjectedBug::AlwaysGrantCeiling, Scenario::Ceiling, Line::Ceiling);
}

#[test]
fn work_without_model_route() {
    assert_reported(InjectedBug::RouteUndeclaredModel, Scenario::Calm, Line::Unmapped);
}

#[test]
fn rolled_out_configuration_in_force_too_late() {
    assert_reported(InjectedBug::KeepOldConfiguration, Scenario::Operators, Line::SpecLate);
}

#[test]
fn leaked_hold() {
    assert_reported(InjectedBug::LoseReleases, Scenario::Calm, Line::LeakedHold);
}

#[test]
fn refusal_without_retry_after() {
    assert_reported(InjectedBug::OmitRetryAfter, Scenario::Counter, Line::Answer);
}

#[test]
fn relay_stopped_before_it_is_drained() {
    assert_reported(InjectedBug::SkipDrain, Scenario::Drains, Line::Drained);
}

#[test]
fn fleet_that_does_not_recover() {
    assert_reported(InjectedBug::EarlySyncReport, Scenario::Blackout, Line::Recovery);
}

#[test]
fn clock_stopped_during_a_freeze() {
    assert_reported(InjectedBug::StoppedClock, Scenario::Freezes, Line::EngineLeaving);
}
