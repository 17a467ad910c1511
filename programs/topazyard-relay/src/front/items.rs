//! Runs of routed items: an item is sent to its engine, and the events of its stream are kept
//! until the stream is whole.

use super::Handle;
use super::engine::span;
use crate::machine::routed_items::RoutedRun;
use crate::machine::{RelayCall, RelayReturn};
use http_body_util::BodyExt as _;
use topazyard_types::DurationMs;
use topazyard_wire::http::outward::Connection;
use topazyard_wire::message::parcel::{Progress, RunEnd};

/// The largest output of an item that is kept, in bytes.
const MOST_BYTES: usize = 4 * 1024 * 1024;

/// What engines are told and what they say of an item, in the words that they understand.
pub trait ItemDialect: Send + Sync {
    /// The head of the request that carries an item to its engine: path, host, the item's headers
    /// and id, the engine that is meant, for how long the response is awaited, and after which
    /// event it goes on. None if it can't be said.
    fn head(&self, run: &RoutedRun, wait: DurationMs) -> Option<hyper::http::request::Builder>;

    /// What the head of an engine's response to the item says.
    fn verdict(&self, run: &RoutedRun, head: &hyper::http::response::Parts) -> Verdict;
}

/// What the head of an engine's response says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The events of this item follow.
    Stream,
    /// The engine did not run it.
    NotRun,
    /// It ran and failed.
    Failed,
    /// It can never be done.
    Impossible,
    /// None of these, or not surely of this item.
    Unclear,
}

/// Where no engine speaks of routed items.
#[derive(Debug, Clone, Copy)]
pub struct NoRoutes;

impl ItemDialect for NoRoutes {
    fn head(&self, _: &RoutedRun, _: DurationMs) -> Option<hyper::http::request::Builder> {
        None
    }

    fn verdict(&self, _: &RoutedRun, _: &hyper::http::response::Parts) -> Verdict {
        Verdict::Unclear
    }
}

/// A connection to an item's engine that nothing was sent on yet.
async fn connection_to(run: &RoutedRun) -> Option<Connection> {
    super::engine::connect(run.target.address, super::engine::CONNECT_LIMIT).await.ok()
}

/// Runs an item and tells how that ended.
pub(super) async fn run_routed(
    handle: &Handle,
    run: &RoutedRun,
    dialect: &dyn ItemDialect,
) -> RunEnd {
    let Some(connection) = connection_to(run).await else { return RunEnd::NotRun };
    let limit = crate::machine::items::RUN_LIMIT;
    let body = topazyard_wire::http::whole(run.body.clone());
    let Some(Ok(request)) = dialect.head(run, limit).map(|head| head.body(body)) else {
        return RunEnd::NotRun;
    };
    match handle.call(RelayCall::DispatchItem(run.run, run.target.engine.clone())).await {
        Ok(RelayReturn::GoUntil(until)) if handle.clock().now() < until => {}
        _ => return RunEnd::NotRun,
    }
    let sent = tokio::time::timeout(span(run.silence), connection.send(request)).await;
    let Ok(Ok(response)) = sent else { return RunEnd::Unknown };
    let is_delimited = super::engine::is_delimited(response.headers());
    let (head, body) = response.into_parts();
    match dialect.verdict(run, &head) {
        Verdict::NotRun => RunEnd::NotRun,
        Verdict::Failed => RunEnd::Failed,
        Verdict::Impossible => RunEnd::Impossible,
        Verdict::Unclear => RunEnd::Unknown,
        Verdict::Stream => {
            let mut events = Events::after(run.progress.clone());
            let reading = read_events(body, &mut events, run.silence);
            let whole = tokio::time::timeout(span(limit), reading).await == Ok(true);
            match whole && is_delimited {
                true => events.whole().map_or(RunEnd::Unknown, |text| RunEnd::Done { text }),
                false => RunEnd::Broken(events.so_far()),
            }
        }
    }
}

/// Reads events to the proper end of the body; false if it broke off, fell silent or made no
/// sense.
async fn read_events(
    mut body: hyper::body::Incoming,
    events: &mut Events,
    silence: DurationMs,
) -> bool {
    loop {
        match tokio::time::timeout(span(silence), body.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => {
                let Some(data) = frame.data_ref() else { continue };
                if events.take(data).is_err() {
                    return false;
                }
            }
            Ok(Some(Err(_))) | Err(_) => return false,
        }
    }
}

/// the events of a stream don't follow on each other
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct OutOfOrder;

impl std::error::Error for OutOfOrder {}

/// The events of an item's stream, joined as they come.
#[derive(Debug, Clone)]
pub struct Events {
    so_far: Progress,
    /// Bytes that are no whole line yet.
    line: Vec<u8>,
    id: Option<u64>,
    data: Option<String>,
}

impl Events {
    /// Goes on after what an earlier run brought.
    ///
    /// ```
    /// use topazyard_relay::front::items::Events;
    /// let mut events = Events::after(Default::default());
    /// events.take(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    /// events.take(b"ta: b\n\n").unwrap();
    /// assert_eq!(events.whole().as_deref(), Some("a\nb"));
    /// ```
    pub fn after(so_far: Progress) -> Self {
        Self { so_far, line: Vec::new(), id: None, data: None }
    }

    /// Takes bytes of the stream.
    ///
    /// # Errors
    /// An event without an id, one that doesn't follow on the one before, text that is none, or
    /// more of it than is kept.
    pub fn take(&mut self, bytes: &[u8]) -> Result<(), OutOfOrder> {
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(piece);
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.take_line(&line)?;
            }
        }
        let is_small = self.so_far.text.len() + self.line.len() <= MOST_BYTES;
        if is_small { Ok(()) } else { Err(OutOfOrder) }
    }

    fn take_line(&mut self, line: &[u8]) -> Result<(), OutOfOrder> {
        let line = std::str::from_utf8(line).map_err(|_| OutOfOrder)?;
        let line = line.trim_end_matches('\n').trim_end_matches('\r');
        if line.is_empty() {
            return self.end_event();
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.id = Some(value.trim().parse().map_err(|_| OutOfOrder)?),
            "data" => match &mut self.data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => self.data = Some(value.to_owned()),
            },
            // Comments and fields that carry no output.
            _ => {}
        }
        Ok(())
    }

    fn end_event(&mut self) -> Result<(), OutOfOrder> {
        let (id, data) = (self.id.take(), self.data.take());
        let Some(data) = data else { return Ok(()) };
        let id = id.ok_or(OutOfOrder)?;
        match self.so_far.last_event {
            Some(last) if id != last + 1 => return Err(OutOfOrder),
            Some(_) => self.so_far.text.push('\n'),
            // Streams count from 0 or from 1.
            None if id > 1 => return Err(OutOfOrder),
            None => {}
        }
        self.so_far.text.push_str(&data);
        self.so_far.last_event = Some(id);
        Ok(())
    }

    /// The whole text, if the stream ended with a whole event.
    pub fn whole(self) -> Option<String> {
        let is_between = self.line.is_empty() && self.id.is_none() && self.data.is_none();
        (is_between && self.so_far.last_event.is_some()).then_some(self.so_far.text)
    }

    /// What was received whole.
    pub fn so_far(self) -> Progress {
        self.so_far
    }
}
