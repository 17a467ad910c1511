//! Invariants that are checked at run time.
//!
//! A violation is counted by name and logged; in tests it also panics. In production the process
//! continues, and operators see the count in the metrics.
//!
//! ```
//! use topazyard_wire::invariants::{self, Invariant};
//! let known = 7;
//! let learned = 7;
//! invariants::check(known == learned, Invariant::EpochHasOneRecord, || {
//!     format!("known {known}, learned {learned}")
//! });
//! assert_eq!(invariants::violations(Invariant::EpochHasOneRecord), 0);
//! ```

use std::cell::Cell;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Declares the invariants with their stable names, so that [`Invariant::ALL`] is always complete.
macro_rules! invariants {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// A condition that must hold in a running process.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, displaydoc::Display)]
        pub enum Invariant {
            $($(#[$doc])* $variant,)*
        }

        impl Invariant {
            /// All invariants.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The stable name used in logs and metrics.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

invariants! {
    /// no two decided records have the same epoch
    EpochHasOneRecord = "epoch_has_one_record",
    /// two followers of the feed at the same position hold the same rows
    FeedPositionHasOneState = "feed_place_has_one_state",
    /// a request changes its state only as its state machine allows, and ends once
    RequestFollowsStateMachine = "request_follows_its_chart",
    /// the configuration in force is never older than one that this node acknowledged
    AcknowledgedConfigurationStays = "acknowledged_configuration_stays",
    /// what is acknowledged is synced on as many replicas as its record requires
    AcknowledgedOnEnoughCopies = "acknowledged_on_enough_copies",
    /// a replica never goes back to a position before one that was committed on it
    CommittedStays = "committed_stays",
    /// each item of a batch is open or listed, and each listed result exists
    BatchIsWhole = "batch_is_whole",
    /// a request that a draining relay admits has the time that it may need
    AdmittedWithTimeLeft = "taken_with_time_left",
    /// each request that a relay has admitted gets its final response before the process ends
    AnsweredBeforeEnd = "answered_before_end",
}

/// Minimum time between two log lines of one invariant, in ms.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The violation count and the log limiter of one invariant.
struct InvariantState {
    violations: AtomicU64,
    limiter: LogLimiter,
}

static STATES: [InvariantState; Invariant::ALL.len()] =
    [const { InvariantState { violations: AtomicU64::new(0), limiter: LogLimiter::new() } };
        Invariant::ALL.len()];

static PANIC_ON_VIOLATION: AtomicBool = AtomicBool::new(false);

thread_local! {
    static THREAD_COUNTS: [Cell<u64>; Invariant::ALL.len()] = Default::default();
}

/// Sets whether a violation panics. Test harnesses and the simulator enable it; it is never enabled
/// in production.
pub fn panic_on_violation(panics: bool) {
    PANIC_ON_VIOLATION.store(panics, Ordering::Relaxed);
}

/// Reports a violation unless `holds`. The details are formatted only for a violation.
///
/// # Panics
/// The invariant is violated, after [`panic_on_violation`].
#[track_caller]
pub fn check(holds: bool, invariant: Invariant, details: impl FnOnce() -> String) {
    if !holds {
        report_violation(invariant, &details());
    }
}

/// Counts a violation and logs it, at most once per second and invariant.
///
/// # Panics
/// Always, after [`panic_on_violation`].
#[cold]
#[track_caller]
pub fn report_violation(invariant: Invariant, details: &str) {
    let state = &STATES[invariant as usize];
    let violations = state.violations.fetch_add(1, Ordering::Relaxed) + 1;
    THREAD_COUNTS.with(|counts| counts[invariant as usize].update(|count| count + 1));
    if state.limiter.allows(crate::clock::since_boot_ms()) {
        let name = invariant.name();
        spdlog::error!("invariant violated: name={name} violations={violations} {details}");
    }
    if PANIC_ON_VIOLATION.load(Ordering::Relaxed) {
        panic!("invariant violated: {invariant}: {details}");
    }
}

/// The number of violations of an invariant since the process start.
pub fn violations(invariant: Invariant) -> u64 {
    STATES[invariant as usize].violations.load(Ordering::Relaxed)
}

/// The number of violations of each invariant since the process start.
pub fn counts() -> impl Iterator<Item = (Invariant, u64)> {
    Invariant::ALL.iter().map(|invariant| (*invariant, violations(*invariant)))
}

/// The number of violations of each invariant on this thread. The simulator runs several fleets in
/// parallel, each on its own thread, and separates their counts by it.
pub fn thread_counts() -> Vec<(Invariant, u64)> {
    let count =
        |invariant: Invariant| THREAD_COUNTS.with(|counts| counts[invariant as usize].get());
    Invariant::ALL.iter().map(|invariant| (*invariant, count(*invariant))).collect()
}

/// Allows one line per [`LOG_INTERVAL_MS`].
#[derive(Debug)]
pub struct LogLimiter {
    /// The time of the last allowed line; 0 before the first.
    last_ms: AtomicU64,
}

impl LogLimiter {
    /// A limiter that has allowed no line yet.
    pub const fn new() -> Self {
        Self { last_ms: AtomicU64::new(0) }
    }

    /// Whether a line may be written now. Of several threads that call it at once, one is allowed.
    ///
    /// ```
    /// let limiter = topazyard_wire::invariants::LogLimiter::new();
    /// assert!(limiter.allows(5_000));
    /// assert!(!limiter.allows(5_999));
    /// assert!(limiter.allows(6_000));
    /// ```
    pub fn allows(&self, now_ms: u64) -> bool {
        let last_ms = self.last_ms.load(Ordering::Relaxed);
        if last_ms != 0 && now_ms < last_ms.saturating_add(LOG_INTERVAL_MS) {
            return false;
        }
        let swapped =
            self.last_ms.compare_exchange(last_ms, now_ms, Ordering::Relaxed, Ordering::Relaxed);
        swapped.is_ok()
    }
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self::new()
    }
}
