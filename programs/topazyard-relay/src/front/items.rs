//! Runs of routed items: an item is sent to its engine, and the events of its stream are kept
//! until the stream is whole.

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
use topazyard_wire::message::batch::{Progress, RunEnd};

/// The largest output of an item that is kept, in bytes.
const MOST_BYTES: usize = 4 * 1024 * 1024;

/// A connection to an item's engine that carries nothing: a kept one, or else a new one.
async fn connection_to(run: &RoutedRun) -> Option<EngineConnection> {
    match connections::take_idle(&run.target) {
        Some(kept) => Some(kept),
        None => connections::connect(&run.target, connections::CONNECT_TIMEOUT).await.ok(),
    }
}

/// The request that carries an item to its engine.
fn request_of(
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

/// Tells that runs are to be broken off, once it is true.
pub(super) type AbortSignal = tokio::sync::watch::Receiver<bool>;

/// Waits until runs are to be broken off.
async fn aborted(abort_signal: &mut AbortSignal) {
    if abort_signal.wait_for(|abort_signal| *abort_signal).await.is_err() {
        // Nobody is left who could tell.
        std::future::pending::<()>().await;
    }
}

/// Runs an item and tells how that ended, and what it says of the engine.
pub(super) async fn run_routed_item(
    handle: &Handle,
    run: &RoutedRun,
    adapter: &dyn HttpAdapter,
    mut abort_signal: AbortSignal,
) -> (RunEnd, EngineOutcome) {
    // An item that no request can carry will never run.
    let Ok(request_id) = HeaderValue::from_str(&run.routing.id) else {
        return (RunEnd::NotRun, EngineOutcome::NotSent);
    };
    let Some(request) = request_of(run, &request_id, adapter) else {
        return (RunEnd::NotRun, EngineOutcome::NotSent);
    };
    let Some(mut connection) = connection_to(run).await else {
        return (RunEnd::NotRun, EngineOutcome::Unreachable);
    };
    match handle.call(RelayCall::DispatchItem(run.run, run.target.engine.clone())).await {
        Ok(RelayResponse::SendBefore(until)) if handle.clock().now() < until => {}
        _ => return (RunEnd::NotRun, EngineOutcome::NotSent),
    }
    let sent_at = handle.clock().now();
    let sent = tokio::select! {
        sent = tokio::time::timeout(std_duration(run.silence_timeout), connection.send(request)) => sent,
        () = aborted(&mut abort_signal) => return (RunEnd::Unknown, EngineOutcome::Aborted),
    };
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(SendError::NotSent)) => return (RunEnd::NotRun, EngineOutcome::NotSent),
        Ok(Err(SendError::ConnectionLost)) => {
            return (RunEnd::Unknown, failed(handle, run, Failure::ConnectionLost));
        }
        Err(_) => return (RunEnd::Unknown, failed(handle, run, Failure::TimedOut)),
    };
    let first = handle.clock().now().since(sent_at);
    let is_delimited = super::engine::is_delimited(response.headers());
    let (head, body) = response.into_parts();
    let verdict = adapter.classify_response(&head, &request_id);
    if verdict != ResponseKind::Mismatched {
        super::engine_loads::report(handle, adapter, &run.target.engine, &head.headers);
    }
    match (verdict, head.status.as_u16()) {
        (ResponseKind::TurnedAway, _) => (RunEnd::NotRun, EngineOutcome::TurnedAway),
        (ResponseKind::Failure, 500) => (RunEnd::Failed, failed(handle, run, Failure::EngineError)),
        (ResponseKind::Response, 422) => (RunEnd::Impossible, EngineOutcome::Completed(first)),
        (ResponseKind::Response, 200) => {
            let mut events = ItemEvents::resume(run.progress.clone());
            let reading = read_events(body, &mut events, run.silence_timeout);
            let limit = std_duration(crate::machine::items::RUN_TIMEOUT);
            let whole = tokio::select! {
                read = tokio::time::timeout(limit, reading) => Some(read == Ok(true)),
                () = aborted(&mut abort_signal) => None,
            };
            let Some(whole) = whole else {
                return (RunEnd::Interrupted(events.into_progress()), EngineOutcome::Aborted);
            };
            if !(whole && is_delimited) {
                return (
                    RunEnd::Interrupted(events.into_progress()),
                    failed(handle, run, Failure::ConnectionLost),
                );
            }
            let Some(text) = events.into_text() else {
                return (RunEnd::Unknown, failed(handle, run, Failure::ConnectionLost));
            };
            connections::keep_idle(connection, &head.headers);
            (RunEnd::StreamComplete { text }, EngineOutcome::Completed(first))
        }
        (ResponseKind::Mismatched, _) => {
            (RunEnd::Unknown, failed(handle, run, Failure::MismatchedResponse))
        }
        _ => (RunEnd::Unknown, failed(handle, run, Failure::EngineError)),
    }
}

/// Says what went wrong with an item's engine.
fn failed(handle: &Handle, run: &RoutedRun, failure: Failure) -> EngineOutcome {
    handle.notify(RelayCall::EngineFailed(run.target.engine.clone(), failure));
    EngineOutcome::Failed
}

/// Reads events to the proper end of the body; false if it broke off, fell silent or made no
/// sense.
async fn read_events(
    mut body: hyper::body::Incoming,
    events: &mut ItemEvents,
    silence: DurationMs,
) -> bool {
    loop {
        match tokio::time::timeout(std_duration(silence), body.frame()).await {
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

/// the events of a stream don't follow on each other
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct InvalidStream;

impl std::error::Error for InvalidStream {}

/// The events of an item's stream, joined as they come.
#[derive(Debug, Clone)]
pub struct ItemEvents {
    so_far: Progress,
    /// Bytes that are no whole line yet.
    line: Vec<u8>,
    id: Option<u64>,
    data: Option<String>,
}

impl ItemEvents {
    /// Goes on after what an earlier run brought.
    ///
    /// ```
    /// use topazyard_relay::front::items::ItemEvents;
    /// let mut events = ItemEvents::resume(Default::default());
    /// events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    /// events.push(b"ta: b\n\n").unwrap();
    /// assert_eq!(events.into_text().as_deref(), Some("a\nb"));
    /// ```
    pub fn resume(so_far: Progress) -> Self {
        Self { so_far, line: Vec::new(), id: None, data: None }
    }

    /// Takes bytes of the stream.
    ///
    /// # Errors
    /// An event without an id, one that doesn't follow on the one before, text that is none, or
    /// more of it than is kept.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), InvalidStream> {
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(piece);
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.take_line(&line)?;
            }
        }
        let is_small = self.so_far.text.len() + self.line.len() <= MOST_BYTES;
        if is_small { Ok(()) } else { Err(InvalidStream) }
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
            // Comments and fields that carry no output.
            _ => {}
        }
        Ok(())
    }

    fn end_event(&mut self) -> Result<(), InvalidStream> {
        let (id, data) = (self.id.take(), self.data.take());
        let Some(data) = data else { return Ok(()) };
        let id = id.ok_or(InvalidStream)?;
        match self.so_far.last_event {
            Some(last) if id != last + 1 => return Err(InvalidStream),
            Some(_) => self.so_far.text.push('\n'),
            // Streams count from 0 or from 1.
            None if id > 1 => return Err(InvalidStream),
            None => {}
        }
        self.so_far.text.push_str(&data);
        self.so_far.last_event = Some(id);
        Ok(())
    }

    /// The whole text, if the stream ended with a whole event.
    pub fn into_text(self) -> Option<String> {
        let is_between = self.line.is_empty() && self.id.is_none() && self.data.is_none();
        (is_between && self.so_far.last_event.is_some()).then_some(self.so_far.text)
    }

    /// What was received whole.
    pub fn into_progress(self) -> Progress {
        self.so_far
    }
}
