//! The topazyard-storage program.

use clap::Parser as _;

/// Keeps the in-flight counter and batch shards
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    #[command(flatten)]
    settings: topazyard_spec::Settings,
}

fn main() -> std::process::ExitCode {
    topazyard_wire::driver::run_daemon(Flags::parse().settings, topazyard_storage::run)
}
