//! Epochs, sequence numbers, log positions and configuration versions.

crate::number_type!(
    /// The term of a primary and its backups. Messages of a lower epoch are rejected.
    Epoch, u64
);
crate::number_type!(
    /// The sequence number of a change in a copy. It never decreases, not even across epochs.
    Sequence, u64
);
crate::number_type!(
    /// A version of the operators' configuration.
    ConfigurationVersion, u64
);
crate::number_type!(
    /// How often a member has refuted a suspicion about itself.
    Incarnation, u64
);

impl Epoch {
    /// The next epoch.
    ///
    /// ```
    /// assert_eq!(topazyard_types::Epoch(3).next(), topazyard_types::Epoch(4));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Sequence {
    /// The next sequence number.
    ///
    /// ```
    /// assert_eq!(topazyard_types::Sequence(3).next(), topazyard_types::Sequence(4));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A position in the feed of changes. A follower only moves to greater positions.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct LogPosition {
    /// The epoch in which the change was made.
    pub epoch: Epoch,
    /// The sequence number of the change.
    pub sequence: Sequence,
}

impl std::fmt::Display for LogPosition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch, self.sequence)
    }
}
