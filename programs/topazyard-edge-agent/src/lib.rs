//! Beside each relay: its place in the membership and its link to the control plane.

pub mod machine;
pub mod metrics;
pub mod run;

pub use machine::{AgentCall, AgentHealth, AgentMachine, Start};
pub use run::run;
