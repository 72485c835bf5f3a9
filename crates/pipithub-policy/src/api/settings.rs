//! The settings of a front end.

use super::Time;

/// Whether a request may be retried once it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions has the effect of one: the request may always be retried.
    #[default]
    Idempotent,
    /// The request carries an idempotency key. The workers of a [`DeduplicationScope`] drop further
    /// executions within the class's `deduplication_window`, so the request is retried only at these
    /// workers and within that time.
    WithKey,
    /// The request must never run twice: it is retried only if it is certain that no attempt has
    /// run.
    NonIdempotent,
}

/// The workers that drop further executions of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every worker drops further executions, wherever the first attempt was sent.
    #[default]
    All,
    /// Only workers in the zone of the first attempt drop further executions.
    Zone,
    /// Only workers in the cell of the first attempt drop further executions.
    Cell,
}

/// A class of requests: how soon they should be answered, and the value of an answer.
///
/// The value of an answer in time is 1. All times are in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time of the request's arrival has its full value.
    pub latency_objective: Time,
    /// The latency objective is extended by this multiple of the request's `expected_work`. The
    /// range is from 0, which means no extension, to 1,000; values outside it are clamped.
    pub objective_per_work: f64,
    /// The longest time that a client waits for the final answer, over all attempts. A request's own
    /// `timeout` replaces it.
    pub client_timeout: Time,
    /// The value of an answer after the latency objective, as a share of the full value, from 0 to
    /// 1. With 0 no attempt is made after the latency objective.
    pub late_answer_weight: f64,
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// Which workers drop further executions; used for [`Idempotency::WithKey`] only.
    pub deduplication_scope: DeduplicationScope,
    /// How long further executions are dropped after an attempt was sent; used for
    /// [`Idempotency::WithKey`] only. With 0 a request is not retried once it may have run.
    pub deduplication_window: Time,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: 1_000_000_000,
            objective_per_work: 0.0,
            client_timeout: 4_000_000_000,
            late_answer_weight: 0.0,
            idempotency: Idempotency::Idempotent,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: 0,
        }
    }
}

/// Which actions a front end may take, and how often.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The largest number of attempts of one request, the first one included.
    pub max_attempts: u32,
    /// Whether [`super::Action::Cancel`] may be used.
    pub cancel: bool,
    /// Whether [`super::Action::PollLoad`] may be used.
    pub load_polls: bool,
    /// Whether [`super::Action::CheckHealth`] may be used.
    pub health_checks: bool,
    /// Whether rejections may carry a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients respect, in nanoseconds; with 0 none is given.
    pub max_retry_after: Time,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: 3,
            cancel: false,
            load_polls: false,
            health_checks: false,
            retry_after: false,
            max_retry_after: 0,
        }
    }
}

/// How much load a worker that has just started can take.
///
/// The capacity of the worker grows linearly from `initial_weight` to 1 over `window`. A worker that
/// is sent more than `overload_factor` times its current capacity throughout `overload_window`
/// fails.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// The capacity of a worker at its start, as a share of that of a warm worker, from 0 to 1.
    pub initial_weight: f64,
    /// The time that a worker takes to warm up, in nanoseconds; with 0 it is warm at once.
    pub window: Time,
    /// The multiple of its current capacity that overloads a worker; with 0 no load does.
    pub overload_factor: f64,
    /// How long a worker must be overloaded to fail, in nanoseconds; with 0 it never fails.
    pub overload_window: Time,
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart {
            initial_weight: 1.0,
            window: 0,
            overload_factor: 0.0,
            overload_window: 0,
        }
    }
}

/// The limit on the rate of load commands. Within any `window`, it allows `burst` commands plus
/// `per_request` for each request that arrived in that window.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadRateLimit {
    /// The time over which commands and requests are counted, in nanoseconds.
    pub window: Time,
    /// The number of load commands that are allowed without any request; it may be a fraction.
    pub burst: f64,
    /// Further load commands for each request that arrived; usually far below 1.
    pub per_request: f64,
}

/// How workers load functions, and what they report about loads.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionLoading {
    /// Whether [`super::Action::LoadFunction`] and [`super::Action::EvictFunction`] may be used.
    pub load_commands: bool,
    /// Whether a worker that holds no replica loads one for a request; otherwise it rejects the
    /// request as [`super::Outcome::NotLoaded`].
    pub loads_on_request: bool,
    /// How long an idle replica stays loaded, in nanoseconds, unless its memory is needed.
    pub keep_alive: Time,
    /// Whether answers carry a [`super::ReplicaStatus`].
    pub reports_cold_starts: bool,
    /// Whether answers carry the worker's concurrency of the function,
    /// [`super::AttemptFinished::function_concurrency`].
    pub reports_concurrency: bool,
    /// The limit on load commands; `None` if there is no limit.
    pub rate_limit: Option<LoadRateLimit>,
}

impl Default for FunctionLoading {
    fn default() -> Self {
        FunctionLoading {
            load_commands: false,
            loads_on_request: true,
            keep_alive: 10_000_000_000,
            reports_cold_starts: false,
            reports_concurrency: false,
            rate_limit: None,
        }
    }
}

/// The costs of actions that are not free.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// The cost of one load poll for each request, as a share of the value of all requests, from 0
    /// to 1; 0 if it is not known, so that polls count as free.
    pub load_poll: f64,
}

/// The settings of a front end; they do not change while it runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many front ends send requests to the same workers, this one included; 0 counts as 1.
    pub front_ends: u32,
    /// The shortest time between two calls of [`crate::FrontEnd::handle`], in nanoseconds. Decisions
    /// are made a few ticks before a deadline. With 0, events are handled as they come.
    pub tick: Time,
    /// The classes, in the order that [`super::Request::class`] refers to; if there are none, one
    /// default class is used.
    pub classes: Vec<Class>,
    /// Which actions may be taken, and how often.
    pub limits: Limits,
    /// How much load a worker that has just started can take.
    pub slow_start: SlowStart,
    /// How workers load functions, and what they report about loads.
    pub loading: FunctionLoading,
    /// The costs of actions that are not free.
    pub costs: Costs,
    /// The zone of this front end, as the endpoint list spells it; empty if it is not known.
    pub zone: String,
    /// How long new work may still be sent to a worker after the notification that it drains or has
    /// left, in nanoseconds; `None` if it is not known.
    pub drain_grace: Option<Time>,
    /// Whether updates of the endpoint list must be requested with
    /// [`super::Action::WatchEndpoints`].
    pub watch_on_request: bool,
}
