//! The program as a whole: its machine, its links and its HTTP.

use topazyard_wire::driver::StartError;
use topazyard_wire::driver::disked::Remembered;
use topazyard_wire::message::cohort::{Duty, Member};

/// Runs the program on its settings until it ends.
///
/// # Errors
/// A setting that is missing, an address that is taken, or a disk that can't be used.
pub fn run(settings: topazyard_spec::NodeSettings) -> Result<(), StartError> {
    let relay = settings.need_beside()?;
    let disk = settings.data.as_deref().map(topazyard_wire::disk::open).transpose()?;
    topazyard_wire::log::start(settings.data.clone()).map_err(|_| StartError::Log)?;
    let remembered = disk.as_ref().map(|disk| Remembered::read(&disk.loaded));
    let node = topazyard_wire::driver::fresh_id();
    let start = crate::Start {
        member: Member {
            id: node,
            name: settings.name.clone(),
            address: settings.address,
            http: settings.http,
            duty: Duty::Edge,
            domain: settings.domain.clone(),
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
            topazyard_wire::driver::spawn(make, place, disk.map(|disk| disk.database), tasks)?;
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
