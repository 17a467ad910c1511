//! The drain state machine, checked for arbitrary times.

use topazyard_relay::drain::{DrainTimes, Draining};
use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::http::inbound::Stage;

const STARTED_AT: MonotonicMs = MonotonicMs(86_400_000);

fn draining(grace_ms: u32, deregistration_delay_ms: u32) -> (DrainTimes, Draining) {
    let grace = DurationMs(grace_ms.into());
    let times = DrainTimes::within(grace, DurationMs(deregistration_delay_ms.into()));
    (times, Draining::start(times, STARTED_AT))
}

// Guards against a process that is killed before it has sent its responses, or that exits with time
// left.
#[test]
fn phases_are_in_order_within_any_grace_period() {
    bolero::check!().with_type::<(u32, u32)>().for_each(|&(grace_ms, deregistration_delay_ms)| {
        let (times, _) = draining(grace_ms, deregistration_delay_ms);
        assert!(times.deregistration_delay <= times.serving, "{times:?}");
        assert!(times.serving <= times.exit, "{times:?}");
        assert!(times.exit.0 <= u64::from(grace_ms), "{times:?}");
        if grace_ms >= 16 {
            assert!(times.serving < times.exit, "no time left to send final responses: {times:?}");
        }
    });
}

// Guards against admitting a request that the process has no time to finish.
#[test]
fn requests_admitted_after_deregistration_end_while_the_relay_serves() {
    bolero::check!().with_type::<(u32, u32, u32, u32)>().for_each(
        |&(grace_ms, deregistration_delay_ms, after_ms, wait_ms)| {
            let (times, draining) = draining(grace_ms, deregistration_delay_ms);
            let now = STARTED_AT.plus(DurationMs(after_ms.into()));
            let deadline = now.plus(DurationMs(wait_ms.into()));
            let is_late = now >= STARTED_AT.plus(times.deregistration_delay);
            if is_late && draining.may_admit(deadline, now) {
                assert!(deadline <= draining.serving_deadline());
            }
        },
    );
}

// Guards against a closed listener that accepts connections again, and a listener that closes while
// clients are still routed here.
#[test]
fn stages_never_go_back() {
    bolero::check!().with_type::<(u16, u16, Vec<(u8, bool)>)>().for_each(
        |(grace_ms, deregistration_delay_ms, steps)| {
            let (times, draining) = draining((*grace_ms).into(), (*deregistration_delay_ms).into());
            let mut now = STARTED_AT;
            let mut reached = Stage::Serving;
            for (step_ms, is_under_way) in steps {
                now = now.plus(DurationMs(u64::from(*step_ms) * 10));
                let stage = draining.stage(*is_under_way, now);
                if now < STARTED_AT.plus(times.deregistration_delay) {
                    assert_eq!(stage, Stage::Closing);
                }
                if now >= draining.serving_deadline() {
                    assert_eq!(stage, Stage::Overdue);
                }
                // Work that arrives while connections are closing may delay the end but not undo
                // it.
                reached = reached.max(stage);
                assert!(reached == Stage::Ending || stage == reached);
            }
        },
    );
}
