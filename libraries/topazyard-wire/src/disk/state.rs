//! How a disk fares, as the machine that writes to it sees it.

use crate::WriteToken;
use topazyard_types::{DurationMs, MonotonicMs};

/// After how long without being synced the oldest write marks a disk as stalled.
const STALLED_AFTER: DurationMs = DurationMs(1_000);
/// With so many writes that are not synced a node takes on nothing more that needs one.
const MOST_UNSYNCED: usize = 64;

/// How a disk fares.
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
    /// disk full: nothing is written until there is room
    Full,
    /// disk stalled: a write has not been synced for a second
    Stalled,
}

/// What a machine knows of its disk.
#[derive(Debug, Clone, Default)]
pub struct DiskWatch {
    is_full: bool,
    /// Writes that are not synced, in the order they were begun.
    unsynced: std::collections::VecDeque<(WriteToken, MonotonicMs)>,
    noted: DiskState,
}

impl DiskWatch {
    /// The disk thread says that the disk is full, or no longer. What waited for room counts as
    /// begun once there is some: the disk did not stall.
    pub fn set_state(&mut self, state: DiskState, now: MonotonicMs) {
        let was_full = std::mem::replace(&mut self.is_full, state == DiskState::Full);
        if was_full && !self.is_full {
            self.unsynced.iter_mut().for_each(|(_, begun)| *begun = now);
        }
    }

    /// A write is handed to the disk.
    pub fn write_started(&mut self, token: WriteToken, now: MonotonicMs) {
        self.unsynced.push_back((token, now));
    }

    /// A write is synced, and with it all that were begun before it.
    pub fn write_synced(&mut self, token: WriteToken) {
        if let Some(at) = self.unsynced.iter().position(|(begun, _)| *begun == token) {
            self.unsynced.drain(..=at);
        }
    }

    /// Whether the disk has no room.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Whether a duty may be taken on that needs another write.
    pub fn accepts_writes(&self) -> bool {
        !self.is_full && self.unsynced.len() < MOST_UNSYNCED
    }

    /// How long the oldest write that is not synced has taken.
    pub fn oldest_write_age(&self, now: MonotonicMs) -> DurationMs {
        self.unsynced.front().map_or(DurationMs(0), |(_, begun)| now.since(*begun))
    }

    /// How the disk fares now.
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
            false if self.oldest_write_age(now) >= STALLED_AFTER => DiskState::Stalled,
            false => DiskState::Healthy,
        }
    }

    /// The state, if it is another than when this was last asked.
    pub fn take_state_change(&mut self, now: MonotonicMs) -> Option<DiskState> {
        let state = self.state(now);
        (std::mem::replace(&mut self.noted, state) != state).then_some(state)
    }
}
