//! How a relay ends in order, as its state machine decides, for any times.

use topazyard_relay::drain::{DrainTimes, Draining};
use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::http::inbound::Stage;

const BEGUN: MonotonicMs = MonotonicMs(86_400_000);

fn draining(grace_ms: u32, still_sent_ms: u32) -> (DrainTimes, Draining) {
    let grace = DurationMs(grace_ms.into());
    let times = DrainTimes::within(grace, DurationMs(still_sent_ms.into()));
    (times, Draining::start(times, BEGUN))
}

// Else a process is killed with responses that it has not sent, or gives up while it has time.
#[test]
fn its_times_come_in_order_within_any_grace() {
    bolero::check!().with_type::<(u32, u32)>().for_each(|&(grace_ms, still_sent_ms)| {
        let (times, _) = draining(grace_ms, still_sent_ms);
        assert!(times.deregistration_delay <= times.serving, "{times:?}");
        assert!(times.serving <= times.exit, "{times:?}");
        assert!(times.exit.0 <= u64::from(grace_ms), "{times:?}");
        if grace_ms >= 16 {
            assert!(times.serving < times.exit, "nothing is left to send last answers: {times:?}");
        }
    });
}

// Else a request is taken that the process has no time for.
#[test]
fn what_is_taken_after_clients_are_sent_elsewhere_is_over_while_the_relay_serves() {
    bolero::check!().with_type::<(u32, u32, u32, u32)>().for_each(
        |&(grace_ms, still_sent_ms, after_ms, wait_ms)| {
            let (times, draining) = draining(grace_ms, still_sent_ms);
            let now = BEGUN.plus(DurationMs(after_ms.into()));
            let deadline = now.plus(DurationMs(wait_ms.into()));
            let is_late = now >= BEGUN.plus(times.deregistration_delay);
            if is_late && draining.may_admit(deadline, now) {
                assert!(deadline <= draining.serving_deadline());
            }
        },
    );
}

// Else a listener that was closed takes connections again, or one is closed before clients are sent
// elsewhere.
#[test]
fn stages_never_go_back_while_work_ends() {
    bolero::check!().with_type::<(u16, u16, Vec<(u8, bool)>)>().for_each(
        |(grace_ms, still_sent_ms, steps)| {
            let (times, draining) = draining((*grace_ms).into(), (*still_sent_ms).into());
            let mut now = BEGUN;
            let mut reached = Stage::Serving;
            for (step_ms, is_under_way) in steps {
                now = now.plus(DurationMs(u64::from(*step_ms) * 10));
                let stage = draining.stage(*is_under_way, now);
                if now < BEGUN.plus(times.deregistration_delay) {
                    assert_eq!(stage, Stage::Closing);
                }
                if now >= draining.serving_deadline() {
                    assert_eq!(stage, Stage::Overdue);
                }
                // Work that comes while connections are closed may put the end off, not undo it.
                reached = reached.max(stage);
                assert!(reached == Stage::Ending || stage == reached);
            }
        },
    );
}
