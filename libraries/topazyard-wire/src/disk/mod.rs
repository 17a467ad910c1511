//! The disk: one redb file in the data folder, written by one thread. A write is reported only
//! after it is synced.

pub mod backend;
pub mod error;
pub mod open;
pub mod state;
pub mod writer;

pub use backend::SyncBackend;
pub use error::DiskError;
pub use open::{OpenDisk, OpenFile, open, read_all};
pub use state::{DiskState, DiskWatch};
pub use writer::{DiskEvent, DiskWrite, Writer};
