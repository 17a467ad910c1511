//! Stand-ins for what topazyard meets from outside: engines, the platform and clients.

pub mod loopback;
pub mod prompt;
pub mod tally;
