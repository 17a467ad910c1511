//! A shard hosted at this node.

use crate::batches::Batches;
use crate::counter::Counter;
use topazyard_replication::{Replica, Uncommitted, WriteTicket};
use topazyard_types::{BatchId, Epoch, MonotonicMs, NodeId, Sequence, Tokens};
use topazyard_wire::message::batch::{BatchResponse, Item};
use topazyard_wire::message::control::ShardChangeRequest;
use topazyard_wire::message::counter::CounterBody;

/// Time without a backup's confirmation after which a primary polls control quickly.
const CONTROL_POLL_DELAY: topazyard_types::DurationMs = topazyard_types::DurationMs(200);

/// The state with which a shard's primary serves calls.
#[derive(Debug)]
pub(crate) enum ServingState {
    /// This node does not serve the shard.
    None,
    /// The token counter.
    Counter(Counter),
    /// The shard's batches.
    Batches(Batches),
}

/// A shard's replica at this node, and the primary's state.
#[derive(Debug)]
pub(crate) struct Hosted {
    pub(crate) replica: Replica,
    pub(crate) serving_state: ServingState,
    pub(crate) waiters: std::collections::BTreeMap<WriteTicket, CommitWaiter>,
    pub(crate) last_ticket: WriteTicket,
    /// The requested change of the record, and when the request was last sent; no time while this
    /// node's stop is still being synced.
    pub(crate) change_request: Option<(ShardChangeRequest, Option<MonotonicMs>)>,
    pub(crate) pending_submissions: PendingSubmissions,
    /// Submissions that were refused here: a delayed frame of one must not be accepted later.
    pub(crate) refused_submissions: std::collections::VecDeque<(NodeId, u64)>,
    /// Callers that were refused, to be told once this node serves the shard.
    pub(crate) waiting_callers: std::collections::BTreeSet<std::net::SocketAddr>,
    /// Reads that wait for control to confirm that this copy's record is current.
    pub(crate) replica_reads: Vec<ReplicaRead>,
    /// The epoch that a quorum read of control last confirmed, and when that was requested.
    pub(crate) record_confirmed: Option<(Epoch, MonotonicMs)>,
    /// The sequences that the other backups reported as synced in this epoch.
    pub(crate) synced_by: std::collections::BTreeMap<NodeId, Sequence>,
}

/// A read to be answered from this copy, although this node may not be the primary.
#[derive(Debug)]
pub(crate) struct ReplicaRead {
    pub(crate) caller: BatchCaller,
    pub(crate) response: PendingResponse,
    pub(crate) received_at: MonotonicMs,
}

/// Who awaits the commit of a write ticket.
#[derive(Debug)]
pub(crate) enum CommitWaiter {
    /// Nobody.
    Nobody,
    /// A relay or shard primary that called the counter, and the response.
    Counter(std::net::SocketAddr, CounterBody),
    /// A relay that called a batch shard, and the response.
    Batch(BatchCaller, PendingResponse),
}

/// Where to send the response to a relay's batch call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BatchCaller {
    pub(crate) to: std::net::SocketAddr,
    pub(crate) call: u64,
}

/// The response to a relay's call, resolved once its write ticket is committed.
#[derive(Debug, Clone)]
pub(crate) enum PendingResponse {
    /// Already known.
    Ready(BatchResponse),
    /// The batch's status; true if as the response to a submission.
    Status(BatchId, bool),
    /// A batch's results after a position.
    Results(BatchId, u32),
    /// A routed batch's results after a position.
    RoutedResults(BatchId, u32),
    /// The body of a batch's item.
    Body(BatchId, String),
}

/// Submissions that wait for capacity below the ceiling; one request is open at a time.
#[derive(Debug, Default)]
pub(crate) struct PendingSubmissions {
    pub(crate) queue: std::collections::VecDeque<Submission>,
    /// The report that requests capacity for the first submission, and when it was sent.
    pub(crate) requested: Option<(u64, MonotonicMs)>,
    pub(crate) last_number: u64,
    pub(crate) last_report: MonotonicMs,
}

#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) caller: BatchCaller,
    pub(crate) batch: BatchId,
    pub(crate) items: Vec<Item>,
    pub(crate) ceiling: Tokens,
    pub(crate) received_at: MonotonicMs,
    /// When its relay last sent it.
    pub(crate) last_heard: MonotonicMs,
}

impl Hosted {
    pub(crate) fn new(replica: Replica) -> Self {
        Self {
            replica,
            serving_state: ServingState::None,
            waiters: std::collections::BTreeMap::new(),
            last_ticket: 0,
            change_request: None,
            pending_submissions: PendingSubmissions::default(),
            refused_submissions: std::collections::VecDeque::new(),
            waiting_callers: std::collections::BTreeSet::new(),
            replica_reads: Vec::new(),
            record_confirmed: None,
            synced_by: std::collections::BTreeMap::new(),
        }
    }

    /// Number of calls that await a commit.
    pub(crate) fn calls_waiting(&self) -> usize {
        self.waiters.values().filter(|waiter| !matches!(waiter, CommitWaiter::Nobody)).count()
    }

    /// The calls from an address that await a commit.
    pub(crate) fn pending_calls_of(&self, from: std::net::SocketAddr) -> Vec<u64> {
        let call_of = |waiter: &CommitWaiter| match waiter {
            CommitWaiter::Batch(caller, _) if caller.to == from => Some(caller.call),
            _ => None,
        };
        self.waiters.values().filter_map(call_of).collect()
    }

    pub(crate) fn counter(&self) -> Option<&Counter> {
        match &self.serving_state {
            ServingState::Counter(counter) => Some(counter),
            _ => None,
        }
    }

    pub(crate) fn batches(&self) -> Option<&Batches> {
        match &self.serving_state {
            ServingState::Batches(batches) => Some(batches),
            _ => None,
        }
    }

    /// Submits changes for replication; `waiter` is notified when they are committed.
    pub(crate) fn submit(&mut self, changes: Vec<topazyard_wire::RowChange>, waiter: CommitWaiter) {
        self.last_ticket += 1;
        if self.replica.submit(self.last_ticket, changes) {
            self.waiters.insert(self.last_ticket, waiter);
        }
    }

    /// Whether something here waits for the next update from control.
    pub(crate) fn waits_for_control(&self, now: MonotonicMs) -> bool {
        let late = |since| now.since(since) >= CONTROL_POLL_DELAY;
        let unsettled = self.replica.is_primary() && !self.replica.is_serving();
        let unsettled = unsettled || self.replica.backup_silent_since().is_some_and(late);
        self.change_request.is_some() || unsettled || !self.replica_reads.is_empty()
    }

    /// When the latest request was sent whose response confirmed this copy's record as current.
    pub(crate) fn confirmed_at(&self, by_feed: Option<MonotonicMs>) -> Option<MonotonicMs> {
        let by_quorum = self.record_confirmed.filter(|(epoch, _)| *epoch == self.replica.epoch());
        by_feed.max(by_quorum.map(|(_, at)| at))
    }

    /// Whether all these nodes reported that they have synced what this replica holds.
    pub(crate) fn all_have_synced(&self, mut nodes: impl Iterator<Item = NodeId>) -> bool {
        let sequence = self.replica.copy().position().sequence;
        nodes.all(|id| self.synced_by.get(&id).is_some_and(|synced| *synced >= sequence))
    }

    /// Whether this node is a backup in sync in the epoch and has synced its copy up to the
    /// sequence.
    pub(crate) fn has_synced(&self, epoch: Epoch, sequence: Sequence) -> bool {
        let in_sync = self.replica.epoch() == epoch && self.replica.was_in_sync();
        let is_complete = self.replica.uncommitted() != Uncommitted::All;
        in_sync
            && is_complete
            && self.replica.is_synced()
            && self.replica.copy().position().sequence >= sequence
    }

    /// Whether this node serves as the primary in the epoch.
    pub(crate) fn is_serving_in(&self, epoch: Epoch) -> bool {
        self.replica.epoch() == epoch
            && self.replica.is_serving()
            && !matches!(self.serving_state, ServingState::None)
    }
}
