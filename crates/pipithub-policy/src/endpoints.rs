//! Updates of the endpoint list: which workers there are, and in which state.
//!
//! A snapshot removes what it does not name; a list that failed to come changes nothing. A worker
//! that has started anew is as good as a new one, whatever was learnt of the process before.

use std::collections::BTreeSet;

use crate::api::{Action, Endpoint, EndpointState, EndpointUpdate, WorkerId};
use crate::front_end::FrontEnd;
use crate::state::{Health, WorkerState};
use crate::time::MAX_TIME;

impl FrontEnd {
    /// Takes in an update of the endpoint list.
    pub(crate) fn update_endpoints(
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

    /// Asks for further updates, where they must be asked for.
    pub(crate) fn watch_endpoints(&self, actions: &mut Vec<Action>) {
        if self.settings.watch_on_request {
            actions.push(Action::WatchEndpoints);
        }
    }

    fn remove_all_but(&mut self, endpoints: &[Endpoint]) {
        let named: BTreeSet<&WorkerId> = endpoints.iter().map(|e| &e.worker).collect();
        self.workers.change_where(
            |worker| !named.contains(&worker.endpoint.worker),
            |worker| worker.endpoint.state = EndpointState::Removed,
        );
    }

    fn update_endpoint(&mut self, mut endpoint: Endpoint) {
        let classes = self.settings.classes.len();
        endpoint.started_at = endpoint.started_at.map(|time| time.min(MAX_TIME));
        let mut worker = self.workers.get_or_add(&endpoint, classes);
        if worker.endpoint.started_at != endpoint.started_at {
            worker.forget_former_process();
        }
        worker.endpoint = endpoint;
    }
}

impl WorkerState {
    /// A process that started anew holds no replica and has no history.
    fn forget_former_process(&mut self) {
        self.replicas.clear();
        self.slowdown = 1.0;
        self.concurrency = 1.0;
        self.concurrency_limit = f64::INFINITY;
        self.consecutive_connect_failures = 0;
        self.health = vec![Health::default(); self.health.len()];
    }
}
