//! Messages between voters and clients, and the inputs and outputs of a voter.

use serde::{Deserialize, Serialize};

use crate::command::{Request, Response, TimestampedRequest};
use crate::storage::WriteBatch;

/// A message between voters, or between a voter and a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireMessage {
    /// An encoded message of the Raft engine.
    Raft(Vec<u8>),
    /// A request of a client.
    Request(Request),
    /// The response to a request.
    Response {
        /// Name of the client.
        client: String,
        /// Identifies the run of the client.
        boot_id: u64,
        /// Sequence number of the request.
        sequence: u64,
        /// The response.
        response: Response,
    },
    /// The voter that got the request is not the leader.
    NotLeader {
        /// Name of the client.
        client: String,
        /// Sequence number of the request.
        sequence: u64,
        /// The leader, where this voter knows it.
        leader: Option<u64>,
    },
}

/// An input of a voter.
#[derive(Clone, Debug)]
pub enum Input {
    /// An encoded message of another voter's engine.
    Raft(Vec<u8>),
    /// A request of a client.
    Request(Request),
    /// The batch of this number, and all before it, are on disk and synced.
    Persisted(u64),
    /// Time has passed.
    Tick,
}

/// An effect for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send an encoded message to another voter.
    Send {
        /// Id of the voter.
        to: u64,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Send a message to a client.
    Reply {
        /// Name of the client.
        client: String,
        /// The message.
        message: WireMessage,
    },
    /// Write a batch to disk, in order, then pass [`Input::Persisted`].
    Persist(WriteBatch),
    /// A committed entry was applied here.
    Applied {
        /// Its index.
        index: u64,
        /// Its term.
        term: u64,
        /// The request; `None` for an entry of the engine itself.
        request: Option<TimestampedRequest>,
    },
    /// The state was restored from another voter's snapshot.
    SnapshotRestored {
        /// Index of the last entry in it.
        index: u64,
    },
    /// This voter became the leader, or ceased to be.
    LeadershipChanged {
        /// Whether it is the leader now.
        is_leader: bool,
        /// The current term.
        term: u64,
    },
}
