//! A primary and its backups: nothing is answered that not all of them have confirmed in the same
//! epoch.
//!
//! The owner tells the replica which role it has in which epoch; the replica keeps the copies in step.
//! One batch is under way at a time; what comes meanwhile forms the next. A read is a batch
//! without changes, so that it is confirmed the same way.

mod follow;
mod lead;
mod parts;
mod progress;

use topazyard_types::{BootId, Epoch, MonotonicMs, NodeId, Sequence};
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Group, RowChange, WriteToken};

use crate::invariants::{check_committed_stays, report};
use topazyard_wire::invariants::Invariant;

pub use lead::PrimaryState;

/// With so many writes that are not synced a follower takes nothing more. A whole copy comes in
/// fewer.
const MOST_UNSYNCED: usize = 2 * crate::copy::RANGE_COUNT;

/// Marks something submitted, so that the owner hears when it is committed.
pub type WriteTicket = u64;

/// What the replica wants done or has to say.
#[derive(Debug)]
pub enum ReplicaOutput {
    /// Send.
    Send(std::net::SocketAddr, ReplicaMessage),
    /// Write and sync.
    Write(WriteToken, Vec<RowChange>),
    /// These tickets are committed, in the order they came.
    Committed(Vec<WriteTicket>),
    /// These tickets were under way when the role was lost: their outcome is unknown.
    OutcomeUnknown(Vec<WriteTicket>),
    /// The primary now serves in its epoch.
    Serving,
    /// All learners hold everything, and nothing is answered until the epoch changes.
    LearnersReady,
}

/// Who follows a primary in an epoch.
#[derive(Debug, Clone, Default)]
pub struct Followers {
    /// Who confirm each batch, all of them.
    pub backups: Vec<CoreNode>,
    /// Who are being given a copy.
    pub learners: Vec<CoreNode>,
    /// Whether these backups are enough for anything to be answered.
    pub may_serve: bool,
}

/// What a node is to a group in an epoch.
#[derive(Debug, Clone)]
enum Role {
    /// Nothing.
    Idle,
    /// It commits.
    Primary(Box<PrimaryState>),
    /// It follows a primary: as its backup or as its learner.
    Follower(follow::Follow),
}

/// How much of a copy may never have been committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Uncommitted {
    /// Nothing: all of it was.
    Nothing,
    /// What the batch applied last changed.
    LastBatch,
    /// Some batch that nobody can tell from the rest: the copy equalled its primary's.
    UnknownBatch,
    /// Any of it: the copy is being compared, or was read from disk.
    All,
}

/// One node's part in a group.
#[derive(Debug, Clone)]
pub struct Replica {
    group: Group,
    durable: bool,
    epoch: Epoch,
    copy: crate::Copy,
    role: Role,
    uncommitted: Uncommitted,
    holds_learner: bool,
    settled: bool,
    last_write: u64,
    /// The round given out last, in any role: none is given out twice in a life.
    last_round: u64,
    writes: std::collections::BTreeMap<u64, MonotonicMs>,
    /// On how many copies the last commit was synced, this one among them.
    synced_copies: usize,
    /// What this node knows to have been committed.
    committed: Sequence,
}

/// A frame's sender.
#[derive(Debug, Clone, Copy)]
pub struct Sender {
    /// Its id.
    pub id: NodeId,
    /// Where it takes frames.
    pub address: std::net::SocketAddr,
}

impl Replica {
    /// A node's part in a group, with the copy it holds. Groups that are not durable are kept in
    /// memory only.
    ///
    /// ```
    /// use topazyard_replication::{Copy, Replica};
    /// use topazyard_types::BootId;
    /// let replica = Replica::new(topazyard_wire::Group::Control, true, Copy::default(), BootId(1));
    /// assert!(!replica.is_serving());
    /// ```
    pub fn new(group: Group, durable: bool, copy: crate::Copy, boot_id: BootId) -> Self {
        Self {
            group,
            durable,
            epoch: copy.position().epoch,
            copy,
            role: Role::Idle,
            uncommitted: Uncommitted::All,
            holds_learner: false,
            settled: false,
            last_write: 0,
            last_round: boot_id.first_number(),
            writes: std::collections::BTreeMap::new(),
            synced_copies: 0,
            committed: Sequence::default(),
        }
    }

    /// Numbers its writes from after that one. A sync is told by its number alone, so that no number may
    /// be used again while a write of an earlier copy of the group may still be under way.
    pub fn with_last_write(mut self, number: u64) -> Self {
        self.last_write = number;
        self
    }

    /// The number of the last write.
    pub fn last_write(&self) -> u64 {
        self.last_write
    }

    /// The copy.
    pub fn copy(&self) -> &crate::Copy {
        &self.copy
    }

    /// Leaves a learner as it is while nobody could make it the backup: a primary that has one goes
    /// on with it rather than stop for a record that won't come.
    pub fn set_learner_promotion_paused(&mut self, holds: bool) {
        self.holds_learner = holds;
    }

    /// On how many copies the last commit of this primary was synced, its own among them.
    pub fn synced_copies(&self) -> usize {
        self.synced_copies
    }

    /// How much of the copy may never have been committed, and so may go again.
    pub fn uncommitted(&self) -> Uncommitted {
        self.uncommitted
    }

    /// The epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether this node is the primary and all its backups confirm.
    pub fn is_serving(&self) -> bool {
        matches!(&self.role, Role::Primary(lead) if lead.is_serving())
    }

    /// Whether this node was given a role since it started.
    pub fn has_role(&self) -> bool {
        self.settled
    }

    /// Whether this node is the primary, serving or not.
    pub fn is_primary(&self) -> bool {
        matches!(self.role, Role::Primary(_))
    }

    /// Whether this node follows and its copy equalled the primary's at some time in this epoch.
    /// All it confirmed since is in the copy too, so nothing that was ever answered is missing.
    pub fn was_in_sync(&self) -> bool {
        matches!(self.role, Role::Follower(_)) && self.copy.position().epoch == self.epoch
    }

    /// Whether this node follows that primary.
    pub fn follows(&self, primary: NodeId) -> bool {
        self.primary() == Some(primary)
    }

    /// Whether this node follows a primary that has said that it synced the batch taken last.
    pub fn primary_synced_last_batch(&self) -> bool {
        matches!(&self.role, Role::Follower(follow) if follow.primary_synced_last_batch())
    }

    /// The primary that this node follows, if it follows one.
    pub fn primary(&self) -> Option<NodeId> {
        match &self.role {
            Role::Follower(follow) => Some(follow.primary),
            _ => None,
        }
    }

    /// When this follower last heard its primary.
    pub fn primary_last_heard(&self) -> Option<MonotonicMs> {
        match &self.role {
            Role::Follower(follow) => Some(follow.heard),
            _ => None,
        }
    }

    /// Since when a backup owes the primary a confirmation, if one does.
    pub fn backup_silent_since(&self) -> Option<MonotonicMs> {
        match &self.role {
            Role::Primary(lead) => lead.owing().map(|(_, since)| since).min(),
            _ => None,
        }
    }

    /// The backups that have owed the primary a confirmation for as long.
    pub fn silent_backups(
        &self,
        timeout: topazyard_types::DurationMs,
        now: MonotonicMs,
    ) -> Vec<NodeId> {
        match &self.role {
            Role::Primary(lead) => {
                let silent = lead.owing().filter(|(_, since)| now.since(*since) >= timeout);
                silent.map(|(id, _)| id).collect()
            }
            _ => Vec::new(),
        }
    }

    /// The learners that hold everything.
    pub fn filled_learners(&self) -> Vec<NodeId> {
        match &self.role {
            Role::Primary(lead) => lead.filled().collect(),
            _ => Vec::new(),
        }
    }

    /// Whether all that was written is synced.
    pub fn is_synced(&self) -> bool {
        self.writes.is_empty()
    }

    /// How long the oldest write not yet synced has taken.
    pub fn oldest_write(&self, now: MonotonicMs) -> topazyard_types::DurationMs {
        let oldest = self.writes.values().next();
        oldest.map_or(topazyard_types::DurationMs(0), |since| now.since(*since))
    }

    /// Becomes nothing to the group in an epoch.
    pub fn become_idle(&mut self, epoch: Epoch) -> Vec<ReplicaOutput> {
        self.change_role(epoch, Role::Idle)
    }

    /// Becomes the primary of an epoch.
    pub fn become_primary(
        &mut self,
        epoch: Epoch,
        followers: Followers,
        now: MonotonicMs,
    ) -> Vec<ReplicaOutput> {
        let carried = match std::mem::replace(&mut self.role, Role::Idle) {
            Role::Primary(lead) => Some(lead),
            other => {
                self.role = other;
                None
            }
        };
        let lead = PrimaryState::new(followers, carried, now);
        let mut out = self.change_role(epoch, Role::Primary(Box::new(lead)));
        self.lead_tick(now, &mut out);
        out
    }

    /// Becomes a follower of that primary in an epoch.
    pub fn become_follower(
        &mut self,
        epoch: Epoch,
        primary: NodeId,
        now: MonotonicMs,
    ) -> Vec<ReplicaOutput> {
        if let Role::Follower(follow) = &self.role
            && self.epoch == epoch
            && follow.primary == primary
        {
            return Vec::new();
        }
        self.change_role(epoch, Role::Follower(follow::Follow::new(primary, now)))
    }

    /// The one place where the role changes. What was under way in a lost role is unknown.
    fn change_role(&mut self, epoch: Epoch, role: Role) -> Vec<ReplicaOutput> {
        self.epoch = epoch;
        self.settled = true;
        let led = matches!(self.role, Role::Primary(_));
        if led && !matches!(role, Role::Primary(_)) && self.uncommitted != Uncommitted::Nothing {
            // Nobody else may have what it began last.
            self.uncommitted = Uncommitted::All;
        }
        match std::mem::replace(&mut self.role, role) {
            Role::Primary(lead) => match lead.all_tickets() {
                tickets if tickets.is_empty() => Vec::new(),
                tickets => vec![ReplicaOutput::OutcomeUnknown(tickets)],
            },
            _ => Vec::new(),
        }
    }

    /// Takes a message of this group. A lower epoch is refused; a higher one waits until the
    /// owner has learned of it too.
    pub fn receive(
        &mut self,
        from: Sender,
        message: ReplicaMessage,
        now: MonotonicMs,
    ) -> Vec<ReplicaOutput> {
        let mut out = Vec::new();
        if message.epoch != self.epoch {
            return out;
        }
        match &self.role {
            Role::Idle => {}
            Role::Primary(_) => self.lead_receive(from, message.body, now, &mut out),
            Role::Follower(_) => self.follow_receive(from, message.body, now, &mut out),
        }
        out
    }

    /// Everything up to that sequence is known to be committed.
    fn note_committed(&mut self, sequence: Sequence) {
        self.committed = self.committed.max(sequence);
    }

    /// The copy is about to be brought to that sequence.
    fn check_keeps_committed(&self, sequence: Sequence) {
        // A group in memory may begin anew where all its copies are gone.
        let holds = !self.durable || check_committed_stays(self.committed, sequence);
        report(holds, Invariant::CommittedStays, || {
            let (group, epoch) = (self.group, self.epoch);
            format!("{group:?} in {epoch:?}: {sequence:?} after {:?}", self.committed)
        });
    }

    /// Time has passed.
    pub fn tick(&mut self, now: MonotonicMs) -> Vec<ReplicaOutput> {
        let mut out = Vec::new();
        if self.is_primary() {
            self.lead_tick(now, &mut out);
        }
        out
    }

    /// A write is synced.
    pub fn write_synced(&mut self, number: u64) -> Vec<ReplicaOutput> {
        let mut out = Vec::new();
        self.writes.remove(&number);
        match &self.role {
            Role::Idle => {}
            Role::Primary(_) => self.lead_written(number, &mut out),
            Role::Follower(_) => self.follow_written(number, &mut out),
        }
        out
    }

    fn send(&self, to: std::net::SocketAddr, body: ReplicaBody, out: &mut Vec<ReplicaOutput>) {
        let message = ReplicaMessage { group: self.group, epoch: self.epoch, body };
        out.push(ReplicaOutput::Send(to, message));
    }

    /// Writes rows, or gives none where the group is kept in memory only.
    fn write(
        &mut self,
        changes: Vec<RowChange>,
        now: MonotonicMs,
        out: &mut Vec<ReplicaOutput>,
    ) -> Option<u64> {
        if !self.durable || changes.is_empty() {
            return None;
        }
        self.last_write += 1;
        self.writes.insert(self.last_write, now);
        let token = WriteToken { group: self.group, number: self.last_write };
        out.push(ReplicaOutput::Write(token, changes));
        Some(self.last_write)
    }
}
