//! The thread that owns the file and syncs writes, many in one transaction when they queue up.

/// One write.
#[derive(Debug)]
pub struct DiskWrite {
    /// Marks it.
    pub token: crate::WriteToken,
    /// The rows.
    pub changes: Vec<crate::RowChange>,
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
const INBOX: usize = 1024;

impl Writer {
    /// Starts the thread; `written` hears of each write that is synced, `failed` of the first that isn't.
    pub fn start(
        database: redb::Database,
        written: impl Fn(crate::WriteToken) + Send + 'static,
        failed: impl FnOnce(redb::Error) + Send + 'static,
    ) -> Self {
        let (sender, receiver) = std::sync::mpsc::sync_channel::<DiskWrite>(INBOX);
        std::thread::spawn(move || {
            while let Ok(first) = receiver.recv() {
                let mut batch = vec![first];
                batch.extend(receiver.try_iter().take(255));
                if let Err(error) = commit(&database, &batch) {
                    failed(error);
                    return;
                }
                batch.iter().for_each(|write| written(write.token));
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
