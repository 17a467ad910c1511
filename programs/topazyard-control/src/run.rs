//! Runs a control node: its machine, its links and its HTTP server.

use crate::external::{ExternalInterface, Handle};
use topazyard_wire::driver::{StartError, start_with_disk};
use topazyard_wire::http::server::Server;
use topazyard_wire::message::membership::MemberRole;

/// Maximum time for one read of the engine list.
const LIST_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1_500);

/// Runs the node until the process is terminated.
///
/// # Errors
/// A missing setting, an address that is already in use, or an unusable disk.
pub fn run<O: ExternalInterface>(
    settings: topazyard_spec::NodeSettings,
    external: O,
) -> Result<(), StartError> {
    run_until(settings, external, topazyard_wire::driver::terminated())
}

/// Runs the node until `terminated` completes, and then shuts down gracefully.
///
/// # Errors
/// A missing setting, an address that is already in use, or an unusable disk.
pub fn run_until<O: ExternalInterface>(
    settings: topazyard_spec::NodeSettings,
    external: O,
    terminated: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let http = settings.require_http()?;
    let resources = settings.resources.clone();
    topazyard_wire::driver::run_process(&resources, async move {
        let (start, identity, disk) = start_with_disk(&settings, MemberRole::Control).await?;
        let listener = topazyard_wire::http::inbound::bind(http).await?;
        let (tasks, task_receiver) = tokio::sync::mpsc::channel(64);
        let interval = external.engine_list_interval();
        let make = |now| {
            let (mut machine, first) = crate::ControlMachine::new(start, now);
            if let Some(interval) = interval {
                machine.set_engine_list_interval(interval);
            }
            (machine, first)
        };
        let handle = topazyard_wire::driver::spawn_at(
            settings.listen_address(),
            make,
            identity,
            Some(disk),
            tasks,
        )?;
        tokio::spawn(run_tasks(external, handle.clone(), task_receiver));
        crate::metrics::serve(settings.metrics, &handle).await;
        let shutdown_handle = handle.clone();
        let seeds_handle = handle.clone();
        let grace = std::time::Duration::from_millis(settings.bounds.grace.0 / 8 * 7);
        let follow = topazyard_wire::driver::follow_settings(settings, move |now| {
            seeds_handle.notify(crate::ControlCall::Seeds(now.seeds));
        });
        let server = Server::start(listener, move |request| O::respond(handle.clone(), request));
        tokio::select! {
            biased;
            () = terminated => shut_down(server, &shutdown_handle, grace).await,
            () = follow => {}
        }
        Ok(())
    })
}

/// Time for the node's last messages to be sent before the process ends.
const FINAL_SEND_DELAY: std::time::Duration = std::time::Duration::from_millis(50);
/// How long a process that shuts down waits for a health report of its machine.
const HEALTH_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(50);
/// How long a process that shuts down waits to be replaced, whatever the machine reports.
const LEAVE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(2_500);

/// Shuts down gracefully: has this node replaced, then responds to the calls that were read.
///
/// Calls are accepted until the node is replaced, since a leaving node still forwards them. The
/// machine responds to the calls read by then within its own timeouts. A call without a response at
/// the end of the grace period is cut off when the process ends.
async fn shut_down(server: Server, handle: &Handle, grace: std::time::Duration) {
    let started_at = std::time::Instant::now();
    log_health("SIGTERM", handle).await;
    server.close_after_responses();
    leave(handle, grace).await;
    let replaced = started_at.elapsed();
    let all_answered = server.shut_down(grace.saturating_sub(replaced)).await;
    let ended = started_at.elapsed();
    if all_answered {
        spdlog::info!("shuts down gracefully after {ended:?}, {replaced:?} of it to be replaced");
    } else {
        spdlog::warn!("shuts down after {ended:?} with calls that got no response");
    }
}

/// Has other nodes replace this one.
async fn leave(handle: &Handle, grace: std::time::Duration) {
    let timeout = LEAVE_TIMEOUT.min(grace / 2);
    let replaced = tokio::time::timeout(timeout, handle.call(crate::ControlCall::Leave)).await;
    if replaced.is_ok() {
        tokio::time::sleep(FINAL_SEND_DELAY).await;
    } else {
        spdlog::warn!("gave up waiting to be replaced after {} ms", timeout.as_millis());
    }
    log_health("ready to shut down", handle).await;
}

/// Logs the node's health at a phase of the shutdown. Orders still waiting at the last phase are
/// abandoned, and their callers get no response.
async fn log_health(phase: &str, handle: &Handle) {
    let health = crate::metrics::health(handle);
    let Ok(Some(health)) = tokio::time::timeout(HEALTH_TIMEOUT, health).await else {
        return spdlog::warn!("{phase}: the machine reported no health");
    };
    let epoch = health.epoch.map_or(0, |epoch| epoch.0);
    let primary = health.primary.map_or("none".to_owned(), |primary| primary.to_string());
    spdlog::info!(
        "{phase}: serving={} epoch={epoch} primary={primary} orders_waiting={}",
        health.serving,
        health.orders_waiting,
    );
}

/// Runs the tasks that the machine starts: reads of the engine list one after the other, load
/// requests concurrently.
async fn run_tasks<O: ExternalInterface>(
    mut external: O,
    handle: Handle,
    mut tasks: tokio::sync::mpsc::Receiver<crate::ControlTask>,
) {
    while let Some(task) = tasks.recv().await {
        match task {
            crate::ControlTask::FetchLoads(engines) => {
                let handle = handle.clone();
                tokio::spawn(async move {
                    handle.notify(crate::ControlCall::Loads(O::fetch_loads(engines).await));
                });
            }
            crate::ControlTask::ListEngines => {
                let list = tokio::time::timeout(LIST_TIMEOUT, external.list_engines()).await;
                handle.notify(crate::ControlCall::Engines(list.ok().flatten()));
            }
        }
    }
}
