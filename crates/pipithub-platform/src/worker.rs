//! Lines to and from workers.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use pipithub_policy::api::{LoadReport, Time};
use serde_json::Value;

/// The maximum size of an answer line, in bytes: well beyond any body that clients may send, far below the memory of a
/// front end.
pub const MAX_LINE_BYTES: usize = 128 << 10;

/// The line that asks a worker to run a call. `timeout` is how long the front end will wait for the answer, in
/// nanoseconds; the line states it in milliseconds, at least 1. `key` is the idempotency key of the call; `None` if it
/// has none.
pub fn run_line(
    call: &str,
    class: &str,
    function: &str,
    timeout: Time,
    key: Option<&str>,
    body: &[u8],
) -> Bytes {
    let key = key.map_or_else(String::new, |key| format!(",\"op\":{}", Value::from(key)));
    let mut line = format!(
        "{{\"cmd\":\"DO\",\"ref\":\"{call}\",\"opts\":{{\"sort\":{},\"asset\":\"{function}\",\"patience\":{}{key}}},\"payload\":\"",
        Value::from(class),
        (timeout / 1_000_000).max(1),
    );
    STANDARD.encode_string(body, &mut line);
    line.push_str("\"}\n");
    line.into()
}

/// A request to run a call. Its line is built only when it is written, because it states the remaining time.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// The name of the call, which the answer repeats.
    pub call: String,
    /// The name of the class of the call.
    pub class: String,
    /// The name of the function to run.
    pub function: Arc<str>,
    /// The idempotency key of the call; `None` if it has none.
    pub key: Option<Arc<str>>,
    /// The body of the call, not encoded.
    pub body: Bytes,
}

impl RunRequest {
    /// The line to write. `timeout` is how long the front end will wait for the answer, in nanoseconds.
    pub fn line(&self, timeout: Time) -> Bytes {
        run_line(
            &self.call,
            &self.class,
            &self.function,
            timeout,
            self.key.as_deref(),
            &self.body,
        )
    }
}

/// The line that cancels a run.
pub fn cancel_line(call: &str) -> Bytes {
    format!("{{\"cmd\":\"UNDO\",\"ref\":\"{call}\"}}\n").into()
}

/// The line that polls a worker's load; the answer repeats `tag`.
pub fn poll_load_line(tag: &str) -> Bytes {
    format!("{{\"cmd\":\"METER\",\"ref\":\"{tag}\"}}\n").into()
}

/// The line of a health check; the answer repeats `tag`. Unlike the answer to a load poll, it has no load report.
pub fn health_check_line(tag: &str) -> Bytes {
    format!("{{\"cmd\":\"ECHO\",\"ref\":\"{tag}\"}}\n").into()
}

/// The line of a load command for this number of replicas; 0 only asks how many are loaded. The answer repeats `tag`.
pub fn load_function_line(tag: &str, function: &str, replicas: u32) -> Bytes {
    format!("{{\"cmd\":\"PIN\",\"ref\":\"{tag}\",\"opts\":{{\"asset\":\"{function}\",\"n\":{replicas}}}}}\n")
        .into()
}

/// The line of an evict command for the idle replicas of a function; workers do not answer it.
pub fn evict_function_line(function: &str) -> Bytes {
    format!("{{\"cmd\":\"UNPIN\",\"ref\":\"{function}\"}}\n").into()
}

/// The status of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// The request was carried out.
    Served,
    /// The function is not loaded: the call did not run.
    NotLoaded,
    /// The worker is at capacity: the call did not run.
    Rejected,
    /// An error: the call may have run.
    Failed,
    /// The timeout of the call had passed: the call did not run.
    Expired,
    /// The worker is healthy.
    Healthy,
    /// The worker is not healthy.
    Unhealthy,
}

/// An answer of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The request that is answered: the name of a call, or the tag of another request.
    pub reference: String,
    /// The result of the request.
    pub status: AnswerStatus,
    /// The number of calls of the function that the worker had in flight when this call arrived; 0 if not stated.
    pub function_concurrency: u32,
    /// The load report of the worker.
    pub load_report: LoadReport,
    /// The number of loaded replicas, in answers to load commands; 0 if not stated.
    pub replicas: u32,
    /// The decoded body; empty unless the call was served.
    pub body: Bytes,
}

/// The reason why an answer cannot be read. Its connection should be closed, because further answers on it may be lost.
#[derive(Debug, thiserror::Error)]
pub enum MalformedAnswer {
    /// The line is not JSON.
    #[error("answer: {0}")]
    Json(#[from] serde_json::Error),
    /// The status is missing or unknown.
    #[error("answer: cmd: missing or unknown")]
    UnknownStatus,
    /// The answer does not name the request that it answers.
    #[error("answer: ref: missing")]
    MissingReference,
    /// The body is not a string.
    #[error("answer: payload: not a string")]
    BodyNotText,
    /// The body is not base64.
    #[error("answer: payload: {0}")]
    BodyNotBase64(#[from] base64::DecodeError),
}

/// Parses the line of an answer.
///
/// # Errors
/// Returns a [`MalformedAnswer`] if the line is not a complete answer of this protocol.
pub fn read_answer(line: &[u8]) -> Result<Answer, MalformedAnswer> {
    let root: Value = serde_json::from_slice(line)?;
    let status = match root.get("cmd").and_then(Value::as_str) {
        Some("ACK") => AnswerStatus::Served,
        Some("NOENT") => AnswerStatus::NotLoaded,
        Some("AGAIN") => AnswerStatus::Rejected,
        Some("EIO") => AnswerStatus::Failed,
        Some("STALE") => AnswerStatus::Expired,
        Some("READY") => AnswerStatus::Healthy,
        Some("AILING") => AnswerStatus::Unhealthy,
        _ => return Err(MalformedAnswer::UnknownStatus),
    };
    let reference = match root.get("ref") {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Number(number)) => number.to_string(),
        _ => return Err(MalformedAnswer::MissingReference),
    };
    let opts = root.get("opts");
    let option = |name: &str| opts.and_then(|o| o.get(name));
    let body = match root.get("payload") {
        None | Some(Value::Null) => Bytes::new(),
        Some(Value::String(text)) => STANDARD.decode(text)?.into(),
        Some(_) => return Err(MalformedAnswer::BodyNotText),
    };
    Ok(Answer {
        reference,
        status,
        function_concurrency: option("same").and_then(finite_number).unwrap_or(0.0) as u32,
        load_report: option("l")
            .and_then(Value::as_str)
            .map(read_load_report)
            .unwrap_or_default(),
        replicas: option("n").and_then(finite_number).unwrap_or(0.0) as u32,
        body,
    })
}

/// The finite number that a value states as a JSON number or as text; `None` if it states none.
fn finite_number(value: &Value) -> Option<f64> {
    let number = value.as_f64().or_else(|| value.as_str()?.parse().ok())?;
    Some(number).filter(|number| number.is_finite())
}

/// Parses a load report: `name:number` pairs separated by semicolons, with the short names or those of the settings. A
/// value that cannot be read counts as not stated, and unknown names are ignored.
pub fn read_load_report(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        let slot = match name {
            "inflight" | "rif" => &mut load.in_flight,
            "util" | "busy" => &mut load.cpu_utilization,
            "x0" => &mut load.pinned_memory,
            "x1" => &mut load.pending_loads,
            _ => continue,
        };
        *slot = value.parse().ok().filter(|f: &f64| f.is_finite());
    }
    load
}
