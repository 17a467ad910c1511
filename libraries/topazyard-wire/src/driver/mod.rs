//! The actor that owns a machine and makes its effects happen.

pub mod actor;
pub mod clock;
pub mod identity;
pub mod spawn;

pub use actor::{CallError, Handle};
pub use clock::Clock;
pub use identity::{fresh_id, settled_id};
pub use spawn::{Place, StartError, exit_code, run_process, spawn};
