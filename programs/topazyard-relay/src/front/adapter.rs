//! What an outer adapter says of requests on routes, in its own names.

use crate::machine::EngineLoad;
use crate::machine::requests::PromptPart;
use topazyard_types::{DurationMs, EngineName, Tokens};

/// What a request's head says, whatever the names.
#[derive(Debug, Clone)]
pub struct RequestMetadata {
    /// How its client tells its requests apart; the engine's response carries it back.
    pub request_id: hyper::header::HeaderValue,
    /// How long the client waits, if it says so.
    pub timeout: Option<DurationMs>,
    /// Prompt tokens and most tokens out, if stated.
    pub cost: Option<Tokens>,
    /// The parts of its prompt, in order.
    pub prefix: Vec<PromptPart>,
    /// The last event that the client has, if it takes a stream up.
    pub last_event: Option<u64>,
}

/// What is said to an engine beside what the client said.
#[derive(Debug)]
pub struct EngineHeaders<'a> {
    /// The engine that is meant; any other turns the request away.
    pub engine: &'a EngineName,
    /// How long the response is waited for.
    pub time_remaining: DurationMs,
    /// The last event that is there already, if a stream is taken up.
    pub last_event: Option<u64>,
}

/// What the head of an engine's response says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The request did not run and never will, at that engine.
    TurnedAway,
    /// It is the response to that request.
    Response,
    /// It is a failure, and the request may have run.
    Failure,
    /// It belongs to no request that was sent here.
    Mismatched,
}

/// what an engine says of its load can't be read
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct MalformedLoad;

impl std::error::Error for MalformedLoad {}

/// An outer adapter's names for requests on routes. It translates and decides nothing.
pub trait HttpAdapter: Send + Sync + 'static {
    /// Reads a request's head.
    ///
    /// # Errors
    /// The header that is malformed, by name.
    fn request_metadata(
        &self,
        head: &hyper::http::request::Parts,
    ) -> Result<RequestMetadata, topazyard_wire::ApiError>;

    /// Says in the head whose request it is, where no client said it: that of a batch's item.
    fn set_request_id(
        &self,
        headers: &mut hyper::HeaderMap,
        request_id: &hyper::header::HeaderValue,
    );

    /// Says in the head what is said to an engine.
    fn set_engine_headers(&self, headers: &mut hyper::HeaderMap, to: &EngineHeaders<'_>);

    /// What the head of a response says that came where the response to that request is due. Only
    /// one that carries the request's id speaks of it: on a connection that is used again, what is
    /// read may have been sent before the request was.
    fn classify_response(
        &self,
        head: &hyper::http::response::Parts,
        request_id: &hyper::header::HeaderValue,
    ) -> ResponseKind;

    /// What the head of an engine's response says of its load, if anything.
    ///
    /// # Errors
    /// It says something that is no load.
    fn reported_load(
        &self,
        headers: &hyper::HeaderMap,
    ) -> Result<Option<EngineLoad>, MalformedLoad>;

    /// A refusal as the client gets it.
    fn refusal_response(
        &self,
        error: &topazyard_wire::ApiError,
    ) -> hyper::Response<topazyard_wire::http::Body>;

    /// Answers calls that are not requests on routes: handed-in batches and what is asked of them.
    /// `route` is set where the call's path is that of a batch route.
    fn serve_batch_call<'a>(
        &'a self,
        handle: &'a super::Handle,
        route: Option<topazyard_types::RouteName>,
        head: &'a hyper::http::request::Parts,
        body: bytes::Bytes,
    ) -> std::pin::Pin<
        Box<dyn Future<Output = hyper::Response<topazyard_wire::http::Body>> + Send + 'a>,
    >;

    /// Whether a path is one of the adapter's own calls on batches, not of a route.
    fn is_batch_path(&self, path: &str) -> bool;

    /// Whether a path asks for readiness.
    fn is_ready_path(&self, path: &str) -> bool;
}
