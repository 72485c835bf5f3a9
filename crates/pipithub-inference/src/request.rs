//! Requests to workers: attempts, load and evict commands, and polls of their load.

use pipithub_engine::{AttemptId, Call, Time};

use crate::escape::{content_type, header_value, segment};
use crate::header;

const NANOSECONDS_PER_MILLISECOND: Time = 1_000_000;

/// A request to a worker. Its method is always `POST` but for polls of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRequest {
    /// `GET` instead of `POST`.
    pub get: bool,
    /// Path, percent-encoded.
    pub path: String,
    /// Headers beside host and content length.
    pub headers: Vec<(&'static str, String)>,
}

/// Too little of the request's time is left to be told to a worker: its request must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the call's deadline is reached")]
pub struct DeadlineReached;

impl WorkerRequest {
    /// Sets [`header::TIMEOUT`] from the time that is left, rounded down to whole milliseconds.
    ///
    /// To be called each time the request is put on a connection: what is left shrinks while it waits for one.
    pub fn set_timeout(&mut self, left: Time) -> Result<(), DeadlineReached> {
        let milliseconds = left / NANOSECONDS_PER_MILLISECOND;
        if milliseconds == 0 {
            return Err(DeadlineReached);
        }
        self.headers.retain(|(name, _)| *name != header::TIMEOUT);
        self.headers
            .push((header::TIMEOUT, milliseconds.to_string()));
        Ok(())
    }
}

/// The request of an attempt; [`WorkerRequest::set_timeout`] is due before it is written.
pub fn infer(call: &Call, id: AttemptId, front_end: &str) -> WorkerRequest {
    let mut headers = vec![
        (header::ATTEMPT, id.number.to_string()),
        (header::FRONT_END, header_value(front_end)),
        (header::REPLICA_MEMORY, call.memory_mb.to_string()),
        (
            header::REPLICA_CONCURRENCY,
            call.replica_concurrency.to_string(),
        ),
        (
            "content-type",
            call.content_type
                .as_deref()
                .map_or("application/json".into(), content_type),
        ),
    ];
    match &call.label {
        Some(label) => headers.push((header::REQUEST, header_value(label))),
        None => headers.push((
            header::REQUEST,
            format!("{}-{}", header_value(front_end), id.request),
        )),
    }
    headers.extend(
        call.idempotency_key
            .as_ref()
            .map(|key| (header::IDEMPOTENCY_KEY, header_value(key))),
    );
    WorkerRequest {
        get: false,
        path: format!("/v2/models/{}/infer", segment(&call.function)),
        headers,
    }
}

/// A load command; with 0 replicas it is an evict command, which unloads the idle ones.
pub fn load_command(model: &str, replicas: u32, front_end: &str) -> WorkerRequest {
    let verb = if replicas > 0 { "load" } else { "unload" };
    WorkerRequest {
        get: false,
        path: format!("/v2/repository/models/{}/{verb}", segment(model)),
        headers: vec![
            (header::FRONT_END, header_value(front_end)),
            (header::REPLICAS, replicas.to_string()),
            ("content-type", "application/json".into()),
        ],
    }
}

/// A poll of a worker's load.
pub fn load_poll(front_end: &str) -> WorkerRequest {
    let headers = vec![(header::FRONT_END, header_value(front_end))];
    WorkerRequest {
        get: true,
        path: "/v2/health/ready".into(),
        headers,
    }
}
