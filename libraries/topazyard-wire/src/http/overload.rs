//! What this process refused or closed to stay within its memory and descriptors: counts, one log
//! line a second at most, and a notice to the servers.

use std::sync::atomic::{AtomicU64, Ordering};

/// Why a connection was closed by a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// It was idle for longer than clients may be.
    Idle,
    /// A head did not arrive in time.
    SlowHead,
    /// A body did not arrive in time.
    SlowBody,
    /// The client took too long to receive a response.
    SlowReader,
    /// A new connection needed its place.
    Replaced,
    /// Its memory was needed.
    OutOfMemory,
    /// There was no descriptor or memory for it.
    NotAccepted,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::Idle,
        Self::SlowHead,
        Self::SlowBody,
        Self::SlowReader,
        Self::Replaced,
        Self::OutOfMemory,
        Self::NotAccepted,
    ];

    /// The stable name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::SlowHead => "slow_head",
            Self::SlowBody => "slow_body",
            Self::SlowReader => "slow_reader",
            Self::Replaced => "replaced",
            Self::OutOfMemory => "out_of_memory",
            Self::NotAccepted => "not_accepted",
        }
    }

    /// Whether it is a sign of more clients than the process can serve.
    fn is_overload(self) -> bool {
        matches!(self, Self::Replaced | Self::OutOfMemory | Self::NotAccepted)
    }
}

/// Minimum interval between two log lines.
const LOG_INTERVAL_MS: u64 = 1_000;
const REASONS: usize = CloseReason::ALL.len();

static CLOSED: [AtomicU64; REASONS] = [const { AtomicU64::new(0) }; REASONS];
static SHORTAGES: AtomicU64 = AtomicU64::new(0);
static LOGGED_AT_MS: AtomicU64 = AtomicU64::new(0);
static SHORTAGE: tokio::sync::Notify = tokio::sync::Notify::const_new();

/// Counts a connection that a server closes.
pub fn record_closed(reason: CloseReason) {
    CLOSED[reason as usize].fetch_add(1, Ordering::Relaxed);
    if reason.is_overload() {
        log();
    }
}

/// Counts a request for memory that was refused, and notifies the servers.
pub fn record_shortage() {
    SHORTAGES.fetch_add(1, Ordering::Relaxed);
    SHORTAGE.notify_waiters();
    log();
}

/// Waits until memory is short.
pub async fn shortage() {
    SHORTAGE.notified().await;
}

/// The connections that servers closed since the process began, by reason.
pub fn closed() -> impl Iterator<Item = (&'static str, u64)> {
    let count = |reason: CloseReason| CLOSED[reason as usize].load(Ordering::Relaxed);
    CloseReason::ALL.into_iter().map(move |reason| (reason.name(), count(reason)))
}

/// The requests for memory that were refused since the process began.
pub fn shortages() -> u64 {
    SHORTAGES.load(Ordering::Relaxed)
}

fn log() {
    let now_ms = super::clock::now_ms();
    let logged_at_ms = LOGGED_AT_MS.load(Ordering::Relaxed);
    if now_ms < logged_at_ms + LOG_INTERVAL_MS {
        return;
    }
    let claim =
        LOGGED_AT_MS.compare_exchange(logged_at_ms, now_ms, Ordering::Relaxed, Ordering::Relaxed);
    if claim.is_err() {
        return;
    }
    let counts: Vec<String> = closed()
        .filter(|(_, count)| *count > 0)
        .map(|(reason, count)| format!("{reason}={count}"))
        .collect();
    let account = super::memory::Account::of_process();
    spdlog::warn!(
        "overload: held_bytes={} limit_bytes={} shortages={} closed since start: {}",
        account.held_bytes(),
        account.limit_bytes(),
        shortages(),
        counts.join(" ")
    );
}
