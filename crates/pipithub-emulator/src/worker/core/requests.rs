//! Inference requests: admission, the queue, running, overload.

use pipithub_amqp::Time;

use super::super::settings::NANOS_PER_MS;
use super::{InferenceRequest, Placement, Rejection, WorkerCore, WorkerEvent};

/// The work of a duplicate, which has no effect.
const DUPLICATE_WORK: Time = NANOS_PER_MS;
/// The number of requests above the overload bound that are tolerated, since arrivals are random.
const OVERLOAD_SLACK: f64 = 2.0;

#[derive(Debug)]
pub(super) struct RunningRequest {
    pub(super) id: u64,
    pub(super) function: String,
    /// The remaining run time at speed 1, in nanoseconds.
    pub(super) remaining_work: f64,
    pub(super) placement: Placement,
    pub(super) concurrency: u32,
}

#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: InferenceRequest,
    pub(super) placement: Placement,
    pub(super) concurrency: u32,
}

impl WorkerCore {
    /// Handles the arrival of a request.
    pub(in crate::worker) fn receive(&mut self, now: Time, request: InferenceRequest) {
        self.on_time(now);
        self.check_overload();
        let id = request.id;
        let running = self.running.iter();
        let running = running.filter(|other| other.function == request.function);
        let concurrency = running.count() as u32 + self.waiting_for(&request.function);
        if let Err(rejection) = self.admit(request, concurrency) {
            self.events.push(WorkerEvent::Finished {
                id,
                result: Err(rejection),
                concurrency,
            });
        }
    }

    /// Handles the disconnection of a request's client: a waiting request is dropped, a running one continues.
    pub(in crate::worker) fn cancel(&mut self, now: Time, id: u64) {
        self.on_time(now);
        self.waiting.retain(|waiting| waiting.request.id != id);
    }

    /// The number of requests that wait for a model.
    fn waiting_for(&self, function: &str) -> u32 {
        self.waiting
            .iter()
            .filter(|waiting| waiting.request.function == function)
            .count() as u32
    }

    fn admit(&mut self, request: InferenceRequest, concurrency: u32) -> Result<(), Rejection> {
        if self.overloaded {
            return Err(Rejection::Overloaded);
        }
        if self.waiting.len() >= self.settings.queue {
            return Err(Rejection::QueueFull);
        }
        self.configure_function(&request);
        let placement = self.place(&request.function)?;
        self.waiting.push_back(WaitingRequest {
            request,
            placement,
            concurrency,
        });
        self.begin_waiting();
        Ok(())
    }

    /// Applies the memory and concurrency that a request states for its model.
    fn configure_function(&mut self, request: &InferenceRequest) {
        let settings = &self.settings;
        let function = self.functions.entry(request.function.clone()).or_default();
        function.replica_mb = if request.replica_mb > 0.0 {
            request.replica_mb
        } else {
            settings.replica_mb
        };
        function.replica_concurrency = if request.replica_concurrency > 0 {
            request.replica_concurrency
        } else {
            settings.replica_concurrency
        };
    }

    /// Finds a replica for a request, or begins to load one.
    fn place(&mut self, name: &str) -> Result<Placement, Rejection> {
        let waiting = self.waiting_for(name);
        let function = &self.functions[name];
        let is_ready = function.ready > 0;
        let slots = function.ready * function.replica_concurrency;
        let free = slots.saturating_sub(function.running + waiting);
        let coming = function.loading() * function.replica_concurrency;
        if free > 0 {
            return Ok(Placement::Warm);
        }
        if coming > waiting || coming > 0 && is_ready {
            return Ok(Placement::AwaitedLoad);
        }
        if self.queue_load(name) {
            return Ok(Placement::BeganLoad);
        }
        if self.functions[name].ready > 0 {
            return Ok(Placement::Warm);
        }
        self.functions.retain(|_, function| function.replicas() > 0);
        Err(Rejection::OutOfMemory)
    }

    /// Counts an arrival. Too many of them while the worker warms up make it fail.
    fn check_overload(&mut self) {
        let now = self.now;
        let window = self.settings.overload_window;
        self.arrivals.push_back(now);
        while self
            .arrivals
            .front()
            .is_some_and(|arrival| arrival + window <= now)
        {
            self.arrivals.pop_front();
        }
        let is_warm = now >= self.started + self.settings.slow_start_window;
        if self.settings.overload_factor <= 0.0 || self.overloaded || is_warm {
            return;
        }
        let bound = self.settings.overload_bound(self.current_weight());
        let received = self.arrivals.len() as f64;
        if received > bound + OVERLOAD_SLACK {
            self.overloaded = true;
            self.events
                .push(WorkerEvent::Overloaded { received, bound });
        }
    }

    /// Starts the waiting requests that can run, in order of arrival.
    pub(super) fn begin_waiting(&mut self) {
        self.begin_loads();
        let mut position = 0;
        while position < self.waiting.len() {
            let name = &self.waiting[position].request.function;
            let has_free_slot = self
                .functions
                .get(name)
                .is_some_and(super::FunctionState::has_free_slot);
            let waiting = has_free_slot
                .then(|| self.waiting.remove(position))
                .flatten();
            match waiting {
                Some(waiting) => self.run(waiting),
                None => position += 1,
            }
        }
    }

    fn run(&mut self, waiting: WaitingRequest) {
        let WaitingRequest {
            request,
            placement,
            concurrency,
        } = waiting;
        if let Some(function) = self.functions.get_mut(&request.function) {
            function.running += 1;
        }
        let key = request.key.as_ref();
        let is_known = key.is_some_and(|key| self.keys.contains_key(key));
        let dropped = request.is_duplicate || is_known;
        if let Some(key) = request.key.filter(|_| !dropped) {
            self.keys.insert(key, self.now);
        }
        let id = request.id;
        self.events.push(WorkerEvent::Running { id, dropped });
        let work = if dropped {
            DUPLICATE_WORK
        } else {
            request.work.unwrap_or(self.settings.run)
        };
        self.running.push(RunningRequest {
            id,
            function: request.function,
            remaining_work: work.max(1) as f64,
            placement,
            concurrency,
        });
    }
}
