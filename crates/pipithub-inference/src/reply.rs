//! Translates replies of workers into the terms of the decision module.

use pipithub_engine::policy::{LoadReport, Outcome, ReplicaStatus};
use serde::{Deserialize, Serialize};

use crate::{header, orca};

/// An entry in the index of the model repository.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// The name of the model.
    pub name: String,
    /// The state of the model: `READY`, `LOADING` or `UNAVAILABLE`.
    pub state: String,
    /// The reason why the model is not ready; empty if there is none.
    #[serde(default)]
    pub reason: String,
}

/// What the status and headers of a reply report about an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReply {
    /// The way in which the attempt ended.
    pub outcome: Outcome,
    /// The state in which the attempt found its replica; `None` if the worker does not report it.
    pub replica_status: Option<ReplicaStatus>,
    /// The number of requests of the model that were in flight at the worker; `None` if it does not report it.
    pub function_concurrency: Option<u32>,
    /// The load report of the worker; its fields are `None` where the worker reports nothing.
    pub load_report: LoadReport,
}

/// Reads the status and headers of the reply to an attempt. The first row that matches applies.
///
/// | reply | outcome |
/// | --- | --- |
/// | 2xx | served |
/// | 404 with `pipithub-ran: no` | the model is not loaded: the request never ran |
/// | 5xx with `pipithub-ran: no` and `pipithub-copy: failed` | the model is not loaded: the request never ran |
/// | 429, or any other status with `pipithub-ran: no` | rejected: the request never ran |
/// | 400, 405 to 407, 410 to 422, 431 | served: the answer concerns the request itself, so every worker would give it |
/// | everything else | an error: the request may have run |
pub fn attempt_reply<'a>(status: u16, headers: impl Fn(&str) -> Option<&'a str>) -> AttemptReply {
    let replica_status = match headers(header::REPLICA_STATUS) {
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
        // The load that the request waited for failed, so the request never ran and the replica is not loaded.
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

/// What the status and headers of a reply report about a load command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadCommandReply {
    /// The way in which the command ended.
    pub outcome: Outcome,
    /// The number of replicas that are loaded now.
    pub replicas: u32,
}

/// Reads the status and headers of a reply to a load command. A worker at capacity rejects the command, which does not
/// count as an error, because the decision module stops loading a function after errors.
pub fn load_command_reply<'a>(
    status: u16,
    headers: impl Fn(&str) -> Option<&'a str>,
) -> LoadCommandReply {
    let stated = headers(header::REPLICAS).and_then(|v| v.parse().ok());
    let outcome = match status {
        200..=299 => Outcome::Served,
        429 => Outcome::Rejected,
        _ if headers(header::REPLICA_STATUS) == Some("failed") => Outcome::Error,
        _ if headers(header::HAS_RUN) == Some("no") => Outcome::Rejected,
        _ => Outcome::Error,
    };
    // The protocol extension itself states no number of replicas, but after a successful load there is at least one.
    let at_least = u32::from(outcome == Outcome::Served);
    LoadCommandReply {
        outcome,
        replicas: stated.unwrap_or(at_least),
    }
}

/// Reads an ORCA load report for the decision module. Metrics that cannot be read count as not reported.
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
