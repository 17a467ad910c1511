//! The engines' HTTP, in the published text-generation form. Nothing else here knows it.

use topazyard_types::DurationMs;
use topazyard_wire::http::outbound::{Connection, OutboundError};

/// How long an engine may take to accept a connection.
pub const CONNECT_TIMEOUT: DurationMs = DurationMs(400);
const LOOK_LIMIT: DurationMs = DurationMs(800);

/// A span for the runtime's timers.
pub fn std_duration(limit: DurationMs) -> std::time::Duration {
    std::time::Duration::from_millis(limit.0)
}

/// Connects to an engine; nothing is sent.
///
/// # Errors
/// No connection could be made in time.
pub async fn connect(
    address: std::net::SocketAddr,
    limit: DurationMs,
) -> Result<Connection, OutboundError> {
    let limit = DurationMs(limit.0.min(CONNECT_TIMEOUT.0));
    topazyard_wire::http::outbound::connect(address, std_duration(limit)).await
}

/// The request that carries a body to an engine, byte for byte.
///
/// # Errors
/// The request can't be built.
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

/// Whether the end of a return's body can be told from a cut, in one way and no other. One that just
/// ends with its connection can't be, and one that tells its length twice may be read in two ways.
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

/// Looks whether an engine is well.
pub async fn is_healthy(address: std::net::SocketAddr) -> bool {
    let asked = topazyard_wire::http::outbound::exchange(
        address,
        hyper::Method::GET,
        "/health",
        bytes::Bytes::new(),
        std_duration(LOOK_LIMIT),
    );
    matches!(asked.await, Ok((200, _)))
}
