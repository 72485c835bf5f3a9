//! The names of the headers of requests to workers and of their replies.

/// To the worker: the time until the deadline of the attempt, in milliseconds.
pub const TIMEOUT: &str = "pipithub-timeout-ms";
/// To the worker: the number of the attempt of the request, from 0.
pub const ATTEMPT: &str = "pipithub-attempt";
/// To the worker: the front end that sends the request.
pub const FRONT_END: &str = "pipithub-front-end";
/// To the worker: the id of the request in logs.
pub const REQUEST_ID: &str = "x-request-id";
/// To the worker: the key by which it deduplicates calls (the `Idempotency-Key` header of the IETF draft).
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// To the worker: the memory that one replica of the model takes, in MB.
pub const REPLICA_MEMORY: &str = "pipithub-model-memory-mb";
/// To the worker: the number of requests that one replica runs at a time.
pub const REPLICA_CONCURRENCY: &str = "pipithub-model-lanes";
/// From the worker: `no` states that the request did not run.
pub const HAS_RUN: &str = "pipithub-ran";
/// From the worker: the state in which the request found its replica. `warm`: loaded; `began`: the request started a
/// load; `waited`: the request waited for a load that another one had started; `failed`: the load failed.
pub const REPLICA_STATUS: &str = "pipithub-copy";
/// From the worker: the number of requests of the same model that were in flight when this one arrived.
pub const FUNCTION_CONCURRENCY: &str = "pipithub-alike";
/// From the worker: the number of replicas that are loaded after a load command.
pub const REPLICAS: &str = "pipithub-copies";
/// From the worker: its load report, in a format of ORCA.
pub const LOAD_REPORT: &str = "endpoint-load-metrics";
