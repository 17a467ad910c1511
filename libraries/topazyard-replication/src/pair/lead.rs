//! The primary's side: batches, the comparison that brings a copy in step, and the learner.

use super::{Doubt, From, Pair, PairOutput, Role, Ticket};
use topazyard_types::{DurationMs, Life, MonotonicMs, Sequence};
use topazyard_wire::RowChange;
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::pair::PairBody;

/// After how long an append is sent again.
const APPEND_AGAIN: DurationMs = DurationMs(100);
/// After how long a comparison that nobody answered is begun again: the other node may not have
/// heard of the epoch yet.
const COMPARE_AGAIN: DurationMs = DurationMs(40);
/// After how long one whose ranges are being fetched is begun again, besides the time that the
/// ranges sent need on their way.
const FETCH_AGAIN: DurationMs = DurationMs(300);
/// How much of a range goes over a link in a millisecond, at the least: 10 MB a second.
const BYTES_PER_MS: u64 = 10_000;
/// How long an idle primary leaves its backup without a word.
const KEEP_ALIVE: DurationMs = DurationMs(200);
/// How long new batches are held back for a learner's last comparison.
const LONGEST_PAUSE: DurationMs = DurationMs(1_500);

/// Whether the primary may commit.
#[derive(Debug, PartialEq, Eq)]
enum Phase {
    /// It may not yet: the backup's copy is being compared, or there is no backup.
    Comparing,
    /// It may.
    Serving,
    /// It may no more in this epoch: another record was asked for.
    Stopped,
}

/// A comparison that is under way.
#[derive(Debug)]
struct Comparison {
    round: u64,
    begun: MonotonicMs,
    /// How many bytes of ranges the other node asked for, if it did.
    fetches: Option<u64>,
}

impl Comparison {
    fn is_due_again(&self, now: MonotonicMs) -> bool {
        let patience = match self.fetches {
            Some(bytes) => DurationMs(FETCH_AGAIN.0 + bytes / BYTES_PER_MS),
            None => COMPARE_AGAIN,
        };
        now.since(self.begun) >= patience
    }
}

/// How far a learner is.
#[derive(Debug)]
enum Learning {
    /// It fetches while the primary goes on.
    Fetching(Option<Comparison>),
    /// New batches are held back since then, for the last comparison.
    LastRound(Option<Comparison>, MonotonicMs),
    /// It holds everything.
    Ready,
}

/// A batch that is being synced on both.
#[derive(Debug)]
struct Batch {
    round: u64,
    sequence: Sequence,
    changes: Vec<RowChange>,
    tickets: Vec<Ticket>,
    write: Option<u64>,
    confirmed: bool,
    begun: MonotonicMs,
    sent: MonotonicMs,
}

/// What a primary keeps.
#[derive(Debug)]
pub struct Lead {
    backup: Option<CoreNode>,
    learner: Option<CoreNode>,
    phase: Phase,
    since: MonotonicMs,
    comparison: Option<Comparison>,
    learning: Learning,
    under_way: Option<Batch>,
    next_tickets: Vec<Ticket>,
    next_changes: Vec<RowChange>,
    last_round: u64,
    last_batch: MonotonicMs,
}

impl Lead {
    pub(super) fn new(
        backup: Option<CoreNode>,
        learner: Option<CoreNode>,
        carried: Option<Box<Self>>,
        life: Life,
        now: MonotonicMs,
    ) -> Self {
        let (under_way, next_tickets, next_changes, last_round) = match carried {
            None => (None, Vec::new(), Vec::new(), life.first_number()),
            Some(old) => (old.under_way, old.next_tickets, old.next_changes, old.last_round),
        };
        Self {
            backup,
            learner,
            phase: Phase::Comparing,
            since: now,
            comparison: None,
            learning: Learning::Fetching(None),
            under_way: under_way.map(|batch| Batch { confirmed: false, ..batch }),
            next_tickets,
            next_changes,
            last_round,
            last_batch: now,
        }
    }

    pub(super) fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    pub(super) fn all_tickets(&self) -> Vec<Ticket> {
        let under_way = self.under_way.iter().flat_map(|batch| batch.tickets.iter());
        under_way.chain(&self.next_tickets).copied().collect()
    }

    pub(super) fn silent_since(&self) -> Option<MonotonicMs> {
        self.backup?;
        match (&self.phase, &self.under_way) {
            (Phase::Comparing, _) => Some(self.since),
            (Phase::Serving, Some(batch)) if !batch.confirmed => Some(batch.begun),
            _ => None,
        }
    }

    fn next_round(&mut self) -> u64 {
        self.last_round += 1;
        self.last_round
    }

    fn is_held_back(&self) -> bool {
        !matches!(self.learning, Learning::Fetching(_))
    }
}

impl Pair {
    /// Submits changes; the ticket is committed once both copies have synced them. No changes
    /// make it a confirmed read.
    ///
    /// Gives false, and does nothing, where this node is not the primary.
    pub fn submit(&mut self, ticket: Ticket, changes: Vec<RowChange>) -> bool {
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
    pub fn stop_answering(&mut self) {
        if let Role::Primary(lead) = &mut self.role {
            lead.phase = Phase::Stopped;
        }
    }

    /// Begins the next batch, if there is one and none is under way. The owner calls this after
    /// it has dealt with all that the pair put out, while the copy holds only what is committed.
    pub fn proceed(&mut self, now: MonotonicMs) -> Vec<PairOutput> {
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
        let round = lead.next_round();
        let held = self.copy.place().sequence;
        let sequence = if changes.is_empty() { held } else { held.next() };
        let write = if changes.is_empty() {
            None
        } else {
            let rows = self.copy.apply(self.epoch, sequence, changes.clone());
            self.doubt = Doubt::LastBatch;
            self.write(rows, now, &mut out)
        };
        if let Role::Primary(lead) = &mut self.role {
            lead.under_way = Some(Batch {
                round,
                sequence,
                changes,
                tickets,
                write,
                confirmed: false,
                begun: now,
                sent: now,
            });
        }
        self.send_append(&mut out);
        out
    }

    fn send_append(&self, out: &mut Vec<PairOutput>) {
        let Role::Primary(lead) = &self.role else { return };
        let (Some(batch), Some(backup)) = (&lead.under_way, lead.backup) else { return };
        let body = PairBody::Append {
            round: batch.round,
            sequence: batch.sequence,
            changes: batch.changes.clone(),
        };
        self.send(backup.address, body, out);
    }

    fn begin_comparison(
        &mut self,
        with: CoreNode,
        now: MonotonicMs,
        out: &mut Vec<PairOutput>,
    ) -> Option<Comparison> {
        let Role::Primary(lead) = &mut self.role else { return None };
        let round = lead.next_round();
        let body = PairBody::Digests {
            round,
            sequence: self.copy.place().sequence,
            digests: self.copy.digests().to_vec(),
        };
        self.send(with.address, body, out);
        Some(Comparison { round, begun: now, fetches: None })
    }

    pub(super) fn lead_beat(&mut self, now: MonotonicMs, out: &mut Vec<PairOutput>) {
        let Role::Primary(lead) = &mut self.role else { return };
        let due = |comparison: &Option<Comparison>| {
            comparison.as_ref().is_none_or(|c| c.is_due_again(now))
        };
        match lead.phase {
            Phase::Comparing if lead.backup.is_some() && due(&lead.comparison) => {
                let backup = lead.backup;
                let begun = backup.and_then(|backup| self.begin_comparison(backup, now, out));
                if let Role::Primary(lead) = &mut self.role {
                    lead.comparison = begun;
                }
            }
            Phase::Serving => {
                if let Some(batch) = &mut lead.under_way
                    && !batch.confirmed
                    && now.since(batch.sent) >= APPEND_AGAIN
                {
                    batch.sent = now;
                    self.send_append(out);
                }
            }
            _ => {}
        }
        self.learner_beat(now, out);
    }

    fn learner_beat(&mut self, now: MonotonicMs, out: &mut Vec<PairOutput>) {
        let Role::Primary(lead) = &mut self.role else { return };
        let Some(learner) = lead.learner else { return };
        // While the backup is out of step it comes first.
        if lead.phase == Phase::Comparing && lead.backup.is_some() {
            return;
        }
        let due = |comparison: &Option<Comparison>| {
            comparison.as_ref().is_none_or(|c| c.is_due_again(now))
        };
        match &lead.learning {
            Learning::LastRound(_, since) if now.since(*since) >= LONGEST_PAUSE => {
                lead.learning = Learning::Fetching(None);
            }
            Learning::Fetching(comparison) if due(comparison) => {
                let begun = self.begin_comparison(learner, now, out);
                if let Role::Primary(lead) = &mut self.role {
                    lead.learning = Learning::Fetching(begun);
                }
            }
            Learning::LastRound(comparison, since) if due(comparison) => {
                let since = *since;
                let begun = self.begin_comparison(learner, now, out);
                if let Role::Primary(lead) = &mut self.role {
                    lead.learning = Learning::LastRound(begun, since);
                }
            }
            _ => {}
        }
    }

    pub(super) fn lead_receive(
        &mut self,
        from: From,
        body: PairBody,
        now: MonotonicMs,
        out: &mut Vec<PairOutput>,
    ) {
        let Role::Primary(lead) = &mut self.role else { return };
        let is_backup = lead.backup.is_some_and(|backup| backup.id == from.id);
        let is_learner = lead.learner.is_some_and(|learner| learner.id == from.id);
        match body {
            PairBody::Appended { round } if is_backup && lead.is_serving() => {
                if let Some(batch) = &mut lead.under_way
                    && batch.round == round
                {
                    batch.confirmed = true;
                }
                self.finish_batch(out);
            }
            PairBody::OutOfStep if is_backup && lead.is_serving() => {
                lead.phase = Phase::Comparing;
                lead.since = now;
                lead.comparison = None;
                self.lead_beat(now, out);
            }
            PairBody::Differ { round, ranges } if is_backup || is_learner => {
                let asked = ranges.into_iter().filter(|r| usize::from(*r) < crate::copy::RANGES);
                let asked: Vec<_> =
                    asked.map(|range| (range, self.copy.range(usize::from(range)))).collect();
                let Some(comparison) = lead.comparison_of(round) else { return };
                let rows = asked.iter().flat_map(|(_, rows)| rows);
                let bytes = rows.map(|(key, value)| (key.len() + value.len()) as u64).sum();
                comparison.fetches = Some(bytes);
                for (range, rows) in asked {
                    self.send(from.address, PairBody::Range { round, range, rows }, out);
                }
            }
            PairBody::InStep { round, sequence } if is_backup => {
                self.backup_in_step(round, sequence, out);
            }
            PairBody::InStep { round, sequence } if is_learner => {
                self.learner_in_step(from, round, sequence, now, out);
            }
            _ => {}
        }
    }

    fn backup_in_step(&mut self, round: u64, sequence: Sequence, out: &mut Vec<PairOutput>) {
        let held = self.copy.place().sequence;
        let Role::Primary(lead) = &mut self.role else { return };
        let asked = lead.comparison.as_ref().is_some_and(|c| c.round == round);
        if lead.phase != Phase::Comparing || !asked || sequence != held {
            return;
        }
        lead.phase = Phase::Serving;
        lead.comparison = None;
        // The copy compared holds the batch that was under way.
        match &mut lead.under_way {
            Some(batch) => batch.confirmed = true,
            None => self.doubt = Doubt::Nothing,
        }
        out.push(PairOutput::Serving);
        self.finish_batch(out);
    }

    fn learner_in_step(
        &mut self,
        from: From,
        round: u64,
        sequence: Sequence,
        now: MonotonicMs,
        out: &mut Vec<PairOutput>,
    ) {
        let held = self.copy.place().sequence;
        let Role::Primary(lead) = &mut self.role else { return };
        match &lead.learning {
            Learning::Fetching(Some(c)) if c.round == round => {
                if self.holds_learner && lead.backup.is_some() {
                    return;
                }
                lead.learning = Learning::LastRound(None, now);
                self.learner_beat(now, out);
            }
            // A batch may be under way: it is in the copy, and from here on it is not answered
            // before the next epoch.
            Learning::LastRound(Some(c), _) if c.round == round && sequence == held => {
                lead.learning = Learning::Ready;
                lead.phase = Phase::Stopped;
                out.push(PairOutput::LearnerReady(from.id));
            }
            _ => {}
        }
    }

    pub(super) fn lead_written(&mut self, number: u64, out: &mut Vec<PairOutput>) {
        if let Role::Primary(lead) = &mut self.role
            && let Some(batch) = &mut lead.under_way
        {
            batch.write.take_if(|write| *write <= number);
        }
        self.finish_batch(out);
    }

    /// The one place where something is said to be committed.
    fn finish_batch(&mut self, out: &mut Vec<PairOutput>) {
        let Role::Primary(lead) = &mut self.role else { return };
        if !lead.is_serving() {
            return;
        }
        let done = lead.under_way.take_if(|batch| batch.confirmed && batch.write.is_none());
        let Some(batch) = done else { return };
        self.doubt = Doubt::Nothing;
        if !batch.tickets.is_empty() {
            out.push(PairOutput::Committed(batch.tickets));
        }
    }
}

impl Lead {
    /// The comparison of that round, if it is still under way.
    fn comparison_of(&mut self, round: u64) -> Option<&mut Comparison> {
        let learning = match &mut self.learning {
            Learning::Fetching(comparison) | Learning::LastRound(comparison, _) => {
                comparison.as_mut()
            }
            Learning::Ready => None,
        };
        self.comparison.as_mut().into_iter().chain(learning).find(|c| c.round == round)
    }
}
