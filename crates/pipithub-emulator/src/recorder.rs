//! Records of what the emulations observe on their sockets, for the conformance checks.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use pipithub_conformance::record::{Record, Seen};

use crate::clock::wall_ns;

/// Writes records of traffic. Each is written at once, so that a killed process loses none. Clones share the sink.
#[derive(Clone, Default)]
pub struct Recorder {
    sink: Option<Arc<Mutex<Sink>>>,
}

enum Sink {
    File(std::fs::File),
    Memory(Vec<Record>),
}

impl Recorder {
    /// A recorder that discards all records.
    pub fn none() -> Self {
        Recorder::default()
    }

    /// A recorder that appends records to a file, one per line. Fails if the file cannot be opened.
    pub fn file(path: &Path) -> std::io::Result<Self> {
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)?;
        Ok(Recorder {
            sink: Some(Arc::new(Mutex::new(Sink::File(file)))),
        })
    }

    /// A recorder that keeps records in memory, for tests within one process.
    pub fn memory() -> Self {
        Recorder {
            sink: Some(Arc::new(Mutex::new(Sink::Memory(Vec::new())))),
        }
    }

    /// Writes a record with the current time; `observer` is the service that saw the event.
    pub fn record(&self, observer: &str, seen: Seen) {
        let Some(sink) = &self.sink else { return };
        let record = Record {
            time_ns: wall_ns(),
            observer: observer.to_string(),
            seen,
        };
        match &mut *sink.lock().unwrap_or_else(PoisonError::into_inner) {
            Sink::File(file) => {
                // A full disk must not stop the emulation; the checks notice missing records.
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
