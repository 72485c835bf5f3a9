//! The log in memory, in the form that the Raft engine reads.

use protobuf::Message;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

use crate::storage::{LogEntry, StoredLog};

/// Index and term of the empty snapshot that all voters start from, so that their logs begin at the same index.
const FIRST_SNAPSHOT_INDEX: u64 = 1;
const FIRST_SNAPSHOT_TERM: u64 = 1;

/// Why a stored log cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// A snapshot, entry or hard state cannot be decoded.
    #[error("{0}")]
    Undecodable(String),
    /// The indexes of the entries are not consecutive.
    #[error("found entry {found}, expected entry {expected}")]
    OutOfOrder {
        /// Index of the entry that was read.
        found: u64,
        /// Index after that of the entry before it.
        expected: u64,
    },
    /// Entries that were committed are missing at the end.
    #[error("entries up to {committed} were committed, but the last one is {last}")]
    CommittedEntriesMissing {
        /// Index of the last committed entry, according to the hard state.
        committed: u64,
        /// Index of the last stored entry.
        last: u64,
    },
}

/// The log of one voter.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    pub(crate) entries: Vec<Entry>,
    pub(crate) hard_state: HardState,
    pub(crate) conf_state: ConfState,
}

/// Decodes a message of the engine.
pub(crate) fn decode<M: Message>(bytes: &[u8]) -> Result<M, LogError> {
    M::parse_from_bytes(bytes).map_err(|error| LogError::Undecodable(error.to_string()))
}

/// Encodes a message of the engine.
pub(crate) fn encode(message: &impl Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// Encodes an entry for the disk.
pub(crate) fn encode_entry(entry: &Entry) -> LogEntry {
    LogEntry {
        index: entry.index,
        bytes: encode(entry),
    }
}

impl Log {
    /// Loads a stored log. A log without a snapshot starts with `voters`.
    pub(crate) fn load(stored: &StoredLog, voters: &[u64]) -> Result<Log, LogError> {
        let mut log = Log::default();
        log.load_snapshot(stored, voters)?;
        if let Some(bytes) = &stored.hard_state {
            log.hard_state = decode(bytes)?;
        }
        log.raise_hard_state_to_snapshot();
        for entry in &stored.entries {
            let entry: Entry = decode(&entry.bytes)?;
            let (found, expected) = (entry.index, log.last() + 1);
            if found != expected {
                return Err(LogError::OutOfOrder { found, expected });
            }
            log.entries.push(entry);
        }
        let (committed, last) = (log.hard_state.commit, log.last());
        if committed > last {
            return Err(LogError::CommittedEntriesMissing { committed, last });
        }
        Ok(log)
    }

    fn load_snapshot(&mut self, stored: &StoredLog, voters: &[u64]) -> Result<(), LogError> {
        if let Some(bytes) = &stored.snapshot {
            self.snapshot = decode(bytes)?;
            self.conf_state = self.snapshot.get_metadata().get_conf_state().clone();
        } else {
            self.conf_state.set_voters(voters.to_vec());
            let metadata = self.snapshot.mut_metadata();
            metadata.set_conf_state(self.conf_state.clone());
            metadata.index = FIRST_SNAPSHOT_INDEX;
            metadata.term = FIRST_SNAPSHOT_TERM;
        }
        Ok(())
    }

    fn raise_hard_state_to_snapshot(&mut self) {
        let metadata = self.snapshot.get_metadata();
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.hard_state.term = self.hard_state.term.max(metadata.term);
    }

    /// Index of the first entry after the snapshot.
    fn first(&self) -> u64 {
        self.snapshot.get_metadata().index + 1
    }

    /// Index of the last entry, or of the snapshot if there is none.
    fn last(&self) -> u64 {
        self.first() + self.entries.len() as u64 - 1
    }

    /// Appends entries, in place of all entries from the index of the first new one.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        let kept = first.index.saturating_sub(self.first()) as usize;
        self.entries.truncate(kept);
        self.entries.extend_from_slice(entries);
    }

    /// Replaces the snapshot and all entries by a snapshot of another voter.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.conf_state = snapshot.get_metadata().get_conf_state().clone();
        self.entries.clear();
        self.snapshot = snapshot;
        self.raise_hard_state_to_snapshot();
    }

    /// Replaces the entries up to the index of a snapshot of this voter by that snapshot.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        self.entries.retain(|entry| entry.index > index);
        self.snapshot = snapshot;
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
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
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let (from, to) = (low - self.first(), high - self.first());
        let mut entries = self.entries[from as usize..to as usize].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let metadata = self.snapshot.get_metadata();
        if index == metadata.index {
            return Ok(metadata.term);
        }
        if index < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let position = (index - self.first()) as usize;
        self.entries
            .get(position)
            .map(|entry| entry.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
