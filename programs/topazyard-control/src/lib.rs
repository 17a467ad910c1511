//! The core: specs, engines, placement, weights, and the epochs under which they are kept.

pub mod engine_load;
pub mod http;
pub mod machine;
pub mod metrics;
pub mod outside;
pub mod planner;
pub mod run;
pub mod tuner;
pub mod witnesses;

pub use machine::{ControlCall, ControlMachine, ControlTask};
pub use outside::{Outside, OwnInterface};
pub use run::run;
