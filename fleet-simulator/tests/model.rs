//! The model checker on the control plane: no invariant is violated in chosen and random orders of
//! events, and each invariant detects an injected fault.

use fleet_simulator::model::search::{Bounds, search_from, starting_points};
use fleet_simulator::model::walk::walk;
use fleet_simulator::model::{Action, InjectedFault, Invariant, Party, Settings, World, network};
use fleet_simulator::model::{replay, shrink};

/// Steps per walk.
const STEPS: usize = 1_500;
/// Seeds tried until the violation of an injected fault is found.
const INJECTED_FAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=400;
/// Seeds tried for lost votes, which other safeguards nearly always make harmless.
const RARE_FAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=4_000;

fn assert_no_violation(settings: Settings, seeds: std::ops::RangeInclusive<u64>) {
    for seed in seeds {
        let walk = walk(settings, seed, STEPS);
        assert_eq!(walk.violation, None, "seed {seed} of {settings:?}");
    }
}

fn assert_detected(injected_fault: InjectedFault, invariant: Invariant) {
    assert_detected_within(INJECTED_FAULT_SEEDS, injected_fault, invariant);
}

fn assert_detected_within(
    mut seeds: std::ops::RangeInclusive<u64>,
    injected_fault: InjectedFault,
    invariant: Invariant,
) {
    let clean = Settings::for_nodes(3);
    let faulty =
        Settings { injected_fault: Some(injected_fault), only_invariant: Some(invariant), ..clean };
    let is_detected = |seed: &u64| walk(faulty, *seed, STEPS).violation.is_some();
    let seed = seeds.find(is_detected);
    let seed =
        seed.unwrap_or_else(|| panic!("{injected_fault:?} was not detected as {invariant:?}"));
    let violation = walk(clean, seed, STEPS).violation;
    assert_eq!(violation, None, "seed {seed} violates an invariant without the injected fault");
}

#[test]
fn new_fleet_applies_orders_at_every_node() {
    for nodes in 2..=5 {
        for node in 0..nodes {
            let order = Action::Order { operator: 0, node, skip: 0 };
            let actions = [vec![order], vec![Action::Next; 40]].concat();
            let world = replay(Settings::for_nodes(nodes), &actions);
            assert_eq!(world.violation(), None);
            assert_eq!(world.newest_acknowledged().0, 2, "{nodes} nodes, ordered at {node}");
        }
    }
}

#[test]
fn walks_of_three_nodes() {
    assert_no_violation(Settings::for_nodes(3), 1..=250);
}

#[test]
fn walks_of_two_four_and_five_nodes() {
    assert_no_violation(Settings::for_nodes(2), 1..=60);
    assert_no_violation(Settings::for_nodes(4), 1..=60);
    assert_no_violation(Settings::for_nodes(5), 1..=100);
}

#[test]
fn walks_with_heartbeats_in_flight() {
    assert_no_violation(Settings { instant_ticks: false, ..Settings::for_nodes(3) }, 1..=60);
}

#[test]
fn seed_determines_the_walk() {
    let settings = Settings::for_nodes(3);
    assert_eq!(walk(settings, 7, STEPS).actions, walk(settings, 7, STEPS).actions);
    assert_ne!(walk(settings, 7, STEPS).actions, walk(settings, 8, STEPS).actions);
}

#[test]
fn violating_walk_is_shortened() {
    let settings = Settings {
        injected_fault: Some(InjectedFault::ReportAppliedAsRefused),
        ..Settings::for_nodes(3)
    };
    let mut walks = INJECTED_FAULT_SEEDS.map(|seed| walk(settings, seed, STEPS));
    let violating =
        walks.find(|walk| walk.violation.is_some()).expect("a refusal of an applied order");
    let violation = violating.violation.expect("a violation");
    let short = shrink::shrink(settings, &violating.actions, violation.invariant);
    assert!(short.len() < 40, "{} of {} actions", short.len(), violating.actions.len());
    let seen = replay(settings, &short).violation().map(|violation| violation.invariant);
    assert_eq!(seen, Some(violation.invariant));
}

#[test]
fn witness_that_loses_its_vote_is_detected() {
    assert_detected_within(RARE_FAULT_SEEDS, InjectedFault::ForgetVotes, Invariant::OneRecord);
}

#[test]
fn two_primaries_in_one_epoch_are_detected() {
    assert_detected_within(
        RARE_FAULT_SEEDS,
        InjectedFault::ForgetVotesAndForgeInSync,
        Invariant::OnePrimary,
    );
}

#[test]
fn record_without_backups_is_detected() {
    assert_detected(InjectedFault::DropBackups, Invariant::EnoughCopies);
}

#[test]
fn fleet_that_does_not_recover_is_detected() {
    assert_detected(InjectedFault::ExceedDiskLosses, Invariant::Recovers);
}

#[test]
fn acknowledgement_before_sync_is_detected() {
    assert_detected(InjectedFault::ReportSyncEarly, Invariant::Kept);
}

#[test]
fn partially_written_configuration_is_detected() {
    assert_detected(InjectedFault::TornWrite, Invariant::Whole);
}

#[test]
fn refused_order_in_force_is_detected() {
    assert_detected(InjectedFault::ReportAppliedAsRefused, Invariant::RefusedStays);
}

#[test]
fn refusal_of_applied_order_is_detected() {
    assert_detected(InjectedFault::RefuseResent, Invariant::TakenStays);
}

#[test]
fn two_contents_of_one_version_are_detected() {
    assert_detected(InjectedFault::ReportRefusedAsApplied, Invariant::OneContent);
}

#[test]
fn reader_that_reverts_is_detected() {
    assert_detected(InjectedFault::StaleSnapshot, Invariant::NeverBack);
}

#[test]
fn stale_read_is_detected() {
    assert_detected(InjectedFault::StaleRead, Invariant::Fresh);
}

#[test]
fn decision_of_isolated_node_is_detected() {
    assert_detected(InjectedFault::ForgeConfirmations, Invariant::AloneDecidesNothing);
}

#[test]
fn single_deviations_at_every_point() {
    let settings = Settings::for_nodes(3);
    let bounds = Bounds { depth: 24, deviations: 1 };
    // In one, both operators send their orders to the primary; in the other, one sends it to the
    // backup and the other to the node that is neither.
    for starting_point in [0, 5] {
        let found = search_from(settings, bounds, &starting_points(settings)[starting_point]);
        assert!(found.counterexample.is_none(), "{:?}", found.counterexample);
        // All kinds but uneven clocks, which only the walks have, and resent orders, which need
        // silence.
        assert!(found.kinds.len() >= 12, "{:?}", found.kinds);
        assert!(found.states > 1_000, "{} states", found.states);
    }
}

#[test]
fn search_detects_an_injected_fault() {
    let settings = Settings {
        injected_fault: Some(InjectedFault::ForgeConfirmations),
        ..Settings::for_nodes(3)
    };
    let bounds = Bounds { depth: 24, deviations: 1 };
    let starting_point = [Action::Order { operator: 0, node: 0, skip: 0 }];
    let found = search_from(settings, bounds, &starting_point);
    let invariant = found.counterexample.map(|(_, violation)| violation.invariant);
    assert_eq!(invariant, Some(Invariant::AloneDecidesNothing));
}

/// Performs pending events until a condition holds, for at most this long.
fn run_until(world: &mut World, max_ms: u64, condition: impl Fn(&World) -> bool) {
    let deadline = world.now().0 + max_ms;
    while !condition(world) && world.now().0 < deadline {
        world.apply(&Action::Next);
    }
}

fn run_for(world: &mut World, ms: u64) {
    run_until(world, ms, |_| false);
}

fn in_flight(world: &World, label: &str) -> Vec<fleet_simulator::model::MessageRef> {
    let message_refs = network::message_refs(world.envelopes());
    message_refs.into_iter().filter(|message| message.label == label).collect()
}

#[test]
fn primary_requests_again_after_a_takeover_copied_to_it() {
    let mut world = World::bootstrapped(Settings::for_nodes(3));
    world.apply(&Action::PowerLoss { kept: vec![0; 3] });
    world.apply(&Action::Restart(1));
    run_for(&mut world, 750);
    world.apply(&Action::Restart(0));
    // The backup learns that the node is back, but not yet that it is its primary.
    for message in in_flight(&world, "Digests") {
        world.apply(&Action::Lose(message));
    }
    run_until(&mut world, 3_000, |world| {
        let digests = in_flight(world, "Digests");
        digests.iter().any(|message| message.to == Party::Node(0))
    });
    world.apply(&Action::Replace(1));
    world.apply(&Action::Calm);
    assert_eq!(world.violation(), None);
}

/// An order is acknowledged by a primary and a backup that does not know yet which record was
/// decided. Then the primary loses its disk, and the backup of the previous epoch proposes the same
/// epoch.
fn backup_that_confirmed_is_overwritten() -> World {
    let mut world = World::bootstrapped(Settings::for_nodes(3));
    world.apply(&Action::Kill { node: 1, kept: 0 });
    world.apply(&Action::Order { operator: 0, node: 0, skip: 0 });
    run_until(&mut world, 5_000, |world| world.newest_acknowledged().0 == 2);
    world.apply(&Action::Wipe(0));
    world.apply(&Action::Calm);
    world
}

/// A primary that proposes a new epoch is copying to its old backup, which has received this many
/// ranges when both processes end. The backup restarts together with the third node.
fn copy_left_partly_synchronized(ranges: usize) -> World {
    let mut world = World::bootstrapped(Settings::for_nodes(3));
    world.apply(&Action::Kill { node: 2, kept: 0 });
    world.apply(&Action::Order { operator: 0, node: 0, skip: 0 });
    // The backup never receives the batch, but its heartbeats arrive.
    world.apply(&Action::Cut(0, 1));
    run_until(&mut world, 5_000, |world| world.now().0 > 86_400_000 + 2_400);
    world.apply(&Action::Heal);
    run_until(&mut world, 5_000, |world| !in_flight(world, "Range").is_empty());
    let copied = in_flight(&world, "Range");
    for message in copied.iter().rev().take(copied.len().saturating_sub(ranges)) {
        assert_eq!(message.to, Party::Node(1));
        world.apply(&Action::Lose(*message));
    }
    run_until(&mut world, 100, |world| in_flight(world, "Range").is_empty());
    let kept = world.nodes()[1].disk.unsynced.len();
    world.apply(&Action::Kill { node: 1, kept });
    world.apply(&Action::Kill { node: 0, kept: 0 });
    world.apply(&Action::Restart(1));
    world.apply(&Action::Restart(2));
    run_for(&mut world, 8_000);
    world
}

/// A primary that proposes a new epoch loses contact to all nodes, and then reaches the node to
/// which it was copying. It loses its disk once the witnesses have decided.
#[test]
fn takeover_after_isolation_names_its_backups() {
    let mut world = World::bootstrapped(Settings::for_nodes(3));
    let epoch = world.newest_epoch();
    world.apply(&Action::Kill { node: 1, kept: 0 });
    run_until(&mut world, 3_000, |world| !in_flight(world, "Digests").is_empty());
    world.apply(&Action::Kill { node: 2, kept: 0 });
    run_for(&mut world, 3_500);
    world.apply(&Action::Restart(2));
    run_until(&mut world, 3_000, |world| world.newest_epoch() > epoch);
    world.apply(&Action::Wipe(0));
    world.apply(&Action::Calm);
    assert_eq!(world.violation(), None);
}

#[test]
fn runs_that_once_violated_an_invariant() {
    let mut violations = Vec::new();
    let mut check = |name: &str, world: World| {
        violations.extend(world.violation().map(|violation| format!("{name}: {violation}")));
    };
    check("a backup that confirmed is overwritten", backup_that_confirmed_is_overwritten());
    for ranges in 1..6 {
        let name = format!("a copy is left synchronized in {ranges} ranges");
        check(&name, copy_left_partly_synchronized(ranges));
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
