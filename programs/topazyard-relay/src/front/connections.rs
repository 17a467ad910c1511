//! Connections to engines, kept between requests. Each thread owns its own.
//!
//! A connection carries one request at a time. It is kept only if the response was whole and said
//! nothing against it, and for less long than the engine says that it keeps it.

use crate::machine::Target;
use topazyard_types::{DurationMs, EngineName};
use topazyard_wire::http::Body;

/// The most idle connections that a thread keeps to one engine.
const MOST_IDLE: usize = 4;
/// For how long a connection is kept where the engine doesn't say it.
const UNSAID_IDLE: DurationMs = DurationMs(800);
/// An idle connection is used for this part of the time that the engine keeps it, in percent: one
/// that is closed while a request is on its way costs that request.
const USED_PERCENT: u64 = 60;
/// How long an engine may take to accept a connection.
pub const CONNECT_TIMEOUT: DurationMs = DurationMs(300);

/// A connection that is ready for a request.
pub struct EngineConnection {
    sender: hyper::client::conn::http1::SendRequest<Body>,
    engine: EngineName,
    address: std::net::SocketAddr,
}

struct Idle {
    kept: EngineConnection,
    until: std::time::Instant,
}

thread_local! {
    static IDLE: std::cell::RefCell<std::collections::HashMap<EngineName, Vec<Idle>>> =
        std::cell::RefCell::default();
}

/// Why a request could not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum SendError {
    /// nothing of it was sent
    NotSent,
    /// the connection broke after it may have been sent
    ConnectionLost,
}

impl std::error::Error for SendError {}

/// A kept connection to an engine, if there is one that still works.
pub fn take_idle(target: &Target) -> Option<EngineConnection> {
    let now = std::time::Instant::now();
    IDLE.with_borrow_mut(|idle| {
        let of_engine = idle.get_mut(&target.engine)?;
        while let Some(Idle { kept, until }) = of_engine.pop() {
            let usable = now < until && kept.address == target.address && kept.sender.is_ready();
            if usable {
                return Some(kept);
            }
        }
        idle.remove(&target.engine);
        None
    })
}

/// Lets all idle connections to an engine go.
pub fn close_idle(engine: &EngineName) {
    IDLE.with_borrow_mut(|idle| drop(idle.remove(engine)));
}

/// Lets idle connections go whose time is over.
pub fn close_expired() {
    let now = std::time::Instant::now();
    IDLE.with_borrow_mut(|idle| {
        for of_engine in idle.values_mut() {
            of_engine.retain(|idle| now < idle.until && !idle.kept.sender.is_closed());
        }
        idle.retain(|_, of_engine| !of_engine.is_empty());
    });
}

/// Connects to an engine; nothing is sent.
///
/// # Errors
/// No connection in time.
pub async fn connect(target: &Target, limit: DurationMs) -> Result<EngineConnection, SendError> {
    let limit = std::time::Duration::from_millis(limit.0.min(CONNECT_TIMEOUT.0));
    let connected = tokio::time::timeout(limit, tokio::net::TcpStream::connect(target.address));
    let stream = connected.await.ok().and_then(Result::ok).ok_or(SendError::NotSent)?;
    let _ = stream.set_nodelay(true);
    let io = hyper_util::rt::TokioIo::new(stream);
    let handshake = hyper::client::conn::http1::handshake(io).await;
    let (sender, connection) = handshake.map_err(|_| SendError::NotSent)?;
    // How the connection ends shows in the outcome of its request.
    tokio::spawn(async move { drop(connection.await) });
    Ok(EngineConnection { sender, engine: target.engine.clone(), address: target.address })
}

/// Makes a connection and keeps it; says whether there is one.
pub async fn probe(target: &Target) -> bool {
    match connect(target, CONNECT_TIMEOUT).await {
        Ok(kept) => {
            keep_for(kept, UNSAID_IDLE);
            true
        }
        Err(_) => false,
    }
}

impl EngineConnection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// Whether anything of it can have been sent.
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

/// Keeps a connection whose response was whole, unless its head said that it is not kept.
pub fn keep_idle(kept: EngineConnection, head: &hyper::HeaderMap) {
    if let Some(idle) = idle_timeout(head) {
        keep_for(kept, idle);
    }
}

/// For how long an idle connection may be used by what a response's head says; none if not at all.
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
    let text = |name| {
        head.get_all(name).iter().filter_map(|v: &hyper::header::HeaderValue| v.to_str().ok())
    };
    if text(hyper::header::CONNECTION).any(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let said = text(hyper::header::HeaderName::from_static("keep-alive"))
        .flat_map(|value| value.split(','))
        .find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok());
    Some(said.map_or(UNSAID_IDLE, |s| DurationMs(s.saturating_mul(10 * USED_PERCENT))))
}

fn keep_for(kept: EngineConnection, idle: DurationMs) {
    if kept.sender.is_closed() || idle.0 == 0 {
        return;
    }
    let until = std::time::Instant::now() + std::time::Duration::from_millis(idle.0);
    IDLE.with_borrow_mut(|all| {
        let of_engine = all.entry(kept.engine.clone()).or_default();
        if of_engine.len() >= MOST_IDLE {
            of_engine.remove(0);
        }
        of_engine.push(Idle { kept, until });
    });
}
