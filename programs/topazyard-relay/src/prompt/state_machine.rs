//! The state machine of a request. It alone decides what a failure means: whether another engine
//! may be tried, which error the client gets, or that the client's connection must be closed.
//!
//! ```text
//! Arrived -> Waiting -> Held -> Dispatched -> Relaying -> Whole
//!    |          |        | ^        |             |
//!    +----------+--------+-|--------+-> Refused   +-> Cut
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
const MOST_TRIES: u32 = 3;

/// The state machine of one request.
#[derive(Debug)]
pub struct RequestStateMachine {
    state: State,
    repeatable: bool,
    /// Whether a response that has begun may be continued from another engine.
    resumable: bool,
    deadline: MonotonicMs,
    most_tries: u32,
    tries: u32,
    unconnected: u32,
    /// Whether any attempt may have run.
    sent: bool,
    /// Whether an attempt before the current one may have run.
    sent_before: bool,
    /// Whether a response head was relayed.
    begun: bool,
}

impl RequestStateMachine {
    /// A request that has just arrived.
    ///
    /// ```
    /// use topazyard_relay::prompt::{RequestStateMachine, Failure, FailureAction, State};
    /// use topazyard_types::MonotonicMs;
    /// let mut state_machine = RequestStateMachine::arrived(false, MonotonicMs(1_000));
    /// state_machine.enqueue();
    /// state_machine.hold();
    /// state_machine.dispatch();
    /// // Sent and not repeatable: never sent again, and never said not to have run.
    /// let FailureAction::Respond(error) = state_machine.fail(Failure::ConnectionLost, MonotonicMs(10)) else { panic!() };
    /// assert_eq!(error.ran, topazyard_wire::Execution::MayHaveRun);
    /// assert_eq!(state_machine.state(), State::Refused);
    /// ```
    pub fn arrived(repeatable: bool, deadline: MonotonicMs) -> Self {
        Self {
            state: State::Arrived,
            repeatable,
            resumable: false,
            deadline,
            most_tries: MOST_TRIES,
            tries: 0,
            unconnected: 0,
            sent: false,
            sent_before: false,
            begun: false,
        }
    }

    /// A request admitted on a route; the route's settings decide about attempts.
    ///
    /// ```
    /// use topazyard_relay::prompt::{RequestStateMachine, Failure, FailureAction};
    /// use topazyard_types::MonotonicMs;
    /// let mut state_machine = RequestStateMachine::on_route(true, true, 2, MonotonicMs(1_000));
    /// state_machine.enqueue();
    /// state_machine.hold();
    /// state_machine.dispatch();
    /// state_machine.start_relaying();
    /// // A resumable stream that broke midway goes on elsewhere, once.
    /// assert_eq!(state_machine.fail(Failure::ConnectionLost, MonotonicMs(10)), FailureAction::TryAnotherEngine);
    /// state_machine.hold();
    /// state_machine.dispatch();
    /// assert_eq!(state_machine.fail(Failure::ConnectionLost, MonotonicMs(10)), FailureAction::CloseConnection);
    /// ```
    pub fn on_route(
        repeatable: bool,
        resumable: bool,
        most_tries: u32,
        deadline: MonotonicMs,
    ) -> Self {
        Self { resumable, most_tries, ..Self::arrived(repeatable, deadline) }
    }

    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    fn change(&mut self, from: &[State], to: State) {
        let is_allowed = from.contains(&self.state);
        invariants::check(is_allowed, Invariant::RequestFollowsItsChart, || {
            format!("from={:?} to={to:?}", self.state)
        });
        debug_assert!(is_allowed, "{:?} -> {to:?}", self.state);
        self.state = to;
    }

    /// Enters the queue.
    pub fn enqueue(&mut self) {
        self.change(&[State::Arrived], State::Waiting);
    }

    /// Holds its cost and has an engine.
    pub fn hold(&mut self) {
        let before = [State::Waiting, State::Held, State::Dispatched, State::Relaying];
        self.change(&before, State::Held);
    }

    /// Its bytes are sent with the next step.
    pub fn dispatch(&mut self) {
        self.tries += 1;
        self.sent_before = self.sent;
        self.sent = true;
        self.change(&[State::Held], State::Dispatched);
    }

    /// Takes the last dispatch back: the connection was closed before the first byte was sent.
    pub fn undo_dispatch(&mut self) {
        self.tries -= 1;
        self.sent = self.sent_before;
        self.change(&[State::Dispatched], State::Held);
    }

    /// The head of the response arrived and is relayed to the client.
    pub fn start_relaying(&mut self) {
        self.begun = true;
        self.change(&[State::Dispatched], State::Relaying);
    }

    /// The complete response was relayed.
    pub fn complete(&mut self) {
        self.change(&[State::Relaying], State::Completed);
    }

    /// Refuses the request with this error, marked as possibly run if any attempt may have run.
    pub fn refuse(&mut self, error: ApiError) -> ApiError {
        let before = [State::Arrived, State::Waiting, State::Held, State::Dispatched];
        self.change(&before, State::Refused);
        if self.sent {
            ApiError { ran: topazyard_wire::Execution::MayHaveRun, ..error }
        } else {
            error
        }
    }

    /// Whether no other engine may be tried after this one.
    pub fn is_last_attempt(&self) -> bool {
        self.tries >= self.most_tries
    }

    /// How long to wait for the head of the response. A request that may be repeated leaves time
    /// for another attempt.
    pub fn timeout(&self, now: MonotonicMs) -> DurationMs {
        let left = self.deadline.since(now);
        let last = !self.repeatable || self.tries >= self.most_tries;
        if last { left } else { DurationMs(left.0 / 2) }
    }

    /// Whether a response head was relayed, so that the response can only be continued or cut off.
    pub fn has_relayed_head(&self) -> bool {
        self.begun
    }

    /// Decides what a failure means in the current state.
    pub fn fail(&mut self, failure: Failure, now: MonotonicMs) -> FailureAction {
        let in_time = now < self.deadline;
        match self.state {
            State::Relaying | State::Dispatched if self.begun => {
                if self.resumable && in_time && self.tries < self.most_tries {
                    return FailureAction::TryAnotherEngine;
                }
                self.change(&[State::Relaying, State::Dispatched], State::Interrupted);
                FailureAction::CloseConnection
            }
            State::Dispatched => {
                if failure == Failure::TurnedAway {
                    self.sent = self.sent_before;
                }
                let may_repeat = self.repeatable || failure == Failure::TurnedAway;
                if may_repeat && in_time && self.tries < self.most_tries {
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
                self.unconnected += 1;
                if in_time && self.unconnected + self.tries < self.most_tries.max(MOST_TRIES) {
                    return FailureAction::TryAnotherEngine;
                }
                if self.begun {
                    self.change(&[State::Held, State::Relaying], State::Interrupted);
                    return FailureAction::CloseConnection;
                }
                FailureAction::Respond(self.refuse(ApiError::not_run(Code::NoEngine)))
            }
        }
    }
}
