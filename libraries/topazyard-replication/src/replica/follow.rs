//! The follower's side: a backup, or a learner that is to become one.

use super::{MOST_UNSYNCED, Replica, ReplicaOutput, Role, Sender, Uncommitted};
use topazyard_types::{Digest, LogPosition, MonotonicMs, NodeId, Sequence};
use topazyard_wire::message::replica::{RangePart, ReplicaBody};

/// What a follower keeps of its primary.
#[derive(Debug, Clone)]
pub(super) struct Follow {
    pub(super) primary: NodeId,
    pub(super) heard: MonotonicMs,
    compared: Option<Compared>,
    /// Appends that wait for the disk: (write, return address, round).
    appends: Vec<(u64, std::net::SocketAddr, u64)>,
    last_append: Option<u64>,
    /// The last round that the primary said it has synced itself.
    synced_by_primary: Option<u64>,
    /// The write after which it may say that it is in step.
    step: Option<(u64, std::net::SocketAddr, u64)>,
    /// The comparison by which it came in step. A batch counts only from the same life of the
    /// primary, so that a frame of a former life changes nothing.
    in_step_since: Option<u64>,
}

/// How many rounds one life of a primary gives out at the most, comparisons among them.
const ROUNDS_OF_A_LIFE: u64 = 1 << 32;

/// The primary's digests, while ranges are fetched. The copy itself stays as it is until all
/// that differs is here: a copy that is half the old and half the new would pass for either.
#[derive(Debug, Clone)]
struct Compared {
    round: u64,
    sequence: Sequence,
    digests: Vec<Digest>,
    missing: std::collections::BTreeSet<u16>,
    /// Ranges of which some parts are still under way.
    arriving: std::collections::BTreeMap<u16, Arriving>,
    fetched: std::collections::BTreeMap<u16, Fetched>,
}

/// The parts of one range that arrived.
#[derive(Debug, Clone, Default)]
struct Arriving {
    parts: std::collections::BTreeMap<u32, Vec<(String, bytes::Bytes)>>,
}

/// A range that arrived whole.
#[derive(Debug, Clone)]
struct Fetched {
    /// The digest of what the primary holds there.
    digest: Digest,
    /// What is to change in this copy for it to hold the same.
    changes: Vec<topazyard_wire::RowChange>,
}

impl Follow {
    pub(super) fn new(primary: NodeId, now: MonotonicMs) -> Self {
        Self {
            primary,
            heard: now,
            compared: None,
            appends: Vec::new(),
            last_append: None,
            synced_by_primary: None,
            step: None,
            in_step_since: None,
        }
    }

    /// Whether the primary has said that it synced the batch that was taken last.
    pub(super) fn primary_synced_last_batch(&self) -> bool {
        self.last_append.is_some() && self.last_append == self.synced_by_primary
    }

    /// Whether a round was begun by the life of the primary that this copy was compared with.
    fn is_of_same_life(&self, round: u64) -> bool {
        self.in_step_since.is_some_and(|compared| is_of_one_life(compared, round))
    }
}

/// Whether the second round comes after the first in the same life of a primary.
fn is_of_one_life(first: u64, second: u64) -> bool {
    second.checked_sub(first).is_some_and(|rounds| rounds < ROUNDS_OF_A_LIFE)
}

impl Follow {
    /// Takes the primary's digests. Ranges that were fetched for an earlier comparison and still
    /// are what the primary holds need not be fetched again.
    fn begin_comparison(&mut self, round: u64, sequence: Sequence, digests: Vec<Digest>) {
        let mut fetched = self.compared.take().map(|old| old.fetched).unwrap_or_default();
        fetched.retain(|range, fetched| digests.get(usize::from(*range)) == Some(&fetched.digest));
        self.step = None;
        self.compared = Some(Compared {
            round,
            sequence,
            digests,
            missing: std::collections::BTreeSet::new(),
            arriving: std::collections::BTreeMap::new(),
            fetched,
        });
    }
}

impl Compared {
    /// The ranges in which this copy, with all that was fetched, is not what the primary holds.
    fn differing(&self, own: &[Digest]) -> std::collections::BTreeSet<u16> {
        let ranges = (0_u16..).zip(self.digests.iter().zip(own));
        let differs = |(range, (theirs, ours)): &(u16, (&Digest, &Digest))| {
            let fetched = self.fetched.get(range).map(|fetched| &fetched.digest);
            *theirs != fetched.unwrap_or(ours)
        };
        ranges.filter(differs).map(|(range, _)| range).collect()
    }

    /// Takes a part of a range; gives the rows of the range once all its parts are here.
    fn take_part(&mut self, part: RangePart) -> Option<Vec<(String, bytes::Bytes)>> {
        let RangePart { round, range, part, rows } = part;
        if self.round != round || !self.missing.contains(&range) {
            return None;
        }
        let arriving = self.arriving.entry(range).or_default();
        arriving.parts.insert(part.number, rows);
        if arriving.parts.len() < part.of as usize {
            return None;
        }
        self.missing.remove(&range);
        let arrived = self.arriving.remove(&range)?;
        Some(arrived.parts.into_values().flatten().collect())
    }
}

impl Replica {
    pub(super) fn follow_receive(
        &mut self,
        from: Sender,
        body: ReplicaBody,
        now: MonotonicMs,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let Role::Follower(follow) = &mut self.role else { return };
        if follow.primary != from.id {
            return;
        }
        follow.heard = now;
        if self.writes.len() >= MOST_UNSYNCED {
            // As if the frame had been lost: the primary sends it again.
            return;
        }
        match body {
            ReplicaBody::Append { round, sequence, changes } => {
                self.take_append(from, round, sequence, changes, now, out);
            }
            ReplicaBody::Digests { round, sequence, digests, .. } => {
                follow.begin_comparison(round, sequence, digests);
                self.compare(from.address, now, out);
            }
            ReplicaBody::Range(part) => self.take_range(from, part, now, out),
            ReplicaBody::Synced { round } => follow.synced_by_primary = Some(round),
            _ => {}
        }
    }

    fn take_append(
        &mut self,
        from: Sender,
        round: u64,
        sequence: Sequence,
        changes: Vec<topazyard_wire::RowChange>,
        now: MonotonicMs,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let held = self.copy.position().sequence;
        let in_step = self.was_in_sync();
        let Role::Follower(follow) = &mut self.role else { return };
        if let Some(compared) = &follow.compared {
            if is_of_one_life(round, compared.round) {
                // It was sent before the comparison that is under way, which settles it too.
                return;
            }
            // The comparison came late: the primary already goes on from here.
            follow.compared = None;
        }
        let in_step = in_step && follow.is_of_same_life(round);
        let repeated = follow.last_append == Some(round);
        let fits = if changes.is_empty() { sequence == held } else { sequence == held.next() };
        if !in_step || !(fits || repeated) {
            self.send(from.address, ReplicaBody::OutOfSync, out);
            return;
        }
        if repeated && follow.appends.iter().any(|(_, _, waiting)| *waiting == round) {
            return;
        }
        follow.last_append = Some(round);
        // A primary begins a round only once the one before is committed.
        if !repeated {
            self.uncommitted =
                if changes.is_empty() { Uncommitted::Nothing } else { Uncommitted::LastBatch };
            self.note_committed(held);
        }
        if changes.is_empty() || repeated {
            self.send(from.address, ReplicaBody::Appended { round }, out);
            return;
        }
        let rows = self.copy.apply(self.epoch, sequence, changes);
        match self.write(rows, now, out) {
            Some(write) => {
                if let Role::Follower(follow) = &mut self.role {
                    follow.appends.push((write, from.address, round));
                }
            }
            None => self.send(from.address, ReplicaBody::Appended { round }, out),
        }
    }

    /// Compares with the primary's digests: asks for what differs, or takes it all at once and
    /// says that nothing does any more.
    fn compare(
        &mut self,
        primary: std::net::SocketAddr,
        now: MonotonicMs,
        out: &mut Vec<ReplicaOutput>,
    ) {
        self.uncommitted = Uncommitted::All;
        let own = self.copy.digests();
        let Role::Follower(follow) = &mut self.role else { return };
        let Some(compared) = &mut follow.compared else { return };
        compared.missing = compared.differing(own);
        if !compared.missing.is_empty() {
            let ranges = compared.missing.iter().copied().collect();
            let round = compared.round;
            self.send(primary, ReplicaBody::Differ { round, ranges }, out);
            return;
        }
        let Some(compared) = follow.compared.take() else { return };
        let (round, sequence) = (compared.round, compared.sequence);
        let changes = compared.fetched.into_values().flat_map(|range| range.changes).collect();
        self.check_keeps_committed(sequence);
        // Written even if nothing changed: the disk works in order, so all before it is synced too.
        let rows = self.copy.replace(LogPosition { epoch: self.epoch, sequence }, changes);
        match self.write(rows, now, out) {
            Some(write) => {
                if let Role::Follower(follow) = &mut self.role {
                    follow.step = Some((write, primary, round));
                }
            }
            None => self.say_in_step(primary, round, out),
        }
    }

    fn take_range(
        &mut self,
        from: Sender,
        part: RangePart,
        now: MonotonicMs,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let Role::Follower(follow) = &mut self.role else { return };
        let Some(compared) = &mut follow.compared else { return };
        let range = part.range;
        let Some(rows) = compared.take_part(part) else { return };
        let digest = crate::copy::digest_of_rows(&rows);
        let changes = self.copy.difference(usize::from(range), rows);
        compared.fetched.insert(range, Fetched { digest, changes });
        // A range that changed at the primary since it sent its digests is settled by its next ones.
        if compared.missing.is_empty() && compared.differing(self.copy.digests()).is_empty() {
            self.compare(from.address, now, out);
        }
    }

    fn say_in_step(
        &mut self,
        primary: std::net::SocketAddr,
        round: u64,
        out: &mut Vec<ReplicaOutput>,
    ) {
        let sequence = self.copy.position().sequence;
        self.uncommitted = Uncommitted::UnknownBatch;
        if let Role::Follower(follow) = &mut self.role {
            follow.last_append = None;
            follow.in_step_since = Some(round);
        }
        self.send(primary, ReplicaBody::InSync { round, sequence }, out);
    }

    pub(super) fn follow_written(&mut self, number: u64, out: &mut Vec<ReplicaOutput>) {
        let Role::Follower(follow) = &mut self.role else { return };
        let (done, waiting) = std::mem::take(&mut follow.appends)
            .into_iter()
            .partition::<Vec<_>, _>(|(write, _, _)| *write <= number);
        follow.appends = waiting;
        let step = follow.step.take_if(|(write, _, _)| *write <= number);
        for (_, to, round) in done {
            self.send(to, ReplicaBody::Appended { round }, out);
        }
        if let Some((_, primary, round)) = step {
            self.say_in_step(primary, round, out);
        }
    }
}
