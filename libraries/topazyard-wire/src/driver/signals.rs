//! Operating system signals, and settings that change while the process runs.

use tokio::signal::unix::{SignalKind, signal};

/// Interval at which the settings are read again without a signal.
const REREAD_INTERVAL: std::time::Duration = std::time::Duration::from_secs(4);

/// Keeps SIGHUP, which reports changed settings, from ending the process. It must be called within
/// a runtime.
pub(super) fn ignore_hangups() {
    // The handler stays installed. If it can't be installed, SIGHUP ends the process as by default.
    drop(signal(SignalKind::hangup()));
}

/// Waits for SIGTERM.
pub async fn terminated() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminations) => drop(terminations.recv().await),
        // If no handler can be installed, SIGTERM ends the process at once, as by default.
        Err(_) => std::future::pending().await,
    }
}

/// Reads the settings again at each SIGHUP and at a fixed interval. Calls `notify` whenever they
/// name other control nodes. It never returns.
pub async fn follow_settings(
    mut settings: topazyard_spec::NodeSettings,
    notify: impl Fn(topazyard_spec::NodeSettings),
) {
    let mut hangups = signal(SignalKind::hangup()).ok();
    loop {
        let hangup = async {
            match &mut hangups {
                Some(hangups) => drop(hangups.recv().await),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = hangup => {}
            () = tokio::time::sleep(REREAD_INTERVAL) => {}
        }
        // A settings file that can't be read or is invalid is ignored.
        let Some(now) = settings.reread.read() else { continue };
        if now.seeds != settings.seeds {
            settings = now.clone();
            notify(now);
        }
    }
}
