//! The log: a ring in memory, written out when something goes wrong.

pub mod ring;

pub use ring::{finish, start, to_output};
