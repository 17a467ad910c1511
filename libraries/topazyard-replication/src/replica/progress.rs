//! The progress of a primary's backups and learners.

use super::WriteTicket;
use super::transfer::Transfer;
use topazyard_types::{DurationMs, MonotonicMs, Sequence};
use topazyard_wire::RowChange;
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::replica::RangePart;

/// Time without a response after which the digests are sent again: the other node may not have
/// learned of the epoch yet.
const COMPARISON_RETRY_INTERVAL: DurationMs = DurationMs(40);
/// Time without progress after which a transfer counts as stalled, and the digests are sent again.
const TRANSFER_STALL_TIMEOUT: DurationMs = DurationMs(300);

/// A comparison in progress.
///
/// Each transmission of the digests has a round of its own. A response to any of them counts: it may
/// be under way for longer than the retry interval, and then none would ever answer the newest.
#[derive(Debug, Clone)]
pub(super) struct Comparison {
    first_round: u64,
    last_round: u64,
    sent_at: MonotonicMs,
    pub(super) transfer: Transfer,
}

impl Comparison {
    /// Starts a comparison with its first round, or continues one with its next round.
    pub(super) fn next(previous: Option<Self>, round: u64, now: MonotonicMs) -> Self {
        match previous {
            Some(previous) => Self { last_round: round, sent_at: now, ..previous },
            None => Self {
                first_round: round,
                last_round: round,
                sent_at: now,
                transfer: Transfer::default(),
            },
        }
    }

    /// Whether a response with this round belongs to the comparison.
    pub(super) fn includes(&self, round: u64) -> bool {
        (self.first_round..=self.last_round).contains(&round)
    }

    /// The parts that may be sent now.
    pub(super) fn next_parts(&mut self) -> Vec<RangePart> {
        std::iter::from_fn(|| self.transfer.next_part(self.last_round)).collect()
    }

    fn is_retry_due(&self, now: MonotonicMs) -> bool {
        if self.transfer.is_active() {
            return now.since(self.transfer.last_progress().max(self.sent_at))
                >= TRANSFER_STALL_TIMEOUT;
        }
        now.since(self.sent_at) >= COMPARISON_RETRY_INTERVAL
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
    /// Its comparison in progress.
    pub(super) fn comparison(&mut self) -> Option<&mut Comparison> {
        match &mut self.state {
            BackupState::Comparing(comparison, _) => comparison.as_mut(),
            BackupState::InSync => None,
        }
    }

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

impl Learner {
    /// Its comparison in progress.
    pub(super) fn comparison(&mut self) -> Option<&mut Comparison> {
        match &mut self.state {
            LearnerState::Fetching(comparison) | LearnerState::FinalComparison(comparison, _) => {
                comparison.as_mut()
            }
            LearnerState::Ready(_) => None,
        }
    }
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
    pub(super) checked_at: MonotonicMs,
}
