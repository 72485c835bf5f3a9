//! Updates of the endpoint list: which workers there are, and in which state.
//!
//! A snapshot removes the workers that it does not name; if no list was received, nothing changes.

use std::collections::BTreeSet;

use super::FrontEnd;
use crate::api::{Action, Endpoint, EndpointUpdate, WorkerId};
use crate::time::MAX_TIME;

/// Uses the settings, the workers and the lease of the endpoint list.
impl FrontEnd {
    /// Applies an update of the endpoint list.
    pub(super) fn update_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        match update {
            EndpointUpdate::Lost => {
                self.watch_endpoints(actions);
                return;
            }
            EndpointUpdate::Delta => {}
            EndpointUpdate::Snapshot | EndpointUpdate::Cached => self.remove_all_but(&endpoints),
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.workers.forget_removed();
    }

    /// Requests further updates, if the settings say that they must be requested.
    pub(super) fn watch_endpoints(&self, actions: &mut Vec<Action>) {
        if self.settings.watch_on_request {
            actions.push(Action::WatchEndpoints);
        }
    }

    fn remove_all_but(&mut self, endpoints: &[Endpoint]) {
        let named: BTreeSet<&WorkerId> = endpoints.iter().map(|e| &e.worker).collect();
        let bounds = self.write_bounds();
        self.workers.change_where(
            |worker| !named.contains(&worker.endpoint().worker),
            |worker| worker.mark_removed(bounds),
        );
    }

    fn update_endpoint(&mut self, mut endpoint: Endpoint) {
        let classes = self.settings.classes.len();
        let bounds = self.write_bounds();
        endpoint.started_at = endpoint.started_at.map(|time| time.min(MAX_TIME));
        self.workers
            .get_or_add(&endpoint, classes)
            .update_endpoint(endpoint, bounds);
    }
}
