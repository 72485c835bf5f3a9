//! The shell around membership: one UDP socket, the generation on disk, and a report that operators read.
//!
//! All decisions are [`pipithub_members`]'s; here bytes, files and time are moved. A data folder belongs to one
//! running process, which holds a lock on it.

mod folder;
mod report;
mod shell;

pub use folder::{Folder, FolderError};
pub use report::{Happening, MemberReport, Report};
pub use shell::{Fleet, FleetError};
