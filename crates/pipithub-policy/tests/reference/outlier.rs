//! Outlier detection: workers, zones and the store are ejected for a while, and how they come back.
//!
//! A worker is ejected for a class whose attempts it leaves overdue or answers with errors, and for
//! all classes when connections to it fail. A zone is ejected when nothing comes from it any more.
//! All come back alike: after an ejection time that doubles, one attempt at a time.

use std::collections::BTreeMap;

use pipithub_policy::api::{Action, Idempotency, Outcome, RequestId, Time, WorkerId};

use super::estimates::SLOWDOWN_GAIN;
use super::front_end::FrontEnd;
use super::state::{Attempt, Health, WorkerState};
use super::time::MILLISECOND;

/// An attempt is overdue at this multiple of the time that it was predicted to take.
const OVERDUE_FACTOR: f64 = 3.0;
/// The overdue attempts from which a worker or zone counts as silent, where it has answered fewer
/// since.
const MIN_OVERDUE_ATTEMPTS: usize = 3;
/// Failures in a row, of connections or loads, before a worker or the store is ejected. After a
/// further failed connection the worker's replicas count as lost.
pub(crate) const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// A worker is an outlier when more than this share of its last attempts ended in errors ...
const MAX_ERROR_RATE: f64 = 0.35;
/// ... and more than this multiple of the other workers' mean share.
const MAX_RELATIVE_ERROR_RATE: f64 = 2.0;
/// The first ejection time.
const BASE_EJECTION_TIME: Time = 500 * MILLISECOND;
/// How often it doubles at most.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// An attempt that is to be cancelled and made elsewhere.
pub(crate) struct RecalledAttempt {
    request: RequestId,
    attempt: u32,
}

impl Health {
    /// Leaves it alone for a while, longer each time.
    pub(crate) fn eject(&mut self, now: Time) {
        self.ejected_at = now;
        let doublings = self.consecutive_errors.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + (BASE_EJECTION_TIME << doublings);
        self.consecutive_errors = (self.consecutive_errors + 1).min(MAX_EJECTION_DOUBLINGS + 1);
    }

    /// Takes in an answer.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_errors = self.consecutive_errors.saturating_sub(1);
        self.error_rate -= SLOWDOWN_GAIN * self.error_rate;
    }

    /// Overdue attempts after which it is silent: one is enough where it was ejected before.
    fn overdue_attempts_to_eject(&self) -> usize {
        if self.consecutive_errors > 0 {
            1
        } else {
            MIN_OVERDUE_ATTEMPTS
        }
    }
}

impl Attempt {
    /// Whether its answer is so late that it counts as silence.
    fn is_overdue(&self, now: Time) -> bool {
        let predicted_time = self.predicted_finish.saturating_sub(self.sent_at);
        now > self.sent_at + (predicted_time as f64 * OVERDUE_FACTOR) as Time
    }

    fn recall(&self) -> RecalledAttempt {
        RecalledAttempt {
            request: self.request,
            attempt: self.number,
        }
    }
}

impl WorkerState {
    /// Whether it may get an attempt of a class: it is not ejected, or it is time to probe it with
    /// one.
    pub(crate) fn accepts(&self, class: usize, now: Time) -> bool {
        let health = &self.health[class];
        let is_probed = self
            .in_flight
            .iter()
            .any(|attempt| attempt.class == class && attempt.sent_at >= health.ejected_until);
        health.consecutive_errors == 0 || now >= health.ejected_until && !is_probed
    }

    /// Ejects it for each class that it is silent in, and recalls the attempts of that class. A
    /// fault behind the worker may swallow the requests of one class though others are answered.
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

    /// Whether more attempts of a class are overdue than were answered since the first of them.
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
    /// Takes in a failed or broken connection. One is no dead process: where every worker resets a
    /// few, acting on it would bring all down by itself.
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

    /// Takes in an error. A worker whose requests mostly fail answers fast, so that it looks free:
    /// it is ejected while it is worse than the others. What fails everywhere alike ejects no
    /// worker, and of one function's consecutive errors only the first counts.
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

    /// Whether a zone may get an attempt: it is not ejected, or it is time to probe it with one.
    /// The probe may end in any way, then the next one may go.
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

    /// Ejects a zone from which nothing came since attempts went there that are overdue now,
    /// several of them, and recalls what is in flight there. In a large deployment no worker gets
    /// enough attempts to be found silent by itself before the outage is over.
    pub(crate) fn detect_silent_zones(&mut self, recalled: &mut Vec<RecalledAttempt>) {
        let mut last_responses: BTreeMap<String, Time> = BTreeMap::new();
        for worker in self.workers.values() {
            let last = last_responses
                .entry(worker.endpoint.zone.clone())
                .or_default();
            *last = (*last).max(worker.last_response_at);
        }
        let zone_count = last_responses.len();
        // A zone is back when it has responded since, or where no other zone is left.
        self.silent_zones.retain(|zone, health| {
            let last = last_responses.get(zone);
            zone_count > 1 && last.is_some_and(|last| *last <= health.ejected_at)
        });
        for (zone, last_response) in last_responses {
            let others = self.silent_zones.keys().filter(|silent| **silent != zone);
            // Where all zones are silent it is not the zone, and all that there is cannot be left
            // alone.
            let is_last = others.count() + 1 >= zone_count;
            if !is_last && self.is_zone_silent(&zone, last_response) {
                let waiting = self.attempts_in(&zone).filter(|attempt| !attempt.cancelled);
                recalled.extend(waiting.map(Attempt::recall));
                self.silent_zones.entry(zone).or_default().eject(self.now);
            }
        }
    }

    /// Whether enough attempts at a zone are overdue that were sent after its last response. An
    /// ejected zone is silent again when one probe is overdue.
    fn is_zone_silent(&self, zone: &str, last_response: Time) -> bool {
        let ejected = self.silent_zones.get(zone);
        // What was in flight when it was ejected is no sign since then.
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

    /// Cancels attempts at silent workers and zones, where the request may be retried elsewhere.
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
