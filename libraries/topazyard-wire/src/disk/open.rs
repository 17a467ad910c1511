//! Opening a data folder and reading all its rows.

use super::{DiskError, SyncBackend};
use redb::{ReadableDatabase as _, ReadableTable as _, TableHandle as _};
use std::path::{Path, PathBuf};

/// The format version of the rows on disk.
const FORMAT_VERSION: u32 = 1;
const FORMAT_TABLE: redb::TableDefinition<'static, &str, u32> =
    redb::TableDefinition::new("format");

/// Size of the page cache. All rows are read at the start and kept in memory by the machine, so
/// that a commit needs little more than the pages that it changes.
const CACHE_BYTES: usize = 4 * 1024 * 1024;
/// The name of the database file in the data folder.
pub(super) const FILE_NAME: &str = "node.redb";
/// Its name until it is a complete, empty database.
const NEW_FILE_NAME: &str = "node.redb.new";
/// The name of the file that is written to check for free space.
const PROBE_FILE_NAME: &str = "node.room";
/// Free space that is required before the database is opened again after the disk was full. Opening
/// reads the whole file, so it is not attempted while it would fail again.
const REQUIRED_FREE_BYTES: usize = 256 * 1024;

/// An opened data folder and its rows.
pub struct OpenDisk {
    /// The path of the database file.
    pub file: PathBuf,
    /// The open database.
    pub database: redb::Database,
    /// All rows that it contained.
    pub loaded: crate::rows::LoadedRows,
}

/// The open database of a data folder, whose rows were read.
pub struct OpenFile {
    /// The data folder.
    pub folder: PathBuf,
    /// The open database.
    pub database: redb::Database,
}

/// Opens a data folder, creating it if it does not exist, and reads all its rows.
///
/// # Errors
/// A file that is damaged or has an unknown format is refused and never repaired. A full disk is
/// reported as such: the folder may be opened once there is free space.
pub fn open(folder: &Path) -> Result<OpenDisk, DiskError> {
    std::fs::create_dir_all(folder).map_err(|error| DiskError::from_io_error(folder, &error))?;
    read_all(open_file(folder)?, folder.join(FILE_NAME))
}

/// Opens the database of a folder whose disk was full, if there is free space.
///
/// # Errors
/// As with [`open`].
pub fn reopen(folder: &Path) -> Result<redb::Database, DiskError> {
    check_free_space(folder)?;
    open_file(folder)
}

/// Checks that a folder has free space by writing a probe file, which is removed again.
///
/// # Errors
/// The disk is full, or the folder can't be written.
pub fn check_free_space(folder: &Path) -> Result<(), DiskError> {
    let probe = folder.join(PROBE_FILE_NAME);
    let written = std::fs::File::create(&probe).and_then(|mut file| {
        std::io::Write::write_all(&mut file, &vec![0; REQUIRED_FREE_BYTES])?;
        file.sync_all()
    });
    // A probe that can't be removed is overwritten by the next one.
    let _ = std::fs::remove_file(&probe);
    written.map_err(|error| DiskError::from_io_error(folder, &error))
}

fn open_file(folder: &Path) -> Result<redb::Database, DiskError> {
    let path = folder.join(FILE_NAME);
    match path.try_exists() {
        Ok(true) => open_database(&path),
        Ok(false) => create_file(folder, &path),
        Err(error) => Err(DiskError::from_io_error(&path, &error)),
    }
}

/// Creates the file under a temporary name and renames it once it is complete. Otherwise a file
/// whose first pages are missing after a full disk or a power loss would be refused as damaged
/// forever.
fn create_file(folder: &Path, path: &Path) -> Result<redb::Database, DiskError> {
    let new = folder.join(NEW_FILE_NAME);
    let database = match open_database(&new) {
        Err(DiskError::Damaged(..)) => {
            // It was never complete, so it never contained any rows.
            std::fs::File::create(&new).map_err(|error| DiskError::from_io_error(&new, &error))?;
            open_database(&new)?
        }
        opened => opened?,
    };
    let renamed = std::fs::rename(&new, path)
        .and_then(|()| std::fs::File::open(folder))
        .and_then(|folder| folder.sync_all());
    renamed.map_err(|error| DiskError::from_io_error(path, &error))?;
    Ok(database)
}

fn open_database(path: &Path) -> Result<redb::Database, DiskError> {
    let mut options = std::fs::OpenOptions::new();
    let file = options.read(true).write(true).create(true).truncate(false).open(path);
    let file = file.map_err(|error| DiskError::from_io_error(path, &error))?;
    let to_disk_error = |error| DiskError::from_database_error(path, error);
    let backend = redb::backends::FileBackend::new(file).map_err(to_disk_error)?;
    let mut builder = redb::Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder.create_with_backend(SyncBackend(backend)).map_err(to_disk_error)
}

/// Checks the format of an open database and reads all its rows.
///
/// # Errors
/// As with [`open`].
pub fn read_all(database: redb::Database, file: PathBuf) -> Result<OpenDisk, DiskError> {
    let to_disk_error = |error: redb::Error| DiskError::from_database_error(&file, error);
    match read_or_write_format(&database).map_err(to_disk_error)? {
        FORMAT_VERSION => {}
        other => return Err(DiskError::UnknownFormat(file, other)),
    }
    let mut loaded = crate::rows::LoadedRows::new();
    for table in table_names(&database).map_err(to_disk_error)? {
        let Some(group) = crate::Group::of_table(&table) else {
            return Err(DiskError::UnknownTable(file, table));
        };
        loaded.insert(group, read_table(&database, &table).map_err(to_disk_error)?);
    }
    Ok(OpenDisk { file, database, loaded })
}

/// The format version of a database. The current version is written to a database that has none.
fn read_or_write_format(database: &redb::Database) -> Result<u32, redb::Error> {
    // A database that has a version is not written to, so it opens on a full disk as well.
    match read_format(database)? {
        Some(found) => Ok(found),
        None => write_format(database),
    }
}

fn read_format(database: &redb::Database) -> Result<Option<u32>, redb::Error> {
    let table = match database.begin_read()?.open_table(FORMAT_TABLE) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    Ok(table.get("version")?.map(|version| version.value()))
}

fn write_format(database: &redb::Database) -> Result<u32, redb::Error> {
    let transaction = database.begin_write()?;
    transaction.open_table(FORMAT_TABLE)?.insert("version", FORMAT_VERSION)?;
    transaction.commit()?;
    Ok(FORMAT_VERSION)
}

fn table_names(database: &redb::Database) -> Result<Vec<String>, redb::Error> {
    let transaction = database.begin_read()?;
    let tables = transaction.list_tables()?;
    Ok(tables.map(|table| table.name().to_owned()).filter(|name| name != "format").collect())
}

fn read_table(
    database: &redb::Database,
    name: &str,
) -> Result<std::collections::BTreeMap<String, bytes::Bytes>, redb::Error> {
    let definition = redb::TableDefinition::<&str, &[u8]>::new(name);
    let mut rows = std::collections::BTreeMap::new();
    for row in database.begin_read()?.open_table(definition)?.iter()? {
        let (key, value) = row?;
        rows.insert(key.value().to_owned(), bytes::Bytes::copy_from_slice(value.value()));
    }
    Ok(rows)
}
