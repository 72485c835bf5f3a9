//! Lines to and from workers.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use pipithub_policy::api::{LoadReport, Time};
use serde_json::Value;

/// The most bytes of an answer's line: well beyond any body that clients may send, far below a front end's memory.
pub const LINE_MOST: usize = 128 << 10;

/// The line that asks for a run; `patience` is how long the front end will wait, `key` the call's idempotency key.
pub fn run(
    call: &str,
    class: &str,
    function: &str,
    patience: Time,
    key: Option<&str>,
    body: &[u8],
) -> Bytes {
    let key = key.map_or_else(String::new, |key| format!(",\"op\":{}", Value::from(key)));
    let mut line = format!(
        "{{\"cmd\":\"DO\",\"ref\":\"{call}\",\"opts\":{{\"sort\":{},\"asset\":\"{function}\",\"patience\":{}{key}}},\"payload\":\"",
        Value::from(class),
        (patience / 1_000_000).max(1),
    );
    STANDARD.encode_string(body, &mut line);
    line.push_str("\"}\n");
    line.into()
}

/// A run to ask for, whose line is made when it is written.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// The call's name.
    pub call: String,
    /// Its class.
    pub class: String,
    /// Its function.
    pub function: Arc<str>,
    /// Its idempotency key.
    pub key: Option<Arc<str>>,
    /// Its body.
    pub body: Bytes,
}

impl RunRequest {
    /// The line, for a front end that will wait so long.
    pub fn line(&self, patience: Time) -> Bytes {
        run(
            &self.call,
            &self.class,
            &self.function,
            patience,
            self.key.as_deref(),
            &self.body,
        )
    }
}

/// The line that gives a run up.
pub fn undo(call: &str) -> Bytes {
    format!("{{\"cmd\":\"UNDO\",\"ref\":\"{call}\"}}\n").into()
}

/// The line that asks for a worker's load.
pub fn meter(tag: &str) -> Bytes {
    format!("{{\"cmd\":\"METER\",\"ref\":\"{tag}\"}}\n").into()
}

/// The line that orders copies to be held; 0 only asks.
pub fn pin(tag: &str, function: &str, copies: u32) -> Bytes {
    format!("{{\"cmd\":\"PIN\",\"ref\":\"{tag}\",\"opts\":{{\"asset\":\"{function}\",\"n\":{copies}}}}}\n")
        .into()
}

/// The line that has idle copies unloaded.
pub fn unpin(function: &str) -> Bytes {
    format!("{{\"cmd\":\"UNPIN\",\"ref\":\"{function}\"}}\n").into()
}

/// The word of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Done.
    Ok,
    /// The function is not there: it never ran.
    Absent,
    /// Full: it never ran.
    Full,
    /// An error: it may have run.
    Error,
    /// The request was over already: it never ran.
    Over,
    /// The worker is well.
    Ready,
    /// The worker is not well.
    Ailing,
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// What it answers: a call's name or a tag.
    pub reference: String,
    /// Its word.
    pub word: Word,
    /// Calls of the function that the worker held when this one came.
    pub alike: u32,
    /// The worker's report.
    pub load: LoadReport,
    /// Copies that stand loaded; with answers to orders.
    pub copies: u32,
    /// The body; with [`Word::Ok`].
    pub body: Bytes,
}

/// An answer that cannot be read: its connection is of no further use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answer: {0}")]
pub struct Spoilt(pub String);

/// Reads one line.
///
/// # Errors
/// [`Spoilt`] where it is no whole answer of this protocol.
pub fn read(line: &[u8]) -> Result<Answer, Spoilt> {
    let spoilt = |what: &str| Spoilt(what.to_string());
    let all: Value = serde_json::from_slice(line).map_err(|e| Spoilt(e.to_string()))?;
    let word = match all.get("cmd").and_then(Value::as_str) {
        Some("ACK") => Word::Ok,
        Some("NOENT") => Word::Absent,
        Some("AGAIN") => Word::Full,
        Some("EIO") => Word::Error,
        Some("STALE") => Word::Over,
        Some("READY") => Word::Ready,
        Some("AILING") => Word::Ailing,
        _ => return Err(spoilt("cmd: no word of an answer")),
    };
    let reference = match all.get("ref") {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Number(number)) => number.to_string(),
        _ => return Err(spoilt("ref: missing")),
    };
    let opts = all.get("opts");
    let option = |name: &str| opts.and_then(|o| o.get(name));
    let body = match all.get("payload") {
        None | Some(Value::Null) => Bytes::new(),
        Some(Value::String(text)) => STANDARD
            .decode(text)
            .map_err(|e| Spoilt(format!("payload: {e}")))?
            .into(),
        Some(_) => return Err(spoilt("payload: not a string")),
    };
    Ok(Answer {
        reference,
        word,
        alike: option("same").and_then(figure).unwrap_or(0.0) as u32,
        load: option("l")
            .and_then(Value::as_str)
            .map(load)
            .unwrap_or_default(),
        copies: option("n").and_then(figure).unwrap_or(0.0) as u32,
        body,
    })
}

/// A figure, which may come as a number or as text.
fn figure(value: &Value) -> Option<f64> {
    let figure = value.as_f64().or_else(|| value.as_str()?.parse().ok())?;
    Some(figure).filter(|f| f.is_finite())
}

/// A load report: `name:figure` pairs set apart by semicolons, under the short or the settings' names. What cannot be
/// read counts as not told.
pub fn load(text: &str) -> LoadReport {
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
