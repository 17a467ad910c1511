//! The formats of declared input: the operators' versioned configuration, the platform's engine
//! list and the settings of each process. All of it is parsed with serde and validated with garde
//! before use.

pub mod configuration;
pub mod engines;
pub mod faults;
mod names;
pub mod patch;
pub mod routes;
pub mod settings;

pub use configuration::{
    BatchLimits, Configuration, EngineShape, ModelRoute, ModelRouteKind, Pool, WeightBounds,
};
pub use engines::{Engine, EngineList, EngineState};
pub use faults::{Fault, FaultReason, ReadError};
pub use patch::Patch;
pub use routes::{BatchTerms, ClientLimits, PoolShare, Route, RouteKind};
pub use settings::{Bounds, NodeSettings, Reread, Resources, Settings, SettingsError};
