//! Logs outages of discovery: since when the endpoint list is out of reach, how old it is, which workers fail their
//! health checks in the meantime, and how many events were missed.

use std::collections::BTreeMap;

use pipithub_engine::policy::{HealthCheckOutcome, HealthChecked, WorkerId};
use pipithub_engine::{Stats, Time};
use tracing::{info, warn};

use super::NANOSECONDS_PER_MILLISECOND;

const NANOSECONDS_PER_MICROSECOND: Time = 1_000;
/// The list is logged as out of reach once nothing has confirmed it for this long, in nanoseconds: two comments of the
/// coordinator are overdue then.
const OUTAGE_THRESHOLD: Time = 2_000_000_000;
/// How often the log repeats that the list is out of reach, with the counters at that time, in nanoseconds.
const REPORT_INTERVAL: Time = 5_000_000_000;

/// An outage of discovery, from the last confirmation of the list to the next one.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When the list was last confirmed, or, if it never was, when the front end began to follow the coordinator.
    since: Time,
    last_report: Time,
    /// The index of the last event that was applied before the outage was logged.
    last_event: u64,
}

/// Logs when the endpoint list gets out of reach and when it is in reach again.
#[derive(Debug)]
pub(super) struct DiscoveryLog {
    /// When the list was last known to be current; `None` as long as no coordinator is followed.
    current_at: Option<Time>,
    /// The index of the last event that was applied.
    last_event: u64,
    /// `None` while the list is in reach.
    outage: Option<Outage>,
    /// The workers whose last health check failed, each with the outcome; only changes are logged.
    failing: BTreeMap<WorkerId, HealthCheckOutcome>,
}

impl DiscoveryLog {
    /// Creates the log of a front end that knows the events up to `last_event` and follows no coordinator yet.
    pub(super) fn new(last_event: u64) -> Self {
        DiscoveryLog {
            current_at: None,
            last_event,
            outage: None,
            failing: BTreeMap::new(),
        }
    }

    /// Records that the front end begins to follow the coordinator.
    pub(super) fn record_follow_start(&mut self, now: Time) {
        self.current_at = Some(now);
    }

    /// Records an event that was applied.
    pub(super) fn record_event(&mut self, index: u64) {
        self.last_event = self.last_event.max(index);
    }

    /// Records that the list was confirmed to be current; logs the end of an outage.
    pub(super) fn record_current(&mut self, now: Time, front_end: &str) {
        self.current_at = Some(now);
        self.failing.clear();
        if let Some(outage) = self.outage.take() {
            info!(
                front_end,
                out_of_reach_ms = milliseconds(now.saturating_sub(outage.since)),
                last_event = self.last_event,
                missed_events = self.last_event.saturating_sub(outage.last_event),
                "endpoint list in reach again"
            );
        }
    }

    /// Records the outcome of a health check; logs when a worker begins to fail its checks, fails them in another way,
    /// or passes them again.
    pub(super) fn record_check(&mut self, checked: &HealthChecked, front_end: &str) {
        let HealthChecked {
            worker, outcome, ..
        } = checked;
        let took_us = checked.elapsed / NANOSECONDS_PER_MICROSECOND;
        if *outcome == HealthCheckOutcome::Healthy {
            if self.failing.remove(worker).is_some() {
                info!(
                    front_end,
                    worker = &*worker.0,
                    took_us,
                    "worker passes its health checks again"
                );
            }
        } else if self.failing.insert(worker.clone(), *outcome) != Some(*outcome) {
            info!(
                front_end,
                worker = &*worker.0,
                ?outcome,
                took_us,
                "worker fails its health checks while the endpoint list is out of reach"
            );
        }
    }

    /// The age of the list, in nanoseconds: the time since it was last known to be current; `None` as long as no
    /// coordinator is followed.
    pub(super) fn age(&self, now: Time) -> Option<Time> {
        Some(now.saturating_sub(self.current_at?))
    }

    /// Logs the start of an outage, and again after each [`REPORT_INTERVAL`] until the outage ends.
    pub(super) fn report(&mut self, now: Time, front_end: &str, stats: &Stats) {
        let Some(current_at) = self.current_at else {
            return;
        };
        if now < current_at + OUTAGE_THRESHOLD {
            return;
        }
        let message = match self.outage {
            None => "endpoint list out of reach",
            Some(outage) if now >= outage.last_report + REPORT_INTERVAL => {
                "endpoint list still out of reach"
            }
            Some(_) => return,
        };
        let new_outage = Outage {
            since: current_at,
            last_report: now,
            last_event: self.last_event,
        };
        self.outage.get_or_insert(new_outage).last_report = now;
        let age_ms = milliseconds(now.saturating_sub(current_at));
        warn!(
            front_end,
            age_ms,
            last_event = self.last_event,
            ?stats,
            "{message}"
        );
    }
}

fn milliseconds(time: Time) -> u64 {
    time / NANOSECONDS_PER_MILLISECOND
}
