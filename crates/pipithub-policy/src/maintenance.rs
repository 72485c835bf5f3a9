//! Periodic maintenance: detection of silence, counts that expire, and the rounds of rebalancing.

use crate::api::{Action, Time};
use crate::front_end::FrontEnd;
use crate::slow_start::RATE_WINDOW;
use crate::state::WorkerState;
use crate::time::MILLISECOND;
use crate::timer::TimerToken;

/// The period: short beside any latency objective, long beside a tick.
pub(crate) const MAINTENANCE_PERIOD: Time = 50 * MILLISECOND;
impl FrontEnd {
    /// Runs one round of maintenance and asks for the next.
    pub(crate) fn run_maintenance(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            after: MAINTENANCE_PERIOD,
            token: TimerToken::Maintenance.into(),
        });
        self.recall_from_silent(actions);
        self.workers.forget_removed();
        self.update_warm_rate();
        self.forget_expired_events();
        if self.rebalancer.begin_round_if_due(self.now) {
            self.rebalance_replicas(actions);
        }
    }

    /// Ejects silent workers and zones, and cancels what waits for them.
    fn recall_from_silent(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let answers_kept =
            RATE_WINDOW.max(self.settings.slow_start.overload_window) + MAINTENANCE_PERIOD;
        let mut recalled = Vec::new();
        self.workers.change_active(|worker| {
            worker.forget_expired(now, answers_kept);
            worker.eject_if_silent(now, &mut recalled);
        });
        if self.relies_on_load_reports() {
            self.detect_silent_zones(&mut recalled);
        }
        self.cancel_recalled(&recalled, actions);
    }

    /// Forgets arrivals and load commands that no count asks for any more.
    fn forget_expired_events(&mut self) {
        let rate_limit = self.settings.loading.rate_limit.as_ref();
        let limit_window = rate_limit.map_or(0, |limit| limit.window);
        let kept = limit_window.max(RATE_WINDOW) + MAINTENANCE_PERIOD;
        let first = self.now.saturating_sub(kept);
        self.load_limiter.forget_before(first);
        self.arrivals.forget_before(first);
    }
}

impl WorkerState {
    /// Forgets cancelled attempts that are over by their prediction, and answers that are not
    /// counted any more.
    fn forget_expired(&mut self, now: Time, answers_kept: Time) {
        self.in_flight
            .retain(|attempt| !attempt.cancelled || attempt.predicted_finish > now);
        self.recent_answers
            .retain(|answer| answer.at + answers_kept >= now);
    }
}
