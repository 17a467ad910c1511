//! Graceful shutdown of a relay after SIGTERM, as a state machine without I/O.
//!
//! A draining relay leads its listeners through stages. First clients are told to disconnect, while
//! new ones may still be routed here. Then idle connections are closed, and a request is admitted
//! only if its deadline lies before the end of serving, so that it has all the time it may need.
//! Once no work is under way, or when serving ends, nothing more is admitted, and every request
//! without a response gets its final response at once. The last part of the grace period is left
//! for sending these.

use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::http::inbound::Stage;

/// Sixteenths of the grace period after which runs of routed items are aborted, so that another
/// relay resumes them.
const ITEM_RUNS_SIXTEENTHS: u64 = 12;
/// Sixteenths of the grace period within which batch calls are answered; the rest is left for
/// delivering the responses.
const BATCH_CALLS_SIXTEENTHS: u64 = 13;
/// Sixteenths of the grace period during which the relay serves requests.
const SERVING_SIXTEENTHS: u64 = 14;
/// Sixteenths of the grace period after which the process exits by itself, before it is killed.
const EXIT_SIXTEENTHS: u64 = 15;

/// The phases of a drain, as offsets from SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTimes {
    /// How long clients may still be routed to this relay.
    pub deregistration_delay: DurationMs,
    /// How long runs of routed items may continue.
    pub item_runs: DurationMs,
    /// Within which time batch calls are answered.
    pub batch_calls: DurationMs,
    /// How long the relay serves requests.
    pub serving: DurationMs,
    /// When the process exits, whatever is under way.
    pub exit: DurationMs,
}

impl DrainTimes {
    /// The phases for a relay that is killed after `grace` and to which clients may still be routed
    /// for `deregistration_delay`.
    ///
    /// ```
    /// use topazyard_relay::drain::DrainTimes;
    /// use topazyard_types::DurationMs;
    /// let times = DrainTimes::within(DurationMs(8_000), DurationMs(2_500));
    /// let phases = (times.deregistration_delay.0, times.serving.0, times.exit.0);
    /// assert_eq!(phases, (2_500, 7_000, 7_500));
    /// // With a short grace period the delay is limited to half of the serving time.
    /// let times = DrainTimes::within(DurationMs(1_600), DurationMs(2_500));
    /// assert_eq!(times.deregistration_delay.0, 700);
    /// ```
    pub fn within(grace: DurationMs, deregistration_delay: DurationMs) -> Self {
        let sixteenths = |count: u64| DurationMs(grace.0 * count / 16);
        let serving = sixteenths(SERVING_SIXTEENTHS);
        Self {
            deregistration_delay: DurationMs(deregistration_delay.0.min(serving.0 / 2)),
            item_runs: sixteenths(ITEM_RUNS_SIXTEENTHS),
            batch_calls: sixteenths(BATCH_CALLS_SIXTEENTHS),
            serving,
            exit: sixteenths(EXIT_SIXTEENTHS),
        }
    }
}

/// A drain in progress: its start and its phases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draining {
    started_at: MonotonicMs,
    times: DrainTimes,
}

impl Draining {
    /// Starts a drain now.
    pub fn start(times: DrainTimes, now: MonotonicMs) -> Self {
        Self { started_at: now, times }
    }

    /// The time since the drain started.
    pub fn elapsed(&self, now: MonotonicMs) -> DurationMs {
        now.since(self.started_at)
    }

    /// When the remaining runs of routed items are aborted, so that their shards learn their
    /// progress in time.
    pub fn abort_runs_at(&self) -> MonotonicMs {
        self.started_at.plus(self.times.item_runs)
    }

    /// The time by which batch calls are answered.
    pub fn batch_call_deadline(&self) -> MonotonicMs {
        self.started_at.plus(self.times.batch_calls)
    }

    /// The end of serving requests.
    pub fn serving_deadline(&self) -> MonotonicMs {
        self.started_at.plus(self.times.serving)
    }

    /// When the process exits, whatever is under way.
    pub fn exit_at(&self) -> MonotonicMs {
        self.started_at.plus(self.times.exit)
    }

    /// Until when clients may still be routed to this relay.
    pub fn deregistered_at(&self) -> MonotonicMs {
        self.started_at.plus(self.times.deregistration_delay)
    }

    /// The delay until the next check: until the stage may next change by time alone, at most
    /// `longest`. Zero where the process should have exited.
    ///
    /// ```
    /// use topazyard_relay::drain::{DrainTimes, Draining};
    /// use topazyard_types::{DurationMs, MonotonicMs};
    /// let times = DrainTimes::within(DurationMs(800), DurationMs(0));
    /// let draining = Draining::start(times, MonotonicMs(100));
    /// let next = |now| draining.next_check_delay(DurationMs(100), MonotonicMs(now)).0;
    /// assert_eq!((next(100), next(760), next(800), next(850)), (100, 40, 50, 0));
    /// ```
    pub fn next_check_delay(&self, longest: DurationMs, now: MonotonicMs) -> DurationMs {
        let transitions = [self.deregistered_at(), self.serving_deadline(), self.exit_at()];
        let next = transitions.into_iter().filter(|at| *at > now).min();
        next.map_or(DurationMs(0), |at| at.since(now).min(longest))
    }

    /// Whether a request with this deadline may be admitted: any request while clients are still
    /// routed here, later only one that ends before the relay stops serving.
    pub fn may_admit(&self, deadline: MonotonicMs, now: MonotonicMs) -> bool {
        now < self.deregistered_at() || deadline <= self.serving_deadline()
    }

    /// The stage at this time, given whether any work is under way.
    ///
    /// ```
    /// use topazyard_relay::drain::{DrainTimes, Draining};
    /// use topazyard_types::{DurationMs, MonotonicMs};
    /// use topazyard_wire::http::inbound::Stage;
    /// let times = DrainTimes::within(DurationMs(8_000), DurationMs(2_500));
    /// let draining = Draining::start(times, MonotonicMs(100));
    /// assert_eq!(draining.stage(true, MonotonicMs(2_599)), Stage::Closing);
    /// assert_eq!(draining.stage(true, MonotonicMs(2_600)), Stage::ClosingIdle);
    /// assert_eq!(draining.stage(false, MonotonicMs(2_600)), Stage::Ending);
    /// assert_eq!(draining.stage(true, MonotonicMs(7_100)), Stage::Overdue);
    /// ```
    pub fn stage(&self, is_under_way: bool, now: MonotonicMs) -> Stage {
        if now < self.deregistered_at() {
            Stage::Closing
        } else if now >= self.serving_deadline() {
            Stage::Overdue
        } else if is_under_way {
            Stage::ClosingIdle
        } else {
            Stage::Ending
        }
    }
}
