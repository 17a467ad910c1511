//! Reading a prompt: its body goes on byte for byte, so that facts about it are headers.

use topazyard_types::{DurationMs, ModelName, Tokens};
use topazyard_wire::api::{ApiError, Code};

/// The largest prompt taken, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// How long a client waits that doesn't say.
const DEFAULT_WAIT: DurationMs = DurationMs(30_000);
/// The longest wait that is believed.
const LONGEST_WAIT_MS: u64 = 600_000;

/// What a prompt's headers and body say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptMetadata {
    /// The model it wants.
    pub model: ModelName,
    /// Its estimated cost.
    pub cost: Tokens,
    /// How long its client waits.
    pub timeout: DurationMs,
    /// The shared prefix parts it is built from, in order.
    pub prefix: Vec<String>,
    /// Whether it may run again.
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

fn truth(head: &hyper::HeaderMap, name: &str) -> Result<bool, ApiError> {
    match header(head, name)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(ApiError::not_run(Code::Malformed).at(name)),
    }
}

/// The cost of a body in the text-generation form.
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
/// A body that is not of that form.
pub fn estimate_cost(body: &[u8], declared: Option<Tokens>) -> Result<Tokens, ApiError> {
    let prompt: PromptBody<'_> = serde_json::from_slice(body).map_err(|error| {
        let message = error.to_string();
        ApiError { message, ..ApiError::not_run(Code::Malformed).at("body") }
    })?;
    let new_tokens = prompt.parameters.and_then(|parameters| parameters.max_new_tokens);
    Ok(Tokens::estimate(&prompt.inputs, declared, new_tokens.map(Tokens)))
}

/// Reads a prompt's headers and body.
///
/// # Errors
/// The first part that is malformed, by name.
pub fn parse(head: &hyper::HeaderMap, body: &[u8]) -> Result<PromptMetadata, ApiError> {
    let model = header(head, "Topazyard-Model")?.filter(|model| !model.is_empty());
    let model = model.ok_or_else(|| ApiError::not_run(Code::Malformed).at("Topazyard-Model"))?;
    let declared = number(head, "Topazyard-Token-Count")?.map(Tokens);
    let wait_ms = number(head, "Topazyard-Time-Remaining")?.unwrap_or(DEFAULT_WAIT.0);
    let prefix = header(head, "Topazyard-Prefix")?.unwrap_or("");
    Ok(PromptMetadata {
        model: model.into(),
        cost: estimate_cost(body, declared)?,
        timeout: DurationMs(wait_ms.min(LONGEST_WAIT_MS)),
        prefix: prefix
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(str::to_owned)
            .collect(),
        repeatable: truth(head, "Topazyard-Repeatable")?,
    })
}
