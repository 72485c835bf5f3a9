//! Requests to workers: attempts, load and evict commands, and load polls.

use pipithub_engine::{AttemptId, Call, Time};

use crate::escape::{content_type, header_value, path_segment};
use crate::header;

const NANOSECONDS_PER_MILLISECOND: Time = 1_000_000;

/// The head of a request to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRequest {
    /// Whether the method is `GET`, as for a load poll; otherwise it is `POST`.
    pub is_get: bool,
    /// The path, percent-encoded.
    pub path: String,
    /// The names and values of the headers, without the host and the content length.
    pub headers: Vec<(&'static str, String)>,
}

/// Less than a millisecond is left until the deadline of a request, so it must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the call's deadline is reached")]
pub struct DeadlineReached;

impl WorkerRequest {
    /// Sets [`header::TIMEOUT`] to the time that is left, in nanoseconds, rounded down to milliseconds. It must be set
    /// each time the request is written to a connection, because less time is left after a wait for one.
    ///
    /// # Errors
    ///
    /// Fails if less than a millisecond is left.
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

/// The request of an attempt, without its timeout: [`WorkerRequest::set_timeout`] must be called before the request is
/// written.
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
    match &call.message_id {
        Some(message_id) => headers.push((header::REQUEST_ID, header_value(message_id))),
        None => headers.push((
            header::REQUEST_ID,
            format!("{}-{}", header_value(front_end), id.request),
        )),
    }
    headers.extend(
        call.idempotency_key
            .as_ref()
            .map(|key| (header::IDEMPOTENCY_KEY, header_value(key))),
    );
    WorkerRequest {
        is_get: false,
        path: format!("/v2/models/{}/infer", path_segment(&call.function)),
        headers,
    }
}

/// The request of a load command. With 0 replicas it is an evict command, which unloads the idle replicas.
pub fn load_command(model: &str, replicas: u32, front_end: &str) -> WorkerRequest {
    let verb = if replicas > 0 { "load" } else { "unload" };
    WorkerRequest {
        is_get: false,
        path: format!("/v2/repository/models/{}/{verb}", path_segment(model)),
        headers: vec![
            (header::FRONT_END, header_value(front_end)),
            (header::REPLICAS, replicas.to_string()),
            ("content-type", "application/json".into()),
        ],
    }
}

/// The request of a load poll.
pub fn load_poll(front_end: &str) -> WorkerRequest {
    let headers = vec![(header::FRONT_END, header_value(front_end))];
    WorkerRequest {
        is_get: true,
        path: "/v2/health/ready".into(),
        headers,
    }
}
