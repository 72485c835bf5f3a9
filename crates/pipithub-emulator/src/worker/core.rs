//! The sans-I/O core of a worker: replicas of models in bounded memory, their loads, processor cores that requests share,
//! and slow start.

mod events;
mod function;
mod loads;
mod requests;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use pipithub_amqp::Time;
use pipithub_inference::IndexEntry;

use self::function::{FunctionState, Load};
use self::requests::{RunningRequest, WaitingRequest};
use super::settings::{NANOS_PER_MS, WorkerSettings};

pub(super) use self::events::{InferenceRequest, Placement, Rejection, WorkerEvent};

/// The interval at which due times are recomputed while the worker warms up, since its speed changes.
const WARM_UP_STEP: Time = 20 * NANOS_PER_MS;
/// A request with less remaining work than this, in nanoseconds, has ended; the rest is a rounding error.
const NEGLIGIBLE_WORK: f64 = 0.5;

/// The state of a worker.
#[derive(Debug)]
pub(super) struct WorkerCore {
    settings: WorkerSettings,
    /// Whether models are fetched from a store.
    has_store: bool,
    started: Time,
    now: Time,
    functions: BTreeMap<String, FunctionState>,
    running: Vec<RunningRequest>,
    waiting: VecDeque<WaitingRequest>,
    /// When the request of each idempotency key started to run.
    keys: BTreeMap<String, Time>,
    /// The arrival times of the requests within the overload window.
    arrivals: VecDeque<Time>,
    overloaded: bool,
    events: Vec<WorkerEvent>,
}

impl WorkerCore {
    /// A worker that starts at `now` without replicas. With `has_store`, models are fetched by [`WorkerEvent::Fetch`].
    pub(super) fn new(settings: WorkerSettings, has_store: bool, now: Time) -> Self {
        WorkerCore {
            settings,
            has_store,
            started: now,
            now,
            functions: BTreeMap::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            keys: BTreeMap::new(),
            arrivals: VecDeque::new(),
            overloaded: false,
            events: Vec::new(),
        }
    }

    /// Takes the events since the last call.
    pub(super) fn take_events(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.events)
    }

    /// The number of requests that run or wait.
    pub(super) fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// The share of the worker's cores that is in use, from 0 to 1.
    pub(super) fn cpu_utilization(&self) -> f64 {
        (self.running.len() as f64 / self.settings.cores).min(1.0)
    }

    /// The share of the worker's memory that holds replicas that cannot be unloaded now.
    pub(super) fn memory_utilization(&self) -> f64 {
        let pinned: f64 = self
            .functions
            .values()
            .map(FunctionState::pinned_memory_mb)
            .sum();
        pinned / self.settings.memory_mb.max(1.0)
    }

    /// The number of loads that are in progress or queued.
    pub(super) fn loading(&self) -> usize {
        self.functions
            .values()
            .map(|function| function.loading() as usize)
            .sum()
    }

    /// The models with replicas, by name, as the repository index lists them.
    pub(super) fn index(&self) -> Vec<IndexEntry> {
        let entry = |name: &String, function: &FunctionState| IndexEntry {
            name: name.clone(),
            state: if function.ready > 0 {
                "READY".into()
            } else {
                "LOADING".into()
            },
            reason: String::new(),
        };
        self.functions
            .iter()
            .filter(|(_, function)| function.replicas() > 0)
            .map(|(name, function)| entry(name, function))
            .collect()
    }

    /// Advances the time: requests and loads make progress and end, idle replicas and expired keys are removed, and
    /// waiting requests start.
    pub(super) fn on_time(&mut self, now: Time) {
        let passed = now.saturating_sub(self.now) as f64 * self.request_speed();
        self.now = now;
        for request in &mut self.running {
            request.remaining_work -= passed;
        }
        self.finish_requests();
        let names: Vec<String> = self.functions.keys().cloned().collect();
        for name in names {
            if let Some(function) = self.functions.get_mut(&name) {
                function.on_time(now, self.settings.keep_alive);
                self.finish_commands(&name);
            }
        }
        self.functions
            .retain(|_, function| !function.is_unused() || !function.commands.is_empty());
        let window = self.settings.deduplication_window;
        self.keys.retain(|_, began| *began + window > now);
        self.begin_waiting();
    }

    /// When [`WorkerCore::on_time`] is due.
    pub(super) fn next_due(&self) -> Option<Time> {
        let speed = self.request_speed().max(1e-9);
        let request = self
            .running
            .iter()
            .map(|request| self.now + (request.remaining_work.max(0.0) / speed) as Time + 1)
            .min();
        let is_warming_up = self.current_weight() < 1.0 && !self.running.is_empty();
        let warm_up = is_warming_up.then_some(self.now + WARM_UP_STEP);
        let load = self
            .functions
            .values()
            .flat_map(|function| &function.loads)
            .filter_map(|load| load.end())
            .min();
        let idle = self
            .functions
            .values()
            .filter(|function| function.has_idle_replica())
            .map(|function| function.idle_since + self.settings.keep_alive)
            .map(|end| end.max(self.now + NANOS_PER_MS))
            .min();
        [request, warm_up, load, idle].into_iter().flatten().min()
    }

    /// The part of its capacity that the worker has now, from 0 to 1.
    fn current_weight(&self) -> f64 {
        self.settings
            .weight_at_age(self.now.saturating_sub(self.started))
    }

    /// The speed at which each running request makes progress; 1 is that of a whole core with speed 1.
    fn request_speed(&self) -> f64 {
        let cores_each = self.settings.cores / self.running.len().max(1) as f64;
        self.settings.speed * self.current_weight() * cores_each.min(1.0)
    }

    fn finish_requests(&mut self) {
        let (running, finished) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| request.remaining_work > NEGLIGIBLE_WORK);
        self.running = running;
        let finished: Vec<RunningRequest> = finished;
        for request in finished {
            if let Some(function) = self.functions.get_mut(&request.function) {
                function.running -= 1;
                function.idle_since = self.now;
            }
            self.events.push(WorkerEvent::Finished {
                id: request.id,
                result: Ok(request.placement),
                concurrency: request.concurrency,
            });
        }
    }
}
