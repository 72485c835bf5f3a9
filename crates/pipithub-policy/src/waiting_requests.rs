//! Requests that wait for a worker's answer to a poll or check before they are routed.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{RequestId, WorkerId};

/// The waiting requests, by the worker that they wait for; some requests may have ended since.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests(BTreeMap<WorkerId, BTreeSet<RequestId>>);

impl WaitingRequests {
    /// Makes a request wait for a worker.
    pub(crate) fn add(&mut self, worker: WorkerId, request: RequestId) {
        self.0.entry(worker).or_default().insert(request);
    }

    /// Ends the wait for a worker; returns the requests that waited.
    pub(crate) fn take(&mut self, worker: &WorkerId) -> BTreeSet<RequestId> {
        self.0.remove(worker).unwrap_or_default()
    }

    /// Forgets the workers for which only ended requests wait.
    pub(crate) fn forget_ended(&mut self, is_pending: impl Fn(&RequestId) -> bool) {
        self.0
            .retain(|_, requests| requests.iter().any(&is_pending));
    }
}
