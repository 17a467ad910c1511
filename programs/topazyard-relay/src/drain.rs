//! How a relay ends in order after SIGTERM: a state machine without input or output.
//!
//! A relay that ends goes through the stages of its listeners. First clients are told to leave, while
//! some are still sent here. Then idle connections are closed, and a request is taken only if its
//! deadline comes before the moment up to which the relay serves: whatever is taken has the time that
//! it may need. Once nothing is under way, or at that moment, nothing is taken any more, and what is
//! still without a response gets its final answer at once. A part of the grace is left to send it.

use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::http::inbound::Stage;

/// So long runs of routed items may go on. After it another relay is to go on with them.
const RUNS_SIXTEENTHS: u64 = 12;
/// Within so long calls on batches are answered, and what is left is for the answer's own way.
const CALLS_SIXTEENTHS: u64 = 13;
/// A relay serves for so many sixteenths of its grace.
const SERVES_SIXTEENTHS: u64 = 14;
/// It has ended by itself after so many sixteenths, before it is killed.
const ENDS_SIXTEENTHS: u64 = 15;

/// The times of a drain, counted from SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTimes {
    /// For how long clients may still be sent here.
    pub deregistration_delay: DurationMs,
    /// For how long runs of routed items go on.
    pub item_runs: DurationMs,
    /// Within how long calls on batches are answered.
    pub batch_calls: DurationMs,
    /// For how long the relay serves.
    pub serving: DurationMs,
    /// When the process ends, whatever is under way.
    pub exit: DurationMs,
}

impl DrainTimes {
    /// The times of a relay that is killed after `grace`, and to which clients may still be sent for
    /// `deregistration_delay`.
    ///
    /// ```
    /// use topazyard_relay::drain::DrainTimes;
    /// use topazyard_types::DurationMs;
    /// let times = DrainTimes::within(DurationMs(8_000), DurationMs(2_500));
    /// assert_eq!((times.deregistration_delay.0, times.serving.0, times.exit.0), (2_500, 7_000, 7_500));
    /// // With little time it doesn't wait for half of it.
    /// assert_eq!(DrainTimes::within(DurationMs(1_600), DurationMs(2_500)).deregistration_delay.0, 700);
    /// ```
    pub fn within(grace: DurationMs, deregistration_delay: DurationMs) -> Self {
        let sixteenths = |count: u64| DurationMs(grace.0 * count / 16);
        let serving = sixteenths(SERVES_SIXTEENTHS);
        Self {
            deregistration_delay: DurationMs(deregistration_delay.0.min(serving.0 / 2)),
            item_runs: sixteenths(RUNS_SIXTEENTHS),
            batch_calls: sixteenths(CALLS_SIXTEENTHS),
            serving,
            exit: sixteenths(ENDS_SIXTEENTHS),
        }
    }
}

/// When a relay that drains does what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draining {
    begun: MonotonicMs,
    times: DrainTimes,
}

impl Draining {
    /// A drain that begins now.
    pub fn start(times: DrainTimes, now: MonotonicMs) -> Self {
        Self { begun: now, times }
    }

    /// How long it has lasted.
    pub fn elapsed(&self, now: MonotonicMs) -> DurationMs {
        now.since(self.begun)
    }

    /// When runs of routed items that are left are broken off, so that their shards hear in time how
    /// far they came.
    pub fn abort_runs_at(&self) -> MonotonicMs {
        self.begun.plus(self.times.item_runs)
    }

    /// Until when calls on batches are answered.
    pub fn batch_call_deadline(&self) -> MonotonicMs {
        self.begun.plus(self.times.batch_calls)
    }

    /// Up to when the relay serves.
    pub fn serving_deadline(&self) -> MonotonicMs {
        self.begun.plus(self.times.serving)
    }

    /// When the process ends, whatever is under way.
    pub fn exit_at(&self) -> MonotonicMs {
        self.begun.plus(self.times.exit)
    }

    /// Up to when clients are still sent here.
    pub fn deregistered_at(&self) -> MonotonicMs {
        self.begun.plus(self.times.deregistration_delay)
    }

    /// For how long nothing needs to be looked at: until the next moment at which the stage may change
    /// by itself, and no longer than `longest`. None where the process should have ended.
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
        let moments = [self.deregistered_at(), self.serving_deadline(), self.exit_at()];
        let next = moments.into_iter().filter(|moment| *moment > now).min();
        next.map_or(DurationMs(0), |moment| moment.since(now).min(longest))
    }

    /// Whether a request with this deadline may be taken: while clients are still sent here each is,
    /// later only one that is surely over before the relay is.
    pub fn may_admit(&self, deadline: MonotonicMs, now: MonotonicMs) -> bool {
        now < self.deregistered_at() || deadline <= self.serving_deadline()
    }

    /// The stage to be in, where so much is under way.
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
