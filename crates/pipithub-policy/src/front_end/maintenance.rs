//! Periodic maintenance: detects silent workers and zones, removes expired entries, and starts the
//! rounds of rebalancing.

use super::FrontEnd;
use crate::api::{Action, Idempotency, Time};
use crate::load_limiter::MAX_SEND_DELAY;
use crate::outlier::StalledAttempt;
use crate::slow_start::RATE_WINDOW;
use crate::time::MILLISECOND;
use crate::timer::TimerToken;

/// The time between two rounds of maintenance: short compared with any latency objective, long
/// compared with a tick.
pub(super) const MAINTENANCE_PERIOD: Time = 50 * MILLISECOND;

/// Uses all parts of the state: each holds entries that expire, or runs periodically.
impl FrontEnd {
    /// Runs one round of maintenance and sets the timer for the next.
    pub(super) fn run_maintenance(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            after: MAINTENANCE_PERIOD,
            token: TimerToken::Maintenance.into(),
        });
        self.eject_silent(actions);
        self.workers.forget_removed();
        self.slow_start
            .update_warm_rate(&mut self.workers, &self.arrivals, self.now);
        self.forget_expired_events();
        if self.rebalancer.begin_round_if_due(self.now) {
            self.rebalance_replicas(actions);
        }
    }

    /// Ejects silent workers and zones, and cancels the attempts that wait there.
    fn eject_silent(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let answers_kept =
            RATE_WINDOW.max(self.settings.slow_start.overload_window) + MAINTENANCE_PERIOD;
        let mut stalled = Vec::new();
        self.workers.change_active(|worker| {
            worker.attempts.forget_cancelled(now);
            worker.responses.forget_older(answers_kept, now);
            worker.eject_if_silent(now, &mut stalled);
        });
        if self.settings.relies_on_load_reports() {
            self.zones
                .detect_silent_zones(&self.workers, now, &mut stalled);
        }
        self.cancel_stalled(&stalled, actions);
    }

    /// Cancels attempts at silent workers and zones, if their requests may be retried elsewhere.
    fn cancel_stalled(&self, stalled: &[StalledAttempt], actions: &mut Vec<Action>) {
        let limits = &self.settings.limits;
        for StalledAttempt { request, attempt } in stalled {
            let Some(pending) = self.pending.get(request) else {
                continue;
            };
            let class = &self.settings.classes[pending.request.class];
            if limits.cancel
                && class.idempotency != Idempotency::NonIdempotent
                && pending.attempts.count() < limits.max_attempts
            {
                actions.push(Action::Cancel {
                    request: *request,
                    attempt: *attempt,
                });
            }
        }
    }

    /// Forgets arrivals and load commands that are older than every window in which they are counted.
    fn forget_expired_events(&mut self) {
        let rate_limit = self.settings.loading.rate_limit.as_ref();
        let limit_window = rate_limit.map_or(0, |limit| limit.window);
        let kept = limit_window.max(RATE_WINDOW) + MAX_SEND_DELAY + MAINTENANCE_PERIOD;
        let first = self.now.saturating_sub(kept);
        self.load_limiter.forget_before(first);
        self.arrivals.forget_before(first);
    }
}
