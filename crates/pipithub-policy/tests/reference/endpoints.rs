//! Updates of the endpoint list: which workers there are, and in which state.
//!
//! A snapshot removes the workers that it does not name. If a list failed to come, the workers stay
//! as they are, and the list is asked for again. A worker whose process has restarted is handled
//! like a new one.

use std::collections::BTreeSet;

use pipithub_policy::api::{Action, Endpoint, EndpointState, EndpointUpdate, WorkerId};

use super::front_end::FrontEnd;
use super::state::WorkerState;
use super::time::MAX_TIME;

impl FrontEnd {
    /// Applies an update of the endpoint list.
    pub(crate) fn update_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if update == EndpointUpdate::Lost {
            self.watch_endpoints(actions);
            return;
        }
        if update != EndpointUpdate::Delta {
            self.remove_all_but(&endpoints);
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.forget_removed_workers();
    }

    /// Asks for further updates, if the settings require that.
    pub(crate) fn watch_endpoints(&self, actions: &mut Vec<Action>) {
        if self.settings.watch_on_request {
            actions.push(Action::WatchEndpoints);
        }
    }

    /// Forgets removed workers once no attempt is in flight there.
    pub(crate) fn forget_removed_workers(&mut self) {
        self.workers.retain(|_, worker| {
            worker.endpoint.state != EndpointState::Removed || !worker.in_flight.is_empty()
        });
    }

    /// Marks each worker that is not named as removed.
    fn remove_all_but(&mut self, endpoints: &[Endpoint]) {
        let named: BTreeSet<&WorkerId> = endpoints.iter().map(|e| &e.worker).collect();
        for worker in self.workers.values_mut() {
            if !named.contains(&worker.endpoint.worker) {
                worker.endpoint.state = EndpointState::Removed;
            }
        }
    }

    /// Adds a worker or updates its state.
    fn update_endpoint(&mut self, mut endpoint: Endpoint) {
        endpoint.started_at = endpoint
            .started_at
            .map(|started_at| started_at.min(MAX_TIME));
        let classes = self.settings.classes.len();
        let worker = self
            .workers
            .entry(endpoint.worker.clone())
            .or_insert_with(|| WorkerState::new(endpoint.clone(), classes));
        if worker.endpoint.started_at != endpoint.started_at {
            worker.forget_process();
        }
        worker.endpoint = endpoint;
        if worker.is_ready() {
            worker.forget_checks();
        }
    }
}
