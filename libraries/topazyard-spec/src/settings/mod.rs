//! A process's place: from flags, or from a settings file that flags go before.

pub mod check;
pub mod raw;

pub use check::{NodeSettings, SettingsError};
pub use raw::Settings;
