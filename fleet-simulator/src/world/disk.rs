//! Disks: writes are synced in order after a delay; unsynced writes are lost on a power loss.

use super::{Event, InjectedBug, NodeIndex, World};
use topazyard_wire::disk::DiskState;
use topazyard_wire::rows::LoadedRows;
use topazyard_wire::{RowChange, WriteToken};

/// A simulated disk.
#[derive(Debug, Clone, Default)]
pub struct Disk {
    /// The synced rows.
    pub synced: LoadedRows,
    pub(crate) queue: std::collections::VecDeque<(u64, WriteToken, Vec<RowChange>)>,
    pub(crate) last_write: u64,
    /// Extra time of each sync, in microseconds.
    pub slow_us: u64,
    /// Whether the disk is full: new writes wait.
    pub is_full: bool,
    /// Whether the disk was reported as full to its process.
    pub(crate) reported_full: bool,
    /// Whether the process waits for free space before it starts.
    pub(crate) start_is_waiting: bool,
}

impl Disk {
    fn apply(&mut self, token: WriteToken, changes: Vec<RowChange>) {
        let rows = self.synced.entry(token.group).or_default();
        for change in changes {
            match change.value {
                Some(value) => rows.insert(change.key, value),
                None => rows.remove(&change.key),
            };
        }
    }

    /// Drops all unsynced writes, as on a power loss.
    pub fn lose_power(&mut self) {
        self.queue.clear();
    }

    /// Syncs the first `count` pending writes and drops the others: when a process is killed, the
    /// operating system may still have synced some of its writes.
    pub fn keep_some_writes(&mut self, count: usize) {
        for _ in 0..if self.is_full { 0 } else { count } {
            if let Some((_, token, changes)) = self.queue.pop_front() {
                self.apply(token, changes);
            }
        }
        self.queue.clear();
    }
}

impl World {
    /// Gives a full disk free space again: pending writes are synced, or the process that waited
    /// for space starts.
    pub(crate) fn free_space(&mut self, node: NodeIndex) {
        let disk = &mut self.nodes[node.0].disk;
        if !std::mem::replace(&mut disk.is_full, false) {
            return;
        }
        let (write, start_is_waiting) =
            (disk.last_write, std::mem::take(&mut disk.start_is_waiting));
        if start_is_waiting {
            self.start(node);
            return;
        }
        let usual = self.draw(400..100_000);
        self.schedule_after(usual, Event::Synced(node, write));
    }

    pub(crate) fn write(&mut self, node: NodeIndex, token: WriteToken, changes: Vec<RowChange>) {
        let usual = self.draw(400..3_000);
        let disk = &mut self.nodes[node.0].disk;
        disk.last_write += 1;
        let (write, slow_us) = (disk.last_write, disk.slow_us);
        disk.queue.push_back((write, token, changes));
        self.schedule_after(usual + slow_us, Event::Synced(node, write));
    }

    /// Syncs all writes up to a number and reports them to the process.
    pub(crate) fn sync(&mut self, node: NodeIndex, write: u64) {
        if self.defer_if_frozen(node, || Event::Synced(node, write)) {
            return;
        }
        if self.nodes[node.0].disk.is_full {
            self.nodes[node.0].disk.reported_full = true;
            self.report_disk_state(node, DiskState::Full);
            return;
        }
        let drops_writes = self.injected_bug == Some(InjectedBug::EarlySyncReport);
        if std::mem::take(&mut self.nodes[node.0].disk.reported_full) {
            self.report_disk_state(node, DiskState::Healthy);
        }
        let mut tokens = Vec::new();
        let disk = &mut self.nodes[node.0].disk;
        while disk.queue.front().is_some_and(|(number, _, _)| *number <= write) {
            if let Some((_, token, changes)) = disk.queue.pop_front() {
                if !drops_writes {
                    disk.apply(token, changes);
                }
                tokens.push(token);
            }
        }
        for token in tokens {
            self.report_written(node, token);
        }
    }
}
