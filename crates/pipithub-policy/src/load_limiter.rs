//! The limits on loads: how many may be in progress, the rate limit on load commands, and the pause
//! after failed loads.
//!
//! All functions are loaded from one store. When loads fail, each further load, above all a retry of
//! the same request, keeps the store overloaded. Therefore no load may begin for a while, which is
//! longer each time. This applies to a store that rejects requests, is down or has lost a function;
//! a single failure has no effect. The drawback: requests for a function that is rarely requested
//! are rejected during that time, though its load might have succeeded.

use crate::api::{Settings, Time};
use crate::ejection::Ejection;
use crate::statistics::EventTimes;
use crate::time::MILLISECOND;

/// The number of loads that all front ends together may have in progress for each ready worker. With
/// one load, the functions of a lost zone were loaded again too slowly.
const MAX_LOADS_PER_WORKER: usize = 4;
/// The number of loads that this front end may have in progress however few workers there are.
const MIN_LOAD_LIMIT: usize = 2;
/// How long after its decision a load command may be sent if there is a rate limit: enough to
/// establish a connection.
pub(crate) const MAX_SEND_DELAY: Time = 50 * MILLISECOND;
/// Consecutive failed loads after which no load may begin for a while.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;

/// The limits on the loads that this front end begins.
#[derive(Debug, Default)]
pub(crate) struct LoadLimiter {
    /// The pause after failed loads.
    store: Ejection,
    /// The number of loads that failed since the last one that succeeded.
    consecutive_failures: u32,
    /// The times of the load commands within the rate limit's window.
    commands: EventTimes,
}

impl LoadLimiter {
    /// Whether loads may begin, because no pause after failed loads is in effect.
    pub(crate) fn store_is_available(&self, now: Time) -> bool {
        self.store.is_over(now)
    }

    /// Whether a further load may begin beside those in progress. The limit grows with this front
    /// end's share of the ready workers, and each load in progress counts the more, the slower loads
    /// are.
    pub(crate) fn may_begin(
        &self,
        loads_in_progress: usize,
        load_slowdown: f64,
        ready_workers: usize,
        front_ends: u32,
        now: Time,
    ) -> bool {
        let limit = (MAX_LOADS_PER_WORKER * ready_workers)
            .div_ceil(front_ends as usize)
            .max(MIN_LOAD_LIMIT);
        self.store_is_available(now)
            && loads_in_progress as f64 * load_slowdown.max(1.0) < limit as f64
    }

    /// Whether the rate limit allows a further load command, at whatever time within
    /// [`MAX_SEND_DELAY`] it is sent: the commands before it may have been sent late, and requests may
    /// leave the window before it is sent. Two ticks of slack allow for differences between clocks.
    pub(crate) fn rate_allows(
        &self,
        settings: &Settings,
        arrivals: &EventTimes,
        now: Time,
    ) -> bool {
        let Some(limit) = &settings.loading.rate_limit else {
            return true;
        };
        let slack = 2 * settings.tick + MAX_SEND_DELAY;
        let commands = self
            .commands
            .since(now.saturating_sub(limit.window + slack));
        let arrivals = arrivals.since((now + slack + 1).saturating_sub(limit.window));
        let is_exceeded = commands as f64 + 1.0 > limit.burst + limit.per_request * arrivals as f64;
        !is_exceeded
    }

    /// The time from which a load command that is decided now must not be sent any more; `None` if
    /// there is no rate limit.
    pub(crate) fn send_by(settings: &Settings, now: Time) -> Option<Time> {
        let is_limited = settings.loading.rate_limit.is_some();
        is_limited.then_some(now + MAX_SEND_DELAY)
    }

    /// Counts a load command.
    pub(crate) fn record_command(&mut self, now: Time) {
        self.commands.push(now);
    }

    /// Records that a load has succeeded or failed.
    pub(crate) fn record_outcome(&mut self, failed: bool, now: Time) {
        if failed {
            self.consecutive_failures += 1;
        } else {
            self.consecutive_failures = 0;
            self.store.record_success();
        }
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES && self.store_is_available(now) {
            self.store.eject(now);
        }
    }

    /// Forgets the load commands before this time.
    pub(crate) fn forget_before(&mut self, time: Time) {
        self.commands.forget_before(time);
    }
}
