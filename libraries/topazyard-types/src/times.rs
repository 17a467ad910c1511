//! Moments and spans, in milliseconds of a clock that never goes back.

crate::number_type!(
    /// A moment on this process's monotonic clock. It means nothing to another process.
    MonotonicMs, u64
);
crate::number_type!(
    /// A span of time.
    DurationMs, u64
);

impl MonotonicMs {
    /// How long ago `earlier` was; zero if it lies ahead.
    ///
    /// ```
    /// use topazyard_types::{DurationMs, MonotonicMs};
    /// assert_eq!(MonotonicMs(70).since(MonotonicMs(50)), DurationMs(20));
    /// ```
    #[must_use]
    pub fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }

    /// The moment `span` later.
    ///
    /// ```
    /// use topazyard_types::{DurationMs, MonotonicMs};
    /// assert_eq!(MonotonicMs(50).plus(DurationMs(20)), MonotonicMs(70));
    /// ```
    #[must_use]
    pub fn plus(self, span: DurationMs) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}
