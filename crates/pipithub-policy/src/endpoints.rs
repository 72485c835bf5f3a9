//! Updates of the endpoint list.

use std::collections::BTreeSet;

use crate::api::{Action, Endpoint, EndpointState, EndpointUpdate, Time, WorkerId};
use crate::front_end::FrontEnd;
use crate::state::{Health, WorkerState};

impl FrontEnd {
    pub(crate) fn update_endpoints(
        &mut self,
        kind: EndpointUpdate,
        entries: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if kind == EndpointUpdate::Lost {
            actions.extend(
                self.settings
                    .watch_on_request
                    .then_some(Action::WatchEndpoints),
            );
            return;
        }
        if kind != EndpointUpdate::Delta {
            let named: BTreeSet<&WorkerId> = entries.iter().map(|e| &e.worker).collect();
            let lost = |n: &WorkerState| !named.contains(&n.endpoint.worker);
            self.workers
                .change_where(lost, |n| n.endpoint.state = EndpointState::Removed);
        }
        let classes = self.settings.classes.len();
        for mut entry in entries {
            entry.started_at = entry.started_at.map(|t| t.min(Time::MAX >> 2));
            let mut node = self.workers.get_or_add(&entry, classes);
            if node.endpoint.started_at != entry.started_at {
                // A process that started anew holds nothing and has no past.
                node.replicas.clear();
                (
                    node.slowdown,
                    node.concurrency,
                    node.concurrency_limit,
                    node.consecutive_connect_failures,
                ) = (1.0, 1.0, f64::INFINITY, 0);
                node.health = vec![Health::default(); classes];
            }
            node.endpoint = entry;
        }
        self.workers.forget_removed();
    }
}
