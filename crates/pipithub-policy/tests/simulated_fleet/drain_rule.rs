//! Judges the rule on drains by the platform's clocks: a worker that leaves service while discovery is out of reach must
//! get no new work once the front end counts as notified of it and the drain grace is over.

use std::collections::BTreeMap;

use pipithub_policy::api::Time;

use super::scenario::MS;

/// A change counts as notified at the latest this long after the connection to discovery broke.
pub(super) const BREAK_NOTIFICATION_DELAY: Time = 2_000 * MS;
/// A change counts as notified at the latest this long after discovery fell silent on an open connection.
pub(super) const SILENCE_NOTIFICATION_DELAY: Time = 4_000 * MS;
/// What the platform allows for the transmission to a worker.
const TRANSMISSION_ALLOWANCE: Time = 50 * MS;
/// The drain grace if the settings state none.
const DEFAULT_DRAIN_GRACE: Time = 1_000 * MS;

/// When the front end counts as notified of the workers that have left service during outages of discovery.
#[derive(Default)]
pub(super) struct DrainRule {
    notified_at: BTreeMap<usize, Time>,
}

impl DrainRule {
    /// Records a worker that has left service; the change counts as notified at `notified_at` if the front end does not
    /// request the list before.
    pub(super) fn record_out_of_service(&mut self, worker: usize, notified_at: Time) {
        self.notified_at.entry(worker).or_insert(notified_at);
    }

    /// Records a worker that is in service.
    pub(super) fn record_in_service(&mut self, worker: usize) {
        self.notified_at.remove(&worker);
    }

    /// Records that the front end requests the list, or receives it: all changes so far count as notified.
    pub(super) fn record_request(&mut self, now: Time) {
        for notified_at in self.notified_at.values_mut() {
            *notified_at = now.min(*notified_at);
        }
    }

    /// Checks that a worker may get new work now.
    ///
    /// # Panics
    /// If the rule is broken.
    pub(super) fn check_new_work(&self, worker: usize, drain_grace: Option<Time>, now: Time) {
        let Some(notified_at) = self.notified_at.get(&worker) else {
            return;
        };
        let grace = drain_grace.unwrap_or(DEFAULT_DRAIN_GRACE);
        assert!(
            now <= notified_at + grace + TRANSMISSION_ALLOWANCE,
            "worker {worker} gets new work at {now}, but is out of service, which counts as notified at {notified_at}"
        );
    }
}
