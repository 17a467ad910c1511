//! A hash of a world's state: moments count by how long ago they were, so that two worlds in which
//! the same may happen from now on are equal.

use std::hash::Hasher as _;
use topazyard_types::MonotonicMs;

/// Moments that are longer ago than every timeout are all alike.
const MAX_AGE_MS: u64 = 10_000;
const INSTANT_TYPE: &str = "MonotonicMs";

/// Takes the text of a state and hashes it.
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
            // What never was is told apart from what was long ago.
            let age = if at == 0 { u64::MAX } else { self.now.0.saturating_sub(at) };
            self.hasher.write_u64(age.min(MAX_AGE_MS));
            return Ok(());
        }
        self.hasher.write(text.as_bytes());
        Ok(())
    }
}

/// Hashes anything that can be told as text.
pub fn hash_of(now: MonotonicMs, states: &[&dyn std::fmt::Debug]) -> u64 {
    use std::fmt::Write as _;
    let hasher = std::collections::hash_map::DefaultHasher::new();
    let mut text = HashedText { hasher, now, in_instant: false };
    for state in states {
        // Taking text never fails.
        let _ = write!(text, "{state:?}|");
    }
    text.hasher.finish()
}
