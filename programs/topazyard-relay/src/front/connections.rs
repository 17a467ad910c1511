//! Pool of keep-alive connections to engines. Each thread has its own pool.
//!
//! A connection carries one request at a time. It is returned to the pool only after a complete
//! response whose headers allow it, and stays there for less time than the engine announces.

use crate::machine::Target;
use topazyard_types::{DurationMs, EngineName};
use topazyard_wire::http::Body;

/// Maximum idle connections per engine and thread.
const MAX_IDLE_PER_ENGINE: usize = 4;
/// How long an idle connection is kept if the engine announces no timeout.
const DEFAULT_IDLE_TIMEOUT: DurationMs = DurationMs(800);
/// Share of the engine's announced idle timeout within which a connection is reused. If the engine
/// closes the connection while a request is in flight, that request is lost.
const IDLE_TIMEOUT_PERCENT: u64 = 60;
/// Timeout for connecting to an engine.
pub const CONNECT_TIMEOUT: DurationMs = DurationMs(300);

/// An open connection to an engine that is ready for a request.
pub struct EngineConnection {
    sender: hyper::client::conn::http1::SendRequest<Body>,
    engine: EngineName,
    address: std::net::SocketAddr,
}

struct IdleConnection {
    connection: EngineConnection,
    expires_at: std::time::Instant,
}

thread_local! {
    static IDLE: std::cell::RefCell<std::collections::HashMap<EngineName, Vec<IdleConnection>>> =
        std::cell::RefCell::default();
}

/// Why sending a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum SendError {
    /// nothing of the request was sent
    NotSent,
    /// the connection was lost after the request may have been sent
    ConnectionLost,
}

impl std::error::Error for SendError {}

/// Takes a usable idle connection to an engine from the pool.
pub fn take_idle(target: &Target) -> Option<EngineConnection> {
    let now = std::time::Instant::now();
    IDLE.with_borrow_mut(|idle| {
        let connections = idle.get_mut(&target.engine)?;
        while let Some(IdleConnection { connection, expires_at }) = connections.pop() {
            let usable = now < expires_at
                && connection.address == target.address
                && connection.sender.is_ready();
            if usable {
                return Some(connection);
            }
        }
        idle.remove(&target.engine);
        None
    })
}

/// Closes all idle connections to an engine.
pub fn close_idle(engine: &EngineName) {
    IDLE.with_borrow_mut(|idle| drop(idle.remove(engine)));
}

/// Closes expired idle connections.
pub fn close_expired() {
    let now = std::time::Instant::now();
    IDLE.with_borrow_mut(|idle| {
        for connections in idle.values_mut() {
            connections.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    });
}

/// Connects to an engine without sending anything.
///
/// # Errors
/// No connection could be opened in time.
pub async fn connect(target: &Target, timeout: DurationMs) -> Result<EngineConnection, SendError> {
    let timeout = std::time::Duration::from_millis(timeout.0.min(CONNECT_TIMEOUT.0));
    let connected = tokio::time::timeout(timeout, tokio::net::TcpStream::connect(target.address));
    let stream = connected.await.ok().and_then(Result::ok).ok_or(SendError::NotSent)?;
    let _ = stream.set_nodelay(true);
    let io = hyper_util::rt::TokioIo::new(stream);
    let handshake = hyper::client::conn::http1::Builder::new()
        .max_buf_size(topazyard_wire::http::outbound::MAX_READ_BUFFER_BYTES)
        .handshake(io)
        .await;
    let (sender, connection) = handshake.map_err(|_| SendError::NotSent)?;
    // A connection error is reported by the request that is using the connection.
    tokio::spawn(async move { drop(connection.await) });
    Ok(EngineConnection { sender, engine: target.engine.clone(), address: target.address })
}

/// Opens a connection to an engine and keeps it; returns whether that succeeded.
pub async fn probe(target: &Target) -> bool {
    match connect(target, CONNECT_TIMEOUT).await {
        Ok(connection) => {
            insert_idle(connection, DEFAULT_IDLE_TIMEOUT);
            true
        }
        Err(_) => false,
    }
}

impl EngineConnection {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// The error tells whether any of the request may have been sent.
    pub async fn send(
        &mut self,
        request: hyper::Request<Body>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::ConnectionLost,
            }
        })
    }
}

/// Returns a connection to the pool after a complete response, unless the response's head forbids
/// it.
pub fn keep_idle(connection: EngineConnection, head: &hyper::HeaderMap) {
    if let Some(idle) = idle_timeout(head) {
        insert_idle(connection, idle);
    }
}

/// How long the connection may be reused according to a response's head; none if not at all.
///
/// ```
/// use topazyard_relay::front::connections::idle_timeout;
/// let mut head = hyper::HeaderMap::new();
/// head.insert("keep-alive", "timeout=5".parse().unwrap());
/// assert_eq!(idle_timeout(&head), Some(topazyard_types::DurationMs(3_000)));
/// head.insert("connection", "close".parse().unwrap());
/// assert_eq!(idle_timeout(&head), None);
/// ```
pub fn idle_timeout(head: &hyper::HeaderMap) -> Option<DurationMs> {
    let header_values = |name| {
        head.get_all(name)
            .iter()
            .filter_map(|value: &hyper::header::HeaderValue| value.to_str().ok())
    };
    if header_values(hyper::header::CONNECTION)
        .any(|value| value.to_ascii_lowercase().contains("close"))
    {
        return None;
    }
    let announced = header_values(hyper::header::HeaderName::from_static("keep-alive"))
        .flat_map(|value| value.split(','))
        .find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok());
    Some(announced.map_or(DEFAULT_IDLE_TIMEOUT, |seconds| {
        DurationMs(seconds.saturating_mul(10 * IDLE_TIMEOUT_PERCENT))
    }))
}

fn insert_idle(connection: EngineConnection, idle: DurationMs) {
    if connection.sender.is_closed() || idle.0 == 0 {
        return;
    }
    let expires_at = std::time::Instant::now() + std::time::Duration::from_millis(idle.0);
    IDLE.with_borrow_mut(|all| {
        let connections = all.entry(connection.engine.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_ENGINE {
            connections.remove(0);
        }
        connections.push(IdleConnection { connection, expires_at });
    });
}
