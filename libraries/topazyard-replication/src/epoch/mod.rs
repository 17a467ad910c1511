//! Agreement on the next epoch. A majority of the witnesses named by the current epoch decides each
//! record exactly once. Witnesses store epoch records and votes only, never the replicated state.

pub mod propose;
pub mod witness;

pub use propose::{Proposal, ProposalStep};
pub use witness::Witness;
