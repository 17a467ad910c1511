//! Measurements of simulated fleets.

use fleet_simulator::check::Figures;
use fleet_simulator::run::{run_with, workload_settings};
use fleet_simulator::workload::WorkloadSettings;
use fleet_simulator::{Deployment, Scenario, run};

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Runs each seed in its own thread.
fn run_seeds(seeds: u64, run: impl Fn(u64) -> Figures + Sync) -> Vec<Figures> {
    let run = &run;
    std::thread::scope(|scope| {
        let runs: Vec<_> = (1..=seeds).map(|seed| scope.spawn(move || run(seed))).collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}

/// The median of one figure over all runs.
fn median_of(all: &[Figures], pick: impl Fn(&Figures) -> f64) -> f64 {
    median(all.iter().map(pick).collect())
}

/// Prints a row for each scenario and deployment: medians over the seeds, and the longest time
/// below half of the expected rate.
pub fn scenarios(seeds: u64) {
    println!(
        "| deployment | scenario | whole of sent | p50 ms | p99 ms | longest below half ms, median | worst |"
    );
    println!("|---|---|---|---|---|---|---|");
    for deployment in [Deployment::cristallo(), Deployment::quito()] {
        for scenario in Scenario::ALL {
            let all = run_seeds(seeds, |seed| run(&deployment, scenario, seed, None).figures);
            let below_half_ms = |figures: &Figures| figures.longest_below_half_ms as f64;
            println!(
                "| {} | {} | {:.1} % | {:.0} | {:.0} | {:.0} | {:.0} |",
                deployment.name,
                scenario.name(),
                median_of(&all, |f| 100.0 * f.complete as f64 / f.prompts as f64),
                median_of(&all, |f| f.p50_ms as f64),
                median_of(&all, |f| f.p99_ms as f64),
                median_of(&all, below_half_ms),
                all.iter().map(below_half_ms).fold(0.0, f64::max),
            );
        }
    }
}

/// Prints a row for each range of the live share: fixed values and a tuned one.
pub fn weights(seeds: u64) {
    println!("| deployment | live share | whole of sent | p99 ms | items done at ms |");
    println!("|---|---|---|---|---|");
    for deployment in [Deployment::cristallo(), Deployment::quito()] {
        let live_shares = [
            ("fixed 40 %", (40, 40, 40)),
            ("fixed 70 %", (70, 70, 70)),
            ("fixed 90 %", (90, 90, 90)),
            ("tuned 40-90 %", (40, 70, 90)),
        ];
        for (name, live_percents) in live_shares {
            let all = run_seeds(seeds, |seed| {
                let defaults = workload_settings(&deployment, Scenario::Crowds);
                let settings = WorkloadSettings { live_percents, ..defaults };
                run_with(&deployment, Scenario::Crowds, seed, None, settings).figures
            });
            println!(
                "| {} | {name} | {:.1} % | {:.0} | {:.0} |",
                deployment.name,
                median_of(&all, |f| 100.0 * f.complete as f64 / f.prompts as f64),
                median_of(&all, |f| f.p99_ms as f64),
                median_of(&all, |f| f.items_done_ms as f64),
            );
        }
    }
}

/// Prints a row for each fleet size: frames per node and second, by kind.
pub fn growth() {
    println!("| processes | membership | feed | counter | replica | core | batch |");
    println!("|---|---|---|---|---|---|---|");
    for relays in [9_u16, 22, 47, 97] {
        let deployment =
            Deployment { relays, name: "growing", prompts_per_s: 60, ..Deployment::cristallo() };
        let report = run(&deployment, Scenario::Calm, 1, None);
        let processes = 6 + 2 * u64::from(relays);
        let seconds = report.simulated_ms as f64 / 1_000.0;
        let frames_per_node_s = |kind: &str| {
            report.sent.get(kind).copied().unwrap_or(0) as f64 / seconds / processes as f64
        };
        println!(
            "| {processes} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
            frames_per_node_s("membership"),
            frames_per_node_s("feed"),
            frames_per_node_s("counter"),
            frames_per_node_s("replica"),
            frames_per_node_s("core"),
            frames_per_node_s("batch"),
        );
    }
}
