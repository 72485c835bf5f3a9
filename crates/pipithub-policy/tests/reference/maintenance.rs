//! Periodic maintenance: detection of silent workers and zones, expiry of counted events, and
//! rounds of rebalancing.

use pipithub_policy::api::{Action, Time};

use super::front_end::FrontEnd;
use super::function_loading::MAX_SEND_DELAY;
use super::slow_start::RATE_WINDOW;
use super::state::WorkerState;
use super::time::MILLISECOND;

/// The time between two rounds: short compared to any latency objective, long compared to a tick.
pub(crate) const MAINTENANCE_PERIOD: Time = 50 * MILLISECOND;
/// Token of the maintenance timer; request ids are below it.
pub(crate) const MAINTENANCE_TOKEN: u64 = 1 << 62;

impl FrontEnd {
    /// Runs one round of maintenance and sets the timer of the next one.
    pub(crate) fn run_maintenance(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            after: MAINTENANCE_PERIOD,
            token: MAINTENANCE_TOKEN,
        });
        self.recall_from_silent(actions);
        self.forget_removed_workers();
        self.update_warm_rate();
        self.forget_expired_events();
        if self.now >= self.next_rebalancing_at {
            self.next_rebalancing_at = self.now + self.rebalancing_interval();
            self.rebalance_replicas(actions);
        }
    }

    /// Ejects silent workers and zones, and cancels the attempts that wait for them: a missing
    /// answer is a sign of a fault too.
    fn recall_from_silent(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let kept = RATE_WINDOW.max(self.settings.slow_start.overload_window) + MAINTENANCE_PERIOD;
        let mut recalled = Vec::new();
        for worker in self.workers.values_mut() {
            worker.forget_expired(now, kept);
            worker.eject_if_silent(now, &mut recalled);
        }
        if self.relies_on_load_reports() {
            self.detect_silent_zones(&mut recalled);
        }
        self.cancel_recalled(&recalled, actions);
    }

    /// Forgets arrivals and load commands that are too old to be counted.
    fn forget_expired_events(&mut self) {
        let now = self.now;
        let limit_window = match &self.settings.loading.rate_limit {
            Some(limit) => limit.window,
            None => 0,
        };
        let kept = limit_window.max(RATE_WINDOW) + MAX_SEND_DELAY + MAINTENANCE_PERIOD;
        self.load_commands.retain(|at| at + kept >= now);
        self.arrivals.retain(|at| at + kept >= now);
    }
}

impl WorkerState {
    /// Forgets cancelled attempts whose predicted finish has passed, and sent attempts and answers
    /// that are too old to be counted.
    fn forget_expired(&mut self, now: Time, kept: Time) {
        self.recent_sends.retain(|sent_at| sent_at + kept >= now);
        self.in_flight
            .retain(|attempt| !attempt.cancelled || attempt.predicted_finish > now);
        self.recent_answers.retain(|answer| answer.at + kept >= now);
    }
}
