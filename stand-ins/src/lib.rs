//! Stand-ins for what topazyard meets from outside: engines, the platform and visitors.

pub mod prompt;
pub mod tally;
