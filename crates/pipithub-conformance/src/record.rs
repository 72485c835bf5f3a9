//! One line of JSON for each thing seen on a socket.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Something seen, when and where.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unix time in nanoseconds; all stand-ins of a drill run on one machine and share its clock.
    #[serde(rename = "t")]
    pub time_ns: u64,
    /// The stand-in that saw it: the broker's or worker's address, or its name.
    #[serde(rename = "at")]
    pub observer: String,
    /// What was seen.
    #[serde(flatten)]
    pub seen: Seen,
}

/// What was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case")]
pub enum Seen {
    /// A broker took a message, at the commit where it came in a transaction.
    Published {
        /// The queues that it reached.
        queues: Vec<String>,
        /// Its routing key.
        routing_key: String,
        /// Its id.
        message_id: Option<String>,
        /// Ties an answer to its question.
        correlation_id: Option<String>,
        /// Where the answer goes.
        reply_to: Option<String>,
        /// The message's time to live, in milliseconds.
        expiration_ms: Option<u64>,
        /// Its headers whose names begin with `pipithub-`.
        headers: BTreeMap<String, String>,
        /// Bytes of its body.
        size: u64,
        /// The client that sent it, by its own word.
        client: String,
    },
    /// A broker handed a message to a consumer.
    Delivered {
        /// The queue.
        queue: String,
        /// The message's id.
        message_id: Option<String>,
        /// Ties an answer to its question.
        correlation_id: Option<String>,
        /// It had been delivered before.
        redelivered: bool,
        /// The client that got it.
        client: String,
    },
    /// A message was acknowledged, at the commit where this came in a transaction.
    Acked {
        /// The queue.
        queue: String,
        /// The message's id.
        message_id: Option<String>,
        /// The client.
        client: String,
    },
    /// A client's connection ended.
    ClientGone {
        /// The client.
        client: String,
    },
    /// A worker process is up and takes connections; it holds nothing.
    WorkerUp {
        /// Calls that it can serve in a second when warm.
        capacity: f64,
        /// The share of it that it starts with.
        cold_from: f64,
        /// Milliseconds until it is warm.
        ramp_ms: u64,
    },
    /// A worker fell over: it was sent too much while cold.
    FellOver {
        /// What was sent within the span, in calls.
        sent: f64,
        /// What would have been borne.
        bound: f64,
    },
    /// A call reached a worker.
    Call {
        /// The front end that sent it.
        front_end: String,
        /// The call's own name.
        request: String,
        /// The attempt.
        attempt: u32,
        /// The model.
        function: String,
        /// The key under which repeats are dropped.
        key: Option<String>,
    },
    /// A worker ran a call, or found that its effect had been done before.
    Ran {
        /// The call's own name.
        request: String,
        /// The key.
        key: Option<String>,
        /// Its effect had been done before: the repeat was dropped.
        dropped: bool,
    },
    /// A worker's reply to a call is written.
    Replied {
        /// The front end.
        front_end: String,
        /// The call's own name.
        request: String,
        /// The attempt.
        attempt: u32,
        /// The status.
        status: u16,
        /// The reply says that the call did not run.
        not_run: bool,
    },
    /// An order reached a worker.
    Order {
        /// The front end.
        front_end: String,
        /// The model.
        function: String,
        /// Copies to hold; 0: unload the idle ones.
        copies: u32,
    },
    /// A probe reached a worker.
    Probe {
        /// The front end.
        front_end: String,
    },
    /// The list server wrote to a client how a worker stands.
    Told {
        /// The front end.
        front_end: String,
        /// The worker's address.
        worker: String,
        /// `live`, `draining` or `gone`.
        state: String,
        /// Unix milliseconds of its start, where told.
        started_ms: Option<u64>,
    },
    /// A user is this tenant's from now on, by the newest server of its directory.
    Moved {
        /// The user.
        user: String,
        /// The tenant.
        tenant: String,
    },
    /// The drill did something, for the report alone: no rule is decided by it.
    Fault {
        /// What.
        what: String,
    },
}

impl Record {
    /// The line of this record, with its end.
    pub fn line(&self) -> String {
        let mut line = serde_json::to_string(self).unwrap_or_default();
        line.push('\n');
        line
    }

    /// Reads a file of lines; a last line cut off by a killed process is passed over.
    pub fn read_all(text: &str) -> Result<Vec<Record>, RecordError> {
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let read = |(n, line): (usize, &str)| {
            serde_json::from_str(line).map_err(|source| RecordError {
                line: n + 1,
                source,
            })
        };
        whole
            .lines()
            .enumerate()
            .filter(|(_, l)| !l.is_empty())
            .map(read)
            .collect()
    }
}

/// A line that is no record.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct RecordError {
    /// Which, from 1.
    pub line: usize,
    /// Why.
    pub source: serde_json::Error,
}
