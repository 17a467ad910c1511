//! Outcome counts of client requests.

/// Outcome counts of a run of clients.
#[derive(Debug, Default, Clone, serde::Serialize)]
pub struct Tally {
    /// Prompts sent.
    pub sent: u64,
    /// Complete responses that match the request.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Responses that appear complete but differ from the expected one: that of another request,
    /// altered or truncated.
    pub wrong: u64,
    /// Responses that were visibly interrupted, and requests without a response.
    #[serde(rename = "broken")]
    pub interrupted: u64,
    /// Refused requests by HTTP status.
    pub refused: std::collections::BTreeMap<u16, u64>,
    /// Durations of the complete responses, in milliseconds.
    #[serde(skip)]
    pub took_ms: Vec<u64>,
}

impl Tally {
    /// A percentile of the durations, such as 50 for the median.
    ///
    /// ```
    /// let tally = stand_ins::tally::Tally { took_ms: vec![3, 1, 2], ..Default::default() };
    /// assert_eq!(tally.percentile_ms(50), 2);
    /// ```
    pub fn percentile_ms(&self, percent: usize) -> u64 {
        let mut sorted = self.took_ms.clone();
        sorted.sort_unstable();
        let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or(0)
    }

    /// Adds the counts of another task.
    pub fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.complete += other.complete;
        self.wrong += other.wrong;
        self.interrupted += other.interrupted;
        for (status, count) in other.refused {
            *self.refused.entry(status).or_default() += count;
        }
        self.took_ms.extend(other.took_ms);
    }
}
