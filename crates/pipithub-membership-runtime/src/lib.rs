//! Runs the membership of this process: one UDP socket, the generation record on disk, and a report for operators.
//!
//! All decisions are made by [`pipithub_membership`]; this crate does the I/O. A data folder belongs to one running
//! process, which holds a lock on it.

mod data_folder;
mod driver;
mod event_text;
mod report;
mod runtime;

pub use data_folder::{DataFolder, DataFolderError};
pub use report::{MemberReport, Report, ReportedEvent};
pub use runtime::{MembershipRuntime, RuntimeError};
