//! The order in which the workers are considered for a function.
//!
//! Rendezvous hashing: every front end has the same order without a message, so that the requests
//! for a function meet at the same few workers. In a large deployment a function needs several
//! preferred workers, and each front end draws the one at which it begins.

use pipithub_policy::api::{FunctionId, WorkerId};

use super::front_end::FrontEnd;
use super::hashing::{draw, mix};
use super::state::WorkerState;

/// At a worker that reports more requests than the average, this power of the average over its own
/// is the share of front ends that still begin there.
const AVOIDANCE_EXPONENT: i32 = 4;
/// The number of workers at the head of the order among which the others choose the first.
const AVOIDANCE_CANDIDATES: usize = 4;

impl FrontEnd {
    /// The workers that may be sent work, in the function's order.
    pub(crate) fn preference_order(&self, function: FunctionId) -> Vec<WorkerId> {
        let mut ranked: Vec<(u64, &WorkerId)> = self
            .ready_workers()
            .map(|(id, worker)| (mix(worker.hash ^ mix(function.0)), id))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut order: Vec<WorkerId> = ranked.into_iter().map(|(_, id)| id.clone()).collect();
        if self.relies_on_load_reports() && !order.is_empty() {
            self.begin_at_preferred_worker(function, &mut order);
            self.avoid_loaded_workers(function, &mut order);
        }
        order
    }

    /// Moves one of the function's several preferred workers to the head, drawn once for all by
    /// each front end, so that none is full while the next ones idle and each front end has few
    /// workers to meet.
    fn begin_at_preferred_worker(&self, function: FunctionId, order: &mut [WorkerId]) {
        let preferred = self
            .functions
            .get(&function)
            .map_or(0.0, |function| function.preferred_workers);
        if preferred <= 1.0 {
            return;
        }
        let draw = draw(self.seed ^ mix(function.0));
        // One in this front end's zone where possible: traffic between zones costs time.
        let in_own_zone =
            |position: &usize| self.workers[&order[*position]].endpoint.zone == self.settings.zone;
        let own_zone: Vec<usize> = (0..(preferred as usize).min(order.len()))
            .filter(in_own_zone)
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
    fn avoid_loaded_workers(&self, function: FunctionId, order: &mut [WorkerId]) {
        let mean = self.mean_usual_in_flight();
        let may_be_first = |id: &WorkerId| {
            let worker = &self.workers[id];
            let share = (mean / self.usual_in_flight(worker)).powi(AVOIDANCE_EXPONENT);
            worker.load_report.received_at == 0
                || draw(self.seed ^ mix(function.0) ^ worker.hash) <= share
        };
        let first = order
            .iter()
            .take(AVOIDANCE_CANDIDATES)
            .position(may_be_first)
            .unwrap_or(0);
        order[..=first].rotate_right(1);
    }

    /// The mean over the ready workers that have reported their load.
    fn mean_usual_in_flight(&self) -> f64 {
        let reporting: Vec<&WorkerState> = self
            .ready_workers()
            .map(|(_, worker)| worker)
            .filter(|worker| worker.load_report.received_at > 0)
            .collect();
        let sum: f64 = reporting
            .iter()
            .map(|worker| self.usual_in_flight(worker))
            .sum();
        sum / reporting.len().max(1) as f64
    }
}
