//! Calling over HTTP: one request a connection, so that no return can meet another's request.

use http_body_util::BodyExt as _;

/// Why a call failed, told apart by whether a byte can have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum OutboundError {
    /// no connection could be made: nothing was sent
    NotConnected,
    /// the connection broke after the request was handed over
    ConnectionLost,
    /// nothing came back in time
    TimedOut,
}

impl std::error::Error for OutboundError {}

/// A connection that has sent nothing yet.
pub struct Connection {
    sender: hyper::client::conn::http1::SendRequest<super::Body>,
}

/// Connects within a limit. Nothing is sent.
///
/// # Errors
/// No connection could be made in time.
pub async fn connect(
    address: std::net::SocketAddr,
    limit: std::time::Duration,
) -> Result<Connection, OutboundError> {
    let stream = tokio::time::timeout(limit, tokio::net::TcpStream::connect(address))
        .await
        .ok()
        .and_then(Result::ok)
        .ok_or(OutboundError::NotConnected)?;
    let _ = stream.set_nodelay(true);
    let io = hyper_util::rt::TokioIo::new(stream);
    let (sender, connection) =
        hyper::client::conn::http1::handshake(io).await.map_err(|_| OutboundError::NotConnected)?;
    // The connection's end shows in the request's own outcome.
    tokio::spawn(async move { drop(connection.await) });
    Ok(Connection { sender })
}

impl Connection {
    /// Sends the one request that this connection is for and waits for the head of its return.
    ///
    /// # Errors
    /// The connection broke; the request may have been received.
    pub async fn send(
        mut self,
        request: hyper::Request<super::Body>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, OutboundError> {
        self.sender.send_request(request).await.map_err(|_| OutboundError::ConnectionLost)
    }
}

/// One whole exchange: status and body.
///
/// # Errors
/// No connection, a broken one, or no whole return in time.
pub async fn exchange(
    address: std::net::SocketAddr,
    method: hyper::Method,
    path: &str,
    body: bytes::Bytes,
    limit: std::time::Duration,
) -> Result<(u16, bytes::Bytes), OutboundError> {
    let work = async {
        let connection = connect(address, limit).await?;
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, address.to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(super::full_body(body))
            .map_err(|_| OutboundError::NotConnected)?;
        let response = connection.send(request).await?;
        let status = response.status().as_u16();
        let body =
            response.into_body().collect().await.map_err(|_| OutboundError::ConnectionLost)?;
        Ok((status, body.to_bytes()))
    };
    tokio::time::timeout(limit, work).await.unwrap_or(Err(OutboundError::TimedOut))
}
