//! Where the stand-ins write down what they see.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use pipithub_conformance::record::{Record, Seen};

use crate::clock::wall_ns;

/// Writes records, each whole and at once: a killed process loses none that was seen.
#[derive(Clone, Default)]
pub struct Recorder {
    sink: Option<Arc<Mutex<Sink>>>,
}

enum Sink {
    File(std::fs::File),
    Memory(Vec<Record>),
}

impl Recorder {
    /// Writes nothing down.
    pub fn none() -> Self {
        Recorder::default()
    }

    /// Appends to a file.
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

    /// Writes one thing down.
    pub fn note(&self, at: &str, seen: Seen) {
        let Some(sink) = &self.sink else { return };
        let record = Record {
            time_ns: wall_ns(),
            observer: at.to_string(),
            seen,
        };
        match &mut *sink.lock().unwrap_or_else(PoisonError::into_inner) {
            Sink::File(file) => {
                // A full disk must not stop the stand-in; the checker sees that records are missing.
                let _ = file.write_all(record.line().as_bytes());
            }
            Sink::Memory(records) => records.push(record),
        }
    }

    /// What was written down so far, where it is kept in memory.
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
