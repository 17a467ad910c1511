//! Relays a stream on a route event by event.

use super::connections;
use super::engine::std_duration;
use super::events::EventSplitter;
use super::routed::{EngineResponse, Session};
use crate::machine::EngineOutcome;
use crate::prompt::{Failure, FailureAction};
use http_body_util::BodyExt as _;
use topazyard_types::DurationMs;
use topazyard_wire::http::{Body, BodyError};

/// A stream being relayed.
pub(super) struct RelayedStream {
    session: Box<Session>,
    upstream: Option<EngineResponse>,
    events: EventSplitter,
    time_to_head: DurationMs,
    resumable: bool,
}

type FrameResult = Result<hyper::body::Frame<bytes::Bytes>, BodyError>;

/// The next step of a stream.
enum Step {
    /// Data for the client.
    Data(bytes::Bytes),
    /// No data for the client yet.
    Pending,
    /// The complete stream was relayed.
    Complete,
    /// The stream ends before it is complete.
    Interrupted,
}

impl RelayedStream {
    /// A stream whose head was received.
    pub(super) fn new(session: Box<Session>, upstream: EngineResponse) -> Self {
        Self {
            resumable: session.terms.resumable,
            time_to_head: upstream.time_to_head,
            events: EventSplitter::after(session.last_event),
            session,
            upstream: Some(upstream),
        }
    }

    /// The body of the client's response.
    pub(super) fn into_body(self) -> Body {
        let frames = futures_util::stream::unfold(Some(self), Self::next);
        http_body_util::StreamBody::new(frames).boxed_unsync()
    }

    /// The next frame of the body; a stream that stops before its end yields an error.
    async fn next(stream: Option<Self>) -> Option<(FrameResult, Option<Self>)> {
        let mut stream = stream?;
        loop {
            match stream.step().await {
                Step::Data(bytes) => {
                    return Some((Ok(hyper::body::Frame::data(bytes)), Some(stream)));
                }
                Step::Pending => {}
                Step::Complete => return None,
                Step::Interrupted => {
                    super::yield_for_flush().await;
                    return Some((Err(BodyError), None));
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let Some(upstream) = &mut self.upstream else {
            return self.resume_at_another_engine().await;
        };
        let timeout = self.session.terms.deadline.since(self.session.guard.handle.clock().now());
        let failure = match tokio::time::timeout(std_duration(timeout), upstream.body.frame()).await
        {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => match self.process(bytes) {
                    Ok(step) => return step,
                    Err(failure) => failure,
                },
                // Clients need no trailers.
                Err(_) => return Step::Pending,
            },
            Ok(None) if !self.events.has_partial_event() => return self.complete(),
            Ok(None) | Ok(Some(Err(_))) => Failure::ConnectionLost,
            Err(_) => Failure::TimedOut,
        };
        self.upstream = None;
        match self.session.fail(failure, EngineOutcome::Failed) {
            FailureAction::TryAnotherEngine => match self.session.request_another_engine().await {
                Ok(()) => Step::Pending,
                Err(_) => Step::Interrupted,
            },
            FailureAction::Respond(_) | FailureAction::CloseConnection => Step::Interrupted,
        }
    }

    /// Processes bytes from the engine. A resumable stream is relayed in complete events, so that
    /// it can continue after any of them.
    fn process(&mut self, bytes: bytes::Bytes) -> Result<Step, Failure> {
        if !self.resumable {
            return Ok(Step::Data(bytes));
        }
        let complete = self.events.push(&bytes).map_err(|_| Failure::ConnectionLost)?;
        let Some(complete) = complete else { return Ok(Step::Pending) };
        if !complete.in_order {
            return Err(Failure::ConnectionLost);
        }
        self.session.last_event = self.events.last_id();
        Ok(Step::Data(complete.bytes))
    }

    fn complete(&mut self) -> Step {
        self.session.state_machine.complete();
        self.session.guard.engine_outcome = EngineOutcome::Completed(self.time_to_head);
        if let Some(upstream) = self.upstream.take() {
            connections::keep_idle(upstream.connection, &upstream.head.headers);
        }
        Step::Complete
    }

    /// Resumes the stream at another engine after the last event relayed to the client.
    async fn resume_at_another_engine(&mut self) -> Step {
        self.events = EventSplitter::after(self.session.last_event);
        match self.session.try_engine().await {
            Ok(upstream) if upstream.head.status.is_success() => {
                self.session.state_machine.start_relaying();
                self.time_to_head = upstream.time_to_head;
                self.upstream = Some(upstream);
                Step::Pending
            }
            Ok(_) | Err(FailureAction::Respond(_) | FailureAction::CloseConnection) => {
                Step::Interrupted
            }
            Err(FailureAction::TryAnotherEngine) => {
                match self.session.request_another_engine().await {
                    Ok(()) => Step::Pending,
                    Err(_) => Step::Interrupted,
                }
            }
        }
    }
}
