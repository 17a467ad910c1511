//! The disk: one redb file under the data folder, written by one thread, synced before it is said.

pub mod open;
pub mod writer;

pub use open::{DiskError, OpenDisk, open, read_all};
pub use writer::{DiskWrite, Writer};
