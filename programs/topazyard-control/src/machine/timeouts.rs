//! How long others may be silent, from the bounds of the place that the fleet runs at.
//!
//! None of these decides what is true: a primary answers only what all its copies have synced, and the
//! witnesses decide who may lead. They only decide how soon somebody asks.

use topazyard_types::DurationMs;

/// How long each may be silent.
#[derive(Debug, Clone)]
pub(crate) struct Timeouts {
    /// After how long without a confirmation the primary asks for other backups. It is shorter
    /// than the backup's timeout, so that of two that don't hear each other the primary asks.
    pub(crate) backup: DurationMs,
    /// After how long without a word the backup asks to take over.
    pub(crate) primary: DurationMs,
    /// How much longer each further backup waits, so that one is ahead of the others.
    pub(crate) per_rank: DurationMs,
    /// After how long a write that is not synced makes a primary ask for another replica.
    pub(crate) write: DurationMs,
    /// After how long a silent witness is exchanged for a spare core node: well before the next
    /// loss may come.
    pub(crate) witness: DurationMs,
    /// After how long without a learner in step another is tried.
    pub(crate) learner: DurationMs,
    /// After how long without a word a storage node that the membership doubts too counts as down.
    pub(crate) suspected_down: DurationMs,
    /// After how long without a word it counts as down whatever the membership says.
    pub(crate) silent_down: DurationMs,
    /// How long a node that is about to end waits until others stand in its place.
    pub(crate) leaving: DurationMs,
    /// How long a primary listens before it places anything.
    pub(crate) settle: DurationMs,
}

impl Timeouts {
    pub(crate) fn from_bounds(bounds: &topazyard_spec::Bounds) -> Self {
        let contact = |percent: u64| DurationMs(bounds.contact.0 * percent / 100);
        Self {
            backup: contact(20),
            primary: contact(27),
            per_rank: contact(10),
            write: contact(35),
            witness: DurationMs(bounds.catch_up.0 / 2),
            learner: contact(50),
            suspected_down: contact(40),
            silent_down: contact(100),
            leaving: contact(35),
            settle: contact(35),
        }
    }
}
