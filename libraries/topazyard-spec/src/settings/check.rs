//! Validated settings.

use topazyard_types::{FleetId, ZoneName};

const BYTES_PER_MB: u64 = 1_000_000;
const BYTES_PER_MEGABIT: u64 = BYTES_PER_MB / 8;

/// The validated settings of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// The name of the node, if it has one.
    pub name: Option<String>,
    /// The fleet.
    pub fleet: FleetId,
    /// The address that other processes send frames to.
    pub address: std::net::SocketAddr,
    /// The address to listen on for frames, if it differs from `address` because of network address
    /// translation.
    pub listen: Option<std::net::SocketAddr>,
    /// The address of the HTTP server, for processes that have one.
    pub http: Option<std::net::SocketAddr>,
    /// The address for readiness probes, if it differs from `http`.
    pub ready: Option<std::net::SocketAddr>,
    /// The address of the server for this process's metrics, if it has one.
    pub metrics: Option<std::net::SocketAddr>,
    /// The failure zone.
    pub zone: ZoneName,
    /// The control processes to contact first: three, or fewer in a smaller fleet.
    pub seeds: Vec<std::net::SocketAddr>,
    /// The data folder, for processes that store files.
    pub data: Option<std::path::PathBuf>,
    /// The agent beside this relay, or the relay beside this agent.
    pub beside: Option<std::net::SocketAddr>,
    /// The time and loss bounds of the fleet's environment.
    pub bounds: crate::Bounds,
    /// The resource limits of the process.
    pub resources: crate::Resources,
    /// Whether a process with an empty data folder may bootstrap a new fleet.
    pub may_bootstrap: bool,
    /// Reads the settings again.
    pub reread: Reread,
}

/// Reads the settings of a process again after they may have changed.
#[derive(Clone)]
pub struct Reread(std::sync::Arc<dyn Fn() -> Option<NodeSettings> + Send + Sync>);

impl Reread {
    /// Reads the settings with this function, which returns none if they are missing or invalid.
    ///
    /// ```
    /// assert!(topazyard_spec::Reread::by(|| None).read().is_none());
    /// ```
    pub fn by(read: impl Fn() -> Option<NodeSettings> + Send + Sync + 'static) -> Self {
        Self(std::sync::Arc::new(read))
    }

    /// The current settings, if they are valid.
    pub fn read(&self) -> Option<NodeSettings> {
        (self.0)()
    }
}

impl std::fmt::Debug for Reread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Reread")
    }
}

/// Two readers are always equal, so that settings compare by their values alone.
impl PartialEq for Reread {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Reread {}

/// Why a process can't start with its settings.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum SettingsError {
    /// the setting {0} is missing
    Missing(&'static str),
    /// the setting {setting} is {text:?}, which is not IP:PORT
    NotAnAddress {
        /// The name of the setting.
        setting: &'static str,
        /// Its value.
        text: String,
    },
    /// the setting seeds must name three different addresses, found {0}
    Seeds(usize),
    /// the setting {0} must not be empty
    Empty(&'static str),
    /// the settings file {0:?} can't be read
    Unreadable(std::path::PathBuf),
    /// the settings file {file:?} is invalid at line {line}: {reason}
    Malformed {
        /// The file.
        file: std::path::PathBuf,
        /// The line number.
        line: usize,
        /// The parse error.
        reason: String,
    },
}

impl std::error::Error for SettingsError {}

fn parse_address(setting: &'static str, text: &str) -> Result<std::net::SocketAddr, SettingsError> {
    text.parse().map_err(|_| SettingsError::NotAnAddress { setting, text: text.to_owned() })
}

impl NodeSettings {
    /// The address to listen on for frames.
    pub fn listen_address(&self) -> std::net::SocketAddr {
        self.listen.unwrap_or(self.address)
    }

    /// Reads the settings file, if one is given, and validates the settings.
    ///
    /// ```
    /// use topazyard_spec::{NodeSettings, Settings, SettingsError};
    /// let refused = NodeSettings::check(Settings::default());
    /// assert_eq!(refused, Err(SettingsError::Missing("fleet")));
    /// ```
    ///
    /// # Errors
    /// The first setting that is missing or invalid.
    pub fn check(flags: crate::Settings) -> Result<Self, SettingsError> {
        let flags_for_reread = flags.clone();
        let settings = match flags.settings.clone() {
            None => flags,
            Some(file) => {
                let text = std::fs::read_to_string(&file)
                    .map_err(|_| SettingsError::Unreadable(file.clone()))?;
                let from_file: crate::Settings = serde_json::from_str(&text).map_err(|error| {
                    SettingsError::Malformed { line: error.line(), reason: error.to_string(), file }
                })?;
                flags.merged_with(from_file)
            }
        };
        let fleet = FleetId(settings.fleet.ok_or(SettingsError::Missing("fleet"))?);
        let own_address = settings.address.ok_or(SettingsError::Missing("address"))?;
        let zone = settings.zone.ok_or(SettingsError::Missing("zone"))?;
        if zone.is_empty() {
            return Err(SettingsError::Empty("zone"));
        }
        let mut seeds = Vec::new();
        for seed in settings.seeds.ok_or(SettingsError::Missing("seeds"))? {
            let seed = parse_address("seeds", &seed)?;
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
            address: parse_address("address", &own_address)?,
            http: settings.http.map(|text| parse_address("http", &text)).transpose()?,
            metrics: settings.metrics.map(|text| parse_address("metrics", &text)).transpose()?,
            zone: ZoneName(zone),
            seeds,
            data: settings.data,
            beside: settings.beside.map(|text| parse_address("beside", &text)).transpose()?,
            bounds: crate::Bounds::default(),
            resources: crate::Resources {
                memory_bytes: u64::from(settings.memory_mb.unwrap_or(0)) * BYTES_PER_MB,
                descriptors: settings.descriptors.unwrap_or(0),
                disk_bytes: 0,
                link_bytes_per_s: u64::from(settings.link_mbps.unwrap_or(0)) * BYTES_PER_MEGABIT,
            },
            may_bootstrap: true,
            reread: Reread::by(move || Self::check(flags_for_reread.clone()).ok()),
        })
    }

    /// The HTTP address, for a process that requires it.
    ///
    /// # Errors
    /// It is missing.
    pub fn require_http(&self) -> Result<std::net::SocketAddr, SettingsError> {
        self.http.ok_or(SettingsError::Missing("http"))
    }

    /// The data folder, for a process that requires it.
    ///
    /// # Errors
    /// It is missing.
    pub fn require_data(&self) -> Result<std::path::PathBuf, SettingsError> {
        self.data.clone().ok_or(SettingsError::Missing("data"))
    }

    /// The address of the relay or agent beside this process, for a process that requires it.
    ///
    /// # Errors
    /// It is missing.
    pub fn require_beside(&self) -> Result<std::net::SocketAddr, SettingsError> {
        self.beside.ok_or(SettingsError::Missing("beside"))
    }
}
