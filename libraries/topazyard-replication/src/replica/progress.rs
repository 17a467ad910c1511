//! How far a primary's backups and learners are.

use super::WriteTicket;
use topazyard_types::{DurationMs, MonotonicMs, Sequence};
use topazyard_wire::RowChange;
use topazyard_wire::message::control::CoreNode;

/// After how long a comparison that nobody answered is begun again: the other node may not have
/// heard of the epoch yet.
const COMPARISON_RETRY_INTERVAL: DurationMs = DurationMs(40);
/// After how long one whose ranges are being fetched is begun again, besides the time that the
/// ranges sent need on their way.
const FETCH_RETRY_INTERVAL: DurationMs = DurationMs(300);
/// How much of a range goes over a link in a millisecond, at the least: 10 MB a second.
const MIN_BYTES_PER_MS: u64 = 10_000;

/// A comparison that is under way.
#[derive(Debug, Clone)]
pub(super) struct Comparison {
    pub(super) round: u64,
    pub(super) started_at: MonotonicMs,
    /// How many bytes of ranges the other node asked for, if it did.
    pub(super) requested_bytes: Option<u64>,
}

impl Comparison {
    pub(super) fn is_retry_due(&self, now: MonotonicMs) -> bool {
        let timeout = match self.requested_bytes {
            Some(bytes) => DurationMs(FETCH_RETRY_INTERVAL.0 + bytes / MIN_BYTES_PER_MS),
            None => COMPARISON_RETRY_INTERVAL,
        };
        now.since(self.started_at) >= timeout
    }
}

/// Whether a comparison is to be begun, or begun again.
pub(super) fn is_due(comparison: &Option<Comparison>, now: MonotonicMs) -> bool {
    comparison.as_ref().is_none_or(|comparison| comparison.is_retry_due(now))
}

/// A backup, as its primary knows it.
#[derive(Debug, Clone)]
pub(super) struct Backup {
    pub(super) node: CoreNode,
    pub(super) state: BackupState,
    /// The last round that it confirmed in this epoch.
    pub(super) confirmed_round: Option<u64>,
}

/// Whether a backup follows batch by batch.
#[derive(Debug, Clone)]
pub(super) enum BackupState {
    /// Its copy is being compared, since then.
    Comparing(Option<Comparison>, MonotonicMs),
    /// It takes each batch.
    InSync,
}

impl Backup {
    pub(super) fn is_in_sync(&self) -> bool {
        matches!(self.state, BackupState::InSync)
    }

    /// Whether it has said in this epoch that it synced that round.
    pub(super) fn has_synced(&self, round: u64) -> bool {
        self.is_in_sync() && self.confirmed_round == Some(round)
    }

    /// Since when it owes a confirmation, if it does.
    pub(super) fn unconfirmed_since(&self, in_flight: Option<&ChangeBatch>) -> Option<MonotonicMs> {
        match &self.state {
            BackupState::Comparing(_, since) => Some(*since),
            BackupState::InSync => {
                let unconfirmed =
                    in_flight.filter(|batch| self.confirmed_round != Some(batch.round));
                unconfirmed.map(|batch| batch.started_at)
            }
        }
    }
}

/// A node that is being given a copy.
#[derive(Debug, Clone)]
pub(super) struct Learner {
    pub(super) node: CoreNode,
    pub(super) state: LearnerState,
}

/// How far a learner is.
#[derive(Debug, Clone)]
pub(super) enum LearnerState {
    /// It fetches while the primary goes on.
    Fetching(Option<Comparison>),
    /// New batches are held back since then, for the last comparison.
    FinalComparison(Option<Comparison>, MonotonicMs),
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
    pub(super) started_at: MonotonicMs,
    pub(super) sent_at: MonotonicMs,
}
