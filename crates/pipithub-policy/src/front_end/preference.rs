//! The order in which the workers are considered for a function.
//!
//! Rendezvous hashing (Thaler and Ravishankar, 1998) gives the same order at every front end without
//! any message, so that their requests for a function go to the same few workers. This order replaces
//! the path along which the paper offloads requests (`docs/design.md`, "What was changed, and why"
//! and "A decision in a large tier").

use super::FrontEnd;
use crate::api::{FunctionId, WorkerId};
use crate::hashing::{draw, mix};

/// The largest number of workers in a function's order, so that the cost of a request is bounded
/// however many workers there are.
const MAX_ORDER: usize = 512;
/// The share of front ends that still begin at a worker which reports more requests than the mean of
/// all workers is this power of the ratio of the mean to the worker's own number.
const AVOIDANCE_EXPONENT: i32 = 4;
/// The other front ends begin at one of this many workers at the head of the order.
const AVOIDANCE_CANDIDATES: usize = 4;

/// Uses the settings, the workers and the estimates, and changes nothing.
impl FrontEnd {
    /// The workers that may be sent work, in the function's order.
    ///
    /// If there are more than [`MAX_ORDER`], these are the workers that follow the function on a ring
    /// of hashes. In a large deployment each front end may begin at another worker, by random draws.
    pub(super) fn preference_order(&self, function: FunctionId) -> Vec<&WorkerId> {
        let function_hash = mix(function.0);
        let mut ranked: Vec<(u64, &WorkerId)> = self
            .workers
            .ring_from(mix(function_hash), MAX_ORDER)
            .map(|(hash, worker)| (mix(hash ^ function_hash), worker))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut order: Vec<&WorkerId> = ranked.into_iter().map(|(_, worker)| worker).collect();
        if self.settings.relies_on_load_reports() && !order.is_empty() {
            self.begin_at_preferred_worker(function, &mut order);
            self.avoid_loaded_workers(function, &mut order);
        }
        order
    }

    /// If a function has several preferred workers, moves one of them to the front, so that none is
    /// full while the next ones are idle. The draw depends only on the seed and the function, so that
    /// each front end sends the function to few workers.
    fn begin_at_preferred_worker(&self, function: FunctionId, order: &mut [&WorkerId]) {
        let preferred = self.estimates.preferred_workers(function);
        if preferred <= 1.0 {
            return;
        }
        let draw = draw(self.seed ^ mix(function.0));
        // A worker in the front end's own zone is preferred, as requests between zones cost time and
        // money.
        let own_zone: Vec<usize> = (0..(preferred as usize).min(order.len()))
            .filter(|&position| self.workers[order[position]].endpoint().zone == self.settings.zone)
            .collect();
        let any = ((draw * preferred) as usize).min(order.len() - 1);
        let first = own_zone
            .get((draw * own_zone.len() as f64) as usize)
            .copied()
            .unwrap_or(any);
        order[..=first].rotate_right(1);
    }

    /// May move one of the next workers to the front, if the first one reports more requests than the
    /// mean.
    ///
    /// Several functions with many requests may by chance have the same preferred worker, which then
    /// stays full while others are idle. Each front end with a report of that worker draws whether it
    /// still begins there; the draw gives the same result as long as the share does not change.
    fn avoid_loaded_workers(&self, function: FunctionId, order: &mut [&WorkerId]) {
        let mean = self.workers.mean_reported_in_flight(self.now);
        let begins_here = |worker: &&WorkerId| {
            let worker = &self.workers[worker];
            let usual = worker.load_report.usual_in_flight(self.now);
            let share = (mean / usual).powi(AVOIDANCE_EXPONENT);
            worker.load_report.received_at == 0
                || draw(self.seed ^ mix(function.0) ^ worker.hash()) <= share
        };
        let first = order
            .iter()
            .take(AVOIDANCE_CANDIDATES)
            .position(begins_here)
            .unwrap_or(0);
        order[..=first].rotate_right(1);
    }
}
