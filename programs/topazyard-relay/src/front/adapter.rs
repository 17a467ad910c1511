//! The interface to an outer adapter, which defines the header names and formats of requests on
//! routes.

use crate::machine::EngineLoad;
use crate::machine::requests::PromptPart;
use topazyard_types::{DurationMs, EngineName, Tokens};

/// The metadata in a request's head, independent of header names.
#[derive(Debug, Clone)]
pub struct RequestMetadata {
    /// The client's id for the request; the engine's response carries it too.
    pub request_id: hyper::header::HeaderValue,
    /// How long the client waits, if stated.
    pub timeout: Option<DurationMs>,
    /// Prompt tokens plus maximum output tokens, if stated.
    pub cost: Option<Tokens>,
    /// The parts of the prompt, in order.
    pub prefix: Vec<PromptPart>,
    /// The last event that the client received, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// Values that the relay adds to the headers of a request to an engine.
#[derive(Debug)]
pub struct EngineHeaders<'a> {
    /// The engine that the request is for; any other engine turns the request away.
    pub engine: &'a EngineName,
    /// How long the relay waits for the response.
    pub time_remaining: DurationMs,
    /// The last event already received, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// The meaning of an engine's response, according to its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The request did not run at that engine and never will.
    TurnedAway,
    /// The response to the request.
    Response,
    /// A failure; the request may have run.
    Failure,
    /// Not a response to the request.
    Mismatched,
}

/// malformed load in the headers of an engine's response
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct MalformedLoad;

impl std::error::Error for MalformedLoad {}

/// What a batch call does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchCallKind {
    /// Its path belongs to a batch route: it submits a batch.
    Submission,
    /// Its path is one of the adapter's own: it reads or ends a batch.
    OnSubmitted,
}

/// An outer adapter's header names and formats for requests on routes. It only translates; all
/// decisions are made in the relay.
pub trait HttpAdapter: Send + Sync + 'static {
    /// Parses the head of a request.
    ///
    /// # Errors
    /// A malformed header, by name.
    fn request_metadata(
        &self,
        head: &hyper::http::request::Parts,
    ) -> Result<RequestMetadata, topazyard_wire::ApiError>;

    /// Sets the request id of a batch item, which no client set.
    fn set_request_id(
        &self,
        headers: &mut hyper::HeaderMap,
        request_id: &hyper::header::HeaderValue,
    );

    /// Sets the relay's headers of a request to an engine.
    fn set_engine_headers(&self, headers: &mut hyper::HeaderMap, to: &EngineHeaders<'_>);

    /// Classifies a response received where the response to that request is expected. Only a
    /// response with the request's id belongs to it: on a reused connection, the data read may have
    /// been sent before the request was.
    fn classify_response(
        &self,
        head: &hyper::http::response::Parts,
        request_id: &hyper::header::HeaderValue,
    ) -> ResponseKind;

    /// The load that an engine reports in the head of a response, if any.
    ///
    /// # Errors
    /// The reported load is malformed.
    fn reported_load(
        &self,
        headers: &hyper::HeaderMap,
    ) -> Result<Option<EngineLoad>, MalformedLoad>;

    /// The response that reports a refusal to the client.
    fn refusal_response(
        &self,
        error: &topazyard_wire::ApiError,
    ) -> hyper::Response<topazyard_wire::http::Body>;

    /// Serves a batch call.
    fn serve_batch_call<'a>(
        &'a self,
        handle: &'a super::Handle,
        kind: BatchCallKind,
        head: &'a hyper::http::request::Parts,
        body: bytes::Bytes,
    ) -> std::pin::Pin<
        Box<dyn Future<Output = hyper::Response<topazyard_wire::http::Body>> + Send + 'a>,
    >;

    /// Whether the path is one of the adapter's own batch calls rather than a route's.
    fn is_batch_path(&self, path: &str) -> bool;

    /// Whether the path is the readiness check's.
    fn is_ready_path(&self, path: &str) -> bool;
}
