//! Tenants' rates and shares.
//!
//! A front end's limit on calls in service is not set but found: it is cut when the module finds no worker for a call in
//! time while some tenant asks for far more than its share, and grows slowly while that is not so. Where nobody asks for
//! more than their share, or a tenant is alone, nothing is cut: calls that find no worker then are for the module to
//! refuse, and a limit would refuse more (loads that take long fill any limit on calls in service).
//!
//! Held back are those tenants alone that ask for far more than their share. While there are free workers they borrow what
//! others leave: up to their part of the limit for certain, then up to the whole of it, the worthier classes further. While
//! calls find no worker, each starts its share of what is being served, or what the others leave of it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::outputs::{RejectReason, ServiceResult};
use crate::{MS, SECOND, Time};

/// A tenant that asked for nothing for so long leaves its part to the others.
const ACTIVE_WINDOW: Time = 5 * SECOND;
/// Cuts are no closer than this: what was in service when the last one came must end first.
const MIN_CUT_INTERVAL: Time = 100 * MS;
/// What is left of the limit after a call beyond its tenant's part found no worker, and after one within it did.
const CUT_FACTOR: f64 = 0.95;
const CUT_FACTOR_WITHIN_QUOTA: f64 = 0.8;
/// By how much the limit grows in a second.
const GROWTH_PER_SECOND: f64 = 0.03;
/// Of the limit, what calls of classes worth less than half of the best may borrow.
const LOW_PRIORITY_BORROWING: f64 = 0.9;
/// Nobody is told to stay away for longer.
const MAX_RETRY_AFTER: Time = 5 * SECOND;
/// The newest call's weight in the mean time of service.
const USUAL_TIME_SMOOTHING: f64 = 0.01;
/// Rates are means over about this long.
const RATE_TIME_CONSTANT: f64 = 2e9;
/// A tenant that asks for this many times its share of all that is asked is why others find no worker.
const NOISY_FACTOR: f64 = 1.5;
/// While calls find no worker, such a tenant starts this part of what it may: what waits must go first.
const THROTTLED_FRACTION: f64 = 0.9;
/// For how long after the last sign of it.
const CONGESTION_WINDOW: Time = SECOND;
/// Answers that take this many times their usual time are a sign that more is under way than is served.
const CONGESTION_SLOWDOWN: f64 = 2.0;
/// The newest call's weight in the time that shows this.
const RECENT_TIME_SMOOTHING: f64 = 0.2;

/// Events a second, as a mean that forgets.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRate {
    mean: f64,
    updated_at: Time,
    /// The first event: a mean that has just begun is not that of a quiet time.
    first_event: Option<Time>,
}

impl DecayingRate {
    fn per_second(&self, now: Time) -> f64 {
        let known = now.saturating_sub(self.first_event.unwrap_or(now)) as f64 / RATE_TIME_CONSTANT;
        // At least a tenth of the span: of one event no rate can be told.
        self.decayed(now) / (1.0 - (-known.max(0.1)).exp())
    }

    fn decayed(&self, now: Time) -> f64 {
        self.mean * (-(now.saturating_sub(self.updated_at) as f64) / RATE_TIME_CONSTANT).exp()
    }

    fn record(&mut self, now: Time) {
        let first_event = self.first_event.or(Some(now));
        *self = DecayingRate {
            mean: self.decayed(now) + 1e9 / RATE_TIME_CONSTANT,
            updated_at: now,
            first_event,
        };
    }
}

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
    /// Calls in service that it may have at all, whatever is idle.
    pub max_in_flight: usize,
    /// Calls that may wait for a place.
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
    /// The worth of each class.
    pub class_weights: Vec<f64>,
    /// Bounds of the limit on requests in flight.
    pub limit: LimitRange,
    /// A call waits no longer than this for a place, nor than a tenth of its time.
    pub max_queue_wait: Time,
}

/// A call that wants a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate<T> {
    /// The request.
    pub(crate) request: T,
    /// Its tenant.
    pub(crate) tenant: usize,
    /// Its class.
    pub(crate) class: usize,
}

impl<T> Candidate<T> {
    fn reject(self, reason: RejectReason, retry_after: Time) -> Decision<T> {
        Decision::Reject {
            candidate: self,
            reason,
            retry_after,
        }
    }
}

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision<T> {
    /// It has a place: one [`Quotas::completed`] is owed.
    Admit(Candidate<T>),
    /// It has none in time, or its tenant makes more requests than it may.
    Reject {
        candidate: Candidate<T>,
        reason: RejectReason,
        retry_after: Time,
    },
}

#[derive(Debug)]
struct Tenant<T> {
    quota: TenantQuota,
    tokens: f64,
    filled_at: Time,
    in_flight: usize,
    last_arrival: Option<Time>,
    demand: DecayingRate,
    admitted: DecayingRate,
    /// By worth from the greatest, then in their order; each with the time until which it waits.
    queue: BTreeMap<(Reverse<u64>, u64), (Candidate<T>, Time)>,
}

/// The shares of a front end's tenants.
#[derive(Debug)]
pub(crate) struct Quotas<T> {
    tenants: Vec<Tenant<T>>,
    class_weights: Vec<f64>,
    max_class_weight: f64,
    min_limit: f64,
    max_limit: f64,
    max_queue_wait: Time,
    limit: f64,
    grown_at: Time,
    cut_at: Option<Time>,
    in_flight: usize,
    usual_service_time: f64,
    recent_service_time: f64,
    congested_at: Option<Time>,
    served: DecayingRate,
    deadlines: BTreeSet<(Time, usize, (Reverse<u64>, u64))>,
    next_sequence: u64,
}

impl<T> Quotas<T> {
    /// Shares of which none is used.
    pub(crate) fn new(settings: QuotaSettings) -> Self {
        let tenant = |quota: TenantQuota| Tenant {
            tokens: quota.rate.map_or(0.0, |r| r.burst.max(1.0)),
            filled_at: 0,
            in_flight: 0,
            last_arrival: None,
            demand: DecayingRate::default(),
            admitted: DecayingRate::default(),
            queue: BTreeMap::new(),
            quota,
        };
        let (least, most) = (settings.limit.min.max(1.0), settings.limit.max.max(1.0));
        Quotas {
            tenants: settings.tenants.into_iter().map(tenant).collect(),
            max_class_weight: settings.class_weights.iter().copied().fold(0.0, f64::max),
            class_weights: settings.class_weights,
            min_limit: least.min(most),
            max_limit: most,
            max_queue_wait: settings.max_queue_wait,
            limit: most,
            grown_at: 0,
            cut_at: None,
            in_flight: 0,
            usual_service_time: 50e6,
            recent_service_time: 50e6,
            congested_at: None,
            served: DecayingRate::default(),
            deadlines: BTreeSet::new(),
            next_sequence: 0,
        }
    }

    /// Calls that wait for a place.
    pub(crate) fn queued(&self) -> usize {
        self.deadlines.len()
    }

    /// The calls in service that a tenant has for certain now.
    fn guaranteed(&self, tenant: usize, now: Time) -> f64 {
        // Never nothing: a share too small for a whole call is still a share.
        (self.limit * self.fraction(tenant, now)).max(1.0)
    }

    /// A tenant's share among those that have asked lately, from 0 to 1.
    fn fraction(&self, tenant: usize, now: Time) -> f64 {
        let Some(own) = self.tenants.get(tenant) else {
            return 0.0;
        };
        let active = |(n, t): &(usize, &Tenant<T>)| *n == tenant || t.is_active(now);
        let all: f64 = self
            .tenants
            .iter()
            .enumerate()
            .filter(active)
            .map(|(_, t)| t.quota.weight)
            .sum();
        own.quota.weight / all.max(f64::MIN_POSITIVE)
    }

    /// Whether some tenant asks for far more than its share while others ask too.
    fn has_noisy_neighbor(&self, now: Time) -> bool {
        (0..self.tenants.len())
            .any(|n| self.tenants[n].is_active(now) && self.is_noisy_neighbor(n, now))
    }

    /// Alone, nobody is.
    fn is_noisy_neighbor(&self, tenant: usize, now: Time) -> bool {
        let fraction = self.fraction(tenant, now);
        let all: f64 = self.tenants.iter().map(|t| t.demand.per_second(now)).sum();
        fraction < 1.0
            && self.tenants[tenant].demand.per_second(now)
                > all * (NOISY_FACTOR * fraction).min(0.95)
    }

    /// Calls a second of a storming tenant that are its share of what is served, or what the others leave of it.
    fn allowed_rate(&self, tenant: usize, now: Time) -> f64 {
        let served = self.served.per_second(now);
        let (mut others, mut weights) = (0.0, 0.0);
        for (n, t) in self.tenants.iter().enumerate() {
            if self.is_noisy_neighbor(n, now) {
                weights += t.quota.weight;
            } else {
                others += t.demand.per_second(now);
            }
        }
        let remaining =
            (served - others) * self.tenants[tenant].quota.weight / weights.max(f64::MIN_POSITIVE);
        remaining.max(served * self.fraction(tenant, now))
    }

    fn is_congested(&self, now: Time) -> bool {
        self.congested_at
            .is_some_and(|at| now < at + CONGESTION_WINDOW)
    }

    /// When a call that waits has waited as long as it may.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.deadlines.first().map(|d| d.0)
    }

    fn class_weight(&self, class: usize) -> f64 {
        self.class_weights.get(class).copied().unwrap_or(1.0)
    }

    fn may_start(&self, tenant: usize, class: usize, now: Time) -> bool {
        let own = &self.tenants[tenant];
        if own.in_flight >= own.quota.max_in_flight {
            return false;
        }
        // Whoever asks for no more than on any day is not held back for a storm of others; the module sees to the rest.
        if !self.is_noisy_neighbor(tenant, now) {
            return true;
        }
        if self.is_congested(now) {
            // Never nothing: what it starts is part of what is served, and its share of that could shrink for ever.
            return own.in_flight == 0
                || own.admitted.per_second(now)
                    <= self.allowed_rate(tenant, now) * THROTTLED_FRACTION;
        }
        if ((own.in_flight + 1) as f64) <= self.guaranteed(tenant, now) {
            return true;
        }
        let loan = if self.class_weight(class) * 2.0 < self.max_class_weight {
            LOW_PRIORITY_BORROWING
        } else {
            1.0
        };
        (self.in_flight + 1) as f64 <= self.limit * loan
    }

    /// A call comes; `left` is what is left of its time.
    pub(crate) fn offer(
        &mut self,
        now: Time,
        candidate: Candidate<T>,
        remaining: Time,
        decisions: &mut Vec<Decision<T>>,
    ) {
        self.grow(now);
        let Some(tenant) = self.tenants.get_mut(candidate.tenant) else {
            return decisions.push(candidate.reject(RejectReason::OverQuota, MAX_RETRY_AFTER));
        };
        tenant.last_arrival = Some(now);
        tenant.demand.record(now);
        if let Some(RateLimit {
            per_second: rate,
            burst,
        }) = tenant.quota.rate
        {
            let passed = now.saturating_sub(tenant.filled_at) as f64 / 1e9;
            tenant.filled_at = now;
            tenant.tokens = (tenant.tokens + passed * rate).min(burst.max(1.0));
            if tenant.tokens < 1.0 {
                let after = ((1.0 - tenant.tokens) / rate.max(1e-6) * 1e9) as Time;
                return decisions.push(
                    candidate.reject(RejectReason::OverRate, after.clamp(MS, MAX_RETRY_AFTER)),
                );
            }
            tenant.tokens -= 1.0;
        }
        let (number, class) = (candidate.tenant, candidate.class);
        if self.tenants[number].queue.is_empty() && self.may_start(number, class, now) {
            return self.start(now, candidate, decisions);
        }
        let wait = self.max_queue_wait.min(remaining / 10);
        let worth = Reverse(self.class_weight(class).max(0.0).to_bits());
        let own = &mut self.tenants[number];
        let mut place = own.quota.max_queued > 0 && wait > 0;
        if place && own.queue.len() >= own.quota.max_queued {
            // A worthier call takes the place of the least worthy, of these the latest.
            place = own.queue.last_key_value().is_some_and(|(k, _)| worth < k.0);
            if place && let Some((key, (least, until))) = own.queue.pop_last() {
                self.deadlines.remove(&(until, number, key));
                let after = self.queue_retry_after(number, now);
                decisions.push(least.reject(RejectReason::OverQuota, after));
            }
        }
        if !place {
            let after = self.queue_retry_after(number, now);
            return decisions.push(candidate.reject(RejectReason::OverQuota, after));
        }
        let key = (worth, self.next_sequence);
        self.next_sequence += 1;
        self.deadlines.insert((now + wait, number, key));
        self.tenants[number]
            .queue
            .insert(key, (candidate, now + wait));
        self.fill(now, decisions);
    }

    fn start(&mut self, now: Time, candidate: Candidate<T>, decisions: &mut Vec<Decision<T>>) {
        self.tenants[candidate.tenant].admitted.record(now);
        self.tenants[candidate.tenant].in_flight += 1;
        self.in_flight += 1;
        decisions.push(Decision::Admit(candidate));
    }

    /// How long until a tenant's queue will have gone, at its own pace.
    fn queue_retry_after(&self, tenant: usize, now: Time) -> Time {
        let own = &self.tenants[tenant];
        let ahead = (own.queue.len() + 1) as f64
            + (own.in_flight as f64 - self.guaranteed(tenant, now)).max(0.0);
        let pace = self.guaranteed(tenant, now) / self.usual_service_time.max(1e5);
        ((ahead / pace) as Time).clamp(20 * MS, MAX_RETRY_AFTER)
    }

    /// A call that had a place is over; `service_time` after it was admitted.
    pub(crate) fn completed(
        &mut self,
        now: Time,
        tenant: usize,
        result: ServiceResult,
        service_time: Time,
        decisions: &mut Vec<Decision<T>>,
    ) {
        let Some(own) = self.tenants.get_mut(tenant) else {
            return;
        };
        let before = own.in_flight;
        own.in_flight = own.in_flight.saturating_sub(1);
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            ServiceResult::Served => {
                self.usual_service_time +=
                    USUAL_TIME_SMOOTHING * (service_time as f64 - self.usual_service_time);
                self.recent_service_time +=
                    RECENT_TIME_SMOOTHING * (service_time as f64 - self.recent_service_time);
                if self.recent_service_time > CONGESTION_SLOWDOWN * self.usual_service_time
                    && self.has_noisy_neighbor(now)
                {
                    self.congested_at = Some(now);
                }
                self.served.record(now);
            }
            ServiceResult::NoWorkerInTime => {
                let hog = self.has_noisy_neighbor(now);
                if hog {
                    self.congested_at = Some(now);
                }
                if hog && self.cut_at.is_none_or(|at| now >= at + MIN_CUT_INTERVAL) {
                    self.cut_at = Some(now);
                    let within = before as f64 <= self.guaranteed(tenant, now);
                    let remaining = if within {
                        CUT_FACTOR_WITHIN_QUOTA
                    } else {
                        CUT_FACTOR
                    };
                    let in_flight = (self.in_flight + 1) as f64;
                    self.limit = (self.limit.min(in_flight) * remaining).max(self.min_limit);
                }
            }
            ServiceResult::Other => {}
        }
        self.fill(now, decisions);
    }

    fn grow(&mut self, now: Time) {
        let passed = now.saturating_sub(self.grown_at) as f64 / 1e9;
        self.grown_at = self.grown_at.max(now);
        self.limit =
            (self.limit * (1.0 + GROWTH_PER_SECOND * passed.min(60.0))).min(self.max_limit);
    }

    /// Gives free places to calls that wait: the tenant that has least for its weight goes first.
    fn fill(&mut self, now: Time, decisions: &mut Vec<Decision<T>>) {
        loop {
            let waiting = self.tenants.iter().enumerate().filter_map(|(n, t)| {
                let (_, (candidate, _)) = t.queue.first_key_value()?;
                self.may_start(n, candidate.class, now)
                    .then(|| (n, t.in_flight as f64 / t.quota.weight.max(1e-9)))
            });
            let Some((tenant, _)) = waiting.min_by(|a, b| a.1.total_cmp(&b.1)) else {
                return;
            };
            let Some((key, (candidate, until))) = self.tenants[tenant].queue.pop_first() else {
                return;
            };
            self.deadlines.remove(&(until, tenant, key));
            self.start(now, candidate, decisions);
        }
    }

    /// Time has passed.
    pub(crate) fn tick(&mut self, now: Time, decisions: &mut Vec<Decision<T>>) {
        self.grow(now);
        self.fill(now, decisions);
        while let Some(&(at, tenant, key)) = self.deadlines.first().filter(|d| d.0 <= now) {
            self.deadlines.remove(&(at, tenant, key));
            if let Some((candidate, _)) = self.tenants[tenant].queue.remove(&key) {
                let after = self.queue_retry_after(tenant, now);
                decisions.push(candidate.reject(RejectReason::OverQuota, after));
            }
        }
    }

    /// Takes out calls that wait and are not wanted any more.
    pub(crate) fn cancel(&mut self, mut is_cancelled: impl FnMut(&T) -> bool) {
        for tenant in &mut self.tenants {
            tenant
                .queue
                .retain(|_, (candidate, _)| !is_cancelled(&candidate.request));
        }
        let tenants = &self.tenants;
        self.deadlines
            .retain(|(_, tenant, key)| tenants[*tenant].queue.contains_key(key));
    }
}

impl<T> Tenant<T> {
    fn is_active(&self, now: Time) -> bool {
        self.in_flight > 0 || self.last_arrival.is_some_and(|at| now < at + ACTIVE_WINDOW)
    }
}

#[cfg(test)]
mod tests;
