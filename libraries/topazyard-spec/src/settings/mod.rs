//! A process's place: from flags, or from a settings file that flags go before.

pub mod bounds;
pub mod check;
pub mod raw;

pub use bounds::{Bounds, Resources};
pub use check::{NodeSettings, Reread, SettingsError};
pub use raw::Settings;
