//! The workers that a front end knows, with sets and sums over them that are kept as things happen.
//!
//! A call must not cost more in a larger tier, so nothing on its path goes through all workers: what a
//! decision asks of all of them stands here, brought up to date whenever one of them has changed. No
//! decision is made here, and nothing here depends on the clock but what the caller hands in.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::BuildHasherDefault;
use std::ops::{Deref, DerefMut};

use crate::api::{Endpoint, EndpointState, FunctionId, Time, WorkerId};
use crate::state::{Replicas, WorkerState};
use crate::work::looked;

/// The workers by address. The hasher has fixed keys: equal events leave equal states.
#[derive(Debug, Default)]
pub(crate) struct WorkerPool {
    workers: HashMap<WorkerId, WorkerState, BuildHasherDefault<DefaultHasher>>,
    index: WorkerIndex,
}

/// What is known of all workers together. Each worker's part stands with it as [`IndexedState`].
#[derive(Debug, Default)]
struct WorkerIndex {
    /// Live ones by hash.
    ring: BTreeSet<(u64, WorkerId)>,
    removed: BTreeSet<WorkerId>,
    /// With sends out, or answers that are still counted.
    active: BTreeSet<WorkerId>,
    /// With a send or an order that may stand for a load.
    loading: BTreeSet<WorkerId>,
    /// With copies, and with copies of each function: some may have lost them since.
    with_replicas: BTreeSet<WorkerId>,
    holders: BTreeSet<(FunctionId, WorkerId)>,
    /// With sends out, by zone.
    busy: BTreeMap<String, BTreeSet<WorkerId>>,
    /// How many were last heard at each time, by zone.
    last_responses: BTreeMap<String, BTreeMap<Time, usize>>,
    /// How many live ones started at each time, those long past left out.
    started: BTreeMap<Time, usize>,
    /// What live ones told to hold, and how many told it.
    reported_in_flight: DecayingSum,
    reporting_workers: usize,
    /// Sizes of the live ones that tell theirs, in units of [`WEIGHT_UNIT`], and how many do.
    weights: u128,
    weighted_workers: usize,
    /// Shares of errors of the live ones for each class, in units of [`ERROR_RATE_UNIT`].
    error_rates: Vec<u128>,
}

/// What of a worker is counted in the index.
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

/// Shares are summed as whole numbers of this: sums of floats would drift as parts come and go.
const ERROR_RATE_UNIT: f64 = (1u64 << 60) as f64;
/// Sizes are summed likewise, none counted for more than [`MAX_WEIGHT`].
const WEIGHT_UNIT: f64 = (1u64 << 30) as f64;
const MAX_WEIGHT: f64 = 1e6;

/// A worker that is being changed; what is counted of it is brought up to date when this goes.
pub(crate) struct WorkerGuard<'a> {
    node: &'a mut WorkerState,
    index: &'a mut WorkerIndex,
}

impl Deref for WorkerGuard<'_> {
    type Target = WorkerState;
    fn deref(&self) -> &WorkerState {
        self.node
    }
}

impl DerefMut for WorkerGuard<'_> {
    fn deref_mut(&mut self) -> &mut WorkerState {
        self.node
    }
}

impl Drop for WorkerGuard<'_> {
    fn drop(&mut self) {
        self.index.note(self.node, true);
    }
}

impl WorkerGuard<'_> {
    /// The mean share of errors in a class over the live workers but this one; 0 where there is no other.
    pub(crate) fn mean_error_rate_of_others(&self, class: usize) -> f64 {
        let (all, own) = (&self.index.error_rates, &self.node.indexed);
        let of =
            |errors: &u128| errors - u128::from(own.error_rates.get(class).copied().unwrap_or(0));
        let others = all.get(class).map_or(0, of) as f64 / ERROR_RATE_UNIT;
        others / (self.index.ring.len() - usize::from(own.ring)).max(1) as f64
    }

    /// What is believed of a function's copies here: the only way to begin to believe in any.
    pub(crate) fn replicas_of(&mut self, function: FunctionId) -> &mut Replicas {
        if !self.node.replicas.contains_key(&function) {
            self.index
                .holders
                .insert((function, self.node.endpoint.worker.clone()));
        }
        self.node.replicas.entry(function).or_default()
    }
}

impl std::ops::Index<&WorkerId> for WorkerPool {
    type Output = WorkerState;
    fn index(&self, worker: &WorkerId) -> &WorkerState {
        looked(1);
        &self.workers[worker]
    }
}

impl WorkerPool {
    /// An empty tier in which told loads fade by half in this time.
    pub(crate) fn new(half_life: Time) -> Self {
        let index = WorkerIndex {
            reported_in_flight: DecayingSum::new(half_life),
            ..WorkerIndex::default()
        };
        WorkerPool {
            workers: HashMap::default(),
            index,
        }
    }

    /// A worker to be changed.
    pub(crate) fn get_mut(&mut self, worker: &WorkerId) -> Option<WorkerGuard<'_>> {
        looked(1);
        Some(WorkerGuard {
            node: self.workers.get_mut(worker)?,
            index: &mut self.index,
        })
    }

    /// The worker of an entry, to be changed; as the entry says where it was not known.
    pub(crate) fn get_or_add(&mut self, entry: &Endpoint, classes: usize) -> WorkerGuard<'_> {
        looked(1);
        let new = || WorkerState::new(entry.clone(), classes);
        let node = self.workers.entry(entry.worker.clone()).or_insert_with(new);
        WorkerGuard {
            node,
            index: &mut self.index,
        }
    }

    /// Changes those of which this holds; it goes through all workers.
    pub(crate) fn change_where(
        &mut self,
        holds: impl Fn(&WorkerState) -> bool,
        change: impl FnMut(&mut WorkerState),
    ) {
        looked(self.workers.len() as u64);
        let mut those: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, n)| holds(n))
            .map(|(w, _)| w.clone())
            .collect();
        those.sort_unstable();
        self.change_each(those, change);
    }

    /// Changes each worker with sends out or answers that are still counted, by address.
    pub(crate) fn change_active(&mut self, change: impl FnMut(&mut WorkerState)) {
        self.change_each(self.index.active.iter().cloned().collect(), change);
    }

    /// Changes each worker with copies, by address.
    pub(crate) fn change_with_replicas(&mut self, change: impl FnMut(&mut WorkerState)) {
        self.change_each(self.index.with_replicas.iter().cloned().collect(), change);
    }

    fn change_each(&mut self, those: Vec<WorkerId>, mut change: impl FnMut(&mut WorkerState)) {
        for worker in &those {
            self.get_mut(worker)
                .into_iter()
                .for_each(|mut node| change(&mut node));
        }
    }

    /// Forgets the workers that have gone and owe no answer.
    pub(crate) fn forget_removed(&mut self) {
        let over = |w: &&WorkerId| self.workers.get(*w).is_none_or(|n| n.in_flight.is_empty());
        let over: Vec<WorkerId> = self
            .index
            .removed
            .iter()
            .inspect(|_| looked(1))
            .filter(over)
            .cloned()
            .collect();
        for worker in over {
            if let Some(mut node) = self.workers.remove(&worker) {
                self.index.note(&mut node, false);
            }
        }
    }

    /// Forgets which workers held functions that they do not hold any more.
    pub(crate) fn forget_former_holders(&mut self) {
        let nodes = &self.workers;
        self.index
            .holders
            .retain(|(f, w)| nodes.get(w).is_some_and(|n| n.replicas.contains_key(f)));
    }

    fn states<'a>(
        &'a self,
        set: impl Iterator<Item = &'a WorkerId> + 'a,
    ) -> impl Iterator<Item = &'a WorkerState> + 'a {
        set.inspect(|_| looked(1))
            .filter_map(|w| self.workers.get(w))
    }

    /// How many workers are live.
    pub(crate) fn ready_count(&self) -> usize {
        self.index.ring.len()
    }

    /// So many live workers with their hashes, from this one on around the ring; all where there are fewer.
    pub(crate) fn ring_from(
        &self,
        hash: u64,
        most: usize,
    ) -> impl Iterator<Item = (u64, &WorkerId)> {
        let first = (hash, WorkerId::default());
        let ring = &self.index.ring;
        let around = ring.range(first.clone()..).chain(ring.range(..first));
        around
            .take(most)
            .inspect(|_| looked(1))
            .map(|(hash, worker)| (*hash, worker))
    }

    /// Workers with sends out or answers that are still counted, by address.
    pub(crate) fn active(&self) -> impl Iterator<Item = &WorkerState> {
        self.states(self.index.active.iter())
    }

    /// Workers with a send or an order that may stand for a load, by address.
    pub(crate) fn loading(&self) -> impl Iterator<Item = &WorkerState> {
        self.states(self.index.loading.iter())
    }

    /// Workers that may hold copies of a function, by address.
    pub(crate) fn holders(&self, function: FunctionId) -> impl Iterator<Item = &WorkerState> {
        let from = (function, WorkerId::default());
        self.states(
            self.index
                .holders
                .range(from..)
                .take_while(move |(f, _)| *f == function)
                .map(|(_, w)| w),
        )
    }

    /// How many zones there are.
    pub(crate) fn zone_count(&self) -> usize {
        self.index.last_responses.len()
    }

    /// When a zone was last heard from; `None` where it has no worker.
    pub(crate) fn last_response_in(&self, zone: &str) -> Option<Time> {
        self.index
            .last_responses
            .get(zone)?
            .last_key_value()
            .map(|(heard, _)| *heard)
    }

    /// The zones to which sends are out.
    pub(crate) fn busy_zones(&self) -> impl Iterator<Item = &str> {
        self.index.busy.keys().map(String::as_str)
    }

    /// Workers of a zone with sends out, by address.
    pub(crate) fn busy_in(&self, zone: &str) -> impl Iterator<Item = &WorkerState> {
        self.states(self.index.busy.get(zone).into_iter().flatten())
    }

    /// How many live workers started at this time or later; the time must never go back.
    pub(crate) fn started_since(&mut self, time: Time) -> usize {
        self.index.started = self.index.started.split_off(&time);
        self.index.started.values().sum()
    }

    /// A worker's size as a multiple of the mean of the live ones that tell theirs; 1 where it is not told.
    pub(crate) fn relative_weight(&self, node: &WorkerState) -> f64 {
        let size = size_units(&node.endpoint) as f64;
        if size == 0.0 || self.index.weights == 0 {
            return 1.0;
        }
        size * self.index.weighted_workers as f64 / self.index.weights as f64
    }

    /// The mean of what live workers told to hold, each one call at the least and faded to that; 0 where none
    /// has told it.
    pub(crate) fn mean_reported_in_flight(&self, now: Time) -> f64 {
        (self.index.reporting_workers as f64 + self.index.reported_in_flight.sum(now))
            / self.index.reporting_workers.max(1) as f64
    }
}

/// The size that a worker's entry tells, in units of [`WEIGHT_UNIT`]; 0 where it tells none.
fn size_units(entry: &Endpoint) -> u64 {
    (entry.weight.clamp(0.0, MAX_WEIGHT) * WEIGHT_UNIT) as u64
}

impl WorkerIndex {
    /// Brings what is counted of a worker up to date; `there`: it is still known.
    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    fn note(&mut self, node: &mut WorkerState, there: bool) {
        let live = there && node.is_ready();
        if node.may_have_load_commands {
            node.may_have_load_commands = node.replicas.values().any(|c| c.load_requested);
        }
        let mut counted = std::mem::take(&mut node.indexed);
        let entry = &node.endpoint;
        let set = |set: &mut BTreeSet<WorkerId>, was: &mut bool, is: bool| {
            if std::mem::replace(was, is) != is && !(is && set.insert(entry.worker.clone())) {
                set.remove(&entry.worker);
            }
        };
        let waits = !node.recent_answers.is_empty() || !node.in_flight.is_empty();
        let loads = node.may_have_load_commands
            || node
                .in_flight
                .iter()
                .any(|s| s.cold_start || s.unconfirmed || s.adds_replica);
        set(
            &mut self.removed,
            &mut counted.removed,
            there && entry.state == EndpointState::Removed,
        );
        set(&mut self.active, &mut counted.active, there && waits);
        set(&mut self.loading, &mut counted.loading, there && loads);
        set(
            &mut self.with_replicas,
            &mut counted.with_replicas,
            there && !node.replicas.is_empty(),
        );
        if std::mem::replace(&mut counted.ring, live) != live {
            let place = (node.hash, entry.worker.clone());
            if !(live && self.ring.insert(place.clone())) {
                self.ring.remove(&place);
            }
        }
        // The zone, with what is counted in it.
        if counted.zone.as_deref() != Some(&entry.zone)
            || !there
            || counted.last_response_at != node.last_response_at
        {
            if let Some(times) = counted
                .zone
                .as_ref()
                .and_then(|z| self.last_responses.get_mut(z))
            {
                less(times, counted.last_response_at);
            }
            if there {
                counted.last_response_at = node.last_response_at;
                if let Some(times) = self.last_responses.get_mut(&entry.zone) {
                    *times.entry(node.last_response_at).or_default() += 1;
                } else {
                    self.last_responses.insert(
                        entry.zone.clone(),
                        BTreeMap::from([(node.last_response_at, 1)]),
                    );
                }
            }
        }
        let is_busy = there && !node.in_flight.is_empty();
        let moved = counted.zone.as_deref() != there.then_some(entry.zone.as_str());
        if moved || counted.busy != is_busy {
            if let Some(zone) = counted.zone.as_ref().filter(|_| counted.busy) {
                let left = self.busy.get_mut(zone).is_some_and(|set| {
                    set.remove(&entry.worker);
                    !set.is_empty()
                });
                if !left {
                    self.busy.remove(zone);
                }
            }
            if is_busy {
                self.busy
                    .entry(entry.zone.clone())
                    .or_default()
                    .insert(entry.worker.clone());
            }
            counted.busy = is_busy;
        }
        if moved {
            if let Some(zone) =
                std::mem::replace(&mut counted.zone, there.then(|| entry.zone.clone()))
            {
                if self
                    .last_responses
                    .get(&zone)
                    .is_some_and(BTreeMap::is_empty)
                {
                    self.last_responses.remove(&zone);
                }
            }
        }
        let started = entry.started_at.filter(|_| live);
        if counted.started_at != started {
            if let Some(before) = std::mem::replace(&mut counted.started_at, started) {
                less(&mut self.started, before);
            }
            if let Some(time) = started {
                *self.started.entry(time).or_default() += 1;
            }
        }
        let told = node.load_report;
        let held = (live && told.received_at > 0).then(|| {
            self.reported_in_flight
                .part(told.received_at, told.mean_in_flight - 1.0)
        });
        if counted.reported_in_flight != held {
            self.reporting_workers += usize::from(held.is_some());
            self.reporting_workers -= usize::from(counted.reported_in_flight.is_some());
            if let Some(before) = std::mem::replace(&mut counted.reported_in_flight, held) {
                self.reported_in_flight.subtract(before);
            }
            held.into_iter()
                .for_each(|part| self.reported_in_flight.add(part));
        }
        let size = if live { size_units(entry) } else { 0 };
        let before = std::mem::replace(&mut counted.weight, size);
        self.weights = self.weights + u128::from(size) - u128::from(before);
        self.weighted_workers =
            self.weighted_workers + usize::from(size > 0) - usize::from(before > 0);
        let classes = node.health.len().max(counted.error_rates.len());
        counted.error_rates.resize(classes, 0);
        self.error_rates
            .resize(classes.max(self.error_rates.len()), 0);
        for (class, (sum, before)) in self
            .error_rates
            .iter_mut()
            .zip(&mut counted.error_rates)
            .enumerate()
        {
            let share = node
                .health
                .get(class)
                .filter(|_| live)
                .map_or(0.0, |h| h.error_rate);
            let now = (share.clamp(0.0, 1.0) * ERROR_RATE_UNIT) as u64;
            *sum = *sum + u128::from(now) - u128::from(std::mem::replace(before, now));
        }
        node.indexed = counted;
    }
}

/// Moments within a span, which come in order.
#[derive(Debug, Default)]
pub(crate) struct EventTimes(VecDeque<Time>);

impl EventTimes {
    /// Adds a moment, which none before it is later than.
    pub(crate) fn push(&mut self, time: Time) {
        self.0.push_back(time);
    }

    /// How many there are at this time or later.
    pub(crate) fn since(&self, time: Time) -> usize {
        self.0.len() - self.0.partition_point(|t| *t < time)
    }

    /// Forgets those before this time.
    pub(crate) fn forget_before(&mut self, time: Time) {
        self.0.drain(..self.0.partition_point(|t| *t < time));
    }
}

/// Counts one less of this time.
fn less(times: &mut BTreeMap<Time, usize>, time: Time) {
    if let Some(count) = times.get_mut(&time) {
        *count -= 1;
        if *count == 0 {
            times.remove(&time);
        }
    }
}

/// A sum of parts that each fade by half in the same time, whatever their age.
///
/// All parts fade alike, so the sum is kept as of one moment and faded as a whole. It is a whole number:
/// what was added can be taken out again without a trace, and a shift of the sum is one of its parts.
#[derive(Debug, Default)]
pub(crate) struct DecayingSum {
    half_life: Time,
    /// The half-lives at which the sum stands, in units of [`DecayingSum::UNIT`].
    epoch: u64,
    sum: u128,
}

/// One part, as of a whole number of half-lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DecayingPart {
    epoch: u64,
    value: u128,
}

impl DecayingSum {
    const UNIT: f64 = (1u64 << 40) as f64;
    /// No part counts for more: the sum of all must not overflow.
    const MOST: f64 = (1u64 << 24) as f64;
    /// The sum is moved on after so many half-lives.
    const SPAN: u64 = 32;

    /// An empty sum.
    pub(crate) fn new(half_life: Time) -> Self {
        DecayingSum {
            half_life: half_life.max(1),
            ..DecayingSum::default()
        }
    }

    /// A value as of a time, as a part; none below zero.
    pub(crate) fn part(&self, at: Time, value: f64) -> DecayingPart {
        let half = self.half_life.max(1);
        let scale = ((at % half) as f64 / half as f64).exp2();
        DecayingPart {
            epoch: at / half,
            value: (value.clamp(0.0, Self::MOST) * scale * Self::UNIT) as u128,
        }
    }

    fn now(&self, part: DecayingPart) -> u128 {
        if part.epoch >= self.epoch {
            // Parts are added as of now, and then the sum is never further behind than its span.
            part.value << (part.epoch - self.epoch).min(Self::SPAN)
        } else {
            shifted(part.value, self.epoch - part.epoch)
        }
    }

    /// Adds a part.
    pub(crate) fn add(&mut self, part: DecayingPart) {
        if part.epoch >= self.epoch + Self::SPAN {
            self.sum = shifted(self.sum, part.epoch - self.epoch);
            self.epoch = part.epoch;
        }
        self.sum += self.now(part);
    }

    /// Takes out a part that was added.
    pub(crate) fn subtract(&mut self, part: DecayingPart) {
        self.sum = self.sum.saturating_sub(self.now(part));
    }

    /// The sum, faded to now.
    pub(crate) fn sum(&self, now: Time) -> f64 {
        let half = self.half_life.max(1);
        let age = now.saturating_sub(self.epoch.saturating_mul(half)) as f64 / half as f64;
        self.sum as f64 / Self::UNIT * (-age).exp2()
    }
}

fn shifted(value: u128, by: u64) -> u128 {
    u32::try_from(by)
        .ok()
        .and_then(|by| value.checked_shr(by))
        .unwrap_or(0)
}
