//! The log as the engine reads it, and as it stands on disk.

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use serde::{Deserialize, Serialize};

/// An entry as bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its place.
    pub index: u64,
    /// Its form.
    pub bytes: Vec<u8>,
}

/// What has to be on disk, synced, before [`crate::Input::Persisted`] is said. Batches are stored in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// Its number within this run.
    pub number: u64,
    /// A snapshot, in place of the whole log before it.
    pub snapshot: Option<Vec<u8>>,
    /// Entries; whatever stood from the first one's place on gives way.
    pub entries: Vec<LogEntry>,
    /// The vote and term.
    pub hard_state: Option<Vec<u8>>,
    /// Entries up to here may be dropped; the snapshot holds them.
    pub compact_to: Option<u64>,
}

/// What a voter's disk holds: batches taken in one after the other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredLog {
    /// The last snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Entries after it.
    pub entries: Vec<LogEntry>,
    /// The vote and term.
    pub hard_state: Option<Vec<u8>>,
}

impl StoredLog {
    /// Takes in a batch.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = Some(snapshot.clone());
            if batch.compact_to.is_none() {
                // From another voter: what was here is not its continuation.
                self.entries.clear();
            }
        }
        if let Some(first) = batch.entries.first() {
            self.entries.retain(|e| e.index < first.index);
            self.entries.extend(batch.entries.iter().cloned());
        }
        if let Some(compact) = batch.compact_to {
            self.entries.retain(|e| e.index > compact);
        }
        if let Some(hard) = &batch.hard_state {
            self.hard_state = Some(hard.clone());
        }
    }
}

/// What the engine reads.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    pub(crate) entries: Vec<Entry>,
    pub(crate) hard_state: HardState,
    pub(crate) conf_state: ConfState,
}

pub(crate) fn decode<M: protobuf::Message>(bytes: &[u8]) -> std::result::Result<M, String> {
    M::parse_from_bytes(bytes).map_err(|e| e.to_string())
}

impl Log {
    /// What a disk holds; `voters` count where it is empty.
    pub(crate) fn load(disk: &StoredLog, voters: &[u64]) -> std::result::Result<Log, String> {
        let mut log = Log::default();
        log.conf_state.set_voters(voters.to_vec());
        if let Some(bytes) = &disk.snapshot {
            log.snapshot = decode(bytes)?;
            log.conf_state = log.snapshot.get_metadata().get_conf_state().clone();
        } else {
            // All start from one first snapshot, so that each log begins at the same place.
            log.snapshot
                .mut_metadata()
                .set_conf_state(log.conf_state.clone());
            (
                log.snapshot.mut_metadata().index,
                log.snapshot.mut_metadata().term,
            ) = (1, 1);
        }
        if let Some(bytes) = &disk.hard_state {
            log.hard_state = decode(bytes)?;
        }
        log.hard_state.commit = log.hard_state.commit.max(log.snapshot.get_metadata().index);
        log.hard_state.term = log.hard_state.term.max(log.snapshot.get_metadata().term);
        for entry in &disk.entries {
            let parsed: Entry = decode(&entry.bytes)?;
            let next = log.last() + 1;
            if parsed.index != next {
                return Err(format!(
                    "entry {} stands where {next} belongs",
                    parsed.index
                ));
            }
            log.entries.push(parsed);
        }
        if log.hard_state.commit > log.last() {
            return Err(format!(
                "{} entries were agreed, {} are here",
                log.hard_state.commit,
                log.last()
            ));
        }
        Ok(log)
    }

    fn first(&self) -> u64 {
        self.snapshot.get_metadata().index + 1
    }

    pub(crate) fn last(&self) -> u64 {
        self.first() + self.entries.len() as u64 - 1
    }

    /// Takes in new entries; whatever stood from the first one's place on gives way.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(begin) = entries.first().map(|e| e.index) else {
            return;
        };
        let keep = begin.saturating_sub(self.first()) as usize;
        self.entries.truncate(keep);
        self.entries.extend_from_slice(entries);
    }

    /// Begins anew from a snapshot of another voter.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.conf_state = snapshot.get_metadata().get_conf_state().clone();
        self.hard_state.commit = self.hard_state.commit.max(snapshot.get_metadata().index);
        self.hard_state.term = self.hard_state.term.max(snapshot.get_metadata().term);
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Puts an own snapshot in place of what it holds.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        self.entries.retain(|e| e.index > index);
        self.snapshot = snapshot;
    }
}

pub(crate) fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

pub(crate) fn encode_entry(entry: &Entry) -> LogEntry {
    LogEntry {
        index: entry.index,
        bytes: entry.write_to_bytes().unwrap_or_default(),
    }
}

impl Storage for Log {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState {
            hard_state: self.hard_state.clone(),
            conf_state: self.conf_state.clone(),
        })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let from = (low - self.first()) as usize;
        let mut entries = self.entries[from..(high - self.first()) as usize].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        let meta = self.snapshot.get_metadata();
        if index == meta.index {
            return Ok(meta.term);
        }
        if index < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let at = (index - self.first()) as usize;
        self.entries
            .get(at)
            .map(|e| e.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
