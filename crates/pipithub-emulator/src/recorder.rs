//! Records of what the emulations observe on their sockets, for the conformance checks.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use pipithub_conformance::record::{Record, Seen};

use crate::clock::wall_ns;

/// Writes each record completely and at once, so that a killed process loses none.
#[derive(Clone, Default)]
pub struct Recorder {
    sink: Option<Arc<Mutex<Sink>>>,
}

enum Sink {
    File(std::fs::File),
    Memory(Vec<Record>),
}

impl Recorder {
    /// Discards all records.
    pub fn none() -> Self {
        Recorder::default()
    }

    /// Appends the records to a file, one per line.
    pub fn file(path: &Path) -> std::io::Result<Self> {
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)?;
        Ok(Recorder {
            sink: Some(Arc::new(Mutex::new(Sink::File(file)))),
        })
    }

    /// Keeps records in memory, for tests in one process.
    pub fn memory() -> Self {
        Recorder {
            sink: Some(Arc::new(Mutex::new(Sink::Memory(Vec::new())))),
        }
    }

    /// Writes one record.
    pub fn note(&self, at: &str, seen: Seen) {
        let Some(sink) = &self.sink else { return };
        let record = Record {
            time_ns: wall_ns(),
            observer: at.to_string(),
            seen,
        };
        match &mut *sink.lock().unwrap_or_else(PoisonError::into_inner) {
            Sink::File(file) => {
                // A full disk must not stop the emulation; the checker sees that records are missing.
                let _ = file.write_all(record.line().as_bytes());
            }
            Sink::Memory(records) => records.push(record),
        }
    }

    /// The records so far, if they are kept in memory.
    pub fn records(&self) -> Vec<Record> {
        let Some(sink) = &self.sink else {
            return Vec::new();
        };
        match &*sink.lock().unwrap_or_else(PoisonError::into_inner) {
            Sink::File(_) => Vec::new(),
            Sink::Memory(records) => records.clone(),
        }
    }
}
