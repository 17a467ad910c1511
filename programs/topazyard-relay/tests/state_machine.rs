//! The request state machine checked against independent counters: how often a request may have
//! run, and what its client is told.

use topazyard_relay::prompt::{Failure, FailureAction, RequestStateMachine};
use topazyard_types::MonotonicMs;
use topazyard_wire::api::Execution;

const DEADLINE: MonotonicMs = MonotonicMs(1_000);

/// The outcome of one attempt.
#[derive(Debug, Clone, Copy)]
enum Attempt {
    /// No connection was made.
    NotConnected,
    /// The connection was closed before the first byte.
    Unsent,
    /// It was sent and failed in this way.
    Sent(Failure),
    /// The head of a response was relayed, and the rest failed in this way.
    Interrupted(Failure),
}

const ATTEMPTS: [Attempt; 9] = [
    Attempt::NotConnected,
    Attempt::Unsent,
    Attempt::Sent(Failure::TurnedAway),
    Attempt::Sent(Failure::ConnectionLost),
    Attempt::Sent(Failure::MismatchedResponse),
    Attempt::Sent(Failure::EngineError),
    Attempt::Sent(Failure::TimedOut),
    Attempt::Interrupted(Failure::ConnectionLost),
    Attempt::Interrupted(Failure::TimedOut),
];

/// A state machine and the independent counters.
struct Counted {
    state_machine: RequestStateMachine,
    sent: u32,
    may_have_run: u32,
    head_relayed: bool,
}

impl Counted {
    fn apply(&mut self, attempt: Attempt, now: MonotonicMs) -> FailureAction {
        match attempt {
            Attempt::NotConnected => self.state_machine.fail(Failure::NotConnected, now),
            Attempt::Unsent => {
                self.state_machine.dispatch();
                self.state_machine.undo_dispatch();
                self.state_machine.fail(Failure::NotConnected, now)
            }
            Attempt::Sent(failure) => {
                self.state_machine.dispatch();
                self.sent += 1;
                self.may_have_run += u32::from(failure != Failure::TurnedAway);
                self.state_machine.fail(failure, now)
            }
            Attempt::Interrupted(failure) => {
                self.state_machine.dispatch();
                self.state_machine.start_relaying();
                self.sent += 1;
                self.may_have_run += 1;
                self.head_relayed = true;
                self.state_machine.fail(failure, now)
            }
        }
    }
}

// Guards against a non-repeatable request that runs twice, a request that is sent to more engines
// than its route allows, and a client that is told wrongly that its request did not run.
#[test]
fn no_sequence_of_failures_exceeds_the_attempts_or_misreports_execution() {
    bolero::check!().with_type::<(u8, u8, Vec<(u8, u16)>)>().with_iterations(20_000).for_each(
        |(kind, max_attempts, attempts)| {
            let (repeatable, resumable) =
                [(false, false), (true, false), (true, true)][usize::from(kind % 3)];
            let max_attempts = 1 + u32::from(max_attempts % 4);
            let mut counted = Counted {
                state_machine: RequestStateMachine::on_route(
                    repeatable,
                    resumable,
                    max_attempts,
                    DEADLINE,
                ),
                sent: 0,
                may_have_run: 0,
                head_relayed: false,
            };
            counted.state_machine.enqueue();
            counted.state_machine.hold();
            for (attempt, now) in attempts {
                let attempt = ATTEMPTS[usize::from(*attempt) % ATTEMPTS.len()];
                let next = counted.apply(attempt, MonotonicMs(u64::from(now % 1_100)));
                assert!(counted.sent <= max_attempts);
                assert!(repeatable || counted.may_have_run <= 1);
                match next {
                    FailureAction::TryAnotherEngine => counted.state_machine.hold(),
                    FailureAction::Respond(error) => {
                        let may_have_run = counted.may_have_run > 0;
                        assert_eq!(error.ran == Execution::MayHaveRun, may_have_run);
                        return assert!(!counted.head_relayed, "a head was already relayed");
                    }
                    FailureAction::CloseConnection => return assert!(counted.head_relayed),
                }
            }
        },
    );
}
