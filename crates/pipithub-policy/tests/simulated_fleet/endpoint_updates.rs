//! Changes of the set of workers, and the updates of the endpoint list that follow.

use std::collections::BTreeSet;

use pipithub_policy::api::{Endpoint, EndpointState, EndpointUpdate, Event, WorkerId};
use rand::RngExt;

use super::SimulatedFleet;

/// No worker is added once there are this many.
const MAX_WORKERS: usize = 600;
/// The random number that stands for a regular update, which is a delta.
const REGULAR_UPDATE: u32 = 11;

fn delta(endpoints: Vec<Endpoint>) -> Event {
    Event::Endpoints {
        update: EndpointUpdate::Delta,
        endpoints,
    }
}

impl SimulatedFleet {
    /// All workers that are not removed, as in the first update of a front end.
    pub(crate) fn endpoint_snapshot(&self) -> Event {
        Event::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: self.workers.present_endpoints(),
        }
    }

    /// Restarts one worker, and returns the update of its endpoint.
    pub(crate) fn restart_one_worker(&mut self) -> Event {
        let worker = self.endpoint_random.random_range(0..self.workers.len());
        self.workers.get_mut(worker).restart(self.now);
        self.drain_rule.record_in_service(worker);
        delta(self.workers.endpoints([worker]))
    }

    /// Removes one worker in seven at once, and returns the update of their endpoints.
    pub(crate) fn remove_many_workers(&mut self) -> Event {
        let affected = self.workers.mass_removal_indices();
        for &worker in &affected {
            self.workers.get_mut(worker).endpoint.state = EndpointState::Removed;
        }
        delta(self.workers.endpoints(affected))
    }

    /// Brings the workers of a mass removal back as new processes.
    pub(crate) fn return_many_workers(&mut self) -> Event {
        let affected = self.workers.mass_removal_indices();
        for &worker in &affected {
            self.workers.get_mut(worker).restart(self.now);
            self.drain_rule.record_in_service(worker);
        }
        delta(self.workers.endpoints(affected))
    }

    /// Changes some workers and draws the update that follows.
    pub(super) fn change_endpoints(&mut self) -> Event {
        let changed = self.change_some_workers();
        let kind = if self.scenario.endpoint_changes.irregular {
            self.endpoint_random.random_range(0..12)
        } else {
            REGULAR_UPDATE
        };
        match kind {
            0 => {
                self.count("endpoints lost");
                Event::Endpoints {
                    update: EndpointUpdate::Lost,
                    endpoints: Vec::new(),
                }
            }
            1 | 2 => {
                self.count("endpoint snapshot");
                self.endpoint_snapshot()
            }
            3 => self.cached_endpoints(),
            4 | 5 => self.contradictory_endpoints(changed),
            _ => {
                self.count("endpoint delta");
                delta(self.workers.endpoints(changed))
            }
        }
    }

    /// Changes up to three workers, new ones among them, and returns their indices.
    pub(super) fn change_some_workers(&mut self) -> BTreeSet<usize> {
        let mut changed = BTreeSet::new();
        for _ in 0..self.endpoint_random.random_range(1..4) {
            let worker = match self.endpoint_random.random_range(0..10) {
                0 if self.workers.len() < MAX_WORKERS => self.workers.add(&self.scenario, self.now),
                _ => self.endpoint_random.random_range(0..self.workers.len()),
            };
            self.change_worker(worker);
            if self.workers.get(worker).endpoint.state == EndpointState::Ready {
                self.drain_rule.record_in_service(worker);
            }
            changed.insert(worker);
        }
        changed
    }

    fn change_worker(&mut self, worker: usize) {
        let irregular = self.scenario.endpoint_changes.irregular;
        let change = self.endpoint_random.random_range(0..8);
        let worker = self.workers.get_mut(worker);
        let endpoint = &mut worker.endpoint;
        match change {
            0 | 1 if irregular => endpoint.state = EndpointState::Draining,
            2 => endpoint.state = EndpointState::Removed,
            3 | 4 => worker.restart(self.now),
            5 if irregular => endpoint.zone = "z1".to_string(),
            6 => endpoint.weight = 1.5,
            _ => endpoint.state = EndpointState::Ready,
        }
    }

    /// A stale list, in which some workers are missing.
    fn cached_endpoints(&mut self) -> Event {
        self.count("endpoints cached");
        let mut endpoints = self.workers.present_endpoints();
        endpoints.retain(|_| self.endpoint_random.random_bool(0.8));
        Event::Endpoints {
            update: EndpointUpdate::Cached,
            endpoints,
        }
    }

    /// A delta that names one worker twice, first with a random state, and removes an unknown worker.
    fn contradictory_endpoints(&mut self, changed: BTreeSet<usize>) -> Event {
        self.count("endpoint listed twice");
        let mut endpoints = self.workers.endpoints(changed);
        if let Some(first) = endpoints.first().cloned() {
            let states = [
                EndpointState::Ready,
                EndpointState::Draining,
                EndpointState::Removed,
            ];
            let state = states[self.endpoint_random.random_range(0..states.len())];
            let started_at = Some(self.now).filter(|_| self.endpoint_random.random_bool(0.5));
            let contradiction = Endpoint {
                state,
                started_at,
                ..first
            };
            endpoints.insert(0, contradiction);
        }
        endpoints.push(Endpoint {
            worker: WorkerId::new("nobody:1"),
            state: EndpointState::Removed,
            ..Endpoint::default()
        });
        delta(endpoints)
    }
}
