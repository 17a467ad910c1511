//! The progress of a primary's backups and learners.

use super::WriteTicket;
use topazyard_types::{DurationMs, MonotonicMs, Sequence};
use topazyard_wire::RowChange;
use topazyard_wire::message::control::CoreNode;

/// Time without a response after which a comparison starts again: the other node may not have
/// learned of the epoch yet.
const COMPARISON_RETRY_INTERVAL: DurationMs = DurationMs(40);
/// Time after which a comparison whose ranges are being fetched starts again, in addition to the
/// transfer time of the ranges.
const FETCH_RETRY_INTERVAL: DurationMs = DurationMs(300);
/// Minimum assumed throughput of a link, in bytes per millisecond: 10 MB/s.
const MIN_BYTES_PER_MS: u64 = 10_000;

/// A comparison in progress.
#[derive(Debug, Clone)]
pub(super) struct Comparison {
    pub(super) round: u64,
    pub(super) started_at: MonotonicMs,
    /// Size of the ranges that the other node requested, once it has.
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

/// Whether a comparison is to be started or restarted.
pub(super) fn is_due(comparison: &Option<Comparison>, now: MonotonicMs) -> bool {
    comparison.as_ref().is_none_or(|comparison| comparison.is_retry_due(now))
}

/// What the primary knows of a backup.
#[derive(Debug, Clone)]
pub(super) struct Backup {
    pub(super) node: CoreNode,
    pub(super) state: BackupState,
    /// The last round that the backup confirmed in this epoch.
    pub(super) confirmed_round: Option<u64>,
}

/// Whether a backup receives batches.
#[derive(Debug, Clone)]
pub(super) enum BackupState {
    /// Its copy has been under comparison since that time.
    Comparing(Option<Comparison>, MonotonicMs),
    /// It receives each batch.
    InSync,
}

impl Backup {
    pub(super) fn is_in_sync(&self) -> bool {
        matches!(self.state, BackupState::InSync)
    }

    /// Whether the backup has confirmed in this epoch that it synced the given round.
    pub(super) fn has_synced(&self, round: u64) -> bool {
        self.is_in_sync() && self.confirmed_round == Some(round)
    }

    /// Since when a confirmation of the backup is missing, if it is.
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

/// A node that is being filled to become a backup.
#[derive(Debug, Clone)]
pub(super) struct Learner {
    pub(super) node: CoreNode,
    pub(super) state: LearnerState,
}

/// The progress of a learner.
#[derive(Debug, Clone)]
pub(super) enum LearnerState {
    /// It fetches ranges while the primary goes on committing.
    Fetching(Option<Comparison>),
    /// New batches have been paused since that time for the final comparison.
    FinalComparison(Option<Comparison>, MonotonicMs),
    /// It is filled, and new batches have been paused since that time.
    Ready(MonotonicMs),
}

/// A batch that is being synced on all copies.
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
