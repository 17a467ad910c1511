//! The program as a whole: its machine, its links and its HTTP.

use std::path::Path;
use topazyard_wire::disk::{DiskError, OpenFile};
use topazyard_wire::driver::StartError;
use topazyard_wire::driver::disked::Remembered;
use topazyard_wire::message::membership::{Duty, Member};

/// Opens the data folder, if there is one. An agent only remembers addresses there: one whose disk
/// is full does without.
fn open_disk(folder: Option<&Path>) -> Result<Option<(Remembered, OpenFile)>, DiskError> {
    let Some(folder) = folder else { return Ok(None) };
    match topazyard_wire::disk::open(folder) {
        Ok(disk) => {
            let file = OpenFile { folder: folder.to_owned(), database: disk.database };
            Ok(Some((Remembered::read(&disk.loaded), file)))
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
    let relay = settings.need_beside()?;
    topazyard_wire::log::start(settings.data.clone()).map_err(|_| StartError::Log)?;
    let (remembered, disk) = open_disk(settings.data.as_deref())?.unzip();
    let node = topazyard_wire::driver::fresh_id();
    let start = crate::Start {
        member: Member {
            id: node,
            name: settings.name.clone(),
            address: settings.address,
            http: settings.http,
            duty: Duty::Edge,
            zone: settings.zone.clone(),
        },
        seeds: settings.seeds.clone(),
        remembered,
        relay,
        chance: rand::random(),
    };
    let place =
        topazyard_wire::driver::Place { fleet: settings.fleet, node, address: settings.address };
    topazyard_wire::driver::run_process(async move {
        let (tasks, _no_tasks) = tokio::sync::mpsc::channel(1);
        let make = |_| (crate::AgentMachine::new(start), Vec::new());
        let handle =
            topazyard_wire::driver::spawn_at(settings.frames_at(), make, place, disk, tasks)?;
        let follow = topazyard_wire::driver::follow_settings(settings, |told| {
            handle.tell(crate::AgentCall::Seeds(told.seeds));
        });
        tokio::select! {
            biased;
            () = topazyard_wire::driver::terminated() => {}
            () = follow => {}
        }
        Ok(())
    })
}
