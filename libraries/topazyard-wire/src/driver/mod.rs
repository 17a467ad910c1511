//! The actor that owns a machine and performs its effects.

pub mod actor;
pub mod disk_start;
mod fatal;
pub mod identity;
pub mod signals;
pub mod spawn;

pub use crate::clock::Clock;
pub use actor::{CallError, Handle};
pub use disk_start::{DiskStart, start_with_disk};
pub use identity::{fresh_id, load_or_create_id};
pub use signals::{follow_settings, terminated};
pub use spawn::{NodeIdentity, StartError, exit_code, run_daemon, run_process, spawn, spawn_at};
