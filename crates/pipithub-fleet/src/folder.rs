//! The data folder: a lock, the generation record, the report.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use pipithub_storage::{Durability, FileSystem, ReplaceError, Saver, SystemFiles, Target, replace};

const GENERATION_FILE: &str = "generation";
const REPORT_FILE: &str = "members.json";
/// A record is a few lines; anything larger is none.
const RECORD_MOST: u64 = 4 << 10;

/// Why a data folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DataFolderError {
    /// Another process runs with it.
    #[error("{0}: another process runs with this folder")]
    InUse(PathBuf),
    /// The system says no.
    #[error("{path}: {source}")]
    Io {
        /// Which file.
        path: PathBuf,
        /// What it said.
        source: std::io::Error,
    },
    /// A file was not replaced.
    #[error(transparent)]
    NotReplaced(#[from] ReplaceError),
}

/// A data folder that this process holds. The lock ends with the process, however it ends.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
}

fn io(path: &Path) -> impl FnOnce(std::io::Error) -> DataFolderError + '_ {
    move |source| DataFolderError::Io {
        path: path.to_path_buf(),
        source,
    }
}

impl DataFolder {
    /// Takes a folder, which is made where it is missing.
    pub fn lock(path: &Path) -> Result<DataFolder, DataFolderError> {
        std::fs::create_dir_all(path).map_err(io(path))?;
        let file = path.join("lock");
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&file)
            .map_err(io(&file))?;
        match lock.try_lock() {
            Ok(()) => Ok(DataFolder {
                path: path.to_path_buf(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(DataFolderError::InUse(path.to_path_buf())),
            Err(TryLockError::Error(source)) => Err(DataFolderError::Io { path: file, source }),
        }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The generation record's text; `None` where there is none. What cannot be read as text counts as damaged, not as
    /// missing.
    pub fn read_generation(&self) -> Result<Option<String>, DataFolderError> {
        let path = self.path.join(GENERATION_FILE);
        let file = match File::open(&path) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(DataFolderError::Io { path, source }),
        };
        let mut bytes = Vec::new();
        file.take(RECORD_MOST)
            .read_to_end(&mut bytes)
            .map_err(io(&path))?;
        Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
    }

    /// Starts the task that saves generation records. A crash at any moment leaves the record before or the new one,
    /// whole; what it reports as saved outlives a power cut.
    pub fn start_generation_saver(&self, files: Arc<dyn FileSystem>) -> Saver {
        Saver::start(
            files,
            Target::new(self.path.join(GENERATION_FILE), Durability::Synced),
        )
    }

    /// Writes the report. It need not outlive a crash.
    pub fn save_report(path: &Path, text: &[u8]) -> Result<(), DataFolderError> {
        let target = Target::new(path.join(REPORT_FILE), Durability::Unsynced);
        Ok(replace(&SystemFiles, &target, text)?)
    }

    /// The report as a running process wrote it last.
    pub fn read_report(path: &Path) -> Result<Vec<u8>, DataFolderError> {
        let file = path.join(REPORT_FILE);
        std::fs::read(&file).map_err(io(&file))
    }

    /// Whether a process runs with a folder.
    pub fn in_use(path: &Path) -> bool {
        let Ok(lock) = OpenOptions::new().write(true).open(path.join("lock")) else {
            return false;
        };
        matches!(lock.try_lock(), Err(TryLockError::WouldBlock))
    }
}
