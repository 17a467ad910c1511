//! Starting a machine on its own thread, apart from traffic.

use kameo::actor::Spawn as _;

/// Where a process stands in the fleet.
#[derive(Debug, Clone, Copy)]
pub struct NodeIdentity {
    /// The fleet.
    pub fleet: topazyard_types::FleetId,
    /// Its id.
    pub node: topazyard_types::NodeId,
    /// Where it takes frames.
    pub address: std::net::SocketAddr,
}

/// Why a process did not start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// {0}
    Settings(topazyard_spec::SettingsError),
    /// {0}
    Disk(crate::disk::DiskError),
    /// the address {0} can't be listened on: {1}
    Address(std::net::SocketAddr, std::io::ErrorKind),
    /// the log can't be started
    Log,
    /// the runtime can't be started: {0}
    Runtime(std::io::ErrorKind),
}

impl std::error::Error for StartError {}

impl From<topazyard_spec::SettingsError> for StartError {
    fn from(error: topazyard_spec::SettingsError) -> Self {
        Self::Settings(error)
    }
}

impl From<crate::disk::DiskError> for StartError {
    fn from(error: crate::disk::DiskError) -> Self {
        Self::Disk(error)
    }
}

/// Says why in one line, and gives exit code 2 for settings and 1 for the rest.
pub fn exit_code(outcome: Result<(), StartError>) -> std::process::ExitCode {
    match outcome {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            std::process::ExitCode::from(if matches!(error, StartError::Settings(_)) {
                2
            } else {
                1
            })
        }
    }
}

/// Signals that may wait for the machine.
const QUEUE_LIMIT: usize = 8_192;
const TICK_MS: u64 = 25;
/// Runs a process's traffic on several threads until it ends.
///
/// # Errors
/// What the work itself gives, or a runtime that can't be made.
pub fn run_process(work: impl Future<Output = Result<(), StartError>>) -> Result<(), StartError> {
    // One processor is best used by one thread: a second one would only be woken in between.
    let alone = std::thread::available_parallelism().is_ok_and(|processors| processors.get() == 1);
    let mut builder = match alone {
        true => tokio::runtime::Builder::new_current_thread(),
        false => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime =
        builder.enable_all().build().map_err(|error| StartError::Runtime(error.kind()))?;
    crate::metrics::started_at();
    let outcome = runtime.block_on(async move {
        super::signals::outlive_hangups();
        work.await
    });
    crate::log::finish();
    outcome
}

/// Starts a machine with its links, disk and ticks on a thread of its own. `make` gives the
/// machine and its first effects.
///
/// # Errors
/// Its address can't be listened on, or the thread's runtime can't be made.
pub fn spawn<M: crate::Machine>(
    make: impl FnOnce(topazyard_types::MonotonicMs) -> (M, crate::machine::Effects<M>),
    place: NodeIdentity,
    disk: Option<crate::disk::OpenFile>,
    tasks: tokio::sync::mpsc::Sender<M::Task>,
) -> Result<super::Handle<M>, StartError> {
    spawn_at(place.address, make, place, disk, tasks)
}

/// The same where frames are listened for at another address than the one that others send to.
///
/// # Errors
/// The address to listen at can't be had, or the thread's runtime can't be made.
pub fn spawn_at<M: crate::Machine>(
    listen: std::net::SocketAddr,
    make: impl FnOnce(topazyard_types::MonotonicMs) -> (M, crate::machine::Effects<M>),
    place: NodeIdentity,
    disk: Option<crate::disk::OpenFile>,
    tasks: tokio::sync::mpsc::Sender<M::Task>,
) -> Result<super::Handle<M>, StartError> {
    let at = |error: std::io::Error| StartError::Address(listen, error.kind());
    let listener = std::net::TcpListener::bind(listen).map_err(at)?;
    listener.set_nonblocking(true).map_err(at)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| StartError::Runtime(error.kind()))?;
    let clock = super::Clock::start();
    let (machine, first) = make(clock.now());
    let (sender, receiver) = std::sync::mpsc::sync_channel(1);
    std::thread::spawn(move || {
        runtime.block_on(async move {
            let driver = super::actor::Driver {
                machine,
                clock,
                place,
                links: crate::link::Links::default(),
                disk: None,
                tasks,
                calls: std::collections::HashMap::new(),
                last_call: topazyard_types::CallId(0),
            };
            run(driver, first, disk, listener, &sender).await;
            super::give_up::give_up("the machine's actor ended");
        });
    });
    let actor = receiver.recv().map_err(|_| StartError::Runtime(std::io::ErrorKind::Other))?;
    Ok(super::Handle { actor, clock })
}

async fn run<M: crate::Machine>(
    mut driver: super::actor::Driver<M>,
    first: crate::machine::Effects<M>,
    disk: Option<crate::disk::OpenFile>,
    listener: std::net::TcpListener,
    started: &std::sync::mpsc::SyncSender<kameo::actor::ActorRef<super::actor::Driver<M>>>,
) {
    let fleet = driver.place.fleet;
    let (events_sender, mut events) = tokio::sync::mpsc::channel(QUEUE_LIMIT);
    driver.disk = disk.map(|disk| {
        let reopen = move || crate::disk::open::reopen(&disk.folder);
        crate::disk::Writer::start(disk.database, reopen, move |event| {
            // Nobody hears it once the process ends.
            let _ = events_sender.blocking_send(event);
        })
    });
    first.into_iter().for_each(|effect| driver.make_happen(effect));
    let mailbox = kameo::mailbox::bounded(QUEUE_LIMIT);
    let actor = super::actor::Driver::spawn_with_mailbox(driver, mailbox);
    let _ = started.send(actor.clone());

    let written = actor.clone();
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            let signal = match event {
                crate::disk::DiskEvent::Written(token) => super::actor::Signal::Written(token),
                crate::disk::DiskEvent::State(state) => super::actor::Signal::Disk(state),
                crate::disk::DiskEvent::Failed(error) => {
                    super::give_up::give_up(&format!("a write failed: {error}"))
                }
            };
            if written.tell(signal).await.is_err() {
                return;
            }
        }
    });
    let ticks = actor.clone();
    tokio::spawn(async move {
        let mut every = tokio::time::interval(std::time::Duration::from_millis(TICK_MS));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            // A tick that doesn't fit is made up for by the next.
            let _ = ticks.tell(super::actor::Signal::Tick).try_send();
        }
    });
    let frames = actor.clone();
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            tokio::spawn(crate::link::inbound::listen(listener, fleet, move |frame| {
                // A frame that doesn't fit is dropped; its sender asks again.
                let _ = frames.tell(super::actor::Signal::Frame(frame)).try_send();
            }));
        }
        Err(error) => super::give_up::give_up(&format!("the listener failed: {error}")),
    }
    actor.wait_for_shutdown().await;
}

/// A daemon's whole `main`: runs it on its flags and gives the exit code.
pub fn run_daemon(
    flags: topazyard_spec::Settings,
    run: impl FnOnce(topazyard_spec::NodeSettings) -> Result<(), StartError>,
) -> std::process::ExitCode {
    let settings = topazyard_spec::NodeSettings::check(flags).map_err(StartError::from);
    exit_code(settings.and_then(run))
}
