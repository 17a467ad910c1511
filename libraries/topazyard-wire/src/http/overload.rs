//! What this process refused to stay within its memory: counts, and one log line a second at most.

use std::sync::atomic::{AtomicU64, Ordering};

/// Minimum interval between two log lines.
const LOG_INTERVAL_MS: u64 = 1_000;

static SHORTAGES: AtomicU64 = AtomicU64::new(0);
static LOGGED_AT_MS: AtomicU64 = AtomicU64::new(0);

/// Counts a request for memory that was refused.
pub fn record_shortage() {
    SHORTAGES.fetch_add(1, Ordering::Relaxed);
    log();
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
    let account = super::memory::Account::of_process();
    spdlog::warn!(
        "overload: held_bytes={} limit_bytes={} shortages={}",
        account.held_bytes(),
        account.limit_bytes(),
        shortages(),
    );
}
