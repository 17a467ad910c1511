//! Deterministic simulation of whole fleets in one process, from a seed: the same state machines as
//! in the real processes, on a simulated network, clocks, and disks that lose unsynced writes.
//!
//! The checker in [`check`] sees only what clients, operators, the platform and the engines
//! observed.

pub mod check;
pub mod deployment;
pub mod faults;
pub mod history;
pub mod model;
mod plan;
pub mod run;
pub mod scenario;
pub mod workload;
pub mod world;

pub use deployment::Deployment;
pub use run::{Report, run};
pub use scenario::Scenario;
