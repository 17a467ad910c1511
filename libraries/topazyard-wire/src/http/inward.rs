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

/// Serves for ever. When a caller goes away, the future that works for it is dropped.
pub async fn serve<F, R>(listener: tokio::net::TcpListener, handle: F)
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
{
    let room = std::sync::Arc::new(tokio::sync::Semaphore::new(MOST_CONNECTIONS));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, UNREAD_MS);
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = hyper::service::service_fn(|request| {
                let returned = handle(request);
                async move { Ok::<_, std::convert::Infallible>(returned.await) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(hyper_util::rt::TokioTimer::new())
                .header_read_timeout(std::time::Duration::from_millis(HEADERS_MS))
                .serve_connection(hyper_util::rt::TokioIo::new(stream), service)
                .await;
            // A cut return ends here as an error, by which the caller's connection breaks.
            drop(served);
            drop(permit);
        });
    }
}

/// Reads a body whole, up to a limit.
///
/// # Errors
/// The body is larger than the limit, broke off, or took too long.
pub async fn read_body(
    body: hyper::body::Incoming,
    most_bytes: usize,
) -> Result<bytes::Bytes, crate::ApiError> {
    let limit = std::time::Duration::from_millis(BODY_MS);
    let limited = http_body_util::Limited::new(body, most_bytes);
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
