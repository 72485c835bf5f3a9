//! What quotas know of one tenant.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::rate::DecayingRate;
use super::settings::{RateLimit, TenantQuota};
use super::{Candidate, MAX_RETRY_AFTER};
use crate::{MS, SECOND, Time};

/// A tenant that asked for nothing for so long leaves its part to the others.
const ACTIVE_WINDOW: Time = 5 * SECOND;

/// Where a request stands in its tenant's queue: by priority weight from the greatest, then in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    /// The bits of a weight that is not negative; these are in the order of the weights.
    pub(super) weight: Reverse<u64>,
    pub(super) sequence: u64,
}

/// A request that waits for a place.
#[derive(Debug)]
pub(super) struct Queued<T> {
    pub(super) candidate: Candidate<T>,
    pub(super) until: Time,
}

/// Holds a tenant to its rate limit.
#[derive(Debug)]
pub(super) struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    filled_at: Time,
}

impl TokenBucket {
    pub(super) fn new(limit: RateLimit) -> Self {
        TokenBucket {
            limit,
            tokens: limit.burst.max(1.0),
            filled_at: 0,
        }
    }

    /// Takes a token; where there is none, how long until there is one.
    fn take(&mut self, now: Time) -> Result<(), Time> {
        let RateLimit { per_second, burst } = self.limit;
        let seconds = now.saturating_sub(self.filled_at) as f64 / 1e9;
        self.filled_at = now;
        self.tokens = (self.tokens + seconds * per_second).min(burst.max(1.0));
        if self.tokens < 1.0 {
            let retry_after = ((1.0 - self.tokens) / per_second.max(1e-6) * 1e9) as Time;
            return Err(retry_after.clamp(MS, MAX_RETRY_AFTER));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

/// A tenant with its requests.
#[derive(Debug)]
pub(super) struct Tenant<T> {
    pub(super) quota: TenantQuota,
    bucket: Option<TokenBucket>,
    pub(super) in_flight: usize,
    last_arrival: Option<Time>,
    /// Requests that arrive.
    pub(super) demand: DecayingRate,
    /// Requests that are admitted.
    pub(super) admitted: DecayingRate,
    pub(super) queue: BTreeMap<QueueKey, Queued<T>>,
}

impl<T> Tenant<T> {
    pub(super) fn new(quota: TenantQuota) -> Self {
        Tenant {
            bucket: quota.rate.map(TokenBucket::new),
            in_flight: 0,
            last_arrival: None,
            demand: DecayingRate::default(),
            admitted: DecayingRate::default(),
            queue: BTreeMap::new(),
            quota,
        }
    }

    pub(super) fn is_active(&self, now: Time) -> bool {
        self.in_flight > 0 || self.last_arrival.is_some_and(|at| now < at + ACTIVE_WINDOW)
    }

    /// Counts a request; where it is beyond the tenant's rate, how long its client should not retry.
    pub(super) fn record_arrival(&mut self, now: Time) -> Result<(), Time> {
        self.last_arrival = Some(now);
        self.demand.record(now);
        self.bucket
            .as_mut()
            .map_or(Ok(()), |bucket| bucket.take(now))
    }
}
