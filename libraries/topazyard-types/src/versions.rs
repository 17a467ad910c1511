//! Epochs, sequences, places in the feed and versions of specs.

crate::number_type!(
    /// A term of a primary and its backup. Nothing of a lower epoch is accepted.
    Epoch, u64
);
crate::number_type!(
    /// The number of a change within a copy; it never falls, over epochs too.
    Sequence, u64
);
crate::number_type!(
    /// A version of the operators' bundle.
    ConfigurationVersion, u64
);
crate::number_type!(
    /// A member's own count of how often it had to refute a suspicion.
    Incarnation, u64
);

impl Epoch {
    /// The epoch that follows.
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
    /// The sequence that follows.
    ///
    /// ```
    /// assert_eq!(topazyard_types::Sequence(3).next(), topazyard_types::Sequence(4));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A place in the numbered feed; a follower only ever moves to a greater one.
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
    /// Its number.
    pub sequence: Sequence,
}

impl std::fmt::Display for LogPosition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch, self.sequence)
    }
}
