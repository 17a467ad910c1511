//! The follower role: a backup, or a learner that is to become one.

use super::{MAX_UNSYNCED_WRITES, Replica, ReplicaOutput, Role, Sender, Uncommitted};
use crate::copy::{Copy, DigestedRows, RangeContent, row_digest};
use topazyard_types::{Digest, LogPosition, MonotonicMs, NodeId, Sequence};
use topazyard_wire::message::replica::{DifferingRange, RangePart, ReplicaBody};

/// What a follower keeps about its primary.
#[derive(Debug, Clone)]
pub(super) struct FollowerState {
    pub(super) primary: NodeId,
    pub(super) last_heard: MonotonicMs,
    comparison: Option<FollowerComparison>,
    /// Ranges fetched in an earlier epoch, until the first comparison of this one.
    fetched_before: FetchedRanges,
    /// Appends that wait for the disk, as (write number, response address, round).
    appends: Vec<(u64, std::net::SocketAddr, u64)>,
    last_append_round: Option<u64>,
    /// The last round that the primary reported as synced on its own disk.
    primary_synced_round: Option<u64>,
    /// The write after which this follower may report that it is in sync, as (write number,
    /// response address, round).
    pending_in_sync: Option<(u64, std::net::SocketAddr, u64)>,
    /// Round of the comparison after which this copy was in sync. Appends count only from the same
    /// boot of the primary: a delayed frame from an earlier boot is ignored.
    sync_round: Option<u64>,
}

/// Ranges that have arrived completely, by number.
pub(super) type FetchedRanges = std::collections::BTreeMap<u16, FetchedRange>;

/// Maximum number of rows that a follower lists as known in one message, to bound its size.
const MAX_KNOWN_ROWS: usize = 16 * 1024;

/// Maximum number of rounds that a primary starts during one boot, comparisons included.
const MAX_ROUNDS_PER_BOOT: u64 = 1 << 32;

/// The primary's digests while differing ranges are fetched. The copy stays unchanged until all of
/// them have arrived: a partly updated copy could be taken for either the old or the new one.
#[derive(Debug, Clone)]
struct FollowerComparison {
    round: u64,
    sequence: Sequence,
    digests: Vec<Digest>,
    missing: std::collections::BTreeSet<u16>,
    /// Ranges of which only some parts have arrived.
    partial_ranges: std::collections::BTreeMap<u16, PartialRange>,
    fetched: FetchedRanges,
}

/// The parts of one range that have arrived, all sent in the same round.
#[derive(Debug, Clone, Default)]
struct PartialRange {
    round: u64,
    parts: std::collections::BTreeMap<u32, RangeContent>,
}

impl PartialRange {
    /// All parts as one.
    fn join(self) -> RangeContent {
        self.parts.into_values().fold(RangeContent::default(), |mut joined, part| {
            joined.rows.extend(part.rows);
            if let Some(stale) = part.stale {
                joined.stale.get_or_insert_default().extend(stale);
            }
            joined
        })
    }
}

/// A range as it was at the primary when it arrived.
#[derive(Debug, Clone)]
pub(super) struct FetchedRange {
    /// Digest of its rows.
    digest: Digest,
    /// Its rows, by their digests.
    rows: DigestedRows,
}

impl FetchedRange {
    /// What a range becomes that had these rows, by the content that the primary sent.
    fn new(known: DigestedRows, content: RangeContent) -> Self {
        let mut rows = match content.stale {
            None => DigestedRows::new(),
            Some(stale) => {
                let mut rows = known;
                stale.iter().for_each(|digest| drop(rows.remove(digest)));
                rows
            }
        };
        rows.extend(content.rows.into_iter().map(|row| (row_digest(&row.0, &row.1), row)));
        let digest = rows.keys().copied().fold(Digest::default(), Digest::toggled);
        Self { digest, rows }
    }
}

impl FollowerState {
    /// A follower of `primary`. `fetched_before` are the ranges that it fetched in the epoch before,
    /// while its copy stayed as it is.
    pub(super) fn new(primary: NodeId, fetched_before: FetchedRanges, now: MonotonicMs) -> Self {
        Self {
            primary,
            last_heard: now,
            comparison: None,
            fetched_before,
            appends: Vec::new(),
            last_append_round: None,
            primary_synced_round: None,
            pending_in_sync: None,
            sync_round: None,
        }
    }

    /// Takes the ranges that were fetched for a comparison in progress.
    pub(super) fn take_fetched(&mut self) -> FetchedRanges {
        match self.comparison.take() {
            Some(comparison) => comparison.fetched,
            None => std::mem::take(&mut self.fetched_before),
        }
    }

    /// Whether the primary has reported that it synced the last batch received from it.
    pub(super) fn primary_synced_last_batch(&self) -> bool {
        self.last_append_round.is_some() && self.last_append_round == self.primary_synced_round
    }

    /// Whether a comparison in progress is later than the append of the given round.
    fn is_compared_after(&self, round: u64) -> bool {
        let comparing = self.comparison.as_ref().map(|comparison| comparison.round);
        let pending = self.pending_in_sync.map(|(_, _, pending)| pending);
        let mut rounds = comparing.into_iter().chain(pending);
        rounds.any(|comparison| is_later_round_of_same_boot(round, comparison))
    }

    /// Whether a round belongs to the boot of the primary that this copy was last in sync with.
    fn is_round_of_synced_boot(&self, round: u64) -> bool {
        self.sync_round.is_some_and(|comparison| is_later_round_of_same_boot(comparison, round))
    }
}

/// Whether `second` is the same as or later than `first` in the same boot of a primary.
fn is_later_round_of_same_boot(first: u64, second: u64) -> bool {
    second.checked_sub(first).is_some_and(|rounds| rounds < MAX_ROUNDS_PER_BOOT)
}

impl FollowerState {
    /// Handles the primary's digests. Ranges fetched for an earlier comparison, also one of the epoch
    /// before, are kept: they count if they match the primary's digests, and else only rows that
    /// changed are fetched. So are the parts of others, within an epoch: once a range is complete,
    /// its digest shows whether it is the one that is missing.
    fn start_comparison(&mut self, round: u64, sequence: Sequence, digests: Vec<Digest>) {
        let (fetched, partial_ranges) = match self.comparison.take() {
            Some(previous) => (previous.fetched, previous.partial_ranges),
            None => (std::mem::take(&mut self.fetched_before), Default::default()),
        };
        self.comparison = Some(FollowerComparison {
            round,
            sequence,
            digests,
            missing: std::collections::BTreeSet::new(),
            partial_ranges,
            fetched,
        });
    }
}

impl FollowerComparison {
    /// The rows that this node has of a range: those that were fetched, or those of its copy.
    fn known_rows(&self, range: u16, copy: &Copy) -> DigestedRows {
        match self.fetched.get(&range) {
            Some(fetched) => fetched.rows.clone(),
            None => copy.range_rows(range),
        }
    }

    /// The missing ranges, with the rows that this node has in them.
    fn describe_missing(&self, copy: &Copy) -> Vec<DifferingRange> {
        let mut listed_rows = 0;
        let mut describe = |range: &u16| {
            let known: Vec<Digest> = self.known_rows(*range, copy).into_keys().collect();
            listed_rows += known.len();
            let is_useful = !known.is_empty() && listed_rows <= MAX_KNOWN_ROWS;
            DifferingRange { range: *range, known: is_useful.then_some(known) }
        };
        self.missing.iter().map(&mut describe).collect()
    }

    /// The ranges that still differ from the primary's, counting all that was fetched.
    fn differing(&self, own_digests: &[Digest]) -> std::collections::BTreeSet<u16> {
        let ranges = (0_u16..).zip(self.digests.iter().zip(own_digests));
        let differs = |(range, (primary_digest, own_digest)): &(u16, (&Digest, &Digest))| {
            let fetched = self.fetched.get(range).map(|fetched| &fetched.digest);
            *primary_digest != fetched.unwrap_or(own_digest)
        };
        ranges.filter(differs).map(|(range, _)| range).collect()
    }

    /// Adds a part of a range and returns its content once all its parts have arrived.
    fn add_part(&mut self, part: RangePart) -> Option<RangeContent> {
        let RangePart { round, range, part, rows, stale } = part;
        if !self.missing.contains(&range) {
            return None;
        }
        let partial = self.partial_ranges.entry(range).or_default();
        if round < partial.round {
            return None;
        }
        if round > partial.round {
            *partial = PartialRange { round, ..PartialRange::default() };
        }
        partial.parts.insert(part.number, RangeContent { rows, stale });
        if partial.parts.len() < part.of as usize {
            return None;
        }
        self.missing.remove(&range);
        Some(self.partial_ranges.remove(&range)?.join())
    }
}

impl Replica {
    pub(super) fn follower_receive(
        &mut self,
        from: Sender,
        body: ReplicaBody,
        now: MonotonicMs,
        outputs: &mut Vec<ReplicaOutput>,
    ) {
        let Role::Follower(follower) = &mut self.role else { return };
        if follower.primary != from.id {
            return;
        }
        follower.last_heard = now;
        if self.unsynced_writes.len() >= MAX_UNSYNCED_WRITES {
            // Treat the frame as lost; the primary sends it again.
            return;
        }
        match body {
            ReplicaBody::Append { round, sequence, changes } => {
                self.receive_append(from, round, sequence, changes, now, outputs);
            }
            ReplicaBody::Digests { round, sequence, digests, .. } => {
                follower.start_comparison(round, sequence, digests);
                self.compare(from.address, now, outputs);
            }
            ReplicaBody::Range(part) => self.receive_range(from, part, now, outputs),
            ReplicaBody::CheckAppended { round } => self.answer_append_check(from, round, outputs),
            ReplicaBody::Synced { round } => follower.primary_synced_round = Some(round),
            _ => {}
        }
    }

    fn receive_append(
        &mut self,
        from: Sender,
        round: u64,
        sequence: Sequence,
        changes: Vec<topazyard_wire::RowChange>,
        now: MonotonicMs,
        outputs: &mut Vec<ReplicaOutput>,
    ) {
        let own_sequence = self.copy.position().sequence;
        let in_sync = self.was_in_sync();
        let Role::Follower(follower) = &mut self.role else { return };
        if let Some(comparison) = &follower.comparison {
            if is_later_round_of_same_boot(round, comparison.round) {
                // Sent before the comparison in progress, which will cover it too.
                return;
            }
            // A delayed comparison: the primary has already continued from the position of this
            // copy.
            follower.comparison = None;
        }
        let in_sync = in_sync && follower.is_round_of_synced_boot(round);
        let is_repeated = follower.last_append_round == Some(round);
        let is_next = if changes.is_empty() {
            sequence == own_sequence
        } else {
            sequence == own_sequence.next()
        };
        if !in_sync || !(is_next || is_repeated) {
            self.send(from.address, ReplicaBody::OutOfSync, outputs);
            return;
        }
        if is_repeated && follower.appends.iter().any(|(_, _, waiting)| *waiting == round) {
            return;
        }
        follower.last_append_round = Some(round);
        // The primary has taken this copy as in sync already.
        follower.pending_in_sync = None;
        // A primary starts a round only once the previous one is committed.
        if !is_repeated {
            self.uncommitted =
                if changes.is_empty() { Uncommitted::Nothing } else { Uncommitted::LastBatch };
            self.note_committed(own_sequence);
        }
        if changes.is_empty() || is_repeated {
            self.send(from.address, ReplicaBody::Appended { round }, outputs);
            return;
        }
        let rows = self.copy.apply(self.epoch, sequence, changes);
        match self.write(rows, now, outputs) {
            Some(write) => {
                if let Role::Follower(follower) = &mut self.role {
                    follower.appends.push((write, from.address, round));
                }
            }
            None => self.send(from.address, ReplicaBody::Appended { round }, outputs),
        }
    }

    /// Answers whether the append of a round arrived. One that waits for the disk is confirmed once
    /// it is synced.
    fn answer_append_check(&mut self, from: Sender, round: u64, outputs: &mut Vec<ReplicaOutput>) {
        let Role::Follower(follower) = &mut self.role else { return };
        if follower.is_compared_after(round) {
            // The comparison covers the append too.
            return;
        }
        follower.comparison = None;
        let Role::Follower(follower) = &self.role else { return };
        let arrived = follower.last_append_round == Some(round);
        let waits = follower.appends.iter().any(|(_, _, waiting)| *waiting == round);
        let answer = match (arrived, waits) {
            (true, true) => return,
            (true, false) => ReplicaBody::Appended { round },
            (false, _) if !self.was_in_sync() || !follower.is_round_of_synced_boot(round) => {
                ReplicaBody::OutOfSync
            }
            (false, _) => ReplicaBody::AppendMissing { round },
        };
        self.send(from.address, answer, outputs);
    }

    /// Compares with the primary's digests. Requests the ranges that differ; if none do, applies
    /// everything that was fetched in one step and reports that the copy is in sync.
    fn compare(
        &mut self,
        primary: std::net::SocketAddr,
        now: MonotonicMs,
        outputs: &mut Vec<ReplicaOutput>,
    ) {
        self.uncommitted = Uncommitted::All;
        let own_digests = self.copy.digests();
        let Role::Follower(follower) = &mut self.role else { return };
        let Some(comparison) = &mut follower.comparison else { return };
        comparison.missing = comparison.differing(own_digests);
        if !comparison.missing.is_empty() {
            follower.pending_in_sync = None;
            let round = comparison.round;
            let ranges = comparison.describe_missing(&self.copy);
            self.send(primary, ReplicaBody::Differ { round, ranges }, outputs);
            return;
        }
        let Some(comparison) = follower.comparison.take() else { return };
        let (round, sequence) = (comparison.round, comparison.sequence);
        let position = LogPosition { epoch: self.epoch, sequence };
        // The disk syncs in order, so a repeated comparison need not wait for its own write.
        let is_repeated = comparison.fetched.is_empty() && self.copy.position() == position;
        let earlier = follower.pending_in_sync.take().filter(|_| is_repeated);
        let fetched = comparison.fetched.into_iter();
        let changes = fetched.flat_map(|(range, fetched)| {
            self.copy.difference(range, fetched.rows.into_values().collect())
        });
        let changes = changes.collect();
        self.check_keeps_committed(sequence);
        // Written even if nothing changed: the disk syncs in order, so everything before is synced
        // too.
        let rows = self.copy.replace(position, changes);
        match self.write(rows, now, outputs) {
            Some(write) => {
                let write = earlier.map_or(write, |(earlier, _, _)| earlier);
                if let Role::Follower(follower) = &mut self.role {
                    follower.pending_in_sync = Some((write, primary, round));
                }
            }
            None => self.send_in_sync(primary, round, outputs),
        }
    }

    fn receive_range(
        &mut self,
        from: Sender,
        part: RangePart,
        now: MonotonicMs,
        outputs: &mut Vec<ReplicaOutput>,
    ) {
        let range = part.range;
        let received = ReplicaBody::RangeReceived { range, part: part.part.number };
        self.send(from.address, received, outputs);
        let Role::Follower(follower) = &mut self.role else { return };
        let Some(comparison) = &mut follower.comparison else { return };
        let Some(content) = comparison.add_part(part) else { return };
        let known = comparison.known_rows(range, &self.copy);
        comparison.fetched.insert(range, FetchedRange::new(known, content));
        // If the range changed at the primary after it sent its digests, the next digests settle
        // it.
        if comparison.missing.is_empty() && comparison.differing(self.copy.digests()).is_empty() {
            self.compare(from.address, now, outputs);
        }
    }

    fn send_in_sync(
        &mut self,
        primary: std::net::SocketAddr,
        round: u64,
        outputs: &mut Vec<ReplicaOutput>,
    ) {
        let sequence = self.copy.position().sequence;
        self.uncommitted = Uncommitted::UnknownBatch;
        if let Role::Follower(follower) = &mut self.role {
            follower.last_append_round = None;
            follower.sync_round = Some(round);
        }
        self.send(primary, ReplicaBody::InSync { round, sequence }, outputs);
    }

    pub(super) fn follower_write_synced(&mut self, number: u64, outputs: &mut Vec<ReplicaOutput>) {
        let Role::Follower(follower) = &mut self.role else { return };
        let (done, waiting) = std::mem::take(&mut follower.appends)
            .into_iter()
            .partition::<Vec<_>, _>(|(write, _, _)| *write <= number);
        follower.appends = waiting;
        let in_sync = follower.pending_in_sync.take_if(|(write, _, _)| *write <= number);
        for (_, to, round) in done {
            self.send(to, ReplicaBody::Appended { round }, outputs);
        }
        if let Some((_, primary, round)) = in_sync {
            self.send_in_sync(primary, round, outputs);
        }
    }
}
