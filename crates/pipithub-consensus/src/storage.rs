//! The content of a voter's disk, and the batches that change it.

use serde::{Deserialize, Serialize};

/// An entry of the log in encoded form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Index of the entry in the log.
    pub index: u64,
    /// The entry, as encoded by the Raft engine.
    pub bytes: Vec<u8>,
}

/// A change of the disk, which must be synced before [`crate::Input::Persisted`] is passed. Batches are written in
/// order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// Number of the batch within this run; 0 for a compaction, which needs no confirmation.
    pub number: u64,
    /// A snapshot that replaces the former one. Without `compact_to` it is from another voter and replaces all entries.
    pub snapshot: Option<Vec<u8>>,
    /// New entries, in place of all entries from the index of the first new one.
    pub entries: Vec<LogEntry>,
    /// Raft's hard state (term, vote and commit index), if it changed.
    pub hard_state: Option<Vec<u8>>,
    /// Entries up to this index are to be removed, because the snapshot contains them.
    pub compact_to: Option<u64>,
}

/// The content of a voter's disk: the result of all batches in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredLog {
    /// The latest snapshot; `None` before the first one.
    pub snapshot: Option<Vec<u8>>,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Raft's hard state (term, vote and commit index); `None` before the first one.
    pub hard_state: Option<Vec<u8>>,
}

impl StoredLog {
    /// Applies a batch to the content.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = Some(snapshot.clone());
            if batch.compact_to.is_none() {
                // The snapshot is from another voter, and the entries on this disk do not follow it.
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
