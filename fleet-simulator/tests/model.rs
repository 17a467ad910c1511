//! The control side under chosen and random orders of events, and each invariant gone red by a
//! planted fault.

use fleet_simulator::model::search::{Bounds, search_from, starting_points};
use fleet_simulator::model::walk::walk;
use fleet_simulator::model::{Action, InjectedFault, Invariant, Party, Settings, World, network};
use fleet_simulator::model::{replay, shrink};

/// Steps of a walk.
const STEPS: usize = 1_500;
/// Seeds tried until a planted fault shows.
const INJECTED_FAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=400;
/// Seeds tried for forgotten votes, which other guards nearly always make harmless.
const RARE_FAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=4_000;

fn cross_nothing(settings: Settings, seeds: std::ops::RangeInclusive<u64>) {
    for seed in seeds {
        let walk = walk(settings, seed, STEPS);
        assert_eq!(walk.violation, None, "seed {seed} of {settings:?}");
    }
}

fn goes_red(injected_fault: InjectedFault, invariant: Invariant) {
    goes_red_within(INJECTED_FAULT_SEEDS, injected_fault, invariant);
}

fn goes_red_within(
    mut seeds: std::ops::RangeInclusive<u64>,
    injected_fault: InjectedFault,
    invariant: Invariant,
) {
    let clean = Settings::for_nodes(3);
    let planted =
        Settings { injected_fault: Some(injected_fault), only_invariant: Some(invariant), ..clean };
    let shows = |seed: &u64| walk(planted, *seed, STEPS).violation.is_some();
    let seed = seeds.find(shows);
    let seed = seed.unwrap_or_else(|| panic!("{injected_fault:?} was not seen as {invariant:?}"));
    let violation = walk(clean, seed, STEPS).violation;
    assert_eq!(violation, None, "seed {seed} crosses an invariant without any injected_fault");
}

#[test]
fn a_founded_fleet_takes_orders_at_every_node() {
    for nodes in 2..=5 {
        for node in 0..nodes {
            let order = Action::Order { operator: 0, node, skip: 0 };
            let actions = [vec![order], vec![Action::Next; 40]].concat();
            let world = replay(Settings::for_nodes(nodes), &actions);
            assert_eq!(world.violation(), None);
            assert_eq!(world.newest_acknowledged().0, 2, "{nodes} nodes, asked at {node}");
        }
    }
}

#[test]
fn walks_of_three_nodes_cross_nothing() {
    cross_nothing(Settings::for_nodes(3), 1..=250);
}

#[test]
fn walks_of_two_four_and_five_nodes_cross_nothing() {
    cross_nothing(Settings::for_nodes(2), 1..=60);
    cross_nothing(Settings::for_nodes(4), 1..=60);
    cross_nothing(Settings::for_nodes(5), 1..=100);
}

#[test]
fn walks_with_ticks_under_way_cross_nothing() {
    cross_nothing(Settings { instant_ticks: false, ..Settings::for_nodes(3) }, 1..=60);
}

#[test]
fn a_seed_gives_the_same_walk_again() {
    let settings = Settings::for_nodes(3);
    assert_eq!(walk(settings, 7, STEPS).actions, walk(settings, 7, STEPS).actions);
    assert_ne!(walk(settings, 7, STEPS).actions, walk(settings, 8, STEPS).actions);
}

#[test]
fn a_walk_that_crosses_is_shortened() {
    let settings = Settings {
        injected_fault: Some(InjectedFault::ReportAppliedAsRefused),
        ..Settings::for_nodes(3)
    };
    let mut walks = INJECTED_FAULT_SEEDS.map(|seed| walk(settings, seed, STEPS));
    let walked = walks.find(|walk| walk.violation.is_some()).expect("a refusal of what was taken");
    let violation = walked.violation.expect("a violation");
    let short = shrink::shrink(settings, &walked.actions, violation.invariant);
    assert!(short.len() < 40, "{} of {} actions", short.len(), walked.actions.len());
    let seen = replay(settings, &short).violation().map(|violation| violation.invariant);
    assert_eq!(seen, Some(violation.invariant));
}

#[test]
fn a_witness_that_forgets_its_vote_is_seen() {
    goes_red_within(RARE_FAULT_SEEDS, InjectedFault::ForgetVotes, Invariant::OneRecord);
}

#[test]
fn two_primaries_of_an_epoch_are_seen() {
    goes_red_within(
        RARE_FAULT_SEEDS,
        InjectedFault::ForgetVotesAndForgeInSync,
        Invariant::OnePrimary,
    );
}

#[test]
fn a_record_without_backups_is_seen() {
    goes_red(InjectedFault::DropBackups, Invariant::EnoughCopies);
}

#[test]
fn a_fleet_that_stays_down_is_seen() {
    goes_red(InjectedFault::ExceedDiskLosses, Invariant::Recovers);
}

#[test]
fn an_acknowledgement_before_the_sync_is_seen() {
    goes_red(InjectedFault::ReportSyncEarly, Invariant::Kept);
}

#[test]
fn half_a_configuration_is_seen() {
    goes_red(InjectedFault::TornWrite, Invariant::Whole);
}

#[test]
fn a_refused_order_in_force_is_seen() {
    goes_red(InjectedFault::ReportAppliedAsRefused, Invariant::RefusedStays);
}

#[test]
fn a_refusal_of_a_taken_order_is_seen() {
    goes_red(InjectedFault::RefuseResent, Invariant::TakenStays);
}

#[test]
fn two_contents_of_a_number_are_seen() {
    goes_red(InjectedFault::ReportRefusedAsApplied, Invariant::OneContent);
}

#[test]
fn a_reader_that_is_shown_the_past_is_seen() {
    goes_red(InjectedFault::StaleSnapshot, Invariant::NeverBack);
}

#[test]
fn an_old_answer_to_a_read_is_seen() {
    goes_red(InjectedFault::StaleRead, Invariant::Fresh);
}

#[test]
fn a_decision_of_a_node_alone_is_seen() {
    goes_red(InjectedFault::ForgeConfirmations, Invariant::AloneDecidesNothing);
}

#[test]
fn every_deviation_at_every_point_crosses_nothing() {
    let settings = Settings::for_nodes(3);
    let bounds = Bounds { depth: 24, deviations: 1 };
    // Both operators ask the primary; one asks the backup and the other the node that is neither.
    for starting_point in [0, 5] {
        let found = search_from(settings, bounds, &starting_points(settings)[starting_point]);
        assert!(found.counterexample.is_none(), "{:?}", found.counterexample);
        // All but uneven clocks, which only the walks have; no order is sent again before silence.
        assert!(found.kinds.len() >= 12, "{:?}", found.kinds);
        assert!(found.states > 1_000, "{} states", found.states);
    }
}

#[test]
fn the_search_sees_a_planted_fault() {
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

/// Lets what happens by itself go on until something holds, for so long at most.
fn until(world: &mut World, most_ms: u64, holds: impl Fn(&World) -> bool) {
    let end = world.now().0 + most_ms;
    while !holds(world) && world.now().0 < end {
        world.apply(&Action::Next);
    }
}

fn pass(world: &mut World, ms: u64) {
    until(world, ms, |_| false);
}

fn under_way(world: &World, label: &str) -> Vec<fleet_simulator::model::MessageRef> {
    let message_refs = network::message_refs(world.envelopes());
    message_refs.into_iter().filter(|message| message.label == label).collect()
}

#[test]
fn a_primary_that_let_a_claim_copy_to_it_asks_again() {
    let mut world = World::bootstrapped(Settings::for_nodes(3));
    world.apply(&Action::PowerLoss { kept: vec![0; 3] });
    world.apply(&Action::Restart(1));
    pass(&mut world, 750);
    world.apply(&Action::Restart(0));
    // The backup hears that the node is back, but not yet as its primary.
    for message in under_way(&world, "Digests") {
        world.apply(&Action::Lose(message));
    }
    until(&mut world, 3_000, |world| {
        let digests = under_way(world, "Digests");
        digests.iter().any(|message| message.to == Party::Node(0))
    });
    world.apply(&Action::Replace(1));
    world.apply(&Action::Calm);
    assert_eq!(world.violation(), None);
}

/// An order is acknowledged by a primary and a backup that was not told yet which record was
/// decided; the primary loses its disk, and the backup of the epoch before asks for the same epoch.
fn a_backup_that_confirmed_is_copied_over() -> World {
    let mut world = World::bootstrapped(Settings::for_nodes(3));
    world.apply(&Action::Kill { node: 1, kept: 0 });
    world.apply(&Action::Order { operator: 0, node: 0, skip: 0 });
    until(&mut world, 5_000, |world| world.newest_acknowledged().0 == 2);
    world.apply(&Action::Wipe(0));
    world.apply(&Action::Calm);
    world
}

/// A primary that claims copies to its old backup, which has taken so many ranges when both end.
/// The backup starts again, with the third node.
fn a_copy_is_left_half_in_step(ranges: usize) -> World {
    let mut world = World::bootstrapped(Settings::for_nodes(3));
    world.apply(&Action::Kill { node: 2, kept: 0 });
    world.apply(&Action::Order { operator: 0, node: 0, skip: 0 });
    // The backup never takes the batch, and is heard to run.
    world.apply(&Action::Cut(0, 1));
    until(&mut world, 5_000, |world| world.now().0 > 86_400_000 + 2_400);
    world.apply(&Action::Heal);
    until(&mut world, 5_000, |world| !under_way(world, "Range").is_empty());
    let copied = under_way(&world, "Range");
    for message in copied.iter().rev().take(copied.len().saturating_sub(ranges)) {
        assert_eq!(message.to, Party::Node(1));
        world.apply(&Action::Lose(*message));
    }
    until(&mut world, 100, |world| under_way(world, "Range").is_empty());
    let kept = world.nodes()[1].disk.unsynced.len();
    world.apply(&Action::Kill { node: 1, kept });
    world.apply(&Action::Kill { node: 0, kept: 0 });
    world.apply(&Action::Restart(1));
    world.apply(&Action::Restart(2));
    pass(&mut world, 8_000);
    world
}

/// A primary that claims hears nobody, and then again the node that it was copying to; it loses its
/// disk once the witnesses decided.
#[test]
fn a_claim_that_heard_nobody_names_its_backups() {
    let mut world = World::bootstrapped(Settings::for_nodes(3));
    let epoch = world.newest_epoch();
    world.apply(&Action::Kill { node: 1, kept: 0 });
    until(&mut world, 3_000, |world| !under_way(world, "Digests").is_empty());
    world.apply(&Action::Kill { node: 2, kept: 0 });
    pass(&mut world, 3_500);
    world.apply(&Action::Restart(2));
    until(&mut world, 3_000, |world| world.newest_epoch() > epoch);
    world.apply(&Action::Wipe(0));
    world.apply(&Action::Calm);
    assert_eq!(world.violation(), None);
}

#[test]
fn runs_that_crossed_an_invariant_cross_none() {
    let mut crossed = Vec::new();
    let mut look = |name: &str, world: World| {
        crossed.extend(world.violation().map(|violation| format!("{name}: {violation}")));
    };
    look("a backup that confirmed is copied over", a_backup_that_confirmed_is_copied_over());
    for ranges in 1..6 {
        let name = format!("a copy is left in step in {ranges} ranges");
        look(&name, a_copy_is_left_half_in_step(ranges));
    }
    assert!(crossed.is_empty(), "{crossed:#?}");
}
