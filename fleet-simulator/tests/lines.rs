//! Runs every scenario on all deployments from fixed seeds and expects no violations.
//!
//! A seed that ever failed stays in `seeds_that_once_failed`; its commit states the cause.

use fleet_simulator::{Deployment, Scenario, run};

fn deployments() -> [Deployment; 4] {
    Deployment::all()
}

fn assert_no_violations(deployment: &Deployment, scenario: Scenario, seed: u64) {
    let report = run(deployment, scenario, seed, None);
    assert!(
        report.violations.is_empty(),
        "reproduce with: fleet-simulator --deployment {} --scenario {} --seed {seed}\n{:#?}\n{:#?}",
        deployment.name,
        scenario.name(),
        report.faults,
        report.violations,
    );
    // A run that served nothing would have no violations and prove nothing.
    assert!(report.figures.complete > 300, "{} {}", deployment.name, scenario.name());
}

/// Runs a scenario from both seeds on the deployments that tolerate the loss of this many machines.
fn assert_no_violations_tolerating(lost_machines: u16, scenario: Scenario) {
    let tolerates = |deployment: &Deployment| deployment.lost_machines == lost_machines;
    let deployments: Vec<Deployment> = deployments().into_iter().filter(tolerates).collect();
    assert_eq!(deployments.len(), 2);
    for deployment in deployments {
        (1..=2).for_each(|seed| assert_no_violations(&deployment, scenario, seed));
    }
}

/// One test for each scenario and size, so that one failure does not hide another.
macro_rules! scenario_tests {
    ($($name:ident: $scenario:ident),* $(,)?) => {
        mod tolerating_one_loss {
            $(#[test]
            fn $name() {
                super::assert_no_violations_tolerating(1, super::Scenario::$scenario);
            })*
        }
        mod tolerating_two_losses {
            $(#[test]
            fn $name() {
                super::assert_no_violations_tolerating(2, super::Scenario::$scenario);
            })*
        }
    };
}

scenario_tests! {
    no_faults: Calm,
    load_spikes_and_many_batches: Crowds,
    batches_arrive_while_shard_primaries_are_lost: Ceiling,
    engines_crash_hang_and_leave: Engines,
    processes_are_killed: Kills,
    processes_freeze_and_continue: Freezes,
    power_and_disks_are_lost: Power,
    every_machine_loses_power: Blackout,
    disks_are_slow_or_stall: SlowDisks,
    disks_are_full: FullDisks,
    nodes_are_cut_off_and_split: Cuts,
    machines_are_replaced_and_added: Replaced,
    all_seeds_are_replaced: Seeds,
    counter_replicas_are_lost: Counter,
    operators_race_while_configurations_grow: Operators,
    machines_are_drained_before_they_stop: Drains,
    zones_are_lost_and_cut_off: Zones,
    every_process_is_restarted_in_turn: Rolling,
    frames_are_duplicated_and_delayed_and_clocks_drift: Untidy,
    all_control_processes_are_killed_at_once: Controls,
    many_processes_are_killed_at_once: Herd,
    random_faults: Chaos,
    control_nodes_are_cut_off_for_long: CutOffControl,
    operators_race_and_responses_are_lost: Races,
    next_loss_follows_at_once: SecondLoss,
    control_nodes_are_absent_for_hundreds_of_changes: LongAbsent,
    control_loses_power_and_seeds_are_replaced: CoreTroubles,
    disks_are_lost_while_all_else_loses_power: Wipes,
    machines_with_disks_are_split_into_halves: Halves,
}

/// One test for each seed, so that one failure does not hide another.
macro_rules! regression_seeds {
    ($($name:ident: $deployment:literal, $scenario:ident, $seed:literal;)*) => {
        mod seeds_that_once_failed {
            $(#[test]
            fn $name() {
                super::assert_no_violations_at($deployment, super::Scenario::$scenario, $seed);
            })*
        }
    };
}

fn assert_no_violations_at(name: &str, scenario: Scenario, seed: u64) {
    let deployment = deployments().into_iter().find(|deployment| deployment.name == name);
    assert_no_violations(&deployment.expect("a deployment of that name"), scenario, seed);
}

regression_seeds! {
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
fn same_seed_gives_the_same_history() {
    let digest = || run(&Deployment::quito(), Scenario::Chaos, 7, None).digest;
    assert_eq!(digest(), digest());
}
