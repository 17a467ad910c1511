//! The settings of a process, from flags and a settings file. Flags take precedence.

pub mod bounds;
pub mod check;
pub mod raw;

pub use bounds::{Bounds, Resources};
pub use check::{NodeSettings, Reread, SettingsError};
pub use raw::Settings;
