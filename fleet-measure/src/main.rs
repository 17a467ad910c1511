//! Measures simulated and real fleets. Simulated fleets give the same figures on every machine.

mod knee;
mod processor;
mod simulated;
mod watch;

use clap::Parser as _;

/// Measures topazyard fleets
#[derive(clap::Parser)]
#[command(version)]
enum Flags {
    /// Run every scenario with several seeds: share of complete responses, latency, recovery
    Scenarios {
        /// Number of seeds
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Compare tuned weights with fixed ones, under a load peak with many batches
    Weights {
        /// Number of seeds
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Count the frames that each node sends as the fleet grows
    Growth,
    /// Increase the tokens in flight on one engine and find the knee of its p99
    Knee(knee::Knee),
    /// Show processor time and memory of running processes
    Processor(processor::Processor),
    /// Send prompts to real relays and show the complete responses in each half second
    Watch(watch::Watch),
}

fn main() -> std::process::ExitCode {
    match Flags::parse() {
        Flags::Scenarios { seeds } => simulated::scenarios(seeds),
        Flags::Weights { seeds } => simulated::weights(seeds),
        Flags::Growth => simulated::growth(),
        Flags::Knee(flags) => return block_on(knee::run(flags)),
        Flags::Processor(flags) => return processor::run(&flags),
        Flags::Watch(flags) => return block_on(watch::run(flags)),
    }
    std::process::ExitCode::SUCCESS
}

fn block_on(future: impl Future<Output = ()>) -> std::process::ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime {
        Ok(runtime) => {
            runtime.block_on(future);
            std::process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("can't start the async runtime: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
