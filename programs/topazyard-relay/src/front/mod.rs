//! HTTP for visitors.

pub mod engine;
pub mod items;
pub mod parcels;
pub mod read;
pub mod session;
pub mod tasks;

use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::http::Body;

/// How the front reaches the machine.
pub type Handle = topazyard_wire::driver::Handle<crate::RelayMachine>;

/// Answers one visitor's request.
pub async fn answer(
    handle: Handle,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    let (head, body) = request.into_parts();
    let parts: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
    let outcome = match (head.method.as_str(), parts.as_slice()) {
        ("POST", ["generate"]) => session::serve(handle, &head, body, false).await,
        ("POST", ["generate_stream"]) => session::serve(handle, &head, body, true).await,
        (_, ["parcels", ..]) => parcels::serve(handle, &head, body).await,
        ("GET", ["ready"]) => match handle.call(crate::RelayCall::Ready).await {
            Ok(crate::RelayReturn::Noted) => {
                Ok(topazyard_wire::http::json(200, &serde_json::json!({ "ready": true })))
            }
            Ok(crate::RelayReturn::Refused(error)) => Err(error),
            _ => Err(ApiError::not_run(Code::StaleFeed)),
        },
        ("GET", ["vitals"]) => match handle.call(crate::RelayCall::Vitals).await {
            Ok(crate::RelayReturn::Vitals(vitals)) => Ok(topazyard_wire::http::json(200, &vitals)),
            _ => Err(ApiError::not_run(Code::StaleFeed)),
        },
        _ => Err(ApiError::not_run(Code::NoSuchPath).at(head.uri.path())),
    };
    outcome.unwrap_or_else(|error| topazyard_wire::http::error(&error))
}
