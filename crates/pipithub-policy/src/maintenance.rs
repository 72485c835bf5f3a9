//! Periodic maintenance.

use crate::api::{Action, Idempotency, Time};
use crate::front_end::{FrontEnd, MILLISECOND};
use crate::outlier::MIN_OVERDUE_ATTEMPTS;
use crate::slow_start::RATE_WINDOW;
use crate::state::Attempt;

/// Housekeeping period: short beside any aim, long beside a tick.
pub(crate) const MAINTENANCE_PERIOD: Time = 50 * MILLISECOND;
/// Token of the housekeeping timer; request ids stay far below.
pub(crate) const MAINTENANCE_TOKEN: u64 = 1 << 62;

impl FrontEnd {
    pub(crate) fn run_maintenance(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        actions.push(Action::SetTimer {
            after: MAINTENANCE_PERIOD,
            token: MAINTENANCE_TOKEN,
        });
        // No outcome is a symptom too, counted a class: a fault behind the workers may swallow the calls of
        // one though others are answered; slow loads may look alike.
        let mut recalled = Vec::new();
        self.workers.change_active(|node| {
            let keep =
                RATE_WINDOW.max(self.settings.slow_start.overload_window) + MAINTENANCE_PERIOD;
            node.in_flight
                .retain(|s| !s.cancelled || s.predicted_finish > now);
            node.recent_answers.retain(|(t, _)| t + keep >= now);
            for class in 0..node.health.len() {
                let overdue = |s: &&Attempt| s.class == class && s.is_overdue(now);
                let count = node.in_flight.iter().filter(overdue).count();
                let since = node
                    .in_flight
                    .iter()
                    .filter(overdue)
                    .map(|s| s.sent_at)
                    .min()
                    .unwrap_or(now);
                let answers = node
                    .recent_answers
                    .iter()
                    .filter(|(t, c)| *c == class && *t > since)
                    .count();
                let health = &mut node.health[class];
                let needed = if health.consecutive_errors > 0 {
                    1
                } else {
                    MIN_OVERDUE_ATTEMPTS
                };
                if now >= health.ejected_until && count >= needed && count > answers {
                    health.eject(now);
                    let out = node
                        .in_flight
                        .iter()
                        .filter(|s| s.class == class && !s.cancelled);
                    recalled.extend(out.map(|s| (s.request, s.attempt)));
                }
            }
        });
        if self.relies_on_load_reports() {
            self.detect_silent_zones(&mut recalled);
        }
        for (id, attempt) in recalled {
            let Some(open) = self.pending.get(&id) else {
                continue;
            };
            let (limits, effect) = (
                &self.settings.limits,
                self.settings.classes[open.request.class].idempotency,
            );
            if limits.cancel
                && effect != Idempotency::NonIdempotent
                && open.attempts < limits.max_attempts
            {
                actions.push(Action::Cancel {
                    request: id,
                    attempt,
                });
            }
        }
        self.workers.forget_removed();
        self.update_warm_rate();
        let window = self
            .settings
            .loading
            .rate_limit
            .as_ref()
            .map_or(0, |r| r.window)
            .max(RATE_WINDOW)
            + MAINTENANCE_PERIOD;
        self.load_commands.forget_before(now.saturating_sub(window));
        self.arrivals.forget_before(now.saturating_sub(window));
        if now >= self.next_rebalancing_at {
            self.next_rebalancing_at = now + self.rebalancing_interval();
            self.rebalance_replicas(actions);
        }
    }
}
