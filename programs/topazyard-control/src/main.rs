//! A control node.

use clap::Parser as _;

/// Keeps the fleet's specs, engines, placement and weights
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    #[command(flatten)]
    settings: topazyard_spec::Settings,
}

fn main() -> std::process::ExitCode {
    topazyard_wire::driver::run_daemon(Flags::parse().settings, |settings| {
        topazyard_control::run(settings, topazyard_control::DefaultInterface)
    })
}
