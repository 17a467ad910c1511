//! The primary role: batches, the comparisons that synchronize backups, and the learners.

use super::progress::{
    Backup, BackupState, ChangeBatch, Comparison, Learner, LearnerState, is_due,
};
use super::queue::SubmissionQueue;
use super::refill::{RefillEvent, RefillProgress};
use super::{Followers, Replica, ReplicaOutput, Role, Sender, Uncommitted, WriteTicket};
use crate::copy::{Copy, RangeContent};
use std::collections::BTreeMap;
use topazyard_types::{DurationMs, MonotonicMs, NodeId, Sequence};
use topazyard_wire::RowChange;
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::replica::{DifferingRange, FollowerRole, ReplicaBody};

/// Interval at which backups that have not confirmed an append are asked whether it arrived.
const APPEND_CHECK_INTERVAL: DurationMs = DurationMs(100);
/// Size of a batch, in bytes of changes, at which no further submission joins it. Each batch is
/// confirmed on its own, so that backups show progress however much waits.
const BATCH_BYTES: usize = 512 * 1024;
/// Interval between messages to the backups while there is nothing to commit.
const HEARTBEAT_INTERVAL: DurationMs = DurationMs(200);
/// Maximum time for which new batches wait for a learner's final comparison.
const MAX_WRITE_PAUSE: DurationMs = DurationMs(1_500);

/// Whether the primary may commit.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// Not yet: a backup's copy is being compared, or there are too few backups.
    Comparing,
    /// It may commit.
    Serving,
    /// No longer in this epoch: a new epoch record was proposed.
    Stopped,
}

/// The state of a primary.
#[derive(Debug, Clone)]
pub struct PrimaryState {
    backups: Vec<Backup>,
    learners: Vec<Learner>,
    /// Whether it may serve once all its backups are in sync.
    may_serve: bool,
    phase: Phase,
    in_flight: Option<ChangeBatch>,
    queue: SubmissionQueue,
    last_batch_at: MonotonicMs,
}

impl PrimaryState {
    pub(super) fn new(followers: Followers, previous: Option<Box<Self>>, now: MonotonicMs) -> Self {
        let (in_flight, queue) = match previous {
            None => (None, SubmissionQueue::default()),
            Some(old) => (old.in_flight, old.queue),
        };
        let state = || BackupState::Comparing(None, now);
        let backup = |node| Backup { node, state: state(), confirmed_round: None };
        let learner = |node| Learner { node, state: LearnerState::Fetching(None) };
        Self {
            backups: followers.backups.into_iter().map(backup).collect(),
            learners: followers.learners.into_iter().map(learner).collect(),
            may_serve: followers.may_serve,
            phase: Phase::Comparing,
            in_flight,
            queue,
            last_batch_at: now,
        }
    }

    pub(super) fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    pub(super) fn all_tickets(&self) -> Vec<WriteTicket> {
        let in_flight = self.in_flight.iter().flat_map(|batch| batch.tickets.iter());
        in_flight.copied().chain(self.queue.tickets()).collect()
    }

    /// The backups that have yet to confirm, each with the time since when.
    pub(super) fn unconfirmed_backups(&self) -> impl Iterator<Item = (NodeId, MonotonicMs)> {
        let batch = self.in_flight.as_ref();
        let backups = self.backups.iter().filter(|_| self.phase != Phase::Stopped);
        backups.filter_map(move |backup| Some((backup.node.id, backup.unconfirmed_since(batch)?)))
    }

    /// The learners that are filled.
    pub(super) fn ready_learners(&self) -> impl Iterator<Item = NodeId> {
        let ready = |learner: &&Learner| matches!(learner.state, LearnerState::Ready(_));
        self.learners.iter().filter(ready).map(|learner| learner.node.id)
    }

    fn backup_index(&self, id: NodeId) -> Option<usize> {
        self.backups.iter().position(|backup| backup.node.id == id)
    }

    fn learner_index(&self, id: NodeId) -> Option<usize> {
        self.learners.iter().position(|learner| learner.node.id == id)
    }

    /// The backups in sync that have not confirmed the given round.
    fn unconfirmed_in_sync(&self, round: u64) -> impl Iterator<Item = CoreNode> {
        let unconfirmed =
            move |backup: &&Backup| backup.is_in_sync() && backup.confirmed_round != Some(round);
        self.backups.iter().filter(unconfirmed).map(|backup| backup.node)
    }

    /// The followers whose copies are being filled.
    pub(super) fn refills(&self) -> impl Iterator<Item = RefillProgress> {
        let backups = self.backups.iter().filter_map(|backup| match &backup.state {
            BackupState::Comparing(Some(comparison), _) => Some((backup.node.id, comparison)),
            _ => None,
        });
        let learners = self.learners.iter().filter_map(|learner| match &learner.state {
            LearnerState::Fetching(Some(comparison))
            | LearnerState::FinalComparison(Some(comparison), _) => {
                Some((learner.node.id, comparison))
            }
            _ => None,
        });
        let active = backups.chain(learners).filter(|(_, one)| one.transfer.is_active());
        active.map(|(follower, comparison)| RefillProgress {
            follower,
            bytes_left: comparison.transfer.bytes_left(),
        })
    }

    /// The number of backups whose copies are whole.
    pub(super) fn backups_in_sync(&self) -> usize {
        self.backups.iter().filter(|backup| backup.is_in_sync()).count()
    }

    fn all_in_sync(&self) -> bool {
        self.backups.iter().all(Backup::is_in_sync)
    }

    fn are_writes_paused(&self) -> bool {
        self.learners.iter().any(|l| !matches!(l.state, LearnerState::Fetching(_)))
    }
}

impl Replica {
    /// Submits changes; the ticket is committed once all copies have synced them. A submission
    /// without changes is a confirmed read.
    ///
    /// Returns false and does nothing if this node is not the primary.
    pub fn submit(&mut self, ticket: WriteTicket, changes: Vec<RowChange>) -> bool {
        let Role::Primary(primary) = &mut self.role else { return false };
        primary.queue.push(ticket, changes);
        true
    }

    /// Whether there are changes that are not committed yet.
    pub fn has_changes_pending(&self) -> bool {
        match &self.role {
            Role::Primary(primary) => {
                let in_flight = primary.in_flight.as_ref();
                primary.queue.has_changes()
                    || in_flight.is_some_and(|batch| !batch.changes.is_empty())
            }
            _ => false,
        }
    }

    /// Acknowledges nothing more in this epoch.
    pub fn stop_serving(&mut self) {
        if let Role::Primary(primary) = &mut self.role {
            primary.phase = Phase::Stopped;
        }
    }

    /// Starts the next batch if one is due and none is in flight. The owner calls this after it has
    /// handled all outputs of the replica, while the copy holds only committed rows.
    pub fn start_next_batch(&mut self, now: MonotonicMs) -> Vec<ReplicaOutput> {
        let mut outputs = Vec::new();
        let Role::Primary(primary) = &mut self.role else { return outputs };
        let idle =
            primary.queue.is_empty() && now.since(primary.last_batch_at) < HEARTBEAT_INTERVAL;
        if !primary.is_serving() || primary.in_flight.is_some() || idle {
            return outputs;
        }
        // During the final comparison of a learner only reads are confirmed, as they change
        // nothing.
        if primary.are_writes_paused() && primary.queue.has_changes() {
            return outputs;
        }
        let (tickets, changes) = primary.queue.take_batch(BATCH_BYTES);
        primary.last_batch_at = now;
        self.last_round += 1;
        let round = self.last_round;
        let own_sequence = self.copy.position().sequence;
        let sequence = if changes.is_empty() { own_sequence } else { own_sequence.next() };
        let write = if changes.is_empty() {
            None
        } else {
            let rows = self.copy.apply(self.epoch, sequence, changes.clone());
            self.uncommitted = Uncommitted::LastBatch;
            self.write(rows, now, &mut outputs)
        };
        if let Role::Primary(primary) = &mut self.role {
            primary.in_flight = Some(ChangeBatch {
                round,
                sequence,
                changes,
                tickets,
                write,
                started_at: now,
                checked_at: now,
            });
        }
        self.send_append(&mut outputs);
        // Without backups the batch may be committed already.
        self.commit_batch(&mut outputs);
        outputs
    }

    /// Sends the batch in flight to the backups in sync that have not confirmed it.
    fn send_append(&self, outputs: &mut Vec<ReplicaOutput>) {
        let Role::Primary(primary) = &self.role else { return };
        let Some(batch) = &primary.in_flight else { return };
        for backup in primary.unconfirmed_in_sync(batch.round) {
            self.send_append_to(backup, batch, outputs);
        }
    }

    fn send_append_to(
        &self,
        backup: CoreNode,
        batch: &ChangeBatch,
        outputs: &mut Vec<ReplicaOutput>,
    ) {
        let body = ReplicaBody::Append {
            round: batch.round,
            sequence: batch.sequence,
            changes: batch.changes.clone(),
        };
        self.send(backup.address, body, outputs);
    }

    /// Sends the batch in flight again to a backup that it did not reach.
    fn resend_append(&self, index: usize, round: u64, outputs: &mut Vec<ReplicaOutput>) {
        let Role::Primary(primary) = &self.role else { return };
        let Some(batch) = &primary.in_flight else { return };
        let backup = &primary.backups[index];
        if batch.round == round && backup.is_in_sync() && !backup.has_synced(round) {
            self.send_append_to(backup.node, batch, outputs);
        }
    }

    /// Sends the digests in a new round, which starts a comparison or continues the previous one.
    fn send_digests(
        &mut self,
        node: CoreNode,
        of: FollowerRole,
        previous: Option<Comparison>,
        now: MonotonicMs,
        outputs: &mut Vec<ReplicaOutput>,
    ) -> Comparison {
        self.last_round += 1;
        let round = self.last_round;
        let body = ReplicaBody::Digests {
            round,
            sequence: self.copy.position().sequence,
            digests: self.copy.digests().to_vec(),
            of,
        };
        self.send(node.address, body, outputs);
        Comparison::next(previous, round, now)
    }

    pub(super) fn primary_tick(&mut self, now: MonotonicMs, outputs: &mut Vec<ReplicaOutput>) {
        let Role::Primary(primary) = &mut self.role else { return };
        if primary.phase != Phase::Stopped {
            let mut due = Vec::new();
            for (index, backup) in primary.backups.iter_mut().enumerate() {
                if let BackupState::Comparing(comparison, _) = &mut backup.state
                    && is_due(comparison, now)
                {
                    outputs.extend(stall_report(backup.node, comparison));
                    due.push((index, backup.node, comparison.take()));
                }
            }
            for (index, node, previous) in due {
                let of = FollowerRole::Backup;
                let continued = self.send_digests(node, of, previous, now, outputs);
                if let Role::Primary(primary) = &mut self.role
                    && let BackupState::Comparing(comparison, _) = &mut primary.backups[index].state
                {
                    *comparison = Some(continued);
                }
            }
            self.check_appended(now, outputs);
            self.serve_if_in_sync(outputs);
        }
        self.learners_tick(now, outputs);
    }

    /// Asks the backups that have not confirmed the batch in flight whether it arrived. The batch
    /// itself is sent again only to one that reports it as missing.
    fn check_appended(&mut self, now: MonotonicMs, outputs: &mut Vec<ReplicaOutput>) {
        let Role::Primary(primary) = &mut self.role else { return };
        let Some(batch) = &mut primary.in_flight else { return };
        if now.since(batch.checked_at) < APPEND_CHECK_INTERVAL {
            return;
        }
        batch.checked_at = now;
        let round = batch.round;
        let unconfirmed: Vec<CoreNode> = primary.unconfirmed_in_sync(round).collect();
        for backup in unconfirmed {
            self.send(backup.address, ReplicaBody::CheckAppended { round }, outputs);
        }
    }

    fn learners_tick(&mut self, now: MonotonicMs, outputs: &mut Vec<ReplicaOutput>) {
        let Role::Primary(primary) = &mut self.role else { return };
        // A backup out of sync that keeps the primary from serving comes before learners.
        if primary.phase == Phase::Comparing && primary.may_serve {
            return;
        }
        let stopped = primary.phase == Phase::Stopped;
        let mut due = Vec::new();
        for (index, learner) in primary.learners.iter_mut().enumerate() {
            match &mut learner.state {
                LearnerState::FinalComparison(_, since) | LearnerState::Ready(since)
                    if !stopped && now.since(*since) >= MAX_WRITE_PAUSE =>
                {
                    learner.state = LearnerState::Fetching(None);
                }
                LearnerState::Fetching(comparison)
                | LearnerState::FinalComparison(comparison, _)
                    if is_due(comparison, now) =>
                {
                    outputs.extend(stall_report(learner.node, comparison));
                    due.push((index, learner.node, comparison.take()));
                }
                _ => {}
            }
        }
        for (index, node, previous) in due {
            let continued = self.send_digests(node, FollowerRole::Learner, previous, now, outputs);
            if let Role::Primary(primary) = &mut self.role
                && let LearnerState::Fetching(comparison)
                | LearnerState::FinalComparison(comparison, _) =
                    &mut primary.learners[index].state
            {
                *comparison = Some(continued);
            }
        }
    }

    pub(super) fn primary_receive(
        &mut self,
        from: Sender,
        body: ReplicaBody,
        now: MonotonicMs,
        outputs: &mut Vec<ReplicaOutput>,
    ) {
        let Role::Primary(primary) = &mut self.role else { return };
        let (backup, learner) = (primary.backup_index(from.id), primary.learner_index(from.id));
        match (body, backup, learner) {
            (ReplicaBody::Appended { round }, Some(index), _) => {
                let in_flight = primary.in_flight.as_ref().is_some_and(|b| b.round == round);
                if in_flight && primary.backups[index].is_in_sync() {
                    primary.backups[index].confirmed_round = Some(round);
                }
                self.commit_batch(outputs);
            }
            (ReplicaBody::AppendMissing { round }, Some(index), _) => {
                self.resend_append(index, round, outputs);
            }
            (ReplicaBody::OutOfSync, Some(index), _)
                if primary.phase != Phase::Stopped && primary.backups[index].is_in_sync() =>
            {
                primary.backups[index].state = BackupState::Comparing(None, now);
                primary.backups[index].confirmed_round = None;
                primary.phase = Phase::Comparing;
                self.primary_tick(now, outputs);
            }
            (ReplicaBody::Differ { round, ranges }, _, _) => {
                let copy = &self.copy;
                let Some(comparison) = primary.comparison_with(from.id) else { return };
                if comparison.includes(round) {
                    let contents = || contents_of(copy, &ranges);
                    let started = comparison.transfer.start(round, contents, now);
                    outputs.extend(started.map(|event| ReplicaOutput::Refill(from.id, event)));
                }
                self.send_ranges(from, outputs);
            }
            (ReplicaBody::RangeReceived { range, part }, _, _) => {
                let Some(comparison) = primary.comparison_with(from.id) else { return };
                comparison.transfer.acknowledged(range, part, now);
                self.send_ranges(from, outputs);
            }
            (ReplicaBody::InSync { round, sequence }, Some(index), _) => {
                self.backup_in_sync(index, round, sequence, now, outputs);
            }
            (ReplicaBody::InSync { round, sequence }, _, Some(index)) => {
                self.learner_in_sync(index, round, sequence, now, outputs);
            }
            _ => {}
        }
    }

    /// Sends a follower as many parts of the ranges that it requested as may be in flight.
    fn send_ranges(&mut self, to: Sender, outputs: &mut Vec<ReplicaOutput>) {
        let Role::Primary(primary) = &mut self.role else { return };
        let Some(comparison) = primary.comparison_with(to.id) else { return };
        for part in comparison.next_parts() {
            self.send(to.address, ReplicaBody::Range(part), outputs);
        }
    }

    fn backup_in_sync(
        &mut self,
        index: usize,
        round: u64,
        sequence: Sequence,
        now: MonotonicMs,
        outputs: &mut Vec<ReplicaOutput>,
    ) {
        let own_sequence = self.copy.position().sequence;
        let Role::Primary(primary) = &mut self.role else { return };
        let backup = &mut primary.backups[index];
        let is_expected =
            matches!(&backup.state, BackupState::Comparing(Some(c), _) if c.includes(round));
        if primary.phase == Phase::Stopped || !is_expected || sequence != own_sequence {
            return;
        }
        let completed = backup.comparison().and_then(|one| one.transfer.completed(now));
        outputs.extend(completed.map(|event| ReplicaOutput::Refill(backup.node.id, event)));
        backup.state = BackupState::InSync;
        // The compared copy includes the batch in flight.
        backup.confirmed_round = primary.in_flight.as_ref().map(|batch| batch.round);
        self.serve_if_in_sync(outputs);
    }

    /// Starts serving once all backups are in sync and the primary's own copy is synced. A new
    /// primary may hold a batch that its own disk has not synced yet; anything it served then would
    /// be durable on all copies but its own.
    fn serve_if_in_sync(&mut self, outputs: &mut Vec<ReplicaOutput>) {
        let is_synced = self.is_synced();
        let Role::Primary(primary) = &mut self.role else { return };
        if !is_synced
            || primary.phase != Phase::Comparing
            || !primary.may_serve
            || !primary.all_in_sync()
        {
            return;
        }
        primary.phase = Phase::Serving;
        if primary.in_flight.is_none() {
            self.uncommitted = Uncommitted::Nothing;
        }
        outputs.push(ReplicaOutput::Serving);
        self.commit_batch(outputs);
    }

    fn learner_in_sync(
        &mut self,
        index: usize,
        round: u64,
        sequence: Sequence,
        now: MonotonicMs,
        outputs: &mut Vec<ReplicaOutput>,
    ) {
        let own_sequence = self.copy.position().sequence;
        let Role::Primary(primary) = &mut self.role else { return };
        match &primary.learners[index].state {
            LearnerState::Fetching(Some(c)) if c.includes(round) => {
                if self.learner_promotion_paused && primary.may_serve {
                    return;
                }
                let completed = c.transfer.completed(now);
                let follower = primary.learners[index].node.id;
                outputs.extend(completed.map(|event| ReplicaOutput::Refill(follower, event)));
                primary.learners[index].state = LearnerState::FinalComparison(None, now);
                self.learners_tick(now, outputs);
            }
            // A batch may be in flight. It is part of the copy, and from here on it is not
            // acknowledged before the next epoch.
            LearnerState::FinalComparison(Some(c), since)
                if c.includes(round) && sequence == own_sequence =>
            {
                primary.learners[index].state = LearnerState::Ready(*since);
                if primary.ready_learners().count() == primary.learners.len() {
                    primary.phase = Phase::Stopped;
                    outputs.push(ReplicaOutput::LearnersReady);
                }
            }
            _ => {}
        }
    }

    pub(super) fn primary_write_synced(&mut self, number: u64, outputs: &mut Vec<ReplicaOutput>) {
        if let Role::Primary(primary) = &mut self.role
            && let Some(batch) = &mut primary.in_flight
            && batch.write.take_if(|write| *write <= number).is_some()
        {
            let round = batch.round;
            self.send_synced(round, outputs);
        }
        self.serve_if_in_sync(outputs);
        self.commit_batch(outputs);
    }

    /// Reports to the backups in sync that this copy has synced a batch, so that they know it is on
    /// all copies once they have synced it themselves.
    fn send_synced(&self, round: u64, outputs: &mut Vec<ReplicaOutput>) {
        let Role::Primary(primary) = &self.role else { return };
        for backup in primary.backups.iter().filter(|backup| backup.is_in_sync()) {
            self.send(backup.node.address, ReplicaBody::Synced { round }, outputs);
        }
    }

    /// The only function that reports anything as committed.
    fn commit_batch(&mut self, outputs: &mut Vec<ReplicaOutput>) {
        let Role::Primary(primary) = &mut self.role else { return };
        if !primary.is_serving() {
            return;
        }
        let backups = &primary.backups;
        let done = primary.in_flight.take_if(|batch| {
            let confirmed = |backup: &Backup| backup.confirmed_round == Some(batch.round);
            batch.write.is_none() && backups.iter().all(confirmed)
        });
        let Some(batch) = done else { return };
        let confirmed = primary.backups.iter().filter(|backup| backup.has_synced(batch.round));
        let confirmed = confirmed.count();
        self.synced_copies = confirmed + usize::from(self.is_synced());
        self.uncommitted = Uncommitted::Nothing;
        self.note_committed(batch.sequence);
        if !batch.tickets.is_empty() {
            outputs.push(ReplicaOutput::Committed(batch.tickets));
        }
    }
}

/// What a follower needs of the ranges in which it differs.
fn contents_of(copy: &Copy, ranges: &[DifferingRange]) -> BTreeMap<u16, RangeContent> {
    let content = |differing: &DifferingRange| {
        let content = copy.range_content(differing.range, differing.known.as_deref())?;
        Some((differing.range, content))
    };
    ranges.iter().filter_map(content).collect()
}

/// Reports a transfer that has to be continued, as it made no progress.
fn stall_report(node: CoreNode, comparison: &Option<Comparison>) -> Option<ReplicaOutput> {
    let transfer = &comparison.as_ref()?.transfer;
    let event = RefillEvent::Stalled { bytes_left: transfer.bytes_left() };
    transfer.is_active().then_some(ReplicaOutput::Refill(node.id, event))
}

impl PrimaryState {
    /// The comparison in progress with a follower.
    fn comparison_with(&mut self, id: NodeId) -> Option<&mut Comparison> {
        let backup = self.backups.iter_mut().find(|backup| backup.node.id == id);
        let learner = self.learners.iter_mut().find(|learner| learner.node.id == id);
        backup.and_then(Backup::comparison).or_else(|| learner.and_then(Learner::comparison))
    }
}
