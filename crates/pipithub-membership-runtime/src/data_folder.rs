//! The data folder: its lock, the generation record and the report.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use pipithub_storage::{Durability, FileSystem, ReplaceError, Saver, SystemFiles, Target, replace};

pub(crate) const GENERATION_FILE: &str = "generation";
const REPORT_FILE: &str = "members.json";
const LOCK_FILE: &str = "lock";
/// Largest number of bytes that are read from the generation record. A record has a few lines, so a longer one is
/// damaged.
const MAX_RECORD_BYTES: u64 = 4 << 10;

/// Why a data folder, or a file in it, cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DataFolderError {
    /// Another process holds the lock of this folder.
    #[error("{0}: another process runs with this folder")]
    InUse(PathBuf),
    /// An operation on a file failed.
    #[error("{path}: {source}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file could not be replaced; its former content stays.
    #[error(transparent)]
    NotReplaced(#[from] ReplaceError),
}

/// A data folder that this process has locked. The operating system releases the lock when the value is dropped or the
/// process ends, however it ends.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
}

fn io_error(path: &Path) -> impl FnOnce(std::io::Error) -> DataFolderError + '_ {
    move |source| DataFolderError::Io {
        path: path.to_path_buf(),
        source,
    }
}

impl DataFolder {
    /// Locks a folder, which is created if it is missing.
    ///
    /// # Errors
    /// [`DataFolderError::InUse`] if another process holds the lock; otherwise the folder or the lock file cannot be
    /// opened.
    pub fn lock(path: &Path) -> Result<DataFolder, DataFolderError> {
        std::fs::create_dir_all(path).map_err(io_error(path))?;
        let lock_path = path.join(LOCK_FILE);
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(io_error(&lock_path))?;
        match lock.try_lock() {
            Ok(()) => Ok(DataFolder {
                path: path.to_path_buf(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(DataFolderError::InUse(path.to_path_buf())),
            Err(TryLockError::Error(source)) => Err(DataFolderError::Io {
                path: lock_path,
                source,
            }),
        }
    }

    /// The path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The text of the generation record; `None` if there is none. Bytes that are not UTF-8 are replaced, so that
    /// the record counts as damaged and not as missing.
    ///
    /// # Errors
    /// The file exists but cannot be read.
    pub fn read_generation(&self) -> Result<Option<String>, DataFolderError> {
        let path = self.path.join(GENERATION_FILE);
        let file = match File::open(&path) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(DataFolderError::Io { path, source }),
        };
        let mut bytes = Vec::new();
        file.take(MAX_RECORD_BYTES)
            .read_to_end(&mut bytes)
            .map_err(io_error(&path))?;
        Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
    }

    /// Starts the task that saves generation records. After a crash at any time the file holds either the former record
    /// or the new one, complete. A record that is reported as saved survives a power failure.
    pub fn start_generation_saver(&self, files: Arc<dyn FileSystem>) -> Saver {
        Saver::start(
            files,
            Target::new(self.path.join(GENERATION_FILE), Durability::Synced),
        )
    }

    /// Replaces the report in the folder at `path`. The report is not synced, since it need not survive a power
    /// failure.
    ///
    /// # Errors
    /// The file cannot be replaced.
    pub fn save_report(path: &Path, text: &[u8]) -> Result<(), DataFolderError> {
        let target = Target::new(path.join(REPORT_FILE), Durability::Unsynced);
        Ok(replace(&SystemFiles, &target, text)?)
    }

    /// The last report that a process wrote to the folder at `path`.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn read_report(path: &Path) -> Result<Vec<u8>, DataFolderError> {
        let file = path.join(REPORT_FILE);
        std::fs::read(&file).map_err(io_error(&file))
    }

    /// Whether a process holds the lock of the folder at `path`; `false` if that cannot be determined.
    pub fn in_use(path: &Path) -> bool {
        let Ok(lock) = OpenOptions::new().write(true).open(path.join(LOCK_FILE)) else {
            return false;
        };
        matches!(lock.try_lock(), Err(TryLockError::WouldBlock))
    }
}
