//! The interface of a control node to the outside: its operators, the platform's list of engines,
//! and the engines themselves.

use crate::tuner::EngineLoad;
use topazyard_wire::http::Body;

/// The handle of a control node's machine.
pub type Handle = topazyard_wire::driver::Handle<crate::ControlMachine>;

/// Translates between a control node and the outside. It makes no decisions.
pub trait ExternalInterface: Send + 'static {
    /// Responds to an HTTP request that was sent to the node's address.
    fn respond(
        handle: Handle,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> impl Future<Output = hyper::Response<Body>> + Send + 'static;

    /// How often to read the list of engines, or none if the platform submits it.
    fn engine_list_interval(&self) -> Option<topazyard_types::DurationMs>;

    /// Reads the complete list of engines, or returns none if it can't be read completely.
    fn list_engines(&mut self) -> impl Future<Output = Option<Vec<topazyard_spec::Engine>>> + Send;

    /// Fetches the load of engines. Engines that don't report it are left out.
    fn fetch_loads(
        engines: Vec<topazyard_spec::Engine>,
    ) -> impl Future<Output = Vec<EngineLoad>> + Send + 'static;
}

/// The interface of the product itself.
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
