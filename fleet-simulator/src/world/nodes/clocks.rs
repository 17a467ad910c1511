//! Clocks of processes: each runs at its own rate.

use super::NodeIndex;
use crate::history::Us;
use crate::world::World;
use topazyard_types::MonotonicMs;

impl World {
    pub(super) fn node_clock(&self, node: NodeIndex) -> MonotonicMs {
        let ran = self.clock_us(node).saturating_sub(self.nodes[node.0].clock_stopped_us);
        MonotonicMs(86_400_000 + ran / 1_000)
    }

    fn clock_us(&self, node: NodeIndex) -> Us {
        let node = &self.nodes[node.0];
        let (at, shown) = node.clock_reference;
        shown + ((self.time - at) as i64 * (1_000_000 + node.rate_ppm) / 1_000_000) as Us
    }

    /// From now on its clock runs so much faster than right, in millionths.
    pub(crate) fn set_clock_rate(&mut self, index: NodeIndex, rate_ppm: i64) {
        let shown = self.clock_us(index);
        let time = self.time;
        let node = &mut self.nodes[index.0];
        (node.clock_reference, node.rate_ppm) = ((time, shown), rate_ppm);
    }

    /// A relay's moment so many microseconds ahead, on its own clock.
    pub(crate) fn relay_clock_after(&self, index: NodeIndex, ahead: Us) -> MonotonicMs {
        MonotonicMs(self.node_clock(index).0 + ahead / 1_000)
    }

    /// Whether a moment on a process's clock is still ahead.
    pub(crate) fn is_before_deadline(&self, index: NodeIndex, until: MonotonicMs) -> bool {
        self.node_clock(index) < until
    }
}
