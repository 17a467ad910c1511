//! Whole clusters in one process, from a seed: the same machines as in the real processes, on a
//! simulated network, clock and disk that loses what was not synced.
//!
//! The checker in [`check`] sees only what clients, operators, the platform and the engines saw.

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
