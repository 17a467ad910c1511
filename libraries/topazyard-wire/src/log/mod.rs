//! The log: a ring buffer in memory that is written out after each error and at a graceful
//! shutdown.

pub mod ring;

pub use ring::{flush, mirror_to_stdout, start};
