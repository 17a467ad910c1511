//! What people write down: the operators' versioned bundle, the platform's engine list and each
//! process's own settings. Everything is read with serde and checked with garde before use.

pub mod bundle;
pub mod engines;
pub mod faults;
mod names;
pub mod patch;
pub mod routes;
pub mod settings;

pub use bundle::{
    BatchLimits, Configuration, EngineShape, ModelRoute, ModelRouteKind, Pool, WeightBounds,
};
pub use engines::{Engine, EngineList, EngineState};
pub use faults::{Fault, FaultReason, ReadError};
pub use patch::Patch;
pub use routes::{BatchTerms, ClientLimits, PoolShare, Route, RouteKind};
pub use settings::{Bounds, NodeSettings, Reread, Resources, Settings, SettingsError};
