//! Runs of routed items: an item is sent to its engine, and the events of its stream are collected
//! until the stream is complete.

use super::Handle;
use super::adapter::{EngineHeaders, HttpAdapter, ResponseKind};
use super::connections::{self, EngineConnection, SendError};
use super::engine::std_duration;
use crate::machine::routed_items::RoutedRun;
use crate::machine::{EngineOutcome, RelayCall, RelayResponse};
use crate::prompt::Failure;
use http_body_util::BodyExt as _;
use hyper::header::HeaderValue;
use topazyard_types::DurationMs;
use topazyard_wire::http::Body;
use topazyard_wire::http::memory::{GrowingReservation, Purpose};
use topazyard_wire::message::batch::{Progress, RunEnd};

/// Maximum size of an item's output.
const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;
/// The part of an item's output that is not charged.
const FREE_OUTPUT_BYTES: usize = 4 * 1024;
/// The steps in which the output is charged.
const OUTPUT_STEP_BYTES: usize = 64 * 1024;

/// A connection to the item's engine: an idle one from the pool, or else a new one.
async fn engine_connection(run: &RoutedRun) -> Option<EngineConnection> {
    match connections::take_idle(&run.target) {
        Some(connection) => Some(connection),
        None => connections::connect(&run.target, connections::CONNECT_TIMEOUT).await.ok(),
    }
}

/// The request that sends an item to its engine.
fn item_request(
    run: &RoutedRun,
    request_id: &HeaderValue,
    adapter: &dyn HttpAdapter,
) -> Option<hyper::Request<Body>> {
    let body = topazyard_wire::http::full_body(run.body.clone());
    let mut request = hyper::Request::post(&run.routing.path).body(body).ok()?;
    let mut headers = hyper::HeaderMap::new();
    for (name, value) in &run.routing.headers {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_str(value).ok()?);
    }
    let mut headers = super::routed::forwarded_headers(headers);
    headers.remove(hyper::header::CONTENT_LENGTH);
    headers.insert(hyper::header::HOST, HeaderValue::from_str(&run.host).ok()?);
    adapter.set_request_id(&mut headers, request_id);
    let (time_remaining, last_event) =
        (crate::machine::items::RUN_TIMEOUT, run.progress.last_event);
    adapter.set_engine_headers(
        &mut headers,
        &EngineHeaders { engine: &run.target.engine, time_remaining, last_event },
    );
    *request.headers_mut() = headers;
    Some(request)
}

/// Runs are aborted once this becomes true.
pub(super) type AbortSignal = tokio::sync::watch::Receiver<bool>;

/// Waits until runs are to be aborted.
async fn wait_for_abort(abort_signal: &mut AbortSignal) {
    if abort_signal.wait_for(|is_set| *is_set).await.is_err() {
        // The sender is gone, so the signal can never be set.
        std::future::pending::<()>().await;
    }
}

/// Runs an item and returns the end of the run and the outcome at the engine.
pub(super) async fn run_routed_item(
    handle: &Handle,
    run: &RoutedRun,
    adapter: &dyn HttpAdapter,
    mut abort_signal: AbortSignal,
) -> (RunEnd, EngineOutcome) {
    // An item that cannot be sent in a request never runs.
    let Ok(request_id) = HeaderValue::from_str(&run.routing.id) else {
        return (RunEnd::NotRun, EngineOutcome::NotSent);
    };
    let Some(request) = item_request(run, &request_id, adapter) else {
        return (RunEnd::NotRun, EngineOutcome::NotSent);
    };
    let Some(mut connection) = engine_connection(run).await else {
        return (RunEnd::NotRun, EngineOutcome::Unreachable);
    };
    match handle.call(RelayCall::DispatchItem(run.run, run.target.engine.clone())).await {
        Ok(RelayResponse::SendBefore(send_before)) if handle.clock().now() < send_before => {}
        _ => return (RunEnd::NotRun, EngineOutcome::NotSent),
    }
    let sent_at = handle.clock().now();
    let sent = tokio::select! {
        sent = tokio::time::timeout(std_duration(run.silence_timeout), connection.send(request))
            => sent,
        () = wait_for_abort(&mut abort_signal) => return (RunEnd::Unknown, EngineOutcome::Aborted),
    };
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(SendError::NotSent)) => return (RunEnd::NotRun, EngineOutcome::NotSent),
        Ok(Err(SendError::ConnectionLost)) => {
            return (RunEnd::Unknown, engine_failed(handle, run, Failure::ConnectionLost));
        }
        Err(_) => return (RunEnd::Unknown, engine_failed(handle, run, Failure::TimedOut)),
    };
    let time_to_head = handle.clock().now().since(sent_at);
    let is_delimited = super::engine::is_delimited(response.headers());
    let (head, body) = response.into_parts();
    let kind = adapter.classify_response(&head, &request_id);
    if kind != ResponseKind::Mismatched {
        super::engine_loads::report(handle, adapter, &run.target.engine, &head.headers);
    }
    match (kind, head.status.as_u16()) {
        (ResponseKind::TurnedAway, _) => (RunEnd::NotRun, EngineOutcome::TurnedAway),
        (ResponseKind::Failure, 500) => {
            (RunEnd::Failed, engine_failed(handle, run, Failure::EngineError))
        }
        (ResponseKind::Response, 422) => {
            (RunEnd::Impossible, EngineOutcome::Completed(time_to_head))
        }
        (ResponseKind::Response, 200) => {
            let mut events = ItemEvents::resume(run.progress.clone());
            let reading = read_events(body, &mut events, run.silence_timeout);
            let timeout = std_duration(crate::machine::items::RUN_TIMEOUT);
            let is_complete = tokio::select! {
                read = tokio::time::timeout(timeout, reading) => Some(read == Ok(true)),
                () = wait_for_abort(&mut abort_signal) => None,
            };
            let Some(is_complete) = is_complete else {
                return (RunEnd::Interrupted(events.into_progress()), EngineOutcome::Aborted);
            };
            if !(is_complete && is_delimited) {
                return (
                    RunEnd::Interrupted(events.into_progress()),
                    engine_failed(handle, run, Failure::ConnectionLost),
                );
            }
            let Some(text) = events.into_text() else {
                return (RunEnd::Unknown, engine_failed(handle, run, Failure::ConnectionLost));
            };
            connections::keep_idle(connection, &head.headers);
            (RunEnd::StreamComplete { text }, EngineOutcome::Completed(time_to_head))
        }
        (ResponseKind::Mismatched, _) => {
            (RunEnd::Unknown, engine_failed(handle, run, Failure::MismatchedResponse))
        }
        _ => (RunEnd::Unknown, engine_failed(handle, run, Failure::EngineError)),
    }
}

/// Reports a failure of the item's engine.
fn engine_failed(handle: &Handle, run: &RoutedRun, failure: Failure) -> EngineOutcome {
    handle.notify(RelayCall::EngineFailed(run.target.engine.clone(), failure));
    EngineOutcome::Failed
}

/// Reads events to the end of the body; false if the body was interrupted, the engine fell silent
/// or the stream was invalid.
async fn read_events(
    mut body: hyper::body::Incoming,
    events: &mut ItemEvents,
    silence_timeout: DurationMs,
) -> bool {
    loop {
        match tokio::time::timeout(std_duration(silence_timeout), body.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => {
                let Some(data) = frame.data_ref() else { continue };
                if events.push(data).is_err() {
                    return false;
                }
            }
            Ok(Some(Err(_))) | Err(_) => return false,
        }
    }
}

/// the events of the stream are malformed, out of order or too large, or there is no memory for them
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct InvalidStream;

impl std::error::Error for InvalidStream {}

/// Joins the events of an item's stream as they arrive.
#[derive(Debug)]
pub struct ItemEvents {
    progress: Progress,
    /// An incomplete line.
    line: Vec<u8>,
    id: Option<u64>,
    data: Option<String>,
    /// The reservation for what is collected.
    reservation: GrowingReservation,
}

impl ItemEvents {
    /// Continues from the progress of an earlier run.
    ///
    /// ```
    /// use topazyard_relay::front::items::ItemEvents;
    /// let mut events = ItemEvents::resume(Default::default());
    /// events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    /// events.push(b"ta: b\n\n").unwrap();
    /// assert_eq!(events.into_text().as_deref(), Some("a\nb"));
    /// ```
    pub fn resume(progress: Progress) -> Self {
        Self {
            progress,
            line: Vec::new(),
            id: None,
            data: None,
            reservation: GrowingReservation::new(FREE_OUTPUT_BYTES, OUTPUT_STEP_BYTES),
        }
    }

    /// Adds bytes of the stream.
    ///
    /// # Errors
    /// An event without an id or out of order, invalid UTF-8, or output above the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), InvalidStream> {
        for fragment in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(fragment);
            if fragment.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.take_line(&line)?;
            }
        }
        let event_bytes = self.data.as_ref().map_or(0, String::len);
        let held_bytes = self.progress.text.len() + event_bytes + self.line.len();
        let is_within_limits =
            held_bytes <= MAX_OUTPUT_BYTES && self.reservation.cover(Purpose::Response, held_bytes);
        if is_within_limits { Ok(()) } else { Err(InvalidStream) }
    }

    fn take_line(&mut self, line: &[u8]) -> Result<(), InvalidStream> {
        let line = std::str::from_utf8(line).map_err(|_| InvalidStream)?;
        let line = line.trim_end_matches('\n').trim_end_matches('\r');
        if line.is_empty() {
            return self.end_event();
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.id = Some(value.trim().parse().map_err(|_| InvalidStream)?),
            "data" => match &mut self.data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => self.data = Some(value.to_owned()),
            },
            // Comments, and fields without output.
            _ => {}
        }
        Ok(())
    }

    fn end_event(&mut self) -> Result<(), InvalidStream> {
        let (id, data) = (self.id.take(), self.data.take());
        let Some(data) = data else { return Ok(()) };
        let id = id.ok_or(InvalidStream)?;
        match self.progress.last_event {
            Some(last) if id != last + 1 => return Err(InvalidStream),
            Some(_) => self.progress.text.push('\n'),
            // Event ids start at 0 or at 1.
            None if id > 1 => return Err(InvalidStream),
            None => {}
        }
        self.progress.text.push_str(&data);
        self.progress.last_event = Some(id);
        Ok(())
    }

    /// The complete text, if the stream ended with a complete event.
    pub fn into_text(self) -> Option<String> {
        let is_at_event_boundary = self.line.is_empty() && self.id.is_none() && self.data.is_none();
        (is_at_event_boundary && self.progress.last_event.is_some()).then_some(self.progress.text)
    }

    /// The progress up to the last complete event.
    pub fn into_progress(self) -> Progress {
        self.progress
    }
}
