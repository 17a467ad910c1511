//! Storage: the in-flight counter and the parcel shards, each a primary and a backup.

pub mod counter;
pub mod machine;
pub mod metrics;
pub mod parcels;
pub mod run;

pub use machine::{StorageCall, StorageHealth, StorageMachine};
pub use run::run;
