//! The inputs and the events of the worker's core.

use pipithub_amqp::Time;

/// An inference request that arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub(in crate::worker) struct InferenceRequest {
    /// The number that the server gives it.
    pub(in crate::worker) id: u64,
    /// The requested model.
    pub(in crate::worker) function: String,
    /// The idempotency key under which retries are dropped.
    pub(in crate::worker) key: Option<String>,
    /// Memory of a replica of the model, in MB; 0 if not stated.
    pub(in crate::worker) replica_mb: f64,
    /// Concurrency of a replica; 0 if not stated.
    pub(in crate::worker) replica_concurrency: u32,
    /// Its run time; `None` if not stated.
    pub(in crate::worker) work: Option<Time>,
    /// Another worker has already run it, so it is dropped.
    pub(in crate::worker) is_duplicate: bool,
}

/// What the core reports to the server.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::worker) enum WorkerEvent {
    /// A request starts to run; `dropped` if it had taken effect before.
    Running { id: u64, dropped: bool },
    /// A request has ended.
    Finished {
        id: u64,
        /// How it found a replica, or why it did not run.
        result: Result<Placement, Rejection>,
        /// Requests for the same model that were in flight when it arrived.
        concurrency: u32,
    },
    /// A load or unload command has ended.
    CommandFinished {
        id: u64,
        /// Replicas that are ready.
        replicas: u32,
        /// Why the requested replicas are not ready, if they are not.
        result: Result<(), Rejection>,
    },
    /// The server must fetch a model from the store.
    Fetch(String),
    /// The worker was overloaded while it warmed up, and fails.
    Overloaded {
        /// Requests received within the overload window.
        received: f64,
        /// Requests that it could have handled within that window.
        bound: f64,
    },
}

/// How a request found a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker) enum Placement {
    /// A replica was ready.
    Warm,
    /// The request started a load.
    BeganLoad,
    /// The request waited for a load that had been started before.
    AwaitedLoad,
}

/// Why a request or a command was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker) enum Rejection {
    /// The queue is full.
    QueueFull,
    /// There is no memory for a replica.
    OutOfMemory,
    /// The model could not be fetched from the store.
    LoadFailed,
    /// The worker is overloaded.
    Overloaded,
}
