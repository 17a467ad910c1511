//! Both deployments at full size, and both grown, through every scenario, from fixed seeds: no line is crossed.
//!
//! A seed that ever failed stays among `seeds_that_once_failed`; its commit tells the cause.

use fleet_simulator::{Deployment, Scenario, run};

fn deployments() -> [Deployment; 4] {
    Deployment::all()
}

fn holds(deployment: &Deployment, scenario: Scenario, seed: u64) {
    let report = run(deployment, scenario, seed, None);
    assert!(
        report.violations.is_empty(),
        "again: fleet-simulator --deployment {} --scenario {} --seed {seed}\n{:#?}\n{:#?}",
        deployment.name,
        scenario.name(),
        report.faults,
        report.violations,
    );
    // A run in which nothing was served would hold every line and prove nothing.
    assert!(report.figures.complete > 300, "{} {}", deployment.name, scenario.name());
}

/// Both seeds of a scenario at the deployments that bear the loss of so many machines.
fn holds_bearing(lost_machines: u16, scenario: Scenario) {
    let of_size = |deployment: &Deployment| deployment.lost_machines == lost_machines;
    let deployments: Vec<Deployment> = deployments().into_iter().filter(of_size).collect();
    assert_eq!(deployments.len(), 2);
    for deployment in deployments {
        (1..=2).for_each(|seed| holds(&deployment, scenario, seed));
    }
}

/// Each scenario as a test of its own at either size, so that one that is red hides no other.
macro_rules! holds_through {
    ($($name:ident: $scenario:ident),* $(,)?) => {
        mod bearing_one_loss {
            $(#[test]
            fn $name() {
                super::holds_bearing(1, super::Scenario::$scenario);
            })*
        }
        mod bearing_two_losses {
            $(#[test]
            fn $name() {
                super::holds_bearing(2, super::Scenario::$scenario);
            })*
        }
    };
}

holds_through! {
    nothing_goes_wrong: Calm,
    crowds_and_many_batches: Crowds,
    batches_land_while_their_keepers_are_lost: Ceiling,
    engines_crash_go_dark_and_leave: Engines,
    processes_are_killed: Kills,
    processes_freeze_and_wake: Freezes,
    power_and_disks_are_lost: Power,
    every_machine_loses_power: Blackout,
    disks_are_slow_or_stall: SlowDisks,
    disks_run_full: FullDisks,
    nodes_are_cut_off_and_split: Cuts,
    machines_are_replaced_and_added: Replaced,
    all_seeds_are_exchanged: Seeds,
    the_counters_holders_are_lost: Counter,
    operators_race_while_specs_grow: Operators,
    machines_are_drained_before_they_go: Drains,
    domains_are_lost_and_cut_off: Zones,
    every_process_is_restarted_in_turn: Rolling,
    frames_come_twice_and_late_and_clocks_drift: Untidy,
    all_control_processes_are_killed_at_once: Controls,
    many_processes_are_killed_at_once: Herd,
    anything_at_all: Chaos,
    control_nodes_are_cut_off_for_long: CutOffControl,
    operators_race_and_answers_are_lost: Races,
    the_next_loss_comes_at_once: SecondLoss,
    members_are_away_for_hundreds_of_changes: LongAbsent,
    the_whole_core_is_in_trouble: CoreTroubles,
    disks_are_lost_while_all_else_loses_power: Wipes,
    machines_with_disks_are_split_in_halves: Halves,
}

/// Each seed as a test of its own, so that one that is red hides no other.
macro_rules! hold_again {
    ($($name:ident: $deployment:literal, $scenario:ident, $seed:literal;)*) => {
        mod seeds_that_once_failed {
            $(#[test]
            fn $name() {
                super::holds_at($deployment, super::Scenario::$scenario, $seed);
            })*
        }
    };
}

fn holds_at(name: &str, scenario: Scenario, seed: u64) {
    let of_name = deployments().into_iter().find(|deployment| deployment.name == name);
    holds(&of_name.expect("a deployment of that name"), scenario, seed);
}

hold_again! {
    cristallo_cuts_11: "cristallo", Cuts, 11;
    cristallo_cuts_108: "cristallo", Cuts, 108;
    cristallo_cuts_5008: "cristallo", Cuts, 5008;
    cristallo_cuts_9000: "cristallo", Cuts, 9000;
    quito_cuts_9001: "quito", Cuts, 9001;
    cristallo_drains_9000: "cristallo", Drains, 9000;
    quito_ceiling_3: "quito", Ceiling, 3;
    quito_ceiling_9013: "quito", Ceiling, 9013;
    cristallo_cuts_9014: "cristallo", Cuts, 9014;
    cristallo_untidy_9115: "cristallo", Untidy, 9115;
    quito_slow_disks_20030: "quito", SlowDisks, 20030;
    grown_quito_full_disks_6: "grown-quito", FullDisks, 6;
    quito_cuts_20017: "quito", Cuts, 20017;
    cristallo_cuts_20017: "cristallo", Cuts, 20017;
    cristallo_chaos_111: "cristallo", Chaos, 111;
    cristallo_chaos_117: "cristallo", Chaos, 117;
    cristallo_chaos_127: "cristallo", Chaos, 127;
    cristallo_wipes_83003: "cristallo", Wipes, 83003;
    quito_wipes_83014: "quito", Wipes, 83014;
    grown_cristallo_wipes_83002: "grown-cristallo", Wipes, 83002;
    grown_quito_wipes_83014: "grown-quito", Wipes, 83014;
}

#[test]
fn a_seed_gives_the_same_history_each_time() {
    let digest = || run(&Deployment::quito(), Scenario::Chaos, 7, None).digest;
    assert_eq!(digest(), digest());
}
