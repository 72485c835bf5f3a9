//! The workers that a front end knows, with sets and sums over them that are updated with each
//! change.
//!
//! The cost of a request must not grow with the number of workers, so no step of a request iterates
//! over all of them. Whatever a decision needs of all workers is kept in [`index`], which is updated
//! whenever a worker has changed. This module makes no decisions, and depends on the time only as far
//! as the caller passes it in.

mod index;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::BuildHasherDefault;
use std::ops::{Deref, DerefMut, Index};

pub(crate) use self::index::IndexedState;
use self::index::WorkerIndex;
use crate::api::{Endpoint, FunctionId, Time, WorkerId};
use crate::replicas::Replicas;
use crate::work::record_examined;
use crate::worker::WorkerState;

/// The workers by address. The hasher has fixed keys, so that equal events lead to equal states.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    workers: HashMap<WorkerId, WorkerState, BuildHasherDefault<DefaultHasher>>,
    index: WorkerIndex,
}

/// Mutable access to a worker; the index is updated when the guard is dropped.
pub(crate) struct WorkerGuard<'a> {
    worker: &'a mut WorkerState,
    index: &'a mut WorkerIndex,
}

impl Deref for WorkerGuard<'_> {
    type Target = WorkerState;

    fn deref(&self) -> &WorkerState {
        self.worker
    }
}

impl DerefMut for WorkerGuard<'_> {
    fn deref_mut(&mut self) -> &mut WorkerState {
        self.worker
    }
}

impl Drop for WorkerGuard<'_> {
    fn drop(&mut self) {
        self.index.update(self.worker, true);
    }
}

impl WorkerGuard<'_> {
    /// The mean error rate of a class over the other ready workers; 0 if there is no other.
    pub(crate) fn mean_error_rate_of_others(&self, class: usize) -> f64 {
        self.index.mean_error_rate_without(self.worker, class)
    }

    /// The function's replicas that this worker is assumed to hold, for changes. All new entries are
    /// added here, as this also adds the worker to the function's holders in the index.
    pub(crate) fn replicas_of(&mut self, function: FunctionId) -> &mut Replicas {
        if !self.worker.replicas.contains(function) {
            self.index.add_holder(function, self.worker);
        }
        self.worker.replicas.get_or_add(function)
    }
}

impl Index<&WorkerId> for WorkerTable {
    type Output = WorkerState;

    fn index(&self, worker: &WorkerId) -> &WorkerState {
        record_examined(1);
        &self.workers[worker]
    }
}

impl WorkerTable {
    /// Creates an empty table; `half_life` is the half-life of the reported requests in flight.
    pub(crate) fn new(half_life: Time) -> Self {
        WorkerTable {
            workers: HashMap::default(),
            index: WorkerIndex::new(half_life),
        }
    }

    /// A worker; `None` if it is not known.
    pub(crate) fn get(&self, worker: &WorkerId) -> Option<&WorkerState> {
        record_examined(1);
        self.workers.get(worker)
    }

    /// A worker, for changes; `None` if it is not known.
    pub(crate) fn get_mut(&mut self, worker: &WorkerId) -> Option<WorkerGuard<'_>> {
        record_examined(1);
        Some(WorkerGuard {
            worker: self.workers.get_mut(worker)?,
            index: &mut self.index,
        })
    }

    /// The worker of an endpoint, for changes; it is added with this endpoint if it was not known.
    pub(crate) fn get_or_add(&mut self, endpoint: &Endpoint, classes: usize) -> WorkerGuard<'_> {
        record_examined(1);
        let worker = self
            .workers
            .entry(endpoint.worker.clone())
            .or_insert_with(|| WorkerState::new(endpoint.clone(), classes));
        WorkerGuard {
            worker,
            index: &mut self.index,
        }
    }

    /// Changes the workers that match, in the order of their addresses. It iterates over all workers.
    pub(crate) fn change_where(
        &mut self,
        matches: impl Fn(&WorkerState) -> bool,
        change: impl FnMut(&mut WorkerState),
    ) {
        record_examined(self.workers.len() as u64);
        let mut matching: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| matches(worker))
            .map(|(id, _)| id.clone())
            .collect();
        matching.sort_unstable();
        self.change_each(&matching, change);
    }

    /// Changes each worker with attempts in flight or answers that are still counted, in the order of
    /// their addresses.
    pub(crate) fn change_active(&mut self, change: impl FnMut(&mut WorkerState)) {
        let active: Vec<WorkerId> = self.index.active().cloned().collect();
        self.change_each(&active, change);
    }

    /// Changes each worker with replicas, in the order of their addresses.
    pub(crate) fn change_with_replicas(&mut self, change: impl FnMut(&mut WorkerState)) {
        let with_replicas: Vec<WorkerId> = self.index.with_replicas().cloned().collect();
        self.change_each(&with_replicas, change);
    }

    fn change_each(&mut self, workers: &[WorkerId], mut change: impl FnMut(&mut WorkerState)) {
        for id in workers {
            if let Some(mut worker) = self.get_mut(id) {
                change(&mut worker);
            }
        }
    }

    /// Forgets the removed workers that have no attempt in flight.
    pub(crate) fn forget_removed(&mut self) {
        let idle = |id: &&WorkerId| {
            self.workers
                .get(*id)
                .is_none_or(|worker| worker.attempts.is_empty())
        };
        let idle: Vec<WorkerId> = self
            .index
            .removed()
            .inspect(|_| record_examined(1))
            .filter(idle)
            .cloned()
            .collect();
        for id in idle {
            if let Some(mut worker) = self.workers.remove(&id) {
                self.index.update(&mut worker, false);
            }
        }
    }

    /// Removes workers from the holders of functions that they no longer hold.
    pub(crate) fn forget_former_holders(&mut self) {
        let workers = &self.workers;
        self.index.retain_holders(|function, id| {
            workers
                .get(id)
                .is_some_and(|worker| worker.replicas.contains(*function))
        });
    }

    fn states<'a>(
        &'a self,
        ids: impl Iterator<Item = &'a WorkerId>,
    ) -> impl Iterator<Item = &'a WorkerState> {
        ids.inspect(|_| record_examined(1))
            .filter_map(|id| self.workers.get(id))
    }

    /// How many workers are ready.
    pub(crate) fn ready_count(&self) -> usize {
        self.index.ready_count()
    }

    /// At most `max` ready workers with their hashes, in ring order, starting at `hash`.
    pub(crate) fn ring_from(
        &self,
        hash: u64,
        max: usize,
    ) -> impl Iterator<Item = (u64, &WorkerId)> {
        self.index
            .ring_from(hash)
            .take(max)
            .inspect(|_| record_examined(1))
            .map(|(hash, worker)| (*hash, worker))
    }

    /// Workers with attempts in flight or answers that are still counted, in the order of their
    /// addresses.
    pub(crate) fn active(&self) -> impl Iterator<Item = &WorkerState> {
        self.states(self.index.active())
    }

    /// Workers with an attempt or a load command that may be loading a function, in the order of their
    /// addresses.
    pub(crate) fn loading(&self) -> impl Iterator<Item = &WorkerState> {
        self.states(self.index.loading())
    }

    /// Workers that may hold replicas of a function, in the order of their addresses.
    pub(crate) fn holders(&self, function: FunctionId) -> impl Iterator<Item = &WorkerState> {
        self.states(self.index.holders(function))
    }

    /// How many zones there are.
    pub(crate) fn zone_count(&self) -> usize {
        self.index.zone_count()
    }

    /// When a zone last responded; `None` if it has no worker.
    pub(crate) fn last_response_in(&self, zone: &str) -> Option<Time> {
        self.index.last_response_in(zone)
    }

    /// The zones with attempts in flight.
    pub(crate) fn busy_zones(&self) -> impl Iterator<Item = &str> {
        self.index.busy_zones()
    }

    /// Workers of a zone with attempts in flight, in the order of their addresses.
    pub(crate) fn busy_in<'a>(
        &'a self,
        zone: &str,
    ) -> impl Iterator<Item = &'a WorkerState> + use<'a> {
        self.states(self.index.busy_in(zone))
    }

    /// How many ready workers started at the time `time` or later; `time` must never decrease between
    /// calls.
    pub(crate) fn started_since(&mut self, time: Time) -> usize {
        self.index.started_since(time)
    }

    /// The ratio of a worker's weight to the mean weight of the ready workers that have one; 1 if the
    /// worker has none.
    pub(crate) fn relative_weight(&self, worker: &WorkerState) -> f64 {
        self.index.relative_weight(worker)
    }

    /// The mean of the requests in flight that ready workers reported; 0 if none has reported. Each
    /// number decays to one with the age of its report, and is at least one.
    pub(crate) fn mean_reported_in_flight(&self, now: Time) -> f64 {
        self.index.mean_reported_in_flight(now)
    }
}
