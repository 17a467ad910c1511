//! Runs simulated fleets from seeds.

mod model_command;

use clap::Parser as _;
use fleet_simulator::{Deployment, Scenario, run};

/// Runs simulated fleets from seeds; prints each seed with a violation, with its trace
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    /// A subcommand to run instead of scenarios
    #[command(subcommand)]
    command: Option<Command>,
    /// The scenario to run, or all
    #[arg(long, default_value = "all")]
    scenario: String,
    /// The deployment: cristallo, quito, both (these two), grown-cristallo, grown-quito, grown
    /// (these two), or all
    #[arg(long, default_value = "both")]
    deployment: String,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of seeds
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The number of runs in parallel
    #[arg(long, default_value_t = 8)]
    threads: usize,
}

/// Subcommands
#[derive(clap::Subcommand)]
enum Command {
    /// Explores the orders of events that control nodes may encounter
    Model(model_command::ModelFlags),
}

fn main() -> std::process::ExitCode {
    let flags = Flags::parse();
    match &flags.command {
        Some(Command::Model(model)) => model_command::run(model),
        None => run_scenarios(&flags),
    }
}

fn run_scenarios(flags: &Flags) -> std::process::ExitCode {
    let scenarios: Vec<Scenario> = match flags.scenario.as_str() {
        "all" => Scenario::ALL.to_vec(),
        name => match Scenario::named(name) {
            Some(scenario) => vec![scenario],
            None => {
                eprintln!("unknown scenario: {name}");
                return std::process::ExitCode::from(2);
            }
        },
    };
    let deployments: Vec<Deployment> = Deployment::all()
        .into_iter()
        .filter(|deployment| match flags.deployment.as_str() {
            "all" => true,
            "both" => deployment.lost_machines < 2,
            "grown" => deployment.lost_machines >= 2,
            name => deployment.name == name,
        })
        .collect();
    let mut jobs = Vec::new();
    for seed in flags.seed..flags.seed + flags.seeds {
        for scenario in &scenarios {
            for deployment in &deployments {
                jobs.push((deployment.clone(), *scenario, seed));
            }
        }
    }
    let total = jobs.len();
    let mut violated = 0;
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::scope(|scope| {
        let mut job_lists: Vec<Vec<_>> = vec![Vec::new(); flags.threads.max(1)];
        for (index, job) in jobs.into_iter().enumerate() {
            job_lists[index % flags.threads.max(1)].push(job);
        }
        for job_list in job_lists {
            let sender = sender.clone();
            scope.spawn(move || {
                for (deployment, scenario, seed) in job_list {
                    let report = run(&deployment, scenario, seed, None);
                    if sender.send((deployment.name, scenario, seed, report)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        for (deployment, scenario, seed, report) in receiver {
            let figures = serde_json::json!(report.figures);
            println!("{deployment} {} seed {seed}: {figures}", scenario.name());
            if report.violations.is_empty() {
                continue;
            }
            violated += 1;
            println!(
                "VIOLATION. Reproduce with: fleet-simulator --deployment {deployment} --scenario {} --seed {seed}",
                scenario.name()
            );
            report.faults.iter().for_each(|fault| println!("  {fault}"));
            report.notes.iter().for_each(|note| println!("  {note}"));
            for violation in report.violations.iter().take(12) {
                println!("  {:?}: {}", violation.line, violation.text);
            }
        }
    });
    println!("{total} runs, {violated} with violations");
    if violated == 0 { std::process::ExitCode::SUCCESS } else { std::process::ExitCode::FAILURE }
}
