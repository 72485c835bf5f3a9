//! Sets and sums over all workers, updated with each change of one of them.
//!
//! Sums are integers: a value that was added can be subtracted again without a rounding error, while
//! sums of floating-point numbers would drift as values are added and subtracted.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;

use crate::api::{Endpoint, EndpointState, FunctionId, Time, WorkerId};
use crate::attempt::Attempt;
use crate::statistics::{DecayingPart, DecayingSum};
use crate::worker::WorkerState;

/// The integer that represents an error rate of 1 in sums.
const ERROR_RATE_UNIT: f64 = (1u64 << 60) as f64;
/// The integer that represents a weight of 1 in sums.
const WEIGHT_UNIT: f64 = (1u64 << 30) as f64;
/// The largest weight; larger values count as this one, so that the sum cannot overflow.
const MAX_WEIGHT: f64 = 1e6;

/// The sets and sums over all workers. The part of each worker is kept with it as [`IndexedState`].
#[derive(Debug, Default)]
pub(super) struct WorkerIndex {
    /// Ready workers by hash.
    ring: BTreeSet<(u64, WorkerId)>,
    removed: BTreeSet<WorkerId>,
    /// Workers with attempts in flight, or answers that are still counted.
    active: BTreeSet<WorkerId>,
    /// Workers with an attempt or a load command that may be loading a function.
    loading: BTreeSet<WorkerId>,
    /// Workers with replicas of any function.
    with_replicas: BTreeSet<WorkerId>,
    /// Workers with replicas of each function; some may have lost them since.
    holders: BTreeSet<(FunctionId, WorkerId)>,
    /// Workers with attempts in flight, by zone.
    busy: BTreeMap<String, BTreeSet<WorkerId>>,
    /// The number of workers whose last response was at each time, by zone.
    last_responses: BTreeMap<String, BTreeMap<Time, usize>>,
    /// The number of ready workers that started at each time; times before the last query are dropped.
    started: BTreeMap<Time, usize>,
    /// The sum over the ready workers of the reported requests in flight beyond the first.
    reported_in_flight: DecayingSum,
    /// The number of ready workers that have reported.
    reporting_workers: usize,
    /// The sum of the weights of the ready workers; [`WEIGHT_UNIT`] represents 1.
    weights: u128,
    /// The number of ready workers that have a weight.
    weighted_workers: usize,
    /// The sum of the error rates of the ready workers for each class; [`ERROR_RATE_UNIT`] represents 1.
    error_rates: Vec<u128>,
}

/// The values of one worker that are included in the index.
#[derive(Debug, Default)]
pub(crate) struct IndexedState {
    ring: bool,
    removed: bool,
    active: bool,
    loading: bool,
    with_replicas: bool,
    busy: bool,
    zone: Option<String>,
    last_response_at: Time,
    started_at: Option<Time>,
    reported_in_flight: Option<DecayingPart>,
    weight: u64,
    error_rates: Vec<u64>,
}

impl WorkerIndex {
    /// Creates an empty index; `half_life` is the half-life of the reported requests in flight.
    pub(super) fn new(half_life: Time) -> Self {
        WorkerIndex {
            reported_in_flight: DecayingSum::new(half_life),
            ..WorkerIndex::default()
        }
    }

    /// Updates the index after a change of a worker; `known` states whether the worker is still in the
    /// table.
    pub(super) fn update(&mut self, worker: &mut WorkerState, known: bool) {
        worker.replicas.refresh_load_commands();
        let mut indexed = mem::take(worker.indexed_mut());
        let ready = known && worker.is_ready();
        self.update_sets(worker, &mut indexed, known);
        self.update_ring(worker, &mut indexed, ready);
        self.update_last_response(worker, &mut indexed, known);
        self.update_zone(worker, &mut indexed, known);
        self.update_started(worker, &mut indexed, ready);
        self.update_reported_load(worker, &mut indexed, ready);
        self.update_weight(worker, &mut indexed, ready);
        self.update_error_rates(worker, &mut indexed, ready);
        *worker.indexed_mut() = indexed;
    }

    fn update_sets(&mut self, worker: &WorkerState, indexed: &mut IndexedState, known: bool) {
        let id = &worker.endpoint().worker;
        let is_removed = worker.endpoint().state == EndpointState::Removed;
        let is_active = worker.responses.has_answers() || !worker.attempts.is_empty();
        let may_load = worker.replicas.may_have_load_commands()
            || worker.attempts.iter().any(Attempt::may_load);
        let has_replicas = !worker.replicas.is_empty();
        set_member(
            &mut self.removed,
            id,
            &mut indexed.removed,
            known && is_removed,
        );
        set_member(
            &mut self.active,
            id,
            &mut indexed.active,
            known && is_active,
        );
        set_member(
            &mut self.loading,
            id,
            &mut indexed.loading,
            known && may_load,
        );
        set_member(
            &mut self.with_replicas,
            id,
            &mut indexed.with_replicas,
            known && has_replicas,
        );
    }

    fn update_ring(&mut self, worker: &WorkerState, indexed: &mut IndexedState, ready: bool) {
        if mem::replace(&mut indexed.ring, ready) == ready {
            return;
        }
        let position = (worker.hash(), worker.endpoint().worker.clone());
        if ready {
            self.ring.insert(position);
        } else {
            self.ring.remove(&position);
        }
    }

    fn update_last_response(
        &mut self,
        worker: &WorkerState,
        indexed: &mut IndexedState,
        known: bool,
    ) {
        let zone = &worker.endpoint().zone;
        let unchanged = indexed.zone.as_deref() == Some(zone)
            && indexed.last_response_at == worker.responses.last_at();
        if known && unchanged {
            return;
        }
        if let Some(times) = indexed
            .zone
            .as_ref()
            .and_then(|zone| self.last_responses.get_mut(zone))
        {
            decrement(times, indexed.last_response_at);
        }
        if !known {
            return;
        }
        indexed.last_response_at = worker.responses.last_at();
        if let Some(times) = self.last_responses.get_mut(zone) {
            *times.entry(worker.responses.last_at()).or_default() += 1;
        } else {
            let times = BTreeMap::from([(worker.responses.last_at(), 1)]);
            self.last_responses.insert(zone.clone(), times);
        }
    }

    /// Updates the sets of busy workers by zone, and then the worker's zone. It must run after
    /// `update_last_response`, which needs the former zone.
    fn update_zone(&mut self, worker: &WorkerState, indexed: &mut IndexedState, known: bool) {
        let zone = known.then_some(worker.endpoint().zone.as_str());
        let is_busy = known && !worker.attempts.is_empty();
        let moved = indexed.zone.as_deref() != zone;
        if moved || indexed.busy != is_busy {
            if let Some(former) = indexed.zone.as_ref().filter(|_| indexed.busy) {
                self.remove_busy(former, &worker.endpoint().worker);
            }
            if is_busy {
                self.busy
                    .entry(worker.endpoint().zone.clone())
                    .or_default()
                    .insert(worker.endpoint().worker.clone());
            }
            indexed.busy = is_busy;
        }
        if !moved {
            return;
        }
        let former = mem::replace(&mut indexed.zone, zone.map(str::to_string));
        let is_empty = |zone: &String| {
            self.last_responses
                .get(zone)
                .is_some_and(BTreeMap::is_empty)
        };
        if let Some(former) = former.filter(is_empty) {
            self.last_responses.remove(&former);
        }
    }

    fn remove_busy(&mut self, zone: &str, worker: &WorkerId) {
        let Some(busy) = self.busy.get_mut(zone) else {
            return;
        };
        busy.remove(worker);
        if busy.is_empty() {
            self.busy.remove(zone);
        }
    }

    fn update_started(&mut self, worker: &WorkerState, indexed: &mut IndexedState, ready: bool) {
        let started_at = worker.endpoint().started_at.filter(|_| ready);
        if indexed.started_at == started_at {
            return;
        }
        if let Some(before) = mem::replace(&mut indexed.started_at, started_at) {
            decrement(&mut self.started, before);
        }
        if let Some(time) = started_at {
            *self.started.entry(time).or_default() += 1;
        }
    }

    fn update_reported_load(
        &mut self,
        worker: &WorkerState,
        indexed: &mut IndexedState,
        ready: bool,
    ) {
        let report = worker.load_report;
        let part = (ready && report.received_at > 0).then(|| {
            self.reported_in_flight
                .part(report.received_at, report.mean_in_flight - 1.0)
        });
        if indexed.reported_in_flight == part {
            return;
        }
        self.reporting_workers += usize::from(part.is_some());
        self.reporting_workers -= usize::from(indexed.reported_in_flight.is_some());
        if let Some(before) = mem::replace(&mut indexed.reported_in_flight, part) {
            self.reported_in_flight.subtract(before);
        }
        if let Some(part) = part {
            self.reported_in_flight.add(part);
        }
    }

    fn update_weight(&mut self, worker: &WorkerState, indexed: &mut IndexedState, ready: bool) {
        let weight = if ready {
            weight_units(worker.endpoint())
        } else {
            0
        };
        let before = mem::replace(&mut indexed.weight, weight);
        self.weights = self.weights + u128::from(weight) - u128::from(before);
        self.weighted_workers =
            self.weighted_workers + usize::from(weight > 0) - usize::from(before > 0);
    }

    fn update_error_rates(
        &mut self,
        worker: &WorkerState,
        indexed: &mut IndexedState,
        ready: bool,
    ) {
        let classes = worker.outliers.class_count().max(indexed.error_rates.len());
        indexed.error_rates.resize(classes, 0);
        self.error_rates
            .resize(classes.max(self.error_rates.len()), 0);
        let counted = self.error_rates.iter_mut().zip(&mut indexed.error_rates);
        for (class, (sum, before)) in counted.enumerate() {
            let rate = if ready {
                worker.outliers.error_rate(class)
            } else {
                0.0
            };
            let now = (rate.clamp(0.0, 1.0) * ERROR_RATE_UNIT) as u64;
            *sum = *sum + u128::from(now) - u128::from(mem::replace(before, now));
        }
    }

    /// The mean error rate of a class over the ready workers except this one; 0 if there is no
    /// other.
    pub(super) fn mean_error_rate_without(&self, worker: &WorkerState, class: usize) -> f64 {
        let own = worker.indexed().error_rates.get(class).copied();
        let without_own = |sum: &u128| sum - u128::from(own.unwrap_or(0));
        let others = self.error_rates.get(class).map_or(0, without_own) as f64 / ERROR_RATE_UNIT;
        others / (self.ring.len() - usize::from(worker.indexed().ring)).max(1) as f64
    }

    /// Records that a worker may hold replicas of a function from now on.
    pub(super) fn add_holder(&mut self, function: FunctionId, worker: &WorkerState) {
        self.holders
            .insert((function, worker.endpoint().worker.clone()));
    }

    /// Forgets the holders for which `retain` returns `false`.
    pub(super) fn retain_holders(&mut self, retain: impl Fn(&FunctionId, &WorkerId) -> bool) {
        self.holders
            .retain(|(function, worker)| retain(function, worker));
    }

    /// Workers that may hold replicas of a function, in the order of their addresses.
    pub(super) fn holders(&self, function: FunctionId) -> impl Iterator<Item = &WorkerId> {
        let first = (function, WorkerId::default());
        self.holders
            .range(first..)
            .take_while(move |(held, _)| *held == function)
            .map(|(_, worker)| worker)
    }

    /// Removed workers, in the order of their addresses.
    pub(super) fn removed(&self) -> impl Iterator<Item = &WorkerId> {
        self.removed.iter()
    }

    /// Workers with attempts in flight or answers that are still counted, in the order of their
    /// addresses.
    pub(super) fn active(&self) -> impl Iterator<Item = &WorkerId> {
        self.active.iter()
    }

    /// Workers with an attempt or a load command that may be loading a function, in the order of their
    /// addresses.
    pub(super) fn loading(&self) -> impl Iterator<Item = &WorkerId> {
        self.loading.iter()
    }

    /// Workers with replicas, in the order of their addresses.
    pub(super) fn with_replicas(&self) -> impl Iterator<Item = &WorkerId> {
        self.with_replicas.iter()
    }

    /// How many workers are ready.
    pub(super) fn ready_count(&self) -> usize {
        self.ring.len()
    }

    /// All ready workers in ring order, starting at `hash`.
    pub(super) fn ring_from(&self, hash: u64) -> impl Iterator<Item = &(u64, WorkerId)> {
        let first = (hash, WorkerId::default());
        self.ring
            .range(first.clone()..)
            .chain(self.ring.range(..first))
    }

    /// How many zones there are.
    pub(super) fn zone_count(&self) -> usize {
        self.last_responses.len()
    }

    /// When a zone last responded; `None` if it has no worker.
    pub(super) fn last_response_in(&self, zone: &str) -> Option<Time> {
        let (last, _) = self.last_responses.get(zone)?.last_key_value()?;
        Some(*last)
    }

    /// The zones with attempts in flight.
    pub(super) fn busy_zones(&self) -> impl Iterator<Item = &str> {
        self.busy.keys().map(String::as_str)
    }

    /// Workers of a zone with attempts in flight, in the order of their addresses.
    pub(super) fn busy_in<'a>(
        &'a self,
        zone: &str,
    ) -> impl Iterator<Item = &'a WorkerId> + use<'a> {
        self.busy.get(zone).into_iter().flatten()
    }

    /// How many ready workers started at the time `time` or later; `time` must never decrease between
    /// calls.
    pub(super) fn started_since(&mut self, time: Time) -> usize {
        self.started = self.started.split_off(&time);
        self.started.values().sum()
    }

    /// The ratio of a worker's weight to the mean weight of the ready workers that have one; 1 if the
    /// worker has none.
    pub(super) fn relative_weight(&self, worker: &WorkerState) -> f64 {
        let weight = weight_units(worker.endpoint()) as f64;
        if weight == 0.0 || self.weights == 0 {
            return 1.0;
        }
        weight * self.weighted_workers as f64 / self.weights as f64
    }

    /// The mean of the requests in flight that ready workers reported; 0 if none has reported. Each
    /// number decays to one with the age of its report, and is at least one.
    pub(super) fn mean_reported_in_flight(&self, now: Time) -> f64 {
        (self.reporting_workers as f64 + self.reported_in_flight.sum(now))
            / self.reporting_workers.max(1) as f64
    }
}

/// Adds a worker to a set or removes it, so that its membership is `is`; `was` is its membership before
/// and is updated.
fn set_member(set: &mut BTreeSet<WorkerId>, worker: &WorkerId, was: &mut bool, is: bool) {
    if mem::replace(was, is) == is {
        return;
    }
    if is {
        set.insert(worker.clone());
    } else {
        set.remove(worker);
    }
}

/// The weight of an endpoint as an integer, where [`WEIGHT_UNIT`] represents 1; 0 if it has none.
fn weight_units(endpoint: &Endpoint) -> u64 {
    (endpoint.weight.clamp(0.0, MAX_WEIGHT) * WEIGHT_UNIT) as u64
}

/// Decrements the count of a time.
fn decrement(times: &mut BTreeMap<Time, usize>, time: Time) {
    if let Some(count) = times.get_mut(&time) {
        *count -= 1;
        if *count == 0 {
            times.remove(&time);
        }
    }
}
