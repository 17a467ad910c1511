//! Runs the relay's process: the state machine, the links and the HTTP listeners.

use crate::drain::DrainTimes;
use crate::front::engine::std_duration;
use crate::front::{Handle, connections, routed};
use crate::{RelayCall, RelayResponse};
use topazyard_types::DurationMs;
use topazyard_wire::driver::StartError;
use topazyard_wire::http::inbound::{self, ServerOptions};
use topazyard_wire::http::server_limits::Callers;

/// Interval at which expired idle connections to engines are closed.
const IDLE_SWEEP_INTERVAL_MS: u64 = 500;
/// Interval at which a draining relay checks whether it has finished.
const DRAIN_CHECK_INTERVAL: DurationMs = DurationMs(100);
/// Time left for sending final responses if the process notices late that its time is over.
const FINAL_RESPONSES_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// The interface through which a relay serves clients.
#[derive(Clone)]
pub enum Front {
    /// The product's own interface.
    Own,
    /// The configuration's routes, with an outer adapter's header names and formats.
    Routes {
        /// The outer adapter.
        adapter: routed::SharedAdapter,
        /// How long clients may still be routed to this relay after it reports that it is not
        /// ready.
        deregistration_delay: DurationMs,
    },
}

/// Runs the relay with these settings until it shuts down.
///
/// # Errors
/// A setting is missing, an address is in use, or the disk is unusable.
pub fn run(settings: topazyard_spec::NodeSettings, front: Front) -> Result<(), StartError> {
    let http = settings.require_http()?;
    let agent = settings.require_beside()?;
    topazyard_wire::log::start(settings.data.clone()).map_err(|_| StartError::Log)?;
    let node = topazyard_wire::driver::fresh_id();
    let start = crate::Start { node, agent, bounds: settings.bounds.clone() };
    let identity = topazyard_wire::driver::NodeIdentity {
        fleet: settings.fleet,
        node,
        address: settings.address,
    };
    let resources = settings.resources.clone();
    topazyard_wire::driver::run_process(&resources, async move {
        let listener = inbound::bind(http).await?;
        let ready = match settings.ready {
            Some(address) => Some(inbound::bind(address).await?),
            None => None,
        };
        let (tasks, task_queue) = tokio::sync::mpsc::channel(1_024);
        let new_machine = move |_| (crate::RelayMachine::new(&start), Vec::new());
        let handle = topazyard_wire::driver::spawn_at(
            settings.listen_address(),
            new_machine,
            identity,
            None,
            tasks,
        )?;
        let adapter = match &front {
            Front::Own => None,
            Front::Routes { adapter, .. } => Some(adapter.clone()),
        };
        let (client_limits, limits) = tokio::sync::watch::channel(Default::default());
        let tasks = crate::front::tasks::run(handle.clone(), task_queue, adapter, client_limits);
        tokio::spawn(tasks);
        tokio::spawn(close_expired_connections());
        let (drain, drain_stage) = tokio::sync::watch::channel(inbound::Stage::Serving);
        crate::metrics::serve(settings.metrics, &handle, &drain_stage).await;
        let deregistration_delay = match &front {
            Front::Own => DurationMs(0),
            Front::Routes { deregistration_delay, .. } => *deregistration_delay,
        };
        if let Some(ready) = ready {
            let options =
                ServerOptions { drain: drain_stage.clone(), ..ServerOptions::of(Callers::Probes) };
            tokio::spawn(serve(ready, handle.clone(), front.clone(), options));
        }
        let options = ServerOptions { callers: Callers::Clients, limits, drain: drain_stage };
        let serving = serve(listener, handle.clone(), front, options);
        let times = DrainTimes::within(settings.bounds.grace, deregistration_delay);
        tokio::select! {
            biased;
            () = serving => spdlog::info!("shut down gracefully"),
            () = drain_on_sigterm(&handle, &drain, times) => log_abandoned_work(&handle).await,
        }
        crate::front::outcomes::check_all_answered();
        Ok(())
    })
}

async fn serve(
    listener: tokio::net::TcpListener,
    handle: Handle,
    front: Front,
    options: ServerOptions,
) {
    let drain = options.drain.clone();
    match front {
        Front::Own => {
            let respond =
                move |request| crate::front::serve_request(handle.clone(), drain.clone(), request);
            inbound::serve_with(listener, respond, options).await;
        }
        Front::Routes { adapter, .. } => {
            let respond = move |request| {
                routed::serve_request(handle.clone(), adapter.clone(), drain.clone(), request)
            };
            inbound::serve_with(listener, respond, options).await;
        }
    }
}

async fn close_expired_connections() {
    let mut interval =
        tokio::time::interval(std::time::Duration::from_millis(IDLE_SWEEP_INTERVAL_MS));
    loop {
        interval.tick().await;
        connections::close_expired();
    }
}

/// Waits for SIGTERM, then leads the listeners through the stages of a drain. Returns when the
/// process must exit, whatever is under way.
async fn drain_on_sigterm(
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
        // A machine that is behind counts as having work under way, and must not delay the exit.
        let timeout = std_duration(draining.next_check_delay(DRAIN_CHECK_INTERVAL, clock.now()));
        let checked = tokio::time::timeout(timeout, handle.call(RelayCall::Health)).await;
        let health = match &checked {
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
        tokio::time::sleep(std_duration(
            draining.next_check_delay(DRAIN_CHECK_INTERVAL, clock.now()),
        ))
        .await;
    }
    send_final_responses(drain).await;
}

/// Starts the last stage if it was not reached in time, so that final responses are still sent: the
/// process was suspended meanwhile, or its grace period is very short.
async fn send_final_responses(drain: &tokio::sync::watch::Sender<inbound::Stage>) {
    if *drain.borrow() < inbound::Stage::Overdue {
        spdlog::warn!("drain stage Overdue late");
        drain.send_replace(inbound::Stage::Overdue);
        tokio::time::sleep(FINAL_RESPONSES_DELAY).await;
    }
}

/// Logs the work that is abandoned with the process.
async fn log_abandoned_work(handle: &Handle) {
    if let Ok(RelayResponse::Health(health)) = handle.call(RelayCall::Health).await {
        spdlog::error!("grace period over, abandoned: {}", under_way(&health));
    }
}

fn under_way(health: &crate::machine::RelayHealth) -> String {
    format!(
        "{} requests waiting, {} held, {} items, {} batch calls",
        health.waiting, health.holding, health.items, health.batch_calls
    )
}
