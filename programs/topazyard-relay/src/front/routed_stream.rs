//! A stream on a route, relayed event by event.

use super::connections;
use super::engine::std_duration;
use super::events::EventSplitter;
use super::routed::{Begun, Session};
use crate::machine::EngineOutcome;
use crate::prompt::{Failure, FailureAction};
use http_body_util::BodyExt as _;
use topazyard_types::DurationMs;
use topazyard_wire::http::{Body, BodyError};

/// A stream that is being relayed.
pub(super) struct Stream {
    session: Box<Session>,
    begun: Option<Begun>,
    events: EventSplitter,
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
    /// The stream whose head came.
    pub(super) fn of(session: Box<Session>, begun: Begun) -> Self {
        Self {
            resumable: session.terms.resumable,
            first: begun.first,
            events: EventSplitter::after(session.last_event),
            session,
            begun: Some(begun),
        }
    }

    /// The body of the response that relays it.
    pub(super) fn into_body(self) -> Body {
        let frames = futures_util::stream::unfold(Some(self), Self::next);
        http_body_util::StreamBody::new(frames).boxed_unsync()
    }

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
                    super::yield_for_flush().await;
                    return Some((Err(BodyError), None));
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let Some(begun) = &mut self.begun else {
            return self.go_on_elsewhere().await;
        };
        let left = self.session.terms.deadline.since(self.session.guard.handle.clock().now());
        let failure = match tokio::time::timeout(std_duration(left), begun.body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => match self.take(bytes) {
                    Ok(step) => return step,
                    Err(failure) => failure,
                },
                // Trailers say nothing that a client needs.
                Err(_) => return Step::Nothing,
            },
            Ok(None) if !self.events.has_partial_event() => return self.end(),
            Ok(None) | Ok(Some(Err(_))) => Failure::ConnectionLost,
            Err(_) => Failure::TimedOut,
        };
        self.begun = None;
        match self.session.failed(failure, EngineOutcome::Failed) {
            FailureAction::TryAnotherEngine => match self.session.request_another_engine().await {
                Ok(()) => Step::Nothing,
                Err(_) => Step::Cut,
            },
            FailureAction::Respond(_) | FailureAction::CloseConnection => Step::Cut,
        }
    }

    /// Takes bytes of the engine: whole events where the stream may have to be gone on with.
    fn take(&mut self, bytes: bytes::Bytes) -> Result<Step, Failure> {
        if !self.resumable {
            return Ok(Step::Bytes(bytes));
        }
        let whole = self.events.push(&bytes).map_err(|_| Failure::ConnectionLost)?;
        let Some(whole) = whole else { return Ok(Step::Nothing) };
        if !whole.in_order {
            return Err(Failure::ConnectionLost);
        }
        self.session.last_event = self.events.last_id();
        Ok(Step::Bytes(whole.bytes))
    }

    fn end(&mut self) -> Step {
        self.session.state_machine.complete();
        self.session.guard.engine_outcome = EngineOutcome::Completed(self.first);
        if let Some(begun) = self.begun.take() {
            connections::keep_idle(begun.connection, &begun.head.headers);
        }
        Step::End
    }

    /// Takes the stream up at another engine, after the last event that the client has.
    async fn go_on_elsewhere(&mut self) -> Step {
        self.events = EventSplitter::after(self.session.last_event);
        match self.session.try_engine().await {
            Ok(begun) if begun.head.status.is_success() => {
                self.session.state_machine.start_relaying();
                self.first = begun.first;
                self.begun = Some(begun);
                Step::Nothing
            }
            Ok(_) | Err(FailureAction::Respond(_) | FailureAction::CloseConnection) => Step::Cut,
            Err(FailureAction::TryAnotherEngine) => {
                match self.session.request_another_engine().await {
                    Ok(()) => Step::Nothing,
                    Err(_) => Step::Cut,
                }
            }
        }
    }
}
