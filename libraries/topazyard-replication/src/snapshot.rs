//! A snapshot of a copy's rows for a follower of the feed, split into parts that fit into small
//! frames.

use topazyard_types::LogPosition;
use topazyard_wire::message::feed::{PartRequest, SnapshotPart};

/// Maximum size of one part. After a restart of the whole fleet many followers send requests at the
/// same time, and the responses to all of them wait in memory.
pub const PART_BYTES: usize = 128 * 1024;
/// Maximum number of parts that a follower accepts: 64 MB in total.
const MAX_PARTS: u32 = 512;

/// A key and its encoded value.
pub type Row = (String, bytes::Bytes);

/// The rows at one log position, encoded once for all followers.
#[derive(Debug, Clone)]
pub struct Snapshot {
    position: LogPosition,
    bytes: bytes::Bytes,
}

impl Snapshot {
    /// Encodes the rows that a copy held at `position`.
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

    /// The log position of the rows.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// The part with this number, if there is one. All parts share the bytes of the snapshot.
    pub fn part(&self, part: u32) -> Option<SnapshotPart> {
        let parts = self.bytes.len().div_ceil(PART_BYTES).max(1) as u32;
        let from = part as usize * PART_BYTES;
        let to = self.bytes.len().min(from + PART_BYTES);
        let bytes = (part < parts).then(|| self.bytes.slice(from..to))?;
        Some(SnapshotPart { part, parts, bytes })
    }
}

/// A snapshot that is being received part by part.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotDownload {
    position: LogPosition,
    parts: u32,
    next: u32,
    bytes: Vec<u8>,
}

impl SnapshotDownload {
    /// Starts a download with the first part; `None` if this is not a valid first part.
    pub(crate) fn start(position: LogPosition, first: &SnapshotPart) -> Option<Self> {
        let is_valid = first.part == 0 && (1..=MAX_PARTS).contains(&first.parts);
        is_valid.then(|| Self { position, parts: first.parts, next: 0, bytes: Vec::new() })
    }

    /// Whether `part` is the next part of this snapshot.
    pub(crate) fn is_next(&self, position: LogPosition, part: &SnapshotPart) -> bool {
        let is_next = (self.position, self.parts, self.next) == (position, part.parts, part.part);
        is_next && part.bytes.len() <= PART_BYTES
    }

    /// Appends the next part.
    pub(crate) fn add(&mut self, part: &SnapshotPart) {
        self.bytes.extend_from_slice(&part.bytes);
        self.next += 1;
    }

    /// The request for the next missing part; `None` once the snapshot is complete.
    pub(crate) fn next_request(&self) -> Option<PartRequest> {
        let is_complete = self.next == self.parts;
        (!is_complete).then_some(PartRequest { position: self.position, part: self.next })
    }

    /// The rows of the complete snapshot; `None` if they cannot be decoded.
    pub(crate) fn rows(&self) -> Option<Vec<Row>> {
        topazyard_wire::rows::decode(&self.bytes)
    }
}
