//! A relay.

use clap::Parser as _;
use topazyard_wire::driver::StartError;

/// Serves visitors at the edge
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
    let agent = settings.need_beside()?;
    topazyard_wire::log::start(settings.data.clone()).map_err(|_| StartError::Log)?;
    let node = topazyard_wire::driver::fresh_id();
    let start = topazyard_relay::Start { node, agent };
    let place =
        topazyard_wire::driver::Place { fleet: settings.fleet, node, address: settings.address };
    topazyard_wire::driver::run_process(async move {
        let listener = topazyard_wire::http::inward::bind(http).await?;
        let (tasks, begun) = tokio::sync::mpsc::channel(1_024);
        let make = move |_| (topazyard_relay::RelayMachine::new(&start), Vec::new());
        let handle = topazyard_wire::driver::spawn(make, place, None, tasks)?;
        tokio::spawn(topazyard_relay::front::tasks::run(handle.clone(), begun));
        topazyard_wire::http::inward::serve(listener, move |request| {
            topazyard_relay::front::answer(handle.clone(), request)
        })
        .await;
        Ok(())
    })
}
