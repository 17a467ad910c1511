//! A control node: its state machine while the process runs, and its disk.

use super::fingerprint;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash as _, Hasher as _};
use std::sync::Arc;
use topazyard_control::ControlMachine;
use topazyard_types::{CallId, MonotonicMs, NodeId};
use topazyard_wire::rows::LoadedRows;
use topazyard_wire::{RowChange, WriteToken};

/// An unsynced write.
#[derive(Debug, Clone)]
pub struct Write {
    /// Number of the event in which it was submitted.
    pub event_number: u64,
    /// The machine's token for it.
    pub token: WriteToken,
    /// The changed rows.
    pub changes: Vec<RowChange>,
}

/// A disk that commits writes in order.
#[derive(Debug, Clone, Default)]
pub struct Disk {
    /// Synced rows.
    pub synced: LoadedRows,
    /// Unsynced writes, oldest first.
    pub unsynced: VecDeque<Write>,
}

impl Disk {
    /// Commits the oldest unsynced write.
    pub fn sync(&mut self) -> Option<WriteToken> {
        let write = self.unsynced.pop_front()?;
        self.apply(write.token, write.changes);
        Some(write.token)
    }

    /// Applies changes to the synced rows.
    pub fn apply(&mut self, token: WriteToken, changes: Vec<RowChange>) {
        let rows = self.synced.entry(token.group).or_default();
        for change in changes {
            match change.value {
                Some(value) => rows.insert(change.key, value),
                None => rows.remove(&change.key),
            };
        }
    }

    /// The process ends. A transaction covers consecutive writes, so the oldest `kept` ones
    /// survive.
    pub fn crash(&mut self, kept: usize) {
        for _ in 0..kept {
            self.sync();
        }
        self.unsynced.clear();
    }
}

/// One control node.
#[derive(Debug, Clone)]
pub struct Node {
    /// The address at which it receives frames.
    pub address: std::net::SocketAddr,
    /// Its node id.
    pub id: NodeId,
    /// The machine, while the process runs.
    pub machine: Option<ControlMachine>,
    /// Its disk.
    pub disk: Disk,
    /// How often it was started.
    pub starts: u64,
    /// How often it was replaced by another machine.
    pub relocations: u16,
    /// Whether the process is frozen.
    pub is_frozen: bool,
    /// Whether the disk is stalled.
    pub is_stalled: bool,
    /// Calls without a response yet, with the index of each operator call.
    pub calls: BTreeMap<CallId, usize>,
    /// The number of the last call.
    pub last_call: u64,
    /// The event since which no message of another node can reach it.
    pub isolated_since: Option<u64>,
    /// The hash of the state and the time for which it was computed.
    cached_hash: std::sync::OnceLock<(MonotonicMs, u64)>,
}

impl Node {
    /// A stopped node with an empty disk.
    pub fn new(number: usize) -> Self {
        Self {
            address: address_of(number, 0),
            id: NodeId(0),
            machine: None,
            disk: Disk::default(),
            starts: 0,
            relocations: 0,
            is_frozen: false,
            is_stalled: false,
            calls: BTreeMap::new(),
            last_call: 0,
            isolated_since: None,
            cached_hash: std::sync::OnceLock::new(),
        }
    }

    /// Makes a node mutable that several worlds may share, and drops its cached hash.
    pub fn make_mut(node: &mut Arc<Self>) -> &mut Self {
        let node = Arc::make_mut(node);
        node.cached_hash = std::sync::OnceLock::new();
        node
    }

    /// A hash of its state.
    pub fn fingerprint(&self, now: MonotonicMs) -> u64 {
        let (at, hash) = self.cached_hash.get_or_init(|| (now, self.hash_at(now)));
        if *at == now { *hash } else { self.hash_at(now) }
    }

    fn hash_at(&self, now: MonotonicMs) -> u64 {
        let flags = (self.is_frozen, self.is_stalled, self.isolated_since.is_some());
        let unsynced: Vec<_> =
            self.disk.unsynced.iter().map(|write| (&write.token, &write.changes)).collect();
        let mut hasher = std::collections::hash_map::DefaultHasher::new();
        self.disk.synced.hash(&mut hasher);
        let synced = hasher.finish();
        fingerprint::hash_of(now, &[&self.machine, &flags, &self.calls, &unsynced, &synced])
    }

    /// Whether it can process inputs now.
    pub fn is_responsive(&self) -> bool {
        self.machine.is_some() && !self.is_frozen
    }

    /// Whether it serves as the primary.
    pub fn is_serving(&self) -> bool {
        self.machine.as_ref().is_some_and(ControlMachine::is_serving)
    }

    /// The process ends; this many unsynced writes survive.
    pub fn crash(&mut self, kept: usize) {
        self.machine = None;
        self.disk.crash(kept);
        self.is_frozen = false;
        self.is_stalled = false;
        self.calls.clear();
        self.isolated_since = None;
    }
}

/// The address of a node after a number of relocations.
pub fn address_of(number: usize, relocations: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1_000 + number as u16 + 100 * relocations).into()
}
