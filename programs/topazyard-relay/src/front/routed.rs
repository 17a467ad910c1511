//! One request on a route, from its arrival to its end, led by its state chart.

use super::connections::{self, Kept, SendError};
use super::dialect::{Addressed, Dialect, RequestFacts, Verdict};
use super::engine::span;
use super::events::Events;
use super::{Handle, passed_on};
use crate::machine::requests::{Admitted, Arrival, Chosen};
use crate::machine::{EngineUse, PromptId, RelayCall, RelayReturn};
use crate::prompt::{Chart, Failure, Next};
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use topazyard_types::{DurationMs, MonotonicMs};
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::http::{Body, BodyError};

/// How long a client waits that doesn't say it.
const DEFAULT_WAIT: DurationMs = DurationMs(30_000);
/// The largest response that is held back until it is whole.
const MOST_HELD_BACK: usize = 8 * 1024 * 1024;
/// The largest body taken where no spec says it.
const MOST_BODY: usize = 8 * 1024 * 1024;
/// A look at the clock and a dispatch lie so close together.
const TIMER_SLACK: DurationMs = DurationMs(2);

/// The outer adapter's names.
pub type Names = std::sync::Arc<dyn Dialect>;

/// Tells the machine that a request ended, whichever way this value goes out of use.
struct Ending {
    handle: Handle,
    id: PromptId,
    engine_use: EngineUse,
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.handle.tell(RelayCall::RequestEnded(self.id, self.engine_use));
    }
}

/// A request on its way.
struct Session {
    ending: Ending,
    names: Names,
    facts: RequestFacts,
    chart: Chart,
    terms: Admitted,
    /// Whether the response is passed on piece by piece.
    stream: bool,
    method: hyper::Method,
    uri: hyper::Uri,
    headers: hyper::HeaderMap,
    body: bytes::Bytes,
    /// The last event that the client has.
    last_event: Option<u64>,
}

/// An engine's response whose head is here.
struct Begun {
    connection: Kept,
    head: hyper::http::response::Parts,
    body: hyper::body::Incoming,
    /// How long its first word took.
    first: DurationMs,
}

/// Answers one request of a client of the routes.
pub async fn answer(
    handle: Handle,
    names: Names,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    let (head, body) = request.into_parts();
    match serve(handle, &names, head, body).await {
        Ok(response) => response,
        Err(error) => names.refuse(&error),
    }
}

async fn serve(
    handle: Handle,
    names: &Names,
    head: hyper::http::request::Parts,
    body: hyper::body::Incoming,
) -> Result<hyper::Response<Body>, ApiError> {
    let arrived = handle.clock().now();
    let path = head.uri.path();
    if names.is_ready_path(path) {
        return ready(&handle).await;
    }
    if names.is_batch_path(path) {
        let body = topazyard_wire::http::inward::read_body(body, MOST_BODY).await?;
        return Ok(names.batch_call(&handle, None, &head, body).await);
    }
    let facts = names.read(&head)?;
    let body = topazyard_wire::http::inward::read_body(body, MOST_BODY).await?;
    let id = PromptId::next();
    let arrival = Arrival {
        id,
        host: host_of(&head).to_owned(),
        path: path.to_owned(),
        cost: facts.cost,
        arrived,
        wait: facts.wait.unwrap_or(DEFAULT_WAIT),
        prefix: facts.prefix.clone(),
    };
    let ending = Ending { handle, id, engine_use: EngineUse::BrokenOff };
    let terms = match ending.handle.call(RelayCall::Arrive(arrival)).await {
        Ok(RelayReturn::Admitted(terms)) => *terms,
        Ok(RelayReturn::OnBatchRoute(route)) => {
            return Ok(names.batch_call(&ending.handle, Some(route), &head, body).await);
        }
        Ok(RelayReturn::Refused(error)) => return Err(error),
        _ => return Err(ApiError::not_run(Code::StaleFeed)),
    };
    let mut chart =
        Chart::on_route(terms.repeatable, terms.resumable, terms.most_tries, terms.deadline);
    chart.wait();
    chart.hold();
    let last_event = facts.last_event;
    // A client of HTTP/1.0 could not tell a cut stream from a whole one: it gets it whole.
    let stream = terms.stream && head.version >= hyper::Version::HTTP_11;
    let session = Session {
        ending,
        names: names.clone(),
        facts,
        chart,
        terms,
        stream,
        method: head.method,
        uri: head.uri,
        headers: of_both_sides(head.headers),
        body,
        last_event,
    };
    session.run().await
}

async fn ready(handle: &Handle) -> Result<hyper::Response<Body>, ApiError> {
    match handle.call(RelayCall::Ready).await {
        Ok(RelayReturn::Noted) => {
            Ok(topazyard_wire::http::json(200, &serde_json::json!({ "ready": true })))
        }
        Ok(RelayReturn::Refused(error)) => Err(error),
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
pub(super) fn of_both_sides(headers: hyper::HeaderMap) -> hyper::HeaderMap {
    let mut kept = hyper::HeaderMap::with_capacity(headers.len() + 2);
    super::copy_end_to_end(&headers, &mut kept);
    kept.remove(hyper::header::EXPECT);
    kept.remove(hyper::header::CONTENT_LENGTH);
    kept
}

/// Counts how it ended.
impl Drop for Session {
    fn drop(&mut self) {
        super::ended::count(self.chart.state());
    }
}

impl Session {
    fn now(&self) -> MonotonicMs {
        self.ending.handle.clock().now()
    }

    async fn run(mut self) -> Result<hyper::Response<Body>, ApiError> {
        let begun = loop {
            match self.try_engine().await {
                Ok(begun) => break begun,
                Err(Next::Answer(error)) => return Err(error),
                // Before the head of a response nothing was relayed that would have to be broken.
                Err(Next::Break) => return Err(ApiError::may_have_run(Code::EngineFailed)),
                Err(Next::Another) => self.ask_for_another().await?,
            }
        };
        if self.stream && begun.head.status.is_success() {
            return Ok(self.relay(begun));
        }
        self.relay_whole(begun).await
    }

    /// Asks the machine for another engine, saying how the last one's use ended.
    async fn ask_for_another(&mut self) -> Result<(), ApiError> {
        let call = RelayCall::Retry(self.ending.id, self.ending.engine_use);
        self.ending.engine_use = EngineUse::BrokenOff;
        match self.ending.handle.call(call).await {
            Ok(RelayReturn::Chosen(chosen)) => {
                self.terms.chosen = *chosen;
                self.chart.hold();
                Ok(())
            }
            Ok(RelayReturn::Refused(error)) => Err(self.refuse(error)),
            _ => Err(self.refuse(ApiError::not_run(Code::StaleFeed))),
        }
    }

    fn refuse(&mut self, error: ApiError) -> ApiError {
        if self.chart.is_begun() { error } else { self.chart.refuse(error) }
    }

    fn failed(&mut self, failure: Failure, engine_use: EngineUse) -> Next {
        self.ending.engine_use = engine_use;
        if engine_use == EngineUse::Failed {
            self.tell_failure(failure);
        }
        if matches!(engine_use, EngineUse::Failed | EngineUse::Unreachable) {
            connections::forget(&self.terms.chosen.target.engine);
        }
        self.chart.fail(failure, self.now())
    }

    /// Says what went wrong with the request's engine.
    fn tell_failure(&self, failure: Failure) {
        let engine = self.terms.chosen.target.engine.clone();
        self.ending.handle.tell(RelayCall::EngineFailed(engine, failure));
    }

    /// Connects, looks a last time whether it may be sent, sends, and judges the response's head.
    async fn try_engine(&mut self) -> Result<Begun, Next> {
        let chosen = self.terms.chosen.clone();
        let mut connection = match connections::take(&chosen.target) {
            Some(kept) => kept,
            None => {
                let left = self.terms.deadline.since(self.now());
                match connections::connect(&chosen.target, left).await {
                    Ok(fresh) => fresh,
                    Err(_) => {
                        return Err(self.failed(Failure::NotConnected, EngineUse::Unreachable));
                    }
                }
            }
        };
        let request = self.request(&chosen);
        if self.now().plus(TIMER_SLACK) >= chosen.until {
            // What was checked may no longer hold: ask again, which costs no try.
            return Err(self.failed(Failure::NotConnected, EngineUse::Unsent));
        }
        self.chart.dispatch();
        let sent_at = self.now();
        let response = match self.head_of(&mut connection, request, &chosen, sent_at).await {
            Ok(response) => response,
            Err((SendError::Unsent, _)) => {
                self.chart.unsent();
                return Err(self.failed(Failure::NotConnected, EngineUse::Unsent));
            }
            Err((SendError::Broken, failure)) => {
                return Err(self.failed(failure, EngineUse::Failed));
            }
        };
        let first = self.now().since(sent_at);
        let (head, body) = response.into_parts();
        if !super::engine::is_delimited(&head.headers) && !body.is_end_stream() {
            // Its end could not be told from a cut.
            return Err(self.failed(Failure::Broken, EngineUse::Failed));
        }
        match self.names.judge(&head, &self.facts.request_id) {
            Verdict::Response => Ok(Begun { connection, head, body, first }),
            Verdict::TurnedAway => {
                tokio::spawn(keep_after(connection, head, body));
                Err(self.failed(Failure::TurnedAway, EngineUse::TurnedAway))
            }
            Verdict::Failure if self.terms.repeatable && !self.chart.is_last_try() => {
                Err(self.failed(Failure::Failed, EngineUse::Failed))
            }
            Verdict::Failure => Ok(Begun { connection, head, body, first }),
            Verdict::Foreign => Err(self.failed(Failure::Foreign, EngineUse::Failed)),
        }
    }

    /// Sends and waits for the head, doubting the engine aloud if it takes too long.
    async fn head_of(
        &self,
        connection: &mut Kept,
        request: hyper::Request<Body>,
        chosen: &Chosen,
        sent_at: MonotonicMs,
    ) -> Result<hyper::Response<hyper::body::Incoming>, (SendError, Failure)> {
        let timeout = self.chart.timeout(sent_at);
        let response = connection.send(request);
        tokio::pin!(response);
        let doubt_after = span(DurationMs(chosen.doubt_after.0.min(timeout.0)));
        let early = tokio::time::timeout(doubt_after, &mut response).await;
        let outcome = match early {
            Ok(outcome) => Ok(outcome),
            Err(_) => {
                self.ending.handle.tell(RelayCall::Doubt(chosen.target.engine.clone()));
                let left = DurationMs(timeout.0.saturating_sub(chosen.doubt_after.0));
                tokio::time::timeout(span(left), &mut response).await
            }
        };
        match outcome {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err((error, Failure::Broken)),
            Err(_) => Err((SendError::Broken, Failure::TimedOut)),
        }
    }

    fn request(&self, chosen: &Chosen) -> hyper::Request<Body> {
        let mut request = hyper::Request::new(topazyard_wire::http::whole(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = origin_form(&self.uri);
        *request.headers_mut() = self.headers.clone();
        let to = Addressed {
            engine: &chosen.target.engine,
            left: self.terms.deadline.since(self.now()),
            last_event: self.last_event,
        };
        self.names.address(request.headers_mut(), &to);
        request
    }

    /// Holds a response back until it is whole, so that a cut one is an error and nothing else.
    async fn relay_whole(mut self, begun: Begun) -> Result<hyper::Response<Body>, ApiError> {
        let Begun { connection, head, body, first } = begun;
        let limit = span(self.terms.deadline.since(self.now()));
        let collect = http_body_util::Limited::new(body, MOST_HELD_BACK).collect();
        let failure = match tokio::time::timeout(limit, collect).await {
            Ok(Ok(body)) => {
                self.chart.relay();
                self.chart.complete();
                self.ending.engine_use = if head.status.is_success() {
                    EngineUse::Whole(first)
                } else {
                    self.tell_failure(Failure::Failed);
                    EngineUse::Failed
                };
                connections::keep(connection, &head.headers);
                return Ok(passed_on(&head, topazyard_wire::http::whole(body.to_bytes())));
            }
            Ok(Err(_)) => Failure::Broken,
            Err(_) => Failure::TimedOut,
        };
        match self.failed(failure, EngineUse::Failed) {
            Next::Answer(error) => Err(error),
            Next::Break => Err(ApiError::may_have_run(Code::EngineFailed)),
            Next::Another => {
                self.ask_for_another().await?;
                Box::pin(self.run()).await
            }
        }
    }

    /// Relays a stream event by event. One that can be resumed goes on from another engine when
    /// its engine breaks off; any other breaks its client's connection.
    fn relay(mut self, begun: Begun) -> hyper::Response<Body> {
        self.chart.relay();
        let mut head = begun.head.clone();
        // Its length is known only where it ends with the first engine.
        head.headers.remove(hyper::header::CONTENT_LENGTH);
        let last_event = self.last_event;
        let stream = Stream {
            resumable: self.terms.resumable,
            first: begun.first,
            session: self,
            events: Events::after(last_event),
            begun: Some(begun),
        };
        let frames = futures_util::stream::unfold(Some(stream), Stream::next);
        passed_on(&head, http_body_util::StreamBody::new(frames).boxed_unsync())
    }
}

/// A stream that is being relayed.
struct Stream {
    session: Session,
    begun: Option<Begun>,
    events: Events,
    first: DurationMs,
    resumable: bool,
}

type Piece = Result<hyper::body::Frame<bytes::Bytes>, BodyError>;

/// What came next of a stream.
enum Step {
    /// Bytes for the client.
    Bytes(bytes::Bytes),
    /// Nothing for the client yet.
    Nothing,
    /// The whole stream is relayed.
    End,
    /// It breaks off.
    Cut,
}

impl Stream {
    /// The next piece; a stream that stops without its end is an error.
    async fn next(stream: Option<Self>) -> Option<(Piece, Option<Self>)> {
        let mut stream = stream?;
        loop {
            match stream.step().await {
                Step::Bytes(bytes) => {
                    return Some((Ok(hyper::body::Frame::data(bytes)), Some(stream)));
                }
                Step::Nothing => {}
                Step::End => return None,
                Step::Cut => {
                    super::let_flush().await;
                    return Some((Err(BodyError), None));
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let Some(begun) = &mut self.begun else {
            return self.go_on_elsewhere().await;
        };
        let left = self.session.terms.deadline.since(self.session.ending.handle.clock().now());
        let failure = match tokio::time::timeout(span(left), begun.body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => match self.take(bytes) {
                    Ok(step) => return step,
                    Err(failure) => failure,
                },
                // Trailers say nothing that a client needs.
                Err(_) => return Step::Nothing,
            },
            Ok(None) if !self.events.is_within() => return self.end(),
            Ok(None) | Ok(Some(Err(_))) => Failure::Broken,
            Err(_) => Failure::TimedOut,
        };
        self.begun = None;
        match self.session.failed(failure, EngineUse::Failed) {
            Next::Another => match self.session.ask_for_another().await {
                Ok(()) => Step::Nothing,
                Err(_) => Step::Cut,
            },
            Next::Answer(_) | Next::Break => Step::Cut,
        }
    }

    /// Takes bytes of the engine: whole events where the stream may have to be gone on with.
    fn take(&mut self, bytes: bytes::Bytes) -> Result<Step, Failure> {
        if !self.resumable {
            return Ok(Step::Bytes(bytes));
        }
        let whole = self.events.take(&bytes).map_err(|_| Failure::Broken)?;
        let Some(whole) = whole else { return Ok(Step::Nothing) };
        if !whole.in_order {
            return Err(Failure::Broken);
        }
        self.session.last_event = self.events.last_id();
        Ok(Step::Bytes(whole.bytes))
    }

    fn end(&mut self) -> Step {
        self.session.chart.complete();
        self.session.ending.engine_use = EngineUse::Whole(self.first);
        if let Some(begun) = self.begun.take() {
            connections::keep(begun.connection, &begun.head.headers);
        }
        Step::End
    }

    /// Takes the stream up at another engine, after the last event that the client has.
    async fn go_on_elsewhere(&mut self) -> Step {
        self.events = Events::after(self.session.last_event);
        match self.session.try_engine().await {
            Ok(begun) if begun.head.status.is_success() => {
                self.session.chart.relay();
                self.first = begun.first;
                self.begun = Some(begun);
                Step::Nothing
            }
            Ok(_) | Err(Next::Answer(_) | Next::Break) => Step::Cut,
            Err(Next::Another) => match self.session.ask_for_another().await {
                Ok(()) => Step::Nothing,
                Err(_) => Step::Cut,
            },
        }
    }
}

/// Reads the rest of a short response, so that its connection can be kept.
async fn keep_after(
    connection: Kept,
    head: hyper::http::response::Parts,
    body: hyper::body::Incoming,
) {
    let limit = std::time::Duration::from_millis(connections::CONNECT_LIMIT.0);
    let collect = http_body_util::Limited::new(body, MOST_HELD_BACK).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(limit, collect).await {
        connections::keep(connection, &head.headers);
    }
}

/// Path and query alone, as an engine expects them.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}
