//! Settings as written in a file or given as flags.

/// Settings before validation. Flags take precedence over the file.
#[derive(Debug, Clone, Default, clap::Args, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// A JSON file with any of these settings, named like the flags with underscores
    #[arg(long)]
    #[serde(skip)]
    pub settings: Option<std::path::PathBuf>,
    /// The fleet's number; frames of another fleet are rejected
    #[arg(long)]
    pub fleet: Option<u32>,
    /// IP:PORT at which this process receives frames from other processes
    #[arg(long)]
    pub address: Option<String>,
    /// IP:PORT at which this process serves HTTP
    #[arg(long)]
    pub http: Option<String>,
    /// IP:PORT at which this process serves its own metrics, under /metrics
    #[arg(long)]
    pub metrics: Option<String>,
    /// The failure zone that this process runs in
    #[arg(long)]
    pub zone: Option<String>,
    /// Three IP:PORT addresses of control processes, separated by commas
    #[arg(long, value_delimiter = ',')]
    pub seeds: Option<Vec<String>>,
    /// The folder for all files of this process
    #[arg(long)]
    pub data: Option<std::path::PathBuf>,
    /// IP:PORT of the agent beside this relay, or of the relay beside this agent
    #[arg(long)]
    pub beside: Option<String>,
    /// The memory that this process may use, in MB; that of the machine if it is missing
    #[arg(long)]
    pub memory_mb: Option<u32>,
    /// The descriptors that this process may use; those that the system allows if it is missing
    #[arg(long)]
    pub descriptors: Option<u32>,
    /// The rate of the machine's link in Mbit/s, which bounds what a storage process holds
    #[arg(long)]
    pub link_mbps: Option<u32>,
}

impl Settings {
    /// Takes settings that are missing in the flags from `file`.
    ///
    /// ```
    /// use topazyard_spec::Settings;
    /// let flags = Settings { fleet: Some(7), ..Settings::default() };
    /// let file = Settings { fleet: Some(1), zone: Some("north".into()), ..Settings::default() };
    /// let merged = flags.merged_with(file);
    /// assert_eq!((merged.fleet, merged.zone.as_deref()), (Some(7), Some("north")));
    /// ```
    #[must_use]
    pub fn merged_with(self, file: Self) -> Self {
        Self {
            settings: self.settings,
            fleet: self.fleet.or(file.fleet),
            address: self.address.or(file.address),
            http: self.http.or(file.http),
            metrics: self.metrics.or(file.metrics),
            zone: self.zone.or(file.zone),
            seeds: self.seeds.or(file.seeds),
            data: self.data.or(file.data),
            beside: self.beside.or(file.beside),
            memory_mb: self.memory_mb.or(file.memory_mb),
            descriptors: self.descriptors.or(file.descriptors),
            link_mbps: self.link_mbps.or(file.link_mbps),
        }
    }
}
