//! Outlier detection: workers and zones that are left alone for a while.

use std::collections::BTreeSet;

use crate::api::{RequestId, Time};
use crate::estimates::SLOWDOWN_GAIN;
use crate::front_end::{FrontEnd, MILLISECOND};
use crate::state::{Attempt, Health};
use crate::worker_pool::WorkerGuard;

/// A send is overdue at this multiple of what was foreseen; a worker is silent when more of a class's sends
/// are than it has answered since the first of them, and at least so many.
const OVERDUE_FACTOR: f64 = 3.0;
/// A send is overdue at this multiple of what was foreseen; a worker is silent when more of a class's sends
/// are than it has answered since the first of them, and at least so many.
pub(crate) const MIN_OVERDUE_ATTEMPTS: usize = 3;
/// Connections failed, with no answer between, before a worker is left alone; one more: its copies are lost.
pub(crate) const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// A worker is in trouble when this share of its last ends are errors, and so many times that of the others.
const MAX_ERROR_RATE: f64 = 0.35;
/// A worker is in trouble when this share of its last ends are errors, and so many times that of the others.
const MAX_RELATIVE_ERROR_RATE: f64 = 2.0;
/// First time that a worker in trouble is left alone, and how often it doubles at most: the way back.
const BASE_EJECTION_TIME: Time = 500 * MILLISECOND;
/// First time that a worker in trouble is left alone, and how often it doubles at most: the way back.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

impl Health {
    /// Leaves the worker alone for a while, longer each time.
    pub(crate) fn eject(&mut self, now: Time) {
        self.ejected_at = now;
        self.ejected_until =
            now + (BASE_EJECTION_TIME << self.consecutive_errors.min(MAX_EJECTION_DOUBLINGS));
        self.consecutive_errors = (self.consecutive_errors + 1).min(MAX_EJECTION_DOUBLINGS + 1);
    }
}

impl Attempt {
    /// Whether its answer is so late that it counts as silence.
    pub(crate) fn is_overdue(&self, now: Time) -> bool {
        // What waits for an order has no foreseen end: the sum must not overflow.
        now > self.sent_at.saturating_add(
            (self.predicted_finish.saturating_sub(self.sent_at) as f64 * OVERDUE_FACTOR) as Time,
        )
    }
}

impl WorkerGuard<'_> {
    /// Notes an error. A worker whose calls mostly fail answers fast, so it looks free and draws more: it is
    /// left alone, for as long as it is worse than the others: a broken disk, a bad release, a lost secret.
    /// What fails everywhere alike, a program or a client's nonsense, shuts nobody: of one function's errors
    /// in a row one counts. Harm: where a worker alone can run a function, its calls are refused.
    pub(crate) fn record_error(&mut self, now: Time, sent: &Attempt) {
        let usual = self.mean_error_rate_of_others(sent.class);
        let health = &mut self.health[sent.class];
        if health.last_error_function.replace(sent.function) != Some(sent.function)
            || health.consecutive_errors > 0
        {
            health.error_rate += SLOWDOWN_GAIN * (1.0 - health.error_rate);
        }
        if health.error_rate > MAX_ERROR_RATE.max(usual * MAX_RELATIVE_ERROR_RATE)
            && now >= health.ejected_until
        {
            health.eject(now);
        }
    }
}

impl FrontEnd {
    /// Leaves a zone alone from which nothing came since sends went there that are overdue now, several of
    /// them; what is out there is sent elsewhere as with a silent worker, and one send at a time finds the
    /// way back. In a large tier no worker gets enough sends to be told silent by itself before the outage
    /// is over. Harm: a zone in which just the few workers that this front end met are silent is left too.
    pub(crate) fn detect_silent_zones(&mut self, recalled: &mut Vec<(RequestId, u32)>) {
        let now = self.now;
        let all = self.workers.zone_count();
        self.silent_zones.retain(|zone, z| {
            all > 1
                && self
                    .workers
                    .last_response_in(zone)
                    .is_some_and(|last| last <= z.ejected_at)
        });
        for zone in self.workers.busy_zones() {
            let shut = self.silent_zones.get(zone);
            // Where all say nothing it is not the zone, and all that there is cannot be left alone.
            if self.silent_zones.len() - usize::from(shut.is_some()) + 1 >= all {
                continue;
            }
            let out = || self.workers.busy_in(zone).flat_map(|n| &n.in_flight);
            // What was out when it was shut is no news of it since.
            let since = self
                .workers
                .last_response_in(zone)
                .max(shut.map(|z| z.ejected_at))
                .unwrap_or(0);
            let overdue = out()
                .filter(|s| s.sent_at > since && s.is_overdue(now))
                .count();
            let needed = if shut.is_some() {
                1
            } else {
                MIN_OVERDUE_ATTEMPTS
            };
            if overdue >= needed && shut.is_none_or(|z| now >= z.ejected_until) {
                recalled.extend(
                    out()
                        .filter(|s| !s.cancelled)
                        .map(|s| (s.request, s.attempt)),
                );
                self.silent_zones
                    .entry(zone.to_string())
                    .or_default()
                    .eject(now);
            }
        }
    }

    /// The zones that are left alone; once that time is over one send at a time tries one. The try may end in
    /// any way, then the next one may go.
    pub(crate) fn closed_zones(&self) -> BTreeSet<&str> {
        let out = |zone| {
            self.workers
                .busy_in(zone)
                .flat_map(|n| &n.in_flight)
                .filter(|s| !s.cancelled)
        };
        let tried = |zone, shut: &Health| out(zone).any(|s| s.sent_at >= shut.ejected_until);
        let closed = self
            .silent_zones
            .iter()
            .filter(|(zone, z)| self.now < z.ejected_until || tried(zone.as_str(), z));
        closed.map(|(zone, _)| zone.as_str()).collect()
    }
}
