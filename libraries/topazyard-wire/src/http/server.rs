//! A server of HTTP that a process ends in order: what was read is answered.

use super::inbound::{Stage, serve_draining};

/// A server that runs until it is ended.
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
        let served = tokio::spawn(serve_draining(listener, handle, drain));
        Self { stage, served }
    }

    /// From now on no connection is kept after a response on it.
    pub fn close_after_responses(&self) {
        self.stage.send_replace(Stage::Closing);
    }

    /// Takes no more connections, closes idle ones, and waits until what was read is answered.
    /// False if that took longer than `limit`.
    pub async fn shut_down(self, limit: std::time::Duration) -> bool {
        self.stage.send_replace(Stage::Ending);
        tokio::time::timeout(limit, self.served).await.is_ok()
    }
}
