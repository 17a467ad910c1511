//! A prompt's way through the relay.

pub mod chart;

pub use chart::{Chart, Failure, Next, State};
