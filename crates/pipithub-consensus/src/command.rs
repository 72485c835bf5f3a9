//! Commands to the consensus group, the requests that carry them, and the responses.

use serde::{Deserialize, Serialize};

use crate::Time;

/// A command to the consensus group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Starts a new epoch of a front end; whatever it does under an earlier epoch is fenced off.
    NewEpoch,
    /// Acquires a lease or extends it.
    AcquireLease {
        /// Name of the lease.
        lease: String,
        /// Epoch that the front end acts under.
        epoch: u64,
        /// Duration of the lease, from when the log applies the command.
        duration: Time,
    },
    /// Releases a lease before it expires.
    ReleaseLease {
        /// Name of the lease.
        lease: String,
        /// Epoch that the front end acts under.
        epoch: u64,
    },
    /// Sets the version of the settings that the cluster is to use; it only grows.
    SetSettings {
        /// Number of the version.
        version: u64,
        /// Digest of the text of the settings.
        digest: u64,
    },
    /// Advances the log's time. Leaders propose it now and then, or leases would only expire when a request arrives.
    AdvanceClock,
}

/// A command with its sender. The sequence number grows with each new command of a run, so that retries are recognised.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the front end.
    pub client: String,
    /// Identifies the run of the front end.
    pub boot_id: u64,
    /// Counts the commands of the run.
    pub sequence: u64,
    /// The command.
    pub command: Command,
}

/// A request as it is in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimestampedRequest {
    /// The log's time, from the leader that proposed it.
    pub at: Time,
    /// The request.
    pub request: Request,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The epoch that the front end acts under from now on.
    Epoch(u64),
    /// The lease is granted for the requested duration, counted from when it was requested.
    Granted,
    /// Another run holds the lease.
    HeldByOther {
        /// Name of the lease holder.
        holder: String,
        /// Time until the lease expires, at most.
        remaining: Time,
    },
    /// The epoch is over, because the name has a later one.
    Fenced {
        /// The later epoch.
        epoch: u64,
    },
    /// The command was carried out.
    Done,
    /// The settings already have this version, which is not older.
    NotNewer {
        /// The current version.
        version: u64,
    },
    /// The state holds as much as it may.
    LimitReached,
    /// A later command of this run has its response already; this retry came too late to matter.
    Superseded,
}
