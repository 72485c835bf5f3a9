//! Periodic maintenance.

use crate::api::{Action, Idempotency, Time};
use crate::front_end::{FrontEnd, MS};
use crate::outlier::SILENT_SENDS;
use crate::slow_start::RATE_SPAN;
use crate::state::Sent;

/// Housekeeping period: short beside any aim, long beside a tick.
pub(crate) const CHORES: Time = 50 * MS;
/// Token of the housekeeping timer; request ids stay far below.
pub(crate) const CHORES_TOKEN: u64 = 1 << 62;

impl FrontEnd {
    pub(crate) fn chores(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        actions.push(Action::SetTimer {
            after: CHORES,
            token: CHORES_TOKEN,
        });
        // No outcome is a symptom too, counted a class: a fault behind the workers may swallow the calls of
        // one though others are answered; slow loads may look alike.
        let mut recalled = Vec::new();
        self.nodes.change_recent(|node| {
            let keep = RATE_SPAN.max(self.s.slow_start.overload_window) + CHORES;
            node.out.retain(|s| !s.withdrawn || s.due > now);
            node.served.retain(|(t, _)| t + keep >= now);
            for class in 0..node.health.len() {
                let overdue = |s: &&Sent| s.class == class && s.overdue(now);
                let count = node.out.iter().filter(overdue).count();
                let since = node
                    .out
                    .iter()
                    .filter(overdue)
                    .map(|s| s.at)
                    .min()
                    .unwrap_or(now);
                let answers = node
                    .served
                    .iter()
                    .filter(|(t, c)| *c == class && *t > since)
                    .count();
                let health = &mut node.health[class];
                let needed = if health.bad > 0 { 1 } else { SILENT_SENDS };
                if now >= health.shut_until && count >= needed && count > answers {
                    health.shut(now);
                    let out = node.out.iter().filter(|s| s.class == class && !s.withdrawn);
                    recalled.extend(out.map(|s| (s.request, s.attempt)));
                }
            }
        });
        if self.blind() {
            self.hear_zones(&mut recalled);
        }
        for (id, attempt) in recalled {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let (limits, effect) = (&self.s.limits, self.s.classes[open.call.class].idempotency);
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
        self.nodes.forget_gone();
        self.learn_warm_rate();
        let window = self
            .s
            .loading
            .rate_limit
            .as_ref()
            .map_or(0, |r| r.window)
            .max(RATE_SPAN)
            + CHORES;
        self.orders.forget_before(now.saturating_sub(window));
        self.arrivals.forget_before(now.saturating_sub(window));
        if now >= self.next_round {
            self.next_round = now + self.interval();
            self.replace(actions);
        }
    }
}
