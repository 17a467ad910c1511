//! Hashes the state of a world. Instants count by their age, so that two worlds with the same
//! possible futures get the same hash.

use std::hash::Hasher as _;
use topazyard_types::MonotonicMs;

/// Instants older than this count as equal: it exceeds every timeout.
const MAX_AGE_MS: u64 = 10_000;
const INSTANT_TYPE: &str = "MonotonicMs";

/// Hashes the debug text of a state as it is written.
struct HashedText {
    hasher: std::collections::hash_map::DefaultHasher,
    now: MonotonicMs,
    in_instant: bool,
}

impl std::fmt::Write for HashedText {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        if text == INSTANT_TYPE {
            self.in_instant = true;
        } else if self.in_instant
            && let Ok(at) = text.parse::<u64>()
        {
            self.in_instant = false;
            // Zero stands for "never" and counts like the oldest instants.
            let age = if at == 0 { u64::MAX } else { self.now.0.saturating_sub(at) };
            self.hasher.write_u64(age.min(MAX_AGE_MS));
            return Ok(());
        }
        self.hasher.write(text.as_bytes());
        Ok(())
    }
}

/// Hashes the debug texts of states.
pub fn hash_of(now: MonotonicMs, states: &[&dyn std::fmt::Debug]) -> u64 {
    use std::fmt::Write as _;
    let hasher = std::collections::hash_map::DefaultHasher::new();
    let mut text = HashedText { hasher, now, in_instant: false };
    for state in states {
        // Writing to the hasher never fails.
        let _ = write!(text, "{state:?}|");
    }
    text.hasher.finish()
}
