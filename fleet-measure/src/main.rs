//! Measures simulated and real fleets. Simulated figures are the same on every machine.

mod knee;
mod processor;
mod simulated;
mod watch;

use clap::Parser as _;

/// Measures topazyard fleets
#[derive(clap::Parser)]
#[command(version)]
enum Flags {
    /// Every scenario over some seeds: admitted share, times, recovery
    Scenarios {
        /// How many seeds
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Tuned weights against fixed ones, in a crowd with many batches
    Weights {
        /// How many seeds
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Frames a node sends as the fleet grows
    Growth,
    /// Ramps tokens in flight against one engine and finds the knee of the p99
    Knee(knee::Knee),
    /// Processor time and memory of running processes
    Processor(processor::Processor),
    /// Sends prompts to real relays and shows how service goes, half second by half second
    Watch(watch::Watch),
}

fn main() -> std::process::ExitCode {
    match Flags::parse() {
        Flags::Scenarios { seeds } => simulated::scenarios(seeds),
        Flags::Weights { seeds } => simulated::weights(seeds),
        Flags::Growth => simulated::growth(),
        Flags::Knee(flags) => return on_runtime(knee::run(flags)),
        Flags::Processor(flags) => return processor::run(&flags),
        Flags::Watch(flags) => return on_runtime(watch::run(flags)),
    }
    std::process::ExitCode::SUCCESS
}

fn on_runtime(work: impl Future<Output = ()>) -> std::process::ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime {
        Ok(runtime) => {
            runtime.block_on(work);
            std::process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the runtime can't be started: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
