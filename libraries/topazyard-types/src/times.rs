//! Points in time and durations, in milliseconds of a monotonic clock.

crate::number_type!(
    /// A point in time on the monotonic clock of this process. It has no meaning in other
    /// processes.
    MonotonicMs, u64
);
crate::number_type!(
    /// A duration.
    DurationMs, u64
);

impl MonotonicMs {
    /// The time elapsed since `earlier`; zero if `earlier` is later than this.
    ///
    /// ```
    /// use topazyard_types::{DurationMs, MonotonicMs};
    /// assert_eq!(MonotonicMs(70).since(MonotonicMs(50)), DurationMs(20));
    /// ```
    #[must_use]
    pub fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }

    /// The point in time `duration` later.
    ///
    /// ```
    /// use topazyard_types::{DurationMs, MonotonicMs};
    /// assert_eq!(MonotonicMs(50).plus(DurationMs(20)), MonotonicMs(70));
    /// ```
    #[must_use]
    pub fn plus(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}
