//! Events of the endpoint list, whose indexes start from 1 at each start of a front end.

use pipithub_policy::api::{Endpoint, EndpointState, EndpointUpdate, WorkerId};
use serde_json::Value;

use crate::settings::Names;

const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

/// The maximum number of workers in one event: twice the 16,000 of the largest planned site, so that all of them may be
/// replaced at the same time.
pub const MAX_ENDPOINTS: usize = 32_000;
/// The maximum average size of a worker in an event, in bytes: a worker with a name and an address of 60 bytes each
/// takes about 200.
pub const MAX_ENDPOINT_BYTES: usize = 256;

/// A worker in an event.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The worker and its state.
    pub endpoint: Endpoint,
    /// The address at which the worker listens; may be empty if the worker has been removed.
    pub address: String,
}

/// One event of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEvent {
    /// The index of the event in the order of all events.
    pub index: u64,
    /// Whether the event lists all workers or only those that changed.
    pub update: EndpointUpdate,
    /// The workers that the event lists.
    pub endpoints: Vec<ListedEndpoint>,
}

/// The reason why an event cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum EndpointEventError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The event has no index.
    #[error("index: not a whole number")]
    MissingIndex,
    /// The event has no list of workers.
    #[error("endpoints.hosts: not a list")]
    MissingHosts,
    /// The event has more than [`MAX_ENDPOINTS`] workers.
    #[error("endpoints.hosts: more than {MAX_ENDPOINTS}")]
    TooManyEndpoints,
    /// A worker in the event cannot be used.
    #[error("endpoints.hosts[{index}].{error}")]
    InvalidEndpoint {
        /// The index of the worker in the event.
        index: usize,
        /// The reason why the worker cannot be used.
        error: EndpointError,
    },
}

/// The reason why a worker in an event cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// A field is missing or empty.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// The field `health` is missing or its value is unknown.
    #[error("health: unknown {0:?}")]
    UnknownHealth(Option<String>),
}

/// Reads one event from its JSON value.
///
/// # Errors
/// Returns an [`EndpointEventError`] if any part of the event is invalid; no part of it may be used then.
pub fn read(value: &Value, names: &Names) -> Result<EndpointEvent, EndpointEventError> {
    let index = value["index"]
        .as_u64()
        .ok_or(EndpointEventError::MissingIndex)?;
    let body = &value["endpoints"];
    let hosts = body["hosts"]
        .as_array()
        .ok_or(EndpointEventError::MissingHosts)?;
    if hosts.len() > MAX_ENDPOINTS {
        return Err(EndpointEventError::TooManyEndpoints);
    }
    let update = if body["whole"].as_bool() == Some(true) {
        EndpointUpdate::Snapshot
    } else {
        EndpointUpdate::Delta
    };
    let mut endpoints = Vec::with_capacity(hosts.len());
    for (index, host) in hosts.iter().enumerate() {
        let endpoint = listed_endpoint(host, names)
            .map_err(|error| EndpointEventError::InvalidEndpoint { index, error })?;
        endpoints.push(endpoint);
    }
    Ok(EndpointEvent {
        index,
        update,
        endpoints,
    })
}

/// Parses one event from its text.
///
/// # Errors
/// Returns an [`EndpointEventError`] if the text is not JSON, and otherwise as [`read`] does.
pub fn parse(text: &str, names: &Names) -> Result<EndpointEvent, EndpointEventError> {
    let value: Value = serde_json::from_str(text)?;
    read(&value, names)
}

fn listed_endpoint(host: &Value, names: &Names) -> Result<ListedEndpoint, EndpointError> {
    let state = match host["health"].as_str() {
        Some("SERVING") => EndpointState::Ready,
        Some("DRAINING") => EndpointState::Draining,
        Some("DELETED") => EndpointState::Removed,
        other => return Err(EndpointError::UnknownHealth(other.map(str::to_string))),
    };
    // A worker that has been removed needs no address.
    let address = if state == EndpointState::Removed {
        host["dial"].as_str().unwrap_or_default()
    } else {
        required(host, "dial")?
    };
    let weight = host["share"].as_f64().filter(|share| share.is_finite());
    let born_ms = host["born_ms"].as_u64().filter(|born_ms| *born_ms > 0);
    let endpoint = Endpoint {
        worker: WorkerId::new(required(host, "host")?),
        weight: weight.unwrap_or(0.0),
        state,
        zone: host["site"].as_str().unwrap_or_default().to_string(),
        cell: host["block"].as_u64().unwrap_or(0),
        memory_mb: names.memory_mb(host["class"].as_str().unwrap_or_default()),
        started_at: born_ms.map(|born_ms| born_ms.saturating_mul(NANOSECONDS_PER_MILLISECOND)),
    };
    Ok(ListedEndpoint {
        endpoint,
        address: address.to_string(),
    })
}

fn required<'a>(host: &'a Value, field: &'static str) -> Result<&'a str, EndpointError> {
    host[field]
        .as_str()
        .filter(|text| !text.is_empty())
        .ok_or(EndpointError::Missing(field))
}
