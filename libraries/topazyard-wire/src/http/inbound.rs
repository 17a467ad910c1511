//! Serving HTTP requests.

use super::client_io::ClientIo;
use super::clock::now_ms;
use super::connection::{ClosedOnDrop, Connection, Deadline, Phase};
use super::connection_table::ConnectionTable;
use super::overload::{self, CloseReason};
use super::server_limits::Callers;
use hyper::body::Body as _;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use topazyard_spec::ClientLimits;

/// Time after which a connection is closed if the client acknowledges none of the data sent to it.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 30_000;
/// The receive buffer of a connection in the kernel: what a client may send before it is read.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1_024;
/// The smallest read buffer that the HTTP library allows.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1_024;
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest interval between two checks of a connection's deadline, so that a new phase with an
/// earlier one is noticed.
const MAX_CHECK_INTERVAL_MS: u64 = 5_000;

/// Binds a listener for [`serve`] or [`serve_with`].
///
/// # Errors
/// The address can't be listened on.
pub async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, crate::driver::StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| crate::driver::StartError::Address(address, error.kind()))
}

/// The stage of a server's graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It serves normally.
    Serving,
    /// It serves, and closes each connection after its next response.
    Closing,
    /// It also closes idle connections. On a new connection it serves one request.
    ClosingIdle,
    /// It accepts no more connections and closes each one as soon as it is idle.
    Ending,
    /// The time for the shutdown is over: requests without a response get their final one now.
    Overdue,
}

/// Notifies servers of the current stage of the shutdown.
pub type Drain = tokio::sync::watch::Receiver<Stage>;

/// Tells servers the limits on what clients send.
pub type LimitsInForce = tokio::sync::watch::Receiver<ClientLimits>;

/// Whom a server serves, within which limits, and until when.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Who connects to it.
    pub callers: Callers,
    /// The limits on what they send.
    pub limits: LimitsInForce,
    /// The stage of its shutdown.
    pub drain: Drain,
}

impl ServerOptions {
    /// Options of a server with the default limits that serves forever.
    pub fn of(callers: Callers) -> Self {
        let (_, limits) = tokio::sync::watch::channel(ClientLimits::default());
        let (_, drain) = tokio::sync::watch::channel(Stage::Serving);
        Self { callers, limits, drain }
    }
}

/// Serves forever. When a client disconnects, the future that handles its request is dropped.
pub async fn serve<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
{
    serve_with(listener, handle, ServerOptions::of(Callers::Clients)).await;
}

/// Serves, and closes connections as the stage of the options requires. From [`Stage::Ending`] on it
/// accepts none and returns after the last response. The caller must first have its clients
/// directed elsewhere: a request may already be on its way on an idle connection that is closed.
///
/// The number of connections is limited. When a new one finds no place, those that are needed least
/// are closed.
pub async fn serve_with<F, R>(listener: TcpListener, handle: F, options: ServerOptions)
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
{
    // Connections inherit it. The default is larger, so the server works without it too.
    let _ = rustix::net::sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES);
    let max_connections = options.callers.max_connections();
    let permits = Arc::new(tokio::sync::Semaphore::new(max_connections));
    let mut table = ConnectionTable::default();
    let mut accept_drain = options.drain.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = overload::shortage() => {
                table.free_memory();
                continue;
            }
            () = wait_for_stage(&mut accept_drain, Stage::Ending) => break,
        };
        let Ok((stream, _)) = accepted else {
            overload::record_closed(CloseReason::NotAccepted);
            table.make_place();
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if permits.available_permits() == 0 {
            table.make_place();
        }
        let permit = tokio::select! {
            permit = permits.clone().acquire_owned() => permit,
            () = wait_for_stage(&mut accept_drain, Stage::Ending) => break,
        };
        let Ok(permit) = permit else { return };
        let connection = table.open(options.limits.clone());
        let (handle, options) = (handle.clone(), options.clone());
        tokio::spawn(async move {
            let _closed = ClosedOnDrop::new(connection.clone());
            serve_one(stream, connection, handle, options).await;
            drop(permit);
        });
    }
    drop(listener);
    // All permits are available once the last connection is closed.
    drop(permits.acquire_many(max_connections as u32).await);
}

async fn serve_one<F, R>(
    stream: TcpStream,
    connection: Arc<Connection>,
    handle: F,
    options: ServerOptions,
) where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT_MS);
    let mut drain = options.drain;
    let max_header_bytes = connection.max_header_bytes();
    let service = request_service(connection.clone(), handle, drain.clone());
    let served = hyper::server::conn::http1::Builder::new()
        .max_header_size(max_header_bytes)
        .max_buf_size(max_header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(
            hyper_util::rt::TokioIo::new(ClientIo::new(stream, connection.clone())),
            service,
        );
    tokio::pin!(served);
    // A connection opened while idle ones are being closed is about to carry a request.
    let close_stage = match *drain.borrow() {
        Stage::Serving | Stage::Closing => Stage::ClosingIdle,
        Stage::ClosingIdle | Stage::Ending | Stage::Overdue => Stage::Ending,
    };
    let supervision = supervise(&connection);
    tokio::pin!(supervision);
    // An interrupted response ends as an error here, which closes the client's connection.
    let mut end = tokio::select! {
        _ = &mut served => ConnectionEnd::Served,
        () = &mut supervision => ConnectionEnd::Closing,
        () = wait_for_stage(&mut drain, close_stage) => ConnectionEnd::Draining,
    };
    if end == ConnectionEnd::Draining {
        served.as_mut().graceful_shutdown();
        end = tokio::select! {
            _ = &mut served => ConnectionEnd::Served,
            () = &mut supervision => ConnectionEnd::Closing,
        };
    }
    if end == ConnectionEnd::Closing {
        // The request that is being refused, if any, gets its response.
        let _ = tokio::time::timeout(connection.refusal_timeout(), served).await;
    }
}

/// Why a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// Its last response was sent, or the client left.
    Served,
    /// The server closes it.
    Closing,
    /// The server shuts down.
    Draining,
}

/// Passes requests to `handle` and follows their progress.
fn request_service<F, R>(
    connection: Arc<Connection>,
    handle: F,
    drain: Drain,
) -> impl hyper::service::HttpService<
    hyper::body::Incoming,
    ResBody = super::Body,
    Error = std::convert::Infallible,
    Future: Send,
>
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
{
    hyper::service::service_fn(move |mut request: hyper::Request<hyper::body::Incoming>| {
        connection.request_began(!request.body().is_end_stream());
        request.extensions_mut().insert(connection.clone());
        let response = handle(request);
        let drain = drain.clone();
        let connection = connection.clone();
        async move {
            let mut response = response.await;
            let is_last = *drain.borrow() > Stage::Serving
                || connection.is_closing()
                || connection.has_outdated_limits();
            if is_last {
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            connection.enter(Phase::Sending);
            Ok::<_, std::convert::Infallible>(response.map(|body| {
                use http_body_util::BodyExt as _;
                super::sent_body::SentBody::new(body, connection).boxed_unsync()
            }))
        }
    })
}

/// Waits until the connection must be closed: its server needs its place or memory, or its client
/// takes too long.
async fn supervise(connection: &Connection) {
    loop {
        let deadline = connection.deadline();
        let next_check_ms = match deadline {
            Some(Deadline { at_ms, reason }) if now_ms() >= at_ms => {
                return connection.close(reason);
            }
            Some(Deadline { at_ms, .. }) => at_ms.min(now_ms() + MAX_CHECK_INTERVAL_MS),
            None => now_ms() + MAX_CHECK_INTERVAL_MS,
        };
        let delay = Duration::from_millis(next_check_ms.saturating_sub(now_ms()).max(1));
        tokio::select! {
            () = connection.closed() => return,
            () = tokio::time::sleep(delay) => {}
        }
    }
}

/// Waits until the shutdown has reached a stage. It never returns if the sender is gone before.
pub async fn wait_for_stage(drain: &mut Drain, stage: Stage) {
    if drain.wait_for(|current| *current >= stage).await.is_err() {
        std::future::pending().await
    }
}
