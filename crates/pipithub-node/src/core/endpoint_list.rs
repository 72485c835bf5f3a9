//! Updates of the endpoint list.

use std::collections::BTreeSet;

use pipithub_engine::policy::{
    Endpoint, EndpointListContact, EndpointState, EndpointUpdate, WorkerId,
};
use pipithub_engine::{Input, Time};
use pipithub_platform::list::{EndpointEvent, ListedEndpoint};
use tracing::debug;

use super::Core;
use crate::coordinator::StreamUpdate;

impl Core {
    /// Records that the front end begins to follow the coordinator.
    pub fn follow_coordinator(&mut self, now: Time) {
        self.discovery_log.record_follow_start(now);
        self.report_contact(now, EndpointListContact::Started);
    }

    /// Applies an update from the coordinator's stream. `wall` is the current wall-clock time in nanoseconds since the
    /// Unix epoch.
    pub fn apply_stream_update(&mut self, now: Time, wall: Time, update: &StreamUpdate) {
        match update {
            StreamUpdate::Requested => self.report_contact(now, EndpointListContact::Requested),
            StreamUpdate::Event(event) => self.update_endpoints_at(now, wall, event),
            StreamUpdate::Disconnected => {
                self.report_contact(now, EndpointListContact::Disconnected);
            }
            StreamUpdate::Current => {
                self.discovery_log.record_current(now, &self.name);
                self.report_contact(now, EndpointListContact::Current);
            }
        }
    }

    fn report_contact(&mut self, now: Time, contact: EndpointListContact) {
        self.run(now, Input::EndpointListContact(contact));
        // Work that waits to be written was decided under the former lease, which may end later.
        self.renew_leases();
    }

    /// How long ago the endpoint list was last known to be current, in nanoseconds; `None` as long as no coordinator is
    /// followed.
    pub fn endpoint_list_age(&self, now: Time) -> Option<Time> {
        self.discovery_log.age(now)
    }

    /// Applies an update of the endpoint list, with `now` as the wall-clock time too: the two clocks must agree.
    pub fn update_endpoints(&mut self, now: Time, event: &EndpointEvent) {
        self.update_endpoints_at(now, now, event);
    }

    /// Applies an update of the endpoint list. `wall` is the current wall-clock time in nanoseconds since the Unix
    /// epoch; the list states the start times of workers by the wall clock.
    pub fn update_endpoints_at(&mut self, now: Time, wall: Time, event: &EndpointEvent) {
        if event.update != EndpointUpdate::Delta {
            let listed: BTreeSet<&WorkerId> = event
                .endpoints
                .iter()
                .map(|entry| &entry.endpoint.worker)
                .collect();
            self.connection_pool.retain_workers(&listed);
            self.start_times
                .retain_workers(|worker| listed.contains(worker));
        }
        for ListedEndpoint { endpoint, address } in &event.endpoints {
            debug!(front_end = self.name, worker = &*endpoint.worker.0, state = ?endpoint.state, address, "endpoint listed");
            self.connection_pool.set_address(
                &endpoint.worker,
                address,
                endpoint.state == EndpointState::Removed,
            );
        }
        self.has_endpoint_list = true;
        self.discovery_log.record_event(event.index);
        let endpoints = event
            .endpoints
            .iter()
            .map(|listed| self.with_start_time(&listed.endpoint, now, wall))
            .collect();
        self.run(
            now,
            Input::Endpoints {
                update: event.update,
                endpoints,
            },
        );
    }

    /// The endpoint with its start time converted to this process's monotonic clock.
    fn with_start_time(&mut self, endpoint: &Endpoint, now: Time, wall: Time) -> Endpoint {
        let resolve = |stamp| self.start_times.resolve(&endpoint.worker, stamp, now, wall);
        let started_at = endpoint.started_at.map(resolve);
        if endpoint.state == EndpointState::Removed {
            self.start_times.forget(&endpoint.worker);
        }
        Endpoint {
            started_at,
            ..endpoint.clone()
        }
    }
}
