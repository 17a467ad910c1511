//! The storage node's machine: the shards it hosts, each with its part in a replica.

mod aside;
mod confirm;
mod counting;
mod displaced;
mod hosted;
mod roles;
mod serving;

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

/// How old control's last word may be when a shard stops for a record with its learner.
const HEARD_WITHIN: topazyard_types::DurationMs = topazyard_types::DurationMs(400);
/// How long a backup may owe its confirmation.
const BACKUP_TIMEOUT: topazyard_types::DurationMs = topazyard_types::DurationMs(500);
/// For how long after its start a node reckons with others that are only starting, in percent of the
/// bound on contact.
const STARTING_PERCENT: u64 = 100;
/// How long it leaves a backup that may only be starting without a confirmation, likewise: as long as
/// control waits before it counts a silent node as down.
const STARTING_TIMEOUT_PERCENT: u64 = 40;

/// The effects of a storage node.
pub(crate) type Out = Vec<Effect<StorageHealth, topazyard_wire::machine::NoTask>>;

/// What may be asked of a storage node from within its process.
#[derive(Debug)]
pub enum StorageCall {
    /// The settings name other control nodes now.
    Seeds(Vec<std::net::SocketAddr>),
    /// How does it fare?
    Health,
}

/// How a storage node fares.
#[derive(Debug, Clone, serde::Serialize)]
pub struct StorageHealth {
    /// Its id.
    pub node: NodeId,
    /// Shards it serves as their primary.
    pub serving: Vec<ShardId>,
    /// Shards of which it hosts a copy.
    pub hosting: Vec<ShardId>,
    /// How its disk fares.
    pub disk: DiskState,
    /// How long the oldest write not yet synced has taken.
    pub write_wait_ms: u64,
    /// Holds on the budget, if it leads the counter.
    pub holds: Option<usize>,
    /// The epoch of each shard of which it hosts a copy.
    pub epochs: std::collections::BTreeMap<ShardId, Epoch>,
    /// Shards in which it answers nothing more until their record changes.
    pub stopped: usize,
    /// Batches of routed items acknowledged since the start, repeats among them.
    pub batches_acknowledged: u64,
    /// Batches of routed items that the shards it serves keep.
    pub batches_kept: usize,
    /// Items without a result in these batches.
    pub items_open: usize,
    /// Calls that wait for a commit.
    pub calls_waiting: usize,
}

/// One storage node.
pub struct StorageMachine {
    pub(crate) member: Member,
    pub(crate) boot_id: BootId,
    membership: Membership,
    follower: FeedFollower,
    pub(crate) view: FleetSnapshot,
    pub(crate) hosted: std::collections::BTreeMap<ShardId, Hosted>,
    loaded: topazyard_wire::rows::LoadedRows,
    /// Shards in which this node answers nothing more, up to that epoch.
    pub(crate) stopped: std::collections::BTreeMap<ShardId, topazyard_types::Epoch>,
    after_write: std::collections::BTreeMap<u64, ShardChangeRequest>,
    /// The number of the write that deleted this node's last copy of a shard.
    deletions: std::collections::BTreeMap<ShardId, u64>,
    last_write: u64,
    last_sweep: MonotonicMs,
    pub(crate) budgets_told: MonotonicMs,
    /// When this process began.
    started: Option<MonotonicMs>,
    confirming: confirm::Confirming,
    /// When a frame told of an epoch that the feed has not told of yet.
    behind_since: Option<MonotonicMs>,
    remembered: topazyard_wire::driver::disk_start::KnownControlNodes,
    pub(crate) bounds: topazyard_spec::Bounds,
    /// What the batches of a shard may weigh, in bytes.
    pub(crate) room_bytes: u64,
    pub(crate) disk: DiskWatch,
    pub(crate) batches_acknowledged: u64,
}

/// What the batches of a shard may weigh. Each byte lies in memory once as a row and for a moment
/// in frames; on disk a file of pages takes it 2.2 times, as measured on the capacity page.
fn room_bytes(resources: &topazyard_spec::Resources) -> u64 {
    let part = |all: u64, parts| if all == 0 { u64::MAX } else { all / parts };
    part(resources.memory_bytes, 4).min(part(resources.disk_bytes, 3))
}

impl StorageMachine {
    /// A storage node as it starts.
    pub fn new(mut start: DiskStart) -> Self {
        let remembered = start.known_control_nodes();
        let sources = start.control_addresses();
        let node_rows = start.loaded.remove(&Group::Node).unwrap_or_default();
        let stopped = node_rows
            .get("stopped")
            .and_then(|value| topazyard_wire::rows::decode(value))
            .unwrap_or_default();
        let boot_id = BootId(start.random_seed);
        Self {
            boot_id,
            membership: Membership::new(start.member.clone(), sources.clone(), start.random_seed),
            follower: FeedFollower::new(sources, boot_id),
            member: start.member,
            view: FleetSnapshot::default(),
            hosted: std::collections::BTreeMap::new(),
            loaded: start.loaded,
            stopped,
            after_write: std::collections::BTreeMap::new(),
            deletions: std::collections::BTreeMap::new(),
            last_write: 0,
            last_sweep: MonotonicMs(0),
            budgets_told: MonotonicMs(0),
            started: None,
            confirming: confirm::Confirming::new(boot_id),
            behind_since: None,
            remembered,
            room_bytes: room_bytes(&start.resources),
            disk: DiskWatch::default(),
            batches_acknowledged: 0,
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

    /// Holds on the budget, if this node leads the counter.
    pub fn holds(&self) -> Option<usize> {
        self.hosted.values().find_map(|h| h.counter().map(crate::counter::Counter::holds))
    }

    fn write_own(&mut self, row: RowChange, then: Option<ShardChangeRequest>, out: &mut Out) {
        self.last_write += 1;
        if let Some(wish) = then {
            self.after_write.insert(self.last_write, wish);
        }
        let token = WriteToken { group: Group::Node, number: self.last_write };
        out.push(Effect::Write { token, changes: vec![row] });
    }

    /// Answers nothing more in a shard's epoch, and once that is synced wishes for another record.
    pub(crate) fn stop_and_wish(&mut self, wish: ShardChangeRequest, out: &mut Out) {
        let shard = wish.shard;
        // The counter is lost with its process, and with it whatever it could answer: it need not
        // wait for a disk that may have stalled.
        let at_once = shard.is_counter().then_some(MonotonicMs(0));
        if let Some(hosted) = self.hosted.get_mut(&shard) {
            hosted.replica.stop_serving();
            hosted.wish = Some((wish.clone(), at_once));
        }
        if shard.is_counter() {
            return;
        }
        self.stopped.insert(shard, wish.epoch);
        let row = RowChange::put("stopped", &self.stopped);
        self.write_own(row, Some(wish), out);
    }

    /// Sends wishes until the record changes.
    fn send_wishes(&mut self, now: MonotonicMs, out: &mut Out) {
        let every = topazyard_types::DurationMs(100);
        let control: Vec<std::net::SocketAddr> = self.follower.primary().into_iter().collect();
        for hosted in self.hosted.values_mut() {
            if let Some((wish, Some(sent))) = &mut hosted.wish
                && now.since(*sent) >= every
            {
                *sent = now;
                for to in &control {
                    out.push(Effect::Send {
                        to: *to,
                        message: Message::ShardChangeRequest(wish.clone()),
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
                    Some((*shard, hosted.batches()?.waiting_with_routed().0))
                })
                .collect(),
            live_tokens: self
                .hosted
                .values()
                .find_map(|hosted| hosted.counter().map(|counter| counter.live_tokens().0)),
        }
    }

    fn own_health(&self, now: MonotonicMs) -> StorageHealth {
        let serving = || self.hosted.iter().filter(|(_, hosted)| hosted.replica.is_serving());
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
                .find_map(|hosted| hosted.counter().map(crate::counter::Counter::holds)),
            epochs: self
                .hosted
                .iter()
                .map(|(shard, hosted)| (*shard, hosted.replica.epoch()))
                .collect(),
            stopped: self.hosted.values().filter(|hosted| hosted.wish.is_some()).count(),
            batches_acknowledged: self.batches_acknowledged,
            batches_kept: batches().map(crate::batches::routed::RoutedBatches::count).sum(),
            items_open: batches().map(crate::batches::routed::RoutedBatches::open_items).sum(),
            calls_waiting: self.hosted.values().map(Hosted::calls_waiting).sum(),
        }
    }

    /// Asks the feed, if it is time to.
    fn ask_feed(&mut self, now: MonotonicMs, out: &mut Out) {
        let health = self.health(now);
        if let Some((to, message)) = self.follower.tick(now, || health) {
            out.push(Effect::Send { to, message: Message::Feed(message) });
        }
    }

    fn tick(&mut self, now: MonotonicMs, out: &mut Out) {
        self.note_disk(now, out);
        let outgoing = self.membership.tick(now);
        out.extend(topazyard_membership::effects(outgoing));
        self.remember_addresses(out);
        self.follower.add_sources(self.membership.addresses(MemberRole::Control));
        let behind = self.behind_since.is_some_and(|at| self.follower.confirmed_at() <= Some(at));
        let waits = self.hosted.values().any(|hosted| hosted.waits_for_control(now));
        self.follower.set_fast_polling(behind || waits || self.is_starting(now));
        self.ask_feed(now, out);
        let shards: Vec<ShardId> = self.hosted.keys().copied().collect();
        for shard in &shards {
            let Some(hosted) = self.hosted.get_mut(shard) else { continue };
            let heard = self.follower.confirmed_at();
            hosted
                .replica
                .set_learner_promotion_paused(heard.is_none_or(|at| now.since(at) >= HEARD_WITHIN));
            let outputs = hosted.replica.tick(now);
            self.take_replica(*shard, outputs, now, out);
            self.wish_if_backup_silent(*shard, now, out);
        }
        self.send_wishes(now, out);
        self.confirm_tick(now, out);
        self.tell_budgets(now, out);
        if now.since(self.last_sweep) >= topazyard_types::DurationMs(100) {
            self.last_sweep = now;
            shards.iter().for_each(|shard| self.sweep(*shard, now, out));
        }
    }

    /// Counts the writes that are handed to the disk.
    fn watch_writes(&mut self, out: &Out, now: MonotonicMs) {
        for effect in out {
            if let Effect::Write { token, .. } = effect {
                self.disk.write_started(*token, now);
            }
        }
    }

    /// Says in the log when the disk is full, stalls or is well again.
    fn note_disk(&mut self, now: MonotonicMs, out: &mut Out) {
        if let Some(state) = self.disk.take_state_change(now) {
            out.push(Effect::Log { is_error: false, text: state.to_string() });
        }
    }

    fn remember_addresses(&mut self, out: &mut Out) {
        if !self.disk.accepts_writes() {
            return;
        }
        if let Some(row) = self.remembered.update(self.membership.addresses(MemberRole::Control)) {
            self.write_own(row, None, out);
        }
    }

    fn receive_replica(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: ReplicaMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let Group::Shard(shard) = message.group else { return };
        if message.body == ReplicaBody::NotHeld {
            return self.drop_displaced(shard, sender, from, message.epoch, out);
        }
        let hosted = self.hosted.get_mut(&shard);
        if hosted.as_ref().is_none_or(|hosted| hosted.replica.epoch() < message.epoch) {
            self.behind_since.get_or_insert(now);
            self.answer_for_copy_not_held(shard, from, &message, out);
        } else if let Some(hosted) = hosted {
            self.behind_since = None;
            let from = topazyard_replication::replica::Sender { id: sender, address: from };
            let outputs = hosted.replica.receive(from, message, now);
            self.take_replica(shard, outputs, now, out);
        }
    }

    fn part_of_contact(&self, percent: u64) -> topazyard_types::DurationMs {
        topazyard_types::DurationMs(self.bounds.contact.0 * percent / 100)
    }

    /// Whether this process began so lately that others may have begun with it and not be heard yet, as
    /// after a loss of power.
    fn is_starting(&self, now: MonotonicMs) -> bool {
        let limit = self.part_of_contact(STARTING_PERCENT);
        self.started.is_none_or(|at| now.since(at) < limit)
    }

    fn wish_if_backup_silent(&mut self, shard: ShardId, now: MonotonicMs, out: &mut Out) {
        let timeout = match self.is_starting(now) {
            true => self.part_of_contact(STARTING_TIMEOUT_PERCENT),
            false => BACKUP_TIMEOUT,
        };
        let Some(hosted) = self.hosted.get(&shard) else { return };
        let silent_since = hosted.replica.backup_silent_since();
        // Where control can't be heard either it may be this node that hears nobody.
        let heard = self.follower.confirmed_at();
        let alone = silent_since.is_some_and(|since| heard <= Some(since));
        let silent = hosted.replica.silent_backups(timeout, now);
        // With a full disk it can't sync that it stopped; control moves its duties away.
        let may_wish = hosted.wish.is_none() && !self.disk.is_full();
        if may_wish && !alone && !silent.is_empty() {
            let epoch = hosted.replica.epoch();
            let change = ShardChange::DropBackups(silent);
            self.stop_and_wish(ShardChangeRequest { shard, epoch, change }, out);
        }
    }
}

impl Machine for StorageMachine {
    type Call = StorageCall;
    type Response = StorageHealth;
    type Task = topazyard_wire::machine::NoTask;

    fn step(&mut self, input: Input<StorageCall>, now: MonotonicMs) -> Out {
        let mut out = Vec::new();
        if let Input::Written(token) = &input {
            self.disk.write_synced(*token);
        }
        self.started.get_or_insert(now);
        match input {
            Input::Disk(state) => self.disk.set_state(state, now),
            Input::Tick => self.tick(now, &mut out),
            Input::Written(token) => match token.group {
                Group::Shard(shard) => {
                    if let Some(hosted) = self.hosted.get_mut(&shard) {
                        let outputs = hosted.replica.write_synced(token.number);
                        self.take_replica(shard, outputs, now, &mut out);
                    }
                }
                _ => {
                    if let Some(wish) = self.after_write.remove(&token.number) {
                        self.begin_wishing(&wish);
                        self.send_wishes(now, &mut out);
                    }
                }
            },
            Input::Call { request: StorageCall::Seeds(seeds), .. } => {
                self.follower.add_sources(seeds.iter().copied());
                self.membership.add_seeds(seeds);
            }
            Input::Call { call, request: StorageCall::Health } => {
                out.push(Effect::Respond { call, value: self.own_health(now) });
            }
            Input::Frame { sender, from, message } => match message {
                Message::Membership(message) => {
                    let outgoing = self.membership.receive(from, message, now);
                    out.extend(topazyard_membership::effects(outgoing));
                }
                Message::Feed(message) => {
                    if self.follower.receive(from, message) == FollowOutcome::Changed {
                        self.view = FleetSnapshot::read(self.follower.copy().rows());
                        self.settle_roles(now, &mut out);
                    }
                    if self.follower.is_fetching() {
                        self.ask_feed(now, &mut out);
                    }
                    self.answer_asides(now, &mut out);
                }
                Message::Replica(message) => {
                    self.receive_replica(sender, from, message, now, &mut out)
                }
                Message::Counter(message) => {
                    self.receive_counter(sender, from, message, now, &mut out);
                }
                Message::Batch(message) => {
                    self.receive_batch(sender, from, message, now, &mut out);
                }
                Message::ShardRecord(shard, record) => {
                    self.told_record(shard, record, now, &mut out)
                }
                Message::Confirm(message) => {
                    self.receive_confirm(sender, from, message, now, &mut out);
                }
                Message::Core(_) | Message::ShardChangeRequest(_) | Message::Operate(_) => {}
            },
        }
        self.proceed(now, &mut out);
        self.watch_writes(&out, now);
        out
    }
}
