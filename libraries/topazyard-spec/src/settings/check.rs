//! Settings after they were checked.

use topazyard_types::{FleetId, ZoneName};

/// A process's place, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// The node's name, where it has one.
    pub name: Option<String>,
    /// The fleet.
    pub fleet: FleetId,
    /// Where frames arrive.
    pub address: std::net::SocketAddr,
    /// Where frames are listened for, if not at `address`: behind an address translation.
    pub listen: Option<std::net::SocketAddr>,
    /// Where HTTP is served, for those that serve it.
    pub http: Option<std::net::SocketAddr>,
    /// Where readiness is asked, if not at `http`.
    pub ready: Option<std::net::SocketAddr>,
    /// Where the process serves its own metrics, if anywhere.
    pub metrics: Option<std::net::SocketAddr>,
    /// The failure zone.
    pub zone: ZoneName,
    /// Control processes to begin with: three, or fewer where the fleet has fewer.
    pub seeds: Vec<std::net::SocketAddr>,
    /// The data folder, for those that keep files.
    pub data: Option<std::path::PathBuf>,
    /// The agent beside a relay.
    pub beside: Option<std::net::SocketAddr>,
    /// The bounds of the place that the fleet runs at.
    pub bounds: crate::Bounds,
    /// What the process may use.
    pub resources: crate::Resources,
    /// Whether an empty data folder may be the beginning of a new fleet.
    pub may_bootstrap: bool,
    /// How to read them again.
    pub reread: Reread,
}

/// How a process reads its settings again after they may have changed.
#[derive(Clone)]
pub struct Reread(std::sync::Arc<dyn Fn() -> Option<NodeSettings> + Send + Sync>);

impl Reread {
    /// Reads by a function, which gives none where there is nothing usable.
    ///
    /// ```
    /// assert!(topazyard_spec::Reread::by(|| None).read().is_none());
    /// ```
    pub fn by(read: impl Fn() -> Option<NodeSettings> + Send + Sync + 'static) -> Self {
        Self(std::sync::Arc::new(read))
    }

    /// The settings as they are now, if they can be used.
    pub fn read(&self) -> Option<NodeSettings> {
        (self.0)()
    }
}

impl std::fmt::Debug for Reread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Reread")
    }
}

/// How settings are read says nothing about what they say.
impl PartialEq for Reread {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Reread {}

/// Why a process won't start with its settings.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum SettingsError {
    /// the setting {0} is missing
    Missing(&'static str),
    /// the setting {setting} is {text:?}, which is not IP:PORT
    NotAnAddress {
        /// Which setting.
        setting: &'static str,
        /// What it says.
        text: String,
    },
    /// the setting seeds needs three different addresses and has {0}
    Seeds(usize),
    /// the setting {0} must not be empty
    Empty(&'static str),
    /// the settings file {0:?} can't be read
    Unreadable(std::path::PathBuf),
    /// the settings file {file:?} is wrong at line {line}: {reason}
    Malformed {
        /// The file.
        file: std::path::PathBuf,
        /// The line.
        line: usize,
        /// What the reader said.
        reason: String,
    },
}

impl std::error::Error for SettingsError {}

fn address(setting: &'static str, text: &str) -> Result<std::net::SocketAddr, SettingsError> {
    text.parse().map_err(|_| SettingsError::NotAnAddress { setting, text: text.to_owned() })
}

impl NodeSettings {
    /// Where frames are listened for.
    pub fn listen_address(&self) -> std::net::SocketAddr {
        self.listen.unwrap_or(self.address)
    }

    /// Reads the settings file, if one is named, and checks the whole.
    ///
    /// ```
    /// use topazyard_spec::{NodeSettings, Settings, SettingsError};
    /// let refused = NodeSettings::check(Settings::default());
    /// assert_eq!(refused, Err(SettingsError::Missing("fleet")));
    /// ```
    ///
    /// # Errors
    /// The first setting that is missing or wrong.
    pub fn check(flags: crate::Settings) -> Result<Self, SettingsError> {
        let again = flags.clone();
        let settings = match flags.settings.clone() {
            None => flags,
            Some(file) => {
                let text = std::fs::read_to_string(&file)
                    .map_err(|_| SettingsError::Unreadable(file.clone()))?;
                let written: crate::Settings = serde_json::from_str(&text).map_err(|error| {
                    SettingsError::Malformed { line: error.line(), reason: error.to_string(), file }
                })?;
                flags.over(written)
            }
        };
        let fleet = FleetId(settings.fleet.ok_or(SettingsError::Missing("fleet"))?);
        let own = settings.address.ok_or(SettingsError::Missing("address"))?;
        let zone = settings.zone.ok_or(SettingsError::Missing("zone"))?;
        if zone.is_empty() {
            return Err(SettingsError::Empty("zone"));
        }
        let mut seeds = Vec::new();
        for seed in settings.seeds.ok_or(SettingsError::Missing("seeds"))? {
            let seed = address("seeds", &seed)?;
            if !seeds.contains(&seed) {
                seeds.push(seed);
            }
        }
        if seeds.len() != 3 {
            return Err(SettingsError::Seeds(seeds.len()));
        }
        Ok(Self {
            name: None,
            ready: None,
            listen: None,
            fleet,
            address: address("address", &own)?,
            http: settings.http.map(|text| address("http", &text)).transpose()?,
            metrics: settings.metrics.map(|text| address("metrics", &text)).transpose()?,
            zone: ZoneName(zone),
            seeds,
            data: settings.data,
            beside: settings.beside.map(|text| address("beside", &text)).transpose()?,
            bounds: crate::Bounds::default(),
            resources: crate::Resources::default(),
            may_bootstrap: true,
            reread: Reread::by(move || Self::check(again.clone()).ok()),
        })
    }

    /// The HTTP address, for a process that can't do without.
    ///
    /// # Errors
    /// It is missing.
    pub fn require_http(&self) -> Result<std::net::SocketAddr, SettingsError> {
        self.http.ok_or(SettingsError::Missing("http"))
    }

    /// The data folder, for a process that can't do without.
    ///
    /// # Errors
    /// It is missing.
    pub fn require_data(&self) -> Result<std::path::PathBuf, SettingsError> {
        self.data.clone().ok_or(SettingsError::Missing("data"))
    }

    /// The neighbour's address, for a process that can't do without.
    ///
    /// # Errors
    /// It is missing.
    pub fn require_beside(&self) -> Result<std::net::SocketAddr, SettingsError> {
        self.beside.ok_or(SettingsError::Missing("beside"))
    }
}
