//! Starting a node that has a disk: control and storage begin alike.

use super::{Place, StartError};
use crate::message::cohort::{Duty, Member};

/// From what a node with a disk starts.
#[derive(Debug)]
pub struct DiskStart {
    /// Who and where it is.
    pub member: Member,
    /// Control nodes to begin with.
    pub seeds: Vec<std::net::SocketAddr>,
    /// Drawn for this life.
    pub chance: u64,
    /// What its disk held.
    pub loaded: crate::rows::Loaded,
    /// The bounds of the place that the fleet runs at.
    pub bounds: topazyard_spec::Bounds,
    /// What the process may use.
    pub resources: topazyard_spec::Resources,
    /// Whether an empty disk may be the beginning of a new fleet.
    pub may_found: bool,
}

/// Opens the data folder, starts the log there and settles who the node is.
///
/// # Errors
/// Settings that are missing, a folder that can't be used, or a log that can't be started.
pub fn start_with_disk(
    settings: &topazyard_spec::NodeSettings,
    duty: Duty,
) -> Result<(DiskStart, Place, redb::Database), StartError> {
    let folder = settings.need_data()?;
    let disk = crate::disk::open(&folder)?;
    crate::log::start(Some(folder)).map_err(|_| StartError::Log)?;
    let node = super::settled_id(&disk)?;
    let member = Member {
        id: node,
        name: settings.name.clone(),
        address: settings.address,
        http: settings.http,
        duty,
        domain: settings.domain.clone(),
    };
    let place = Place { fleet: settings.fleet, node, address: settings.address };
    let seeds = settings.seeds.clone();
    let start = DiskStart {
        member,
        seeds,
        chance: rand::random(),
        loaded: disk.loaded,
        bounds: settings.bounds.clone(),
        resources: settings.resources.clone(),
        may_found: settings.may_found,
    };
    Ok((start, place, disk.database))
}

impl DiskStart {
    /// Addresses of control nodes that the node remembered when it last ran.
    pub fn remembered(&self) -> Remembered {
        Remembered::read(&self.loaded)
    }

    /// The seeds and the remembered addresses, each once.
    pub fn known_control(&self) -> Vec<std::net::SocketAddr> {
        self.remembered().with_seeds(&self.seeds)
    }
}

/// Where control nodes were when they were last heard of, so that old seeds strand nobody.
#[derive(Debug, Clone, Default)]
pub struct Remembered(Vec<std::net::SocketAddr>);

impl Remembered {
    /// What a disk remembers.
    ///
    /// ```
    /// use topazyard_wire::driver::disked::Remembered;
    /// assert!(Remembered::read(&Default::default()).with_seeds(&[]).is_empty());
    /// ```
    pub fn read(loaded: &crate::rows::Loaded) -> Self {
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
    pub fn learn(
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
