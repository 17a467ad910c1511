//! The actor that owns a machine and makes its effects happen.

pub mod actor;
pub mod clock;
pub mod disk_start;
mod give_up;
pub mod identity;
pub mod signals;
pub mod spawn;

pub use actor::{CallError, Handle};
pub use clock::Clock;
pub use disk_start::{DiskStart, start_with_disk};
pub use identity::{fresh_id, settled_id};
pub use signals::{follow_settings, terminated};
pub use spawn::{NodeIdentity, StartError, exit_code, run_daemon, run_process, spawn, spawn_at};
