//! Test doubles for the external systems that topazyard works with: engines, the platform and
//! clients.

pub mod loopback;
pub mod prompt;
pub mod tally;
