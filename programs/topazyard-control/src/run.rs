//! The program as a whole: its machine, its links and its HTTP.

use crate::external::{ExternalInterface, Handle};
use topazyard_wire::driver::{StartError, start_with_disk};
use topazyard_wire::http::server::Server;
use topazyard_wire::message::membership::MemberRole;

/// The longest that one reading of the list of engines may take.
const LIST_LIMIT: std::time::Duration = std::time::Duration::from_millis(1_500);

/// Runs the program on its settings until it ends.
///
/// # Errors
/// A setting that is missing, an address that is taken, or a disk that can't be used.
pub fn run<O: ExternalInterface>(
    settings: topazyard_spec::NodeSettings,
    outside: O,
) -> Result<(), StartError> {
    run_until(settings, outside, topazyard_wire::driver::terminated())
}

/// Runs the program on its settings until `terminated` says that the process is to end, and then
/// ends in order.
///
/// # Errors
/// A setting that is missing, an address that is taken, or a disk that can't be used.
pub fn run_until<O: ExternalInterface>(
    settings: topazyard_spec::NodeSettings,
    outside: O,
    terminated: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let http = settings.require_http()?;
    topazyard_wire::driver::run_process(async move {
        let (start, place, disk) = start_with_disk(&settings, MemberRole::Control).await?;
        let listener = topazyard_wire::http::inbound::bind(http).await?;
        let (tasks, begun) = tokio::sync::mpsc::channel(64);
        let every = outside.engine_list_interval();
        let make = |now| {
            let (mut machine, first) = crate::ControlMachine::new(start, now);
            if let Some(every) = every {
                machine.set_engine_list_interval(every);
            }
            (machine, first)
        };
        let handle = topazyard_wire::driver::spawn_at(
            settings.listen_address(),
            make,
            place,
            Some(disk),
            tasks,
        )?;
        tokio::spawn(work(outside, handle.clone(), begun));
        crate::metrics::serve(settings.metrics, &handle).await;
        let leaving = handle.clone();
        let told = handle.clone();
        let grace = std::time::Duration::from_millis(settings.bounds.grace.0 / 8 * 7);
        let follow = topazyard_wire::driver::follow_settings(settings, move |now| {
            told.notify(crate::ControlCall::Seeds(now.seeds));
        });
        let server = Server::start(listener, move |request| O::respond(handle.clone(), request));
        tokio::select! {
            biased;
            () = terminated => end(server, &leaving, grace).await,
            () = follow => {}
        }
        Ok(())
    })
}

/// For how long a process that ends lets its last word go out.
const LAST_WORD: std::time::Duration = std::time::Duration::from_millis(50);
/// How long a process that ends waits to hear how its machine stands.
const HEALTH_LIMIT: std::time::Duration = std::time::Duration::from_millis(50);
/// The longest that a process that ends waits to be replaced, whatever the machine says.
const LEAVE_LIMIT: std::time::Duration = std::time::Duration::from_millis(2_500);

/// Ends in order: has this node replaced, then answers the calls that were read.
///
/// Calls are taken until the node is replaced, for a node that leaves still passes them on. What it has
/// read by then waits for an answer, which its machine gives within a time of its own. A call that is
/// not answered within the grace is cut by the end of the process.
async fn end(server: Server, handle: &Handle, grace: std::time::Duration) {
    let begun = std::time::Instant::now();
    log_health("SIGTERM", handle).await;
    server.close_after_responses();
    leave(handle, grace).await;
    let replaced = begun.elapsed();
    let is_answered = server.shut_down(grace.saturating_sub(replaced)).await;
    let ended = begun.elapsed();
    if is_answered {
        spdlog::info!("ends in order after {ended:?}, {replaced:?} of them to be replaced");
    } else {
        spdlog::warn!("ends after {ended:?} with calls that were read and not answered");
    }
}

/// Lets the others stand in this node's place.
async fn leave(handle: &Handle, grace: std::time::Duration) {
    let limit = LEAVE_LIMIT.min(grace / 2);
    let said = tokio::time::timeout(limit, handle.call(crate::ControlCall::Leave)).await;
    if said.is_ok() {
        tokio::time::sleep(LAST_WORD).await;
    } else {
        spdlog::warn!("gave up waiting to be replaced after {} ms", limit.as_millis());
    }
    log_health("may end now", handle).await;
}

/// Logs how the node stands at one moment of its end. Orders that still wait at the last one are
/// given up: their callers are told nothing.
async fn log_health(moment: &str, handle: &Handle) {
    let health = crate::metrics::health(handle);
    let Ok(Some(health)) = tokio::time::timeout(HEALTH_LIMIT, health).await else {
        return spdlog::warn!("{moment}: the machine did not say how it stands");
    };
    let epoch = health.epoch.map_or(0, |epoch| epoch.0);
    let primary = health.primary.map_or("none".to_owned(), |primary| primary.to_string());
    spdlog::info!(
        "{moment}: serving={} epoch={epoch} primary={primary} orders_waiting={}",
        health.serving,
        health.orders_waiting,
    );
}

/// Does what the machine begins outside: lists one after the other, loads beside them.
async fn work<O: ExternalInterface>(
    mut outside: O,
    handle: Handle,
    mut begun: tokio::sync::mpsc::Receiver<crate::ControlTask>,
) {
    while let Some(task) = begun.recv().await {
        match task {
            crate::ControlTask::FetchLoads(engines) => {
                let handle = handle.clone();
                tokio::spawn(async move {
                    handle.notify(crate::ControlCall::Loads(O::fetch_loads(engines).await));
                });
            }
            crate::ControlTask::ListEngines => {
                let list = tokio::time::timeout(LIST_LIMIT, outside.list_engines()).await;
                handle.notify(crate::ControlCall::Engines(list.ok().flatten()));
            }
        }
    }
}
