//! Outlier detection: when workers, zones and the store are ejected, and how they are used again.
//!
//! A worker is ejected for a class whose attempts it leaves overdue or answers with errors, and for
//! all classes when connections to it fail. A zone is ejected when nothing comes from it any more.
//! The ejection time doubles with each ejection; when it is over, workers and zones get one attempt
//! at a time as a probe.

use std::collections::BTreeMap;

use pipithub_policy::api::{Action, Idempotency, Outcome, RequestId, Time, WorkerId};

use super::estimates::SLOWDOWN_GAIN;
use super::front_end::FrontEnd;
use super::state::{Attempt, Health, WorkerState};
use super::time::MILLISECOND;

/// An attempt is overdue at this multiple of the time that it was predicted to take.
const OVERDUE_FACTOR: f64 = 3.0;
/// The number of overdue attempts that make a worker or zone count as silent. A worker must have
/// answered fewer since the first of them was sent, a zone must not have responded at all.
const MIN_OVERDUE_ATTEMPTS: usize = 3;
/// Consecutive failures of connections or loads after which a worker or the store is ejected. After
/// a further failed connection the worker's replicas count as lost.
pub(crate) const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// A worker is an outlier when more than this share of its last attempts ended in errors ...
const MAX_ERROR_RATE: f64 = 0.35;
/// ... and more than this multiple of the other workers' mean share.
const MAX_RELATIVE_ERROR_RATE: f64 = 2.0;
/// The first ejection time.
const BASE_EJECTION_TIME: Time = 500 * MILLISECOND;
/// How often the ejection time doubles at most.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// An attempt that is to be cancelled, so that its request can be retried elsewhere.
pub(crate) struct RecalledAttempt {
    request: RequestId,
    attempt: u32,
}

impl Health {
    /// Starts an ejection, twice as long as the last one unless successes came between.
    pub(crate) fn eject(&mut self, now: Time) {
        self.ejected_at = now;
        let doublings = self.consecutive_errors.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + (BASE_EJECTION_TIME << doublings);
        self.consecutive_errors = (self.consecutive_errors + 1).min(MAX_EJECTION_DOUBLINGS + 1);
    }

    /// Records an answer: it offsets one ejection and lowers the error rate.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_errors = self.consecutive_errors.saturating_sub(1);
        self.error_rate -= SLOWDOWN_GAIN * self.error_rate;
    }

    /// The number of overdue attempts that count as silence; one is enough after an ejection that
    /// no success has offset.
    fn overdue_attempts_to_eject(&self) -> usize {
        if self.consecutive_errors > 0 {
            1
        } else {
            MIN_OVERDUE_ATTEMPTS
        }
    }
}

impl Attempt {
    /// Whether the answer is so late that it counts as silence.
    fn is_overdue(&self, now: Time) -> bool {
        let predicted_time = self.predicted_finish.saturating_sub(self.sent_at);
        now > self.sent_at + (predicted_time as f64 * OVERDUE_FACTOR) as Time
    }

    /// This attempt, as one to be cancelled.
    fn recall(&self) -> RecalledAttempt {
        RecalledAttempt {
            request: self.request,
            attempt: self.number,
        }
    }
}

impl WorkerState {
    /// Whether the worker may get an attempt of a class: it is not ejected, or its ejection time is
    /// over and no attempt probes it yet.
    pub(crate) fn accepts(&self, class: usize, now: Time) -> bool {
        let health = &self.health[class];
        let is_probed = self
            .in_flight
            .iter()
            .any(|attempt| attempt.class == class && attempt.sent_at >= health.ejected_until);
        health.consecutive_errors == 0 || now >= health.ejected_until && !is_probed
    }

    /// Ejects the worker for each class that it is silent for, and adds its attempts of that class
    /// to `recalled`. A fault behind the worker may leave the requests of one class unanswered
    /// though those of others are answered.
    pub(crate) fn eject_if_silent(&mut self, now: Time, recalled: &mut Vec<RecalledAttempt>) {
        for class in 0..self.health.len() {
            if !self.is_silent(class, now) {
                continue;
            }
            self.health[class].eject(now);
            let waiting = self
                .in_flight
                .iter()
                .filter(|attempt| attempt.class == class && !attempt.cancelled);
            recalled.extend(waiting.map(Attempt::recall));
        }
    }

    /// Whether enough attempts of a class are overdue, and more than were answered since the first
    /// of them was sent; always `false` during an ejection.
    fn is_silent(&self, class: usize, now: Time) -> bool {
        let overdue: Vec<&Attempt> = self
            .in_flight
            .iter()
            .filter(|attempt| attempt.class == class && attempt.is_overdue(now))
            .collect();
        let first = overdue.iter().map(|attempt| attempt.sent_at).min();
        let first = first.unwrap_or(now);
        let answers = self
            .recent_answers
            .iter()
            .filter(|answer| answer.class == class && answer.at > first)
            .count();
        let health = &self.health[class];
        now >= health.ejected_until
            && overdue.len() >= health.overdue_attempts_to_eject()
            && overdue.len() > answers
    }
}

impl FrontEnd {
    /// Records a failed or broken connection. One failure does not mean that the process has ended:
    /// where every worker resets a few connections, acting on one would eject them all.
    pub(crate) fn record_connect_failure(&mut self, worker_id: &WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.consecutive_connect_failures += 1;
        if worker.consecutive_connect_failures >= MAX_CONSECUTIVE_FAILURES {
            for health in &mut worker.health {
                if now >= health.ejected_until {
                    health.eject(now);
                }
            }
        }
        if worker.consecutive_connect_failures > MAX_CONSECUTIVE_FAILURES {
            worker.replicas.clear();
        }
    }

    /// Records an error. A worker whose requests mostly fail answers fast, so that it looks idle:
    /// it is ejected if it is worse than the others. Errors that are as frequent at the other
    /// workers eject no worker, and of consecutive errors of one function only the first counts,
    /// unless the worker was ejected before.
    pub(crate) fn record_error(&mut self, worker_id: &WorkerId, attempt: &Attempt) {
        let (now, class) = (self.now, attempt.class);
        let usual = self.mean_error_rate_of_others(worker_id, class);
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let health = &mut worker.health[class];
        let last = health.last_error_function.replace(attempt.function);
        if last != Some(attempt.function) || health.consecutive_errors > 0 {
            health.error_rate += SLOWDOWN_GAIN * (1.0 - health.error_rate);
        }
        let max_error_rate = MAX_ERROR_RATE.max(usual * MAX_RELATIVE_ERROR_RATE);
        if health.error_rate > max_error_rate && now >= health.ejected_until {
            health.eject(now);
        }
    }

    /// The mean error rate of the other ready workers for a class; 0 where there are none.
    fn mean_error_rate_of_others(&self, worker_id: &WorkerId, class: usize) -> f64 {
        let rates: Vec<f64> = self
            .ready_workers()
            .filter(|(id, _)| *id != worker_id)
            .map(|(_, worker)| worker.health[class].error_rate)
            .collect();
        rates.iter().sum::<f64>() / rates.len().max(1) as f64
    }

    /// Whether a zone may get an attempt: it is not ejected, or its ejection time is over and no
    /// attempt probes it yet. When the probe has ended, in whatever way, the next one may be sent.
    pub(crate) fn accepts_zone(&self, zone: &str) -> bool {
        let Some(health) = self.silent_zones.get(zone) else {
            return true;
        };
        let is_probed = self
            .attempts_in(zone)
            .any(|attempt| !attempt.cancelled && attempt.sent_at >= health.ejected_until);
        self.now >= health.ejected_until && !is_probed
    }

    /// This front end's attempts at the workers of a zone.
    fn attempts_in(&self, zone: &str) -> impl Iterator<Item = &Attempt> {
        self.workers
            .values()
            .filter(move |worker| worker.endpoint.zone == zone)
            .flat_map(|worker| &worker.in_flight)
    }

    /// Extends the ejection of a silent zone where an attempt that probed it got no response
    /// either.
    pub(crate) fn record_zone_probe(&mut self, zone: &str, outcome: Outcome, sent_at: Time) {
        let no_response = matches!(
            outcome,
            Outcome::Unreachable | Outcome::ConnectionLost | Outcome::TimedOut
        );
        if let Some(health) = self.silent_zones.get_mut(zone)
            && no_response
            && sent_at >= health.ejected_until
        {
            health.eject(self.now);
        }
    }

    /// Ejects each zone without a response since several attempts were sent there that are overdue
    /// now, and adds the attempts in flight there to `recalled`. In a large deployment no single
    /// worker gets enough attempts to be found silent before the outage is over.
    pub(crate) fn detect_silent_zones(&mut self, recalled: &mut Vec<RecalledAttempt>) {
        let mut last_responses: BTreeMap<String, Time> = BTreeMap::new();
        for worker in self.workers.values() {
            let last = last_responses
                .entry(worker.endpoint.zone.clone())
                .or_default();
            *last = (*last).max(worker.last_response_at);
        }
        let zone_count = last_responses.len();
        // A zone is used again when it has responded since its ejection, or if it is the only one.
        self.silent_zones.retain(|zone, health| {
            let last = last_responses.get(zone);
            zone_count > 1 && last.is_some_and(|last| *last <= health.ejected_at)
        });
        for (zone, last_response) in last_responses {
            let others = self.silent_zones.keys().filter(|silent| **silent != zone);
            // If all zones are silent, the fault is not in one zone, and the last one must stay in
            // use.
            let is_last = others.count() + 1 >= zone_count;
            if !is_last && self.is_zone_silent(&zone, last_response) {
                let waiting = self.attempts_in(&zone).filter(|attempt| !attempt.cancelled);
                recalled.extend(waiting.map(Attempt::recall));
                self.silent_zones.entry(zone).or_default().eject(self.now);
            }
        }
    }

    /// Whether enough attempts at a zone are overdue that were sent after its last response. For an
    /// ejected zone one overdue probe is enough.
    fn is_zone_silent(&self, zone: &str, last_response: Time) -> bool {
        let ejected = self.silent_zones.get(zone);
        // Attempts that were in flight when the zone was ejected are no sign of a further fault.
        let since = last_response.max(ejected.map_or(0, |health| health.ejected_at));
        let overdue = self
            .attempts_in(zone)
            .filter(|attempt| attempt.sent_at > since && attempt.is_overdue(self.now))
            .count();
        match ejected {
            Some(health) => overdue >= 1 && self.now >= health.ejected_until,
            None => overdue >= MIN_OVERDUE_ATTEMPTS,
        }
    }

    /// Cancels attempts at silent workers and zones if their requests may be retried elsewhere.
    pub(crate) fn cancel_recalled(&self, recalled: &[RecalledAttempt], actions: &mut Vec<Action>) {
        let limits = &self.settings.limits;
        for RecalledAttempt { request, attempt } in recalled {
            let Some(pending) = self.pending.get(request) else {
                continue;
            };
            let class = &self.settings.classes[pending.request.class];
            if limits.cancel
                && class.idempotency != Idempotency::NonIdempotent
                && pending.attempts < limits.max_attempts
            {
                actions.push(Action::Cancel {
                    request: *request,
                    attempt: *attempt,
                });
            }
        }
    }
}
