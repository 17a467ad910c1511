//! An HTTP server with graceful shutdown: every request that was read gets its response.

use super::inbound::{ServerOptions, Stage, serve_with};
use super::server_limits::Callers;

/// A server that runs until it is shut down.
#[derive(Debug)]
pub struct Server {
    stage: tokio::sync::watch::Sender<Stage>,
    served: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts serving. It must be called within a runtime.
    pub fn start<F, R>(listener: tokio::net::TcpListener, handle: F) -> Self
    where
        F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = hyper::Response<super::Body>> + Send + 'static,
    {
        let (stage, drain) = tokio::sync::watch::channel(Stage::Serving);
        let options = ServerOptions { drain, ..ServerOptions::of(Callers::Clients) };
        let served = tokio::spawn(serve_with(listener, handle, options));
        Self { stage, served }
    }

    /// Closes each connection after its next response from now on.
    pub fn close_after_responses(&self) {
        self.stage.send_replace(Stage::Closing);
    }

    /// Accepts no more connections, closes idle ones, and waits for the responses to all requests
    /// that were read. Returns false if that took longer than `timeout`.
    pub async fn shut_down(self, timeout: std::time::Duration) -> bool {
        self.stage.send_replace(Stage::Ending);
        tokio::time::timeout(timeout, self.served).await.is_ok()
    }
}
