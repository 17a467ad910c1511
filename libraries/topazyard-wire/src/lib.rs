//! What every process shares: messages and frames, the disk thread, the ring buffer of log lines and
//! invariants. With the feature `server` also what a program that serves needs: links between
//! processes, metrics, HTTP helpers, and the actor that runs a state machine.

pub mod api;
pub mod clock;
pub mod disk;
#[cfg(feature = "server")]
pub mod driver;
#[cfg(feature = "server")]
pub mod http;
pub mod invariants;
#[cfg(feature = "server")]
pub mod link;
pub mod log;
pub mod machine;
pub mod message;
#[cfg(feature = "server")]
pub mod metrics;
pub mod routes;
pub mod rows;
pub mod state;
pub mod traffic;

pub use api::{ApiError, Execution};
pub use machine::{Effect, Input, Machine, WriteToken};
pub use message::{Frame, Message};
pub use rows::{Group, RowChange};
