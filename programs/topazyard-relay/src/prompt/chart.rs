//! The state chart of a prompt. It alone decides what a failure means: whether another engine may
//! be tried, what the visitor is told, or that the return must break off.
//!
//! ```text
//! Arrived -> Waiting -> Held -> Dispatched -> Relaying -> Whole
//!    |          |        | ^        |             |
//!    +----------+--------+-|--------+-> Refused   +-> Cut
//!                          +-- (another engine) --+
//! ```

use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::api::{ApiError, Code};

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
    /// Part of the return may have reached the visitor.
    Relaying,
    /// The whole return was relayed.
    Whole,
    /// The return broke off, and the visitor's connection with it.
    Cut,
    /// It got an error for its final answer.
    Refused,
}

/// What can go wrong with an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made: nothing was sent.
    NotConnected,
    /// The connection broke, or the return made no sense.
    Broken,
    /// Nothing came in time.
    TimedOut,
}

/// What is to be done about a failure.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Try another engine.
    Another,
    /// Give this as the final answer, at once.
    Answer(ApiError),
    /// Break the visitor's connection.
    Break,
}

/// How often a prompt may be sent to an engine or find one that takes no connection.
const MOST_TRIES: u32 = 3;

/// A prompt's way.
#[derive(Debug)]
pub struct Chart {
    state: State,
    repeatable: bool,
    deadline: MonotonicMs,
    tries: u32,
    /// Whether any try was sent.
    sent: bool,
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
    /// assert_eq!(error.ran, topazyard_wire::Ran::MayHaveRun);
    /// assert_eq!(chart.state(), State::Refused);
    /// ```
    pub fn arrived(repeatable: bool, deadline: MonotonicMs) -> Self {
        Self { state: State::Arrived, repeatable, deadline, tries: 0, sent: false }
    }

    /// Where it is.
    pub fn state(&self) -> State {
        self.state
    }

    fn change(&mut self, from: &[State], to: State) {
        debug_assert!(from.contains(&self.state), "{:?} -> {to:?}", self.state);
        self.state = to;
    }

    /// It goes to the inbox.
    pub fn wait(&mut self) {
        self.change(&[State::Arrived], State::Waiting);
    }

    /// It holds its cost and has an engine.
    pub fn hold(&mut self) {
        self.change(&[State::Waiting, State::Held, State::Dispatched], State::Held);
    }

    /// Its bytes go out with the next step.
    pub fn dispatch(&mut self) {
        self.tries += 1;
        self.sent = true;
        self.change(&[State::Held], State::Dispatched);
    }

    /// The head of the return is here and goes to the visitor.
    pub fn relay(&mut self) {
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
        if self.sent { ApiError { ran: topazyard_wire::Ran::MayHaveRun, ..error } } else { error }
    }

    /// For how long the head of the return may be waited for. A prompt that may be repeated
    /// leaves time for another try.
    pub fn patience(&self, now: MonotonicMs) -> DurationMs {
        let left = self.deadline.since(now);
        let last = !self.repeatable || self.tries >= MOST_TRIES;
        if last { left } else { DurationMs(left.0 / 2) }
    }

    /// What a failure means here.
    pub fn fail(&mut self, failure: Failure, now: MonotonicMs) -> Next {
        let in_time = now < self.deadline;
        match self.state {
            State::Relaying => {
                self.change(&[State::Relaying], State::Cut);
                Next::Break
            }
            State::Dispatched => {
                if self.repeatable && in_time && self.tries < MOST_TRIES {
                    return Next::Another;
                }
                let code = match failure {
                    Failure::TimedOut => Code::EngineTimeout,
                    Failure::Broken | Failure::NotConnected => Code::EngineFailed,
                };
                Next::Answer(self.refuse(ApiError::may_have_run(code)))
            }
            _ => {
                self.tries += 1;
                if in_time && self.tries < MOST_TRIES {
                    return Next::Another;
                }
                Next::Answer(self.refuse(ApiError::not_run(Code::NoEngine)))
            }
        }
    }
}
