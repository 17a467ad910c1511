//! Numbered configurations as operators sent and read them, and as relays had them in force.

use super::Micros;
use topazyard_types::Digest;

/// What an operator learned from one attempt to send its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// It was acknowledged.
    Acknowledged,
    /// It was refused.
    Refused,
    /// The outcome is unknown: no response, a lost response or an error of the node.
    Unclear,
}

/// One attempt to send an order.
#[derive(Debug, Clone)]
pub struct OrderAttempt {
    /// The node to which it was sent.
    pub node: String,
    /// When it was sent.
    pub requested_at: Micros,
    /// The response, and when it arrived.
    pub response: Option<(Micros, OrderResponse)>,
}

/// A numbered configuration that an operator ordered.
#[derive(Debug, Clone)]
pub struct OrderRecord {
    /// Its version number.
    pub number: u64,
    /// The version number it is based on.
    pub base: u64,
    /// Its source text, which is unique and returned by reads.
    pub source: bytes::Bytes,
    /// Identifies its content where it is in force; `None` if it is invalid.
    pub fingerprint: Option<Digest>,
    /// The patch that was sent instead of the complete configuration, if any.
    pub patch: Option<String>,
    /// All attempts to send it, in order.
    pub attempts: Vec<OrderAttempt>,
}

impl OrderRecord {
    /// Whether it is valid if no other configuration was applied in between.
    pub fn is_valid(&self) -> bool {
        self.fingerprint.is_some() && self.number > self.base
    }

    /// When it was first sent.
    pub fn sent(&self) -> Micros {
        self.attempts.first().map_or(Micros::MAX, |attempt| attempt.requested_at)
    }

    /// When this response first arrived.
    pub fn first(&self, wanted: OrderResponse) -> Option<Micros> {
        let responses = self.attempts.iter().filter_map(|attempt| attempt.response);
        responses.filter(|(_, response)| *response == wanted).map(|(at, _)| at).min()
    }
}

/// The outcome of a read of the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadBackOutcome {
    /// The source text returned.
    Given(bytes::Bytes),
    /// The response that no configuration is in force.
    Missing,
    /// No response, or one that says nothing about the configuration.
    Unclear,
}

/// A read of the configuration in force.
#[derive(Debug, Clone)]
pub struct ReadBackRecord {
    /// The node to which the request was sent.
    pub node: String,
    /// When the request was sent.
    pub requested_at: Micros,
    /// The outcome, and when the response arrived.
    pub outcome: Option<(Micros, ReadBackOutcome)>,
}

/// A numbered configuration that was in force at a relay for a period.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForceRecord {
    /// The relay.
    pub relay: String,
    /// How often the relay was started.
    pub generation: u64,
    /// The version number reported.
    pub number: u64,
    /// Identifies the content.
    pub fingerprint: Digest,
    /// When it was first observed.
    pub from: Micros,
    /// When it was last observed.
    pub until: Micros,
}
