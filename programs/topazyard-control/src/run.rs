//! The program as a whole: its machine, its links and its HTTP.

use crate::outside::{Handle, Outside};
use topazyard_wire::driver::{StartError, start_with_disk};
use topazyard_wire::message::membership::Duty;

/// The longest that one reading of the list of engines may take.
const LIST_LIMIT: std::time::Duration = std::time::Duration::from_millis(1_500);

/// Runs the program on its settings until it ends.
///
/// # Errors
/// A setting that is missing, an address that is taken, or a disk that can't be used.
pub fn run<O: Outside>(
    settings: topazyard_spec::NodeSettings,
    outside: O,
) -> Result<(), StartError> {
    let http = settings.need_http()?;
    topazyard_wire::driver::run_process(async move {
        let (start, place, disk) = start_with_disk(&settings, Duty::Control).await?;
        let listener = topazyard_wire::http::inward::bind(http).await?;
        let (tasks, begun) = tokio::sync::mpsc::channel(64);
        let every = outside.list_every();
        let make = |now| {
            let (mut machine, first) = crate::ControlMachine::new(start, now);
            if let Some(every) = every {
                machine.list_engines_every(every);
            }
            (machine, first)
        };
        let handle =
            topazyard_wire::driver::spawn_at(settings.frames_at(), make, place, Some(disk), tasks)?;
        tokio::spawn(work(outside, handle.clone(), begun));
        let leaving = handle.clone();
        let told = handle.clone();
        let follow = topazyard_wire::driver::follow_settings(settings, move |now| {
            told.tell(crate::ControlCall::Seeds(now.seeds));
        });
        let served = topazyard_wire::http::inward::serve(listener, move |request| {
            O::answer(handle.clone(), request)
        });
        tokio::select! {
            biased;
            () = topazyard_wire::driver::terminated() => leave(&leaving).await,
            () = follow => {}
            () = served => {}
        }
        Ok(())
    })
}

/// For how long a process that ends lets its last word go out.
const LAST_WORD: std::time::Duration = std::time::Duration::from_millis(50);
/// The longest that a process that ends waits to be replaced, whatever the machine says.
const LEAVE_LIMIT: std::time::Duration = std::time::Duration::from_millis(2_500);

/// Lets the others stand in this node's place before the process ends.
async fn leave(handle: &Handle) {
    let said = tokio::time::timeout(LEAVE_LIMIT, handle.call(crate::ControlCall::Leave)).await;
    if said.is_ok() {
        tokio::time::sleep(LAST_WORD).await;
    }
}

/// Does what the machine begins outside: lists one after the other, loads beside them.
async fn work<O: Outside>(
    mut outside: O,
    handle: Handle,
    mut begun: tokio::sync::mpsc::Receiver<crate::ControlTask>,
) {
    while let Some(task) = begun.recv().await {
        match task {
            crate::ControlTask::AskLoads(engines) => {
                let handle = handle.clone();
                tokio::spawn(async move {
                    handle.tell(crate::ControlCall::Loads(O::ask_loads(engines).await));
                });
            }
            crate::ControlTask::ListEngines => {
                let list = tokio::time::timeout(LIST_LIMIT, outside.list_engines()).await;
                handle.tell(crate::ControlCall::Engines(list.ok().flatten()));
            }
        }
    }
}
