//! Signals from whoever runs the process, and settings that change while it runs.

use tokio::signal::unix::{SignalKind, signal};

/// How often settings are looked at where no signal says that they changed.
const LOOK_EVERY: std::time::Duration = std::time::Duration::from_secs(4);

/// From now on the signal that says that settings changed doesn't end the process. It must be
/// called within a runtime.
pub(super) fn outlive_hangups() {
    // The handler stays once it is set; without it the process ends as any other would.
    drop(signal(SignalKind::hangup()));
}

/// Waits until the process is asked to end.
pub async fn terminated() {
    match signal(SignalKind::terminate()) {
        Ok(mut asked) => drop(asked.recv().await),
        // Without the signal the process ends at once, as any other would.
        Err(_) => std::future::pending().await,
    }
}

/// Reads settings again when a signal says so, and now and then without one; tells them each time
/// that they name other control nodes. It never ends.
pub async fn follow_settings(
    mut settings: topazyard_spec::NodeSettings,
    tell: impl Fn(topazyard_spec::NodeSettings),
) {
    let mut hangups = signal(SignalKind::hangup()).ok();
    loop {
        let told = async {
            match &mut hangups {
                Some(hangups) => drop(hangups.recv().await),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = told => {}
            () = tokio::time::sleep(LOOK_EVERY) => {}
        }
        // A file that can't be read or used changes nothing.
        let Some(now) = settings.reread.read() else { continue };
        if now.seeds != settings.seeds {
            settings = now.clone();
            tell(now);
        }
    }
}
