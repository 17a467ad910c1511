//! The program as a whole: its machine, its links and its HTTP.

use topazyard_wire::driver::{StartError, start_with_disk};
use topazyard_wire::message::cohort::Duty;

/// Runs the program on its settings until it ends.
///
/// # Errors
/// A setting that is missing, an address that is taken, or a disk that can't be used.
pub fn run(settings: topazyard_spec::NodeSettings) -> Result<(), StartError> {
    let http = settings.need_http()?;
    let (start, place, database) = start_with_disk(&settings, Duty::Control)?;
    topazyard_wire::driver::run_process(async move {
        let listener = topazyard_wire::http::inward::bind(http).await?;
        let (tasks, mut begun) = tokio::sync::mpsc::channel(64);
        let make = |now| crate::ControlMachine::new(start, now);
        let handle = topazyard_wire::driver::spawn(make, place, Some(database), tasks)?;
        let loads = handle.clone();
        tokio::spawn(async move {
            while let Some(crate::ControlTask::AskLoads(engines)) = begun.recv().await {
                let answered = crate::engine_load::ask(&engines).await;
                loads.tell(crate::ControlCall::Loads(answered));
            }
        });
        topazyard_wire::http::inward::serve(listener, move |request| {
            crate::http::answer(handle.clone(), request)
        })
        .await;
        Ok(())
    })
}
