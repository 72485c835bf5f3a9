//! The inputs and the events of the worker's core.

use pipithub_amqp::Time;

/// An inference request that arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub(in crate::worker) struct InferenceRequest {
    /// The number that the server gives the request.
    pub(in crate::worker) id: u64,
    /// The requested model.
    pub(in crate::worker) function: String,
    /// The idempotency key under which retries are dropped.
    pub(in crate::worker) key: Option<String>,
    /// Memory of a replica of the model, in MB; 0 if not stated.
    pub(in crate::worker) replica_mb: f64,
    /// Concurrency of a replica; 0 if not stated.
    pub(in crate::worker) replica_concurrency: u32,
    /// The work of the request: its run time at speed 1, in nanoseconds; `None` if not stated.
    pub(in crate::worker) work: Option<Time>,
    /// Whether its key is already claimed at the store, so that the request is dropped as a duplicate.
    pub(in crate::worker) is_duplicate: bool,
}

/// What the core reports to the server.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::worker) enum WorkerEvent {
    /// A request starts to run; `dropped` if it is a duplicate and has no effect.
    Running { id: u64, dropped: bool },
    /// A request has ended.
    Finished {
        id: u64,
        /// How the request found a replica, or why it did not run.
        result: Result<Placement, Rejection>,
        /// The number of requests for the same model that were in flight when this one arrived.
        concurrency: u32,
    },
    /// A load or unload command has ended.
    CommandFinished {
        id: u64,
        /// The number of replicas that are ready.
        replicas: u32,
        /// Why the requested replicas are not ready, if they are not.
        result: Result<(), Rejection>,
    },
    /// The server must fetch a model from the store.
    Fetch(String),
    /// The worker was overloaded while it warmed up, and fails.
    Overloaded {
        /// The number of requests received within the overload window.
        received: f64,
        /// The number of requests that are allowed within that window.
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
