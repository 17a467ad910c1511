//! Submissions that wait for the next batch.

use super::WriteTicket;
use std::collections::VecDeque;
use topazyard_wire::RowChange;

/// Changes that one ticket stands for; none for a confirmed read.
#[derive(Debug, Clone)]
struct QueuedSubmission {
    ticket: WriteTicket,
    changes: Vec<RowChange>,
}

impl QueuedSubmission {
    fn size(&self) -> usize {
        crate::copy::size_of_changes(&self.changes)
    }
}

/// Submissions in the order in which they came.
#[derive(Debug, Clone, Default)]
pub(super) struct SubmissionQueue(VecDeque<QueuedSubmission>);

impl SubmissionQueue {
    pub(super) fn push(&mut self, ticket: WriteTicket, changes: Vec<RowChange>) {
        self.0.push_back(QueuedSubmission { ticket, changes });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn has_changes(&self) -> bool {
        self.0.iter().any(|submission| !submission.changes.is_empty())
    }

    pub(super) fn tickets(&self) -> impl Iterator<Item = WriteTicket> {
        self.0.iter().map(|submission| submission.ticket)
    }

    /// Takes the next submissions, up to a size of their changes in bytes. A larger one is taken
    /// alone.
    pub(super) fn take_batch(&mut self, max_bytes: usize) -> (Vec<WriteTicket>, Vec<RowChange>) {
        let (mut tickets, mut changes) = (Vec::new(), Vec::new());
        let mut bytes = 0;
        while let Some(next) = self.0.front() {
            let size = next.size();
            if bytes > 0 && bytes + size > max_bytes {
                break;
            }
            bytes += size;
            if let Some(next) = self.0.pop_front() {
                tickets.push(next.ticket);
                changes.extend(next.changes);
            }
        }
        (tickets, changes)
    }
}
