//! The control side under every order of events: real control machines on a network, a clock and
//! disks whose every step is chosen, by an exhaustive search or at random.
//!
//! A run is a list of [`Action`]s. [`Action::Next`] does what would happen by itself next; the
//! others are the deviations: faults, late and doubled messages, and what operators ask.

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

/// What a modelled fleet is made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Control nodes.
    pub nodes: usize,
    /// How many of them may lose their disks at once.
    pub losses: u16,
    /// Followers of the feed.
    pub readers: usize,
    /// Whether ticks between core nodes arrive at once; else they are messages like all others.
    pub instant_ticks: bool,
    /// A fault of the surroundings that an invariant must see.
    pub injected_fault: Option<InjectedFault>,
    /// The one invariant that is looked at; all of them if none is named.
    pub only_invariant: Option<Invariant>,
}

impl Settings {
    /// A fleet of so many control nodes, as many losses as that tolerates, and one reader.
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

/// Replays actions on a new fleet; gives the world at the end or at the first violation.
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

/// The lines that tell a run: each action that took place, and what the nodes noted.
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
        lines.push(format!("CROSSED {violation}"));
    }
    lines
}
