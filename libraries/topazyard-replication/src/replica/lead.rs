//! The primary's side: batches, the comparisons that bring backups in step, and the learners.

use super::parts::{bytes_of, split_into_parts};
use super::progress::{Backup, BackupState, ChangeBatch, Comparison, Learner, Learning, is_due};
use super::{Followers, Replica, ReplicaOutput, Role, Sender, Uncommitted, WriteTicket};
use topazyard_types::{DurationMs, MonotonicMs, NodeId, Sequence};
use topazyard_wire::RowChange;
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::replica::{FollowerRole, Part, RangePart, ReplicaBody};

/// After how long an append is sent again.
const APPEND_AGAIN: DurationMs = DurationMs(100);
/// How long an idle primary leaves its backups without a word.
const KEEP_ALIVE: DurationMs = DurationMs(200);
/// How long new batches are held back for a learner's last comparison.
const LONGEST_PAUSE: DurationMs = DurationMs(1_500);

/// Whether the primary may commit.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// It may not yet: a backup's copy is being compared, or backups are missing.
    Comparing,
    /// It may.
    Serving,
    /// It may no more in this epoch: another record was asked for.
    Stopped,
}

/// What a primary keeps.
#[derive(Debug, Clone)]
pub struct PrimaryState {
    backups: Vec<Backup>,
    learners: Vec<Learner>,
    /// Whether it may answer once all its backups are in step.
    may_serve: bool,
    phase: Phase,
    under_way: Option<ChangeBatch>,
    next_tickets: Vec<WriteTicket>,
    next_changes: Vec<RowChange>,
    last_batch: MonotonicMs,
}

impl PrimaryState {
    pub(super) fn new(followers: Followers, carried: Option<Box<Self>>, now: MonotonicMs) -> Self {
        let (under_way, next_tickets, next_changes) = match carried {
            None => (None, Vec::new(), Vec::new()),
            Some(old) => (old.under_way, old.next_tickets, old.next_changes),
        };
        let state = || BackupState::Comparing(None, now);
        let backup = |node| Backup { node, state: state(), confirmed: None };
        let learner = |node| Learner { node, learning: Learning::Fetching(None) };
        Self {
            backups: followers.backups.into_iter().map(backup).collect(),
            learners: followers.learners.into_iter().map(learner).collect(),
            may_serve: followers.may_serve,
            phase: Phase::Comparing,
            under_way,
            next_tickets,
            next_changes,
            last_batch: now,
        }
    }

    pub(super) fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    pub(super) fn all_tickets(&self) -> Vec<WriteTicket> {
        let under_way = self.under_way.iter().flat_map(|batch| batch.tickets.iter());
        under_way.chain(&self.next_tickets).copied().collect()
    }

    /// The backups that owe a confirmation, each with since when.
    pub(super) fn owing(&self) -> impl Iterator<Item = (NodeId, MonotonicMs)> {
        let batch = self.under_way.as_ref();
        let backups = self.backups.iter().filter(|_| self.phase != Phase::Stopped);
        backups.filter_map(move |backup| Some((backup.node.id, backup.owes_since(batch)?)))
    }

    /// The learners that hold everything.
    pub(super) fn filled(&self) -> impl Iterator<Item = NodeId> {
        let ready = |learner: &&Learner| matches!(learner.learning, Learning::Ready(_));
        self.learners.iter().filter(ready).map(|learner| learner.node.id)
    }

    fn backup_at(&self, id: NodeId) -> Option<usize> {
        self.backups.iter().position(|backup| backup.node.id == id)
    }

    fn learner_at(&self, id: NodeId) -> Option<usize> {
        self.learners.iter().position(|learner| learner.node.id == id)
    }

    fn all_in_step(&self) -> bool {
        self.backups.iter().all(Backup::is_in_step)
    }

    fn is_held_back(&self) -> bool {
        self.learners.iter().any(|l| !matches!(l.learning, Learning::Fetching(_)))
    }
}

impl Replica {
    /// Submits changes; the ticket is committed once all copies have synced them. No changes
    /// make it a confirmed read.
    ///
    /// Gives false, and does nothing, where this node is not the primary.
    pub fn submit(&mut self, ticket: WriteTicket, changes: Vec<RowChange>) -> bool {
        let Role::Primary(lead) = &mut self.role else { return false };
        lead.next_tickets.push(ticket);
        lead.next_changes.extend(changes);
        true
    }

    /// Whether changes wait that are not committed yet.
    pub fn has_changes_pending(&self) -> bool {
        match &self.role {
            Role::Primary(lead) => {
                let under_way = lead.under_way.as_ref();
                !lead.next_changes.is_empty()
                    || under_way.is_some_and(|batch| !batch.changes.is_empty())
            }
            _ => false,
        }
    }

    /// Answers nothing more in this epoch.
    pub fn stop_serving(&mut self) {
        if let Role::Primary(lead) = &mut self.role {
            lead.phase = Phase::Stopped;
        }
    }

    /// Begins the next batch, if there is one and none is under way. The owner calls this after
    /// it has dealt with all that the replica put out, while the copy holds only what is committed.
    pub fn start_next_batch(&mut self, now: MonotonicMs) -> Vec<ReplicaOutput> {
        let mut out = Vec::new();
        let Role::Primary(lead) = &mut self.role else { return out };
        let idle = lead.next_tickets.is_empty() && now.since(lead.last_batch) < KEEP_ALIVE;
        if !lead.is_serving() || lead.under_way.is_some() || idle {
            return out;
        }
        // While a learner compares for the last time only confirmations go on, with no changes.
        if lead.is_held_back() && !lead.next_changes.is_empty() {
            return out;
        }
        let tickets = std::mem::take(&mut lead.next_tickets);
        let changes = std::mem::take(&mut lead.next_changes);
        lead.last_batch = now;
        self.last_round += 1;
        let round = self.last_round;
        let held = self.copy.position().sequence;
        let sequence = if changes.is_empty() { held } else { held.next() };
        let write = if changes.is_empty() {
            None
        } else {
            let rows = self.copy.apply(self.epoch, sequence, changes.clone());
            self.uncommitted = Uncommitted::LastBatch;
            self.write(rows, now, &mut out)
        };
        if let Role::Primary(lead) = &mut self.role {
            lead.under_way = Some(ChangeBatch {
                round,
                sequence,
                changes,
                tickets,
                write,
                begun: now,
                sent: now,
            });
        }
        self.send_append(&mut out);
        // Where there are no backups nobody else has to confirm it.
        self.finish_batch(&mut out);
        out
    }

    /// Sends the batch under way to those backups in step that have not confirmed it.
    fn send_append(&self, out: &mut Vec<ReplicaOutput>) {
        let Role::Primary(lead) = &self.role else { return };
        let Some(batch) = &lead.under_way else { return };
        let owes = |backup: &&Backup| backup.is_in_step() && backup.confirmed != Some(batch.round);
        for backup in lead.backups.iter().filter(owes) {
            let body = ReplicaBody::Append {
                round: batch.round,
                sequence: batch.sequence,
                changes: batch.changes.clone(),
            };
            self.send(backup.node.address, body, out);
        }
    }

    fn begin_comparison(
        &mut self,
        with: CoreNode,
        of: FollowerRole,
        now: MonotonicMs,
        out: &mut Vec<ReplicaOutput>,
    ) -> Option<Comparison> {
        self.last_round += 1;
        let round = self.last_round;
        let body = ReplicaBody::Digests {
            round,
            sequence: self.copy.position().sequence,
            digests: self.copy.digests().to_vec(),
            of,
        };
        self.send(with.address, body, out);
        Some(Comparison { round, begun: now, fetches: None })
    }

    pub(super) fn lead_tick(&mut self, now: MonotonicMs, out: &mut Vec<ReplicaOutput>) {
        let Role::Primary(lead) = &mut self.role else { return };
        if lead.phase != Phase::Stopped {
            let due: Vec<(usize, CoreNode)> = lead
                .backups
                .iter()
                .enumerate()
                .filter(|(_, b)| matches!(&b.state, BackupState::Comparing(c, _) if is_due(c, now)))
                .map(|(at, backup)| (at, backup.node))
                .collect();
            for (at, node) in due {
                let begun = self.begin_comparison(node, FollowerRole::Backup, now, out);
                if let Role::Primary(lead) = &mut self.role
                    && let BackupState::Comparing(comparison, _) = &mut lead.backups[at].state
                {
                    *comparison = begun;
                }
            }
            self.send_again(now, out);
            self.serve_if_in_step(out);
        }
        self.learners_tick(now, out);
    }

    fn send_again(&mut self, now: MonotonicMs, out: &mut Vec<ReplicaOutput>) {
        let Role::Primary(lead) = &mut self.role else { return };
        if let Some(batch) = &mut lead.under_way
            && now.since(batch.sent) >= APPEND_AGAIN
        {
            batch.sent = now;
            self.send_append(out);
        }
    }

    fn learners_tick(&mut self, now: MonotonicMs, out: &mut Vec<ReplicaOutput>) {
        let Role::Primary(lead) = &mut self.role else { return };
        // Where only a backup out of step keeps the primary from serving, that one comes first.
        if lead.phase == Phase::Comparing && lead.may_serve {
            return;
        }
        let stopped = lead.phase == Phase::Stopped;
        let mut due = Vec::new();
        for (at, learner) in lead.learners.iter_mut().enumerate() {
            match &learner.learning {
                Learning::LastRound(_, since) | Learning::Ready(since)
                    if !stopped && now.since(*since) >= LONGEST_PAUSE =>
                {
                    learner.learning = Learning::Fetching(None);
                }
                Learning::Fetching(comparison) | Learning::LastRound(comparison, _)
                    if is_due(comparison, now) =>
                {
                    due.push((at, learner.node));
                }
                _ => {}
            }
        }
        for (at, node) in due {
            let begun = self.begin_comparison(node, FollowerRole::Learner, now, out);
            if let Role::Primary(lead) = &mut self.role
                && let Learning::Fetching(comparison) | Learning::LastRound(comparison, _) =
                    &mut lead.learners[at].learning
            {
                *comparison = begun;
            }
        }
    }

    pub(super) fn lead_receive(
        &mut self,
        from: Sender,
        body: ReplicaBody,
        now: MonotonicMs,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let Role::Primary(lead) = &mut self.role else { return };
        let (backup, learner) = (lead.backup_at(from.id), lead.learner_at(from.id));
        match (body, backup, learner) {
            (ReplicaBody::Appended { round }, Some(at), _) => {
                let under_way = lead.under_way.as_ref().is_some_and(|b| b.round == round);
                if under_way && lead.backups[at].is_in_step() {
                    lead.backups[at].confirmed = Some(round);
                }
                self.finish_batch(out);
            }
            (ReplicaBody::OutOfSync, Some(at), _)
                if lead.phase != Phase::Stopped && lead.backups[at].is_in_step() =>
            {
                lead.backups[at].state = BackupState::Comparing(None, now);
                lead.backups[at].confirmed = None;
                lead.phase = Phase::Comparing;
                self.lead_tick(now, out);
            }
            (ReplicaBody::Differ { round, ranges }, _, _) if backup.or(learner).is_some() => {
                let asked =
                    ranges.into_iter().filter(|r| usize::from(*r) < crate::copy::RANGE_COUNT);
                let asked: Vec<_> =
                    asked.map(|range| (range, self.copy.range(usize::from(range)))).collect();
                let Some(comparison) = lead.comparison_of(round) else { return };
                comparison.fetches = Some(asked.iter().map(|(_, rows)| bytes_of(rows)).sum());
                for (range, rows) in asked {
                    self.send_range(from.address, round, range, rows, out);
                }
            }
            (ReplicaBody::InSync { round, sequence }, Some(at), _) => {
                self.backup_in_step(at, round, sequence, out);
            }
            (ReplicaBody::InSync { round, sequence }, _, Some(at)) => {
                self.learner_in_step(at, round, sequence, now, out);
            }
            _ => {}
        }
    }

    /// Sends a range, in parts where it is large.
    fn send_range(
        &self,
        to: std::net::SocketAddr,
        round: u64,
        range: u16,
        rows: Vec<(String, bytes::Bytes)>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let parts = split_into_parts(rows);
        let of = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        for (number, rows) in (0..).zip(parts) {
            let part = Part { number, of };
            self.send(to, ReplicaBody::Range(RangePart { round, range, part, rows }), out);
        }
    }

    fn backup_in_step(
        &mut self,
        at: usize,
        round: u64,
        sequence: Sequence,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let held = self.copy.position().sequence;
        let Role::Primary(lead) = &mut self.role else { return };
        let backup = &mut lead.backups[at];
        let asked = matches!(&backup.state, BackupState::Comparing(Some(c), _) if c.round == round);
        if lead.phase == Phase::Stopped || !asked || sequence != held {
            return;
        }
        backup.state = BackupState::InStep;
        // The copy compared holds the batch that was under way.
        backup.confirmed = lead.under_way.as_ref().map(|batch| batch.round);
        self.serve_if_in_step(out);
    }

    /// Begins to serve once all backups are in step and its own copy is synced: a successor may hold a
    /// batch that its disk has not done yet, and what it then shows is on all copies but its own.
    fn serve_if_in_step(&mut self, out: &mut Vec<ReplicaOutput>) {
        let is_synced = self.is_synced();
        let Role::Primary(lead) = &mut self.role else { return };
        if !is_synced || lead.phase != Phase::Comparing || !lead.may_serve || !lead.all_in_step() {
            return;
        }
        lead.phase = Phase::Serving;
        if lead.under_way.is_none() {
            self.uncommitted = Uncommitted::Nothing;
        }
        out.push(ReplicaOutput::Serving);
        self.finish_batch(out);
    }

    fn learner_in_step(
        &mut self,
        at: usize,
        round: u64,
        sequence: Sequence,
        now: MonotonicMs,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let held = self.copy.position().sequence;
        let Role::Primary(lead) = &mut self.role else { return };
        match &lead.learners[at].learning {
            Learning::Fetching(Some(c)) if c.round == round => {
                if self.holds_learner && lead.may_serve {
                    return;
                }
                lead.learners[at].learning = Learning::LastRound(None, now);
                self.learners_tick(now, out);
            }
            // A batch may be under way: it is in the copy, and from here on it is not answered
            // before the next epoch.
            Learning::LastRound(Some(c), since) if c.round == round && sequence == held => {
                lead.learners[at].learning = Learning::Ready(*since);
                if lead.filled().count() == lead.learners.len() {
                    lead.phase = Phase::Stopped;
                    out.push(ReplicaOutput::LearnersReady);
                }
            }
            _ => {}
        }
    }

    pub(super) fn lead_written(&mut self, number: u64, out: &mut Vec<ReplicaOutput>) {
        if let Role::Primary(lead) = &mut self.role
            && let Some(batch) = &mut lead.under_way
            && batch.write.take_if(|write| *write <= number).is_some()
        {
            let round = batch.round;
            self.say_synced(round, out);
        }
        self.serve_if_in_step(out);
        self.finish_batch(out);
    }

    /// Tells the backups in step that this copy has synced a batch: with their own word that is all.
    fn say_synced(&self, round: u64, out: &mut Vec<ReplicaOutput>) {
        let Role::Primary(lead) = &self.role else { return };
        for backup in lead.backups.iter().filter(|backup| backup.is_in_step()) {
            self.send(backup.node.address, ReplicaBody::Synced { round }, out);
        }
    }

    /// The one place where something is said to be committed.
    fn finish_batch(&mut self, out: &mut Vec<ReplicaOutput>) {
        let Role::Primary(lead) = &mut self.role else { return };
        if !lead.is_serving() {
            return;
        }
        let backups = &lead.backups;
        let done = lead.under_way.take_if(|batch| {
            let confirmed = |backup: &Backup| backup.confirmed == Some(batch.round);
            batch.write.is_none() && backups.iter().all(confirmed)
        });
        let Some(batch) = done else { return };
        let confirmed = lead.backups.iter().filter(|backup| backup.has_synced(batch.round));
        let confirmed = confirmed.count();
        self.synced_copies = confirmed + usize::from(self.is_synced());
        self.uncommitted = Uncommitted::Nothing;
        self.note_committed(batch.sequence);
        if !batch.tickets.is_empty() {
            out.push(ReplicaOutput::Committed(batch.tickets));
        }
    }
}

impl PrimaryState {
    /// The comparison of that round, if it is still under way.
    fn comparison_of(&mut self, round: u64) -> Option<&mut Comparison> {
        let backups = self.backups.iter_mut().filter_map(|backup| match &mut backup.state {
            BackupState::Comparing(comparison, _) => comparison.as_mut(),
            BackupState::InStep => None,
        });
        let learners = self.learners.iter_mut().filter_map(|learner| match &mut learner.learning {
            Learning::Fetching(comparison) | Learning::LastRound(comparison, _) => {
                comparison.as_mut()
            }
            Learning::Ready(_) => None,
        });
        backups.chain(learners).find(|comparison| comparison.round == round)
    }
}
