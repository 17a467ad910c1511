//! The agent that runs next to each relay: a cluster member that connects its relay to the control
//! plane.

pub mod machine;
pub mod metrics;
pub mod run;

pub use machine::{AgentCall, AgentHealth, AgentMachine, Start};
pub use run::run;
