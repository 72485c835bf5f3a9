//! The order in which the workers are considered for a function.
//!
//! Rendezvous hashing: every front end computes the same order without communication, so that the
//! requests for a function meet at the same few workers. In a large deployment a function needs
//! several preferred workers, and each front end draws the one at which it begins.

use pipithub_policy::api::{FunctionId, WorkerId};

use super::front_end::FrontEnd;
use super::hashing::{draw, mix};
use super::state::WorkerState;

/// The share of front ends that still begin at a worker which reports more requests in flight than
/// the average: the ratio of the average to the worker's own number, raised to this power.
const AVOIDANCE_EXPONENT: i32 = 4;
/// The number of workers at the head of the order among which a front end chooses the first.
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

    /// Moves one of the function's preferred workers to the head of the order. The draw depends on
    /// the front end's seed and the function alone. So none of these workers is full while the next
    /// ones are idle, and each front end uses few workers for the function.
    fn begin_at_preferred_worker(&self, function: FunctionId, order: &mut [WorkerId]) {
        let preferred = self
            .functions
            .get(&function)
            .map_or(0.0, |function| function.preferred_workers);
        if preferred <= 1.0 {
            return;
        }
        let draw = draw(self.seed ^ mix(function.0));
        // If possible one in this front end's zone, as traffic between zones takes longer.
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

    /// Moves the first worker that is not avoided to the head of the order. Popular functions may
    /// share a preferred worker by chance, which then stays full while others are idle. So each
    /// front end that has a load report of a worker draws whether it still begins there; the draw
    /// depends on its seed, the function and the worker alone.
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

    /// The mean number of requests usually in flight, over the ready workers that have reported
    /// their load; 0 if there are none.
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
