//! The chart against a count kept apart: how often a request may have run, and what its client is
//! told.

use topazyard_relay::prompt::{Failure, FailureAction, RequestStateMachine};
use topazyard_types::MonotonicMs;
use topazyard_wire::api::Execution;

const DEADLINE: MonotonicMs = MonotonicMs(1_000);

/// What happens to one try.
#[derive(Debug, Clone, Copy)]
enum Try {
    /// No connection.
    NotConnected,
    /// The connection was closed before the first byte.
    Unsent,
    /// It was sent, and failed this way.
    Sent(Failure),
    /// The head of a return was relayed, and the rest failed this way.
    Cut(Failure),
}

const TRIES: [Try; 9] = [
    Try::NotConnected,
    Try::Unsent,
    Try::Sent(Failure::TurnedAway),
    Try::Sent(Failure::ConnectionLost),
    Try::Sent(Failure::MismatchedResponse),
    Try::Sent(Failure::EngineError),
    Try::Sent(Failure::TimedOut),
    Try::Cut(Failure::ConnectionLost),
    Try::Cut(Failure::TimedOut),
];

/// A chart, and what was counted beside it.
struct Counted {
    state_machine: RequestStateMachine,
    sent: u32,
    may_have_run: u32,
    begun: bool,
}

impl Counted {
    fn play(&mut self, what: Try, now: MonotonicMs) -> FailureAction {
        match what {
            Try::NotConnected => self.state_machine.fail(Failure::NotConnected, now),
            Try::Unsent => {
                self.state_machine.dispatch();
                self.state_machine.undo_dispatch();
                self.state_machine.fail(Failure::NotConnected, now)
            }
            Try::Sent(failure) => {
                self.state_machine.dispatch();
                self.sent += 1;
                self.may_have_run += u32::from(failure != Failure::TurnedAway);
                self.state_machine.fail(failure, now)
            }
            Try::Cut(failure) => {
                self.state_machine.dispatch();
                self.state_machine.start_relaying();
                self.sent += 1;
                self.may_have_run += 1;
                self.begun = true;
                self.state_machine.fail(failure, now)
            }
        }
    }
}

// Else a request that may not run twice does, goes to more engines than its route allows, or its
// client is promised that it did not run.
#[test]
fn no_order_of_failures_sends_a_request_too_often_or_promises_too_much() {
    bolero::check!().with_type::<(u8, u8, Vec<(u8, u16)>)>().with_iterations(20_000).for_each(
        |(kind, most, tries)| {
            let (repeatable, resumable) =
                [(false, false), (true, false), (true, true)][usize::from(kind % 3)];
            let most = 1 + u32::from(most % 4);
            let mut counted = Counted {
                state_machine: RequestStateMachine::on_route(repeatable, resumable, most, DEADLINE),
                sent: 0,
                may_have_run: 0,
                begun: false,
            };
            counted.state_machine.enqueue();
            counted.state_machine.hold();
            for (what, now) in tries {
                let what = TRIES[usize::from(*what) % TRIES.len()];
                let next = counted.play(what, MonotonicMs(u64::from(now % 1_100)));
                assert!(counted.sent <= most);
                assert!(repeatable || counted.may_have_run <= 1);
                match next {
                    FailureAction::TryAnotherEngine => counted.state_machine.hold(),
                    FailureAction::Respond(error) => {
                        let may_have_run = counted.may_have_run > 0;
                        assert_eq!(error.ran == Execution::MayHaveRun, may_have_run);
                        return assert!(!counted.begun, "a second head");
                    }
                    FailureAction::CloseConnection => return assert!(counted.begun),
                }
            }
        },
    );
}
