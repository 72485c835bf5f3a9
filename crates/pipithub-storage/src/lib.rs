//! Atomic, durable replacement of small files.
//!
//! [`replace`] leaves either the old content or the complete new one, wherever it fails or the process ends. [`Saver`]
//! keeps one file at the newest content that it was given: it retries with exponential backoff, and reports a version
//! as saved only after every step of its replacement has succeeded. Both use a [`FileSystem`], so that tests can make
//! each system call fail.

mod backoff;
mod file_system;
mod replace;
mod saver;

pub use backoff::Backoff;
pub use file_system::{FileSystem, SystemFiles, WritableFile};
pub use replace::{Durability, ReplaceError, Step, Target, replace};
pub use saver::Saver;
