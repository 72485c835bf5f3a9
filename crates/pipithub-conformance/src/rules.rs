//! The rules of request handling and that of tenants, decided from records of traffic.
//!
//! Times are those at which the emulated services saw something. A front end acts before a service sees it and learns
//! after one wrote it, so every comparison allows for the time in transit ([`RuleConfig::slack`]), which is added to
//! the figures of the rules themselves.

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
    /// Any number of times.
    Idempotent,
    /// Under its idempotency key, for as long as workers remember the key.
    WithKey,
    /// Never once it may have run.
    NonIdempotent,
}

/// The parameters of a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRules {
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// How long a client waits, in nanoseconds.
    pub client_timeout: u64,
    /// An answer after this is late, in nanoseconds.
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
    /// Load commands allowed on top for each request delivered within the window.
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
    /// How long after it was notified a front end may still send to a draining worker, in nanoseconds.
    pub drain_grace: u64,
    /// The rate limit on load commands, if there is one.
    pub load_rate_limit: Option<LoadRateLimit>,
    /// How long after the migration of a user a request may still reach the old tenant, in nanoseconds; `None` where
    /// there are no tenants. Functions are named after their tenants, as in `north-map`.
    pub migration_grace: Option<u64>,
    /// Requests published after this need no answer, because the records end too early to hold it.
    pub published_until: Option<u64>,
}

/// A rule for the traffic of front ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request has one final answer, in time.
    OneFinalAnswer,
    /// No request takes effect twice, unless it is idempotent.
    EffectAtMostOnce,
    /// A draining or removed worker gets nothing new.
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

    /// What the rule requires, in the words of tables.
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
    /// When, in Unix nanoseconds.
    pub at: u64,
    /// A description of what was seen.
    pub what: String,
}

/// Checks all rules; breaches are sorted by rule, then by time.
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
