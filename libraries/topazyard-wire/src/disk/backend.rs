//! The storage backend of the database.

use redb::{BackendError, StorageBackend};
use std::ops::Bound;

/// A storage backend that never reports a failed sync as a full disk.
///
/// A write that failed because the disk is full loses nothing and may be retried. After a failed
/// sync, whatever its cause, the operating system may have discarded dirty pages that it still
/// returns to readers of the file, so that a retry could build on lost data.
#[derive(Debug)]
pub struct SyncBackend<B>(pub B);

impl<B: StorageBackend> StorageBackend for SyncBackend<B> {
    fn len(&self) -> Result<u64, std::io::Error> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        self.0.read(offset, out)
    }

    fn set_len(&self, length: u64) -> Result<(), std::io::Error> {
        self.0.set_len(length)
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        let failed = |error| std::io::Error::other(format!("a sync failed: {error}"));
        self.0.sync_data().map_err(failed)
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.0.write(offset, data)
    }

    fn close(&self) -> Result<(), std::io::Error> {
        self.0.close()
    }

    fn try_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.0.try_lock_range(start, end)
    }

    fn try_lock_shared_range(
        &self,
        start: Bound<u64>,
        end: Bound<u64>,
    ) -> Result<bool, BackendError> {
        self.0.try_lock_shared_range(start, end)
    }

    fn lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.0.lock_range(start, end)
    }

    fn lock_shared_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.0.lock_shared_range(start, end)
    }

    fn unlock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.0.unlock_range(start, end)
    }

    fn query_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.0.query_lock_range(start, end)
    }
}
