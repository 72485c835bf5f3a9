//! Changes of the worker list, numbered from 1 at each start of a front end.

use pipithub_policy::api::{Endpoint, EndpointState, EndpointUpdate, WorkerId};
use serde_json::Value;

use crate::settings::Names;

/// The most workers in one event: twice the 16,000 of the largest site that is planned for, so that all of them may be
/// replaced side by side.
pub const MAX_ENDPOINTS: usize = 32_000;
/// The most bytes that a worker takes of an event, over all in it: one with a name of 60 bytes and an address of as many
/// takes about 200.
pub const MAX_ENDPOINT_BYTES: usize = 256;

/// One change of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEvent {
    /// Its number.
    pub index: u64,
    /// Whether it holds every worker.
    pub update: EndpointUpdate,
    /// The workers in it, by id, with the address of each.
    pub endpoints: Vec<(Endpoint, String)>,
}

/// Reads one event.
///
/// # Errors
/// Place and reason where it cannot be used; nothing of it may be used then.
pub fn read(value: &Value, names: &Names) -> Result<EndpointEvent, String> {
    let index = value["index"].as_u64().ok_or("index: not a whole number")?;
    let endpoints = &value["endpoints"];
    let hosts = endpoints["hosts"]
        .as_array()
        .ok_or("endpoints.hosts: not a list")?;
    if hosts.len() > MAX_ENDPOINTS {
        return Err(format!("endpoints.hosts: more than {MAX_ENDPOINTS}"));
    }
    let update = if endpoints["whole"].as_bool() == Some(true) {
        EndpointUpdate::Snapshot
    } else {
        EndpointUpdate::Delta
    };
    let read =
        |(i, h): (usize, &Value)| host(h, names).map_err(|e| format!("endpoints.hosts[{i}].{e}"));
    let endpoints = hosts
        .iter()
        .enumerate()
        .map(read)
        .collect::<Result<_, _>>()?;
    Ok(EndpointEvent {
        index,
        update,
        endpoints,
    })
}

/// Reads one event from its text.
///
/// # Errors
/// As [`read`].
pub fn parse(text: &str, names: &Names) -> Result<EndpointEvent, String> {
    let value: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    read(&value, names)
}

fn host(host: &Value, names: &Names) -> Result<(Endpoint, String), String> {
    let text = |field: &str| {
        host[field]
            .as_str()
            .filter(|t| !t.is_empty())
            .ok_or(format!("{field}: missing"))
    };
    let kind = host["class"].as_str().unwrap_or_default();
    let state = match host["health"].as_str() {
        Some("SERVING") => EndpointState::Ready,
        Some("DRAINING") => EndpointState::Draining,
        Some("DELETED") => EndpointState::Removed,
        other => return Err(format!("health: unknown {other:?}")),
    };
    // One that is gone needs no address any more.
    let address = if state == EndpointState::Removed {
        host["dial"].as_str().unwrap_or_default()
    } else {
        text("dial")?
    };
    let entry = Endpoint {
        worker: WorkerId::new(text("host")?),
        weight: host["share"]
            .as_f64()
            .filter(|s| s.is_finite())
            .unwrap_or(0.0),
        state,
        zone: host["site"].as_str().unwrap_or_default().to_string(),
        cell: host["block"].as_u64().unwrap_or(0),
        memory_mb: names
            .kinds
            .iter()
            .find(|(name, _)| name == kind)
            .map_or(0.0, |(_, memory)| *memory),
        started_at: host["born_ms"]
            .as_u64()
            .filter(|ms| *ms > 0)
            .map(|ms| ms.saturating_mul(1_000_000)),
    };
    Ok((entry, address.to_string()))
}
