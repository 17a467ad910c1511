//! The program of the agent that runs next to a relay.

use clap::Parser as _;

/// Connects a relay on the same machine to the control plane
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    #[command(flatten)]
    settings: topazyard_spec::Settings,
}

fn main() -> std::process::ExitCode {
    topazyard_wire::driver::run_daemon(Flags::parse().settings, topazyard_edge_agent::run)
}
