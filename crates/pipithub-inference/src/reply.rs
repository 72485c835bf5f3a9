//! Replies of workers, as the decision module takes them.

use pipithub_engine::policy::{LoadReport, Outcome, ReplicaStatus};
use serde::{Deserialize, Serialize};

use crate::{header, orca};

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

/// What a reply reports of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReply {
    /// How it ended.
    pub outcome: Outcome,
    /// The state in which it met its replica.
    pub replica_status: Option<ReplicaStatus>,
    /// Requests of the model that were in flight at the worker.
    pub function_concurrency: Option<u32>,
    /// The worker's load.
    pub load_report: LoadReport,
}

/// Reads the status and headers of a reply to a request.
///
/// | reply | outcome |
/// | --- | --- |
/// | 2xx | served |
/// | 404 with `pipithub-ran: no` | the model is not there: never ran |
/// | 429, or any error with `pipithub-ran: no` | rejected: never ran |
/// | 400, 405 to 407, 410 to 422, 431 | served: the answer to the request itself, which no other worker would change |
/// | everything else | an error; it may have run |
pub fn attempt_reply<'a>(status: u16, headers: impl Fn(&str) -> Option<&'a str>) -> AttemptReply {
    let replica_status = match headers(header::REPLICA) {
        Some("warm") => Some(ReplicaStatus::Warm),
        Some("began") => Some(ReplicaStatus::LoadStarted),
        Some("waited") => Some(ReplicaStatus::LoadAwaited),
        Some("failed") => Some(ReplicaStatus::LoadFailed),
        _ => None,
    };
    let not_run = headers(header::HAS_RUN) == Some("no");
    let outcome = match status {
        200..=299 => Outcome::Served,
        404 if not_run => Outcome::NotLoaded,
        // A load that failed under the request: it never ran, and the replica is not there.
        500..=599 if not_run && replica_status == Some(ReplicaStatus::LoadFailed) => {
            Outcome::NotLoaded
        }
        429 => Outcome::Rejected,
        _ if not_run => Outcome::Rejected,
        400 | 405..=407 | 410..=422 | 431 => Outcome::Served,
        _ => Outcome::Error,
    };
    AttemptReply {
        outcome,
        replica_status,
        function_concurrency: headers(header::FUNCTION_CONCURRENCY).and_then(|v| v.parse().ok()),
        load_report: headers(header::LOAD_REPORT)
            .map(parse_load_report)
            .unwrap_or_default(),
    }
}

/// What a reply reports of a load or evict command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadCommandReply {
    /// How it ended.
    pub outcome: Outcome,
    /// The replicas that are loaded now.
    pub replicas: u32,
}

/// Reads the status and headers of a reply to a load command. Only a load that failed is an error: it is what the module
/// stops loading for, and one worker at capacity must not do that.
pub fn load_command_reply<'a>(
    status: u16,
    headers: impl Fn(&str) -> Option<&'a str>,
) -> LoadCommandReply {
    let stated = headers(header::REPLICAS).and_then(|v| v.parse().ok());
    let outcome = match status {
        200..=299 => Outcome::Served,
        429 => Outcome::Rejected,
        _ if headers(header::REPLICA) == Some("failed") => Outcome::Error,
        _ if headers(header::HAS_RUN) == Some("no") => Outcome::Rejected,
        _ => Outcome::Error,
    };
    // The extension itself reports no number; a load that was done has left one at least.
    let at_least = u32::from(outcome == Outcome::Served);
    LoadCommandReply {
        outcome,
        replicas: stated.unwrap_or(at_least),
    }
}

/// The module's view of an ORCA report. What cannot be read counts as not reported.
pub fn parse_load_report(report: &str) -> LoadReport {
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
