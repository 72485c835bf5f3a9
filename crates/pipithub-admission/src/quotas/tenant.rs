//! The state of one tenant.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::rate::DecayingRate;
use super::settings::{RateLimit, TenantQuota};
use super::{Candidate, MAX_RETRY_AFTER};
use crate::{MS, SECOND, Time};

/// A tenant that has made no request for this long and has none in flight is inactive: its quota is divided among the
/// others.
const ACTIVE_WINDOW: Time = 5 * SECOND;

/// The position of a request in the queue of its tenant. The greatest priority weight comes first; requests of equal
/// weight are in the order of their arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    /// The bits of the weight. For floating-point numbers of at least 0 their order is that of the numbers.
    pub(super) weight: Reverse<u64>,
    pub(super) sequence: u64,
}

/// A queued request.
#[derive(Debug)]
pub(super) struct Queued<T> {
    pub(super) candidate: Candidate<T>,
    pub(super) until: Time,
}

/// The error for a request that exceeds the rate limit of its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RateExceeded {
    /// How long until the next request is within the limit, in nanoseconds.
    pub(super) retry_after: Time,
}

/// A token bucket that enforces a rate limit.
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

    /// Takes a token for one request.
    fn take(&mut self, now: Time) -> Result<(), RateExceeded> {
        let RateLimit { per_second, burst } = self.limit;
        let seconds = now.saturating_sub(self.filled_at) as f64 / 1e9;
        self.filled_at = now;
        self.tokens = (self.tokens + seconds * per_second).min(burst.max(1.0));
        if self.tokens < 1.0 {
            let retry_after = ((1.0 - self.tokens) / per_second.max(1e-6) * 1e9) as Time;
            return Err(RateExceeded {
                retry_after: retry_after.clamp(MS, MAX_RETRY_AFTER),
            });
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

/// A tenant with its requests in flight and its queue.
#[derive(Debug)]
pub(super) struct Tenant<T> {
    pub(super) quota: TenantQuota,
    bucket: Option<TokenBucket>,
    pub(super) in_flight: usize,
    last_arrival: Option<Time>,
    /// The rate at which requests arrive.
    pub(super) demand: DecayingRate,
    /// The rate at which requests are admitted.
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

    /// Records that a request arrived. Fails if it exceeds the rate limit of the tenant.
    pub(super) fn record_arrival(&mut self, now: Time) -> Result<(), RateExceeded> {
        self.last_arrival = Some(now);
        self.demand.record(now);
        self.bucket
            .as_mut()
            .map_or(Ok(()), |bucket| bucket.take(now))
    }
}
