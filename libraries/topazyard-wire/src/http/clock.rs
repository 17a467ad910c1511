//! Time for what servers follow without a lock.

/// Milliseconds since an arbitrary time in this process, never 0.
pub(super) fn now_ms() -> u64 {
    static START: std::sync::OnceLock<std::time::Instant> = std::sync::OnceLock::new();
    let start = START.get_or_init(std::time::Instant::now);
    1 + start.elapsed().as_millis() as u64
}
