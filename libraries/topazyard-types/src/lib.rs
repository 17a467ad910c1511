//! Ids, versions, times and other small types that every part of topazyard shares.
//!
//! Each is a type of its own, so that an epoch is never taken for a sequence or a wait for a moment.

pub mod digest;
pub mod ids;
pub mod times;
pub mod tokens;
pub mod versions;

pub use digest::Digest;
pub use ids::{
    BatchId, BootId, CallId, EngineName, FleetId, HoldId, ItemNumber, ModelName, ModelRouteName,
    NodeId, PoolName, RouteName, ShardId, ZoneName,
};
pub use times::{DurationMs, MonotonicMs};
pub use tokens::Tokens;
pub use versions::{ConfigurationVersion, Epoch, Incarnation, LogPosition, Sequence};

/// Declares a number type of its own with the usual derives.
#[macro_export]
macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident, $inner:ty) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

/// Declares a name type of its own with the usual derives.
#[macro_export]
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}
