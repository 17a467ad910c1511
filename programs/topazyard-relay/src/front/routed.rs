//! Serves one request on a route, from arrival to end, driven by its state machine.

use super::adapter::{BatchCallKind, EngineHeaders, HttpAdapter, RequestMetadata, ResponseKind};
use super::connections::{self, EngineConnection, SendError};
use super::engine::std_duration;
use super::outcomes::UnansweredRequest;
use super::request_guard::RequestGuard;
use super::routed_stream::RelayedStream;
use super::{Handle, forward_response};
use crate::machine::requests::{Admitted, Arrival, Chosen};
use crate::machine::{EngineOutcome, RelayCall, RelayResponse};
use crate::prompt::{Failure, FailureAction, RequestStateMachine};
use hyper::body::Body as _;
use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::http::{Body, body, inbound};

/// The timeout of a request that states none.
const DEFAULT_TIMEOUT: DurationMs = DurationMs(30_000);
/// The largest response that is buffered until it is complete.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;
/// How much of a refusal of an engine is read, so that its connection can be used again.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Upper bound on the time between reading the clock and dispatching a request.
const DISPATCH_SLACK: DurationMs = DurationMs(2);

/// The outer adapter, shared by all requests.
pub type SharedAdapter = std::sync::Arc<dyn HttpAdapter>;

/// A request being served.
pub(super) struct Session {
    pub(super) guard: RequestGuard,
    adapter: SharedAdapter,
    metadata: RequestMetadata,
    pub(super) state_machine: RequestStateMachine,
    pub(super) terms: Admitted,
    /// Whether the response is relayed as it arrives.
    stream: bool,
    method: hyper::Method,
    uri: hyper::Uri,
    headers: hyper::HeaderMap,
    body: bytes::Bytes,
    /// The last event that was relayed to the client.
    pub(super) last_event: Option<u64>,
}

/// An engine's response whose head was received.
pub(super) struct EngineResponse {
    pub(super) connection: EngineConnection,
    pub(super) head: hyper::http::response::Parts,
    pub(super) body: hyper::body::Incoming,
    /// The time from sending the request until the head was received.
    pub(super) time_to_head: DurationMs,
}

/// A response for the client.
enum ClientResponse {
    /// An engine's complete response.
    Complete(hyper::Response<Body>),
    /// A stream whose head was received.
    Stream(Box<EngineResponse>),
}

/// Serves one client request on the routes. When the drain's time to serve is over, a request
/// without a response gets its final response at once.
pub async fn serve_request(
    handle: Handle,
    adapter: SharedAdapter,
    mut drain: inbound::Drain,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    let _unanswered = UnansweredRequest::start();
    let (head, body) = request.into_parts();
    match serve(handle, &adapter, &mut drain, head, body).await {
        Ok(response) => response,
        Err(error) => adapter.refusal_response(&error),
    }
}

async fn serve(
    handle: Handle,
    adapter: &SharedAdapter,
    drain: &mut inbound::Drain,
    head: hyper::http::request::Parts,
    body: hyper::body::Incoming,
) -> Result<hyper::Response<Body>, ApiError> {
    let path = head.uri.path();
    if adapter.is_ready_path(path) {
        return ready(&handle).await;
    }
    if adapter.is_batch_path(path) {
        let response = batch_call(&handle, adapter, &head, body);
        let outcome = before_overdue(drain, response).await;
        return outcome.unwrap_or_else(|| Err(ApiError::may_have_run(Code::OutcomeUnknown)));
    }
    let admitted = before_overdue(drain, admit(handle, adapter, head, body)).await;
    match admitted.unwrap_or_else(|| Err(ApiError::not_run(Code::Draining)))? {
        Admission::Live(session) => session.serve(drain).await,
        Admission::Batch(submission) => {
            let outcome = before_overdue(drain, submission.submit(adapter)).await;
            outcome.ok_or_else(|| ApiError::may_have_run(Code::OutcomeUnknown))
        }
    }
}

/// The output of `work`, or none if the drain's time to serve ends first.
async fn before_overdue<T>(drain: &mut inbound::Drain, work: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        outcome = work => Some(outcome),
        () = inbound::wait_for_stage(drain, inbound::Stage::Overdue) => None,
    }
}

async fn batch_call(
    handle: &Handle,
    adapter: &SharedAdapter,
    head: &hyper::http::request::Parts,
    body: hyper::body::Incoming,
) -> Result<hyper::Response<Body>, ApiError> {
    let body = body::read_body_within_limits(head, body).await?;
    Ok(adapter.serve_batch_call(handle, BatchCallKind::OnSubmitted, head, body).await)
}

/// An admitted request.
enum Admission {
    /// A request to send to an engine now.
    Live(Box<Session>),
    /// A batch submission.
    Batch(Box<Submission>),
}

/// A batch submitted by a client.
struct Submission {
    guard: RequestGuard,
    head: hyper::http::request::Parts,
    body: bytes::Bytes,
}

impl Submission {
    async fn submit(self, adapter: &SharedAdapter) -> hyper::Response<Body> {
        adapter
            .serve_batch_call(&self.guard.handle, BatchCallKind::Submission, &self.head, self.body)
            .await
    }
}

/// Reads a request and requests its admission from the machine.
async fn admit(
    handle: Handle,
    adapter: &SharedAdapter,
    head: hyper::http::request::Parts,
    body: hyper::body::Incoming,
) -> Result<Admission, ApiError> {
    let arrived_at = handle.clock().now();
    let metadata = adapter.request_metadata(&head)?;
    let body = body::read_body_within_limits(&head, body).await?;
    let guard = RequestGuard::new(handle, RelayCall::RequestEnded);
    let arrival = Arrival {
        id: guard.id,
        host: request_host(&head).to_owned(),
        path: head.uri.path().to_owned(),
        cost: metadata.cost,
        arrived_at,
        wait: metadata.timeout.unwrap_or(DEFAULT_TIMEOUT),
        prefix: metadata.prefix.clone(),
    };
    match guard.handle.call(RelayCall::AdmitRequest(arrival)).await {
        Ok(RelayResponse::Admitted(terms)) => {
            let session = Session::new(guard, adapter.clone(), metadata, *terms, head, body);
            Ok(Admission::Live(Box::new(session)))
        }
        Ok(RelayResponse::OnBatchRoute) => {
            Ok(Admission::Batch(Box::new(Submission { guard, head, body })))
        }
        Ok(RelayResponse::Refused(error)) => Err(error),
        _ => Err(ApiError::not_run(Code::StaleFeed)),
    }
}

async fn ready(handle: &Handle) -> Result<hyper::Response<Body>, ApiError> {
    match handle.call(RelayCall::Ready).await {
        Ok(RelayResponse::Done) => {
            Ok(topazyard_wire::http::json(200, &serde_json::json!({ "ready": true })))
        }
        Ok(RelayResponse::Refused(error)) => Err(error),
        _ => Err(ApiError::not_run(Code::StaleFeed)),
    }
}

/// The requested host, without a port.
pub fn request_host(head: &hyper::http::request::Parts) -> &str {
    let host_header = head.headers.get(hyper::header::HOST).and_then(|value| value.to_str().ok());
    let host = host_header.or(head.uri.host()).unwrap_or("");
    host.split(':').next().unwrap_or(host)
}

/// The headers that are forwarded to an engine: all but hop-by-hop ones.
pub(super) fn forwarded_headers(headers: hyper::HeaderMap) -> hyper::HeaderMap {
    let mut forwarded = hyper::HeaderMap::with_capacity(headers.len() + 2);
    super::copy_end_to_end_headers(&headers, &mut forwarded);
    forwarded.remove(hyper::header::EXPECT);
    forwarded.remove(hyper::header::CONTENT_LENGTH);
    forwarded
}

/// Counts the request's outcome.
impl Drop for Session {
    fn drop(&mut self) {
        super::outcomes::count(self.state_machine.state());
    }
}

impl Session {
    fn now(&self) -> MonotonicMs {
        self.guard.handle.clock().now()
    }

    fn new(
        guard: RequestGuard,
        adapter: SharedAdapter,
        metadata: RequestMetadata,
        terms: Admitted,
        head: hyper::http::request::Parts,
        body: bytes::Bytes,
    ) -> Self {
        let mut state_machine = RequestStateMachine::on_route(
            terms.repeatable,
            terms.resumable,
            terms.max_attempts,
            terms.deadline,
        );
        state_machine.enqueue();
        state_machine.hold();
        Self {
            guard,
            adapter,
            last_event: metadata.last_event,
            metadata,
            state_machine,
            // An HTTP/1.0 client cannot tell an interrupted stream from a complete one, so for it
            // the stream is buffered.
            stream: terms.stream && head.version >= hyper::Version::HTTP_11,
            terms,
            method: head.method,
            uri: head.uri,
            headers: forwarded_headers(head.headers),
            body,
        }
    }

    async fn serve(
        mut self: Box<Self>,
        drain: &mut inbound::Drain,
    ) -> Result<hyper::Response<Body>, ApiError> {
        match before_overdue(drain, self.respond()).await {
            Some(Ok(ClientResponse::Complete(response))) => Ok(response),
            Some(Ok(ClientResponse::Stream(response))) => Ok(self.relay_stream(*response)),
            Some(Err(error)) => Err(error),
            None => Err(self.refuse(ApiError::not_run(Code::Draining))),
        }
    }

    /// Tries engines until one gives a complete response or the head of a stream.
    async fn respond(&mut self) -> Result<ClientResponse, ApiError> {
        loop {
            let action = match self.try_engine().await {
                Ok(response) if self.stream && response.head.status.is_success() => {
                    return Ok(ClientResponse::Stream(Box::new(response)));
                }
                Ok(response) => match self.relay_buffered(response).await {
                    Ok(response) => return Ok(ClientResponse::Complete(response)),
                    Err(action) => action,
                },
                Err(action) => action,
            };
            match action {
                FailureAction::Respond(error) => return Err(error),
                // Nothing was relayed yet, so the failure is a response rather than a closed
                // connection.
                FailureAction::CloseConnection => {
                    return Err(ApiError::may_have_run(Code::EngineFailed));
                }
                FailureAction::TryAnotherEngine => self.request_another_engine().await?,
            }
        }
    }

    /// Requests another engine from the machine and reports the outcome at the last one.
    pub(super) async fn request_another_engine(&mut self) -> Result<(), ApiError> {
        let call = RelayCall::RetryRequest(self.guard.id, self.guard.engine_outcome);
        self.guard.engine_outcome = EngineOutcome::Aborted;
        match self.guard.handle.call(call).await {
            Ok(RelayResponse::Chosen(chosen)) => {
                self.terms.chosen = *chosen;
                self.state_machine.hold();
                Ok(())
            }
            Ok(RelayResponse::Refused(error)) => Err(self.refuse(error)),
            _ => Err(self.refuse(ApiError::not_run(Code::StaleFeed))),
        }
    }

    fn refuse(&mut self, error: ApiError) -> ApiError {
        if self.state_machine.has_relayed_head() { error } else { self.state_machine.refuse(error) }
    }

    pub(super) fn fail(
        &mut self,
        failure: Failure,
        engine_outcome: EngineOutcome,
    ) -> FailureAction {
        self.guard.engine_outcome = engine_outcome;
        if engine_outcome == EngineOutcome::Failed {
            self.report_failure(failure);
        }
        if matches!(engine_outcome, EngineOutcome::Failed | EngineOutcome::Unreachable) {
            connections::close_idle(&self.terms.chosen.target.engine);
        }
        self.state_machine.fail(failure, self.now())
    }

    /// Reports a failure of the request's engine to the machine.
    fn report_failure(&self, failure: Failure) {
        let engine = self.terms.chosen.target.engine.clone();
        self.guard.handle.notify(RelayCall::EngineFailed(engine, failure));
    }

    /// Connects, checks a last time whether the request may be sent, sends it and classifies the
    /// response's head.
    pub(super) async fn try_engine(&mut self) -> Result<EngineResponse, FailureAction> {
        let chosen = self.terms.chosen.clone();
        let mut connection = match connections::take_idle(&chosen.target) {
            Some(idle) => idle,
            None => {
                let left = self.terms.deadline.since(self.now());
                match connections::connect(&chosen.target, left).await {
                    Ok(opened) => opened,
                    Err(_) => {
                        return Err(self.fail(Failure::NotConnected, EngineOutcome::Unreachable));
                    }
                }
            }
        };
        let request = self.request(&chosen);
        if self.now().plus(DISPATCH_SLACK) >= chosen.send_before {
            // The admission checks may be out of date: request an engine again, which does not
            // count as an attempt.
            return Err(self.fail(Failure::NotConnected, EngineOutcome::NotSent));
        }
        self.state_machine.dispatch();
        let sent_at = self.now();
        let response =
            match self.send_and_await_head(&mut connection, request, &chosen, sent_at).await {
                Ok(response) => response,
                Err((SendError::NotSent, _)) => {
                    self.state_machine.undo_dispatch();
                    return Err(self.fail(Failure::NotConnected, EngineOutcome::NotSent));
                }
                Err((SendError::ConnectionLost, failure)) => {
                    return Err(self.fail(failure, EngineOutcome::Failed));
                }
            };
        let time_to_head = self.now().since(sent_at);
        let (head, body) = response.into_parts();
        if !super::engine::is_delimited(&head.headers) && !body.is_end_stream() {
            // An interrupted body could not be told from a complete one.
            return Err(self.fail(Failure::ConnectionLost, EngineOutcome::Failed));
        }
        let kind = self.adapter.classify_response(&head, &self.metadata.request_id);
        if kind != ResponseKind::Mismatched {
            let engine = &chosen.target.engine;
            super::engine_loads::report(
                &self.guard.handle,
                self.adapter.as_ref(),
                engine,
                &head.headers,
            );
        }
        match kind {
            ResponseKind::Response => Ok(EngineResponse { connection, head, body, time_to_head }),
            ResponseKind::TurnedAway => {
                tokio::spawn(drain_and_keep(connection, head, body));
                Err(self.fail(Failure::TurnedAway, EngineOutcome::TurnedAway))
            }
            ResponseKind::Failure
                if self.terms.repeatable && !self.state_machine.is_last_attempt() =>
            {
                Err(self.fail(Failure::EngineError, EngineOutcome::Failed))
            }
            ResponseKind::Failure => Ok(EngineResponse { connection, head, body, time_to_head }),
            ResponseKind::Mismatched => {
                Err(self.fail(Failure::MismatchedResponse, EngineOutcome::Failed))
            }
        }
    }

    /// Sends the request and waits for the response's head; reports the engine as suspected if that
    /// takes longer than expected.
    async fn send_and_await_head(
        &self,
        connection: &mut EngineConnection,
        request: hyper::Request<Body>,
        chosen: &Chosen,
        sent_at: MonotonicMs,
    ) -> Result<hyper::Response<hyper::body::Incoming>, (SendError, Failure)> {
        let timeout = self.state_machine.timeout(sent_at);
        let response = connection.send(request);
        tokio::pin!(response);
        let suspect_after = std_duration(DurationMs(chosen.suspect_after.0.min(timeout.0)));
        let first_wait = tokio::time::timeout(suspect_after, &mut response).await;
        let outcome = match first_wait {
            Ok(outcome) => Ok(outcome),
            Err(_) => {
                self.guard.handle.notify(RelayCall::SuspectEngine(chosen.target.engine.clone()));
                let left = DurationMs(timeout.0.saturating_sub(chosen.suspect_after.0));
                tokio::time::timeout(std_duration(left), &mut response).await
            }
        };
        match outcome {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err((error, Failure::ConnectionLost)),
            Err(_) => Err((SendError::ConnectionLost, Failure::TimedOut)),
        }
    }

    fn request(&self, chosen: &Chosen) -> hyper::Request<Body> {
        let mut request = hyper::Request::new(topazyard_wire::http::full_body(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = origin_form(&self.uri);
        *request.headers_mut() = self.headers.clone();
        let to = EngineHeaders {
            engine: &chosen.target.engine,
            time_remaining: self.terms.deadline.since(self.now()),
            last_event: self.last_event,
        };
        self.adapter.set_engine_headers(request.headers_mut(), &to);
        request
    }

    /// Buffers a response until it is complete, so that for an interrupted one the client gets only
    /// an error.
    async fn relay_buffered(
        &mut self,
        response: EngineResponse,
    ) -> Result<hyper::Response<Body>, FailureAction> {
        let EngineResponse { connection, head, body, time_to_head } = response;
        let timeout = std_duration(self.terms.deadline.since(self.now()));
        let collect = body::collect_response(body, MAX_BUFFERED_BYTES);
        let body = match tokio::time::timeout(timeout, collect).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return Err(self.fail(Failure::ConnectionLost, EngineOutcome::Failed)),
            Err(_) => return Err(self.fail(Failure::TimedOut, EngineOutcome::Failed)),
        };
        self.state_machine.start_relaying();
        self.state_machine.complete();
        self.guard.engine_outcome = if head.status.is_success() {
            EngineOutcome::Completed(time_to_head)
        } else {
            self.report_failure(Failure::EngineError);
            EngineOutcome::Failed
        };
        connections::keep_idle(connection, &head.headers);
        Ok(forward_response(&head, topazyard_wire::http::full_body(body)))
    }

    /// Relays a stream event by event. If the engine fails, a resumable stream continues from
    /// another engine; for any other stream the client's connection is closed.
    fn relay_stream(mut self: Box<Self>, response: EngineResponse) -> hyper::Response<Body> {
        self.state_machine.start_relaying();
        let mut head = response.head.clone();
        // The length is wrong if the stream continues from another engine.
        head.headers.remove(hyper::header::CONTENT_LENGTH);
        forward_response(&head, RelayedStream::new(self, response).into_body())
    }
}

/// Reads the rest of a short response so that its connection can be reused.
async fn drain_and_keep(
    connection: EngineConnection,
    head: hyper::http::response::Parts,
    body: hyper::body::Incoming,
) {
    let timeout = std::time::Duration::from_millis(connections::CONNECT_TIMEOUT.0);
    let is_discarded = body::discard(body, MAX_DISCARDED_BYTES);
    if let Ok(true) = tokio::time::timeout(timeout, is_discarded).await {
        connections::keep_idle(connection, &head.headers);
    }
}

/// Only path and query, as sent to an engine.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}
