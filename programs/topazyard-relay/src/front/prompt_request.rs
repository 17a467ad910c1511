//! Parsing of prompts on model routes. The body is forwarded byte for byte, so metadata is in
//! headers.

use topazyard_types::{DurationMs, ModelName, Tokens};
use topazyard_wire::api::{ApiError, Code};

/// Maximum size of a prompt's body.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The timeout of a request that states none.
const DEFAULT_TIMEOUT: DurationMs = DurationMs(30_000);
/// Upper limit for the stated timeout.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// The metadata in a prompt's headers and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptMetadata {
    /// The requested model.
    pub model: ModelName,
    /// The estimated cost.
    pub cost: Tokens,
    /// How long the client waits.
    pub timeout: DurationMs,
    /// The shared prefix parts that the prompt is built from, in order.
    pub prefix: Vec<String>,
    /// Whether the prompt may run more than once.
    pub repeatable: bool,
}

#[derive(serde::Deserialize)]
struct PromptBody<'a> {
    #[serde(borrow)]
    inputs: std::borrow::Cow<'a, str>,
    #[serde(default)]
    parameters: Option<Parameters>,
}

#[derive(serde::Deserialize)]
struct Parameters {
    #[serde(default)]
    max_new_tokens: Option<u64>,
}

fn header<'a>(head: &'a hyper::HeaderMap, name: &str) -> Result<Option<&'a str>, ApiError> {
    let Some(value) = head.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| ApiError::not_run(Code::Malformed).at(name))?;
    Ok(Some(text.trim()))
}

fn number(head: &hyper::HeaderMap, name: &str) -> Result<Option<u64>, ApiError> {
    let malformed = |_| ApiError::not_run(Code::Malformed).at(name);
    header(head, name)?.map(|text| text.parse().map_err(malformed)).transpose()
}

fn boolean(head: &hyper::HeaderMap, name: &str) -> Result<bool, ApiError> {
    match header(head, name)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(ApiError::not_run(Code::Malformed).at(name)),
    }
}

/// Estimates the cost of a body in the text-generation format.
///
/// ```
/// use topazyard_relay::front::prompt_request::estimate_cost;
/// use topazyard_types::Tokens;
/// let body = br#"{"inputs":"is this cue late","parameters":{"max_new_tokens":10}}"#;
/// assert_eq!(estimate_cost(body, None), Ok(Tokens(15)));
/// assert!(estimate_cost(b"{}", None).is_err());
/// ```
///
/// # Errors
/// The body is not in that format.
pub fn estimate_cost(body: &[u8], stated: Option<Tokens>) -> Result<Tokens, ApiError> {
    let prompt: PromptBody<'_> = serde_json::from_slice(body).map_err(|error| {
        let message = error.to_string();
        ApiError { message, ..ApiError::not_run(Code::Malformed).at("body") }
    })?;
    let new_tokens = prompt.parameters.and_then(|parameters| parameters.max_new_tokens);
    Ok(Tokens::estimate(&prompt.inputs, stated, new_tokens.map(Tokens)))
}

/// Parses a prompt's headers and body.
///
/// # Errors
/// The first malformed header or the body, by name.
pub fn parse(head: &hyper::HeaderMap, body: &[u8]) -> Result<PromptMetadata, ApiError> {
    let model = header(head, "Topazyard-Model")?.filter(|model| !model.is_empty());
    let model = model.ok_or_else(|| ApiError::not_run(Code::Malformed).at("Topazyard-Model"))?;
    let stated = number(head, "Topazyard-Token-Count")?.map(Tokens);
    let timeout_ms = number(head, "Topazyard-Time-Remaining")?.unwrap_or(DEFAULT_TIMEOUT.0);
    let prefix = header(head, "Topazyard-Prefix")?.unwrap_or("");
    Ok(PromptMetadata {
        model: model.into(),
        cost: estimate_cost(body, stated)?,
        timeout: DurationMs(timeout_ms.min(MAX_TIMEOUT_MS)),
        prefix: prefix
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(str::to_owned)
            .collect(),
        repeatable: boolean(head, "Topazyard-Repeatable")?,
    })
}
