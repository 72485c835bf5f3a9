//! Handles the results of the Raft engine: messages, entries to persist, committed entries and snapshots.

use raft::eraftpb::{Entry, EntryType, Message, Snapshot};
use raft::{Ready, StateRole, Storage};

use super::{ClockBase, Voter};
use crate::command::{Command, Request, TimestampedRequest};
use crate::log::{encode, encode_entry};
use crate::message::{Output, WireMessage};
use crate::storage::WriteBatch;

/// Number of applied entries after which a snapshot replaces them.
const COMPACTION_ENTRIES: u64 = 1_000;

/// The output that sends a message of the engine.
pub(super) fn send_output(message: &Message) -> Output {
    Output::Send {
        to: message.to,
        bytes: encode(message),
    }
}

fn decode_request(entry: &Entry) -> Option<TimestampedRequest> {
    let is_request = entry.get_entry_type() == EntryType::EntryNormal && !entry.data.is_empty();
    is_request
        .then(|| postcard::from_bytes(&entry.data).ok())
        .flatten()
}

impl Voter {
    /// Handles all results that the engine has ready.
    pub(super) fn process_ready(&mut self, out: &mut Vec<Output>) {
        self.draw_election_timeout();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            for message in ready.take_messages() {
                out.push(send_output(&message));
            }
            let batch = self.apply_ready(&mut ready, out);
            // Empty batches are persisted too, because the engine waits for the number of each.
            let messages = ready.take_persisted_messages();
            self.node.advance_append_async(ready);
            self.awaiting_persistence.insert(batch.number, messages);
            out.push(Output::Persist(batch));
            if self.restoring_batch.is_none() {
                self.node.advance_apply_to(self.applied);
            }
        }
        self.update_leadership(out);
        self.compact_log(out);
    }

    /// Applies the snapshot, committed entries, new entries and hard state, and returns the batch to persist.
    fn apply_ready(&mut self, ready: &mut Ready, out: &mut Vec<Output>) -> WriteBatch {
        let mut batch = WriteBatch {
            number: ready.number(),
            ..WriteBatch::default()
        };
        if !ready.snapshot().is_empty() {
            let snapshot = ready.snapshot().clone();
            batch.snapshot = Some(encode(&snapshot));
            self.restoring_batch = Some(batch.number);
            self.restore_snapshot(snapshot, out);
        }
        for entry in ready.take_committed_entries() {
            self.apply_entry(&entry, out);
        }
        if !ready.entries().is_empty() {
            batch.entries = ready.entries().iter().map(encode_entry).collect();
            self.node.mut_store().append(ready.entries());
        }
        if let Some(hard_state) = ready.hs() {
            batch.hard_state = Some(encode(hard_state));
            self.node.mut_store().hard_state = hard_state.clone();
        }
        batch
    }

    fn apply_entry(&mut self, entry: &Entry, out: &mut Vec<Output>) {
        self.applied = self.applied.max(entry.index);
        let request = decode_request(entry);
        out.push(Output::Applied {
            index: entry.index,
            term: entry.term,
            request: request.clone(),
        });
        let Some(request) = request else { return };
        let response = self.state.apply(&request);
        self.proposals_in_flight = self.proposals_in_flight.saturating_sub(1);
        let Request {
            client,
            boot_id,
            sequence,
            command,
        } = request.request;
        if self.is_leader && command != Command::AdvanceClock {
            let message = WireMessage::Response {
                client: client.clone(),
                boot_id,
                sequence,
                response,
            };
            out.push(Output::Reply { client, message });
        }
    }

    fn restore_snapshot(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        let index = snapshot.get_metadata().index;
        if let Ok(state) = postcard::from_bytes(snapshot.get_data()) {
            self.state = state;
        }
        self.applied = self.applied.max(index);
        self.node.mut_store().restore(snapshot);
        out.push(Output::SnapshotRestored { index });
    }

    /// Reports a change of leadership, and bases the log's time on the latest timestamp in the log from now on.
    fn update_leadership(&mut self, out: &mut Vec<Output>) {
        let is_leader = self.node.raft.state == StateRole::Leader;
        if is_leader == self.is_leader {
            return;
        }
        self.is_leader = is_leader;
        self.clock_base = ClockBase {
            log_time: self.latest_log_time(),
            local_time: self.now,
        };
        self.proposals_in_flight = 0;
        out.push(Output::LeadershipChanged {
            is_leader,
            term: self.node.raft.term,
        });
    }

    /// The latest timestamp in the log or the state. If this voter is the leader, an entry with a later timestamp
    /// cannot be committed any more, because it is not in the leader's log.
    fn latest_log_time(&self) -> u64 {
        let timestamp = |entry: &Entry| {
            postcard::from_bytes::<TimestampedRequest>(&entry.data).map_or(0, |request| request.at)
        };
        let entries = self.node.store().entries.iter();
        let newest = entries.map(timestamp).max().unwrap_or(0);
        newest.max(self.state.clock())
    }

    /// Replaces the applied entries of a long log by a snapshot.
    fn compact_log(&mut self, out: &mut Vec<Output>) {
        let snapshot_index = self.node.store().snapshot.get_metadata().index;
        // While batches are pending, entries that the compaction would remove may not be on disk yet.
        if self.applied < snapshot_index + COMPACTION_ENTRIES
            || !self.awaiting_persistence.is_empty()
        {
            return;
        }
        let Some(snapshot) = self.snapshot() else {
            return;
        };
        let bytes = encode(&snapshot);
        self.node.mut_store().compact(snapshot);
        out.push(Output::Persist(WriteBatch {
            number: 0,
            snapshot: Some(bytes),
            compact_to: Some(self.applied),
            ..WriteBatch::default()
        }));
    }

    /// A snapshot of the state that this voter has applied.
    fn snapshot(&self) -> Option<Snapshot> {
        let log = self.node.store();
        let term = Storage::term(log, self.applied).ok()?;
        let data = postcard::to_stdvec(&self.state).ok()?;
        let mut snapshot = Snapshot::default();
        snapshot.set_data(data.into());
        let metadata = snapshot.mut_metadata();
        metadata.set_conf_state(log.conf_state.clone());
        metadata.index = self.applied;
        metadata.term = term;
        Some(snapshot)
    }
}
