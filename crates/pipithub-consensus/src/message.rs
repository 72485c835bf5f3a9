//! Messages between voters and clients, and the inputs and outputs of a voter.

use serde::{Deserialize, Serialize};

use crate::command::{Request, Response, TimestampedRequest};
use crate::storage::WriteBatch;

/// A message between voters, or between a voter and a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireMessage {
    /// An encoded message of the Raft engine, to another voter.
    Raft(Vec<u8>),
    /// A request of a client.
    Request(Request),
    /// The response to a request.
    Response {
        /// Name of the client.
        client: String,
        /// Id of the client's run, as in the request.
        boot_id: u64,
        /// Sequence number of the request.
        sequence: u64,
        /// Result of the command.
        response: Response,
    },
    /// The voter that received the request is not the leader, or has too many proposals in flight.
    NotLeader {
        /// Name of the client.
        client: String,
        /// Sequence number of the request.
        sequence: u64,
        /// Id of the leader, if this voter knows it.
        leader: Option<u64>,
    },
}

/// An input of [`Voter::handle`](crate::Voter::handle).
#[derive(Clone, Debug)]
pub enum Input {
    /// An encoded message of another voter's engine.
    Raft(Vec<u8>),
    /// A request of a client.
    Request(Request),
    /// The batch of this number and all before it are on disk and synced.
    Persisted(u64),
    /// The time of [`Voter::next_due`](crate::Voter::next_due) has come.
    Tick,
}

/// An action for the caller to carry out, or a change of the voter's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send an encoded message to another voter.
    Send {
        /// Id of the voter.
        to: u64,
        /// Encoded message of the Raft engine.
        bytes: Vec<u8>,
    },
    /// Send a message to a client.
    Reply {
        /// Name of the client.
        client: String,
        /// Response, or the hint that another voter is the leader.
        message: WireMessage,
    },
    /// Write this batch to disk after the batches before it, sync it, then pass [`Input::Persisted`].
    Persist(WriteBatch),
    /// A committed entry was applied to the state of this voter.
    Applied {
        /// Index of the entry.
        index: u64,
        /// Term in which it was proposed.
        term: u64,
        /// The request in it; `None` for an entry of the engine itself, or one that cannot be decoded.
        request: Option<TimestampedRequest>,
    },
    /// The state was replaced by another voter's snapshot.
    SnapshotRestored {
        /// Index of the last entry that the snapshot contains.
        index: u64,
    },
    /// This voter became the leader, or is no longer the leader.
    LeadershipChanged {
        /// Whether it is the leader now.
        is_leader: bool,
        /// Term of the change.
        term: u64,
    },
}
