//! What a control node speaks with outside the fleet: its operators, the platform's list of
//! engines, and the engines themselves.

use crate::tuner::EngineLoad;
use topazyard_wire::http::Body;

/// The handle of a control node's machine.
pub type Handle = topazyard_wire::driver::Handle<crate::ControlMachine>;

/// Speaks for a control node. It translates and decides nothing.
pub trait ExternalInterface: Send + 'static {
    /// Answers an HTTP request at the node's address.
    fn respond(
        handle: Handle,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> impl Future<Output = hyper::Response<Body>> + Send + 'static;

    /// How often the list of engines is to be read; none where it is handed in.
    fn engine_list_interval(&self) -> Option<topazyard_types::DurationMs>;

    /// Reads the whole list of engines; none if it can't be read whole.
    fn list_engines(&mut self) -> impl Future<Output = Option<Vec<topazyard_spec::Engine>>> + Send;

    /// Asks engines for their load; those that don't say it are left out.
    fn fetch_loads(
        engines: Vec<topazyard_spec::Engine>,
    ) -> impl Future<Output = Vec<EngineLoad>> + Send + 'static;
}

/// The product's own interface.
#[derive(Debug)]
pub struct DefaultInterface;

impl ExternalInterface for DefaultInterface {
    fn respond(
        handle: Handle,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> impl Future<Output = hyper::Response<Body>> + Send + 'static {
        crate::http::respond(handle, request)
    }

    fn engine_list_interval(&self) -> Option<topazyard_types::DurationMs> {
        None
    }

    async fn list_engines(&mut self) -> Option<Vec<topazyard_spec::Engine>> {
        None
    }

    async fn fetch_loads(engines: Vec<topazyard_spec::Engine>) -> Vec<EngineLoad> {
        crate::engine_load::fetch(&engines).await
    }
}
