//! The edge node of the fleet: HTTP for clients, admission control, prefix affinity, streaming, and
//! batch items run under leases.

pub mod drain;
pub mod front;
pub mod machine;
pub mod metrics;
pub mod prompt;
pub mod run;

pub use machine::{RelayCall, RelayMachine, RelayResponse, RelayTask, Start};
pub use run::{Front, run};
