//! Random walks: pending events in order, with deviations drawn from a seed.

use super::world::{OPERATORS, World};
use super::{Action, Settings, Violation, network};
use rand::Rng as _;
use rand::rngs::StdRng;

/// Percentages of steps that are deviations; each walk draws one of them.
const DEVIATIONS_PERCENT: [u32; 4] = [3, 8, 20, 45];
/// Probability per step, in 1/1000, of a phase in which all faults end.
const CALM_PERMILLE: u32 = 2;
/// Maximum number of simultaneous faults before a walk ends one of them.
const MAX_FAULTS: usize = 3;
/// How much time may pass in one step: values below and above each timeout.
const TICK_INTERVALS_MS: [u64; 5] = [25, 100, 350, 700, 1_600];

/// Result of a walk.
#[derive(Debug)]
pub struct Walk {
    /// Its seed.
    pub seed: u64,
    /// The actions performed.
    pub actions: Vec<Action>,
    /// The violation, if any.
    pub violation: Option<Violation>,
    /// The newest epoch reached.
    pub newest_epoch: u64,
    /// The newest acknowledged version.
    pub newest_version: u64,
    /// Number of calm phases after which no node served.
    pub unrecovered_calms: u32,
}

/// Walks this many steps from a seed.
pub fn walk(settings: Settings, seed: u64, steps: usize) -> Walk {
    use rand::SeedableRng as _;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::bootstrapped(settings);
    let percent = DEVIATIONS_PERCENT[rng.random_range(0..DEVIATIONS_PERCENT.len())];
    let mut actions = Vec::new();
    while actions.len() < steps && world.violation().is_none() {
        let action = if rng.random_ratio(CALM_PERMILLE, 1_000) {
            Action::Calm
        } else if rng.random_ratio(percent, 100) {
            deviation(&world, &mut rng)
        } else {
            Action::Next
        };
        if world.apply(&action) {
            actions.push(action);
        }
    }
    let newest_epoch = world.newest_epoch();
    let newest_version = world.newest_acknowledged().0;
    let violation = world.violation().cloned();
    Walk {
        seed,
        actions,
        violation,
        newest_epoch,
        newest_version,
        unrecovered_calms: world.unrecovered_calms(),
    }
}

fn deviation(world: &World, rng: &mut StdRng) -> Action {
    match rng.random_range(0..100) {
        0..45 => message_deviation(world, rng),
        45..55 => pass_time(world, rng),
        55..75 => operator_call(world, rng),
        _ => fault(world, rng),
    }
}

fn message_deviation(world: &World, rng: &mut StdRng) -> Action {
    if world.held() > 0 && rng.random_ratio(1, 4) {
        return Action::Release;
    }
    let message_refs = network::message_refs(world.envelopes());
    if message_refs.is_empty() {
        return Action::Next;
    }
    let message = message_refs[rng.random_range(0..message_refs.len())];
    match rng.random_range(0..10) {
        0..5 => Action::Deliver(message),
        5..7 => Action::Lose(message),
        7 => Action::Double(message),
        _ => Action::Hold(message),
    }
}

fn pass_time(world: &World, rng: &mut StdRng) -> Action {
    let ms = TICK_INTERVALS_MS[rng.random_range(0..TICK_INTERVALS_MS.len())];
    match rng.random_ratio(1, 3) {
        true => Action::TickAlone(ms, any_node(world, rng)),
        false => Action::Tick(ms),
    }
}

fn any_node(world: &World, rng: &mut StdRng) -> usize {
    rng.random_range(0..world.nodes().len())
}

fn operator_call(world: &World, rng: &mut StdRng) -> Action {
    let operator = rng.random_range(0..OPERATORS);
    let node = any_node(world, rng);
    let is_open = world.operators()[operator].open_order.is_some();
    match rng.random_range(0..10) {
        0..3 => Action::Read { operator, node },
        _ if is_open => Action::Resend { operator, node },
        _ => Action::Order { operator, node, skip: rng.random_range(0..2) },
    }
}

/// The actions that would end the current faults.
fn repairs(world: &World) -> Vec<Action> {
    let mut repairs = Vec::new();
    for (number, node) in world.nodes().iter().enumerate() {
        if node.machine.is_none() {
            repairs.push(Action::Restart(number));
        }
        if node.is_frozen {
            repairs.push(Action::Thaw(number));
        }
        if node.is_stalled {
            repairs.push(Action::Resume(number));
        }
    }
    if world.is_cut() {
        repairs.push(Action::Heal);
    }
    repairs
}

fn fault(world: &World, rng: &mut StdRng) -> Action {
    let repairs = repairs(world);
    if repairs.len() > rng.random_range(0..=MAX_FAULTS) {
        return repairs[rng.random_range(0..repairs.len())].clone();
    }
    let node = match world.primary() {
        // The primary is hit more often: its faults matter most.
        Some(primary) if rng.random_ratio(1, 3) => primary,
        _ => any_node(world, rng),
    };
    let kept = |node: usize, rng: &mut StdRng| {
        rng.random_range(0..=world.nodes()[node].disk.unsynced.len())
    };
    match rng.random_range(0..20) {
        0..5 => Action::Kill { node, kept: kept(node, rng) },
        5..7 => {
            let nodes = 0..world.nodes().len();
            Action::PowerLoss { kept: nodes.map(|node| kept(node, rng)).collect() }
        }
        7 => Action::Wipe(node),
        8 => Action::Replace(node),
        9..11 => Action::Stall(node),
        11..14 => Action::Cut(node, any_node(world, rng)),
        14..17 => Action::CutOff(node),
        _ => Action::Freeze(node),
    }
}
