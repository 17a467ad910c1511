//! A snapshot of a copy's rows for a follower, in parts of which each fits in a small frame.

use topazyard_types::LogPosition;
use topazyard_wire::message::feed::{PartRequest, SnapshotPart};

/// How many bytes a follower is answered at once, at the most. Many followers ask at the same time,
/// as after a restart of all, and what they are sent waits in memory.
pub const PART_BYTES: usize = 128 * 1024;
/// The most parts of a snapshot that a follower collects: 64 MB.
const MOST_PARTS: u32 = 512;

/// A row of a snapshot.
pub type Row = (String, bytes::Bytes);

/// The rows at one place, encoded once for all followers.
#[derive(Debug, Clone)]
pub struct Snapshot {
    position: LogPosition,
    bytes: bytes::Bytes,
}

impl Snapshot {
    /// Of these rows, which a copy held at that place.
    ///
    /// ```
    /// use topazyard_replication::Snapshot;
    /// let snapshot = Snapshot::of(Default::default(), &vec![("a".to_owned(), vec![7].into())]);
    /// let part = snapshot.part(0).unwrap();
    /// assert_eq!((part.part, part.parts), (0, 1));
    /// assert!(snapshot.part(1).is_none());
    /// ```
    pub fn of(position: LogPosition, rows: &Vec<Row>) -> Self {
        Self { position, bytes: topazyard_wire::rows::encode(rows) }
    }

    /// The place of its rows.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// A part, if it has so many. The parts share the bytes of the snapshot.
    pub fn part(&self, part: u32) -> Option<SnapshotPart> {
        let parts = self.bytes.len().div_ceil(PART_BYTES).max(1) as u32;
        let from = part as usize * PART_BYTES;
        let to = self.bytes.len().min(from + PART_BYTES);
        let bytes = (part < parts).then(|| self.bytes.slice(from..to))?;
        Some(SnapshotPart { part, parts, bytes })
    }
}

/// The parts of one snapshot that a follower has so far.
#[derive(Debug, Clone)]
pub(crate) struct Fetch {
    position: LogPosition,
    parts: u32,
    next: u32,
    bytes: Vec<u8>,
}

impl Fetch {
    /// Begins with the first part of a snapshot.
    pub(crate) fn begin(position: LogPosition, first: &SnapshotPart) -> Option<Self> {
        let fits = first.part == 0 && (1..=MOST_PARTS).contains(&first.parts);
        fits.then(|| Self { position, parts: first.parts, next: 0, bytes: Vec::new() })
    }

    /// Whether this is the part that comes next.
    pub(crate) fn fits(&self, position: LogPosition, part: &SnapshotPart) -> bool {
        let is_next = (self.position, self.parts, self.next) == (position, part.parts, part.part);
        is_next && part.bytes.len() <= PART_BYTES
    }

    /// Adds the part that comes next.
    pub(crate) fn add(&mut self, part: &SnapshotPart) {
        self.bytes.extend_from_slice(&part.bytes);
        self.next += 1;
    }

    /// Which part is lacking next; none once the snapshot is whole.
    pub(crate) fn wanted(&self) -> Option<PartRequest> {
        let is_whole = self.next == self.parts;
        (!is_whole).then_some(PartRequest { position: self.position, part: self.next })
    }

    /// The rows of a whole snapshot, if they can be read.
    pub(crate) fn rows(&self) -> Option<Vec<Row>> {
        topazyard_wire::rows::decode(&self.bytes)
    }
}
