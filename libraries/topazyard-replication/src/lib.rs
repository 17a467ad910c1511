//! Copies of rows, the primary that keeps several of them in step, the witness that decides epochs, and
//! the follower that reads the feed.

pub mod copy;
pub mod epoch;
pub mod follower;
pub mod invariants;
pub mod replica;
pub mod snapshot;

pub use copy::Copy;
pub use epoch::{Proposal, Witness};
pub use follower::FeedFollower;
pub use replica::{Followers, Replica, ReplicaOutput, Uncommitted, WriteTicket};
pub use snapshot::Snapshot;
