//! Batch calls.

use super::Handle;
use crate::machine::{RelayCall, RelayResponse};
use topazyard_types::{BatchId, DurationMs, ItemNumber, ModelName, Tokens};
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::http::Body;
use topazyard_wire::message::batch::{
    BatchCall, BatchResponse, BatchStatus, Item, ItemEnd, ItemResult,
};

/// The largest batch taken, in bytes.
const MOST_BYTES: usize = 16 * 1024 * 1024;
const LIMIT: DurationMs = DurationMs(5_000);

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

/// Serves a call on batches.
///
/// # Errors
/// The error that the client gets.
pub async fn serve(
    handle: Handle,
    head: &hyper::http::request::Parts,
    body: hyper::body::Incoming,
) -> Result<hyper::Response<Body>, ApiError> {
    let body = topazyard_wire::http::inbound::read_body(body, MOST_BYTES).await?;
    let parts: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
    let call = match (head.method.as_str(), &parts[1..]) {
        ("POST", []) => {
            let batch = id_for(&head.headers)?;
            let items = parse_items(&body)?;
            return answer(handle.call(RelayCall::SubmitBatch(batch, items)).await);
        }
        ("GET", [id]) => BatchCall::Read(batch_of(id)?),
        ("GET", [id, "returns"]) => {
            BatchCall::ItemResults { batch: batch_of(id)?, after: after_of(head.uri.query())? }
        }
        ("POST", [id, "items", item, "recall"]) => {
            let malformed = |_| ApiError::not_run(Code::Malformed).at("item");
            BatchCall::Recall(batch_of(id)?, ItemNumber(item.parse().map_err(malformed)?))
        }
        ("DELETE", [id]) => BatchCall::End(batch_of(id)?),
        _ => return Err(ApiError::not_run(Code::NoSuchPath).at(head.uri.path())),
    };
    answer(handle.call(RelayCall::Batch(call, LIMIT)).await)
}

fn batch_of(text: &str) -> Result<BatchId, ApiError> {
    text.parse().map_err(|_| ApiError::not_run(Code::NotFound).at("batch"))
}

fn after_of(query: Option<&str>) -> Result<u32, ApiError> {
    let Some(query) = query else { return Ok(0) };
    let after = query.split('&').find_map(|replica| replica.strip_prefix("after="));
    let malformed = |_| ApiError::not_run(Code::Malformed).at("after");
    after.map_or(Ok(0), |text| text.parse().map_err(malformed))
}

/// The batch's id: made from the idempotency key, or from one that nobody else has.
fn id_for(headers: &hyper::HeaderMap) -> Result<BatchId, ApiError> {
    let name = "Idempotency-Key";
    let Some(value) = headers.get(name) else {
        return Ok(BatchId::from_key(&format!("{:032x}", rand::random::<u128>())));
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= 256 => Ok(BatchId::from_key(key)),
        _ => Err(ApiError::not_run(Code::Malformed).at(name)),
    }
}

/// The items of a batch as it is handed in.
///
/// ```
/// let items = topazyard_relay::front::batches::parse_items(
///     br#"{"items":[{"model":"m","body":{"inputs":"one two"}}]}"#).unwrap();
/// assert_eq!(items[0].body.as_ref(), br#"{"inputs":"one two"}"#);
/// assert!(!items[0].repeatable);
/// ```
///
/// # Errors
/// The field at fault.
pub fn parse_items(body: &[u8]) -> Result<Vec<Item>, ApiError> {
    let batch: BatchBody<'_> = serde_json::from_slice(body).map_err(|error| {
        let place = format!("line {} column {}", error.line(), error.column());
        ApiError { message: error.to_string(), ..ApiError::not_run(Code::Malformed).at(place) }
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

fn answer(
    outcome: Result<RelayResponse, topazyard_wire::driver::CallError>,
) -> Result<hyper::Response<Body>, ApiError> {
    match outcome {
        Ok(RelayResponse::Batch(value)) => shown(value),
        Ok(RelayResponse::Refused(error)) => Err(error),
        _ => Err(ApiError::may_have_run(Code::OutcomeUnknown)),
    }
}

fn shown(value: BatchResponse) -> Result<hyper::Response<Body>, ApiError> {
    use topazyard_wire::http::json;
    match value {
        BatchResponse::Accepted(standing) => Ok(json(201, &shown_standing(&standing))),
        BatchResponse::Status(standing) => Ok(json(200, &shown_standing(&standing))),
        BatchResponse::ItemResults(returns) => {
            let shown: Vec<_> = returns.iter().map(shown_return).collect();
            Ok(json(200, &serde_json::json!({ "returns": shown })))
        }
        BatchResponse::Recalled => Ok(json(200, &serde_json::json!({ "recalled": true }))),
        BatchResponse::TooLate { returned } => {
            let state = if returned { "returned" } else { "started" };
            Ok(json(200, &serde_json::json!({ "recalled": false, "item": state })))
        }
        BatchResponse::Unknown => Err(ApiError::not_run(Code::NotFound).at("batch")),
        BatchResponse::CeilingReached => Err(ApiError::not_run(Code::BatchCeiling)),
        BatchResponse::Leased(_)
        | BatchResponse::RoutedResults { .. }
        | BatchResponse::Body(_)
        | BatchResponse::MayStart(_)
        | BatchResponse::Acknowledged
        | BatchResponse::NotPrimary => Err(ApiError::not_run(Code::NoShard)),
    }
}

fn shown_standing(standing: &BatchStatus) -> serde_json::Value {
    serde_json::json!({
        "batch": standing.batch.to_string(),
        "items": standing.items,
        "returned": standing.returned,
        "waiting": standing.waiting,
        "running": standing.running,
        "ended": standing.ended,
    })
}

fn hex(body: &bytes::Bytes) -> String {
    body.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn shown_return(item_return: &ItemResult) -> serde_json::Value {
    let (outcome, status, body) = match &item_return.end {
        ItemEnd::Complete { status, body } => ("whole", Some(*status), Some(body)),
        ItemEnd::OutcomeUnknown => ("outcome_unknown", None, None),
        ItemEnd::Recalled => ("recalled", None, None),
        ItemEnd::Ended => ("ended", None, None),
        ItemEnd::Abandoned => ("abandoned", None, None),
    };
    serde_json::json!({
        "position": item_return.position,
        "item": item_return.item,
        "outcome": outcome,
        "status": status,
        "body": body.and_then(|body| std::str::from_utf8(body).ok()),
        "body_hex": body.filter(|body| std::str::from_utf8(body).is_err()).map(hex),
    })
}
