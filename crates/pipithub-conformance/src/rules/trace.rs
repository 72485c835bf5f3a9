//! Groups the records of each request into one trace.

use std::collections::BTreeMap;

use super::{MS, RuleConfig};
use crate::record::{Record, Seen};

/// A delivery of a request to a front end. The order of the fields is the sort order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Delivery {
    /// When the request was delivered, in Unix nanoseconds.
    pub at: u64,
    /// Whether the broker had delivered the request before.
    pub redelivered: bool,
    /// The name of the client that received the request.
    pub client: String,
}

/// An answer to a request. The order of the fields is the sort order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Answer {
    /// When the answer was published, in Unix nanoseconds.
    pub at: u64,
    /// `served`, `refused` or `failed`.
    pub verdict: String,
}

/// Identifies an attempt of a request. The order of the fields is the sort order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The address of the worker.
    pub worker: String,
    /// The number of the attempt at its front end.
    pub number: u32,
    /// The front end that made the attempt.
    pub front_end: String,
}

/// An attempt that reached a worker. The order of the fields is the sort order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// When the attempt reached the worker, in Unix nanoseconds.
    pub at: u64,
    /// The identity of the attempt.
    pub id: AttemptId,
}

/// A worker's reply to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// When the worker wrote the reply, in Unix nanoseconds.
    pub at: u64,
    /// The attempt that the worker replied to.
    pub attempt: AttemptId,
    /// Whether the reply says that the request did not run.
    pub not_run: bool,
}

/// A request and all events that belong to it.
#[derive(Clone, Debug, Default)]
pub struct RequestTrace {
    /// When the request was published, in Unix nanoseconds.
    pub published: u64,
    /// The name of the request's class; empty if it has none.
    pub class: String,
    /// How long the client waits for the answer, in nanoseconds.
    pub timeout: u64,
    /// The deliveries to front ends, by time.
    pub deliveries: Vec<Delivery>,
    /// The answers, by time.
    pub answers: Vec<Answer>,
    /// The attempts that reached workers, by time.
    pub attempts: Vec<Attempt>,
    /// The replies of workers, in the order of the records.
    pub replies: Vec<Reply>,
    /// The times at which the request took effect, in Unix nanoseconds, sorted.
    pub effects: Vec<u64>,
}

/// Groups records by the id of the request that they belong to: the correlation id, which is unique here, as clients may
/// choose equal message ids.
pub fn request_traces(records: &[Record], config: &RuleConfig) -> BTreeMap<String, RequestTrace> {
    // Traces are created first, because the records of different services are in no common order.
    let mut traces: BTreeMap<String, RequestTrace> = records
        .iter()
        .filter_map(|record| published_request(record, config))
        .collect();
    for record in records {
        let id = request_id(&record.seen, config);
        if let Some(trace) = id.and_then(|id| traces.get_mut(id)) {
            trace.add(record);
        }
    }
    for trace in traces.values_mut() {
        trace.deliveries.sort();
        trace.answers.sort();
        trace.attempts.sort();
        trace.effects.sort_unstable();
    }
    traces
}

/// The id of a request and its new trace, if the record is the publication of a request.
fn published_request(record: &Record, config: &RuleConfig) -> Option<(String, RequestTrace)> {
    let Seen::Published {
        queues,
        message_id,
        correlation_id,
        headers,
        expiration_ms,
        ..
    } = &record.seen
    else {
        return None;
    };
    if !queues.contains(&config.queue) {
        return None;
    }
    let id = correlation_id.as_ref().or(message_id.as_ref())?;
    let class = headers.get("pipithub-class").cloned().unwrap_or_default();
    let requested_ms = headers
        .get("pipithub-budget-ms")
        .and_then(|value| value.parse::<f64>().ok())
        .map(|ms| ms as u64);
    let requested_ms = [requested_ms, *expiration_ms].into_iter().flatten().min();
    let class_timeout = config.classes.get(&class).map_or(0, |c| c.client_timeout);
    let trace = RequestTrace {
        published: record.time_ns,
        class,
        timeout: requested_ms.map_or(class_timeout, |ms| class_timeout.min(ms * MS)),
        ..RequestTrace::default()
    };
    Some((id.clone(), trace))
}

/// The id of the request that a record belongs to; `None` if it belongs to none.
fn request_id<'a>(seen: &'a Seen, config: &RuleConfig) -> Option<&'a str> {
    match seen {
        Seen::Published { correlation_id, .. } => correlation_id.as_deref(),
        Seen::Delivered {
            queue,
            message_id,
            correlation_id,
            ..
        } if *queue == config.queue => correlation_id.as_deref().or(message_id.as_deref()),
        Seen::Call { request, .. } | Seen::Replied { request, .. } | Seen::Ran { request, .. } => {
            Some(request)
        }
        _ => None,
    }
}

impl RequestTrace {
    /// Adds a record of this request.
    fn add(&mut self, record: &Record) {
        let at = record.time_ns;
        let attempt_id = |number: u32, front_end: &str| AttemptId {
            worker: record.observer.clone(),
            number,
            front_end: front_end.to_string(),
        };
        match &record.seen {
            Seen::Published { headers, .. } => {
                if let Some(verdict) = headers.get("pipithub-verdict") {
                    let verdict = verdict.clone();
                    self.answers.push(Answer { at, verdict });
                }
            }
            Seen::Delivered {
                redelivered,
                client,
                ..
            } => self.deliveries.push(Delivery {
                at,
                redelivered: *redelivered,
                client: client.clone(),
            }),
            Seen::Call {
                front_end, attempt, ..
            } => self.attempts.push(Attempt {
                at,
                id: attempt_id(*attempt, front_end),
            }),
            Seen::Replied {
                front_end,
                attempt,
                not_run,
                ..
            } => self.replies.push(Reply {
                at,
                attempt: attempt_id(*attempt, front_end),
                not_run: *not_run,
            }),
            Seen::Ran { dropped: false, .. } => self.effects.push(at),
            _ => {}
        }
    }
}
