//! Starting a node that has a disk: control and storage begin alike.

use super::{NodeIdentity, StartError};
use crate::disk::{DiskError, OpenFile};
use crate::message::membership::{Member, MemberRole};

/// From what a node with a disk starts.
#[derive(Debug)]
pub struct DiskStart {
    /// Who and where it is.
    pub member: Member,
    /// Control nodes to begin with.
    pub seeds: Vec<std::net::SocketAddr>,
    /// Drawn for this life.
    pub random_seed: u64,
    /// What its disk held.
    pub loaded: crate::rows::LoadedRows,
    /// The bounds of the place that the fleet runs at.
    pub bounds: topazyard_spec::Bounds,
    /// What the process may use.
    pub resources: topazyard_spec::Resources,
    /// Whether an empty disk may be the beginning of a new fleet.
    pub may_bootstrap: bool,
}

/// How long to wait before a data folder whose disk is full is opened again.
const ROOM_AGAIN: std::time::Duration = std::time::Duration::from_millis(250);

/// Starts the log, opens the data folder and settles who the node is. While the disk is full, and
/// the folder can't be opened for it, it waits and answers each caller of its HTTP so.
///
/// # Errors
/// Settings that are missing, a folder that can't be used, or a log that can't be started.
pub async fn start_with_disk(
    settings: &topazyard_spec::NodeSettings,
    role: MemberRole,
) -> Result<(DiskStart, NodeIdentity, OpenFile), StartError> {
    let folder = settings.require_data()?;
    crate::log::start(Some(folder.clone())).map_err(|_| StartError::Log)?;
    open_once_disk_has_space(settings.http, || open_start(settings, &folder, role)).await
}

/// Opens something, again and again while its disk is full, and answers callers meanwhile.
///
/// # Errors
/// It can't be opened for another reason than want of room, or the address can't be listened on.
pub async fn open_once_disk_has_space<T>(
    http: Option<std::net::SocketAddr>,
    mut open: impl FnMut() -> Result<T, StartError>,
) -> Result<T, StartError> {
    let mut refusing = None;
    loop {
        match open() {
            Err(StartError::Disk(DiskError::Full(path))) => {
                if refusing.is_none() {
                    spdlog::warn!("not ready: {}; waiting for room", DiskError::Full(path.clone()));
                    refusing = Some(refuse(http).await?);
                }
                wait_for_room(&path).await;
            }
            outcome => {
                if let Some(refusing) = refusing {
                    spdlog::info!("the disk has room again");
                    refusing.abort();
                    // Its listener must be gone before the address is bound again.
                    let _ = refusing.await;
                }
                return outcome;
            }
        }
    }
}

/// Answers each caller that the disk is full.
async fn refuse(
    http: Option<std::net::SocketAddr>,
) -> Result<tokio::task::JoinHandle<()>, StartError> {
    let listener = match http {
        Some(http) => Some(crate::http::inbound::bind(http).await?),
        None => None,
    };
    Ok(tokio::spawn(async move {
        let Some(listener) = listener else { return };
        let full = || crate::ApiError::not_run(crate::api::Code::DiskFull);
        let answer = move |_| async move { crate::http::error(&full()) };
        crate::http::inbound::serve(listener, answer).await;
    }))
}

/// Waits until there is room beside a file, or in a folder.
async fn wait_for_room(path: &std::path::Path) {
    let folder = if path.is_dir() { path } else { path.parent().unwrap_or(path) };
    loop {
        tokio::time::sleep(ROOM_AGAIN).await;
        // Any other error than want of room is told by who opens the folder.
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
    let node = super::settled_id(&disk)?;
    let member = Member {
        id: node,
        name: settings.name.clone(),
        address: settings.address,
        http: settings.http,
        role,
        zone: settings.zone.clone(),
    };
    let place = NodeIdentity { fleet: settings.fleet, node, address: settings.address };
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
    Ok((start, place, file))
}

impl DiskStart {
    /// Addresses of control nodes that the node remembered when it last ran.
    pub fn known_control_nodes(&self) -> KnownControlNodes {
        KnownControlNodes::read(&self.loaded)
    }

    /// The seeds and the remembered addresses, each once.
    pub fn control_addresses(&self) -> Vec<std::net::SocketAddr> {
        self.known_control_nodes().with_seeds(&self.seeds)
    }
}

/// Where control nodes were when they were last heard of, so that old seeds strand nobody.
#[derive(Debug, Clone, Default)]
pub struct KnownControlNodes(Vec<std::net::SocketAddr>);

impl KnownControlNodes {
    /// What a disk remembers.
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

    /// The seeds and what is remembered, each once.
    pub fn with_seeds(&self, seeds: &[std::net::SocketAddr]) -> Vec<std::net::SocketAddr> {
        let mut known = seeds.to_vec();
        known.extend(self.0.iter().copied().filter(|address| !seeds.contains(address)));
        known
    }

    /// Takes the addresses known now; gives the row to write if they are others.
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
