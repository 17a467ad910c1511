//! One shard's copy at this node.

use crate::batches::Batches;
use crate::counter::Counter;
use topazyard_replication::{Replica, Uncommitted, WriteTicket};
use topazyard_types::{BatchId, Epoch, MonotonicMs, NodeId, Sequence, Tokens};
use topazyard_wire::message::batch::{BatchResponse, Item};
use topazyard_wire::message::control::ShardChangeRequest;
use topazyard_wire::message::counter::CounterBody;

/// After how long without its backup's confirmation a primary wants to know what control says.
const BACKUP_LATE: topazyard_types::DurationMs = topazyard_types::DurationMs(200);

/// What a shard's primary works with.
#[derive(Debug)]
pub(crate) enum Work {
    /// It is not serving.
    None,
    /// The counter.
    Counter(Counter),
    /// Batches.
    Batches(Batches),
}

/// A shard's copy, and what its primary works with.
#[derive(Debug)]
pub(crate) struct Hosted {
    pub(crate) replica: Replica,
    pub(crate) work: Work,
    pub(crate) waiting: std::collections::BTreeMap<WriteTicket, Waiting>,
    pub(crate) last_ticket: WriteTicket,
    /// A wish for another record, with when it was last sent; none while it is being synced.
    pub(crate) wish: Option<(ShardChangeRequest, Option<MonotonicMs>)>,
    pub(crate) raising: Raising,
    /// Submissions of batches that were refused here: a late frame of one must not be taken.
    pub(crate) refused: std::collections::VecDeque<(NodeId, u64)>,
    /// Reads asked aside, until control confirms that this copy still counts.
    pub(crate) asides: Vec<Aside>,
    /// The record that a quorum read of control confirmed last, with when it was asked for.
    pub(crate) record_confirmed: Option<(Epoch, MonotonicMs)>,
    /// What the other backups said they have synced in this epoch.
    pub(crate) synced_by: std::collections::BTreeMap<NodeId, Sequence>,
}

/// A read asked aside.
#[derive(Debug)]
pub(crate) struct Aside {
    pub(crate) caller: BatchCaller,
    pub(crate) answer: BatchAnswer,
    pub(crate) since: MonotonicMs,
}

/// Who waits for a ticket.
#[derive(Debug)]
pub(crate) enum Waiting {
    /// Nobody.
    Nobody,
    /// A relay or a shard primary that asked the counter.
    Counter(std::net::SocketAddr, CounterBody),
    /// A relay that asked about batches.
    Batch(BatchCaller, BatchAnswer),
}

/// A relay's call on batches.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BatchCaller {
    pub(crate) to: std::net::SocketAddr,
    pub(crate) call: u64,
}

/// What a relay's call returns once its ticket is committed.
#[derive(Debug, Clone)]
pub(crate) enum BatchAnswer {
    /// This.
    Ready(BatchResponse),
    /// How the batch stands then; as accepted, or as read.
    Standing(BatchId, bool),
    /// Its returns after a position.
    Returns(BatchId, u32),
    /// A batch's results after a position.
    Results(BatchId, u32),
    /// The body of a batch's item.
    Body(BatchId, String),
}

/// Submissions that wait for room below the ceiling, one asked for at a time.
#[derive(Debug, Default)]
pub(crate) struct Raising {
    pub(crate) queue: std::collections::VecDeque<Submission>,
    /// The report that asks for the first one's room, and since when.
    pub(crate) asked: Option<(u64, MonotonicMs)>,
    pub(crate) last_number: u64,
    pub(crate) last_report: MonotonicMs,
}

#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) caller: BatchCaller,
    pub(crate) batch: BatchId,
    pub(crate) items: Vec<Item>,
    pub(crate) ceiling: Tokens,
    pub(crate) since: MonotonicMs,
    /// When its relay last spoke of it.
    pub(crate) heard: MonotonicMs,
}

impl Hosted {
    pub(crate) fn new(replica: Replica) -> Self {
        Self {
            replica,
            work: Work::None,
            waiting: std::collections::BTreeMap::new(),
            last_ticket: 0,
            wish: None,
            raising: Raising::default(),
            refused: std::collections::VecDeque::new(),
            asides: Vec::new(),
            record_confirmed: None,
            synced_by: std::collections::BTreeMap::new(),
        }
    }

    /// Calls that wait for a commit.
    pub(crate) fn calls_waiting(&self) -> usize {
        self.waiting.values().filter(|waiting| !matches!(waiting, Waiting::Nobody)).count()
    }

    pub(crate) fn counter(&self) -> Option<&Counter> {
        match &self.work {
            Work::Counter(counter) => Some(counter),
            _ => None,
        }
    }

    pub(crate) fn batches(&self) -> Option<&Batches> {
        match &self.work {
            Work::Batches(batches) => Some(batches),
            _ => None,
        }
    }

    /// Submits changes on somebody's behalf.
    pub(crate) fn submit(&mut self, changes: Vec<topazyard_wire::RowChange>, waiting: Waiting) {
        self.last_ticket += 1;
        if self.replica.submit(self.last_ticket, changes) {
            self.waiting.insert(self.last_ticket, waiting);
        }
    }

    /// Whether something here waits for the next word of control.
    pub(crate) fn waits_for_control(&self, now: MonotonicMs) -> bool {
        let late = |since| now.since(since) >= BACKUP_LATE;
        let unsettled = self.replica.is_primary() && !self.replica.is_serving();
        let unsettled = unsettled || self.replica.backup_silent_since().is_some_and(late);
        self.wish.is_some() || unsettled || !self.asides.is_empty()
    }

    /// When the asking was sent by which it was last confirmed that this copy's record stands.
    pub(crate) fn confirmed_at(&self, by_feed: Option<MonotonicMs>) -> Option<MonotonicMs> {
        let by_quorum = self.record_confirmed.filter(|(epoch, _)| *epoch == self.replica.epoch());
        by_feed.max(by_quorum.map(|(_, at)| at))
    }

    /// Whether all of these nodes said that they have synced what this follower holds.
    pub(crate) fn all_have_synced(&self, mut nodes: impl Iterator<Item = NodeId>) -> bool {
        let held = self.replica.copy().position().sequence;
        nodes.all(|id| self.synced_by.get(&id).is_some_and(|synced| *synced >= held))
    }

    /// Whether this node follows in step in that epoch and has synced the copy up to there.
    pub(crate) fn has_synced(&self, epoch: Epoch, sequence: Sequence) -> bool {
        let in_step = self.replica.epoch() == epoch && self.replica.was_in_sync();
        let is_whole = self.replica.uncommitted() != Uncommitted::All;
        in_step
            && is_whole
            && self.replica.is_synced()
            && self.replica.copy().position().sequence >= sequence
    }

    /// Whether this primary may work in its epoch.
    pub(crate) fn is_serving_in(&self, epoch: Epoch) -> bool {
        self.replica.epoch() == epoch
            && self.replica.is_serving()
            && !matches!(self.work, Work::None)
    }
}
