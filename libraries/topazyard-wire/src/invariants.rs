//! Invariants that the code checks while it runs.
//!
//! A violation is counted by name and logged; in tests it also panics. A running product goes on:
//! the count is for its operators, who read it in the metrics.
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

/// Declares the invariants with their stable names, so that the list is always complete.
macro_rules! invariants {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// What must hold in a running process.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, displaydoc::Display)]
        pub enum Invariant {
            $($(#[$doc])* $variant,)*
        }

        impl Invariant {
            /// All of them.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The stable name that logs and metrics use.
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
    /// two followers of the feed at the same place hold the same rows
    FeedPositionHasOneState = "feed_place_has_one_state",
    /// a request changes its state only as its chart allows, and ends once
    RequestFollowsStateMachine = "request_follows_its_chart",
    /// the configuration in force is never older than one that this node acknowledged
    AcknowledgedConfigurationStays = "acknowledged_configuration_stays",
    /// what is acknowledged is synced on as many copies as its record asks for
    AcknowledgedOnEnoughCopies = "acknowledged_on_enough_copies",
    /// a copy never goes back behind what was committed on it
    CommittedStays = "committed_stays",
    /// each item of a batch is open or listed, and each listed result is there
    BatchIsWhole = "batch_is_whole",
    /// a request that a draining relay takes has the time that it may need
    AdmittedWithTimeLeft = "taken_with_time_left",
    /// each request that a relay has taken gets its final answer before the process ends
    AnsweredBeforeEnd = "answered_before_end",
}

/// How often one invariant may be logged, in ms.
const LOG_EVERY_MS: u64 = 1_000;

/// What is kept of one invariant.
struct Record {
    violations: AtomicU64,
    limiter: LogLimiter,
}

static RECORDS: [Record; Invariant::ALL.len()] =
    [const { Record { violations: AtomicU64::new(0), limiter: LogLimiter::new() } };
        Invariant::ALL.len()];

static PANICS: AtomicBool = AtomicBool::new(false);

thread_local! {
    static OF_THREAD: [Cell<u64>; Invariant::ALL.len()] = Default::default();
}

/// Makes each violation panic from now on, or no longer. Test harnesses and the simulator switch it
/// on; the product never does.
pub fn panic_on_violation(panics: bool) {
    PANICS.store(panics, Ordering::Relaxed);
}

/// Reports a violation unless `holds`. The details are only written where it doesn't.
///
/// # Panics
/// The invariant is violated, after [`panic_on_violation`].
#[track_caller]
pub fn check(holds: bool, invariant: Invariant, details: impl FnOnce() -> String) {
    if !holds {
        report_violation(invariant, &details());
    }
}

/// Counts a violation and logs it, once a second at most.
///
/// # Panics
/// Always, after [`panic_on_violation`].
#[cold]
#[track_caller]
pub fn report_violation(invariant: Invariant, details: &str) {
    let record = &RECORDS[invariant as usize];
    let violations = record.violations.fetch_add(1, Ordering::Relaxed) + 1;
    OF_THREAD.with(|counts| counts[invariant as usize].update(|count| count + 1));
    if record.limiter.allows(crate::driver::clock::since_boot_ms()) {
        let name = invariant.name();
        spdlog::error!("invariant violated: name={name} violations={violations} {details}");
    }
    if PANICS.load(Ordering::Relaxed) {
        panic!("invariant violated: {invariant}: {details}");
    }
}

/// How often an invariant was violated since the process began.
pub fn violations(invariant: Invariant) -> u64 {
    RECORDS[invariant as usize].violations.load(Ordering::Relaxed)
}

/// Each invariant with how often it was violated since the process began.
pub fn counts() -> impl Iterator<Item = (Invariant, u64)> {
    Invariant::ALL.iter().map(|invariant| (*invariant, violations(*invariant)))
}

/// Each invariant with how often this thread violated it. Where whole fleets are simulated side by
/// side, each on a thread of its own, it tells them apart.
pub fn thread_counts() -> Vec<(Invariant, u64)> {
    let count = |invariant: Invariant| OF_THREAD.with(|counts| counts[invariant as usize].get());
    Invariant::ALL.iter().map(|invariant| (*invariant, count(*invariant))).collect()
}

/// Lets a line through once in [`LOG_EVERY_MS`].
#[derive(Debug)]
pub struct LogLimiter {
    /// When the last line was let through; 0 before the first.
    last_ms: AtomicU64,
}

impl LogLimiter {
    /// A limiter that has let nothing through yet.
    pub const fn new() -> Self {
        Self { last_ms: AtomicU64::new(0) }
    }

    /// Whether a line may be written now. Of several threads that ask at once one is told so.
    ///
    /// ```
    /// let limiter = topazyard_wire::invariants::LogLimiter::new();
    /// assert!(limiter.allows(5_000));
    /// assert!(!limiter.allows(5_999));
    /// assert!(limiter.allows(6_000));
    /// ```
    pub fn allows(&self, now_ms: u64) -> bool {
        let last_ms = self.last_ms.load(Ordering::Relaxed);
        if last_ms != 0 && now_ms < last_ms.saturating_add(LOG_EVERY_MS) {
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
