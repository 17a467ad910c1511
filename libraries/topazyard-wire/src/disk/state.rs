//! The health of a disk, as seen by the machine that writes to it.

use crate::WriteToken;
use topazyard_types::{DurationMs, MonotonicMs};

/// Age of the oldest unsynced write from which the disk counts as stalled.
const STALL_THRESHOLD: DurationMs = DurationMs(1_000);
/// Number of unsynced writes from which a node accepts no more work that needs a write.
const MAX_UNSYNCED: usize = 64;

/// The health of a disk.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Default,
    serde::Serialize,
    serde::Deserialize,
    displaydoc::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum DiskState {
    /// disk healthy: writes are synced
    #[default]
    Healthy,
    /// disk full: writes wait for free space
    Full,
    /// disk stalled: a write has been unsynced for at least one second
    Stalled,
}

/// Tracks the unsynced writes of a machine and whether its disk is full.
#[derive(Debug, Clone, Default)]
pub struct DiskWatch {
    is_full: bool,
    /// Unsynced writes with their start times, in the order in which they were started.
    unsynced: std::collections::VecDeque<(WriteToken, MonotonicMs)>,
    last_reported: DiskState,
}

impl DiskWatch {
    /// Records that the disk became full or has free space again. Writes that waited for space
    /// count as started when it becomes available, because the disk did not stall meanwhile.
    pub fn set_state(&mut self, state: DiskState, now: MonotonicMs) {
        let was_full = std::mem::replace(&mut self.is_full, state == DiskState::Full);
        if was_full && !self.is_full {
            self.unsynced.iter_mut().for_each(|(_, started_at)| *started_at = now);
        }
    }

    /// Records that a write was handed to the disk.
    pub fn write_started(&mut self, token: WriteToken, now: MonotonicMs) {
        self.unsynced.push_back((token, now));
    }

    /// Records that a write is synced, and with it all that were started before it.
    pub fn write_synced(&mut self, token: WriteToken) {
        if let Some(at) = self.unsynced.iter().position(|(started, _)| *started == token) {
            self.unsynced.drain(..=at);
        }
    }

    /// Whether the disk is full.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Whether work that needs another write may be accepted.
    pub fn accepts_writes(&self) -> bool {
        !self.is_full && self.unsynced.len() < MAX_UNSYNCED
    }

    /// The age of the oldest unsynced write.
    pub fn oldest_write_age(&self, now: MonotonicMs) -> DurationMs {
        self.unsynced.front().map_or(DurationMs(0), |(_, started_at)| now.since(*started_at))
    }

    /// The current state.
    ///
    /// ```
    /// use topazyard_types::MonotonicMs;
    /// use topazyard_wire::{Group, WriteToken, disk::{DiskState, DiskWatch}};
    /// let mut watch = DiskWatch::default();
    /// let token = WriteToken { group: Group::Node, number: 1 };
    /// watch.write_started(token, MonotonicMs(0));
    /// assert_eq!(watch.state(MonotonicMs(5_000)), DiskState::Stalled);
    /// watch.write_synced(token);
    /// assert_eq!(watch.state(MonotonicMs(5_000)), DiskState::Healthy);
    /// ```
    pub fn state(&self, now: MonotonicMs) -> DiskState {
        match self.is_full {
            true => DiskState::Full,
            false if self.oldest_write_age(now) >= STALL_THRESHOLD => DiskState::Stalled,
            false => DiskState::Healthy,
        }
    }

    /// The current state, if it differs from that at the previous call.
    pub fn take_state_change(&mut self, now: MonotonicMs) -> Option<DiskState> {
        let state = self.state(now);
        (std::mem::replace(&mut self.last_reported, state) != state).then_some(state)
    }
}
