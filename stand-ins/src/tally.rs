//! What clients saw, added up.

/// Outcomes of a run of clients.
#[derive(Debug, Default, Clone, serde::Serialize)]
pub struct Tally {
    /// Prompts sent.
    pub sent: u64,
    /// Whole returns that were the engine's own for that body.
    pub whole: u64,
    /// Returns that looked whole and were wrong: another's, altered or short.
    pub wrong: u64,
    /// Returns that visibly broke off.
    pub broken: u64,
    /// Refusals by status.
    pub refused: std::collections::BTreeMap<u16, u64>,
    /// How long whole returns took, in milliseconds.
    #[serde(skip)]
    pub took_ms: Vec<u64>,
}

impl Tally {
    /// A share of the times, such as 50 for the median.
    ///
    /// ```
    /// let tally = stand_ins::tally::Tally { took_ms: vec![3, 1, 2], ..Default::default() };
    /// assert_eq!(tally.percentile_ms(50), 2);
    /// ```
    pub fn percentile_ms(&self, percent: usize) -> u64 {
        let mut sorted = self.took_ms.clone();
        sorted.sort_unstable();
        let at = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(at).copied().unwrap_or(0)
    }

    /// Adds what another task saw.
    pub fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.whole += other.whole;
        self.wrong += other.wrong;
        self.broken += other.broken;
        for (status, count) in other.refused {
            *self.refused.entry(status).or_default() += count;
        }
        self.took_ms.extend(other.took_ms);
    }
}
