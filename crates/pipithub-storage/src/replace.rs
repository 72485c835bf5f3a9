//! Atomic replacement of a file through a temporary file and a rename.

use std::ffi::OsString;
use std::fmt;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

use crate::file_system::{FileSystem, WritableFile};

/// Whether a replacement must survive a power failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The file and its name are synced before success is reported.
    Synced,
    /// Nothing is synced. As long as the system runs, readers still see either the old content or the complete new one.
    Unsynced,
}

/// A step of a replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Removing the temporary file of an interrupted replacement.
    RemoveStale,
    /// Creating the temporary file.
    Create,
    /// Writing the temporary file.
    Write,
    /// Syncing the temporary file.
    SyncFile,
    /// Renaming the temporary file over the target.
    Rename,
    /// Syncing the folder that holds the target.
    SyncFolder,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::RemoveStale => "removing a stale file",
            Step::Create => "creating",
            Step::Write => "writing",
            Step::SyncFile => "syncing",
            Step::Rename => "renaming",
            Step::SyncFolder => "syncing the folder",
        })
    }
}

/// A replacement failed. The file holds either the old or the complete new content; a power failure may change which.
#[derive(Debug, thiserror::Error)]
#[error("{step} {}: {source}", path.display())]
pub struct ReplaceError {
    /// The step that failed.
    pub step: Step,
    /// The file or folder of that step.
    pub path: PathBuf,
    /// The error of the system call.
    pub source: io::Error,
}

/// A file to replace, and the temporary file beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    path: PathBuf,
    temporary: PathBuf,
    durability: Durability,
}

impl Target {
    /// The file at `path`, which has a single writer.
    pub fn new(path: impl Into<PathBuf>, durability: Durability) -> Self {
        Target::with_suffix(path.into(), ".new", durability)
    }

    /// The file at `path`, which several writers replace. Each needs a name of its own, which becomes part of the name
    /// of its temporary file: two writers of one temporary file would mix their contents.
    pub fn shared(path: impl Into<PathBuf>, writer: &str, durability: Durability) -> Self {
        Target::with_suffix(path.into(), &format!(".{writer}.new"), durability)
    }

    fn with_suffix(path: PathBuf, suffix: &str, durability: Durability) -> Self {
        let mut temporary = OsString::from(path.as_os_str());
        temporary.push(suffix);
        Target {
            path,
            temporary: temporary.into(),
            durability,
        }
    }

    /// Path of the file to replace.
    pub fn path(&self) -> &Path {
        &self.path
    }

    fn folder(&self) -> &Path {
        match self.path.parent() {
            Some(folder) if !folder.as_os_str().is_empty() => folder,
            _ => Path::new("."),
        }
    }
}

/// Replaces the content of a file. A crash at any time leaves either the old content or the complete new one.
///
/// A retry must be a further call, which writes a new temporary file: after a failed sync the kernel may treat the
/// pages as clean, so that a second sync of the same file would succeed although nothing was written.
///
/// # Errors
/// The first step that failed.
pub fn replace(
    files: &dyn FileSystem,
    target: &Target,
    content: &[u8],
) -> Result<(), ReplaceError> {
    let outcome = write_and_rename(files, target, content);
    if outcome.is_err() {
        // Frees the space on a full disk. If it fails, the next replacement removes the file.
        let _ = files.remove(&target.temporary);
    }
    outcome
}

fn write_and_rename(
    files: &dyn FileSystem,
    target: &Target,
    content: &[u8],
) -> Result<(), ReplaceError> {
    let Target {
        path,
        temporary,
        durability,
    } = target;
    match files.remove(temporary) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
    .map_err(failed(Step::RemoveStale, temporary))?;
    let mut file = files
        .create_new(temporary)
        .map_err(failed(Step::Create, temporary))?;
    write_all(&mut *file, content).map_err(failed(Step::Write, temporary))?;
    if *durability == Durability::Synced {
        file.sync().map_err(failed(Step::SyncFile, temporary))?;
    }
    files
        .rename(temporary, path)
        .map_err(failed(Step::Rename, path))?;
    if *durability == Durability::Synced {
        // Without this, the path could refer to the old file again after a power failure.
        files
            .sync_folder(target.folder())
            .map_err(failed(Step::SyncFolder, target.folder()))?;
    }
    Ok(())
}

fn write_all(file: &mut dyn WritableFile, mut rest: &[u8]) -> io::Result<()> {
    while !rest.is_empty() {
        match file.write(rest) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => rest = rest.get(count..).unwrap_or_default(),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn failed(step: Step, path: &Path) -> impl FnOnce(io::Error) -> ReplaceError + '_ {
    move |source| ReplaceError {
        step,
        path: path.to_path_buf(),
        source,
    }
}
