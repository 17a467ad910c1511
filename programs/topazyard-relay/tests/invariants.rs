//! Each invariant that the relay checks is violated once.

use topazyard_relay::front::outcomes::{UnansweredRequest, check_all_answered};
use topazyard_relay::prompt::{RequestStateMachine, State};
use topazyard_types::MonotonicMs;
use topazyard_wire::invariants::{Invariant, violations};

#[test]
fn invalid_state_transition_is_a_violation() {
    let mut state_machine = RequestStateMachine::on_route(false, false, 1, MonotonicMs(1_000));
    state_machine.enqueue();
    state_machine.hold();
    state_machine.dispatch();
    state_machine.start_relaying();
    state_machine.complete();
    assert_eq!(
        (state_machine.state(), violations(Invariant::RequestFollowsStateMachine)),
        (State::Completed, 0)
    );
    // The request has ended: a second end panics in debug builds and is counted in every build.
    let ended_again =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| state_machine.complete()));
    assert_eq!(ended_again.is_err(), cfg!(debug_assertions));
    assert_eq!(violations(Invariant::RequestFollowsStateMachine), 1);
}

#[test]
fn request_without_a_response_at_exit_is_a_violation() {
    let unanswered = UnansweredRequest::start();
    check_all_answered();
    assert_eq!(violations(Invariant::AnsweredBeforeEnd), 1);
    drop(unanswered);
    check_all_answered();
    assert_eq!(violations(Invariant::AnsweredBeforeEnd), 1);
}
