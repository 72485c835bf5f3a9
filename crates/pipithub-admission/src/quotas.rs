//! The rate limits and quotas of tenants.
//!
//! The limit on requests in flight of a front end is adaptive. It is cut when the decision module finds no worker for a
//! request in time while some tenant asks for far more than its quota, and it grows slowly over time. It is not cut if
//! no tenant asks for far more than its quota or if there is only one tenant. The decision module then rejects the
//! requests that find no worker. A lower limit would only reject more, because requests that wait for slow loads of
//! functions fill any limit on requests in flight.
//!
//! Only tenants that ask for far more than their quota are throttled; they are called noisy neighbours. While there are
//! free workers, a noisy neighbour may borrow quota that others leave idle: it may always use its own part of the
//! limit, and beyond that the rest of the limit, of which classes of low weight may use less. During congestion, when
//! requests find no worker or take much longer than usual, it starts requests only at a limited rate: its quota of the
//! rate at which requests are served, or the rate that the other tenants leave if that is greater.

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

/// The maximum Retry-After that clients are given.
const MAX_RETRY_AFTER: Time = 5 * SECOND;
/// The minimum Retry-After that clients of a full queue are given.
const MIN_QUEUE_RETRY_AFTER: Time = 20 * MS;
/// A request waits in the queue of its tenant for at most its remaining time divided by this.
const QUEUE_WAIT_DIVISOR: Time = 10;
/// The part of the limit up to which a class may borrow if its weight is less than half of the greatest weight.
const LOW_PRIORITY_BORROWING: f64 = 0.9;
/// A tenant whose part of all requests is more than this many times its quota is a noisy neighbour.
const NOISY_FACTOR: f64 = 1.5;
/// A tenant whose part of all requests is greater than this is a noisy neighbour, however great its quota.
const NOISY_MAX_FRACTION: f64 = 0.95;
/// During congestion a noisy neighbour starts requests at this part of its allowed rate, so that the backlog shrinks.
const THROTTLED_FRACTION: f64 = 0.9;
/// Congestion is assumed to last for this long after its last sign.
const CONGESTION_WINDOW: Time = SECOND;
/// A recent service time of this many times the usual one is a sign of congestion.
const CONGESTION_SLOWDOWN: f64 = 2.0;
/// The weight of the newest request in the usual service time.
const USUAL_TIME_SMOOTHING: f64 = 0.01;
/// The weight of the newest request in the recent service time.
const RECENT_TIME_SMOOTHING: f64 = 0.2;
/// The service time that is assumed before any request was served, in nanoseconds.
const INITIAL_SERVICE_TIME: f64 = 50e6;
/// The minimum service time in estimates, in nanoseconds.
const MIN_SERVICE_TIME: f64 = 1e5;

/// A request that its tenant wants to start.
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

/// The decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision<T> {
    /// The request may start. [`Quotas::completed`] must be called once when it has ended.
    Admit(Candidate<T>),
    /// The request may not start in time, or its tenant exceeds its rate limit.
    Reject {
        candidate: Candidate<T>,
        reason: RejectReason,
        retry_after: Time,
    },
}

/// The time until which a queued request may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Time,
    tenant: usize,
    key: QueueKey,
}

/// The quotas of all tenants at one front end.
#[derive(Debug)]
pub(crate) struct Quotas<T> {
    tenants: Vec<Tenant<T>>,
    class_weights: Vec<f64>,
    max_class_weight: f64,
    max_queue_wait: Time,
    limit: ConcurrencyLimit,
    in_flight: usize,
    /// The mean service time of many requests, in nanoseconds.
    usual_service_time: f64,
    /// The mean service time of the last few requests, in nanoseconds.
    recent_service_time: f64,
    /// When the last sign of congestion was seen; `None` if there was none.
    congested_at: Option<Time>,
    served: DecayingRate,
    deadlines: BTreeSet<Deadline>,
    next_sequence: u64,
}

impl<T> Quotas<T> {
    /// Creates quotas with no request in flight or queued.
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

    /// The number of requests in the queues of all tenants.
    pub(crate) fn queued(&self) -> usize {
        self.deadlines.len()
    }

    /// When the wait of the next queued request ends; `None` if none is queued.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Handles a new request; `remaining` is the time until its deadline, in nanoseconds.
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
        if let Err(exceeded) = tenant.record_arrival(now) {
            return decisions.push(candidate.reject(RejectReason::OverRate, exceeded.retry_after));
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
        if wait == 0 || !self.make_room_in_queue(tenant, weight, now, decisions) {
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
        self.start_queued(now, decisions);
    }

    /// Makes room in the queue of a tenant for a request of this weight, and returns whether there is room. If the
    /// queue is full, the latest of the requests of least weight is rejected, provided that the new one weighs more.
    fn make_room_in_queue(
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

    /// How long a tenant needs to empty its queue at the rate of its quota, within the bounds of a Retry-After.
    fn queue_retry_after(&self, tenant: usize, now: Time) -> Time {
        let own = &self.tenants[tenant];
        let quota = self.guaranteed_in_flight(tenant, now);
        let backlog = (own.queue.len() + 1) as f64 + (own.in_flight as f64 - quota).max(0.0);
        let rate = quota / self.usual_service_time.max(MIN_SERVICE_TIME);
        ((backlog / rate) as Time).clamp(MIN_QUEUE_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Handles the end of a request, `service_time` nanoseconds after it was admitted.
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
        self.start_queued(now, decisions);
    }

    fn record_served(&mut self, now: Time, service_time: Time) {
        let service_time = service_time as f64;
        self.usual_service_time += USUAL_TIME_SMOOTHING * (service_time - self.usual_service_time);
        self.recent_service_time +=
            RECENT_TIME_SMOOTHING * (service_time - self.recent_service_time);
        let is_slow = self.recent_service_time > CONGESTION_SLOWDOWN * self.usual_service_time;
        if is_slow && self.has_noisy_neighbour(now) {
            self.congested_at = Some(now);
        }
        self.served.record(now);
    }

    fn record_no_worker(&mut self, now: Time, tenant: usize, in_flight_before: usize) {
        if !self.has_noisy_neighbour(now) {
            return;
        }
        self.congested_at = Some(now);
        if self.limit.may_cut(now) {
            let is_within_quota = in_flight_before as f64 <= self.guaranteed_in_flight(tenant, now);
            self.limit.cut(now, self.in_flight + 1, is_within_quota);
        }
    }

    /// Starts queued requests as long as quotas allow, each time one of the tenant with the fewest requests in flight
    /// relative to its weight.
    fn start_queued(&mut self, now: Time, decisions: &mut Vec<Decision<T>>) {
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

    /// Of the tenants whose next request may start, the one with the fewest requests in flight relative to its weight;
    /// `None` if no request may start.
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

    /// Handles what is due: starts queued requests that quotas allow by now, and rejects those whose wait is over.
    pub(crate) fn tick(&mut self, now: Time, decisions: &mut Vec<Decision<T>>) {
        self.limit.grow(now);
        self.start_queued(now, decisions);
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

    /// Drops queued requests that were cancelled.
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
        // Only noisy neighbours are throttled. The decision module rejects requests of other tenants that find no
        // worker.
        if !self.is_noisy_neighbour(tenant, now) {
            return true;
        }
        if self.is_congested(now) {
            // One request may always be in flight. The allowed rate depends on the rate of served requests, which
            // includes those of this tenant, so it could otherwise shrink to zero.
            return own.in_flight == 0
                || own.admitted.per_second(now)
                    <= self.allowed_rate(tenant, now) * THROTTLED_FRACTION;
        }
        if ((own.in_flight + 1) as f64) <= self.guaranteed_in_flight(tenant, now) {
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

    /// The number of requests in flight that a tenant may always have now.
    fn guaranteed_in_flight(&self, tenant: usize, now: Time) -> f64 {
        // A quota of less than one request still allows one.
        (self.limit.current() * self.quota_fraction(tenant, now)).max(1.0)
    }

    /// The weight of a tenant as a fraction of the weights of itself and all active tenants, from 0 to 1.
    fn quota_fraction(&self, tenant: usize, now: Time) -> f64 {
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

    /// Whether some active tenant is a noisy neighbour.
    fn has_noisy_neighbour(&self, now: Time) -> bool {
        let mut tenants = self.tenants.iter().enumerate();
        tenants
            .any(|(number, tenant)| tenant.is_active(now) && self.is_noisy_neighbour(number, now))
    }

    /// Whether a tenant asks for far more than its quota. The only active tenant never does.
    fn is_noisy_neighbour(&self, tenant: usize, now: Time) -> bool {
        let fraction = self.quota_fraction(tenant, now);
        let demands = self
            .tenants
            .iter()
            .map(|other| other.demand.per_second(now));
        let total: f64 = demands.sum();
        let bound = total * (NOISY_FACTOR * fraction).min(NOISY_MAX_FRACTION);
        fraction < 1.0 && self.tenants[tenant].demand.per_second(now) > bound
    }

    /// The rate at which a noisy neighbour may start requests, per second: its quota of the rate at which requests are
    /// served, or its part of the rate that other tenants leave to noisy neighbours if that is greater.
    fn allowed_rate(&self, tenant: usize, now: Time) -> f64 {
        let served = self.served.per_second(now);
        let (mut others_demand, mut noisy_weights) = (0.0, 0.0);
        for (number, other) in self.tenants.iter().enumerate() {
            if self.is_noisy_neighbour(number, now) {
                noisy_weights += other.quota.weight;
            } else {
                others_demand += other.demand.per_second(now);
            }
        }
        let weight = self.tenants[tenant].quota.weight;
        let available = (served - others_demand) * weight / noisy_weights.max(f64::MIN_POSITIVE);
        available.max(served * self.quota_fraction(tenant, now))
    }
}
