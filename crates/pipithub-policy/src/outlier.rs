//! Outlier detection: workers and zones that are left alone for a while.

use std::collections::BTreeSet;

use crate::api::{RequestId, Time};
use crate::estimates::PACE_GAIN;
use crate::front_end::{FrontEnd, MS};
use crate::state::{Health, Sent};
use crate::tier::Changed;

/// A send is overdue at this multiple of what was foreseen; a worker is silent when more of a class's sends
/// are than it has answered since the first of them, and at least so many.
const SILENCE_STRETCH: f64 = 3.0;
/// A send is overdue at this multiple of what was foreseen; a worker is silent when more of a class's sends
/// are than it has answered since the first of them, and at least so many.
pub(crate) const SILENT_SENDS: usize = 3;
/// Connections failed, with no answer between, before a worker is left alone; one more: its copies are lost.
pub(crate) const STRIKES: u32 = 2;
/// A worker is in trouble when this share of its last ends are errors, and so many times that of the others.
const ERRORS_MOST: f64 = 0.35;
/// A worker is in trouble when this share of its last ends are errors, and so many times that of the others.
const ERRORS_WORSE: f64 = 2.0;
/// First time that a worker in trouble is left alone, and how often it doubles at most: the way back.
const SHUT_FIRST: Time = 500 * MS;
/// First time that a worker in trouble is left alone, and how often it doubles at most: the way back.
const SHUT_STEPS: u32 = 3;

impl Health {
    /// Leaves the worker alone for a while, longer each time.
    pub(crate) fn shut(&mut self, now: Time) {
        self.since = now;
        self.shut_until = now + (SHUT_FIRST << self.bad.min(SHUT_STEPS));
        self.bad = (self.bad + 1).min(SHUT_STEPS + 1);
    }
}

impl Sent {
    /// Whether its answer is so late that it counts as silence.
    pub(crate) fn overdue(&self, now: Time) -> bool {
        // What waits for an order has no foreseen end: the sum must not overflow.
        now > self
            .at
            .saturating_add((self.due.saturating_sub(self.at) as f64 * SILENCE_STRETCH) as Time)
    }
}

impl Changed<'_> {
    /// Notes an error. A worker whose calls mostly fail answers fast, so it looks free and draws more: it is
    /// left alone, for as long as it is worse than the others: a broken disk, a bad release, a lost secret.
    /// What fails everywhere alike, a program or a client's nonsense, shuts nobody: of one function's errors
    /// in a row one counts. Harm: where a worker alone can run a function, its calls are refused.
    pub(crate) fn erred(&mut self, now: Time, sent: &Sent) {
        let usual = self.mean_errors_beside(sent.class);
        let health = &mut self.health[sent.class];
        if health.erred.replace(sent.function) != Some(sent.function) || health.bad > 0 {
            health.errors += PACE_GAIN * (1.0 - health.errors);
        }
        if health.errors > ERRORS_MOST.max(usual * ERRORS_WORSE) && now >= health.shut_until {
            health.shut(now);
        }
    }
}

impl FrontEnd {
    /// Leaves a zone alone from which nothing came since sends went there that are overdue now, several of
    /// them; what is out there is sent elsewhere as with a silent worker, and one send at a time finds the
    /// way back. In a large tier no worker gets enough sends to be told silent by itself before the outage
    /// is over. Harm: a zone in which just the few workers that this front end met are silent is left too.
    pub(crate) fn hear_zones(&mut self, recalled: &mut Vec<(RequestId, u32)>) {
        let now = self.now;
        let all = self.nodes.zones();
        self.zones.retain(|zone, z| {
            all > 1 && self.nodes.heard(zone).is_some_and(|last| last <= z.since)
        });
        for zone in self.nodes.busy_zones() {
            let shut = self.zones.get(zone);
            // Where all say nothing it is not the zone, and all that there is cannot be left alone.
            if self.zones.len() - usize::from(shut.is_some()) + 1 >= all {
                continue;
            }
            let out = || self.nodes.busy_in(zone).flat_map(|n| &n.out);
            // What was out when it was shut is no news of it since.
            let since = self
                .nodes
                .heard(zone)
                .max(shut.map(|z| z.since))
                .unwrap_or(0);
            let overdue = out().filter(|s| s.at > since && s.overdue(now)).count();
            let needed = if shut.is_some() { 1 } else { SILENT_SENDS };
            if overdue >= needed && shut.is_none_or(|z| now >= z.shut_until) {
                recalled.extend(
                    out()
                        .filter(|s| !s.withdrawn)
                        .map(|s| (s.request, s.attempt)),
                );
                self.zones.entry(zone.to_string()).or_default().shut(now);
            }
        }
    }

    /// The zones that are left alone; once that time is over one send at a time tries one. The try may end in
    /// any way, then the next one may go.
    pub(crate) fn closed_zones(&self) -> BTreeSet<&str> {
        let out = |zone| {
            self.nodes
                .busy_in(zone)
                .flat_map(|n| &n.out)
                .filter(|s| !s.withdrawn)
        };
        let tried = |zone, shut: &Health| out(zone).any(|s| s.at >= shut.shut_until);
        let closed = self
            .zones
            .iter()
            .filter(|(zone, z)| self.now < z.shut_until || tried(zone.as_str(), z));
        closed.map(|(zone, _)| zone.as_str()).collect()
    }
}
