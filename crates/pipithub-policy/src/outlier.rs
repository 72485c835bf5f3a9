//! Outlier detection: workers, zones and the store are left alone for a while, and how they come
//! back.
//!
//! A worker is ejected for a class whose attempts it leaves overdue or answers with errors, and for
//! all classes when connections to it fail. A zone is ejected when nothing comes from it any more.
//! All come back alike: after an ejection time that doubles, one attempt at a time.
//! `docs/design.md`, "Exceptions, and when each acts", tells when each acts.

use std::collections::BTreeSet;

use crate::api::{Action, Idempotency, Outcome, RequestId, Time};
use crate::ejection::Ejection;
use crate::estimates::SLOWDOWN_GAIN;
use crate::front_end::FrontEnd;
use crate::state::{Attempt, Health, WorkerState};
use crate::worker_table::WorkerGuard;

/// An attempt is overdue at this multiple of the time that it was predicted to take.
const OVERDUE_FACTOR: f64 = 3.0;
/// A worker or zone is silent with so many overdue attempts and no answer, and more than it has
/// answered since.
const MIN_OVERDUE_ATTEMPTS: usize = 3;
/// Failures in a row, of connections or loads, before a worker or the store is left alone. One more
/// failed connection: the worker's replicas are lost.
pub(crate) const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// A worker is an outlier when more than this share of its last attempts ended in errors ...
const MAX_ERROR_RATE: f64 = 0.35;
/// ... and more than so many times that of the others.
const MAX_RELATIVE_ERROR_RATE: f64 = 2.0;
/// An attempt that is to be cancelled and made elsewhere.
pub(crate) struct RecalledAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
}

impl Health {
    /// Takes in an answer.
    pub(crate) fn record_success(&mut self) {
        self.ejection.record_success();
        self.error_rate -= SLOWDOWN_GAIN * self.error_rate;
    }
}

impl Ejection {
    /// Ejects a silent zone anew where an attempt that probed it brought no response either.
    pub(crate) fn record_probe(&mut self, outcome: Outcome, sent_at: Time, now: Time) {
        let no_response = matches!(
            outcome,
            Outcome::Unreachable | Outcome::ConnectionLost | Outcome::TimedOut
        );
        if no_response && self.is_probe(sent_at) {
            self.eject(now);
        }
    }
}

impl Attempt {
    /// Whether its answer is so late that it counts as silence.
    fn is_overdue(&self, now: Time) -> bool {
        let predicted_time = self.predicted_finish.saturating_sub(self.sent_at);
        // What waits for a load command has no predicted finish: the sum must not overflow.
        now > self
            .sent_at
            .saturating_add((predicted_time as f64 * OVERDUE_FACTOR) as Time)
    }

    fn recall(&self) -> RecalledAttempt {
        RecalledAttempt {
            request: self.request,
            attempt: self.number,
        }
    }
}

impl WorkerGuard<'_> {
    /// Takes in an error.
    ///
    /// A worker whose requests mostly fail answers fast, so that it looks free and draws more: it
    /// is ejected for as long as it is worse than the others, for a broken disk, a bad release, a
    /// lost secret. What fails everywhere alike, by a function or a client's mistake, ejects
    /// nobody: of one function's errors in a row one counts. The price: where one worker alone can
    /// run a function, its requests are rejected.
    pub(crate) fn record_error(&mut self, now: Time, attempt: &Attempt) {
        let usual = self.mean_error_rate_of_others(attempt.class);
        let health = &mut self.health[attempt.class];
        let last = health.last_error_function.replace(attempt.function);
        if last != Some(attempt.function) || !health.ejection.is_recovered() {
            health.error_rate += SLOWDOWN_GAIN * (1.0 - health.error_rate);
        }
        let max_error_rate = MAX_ERROR_RATE.max(usual * MAX_RELATIVE_ERROR_RATE);
        if health.error_rate > max_error_rate && health.ejection.is_over(now) {
            health.ejection.eject(now);
        }
    }
}

impl WorkerState {
    /// Takes in a failed or broken connection. One is no dead process: where every worker resets a
    /// few, acting on it would bring all down by itself.
    pub(crate) fn record_connect_failure(&mut self, now: Time) {
        self.consecutive_connect_failures += 1;
        if self.consecutive_connect_failures >= MAX_CONSECUTIVE_FAILURES {
            for health in &mut self.health {
                if health.ejection.is_over(now) {
                    health.ejection.eject(now);
                }
            }
        }
        if self.consecutive_connect_failures > MAX_CONSECUTIVE_FAILURES {
            self.replicas.clear();
        }
    }

    /// Whether it may get an attempt of a class: it is not ejected, or it is time to probe it with
    /// one.
    pub(crate) fn accepts(&self, class: usize, now: Time) -> bool {
        let health = &self.health[class];
        let is_probed = || {
            self.in_flight
                .iter()
                .any(|attempt| attempt.class == class && health.ejection.is_probe(attempt.sent_at))
        };
        health.ejection.is_recovered() || health.ejection.is_over(now) && !is_probed()
    }

    /// Ejects it for each class that it has fallen silent for.
    ///
    /// No outcome is a symptom too, counted by class: a fault behind the workers may swallow the
    /// requests of one class though others are answered. Slow loads may look alike.
    pub(crate) fn eject_if_silent(&mut self, now: Time, recalled: &mut Vec<RecalledAttempt>) {
        for class in 0..self.health.len() {
            if !self.is_silent(class, now) {
                continue;
            }
            self.health[class].ejection.eject(now);
            let waiting = self
                .in_flight
                .iter()
                .filter(|attempt| attempt.class == class && !attempt.cancelled);
            recalled.extend(waiting.map(Attempt::recall));
        }
    }

    fn is_silent(&self, class: usize, now: Time) -> bool {
        let overdue = || {
            self.in_flight
                .iter()
                .filter(|attempt| attempt.class == class && attempt.is_overdue(now))
        };
        let count = overdue().count();
        let first = overdue()
            .map(|attempt| attempt.sent_at)
            .min()
            .unwrap_or(now);
        let answers = self
            .recent_answers
            .iter()
            .filter(|answer| answer.class == class && answer.at > first)
            .count();
        let health = &self.health[class];
        let needed = if health.ejection.is_recovered() {
            MIN_OVERDUE_ATTEMPTS
        } else {
            1
        };
        health.ejection.is_over(now) && count >= needed && count > answers
    }
}

impl FrontEnd {
    /// Ejects a zone from which nothing came since attempts went there that are overdue now,
    /// several of them.
    ///
    /// What is in flight there is sent elsewhere as with a silent worker. In a large deployment no
    /// worker gets enough attempts to be found silent by itself before the outage is over. The
    /// price: a zone in which just the few workers that this front end met are silent is ejected
    /// too.
    pub(crate) fn detect_silent_zones(&mut self, recalled: &mut Vec<RecalledAttempt>) {
        let now = self.now;
        self.readmit_zones();
        let zone_count = self.workers.zone_count();
        for zone in self.workers.busy_zones() {
            let ejected = self.silent_zones.get(zone);
            // Where all zones are silent it is not the zone, and all that there is cannot be left
            // alone.
            if self.silent_zones.len() - usize::from(ejected.is_some()) + 1 >= zone_count {
                continue;
            }
            if !self.is_zone_silent(zone, ejected) {
                continue;
            }
            let waiting = self
                .workers
                .busy_in(zone)
                .flat_map(|worker| &worker.in_flight)
                .filter(|attempt| !attempt.cancelled);
            recalled.extend(waiting.map(Attempt::recall));
            self.silent_zones
                .entry(zone.to_string())
                .or_default()
                .eject(now);
        }
    }

    /// Forgets the silent zones that have responded since, or where no other zone is left.
    fn readmit_zones(&mut self) {
        let workers = &self.workers;
        let has_others = workers.zone_count() > 1;
        self.silent_zones.retain(|zone, ejection| {
            has_others
                && workers
                    .last_response_in(zone)
                    .is_some_and(|last| last <= ejection.since())
        });
    }

    fn is_zone_silent(&self, zone: &str, ejected: Option<&Ejection>) -> bool {
        // What was in flight when it was ejected is no sign since then.
        let since = self
            .workers
            .last_response_in(zone)
            .max(ejected.map(Ejection::since))
            .unwrap_or(0);
        let overdue = self
            .workers
            .busy_in(zone)
            .flat_map(|worker| &worker.in_flight)
            .filter(|attempt| attempt.sent_at > since && attempt.is_overdue(self.now))
            .count();
        let needed = if ejected.is_some() {
            1
        } else {
            MIN_OVERDUE_ATTEMPTS
        };
        overdue >= needed && ejected.is_none_or(|ejection| ejection.is_over(self.now))
    }

    /// The zones that are left alone; once that time is over one attempt at a time probes one. It
    /// may end in any way, then the next one may go.
    pub(crate) fn closed_zones(&self) -> BTreeSet<&str> {
        let is_probed = |zone: &str, ejection: &Ejection| {
            self.workers
                .busy_in(zone)
                .flat_map(|worker| &worker.in_flight)
                .any(|attempt| !attempt.cancelled && ejection.is_probe(attempt.sent_at))
        };
        self.silent_zones
            .iter()
            .filter(|(zone, ejection)| !ejection.is_over(self.now) || is_probed(zone, ejection))
            .map(|(zone, _)| zone.as_str())
            .collect()
    }

    /// Cancels attempts at silent workers, where the request may be retried elsewhere.
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
