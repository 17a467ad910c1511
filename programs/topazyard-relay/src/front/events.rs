//! Splits a chunked event stream into complete events and tracks their ids.

use topazyard_wire::http::memory::{GrowingReservation, Purpose};

/// Finds the ends of events in a body that arrives in chunks.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Data received after the last complete event.
    partial: Vec<u8>,
    /// The id of the last complete event that has one.
    last_id: Option<u64>,
    reservation: Option<GrowingReservation>,
}

/// The events that a chunk completed.
#[derive(Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes of the events.
    pub bytes: bytes::Bytes,
    /// The id of the first event.
    pub first_id: Option<u64>,
    /// Whether the ids increase by one from event to event.
    pub in_order: bool,
}

/// The part of an incomplete event that is not charged.
const FREE_EVENT_BYTES: usize = 16 * 1024;
/// The steps in which an incomplete event is charged.
const EVENT_STEP_BYTES: usize = 64 * 1024;
/// Maximum size of one event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// an event of the stream exceeds the size limit, or there is no memory for it
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct EventTooLong;

impl std::error::Error for EventTooLong {}

impl EventSplitter {
    /// A splitter for a stream that continues after the event with that id.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { partial: Vec::new(), last_id, reservation: None }
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the last event is incomplete.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Adds a chunk and returns the events that it completes, if any.
    ///
    /// ```
    /// use topazyard_relay::front::events::EventSplitter;
    /// let mut events = EventSplitter::after(None);
    /// assert_eq!(events.push(b"id: 1\ndata: a").unwrap(), None);
    /// let complete = events.push(b"b\n\nid: 2\n").unwrap().unwrap();
    /// assert_eq!(&complete.bytes[..], b"id: 1\ndata: ab\n\n");
    /// assert_eq!((complete.first_id, events.last_id()), (Some(1), Some(1)));
    /// assert!(events.has_partial_event());
    /// ```
    ///
    /// # Errors
    /// An event exceeds the size limit, or there is no memory for it.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<CompleteEvents>, EventTooLong> {
        // The delimiter at an event's end may be split across two chunks.
        let search_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(chunk);
        let end = last_event_end(&self.partial[search_start..]).map(|end| search_start + end);
        let Some(end) = end else {
            let is_within_limits =
                self.partial.len() <= MAX_EVENT_BYTES && self.cover(self.partial.len());
            return if is_within_limits { Ok(None) } else { Err(EventTooLong) };
        };
        let partial = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, partial);
        let mut first_id = None;
        let mut in_order = true;
        for id in event_ids(&complete) {
            in_order &= self.last_id.is_none_or(|last| id == last + 1);
            first_id.get_or_insert(id);
            self.last_id = Some(id);
        }
        Ok(Some(CompleteEvents { bytes: complete.into(), first_id, in_order }))
    }
}

impl EventSplitter {
    /// Charges for an incomplete event. Returns whether there was room for it.
    fn cover(&mut self, bytes: usize) -> bool {
        let reservation = self
            .reservation
            .get_or_insert_with(|| GrowingReservation::new(FREE_EVENT_BYTES, EVENT_STEP_BYTES));
        reservation.cover(Purpose::Response, bytes)
    }
}

/// The position after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = |at: usize, delimiter: &[u8]| bytes[..at].ends_with(delimiter);
    (2..=bytes.len()).rev().find(|at| ends(*at, b"\n\n") || ends(*at, b"\n\r\n"))
}

fn event_ids(events: &[u8]) -> impl Iterator<Item = u64> {
    events.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

/// The data of all events in order; the data lines of an event are joined by line feeds.
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
