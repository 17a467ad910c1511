//! The end of a process that can't go on rightly.

/// The exit code of a process that could not go on.
const GAVE_UP: i32 = 70;

/// Ends the process: what can't go on rightly must not go on at all.
pub(crate) fn give_up(reason: &str) -> ! {
    spdlog::error!("giving up: {reason}");
    // The log's owner thread writes the ring; leave it a moment.
    std::thread::sleep(std::time::Duration::from_millis(100));
    std::process::exit(GAVE_UP)
}
