//! A control node.

use clap::Parser as _;
use topazyard_wire::driver::StartError;
use topazyard_wire::message::cohort::{Duty, Member};

/// Keeps the fleet's specs, engines, placement and weights
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    #[command(flatten)]
    settings: topazyard_spec::Settings,
}

fn main() -> std::process::ExitCode {
    topazyard_wire::driver::exit_code(run(Flags::parse().settings))
}

fn run(settings: topazyard_spec::Settings) -> Result<(), StartError> {
    let settings = topazyard_spec::NodeSettings::check(settings)?;
    let http = settings.need_http()?;
    let folder = settings.need_data()?;
    let disk = topazyard_wire::disk::open(&folder)?;
    topazyard_wire::log::start(Some(folder)).map_err(|_| StartError::Log)?;
    let node = topazyard_wire::driver::settled_id(&disk)?;
    let start = topazyard_control::Start {
        member: Member {
            id: node,
            address: settings.address,
            http: Some(http),
            duty: Duty::Control,
            domain: settings.domain.clone(),
        },
        seeds: settings.seeds.clone(),
        chance: rand::random(),
        loaded: disk.loaded,
    };
    let place =
        topazyard_wire::driver::Place { fleet: settings.fleet, node, address: settings.address };
    topazyard_wire::driver::run_process(async move {
        let listener = topazyard_wire::http::inward::bind(http).await?;
        let (tasks, mut begun) = tokio::sync::mpsc::channel(64);
        let make = |now| topazyard_control::ControlMachine::new(start, now);
        let handle = topazyard_wire::driver::spawn(make, place, Some(disk.database), tasks)?;
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
