//! Starting a machine on its own thread, separate from traffic.

use kameo::actor::Spawn as _;

/// The identity of a process in the fleet.
#[derive(Debug, Clone, Copy)]
pub struct NodeIdentity {
    /// The fleet it belongs to.
    pub fleet: topazyard_types::FleetId,
    /// Its node id.
    pub node: topazyard_types::NodeId,
    /// The address at which it receives frames.
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

/// Prints the error in one line. The exit code is 2 for invalid settings and 1 for other errors.
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

/// Maximum number of messages queued for the machine.
const MAX_QUEUED: usize = 8_192;
const TICK_INTERVAL_MS: u64 = 25;

/// Runs the work of a process on its runtime until it ends. Its servers stay within the resources.
///
/// # Errors
/// The error of `work`, or the runtime can't be created.
pub fn run_process(
    resources: &topazyard_spec::Resources,
    work: impl Future<Output = Result<(), StartError>>,
) -> Result<(), StartError> {
    crate::http::server_limits::set_resources(resources);
    // On a single processor further threads would only add context switches.
    let is_single_processor =
        std::thread::available_parallelism().is_ok_and(|processors| processors.get() == 1);
    let mut builder = match is_single_processor {
        true => tokio::runtime::Builder::new_current_thread(),
        false => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime =
        builder.enable_all().build().map_err(|error| StartError::Runtime(error.kind()))?;
    crate::metrics::started_at();
    let outcome = runtime.block_on(async move {
        super::signals::ignore_hangups();
        work.await
    });
    crate::log::flush();
    outcome
}

/// Starts a machine with its links, disk and ticks on its own thread. `make` returns the machine
/// and its first effects.
///
/// # Errors
/// Its address can't be listened on, or the thread's runtime can't be created.
pub fn spawn<M: crate::Machine>(
    make: impl FnOnce(topazyard_types::MonotonicMs) -> (M, crate::machine::Effects<M>),
    identity: NodeIdentity,
    disk: Option<crate::disk::OpenFile>,
    tasks: tokio::sync::mpsc::Sender<M::Task>,
) -> Result<super::Handle<M>, StartError> {
    spawn_at(identity.address, make, identity, disk, tasks)
}

/// Like [`spawn`], for a process that listens at another address than the one that its peers use.
///
/// # Errors
/// The address `listen` can't be listened on, or the thread's runtime can't be created.
pub fn spawn_at<M: crate::Machine>(
    listen: std::net::SocketAddr,
    make: impl FnOnce(topazyard_types::MonotonicMs) -> (M, crate::machine::Effects<M>),
    identity: NodeIdentity,
    disk: Option<crate::disk::OpenFile>,
    tasks: tokio::sync::mpsc::Sender<M::Task>,
) -> Result<super::Handle<M>, StartError> {
    let listen_error = |error: std::io::Error| StartError::Address(listen, error.kind());
    let listener = std::net::TcpListener::bind(listen).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| StartError::Runtime(error.kind()))?;
    let clock = super::Clock::start();
    let (machine, first_effects) = make(clock.now());
    let (sender, receiver) = std::sync::mpsc::sync_channel(1);
    std::thread::spawn(move || {
        runtime.block_on(async move {
            let driver = super::actor::Driver {
                machine,
                clock,
                identity,
                links: crate::link::Links::default(),
                disk: None,
                tasks,
                calls: std::collections::HashMap::new(),
                last_call: topazyard_types::CallId(0),
            };
            run(driver, first_effects, disk, listener, &sender).await;
            super::fatal::fatal_error("the machine's actor ended");
        });
    });
    let actor = receiver.recv().map_err(|_| StartError::Runtime(std::io::ErrorKind::Other))?;
    Ok(super::Handle { actor, clock })
}

async fn run<M: crate::Machine>(
    mut driver: super::actor::Driver<M>,
    first_effects: crate::machine::Effects<M>,
    disk: Option<crate::disk::OpenFile>,
    listener: std::net::TcpListener,
    started: &std::sync::mpsc::SyncSender<kameo::actor::ActorRef<super::actor::Driver<M>>>,
) {
    let fleet = driver.identity.fleet;
    let (events_sender, mut events) = tokio::sync::mpsc::channel(MAX_QUEUED);
    driver.disk = disk.map(|disk| {
        let reopen = move || crate::disk::open::reopen(&disk.folder);
        crate::disk::Writer::start(disk.database, reopen, move |event| {
            // The receiver is gone once the process shuts down.
            let _ = events_sender.blocking_send(event);
        })
    });
    first_effects.into_iter().for_each(|effect| driver.perform(effect));
    let mailbox = kameo::mailbox::bounded(MAX_QUEUED);
    let actor = super::actor::Driver::spawn_with_mailbox(driver, mailbox);
    let _ = started.send(actor.clone());

    let disk_actor = actor.clone();
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            let signal = match event {
                crate::disk::DiskEvent::Written(token) => super::actor::Signal::Written(token),
                crate::disk::DiskEvent::State(state) => super::actor::Signal::Disk(state),
                crate::disk::DiskEvent::Failed(error) => {
                    super::fatal::fatal_error(&format!("a write failed: {error}"))
                }
            };
            if disk_actor.tell(signal).await.is_err() {
                return;
            }
        }
    });
    let tick_actor = actor.clone();
    tokio::spawn(async move {
        let mut interval =
            tokio::time::interval(std::time::Duration::from_millis(TICK_INTERVAL_MS));
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            // If the mailbox is full, the next tick replaces this one.
            let _ = tick_actor.tell(super::actor::Signal::Tick).try_send();
        }
    });
    tokio::spawn(crate::traffic::log_at_intervals());
    let frame_actor = actor.clone();
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            tokio::spawn(crate::link::inbound::listen(listener, fleet, move |frame| {
                // If the mailbox is full, the frame is dropped; its sender retries.
                let _ = frame_actor.tell(super::actor::Signal::Frame(frame)).try_send();
            }));
        }
        Err(error) => super::fatal::fatal_error(&format!("the listener failed: {error}")),
    }
    actor.wait_for_shutdown().await;
}

/// The `main` function of a daemon: checks its flags, runs it and returns the exit code.
pub fn run_daemon(
    flags: topazyard_spec::Settings,
    run: impl FnOnce(topazyard_spec::NodeSettings) -> Result<(), StartError>,
) -> std::process::ExitCode {
    let settings = topazyard_spec::NodeSettings::check(flags).map_err(StartError::from);
    exit_code(settings.and_then(run))
}
