//! Updates of the endpoint list.

use std::collections::BTreeSet;

use pipithub_engine::policy::{Endpoint, EndpointState, EndpointUpdate, WorkerId};
use pipithub_engine::{Input, Time};
use pipithub_platform::list::EndpointEvent;
use tracing::debug;

use super::Core;

impl Core {
    /// Takes a change of the worker list while the wall clock agrees with `now`.
    pub fn update_endpoints(&mut self, now: Time, event: &EndpointEvent) {
        self.update_endpoints_at(now, now, event);
    }

    /// Takes a change of the worker list; `wall`: the wall clock at this moment, in Unix nanoseconds, by which the list
    /// states when workers started.
    pub fn update_endpoints_at(&mut self, now: Time, wall: Time, event: &EndpointEvent) {
        if event.update != EndpointUpdate::Delta {
            let named: BTreeSet<&WorkerId> =
                event.endpoints.iter().map(|(e, _)| &e.worker).collect();
            self.worker_pool.retain_workers(&named);
            self.start_times
                .retain_workers(|worker| named.contains(worker));
        }
        for (entry, address) in &event.endpoints {
            debug!(front_end = self.name, worker = &*entry.worker.0, state = ?entry.state, address, "list");
            self.worker_pool.set_address(
                &entry.worker,
                address,
                entry.state == EndpointState::Removed,
            );
        }
        self.has_endpoint_list = true;
        let entries = event
            .endpoints
            .iter()
            .map(|(entry, _)| self.with_start_time(entry, now, wall))
            .collect();
        self.run(
            now,
            Input::Endpoints {
                update: event.update,
                endpoints: entries,
            },
        );
    }

    /// An entry whose start is told by this process's clock.
    fn with_start_time(&mut self, entry: &Endpoint, now: Time, wall: Time) -> Endpoint {
        if entry.state == EndpointState::Removed {
            self.start_times.forget(&entry.worker);
        }
        let resolve = |stamp| self.start_times.resolve(&entry.worker, stamp, now, wall);
        let started = entry.started_at.map(resolve);
        Endpoint {
            started_at: started,
            ..entry.clone()
        }
    }
}
