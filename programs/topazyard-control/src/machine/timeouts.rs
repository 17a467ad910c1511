//! How long other nodes may be silent, derived from the bounds of the fleet's environment.
//!
//! Safety does not depend on these: a primary acknowledges only what all its replicas have synced,
//! and the witnesses decide which node may be the primary. They only determine how soon a node
//! requests a change.

use topazyard_types::DurationMs;

/// The timeouts of a control node.
#[derive(Debug, Clone)]
pub(crate) struct Timeouts {
    /// Time without a confirmation after which the primary requests other backups. It is shorter
    /// than the backup's timeout, so that of two nodes that can't reach each other the primary acts
    /// first.
    pub(crate) backup: DurationMs,
    /// Time without a message from the primary after which a backup requests to take over.
    pub(crate) primary: DurationMs,
    /// How much longer each further backup waits, so that they don't all act at once.
    pub(crate) per_rank: DurationMs,
    /// Age of an unsynced write at which a primary requests another replica.
    pub(crate) write: DurationMs,
    /// Time after which a silent witness is replaced by a spare control node, well before the next
    /// loss is to be expected.
    pub(crate) witness: DurationMs,
    /// Time after which another learner is tried if one is not in sync.
    pub(crate) learner: DurationMs,
    /// Time without a report after which a storage node that membership also suspects counts as
    /// down.
    pub(crate) suspected_down: DurationMs,
    /// Time without a report after which a storage node counts as down whatever membership says.
    pub(crate) silent_down: DurationMs,
    /// How long a node that is shutting down waits to be replaced.
    pub(crate) leaving: DurationMs,
    /// How long a new primary collects reports before it changes any placement.
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
