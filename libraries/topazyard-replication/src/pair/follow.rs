//! The follower's side: a backup, or a learner that is to become one.

use super::{Doubt, From, MOST_UNSYNCED, Pair, PairOutput, Role};
use topazyard_types::{Digest, MonotonicMs, NodeId, Place, Sequence};
use topazyard_wire::message::pair::PairBody;

/// What a follower keeps of its primary.
#[derive(Debug)]
pub(super) struct Follow {
    pub(super) primary: NodeId,
    pub(super) heard: MonotonicMs,
    compared: Option<Compared>,
    /// Appends that wait for the disk: (write, return address, round).
    appends: Vec<(u64, std::net::SocketAddr, u64)>,
    last_append: Option<u64>,
    /// The write after which it may say that it is in step.
    step: Option<(u64, std::net::SocketAddr, u64)>,
}

/// The primary's digests, while ranges are fetched.
#[derive(Debug)]
struct Compared {
    round: u64,
    sequence: Sequence,
    digests: Vec<Digest>,
    missing: std::collections::BTreeSet<u16>,
}

impl Follow {
    pub(super) fn new(primary: NodeId, now: MonotonicMs) -> Self {
        Self {
            primary,
            heard: now,
            compared: None,
            appends: Vec::new(),
            last_append: None,
            step: None,
        }
    }
}

impl Pair {
    pub(super) fn follow_receive(
        &mut self,
        from: From,
        body: PairBody,
        now: MonotonicMs,
        out: &mut Vec<PairOutput>,
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
            PairBody::Append { round, sequence, changes } => {
                self.take_append(from, round, sequence, changes, now, out);
            }
            PairBody::Digests { round, sequence, digests } => {
                follow.compared = Some(Compared {
                    round,
                    sequence,
                    digests,
                    missing: std::collections::BTreeSet::new(),
                });
                self.compare(from.address, now, out);
            }
            PairBody::Range { round, range, rows } => {
                self.take_range(from, round, range, rows, now, out)
            }
            _ => {}
        }
    }

    fn take_append(
        &mut self,
        from: From,
        round: u64,
        sequence: Sequence,
        changes: Vec<topazyard_wire::RowChange>,
        now: MonotonicMs,
        out: &mut Vec<PairOutput>,
    ) {
        let held = self.copy.place().sequence;
        let in_step = self.was_in_step();
        let Role::Follower(follow) = &mut self.role else { return };
        let repeated = follow.last_append == Some(round);
        let fits = if changes.is_empty() { sequence == held } else { sequence == held.next() };
        if !in_step || !(fits || repeated) {
            self.send(from.address, PairBody::OutOfStep, out);
            return;
        }
        if repeated && follow.appends.iter().any(|(_, _, waiting)| *waiting == round) {
            return;
        }
        follow.last_append = Some(round);
        // A primary begins a round only once the one before is committed.
        if !repeated {
            self.doubt = if changes.is_empty() { Doubt::Nothing } else { Doubt::LastBatch };
        }
        if changes.is_empty() || repeated {
            self.send(from.address, PairBody::Appended { round }, out);
            return;
        }
        let rows = self.copy.apply(self.epoch, sequence, changes);
        match self.write(rows, now, out) {
            Some(write) => {
                if let Role::Follower(follow) = &mut self.role {
                    follow.appends.push((write, from.address, round));
                }
            }
            None => self.send(from.address, PairBody::Appended { round }, out),
        }
    }

    /// Compares with the primary's digests: asks for what differs, or says that nothing does.
    fn compare(
        &mut self,
        primary: std::net::SocketAddr,
        now: MonotonicMs,
        out: &mut Vec<PairOutput>,
    ) {
        self.doubt = Doubt::All;
        let own = self.copy.digests();
        let Role::Follower(follow) = &mut self.role else { return };
        let Some(compared) = &mut follow.compared else { return };
        let differ: Vec<u16> = (0_u16..)
            .zip(compared.digests.iter().zip(own))
            .filter(|(_, (theirs, ours))| theirs != ours)
            .map(|(range, _)| range)
            .collect();
        let (round, sequence) = (compared.round, compared.sequence);
        if !differ.is_empty() {
            compared.missing = differ.iter().copied().collect();
            self.send(primary, PairBody::Differ { round, ranges: differ }, out);
            return;
        }
        follow.compared = None;
        // Written even if nothing changed: the disk works in order, so all before it is synced too.
        let row = self.copy.take_place(Place { epoch: self.epoch, sequence });
        match self.write(vec![row], now, out) {
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
        from: From,
        round: u64,
        range: u16,
        rows: Vec<(String, bytes::Bytes)>,
        now: MonotonicMs,
        out: &mut Vec<PairOutput>,
    ) {
        let Role::Follower(follow) = &mut self.role else { return };
        let Some(compared) = &mut follow.compared else { return };
        if compared.round != round || !compared.missing.remove(&range) {
            return;
        }
        let complete = compared.missing.is_empty();
        let changes = self.copy.replace_range(usize::from(range), rows);
        self.write(changes, now, out);
        if complete {
            self.compare(from.address, now, out);
        }
    }

    fn say_in_step(
        &mut self,
        primary: std::net::SocketAddr,
        round: u64,
        out: &mut Vec<PairOutput>,
    ) {
        let sequence = self.copy.place().sequence;
        self.doubt = Doubt::SomeBatch;
        if let Role::Follower(follow) = &mut self.role {
            follow.last_append = None;
        }
        self.send(primary, PairBody::InStep { round, sequence }, out);
    }

    pub(super) fn follow_written(&mut self, number: u64, out: &mut Vec<PairOutput>) {
        let Role::Follower(follow) = &mut self.role else { return };
        let (done, waiting) = std::mem::take(&mut follow.appends)
            .into_iter()
            .partition::<Vec<_>, _>(|(write, _, _)| *write <= number);
        follow.appends = waiting;
        let step = follow.step.take_if(|(write, _, _)| *write <= number);
        for (_, to, round) in done {
            self.send(to, PairBody::Appended { round }, out);
        }
        if let Some((_, primary, round)) = step {
            self.say_in_step(primary, round, out);
        }
    }
}
