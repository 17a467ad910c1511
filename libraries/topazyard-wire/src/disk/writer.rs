//! The thread that owns the database and syncs writes. Queued writes share a transaction.
//!
//! Writes are synced in the order in which they were queued. While the disk is full, the first
//! batch is retried until it succeeds, so that no later write is synced before it.

use super::{DiskError, DiskState};

/// A write to one group's table.
#[derive(Debug)]
pub struct DiskWrite {
    /// Identifies the write.
    pub token: crate::WriteToken,
    /// The changed rows.
    pub changes: Vec<crate::RowChange>,
}

/// An event that the disk thread reports.
#[derive(Debug)]
pub enum DiskEvent {
    /// A write is synced.
    Written(crate::WriteToken),
    /// The disk became full or has free space again.
    State(DiskState),
    /// A write failed for another reason than a full disk, and the thread has ended.
    Failed(DiskError),
}

/// Queues writes for the disk thread.
pub struct Writer {
    sender: std::sync::mpsc::SyncSender<DiskWrite>,
}

/// The queue of the disk thread is full, or the thread has ended
#[derive(Debug, displaydoc::Display)]
pub struct WriterStopped;

impl std::error::Error for WriterStopped {}

/// Maximum number of queued writes.
const MAX_QUEUED: usize = 1024;
/// Maximum number of writes in one transaction.
const MAX_BATCH_WRITES: usize = 256;
/// Delay before a write that failed because of a full disk is retried.
const DISK_FULL_RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

impl Writer {
    /// Starts the thread. `reopen` opens the database again after a write failed because of a full
    /// disk. `report` is called with each event.
    pub fn start(
        database: redb::Database,
        reopen: impl FnMut() -> Result<redb::Database, DiskError> + Send + 'static,
        report: impl Fn(DiskEvent) + Send + 'static,
    ) -> Self {
        let (sender, receiver) = std::sync::mpsc::sync_channel::<DiskWrite>(MAX_QUEUED);
        let mut file = WriterFile { database: Some(database), reopen, report, is_full: false };
        std::thread::spawn(move || {
            while let Ok(first) = receiver.recv() {
                let mut batch = vec![first];
                batch.extend(receiver.try_iter().take(MAX_BATCH_WRITES - 1));
                if let Err(error) = file.sync(&batch) {
                    (file.report)(DiskEvent::Failed(error));
                    return;
                }
                batch.iter().for_each(|write| (file.report)(DiskEvent::Written(write.token)));
            }
        });
        Self { sender }
    }

    /// Queues a write.
    ///
    /// # Errors
    /// The thread has ended, or the queue is full because the disk can't keep up.
    pub fn write(&self, write: DiskWrite) -> Result<(), WriterStopped> {
        self.sender.try_send(write).map_err(|_| WriterStopped)
    }
}

/// The database as the disk thread owns it.
struct WriterFile<R, T> {
    /// `None` after a failed write, because the database accepts no writes after a failure.
    database: Option<redb::Database>,
    reopen: R,
    report: T,
    is_full: bool,
}

impl<R, T> WriterFile<R, T>
where
    R: FnMut() -> Result<redb::Database, DiskError>,
    T: Fn(DiskEvent),
{
    /// Syncs a batch, waiting while the disk is full.
    fn sync(&mut self, batch: &[DiskWrite]) -> Result<(), DiskError> {
        loop {
            match self.try_commit(batch) {
                Ok(()) => {
                    self.set_full(false);
                    return Ok(());
                }
                Err(DiskError::Full(_)) => self.set_full(true),
                Err(error) => return Err(error),
            }
            std::thread::sleep(DISK_FULL_RETRY_INTERVAL);
        }
    }

    /// Commits a batch once. Whether a failed commit is in the file is unknown. The retry writes
    /// the same rows, so the result is the same either way.
    fn try_commit(&mut self, batch: &[DiskWrite]) -> Result<(), DiskError> {
        let database = match self.database.take() {
            Some(database) => database,
            None => (self.reopen)()?,
        };
        commit(&database, batch).map_err(|error| {
            DiskError::from_database_error(super::open::FILE_NAME.as_ref(), error)
        })?;
        self.database = Some(database);
        Ok(())
    }

    fn set_full(&mut self, is_full: bool) {
        if std::mem::replace(&mut self.is_full, is_full) != is_full {
            let state = if is_full { DiskState::Full } else { DiskState::Healthy };
            (self.report)(DiskEvent::State(state));
        }
    }
}

fn commit(database: &redb::Database, batch: &[DiskWrite]) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    for write in batch {
        let name = write.token.group.table();
        let mut table = transaction.open_table(redb::TableDefinition::<&str, &[u8]>::new(&name))?;
        for change in &write.changes {
            match &change.value {
                Some(value) => table.insert(change.key.as_str(), value.as_ref())?,
                None => table.remove(change.key.as_str())?,
            };
        }
    }
    transaction.commit()?;
    Ok(())
}
