//! The data folder: a lock, the generation record, the report.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// A record is a few lines; anything larger is none.
const RECORD_MOST: u64 = 4 << 10;

/// Why a data folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
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
}

/// A data folder that this process holds. The lock ends with the process, however it ends.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    _lock: File,
}

fn io(path: &Path) -> impl FnOnce(std::io::Error) -> FolderError + '_ {
    move |source| FolderError::Io { path: path.to_path_buf(), source }
}

impl Folder {
    /// Takes a folder, which is made where it is missing.
    pub fn take(path: &Path) -> Result<Folder, FolderError> {
        std::fs::create_dir_all(path).map_err(io(path))?;
        let file = path.join("lock");
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(&file).map_err(io(&file))?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.to_path_buf(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(FolderError::InUse(path.to_path_buf())),
            Err(TryLockError::Error(source)) => Err(FolderError::Io { path: file, source }),
        }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The generation record's text; `None` where there is none. What cannot be read as text counts as damaged, not as
    /// missing.
    pub fn generation(&self) -> Result<Option<String>, FolderError> {
        let path = self.path.join("generation");
        let file = match File::open(&path) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(FolderError::Io { path, source }),
        };
        let mut bytes = Vec::new();
        file.take(RECORD_MOST).read_to_end(&mut bytes).map_err(io(&path))?;
        Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
    }

    /// Writes the generation record so that a crash at any moment leaves the one before or this one, whole.
    pub fn save_generation(path: &Path, text: &str) -> Result<(), FolderError> {
        replace(path, "generation", text.as_bytes(), true)
    }

    /// Writes the report. It need not outlive a crash.
    pub fn save_report(path: &Path, text: &[u8]) -> Result<(), FolderError> {
        replace(path, "members.json", text, false)
    }

    /// The report as a running process wrote it last.
    pub fn read_report(path: &Path) -> Result<Vec<u8>, FolderError> {
        let file = path.join("members.json");
        std::fs::read(&file).map_err(io(&file))
    }

    /// Whether a process runs with a folder.
    pub fn in_use(path: &Path) -> bool {
        let Ok(lock) = OpenOptions::new().write(true).open(path.join("lock")) else { return false };
        matches!(lock.try_lock(), Err(TryLockError::WouldBlock))
    }
}

fn replace(folder: &Path, name: &str, bytes: &[u8], sync: bool) -> Result<(), FolderError> {
    let (path, fresh) = (folder.join(name), folder.join(format!("{name}.new")));
    let mut file = File::create(&fresh).map_err(io(&fresh))?;
    file.write_all(bytes).map_err(io(&fresh))?;
    if sync {
        file.sync_all().map_err(io(&fresh))?;
    }
    std::fs::rename(&fresh, &path).map_err(io(&path))?;
    if sync {
        // The name itself must be on disk, or the old record would be back after a power cut.
        File::open(folder).and_then(|f| f.sync_all()).map_err(io(folder))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_folder_has_one_holder_and_keeps_its_record() {
        let root = tempfile::tempdir().unwrap();
        let path = root.path().join("front-1");
        let folder = Folder::take(&path).unwrap();
        assert!(folder.generation().unwrap().is_none());
        assert!(matches!(Folder::take(&path), Err(FolderError::InUse(_))));
        assert!(Folder::in_use(&path));
        Folder::save_generation(&path, "one").unwrap();
        drop(folder);
        assert!(!Folder::in_use(&path));
        assert_eq!(Folder::take(&path).unwrap().generation().unwrap().as_deref(), Some("one"));
    }

    #[test]
    fn a_half_written_record_beside_the_good_one_is_passed_over() {
        let root = tempfile::tempdir().unwrap();
        Folder::save_generation(root.path(), "good").unwrap();
        std::fs::write(root.path().join("generation.new"), "ha").unwrap();
        assert_eq!(Folder::take(root.path()).unwrap().generation().unwrap().as_deref(), Some("good"));
    }
}
