//! Measurements of simulated fleets.

use fleet_simulator::check::Figures;
use fleet_simulator::run::{run_with, workload_settings};
use fleet_simulator::workload::WorkloadSettings;
use fleet_simulator::{Deployment, Scenario, run};

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Runs one seed a thread.
fn over_seeds(seeds: u64, run: impl Fn(u64) -> Figures + Sync) -> Vec<Figures> {
    let run = &run;
    std::thread::scope(|scope| {
        let runs: Vec<_> = (1..=seeds).map(|seed| scope.spawn(move || run(seed))).collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}

fn of(all: &[Figures], pick: impl Fn(&Figures) -> f64) -> f64 {
    median(all.iter().map(pick).collect())
}

/// A row for each scenario and deployment: medians over the seeds, and the worst recovery.
pub fn scenarios(seeds: u64) {
    println!(
        "| deployment | scenario | whole of sent | p50 ms | p99 ms | longest below half ms, median | worst |"
    );
    println!("|---|---|---|---|---|---|---|");
    for deployment in [Deployment::cristallo(), Deployment::quito()] {
        for scenario in Scenario::ALL {
            let all = over_seeds(seeds, |seed| run(&deployment, scenario, seed, None).figures);
            let below = |figures: &Figures| figures.longest_below_half_ms as f64;
            println!(
                "| {} | {} | {:.1} % | {:.0} | {:.0} | {:.0} | {:.0} |",
                deployment.name,
                scenario.name(),
                of(&all, |f| 100.0 * f.complete as f64 / f.prompts as f64),
                of(&all, |f| f.p50_ms as f64),
                of(&all, |f| f.p99_ms as f64),
                of(&all, below),
                all.iter().map(below).fold(0.0, f64::max),
            );
        }
    }
}

/// A row for each way of setting the live share.
pub fn weights(seeds: u64) {
    println!("| deployment | live share | whole of sent | p99 ms | items done at ms |");
    println!("|---|---|---|---|---|");
    for deployment in [Deployment::cristallo(), Deployment::quito()] {
        let ways = [
            ("fixed 40 %", (40, 40, 40)),
            ("fixed 70 %", (70, 70, 70)),
            ("fixed 90 %", (90, 90, 90)),
            ("tuned 40-90 %", (40, 70, 90)),
        ];
        for (name, live_percents) in ways {
            let all = over_seeds(seeds, |seed| {
                let usual = workload_settings(&deployment, Scenario::Crowds);
                let settings = WorkloadSettings { live_percents, ..usual };
                run_with(&deployment, Scenario::Crowds, seed, None, settings).figures
            });
            println!(
                "| {} | {name} | {:.1} % | {:.0} | {:.0} |",
                deployment.name,
                of(&all, |f| 100.0 * f.complete as f64 / f.prompts as f64),
                of(&all, |f| f.p99_ms as f64),
                of(&all, |f| f.items_done_ms as f64),
            );
        }
    }
}

/// A row for each size of the fleet: frames a node and second, by kind.
pub fn growth() {
    println!("| processes | membership | feed | counter | replica | core | batch |");
    println!("|---|---|---|---|---|---|---|");
    for relays in [9_u16, 22, 47, 97] {
        let deployment =
            Deployment { relays, name: "growing", prompts_per_s: 60, ..Deployment::cristallo() };
        let report = run(&deployment, Scenario::Calm, 1, None);
        let processes = 6 + 2 * u64::from(relays);
        let seconds = report.simulated_ms as f64 / 1_000.0;
        let each = |kind: &str| {
            report.sent.get(kind).copied().unwrap_or(0) as f64 / seconds / processes as f64
        };
        println!(
            "| {processes} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
            each("membership"),
            each("feed"),
            each("counter"),
            each("replica"),
            each("core"),
            each("batch"),
        );
    }
}
