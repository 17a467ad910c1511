//! Primary-backup replication of a group: nothing is acknowledged until all backups have confirmed
//! it in the same epoch.
//!
//! The owner assigns the role of each epoch, and the replica keeps the copies in sync. One batch is
//! in flight at a time; changes submitted meanwhile form the next one. A read is a batch without
//! changes, so that it is confirmed in the same way.

mod follower;
mod parts;
mod primary;
mod progress;
mod queue;
mod refill;
mod transfer;

use topazyard_types::{BootId, Epoch, MonotonicMs, NodeId, Sequence};
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Group, RowChange, WriteToken};

use crate::invariants::{check_committed_stays, report};
use topazyard_wire::invariants::Invariant;

use follower::FollowerState;

pub use primary::PrimaryState;
pub use refill::{RefillEvent, RefillProgress};

/// Number of unsynced writes at which a follower ignores further messages. A full synchronization
/// needs fewer.
const MAX_UNSYNCED_WRITES: usize = 2 * crate::copy::RANGE_COUNT;

/// Identifies a submission, so that the owner learns when it is committed.
pub type WriteTicket = u64;

/// An action or a report of the replica for its owner.
#[derive(Debug)]
pub enum ReplicaOutput {
    /// Send this message.
    Send(std::net::SocketAddr, ReplicaMessage),
    /// Write and sync these changes.
    Write(WriteToken, Vec<RowChange>),
    /// These submissions are committed, in the order in which they came.
    Committed(Vec<WriteTicket>),
    /// These submissions were pending when the primary role ended; their outcome is unknown.
    OutcomeUnknown(Vec<WriteTicket>),
    /// The primary now serves in its epoch.
    Serving,
    /// All learners are filled, and nothing is acknowledged until the epoch changes.
    LearnersReady,
    /// The copy of a follower is being filled.
    Refill(NodeId, RefillEvent),
}

/// The followers of a primary in an epoch.
#[derive(Debug, Clone, Default)]
pub struct Followers {
    /// The backups, all of which must confirm each batch.
    pub backups: Vec<CoreNode>,
    /// The nodes that are being filled to become backups.
    pub learners: Vec<CoreNode>,
    /// Whether these backups are enough to acknowledge anything.
    pub may_serve: bool,
}

/// The role of a node in a group in an epoch.
#[derive(Debug, Clone)]
enum Role {
    /// The node is not part of the group.
    Idle,
    /// The node commits batches.
    Primary(Box<PrimaryState>),
    /// The node follows a primary, as a backup or a learner.
    Follower(FollowerState),
}

/// How much of a copy may be uncommitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Uncommitted {
    /// Everything in the copy is committed.
    Nothing,
    /// The changes of the last applied batch.
    LastBatch,
    /// The changes of a batch that can't be told from the rest, as the copy was synchronized as a
    /// whole.
    UnknownBatch,
    /// Any of the rows: the copy is being compared, or was loaded from disk.
    All,
}

/// The replica of a group on one node.
#[derive(Debug, Clone)]
pub struct Replica {
    group: Group,
    durable: bool,
    epoch: Epoch,
    copy: crate::Copy,
    role: Role,
    uncommitted: Uncommitted,
    learner_promotion_paused: bool,
    has_role: bool,
    last_write: u64,
    /// The last round started in any role. No round is used twice during one boot.
    last_round: u64,
    unsynced_writes: std::collections::BTreeMap<u64, MonotonicMs>,
    /// Number of copies on which the last commit was synced, this one included.
    synced_copies: usize,
    /// The highest sequence that this node knows to be committed.
    committed: Sequence,
}

/// The sender of a frame.
#[derive(Debug, Clone, Copy)]
pub struct Sender {
    /// Its node id.
    pub id: NodeId,
    /// The address at which it receives frames.
    pub address: std::net::SocketAddr,
}

impl Replica {
    /// Creates the replica of a group with the copy that this node holds. Groups that are not
    /// durable are kept in memory only.
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
            learner_promotion_paused: false,
            has_role: false,
            last_write: 0,
            last_round: boot_id.first_number(),
            unsynced_writes: std::collections::BTreeMap::new(),
            synced_copies: 0,
            committed: Sequence::default(),
        }
    }

    /// Numbers writes from the one after `number`. A completed sync is identified by its number
    /// alone, so no number may be reused while a write of an earlier replica of the group may be
    /// pending.
    pub fn with_last_write(mut self, number: u64) -> Self {
        self.last_write = number;
        self
    }

    /// The number of the last write.
    pub fn last_write(&self) -> u64 {
        self.last_write
    }

    /// The copy of the rows.
    pub fn copy(&self) -> &crate::Copy {
        &self.copy
    }

    /// Stops learners from becoming ready while no epoch change could make them backups. A primary
    /// that can serve then goes on serving, rather than pause for a record that will not be
    /// decided.
    pub fn set_learner_promotion_paused(&mut self, paused: bool) {
        self.learner_promotion_paused = paused;
    }

    /// Number of copies on which the last commit of this primary was synced, its own included.
    pub fn synced_copies(&self) -> usize {
        self.synced_copies
    }

    /// How much of the copy may be uncommitted, and so may be rolled back.
    pub fn uncommitted(&self) -> Uncommitted {
        self.uncommitted
    }

    /// The current epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether this node is the primary and all its backups confirm batches.
    pub fn is_serving(&self) -> bool {
        matches!(&self.role, Role::Primary(primary) if primary.is_serving())
    }

    /// Whether this node was assigned a role since it started.
    pub fn has_role(&self) -> bool {
        self.has_role
    }

    /// Whether this node is the primary, serving or not.
    pub fn is_primary(&self) -> bool {
        matches!(self.role, Role::Primary(_))
    }

    /// Whether this node is a follower whose copy was in sync with the primary's at some time in
    /// this epoch. The copy also holds everything that it confirmed since, so nothing that was ever
    /// acknowledged is missing from it.
    pub fn was_in_sync(&self) -> bool {
        matches!(self.role, Role::Follower(_)) && self.copy.position().epoch == self.epoch
    }

    /// Whether this node follows the given primary.
    pub fn follows(&self, primary: NodeId) -> bool {
        self.primary() == Some(primary)
    }

    /// Whether this node follows a primary that has reported the last received batch as synced.
    pub fn primary_synced_last_batch(&self) -> bool {
        matches!(&self.role, Role::Follower(follower) if follower.primary_synced_last_batch())
    }

    /// The primary that this node follows, if any.
    pub fn primary(&self) -> Option<NodeId> {
        match &self.role {
            Role::Follower(follower) => Some(follower.primary),
            _ => None,
        }
    }

    /// When this follower last received a message from its primary.
    pub fn primary_last_heard(&self) -> Option<MonotonicMs> {
        match &self.role {
            Role::Follower(follower) => Some(follower.last_heard),
            _ => None,
        }
    }

    /// Since when a backup has not confirmed what the primary waits for; the earliest if there are
    /// several.
    pub fn backup_silent_since(&self) -> Option<MonotonicMs> {
        match &self.role {
            Role::Primary(primary) => primary.unconfirmed_backups().map(|(_, since)| since).min(),
            _ => None,
        }
    }

    /// The backups that have not confirmed what the primary waits for in the given time.
    pub fn silent_backups(
        &self,
        timeout: topazyard_types::DurationMs,
        now: MonotonicMs,
    ) -> Vec<NodeId> {
        match &self.role {
            Role::Primary(primary) => {
                let silent =
                    primary.unconfirmed_backups().filter(|(_, since)| now.since(*since) >= timeout);
                silent.map(|(id, _)| id).collect()
            }
            _ => Vec::new(),
        }
    }

    /// The followers whose copies are being filled.
    pub fn refills(&self) -> Vec<RefillProgress> {
        match &self.role {
            Role::Primary(primary) => primary.refills().collect(),
            _ => Vec::new(),
        }
    }

    /// The number of copies known to be whole: that of a primary and of its backups in sync; 0 if
    /// this node is not the primary.
    pub fn whole_copies(&self) -> usize {
        match &self.role {
            Role::Primary(primary) => 1 + primary.backups_in_sync(),
            _ => 0,
        }
    }

    /// The learners that are filled.
    pub fn filled_learners(&self) -> Vec<NodeId> {
        match &self.role {
            Role::Primary(primary) => primary.ready_learners().collect(),
            _ => Vec::new(),
        }
    }

    /// Whether all writes are synced.
    pub fn is_synced(&self) -> bool {
        self.unsynced_writes.is_empty()
    }

    /// How long the oldest unsynced write has been pending.
    pub fn oldest_write(&self, now: MonotonicMs) -> topazyard_types::DurationMs {
        let oldest = self.unsynced_writes.values().next();
        oldest.map_or(topazyard_types::DurationMs(0), |since| now.since(*since))
    }

    /// Leaves the group in the given epoch.
    pub fn become_idle(&mut self, epoch: Epoch) -> Vec<ReplicaOutput> {
        self.change_role(epoch, Role::Idle)
    }

    /// Becomes the primary of the given epoch.
    pub fn become_primary(
        &mut self,
        epoch: Epoch,
        followers: Followers,
        now: MonotonicMs,
    ) -> Vec<ReplicaOutput> {
        let previous = match std::mem::replace(&mut self.role, Role::Idle) {
            Role::Primary(primary) => Some(primary),
            other => {
                self.role = other;
                None
            }
        };
        let primary = PrimaryState::new(followers, previous, now);
        let mut outputs = self.change_role(epoch, Role::Primary(Box::new(primary)));
        self.primary_tick(now, &mut outputs);
        outputs
    }

    /// Becomes a follower of `primary` in the given epoch.
    pub fn become_follower(
        &mut self,
        epoch: Epoch,
        primary: NodeId,
        now: MonotonicMs,
    ) -> Vec<ReplicaOutput> {
        if let Role::Follower(follower) = &self.role
            && self.epoch == epoch
            && follower.primary == primary
        {
            return Vec::new();
        }
        // From follower to follower the copy stays as it is, so what was fetched still fits it.
        let fetched = match &mut self.role {
            Role::Follower(follower) => follower.take_fetched(),
            Role::Idle | Role::Primary(_) => Default::default(),
        };
        self.change_role(epoch, Role::Follower(FollowerState::new(primary, fetched, now)))
    }

    /// The only function that changes the role. When the primary role ends, the outcome of its
    /// pending submissions is unknown.
    fn change_role(&mut self, epoch: Epoch, role: Role) -> Vec<ReplicaOutput> {
        self.epoch = epoch;
        self.has_role = true;
        let was_primary = matches!(self.role, Role::Primary(_));
        if was_primary
            && !matches!(role, Role::Primary(_))
            && self.uncommitted != Uncommitted::Nothing
        {
            // No other node may have the batch that it started last.
            self.uncommitted = Uncommitted::All;
        }
        match std::mem::replace(&mut self.role, role) {
            Role::Primary(primary) => match primary.all_tickets() {
                tickets if tickets.is_empty() => Vec::new(),
                tickets => vec![ReplicaOutput::OutcomeUnknown(tickets)],
            },
            _ => Vec::new(),
        }
    }

    /// Handles a message of this group. Messages of another epoch are ignored: a lower one is
    /// outdated, and of a higher one the owner has yet to learn.
    pub fn receive(
        &mut self,
        from: Sender,
        message: ReplicaMessage,
        now: MonotonicMs,
    ) -> Vec<ReplicaOutput> {
        let mut outputs = Vec::new();
        if message.epoch != self.epoch {
            return outputs;
        }
        match &self.role {
            Role::Idle => {}
            Role::Primary(_) => self.primary_receive(from, message.body, now, &mut outputs),
            Role::Follower(_) => self.follower_receive(from, message.body, now, &mut outputs),
        }
        outputs
    }

    /// Records that everything up to `sequence` is committed.
    fn note_committed(&mut self, sequence: Sequence) {
        self.committed = self.committed.max(sequence);
    }

    /// Checks that bringing the copy to `sequence` loses nothing committed.
    fn check_keeps_committed(&self, sequence: Sequence) {
        // A group in memory may start over once all its copies are lost.
        let holds = !self.durable || check_committed_stays(self.committed, sequence);
        report(holds, Invariant::CommittedStays, || {
            let (group, epoch) = (self.group, self.epoch);
            format!("{group:?} in {epoch:?}: {sequence:?} after {:?}", self.committed)
        });
    }

    /// Sends whatever is due as time passes.
    pub fn tick(&mut self, now: MonotonicMs) -> Vec<ReplicaOutput> {
        let mut outputs = Vec::new();
        if self.is_primary() {
            self.primary_tick(now, &mut outputs);
        }
        outputs
    }

    /// Handles the completed sync of a write.
    pub fn write_synced(&mut self, number: u64) -> Vec<ReplicaOutput> {
        let mut outputs = Vec::new();
        self.unsynced_writes.remove(&number);
        match &self.role {
            Role::Idle => {}
            Role::Primary(_) => self.primary_write_synced(number, &mut outputs),
            Role::Follower(_) => self.follower_write_synced(number, &mut outputs),
        }
        outputs
    }

    fn send(&self, to: std::net::SocketAddr, body: ReplicaBody, outputs: &mut Vec<ReplicaOutput>) {
        let message = ReplicaMessage { group: self.group, epoch: self.epoch, body };
        outputs.push(ReplicaOutput::Send(to, message));
    }

    /// Writes changes and returns the write's number, or `None` if the group is kept in memory
    /// only.
    fn write(
        &mut self,
        changes: Vec<RowChange>,
        now: MonotonicMs,
        outputs: &mut Vec<ReplicaOutput>,
    ) -> Option<u64> {
        if !self.durable || changes.is_empty() {
            return None;
        }
        self.last_write += 1;
        self.unsynced_writes.insert(self.last_write, now);
        let token = WriteToken { group: self.group, number: self.last_write };
        outputs.push(ReplicaOutput::Write(token, changes));
        Some(self.last_write)
    }
}
