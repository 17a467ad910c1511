//! The storage node's state machine: the shards it hosts, and its role in each.

mod capacity;
mod confirm;
mod counter_calls;
mod hosted;
mod replaced_backups;
mod replica_reads;
mod roles;
mod serving;

pub use capacity::{OtherCopies, ShardCapacity};
use hosted::Hosted;
use topazyard_membership::Membership;
use topazyard_replication::{FeedFollower, follower::FollowOutcome};
use topazyard_types::{BootId, Epoch, MonotonicMs, NodeId, ShardId};
use topazyard_wire::disk::{DiskState, DiskWatch};
use topazyard_wire::driver::DiskStart;
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{ShardChange, ShardChangeRequest};
use topazyard_wire::message::feed::Health;
use topazyard_wire::message::membership::{Member, MemberRole};
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::state::FleetSnapshot;
use topazyard_wire::{Effect, Group, Input, Machine, RowChange, WriteToken};

/// Learners are promoted only if control responded within this time: the shard stops serving until
/// control has changed its record.
const MAX_CONTROL_AGE: topazyard_types::DurationMs = topazyard_types::DurationMs(400);
/// Time without a backup's confirmation after which its removal is requested.
const BACKUP_TIMEOUT: topazyard_types::DurationMs = topazyard_types::DurationMs(500);
/// How long after its start a node assumes that others may still be starting, in percent of the
/// contact bound.
const STARTUP_PERCENT: u64 = 100;
/// Backup timeout while others may still be starting, in percent of the contact bound: as long as
/// control waits before it counts a silent node as down.
const STARTUP_BACKUP_TIMEOUT_PERCENT: u64 = 40;

/// The effects of a step of the storage node.
pub(crate) type Effects = Vec<Effect<StorageHealth, topazyard_wire::machine::NoTask>>;

/// Calls from within the process.
#[derive(Debug)]
pub enum StorageCall {
    /// Replaces the addresses of control nodes after a change of the settings.
    Seeds(Vec<std::net::SocketAddr>),
    /// Reads the node's health.
    Health,
}

/// Health of a storage node.
#[derive(Debug, Clone, serde::Serialize)]
pub struct StorageHealth {
    /// Its id.
    pub node: NodeId,
    /// Shards it serves as their primary.
    pub serving: Vec<ShardId>,
    /// Shards of which it hosts a copy.
    pub hosting: Vec<ShardId>,
    /// State of its disk.
    pub disk: DiskState,
    /// Age of the oldest write that is not synced yet, in ms.
    pub write_wait_ms: u64,
    /// Holds on the token budget, if it serves the counter.
    pub holds: Option<usize>,
    /// The epoch of each shard of which it hosts a copy.
    pub epochs: std::collections::BTreeMap<ShardId, Epoch>,
    /// Shards in which it has stopped serving until their record changes.
    pub stopped: usize,
    /// Batches of routed items acknowledged since the start, including repeated submissions.
    pub batches_acknowledged: u64,
    /// Batches of routed items kept in the shards it serves.
    pub batches_kept: usize,
    /// Items without a result in these batches.
    pub items_open: usize,
    /// Calls that await a commit.
    pub calls_waiting: usize,
    /// The size of each hosted copy, in bytes.
    pub copy_bytes: std::collections::BTreeMap<ShardId, u64>,
    /// The whole copies of each shard of which it is the primary.
    pub whole_copies: std::collections::BTreeMap<ShardId, u64>,
    /// The bytes that followers of these shards still miss.
    pub refill_bytes_left: std::collections::BTreeMap<ShardId, u64>,
    /// How followers were filled since the start.
    pub refills: RefillCounts,
}

/// Counts of how the copies of followers were filled.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub struct RefillCounts {
    /// Refills that were started.
    pub started: u64,
    /// Times that a refill made no progress and was continued.
    pub stalled: u64,
    /// Refills that were completed.
    pub completed: u64,
    /// The bytes of the completed ones.
    pub completed_bytes: u64,
    /// The time that the completed ones took in all, in ms.
    pub completed_ms: u64,
}

/// A storage node.
pub struct StorageMachine {
    pub(crate) member: Member,
    pub(crate) boot_id: BootId,
    membership: Membership,
    follower: FeedFollower,
    pub(crate) fleet: FleetSnapshot,
    pub(crate) hosted: std::collections::BTreeMap<ShardId, Hosted>,
    loaded: topazyard_wire::rows::LoadedRows,
    /// Shards in which this node has stopped serving, up to the given epoch.
    pub(crate) stopped: std::collections::BTreeMap<ShardId, topazyard_types::Epoch>,
    requests_after_write: std::collections::BTreeMap<u64, ShardChangeRequest>,
    /// The number of the write that deleted this node's last copy of a shard.
    deletion_writes: std::collections::BTreeMap<ShardId, u64>,
    last_write: u64,
    last_sweep: MonotonicMs,
    pub(crate) budgets_logged_at: MonotonicMs,
    /// When this process started.
    started_at: Option<MonotonicMs>,
    record_queries: confirm::RecordQueries,
    /// Since when frames have carried an epoch that the feed has not delivered yet.
    behind_since: Option<MonotonicMs>,
    remembered: topazyard_wire::driver::disk_start::KnownControlNodes,
    pub(crate) bounds: topazyard_spec::Bounds,
    capacity: ShardCapacity,
    pub(crate) disk: DiskWatch,
    pub(crate) batches_acknowledged: u64,
    pub(crate) refills: RefillCounts,
}

/// The bytes that the followers of a primary still miss.
fn refill_bytes_left(replica: &topazyard_replication::Replica) -> u64 {
    replica.refills().iter().map(|refill| refill.bytes_left).sum()
}

impl StorageMachine {
    /// Creates a storage node from what was found on its disk.
    pub fn new(mut start: DiskStart) -> Self {
        let remembered = start.known_control_nodes();
        let control_addresses = start.control_addresses();
        let node_rows = start.loaded.remove(&Group::Node).unwrap_or_default();
        let stopped = node_rows
            .get("stopped")
            .and_then(|value| topazyard_wire::rows::decode(value))
            .unwrap_or_default();
        let boot_id = BootId(start.random_seed);
        Self {
            boot_id,
            membership: Membership::new(
                start.member.clone(),
                control_addresses.clone(),
                start.random_seed,
            ),
            follower: FeedFollower::new(control_addresses, boot_id),
            member: start.member,
            fleet: FleetSnapshot::default(),
            hosted: std::collections::BTreeMap::new(),
            loaded: start.loaded,
            stopped,
            requests_after_write: std::collections::BTreeMap::new(),
            deletion_writes: std::collections::BTreeMap::new(),
            last_write: 0,
            last_sweep: MonotonicMs(0),
            budgets_logged_at: MonotonicMs(0),
            started_at: None,
            record_queries: confirm::RecordQueries::new(boot_id),
            behind_since: None,
            remembered,
            capacity: ShardCapacity::new(&start.resources, &start.bounds),
            disk: DiskWatch::default(),
            batches_acknowledged: 0,
            refills: RefillCounts::default(),
            bounds: start.bounds,
        }
    }

    /// Whether this node serves a shard as its primary.
    pub fn is_serving(&self, shard: ShardId) -> bool {
        self.hosted.get(&shard).is_some_and(|hosted| hosted.replica.is_serving())
    }

    /// This node's copy of a shard, if it has one.
    pub fn copy(&self, shard: ShardId) -> Option<&topazyard_replication::Copy> {
        self.hosted.get(&shard).map(|hosted| hosted.replica.copy())
    }

    /// The maximum size of the batches of a shard, in bytes.
    fn capacity_bytes(&self, shard: ShardId) -> u64 {
        let size = |hosted: &Hosted| hosted.replica.copy().bytes();
        let others = || self.hosted.iter().filter(|(other, _)| **other != shard);
        let led = others().filter(|(_, hosted)| hosted.replica.is_primary());
        let copies = OtherCopies {
            hosted_bytes: others().map(|(_, hosted)| size(hosted)).sum(),
            led_bytes: led.map(|(_, hosted)| size(hosted)).sum(),
        };
        let record = self.fleet.shards.get(&shard);
        let followers = record.map_or(0, |record| u64::from(record.copies.saturating_sub(1)));
        self.capacity.bytes(followers, copies)
    }

    /// Number of holds on the token budget, if this node serves the counter.
    pub fn holds(&self) -> Option<usize> {
        self.hosted.values().find_map(|h| h.counter().map(crate::counter::Counter::hold_count))
    }

    fn write_node_row(
        &mut self,
        row: RowChange,
        request_once_synced: Option<ShardChangeRequest>,
        effects: &mut Effects,
    ) {
        self.last_write += 1;
        if let Some(request) = request_once_synced {
            self.requests_after_write.insert(self.last_write, request);
        }
        let token = WriteToken { group: Group::Node, number: self.last_write };
        effects.push(Effect::Write { token, changes: vec![row] });
    }

    /// Stops serving in a shard's epoch, and requests a change of the record once that is synced.
    pub(crate) fn stop_and_request_change(
        &mut self,
        request: ShardChangeRequest,
        effects: &mut Effects,
    ) {
        let shard = request.shard;
        // The counter's state is lost with its process, including any right to serve, so the
        // request need not wait for a disk that may have stalled.
        let at_once = shard.is_counter().then_some(MonotonicMs(0));
        if let Some(hosted) = self.hosted.get_mut(&shard) {
            hosted.replica.stop_serving();
            hosted.change_request = Some((request.clone(), at_once));
        }
        if shard.is_counter() {
            return;
        }
        self.stopped.insert(shard, request.epoch);
        let row = RowChange::put("stopped", &self.stopped);
        self.write_node_row(row, Some(request), effects);
    }

    /// Sends the requests for changes of records, repeatedly until the record changes.
    fn send_change_requests(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let interval = topazyard_types::DurationMs(100);
        let control: Vec<std::net::SocketAddr> = self.follower.primary().into_iter().collect();
        for hosted in self.hosted.values_mut() {
            if let Some((request, Some(sent))) = &mut hosted.change_request
                && now.since(*sent) >= interval
            {
                *sent = now;
                for to in &control {
                    effects.push(Effect::Send {
                        to: *to,
                        message: Message::ShardChangeRequest(request.clone()),
                    });
                }
            }
        }
    }

    fn health(&self, now: MonotonicMs) -> Health {
        Health::Storage {
            member: self.member.clone(),
            disk: self.disk.state(now),
            write_wait_ms: self.disk.oldest_write_age(now).0,
            waiting: self
                .hosted
                .iter()
                .filter_map(|(shard, hosted)| {
                    Some((*shard, hosted.batches()?.total_waiting_cost().0))
                })
                .collect(),
            live_tokens: self
                .hosted
                .values()
                .find_map(|hosted| hosted.counter().map(|counter| counter.live_tokens().0)),
        }
    }

    fn storage_health(&self, now: MonotonicMs) -> StorageHealth {
        let serving = || self.hosted.iter().filter(|(_, hosted)| hosted.replica.is_serving());
        let primaries = || self.hosted.iter().filter(|(_, hosted)| hosted.replica.is_primary());
        let batches = || serving().filter_map(|(_, hosted)| Some(&hosted.batches()?.routed));
        StorageHealth {
            node: self.member.id,
            serving: serving().map(|(shard, _)| *shard).collect(),
            hosting: self.hosted.keys().copied().collect(),
            disk: self.disk.state(now),
            write_wait_ms: self.disk.oldest_write_age(now).0,
            holds: self
                .hosted
                .values()
                .find_map(|hosted| hosted.counter().map(crate::counter::Counter::hold_count)),
            copy_bytes: self
                .hosted
                .iter()
                .map(|(shard, hosted)| (*shard, hosted.replica.copy().bytes()))
                .collect(),
            whole_copies: primaries()
                .map(|(shard, hosted)| (*shard, hosted.replica.whole_copies() as u64))
                .collect(),
            refill_bytes_left: primaries()
                .map(|(shard, hosted)| (*shard, refill_bytes_left(&hosted.replica)))
                .collect(),
            refills: self.refills,
            epochs: self
                .hosted
                .iter()
                .map(|(shard, hosted)| (*shard, hosted.replica.epoch()))
                .collect(),
            stopped: self.hosted.values().filter(|hosted| hosted.change_request.is_some()).count(),
            batches_acknowledged: self.batches_acknowledged,
            batches_kept: batches().map(crate::batches::routed::RoutedBatches::count).sum(),
            items_open: batches().map(crate::batches::routed::RoutedBatches::open_items).sum(),
            calls_waiting: self.hosted.values().map(Hosted::calls_waiting).sum(),
        }
    }

    /// Polls the feed, if it is due.
    fn poll_feed(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let health = self.health(now);
        if let Some((to, message)) = self.follower.tick(now, || health) {
            effects.push(Effect::Send { to, message: Message::Feed(message) });
        }
    }

    fn tick(&mut self, now: MonotonicMs, effects: &mut Effects) {
        self.log_disk_state(now, effects);
        let outgoing = self.membership.tick(now);
        effects.extend(topazyard_membership::effects(outgoing));
        self.remember_addresses(effects);
        self.follower.add_sources(self.membership.addresses(MemberRole::Control));
        let behind = self.behind_since.is_some_and(|at| self.follower.confirmed_at() <= Some(at));
        let waits = self.hosted.values().any(|hosted| hosted.waits_for_control(now));
        self.follower.set_fast_polling(behind || waits || self.is_starting(now));
        self.poll_feed(now, effects);
        let shards: Vec<ShardId> = self.hosted.keys().copied().collect();
        for shard in &shards {
            let Some(hosted) = self.hosted.get_mut(shard) else { continue };
            let confirmed_at = self.follower.confirmed_at();
            hosted.replica.set_learner_promotion_paused(
                confirmed_at.is_none_or(|at| now.since(at) >= MAX_CONTROL_AGE),
            );
            let outputs = hosted.replica.tick(now);
            self.apply_replica_outputs(*shard, outputs, now, effects);
            self.drop_silent_backups(*shard, now, effects);
        }
        self.send_change_requests(now, effects);
        self.send_queries(now, effects);
        self.log_budgets(now, effects);
        if now.since(self.last_sweep) >= topazyard_types::DurationMs(100) {
            self.last_sweep = now;
            shards.iter().for_each(|shard| self.sweep(*shard, now, effects));
        }
    }

    /// Tracks the writes handed to the disk.
    fn watch_writes(&mut self, effects: &Effects, now: MonotonicMs) {
        for effect in effects {
            if let Effect::Write { token, .. } = effect {
                self.disk.write_started(*token, now);
            }
        }
    }

    /// Logs when the disk becomes full, stalls or recovers.
    fn log_disk_state(&mut self, now: MonotonicMs, effects: &mut Effects) {
        if let Some(state) = self.disk.take_state_change(now) {
            effects.push(Effect::Log { is_error: false, text: state.to_string() });
        }
    }

    fn remember_addresses(&mut self, effects: &mut Effects) {
        if !self.disk.accepts_writes() {
            return;
        }
        if let Some(row) = self.remembered.update(self.membership.addresses(MemberRole::Control)) {
            self.write_node_row(row, None, effects);
        }
    }

    fn receive_replica(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: ReplicaMessage,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let Group::Shard(shard) = message.group else { return };
        if message.body == ReplicaBody::NotHeld {
            return self.drop_replaced_backups(shard, sender, from, message.epoch, effects);
        }
        let hosted = self.hosted.get_mut(&shard);
        if hosted.as_ref().is_none_or(|hosted| hosted.replica.epoch() < message.epoch) {
            self.behind_since.get_or_insert(now);
            self.report_not_held(shard, from, &message, effects);
        } else if let Some(hosted) = hosted {
            self.behind_since = None;
            let from = topazyard_replication::replica::Sender { id: sender, address: from };
            let outputs = hosted.replica.receive(from, message, now);
            self.apply_replica_outputs(shard, outputs, now, effects);
        }
    }

    fn percent_of_contact(&self, percent: u64) -> topazyard_types::DurationMs {
        topazyard_types::DurationMs(self.bounds.contact.0 * percent / 100)
    }

    /// Whether this process started so recently that other nodes may have started with it and not
    /// be reachable yet, as after a power loss.
    fn is_starting(&self, now: MonotonicMs) -> bool {
        let limit = self.percent_of_contact(STARTUP_PERCENT);
        self.started_at.is_none_or(|at| now.since(at) < limit)
    }

    fn drop_silent_backups(&mut self, shard: ShardId, now: MonotonicMs, effects: &mut Effects) {
        let timeout = match self.is_starting(now) {
            true => self.percent_of_contact(STARTUP_BACKUP_TIMEOUT_PERCENT),
            false => BACKUP_TIMEOUT,
        };
        let Some(hosted) = self.hosted.get(&shard) else { return };
        let silent_since = hosted.replica.backup_silent_since();
        // If control is unreachable too, this node may be the one that is isolated.
        let confirmed_at = self.follower.confirmed_at();
        let may_be_isolated = silent_since.is_some_and(|since| confirmed_at <= Some(since));
        let silent = hosted.replica.silent_backups(timeout, now);
        // With a full disk it can't sync that it stopped; control moves its roles to other nodes.
        let may_request = hosted.change_request.is_none() && !self.disk.is_full();
        if may_request && !may_be_isolated && !silent.is_empty() {
            let epoch = hosted.replica.epoch();
            let change = ShardChange::DropBackups(silent);
            self.stop_and_request_change(ShardChangeRequest { shard, epoch, change }, effects);
        }
    }
}

impl Machine for StorageMachine {
    type Call = StorageCall;
    type Response = StorageHealth;
    type Task = topazyard_wire::machine::NoTask;

    fn step(&mut self, input: Input<StorageCall>, now: MonotonicMs) -> Effects {
        let mut effects = Vec::new();
        if let Input::Written(token) = &input {
            self.disk.write_synced(*token);
        }
        self.started_at.get_or_insert(now);
        match input {
            Input::Disk(state) => self.disk.set_state(state, now),
            Input::Tick => self.tick(now, &mut effects),
            Input::Written(token) => match token.group {
                Group::Shard(shard) => {
                    if let Some(hosted) = self.hosted.get_mut(&shard) {
                        let outputs = hosted.replica.write_synced(token.number);
                        self.apply_replica_outputs(shard, outputs, now, &mut effects);
                    }
                }
                _ => {
                    if let Some(request) = self.requests_after_write.remove(&token.number) {
                        self.begin_change_request(&request);
                        self.send_change_requests(now, &mut effects);
                    }
                }
            },
            Input::Call { request: StorageCall::Seeds(seeds), .. } => {
                self.follower.add_sources(seeds.iter().copied());
                self.membership.add_seeds(seeds);
            }
            Input::Call { call, request: StorageCall::Health } => {
                effects.push(Effect::Respond { call, value: self.storage_health(now) });
            }
            Input::Frame { sender, from, message } => match message {
                Message::Membership(message) => {
                    let outgoing = self.membership.receive(from, message, now);
                    effects.extend(topazyard_membership::effects(outgoing));
                }
                Message::Feed(message) => {
                    if self.follower.receive(from, message) == FollowOutcome::Changed {
                        self.fleet = FleetSnapshot::read(self.follower.copy().rows());
                        self.update_roles(now, &mut effects);
                    }
                    if self.follower.is_fetching() {
                        self.poll_feed(now, &mut effects);
                    }
                    self.answer_replica_reads(now, &mut effects);
                }
                Message::Replica(message) => {
                    self.receive_replica(sender, from, message, now, &mut effects)
                }
                Message::Counter(message) => {
                    self.receive_counter(sender, from, message, now, &mut effects);
                }
                Message::Batch(message) => {
                    self.receive_batch(sender, from, message, now, &mut effects);
                }
                Message::ShardRecord(shard, record) => {
                    self.receive_record(shard, record, now, &mut effects)
                }
                Message::Confirm(message) => {
                    self.receive_confirm(sender, from, message, now, &mut effects);
                }
                Message::Core(_) | Message::ShardChangeRequest(_) | Message::Operate(_) => {}
            },
        }
        self.start_next_batches(now, &mut effects);
        self.watch_writes(&effects, now);
        effects
    }
}
