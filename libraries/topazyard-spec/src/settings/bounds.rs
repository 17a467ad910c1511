//! Bounds that the place a fleet runs at sets: how soon things must happen, and what may be lost.

use topazyard_types::DurationMs;

/// Bounds on times and losses. The defaults are the project's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// After how long without trouble a node counts as in touch with the others.
    pub contact: DurationMs,
    /// Within how long an operator's order must be acknowledged.
    pub ack: DurationMs,
    /// Within how long a node that came back holds everything again.
    pub catch_up: DurationMs,
    /// How long requests may still reach an engine that is known to leave.
    pub drain: DurationMs,
    /// How long a process may take to end in order.
    pub grace: DurationMs,
    /// Within how long a spec is in force everywhere.
    pub config_apply: DurationMs,
    /// By how much that stretches while control changes hands.
    pub config_stretch: DurationMs,
    /// Within how long service is back after everything went.
    pub recovery: DurationMs,
    /// The longest that an event of a stream may take through a relay.
    pub pass_on: DurationMs,
    /// For how long finished batches can be read.
    pub keep_batches: DurationMs,
    /// Within how long nothing of an ended batch starts any more.
    pub cancel: DurationMs,
    /// Within how long an accepted batch can be read at every relay.
    pub settle: DurationMs,
    /// Machines with a disk that may be lost at the same time.
    pub lost_machines: u16,
    /// Zones that may be lost at the same time.
    pub lost_zones: u16,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            contact: DurationMs(3_000),
            ack: DurationMs(4_000),
            catch_up: DurationMs(5_000),
            drain: DurationMs(3_000),
            grace: DurationMs(30_000),
            config_apply: DurationMs(2_000),
            config_stretch: DurationMs(0),
            recovery: DurationMs(12_000),
            pass_on: DurationMs(120),
            keep_batches: DurationMs(604_800_000),
            cancel: DurationMs(3_000),
            settle: DurationMs(1_000),
            lost_machines: 1,
            lost_zones: 0,
        }
    }
}

/// What a process may use; 0 where nothing limits it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Resources {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Open files and connections.
    pub descriptors: u32,
    /// Disk in bytes.
    pub disk_bytes: u64,
}
