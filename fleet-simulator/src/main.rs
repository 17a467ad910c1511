//! Runs simulated fleets from seeds.

mod model_command;

use clap::Parser as _;
use fleet_simulator::{Deployment, Scenario, run};

/// Runs simulated fleets from seeds; prints each seed that crossed a line, with its trace
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    /// What to do instead of running scenarios
    #[command(subcommand)]
    command: Option<Command>,
    /// The scenario, or all
    #[arg(long, default_value = "all")]
    scenario: String,
    /// cristallo, quito, both of them, grown-cristallo, grown-quito, grown for both of them, or all
    #[arg(long, default_value = "both")]
    deployment: String,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How many runs at a time
    #[arg(long, default_value_t = 8)]
    threads: usize,
}

/// What else it can do
#[derive(clap::Subcommand)]
enum Command {
    /// Searches the orders of events that the control side may meet
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
                eprintln!("there is no scenario {name}");
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
    let mut crossed = 0;
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::scope(|scope| {
        let mut shares: Vec<Vec<_>> = vec![Vec::new(); flags.threads.max(1)];
        for (at, job) in jobs.into_iter().enumerate() {
            shares[at % flags.threads.max(1)].push(job);
        }
        for share in shares {
            let sender = sender.clone();
            scope.spawn(move || {
                for (deployment, scenario, seed) in share {
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
            crossed += 1;
            println!(
                "CROSSED. Again: fleet-simulator --deployment {deployment} --scenario {} --seed {seed}",
                scenario.name()
            );
            report.faults.iter().for_each(|fault| println!("  {fault}"));
            report.notes.iter().for_each(|note| println!("  {note}"));
            for violation in report.violations.iter().take(12) {
                println!("  {:?}: {}", violation.line, violation.text);
            }
        }
    });
    println!("{total} runs, {crossed} crossed a line");
    if crossed == 0 { std::process::ExitCode::SUCCESS } else { std::process::ExitCode::FAILURE }
}
