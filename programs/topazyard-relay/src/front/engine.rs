//! HTTP requests to engines on model routes, in the published text-generation format. Only this
//! module depends on that format.

use topazyard_types::DurationMs;
use topazyard_wire::http::outbound::{Connection, OutboundError};

/// Timeout for connecting to an engine.
pub const CONNECT_TIMEOUT: DurationMs = DurationMs(400);
/// Timeout of an engine's health check.
const HEALTH_CHECK_TIMEOUT: DurationMs = DurationMs(800);

/// Converts a duration for the runtime's timers.
pub fn std_duration(duration: DurationMs) -> std::time::Duration {
    std::time::Duration::from_millis(duration.0)
}

/// Connects to an engine without sending anything.
///
/// # Errors
/// No connection could be opened in time.
pub async fn connect(
    address: std::net::SocketAddr,
    timeout: DurationMs,
) -> Result<Connection, OutboundError> {
    let timeout = DurationMs(timeout.0.min(CONNECT_TIMEOUT.0));
    topazyard_wire::http::outbound::connect(address, std_duration(timeout)).await
}

/// A request to an engine with the body as given, byte for byte.
///
/// # Errors
/// The request cannot be built.
pub fn request(
    address: std::net::SocketAddr,
    path: &'static str,
    body: bytes::Bytes,
) -> Result<hyper::Request<topazyard_wire::http::Body>, OutboundError> {
    hyper::Request::builder()
        .method(hyper::Method::POST)
        .uri(path)
        .header(hyper::header::HOST, address.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(topazyard_wire::http::full_body(body))
        .map_err(|_| OutboundError::NotConnected)
}

/// Whether the end of a response's body is delimited in exactly one way, so that an interrupted
/// body is recognized. A body that ends when the connection closes is not delimited, and one with
/// two lengths is ambiguous.
///
/// ```
/// let mut headers = hyper::HeaderMap::new();
/// assert!(!topazyard_relay::front::engine::is_delimited(&headers));
/// headers.insert("content-length", 5.into());
/// assert!(topazyard_relay::front::engine::is_delimited(&headers));
/// headers.insert("transfer-encoding", "chunked".parse().unwrap());
/// assert!(!topazyard_relay::front::engine::is_delimited(&headers));
/// ```
pub fn is_delimited(headers: &hyper::HeaderMap) -> bool {
    let has_length = headers.contains_key(hyper::header::CONTENT_LENGTH);
    let mut codings = headers.get_all(hyper::header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => has_length,
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked") && !has_length,
        (Some(_), Some(_)) => false,
    }
}

/// Checks an engine's health.
pub async fn is_healthy(address: std::net::SocketAddr) -> bool {
    let response = topazyard_wire::http::outbound::exchange(
        address,
        hyper::Method::GET,
        "/health",
        bytes::Bytes::new(),
        std_duration(HEALTH_CHECK_TIMEOUT),
    );
    matches!(response.await, Ok((200, _)))
}
