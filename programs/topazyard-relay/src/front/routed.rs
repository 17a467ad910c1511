//! One request on a route, from its arrival to its end, led by its state chart.

use super::adapter::{EngineHeaders, HttpAdapter, RequestMetadata, ResponseKind};
use super::connections::{self, EngineConnection, SendError};
use super::engine::std_duration;
use super::outcomes::UnansweredRequest;
use super::request_guard::RequestGuard;
use super::routed_stream::Stream;
use super::{Handle, forward_response};
use crate::machine::requests::{Admitted, Arrival, Chosen};
use crate::machine::{EngineOutcome, RelayCall, RelayResponse};
use crate::prompt::{Failure, FailureAction, RequestStateMachine};
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::http::{Body, inbound};

/// How long a client waits that doesn't say it.
const DEFAULT_WAIT: DurationMs = DurationMs(30_000);
/// The largest response that is held back until it is whole.
const MOST_HELD_BACK: usize = 8 * 1024 * 1024;
/// The largest body taken where no spec says it.
const MOST_BODY: usize = 8 * 1024 * 1024;
/// A look at the clock and a dispatch lie so close together.
const TIMER_SLACK: DurationMs = DurationMs(2);

/// The outer adapter's names.
pub type SharedAdapter = std::sync::Arc<dyn HttpAdapter>;

/// A request on its way.
pub(super) struct Session {
    pub(super) guard: RequestGuard,
    adapter: SharedAdapter,
    metadata: RequestMetadata,
    pub(super) state_machine: RequestStateMachine,
    pub(super) terms: Admitted,
    /// Whether the response is passed on piece by piece.
    stream: bool,
    method: hyper::Method,
    uri: hyper::Uri,
    headers: hyper::HeaderMap,
    body: bytes::Bytes,
    /// The last event that the client has.
    pub(super) last_event: Option<u64>,
}

/// An engine's response whose head is here.
pub(super) struct Begun {
    pub(super) connection: EngineConnection,
    pub(super) head: hyper::http::response::Parts,
    pub(super) body: hyper::body::Incoming,
    /// How long its first word took.
    pub(super) first: DurationMs,
}

/// What a client gets.
enum Response {
    /// An engine's whole response.
    Whole(hyper::Response<Body>),
    /// A stream that has begun.
    Stream(Box<Begun>),
}

/// Answers one request of a client of the routes. When the relay's time to serve is over, a request
/// without a response gets its final answer at once.
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
        let called = batch_call(&handle, adapter, &head, body);
        let outcome = before_overdue(drain, called).await;
        return outcome.unwrap_or_else(|| Err(ApiError::may_have_run(Code::OutcomeUnknown)));
    }
    let admitted = before_overdue(drain, admit(handle, adapter, head, body)).await;
    match admitted.unwrap_or_else(|| Err(ApiError::not_run(Code::Draining)))? {
        Admission::Live(session) => session.serve(drain).await,
        Admission::Batch(submission) => {
            let outcome = before_overdue(drain, submission.hand_in(adapter)).await;
            outcome.ok_or_else(|| ApiError::may_have_run(Code::OutcomeUnknown))
        }
    }
}

/// What work gives, if it does so before the relay's time to serve is over.
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
    let body = inbound::read_body(body, MOST_BODY).await?;
    Ok(adapter.serve_batch_call(handle, None, head, body).await)
}

/// A request that was let in.
enum Admission {
    /// It goes to an engine at once.
    Live(Box<Session>),
    /// It hands a batch in.
    Batch(Box<Submission>),
}

/// A batch as a client hands it in.
struct Submission {
    guard: RequestGuard,
    route: topazyard_types::RouteName,
    head: hyper::http::request::Parts,
    body: bytes::Bytes,
}

impl Submission {
    async fn hand_in(self, adapter: &SharedAdapter) -> hyper::Response<Body> {
        adapter.serve_batch_call(&self.guard.handle, Some(self.route), &self.head, self.body).await
    }
}

/// Reads a request and asks the machine to let it in.
async fn admit(
    handle: Handle,
    adapter: &SharedAdapter,
    head: hyper::http::request::Parts,
    body: hyper::body::Incoming,
) -> Result<Admission, ApiError> {
    let arrived_at = handle.clock().now();
    let metadata = adapter.request_metadata(&head)?;
    let body = inbound::read_body(body, MOST_BODY).await?;
    let guard = RequestGuard::new(handle, RelayCall::RequestEnded);
    let arrival = Arrival {
        id: guard.id,
        host: host_of(&head).to_owned(),
        path: head.uri.path().to_owned(),
        cost: metadata.cost,
        arrived_at,
        wait: metadata.timeout.unwrap_or(DEFAULT_WAIT),
        prefix: metadata.prefix.clone(),
    };
    match guard.handle.call(RelayCall::AdmitRequest(arrival)).await {
        Ok(RelayResponse::Admitted(terms)) => {
            let session = Session::new(guard, adapter.clone(), metadata, *terms, head, body);
            Ok(Admission::Live(Box::new(session)))
        }
        Ok(RelayResponse::OnBatchRoute(route)) => {
            Ok(Admission::Batch(Box::new(Submission { guard, route, head, body })))
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

/// The host that a request names, without a port.
fn host_of(head: &hyper::http::request::Parts) -> &str {
    let named = head.headers.get(hyper::header::HOST).and_then(|value| value.to_str().ok());
    let host = named.or(head.uri.host()).unwrap_or("");
    host.split(':').next().unwrap_or(host)
}

/// The headers that go on to an engine; what concerns one connection stays here.
pub(super) fn forwarded_headers(headers: hyper::HeaderMap) -> hyper::HeaderMap {
    let mut kept = hyper::HeaderMap::with_capacity(headers.len() + 2);
    super::copy_end_to_end_headers(&headers, &mut kept);
    kept.remove(hyper::header::EXPECT);
    kept.remove(hyper::header::CONTENT_LENGTH);
    kept
}

/// Counts how it ended.
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
            // A client of HTTP/1.0 could not tell a cut stream from a whole one: it gets it whole.
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
            Some(Ok(Response::Whole(response))) => Ok(response),
            Some(Ok(Response::Stream(begun))) => Ok(self.relay(*begun)),
            Some(Err(error)) => Err(error),
            None => Err(self.refuse(ApiError::not_run(Code::Draining))),
        }
    }

    /// Tries engines until one gives a whole response or the head of a stream.
    async fn respond(&mut self) -> Result<Response, ApiError> {
        loop {
            let failed = match self.try_engine().await {
                Ok(begun) if self.stream && begun.head.status.is_success() => {
                    return Ok(Response::Stream(Box::new(begun)));
                }
                Ok(begun) => match self.relay_whole(begun).await {
                    Ok(response) => return Ok(Response::Whole(response)),
                    Err(failed) => failed,
                },
                Err(failed) => failed,
            };
            match failed {
                FailureAction::Respond(error) => return Err(error),
                // Before the head of a response nothing was relayed that would have to be broken.
                FailureAction::CloseConnection => {
                    return Err(ApiError::may_have_run(Code::EngineFailed));
                }
                FailureAction::TryAnotherEngine => self.request_another_engine().await?,
            }
        }
    }

    /// Asks the machine for another engine, saying how the last one's use ended.
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

    pub(super) fn failed(
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

    /// Says what went wrong with the request's engine.
    fn report_failure(&self, failure: Failure) {
        let engine = self.terms.chosen.target.engine.clone();
        self.guard.handle.notify(RelayCall::EngineFailed(engine, failure));
    }

    /// Connects, looks a last time whether it may be sent, sends, and judges the response's head.
    pub(super) async fn try_engine(&mut self) -> Result<Begun, FailureAction> {
        let chosen = self.terms.chosen.clone();
        let mut connection = match connections::take_idle(&chosen.target) {
            Some(kept) => kept,
            None => {
                let left = self.terms.deadline.since(self.now());
                match connections::connect(&chosen.target, left).await {
                    Ok(fresh) => fresh,
                    Err(_) => {
                        return Err(self.failed(Failure::NotConnected, EngineOutcome::Unreachable));
                    }
                }
            }
        };
        let request = self.request(&chosen);
        if self.now().plus(TIMER_SLACK) >= chosen.send_before {
            // What was checked may no longer hold: ask again, which costs no try.
            return Err(self.failed(Failure::NotConnected, EngineOutcome::NotSent));
        }
        self.state_machine.dispatch();
        let sent_at = self.now();
        let response = match self.head_of(&mut connection, request, &chosen, sent_at).await {
            Ok(response) => response,
            Err((SendError::NotSent, _)) => {
                self.state_machine.undo_dispatch();
                return Err(self.failed(Failure::NotConnected, EngineOutcome::NotSent));
            }
            Err((SendError::ConnectionLost, failure)) => {
                return Err(self.failed(failure, EngineOutcome::Failed));
            }
        };
        let first = self.now().since(sent_at);
        let (head, body) = response.into_parts();
        if !super::engine::is_delimited(&head.headers) && !body.is_end_stream() {
            // Its end could not be told from a cut.
            return Err(self.failed(Failure::ConnectionLost, EngineOutcome::Failed));
        }
        let verdict = self.adapter.classify_response(&head, &self.metadata.request_id);
        if verdict != ResponseKind::Mismatched {
            let engine = &chosen.target.engine;
            super::engine_loads::report(
                &self.guard.handle,
                self.adapter.as_ref(),
                engine,
                &head.headers,
            );
        }
        match verdict {
            ResponseKind::Response => Ok(Begun { connection, head, body, first }),
            ResponseKind::TurnedAway => {
                tokio::spawn(keep_after(connection, head, body));
                Err(self.failed(Failure::TurnedAway, EngineOutcome::TurnedAway))
            }
            ResponseKind::Failure
                if self.terms.repeatable && !self.state_machine.is_last_attempt() =>
            {
                Err(self.failed(Failure::EngineError, EngineOutcome::Failed))
            }
            ResponseKind::Failure => Ok(Begun { connection, head, body, first }),
            ResponseKind::Mismatched => {
                Err(self.failed(Failure::MismatchedResponse, EngineOutcome::Failed))
            }
        }
    }

    /// Sends and waits for the head, doubting the engine aloud if it takes too long.
    async fn head_of(
        &self,
        connection: &mut EngineConnection,
        request: hyper::Request<Body>,
        chosen: &Chosen,
        sent_at: MonotonicMs,
    ) -> Result<hyper::Response<hyper::body::Incoming>, (SendError, Failure)> {
        let timeout = self.state_machine.timeout(sent_at);
        let response = connection.send(request);
        tokio::pin!(response);
        let doubt_after = std_duration(DurationMs(chosen.suspect_after.0.min(timeout.0)));
        let early = tokio::time::timeout(doubt_after, &mut response).await;
        let outcome = match early {
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

    /// Holds a response back until it is whole, so that a cut one is an error and nothing else.
    async fn relay_whole(&mut self, begun: Begun) -> Result<hyper::Response<Body>, FailureAction> {
        let Begun { connection, head, body, first } = begun;
        let limit = std_duration(self.terms.deadline.since(self.now()));
        let collect = http_body_util::Limited::new(body, MOST_HELD_BACK).collect();
        let body = match tokio::time::timeout(limit, collect).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Err(self.failed(Failure::ConnectionLost, EngineOutcome::Failed)),
            Err(_) => return Err(self.failed(Failure::TimedOut, EngineOutcome::Failed)),
        };
        self.state_machine.start_relaying();
        self.state_machine.complete();
        self.guard.engine_outcome = if head.status.is_success() {
            EngineOutcome::Completed(first)
        } else {
            self.report_failure(Failure::EngineError);
            EngineOutcome::Failed
        };
        connections::keep_idle(connection, &head.headers);
        Ok(forward_response(&head, topazyard_wire::http::full_body(body)))
    }

    /// Relays a stream event by event. One that can be resumed goes on from another engine when
    /// its engine breaks off; any other breaks its client's connection.
    fn relay(mut self: Box<Self>, begun: Begun) -> hyper::Response<Body> {
        self.state_machine.start_relaying();
        let mut head = begun.head.clone();
        // Its length is known only where it ends with the first engine.
        head.headers.remove(hyper::header::CONTENT_LENGTH);
        forward_response(&head, Stream::of(self, begun).into_body())
    }
}

/// Reads the rest of a short response, so that its connection can be kept.
async fn keep_after(
    connection: EngineConnection,
    head: hyper::http::response::Parts,
    body: hyper::body::Incoming,
) {
    let limit = std::time::Duration::from_millis(connections::CONNECT_TIMEOUT.0);
    let collect = http_body_util::Limited::new(body, MOST_HELD_BACK).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(limit, collect).await {
        connections::keep_idle(connection, &head.headers);
    }
}

/// Path and query alone, as an engine expects them.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}
