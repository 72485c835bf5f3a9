//! What quotas are given at their start.

use crate::Time;

/// A tenant's limit on requests over time, as a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub per_second: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

/// What a tenant is due.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantQuota {
    /// Its part, in proportion to others'.
    pub weight: f64,
    /// Requests that it may make at all; `None`: no limit of its own.
    pub rate: Option<RateLimit>,
    /// Requests in flight that it may have at all, whatever is idle.
    pub max_in_flight: usize,
    /// Requests that may wait for a place.
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

/// Bounds of the limit on requests in flight, which begins at the greater.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRange {
    /// It is never below this.
    pub min: f64,
    /// And never above this.
    pub max: f64,
}

/// What quotas are given at their start.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// The tenants.
    pub tenants: Vec<TenantQuota>,
    /// The priority weight of each class.
    pub class_weights: Vec<f64>,
    /// Bounds of the limit on requests in flight.
    pub limit: LimitRange,
    /// A request waits no longer than this for a place, nor than a tenth of its time.
    pub max_queue_wait: Time,
}
