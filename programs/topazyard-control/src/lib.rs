//! The control plane: configurations, engines, placement, weights, and the epochs that order
//! changes to them.

pub mod engine_load;
pub mod external;
pub mod http;
pub mod machine;
pub mod metrics;
pub mod planner;
pub mod run;
pub mod tuner;
pub mod witnesses;

pub use external::{DefaultInterface, ExternalInterface};
pub use machine::{ControlCall, ControlMachine, ControlTask};
pub use run::run;
