//! Bootstrap: any seed may bootstrap a fleet, and two fleets are never created.

mod fleet;

use fleet::Fleet;
use topazyard_wire::message::operate::{OperatorOutcome, Query};

/// The control nodes and epoch known to a node.
fn known_control(fleet: &mut Fleet, number: usize) -> Option<serde_json::Value> {
    match fleet.query(number, Query::FleetState) {
        Some(OperatorOutcome::Done(text)) => {
            let state: serde_json::Value = serde_json::from_str(&text).expect("JSON");
            Some(state["control"].clone())
        }
        _ => None,
    }
}

#[track_caller]
fn assert_one_fleet(fleet: &mut Fleet) {
    let states: Vec<_> =
        (0..fleet.nodes.len()).map(|number| known_control(fleet, number)).collect();
    assert!(states.iter().all(|state| state.is_some() && *state == states[0]), "{states:?}");
}

#[test]
fn bootstrap_succeeds_without_any_one_seed() {
    for missing in 0..3 {
        let mut fleet = Fleet::new(3, 3);
        fleet.stop(missing, true);
        fleet.run(6_000);
        assert!(fleet.primary().is_some(), "without seed {missing}");
        // It starts late, while its settings still say that the fleet is new.
        fleet.start(missing);
        fleet.run(6_000);
        assert_one_fleet(&mut fleet);
    }
}

#[test]
fn minority_of_seeds_does_not_bootstrap() {
    let mut fleet = Fleet::new(5, 3);
    fleet.stop(0, true);
    fleet.stop(1, true);
    fleet.run(20_000);
    assert_eq!(fleet.primary(), None);
}

#[test]
fn restarted_seed_may_vote_before_the_fleet_exists() {
    let mut fleet = Fleet::new(3, 3);
    (0..3).for_each(|number| fleet.stop(number, false));
    // Settings written at a restart no longer say that the fleet is new.
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(6_000);
    assert_one_fleet(&mut fleet);
}

#[test]
fn seed_that_lost_its_disk_does_not_vote() {
    let mut fleet = Fleet::new(3, 3);
    (0..3).for_each(|number| fleet.stop(number, false));
    fleet.may_bootstrap = false;
    for number in 0..2 {
        fleet.stop(number, true);
    }
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(20_000);
    assert_eq!(fleet.primary(), None);
}

/// Seeds start and stop at arbitrary times during the bootstrap; the result is one fleet.
#[test]
fn bootstrap_never_creates_two_fleets() {
    let actions = bolero::check!().with_type::<Vec<(u8, u8)>>().with_iterations(60);
    actions.for_each(|actions| {
        let mut fleet = Fleet::new(4, 3);
        for (which, after) in actions.iter().take(24) {
            fleet.run(u64::from(*after) * 10);
            let number = usize::from(*which) % 4;
            match fleet.nodes[number].machine {
                Some(_) => fleet.stop(number, false),
                None => fleet.start(number),
            }
        }
        for number in 0..4 {
            if fleet.nodes[number].machine.is_none() {
                fleet.start(number);
            }
        }
        fleet.run(12_000);
        assert_one_fleet(&mut fleet);
    });
}
