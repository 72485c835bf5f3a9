//! The record format: one line of JSON for each event that an emulated service saw on a socket.
//!
//! Records are stored, so the names of variants and fields that stand in the files are part of the format: a name that
//! changes in the code keeps its word in the files.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// An event, with its time and place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unix time in nanoseconds; all services of a scenario run on one machine and share its clock.
    #[serde(rename = "t")]
    pub time_ns: u64,
    /// The service that saw it: the address of a broker or worker, or a name.
    #[serde(rename = "at")]
    pub observer: String,
    /// What was seen.
    #[serde(flatten)]
    pub seen: Seen,
}

/// The kinds of events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case")]
pub enum Seen {
    /// A broker accepted a message; within a transaction, at its commit.
    Published {
        /// The queues that it was routed to.
        queues: Vec<String>,
        /// Its routing key.
        routing_key: String,
        /// Its id.
        message_id: Option<String>,
        /// The message id of the request that this message answers.
        correlation_id: Option<String>,
        /// The queue for the answer.
        reply_to: Option<String>,
        /// The message's time to live, in milliseconds.
        expiration_ms: Option<u64>,
        /// The headers whose names begin with `pipithub-`.
        headers: BTreeMap<String, String>,
        /// The size of its body in bytes.
        size: u64,
        /// The client that sent it, by the name that it gave itself.
        client: String,
    },
    /// A broker delivered a message to a consumer.
    Delivered {
        /// The queue.
        queue: String,
        /// The message's id.
        message_id: Option<String>,
        /// The correlation id of the message.
        correlation_id: Option<String>,
        /// It had been delivered before.
        redelivered: bool,
        /// The client that received it.
        client: String,
    },
    /// A client acknowledged a message; within a transaction, at its commit.
    Acked {
        /// The queue.
        queue: String,
        /// The message's id.
        message_id: Option<String>,
        /// The client.
        client: String,
    },
    /// The connection of a client ended.
    ClientGone {
        /// The client.
        client: String,
    },
    /// A worker process accepts connections; it has no function loaded.
    WorkerUp {
        /// Requests that it can serve in a second once it has warmed up.
        capacity: f64,
        /// The fraction of the capacity that it starts with.
        cold_from: f64,
        /// Milliseconds until it has warmed up.
        ramp_ms: u64,
    },
    /// A worker failed because it was overloaded while it warmed up.
    FellOver {
        /// Requests sent to it within its overload window.
        sent: f64,
        /// Requests that it could have served within that window.
        bound: f64,
    },
    /// An attempt reached a worker.
    Call {
        /// The front end that made the attempt.
        front_end: String,
        /// The id of the request.
        request: String,
        /// The number of the attempt.
        attempt: u32,
        /// The function.
        function: String,
        /// The idempotency key.
        key: Option<String>,
    },
    /// A worker ran a request, or recognised it as a duplicate.
    Ran {
        /// The id of the request.
        request: String,
        /// The idempotency key.
        key: Option<String>,
        /// The request had taken effect before, so the worker dropped the duplicate.
        dropped: bool,
    },
    /// A worker wrote its reply to an attempt.
    Replied {
        /// The front end.
        front_end: String,
        /// The id of the request.
        request: String,
        /// The number of the attempt.
        attempt: u32,
        /// The HTTP status.
        status: u16,
        /// The reply says that the request did not run.
        not_run: bool,
    },
    /// A load or evict command reached a worker.
    Order {
        /// The front end.
        front_end: String,
        /// The function.
        function: String,
        /// The number of replicas to load; 0 evicts the idle ones.
        copies: u32,
    },
    /// A poll of the load reached a worker.
    Probe {
        /// The front end.
        front_end: String,
    },
    /// The endpoint list notified a client of the state of a worker.
    Told {
        /// The front end.
        front_end: String,
        /// The worker's address.
        worker: String,
        /// `live`, `draining` or `gone`.
        state: String,
        /// When it started, in Unix milliseconds, where the list says so.
        started_ms: Option<u64>,
    },
    /// From now on a user belongs to this tenant, according to the most current server of the directory.
    Moved {
        /// The user.
        user: String,
        /// The tenant.
        tenant: String,
    },
    /// The scenario injected a fault. No rule depends on it.
    Fault {
        /// A description for the report.
        what: String,
    },
}

impl Record {
    /// The line of this record, with its line feed.
    pub fn line(&self) -> String {
        let mut line = serde_json::to_string(self).unwrap_or_default();
        line.push('\n');
        line
    }

    /// Reads a file of lines. A last line without line feed was cut off by the end of a process and is skipped.
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

/// The error for a line that is no record.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct RecordError {
    /// The number of the line, from 1.
    pub line: usize,
    /// The error of the parser.
    pub source: serde_json::Error,
}
