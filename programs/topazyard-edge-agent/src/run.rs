//! The program as a whole: its machine, its links and its HTTP.

use std::path::Path;
use topazyard_wire::disk::{DiskError, OpenFile};
use topazyard_wire::driver::StartError;
use topazyard_wire::driver::disk_start::KnownControlNodes;
use topazyard_wire::message::membership::{Member, MemberRole};

/// Opens the data folder, if there is one. An agent only remembers addresses there: one whose disk
/// is full does without.
fn open_disk(folder: Option<&Path>) -> Result<Option<(KnownControlNodes, OpenFile)>, DiskError> {
    let Some(folder) = folder else { return Ok(None) };
    match topazyard_wire::disk::open(folder) {
        Ok(disk) => {
            let file = OpenFile { folder: folder.to_owned(), database: disk.database };
            Ok(Some((KnownControlNodes::read(&disk.loaded), file)))
        }
        Err(error @ DiskError::Full(_)) => {
            spdlog::warn!("nothing is remembered: {error}");
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Runs the program on its settings until it ends.
///
/// # Errors
/// A setting that is missing, an address that is taken, or a disk that can't be used.
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
    let place = topazyard_wire::driver::NodeIdentity {
        fleet: settings.fleet,
        node,
        address: settings.address,
    };
    topazyard_wire::driver::run_process(async move {
        let (tasks, _no_tasks) = tokio::sync::mpsc::channel(1);
        let make = |_| (crate::AgentMachine::new(start), Vec::new());
        let handle =
            topazyard_wire::driver::spawn_at(settings.listen_address(), make, place, disk, tasks)?;
        let leave_limit = leave_limit(&settings.bounds);
        crate::metrics::serve(settings.metrics, &handle).await;
        let follow = topazyard_wire::driver::follow_settings(settings, |told| {
            handle.notify(crate::AgentCall::Seeds(told.seeds));
        });
        tokio::select! {
            biased;
            () = topazyard_wire::driver::terminated() => {
                leave(&handle, leave_limit).await;
            }
            () = follow => {}
        }
        Ok(())
    })
}

/// The longest that an agent waits for its relay to end: the process ends by itself within the grace.
fn leave_limit(bounds: &topazyard_spec::Bounds) -> std::time::Duration {
    std::time::Duration::from_millis(bounds.grace.0 / 16 * 15)
}

/// Serves the relay, which is told to end at the same moment, until that has ended.
async fn leave(
    handle: &topazyard_wire::driver::Handle<crate::AgentMachine>,
    limit: std::time::Duration,
) {
    log_health("SIGTERM", handle).await;
    if tokio::time::timeout(limit, handle.call(crate::AgentCall::Leave)).await.is_err() {
        spdlog::warn!("the relay has not ended within {limit:?}");
    }
    log_health("ends", handle).await;
}

/// How long a process that ends waits to hear how its machine stands.
const HEALTH_LIMIT: std::time::Duration = std::time::Duration::from_millis(50);

/// Logs what is under way at one moment of the process's end.
async fn log_health(moment: &str, handle: &topazyard_wire::driver::Handle<crate::AgentMachine>) {
    let health = handle.call(crate::AgentCall::Health);
    let Ok(Ok(health)) = tokio::time::timeout(HEALTH_LIMIT, health).await else {
        return spdlog::warn!("{moment}: the machine did not say how it stands");
    };
    let ago = |duration: Option<topazyard_types::DurationMs>| {
        duration.map_or("never".to_owned(), |duration| format!("{} ms", duration.0))
    };
    spdlog::info!(
        "{moment}: relay_heard_ago={} asking_waits={} knows_primary={}",
        ago(health.relay_heard_ago),
        health.unanswered_for.is_some(),
        health.knows_primary,
    );
}
