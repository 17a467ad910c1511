//! The state machine of a request. It alone decides what a failure means: whether another engine
//! may be tried, which error the client gets, or that the client's connection must be closed.
//!
//! ```text
//! Arrived -> Waiting -> Held -> Dispatched -> Relaying -> Completed
//!    |          |        | ^        |             |
//!    +----------+--------+-|--------+-> Refused   +-> Interrupted
//!                          +-- (another engine) --+
//! ```

use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::invariants::{self, Invariant};

/// The state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Arrived; not checked yet.
    Arrived,
    /// Waiting for budget.
    Waiting,
    /// Holds its cost and has an engine; nothing was sent.
    Held,
    /// Its bytes may have reached the engine.
    Dispatched,
    /// Part of the response may have reached the client.
    Relaying,
    /// The complete response was relayed.
    Completed,
    /// The response was cut off, and the client's connection with it.
    Interrupted,
    /// Ended with an error as the final response.
    Refused,
}

/// The ways in which an engine can fail a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// No connection could be made; nothing was sent.
    NotConnected,
    /// The connection was lost, or the response was invalid.
    ConnectionLost,
    /// The response belongs to no request that was sent on this connection.
    MismatchedResponse,
    /// The engine reported an error.
    EngineError,
    /// No response arrived in time.
    TimedOut,
    /// The engine reported that it did not run the request and never will.
    TurnedAway,
}

/// What to do about a failure.
#[derive(Debug, Clone, PartialEq)]
pub enum FailureAction {
    /// Try another engine.
    TryAnotherEngine,
    /// Send this error as the final response at once.
    Respond(ApiError),
    /// Close the client's connection.
    CloseConnection,
}

/// Maximum attempts of a request without a route, and the minimum that any request has for engines
/// that accept no connection.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// The state machine of one request.
#[derive(Debug)]
pub struct RequestStateMachine {
    state: State,
    repeatable: bool,
    /// Whether a response that has begun may be continued from another engine.
    resumable: bool,
    deadline: MonotonicMs,
    max_attempts: u32,
    attempts: u32,
    failed_connects: u32,
    /// Whether any attempt may have run.
    may_have_run: bool,
    /// Whether an attempt before the current one may have run.
    may_have_run_before: bool,
    /// Whether a response head was relayed.
    head_relayed: bool,
}

impl RequestStateMachine {
    /// A request that has just arrived.
    ///
    /// ```
    /// use topazyard_relay::prompt::{Failure, FailureAction, RequestStateMachine, State};
    /// use topazyard_types::MonotonicMs;
    /// let mut state_machine = RequestStateMachine::arrived(false, MonotonicMs(1_000));
    /// state_machine.enqueue();
    /// state_machine.hold();
    /// state_machine.dispatch();
    /// // Sent and not repeatable: not retried, and reported as possibly run.
    /// let action = state_machine.fail(Failure::ConnectionLost, MonotonicMs(10));
    /// let FailureAction::Respond(error) = action else { panic!() };
    /// assert_eq!(error.ran, topazyard_wire::Execution::MayHaveRun);
    /// assert_eq!(state_machine.state(), State::Refused);
    /// ```
    pub fn arrived(repeatable: bool, deadline: MonotonicMs) -> Self {
        Self {
            state: State::Arrived,
            repeatable,
            resumable: false,
            deadline,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            attempts: 0,
            failed_connects: 0,
            may_have_run: false,
            may_have_run_before: false,
            head_relayed: false,
        }
    }

    /// A request admitted on a route; the route's settings decide about attempts.
    ///
    /// ```
    /// use topazyard_relay::prompt::{Failure, FailureAction, RequestStateMachine};
    /// use topazyard_types::MonotonicMs;
    /// let mut state_machine = RequestStateMachine::on_route(true, true, 2, MonotonicMs(1_000));
    /// state_machine.enqueue();
    /// state_machine.hold();
    /// state_machine.dispatch();
    /// state_machine.start_relaying();
    /// // A resumable stream whose connection is lost is continued from another engine, once.
    /// let now = MonotonicMs(10);
    /// let action = state_machine.fail(Failure::ConnectionLost, now);
    /// assert_eq!(action, FailureAction::TryAnotherEngine);
    /// state_machine.hold();
    /// state_machine.dispatch();
    /// let action = state_machine.fail(Failure::ConnectionLost, now);
    /// assert_eq!(action, FailureAction::CloseConnection);
    /// ```
    pub fn on_route(
        repeatable: bool,
        resumable: bool,
        max_attempts: u32,
        deadline: MonotonicMs,
    ) -> Self {
        Self { resumable, max_attempts, ..Self::arrived(repeatable, deadline) }
    }

    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    fn change(&mut self, from: &[State], to: State) {
        let is_valid = from.contains(&self.state);
        invariants::check(is_valid, Invariant::RequestFollowsStateMachine, || {
            format!("from={:?} to={to:?}", self.state)
        });
        debug_assert!(is_valid, "{:?} -> {to:?}", self.state);
        self.state = to;
    }

    /// Enters the queue.
    pub fn enqueue(&mut self) {
        self.change(&[State::Arrived], State::Waiting);
    }

    /// Holds its cost and has an engine.
    pub fn hold(&mut self) {
        let allowed_states = [State::Waiting, State::Held, State::Dispatched, State::Relaying];
        self.change(&allowed_states, State::Held);
    }

    /// Its bytes are sent with the next step.
    pub fn dispatch(&mut self) {
        self.attempts += 1;
        self.may_have_run_before = self.may_have_run;
        self.may_have_run = true;
        self.change(&[State::Held], State::Dispatched);
    }

    /// Takes the last dispatch back: the connection was closed before the first byte was sent.
    pub fn undo_dispatch(&mut self) {
        self.attempts -= 1;
        self.may_have_run = self.may_have_run_before;
        self.change(&[State::Dispatched], State::Held);
    }

    /// The head of the response arrived and is relayed to the client.
    pub fn start_relaying(&mut self) {
        self.head_relayed = true;
        self.change(&[State::Dispatched], State::Relaying);
    }

    /// The complete response was relayed.
    pub fn complete(&mut self) {
        self.change(&[State::Relaying], State::Completed);
    }

    /// Refuses the request with this error, marked as possibly run if any attempt may have run.
    pub fn refuse(&mut self, error: ApiError) -> ApiError {
        let allowed_states = [State::Arrived, State::Waiting, State::Held, State::Dispatched];
        self.change(&allowed_states, State::Refused);
        if self.may_have_run {
            ApiError { ran: topazyard_wire::Execution::MayHaveRun, ..error }
        } else {
            error
        }
    }

    /// Whether no other engine may be tried after this one.
    pub fn is_last_attempt(&self) -> bool {
        self.attempts >= self.max_attempts
    }

    /// How long to wait for the head of the response. A request that may be repeated leaves time
    /// for another attempt.
    pub fn timeout(&self, now: MonotonicMs) -> DurationMs {
        let left = self.deadline.since(now);
        let is_last = !self.repeatable || self.attempts >= self.max_attempts;
        if is_last { left } else { DurationMs(left.0 / 2) }
    }

    /// Whether a response head was relayed, so that the response can only be continued or cut off.
    pub fn has_relayed_head(&self) -> bool {
        self.head_relayed
    }

    /// Decides what a failure means in the current state.
    pub fn fail(&mut self, failure: Failure, now: MonotonicMs) -> FailureAction {
        let before_deadline = now < self.deadline;
        match self.state {
            State::Relaying | State::Dispatched if self.head_relayed => {
                if self.resumable && before_deadline && self.attempts < self.max_attempts {
                    return FailureAction::TryAnotherEngine;
                }
                self.change(&[State::Relaying, State::Dispatched], State::Interrupted);
                FailureAction::CloseConnection
            }
            State::Dispatched => {
                if failure == Failure::TurnedAway {
                    self.may_have_run = self.may_have_run_before;
                }
                let may_repeat = self.repeatable || failure == Failure::TurnedAway;
                if may_repeat && before_deadline && self.attempts < self.max_attempts {
                    return FailureAction::TryAnotherEngine;
                }
                let error = match failure {
                    Failure::TurnedAway => ApiError::not_run(Code::TurnedAway),
                    Failure::TimedOut => ApiError::may_have_run(Code::EngineTimeout),
                    Failure::ConnectionLost
                    | Failure::MismatchedResponse
                    | Failure::EngineError
                    | Failure::NotConnected => ApiError::may_have_run(Code::EngineFailed),
                };
                FailureAction::Respond(self.refuse(error))
            }
            _ => {
                self.failed_connects += 1;
                if before_deadline
                    && self.failed_connects + self.attempts
                        < self.max_attempts.max(DEFAULT_MAX_ATTEMPTS)
                {
                    return FailureAction::TryAnotherEngine;
                }
                if self.head_relayed {
                    self.change(&[State::Held, State::Relaying], State::Interrupted);
                    return FailureAction::CloseConnection;
                }
                FailureAction::Respond(self.refuse(ApiError::not_run(Code::NoEngine)))
            }
        }
    }
}
