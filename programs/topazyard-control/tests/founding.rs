//! Founding: any seed may found a fleet, and two fleets are never founded.

mod fleet;

use fleet::Fleet;
use topazyard_wire::message::operate::{OperateOutcome, Query};

/// The control nodes and epoch that a node knows.
fn known(fleet: &mut Fleet, number: usize) -> Option<serde_json::Value> {
    match fleet.query(number, Query::FleetState) {
        Some(OperateOutcome::Done(text)) => {
            let state: serde_json::Value = serde_json::from_str(&text).expect("JSON");
            Some(state["control"].clone())
        }
        _ => None,
    }
}

#[track_caller]
fn is_one_fleet(fleet: &mut Fleet) {
    let states: Vec<_> = (0..fleet.nodes.len()).map(|number| known(fleet, number)).collect();
    assert!(states.iter().all(|state| state.is_some() && *state == states[0]), "{states:?}");
}

#[test]
fn a_fleet_is_founded_without_any_one_of_its_seeds() {
    for missing in 0..3 {
        let mut fleet = Fleet::new(3, 3);
        fleet.stop(missing, true);
        fleet.run(6_000);
        assert!(fleet.primary().is_some(), "without seed {missing}");
        // It starts late, and its settings still say that the fleet is new.
        fleet.start(missing);
        fleet.run(6_000);
        is_one_fleet(&mut fleet);
    }
}

#[test]
fn nobody_founds_a_fleet_with_a_minority_of_the_seeds() {
    let mut fleet = Fleet::new(5, 3);
    fleet.stop(0, true);
    fleet.stop(1, true);
    fleet.run(20_000);
    assert_eq!(fleet.primary(), None);
}

#[test]
fn a_seed_that_restarts_before_the_fleet_exists_may_still_vote() {
    let mut fleet = Fleet::new(3, 3);
    (0..3).for_each(|number| fleet.stop(number, false));
    // Settings written at a restart no longer say that the fleet is new.
    fleet.may_bootstrap = false;
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(6_000);
    is_one_fleet(&mut fleet);
}

#[test]
fn a_seed_that_lost_its_disk_before_the_fleet_exists_does_not_vote() {
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

/// Seeds start and stop at any moments of the founding; whatever comes of it is one fleet.
#[test]
fn two_fleets_are_never_founded() {
    let moves = bolero::check!().with_type::<Vec<(u8, u8)>>().with_iterations(60);
    moves.for_each(|moves| {
        let mut fleet = Fleet::new(4, 3);
        for (which, after) in moves.iter().take(24) {
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
        is_one_fleet(&mut fleet);
    });
}
