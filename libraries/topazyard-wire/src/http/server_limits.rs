//! The limits of the servers of a process, from its resources.

use super::memory::Account;

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
}

/// The memory of the machine, in bytes.
fn system_memory_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kibibytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes * 1_024)
}
