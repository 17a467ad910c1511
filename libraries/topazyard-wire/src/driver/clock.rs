//! This process's monotonic clock.

/// Counts milliseconds since it was made, and never goes back. It runs on while the process or
/// the whole machine is frozen, so that leases run out in that time too.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin_ms: u64,
}

/// How long the machine has run, in ms, with the time in which it was frozen.
pub(crate) fn since_boot_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

impl Clock {
    /// Starts the clock.
    ///
    /// ```
    /// let clock = topazyard_wire::driver::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self { origin_ms: since_boot_ms() }
    }

    /// The present moment. It starts at a day, so that "long ago" can be said at the start too.
    pub fn now(&self) -> topazyard_types::MonotonicMs {
        topazyard_types::MonotonicMs(86_400_000 + since_boot_ms() - self.origin_ms)
    }
}
