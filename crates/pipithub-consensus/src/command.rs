//! Commands to the consensus group, the requests that carry them, and the responses.

use serde::{Deserialize, Serialize};

use crate::Time;

/// A command to the consensus group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Starts a new epoch of a front end. Commands under an earlier epoch are then answered with [`Response::Fenced`].
    NewEpoch,
    /// Acquires a lease, or extends one that the same run holds.
    AcquireLease {
        /// Name of the lease.
        lease: String,
        /// Epoch of the sender.
        epoch: u64,
        /// Duration of the lease in nanoseconds, from when the log applies the command. A duration over ten minutes is
        /// shortened to ten minutes.
        duration: Time,
    },
    /// Releases a lease before it expires.
    ReleaseLease {
        /// Name of the lease.
        lease: String,
        /// Epoch under which the lease was granted.
        epoch: u64,
    },
    /// Sets the version of the settings that the cluster is to use. Versions only increase.
    SetSettings {
        /// Number of the version.
        version: u64,
        /// Digest of the text of the settings.
        digest: u64,
    },
    /// Advances the log's time. Leaders propose it periodically; otherwise leases would expire only when a request
    /// arrives.
    AdvanceClock,
}

/// A command with its sender. Each command of a run has its own sequence number, by which retries are recognised.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the front end.
    pub client: String,
    /// Id of the run of the front end. Each start under the same name is a run with its own id.
    pub boot_id: u64,
    /// Number of the command within the run, from 1.
    pub sequence: u64,
    /// The command to execute.
    pub command: Command,
}

/// A request in the log, with the time at which it takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimestampedRequest {
    /// The log's time in nanoseconds, as stamped by the leader that proposed the entry.
    pub at: Time,
    /// The request to apply.
    pub request: Request,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The new epoch of the front end.
    Epoch(u64),
    /// The lease is granted. The holder counts its duration from when it first sent the request.
    Granted,
    /// Another run holds the lease.
    HeldByOther {
        /// Name of the lease holder.
        holder: String,
        /// Time until the lease expires unless it is extended, in nanoseconds.
        remaining: Time,
    },
    /// The epoch in the command is not the current epoch of the front end.
    Fenced {
        /// The current epoch; 0 if the front end has none.
        epoch: u64,
    },
    /// The command was carried out.
    Done,
    /// The version was not set, because the current one is the same or later.
    NotNewer {
        /// Number of the current version.
        version: u64,
    },
    /// The command was not carried out, because the state holds its largest number of clients or leases.
    LimitReached,
    /// A later command of this run was already carried out, so that the response to this retry is no longer known.
    Superseded,
}
