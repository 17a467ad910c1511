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

/// Something that is to happen.
#[derive(Debug)]
pub(crate) enum Event {
    /// A process's tick.
    Tick(NodeIndex, u64),
    /// A frame arrives.
    Frame {
        to: std::net::SocketAddr,
        from: std::net::SocketAddr,
        sender: topazyard_types::NodeId,
        message: topazyard_wire::Message,
    },
    /// A write is synced.
    Synced(NodeIndex, u64),
    /// Something in a prompt's way.
    Session(usize, SessionEvent),
    /// Something at an engine.
    Engine(engines::EngineEvent),
    /// An item's run came to something at its relay.
    Item(sessions::ItemEvent),
    /// A look at an engine's health came back.
    Looked(NodeIndex, u64, topazyard_types::EngineName, bool),
    /// What engines said of their load reaches a control node.
    Loads(NodeIndex, u64, Vec<topazyard_types::EngineName>),
    /// Somebody outside does something.
    Activity(crate::workload::Activity),
    /// A fault.
    Fault(crate::faults::Fault),
}

/// What a call into a machine was made for.
#[derive(Debug, Clone)]
pub(crate) enum Caller {
    /// A prompt.
    Session(usize),
    /// An item's run.
    Item(usize),
    /// Somebody outside.
    Activity(crate::workload::Activity),
    /// Nobody waits.
    Nobody,
}

/// The world.
pub struct World {
    /// The present moment.
    pub time: Micros,
    pub(crate) rng: rand::rngs::StdRng,
    events: std::collections::BTreeMap<(Micros, u64), Event>,
    last_event: u64,
    /// The network.
    pub network: Network,
    /// Processes, the ended ones too.
    pub nodes: Vec<Node>,
    /// Engines.
    pub engines: Vec<Engine>,
    pub(crate) sessions: Vec<Session>,
    pub(crate) item_runs: Vec<sessions::ItemRun>,
    pub(crate) workload: crate::workload::Workload,
    /// What was seen from outside.
    pub history: History,
    /// What the processes noted in their logs.
    pub notes: Vec<String>,
    /// How much is sent, by kind of message.
    pub sent: std::collections::BTreeMap<&'static str, u64>,
    pub(crate) seeds: Vec<std::net::SocketAddr>,
    pub(crate) zones: u16,
    /// What the settings of all processes say of times and losses.
    pub(crate) bounds: topazyard_spec::Bounds,
    /// What waited in each shard when it was last weighed, and at which place.
    pub(crate) weighed:
        std::collections::BTreeMap<topazyard_types::ShardId, (topazyard_types::LogPosition, u64)>,
    /// What each relay last had in force, by its place in the history.
    pub(crate) last_in_force: std::collections::BTreeMap<NodeIndex, usize>,
    /// Bugs planted to show that the checker can fail.
    pub injected_bug: Option<InjectedBug>,
    /// After how many more answers on batches disks and power are lost, none if 0, and for how many
    /// milliseconds.
    pub(crate) wipe_after: (u64, u64),
}

/// A bug planted in the world, to show that the checker sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// An engine runs a body twice.
    RunTwice,
    /// A stream's piece is lost.
    LosePiece,
    /// A stream's piece is repeated.
    RepeatPiece,
    /// A cut return looks whole.
    InterruptedLooksComplete,
    /// A return goes to another client.
    WrongResponse,
    /// A sent prompt is said not to have run.
    ReportNotRun,
    /// An engine runs a body that nobody sent.
    AlteredBody,
    /// A listed return changes.
    ChangeListedResult,
    /// A process's clock stands still while it is frozen.
    StoppedClock,
    /// A prompt that was checked a last time is sent only seconds later.
    SendLate,
    /// An item that was checked a last time is sent only seconds later.
    SendItemsLate,
    /// Every check against the budget says yes.
    AlwaysGrantBudget,
    /// Every check against the ceiling on waiting work says yes.
    AlwaysGrantCeiling,
    /// Holds are never let go.
    LoseReleases,
    /// Refusals don't say when to come back.
    OmitRetryAfter,
    /// A relay that is asked to drain goes at once.
    SkipDrain,
    /// Changes of the spec in force are lost on their way to whoever follows the feed.
    KeepOldConfiguration,
    /// Whoever follows the feed reads a lane into the spec that nobody declared.
    RouteUndeclaredModel,
    /// Refused numbered configurations are said to be acknowledged.
    AcknowledgeAll,
    /// A numbered configuration that is sent again is said to be refused.
    RefuseResent,
    /// A numbered configuration that was taken is said to be refused.
    RefuseApplied,
    /// A node refuses numbered configurations without asking anybody.
    RefuseWithoutCause,
    /// Every answer to an operator is lost once the first configuration is taken.
    LoseResponses,
    /// Every read-back gives the first configuration.
    ReadFirstConfiguration,
    /// A route is lost on its way to whoever follows the feed.
    LoseRoute,
    /// A relay that learns of a configuration goes on with the one before it for once.
    RevertConfiguration,
    /// Syncs are said before they happen, so that a power loss takes acknowledged writes.
    EarlySyncReport,
}

impl World {
    /// An empty world.
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
            weighed: std::collections::BTreeMap::new(),
            last_in_force: std::collections::BTreeMap::new(),
            injected_bug: None,
            wipe_after: (0, 0),
        }
    }

    /// A number drawn from the world's seed.
    pub(crate) fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    pub(crate) fn at(&mut self, time: Micros, event: Event) {
        self.last_event += 1;
        self.events.insert((time.max(self.time), self.last_event), event);
    }

    pub(crate) fn after(&mut self, us: Micros, event: Event) {
        self.at(self.time + us, event);
    }

    /// Lets everything happen up to a moment.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(entry) = self.events.first_entry() {
            let (time, _) = *entry.key();
            if time > until {
                break;
            }
            let event = entry.remove();
            self.time = time;
            self.happen(event);
        }
        self.time = until;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(node, life) => self.ticks_node(node, life),
            Event::Frame { to, from, sender, message } => self.deliver(to, from, sender, message),
            Event::Synced(node, write) => self.sync(node, write),
            Event::Session(session, event) => self.session_event(session, event),
            Event::Engine(event) => self.engine_event(event),
            Event::Item(event) => self.item_event(event),
            Event::Looked(node, life, engine, is_well) => self.looked(node, life, engine, is_well),
            Event::Loads(node, life, engines) => self.loads(node, life, engines),
            Event::Activity(doing) => self.person_does(doing),
            Event::Fault(fault) => self.cause(fault),
        }
    }
}
