//! The processing of one request, independent of I/O.

pub mod chart;

pub use chart::{Chart, Failure, Next, State};
