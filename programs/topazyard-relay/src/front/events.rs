//! EventSplitter of a stream as they come in pieces: whole ones go on, and their ids are told.

/// Finds the ends of events in a body that comes in pieces.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// What came after the last whole event.
    rest: Vec<u8>,
    /// The id of the last whole event, if it has one.
    last_id: Option<u64>,
}

/// The events that a piece completed.
#[derive(Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes.
    pub bytes: bytes::Bytes,
    /// The id of the first.
    pub first_id: Option<u64>,
    /// Whether their ids rise by one from event to event.
    pub in_order: bool,
}

/// The most bytes of one event.
const MOST_BYTES: usize = 1024 * 1024;

/// an event is longer than any should be
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct EventTooLong;

impl std::error::Error for EventTooLong {}

impl EventSplitter {
    /// EventSplitter of a stream of which the event with that id is there already.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { rest: Vec::new(), last_id }
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an event was begun and not ended.
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Takes a piece and gives the events that it completes, if any.
    ///
    /// ```
    /// use topazyard_relay::front::events::EventSplitter;
    /// let mut events = EventSplitter::after(None);
    /// assert_eq!(events.push(b"id: 1\ndata: a").unwrap(), None);
    /// let whole = events.push(b"b\n\nid: 2\n").unwrap().unwrap();
    /// assert_eq!(&whole.bytes[..], b"id: 1\ndata: ab\n\n");
    /// assert_eq!((whole.first_id, events.last_id()), (Some(1), Some(1)));
    /// assert!(events.has_partial_event());
    /// ```
    ///
    /// # Errors
    /// An event grows too long.
    pub fn push(&mut self, piece: &[u8]) -> Result<Option<CompleteEvents>, EventTooLong> {
        // The end of an event may lie across two pieces.
        let from = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(piece);
        let end = last_end(&self.rest[from..]).map(|end| from + end);
        let Some(end) = end else {
            return if self.rest.len() > MOST_BYTES { Err(EventTooLong) } else { Ok(None) };
        };
        let rest = self.rest.split_off(end);
        let whole = std::mem::replace(&mut self.rest, rest);
        let mut first_id = None;
        let mut in_order = true;
        for id in ids(&whole) {
            in_order &= self.last_id.is_none_or(|last| id == last + 1);
            first_id.get_or_insert(id);
            self.last_id = Some(id);
        }
        Ok(Some(CompleteEvents { bytes: whole.into(), first_id, in_order }))
    }
}

/// Where the last blank line ends.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let ends = |at: usize, mark: &[u8]| bytes[..at].ends_with(mark);
    (2..=bytes.len()).rev().find(|at| ends(*at, b"\n\n") || ends(*at, b"\n\r\n"))
}

fn ids(events: &[u8]) -> impl Iterator<Item = u64> {
    events.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

/// The data of all events in order, each event's lines joined by a line feed.
///
/// ```
/// use topazyard_relay::front::events::event_data;
/// assert_eq!(event_data(b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n"), ["a", "b\nc"]);
/// ```
pub fn event_data(events: &[u8]) -> Vec<String> {
    let mut all = Vec::new();
    let mut lines: Vec<String> = Vec::new();
    for line in events.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            if !lines.is_empty() {
                all.push(std::mem::take(&mut lines).join("\n"));
            }
        } else if let Some(value) = line.strip_prefix(b"data:") {
            let value = value.strip_prefix(b" ").unwrap_or(value);
            lines.push(String::from_utf8_lossy(value).into_owned());
        }
    }
    all
}
