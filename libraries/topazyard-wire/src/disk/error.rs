//! Why a data folder can't be used.

use std::path::{Path, PathBuf};

/// Why a data folder can't be used.
#[derive(Debug, displaydoc::Display)]
pub enum DiskError {
    /// the disk that holds {0:?} is full
    Full(PathBuf),
    /// the file {0:?} is held by another process
    Locked(PathBuf),
    /// the file {0:?} is damaged: {1}
    Damaged(PathBuf, String),
    /// the file {0:?} is of the unknown format {1}
    UnknownFormat(PathBuf, u32),
    /// the file {0:?} holds the unknown table {1}
    UnknownTable(PathBuf, String),
    /// {0:?} can't be read or written: {1}
    Failed(PathBuf, String),
}

impl std::error::Error for DiskError {}

impl DiskError {
    /// What an error of the database means for its file.
    pub fn from_database_error(file: &Path, error: impl Into<redb::Error>) -> Self {
        let file = file.to_owned();
        match error.into() {
            redb::Error::Io(error) => Self::from_io_error(&file, &error),
            redb::Error::DatabaseAlreadyOpen | redb::Error::LockProtocolMismatch => {
                Self::Locked(file)
            }
            redb::Error::UpgradeRequired(version) => Self::UnknownFormat(file, version.into()),
            error @ (redb::Error::PreviousIo
            | redb::Error::DatabaseClosed
            | redb::Error::LockPoisoned(_)
            | redb::Error::Backend(_)) => Self::Failed(file, error.to_string()),
            error => Self::Damaged(file, error.to_string()),
        }
    }

    /// What an error of the operating system means for a file or folder.
    ///
    /// ```
    /// use std::io::{Error, ErrorKind};
    /// use topazyard_wire::disk::DiskError;
    /// let of = |kind| DiskError::from_io_error("node.redb".as_ref(), &Error::from(kind));
    /// assert!(matches!(of(ErrorKind::StorageFull), DiskError::Full(_)));
    /// assert!(matches!(of(ErrorKind::InvalidData), DiskError::Damaged(..)));
    /// assert!(matches!(of(ErrorKind::PermissionDenied), DiskError::Failed(..)));
    /// ```
    pub fn from_io_error(file: &Path, error: &std::io::Error) -> Self {
        use std::io::ErrorKind;
        let file = file.to_owned();
        match error.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded => Self::Full(file),
            ErrorKind::InvalidData | ErrorKind::UnexpectedEof => {
                Self::Damaged(file, error.to_string())
            }
            _ => Self::Failed(file, error.to_string()),
        }
    }
}
