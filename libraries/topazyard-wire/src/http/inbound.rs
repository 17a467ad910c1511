//! Serving HTTP requests.

/// Maximum number of connections served at once.
const MAX_CONNECTIONS: usize = 8_192;
/// The smallest read buffer that the HTTP library allows.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1_024;
const HEADERS_TIMEOUT_MS: u64 = 10_000;
/// Time after which a connection is closed if the client acknowledges none of the data sent to it.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 30_000;

/// Binds a listener for [`serve`] or [`serve_draining`].
///
/// # Errors
/// The address can't be listened on.
pub async fn bind(
    address: std::net::SocketAddr,
) -> Result<tokio::net::TcpListener, crate::driver::StartError> {
    tokio::net::TcpListener::bind(address)
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

/// Serves forever. When a client disconnects, the future that handles its request is dropped.
pub async fn serve<F, R>(listener: tokio::net::TcpListener, handle: F)
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
{
    let (_sender, drain) = tokio::sync::watch::channel(Stage::Serving);
    serve_draining(listener, handle, drain).await;
}

/// Serves, and closes connections as the stage of `drain` requires. From [`Stage::Ending`] on it
/// accepts none and returns after the last response. The caller must first have its clients
/// directed elsewhere: a request may already be on its way on an idle connection that is closed.
pub async fn serve_draining<F, R>(listener: tokio::net::TcpListener, handle: F, drain: Drain)
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
{
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    let mut accept_drain = drain.clone();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stage(&mut accept_drain, Stage::Ending) => break,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT_MS);
        let handle = handle.clone();
        let drain = drain.clone();
        tokio::spawn(async move {
            serve_one(stream, handle, drain).await;
            drop(permit);
        });
    }
    drop(listener);
    // All permits are available once the last connection is closed.
    drop(permits.acquire_many(MAX_CONNECTIONS as u32).await);
}

async fn serve_one<F, R>(stream: tokio::net::TcpStream, handle: F, mut drain: Drain)
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
{
    let response_drain = drain.clone();
    let service = hyper::service::service_fn(move |request| {
        let response = handle(request);
        let response_drain = response_drain.clone();
        async move {
            let mut response = response.await;
            if *response_drain.borrow() > Stage::Serving {
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let max_header_bytes = topazyard_spec::ClientLimits::default().max_header_bytes as usize;
    let served = hyper::server::conn::http1::Builder::new()
        .max_header_size(max_header_bytes)
        .max_buf_size(max_header_bytes.max(MIN_READ_BUFFER_BYTES))
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(std::time::Duration::from_millis(HEADERS_TIMEOUT_MS))
        .serve_connection(hyper_util::rt::TokioIo::new(stream), service);
    tokio::pin!(served);
    // A connection opened while idle ones are being closed is about to carry a request.
    let close_stage = match *drain.borrow() {
        Stage::Serving | Stage::Closing => Stage::ClosingIdle,
        Stage::ClosingIdle | Stage::Ending | Stage::Overdue => Stage::Ending,
    };
    // An interrupted response ends as an error here, which closes the client's connection.
    tokio::select! {
        ended = &mut served => return drop(ended),
        () = wait_for_stage(&mut drain, close_stage) => {}
    }
    served.as_mut().graceful_shutdown();
    drop(served.await);
}

/// Waits until the shutdown has reached a stage. It never returns if the sender is gone before.
pub async fn wait_for_stage(drain: &mut Drain, stage: Stage) {
    if drain.wait_for(|current| *current >= stage).await.is_err() {
        std::future::pending().await
    }
}
