//! An HTTP client with one request per connection, so that a response can't be taken for that of
//! another request.

/// The largest response of [`exchange`].
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;
/// The largest read buffer of a connection to a server, which bounds the head of a response.
pub const MAX_READ_BUFFER_BYTES: usize = 64 * 1_024;

/// Why a request failed. The variants tell whether any byte may have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum OutboundError {
    /// no connection could be established; nothing was sent
    NotConnected,
    /// the connection was lost after the request was started
    ConnectionLost,
    /// no complete response arrived in time
    TimedOut,
}

impl std::error::Error for OutboundError {}

/// A connection on which nothing has been sent yet.
pub struct Connection {
    sender: hyper::client::conn::http1::SendRequest<super::Body>,
}

/// Connects within `timeout` without sending anything.
///
/// # Errors
/// No connection could be established in time.
pub async fn connect(
    address: std::net::SocketAddr,
    timeout: std::time::Duration,
) -> Result<Connection, OutboundError> {
    let stream = tokio::time::timeout(timeout, tokio::net::TcpStream::connect(address))
        .await
        .ok()
        .and_then(Result::ok)
        .ok_or(OutboundError::NotConnected)?;
    let _ = stream.set_nodelay(true);
    let io = hyper_util::rt::TokioIo::new(stream);
    let handshake = hyper::client::conn::http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(io)
        .await;
    let (sender, connection) = handshake.map_err(|_| OutboundError::NotConnected)?;
    // The request itself reports any error of the connection.
    tokio::spawn(async move { drop(connection.await) });
    Ok(Connection { sender })
}

impl Connection {
    /// Sends the only request of this connection and waits for the head of the response.
    ///
    /// # Errors
    /// The connection was lost; the request may have been received.
    pub async fn send(
        mut self,
        request: hyper::Request<super::Body>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, OutboundError> {
        self.sender.send_request(request).await.map_err(|_| OutboundError::ConnectionLost)
    }
}

/// Sends a request and returns the status and the complete body of the response.
///
/// # Errors
/// No connection could be established, it was lost, or no complete response arrived in time.
pub async fn exchange(
    address: std::net::SocketAddr,
    method: hyper::Method,
    path: &str,
    body: bytes::Bytes,
    timeout: std::time::Duration,
) -> Result<(u16, bytes::Bytes), OutboundError> {
    let request = async {
        let connection = connect(address, timeout).await?;
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, address.to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(super::full_body(body))
            .map_err(|_| OutboundError::NotConnected)?;
        let response = connection.send(request).await?;
        let status = response.status().as_u16();
        let body = super::body::collect_response(response.into_body(), MAX_RESPONSE_BYTES).await;
        Ok((status, body.map_err(|_| OutboundError::ConnectionLost)?))
    };
    tokio::time::timeout(timeout, request).await.unwrap_or(Err(OutboundError::TimedOut))
}
