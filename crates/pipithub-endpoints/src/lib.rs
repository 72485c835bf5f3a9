//! The worker list from Kubernetes `EndpointSlice` objects (`discovery.k8s.io/v1`), without I/O.
//!
//! A [`Watcher`] reads the bodies of lists and the lines of a watch and returns the changes for the engine. It keeps the
//! `resourceVersion` to watch from, detects a version that is too old (`410 Gone`), and can be cached for a restart
//! ([`Watcher::to_cached_list`], [`read_cached_list`]).
//!
//! Two annotations on a slice hold what Kubernetes has no field for; both map an endpoint's `targetRef.uid` to a
//! number: `pipithub.dev/started-ms` (Unix time of its start) and `pipithub.dev/memory-mb`. Without the first, an
//! endpoint first seen in a watch counts as started then, one found in a list as started long ago.

mod cache;
pub mod object;

use std::collections::BTreeMap;

pub use cache::{CachedEndpoints, read_cached_list};
use object::{EndpointSlice, EndpointSliceList, SliceEndpoint, WatchEvent};
use pipithub_clock::Reading;
use pipithub_engine::Time;
use pipithub_engine::policy::{Endpoint, EndpointState, WorkerId};

use crate::cache::{CachedList, CachedWorker, FORMAT};

/// The API group and version of the slices.
pub const API: &str = "discovery.k8s.io/v1";
/// Annotation: start times in Unix milliseconds, by uid.
pub const STARTED_ANNOTATION: &str = "pipithub.dev/started-ms";
/// Annotation: memory in MB, by uid.
pub const MEMORY_ANNOTATION: &str = "pipithub.dev/memory-mb";
const NANOS_PER_MS: Time = 1_000_000;
/// The status of a version that is too old to watch from.
const GONE: u16 = 410;
/// The most endpoints that a list may have: a broken one must not fill the memory.
pub const MAX_ENDPOINTS: usize = 20_000;

/// Why a list or an event of the watch could not be read; the workers known before stay.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The text is not JSON of the expected shape.
    #[error("cannot read the {what}: {source}")]
    Json {
        /// What the text should have been.
        what: &'static str,
        /// Where the text is wrong, and why.
        source: serde_json::Error,
    },
    /// The list has more endpoints than the limit.
    #[error("{0} endpoints are more than the {MAX_ENDPOINTS} taken")]
    TooMany(usize),
    /// The server answered with a status object.
    #[error("the server answers {code}: {message}")]
    Status {
        /// The code of the status.
        code: u16,
        /// The message of the status.
        message: String,
    },
}

/// The effect of one line of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchStep {
    /// Workers changed.
    Changes(Vec<Endpoint>),
    /// No worker changed; the version to continue from did.
    Nothing,
    /// The version is too old: the list is to be read again.
    Expired,
}

/// The present state of one endpoint.
#[derive(Clone, Debug, PartialEq)]
struct KnownEndpoint {
    state: EndpointState,
    uid: String,
    zone: String,
    memory_mb: f64,
    started: Option<Time>,
}

/// Follows the endpoint slices of one service.
#[derive(Debug, Default)]
pub struct Watcher {
    port: Option<String>,
    version: Option<String>,
    slices: BTreeMap<String, EndpointSlice>,
    known: BTreeMap<String, KnownEndpoint>,
    listed: bool,
}

impl Watcher {
    /// Creates a watcher of the port of this name, or of the first port of each slice.
    pub fn new(port: Option<String>) -> Self {
        Watcher {
            port,
            ..Watcher::default()
        }
    }

    /// The version to watch from; `None`: the list is to be read first.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Discards the version to watch from, so that the list is read again.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// Reads the body of a list and returns all workers. `wall_ms` is the Unix time of `now`.
    pub fn list(
        &mut self,
        now: Time,
        wall_ms: u64,
        body: &[u8],
    ) -> Result<Vec<Endpoint>, EndpointListError> {
        let json = |source| EndpointListError::Json {
            what: "EndpointSliceList",
            source,
        };
        let list: EndpointSliceList = serde_json::from_slice(body).map_err(json)?;
        let count = list.items.iter().map(|slice| slice.endpoints.len()).sum();
        if count > MAX_ENDPOINTS {
            return Err(EndpointListError::TooMany(count));
        }
        self.slices = list
            .items
            .into_iter()
            .map(|slice| (slice.metadata.name.clone(), slice))
            .collect();
        self.version = Some(list.metadata.resource_version).filter(|version| !version.is_empty());
        self.refresh(Reading { now, wall_ms });
        self.listed = true;
        Ok(self
            .known
            .iter()
            .map(|(address, known)| known.to_endpoint(address))
            .collect())
    }

    /// Reads one line of a watch.
    pub fn line(
        &mut self,
        now: Time,
        wall_ms: u64,
        line: &[u8],
    ) -> Result<WatchStep, EndpointListError> {
        let json = |source| EndpointListError::Json {
            what: "watch event",
            source,
        };
        let event: WatchEvent = serde_json::from_slice(line).map_err(json)?;
        match event.kind.as_str() {
            "ADDED" | "MODIFIED" | "DELETED" => {
                let slice: EndpointSlice = serde_json::from_value(event.object).map_err(json)?;
                let is_deleted = event.kind == "DELETED";
                self.apply_slice(slice, is_deleted, Reading { now, wall_ms })
            }
            "BOOKMARK" => {
                self.apply_bookmark(&event.object);
                Ok(WatchStep::Nothing)
            }
            "ERROR" => self.apply_error(&event.object),
            // A kind of event that later servers may send changes nothing here.
            _ => Ok(WatchStep::Nothing),
        }
    }

    fn apply_slice(
        &mut self,
        slice: EndpointSlice,
        is_deleted: bool,
        reading: Reading,
    ) -> Result<WatchStep, EndpointListError> {
        let name = slice.metadata.name.clone();
        if !slice.metadata.resource_version.is_empty() {
            self.version = Some(slice.metadata.resource_version.clone());
        }
        if is_deleted {
            self.slices.remove(&name);
        } else {
            let others = self.slices.iter().filter(|(other, _)| **other != name);
            let others_count: usize = others.map(|(_, other)| other.endpoints.len()).sum();
            let count = others_count + slice.endpoints.len();
            if count > MAX_ENDPOINTS {
                return Err(EndpointListError::TooMany(count));
            }
            self.slices.insert(name, slice);
        }
        let changes = self.refresh(reading);
        Ok(if changes.is_empty() {
            WatchStep::Nothing
        } else {
            WatchStep::Changes(changes)
        })
    }

    fn apply_bookmark(&mut self, object: &serde_json::Value) {
        let version = object["metadata"]["resourceVersion"].as_str();
        if let Some(version) = version.filter(|version| !version.is_empty()) {
            self.version = Some(version.to_string());
        }
    }

    fn apply_error(&mut self, status: &serde_json::Value) -> Result<WatchStep, EndpointListError> {
        let code = status["code"].as_u64().unwrap_or(0) as u16;
        if code == GONE {
            self.version = None;
            return Ok(WatchStep::Expired);
        }
        let message = status["message"].as_str().unwrap_or("no message");
        Err(EndpointListError::Status {
            code,
            message: message.to_string(),
        })
    }

    /// Derives the workers from all slices and returns those that changed.
    fn refresh(&mut self, reading: Reading) -> Vec<Endpoint> {
        let mut next: BTreeMap<String, KnownEndpoint> = BTreeMap::new();
        for slice in self.slices.values() {
            let Some(port) = slice.port(self.port.as_deref()) else {
                continue;
            };
            for endpoint in &slice.endpoints {
                let Some(address) = endpoint.address(port) else {
                    continue;
                };
                let found = self.describe(slice, endpoint, &address, reading);
                // While an endpoint moves between slices it may be in two of them; if one says draining, that counts.
                let is_draining = next
                    .get(&address)
                    .is_some_and(|known| known.state == EndpointState::Draining);
                if !is_draining {
                    next.insert(address, found);
                }
            }
        }
        let changes = self.changes_to(&next);
        self.known = next;
        changes
    }

    /// The workers that differ from those known before.
    fn changes_to(&self, next: &BTreeMap<String, KnownEndpoint>) -> Vec<Endpoint> {
        let removed = self
            .known
            .iter()
            .filter(|(address, _)| !next.contains_key(*address));
        let removed = removed.map(|(address, old)| Endpoint {
            state: EndpointState::Removed,
            ..old.to_endpoint(address)
        });
        let changed = next
            .iter()
            .filter(|(address, new)| self.known.get(*address) != Some(*new));
        let changed = changed.map(|(address, new)| new.to_endpoint(address));
        removed.chain(changed).collect()
    }

    fn describe(
        &self,
        slice: &EndpointSlice,
        endpoint: &SliceEndpoint,
        address: &str,
        reading: Reading,
    ) -> KnownEndpoint {
        let uid = endpoint
            .target_ref
            .as_ref()
            .map(|target| target.uid.clone())
            .unwrap_or_default();
        let before = self.known.get(address).filter(|known| known.uid == uid);
        let number = |name: &str| -> Option<f64> {
            let text = slice.metadata.annotations.as_ref()?.get(name)?;
            let by_uid: BTreeMap<String, f64> = serde_json::from_str(text).ok()?;
            by_uid
                .get(&uid)
                .copied()
                .filter(|number| number.is_finite() && *number >= 0.0)
        };
        // A start in the future, by a clock that was stepped back, counts as now: it is taken for cold no longer than
        // a worker's ramp.
        let annotated =
            number(STARTED_ANNOTATION).map(|stamp_ms| reading.time_of_stamp(stamp_ms as u64));
        let started = match before {
            // A start once known stays: clocks that drift or are stepped must not look like restarts.
            Some(known) => known.started,
            None => annotated.or(self.listed.then_some(reading.now.max(1))),
        };
        let memory_mb = number(MEMORY_ANNOTATION).unwrap_or(0.0);
        KnownEndpoint {
            state: endpoint.state(),
            uid,
            zone: endpoint.zone.clone().unwrap_or_default(),
            memory_mb,
            started,
        }
    }

    /// The number of workers that are ready.
    pub fn ready_count(&self) -> usize {
        self.known
            .values()
            .filter(|known| known.state == EndpointState::Ready)
            .count()
    }

    /// The list as a text to cache for a restart.
    pub fn to_cached_list(&self, now: Time, wall_ms: u64) -> String {
        let started_ms = |started: Time| {
            let age = now.saturating_sub(started);
            wall_ms.saturating_sub(age / NANOS_PER_MS)
        };
        let workers = self
            .known
            .iter()
            .filter(|(_, known)| known.state != EndpointState::Removed)
            .map(|(address, known)| CachedWorker {
                address: address.clone(),
                draining: known.state == EndpointState::Draining,
                zone: known.zone.clone(),
                memory_mb: known.memory_mb,
                started_ms: known.started.map(started_ms),
            });
        let cached = CachedList {
            format: FORMAT,
            wall_ms,
            workers: workers.collect(),
        };
        serde_json::to_string_pretty(&cached).unwrap_or_default()
    }
}

impl KnownEndpoint {
    fn to_endpoint(&self, address: &str) -> Endpoint {
        Endpoint {
            worker: WorkerId::new(address),
            weight: 0.0,
            state: self.state,
            zone: self.zone.clone(),
            cell: 0,
            memory_mb: self.memory_mb,
            started_at: self.started,
        }
    }
}
