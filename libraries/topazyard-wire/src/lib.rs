//! What a process needs to speak with the others and to run its machine: messages, frames, links,
//! the disk thread, the log ring, invariants, metrics, HTTP helpers and the actor that owns a
//! machine.

pub mod api;
pub mod disk;
pub mod driver;
pub mod http;
pub mod invariants;
pub mod link;
pub mod log;
pub mod machine;
pub mod message;
pub mod metrics;
pub mod rows;
pub mod state;

pub use api::{ApiError, Execution};
pub use machine::{Effect, Input, Machine, WriteToken};
pub use message::{Frame, Message};
pub use rows::{Group, RowChange};
