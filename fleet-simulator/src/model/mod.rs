//! Model checker for the control plane: real control machines on a simulated network, clock and
//! disks. Every step is chosen by an exhaustive search or at random.
//!
//! A run is a list of [`Action`]s. [`Action::Next`] performs the next pending event; the others are
//! deviations: faults, reordered, lost and duplicated messages, and calls of operators.

pub mod action;
pub mod fingerprint;
pub mod injected_fault;
pub mod invariants;
pub mod network;
pub mod node;
pub mod order;
pub mod participants;
pub mod search;
pub mod shrink;
pub mod walk;
pub mod world;

pub use action::{Action, MessageRef, Party};
pub use injected_fault::InjectedFault;
pub use invariants::{Invariant, Violation};
pub use world::World;

/// Configuration of a modelled fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Number of control nodes.
    pub nodes: usize,
    /// How many nodes may lose their disks at once.
    pub losses: u16,
    /// Number of feed followers.
    pub readers: usize,
    /// Whether heartbeats between core nodes arrive at once instead of as messages in flight.
    pub instant_ticks: bool,
    /// A fault of the environment that an invariant must detect.
    pub injected_fault: Option<InjectedFault>,
    /// The only invariant to check; all of them if `None`.
    pub only_invariant: Option<Invariant>,
}

impl Settings {
    /// A fleet of control nodes with the number of disk losses that it tolerates, and one reader.
    pub fn for_nodes(nodes: usize) -> Self {
        let losses = if nodes >= 5 { 2 } else { 1 };
        Self {
            nodes,
            losses,
            readers: 1,
            instant_ticks: true,
            injected_fault: None,
            only_invariant: None,
        }
    }
}

/// Replays actions on a new fleet; returns the world at the end or at the first violation.
pub fn replay(settings: Settings, actions: &[Action]) -> World {
    let mut world = World::bootstrapped(settings);
    for action in actions {
        if world.violation().is_some() {
            break;
        }
        world.apply(action);
    }
    world
}

/// Replays a run and returns its log: each action, the events and log lines of the nodes, and the
/// violation, if any.
pub fn describe_run(settings: Settings, actions: &[Action]) -> Vec<String> {
    let mut world = World::bootstrapped(settings);
    world.keep_notes();
    for action in actions {
        if world.violation().is_some() {
            break;
        }
        world.apply(action);
    }
    let mut lines = world.take_notes();
    if let Some(violation) = world.violation() {
        lines.push(format!("VIOLATION: {violation}"));
    }
    lines
}
