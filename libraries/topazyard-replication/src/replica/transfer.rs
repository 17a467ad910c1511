//! The transfer of ranges to one follower, with a bounded number of bytes in flight.

use super::parts::{size_of_rows, split_into_parts};
use super::refill::RefillEvent;
use crate::copy::{RangeContent, RangeRows};
use std::collections::{BTreeMap, VecDeque};
use topazyard_types::Digest;
use topazyard_types::MonotonicMs;
use topazyard_wire::message::replica::{Part, RangePart};

/// Maximum size of the parts in flight to one follower, in bytes. Heartbeats and appends queue
/// behind no more than this.
const MAX_BYTES_IN_FLIGHT: u64 = 512 * 1024;

/// A part that waits to be sent.
#[derive(Debug, Clone)]
struct QueuedPart {
    range: u16,
    part: Part,
    rows: RangeRows,
    stale: Option<Vec<Digest>>,
}

/// Ranges on their way to a follower.
#[derive(Debug, Clone, Default)]
pub(super) struct Transfer {
    queue: VecDeque<QueuedPart>,
    /// The size of each part that the follower has not acknowledged, by range and part number.
    in_flight: BTreeMap<(u16, u32), u64>,
    /// The round in which the ranges were requested; all parts of a range have the same.
    round: u64,
    /// The newest round when a part was last sent.
    last_sent_round: u64,
    /// When the follower last requested ranges or acknowledged a part.
    last_progress: MonotonicMs,
    /// When the follower first requested ranges.
    started_at: Option<MonotonicMs>,
    acknowledged_bytes: u64,
}

impl Transfer {
    /// Whether the follower has not received everything yet.
    pub(super) fn is_active(&self) -> bool {
        !self.queue.is_empty() || !self.in_flight.is_empty()
    }

    /// When the follower last requested ranges or acknowledged a part.
    pub(super) fn last_progress(&self) -> MonotonicMs {
        self.last_progress
    }

    /// The bytes that the follower has not acknowledged.
    pub(super) fn bytes_left(&self) -> u64 {
        let queued = self.queue.iter().map(|part| size_of_rows(&part.rows));
        queued.chain(self.in_flight.values().copied()).sum()
    }

    /// The report of a complete transfer, if there was anything to transfer.
    pub(super) fn completed(&self, now: MonotonicMs) -> Option<RefillEvent> {
        let took = now.since(self.started_at?);
        Some(RefillEvent::Completed { bytes: self.acknowledged_bytes, took })
    }

    /// Starts to transfer these ranges, unless the request was made before the last part arrived:
    /// frames arrive in order, so only a follower that has seen a later round knows which parts
    /// were lost. Returns a report of the first start.
    pub(super) fn start(
        &mut self,
        requested_in: u64,
        ranges: impl FnOnce() -> BTreeMap<u16, RangeContent>,
        now: MonotonicMs,
    ) -> Option<RefillEvent> {
        if requested_in <= self.last_sent_round {
            return None;
        }
        self.round = requested_in;
        self.in_flight.clear();
        self.queue =
            ranges().into_iter().flat_map(|(range, content)| parts_of(range, content)).collect();
        self.last_progress = now;
        if self.started_at.is_some() {
            return None;
        }
        self.started_at = Some(now);
        Some(RefillEvent::Started { bytes: self.bytes_left() })
    }

    /// Records that a part arrived.
    pub(super) fn acknowledged(&mut self, range: u16, part: u32, now: MonotonicMs) {
        if let Some(bytes) = self.in_flight.remove(&(range, part)) {
            self.last_progress = now;
            self.acknowledged_bytes += bytes;
        }
    }

    /// The next part to send, if it may be sent now.
    pub(super) fn next_part(&mut self, newest_round: u64) -> Option<RangePart> {
        let bytes_in_flight: u64 = self.in_flight.values().sum();
        let size = size_of_rows(&self.queue.front()?.rows);
        if bytes_in_flight > 0 && bytes_in_flight + size > MAX_BYTES_IN_FLIGHT {
            return None;
        }
        let QueuedPart { range, part, rows, stale } = self.queue.pop_front()?;
        self.in_flight.insert((range, part.number), size);
        self.last_sent_round = newest_round;
        Some(RangePart { round: self.round, range, part, rows, stale })
    }
}

/// The parts of a range. The first one carries all that is stale.
fn parts_of(range: u16, content: RangeContent) -> impl Iterator<Item = QueuedPart> {
    let RangeContent { rows, stale } = content;
    let later = stale.as_ref().map(|_| Vec::new());
    let parts = split_into_parts(rows);
    let of = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    (0..).zip(parts).map(move |(number, rows)| {
        let part = Part { number, of };
        let stale = if number == 0 { stale.clone() } else { later.clone() };
        QueuedPart { range, part, rows, stale }
    })
}
