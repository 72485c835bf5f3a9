//! What a voter has on disk, and how it is changed.

use serde::{Deserialize, Serialize};

/// An encoded entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its index.
    pub index: u64,
    /// The encoded entry.
    pub bytes: Vec<u8>,
}

/// A change that must be on disk and synced before [`crate::Input::Persisted`] is passed. Batches are written in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// Its number within this run.
    pub number: u64,
    /// A snapshot that replaces the whole log before it.
    pub snapshot: Option<Vec<u8>>,
    /// Entries; they replace everything from the index of the first one on.
    pub entries: Vec<LogEntry>,
    /// Raft's hard state: term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
    /// Entries up to this index may be dropped, because the snapshot contains them.
    pub compact_to: Option<u64>,
}

/// What a voter has on disk: all batches, applied in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredLog {
    /// The last snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
    /// Raft's hard state: term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
}

impl StoredLog {
    /// Applies a batch.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = Some(snapshot.clone());
            if batch.compact_to.is_none() {
                // The snapshot is from another voter: the entries here do not continue it.
                self.entries.clear();
            }
        }
        if let Some(first) = batch.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend(batch.entries.iter().cloned());
        }
        if let Some(compact_to) = batch.compact_to {
            self.entries.retain(|entry| entry.index > compact_to);
        }
        if let Some(hard_state) = &batch.hard_state {
            self.hard_state = Some(hard_state.clone());
        }
    }
}
