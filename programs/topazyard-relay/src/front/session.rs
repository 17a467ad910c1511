//! Serves one prompt on a model route, from arrival to end, driven by its state machine.

use super::engine::std_duration;
use super::request_guard::RequestGuard;
use super::{Handle, forward_response, prompt_request};
use crate::machine::{EngineOutcome, Prompt, RelayCall, RelayResponse, Target};
use crate::prompt::{Failure, FailureAction, RequestStateMachine};
use http_body_util::BodyExt as _;
use topazyard_types::MonotonicMs;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::http::{Body, BodyError, body};

/// The largest response that is buffered until it is complete.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;

/// A prompt being served.
struct Session {
    guard: RequestGuard,
    state_machine: RequestStateMachine,
    deadline: MonotonicMs,
    path: &'static str,
    /// Whether the response is relayed chunk by chunk.
    stream: bool,
    body: bytes::Bytes,
}

/// An engine's response.
enum EngineResponse {
    /// The complete response.
    Complete(hyper::Response<Body>),
    /// A stream whose head was received, with the time at which the prompt was sent.
    Stream(hyper::Response<hyper::body::Incoming>, MonotonicMs),
}

/// Serves a prompt.
///
/// # Errors
/// The refusal or failure to report if there is no response to relay.
pub async fn serve(
    handle: Handle,
    head: &hyper::http::request::Parts,
    body: hyper::body::Incoming,
    stream: bool,
) -> Result<hyper::Response<Body>, ApiError> {
    let arrived_at = handle.clock().now();
    let body = body::read_body(head, body, prompt_request::MAX_BODY_BYTES).await?;
    let metadata = prompt_request::parse(&head.headers, &body)?;
    let deadline = arrived_at.plus(metadata.timeout);
    let guard = RequestGuard::new(handle, RelayCall::PromptEnded);
    let id = guard.id;
    let mut session = Session {
        guard,
        state_machine: RequestStateMachine::arrived(metadata.repeatable, deadline),
        deadline,
        path: if stream { "/generate_stream" } else { "/generate" },
        // An HTTP/1.0 client cannot tell an interrupted stream from a complete one, so for it the
        // stream is buffered.
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
    let mut target = session.request_engine(RelayCall::AdmitPrompt(prompt)).await?;
    loop {
        match session.try_engine(&target).await {
            Ok(EngineResponse::Complete(response)) => return Ok(response),
            Ok(EngineResponse::Stream(response, sent_at)) => {
                return Ok(session.relay_stream(response, sent_at));
            }
            Err(FailureAction::Respond(error)) => return Err(error),
            // Nothing was relayed yet, so the failure is a response rather than a closed
            // connection.
            Err(FailureAction::CloseConnection) => {
                return Err(ApiError::may_have_run(Code::EngineFailed));
            }
            Err(FailureAction::TryAnotherEngine) => {
                target = session.request_engine(RelayCall::RetryPrompt(id, target.engine)).await?;
            }
        }
    }
}

/// Counts the prompt's outcome.
impl Drop for Session {
    fn drop(&mut self) {
        super::outcomes::count(self.state_machine.state());
    }
}

impl Session {
    fn now(&self) -> MonotonicMs {
        self.guard.handle.clock().now()
    }

    /// Requests an engine from the machine.
    async fn request_engine(&mut self, call: RelayCall) -> Result<Target, ApiError> {
        match self.guard.handle.call(call).await {
            Ok(RelayResponse::SendTo(target)) => {
                self.state_machine.hold();
                Ok(target)
            }
            Ok(RelayResponse::Refused(error)) => Err(self.state_machine.refuse(error)),
            _ => Err(self.state_machine.refuse(ApiError::not_run(Code::StaleFeed))),
        }
    }

    /// Connects, checks admission a last time, sends the prompt and receives the response.
    async fn try_engine(&mut self, target: &Target) -> Result<EngineResponse, FailureAction> {
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
            Ok(RelayResponse::SendBefore(send_before)) if self.now() < send_before => {}
            Ok(RelayResponse::Refused(error)) if error.code == Code::NoEngine => {
                return Err(self.state_machine.fail(Failure::NotConnected, self.now()));
            }
            Ok(RelayResponse::Refused(error)) => {
                return Err(FailureAction::Respond(self.state_machine.refuse(error)));
            }
            // The process was paused between the check and here, so the check may be out of date.
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
            Ok(EngineResponse::Stream(response, sent_at))
        } else {
            self.relay_buffered(response, sent_at).await.map(EngineResponse::Complete)
        }
    }

    fn engine_failed(&mut self, failure: Failure) -> FailureAction {
        self.guard.engine_outcome = EngineOutcome::Failed;
        self.state_machine.fail(failure, self.now())
    }

    /// Buffers a response until it is complete, so that for an interrupted one the client gets only
    /// an error.
    async fn relay_buffered(
        &mut self,
        response: hyper::Response<hyper::body::Incoming>,
        sent_at: MonotonicMs,
    ) -> Result<hyper::Response<Body>, FailureAction> {
        let (head, body) = response.into_parts();
        let timeout = std_duration(self.deadline.since(self.now()));
        let collect = body::collect_response(body, MAX_BUFFERED_BYTES);
        let body = match tokio::time::timeout(timeout, collect).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return Err(self.engine_failed(Failure::ConnectionLost)),
            Err(_) => return Err(self.engine_failed(Failure::TimedOut)),
        };
        self.state_machine.start_relaying();
        self.state_machine.complete();
        self.guard.engine_outcome = EngineOutcome::Completed(self.now().since(sent_at));
        Ok(forward_response(&head, topazyard_wire::http::full_body(body)))
    }

    /// Relays a stream chunk by chunk. If it is interrupted, the client's connection is closed.
    fn relay_stream(
        mut self,
        response: hyper::Response<hyper::body::Incoming>,
        sent_at: MonotonicMs,
    ) -> hyper::Response<Body> {
        self.state_machine.start_relaying();
        let (head, body) = response.into_parts();
        let (sender, receiver) = tokio::sync::mpsc::channel(STREAM_BUFFER_CHUNKS);
        tokio::spawn(self.forward_chunks(body, sent_at, sender));
        let frames = futures_util::stream::unfold(Some(receiver), next_frame);
        forward_response(&head, http_body_util::StreamBody::new(frames).boxed_unsync())
    }

    /// Forwards chunks from the engine to the client's connection until the stream ends or fails,
    /// the client disconnects, or the deadline passes, also while the client does not read.
    async fn forward_chunks(
        mut self,
        mut body: hyper::body::Incoming,
        sent_at: MonotonicMs,
        sender: tokio::sync::mpsc::Sender<Chunk>,
    ) {
        loop {
            let timeout = std_duration(self.deadline.since(self.now()));
            let received = tokio::select! {
                biased;
                () = sender.closed() => return,
                received = tokio::time::timeout(timeout, body.frame()) => received,
            };
            let chunk = match received {
                Ok(Some(Ok(frame))) => Chunk::Frame(frame),
                Ok(None) => {
                    self.state_machine.complete();
                    self.guard.engine_outcome = EngineOutcome::Completed(self.now().since(sent_at));
                    Chunk::End
                }
                Ok(Some(Err(_))) => return drop(self.engine_failed(Failure::ConnectionLost)),
                Err(_) => return drop(self.engine_failed(Failure::TimedOut)),
            };
            let is_end = matches!(chunk, Chunk::End);
            let timeout = std_duration(self.deadline.since(self.now()));
            let delivered = tokio::time::timeout(timeout, sender.send(chunk)).await;
            if is_end || !matches!(delivered, Ok(Ok(()))) {
                return;
            }
        }
    }
}

/// Chunks of a stream that are buffered for the client.
const STREAM_BUFFER_CHUNKS: usize = 16;

/// A chunk of a stream.
enum Chunk {
    /// A frame as received from the engine.
    Frame(hyper::body::Frame<bytes::Bytes>),
    /// The stream is complete.
    End,
}

type Chunks = tokio::sync::mpsc::Receiver<Chunk>;

/// The next frame of the body; a stream that stops before its end yields an error.
async fn next_frame(
    chunks: Option<Chunks>,
) -> Option<(Result<hyper::body::Frame<bytes::Bytes>, BodyError>, Option<Chunks>)> {
    let mut chunks = chunks?;
    match chunks.recv().await {
        Some(Chunk::Frame(frame)) => Some((Ok(frame), Some(chunks))),
        Some(Chunk::End) => None,
        None => {
            super::yield_for_flush().await;
            Some((Err(BodyError), None))
        }
    }
}
