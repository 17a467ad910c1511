//! How a relay ends in order after SIGTERM: a state machine without input or output.
//!
//! A relay that ends goes through the stages of its listeners. First clients are told to leave, while
//! some are still sent here. Then idle connections are closed, and a request is taken only if its
//! deadline comes before the moment up to which the relay serves: whatever is taken has the time that
//! it may need. Once nothing is under way, or at that moment, nothing is taken any more, and what is
//! still without a response gets its final answer at once. A part of the grace is left to send it.

use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::http::inward::Stage;

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
    pub still_sent: DurationMs,
    /// For how long runs of routed items go on.
    pub runs: DurationMs,
    /// Within how long calls on batches are answered.
    pub calls: DurationMs,
    /// For how long the relay serves.
    pub serves: DurationMs,
    /// When the process ends, whatever is under way.
    pub ends: DurationMs,
}

impl DrainTimes {
    /// The times of a relay that is killed after `grace`, and to which clients may still be sent for
    /// `still_sent`.
    ///
    /// ```
    /// use topazyard_relay::drain::DrainTimes;
    /// use topazyard_types::DurationMs;
    /// let times = DrainTimes::within(DurationMs(8_000), DurationMs(2_500));
    /// assert_eq!((times.still_sent.0, times.serves.0, times.ends.0), (2_500, 7_000, 7_500));
    /// // With little time it doesn't wait for half of it.
    /// assert_eq!(DrainTimes::within(DurationMs(1_600), DurationMs(2_500)).still_sent.0, 700);
    /// ```
    pub fn within(grace: DurationMs, still_sent: DurationMs) -> Self {
        let sixteenths = |count: u64| DurationMs(grace.0 * count / 16);
        let serves = sixteenths(SERVES_SIXTEENTHS);
        Self {
            still_sent: DurationMs(still_sent.0.min(serves.0 / 2)),
            runs: sixteenths(RUNS_SIXTEENTHS),
            calls: sixteenths(CALLS_SIXTEENTHS),
            serves,
            ends: sixteenths(ENDS_SIXTEENTHS),
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
    pub fn begin(times: DrainTimes, now: MonotonicMs) -> Self {
        Self { begun: now, times }
    }

    /// How long it has lasted.
    pub fn lasted(&self, now: MonotonicMs) -> DurationMs {
        now.since(self.begun)
    }

    /// When runs of routed items that are left are broken off, so that their shards hear in time how
    /// far they came.
    pub fn breaks_off_runs_at(&self) -> MonotonicMs {
        self.begun.plus(self.times.runs)
    }

    /// Until when calls on batches are answered.
    pub fn answers_calls_until(&self) -> MonotonicMs {
        self.begun.plus(self.times.calls)
    }

    /// Up to when the relay serves.
    pub fn serves_until(&self) -> MonotonicMs {
        self.begun.plus(self.times.serves)
    }

    /// When the process ends, whatever is under way.
    pub fn ends_at(&self) -> MonotonicMs {
        self.begun.plus(self.times.ends)
    }

    /// Up to when clients are still sent here.
    pub fn still_sent_until(&self) -> MonotonicMs {
        self.begun.plus(self.times.still_sent)
    }

    /// For how long nothing needs to be looked at: until the next moment at which the stage may change
    /// by itself, and no longer than `longest`. None where the process should have ended.
    ///
    /// ```
    /// use topazyard_relay::drain::{DrainTimes, Draining};
    /// use topazyard_types::{DurationMs, MonotonicMs};
    /// let times = DrainTimes::within(DurationMs(800), DurationMs(0));
    /// let draining = Draining::begin(times, MonotonicMs(100));
    /// let next = |now| draining.until_next_look(DurationMs(100), MonotonicMs(now)).0;
    /// assert_eq!((next(100), next(760), next(800), next(850)), (100, 40, 50, 0));
    /// ```
    pub fn until_next_look(&self, longest: DurationMs, now: MonotonicMs) -> DurationMs {
        let moments = [self.still_sent_until(), self.serves_until(), self.ends_at()];
        let next = moments.into_iter().filter(|moment| *moment > now).min();
        next.map_or(DurationMs(0), |moment| moment.since(now).min(longest))
    }

    /// Whether a request with this deadline may be taken: while clients are still sent here each is,
    /// later only one that is surely over before the relay is.
    pub fn may_take(&self, deadline: MonotonicMs, now: MonotonicMs) -> bool {
        now < self.still_sent_until() || deadline <= self.serves_until()
    }

    /// The stage to be in, where so much is under way.
    ///
    /// ```
    /// use topazyard_relay::drain::{DrainTimes, Draining};
    /// use topazyard_types::{DurationMs, MonotonicMs};
    /// use topazyard_wire::http::inward::Stage;
    /// let times = DrainTimes::within(DurationMs(8_000), DurationMs(2_500));
    /// let draining = Draining::begin(times, MonotonicMs(100));
    /// assert_eq!(draining.stage(true, MonotonicMs(2_599)), Stage::Closing);
    /// assert_eq!(draining.stage(true, MonotonicMs(2_600)), Stage::ClosingIdle);
    /// assert_eq!(draining.stage(false, MonotonicMs(2_600)), Stage::Ending);
    /// assert_eq!(draining.stage(true, MonotonicMs(7_100)), Stage::Overdue);
    /// ```
    pub fn stage(&self, is_under_way: bool, now: MonotonicMs) -> Stage {
        if now < self.still_sent_until() {
            Stage::Closing
        } else if now >= self.serves_until() {
            Stage::Overdue
        } else if is_under_way {
            Stage::ClosingIdle
        } else {
            Stage::Ending
        }
    }
}
