//! The state chart of a prompt. It alone decides what a failure means: whether another engine may
//! be tried, what the client is told, or that the return must break off.
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

/// Where a prompt is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It arrived and nothing was decided.
    Arrived,
    /// It waits for room.
    Waiting,
    /// It holds its cost and has an engine; nothing was sent.
    Held,
    /// Its bytes may have reached the engine.
    Dispatched,
    /// Part of the return may have reached the client.
    Relaying,
    /// The whole return was relayed.
    Completed,
    /// The return broke off, and the client's connection with it.
    Interrupted,
    /// It got an error for its final answer.
    Refused,
}

/// What can go wrong with an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// No connection could be made: nothing was sent.
    NotConnected,
    /// The connection broke, or the return made no sense.
    ConnectionLost,
    /// What came in the place of the return belongs to no request that was sent.
    MismatchedResponse,
    /// The engine said that it failed.
    EngineError,
    /// Nothing came in time.
    TimedOut,
    /// The engine said that it did not run it, and never will.
    TurnedAway,
}

/// What is to be done about a failure.
#[derive(Debug, Clone, PartialEq)]
pub enum FailureAction {
    /// Try another engine.
    TryAnotherEngine,
    /// Give this as the final answer, at once.
    Respond(ApiError),
    /// Break the client's connection.
    CloseConnection,
}

/// How often a prompt without a route may be sent to an engine, and any may find one that takes no
/// connection.
const MOST_TRIES: u32 = 3;

/// A prompt's way.
#[derive(Debug)]
pub struct RequestStateMachine {
    state: State,
    repeatable: bool,
    /// Whether a return that was begun may be gone on with from another engine.
    resumable: bool,
    deadline: MonotonicMs,
    most_tries: u32,
    tries: u32,
    unconnected: u32,
    /// Whether any try may have run.
    sent: bool,
    /// Whether an earlier try than the present one may have run.
    sent_before: bool,
    /// Whether a head was relayed.
    begun: bool,
}

impl RequestStateMachine {
    /// A prompt that has just arrived.
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

    /// A request on a route that has just been let in: what its route says decides.
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

    /// Where it is.
    pub fn state(&self) -> State {
        self.state
    }

    fn change(&mut self, from: &[State], to: State) {
        let is_allowed = from.contains(&self.state);
        invariants::check(is_allowed, Invariant::RequestFollowsStateMachine, || {
            format!("from={:?} to={to:?}", self.state)
        });
        debug_assert!(is_allowed, "{:?} -> {to:?}", self.state);
        self.state = to;
    }

    /// It goes to the queue.
    pub fn enqueue(&mut self) {
        self.change(&[State::Arrived], State::Waiting);
    }

    /// It holds its cost and has an engine.
    pub fn hold(&mut self) {
        let before = [State::Waiting, State::Held, State::Dispatched, State::Relaying];
        self.change(&before, State::Held);
    }

    /// Its bytes go out with the next step.
    pub fn dispatch(&mut self) {
        self.tries += 1;
        self.sent_before = self.sent;
        self.sent = true;
        self.change(&[State::Held], State::Dispatched);
    }

    /// Its bytes did not go out after all: the connection was closed before the first of them.
    pub fn undo_dispatch(&mut self) {
        self.tries -= 1;
        self.sent = self.sent_before;
        self.change(&[State::Dispatched], State::Held);
    }

    /// The head of the return is here and goes to the client.
    pub fn start_relaying(&mut self) {
        self.begun = true;
        self.change(&[State::Dispatched], State::Relaying);
    }

    /// The whole return was relayed.
    pub fn complete(&mut self) {
        self.change(&[State::Relaying], State::Completed);
    }

    /// It is refused with this error, which is made to say so if an earlier try was sent.
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

    /// For how long the head of the return may be waited for. A prompt that may be repeated
    /// leaves time for another try.
    pub fn timeout(&self, now: MonotonicMs) -> DurationMs {
        let left = self.deadline.since(now);
        let last = !self.repeatable || self.tries >= self.most_tries;
        if last { left } else { DurationMs(left.0 / 2) }
    }

    /// Whether a head was relayed, so that what follows can only go on or break off.
    pub fn has_relayed_head(&self) -> bool {
        self.begun
    }

    /// What a failure means here.
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
