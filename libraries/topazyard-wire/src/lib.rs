//! What every process shares: messages and frames, links between processes, the disk thread, the
//! ring buffer of log lines, invariants, metrics, HTTP helpers, and the actor that runs a state
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
pub mod routes;
pub mod rows;
pub mod state;
pub mod traffic;

pub use api::{ApiError, Execution};
pub use machine::{Effect, Input, Machine, WriteToken};
pub use message::{Frame, Message};
pub use rows::{Group, RowChange};
