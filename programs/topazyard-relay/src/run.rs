//! The program as a whole: its machine, its links and its HTTP.

use topazyard_wire::driver::StartError;

/// Runs the program on its settings until it ends.
///
/// # Errors
/// A setting that is missing, an address that is taken, or a disk that can't be used.
pub fn run(settings: topazyard_spec::NodeSettings) -> Result<(), StartError> {
    let http = settings.need_http()?;
    let agent = settings.need_beside()?;
    topazyard_wire::log::start(settings.data.clone()).map_err(|_| StartError::Log)?;
    let node = topazyard_wire::driver::fresh_id();
    let start = crate::Start { node, agent, bounds: settings.bounds.clone() };
    let place =
        topazyard_wire::driver::Place { fleet: settings.fleet, node, address: settings.address };
    topazyard_wire::driver::run_process(async move {
        let listener = topazyard_wire::http::inward::bind(http).await?;
        let (tasks, begun) = tokio::sync::mpsc::channel(1_024);
        let make = move |_| (crate::RelayMachine::new(&start), Vec::new());
        let handle = topazyard_wire::driver::spawn(make, place, None, tasks)?;
        tokio::spawn(crate::front::tasks::run(
            handle.clone(),
            begun,
            &crate::front::items::NoRoutes,
        ));
        let draining = handle.clone();
        let served = topazyard_wire::http::inward::serve(listener, move |request| {
            crate::front::answer(handle.clone(), request)
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
async fn drained(handle: crate::front::Handle) {
    use crate::{RelayCall, RelayReturn};
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
