//! The simulated world: time, network, disks, processes, engines.

mod disk;
mod engines;
mod network;
mod nodes;
mod sessions;

use crate::history::{History, Micros};
use rand::{Rng as _, SeedableRng as _};

pub use disk::Disk;
pub use engines::{Engine, EngineHealth};
pub use network::Network;
pub(crate) use nodes::REPLACED;
pub use nodes::{Node, NodeIndex, NodeKind};
pub use sessions::{Session, SessionEvent};

/// An event scheduled for a simulated time.
#[derive(Debug)]
pub(crate) enum Event {
    /// The timer tick of a process, in a generation of it.
    Tick(NodeIndex, u64),
    /// A frame arrives.
    Frame {
        to: std::net::SocketAddr,
        from: std::net::SocketAddr,
        sender: topazyard_types::NodeId,
        message: topazyard_wire::Message,
    },
    /// A disk syncs all writes up to a number.
    Synced(NodeIndex, u64),
    /// An event of a prompt that a relay handles.
    Session(usize, SessionEvent),
    /// An event at an engine.
    Engine(engines::EngineEvent),
    /// An event of a batch item that a relay runs.
    Item(sessions::ItemEvent),
    /// The result of an engine's health check reaches the relay that requested it.
    HealthChecked(NodeIndex, u64, topazyard_types::EngineName, bool),
    /// The load reports of engines reach a control node.
    EngineLoads(NodeIndex, u64, Vec<topazyard_types::EngineName>),
    /// A client, an operator or the platform acts.
    Activity(crate::workload::Activity),
    /// A fault.
    Fault(crate::faults::Fault),
}

/// The caller that receives the response to a call into a machine.
#[derive(Debug, Clone)]
pub(crate) enum Caller {
    /// A prompt at a relay.
    Session(usize),
    /// A run of a batch item.
    Item(usize),
    /// A client, an operator or the platform.
    Activity(crate::workload::Activity),
    /// Nobody: the response is discarded.
    Ignored,
}

/// The whole simulated world and its event queue.
pub struct World {
    /// The current simulated time.
    pub time: Micros,
    pub(crate) rng: rand::rngs::StdRng,
    events: std::collections::BTreeMap<(Micros, u64), Event>,
    last_event: u64,
    /// The network.
    pub network: Network,
    /// Processes, including stopped ones.
    pub nodes: Vec<Node>,
    /// Engines.
    pub engines: Vec<Engine>,
    pub(crate) sessions: Vec<Session>,
    pub(crate) item_runs: Vec<sessions::ItemRun>,
    pub(crate) workload: crate::workload::Workload,
    /// Everything observed from outside the fleet.
    pub history: History,
    /// Log lines of all processes.
    pub notes: Vec<String>,
    /// Frames sent, by kind of message.
    pub sent: std::collections::BTreeMap<&'static str, u64>,
    pub(crate) seeds: Vec<std::net::SocketAddr>,
    pub(crate) zones: u16,
    /// The bounds on times and losses in the settings of all processes.
    pub(crate) bounds: topazyard_spec::Bounds,
    /// The waiting cost of each shard when it was last computed, with the log position it was
    /// computed at.
    pub(crate) waiting_by_shard:
        std::collections::BTreeMap<topazyard_types::ShardId, (topazyard_types::LogPosition, u64)>,
    /// Index in the history of the configuration that each relay last had in force.
    pub(crate) last_in_force: std::collections::BTreeMap<NodeIndex, usize>,
    /// The bug injected to show that the checker reports it.
    pub injected_bug: Option<InjectedBug>,
    /// How many more batch responses precede a loss of disks and power (0 for no loss), and how
    /// many milliseconds the loss lasts.
    pub(crate) wipe_after: (u64, u64),
}

/// A bug injected into the world to show that the checker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// An engine runs a body twice.
    RunTwice,
    /// A piece of a streamed response is lost.
    LosePiece,
    /// A piece of a streamed response is delivered twice.
    RepeatPiece,
    /// An interrupted response looks complete to its client.
    InterruptedLooksComplete,
    /// A response goes to another client.
    WrongResponse,
    /// A prompt that was sent to an engine is reported as not run.
    ReportNotRun,
    /// An engine runs a request body that no client sent.
    AlteredBody,
    /// A listed result of a batch item changes.
    ChangeListedResult,
    /// The clock of a process stops while the process is frozen.
    StoppedClock,
    /// A prompt reaches its engine seconds after the last check before sending.
    SendLate,
    /// A batch item reaches its engine seconds after the last check before sending.
    SendItemsLate,
    /// Every check against the token budget is granted.
    AlwaysGrantBudget,
    /// Every check against the ceiling on waiting work is granted.
    AlwaysGrantCeiling,
    /// Budget holds are never released.
    LoseReleases,
    /// Refusals omit the time after which to retry.
    OmitRetryAfter,
    /// A relay that is requested to drain stops at once.
    SkipDrain,
    /// Changes of the configuration in force are lost on their way to the feed's followers.
    KeepOldConfiguration,
    /// Followers of the feed see a model in a model route that no operator declared.
    RouteUndeclaredModel,
    /// Refused numbered configurations are reported as acknowledged.
    AcknowledgeAll,
    /// A numbered configuration that is sent again is reported as refused.
    RefuseResent,
    /// A numbered configuration that was applied is reported as refused.
    RefuseApplied,
    /// A node refuses numbered configurations without consulting any other node.
    RefuseWithoutCause,
    /// Every response to an operator is lost once the first configuration is applied.
    LoseResponses,
    /// Every read-back returns the first configuration.
    ReadFirstConfiguration,
    /// A route is lost on its way to the feed's followers.
    LoseRoute,
    /// A relay that receives a configuration reverts to the previous one for a moment.
    RevertConfiguration,
    /// Syncs are reported before they happen, so that a power loss takes acknowledged writes.
    EarlySyncReport,
}

impl World {
    /// Creates an empty world.
    pub fn new(seed: u64, zones: u16) -> Self {
        Self {
            time: 0,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            events: std::collections::BTreeMap::new(),
            last_event: 0,
            network: Network::default(),
            nodes: Vec::new(),
            engines: Vec::new(),
            sessions: Vec::new(),
            item_runs: Vec::new(),
            workload: crate::workload::Workload::default(),
            history: History::default(),
            notes: Vec::new(),
            sent: std::collections::BTreeMap::new(),
            seeds: Vec::new(),
            zones,
            bounds: topazyard_spec::Bounds::default(),
            waiting_by_shard: std::collections::BTreeMap::new(),
            last_in_force: std::collections::BTreeMap::new(),
            injected_bug: None,
            wipe_after: (0, 0),
        }
    }

    /// Draws a number from the generator seeded with the world's seed.
    pub(crate) fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    pub(crate) fn schedule_at(&mut self, time: Micros, event: Event) {
        self.last_event += 1;
        self.events.insert((time.max(self.time), self.last_event), event);
    }

    pub(crate) fn schedule_after(&mut self, us: Micros, event: Event) {
        self.schedule_at(self.time + us, event);
    }

    /// Processes all events up to a simulated time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(entry) = self.events.first_entry() {
            let (time, _) = *entry.key();
            if time > until {
                break;
            }
            let event = entry.remove();
            self.time = time;
            self.handle_event(event);
        }
        self.time = until;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(node, generation) => self.tick_node(node, generation),
            Event::Frame { to, from, sender, message } => self.deliver(to, from, sender, message),
            Event::Synced(node, write) => self.sync(node, write),
            Event::Session(session, event) => self.session_event(session, event),
            Event::Engine(event) => self.engine_event(event),
            Event::Item(event) => self.item_event(event),
            Event::HealthChecked(node, generation, engine, is_healthy) => {
                self.health_checked(node, generation, engine, is_healthy)
            }
            Event::EngineLoads(node, generation, engines) => {
                self.deliver_engine_loads(node, generation, engines)
            }
            Event::Activity(activity) => self.perform(activity),
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }
}
