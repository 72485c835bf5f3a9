//! Names of the headers that are this project's own, and of the standard ones it reads.

/// To the worker: whole milliseconds that an answer is of use for.
pub const TIMEOUT: &str = "pipithub-timeout-ms";
/// To the worker: which attempt of the request this is, from 0.
pub const ATTEMPT: &str = "pipithub-attempt";
/// To the worker: the front end that sends the request.
pub const FRONT_END: &str = "pipithub-front-end";
/// To the worker: the request's own name.
pub const REQUEST: &str = "x-request-id";
/// To the worker: the idempotency key, under which it drops repeats (the IETF draft's header).
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// To the worker: memory in MB of one replica of the model.
pub const REPLICA_MEMORY: &str = "pipithub-model-memory-mb";
/// To the worker: requests that one replica runs at a time.
pub const REPLICA_CONCURRENCY: &str = "pipithub-model-lanes";
/// From the worker: `no` proves that the request did not run.
pub const HAS_RUN: &str = "pipithub-ran";
/// From the worker: the state in which the request met its replica, as `warm`, `began`, `waited` or `failed`.
pub const REPLICA: &str = "pipithub-copy";
/// From the worker: requests of the same model in flight when this one came.
pub const FUNCTION_CONCURRENCY: &str = "pipithub-alike";
/// From the worker: replicas that are loaded, after a load command.
pub const REPLICAS: &str = "pipithub-copies";
/// From the worker: its load, by ORCA.
pub const LOAD_REPORT: &str = "endpoint-load-metrics";
