//! Ejection of zones: a zone that no longer responds gets no attempts for a while.
//!
//! As with a worker, the ejection time doubles with each ejection, and after it the zone is probed with
//! one attempt at a time.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Outcome, Time};
use crate::attempt::Attempt;
use crate::ejection::Ejection;
use crate::outlier::{MIN_OVERDUE_ATTEMPTS, StalledAttempt};
use crate::worker_table::WorkerTable;

/// The zones that do not respond.
#[derive(Debug, Default)]
pub(crate) struct ZoneEjection {
    silent: BTreeMap<String, Ejection>,
}

impl ZoneEjection {
    /// Ejects the zones that no longer respond, and adds the attempts that wait there to `stalled`.
    pub(crate) fn detect_silent_zones(
        &mut self,
        workers: &WorkerTable,
        now: Time,
        stalled: &mut Vec<StalledAttempt>,
    ) {
        self.readmit_zones(workers);
        let zone_count = workers.zone_count();
        for zone in workers.busy_zones() {
            let ejection = self.silent.get(zone);
            // If all zones are silent, the fault does not lie in one of them, and the last zone must
            // stay in use.
            if self.silent.len() - usize::from(ejection.is_some()) + 1 >= zone_count {
                continue;
            }
            if !is_silent(zone, ejection, workers, now) {
                continue;
            }
            let waiting = workers
                .busy_in(zone)
                .flat_map(|worker| worker.attempts.iter())
                .filter(|attempt| !attempt.cancelled);
            stalled.extend(waiting.map(Attempt::as_stalled));
            self.silent.entry(zone.to_string()).or_default().eject(now);
        }
    }

    /// Readmits the silent zones that have responded since their ejection, and all zones if there is
    /// only one.
    fn readmit_zones(&mut self, workers: &WorkerTable) {
        let has_others = workers.zone_count() > 1;
        self.silent.retain(|zone, ejection| {
            has_others
                && workers
                    .last_response_in(zone)
                    .is_some_and(|last| last <= ejection.since())
        });
    }

    /// Ejects a silent zone again if an attempt that probed it got no response either.
    pub(crate) fn record_probe(&mut self, zone: &str, outcome: Outcome, sent_at: Time, now: Time) {
        let Some(ejection) = self.silent.get_mut(zone) else {
            return;
        };
        let no_response = matches!(
            outcome,
            Outcome::Unreachable | Outcome::ConnectionLost | Outcome::TimedOut
        );
        if no_response && ejection.is_probe(sent_at) {
            ejection.eject(now);
        }
    }

    /// The zones that get no attempt now. Once its ejection time is over, a zone is probed by one
    /// attempt at a time: the next one may be sent when the previous one has ended, with any outcome.
    pub(crate) fn closed_zones(&self, workers: &WorkerTable, now: Time) -> BTreeSet<&str> {
        let is_probed = |zone: &str, ejection: &Ejection| {
            workers
                .busy_in(zone)
                .flat_map(|worker| worker.attempts.iter())
                .any(|attempt| !attempt.cancelled && ejection.is_probe(attempt.sent_at))
        };
        self.silent
            .iter()
            .filter(|(zone, ejection)| !ejection.is_over(now) || is_probed(zone, ejection))
            .map(|(zone, _)| zone.as_str())
            .collect()
    }
}

fn is_silent(zone: &str, ejection: Option<&Ejection>, workers: &WorkerTable, now: Time) -> bool {
    // Attempts that were in flight when the zone was ejected are no evidence of a further fault.
    let since = workers
        .last_response_in(zone)
        .max(ejection.map(Ejection::since))
        .unwrap_or(0);
    let overdue = workers
        .busy_in(zone)
        .flat_map(|worker| worker.attempts.iter())
        .filter(|attempt| attempt.sent_at > since && attempt.is_overdue(now))
        .count();
    let needed = if ejection.is_some() {
        1
    } else {
        MIN_OVERDUE_ATTEMPTS
    };
    overdue >= needed && ejection.is_none_or(|ejection| ejection.is_over(now))
}
