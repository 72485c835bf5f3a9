//! The inputs and the events of the worker's core.

use pipithub_amqp::Time;

/// An inference request as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub(in crate::worker) struct InferenceRequest {
    /// The server's number for it.
    pub(in crate::worker) id: u64,
    /// The model that it is for.
    pub(in crate::worker) function: String,
    /// The idempotency key under which retries are dropped.
    pub(in crate::worker) key: Option<String>,
    /// Memory of a replica of the model, in MB; 0: not stated.
    pub(in crate::worker) replica_mb: f64,
    /// Requests that one replica runs at a time; 0: not stated.
    pub(in crate::worker) replica_concurrency: u32,
    /// Its work, where it states it.
    pub(in crate::worker) work: Option<Time>,
    /// Another worker has had its effect: it is dropped.
    pub(in crate::worker) is_duplicate: bool,
}

/// What the core reports to the server.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::worker) enum WorkerEvent {
    /// A request begins to run; `dropped`: its effect was there already.
    Running { id: u64, dropped: bool },
    /// A request is over.
    Finished {
        id: u64,
        /// How it found a replica, or why it did not run.
        result: Result<Placement, Rejection>,
        /// Requests for the same model that were in flight when it arrived.
        concurrency: u32,
    },
    /// A load or unload command is over.
    CommandFinished {
        id: u64,
        /// Replicas that are ready.
        replicas: u32,
        /// Why the replicas that were asked for are not ready.
        result: Result<(), Rejection>,
    },
    /// The store is to be asked for a model.
    Fetch(String),
    /// Too many requests came while it was warming up.
    Overloaded {
        /// Requests that came within the window.
        received: f64,
        /// Requests that it would have borne.
        bound: f64,
    },
}

/// How a request found a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker) enum Placement {
    /// A replica was ready.
    Warm,
    /// It began a load.
    BeganLoad,
    /// It waited for a load that was under way.
    AwaitedLoad,
}

/// Why a request or a command was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker) enum Rejection {
    /// The queue is full.
    QueueFull,
    /// There is no memory for a replica.
    OutOfMemory,
    /// The load failed.
    LoadFailed,
    /// The worker is overloaded.
    Overloaded,
}
