//! Opening a data folder and reading all it holds.

use redb::{ReadableDatabase as _, ReadableTable as _, TableHandle as _};

/// The version of the rows on disk.
const FORMAT: u32 = 1;
const FORMAT_TABLE: redb::TableDefinition<'static, &str, u32> =
    redb::TableDefinition::new("format");

/// Pages kept in memory. Rows are read once at the start and live in memory from then on, so that
/// a commit needs little more than the pages it touches.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// Why a data folder can't be used.
#[derive(Debug, displaydoc::Display)]
pub enum DiskError {
    /// the data folder {0:?} can't be made: {1}
    Folder(std::path::PathBuf, std::io::ErrorKind),
    /// the file {0:?} is damaged or held by another process: {1}
    Damaged(std::path::PathBuf, String),
    /// the file {0:?} is of the unknown format {1}
    UnknownFormat(std::path::PathBuf, u32),
    /// the file {0:?} holds the unknown table {1}
    UnknownTable(std::path::PathBuf, String),
}

impl std::error::Error for DiskError {}

/// A data folder that was opened.
pub struct OpenDisk {
    /// The file.
    pub database: redb::Database,
    /// Everything it held.
    pub loaded: crate::rows::Loaded,
}

/// Opens a data folder, making it if it isn't there, and reads everything in it.
///
/// # Errors
/// A file that is damaged or of an unknown format is refused, never mended by guessing.
pub fn open(folder: &std::path::Path) -> Result<OpenDisk, DiskError> {
    std::fs::create_dir_all(folder)
        .map_err(|error| DiskError::Folder(folder.to_owned(), error.kind()))?;
    let file = folder.join("node.redb");
    let mut builder = redb::Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    let database = builder
        .create(&file)
        .map_err(|error| DiskError::Damaged(file.clone(), error.to_string()))?;
    read_all(database, file)
}

/// Checks the format of a file that was opened, and reads everything in it.
///
/// # Errors
/// As with [`open`].
pub fn read_all(database: redb::Database, file: std::path::PathBuf) -> Result<OpenDisk, DiskError> {
    let damaged = |error: redb::Error| DiskError::Damaged(file.clone(), error.to_string());
    match check_format(&database).map_err(damaged)? {
        FORMAT => {}
        other => return Err(DiskError::UnknownFormat(file, other)),
    }
    let mut loaded = crate::rows::Loaded::new();
    for table in table_names(&database).map_err(damaged)? {
        let Some(group) = crate::Group::of_table(&table) else {
            return Err(DiskError::UnknownTable(file, table));
        };
        loaded.insert(group, read_table(&database, &table).map_err(damaged)?);
    }
    Ok(OpenDisk { database, loaded })
}

fn check_format(database: &redb::Database) -> Result<u32, redb::Error> {
    let transaction = database.begin_write()?;
    let found = {
        let mut table = transaction.open_table(FORMAT_TABLE)?;
        let found = table.get("version")?.map(|version| version.value());
        if found.is_none() {
            table.insert("version", FORMAT)?;
        }
        found.unwrap_or(FORMAT)
    };
    transaction.commit()?;
    Ok(found)
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
