//! How many connections the servers of a process may have.

use super::memory::Account;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory that a connection may take beside the bodies of its requests: its buffers for reading
/// and writing, its tasks, its request and what is unread in the kernel.
const CONNECTION_BYTES: u64 = 128 * 1_024;
/// Connections may take one in this number of a process's memory.
const MEMORY_DIVISOR: u64 = 2;
/// The descriptors that a platform may keep for files; connections share the others.
const FILE_DESCRIPTORS: u64 = 200;
/// Clients' connections may take one in this number of the descriptors for connections. The others
/// are for links and engines.
const DESCRIPTOR_DIVISOR: u64 = 2;
/// The connections of a process whose resources are not known.
const DEFAULT_CLIENT_CONNECTIONS: usize = 512;
const MIN_CLIENT_CONNECTIONS: usize = 16;
/// The connections of a server for few callers that are known.
const PROBE_CONNECTIONS: usize = 16;

/// Who connects to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Callers {
    /// Clients or operators, as many as there is room for.
    Clients,
    /// Probes of the platform and readers of metrics.
    Probes,
}

static CLIENT_CONNECTIONS: AtomicUsize = AtomicUsize::new(DEFAULT_CLIENT_CONNECTIONS);

impl Callers {
    /// The maximum number of connections.
    pub(super) fn max_connections(self) -> usize {
        match self {
            Self::Clients => CLIENT_CONNECTIONS.load(Ordering::Relaxed),
            Self::Probes => PROBE_CONNECTIONS,
        }
    }
}

/// Sets the limits of this process's servers from its resources. A resource of 0 is taken from the
/// system.
pub fn set_resources(resources: &topazyard_spec::Resources) {
    let memory_bytes = match resources.memory_bytes {
        0 => system_memory_bytes(),
        memory_bytes => Some(memory_bytes),
    };
    if let Some(memory_bytes) = memory_bytes {
        Account::of_process().set_memory(memory_bytes);
    }
    let max = max_connections(memory_bytes, descriptors(resources.descriptors));
    if let Some(max) = max {
        CLIENT_CONNECTIONS.store(max, Ordering::Relaxed);
    }
}

/// The maximum number of clients' connections for this memory and these descriptors, if any of them
/// is known.
///
/// ```
/// use topazyard_wire::http::server_limits::max_connections;
/// assert_eq!(max_connections(Some(260_000_000), Some(4_100)), Some(991));
/// assert_eq!(max_connections(Some(260_000_000), Some(400)), Some(100));
/// assert_eq!(max_connections(None, None), None);
/// ```
pub fn max_connections(memory_bytes: Option<u64>, descriptors: Option<u64>) -> Option<usize> {
    let by_memory = memory_bytes.map(|bytes| bytes / MEMORY_DIVISOR / CONNECTION_BYTES);
    let by_descriptors =
        descriptors.map(|count| count.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTOR_DIVISOR);
    let max = by_memory.into_iter().chain(by_descriptors).min()?;
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    Some(max.clamp(MIN_CLIENT_CONNECTIONS, tokio::sync::Semaphore::MAX_PERMITS))
}

/// The descriptors of the settings or those that the system allows, whichever are fewer.
fn descriptors(in_settings: u32) -> Option<u64> {
    let in_settings = Some(u64::from(in_settings)).filter(|count| *count > 0);
    let of_system = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let of_system = of_system.filter(|count| *count > 0);
    in_settings.into_iter().chain(of_system).min()
}

/// The memory of the machine, in bytes.
fn system_memory_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kibibytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes * 1_024)
}
