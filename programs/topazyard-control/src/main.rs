//! A control node.

use clap::Parser as _;
use topazyard_wire::driver::{StartError, start_with_disk};
use topazyard_wire::message::cohort::Duty;

/// Keeps the fleet's specs, engines, placement and weights
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    #[command(flatten)]
    settings: topazyard_spec::Settings,
}

fn main() -> std::process::ExitCode {
    topazyard_wire::driver::daemon(Flags::parse().settings, run)
}

fn run(settings: topazyard_spec::NodeSettings) -> Result<(), StartError> {
    let http = settings.need_http()?;
    let (start, place, database) = start_with_disk(&settings, Duty::Control)?;
    topazyard_wire::driver::run_process(async move {
        let listener = topazyard_wire::http::inward::bind(http).await?;
        let (tasks, mut begun) = tokio::sync::mpsc::channel(64);
        let make = |now| topazyard_control::ControlMachine::new(start, now);
        let handle = topazyard_wire::driver::spawn(make, place, Some(database), tasks)?;
        let loads = handle.clone();
        tokio::spawn(async move {
            while let Some(topazyard_control::ControlTask::AskLoads(engines)) = begun.recv().await {
                let answered = topazyard_control::engine_load::ask(&engines).await;
                loads.tell(topazyard_control::ControlCall::Loads(answered));
            }
        });
        topazyard_wire::http::inward::serve(listener, move |request| {
            topazyard_control::http::answer(handle.clone(), request)
        })
        .await;
        Ok(())
    })
}
