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
    Whole,
    /// The return broke off, and the client's connection with it.
    Cut,
    /// It got an error for its final answer.
    Refused,
}

/// What can go wrong with an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// No connection could be made: nothing was sent.
    NotConnected,
    /// The connection broke, or the return made no sense.
    Broken,
    /// What came in the place of the return belongs to no request that was sent.
    Foreign,
    /// The engine said that it failed.
    Failed,
    /// Nothing came in time.
    TimedOut,
    /// The engine said that it did not run it, and never will.
    TurnedAway,
}

/// What is to be done about a failure.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Try another engine.
    Another,
    /// Give this as the final answer, at once.
    Answer(ApiError),
    /// Break the client's connection.
    Break,
}

/// How often a prompt without a route may be sent to an engine, and any may find one that takes no
/// connection.
const MOST_TRIES: u32 = 3;

/// A prompt's way.
#[derive(Debug)]
pub struct Chart {
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

impl Chart {
    /// A prompt that has just arrived.
    ///
    /// ```
    /// use topazyard_relay::prompt::{Chart, Failure, Next, State};
    /// use topazyard_types::MonotonicMs;
    /// let mut chart = Chart::arrived(false, MonotonicMs(1_000));
    /// chart.wait();
    /// chart.hold();
    /// chart.dispatch();
    /// // Sent and not repeatable: never sent again, and never said not to have run.
    /// let Next::Answer(error) = chart.fail(Failure::Broken, MonotonicMs(10)) else { panic!() };
    /// assert_eq!(error.ran, topazyard_wire::Execution::MayHaveRun);
    /// assert_eq!(chart.state(), State::Refused);
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
    /// use topazyard_relay::prompt::{Chart, Failure, Next};
    /// use topazyard_types::MonotonicMs;
    /// let mut chart = Chart::on_route(true, true, 2, MonotonicMs(1_000));
    /// chart.wait();
    /// chart.hold();
    /// chart.dispatch();
    /// chart.relay();
    /// // A resumable stream that broke midway goes on elsewhere, once.
    /// assert_eq!(chart.fail(Failure::Broken, MonotonicMs(10)), Next::Another);
    /// chart.hold();
    /// chart.dispatch();
    /// assert_eq!(chart.fail(Failure::Broken, MonotonicMs(10)), Next::Break);
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
        invariants::check(is_allowed, Invariant::RequestFollowsItsChart, || {
            format!("from={:?} to={to:?}", self.state)
        });
        debug_assert!(is_allowed, "{:?} -> {to:?}", self.state);
        self.state = to;
    }

    /// It goes to the queue.
    pub fn wait(&mut self) {
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
    pub fn unsent(&mut self) {
        self.tries -= 1;
        self.sent = self.sent_before;
        self.change(&[State::Dispatched], State::Held);
    }

    /// The head of the return is here and goes to the client.
    pub fn relay(&mut self) {
        self.begun = true;
        self.change(&[State::Dispatched], State::Relaying);
    }

    /// The whole return was relayed.
    pub fn complete(&mut self) {
        self.change(&[State::Relaying], State::Whole);
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
    pub fn is_last_try(&self) -> bool {
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
    pub fn is_begun(&self) -> bool {
        self.begun
    }

    /// What a failure means here.
    pub fn fail(&mut self, failure: Failure, now: MonotonicMs) -> Next {
        let in_time = now < self.deadline;
        match self.state {
            State::Relaying | State::Dispatched if self.begun => {
                if self.resumable && in_time && self.tries < self.most_tries {
                    return Next::Another;
                }
                self.change(&[State::Relaying, State::Dispatched], State::Cut);
                Next::Break
            }
            State::Dispatched => {
                if failure == Failure::TurnedAway {
                    self.sent = self.sent_before;
                }
                let may_repeat = self.repeatable || failure == Failure::TurnedAway;
                if may_repeat && in_time && self.tries < self.most_tries {
                    return Next::Another;
                }
                let error = match failure {
                    Failure::TurnedAway => ApiError::not_run(Code::TurnedAway),
                    Failure::TimedOut => ApiError::may_have_run(Code::EngineTimeout),
                    Failure::Broken
                    | Failure::Foreign
                    | Failure::Failed
                    | Failure::NotConnected => ApiError::may_have_run(Code::EngineFailed),
                };
                Next::Answer(self.refuse(error))
            }
            _ => {
                self.unconnected += 1;
                if in_time && self.unconnected + self.tries < self.most_tries.max(MOST_TRIES) {
                    return Next::Another;
                }
                if self.begun {
                    self.change(&[State::Held, State::Relaying], State::Cut);
                    return Next::Break;
                }
                Next::Answer(self.refuse(ApiError::not_run(Code::NoEngine)))
            }
        }
    }
}
