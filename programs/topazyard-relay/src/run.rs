//! The program as a whole: its machine, its links and its HTTP.

use crate::drain::DrainTimes;
use crate::front::engine::std_duration;
use crate::front::{Handle, connections, routed};
use crate::{RelayCall, RelayResponse};
use topazyard_types::DurationMs;
use topazyard_wire::driver::StartError;
use topazyard_wire::http::inbound;

/// How often idle connections to engines are looked through.
const SWEEP_MS: u64 = 500;
/// How often a draining relay looks whether it has finished.
const DRAIN_LOOK: DurationMs = DurationMs(100);
/// How long final answers have for their way where the process learns late that its time is over.
const LAST_ANSWERS: std::time::Duration = std::time::Duration::from_millis(50);

/// How a relay serves its clients.
#[derive(Clone)]
pub enum Front {
    /// With the product's own interface.
    Own,
    /// With the routes of the spec, in an outer adapter's names.
    Routes {
        /// The names.
        adapter: routed::SharedAdapter,
        /// For how long clients may still be sent here after the relay said that it isn't ready.
        deregistration_delay: DurationMs,
    },
}

/// Runs the program on its settings until it ends.
///
/// # Errors
/// A setting that is missing, an address that is taken, or a disk that can't be used.
pub fn run(settings: topazyard_spec::NodeSettings, front: Front) -> Result<(), StartError> {
    let http = settings.require_http()?;
    let agent = settings.require_beside()?;
    topazyard_wire::log::start(settings.data.clone()).map_err(|_| StartError::Log)?;
    let node = topazyard_wire::driver::fresh_id();
    let start = crate::Start { node, agent, bounds: settings.bounds.clone() };
    let place = topazyard_wire::driver::NodeIdentity {
        fleet: settings.fleet,
        node,
        address: settings.address,
    };
    topazyard_wire::driver::run_process(async move {
        let listener = inbound::bind(http).await?;
        let ready = match settings.ready {
            Some(address) => Some(inbound::bind(address).await?),
            None => None,
        };
        let (tasks, begun) = tokio::sync::mpsc::channel(1_024);
        let make = move |_| (crate::RelayMachine::new(&start), Vec::new());
        let handle =
            topazyard_wire::driver::spawn_at(settings.listen_address(), make, place, None, tasks)?;
        let adapter = match &front {
            Front::Own => None,
            Front::Routes { adapter, .. } => Some(adapter.clone()),
        };
        tokio::spawn(crate::front::tasks::run(handle.clone(), begun, adapter));
        tokio::spawn(sweep());
        let (drain, drains) = tokio::sync::watch::channel(inbound::Stage::Serving);
        crate::metrics::serve(settings.metrics, &handle, &drains).await;
        let deregistration_delay = match &front {
            Front::Own => DurationMs(0),
            Front::Routes { deregistration_delay, .. } => *deregistration_delay,
        };
        if let Some(ready) = ready {
            tokio::spawn(serve(ready, handle.clone(), front.clone(), drains.clone()));
        }
        let served = serve(listener, handle.clone(), front, drains);
        let times = DrainTimes::within(settings.bounds.grace, deregistration_delay);
        tokio::select! {
            biased;
            () = served => spdlog::info!("ended in order"),
            () = drained(&handle, &drain, times) => note_given_up(&handle).await,
        }
        crate::front::outcomes::check_all_answered();
        Ok(())
    })
}

async fn serve(
    listener: tokio::net::TcpListener,
    handle: Handle,
    front: Front,
    drains: inbound::Drain,
) {
    match front {
        Front::Own => {
            let told = drains.clone();
            let answer =
                move |request| crate::front::serve_request(handle.clone(), told.clone(), request);
            inbound::serve_draining(listener, answer, drains).await;
        }
        Front::Routes { adapter, .. } => {
            let told = drains.clone();
            let answer = move |request| {
                routed::serve_request(handle.clone(), adapter.clone(), told.clone(), request)
            };
            inbound::serve_draining(listener, answer, drains).await;
        }
    }
}

async fn sweep() {
    let mut every = tokio::time::interval(std::time::Duration::from_millis(SWEEP_MS));
    loop {
        every.tick().await;
        connections::close_expired();
    }
}

/// Waits for SIGTERM, then leads the listeners through the stages of a drain. It returns when the
/// process must end, whatever is under way.
async fn drained(
    handle: &Handle,
    drain: &tokio::sync::watch::Sender<inbound::Stage>,
    times: DrainTimes,
) {
    topazyard_wire::driver::terminated().await;
    let clock = handle.clock();
    let Ok(RelayResponse::Draining(draining)) = handle.call(RelayCall::Drain(times)).await else {
        return;
    };
    while clock.now() < draining.exit_at() {
        // A machine that is behind may have anything under way, and must not put the end off.
        let limit = std_duration(draining.next_check_delay(DRAIN_LOOK, clock.now()));
        let looked = tokio::time::timeout(limit, handle.call(RelayCall::Health)).await;
        let health = match &looked {
            Ok(Ok(RelayResponse::Health(health))) => Some(health),
            Ok(_) => return,
            Err(_) => None,
        };
        let is_under_way = health.is_none_or(|health| health.under_way());
        let stage = draining.stage(is_under_way, clock.now());
        if *drain.borrow() < stage {
            let counts = health.map_or_else(String::new, |health| under_way(health));
            spdlog::info!("drain stage {stage:?} {counts}");
            drain.send_replace(stage);
        }
        tokio::time::sleep(std_duration(draining.next_check_delay(DRAIN_LOOK, clock.now()))).await;
    }
    give_last_answers(drain).await;
}

/// Has final answers given that were not given in time: the process was stopped meanwhile, or has
/// hardly any time to end.
async fn give_last_answers(drain: &tokio::sync::watch::Sender<inbound::Stage>) {
    if *drain.borrow() < inbound::Stage::Overdue {
        spdlog::warn!("drain stage Overdue late");
        drain.send_replace(inbound::Stage::Overdue);
        tokio::time::sleep(LAST_ANSWERS).await;
    }
}

/// Tells what is given up with the process.
async fn note_given_up(handle: &Handle) {
    if let Ok(RelayResponse::Health(health)) = handle.call(RelayCall::Health).await {
        spdlog::error!("out of time, given up: {}", under_way(&health));
    }
}

fn under_way(health: &crate::machine::RelayHealth) -> String {
    format!(
        "{} requests waiting, {} held, {} items, {} batch calls",
        health.waiting, health.holding, health.items, health.batch_calls
    )
}
