//! The program as a whole: its machine, its links and its HTTP.

use crate::front::{Handle, connections, routed};
use topazyard_wire::driver::StartError;
use topazyard_wire::http::inward;

/// How often idle connections to engines are looked through.
const SWEEP_MS: u64 = 500;
/// How often a draining relay looks whether it has finished.
const DRAIN_LOOK_MS: u64 = 100;

/// How a relay serves its clients.
#[derive(Clone)]
pub enum Front {
    /// With the product's own interface.
    Own,
    /// With the routes of the spec, in an outer adapter's names.
    Routes {
        /// The names.
        names: routed::Names,
        /// For how long clients may still be sent here after the relay said that it isn't ready.
        still_sent: std::time::Duration,
    },
}

/// Runs the program on its settings until it ends.
///
/// # Errors
/// A setting that is missing, an address that is taken, or a disk that can't be used.
pub fn run(settings: topazyard_spec::NodeSettings, front: Front) -> Result<(), StartError> {
    let http = settings.need_http()?;
    let agent = settings.need_beside()?;
    topazyard_wire::log::start(settings.data.clone()).map_err(|_| StartError::Log)?;
    let node = topazyard_wire::driver::fresh_id();
    let start = crate::Start { node, agent, bounds: settings.bounds.clone() };
    let place =
        topazyard_wire::driver::Place { fleet: settings.fleet, node, address: settings.address };
    topazyard_wire::driver::run_process(async move {
        let listener = inward::bind(http).await?;
        let ready = match settings.ready {
            Some(address) => Some(inward::bind(address).await?),
            None => None,
        };
        let (tasks, begun) = tokio::sync::mpsc::channel(1_024);
        let make = move |_| (crate::RelayMachine::new(&start), Vec::new());
        let handle =
            topazyard_wire::driver::spawn_at(settings.frames_at(), make, place, None, tasks)?;
        let names = match &front {
            Front::Own => None,
            Front::Routes { names, .. } => Some(names.clone()),
        };
        tokio::spawn(crate::front::tasks::run(handle.clone(), begun, names));
        tokio::spawn(sweep());
        let (drain, drains) = tokio::sync::watch::channel(inward::Stage::Serving);
        let linger = match &front {
            Front::Own => std::time::Duration::ZERO,
            Front::Routes { still_sent, .. } => *still_sent,
        };
        if let Some(ready) = ready {
            tokio::spawn(serve(ready, handle.clone(), front.clone(), drains.clone()));
        }
        let mut served = std::pin::pin!(serve(listener, handle.clone(), front, drains));
        let grace = grace(&settings);
        let ending = drained(&handle, &drain, linger, grace);
        let begun = tokio::select! {
            biased;
            begun = ending => begun,
            () = &mut served => return Ok(()),
        };
        // What is idle is closed in order; what came in that moment is answered to its end.
        let _ = drain.send(inward::Stage::Ending);
        let left = grace.saturating_sub(begun.elapsed());
        let _ = tokio::time::timeout(left, served).await;
        Ok(())
    })
}

async fn serve(
    listener: tokio::net::TcpListener,
    handle: Handle,
    front: Front,
    drains: inward::Drain,
) {
    match front {
        Front::Own => {
            let answer = move |request| crate::front::answer(handle.clone(), request);
            inward::serve_draining(listener, answer, drains).await;
        }
        Front::Routes { names, .. } => {
            let answer = move |request| routed::answer(handle.clone(), names.clone(), request);
            inward::serve_draining(listener, answer, drains).await;
        }
    }
}

async fn sweep() {
    let mut every = tokio::time::interval(std::time::Duration::from_millis(SWEEP_MS));
    loop {
        every.tick().await;
        connections::sweep();
    }
}

/// How long a relay that drains waits for what is under way: most of what it may take to end.
fn grace(settings: &topazyard_spec::NodeSettings) -> std::time::Duration {
    std::time::Duration::from_millis(settings.bounds.grace.0 / 8 * 7)
}

/// Waits for SIGTERM, then until nothing is under way any more and nobody is sent here. Gives the
/// moment of the signal.
async fn drained(
    handle: &Handle,
    drain: &tokio::sync::watch::Sender<inward::Stage>,
    linger: std::time::Duration,
    grace: std::time::Duration,
) -> std::time::Instant {
    use crate::{RelayCall, RelayReturn};
    let kind = tokio::signal::unix::SignalKind::terminate();
    match tokio::signal::unix::signal(kind) {
        Ok(mut asked) => drop(asked.recv().await),
        // Without the signal the process ends at once, as any other would.
        Err(_) => return std::future::pending().await,
    }
    let begun = std::time::Instant::now();
    if handle.call(RelayCall::Drain).await.is_err() {
        return begun;
    }
    let _ = drain.send(inward::Stage::Closing);
    while begun.elapsed() < grace {
        tokio::time::sleep(std::time::Duration::from_millis(DRAIN_LOOK_MS)).await;
        match handle.call(RelayCall::Health).await {
            Ok(RelayReturn::Health(v)) if v.under_way() => {}
            Ok(_) if begun.elapsed() < linger => {}
            _ => break,
        }
    }
    begun
}
