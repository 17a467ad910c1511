//! The thread that owns the file and syncs writes, many in one transaction when they queue up.
//!
//! Writes reach the disk in the order they came. One that finds no room stays at the head and is
//! tried again until there is some: no later one is synced before it.

use super::{DiskError, DiskState};

/// One write.
#[derive(Debug)]
pub struct DiskWrite {
    /// Marks it.
    pub token: crate::WriteToken,
    /// The rows.
    pub changes: Vec<crate::RowChange>,
}

/// What the disk thread says.
#[derive(Debug)]
pub enum DiskEvent {
    /// A write is synced.
    Written(crate::WriteToken),
    /// The disk is full, or has room again.
    State(DiskState),
    /// A write failed for another reason than want of room: the thread has ended.
    Failed(DiskError),
}

/// Where writes are handed to the disk thread.
pub struct Writer {
    sender: std::sync::mpsc::SyncSender<DiskWrite>,
}

/// The disk thread can take no more, or has ended
#[derive(Debug, displaydoc::Display)]
pub struct WriterStopped;

impl std::error::Error for WriterStopped {}

/// The most writes that may wait for the disk.
const QUEUE_LIMIT: usize = 1024;
/// The most writes in one transaction.
const MOST_IN_BATCH: usize = 256;
/// How long to wait before a write that found no room is tried again.
const ROOM_AGAIN: std::time::Duration = std::time::Duration::from_millis(100);

impl Writer {
    /// Starts the thread. `reopen` opens the file anew after a write found no room; `tell` hears
    /// what becomes of the writes.
    pub fn start(
        database: redb::Database,
        reopen: impl FnMut() -> Result<redb::Database, DiskError> + Send + 'static,
        tell: impl Fn(DiskEvent) + Send + 'static,
    ) -> Self {
        let (sender, receiver) = std::sync::mpsc::sync_channel::<DiskWrite>(QUEUE_LIMIT);
        let mut file = WriterFile { database: Some(database), reopen, tell, is_full: false };
        std::thread::spawn(move || {
            while let Ok(first) = receiver.recv() {
                let mut batch = vec![first];
                batch.extend(receiver.try_iter().take(MOST_IN_BATCH - 1));
                if let Err(error) = file.sync(&batch) {
                    (file.tell)(DiskEvent::Failed(error));
                    return;
                }
                batch.iter().for_each(|write| (file.tell)(DiskEvent::Written(write.token)));
            }
        });
        Self { sender }
    }

    /// Hands a write over.
    ///
    /// # Errors
    /// The thread has ended, or far too many writes wait: the disk is not to be relied on.
    pub fn write(&self, write: DiskWrite) -> Result<(), WriterStopped> {
        self.sender.try_send(write).map_err(|_| WriterStopped)
    }
}

/// The file as its thread holds it.
struct WriterFile<R, T> {
    /// None after a write found no room: the database takes nothing more once one has failed.
    database: Option<redb::Database>,
    reopen: R,
    tell: T,
    is_full: bool,
}

impl<R, T> WriterFile<R, T>
where
    R: FnMut() -> Result<redb::Database, DiskError>,
    T: Fn(DiskEvent),
{
    /// Syncs a batch, however long it takes until there is room.
    fn sync(&mut self, batch: &[DiskWrite]) -> Result<(), DiskError> {
        loop {
            match self.try_commit(batch) {
                Ok(()) => {
                    self.become_full(false);
                    return Ok(());
                }
                Err(DiskError::Full(_)) => self.become_full(true),
                Err(error) => return Err(error),
            }
            std::thread::sleep(ROOM_AGAIN);
        }
    }

    /// Tries a batch once. Whether one that failed is in the file is unknown: the same rows are
    /// written again, so that either comes to the same.
    fn try_commit(&mut self, batch: &[DiskWrite]) -> Result<(), DiskError> {
        let database = match self.database.take() {
            Some(database) => database,
            None => (self.reopen)()?,
        };
        commit(&database, batch)
            .map_err(|error| DiskError::from_database_error(super::open::FILE.as_ref(), error))?;
        self.database = Some(database);
        Ok(())
    }

    fn become_full(&mut self, is_full: bool) {
        if std::mem::replace(&mut self.is_full, is_full) != is_full {
            let state = if is_full { DiskState::Full } else { DiskState::Healthy };
            (self.tell)(DiskEvent::State(state));
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
