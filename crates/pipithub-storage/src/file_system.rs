//! The system calls that a replacement makes.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A file that was just created.
pub trait WritableFile: Send {
    /// Writes a part of the bytes; how many. It may be fewer than given.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Waits until the content is on disk.
    fn sync(&mut self) -> io::Result<()>;
}

/// A file system, as far as a replacement needs one.
pub trait FileSystem: Send + Sync {
    /// Creates a file, which must not exist yet.
    fn create_new(&self, path: &Path) -> io::Result<Box<dyn WritableFile>>;

    /// Renames a file over another one.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Waits until the names in a folder are on disk.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// The operating system's files.
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
