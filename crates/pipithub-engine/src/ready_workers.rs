//! The workers that may receive calls, according to the endpoint list.

use std::collections::BTreeSet;

use pipithub_policy::api::{Endpoint, EndpointState, EndpointUpdate, WorkerId};

/// The set of ready workers, and whether any endpoint list is known yet.
#[derive(Debug, Default)]
pub(crate) struct ReadyWorkers {
    list_received: bool,
    workers: BTreeSet<WorkerId>,
}

impl ReadyWorkers {
    /// Whether an endpoint list was received; a cached one counts.
    pub(crate) fn list_received(&self) -> bool {
        self.list_received
    }

    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(crate) fn apply(&mut self, update: EndpointUpdate, endpoints: &[Endpoint]) {
        match update {
            EndpointUpdate::Lost => {}
            EndpointUpdate::Delta => self.list_received = true,
            EndpointUpdate::Snapshot | EndpointUpdate::Cached => {
                self.list_received = true;
                self.workers.clear();
            }
        }
        for endpoint in endpoints {
            match endpoint.state {
                EndpointState::Ready => self.workers.insert(endpoint.worker.clone()),
                EndpointState::Draining | EndpointState::Removed => {
                    self.workers.remove(&endpoint.worker)
                }
            };
        }
    }
}
