//! The core: specs, engines, placement, weights, and the epochs under which they are kept.

pub mod http;
pub mod machine;
pub mod planner;

pub use machine::{ControlCall, ControlMachine, Start};
