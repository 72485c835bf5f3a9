//! Tenants' rates and quotas.
//!
//! A front end's limit on requests in flight is not set but found: it is cut when the module finds no worker for a request
//! in time while some tenant asks for far more than its quota, and grows slowly while that is not so. Where nobody asks for
//! more than their quota, or a tenant is alone, nothing is cut: requests that find no worker then are for the module to
//! reject, and a limit would reject more (loads that take long fill any limit on requests in flight).
//!
//! Throttled are those tenants alone that ask for far more than their quota, the noisy neighbours. While there are free
//! workers they borrow what others leave: up to their part of the limit for certain, then up to the whole of it, classes of
//! greater weight further. While requests find no worker, each starts its share of what is being served, or what the
//! others leave of it.

mod limit;
mod rate;
mod settings;
mod tenant;
#[cfg(test)]
mod tests;

use std::cmp::Reverse;
use std::collections::BTreeSet;

use self::limit::ConcurrencyLimit;
use self::rate::DecayingRate;
pub use self::settings::{LimitRange, QuotaSettings, RateLimit, TenantQuota};
use self::tenant::{QueueKey, Queued, Tenant};
use crate::outputs::{RejectReason, ServiceResult};
use crate::{MS, SECOND, Time};

/// No client is told to stay away for longer.
const MAX_RETRY_AFTER: Time = 5 * SECOND;
/// No client of a full queue is told to stay away for less.
const MIN_QUEUE_RETRY_AFTER: Time = 20 * MS;
/// A request may spend this part of its time on waiting for a place.
const QUEUE_WAIT_DIVISOR: Time = 10;
/// Of the limit, what requests of classes that weigh less than half of the greatest may borrow.
const LOW_PRIORITY_BORROWING: f64 = 0.9;
/// A tenant that asks for this many times its quota of all that is asked is why others find no worker.
const NOISY_FACTOR: f64 = 1.5;
/// Whoever asks for more than this part of all that is asked is a noisy neighbour, however great its quota.
const NOISY_MAX_FRACTION: f64 = 0.95;
/// While requests find no worker, a noisy neighbour starts this part of what it may: what waits must go first.
const THROTTLED_FRACTION: f64 = 0.9;
/// For how long after the last sign of congestion it is taken to go on.
const CONGESTION_WINDOW: Time = SECOND;
/// Answers that take this many times their usual time are a sign that more is under way than is served.
const CONGESTION_SLOWDOWN: f64 = 2.0;
/// The newest request's weight in the usual service time.
const USUAL_TIME_SMOOTHING: f64 = 0.01;
/// The newest request's weight in the recent service time.
const RECENT_TIME_SMOOTHING: f64 = 0.2;
/// The service time, in nanoseconds, before any is known.
const INITIAL_SERVICE_TIME: f64 = 50e6;
/// No service time counts as shorter than this, in nanoseconds.
const MIN_SERVICE_TIME: f64 = 1e5;

/// A request that wants a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate<T> {
    pub(crate) request: T,
    pub(crate) tenant: usize,
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

/// What becomes of a request.
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

/// When a request that is queued has waited as long as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Time,
    tenant: usize,
    key: QueueKey,
}

/// The quotas of a front end's tenants.
#[derive(Debug)]
pub(crate) struct Quotas<T> {
    tenants: Vec<Tenant<T>>,
    class_weights: Vec<f64>,
    max_class_weight: f64,
    max_queue_wait: Time,
    limit: ConcurrencyLimit,
    in_flight: usize,
    /// Means of the service time, in nanoseconds: over many requests, and over the last few.
    usual_service_time: f64,
    recent_service_time: f64,
    /// The last sign of congestion.
    congested_at: Option<Time>,
    served: DecayingRate,
    deadlines: BTreeSet<Deadline>,
    next_sequence: u64,
}

impl<T> Quotas<T> {
    /// Quotas of which none is used.
    pub(crate) fn new(settings: QuotaSettings) -> Self {
        let max_class_weight = settings.class_weights.iter().copied().fold(0.0, f64::max);
        Quotas {
            tenants: settings.tenants.into_iter().map(Tenant::new).collect(),
            class_weights: settings.class_weights,
            max_class_weight,
            max_queue_wait: settings.max_queue_wait,
            limit: ConcurrencyLimit::new(settings.limit),
            in_flight: 0,
            usual_service_time: INITIAL_SERVICE_TIME,
            recent_service_time: INITIAL_SERVICE_TIME,
            congested_at: None,
            served: DecayingRate::default(),
            deadlines: BTreeSet::new(),
            next_sequence: 0,
        }
    }

    /// Requests that wait for a place.
    pub(crate) fn queued(&self) -> usize {
        self.deadlines.len()
    }

    /// When a request that is queued has waited as long as it may.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// A request comes; `remaining` is what remains of its time.
    pub(crate) fn offer(
        &mut self,
        now: Time,
        candidate: Candidate<T>,
        remaining: Time,
        decisions: &mut Vec<Decision<T>>,
    ) {
        self.limit.grow(now);
        let Some(tenant) = self.tenants.get_mut(candidate.tenant) else {
            return decisions.push(candidate.reject(RejectReason::OverQuota, MAX_RETRY_AFTER));
        };
        if let Err(retry_after) = tenant.record_arrival(now) {
            return decisions.push(candidate.reject(RejectReason::OverRate, retry_after));
        }
        if tenant.queue.is_empty() && self.may_start(candidate.tenant, candidate.class, now) {
            return self.start(now, candidate, decisions);
        }
        self.enqueue(now, candidate, remaining, decisions);
    }

    fn enqueue(
        &mut self,
        now: Time,
        candidate: Candidate<T>,
        remaining: Time,
        decisions: &mut Vec<Decision<T>>,
    ) {
        let tenant = candidate.tenant;
        let wait = self.max_queue_wait.min(remaining / QUEUE_WAIT_DIVISOR);
        let weight = Reverse(self.class_weight(candidate.class).max(0.0).to_bits());
        if wait == 0 || !self.make_place(tenant, weight, now, decisions) {
            let retry_after = self.queue_retry_after(tenant, now);
            return decisions.push(candidate.reject(RejectReason::OverQuota, retry_after));
        }
        let key = QueueKey {
            weight,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let until = now + wait;
        self.deadlines.insert(Deadline {
            at: until,
            tenant,
            key,
        });
        let queue = &mut self.tenants[tenant].queue;
        queue.insert(key, Queued { candidate, until });
        self.fill(now, decisions);
    }

    /// Whether a tenant's queue has a place. Where it is full a request of greater weight takes the place of the one of
    /// least weight, of these the latest.
    fn make_place(
        &mut self,
        tenant: usize,
        weight: Reverse<u64>,
        now: Time,
        decisions: &mut Vec<Decision<T>>,
    ) -> bool {
        let own = &mut self.tenants[tenant];
        if own.queue.len() < own.quota.max_queued {
            return true;
        }
        let Some(last) = own.queue.last_entry() else {
            return false;
        };
        if weight >= last.key().weight {
            return false;
        }
        let (key, displaced) = last.remove_entry();
        self.deadlines.remove(&Deadline {
            at: displaced.until,
            tenant,
            key,
        });
        let retry_after = self.queue_retry_after(tenant, now);
        let displaced = displaced.candidate;
        decisions.push(displaced.reject(RejectReason::OverQuota, retry_after));
        true
    }

    fn start(&mut self, now: Time, candidate: Candidate<T>, decisions: &mut Vec<Decision<T>>) {
        let tenant = &mut self.tenants[candidate.tenant];
        tenant.admitted.record(now);
        tenant.in_flight += 1;
        self.in_flight += 1;
        decisions.push(Decision::Admit(candidate));
    }

    /// How long until a tenant's queue will have gone, at its own pace.
    fn queue_retry_after(&self, tenant: usize, now: Time) -> Time {
        let own = &self.tenants[tenant];
        let quota = self.guaranteed(tenant, now);
        let ahead = (own.queue.len() + 1) as f64 + (own.in_flight as f64 - quota).max(0.0);
        let pace = quota / self.usual_service_time.max(MIN_SERVICE_TIME);
        ((ahead / pace) as Time).clamp(MIN_QUEUE_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// A request that had a place has ended, `service_time` after it was admitted.
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
        let in_flight_before = own.in_flight;
        own.in_flight = own.in_flight.saturating_sub(1);
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            ServiceResult::Served => self.record_served(now, service_time),
            ServiceResult::NoWorkerInTime => self.record_no_worker(now, tenant, in_flight_before),
            ServiceResult::Other => {}
        }
        self.fill(now, decisions);
    }

    fn record_served(&mut self, now: Time, service_time: Time) {
        let service_time = service_time as f64;
        self.usual_service_time += USUAL_TIME_SMOOTHING * (service_time - self.usual_service_time);
        self.recent_service_time +=
            RECENT_TIME_SMOOTHING * (service_time - self.recent_service_time);
        let is_slow = self.recent_service_time > CONGESTION_SLOWDOWN * self.usual_service_time;
        if is_slow && self.has_noisy_neighbor(now) {
            self.congested_at = Some(now);
        }
        self.served.record(now);
    }

    fn record_no_worker(&mut self, now: Time, tenant: usize, in_flight_before: usize) {
        if !self.has_noisy_neighbor(now) {
            return;
        }
        self.congested_at = Some(now);
        if self.limit.may_cut(now) {
            let is_within_quota = in_flight_before as f64 <= self.guaranteed(tenant, now);
            self.limit.cut(now, self.in_flight + 1, is_within_quota);
        }
    }

    /// Gives free places to requests that wait: the tenant that has least for its weight goes first.
    fn fill(&mut self, now: Time, decisions: &mut Vec<Decision<T>>) {
        while let Some(tenant) = self.next_to_start(now) {
            let Some((key, queued)) = self.tenants[tenant].queue.pop_first() else {
                return;
            };
            self.deadlines.remove(&Deadline {
                at: queued.until,
                tenant,
                key,
            });
            self.start(now, queued.candidate, decisions);
        }
    }

    /// Of the tenants whose next request may start, the one that has least in flight for its weight.
    fn next_to_start(&self, now: Time) -> Option<usize> {
        let tenants = self.tenants.iter().enumerate();
        let startable = tenants.filter_map(|(number, tenant)| {
            let (_, next) = tenant.queue.first_key_value()?;
            let load = tenant.in_flight as f64 / tenant.quota.weight.max(1e-9);
            let may_start = self.may_start(number, next.candidate.class, now);
            may_start.then_some((number, load))
        });
        let (number, _) = startable.min_by(|left, right| left.1.total_cmp(&right.1))?;
        Some(number)
    }

    /// Time has passed.
    pub(crate) fn tick(&mut self, now: Time, decisions: &mut Vec<Decision<T>>) {
        self.limit.grow(now);
        self.fill(now, decisions);
        while let Some(deadline) = self.deadlines.first().copied() {
            if deadline.at > now {
                return;
            }
            self.deadlines.pop_first();
            let tenant = deadline.tenant;
            if let Some(queued) = self.tenants[tenant].queue.remove(&deadline.key) {
                let retry_after = self.queue_retry_after(tenant, now);
                let candidate = queued.candidate;
                decisions.push(candidate.reject(RejectReason::OverQuota, retry_after));
            }
        }
    }

    /// Drops requests that wait and are not wanted any more.
    pub(crate) fn cancel(&mut self, mut is_cancelled: impl FnMut(&T) -> bool) {
        for tenant in &mut self.tenants {
            tenant
                .queue
                .retain(|_, queued| !is_cancelled(&queued.candidate.request));
        }
        let tenants = &self.tenants;
        self.deadlines
            .retain(|deadline| tenants[deadline.tenant].queue.contains_key(&deadline.key));
    }

    fn class_weight(&self, class: usize) -> f64 {
        self.class_weights.get(class).copied().unwrap_or(1.0)
    }

    fn may_start(&self, tenant: usize, class: usize, now: Time) -> bool {
        let own = &self.tenants[tenant];
        if own.in_flight >= own.quota.max_in_flight {
            return false;
        }
        // Whoever asks for no more than on any day is not throttled for a storm of others; the module sees to the rest.
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
        let borrowable = if self.class_weight(class) * 2.0 < self.max_class_weight {
            LOW_PRIORITY_BORROWING
        } else {
            1.0
        };
        (self.in_flight + 1) as f64 <= self.limit.current() * borrowable
    }

    fn is_congested(&self, now: Time) -> bool {
        self.congested_at
            .is_some_and(|at| now < at + CONGESTION_WINDOW)
    }

    /// The requests in flight that a tenant has for certain now.
    fn guaranteed(&self, tenant: usize, now: Time) -> f64 {
        // Never nothing: a quota too small for a whole request is still a quota.
        (self.limit.current() * self.fraction(tenant, now)).max(1.0)
    }

    /// A tenant's part among those that have asked lately, from 0 to 1.
    fn fraction(&self, tenant: usize, now: Time) -> f64 {
        let Some(own) = self.tenants.get(tenant) else {
            return 0.0;
        };
        let total: f64 = self
            .tenants
            .iter()
            .enumerate()
            .filter(|(number, other)| *number == tenant || other.is_active(now))
            .map(|(_, other)| other.quota.weight)
            .sum();
        own.quota.weight / total.max(f64::MIN_POSITIVE)
    }

    /// Whether some tenant asks for far more than its quota while others ask too.
    fn has_noisy_neighbor(&self, now: Time) -> bool {
        let mut tenants = self.tenants.iter().enumerate();
        tenants.any(|(number, tenant)| tenant.is_active(now) && self.is_noisy_neighbor(number, now))
    }

    /// Whether a tenant asks for far more than its quota; alone, nobody does.
    fn is_noisy_neighbor(&self, tenant: usize, now: Time) -> bool {
        let fraction = self.fraction(tenant, now);
        let demands = self
            .tenants
            .iter()
            .map(|other| other.demand.per_second(now));
        let total: f64 = demands.sum();
        let bound = total * (NOISY_FACTOR * fraction).min(NOISY_MAX_FRACTION);
        fraction < 1.0 && self.tenants[tenant].demand.per_second(now) > bound
    }

    /// Requests a second of a noisy neighbour that are its share of what is served, or what the others leave of it.
    fn allowed_rate(&self, tenant: usize, now: Time) -> f64 {
        let served = self.served.per_second(now);
        let (mut others_demand, mut noisy_weights) = (0.0, 0.0);
        for (number, other) in self.tenants.iter().enumerate() {
            if self.is_noisy_neighbor(number, now) {
                noisy_weights += other.quota.weight;
            } else {
                others_demand += other.demand.per_second(now);
            }
        }
        let weight = self.tenants[tenant].quota.weight;
        let left = (served - others_demand) * weight / noisy_weights.max(f64::MIN_POSITIVE);
        left.max(served * self.fraction(tenant, now))
    }
}
