//! The HTTP interface for operators and the platform.

use topazyard_types::{ConfigurationVersion, NodeId};
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::http::Body;
use topazyard_wire::http::memory::{charge_response, reserve_for_decoding};
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest, Query};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody<'a> {
    base: ConfigurationVersion,
    #[serde(borrow)]
    bundle: &'a serde_json::value::RawValue,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct PatchBody<'a> {
    base: ConfigurationVersion,
    #[serde(borrow)]
    patch: &'a serde_json::value::RawValue,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct SignBody {
    by: String,
}

/// Responds to one request of an operator or the platform.
pub async fn respond(
    handle: topazyard_wire::driver::Handle<crate::ControlMachine>,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    let (head, body) = request.into_parts();
    if head.method == hyper::Method::GET && head.uri.path() == "/health" {
        return outcome_response(handle.call(crate::ControlCall::Health).await);
    }
    let body = match topazyard_wire::http::body::read_body(&head, body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return topazyard_wire::http::error(&error),
    };
    let Some(_decoded) = reserve_for_decoding(body.len(), 0) else {
        return topazyard_wire::http::error(&ApiError::not_run(Code::Overloaded));
    };
    let operation = parse_request(&head.method, head.uri.path(), &body);
    drop(body);
    let outcome = match operation {
        Ok(operation) => handle.call(crate::ControlCall::Operate(operation)).await,
        Err(error) => return topazyard_wire::http::error(&error),
    };
    outcome_response(outcome)
}

fn outcome_response(
    outcome: Result<OperatorOutcome, topazyard_wire::driver::CallError>,
) -> hyper::Response<Body> {
    match outcome {
        Ok(OperatorOutcome::Done(text)) => match charge_response(text) {
            Some(text) => topazyard_wire::http::json_text(200, text),
            None => unknown_outcome(),
        },
        Ok(OperatorOutcome::Refused(error)) => topazyard_wire::http::error(&error),
        Err(_) => unknown_outcome(),
    }
}

fn unknown_outcome() -> hyper::Response<Body> {
    topazyard_wire::http::error(&ApiError::may_have_run(Code::OutcomeUnknown))
}

/// Parses a request into a command or query.
///
/// ```
/// use topazyard_control::http::parse_request;
/// use topazyard_wire::message::operate::{OperatorRequest, Query};
/// let operation = parse_request(&hyper::Method::GET, "/specs/in-force", b"");
/// assert_eq!(operation, Ok(OperatorRequest::Query(Query::ReadConfiguration(None))));
/// assert!(parse_request(&hyper::Method::POST, "/specs/x/roll-out", b"").is_err());
/// ```
///
/// # Errors
/// A path that does not exist, or a malformed part of the request.
pub fn parse_request(
    method: &hyper::Method,
    path: &str,
    body: &[u8],
) -> Result<OperatorRequest, ApiError> {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let query = |query| Ok(OperatorRequest::Query(query));
    let command = |command| Ok(OperatorRequest::Command(command));
    match (method.as_str(), parts.as_slice()) {
        ("POST", ["specs"]) => {
            let submit: SubmitBody<'_> = read_json(body)?;
            let text = submit.bundle.get().to_owned();
            command(Command::SubmitConfiguration { base: submit.base, text })
        }
        ("PATCH", ["specs"]) => {
            let change: PatchBody<'_> = read_json(body)?;
            let patch = change.patch.get().to_owned();
            command(Command::SubmitPatch { base: change.base, patch })
        }
        ("POST", ["specs", version, "sign-off"]) => {
            let sign: SignBody = read_json(body)?;
            if sign.by.is_empty() {
                return Err(ApiError::not_run(Code::Malformed).at("by"));
            }
            command(Command::SignOff { version: version_of(version)?, by: sign.by })
        }
        ("POST", ["specs", version, "roll-out"]) => {
            command(Command::RollOut { version: version_of(version)? })
        }
        ("GET", ["specs"]) => query(Query::ListConfigurations),
        ("GET", ["specs", "in-force"]) => query(Query::ReadConfiguration(None)),
        ("GET", ["specs", version]) => query(Query::ReadConfiguration(Some(version_of(version)?))),
        ("PUT", ["engines"]) => {
            let text = std::str::from_utf8(body)
                .map_err(|_| ApiError::not_run(Code::Malformed).at("body"))?;
            command(Command::PutEngines { text: text.to_owned() })
        }
        ("GET", ["engines"]) => query(Query::ListEngines),
        ("GET", ["storage"]) => query(Query::ListStorage),
        ("POST", ["storage", node, "empty"]) => command(Command::EmptyStorage(node_of(node)?)),
        ("POST", ["storage", node, "add"]) => command(Command::AddStorage(node_of(node)?)),
        ("DELETE", ["storage", node]) => command(Command::RetireStorage(node_of(node)?)),
        ("GET", ["fleet"]) => query(Query::FleetState),
        _ => Err(ApiError::not_run(Code::NoSuchPath).at(path)),
    }
}

fn read_json<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|error| {
        let place = format!("line {} column {}", error.line(), error.column());
        ApiError { message: error.to_string(), ..ApiError::not_run(Code::Malformed).at(place) }
    })
}

fn version_of(text: &str) -> Result<ConfigurationVersion, ApiError> {
    let malformed = |_| ApiError::not_run(Code::Malformed).at("version");
    text.parse().map(ConfigurationVersion).map_err(malformed)
}

fn node_of(text: &str) -> Result<NodeId, ApiError> {
    text.parse().map(NodeId).map_err(|_| ApiError::not_run(Code::Malformed).at("node"))
}
