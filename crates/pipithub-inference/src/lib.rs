//! What workers are told and tell over HTTP/1.1, without I/O.
//!
//! Calls follow the Open Inference Protocol (V2), orders its model repository extension, load reports the ORCA header
//! `endpoint-load-metrics`. The headers of this project's own are listed in [`header`]. [`outcome`] is where a reply
//! becomes an outcome of the decision module; it never claims that a call did not run unless the worker said so.

pub mod orca;

use std::borrow::Cow;

use pipithub_engine::policy::{LoadReport, Outcome, ReplicaStatus};
use pipithub_engine::{AttemptId, Call, Time};
use serde::{Deserialize, Serialize};

const NANOSECONDS_PER_MILLISECOND: Time = 1_000_000;

/// Names of the headers that are this project's own, and of the standard ones it reads.
pub mod header {
    /// To the worker: whole milliseconds that an answer is of use for.
    pub const TIMEOUT: &str = "pipithub-timeout-ms";
    /// To the worker: which attempt of the call this is, from 0.
    pub const ATTEMPT: &str = "pipithub-attempt";
    /// To the worker: the front end that asks.
    pub const FRONT_END: &str = "pipithub-front-end";
    /// To the worker: the call's own name.
    pub const REQUEST: &str = "x-request-id";
    /// To the worker: the key under which it drops repeats (the IETF draft's header).
    pub const KEY: &str = "idempotency-key";
    /// To the worker: memory in MB and lanes of one copy of the model.
    pub const MEMORY: &str = "pipithub-model-memory-mb";
    /// To the worker: calls that one copy runs at a time.
    pub const LANES: &str = "pipithub-model-lanes";
    /// From the worker: `no` proves that the call did not run.
    pub const RAN: &str = "pipithub-ran";
    /// From the worker: `warm`, `began`, `waited` or `failed`.
    pub const COPY: &str = "pipithub-copy";
    /// From the worker: calls of the same model that it held when this one came.
    pub const ALIKE: &str = "pipithub-alike";
    /// From the worker: copies that stand loaded, after an order.
    pub const COPIES: &str = "pipithub-copies";
    /// From the worker: its load, by ORCA.
    pub const LOAD: &str = "endpoint-load-metrics";
}

/// A request to a worker. Its method is always `POST` but for probes.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRequest {
    /// `GET` instead of `POST`.
    pub get: bool,
    /// Path, percent-encoded.
    pub path: String,
    /// Headers beside host and content length.
    pub headers: Vec<(&'static str, String)>,
}

/// Too little of the call's time is left to be told to a worker: its request must not be sent.
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

/// A model's name as a path segment.
fn segment(name: &str) -> Cow<'_, str> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    if !name.is_empty() && name.bytes().all(plain) && !matches!(name, "." | "..") {
        return Cow::Borrowed(name);
    }
    let mut out = String::with_capacity(name.len() * 3);
    for b in name.bytes() {
        match b {
            b if b.is_ascii_alphanumeric() || b"-_~".contains(&b) => out.push(char::from(b)),
            b => out.push_str(&format!("%{b:02X}")),
        }
    }
    Cow::Owned(out)
}

/// The name in a path segment; `None` where its escapes are broken.
pub fn unescape(segment: &str) -> Option<String> {
    let mut out = Vec::with_capacity(segment.len());
    let mut bytes = segment.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'%' => {
                let digit = |b: Option<u8>| b.and_then(|b| char::from(b).to_digit(16));
                let (high, low) = (digit(bytes.next())?, digit(bytes.next())?);
                out.push((high * 16 + low) as u8);
            }
            b => out.push(b),
        }
    }
    String::from_utf8(out).ok()
}

/// Header values are visible ASCII; what is not is escaped as in a path.
fn value(text: &str) -> String {
    if text.bytes().all(|b| (0x21..0x7f).contains(&b) && b != b'%') {
        text.to_string()
    } else {
        segment(text).into_owned()
    }
}

/// The request of an attempt; [`WorkerRequest::set_timeout`] is due before it is written.
pub fn infer(call: &Call, id: AttemptId, front_end: &str) -> WorkerRequest {
    let mut headers = vec![
        (header::ATTEMPT, id.number.to_string()),
        (header::FRONT_END, value(front_end)),
        (header::MEMORY, call.memory_mb.to_string()),
        (header::LANES, call.replica_concurrency.to_string()),
        (
            "content-type",
            call.content_type
                .as_deref()
                .map_or("application/json".into(), plain_type),
        ),
    ];
    match &call.label {
        Some(label) => headers.push((header::REQUEST, value(label))),
        None => headers.push((
            header::REQUEST,
            format!("{}-{}", value(front_end), id.request),
        )),
    }
    headers.extend(
        call.idempotency_key
            .as_ref()
            .map(|key| (header::KEY, value(key))),
    );
    WorkerRequest {
        get: false,
        path: format!("/v2/models/{}/infer", segment(&call.function)),
        headers,
    }
}

/// A content type that may stand in a header.
fn plain_type(kind: &str) -> String {
    if kind.bytes().all(|b| (0x20..0x7f).contains(&b)) {
        kind.to_string()
    } else {
        "application/octet-stream".into()
    }
}

/// The request of an order; 0 copies unload the idle ones.
pub fn order(model: &str, copies: u32, front_end: &str) -> WorkerRequest {
    let verb = if copies > 0 { "load" } else { "unload" };
    WorkerRequest {
        get: false,
        path: format!("/v2/repository/models/{}/{verb}", segment(model)),
        headers: vec![
            (header::FRONT_END, value(front_end)),
            (header::COPIES, copies.to_string()),
            ("content-type", "application/json".into()),
        ],
    }
}

/// The request of a probe.
pub fn probe(front_end: &str) -> WorkerRequest {
    let headers = vec![(header::FRONT_END, value(front_end))];
    WorkerRequest {
        get: true,
        path: "/v2/health/ready".into(),
        headers,
    }
}

/// One line of the repository's index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// The model.
    pub name: String,
    /// `READY`, `LOADING` or `UNAVAILABLE`.
    pub state: String,
    /// Why it is not ready.
    #[serde(default)]
    pub reason: String,
}

/// What a reply tells of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// How it ended.
    pub outcome: Outcome,
    /// What it met there.
    pub note: Option<ReplicaStatus>,
    /// Calls of the model that the worker held.
    pub alike: Option<u32>,
    /// The worker's load.
    pub load: LoadReport,
}

/// Reads the status and headers of a reply to a call.
///
/// | reply | outcome |
/// | --- | --- |
/// | 2xx | served |
/// | 404 with `pipithub-ran: no` | the model is not there: never ran |
/// | 429, or any error with `pipithub-ran: no` | turned away: never ran |
/// | 400, 405 to 407, 410 to 422, 431 | served: the worker's word on the call itself, no other worker would say else |
/// | everything else | an error; it may have run |
pub fn outcome<'a>(status: u16, headers: impl Fn(&str) -> Option<&'a str>) -> Told {
    let note = match headers(header::COPY) {
        Some("warm") => Some(ReplicaStatus::Warm),
        Some("began") => Some(ReplicaStatus::LoadStarted),
        Some("waited") => Some(ReplicaStatus::LoadAwaited),
        Some("failed") => Some(ReplicaStatus::LoadFailed),
        _ => None,
    };
    let not_run = headers(header::RAN) == Some("no");
    let outcome = match status {
        200..=299 => Outcome::Served,
        404 if not_run => Outcome::NotLoaded,
        // A load that failed under the call: it never ran, and the copy is not there.
        500..=599 if not_run && note == Some(ReplicaStatus::LoadFailed) => Outcome::NotLoaded,
        429 => Outcome::Rejected,
        _ if not_run => Outcome::Rejected,
        400 | 405..=407 | 410..=422 | 431 => Outcome::Served,
        _ => Outcome::Error,
    };
    Told {
        outcome,
        note,
        alike: headers(header::ALIKE).and_then(|v| v.parse().ok()),
        load: headers(header::LOAD).map(load).unwrap_or_default(),
    }
}

/// Reads the status of a reply to an order, and the copies that stand. Only a load that failed is an error: it is what
/// the module shuts the store for, and want of room at one worker must not do that.
pub fn order_outcome<'a>(status: u16, headers: impl Fn(&str) -> Option<&'a str>) -> (Outcome, u32) {
    let copies = headers(header::COPIES).and_then(|v| v.parse().ok());
    // The extension itself tells no number; a load that was done has left one at least.
    let outcome = match status {
        200..=299 => return (Outcome::Served, copies.unwrap_or(1)),
        429 => Outcome::Rejected,
        _ if headers(header::COPY) == Some("failed") => Outcome::Error,
        _ if headers(header::RAN) == Some("no") => Outcome::Rejected,
        _ => Outcome::Error,
    };
    (outcome, copies.unwrap_or(0))
}

/// The module's view of an ORCA report. What cannot be read counts as not told.
pub fn load(report: &str) -> LoadReport {
    let Ok(report) = orca::Report::parse(report) else {
        return LoadReport::default();
    };
    LoadReport {
        in_flight: report.get("named_metrics.inflight"),
        cpu_utilization: report.get("cpu_utilization"),
        pinned_memory: report.get("mem_utilization"),
        pending_loads: report.get("named_metrics.loading"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(status: u16, headers: &[(&str, &'static str)]) -> Told {
        outcome(status, |name| {
            headers.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
        })
    }

    #[test]
    fn a_reply_claims_no_more_than_it_says() {
        let not_run = (header::RAN, "no");
        assert_eq!(told(200, &[]).outcome, Outcome::Served);
        assert_eq!(told(400, &[]).outcome, Outcome::Served);
        assert_eq!(
            told(404, &[]).outcome,
            Outcome::Error,
            "what answered may not be the worker"
        );
        assert_eq!(told(404, &[not_run]).outcome, Outcome::NotLoaded);
        assert_eq!(told(429, &[]).outcome, Outcome::Rejected);
        assert_eq!(
            told(503, &[]).outcome,
            Outcome::Error,
            "a proxy's 503 may hide a call that ran"
        );
        assert_eq!(told(503, &[not_run]).outcome, Outcome::Rejected);
        assert_eq!(
            told(503, &[not_run, (header::COPY, "failed")]).outcome,
            Outcome::NotLoaded
        );
        assert_eq!(told(502, &[]).outcome, Outcome::Error);
        for status in 100..1000 {
            let never = told(status, &[]).outcome.never_ran();
            assert!(!never || status == 429, "{status}");
        }
    }

    #[test]
    fn want_of_room_is_no_failed_load() {
        let told = |status, headers: &[(&str, &'static str)]| {
            order_outcome(status, |name| {
                headers.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
            })
        };
        let not_run = (header::RAN, "no");
        assert_eq!(told(200, &[]), (Outcome::Served, 1));
        assert_eq!(told(200, &[(header::COPIES, "3")]), (Outcome::Served, 3));
        assert_eq!(told(429, &[(header::COPIES, "2")]), (Outcome::Rejected, 2));
        assert_eq!(told(503, &[not_run]), (Outcome::Rejected, 0));
        assert_eq!(
            told(503, &[not_run, (header::COPY, "failed")]),
            (Outcome::Error, 0)
        );
        assert_eq!(told(500, &[]), (Outcome::Error, 0));
    }

    #[test]
    fn notes_and_loads_are_read() {
        let told = told(
            200,
            &[
                (header::COPY, "began"),
                (header::ALIKE, "3"),
                (
                    header::LOAD,
                    "TEXT cpu_utilization=0.5,mem_utilization=0.25,named_metrics.inflight=7",
                ),
            ],
        );
        assert_eq!(
            (told.note, told.alike),
            (Some(ReplicaStatus::LoadStarted), Some(3))
        );
        let load = LoadReport {
            in_flight: Some(7.0),
            cpu_utilization: Some(0.5),
            pinned_memory: Some(0.25),
            pending_loads: None,
        };
        assert_eq!(told.load, load);
    }

    #[test]
    fn any_name_makes_a_path_and_comes_back() {
        for name in ["resnet", "../admin", "a b/ü%", "", ".", "x?y#z"] {
            let call = Call {
                function: name.into(),
                label: Some("ü\r\nx: y".into()),
                ..Call::default()
            };
            let mut request = infer(
                &call,
                AttemptId {
                    request: 1,
                    number: 2,
                },
                "fe",
            );
            assert_eq!(request.set_timeout(1_500_000), Ok(()));
            let segment = request
                .path
                .strip_prefix("/v2/models/")
                .and_then(|p| p.strip_suffix("/infer"));
            let segment = segment.expect("one segment");
            assert!(!segment.contains(['/', '?', '#', ' ']) && segment != ".." && segment != ".");
            assert_eq!(unescape(segment).as_deref(), Some(name));
            assert!(
                request
                    .headers
                    .iter()
                    .all(|(_, v)| v.bytes().all(|b| (0x20..0x7f).contains(&b)))
            );
            assert!(request.headers.contains(&(header::TIMEOUT, "1".into())));
        }
        assert_eq!(unescape("%zz"), None);
        assert_eq!(unescape("%ff"), None);
    }
}
