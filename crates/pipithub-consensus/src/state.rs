//! The replicated state, and how entries of the log change it. Equal logs give equal states at all voters.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Time;
use crate::command::{Command, Request, Response, TimestampedRequest};

/// Largest number of front ends whose last response is remembered.
const MAX_CLIENTS: usize = 10_000;
/// Largest number of leases.
const MAX_LEASES: usize = 100_000;
/// Longest duration of a lease: ten minutes. A crashed holder blocks other front ends for at most this long.
const MAX_LEASE_DURATION: Time = 600_000_000_000;

/// A lease in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the lease holder.
    pub holder: String,
    /// Epoch under which it was granted.
    pub epoch: u64,
    /// When it expires, by the log's time in nanoseconds.
    pub expires_at: Time,
}

impl Lease {
    /// Whether the run with this epoch holds the lease. An earlier run of the same name counts as another holder,
    /// because it may still be running.
    fn is_held_by(&self, client: &str, epoch: u64) -> bool {
        self.holder == client && self.epoch == epoch
    }
}

/// The version of the settings that the cluster is to use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsVersion {
    /// Number of the version.
    pub version: u64,
    /// Digest of the text of the settings.
    pub digest: u64,
}

/// The last response to a client, for its retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastResponse {
    boot_id: u64,
    sequence: u64,
    response: Response,
}

/// The state that all voters replicate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    clock: Time,
    last_epoch: u64,
    epochs: BTreeMap<String, u64>,
    leases: BTreeMap<String, Lease>,
    settings: SettingsVersion,
    last_responses: BTreeMap<String, LastResponse>,
}

impl State {
    /// The log's time in nanoseconds: the latest timestamp that was applied.
    pub fn clock(&self) -> Time {
        self.clock
    }

    /// The current epoch of a front end; `None` if it never had one.
    pub fn epoch(&self, client: &str) -> Option<u64> {
        self.epochs.get(client).copied()
    }

    /// The lease of this name; `None` if it is not held or has expired.
    pub fn lease(&self, lease: &str) -> Option<&Lease> {
        let lease = self.leases.get(lease)?;
        (lease.expires_at > self.clock).then_some(lease)
    }

    /// The version of the settings that the cluster is to use.
    pub fn settings(&self) -> SettingsVersion {
        self.settings
    }

    /// Applies the next entry of the log and returns the response to its request.
    pub fn apply(&mut self, entry: &TimestampedRequest) -> Response {
        // The timestamps of a newly elected leader may be older than those of the leader before it.
        self.clock = self.clock.max(entry.at);
        let request = &entry.request;
        if request.command == Command::AdvanceClock {
            let clock = self.clock;
            self.leases.retain(|_, lease| lease.expires_at > clock);
            return Response::Done;
        }
        if let Some(response) = self.response_to_retry(request) {
            return response;
        }
        let is_known = self.last_responses.contains_key(&request.client);
        if !is_known && self.last_responses.len() >= MAX_CLIENTS {
            return Response::LimitReached;
        }
        let response = self.execute(&request.client, &request.command);
        let last = LastResponse {
            boot_id: request.boot_id,
            sequence: request.sequence,
            response: response.clone(),
        };
        self.last_responses.insert(request.client.clone(), last);
        response
    }

    /// The response to a request that was executed before; `None` for a new request.
    fn response_to_retry(&self, request: &Request) -> Option<Response> {
        let last = self.last_responses.get(&request.client)?;
        if last.boot_id != request.boot_id || request.sequence > last.sequence {
            return None;
        }
        if request.sequence < last.sequence {
            return Some(Response::Superseded);
        }
        Some(last.response.clone())
    }

    fn execute(&mut self, client: &str, command: &Command) -> Response {
        match command {
            Command::NewEpoch => self.new_epoch(client),
            Command::AcquireLease {
                lease,
                epoch,
                duration,
            } => self.acquire_lease(client, lease, *epoch, *duration),
            Command::ReleaseLease { lease, epoch } => self.release_lease(client, lease, *epoch),
            Command::SetSettings { version, digest } => self.set_settings(SettingsVersion {
                version: *version,
                digest: *digest,
            }),
            Command::AdvanceClock => Response::Done,
        }
    }

    fn new_epoch(&mut self, client: &str) -> Response {
        self.last_epoch += 1;
        self.epochs.insert(client.to_string(), self.last_epoch);
        Response::Epoch(self.last_epoch)
    }

    fn acquire_lease(&mut self, client: &str, name: &str, epoch: u64, duration: Time) -> Response {
        let current_epoch = self.epoch(client).unwrap_or(0);
        if current_epoch != epoch {
            return Response::Fenced {
                epoch: current_epoch,
            };
        }
        let mut expires_at = self.clock + duration.min(MAX_LEASE_DURATION);
        match self.leases.get(name) {
            // A request never shortens a lease of the same run.
            Some(lease) if lease.is_held_by(client, epoch) => {
                expires_at = expires_at.max(lease.expires_at);
            }
            Some(lease) if lease.expires_at > self.clock => {
                return Response::HeldByOther {
                    holder: lease.holder.clone(),
                    remaining: lease.expires_at - self.clock,
                };
            }
            Some(_) => {}
            None if self.leases.len() >= MAX_LEASES => return Response::LimitReached,
            None => {}
        }
        let lease = Lease {
            holder: client.to_string(),
            epoch,
            expires_at,
        };
        self.leases.insert(name.to_string(), lease);
        Response::Granted
    }

    fn release_lease(&mut self, client: &str, name: &str, epoch: u64) -> Response {
        let lease = self.leases.get(name);
        if lease.is_some_and(|lease| lease.is_held_by(client, epoch)) {
            self.leases.remove(name);
        }
        Response::Done
    }

    fn set_settings(&mut self, settings: SettingsVersion) -> Response {
        if settings.version <= self.settings.version {
            return Response::NotNewer {
                version: self.settings.version,
            };
        }
        self.settings = settings;
        Response::Done
    }
}
