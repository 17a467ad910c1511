//! This process's monotonic clock.

/// Counts milliseconds since it was made, and never goes back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// Starts the clock.
    ///
    /// ```
    /// let clock = topazyard_wire::driver::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self { origin: std::time::Instant::now() }
    }

    /// The present moment. It starts at a day, so that "long ago" can be said at the start too.
    pub fn now(&self) -> topazyard_types::MonotonicMs {
        topazyard_types::MonotonicMs(86_400_000 + self.origin.elapsed().as_millis() as u64)
    }
}
