//! The order in which the workers are considered for a function.
//!
//! Rendezvous hashing (Thaler and Ravishankar, 1998): the same order at every front end without a
//! message, so that their requests for a function meet at the same few workers. The path along
//! which the paper offloads became this order (`docs/design.md`, "What was changed, and why" and "A
//! decision in a large tier").

use super::FrontEnd;
use crate::api::{FunctionId, WorkerId};
use crate::hashing::{draw, mix};

/// A function's order has at most this many workers, so that a request costs no more among more
/// workers.
const MAX_ORDER: usize = 512;
/// At a worker that reports more requests than the average, this power of the average over its own
/// is the share of front ends that still begin there.
const AVOIDANCE_EXPONENT: i32 = 4;
/// The others begin at one of this many workers at the head of the order.
const AVOIDANCE_CANDIDATES: usize = 4;

/// Needs the settings, the workers and the estimates; it changes nothing.
impl FrontEnd {
    /// The workers that may be sent work, in the function's order.
    ///
    /// Of very many workers these are the ones that come next to the function on a ring of hashes.
    /// In a large deployment each front end draws where it begins.
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

    /// Moves one of the several preferred workers of a function to the front, drawn once for all, so
    /// that none is full while the next ones idle, and each front end has few workers to meet.
    fn begin_at_preferred_worker(&self, function: FunctionId, order: &mut [&WorkerId]) {
        let preferred = self.estimates.preferred_workers(function);
        if preferred <= 1.0 {
            return;
        }
        let draw = draw(self.seed ^ mix(function.0));
        // A worker in the own zone is preferred: requests between zones cost time and money.
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

    /// Functions in demand may share a preferred worker by chance, and it stays full while others
    /// idle: each front end that has a report of it draws, once for all, whether it still begins
    /// there.
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
