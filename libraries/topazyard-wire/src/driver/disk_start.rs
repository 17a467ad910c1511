//! Startup of nodes with a disk: control and storage nodes.

use super::{NodeIdentity, StartError};
use crate::disk::{DiskError, OpenFile};
use crate::message::membership::{Member, MemberRole};

/// The inputs from which a node with a disk starts.
#[derive(Debug)]
pub struct DiskStart {
    /// The node's own entry in the member table.
    pub member: Member,
    /// Addresses of control nodes from the settings.
    pub seeds: Vec<std::net::SocketAddr>,
    /// Drawn once at each process start. The boot id and the random choices derive from it.
    pub random_seed: u64,
    /// The rows read from its disk.
    pub loaded: crate::rows::LoadedRows,
    /// The bounds of the environment that the fleet runs in.
    pub bounds: topazyard_spec::Bounds,
    /// The resources that the process may use.
    pub resources: topazyard_spec::Resources,
    /// Whether the node may bootstrap a new fleet if its disk is empty.
    pub may_bootstrap: bool,
}

/// Delay before a data folder whose disk is full is opened again.
const DISK_FULL_RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(250);

/// Starts the log, opens the data folder and loads or creates the node's id. While the folder can't
/// be opened because its disk is full, it waits and answers each HTTP request with that error.
///
/// # Errors
/// A setting is missing, the folder can't be used, or the log can't be started.
pub async fn start_with_disk(
    settings: &topazyard_spec::NodeSettings,
    role: MemberRole,
) -> Result<(DiskStart, NodeIdentity, OpenFile), StartError> {
    let folder = settings.require_data()?;
    crate::log::start(Some(folder.clone())).map_err(|_| StartError::Log)?;
    open_once_disk_has_space(settings.http, || open_start(settings, &folder, role)).await
}

/// Calls `open` and retries it while it fails because of a full disk. Meanwhile each HTTP request
/// is answered with that error.
///
/// # Errors
/// `open` failed for another reason, or the address can't be listened on.
pub async fn open_once_disk_has_space<T>(
    http: Option<std::net::SocketAddr>,
    mut open: impl FnMut() -> Result<T, StartError>,
) -> Result<T, StartError> {
    let mut refusal_server = None;
    loop {
        match open() {
            Err(StartError::Disk(DiskError::Full(path))) => {
                if refusal_server.is_none() {
                    spdlog::warn!(
                        "not ready: {}; waiting for free space",
                        DiskError::Full(path.clone())
                    );
                    refusal_server = Some(serve_disk_full(http).await?);
                }
                wait_for_space(&path).await;
            }
            outcome => {
                if let Some(refusal_server) = refusal_server {
                    spdlog::info!("the disk has free space again");
                    refusal_server.abort();
                    // Its listener must be closed before the address is bound again.
                    let _ = refusal_server.await;
                }
                return outcome;
            }
        }
    }
}

/// Answers each HTTP request with the error for a full disk.
async fn serve_disk_full(
    http: Option<std::net::SocketAddr>,
) -> Result<tokio::task::JoinHandle<()>, StartError> {
    let listener = match http {
        Some(http) => Some(crate::http::inbound::bind(http).await?),
        None => None,
    };
    Ok(tokio::spawn(async move {
        let Some(listener) = listener else { return };
        let disk_full = || crate::ApiError::not_run(crate::api::Code::DiskFull);
        let respond = move |_| async move { crate::http::error(&disk_full()) };
        crate::http::inbound::serve(listener, respond).await;
    }))
}

/// Waits until the folder, or the folder of a file, has free space.
async fn wait_for_space(path: &std::path::Path) {
    let folder = if path.is_dir() { path } else { path.parent().unwrap_or(path) };
    loop {
        tokio::time::sleep(DISK_FULL_RETRY_INTERVAL).await;
        // Any other error is reported by the next attempt to open the folder.
        if !matches!(crate::disk::open::check_free_space(folder), Err(DiskError::Full(_))) {
            return;
        }
    }
}

fn open_start(
    settings: &topazyard_spec::NodeSettings,
    folder: &std::path::Path,
    role: MemberRole,
) -> Result<(DiskStart, NodeIdentity, OpenFile), StartError> {
    let disk = crate::disk::open(folder)?;
    let node = super::load_or_create_id(&disk)?;
    let member = Member {
        id: node,
        name: settings.name.clone(),
        address: settings.address,
        http: settings.http,
        role,
        zone: settings.zone.clone(),
    };
    let identity = NodeIdentity { fleet: settings.fleet, node, address: settings.address };
    let seeds = settings.seeds.clone();
    let start = DiskStart {
        member,
        seeds,
        random_seed: rand::random(),
        loaded: disk.loaded,
        bounds: settings.bounds.clone(),
        resources: settings.resources.clone(),
        may_bootstrap: settings.may_bootstrap,
    };
    let file = OpenFile { folder: folder.to_owned(), database: disk.database };
    Ok((start, identity, file))
}

impl DiskStart {
    /// The control nodes that the node stored when it last ran.
    pub fn known_control_nodes(&self) -> KnownControlNodes {
        KnownControlNodes::read(&self.loaded)
    }

    /// The seeds and the stored addresses, each once.
    pub fn control_addresses(&self) -> Vec<std::net::SocketAddr> {
        self.known_control_nodes().with_seeds(&self.seeds)
    }
}

/// The last known addresses of control nodes. They are stored on disk, so that a node whose seeds
/// are outdated still finds the fleet.
#[derive(Debug, Clone, Default)]
pub struct KnownControlNodes(Vec<std::net::SocketAddr>);

impl KnownControlNodes {
    /// Reads the addresses stored on a disk.
    ///
    /// ```
    /// use topazyard_wire::driver::disk_start::KnownControlNodes;
    /// assert!(KnownControlNodes::read(&Default::default()).with_seeds(&[]).is_empty());
    /// ```
    pub fn read(loaded: &crate::rows::LoadedRows) -> Self {
        let rows = loaded.get(&crate::Group::Node);
        let value = rows.and_then(|rows| rows.get("remembered"));
        Self(value.and_then(|value| crate::rows::decode(value)).unwrap_or_default())
    }

    /// The seeds and the stored addresses, each once.
    pub fn with_seeds(&self, seeds: &[std::net::SocketAddr]) -> Vec<std::net::SocketAddr> {
        let mut known = seeds.to_vec();
        known.extend(self.0.iter().copied().filter(|address| !seeds.contains(address)));
        known
    }

    /// Replaces the addresses. Returns the row to write if they changed.
    pub fn update(
        &mut self,
        addresses: impl Iterator<Item = std::net::SocketAddr>,
    ) -> Option<crate::RowChange> {
        let mut addresses: Vec<std::net::SocketAddr> = addresses.collect();
        addresses.sort();
        if addresses.is_empty() || addresses == self.0 {
            return None;
        }
        self.0 = addresses;
        Some(crate::RowChange::put("remembered", &self.0))
    }
}
