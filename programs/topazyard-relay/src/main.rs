//! The relay program.

use clap::Parser as _;

/// Serves clients at the edge
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    #[command(flatten)]
    settings: topazyard_spec::Settings,
}

fn main() -> std::process::ExitCode {
    topazyard_wire::driver::run_daemon(Flags::parse().settings, |settings| {
        topazyard_relay::run(settings, topazyard_relay::Front::Own)
    })
}
