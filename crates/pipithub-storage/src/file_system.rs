//! The system calls by which a file is replaced.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A file that was created for writing.
pub trait WritableFile: Send {
    /// Writes bytes and returns how many were written, which may be fewer than given.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Waits until the content is on disk (`fsync`).
    fn sync(&mut self) -> io::Result<()>;
}

/// The operations of a file system that a replacement needs. All errors are those of the system call.
pub trait FileSystem: Send + Sync {
    /// Creates a file for writing. Fails if it exists.
    fn create_new(&self, path: &Path) -> io::Result<Box<dyn WritableFile>>;

    /// Renames a file, in place of an existing one at `to`.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes the file at this path.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Waits until the directory entries of a folder are on disk (`fsync` of the folder).
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemFiles;

struct SystemFile(File);

impl WritableFile for SystemFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_all()
    }
}

impl FileSystem for SystemFiles {
    fn create_new(&self, path: &Path) -> io::Result<Box<dyn WritableFile>> {
        let file = OpenOptions::new().write(true).create_new(true).open(path)?;
        Ok(Box::new(SystemFile(file)))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}
