//! Batch calls of the product's own interface.

use super::Handle;
use crate::machine::{RelayCall, RelayResponse};
use topazyard_types::{BatchId, DurationMs, ItemNumber, ModelName, Tokens};
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::http::Body;
use topazyard_wire::http::memory::reserve_for_decoding;
use topazyard_wire::message::batch::{
    BatchCall, BatchResponse, BatchStatus, Item, ItemEnd, ItemResult,
};

/// Maximum size of a submitted batch.
const MAX_BATCH_BYTES: usize = 16 * 1024 * 1024;
/// What an item takes beside its text, for each object of which it consists.
const OBJECT_BYTES: usize = 256;
/// Timeout of a call on a submitted batch.
const CALL_TIMEOUT: DurationMs = DurationMs(5_000);

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct BatchBody<'a> {
    #[serde(borrow)]
    items: Vec<ItemBody<'a>>,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct ItemBody<'a> {
    model: ModelName,
    #[serde(borrow)]
    body: &'a serde_json::value::RawValue,
    #[serde(default)]
    repeatable: bool,
    #[serde(default)]
    token_count: Option<u64>,
}

/// Serves a batch call.
///
/// # Errors
/// The error to send to the client.
pub async fn serve(
    handle: Handle,
    head: &hyper::http::request::Parts,
    body: hyper::body::Incoming,
) -> Result<hyper::Response<Body>, ApiError> {
    let body = topazyard_wire::http::body::read_body(head, body, MAX_BATCH_BYTES).await?;
    let segments: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
    let call = match (head.method.as_str(), &segments[1..]) {
        ("POST", []) => {
            let batch = batch_id_for(&head.headers)?;
            let extra_bytes = count_objects(&body) * OBJECT_BYTES;
            let decoded = reserve_for_decoding(body.len(), extra_bytes);
            let _decoded = decoded.ok_or_else(|| ApiError::not_run(Code::Overloaded))?;
            let items = parse_items(&body)?;
            // The items are copies, so the text is not needed until the response.
            drop(body);
            return to_response(handle.call(RelayCall::SubmitBatch(batch, items)).await);
        }
        ("GET", [id]) => BatchCall::Read(parse_batch_id(id)?),
        ("GET", [id, "returns"]) => BatchCall::ItemResults {
            batch: parse_batch_id(id)?,
            after: parse_after(head.uri.query())?,
        },
        ("POST", [id, "items", item, "recall"]) => {
            let malformed = |_| ApiError::not_run(Code::Malformed).at("item");
            BatchCall::Recall(parse_batch_id(id)?, ItemNumber(item.parse().map_err(malformed)?))
        }
        ("DELETE", [id]) => BatchCall::End(parse_batch_id(id)?),
        _ => return Err(ApiError::not_run(Code::NoSuchPath).at(head.uri.path())),
    };
    to_response(handle.call(RelayCall::Batch(call, CALL_TIMEOUT)).await)
}

/// The number of objects in a JSON text, or more: an upper bound for the number of items.
fn count_objects(text: &[u8]) -> usize {
    text.iter().filter(|byte| **byte == b'{').count()
}

fn parse_batch_id(text: &str) -> Result<BatchId, ApiError> {
    text.parse().map_err(|_| ApiError::not_run(Code::NotFound).at("batch"))
}

fn parse_after(query: Option<&str>) -> Result<u32, ApiError> {
    let Some(query) = query else { return Ok(0) };
    let after = query.split('&').find_map(|parameter| parameter.strip_prefix("after="));
    let malformed = |_| ApiError::not_run(Code::Malformed).at("after");
    after.map_or(Ok(0), |text| text.parse().map_err(malformed))
}

/// The batch's id, derived from the idempotency key, or from a random key if there is none.
fn batch_id_for(headers: &hyper::HeaderMap) -> Result<BatchId, ApiError> {
    let name = "Idempotency-Key";
    let Some(value) = headers.get(name) else {
        return Ok(BatchId::from_key(&format!("{:032x}", rand::random::<u128>())));
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= 256 => Ok(BatchId::from_key(key)),
        _ => Err(ApiError::not_run(Code::Malformed).at(name)),
    }
}

/// Parses the items of a submitted batch.
///
/// ```
/// let items = topazyard_relay::front::batches::parse_items(
///     br#"{"items":[{"model":"m","body":{"inputs":"one two"}}]}"#).unwrap();
/// assert_eq!(items[0].body.as_ref(), br#"{"inputs":"one two"}"#);
/// assert!(!items[0].repeatable);
/// ```
///
/// # Errors
/// The malformed field.
pub fn parse_items(body: &[u8]) -> Result<Vec<Item>, ApiError> {
    let batch: BatchBody<'_> = serde_json::from_slice(body).map_err(|error| {
        let position = format!("line {} column {}", error.line(), error.column());
        ApiError { message: error.to_string(), ..ApiError::not_run(Code::Malformed).at(position) }
    })?;
    let items = batch.items.iter().enumerate();
    let items = items.map(|(index, item)| {
        let text = item.body.get().as_bytes();
        let cost = super::prompt_request::estimate_cost(text, item.token_count.map(Tokens))
            .map_err(|error| ApiError { field: Some(format!("items[{index}].body")), ..error })?;
        Ok(Item {
            model: item.model.clone(),
            body: bytes::Bytes::copy_from_slice(text),
            repeatable: item.repeatable,
            cost,
            routing: None,
        })
    });
    items.collect()
}

fn to_response(
    outcome: Result<RelayResponse, topazyard_wire::driver::CallError>,
) -> Result<hyper::Response<Body>, ApiError> {
    match outcome {
        Ok(RelayResponse::Batch(value)) => batch_response(value),
        Ok(RelayResponse::Refused(error)) => Err(error),
        _ => Err(ApiError::may_have_run(Code::OutcomeUnknown)),
    }
}

fn batch_response(value: BatchResponse) -> Result<hyper::Response<Body>, ApiError> {
    use topazyard_wire::http::json;
    match value {
        BatchResponse::Accepted(status) => Ok(json(201, &status_json(&status))),
        BatchResponse::Status(status) => Ok(json(200, &status_json(&status))),
        BatchResponse::ItemResults(results) => {
            let results: Vec<_> = results.iter().map(result_json).collect();
            charged_json(&serde_json::json!({ "returns": results }))
        }
        BatchResponse::Recalled => Ok(json(200, &serde_json::json!({ "recalled": true }))),
        BatchResponse::TooLate { returned } => {
            let state = if returned { "returned" } else { "started" };
            Ok(json(200, &serde_json::json!({ "recalled": false, "item": state })))
        }
        BatchResponse::Unknown => Err(ApiError::not_run(Code::NotFound).at("batch")),
        BatchResponse::CeilingReached => Err(ApiError::not_run(Code::BatchCeiling)),
        BatchResponse::Unrouted(_) => Err(ApiError::not_run(Code::NoRoute)),
        BatchResponse::Leased(_)
        | BatchResponse::RoutedResults { .. }
        | BatchResponse::Body(_)
        | BatchResponse::MayStart(_)
        | BatchResponse::Acknowledged
        | BatchResponse::NotPrimary => Err(ApiError::not_run(Code::NoShard)),
    }
}

/// A response whose body is charged to the memory for clients.
fn charged_json(value: &serde_json::Value) -> Result<hyper::Response<Body>, ApiError> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let text = topazyard_wire::http::memory::charge_response(text);
    let text = text.ok_or_else(|| ApiError::not_run(Code::Overloaded))?;
    Ok(topazyard_wire::http::json_text(200, text))
}

fn status_json(status: &BatchStatus) -> serde_json::Value {
    serde_json::json!({
        "batch": status.batch.to_string(),
        "items": status.items,
        "returned": status.returned,
        "waiting": status.waiting,
        "running": status.running,
        "ended": status.ended,
    })
}

fn hex(body: &bytes::Bytes) -> String {
    body.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn result_json(result: &ItemResult) -> serde_json::Value {
    let (outcome, status, body) = match &result.end {
        ItemEnd::Complete { status, body } => ("whole", Some(*status), Some(body)),
        ItemEnd::OutcomeUnknown => ("outcome_unknown", None, None),
        ItemEnd::Recalled => ("recalled", None, None),
        ItemEnd::Ended => ("ended", None, None),
        ItemEnd::Abandoned => ("abandoned", None, None),
    };
    serde_json::json!({
        "position": result.position,
        "item": result.item,
        "outcome": outcome,
        "status": status,
        "body": body.and_then(|body| std::str::from_utf8(body).ok()),
        "body_hex": body.filter(|body| std::str::from_utf8(body).is_err()).map(hex),
    })
}
