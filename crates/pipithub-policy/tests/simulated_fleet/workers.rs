//! The simulated workers: their endpoints, loaded replicas and requests in flight.

use std::collections::{BTreeMap, BTreeSet};

use pipithub_policy::api::{Endpoint, EndpointState, FunctionId, Time, WorkerId};
use rand::RngExt;

use super::draws::{Purpose, generator};
use super::scenario::{MS, Scenario};
use super::schedule::AttemptId;

/// A mass removal affects every seventh worker, beginning with the one at [`MASS_REMOVAL_OFFSET`].
const MASS_REMOVAL_STRIDE: usize = 7;
const MASS_REMOVAL_OFFSET: usize = 3;

/// The actual state of a worker, of which the front end may know only a part.
pub(crate) struct SimulatedWorker {
    pub endpoint: Endpoint,
    /// Replicas that are loaded or being loaded, with the time from which they can serve requests.
    pub replicas: BTreeMap<FunctionId, Time>,
    /// This front end's attempts in flight.
    pub attempts: BTreeSet<AttemptId>,
}

impl SimulatedWorker {
    pub(crate) fn is_removed(&self) -> bool {
        self.endpoint.state == EndpointState::Removed
    }

    /// Replaces the worker by a new process at the same address.
    pub(crate) fn restart(&mut self, now: Time) {
        self.replicas.clear();
        self.endpoint.state = EndpointState::Ready;
        self.endpoint.started_at = Some(now);
    }
}

/// All workers, including removed ones, by index and by address.
#[derive(Default)]
pub(crate) struct Workers {
    all: Vec<SimulatedWorker>,
    by_address: BTreeMap<WorkerId, usize>,
}

impl Workers {
    /// Adds a worker with random properties, and returns its index.
    pub(crate) fn add(&mut self, scenario: &Scenario, now: Time) -> usize {
        let index = self.all.len();
        let endpoint = new_endpoint(index as u64, scenario, now);
        self.by_address.insert(endpoint.worker.clone(), index);
        self.all.push(SimulatedWorker {
            endpoint,
            replicas: BTreeMap::new(),
            attempts: BTreeSet::new(),
        });
        index
    }

    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn index_of(&self, address: &WorkerId) -> Option<usize> {
        self.by_address.get(address).copied()
    }

    pub(crate) fn get(&self, index: usize) -> &SimulatedWorker {
        &self.all[index]
    }

    pub(crate) fn get_mut(&mut self, index: usize) -> &mut SimulatedWorker {
        &mut self.all[index]
    }

    /// The endpoints of all workers that are not removed.
    pub(crate) fn present_endpoints(&self) -> Vec<Endpoint> {
        self.all
            .iter()
            .filter(|worker| !worker.is_removed())
            .map(|worker| worker.endpoint.clone())
            .collect()
    }

    /// The endpoints of these workers.
    pub(crate) fn endpoints(&self, indices: impl IntoIterator<Item = usize>) -> Vec<Endpoint> {
        indices
            .into_iter()
            .map(|index| self.all[index].endpoint.clone())
            .collect()
    }

    /// The indices of the workers that a mass removal affects.
    pub(crate) fn mass_removal_indices(&self) -> Vec<usize> {
        let affected = (MASS_REMOVAL_OFFSET..self.all.len()).step_by(MASS_REMOVAL_STRIDE);
        affected.collect()
    }
}

/// The endpoint of a new worker. One that is added during the scenario has just started.
fn new_endpoint(number: u64, scenario: &Scenario, now: Time) -> Endpoint {
    let mut random = generator(scenario.seed, Purpose::NewWorker, number, 0);
    let profile = &scenario.workers;
    // Zones are of unequal sizes: the first has the most workers.
    let zone = (random.random_range(0.0..1.0f64).powf(1.5) * profile.zones as f64) as usize;
    let just_started = random.random_range(0.0..1.0) < profile.just_started || now > scenario.start;
    let started_at = just_started.then(|| now.saturating_sub(random.random_range(0..3_000) * MS));
    Endpoint {
        worker: address(number),
        weight: [0.0, 1.0, 2.0][random.random_range(0..3)],
        state: EndpointState::Ready,
        zone: if profile.zones > 0 {
            format!("z{zone}")
        } else {
            String::new()
        },
        cell: random.random_range(0..4),
        memory_mb: [0.0, 2_000.0, 16_000.0][random.random_range(0..3)],
        started_at,
    }
}

fn address(number: u64) -> WorkerId {
    let (high, middle, low) = (number >> 16, number >> 8 & 255, number & 255);
    WorkerId::new(&format!("10.{high}.{middle}.{low}:8080"))
}
