//! The monotonic clock of a process.

/// Counts milliseconds from its creation and never goes back. It advances while the process is
/// stopped or the host is suspended, so that leases expire during that time too.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin_ms: u64,
}

/// The time since the host booted in ms, including the time in which it was suspended.
pub(crate) fn since_boot_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

impl Clock {
    /// Starts the clock.
    ///
    /// ```
    /// let clock = topazyard_wire::clock::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self { origin_ms: since_boot_ms() }
    }

    /// The current time. It starts at one day, so that earlier times can be represented at the
    /// start.
    pub fn now(&self) -> topazyard_types::MonotonicMs {
        topazyard_types::MonotonicMs(86_400_000 + since_boot_ms() - self.origin_ms)
    }
}
