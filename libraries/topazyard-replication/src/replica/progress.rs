//! How far a primary's backups and learners are.

use super::WriteTicket;
use topazyard_types::{DurationMs, MonotonicMs, Sequence};
use topazyard_wire::RowChange;
use topazyard_wire::message::control::CoreNode;

/// After how long a comparison that nobody answered is begun again: the other node may not have
/// heard of the epoch yet.
const COMPARE_AGAIN: DurationMs = DurationMs(40);
/// After how long one whose ranges are being fetched is begun again, besides the time that the
/// ranges sent need on their way.
const FETCH_AGAIN: DurationMs = DurationMs(300);
/// How much of a range goes over a link in a millisecond, at the least: 10 MB a second.
const BYTES_PER_MS: u64 = 10_000;

/// A comparison that is under way.
#[derive(Debug, Clone)]
pub(super) struct Comparison {
    pub(super) round: u64,
    pub(super) begun: MonotonicMs,
    /// How many bytes of ranges the other node asked for, if it did.
    pub(super) fetches: Option<u64>,
}

impl Comparison {
    pub(super) fn is_due_again(&self, now: MonotonicMs) -> bool {
        let timeout = match self.fetches {
            Some(bytes) => DurationMs(FETCH_AGAIN.0 + bytes / BYTES_PER_MS),
            None => COMPARE_AGAIN,
        };
        now.since(self.begun) >= timeout
    }
}

/// Whether a comparison is to be begun, or begun again.
pub(super) fn is_due(comparison: &Option<Comparison>, now: MonotonicMs) -> bool {
    comparison.as_ref().is_none_or(|comparison| comparison.is_due_again(now))
}

/// A backup, as its primary knows it.
#[derive(Debug, Clone)]
pub(super) struct Backup {
    pub(super) node: CoreNode,
    pub(super) state: BackupState,
    /// The last round that it confirmed in this epoch.
    pub(super) confirmed: Option<u64>,
}

/// Whether a backup follows batch by batch.
#[derive(Debug, Clone)]
pub(super) enum BackupState {
    /// Its copy is being compared, since then.
    Comparing(Option<Comparison>, MonotonicMs),
    /// It takes each batch.
    InStep,
}

impl Backup {
    pub(super) fn is_in_step(&self) -> bool {
        matches!(self.state, BackupState::InStep)
    }

    /// Whether it has said in this epoch that it synced that round.
    pub(super) fn has_synced(&self, round: u64) -> bool {
        self.is_in_step() && self.confirmed == Some(round)
    }

    /// Since when it owes a confirmation, if it does.
    pub(super) fn owes_since(&self, under_way: Option<&ChangeBatch>) -> Option<MonotonicMs> {
        match &self.state {
            BackupState::Comparing(_, since) => Some(*since),
            BackupState::InStep => {
                let owed = under_way.filter(|batch| self.confirmed != Some(batch.round));
                owed.map(|batch| batch.begun)
            }
        }
    }
}

/// A node that is being given a copy.
#[derive(Debug, Clone)]
pub(super) struct Learner {
    pub(super) node: CoreNode,
    pub(super) learning: Learning,
}

/// How far a learner is.
#[derive(Debug, Clone)]
pub(super) enum Learning {
    /// It fetches while the primary goes on.
    Fetching(Option<Comparison>),
    /// New batches are held back since then, for the last comparison.
    LastRound(Option<Comparison>, MonotonicMs),
    /// It holds everything, and new batches are held back since then.
    Ready(MonotonicMs),
}

/// A batch that is being synced on every copy.
#[derive(Debug, Clone)]
pub(super) struct ChangeBatch {
    pub(super) round: u64,
    pub(super) sequence: Sequence,
    pub(super) changes: Vec<RowChange>,
    pub(super) tickets: Vec<WriteTicket>,
    pub(super) write: Option<u64>,
    pub(super) begun: MonotonicMs,
    pub(super) sent: MonotonicMs,
}
