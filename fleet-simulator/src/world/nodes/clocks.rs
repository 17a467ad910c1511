//! Clocks of processes, each with its own rate.

use super::NodeIndex;
use crate::history::Micros;
use crate::world::World;
use topazyard_types::MonotonicMs;

impl World {
    pub(super) fn node_clock(&self, node: NodeIndex) -> MonotonicMs {
        let ran = self.clock_us(node).saturating_sub(self.nodes[node.0].clock_stopped_us);
        MonotonicMs(86_400_000 + ran / 1_000)
    }

    fn clock_us(&self, node: NodeIndex) -> Micros {
        let node = &self.nodes[node.0];
        let (at, shown) = node.clock_reference;
        shown + ((self.time - at) as i64 * (1_000_000 + node.rate_ppm) / 1_000_000) as Micros
    }

    /// Makes a process's clock run faster than real time from now on, by this many parts per
    /// million.
    pub(crate) fn set_clock_rate(&mut self, index: NodeIndex, rate_ppm: i64) {
        let shown = self.clock_us(index);
        let time = self.time;
        let node = &mut self.nodes[index.0];
        (node.clock_reference, node.rate_ppm) = ((time, shown), rate_ppm);
    }

    /// The time on a relay's clock this many microseconds from now.
    pub(crate) fn relay_clock_after(&self, index: NodeIndex, ahead: Micros) -> MonotonicMs {
        MonotonicMs(self.node_clock(index).0 + ahead / 1_000)
    }

    /// Whether a process's clock has not reached a deadline yet.
    pub(crate) fn is_before_deadline(&self, index: NodeIndex, until: MonotonicMs) -> bool {
        self.node_clock(index) < until
    }
}
