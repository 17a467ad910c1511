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
    topazyard_wire::driver::daemon(Flags::parse().settings, run)
}

fn run(settings: topazyard_spec::NodeSettings) -> Result<(), StartError> {
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
        let draining = handle.clone();
        let served = topazyard_wire::http::inward::serve(listener, move |request| {
            topazyard_relay::front::answer(handle.clone(), request)
        });
        tokio::select! {
            biased;
            () = drained(draining) => {}
            () = served => {}
        }
        Ok(())
    })
}

/// How long a relay that drains waits for what is under way.
const DRAIN_S: u64 = 30;

/// Waits for SIGTERM, then until nothing is under way any more.
async fn drained(handle: topazyard_relay::front::Handle) {
    use topazyard_relay::{RelayCall, RelayReturn};
    let kind = tokio::signal::unix::SignalKind::terminate();
    match tokio::signal::unix::signal(kind) {
        Ok(mut asked) => drop(asked.recv().await),
        // Without the signal the process ends at once, as any other would.
        Err(_) => return std::future::pending().await,
    }
    if handle.call(RelayCall::Drain).await.is_err() {
        return;
    }
    let until = std::time::Instant::now() + std::time::Duration::from_secs(DRAIN_S);
    while std::time::Instant::now() < until {
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        match handle.call(RelayCall::Vitals).await {
            Ok(RelayReturn::Vitals(v)) if v.waiting + v.holding + v.items + v.parcel_calls > 0 => {}
            _ => return,
        }
    }
}
