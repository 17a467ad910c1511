//! Ids, versions, times and other small types shared by all parts of topazyard.
//!
//! Each quantity has its own type, so that the compiler rejects an epoch where a sequence number is
//! expected, or a duration where a point in time is.

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

/// Declares a newtype around a number, with the usual derives.
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

/// Declares a newtype around a string for a kind of name, with the usual derives.
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
