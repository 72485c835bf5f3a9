//! The rules of request handling and of tenant isolation, checked against records of traffic.
//!
//! Times are those at which the emulated services saw an event. A front end acts before a service sees the action, and
//! receives a message after a service wrote it. Comparisons therefore allow for the time in transit
//! ([`RuleConfig::slack`]), in addition to the time limits of the rules themselves.

mod drains;
mod effects;
mod final_answer;
mod load_rate;
mod slow_start;
mod tenants;
mod trace;

use std::collections::BTreeMap;

use crate::record::Record;

pub use trace::{Answer, Attempt, AttemptId, Delivery, Reply, RequestTrace, request_traces};

/// Nanoseconds of a millisecond.
const MS: u64 = 1_000_000;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated any number of times.
    Idempotent,
    /// The request may be repeated under its idempotency key, for as long as workers remember the key.
    WithKey,
    /// The request must not be repeated once it may have run.
    NonIdempotent,
}

/// The parameters of a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRules {
    /// Whether requests of the class may be repeated.
    pub idempotency: Idempotency,
    /// How long a client waits for the answer, in nanoseconds.
    pub client_timeout: u64,
    /// The time from publication after which an answer is late, in nanoseconds.
    pub latency_objective: u64,
    /// The weight of a served request in the report.
    pub priority_weight: f64,
    /// How long workers recognise a repeated idempotency key, in nanoseconds.
    pub deduplication_window: u64,
}

/// The rate limit on load commands of one front end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadRateLimit {
    /// The sliding window, in nanoseconds.
    pub window: u64,
    /// Load commands allowed in any window.
    pub burst: f64,
    /// Load commands allowed in addition for each request delivered to the front end within the window.
    pub per_request: f64,
}

/// The parameters of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleConfig {
    /// The classes of requests, by name.
    pub classes: BTreeMap<String, ClassRules>,
    /// The queue that requests are published to.
    pub queue: String,
    /// Allowance for the time in transit, in nanoseconds.
    pub slack: u64,
    /// How long after its notification of a drain a front end may still send new work to the worker, in nanoseconds.
    pub drain_grace: u64,
    /// The rate limit on load commands; `None` if they are not limited.
    pub load_rate_limit: Option<LoadRateLimit>,
    /// How long after the migration of a user a request may still reach a function of the old tenant, in nanoseconds;
    /// `None` where there are no tenants. The name of a function begins with its tenant, as in `north-map`.
    pub migration_grace: Option<u64>,
    /// Requests published after this Unix time in nanoseconds need no answer, because the records end too early to hold
    /// it; `None` if all requests need one.
    pub published_until: Option<u64>,
}

/// A rule for the traffic of front ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request has exactly one final answer, in time.
    OneFinalAnswer,
    /// No request takes effect twice, unless it is idempotent.
    EffectAtMostOnce,
    /// A draining or removed worker gets no new work.
    DrainRespected,
    /// No worker that is warming up is overloaded.
    SlowStartRespected,
    /// Load commands stay within their rate limit.
    LoadRateLimited,
    /// No request reaches a function of another tenant.
    TenantIsolation,
}

impl Rule {
    /// All rules, in the order of reports.
    pub const ALL: [Rule; 6] = [
        Rule::OneFinalAnswer,
        Rule::EffectAtMostOnce,
        Rule::DrainRespected,
        Rule::SlowStartRespected,
        Rule::LoadRateLimited,
        Rule::TenantIsolation,
    ];

    /// What the rule requires, as shown in tables.
    pub fn description(self) -> &'static str {
        match self {
            Rule::OneFinalAnswer => "one final answer to each call, in time",
            Rule::EffectAtMostOnce => "no call takes effect twice",
            Rule::DrainRespected => "no new work for draining or removed workers",
            Rule::SlowStartRespected => "no worker overloaded while it warms up",
            Rule::LoadRateLimited => "load commands within their rate limit",
            Rule::TenantIsolation => "no call reaches another tenant's function",
        }
    }

    /// The name of the rule in JSON reports. Programs compare it across versions, so it does not change.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneFinalAnswer => "one final answer, in time",
            Rule::EffectAtMostOnce => "no effect twice",
            Rule::DrainRespected => "drains are kept",
            Rule::SlowStartRespected => "no cold worker pushed over",
            Rule::LoadRateLimited => "orders to load are rationed",
            Rule::TenantIsolation => "no call crosses tenants",
        }
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Breach {
    /// The rule that was violated.
    pub rule: Rule,
    /// When the rule was violated, in Unix nanoseconds.
    pub at: u64,
    /// A description of the violation.
    pub what: String,
}

/// Checks all rules and returns the violations, sorted by rule and then by time.
pub fn check(records: &[Record], config: &RuleConfig) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (id, trace) in &request_traces(records, config) {
        final_answer::check(id, trace, config, &mut breaches);
        effects::check(id, trace, config, &mut breaches);
    }
    drains::check(records, config, &mut breaches);
    slow_start::check(records, &mut breaches);
    if let Some(limit) = config.load_rate_limit {
        load_rate::check(records, config, limit, &mut breaches);
    }
    if let Some(grace) = config.migration_grace {
        tenants::check(records, config, grace, &mut breaches);
    }
    breaches.sort();
    breaches
}
