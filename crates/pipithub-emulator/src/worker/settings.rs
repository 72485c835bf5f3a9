//! Settings of an emulated worker.

use pipithub_amqp::Time;

/// [`Time`] is in nanoseconds.
pub(super) const NANOS_PER_MS: Time = 1_000_000;
const NANOS_PER_SECOND: f64 = 1e9;

/// Settings of an emulated worker. Times are in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSettings {
    /// The number of cores.
    pub cores: f64,
    /// The speed of a core. At speed 1, a request with a core of its own runs on a warm worker for as long as its work
    /// states.
    pub speed: f64,
    /// Memory for replicas, in MB.
    pub memory_mb: f64,
    /// Memory of a replica whose requests do not state it, in MB.
    pub replica_mb: f64,
    /// Concurrency of a replica whose requests do not state it.
    pub replica_concurrency: u32,
    /// Run time of a request that does not state it.
    pub run: Time,
    /// Time of a load after the fetch from the store; the whole time if there is no store.
    pub load: Time,
    /// How many loads run concurrently; further ones are queued.
    pub max_concurrent_loads: usize,
    /// Time after which an idle replica is unloaded.
    pub keep_alive: Time,
    /// How many requests may wait; further ones are rejected.
    pub queue: usize,
    /// How long duplicates of an idempotency key are dropped after its request began to run.
    pub deduplication_window: Time,
    /// The part of its capacity that the worker starts with, from 0 to 1.
    pub initial_weight: f64,
    /// Time from the start until the worker has its full capacity.
    pub slow_start_window: Time,
    /// While the worker warms up, more requests than this multiple of its present capacity make it fail permanently;
    /// 0 for never.
    pub overload_factor: f64,
    /// The window over which requests are counted for `overload_factor`.
    pub overload_window: Time,
}

impl Default for WorkerSettings {
    fn default() -> Self {
        WorkerSettings {
            cores: 2.0,
            speed: 1.0,
            memory_mb: 24_000.0,
            replica_mb: 4_000.0,
            replica_concurrency: 4,
            run: 60 * NANOS_PER_MS,
            load: 500 * NANOS_PER_MS,
            max_concurrent_loads: 4,
            keep_alive: 10_000 * NANOS_PER_MS,
            queue: 64,
            deduplication_window: 5_000 * NANOS_PER_MS,
            initial_weight: 0.3,
            slow_start_window: 5_000 * NANOS_PER_MS,
            overload_factor: 0.0,
            overload_window: 2_000 * NANOS_PER_MS,
        }
    }
}

impl WorkerSettings {
    /// Requests per second that a warm worker can serve, if each has the default run time.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed * NANOS_PER_SECOND / self.run.max(1) as f64
    }

    /// The part of its capacity that a worker of this age has, from 0 to 1.
    pub(super) fn weight_at_age(&self, age: Time) -> f64 {
        let progress = age as f64 / self.slow_start_window.max(1) as f64;
        self.initial_weight + (1.0 - self.initial_weight) * progress.min(1.0)
    }

    /// The number of requests within the overload window beyond which the worker fails, at this part of its capacity.
    pub(super) fn overload_bound(&self, weight: f64) -> f64 {
        self.overload_factor * self.capacity() * weight * self.overload_window as f64
            / NANOS_PER_SECOND
    }
}
