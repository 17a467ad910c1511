//! Clocks of processes: each runs at its own rate.

use super::NodeIndex;
use crate::history::Micros;
use crate::world::World;
use topazyard_types::MonotonicMs;

impl World {
    pub(super) fn node_clock(&self, node: NodeIndex) -> MonotonicMs {
        let ran = self.clock_us(node).saturating_sub(self.nodes[node.0].stood_still);
        MonotonicMs(86_400_000 + ran / 1_000)
    }

    fn clock_us(&self, node: NodeIndex) -> Micros {
        let node = &self.nodes[node.0];
        let (at, shown) = node.clock_at;
        shown + ((self.time - at) as i64 * (1_000_000 + node.rate_ppm) / 1_000_000) as Micros
    }

    /// From now on its clock runs so much faster than right, in millionths.
    pub(crate) fn set_rate(&mut self, index: NodeIndex, rate_ppm: i64) {
        let shown = self.clock_us(index);
        let time = self.time;
        let node = &mut self.nodes[index.0];
        (node.clock_at, node.rate_ppm) = ((time, shown), rate_ppm);
    }

    /// A relay's moment so many microseconds ahead, on its own clock.
    pub(crate) fn relay_moment(&self, index: NodeIndex, ahead: Micros) -> MonotonicMs {
        MonotonicMs(self.node_clock(index).0 + ahead / 1_000)
    }

    /// Whether a moment on a process's clock is still ahead.
    pub(crate) fn is_ahead(&self, index: NodeIndex, until: MonotonicMs) -> bool {
        self.node_clock(index) < until
    }
}
