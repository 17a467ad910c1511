//! Storage node: the in-flight token counter and the batch shards, each replicated from a primary
//! to its backups.

pub mod batches;
pub mod counter;
pub mod machine;
pub mod metrics;
pub mod run;

pub use machine::{RefillCounts, StorageCall, StorageHealth, StorageMachine};
pub use run::run;
