//! Copies of rows, the primary that keeps several of them in step, the witness that decides epochs, and
//! the follower that reads the feed.

pub mod copy;
pub mod epoch;
pub mod follower;
pub mod pair;
pub mod snapshot;

pub use copy::Copy;
pub use epoch::{Proposal, Witness};
pub use follower::Follower;
pub use pair::{Doubt, Followers, Pair, PairOutput, Ticket};
pub use snapshot::Snapshot;
