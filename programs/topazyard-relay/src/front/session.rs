//! One prompt, from its arrival to its end, led by its state chart.

use super::engine::std_duration;
use super::request_guard::RequestGuard;
use super::{Handle, forward_response, prompt_request};
use crate::machine::{EngineOutcome, Prompt, RelayCall, RelayResponse, Target};
use crate::prompt::{Failure, FailureAction, RequestStateMachine};
use http_body_util::BodyExt as _;
use topazyard_types::MonotonicMs;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::http::{Body, BodyError};

/// The largest return that is held back until it is whole.
const MOST_HELD_BACK: usize = 8 * 1024 * 1024;

/// A prompt on its way.
struct Session {
    guard: RequestGuard,
    state_machine: RequestStateMachine,
    deadline: MonotonicMs,
    path: &'static str,
    /// Whether the return is passed on piece by piece.
    stream: bool,
    body: bytes::Bytes,
}

/// What an engine gave.
enum Given {
    /// Its whole return.
    Whole(hyper::Response<Body>),
    /// The head of a stream, and when the prompt was sent.
    Stream(hyper::Response<hyper::body::Incoming>, MonotonicMs),
}

/// Serves a prompt.
///
/// # Errors
/// The final answer where there is no return to relay.
pub async fn serve(
    handle: Handle,
    head: &hyper::http::request::Parts,
    body: hyper::body::Incoming,
    stream: bool,
) -> Result<hyper::Response<Body>, ApiError> {
    let arrived = handle.clock().now();
    let body =
        topazyard_wire::http::inbound::read_body(body, prompt_request::MAX_BODY_BYTES).await?;
    let metadata = prompt_request::parse(&head.headers, &body)?;
    let deadline = arrived.plus(metadata.timeout);
    let guard = RequestGuard::new(handle, RelayCall::PromptEnded);
    let id = guard.id;
    let mut session = Session {
        guard,
        state_machine: RequestStateMachine::arrived(metadata.repeatable, deadline),
        deadline,
        path: if stream { "/generate_stream" } else { "/generate" },
        // A client of HTTP/1.0 could not tell a cut stream from a whole one: it gets it whole.
        stream: stream && head.version >= hyper::Version::HTTP_11,
        body,
    };
    let prompt = Prompt {
        id,
        model: metadata.model,
        cost: metadata.cost,
        deadline,
        prefix: metadata.prefix,
    };
    session.state_machine.enqueue();
    let mut target = session.ask(RelayCall::AdmitPrompt(prompt)).await?;
    loop {
        match session.try_engine(&target).await {
            Ok(Given::Whole(response)) => return Ok(response),
            Ok(Given::Stream(response, sent_at)) => return Ok(session.relay(response, sent_at)),
            Err(FailureAction::Respond(error)) => return Err(error),
            // Before the head of a return nothing was relayed that would have to be broken.
            Err(FailureAction::CloseConnection) => {
                return Err(ApiError::may_have_run(Code::EngineFailed));
            }
            Err(FailureAction::TryAnotherEngine) => {
                target = session.ask(RelayCall::RetryPrompt(id, target.engine)).await?;
            }
        }
    }
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

    /// Asks the machine for an engine.
    async fn ask(&mut self, call: RelayCall) -> Result<Target, ApiError> {
        match self.guard.handle.call(call).await {
            Ok(RelayResponse::SendTo(target)) => {
                self.state_machine.hold();
                Ok(target)
            }
            Ok(RelayResponse::Refused(error)) => Err(self.state_machine.refuse(error)),
            _ => Err(self.state_machine.refuse(ApiError::not_run(Code::StaleFeed))),
        }
    }

    /// Connects, checks a last time, sends, and relays what comes back.
    async fn try_engine(&mut self, target: &Target) -> Result<Given, FailureAction> {
        let left = self.deadline.since(self.now());
        let connection = match super::engine::connect(target.address, left).await {
            Ok(connection) => connection,
            Err(_) => return Err(self.state_machine.fail(Failure::NotConnected, self.now())),
        };
        let request = super::engine::request(target.address, self.path, self.body.clone());
        let Ok(request) = request else {
            return Err(self.state_machine.fail(Failure::NotConnected, self.now()));
        };
        let call = RelayCall::DispatchPrompt(self.guard.id, target.engine.clone());
        match self.guard.handle.call(call).await {
            Ok(RelayResponse::SendBefore(until)) if self.now() < until => {}
            Ok(RelayResponse::Refused(error)) if error.code == Code::NoEngine => {
                return Err(self.state_machine.fail(Failure::NotConnected, self.now()));
            }
            Ok(RelayResponse::Refused(error)) => {
                return Err(FailureAction::Respond(self.state_machine.refuse(error)));
            }
            // It froze between the check and here: what was checked may no longer hold.
            _ => {
                let error = ApiError::not_run(Code::StaleFeed);
                return Err(FailureAction::Respond(self.state_machine.refuse(error)));
            }
        }
        self.state_machine.dispatch();
        let sent_at = self.now();
        let timeout = std_duration(self.state_machine.timeout(sent_at));
        let response = match tokio::time::timeout(timeout, connection.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => return Err(self.engine_failed(Failure::ConnectionLost)),
            Err(_) => return Err(self.engine_failed(Failure::TimedOut)),
        };
        if !super::engine::is_delimited(response.headers()) {
            return Err(self.engine_failed(Failure::ConnectionLost));
        }
        if self.stream {
            Ok(Given::Stream(response, sent_at))
        } else {
            self.relay_whole(response, sent_at).await.map(Given::Whole)
        }
    }

    fn engine_failed(&mut self, failure: Failure) -> FailureAction {
        self.guard.engine_outcome = EngineOutcome::Failed;
        self.state_machine.fail(failure, self.now())
    }

    /// Holds a return back until it is whole, so that a cut one is an error and nothing else.
    async fn relay_whole(
        &mut self,
        response: hyper::Response<hyper::body::Incoming>,
        sent_at: MonotonicMs,
    ) -> Result<hyper::Response<Body>, FailureAction> {
        let (head, body) = response.into_parts();
        let limit = std_duration(self.deadline.since(self.now()));
        let collect = http_body_util::Limited::new(body, MOST_HELD_BACK).collect();
        let body = match tokio::time::timeout(limit, collect).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Err(self.engine_failed(Failure::ConnectionLost)),
            Err(_) => return Err(self.engine_failed(Failure::TimedOut)),
        };
        self.state_machine.start_relaying();
        self.state_machine.complete();
        self.guard.engine_outcome = EngineOutcome::Completed(self.now().since(sent_at));
        Ok(forward_response(&head, topazyard_wire::http::full_body(body)))
    }

    /// Relays a stream piece by piece. A cut breaks the client's connection.
    fn relay(
        mut self,
        response: hyper::Response<hyper::body::Incoming>,
        sent_at: MonotonicMs,
    ) -> hyper::Response<Body> {
        self.state_machine.start_relaying();
        let (head, body) = response.into_parts();
        let (sender, receiver) = tokio::sync::mpsc::channel(PIECES);
        tokio::spawn(self.pump(body, sent_at, sender));
        let frames = futures_util::stream::unfold(Some(receiver), next_piece);
        forward_response(&head, http_body_util::StreamBody::new(frames).boxed_unsync())
    }

    /// Takes pieces from the engine and hands them to the client's connection, until the stream
    /// ends or breaks, or the client left or took nothing until its time was over.
    async fn pump(
        mut self,
        mut body: hyper::body::Incoming,
        sent_at: MonotonicMs,
        sender: tokio::sync::mpsc::Sender<Piece>,
    ) {
        loop {
            let limit = std_duration(self.deadline.since(self.now()));
            let got = tokio::select! {
                biased;
                () = sender.closed() => return,
                got = tokio::time::timeout(limit, body.frame()) => got,
            };
            let piece = match got {
                Ok(Some(Ok(frame))) => Piece::Frame(frame),
                Ok(None) => {
                    self.state_machine.complete();
                    self.guard.engine_outcome = EngineOutcome::Completed(self.now().since(sent_at));
                    Piece::End
                }
                Ok(Some(Err(_))) => return drop(self.engine_failed(Failure::ConnectionLost)),
                Err(_) => return drop(self.engine_failed(Failure::TimedOut)),
            };
            let is_end = matches!(piece, Piece::End);
            let limit = std_duration(self.deadline.since(self.now()));
            let taken = tokio::time::timeout(limit, sender.send(piece)).await;
            if is_end || !matches!(taken, Ok(Ok(()))) {
                return;
            }
        }
    }
}

/// Pieces of a stream that wait for their client.
const PIECES: usize = 16;

/// A piece of a stream.
enum Piece {
    /// As the engine sent it.
    Frame(hyper::body::Frame<bytes::Bytes>),
    /// All of it came.
    End,
}

type Pieces = tokio::sync::mpsc::Receiver<Piece>;

/// The next piece; a stream that stops without its end is an error.
async fn next_piece(
    pieces: Option<Pieces>,
) -> Option<(Result<hyper::body::Frame<bytes::Bytes>, BodyError>, Option<Pieces>)> {
    let mut pieces = pieces?;
    match pieces.recv().await {
        Some(Piece::Frame(frame)) => Some((Ok(frame), Some(pieces))),
        Some(Piece::End) => None,
        None => {
            super::yield_for_flush().await;
            Some((Err(BodyError), None))
        }
    }
}
