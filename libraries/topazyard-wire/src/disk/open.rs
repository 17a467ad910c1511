//! Opening a data folder and reading all it holds.

use super::{DiskError, SyncBackend};
use redb::{ReadableDatabase as _, ReadableTable as _, TableHandle as _};
use std::path::{Path, PathBuf};

/// The version of the rows on disk.
const FORMAT: u32 = 1;
const FORMAT_TABLE: redb::TableDefinition<'static, &str, u32> =
    redb::TableDefinition::new("format");

/// Pages kept in memory. Rows are read once at the start and live in memory from then on, so that
/// a commit needs little more than the pages it touches.
const CACHE_BYTES: usize = 4 * 1024 * 1024;
/// The name of the file in its folder.
pub(super) const FILE: &str = "node.redb";
/// Its name until it is a whole, empty database.
const NEW_FILE: &str = "node.redb.new";
/// The name of the file by which room is looked for.
const PROBE: &str = "node.room";
/// How much room there must be before a file that found none is opened again: opening it reads all
/// of it, so that it isn't done for nothing.
const ROOM_BYTES: usize = 256 * 1024;

/// A data folder that was opened.
pub struct OpenDisk {
    /// The path of the file.
    pub file: PathBuf,
    /// The file.
    pub database: redb::Database,
    /// Everything it held.
    pub loaded: crate::rows::LoadedRows,
}

/// The file of a data folder, open and read.
pub struct OpenFile {
    /// The folder.
    pub folder: PathBuf,
    /// The file in it.
    pub database: redb::Database,
}

/// Opens a data folder, making it if it isn't there, and reads everything in it.
///
/// # Errors
/// A file that is damaged or of an unknown format is refused, never mended by guessing. A disk that
/// is full is said to be full: what it holds may be opened once there is room.
pub fn open(folder: &Path) -> Result<OpenDisk, DiskError> {
    std::fs::create_dir_all(folder).map_err(|error| DiskError::from_io_error(folder, &error))?;
    read_all(open_file(folder)?, folder.join(FILE))
}

/// Opens the file of a folder whose disk was full, once there is room in it.
///
/// # Errors
/// As with [`open`].
pub fn reopen(folder: &Path) -> Result<redb::Database, DiskError> {
    check_free_space(folder)?;
    open_file(folder)
}

/// Looks whether there is room in a folder, by writing a file that is removed again.
///
/// # Errors
/// The disk is full, or the folder can't be written.
pub fn check_free_space(folder: &Path) -> Result<(), DiskError> {
    let probe = folder.join(PROBE);
    let written = std::fs::File::create(&probe).and_then(|mut file| {
        std::io::Write::write_all(&mut file, &vec![0; ROOM_BYTES])?;
        file.sync_all()
    });
    // One that stays is written over by the next.
    let _ = std::fs::remove_file(&probe);
    written.map_err(|error| DiskError::from_io_error(folder, &error))
}

fn open_file(folder: &Path) -> Result<redb::Database, DiskError> {
    let path = folder.join(FILE);
    match path.try_exists() {
        Ok(true) => open_database(&path),
        Ok(false) => make_file(folder, &path),
        Err(error) => Err(DiskError::from_io_error(&path, &error)),
    }
}

/// Makes the file under another name and gives it its own once it is whole. A file that lacks its
/// first pages for want of room or power would otherwise look damaged for ever.
fn make_file(folder: &Path, path: &Path) -> Result<redb::Database, DiskError> {
    let new = folder.join(NEW_FILE);
    let database = match open_database(&new) {
        Err(DiskError::Damaged(..)) => {
            // It was never whole, so nothing was ever kept in it.
            std::fs::File::create(&new).map_err(|error| DiskError::from_io_error(&new, &error))?;
            open_database(&new)?
        }
        opened => opened?,
    };
    let named = std::fs::rename(&new, path)
        .and_then(|()| std::fs::File::open(folder))
        .and_then(|folder| folder.sync_all());
    named.map_err(|error| DiskError::from_io_error(path, &error))?;
    Ok(database)
}

fn open_database(path: &Path) -> Result<redb::Database, DiskError> {
    let mut options = std::fs::OpenOptions::new();
    let file = options.read(true).write(true).create(true).truncate(false).open(path);
    let file = file.map_err(|error| DiskError::from_io_error(path, &error))?;
    let of_database = |error| DiskError::from_database_error(path, error);
    let backend = redb::backends::FileBackend::new(file).map_err(of_database)?;
    let mut builder = redb::Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder.create_with_backend(SyncBackend(backend)).map_err(of_database)
}

/// Checks the format of a file that was opened, and reads everything in it.
///
/// # Errors
/// As with [`open`].
pub fn read_all(database: redb::Database, file: PathBuf) -> Result<OpenDisk, DiskError> {
    let of_database = |error: redb::Error| DiskError::from_database_error(&file, error);
    match settled_format(&database).map_err(of_database)? {
        FORMAT => {}
        other => return Err(DiskError::UnknownFormat(file, other)),
    }
    let mut loaded = crate::rows::LoadedRows::new();
    for table in table_names(&database).map_err(of_database)? {
        let Some(group) = crate::Group::of_table(&table) else {
            return Err(DiskError::UnknownTable(file, table));
        };
        loaded.insert(group, read_table(&database, &table).map_err(of_database)?);
    }
    Ok(OpenDisk { file, database, loaded })
}

/// The format of a file; one that has none yet gets the present one.
fn settled_format(database: &redb::Database) -> Result<u32, redb::Error> {
    // A file that has one needs no write, and so no room.
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
    transaction.open_table(FORMAT_TABLE)?.insert("version", FORMAT)?;
    transaction.commit()?;
    Ok(FORMAT)
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
