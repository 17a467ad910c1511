//! Membership of the fleet: who is there, told by probes and by second opinions, and forgotten
//! only after a suspicion that nobody refuted.

mod cohort;
mod gossip;
mod roll;

pub use cohort::{Cohort, Outgoing};
pub use roll::Known;
