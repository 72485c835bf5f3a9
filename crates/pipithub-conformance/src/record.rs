//! The record format: one line of JSON for each event that an emulated service saw on a socket.
//!
//! Records are stored in files, so the serialized names of variants and fields are part of the format. A name that
//! changes in the code keeps its serialized form.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// An event, with its time and the service that saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unix time in nanoseconds; all services of a scenario run on one machine and share its clock.
    #[serde(rename = "t")]
    pub time_ns: u64,
    /// The service that saw the event: its address, or a name such as `directory`.
    #[serde(rename = "at")]
    pub observer: String,
    /// The event itself.
    #[serde(flatten)]
    pub seen: Seen,
}

/// The kinds of events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case")]
pub enum Seen {
    /// A broker accepted a message; within a transaction, at its commit.
    Published {
        /// The queues that the message was routed to.
        queues: Vec<String>,
        /// The routing key of the message.
        routing_key: String,
        /// The message id; `None` if the message has none.
        message_id: Option<String>,
        /// The correlation id, which in an answer is the message id of its request; `None` if the message has none.
        correlation_id: Option<String>,
        /// The queue that the answer is expected on; `None` if the message names none.
        reply_to: Option<String>,
        /// The message's time to live, in milliseconds; `None` if it has no valid one.
        expiration_ms: Option<u64>,
        /// The headers whose names begin with `pipithub-`.
        headers: BTreeMap<String, String>,
        /// The size of the body in bytes.
        size: u64,
        /// The name that the sending client gave itself.
        client: String,
    },
    /// A broker delivered a message to a consumer.
    Delivered {
        /// The queue that the message was delivered from.
        queue: String,
        /// The message id; `None` if the message has none.
        message_id: Option<String>,
        /// The correlation id of the message; `None` if the message has none.
        correlation_id: Option<String>,
        /// Whether the message had been delivered before.
        redelivered: bool,
        /// The name of the receiving client.
        client: String,
    },
    /// A client acknowledged a message; within a transaction, at its commit.
    Acked {
        /// The queue that the message was delivered from.
        queue: String,
        /// The message id; `None` if the message has none.
        message_id: Option<String>,
        /// The name of the client.
        client: String,
    },
    /// The connection of a client ended.
    ClientGone {
        /// The name of the client.
        client: String,
    },
    /// A worker process began to accept connections; it has no function loaded.
    WorkerUp {
        /// Requests per second that the worker can serve once it has warmed up.
        capacity: f64,
        /// The part of the capacity that the worker starts with, from 0 to 1.
        cold_from: f64,
        /// The time until the worker has warmed up, in milliseconds.
        ramp_ms: u64,
    },
    /// A worker failed because it was overloaded while it warmed up.
    #[serde(rename = "fell-over")]
    Overloaded {
        /// Requests that arrived within the worker's overload window.
        sent: f64,
        /// The number of requests within that window beyond which the worker fails, without its tolerance.
        bound: f64,
    },
    /// An attempt reached a worker.
    Call {
        /// The front end that made the attempt.
        front_end: String,
        /// The id of the request.
        request: String,
        /// The number of the attempt at its front end.
        attempt: u32,
        /// The requested function.
        function: String,
        /// The idempotency key; `None` if the request has none.
        key: Option<String>,
    },
    /// A worker ran a request, or recognised it as a duplicate.
    Ran {
        /// The id of the request.
        request: String,
        /// The idempotency key; `None` if the request has none.
        key: Option<String>,
        /// Whether the worker dropped the request as a duplicate, because it had taken effect before.
        dropped: bool,
    },
    /// A worker wrote its reply to an attempt.
    Replied {
        /// The front end that made the attempt.
        front_end: String,
        /// The id of the request.
        request: String,
        /// The number of the attempt at its front end.
        attempt: u32,
        /// The HTTP status of the reply.
        status: u16,
        /// Whether the reply says that the request did not run.
        not_run: bool,
    },
    /// A command to load or unload replicas reached a worker.
    #[serde(rename = "order")]
    LoadCommand {
        /// The front end that sent the command.
        front_end: String,
        /// The function to load or unload.
        function: String,
        /// The number of replicas to load; 0 for a command to unload idle replicas.
        #[serde(rename = "copies")]
        replicas: u32,
    },
    /// A load poll reached a worker.
    #[serde(rename = "probe")]
    LoadPoll {
        /// The front end that sent the poll.
        front_end: String,
    },
    /// The endpoint list notified a client of the state of a worker.
    #[serde(rename = "told")]
    EndpointNotified {
        /// The front end that was notified.
        front_end: String,
        /// The address of the worker.
        worker: String,
        /// The state of the worker: `live`, `draining` or `gone`.
        state: String,
        /// When the worker started, in Unix milliseconds; `None` if the list does not say.
        started_ms: Option<u64>,
    },
    /// A user belongs to this tenant from now on, according to the servers of the directory that are up to date.
    #[serde(rename = "moved")]
    UserMigrated {
        /// The user's name.
        user: String,
        /// The new tenant of the user.
        tenant: String,
    },
    /// The scenario injected a fault. No rule depends on it.
    Fault {
        /// The description of the fault.
        what: String,
    },
}

impl Record {
    /// The record as one line of JSON, with its line feed.
    pub fn line(&self) -> String {
        let mut line = serde_json::to_string(self).unwrap_or_default();
        line.push('\n');
        line
    }

    /// Reads all records from the text of a file. Empty lines are skipped, and so is a last line without a line feed,
    /// which was truncated when the process that wrote it ended.
    ///
    /// Fails at the first other line that is not a valid record.
    pub fn read_all(text: &str) -> Result<Vec<Record>, RecordError> {
        let complete = text.rfind('\n').map_or("", |end| &text[..end]);
        let read = |(n, line): (usize, &str)| {
            serde_json::from_str(line).map_err(|source| RecordError {
                line: n + 1,
                source,
            })
        };
        complete
            .lines()
            .enumerate()
            .filter(|(_, l)| !l.is_empty())
            .map(read)
            .collect()
    }
}

/// The error of a line that is not a valid record.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct RecordError {
    /// The number of the line, from 1.
    pub line: usize,
    /// The error of the parser.
    pub source: serde_json::Error,
}
