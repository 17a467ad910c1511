//! Serving HTTP.

use http_body_util::BodyExt as _;

/// The most connections served at once.
const MOST_CONNECTIONS: usize = 8_192;
const HEADERS_MS: u64 = 10_000;
const BODY_MS: u64 = 30_000;
/// For how long a caller may take nothing of what is sent to it before its connection is closed.
const UNREAD_MS: u32 = 30_000;

/// Binds a listener that serves can be run on.
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

/// How far a server is on its way to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It serves.
    Serving,
    /// It serves, and keeps no connection after a response on it.
    Closing,
    /// It also closes connections on which nothing is under way. New ones are served once each.
    ClosingIdle,
    /// It takes no more connections, and closes each as soon as nothing is under way on it.
    Ending,
    /// There is no time left: what has no response yet gets its final answer now.
    Overdue,
}

/// Tells servers how far they are on their way to their end.
pub type Drain = tokio::sync::watch::Receiver<Stage>;

/// Serves for ever. When a caller goes away, the future that works for it is dropped.
pub async fn serve<F, R>(listener: tokio::net::TcpListener, handle: F)
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
{
    let (_never, drain) = tokio::sync::watch::channel(Stage::Serving);
    serve_draining(listener, handle, drain).await;
}

/// Serves, and closes connections as it is told to. Once it is to end it takes no more of them, and
/// returns when the last has had its response. Whoever ends a process lets its clients be sent
/// elsewhere first: an idle connection that is closed may meet a request on its way.
pub async fn serve_draining<F, R>(listener: tokio::net::TcpListener, handle: F, drain: Drain)
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
{
    let room = std::sync::Arc::new(tokio::sync::Semaphore::new(MOST_CONNECTIONS));
    let mut ends = drain.clone();
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stage(&mut ends, Stage::Ending) => break,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, UNREAD_MS);
        let handle = handle.clone();
        let drain = drain.clone();
        tokio::spawn(async move {
            serve_one(stream, handle, drain).await;
            drop(permit);
        });
    }
    drop(listener);
    // The last connection gives its room back.
    drop(room.acquire_many(MOST_CONNECTIONS as u32).await);
}

async fn serve_one<F, R>(stream: tokio::net::TcpStream, handle: F, mut drain: Drain)
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
{
    let drains = drain.clone();
    let service = hyper::service::service_fn(move |request| {
        let returned = handle(request);
        let drains = drains.clone();
        async move {
            let mut response = returned.await;
            if *drains.borrow() > Stage::Serving {
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(std::time::Duration::from_millis(HEADERS_MS))
        .serve_connection(hyper_util::rt::TokioIo::new(stream), service);
    tokio::pin!(served);
    // One that was opened when idle ones are closed already is about to bring its request.
    let closed_at = match *drain.borrow() {
        Stage::Serving | Stage::Closing => Stage::ClosingIdle,
        Stage::ClosingIdle | Stage::Ending | Stage::Overdue => Stage::Ending,
    };
    // A cut return ends here as an error, by which the caller's connection breaks.
    tokio::select! {
        ended = &mut served => return drop(ended),
        () = wait_for_stage(&mut drain, closed_at) => {}
    }
    served.as_mut().graceful_shutdown();
    drop(served.await);
}

/// Waits until a server has come so far on its way to its end; for ever if nobody is left who could
/// tell.
pub async fn wait_for_stage(drain: &mut Drain, stage: Stage) {
    if drain.wait_for(|now| *now >= stage).await.is_err() {
        std::future::pending().await
    }
}

/// Reads a body whole, up to a limit.
///
/// # Errors
/// The body is larger than the limit, broke off, or took too long.
pub async fn read_body(
    body: hyper::body::Incoming,
    max_bytes: usize,
) -> Result<bytes::Bytes, crate::ApiError> {
    let limit = std::time::Duration::from_millis(BODY_MS);
    let limited = http_body_util::Limited::new(body, max_bytes);
    let Ok(collected) = tokio::time::timeout(limit, limited.collect()).await else {
        return Err(crate::ApiError::not_run(crate::api::Code::Malformed).at("body"));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(crate::ApiError::not_run(crate::api::Code::BodyTooLarge).at("body"))
        }
        Err(_) => Err(crate::ApiError::not_run(crate::api::Code::Malformed).at("body")),
    }
}
