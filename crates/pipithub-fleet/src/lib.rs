//! The shell around membership: one UDP socket, the generation on disk, and a report that operators read.
//!
//! All decisions are [`pipithub_members`]'s; here bytes, files and time are moved. A data folder belongs to one
//! running process, which holds a lock on it.

mod folder;
mod report;
mod shell;

pub use folder::{DataFolder, DataFolderError};
pub use report::{MemberReport, Report, ReportedEvent};
pub use shell::{MembershipRuntime, RuntimeError};
