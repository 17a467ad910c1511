//! Ending a process that can't continue correctly.

/// The exit code of a process that ended because of an unrecoverable error.
const UNRECOVERABLE_EXIT_CODE: i32 = 70;

/// Logs the reason and ends the process.
pub(crate) fn fatal_error(reason: &str) -> ! {
    spdlog::error!("unrecoverable error, exiting: {reason}");
    // The log's thread writes the ring buffer out; give it time to do so.
    std::thread::sleep(std::time::Duration::from_millis(100));
    std::process::exit(UNRECOVERABLE_EXIT_CODE)
}
