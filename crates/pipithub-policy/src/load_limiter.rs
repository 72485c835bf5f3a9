//! The limits on loads: how many may be in progress, the rate limit on load commands, and the pause
//! after failed loads.
//!
//! All functions are loaded from one store. Where loads fail, each further one, a retry of the same
//! request above all, keeps the store overloaded, so that no load may begin for a while, longer each
//! time. This holds for a store that rejects requests, is down or has lost a function; one failure
//! alone means nothing. The price: a function that is rarely requested is rejected meanwhile, though
//! its load might have succeeded.

use crate::api::{Settings, Time};
use crate::ejection::Ejection;
use crate::statistics::EventTimes;

/// Loads that may be in progress for each worker: with one, the functions of a lost zone came back
/// too slowly.
const MAX_LOADS_PER_WORKER: usize = 4;
/// Loads that this front end may have in progress, however few workers there are.
const MIN_LOAD_LIMIT: usize = 2;
/// Consecutive failed loads after which no load may begin for a while.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;

/// What limits the loads that this front end begins.
#[derive(Debug, Default)]
pub(crate) struct LoadLimiter {
    /// The pause after failed loads.
    store: Ejection,
    /// Loads that failed since the last one that succeeded.
    consecutive_failures: u32,
    /// Load commands within the rate limit's window.
    commands: EventTimes,
}

impl LoadLimiter {
    /// Whether loads may begin as far as the store is concerned.
    pub(crate) fn store_is_available(&self, now: Time) -> bool {
        self.store.is_over(now)
    }

    /// Whether a further load may begin beside those in progress: some for each of this front end's
    /// part of the ready workers, and fewer the slower the store is.
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

    /// Whether the rate limit allows a further load command. Two ticks of slack allow for clocks that
    /// differ.
    pub(crate) fn rate_allows(
        &self,
        settings: &Settings,
        arrivals: &EventTimes,
        now: Time,
    ) -> bool {
        let Some(limit) = &settings.loading.rate_limit else {
            return true;
        };
        let slack = 2 * settings.tick;
        let commands = self
            .commands
            .since(now.saturating_sub(limit.window + slack));
        let arrivals = arrivals.since((now + slack + 1).saturating_sub(limit.window));
        let is_exceeded = commands as f64 + 1.0 > limit.burst + limit.per_request * arrivals as f64;
        !is_exceeded
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
