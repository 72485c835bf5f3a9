//! The file format of the endpoint list that is cached for a restart.

use pipithub_clock::Reading;
use pipithub_engine::Time;
use pipithub_engine::policy::{Endpoint, EndpointState, EndpointUpdate, WorkerId};
use serde::{Deserialize, Serialize};

use crate::{EndpointListError, MAX_ENDPOINTS, NANOS_PER_MS};

/// The version of the file format.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// The contents of the file. The field names are the keys of its JSON.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CachedList {
    pub(crate) format: u32,
    pub(crate) wall_ms: u64,
    pub(crate) workers: Vec<CachedWorker>,
}

/// A worker in the file.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CachedWorker {
    pub(crate) address: String,
    pub(crate) draining: bool,
    pub(crate) zone: String,
    pub(crate) memory_mb: f64,
    pub(crate) started_ms: Option<u64>,
}

impl CachedWorker {
    /// Converts the worker to an endpoint. `written_ms` is the wall time at which the file was written.
    fn into_endpoint(self, written_ms: u64, reading: Reading) -> Endpoint {
        let age_ms = self
            .started_ms
            .and_then(|started_ms| age_across_restart(started_ms, written_ms, reading.wall_ms));
        let started_at = age_ms.map(|age_ms| {
            let age = age_ms.saturating_mul(NANOS_PER_MS);
            reading.now.saturating_sub(age).max(1)
        });
        let state = if self.draining {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        };
        Endpoint {
            worker: WorkerId::new(&self.address),
            weight: 0.0,
            state,
            zone: self.zone,
            cell: 0,
            memory_mb: self.memory_mb.max(0.0),
            started_at,
        }
    }
}

/// A cached list in the form that the engine takes.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedEndpoints {
    /// Always [`EndpointUpdate::Cached`], as the endpoints may be outdated.
    pub update: EndpointUpdate,
    /// The endpoints, with their start times on the clock of this process.
    pub endpoints: Vec<Endpoint>,
}

/// Parses a cached list. `wall_ms` is the Unix time at `now`.
///
/// # Errors
///
/// Fails if the text is no cached list or has too many endpoints.
pub fn read_cached_list(
    text: &str,
    now: Time,
    wall_ms: u64,
) -> Result<CachedEndpoints, EndpointListError> {
    let json = |source| EndpointListError::Json {
        what: "cached endpoint list",
        source,
    };
    let cached: CachedList = serde_json::from_str(text).map_err(json)?;
    if cached.workers.len() > MAX_ENDPOINTS {
        return Err(EndpointListError::TooMany(cached.workers.len()));
    }
    let written_ms = cached.wall_ms;
    let reading = Reading { now, wall_ms };
    let endpoints = cached.workers.into_iter();
    let endpoints = endpoints.map(|worker| worker.into_endpoint(written_ms, reading));
    Ok(CachedEndpoints {
        update: EndpointUpdate::Cached,
        endpoints: endpoints.collect(),
    })
}

/// A worker's present age in milliseconds: its age when the list was written, plus the wall time since then.
///
/// If the list was written in the future, the wall clock was stepped back by an unknown time, and nothing is added.
/// Returns `None` if the worker started after the list was written; such a worker counts as started long ago.
fn age_across_restart(started_ms: u64, written_ms: u64, wall_ms: u64) -> Option<u64> {
    let age_then = written_ms.checked_sub(started_ms)?;
    Some(age_then.saturating_add(wall_ms.saturating_sub(written_ms)))
}
