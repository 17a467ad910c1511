//! Numbered configurations, as operators sent and read them and as relays had them in force.

use super::Micros;
use topazyard_types::Digest;

/// What an operator learned of one sending of its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// It was acknowledged.
    Acknowledged,
    /// It was refused.
    Refused,
    /// Nothing is known: silence, a lost answer or an error of the node.
    Unclear,
}

/// One sending of an order.
#[derive(Debug, Clone)]
pub struct OrderAttempt {
    /// The node that was asked.
    pub node: String,
    /// When it was sent.
    pub requested_at: Micros,
    /// What came of it, and when.
    pub response: Option<(Micros, OrderResponse)>,
}

/// A numbered configuration that an operator ordered.
#[derive(Debug, Clone)]
pub struct OrderRecord {
    /// Its number.
    pub number: u64,
    /// The number that it builds on.
    pub base: u64,
    /// Its source, as it is read back; no two are alike.
    pub source: bytes::Bytes,
    /// What tells it apart where it is in force; none if it is invalid.
    pub fingerprint: Option<Digest>,
    /// The change that was sent in place of the whole, if it was one.
    pub patch: Option<String>,
    /// Each sending, in order.
    pub attempts: Vec<OrderAttempt>,
}

impl OrderRecord {
    /// Whether it is valid if nothing else came between.
    pub fn is_valid(&self) -> bool {
        self.fingerprint.is_some() && self.number > self.base
    }

    /// When it was first sent.
    pub fn sent(&self) -> Micros {
        self.attempts.first().map_or(Micros::MAX, |attempt| attempt.requested_at)
    }

    /// When it was first answered so.
    pub fn first(&self, wanted: OrderResponse) -> Option<Micros> {
        let responses = self.attempts.iter().filter_map(|attempt| attempt.response);
        responses.filter(|(_, response)| *response == wanted).map(|(at, _)| at).min()
    }
}

/// What a read-back gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadBackOutcome {
    /// This source.
    Given(bytes::Bytes),
    /// That there is none.
    Missing,
    /// Nothing clear.
    Unclear,
}

/// A read-back of the configuration in force.
#[derive(Debug, Clone)]
pub struct ReadBackRecord {
    /// The node that was asked.
    pub node: String,
    /// When it was asked.
    pub requested_at: Micros,
    /// What came of it, and when.
    pub outcome: Option<(Micros, ReadBackOutcome)>,
}

/// A configuration that a relay had in force for a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForceRecord {
    /// The relay.
    pub relay: String,
    /// The relay's life: it rises with each start.
    pub generation: u64,
    /// The number that it gave.
    pub number: u64,
    /// The content that it had.
    pub fingerprint: Digest,
    /// From when it was seen.
    pub from: Micros,
    /// When it was last seen.
    pub until: Micros,
}
