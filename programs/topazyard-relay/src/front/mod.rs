//! HTTP front end: serves clients and forwards their requests to engines.

pub mod adapter;
pub mod batches;
pub mod connections;
pub mod engine;
pub mod engine_loads;
pub mod events;
pub mod items;
pub mod outcomes;
pub mod prompt_request;
mod request_guard;
pub mod routed;
mod routed_stream;
pub mod session;
pub mod tasks;

use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::http::Body;

/// Handle through which the front end calls the relay's state machine.
pub type Handle = topazyard_wire::driver::Handle<crate::RelayMachine>;

/// Serves one client request. When the drain's time to serve is over, a request without a response
/// gets its final response at once.
pub async fn serve_request(
    handle: Handle,
    mut drain: topazyard_wire::http::inbound::Drain,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    use topazyard_wire::http::inbound;
    let _unanswered = outcomes::UnansweredRequest::start();
    tokio::select! {
        biased;
        response = respond(handle, request) => response,
        () = inbound::wait_for_stage(&mut drain, inbound::Stage::Overdue) => {
            topazyard_wire::http::error(&ApiError::may_have_run(Code::OutcomeUnknown))
        }
    }
}

async fn respond(
    handle: Handle,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    let (head, body) = request.into_parts();
    let segments: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
    let outcome = match (head.method.as_str(), segments.as_slice()) {
        ("POST", ["generate"]) => session::serve(handle, &head, body, false).await,
        ("POST", ["generate_stream"]) => session::serve(handle, &head, body, true).await,
        (_, ["batches", ..]) => batches::serve(handle, &head, body).await,
        ("GET", ["ready"]) => match handle.call(crate::RelayCall::Ready).await {
            Ok(crate::RelayResponse::Done) => {
                Ok(topazyard_wire::http::json(200, &serde_json::json!({ "ready": true })))
            }
            Ok(crate::RelayResponse::Refused(error)) => Err(error),
            _ => Err(ApiError::not_run(Code::StaleFeed)),
        },
        ("GET", ["health"]) => match handle.call(crate::RelayCall::Health).await {
            Ok(crate::RelayResponse::Health(health)) => {
                Ok(topazyard_wire::http::json(200, &health))
            }
            _ => Err(ApiError::not_run(Code::StaleFeed)),
        },
        _ => Err(ApiError::not_run(Code::NoSuchPath).at(head.uri.path())),
    };
    outcome.unwrap_or_else(|error| topazyard_wire::http::error(&error))
}

/// Hop-by-hop headers, and headers that the HTTP library sets itself.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Yields so that the connection sends its buffered data before the body ends with an error: an
/// error that directly follows a chunk would abort the connection with the chunk still buffered.
pub(crate) async fn yield_for_flush() {
    tokio::task::yield_now().await;
}

/// Copies all end-to-end headers: all but hop-by-hop ones and those that `Connection` lists.
pub(crate) fn copy_end_to_end_headers(from: &hyper::HeaderMap, to: &mut hyper::HeaderMap) {
    let connection_options = from.get_all(hyper::header::CONNECTION).iter();
    let connection_options: Vec<String> = connection_options
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    for (name, value) in from {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(&name.as_str());
        if !is_hop_by_hop && !connection_options.iter().any(|option| option == name.as_str()) {
            to.append(name, value.clone());
        }
    }
}

/// A response with the engine's status, its end-to-end headers and the given body.
pub(crate) fn forward_response(
    head: &hyper::http::response::Parts,
    body: Body,
) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(body);
    *response.status_mut() = head.status;
    copy_end_to_end_headers(&head.headers, response.headers_mut());
    response
}
