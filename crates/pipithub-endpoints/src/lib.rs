//! The endpoint list from Kubernetes `EndpointSlice` objects (`discovery.k8s.io/v1`), without I/O.
//!
//! A [`Watcher`] parses the bodies of list responses and the lines of a watch, and returns the changes for the engine. It
//! tracks the `resourceVersion` to watch from and detects that a version has expired (`410 Gone`). The list can be cached
//! for a restart with [`Watcher::to_cached_list`] and [`read_cached_list`].
//!
//! Two annotations of a slice hold what Kubernetes has no fields for. Both map the `targetRef.uid` of an endpoint to a
//! number: `pipithub.dev/started-ms` to the Unix time of its start in milliseconds, and `pipithub.dev/memory-mb` to its
//! memory in MB. Without the first one, an endpoint of the first list counts as started long ago, and an endpoint that
//! a later list or a watch event adds counts as started at that time.

mod cache;
pub mod object;

use std::collections::BTreeMap;

pub use cache::{CachedEndpoints, read_cached_list};
use object::{EndpointSlice, EndpointSliceList, SliceEndpoint, WatchEvent};
use pipithub_clock::Reading;
use pipithub_engine::Time;
use pipithub_engine::policy::{Endpoint, EndpointState, WorkerId};

use crate::cache::{CachedList, CachedWorker, FORMAT_VERSION};

/// The API group and version of the slices.
pub const API_VERSION: &str = "discovery.k8s.io/v1";
/// The annotation with the start times of endpoints in Unix milliseconds, by uid.
pub const STARTED_ANNOTATION: &str = "pipithub.dev/started-ms";
/// The annotation with the memory of endpoints in MB, by uid.
pub const MEMORY_ANNOTATION: &str = "pipithub.dev/memory-mb";
const NANOS_PER_MS: Time = 1_000_000;
/// The HTTP status code for a version that is too old to watch from.
const GONE: u16 = 410;
/// The maximum number of endpoints in a list, so that an invalid list cannot exhaust the memory.
pub const MAX_ENDPOINTS: usize = 20_000;

/// Why a list or a watch event was rejected. The endpoints known before stay in use.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The text is not JSON of the expected shape.
    #[error("failed to parse {what}: {source}")]
    Json {
        /// The kind of text that was expected.
        what: &'static str,
        /// The position and the cause of the error.
        source: serde_json::Error,
    },
    /// The list has this many endpoints, which is more than [`MAX_ENDPOINTS`].
    #[error("{0} endpoints exceed the maximum of {MAX_ENDPOINTS}")]
    TooMany(usize),
    /// The server sent a `Status` object with an error.
    #[error("the server responded with status {code}: {message}")]
    Status {
        /// The code of the status; 0 if it has none.
        code: u16,
        /// The message of the status.
        message: String,
    },
}

/// The effect of one line of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchStep {
    /// These endpoints were added, changed or removed.
    Changes(Vec<Endpoint>),
    /// No endpoint changed, although the version to continue from may have.
    Nothing,
    /// The version to watch from has expired, and the list must be fetched again.
    Expired,
}

/// An endpoint as it was last reported.
#[derive(Clone, Debug, PartialEq)]
struct KnownEndpoint {
    state: EndpointState,
    uid: String,
    zone: String,
    memory_mb: f64,
    /// When the endpoint started, on the caller's clock; `None` if it counts as started long ago.
    started: Option<Time>,
}

/// Tracks the endpoint slices of one service.
#[derive(Debug, Default)]
pub struct Watcher {
    port: Option<String>,
    version: Option<String>,
    /// The slices by their names.
    slices: BTreeMap<String, EndpointSlice>,
    /// The endpoints by their addresses.
    known: BTreeMap<String, KnownEndpoint>,
    /// Whether a list was read before. An endpoint that is added after that counts as just started if it has
    /// no annotation with its start time.
    listed: bool,
}

impl Watcher {
    /// Creates a watcher of the port with this name; `None` uses the first port of each slice.
    pub fn new(port: Option<String>) -> Self {
        Watcher {
            port,
            ..Watcher::default()
        }
    }

    /// The version to watch from; `None` if the list must be fetched first.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Discards the version to watch from, so that the list must be fetched again.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// Parses the body of a list response and returns all endpoints. `wall_ms` is the Unix time at `now`.
    ///
    /// # Errors
    ///
    /// Fails if the body is no list or has too many endpoints. The state is then unchanged.
    pub fn apply_list(
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

    /// Parses one line of a watch. `wall_ms` is the Unix time at `now`.
    ///
    /// # Errors
    ///
    /// Fails if the line is no watch event, if the list would have too many endpoints, or if the server reports an error
    /// other than an expired version. The endpoints are then unchanged.
    pub fn apply_watch_line(
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
            // Ignores kinds of events that later versions of the server may send.
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

    /// Derives the endpoints from all slices and returns those that changed.
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
                let found = self.known_endpoint(slice, endpoint, &address, reading);
                // While an endpoint is moved between slices, it may be in two of them. It counts as draining if one of
                // them says so.
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

    /// The endpoints that differ from those known before, including removed ones.
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

    /// Derives an endpoint from its entry in a slice, its annotations, and what is known of it.
    fn known_endpoint(
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
        let previous = self.known.get(address).filter(|known| known.uid == uid);
        let annotated_number = |name: &str| -> Option<f64> {
            let text = slice.metadata.annotations.as_ref()?.get(name)?;
            let by_uid: BTreeMap<String, f64> = serde_json::from_str(text).ok()?;
            by_uid
                .get(&uid)
                .copied()
                .filter(|number| number.is_finite() && *number >= 0.0)
        };
        // A start in the future, because the clock was stepped back, counts as now. The worker is then considered to be
        // warming up for one slow-start window at most.
        let annotated_start = annotated_number(STARTED_ANNOTATION)
            .map(|stamp_ms| reading.time_of_timestamp(stamp_ms as u64));
        let started = match previous {
            // The first start time is retained, so that a clock that drifts or is stepped does not look like a restart.
            Some(known) => known.started,
            None => annotated_start.or(self.listed.then_some(reading.now.max(1))),
        };
        let memory_mb = annotated_number(MEMORY_ANNOTATION).unwrap_or(0.0);
        KnownEndpoint {
            state: endpoint.state(),
            uid,
            zone: endpoint.zone.clone().unwrap_or_default(),
            memory_mb,
            started,
        }
    }

    /// The number of endpoints that are ready.
    pub fn ready_count(&self) -> usize {
        self.known
            .values()
            .filter(|known| known.state == EndpointState::Ready)
            .count()
    }

    /// Serializes the list, to be cached for a restart. `wall_ms` is the Unix time at `now`.
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
            format: FORMAT_VERSION,
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
