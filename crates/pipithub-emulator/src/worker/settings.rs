//! How an emulated worker is built.

use pipithub_amqp::Time;

/// [`Time`] counts nanoseconds.
pub(super) const NANOS_PER_MS: Time = 1_000_000;
const NANOS_PER_SECOND: f64 = 1e9;

/// How a worker is built.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSettings {
    /// Cores.
    pub cores: f64,
    /// Speed of a core; the work of a request is stated for speed 1.
    pub speed: f64,
    /// Memory for replicas, in MB.
    pub memory_mb: f64,
    /// Memory of a replica, in MB, where a request does not say.
    pub replica_mb: f64,
    /// Requests that one replica runs at a time, where a request does not say.
    pub replica_concurrency: u32,
    /// Work of a request, where it does not say.
    pub run: Time,
    /// Time of a load beside its fetch from the store; all of it where there is no store.
    pub load: Time,
    /// Loads at a time.
    pub loads_at_once: usize,
    /// An idle replica is unloaded after this.
    pub keep_alive: Time,
    /// Requests that may wait; more are rejected.
    pub queue: usize,
    /// A key is remembered for so long after its request began to run; retries with it are dropped.
    pub deduplication_window: Time,
    /// The share of its capacity that it starts with.
    pub initial_weight: f64,
    /// Time from its start until it has its whole capacity.
    pub slow_start_window: Time,
    /// While it warms up, more requests than this multiple of its present capacity overload it for good; 0: never.
    pub overload_factor: f64,
    /// The time over which these requests are counted.
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
            loads_at_once: 4,
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
    /// Requests that it serves in a second when warm, each with the default work.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed * NANOS_PER_SECOND / self.run.max(1) as f64
    }

    /// The share of its capacity that it has at this age.
    pub(super) fn warmth(&self, age: Time) -> f64 {
        let progress = age as f64 / self.slow_start_window.max(1) as f64;
        self.initial_weight + (1.0 - self.initial_weight) * progress.min(1.0)
    }

    /// Requests that it bears within the overload window at this share of its capacity.
    pub(super) fn overload_bound(&self, warmth: f64) -> f64 {
        self.overload_factor * self.capacity() * warmth * self.overload_window as f64
            / NANOS_PER_SECOND
    }
}
