//! A node's id: kept with its data, made anew where there is none.

/// An id nobody else has.
pub fn fresh_id() -> topazyard_types::NodeId {
    topazyard_types::NodeId(rand::random::<u64>() | 1)
}

/// The id kept on disk, or a fresh one that is written before it is used.
///
/// # Errors
/// The file could not be written.
pub fn settled_id(
    disk: &crate::disk::OpenDisk,
) -> Result<topazyard_types::NodeId, crate::disk::DiskError> {
    let kept = disk.loaded.get(&crate::Group::Node).and_then(|rows| rows.get("id"));
    if let Some(id) = kept.and_then(|value| crate::rows::decode(value)) {
        return Ok(id);
    }
    let id = fresh_id();
    let write = || -> Result<(), redb::Error> {
        let transaction = disk.database.begin_write()?;
        transaction
            .open_table(redb::TableDefinition::<&str, &[u8]>::new("node"))?
            .insert("id", crate::rows::encode(&id).as_ref())?;
        transaction.commit()?;
        Ok(())
    };
    write().map_err(|error| crate::disk::DiskError::from_database_error(&disk.file, error))?;
    Ok(id)
}
