//! Runs the agent: its machine, its links and its metrics endpoint.

use std::path::Path;
use topazyard_wire::disk::{DiskError, OpenFile};
use topazyard_wire::driver::StartError;
use topazyard_wire::driver::disk_start::KnownControlNodes;
use topazyard_wire::message::membership::{Member, MemberRole};

/// Opens the data folder, if there is one. An agent stores only addresses of control nodes there
/// and runs without it when the disk is full.
fn open_disk(folder: Option<&Path>) -> Result<Option<(KnownControlNodes, OpenFile)>, DiskError> {
    let Some(folder) = folder else { return Ok(None) };
    match topazyard_wire::disk::open(folder) {
        Ok(disk) => {
            let file = OpenFile { folder: folder.to_owned(), database: disk.database };
            Ok(Some((KnownControlNodes::read(&disk.loaded), file)))
        }
        Err(error @ DiskError::Full(_)) => {
            spdlog::warn!("addresses of control nodes are not stored: {error}");
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Runs the program with the given settings until it terminates.
///
/// # Errors
/// A setting is missing, an address is in use, or the disk can't be used.
pub fn run(settings: topazyard_spec::NodeSettings) -> Result<(), StartError> {
    let relay = settings.require_beside()?;
    topazyard_wire::log::start(settings.data.clone()).map_err(|_| StartError::Log)?;
    let (remembered, disk) = open_disk(settings.data.as_deref())?.unzip();
    let node = topazyard_wire::driver::fresh_id();
    let start = crate::Start {
        member: Member {
            id: node,
            name: settings.name.clone(),
            address: settings.address,
            http: settings.http,
            role: MemberRole::Edge,
            zone: settings.zone.clone(),
        },
        seeds: settings.seeds.clone(),
        remembered,
        relay,
        random_seed: rand::random(),
    };
    let identity = topazyard_wire::driver::NodeIdentity {
        fleet: settings.fleet,
        node,
        address: settings.address,
    };
    let resources = settings.resources.clone();
    topazyard_wire::driver::run_process(&resources, async move {
        let (tasks, _no_tasks) = tokio::sync::mpsc::channel(1);
        let new_machine = |_| (crate::AgentMachine::new(start), Vec::new());
        let handle = topazyard_wire::driver::spawn_at(
            settings.listen_address(),
            new_machine,
            identity,
            disk,
            tasks,
        )?;
        let leave_timeout = leave_timeout(&settings.bounds);
        crate::metrics::serve(settings.metrics, &handle).await;
        let settings_updates = topazyard_wire::driver::follow_settings(settings, |settings| {
            handle.notify(crate::AgentCall::Seeds(settings.seeds));
        });
        tokio::select! {
            biased;
            () = topazyard_wire::driver::terminated() => {
                leave(&handle, leave_timeout).await;
            }
            () = settings_updates => {}
        }
        Ok(())
    })
}

/// Maximum time that an agent waits for its relay to end, so that the process itself ends within
/// the grace period.
fn leave_timeout(bounds: &topazyard_spec::Bounds) -> std::time::Duration {
    std::time::Duration::from_millis(bounds.grace.0 / 16 * 15)
}

/// Serves the relay until it has ended. It receives its SIGTERM at the same time as the agent.
async fn leave(
    handle: &topazyard_wire::driver::Handle<crate::AgentMachine>,
    timeout: std::time::Duration,
) {
    log_health("SIGTERM", handle).await;
    if tokio::time::timeout(timeout, handle.call(crate::AgentCall::Leave)).await.is_err() {
        spdlog::warn!("the relay did not end within {timeout:?}");
    }
    log_health("ends", handle).await;
}

/// How long a terminating process waits for its machine's health.
const HEALTH_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(50);

/// Logs the agent's health at a phase of the shutdown.
async fn log_health(phase: &str, handle: &topazyard_wire::driver::Handle<crate::AgentMachine>) {
    let health = handle.call(crate::AgentCall::Health);
    let Ok(Ok(health)) = tokio::time::timeout(HEALTH_TIMEOUT, health).await else {
        return spdlog::warn!("{phase}: the machine did not report its health in time");
    };
    let format_age = |duration: Option<topazyard_types::DurationMs>| {
        duration.map_or("never".to_owned(), |duration| format!("{} ms", duration.0))
    };
    spdlog::info!(
        "{phase}: relay_heard_ago={} asking_waits={} knows_primary={}",
        format_age(health.relay_heard_ago),
        health.unanswered_for.is_some(),
        health.knows_primary,
    );
}
