//! Time and loss bounds that the environment of a fleet sets.

use topazyard_types::DurationMs;

/// Bounds on times and tolerated losses, with this project's defaults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// How long a node must be without failures to count as in contact with the others.
    pub contact: DurationMs,
    /// The time within which an operator's order must be acknowledged.
    pub ack: DurationMs,
    /// The time within which a returning node must have caught up.
    pub catch_up: DurationMs,
    /// How long requests may still be sent to an engine that is known to be leaving.
    pub drain: DurationMs,
    /// The time that a process has for a graceful shutdown.
    pub grace: DurationMs,
    /// The time within which a configuration must be in force at all nodes.
    pub config_apply: DurationMs,
    /// The extension of that time during a change of the control primary.
    pub config_stretch: DurationMs,
    /// The time within which service must be restored after the loss of all processes.
    pub recovery: DurationMs,
    /// The maximum time that a relay may take to pass on an event of a stream.
    pub pass_on: DurationMs,
    /// How long finished batches can be read.
    pub keep_batches: DurationMs,
    /// The time after the end of a batch from which none of its items may start.
    pub cancel: DurationMs,
    /// The time within which an accepted batch must be readable at every relay.
    pub settle: DurationMs,
    /// The number of machines with a disk that may be lost at the same time.
    pub lost_machines: u16,
    /// The number of zones that may be lost at the same time.
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

/// Resource limits of a process; 0 means no limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Resources {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// The number of open files and connections.
    pub descriptors: u32,
    /// Disk in bytes.
    pub disk_bytes: u64,
    /// The rate of the machine's link, in bytes per second.
    pub link_bytes_per_s: u64,
}
