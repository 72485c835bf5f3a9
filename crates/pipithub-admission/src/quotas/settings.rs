//! The settings of quotas.

use crate::Time;

/// The rate limit of a tenant, which is enforced by a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// The number of requests per second.
    pub per_second: f64,
    /// The number of requests that may arrive at once; less than 1 counts as 1.
    pub burst: f64,
}

/// The quota of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantQuota {
    /// The weight of the tenant. Its quota is its weight as a part of the weights of all active tenants.
    pub weight: f64,
    /// The rate limit on all its requests; `None` if there is none.
    pub rate: Option<RateLimit>,
    /// The maximum number of requests in flight, even if others leave their quotas idle.
    pub max_in_flight: usize,
    /// The maximum number of requests in its queue.
    pub max_queued: usize,
}

impl Default for TenantQuota {
    fn default() -> Self {
        TenantQuota {
            weight: 1.0,
            rate: None,
            max_in_flight: usize::MAX,
            max_queued: 64,
        }
    }
}

/// The bounds of the adaptive limit on requests in flight, which starts at the maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRange {
    /// The minimum number of requests in flight; less than 1 counts as 1.
    pub min: f64,
    /// The maximum number of requests in flight; less than 1 counts as 1.
    pub max: f64,
}

/// The settings of quotas.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// The quota of each tenant, in the order of the numbers of the tenants.
    pub tenants: Vec<TenantQuota>,
    /// The priority weight of each class, in the order of their numbers; a class beyond them weighs 1.
    pub class_weights: Vec<f64>,
    /// Bounds of the limit on requests in flight.
    pub limit: LimitRange,
    /// The maximum time that a request waits in its queue, in nanoseconds. It never waits for more than a tenth of its
    /// remaining time.
    pub max_queue_wait: Time,
}
