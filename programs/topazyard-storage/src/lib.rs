//! Storage: the in-flight counter and the batch shards, each a primary and a backup.

pub mod batches;
pub mod counter;
pub mod machine;
pub mod metrics;
pub mod run;

pub use machine::{StorageCall, StorageHealth, StorageMachine};
pub use run::run;
