//! Who holds an epoch: decided once for each epoch by a majority of the witnesses that the epoch
//! before named. Witnesses keep epochs only, never the state itself.

pub mod propose;
pub mod witness;

pub use propose::{Proposal, ProposalStep};
pub use witness::Witness;
