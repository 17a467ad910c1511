//! Replication of a group's rows: the data itself, the primary that keeps its backups in sync, the
//! witnesses that decide epochs, and the follower of the configuration feed.

pub mod copy;
pub mod epoch;
pub mod follower;
pub mod invariants;
pub mod replica;
pub mod snapshot;

pub use copy::Copy;
pub use epoch::{Proposal, Witness};
pub use follower::FeedFollower;
pub use replica::{
    Followers, RefillEvent, RefillProgress, Replica, ReplicaOutput, Uncommitted, WriteTicket,
};
pub use snapshot::Snapshot;
