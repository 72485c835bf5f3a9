//! Names of the headers that are this project's own, and of the standard ones it reads.

/// To the worker: whole milliseconds that an answer is of use for.
pub const TIMEOUT: &str = "pipithub-timeout-ms";
/// To the worker: which attempt of the call this is, from 0.
pub const ATTEMPT: &str = "pipithub-attempt";
/// To the worker: the front end that asks.
pub const FRONT_END: &str = "pipithub-front-end";
/// To the worker: the call's own name.
pub const REQUEST: &str = "x-request-id";
/// To the worker: the key under which it drops repeats (the IETF draft's header).
pub const KEY: &str = "idempotency-key";
/// To the worker: memory in MB and lanes of one copy of the model.
pub const MEMORY: &str = "pipithub-model-memory-mb";
/// To the worker: calls that one copy runs at a time.
pub const LANES: &str = "pipithub-model-lanes";
/// From the worker: `no` proves that the call did not run.
pub const RAN: &str = "pipithub-ran";
/// From the worker: `warm`, `began`, `waited` or `failed`.
pub const COPY: &str = "pipithub-copy";
/// From the worker: calls of the same model that it held when this one came.
pub const ALIKE: &str = "pipithub-alike";
/// From the worker: copies that stand loaded, after an order.
pub const COPIES: &str = "pipithub-copies";
/// From the worker: its load, by ORCA.
pub const LOAD: &str = "endpoint-load-metrics";
