//! HTTP helpers shared by the programs.

pub mod body;
mod client_io;
mod clock;
pub mod connection;
mod connection_table;
pub mod inbound;
pub mod memory;
pub mod outbound;
pub mod overload;
mod sent_body;
pub mod server;
pub mod server_limits;

/// The body of a request or a response.
pub type Body = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, BodyError>;

/// the body ended early
#[derive(Debug, displaydoc::Display)]
pub struct BodyError;

impl std::error::Error for BodyError {}

/// A body with all its bytes.
///
/// ```
/// use hyper::body::Body as _;
/// assert_eq!(topazyard_wire::http::full_body("hi").size_hint().exact(), Some(2));
/// ```
pub fn full_body(bytes: impl Into<bytes::Bytes>) -> Body {
    use http_body_util::BodyExt as _;
    http_body_util::Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A response with a JSON body.
///
/// ```
/// let response = topazyard_wire::http::json(201, &serde_json::json!({"ok": true}));
/// assert_eq!(response.status().as_u16(), 201);
/// ```
pub fn json<T: serde::Serialize>(status: u16, value: &T) -> hyper::Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    json_text(status, text)
}

/// A response with a body that is already encoded as JSON.
pub fn json_text(status: u16, text: impl Into<bytes::Bytes>) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(full_body(text));
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// An error as a response, with `Retry-After` if a retry may succeed.
///
/// ```
/// use topazyard_wire::api::{ApiError, Code};
/// let response = topazyard_wire::http::error(&ApiError::not_run(Code::Budget));
/// assert_eq!(response.status().as_u16(), 429);
/// assert_eq!(response.headers()["retry-after"], "1");
/// ```
pub fn error(error: &crate::ApiError) -> hyper::Response<Body> {
    let mut response = json(error.code.status(), error);
    if let Some(retry_after_s) = error.code.retry_after_s() {
        response.headers_mut().insert(hyper::header::RETRY_AFTER, retry_after_s.into());
    }
    response
}
