//! The order in which the workers are considered for a function.

use crate::api::{FunctionId, WorkerId};
use crate::front_end::FrontEnd;
use crate::hashing::{draw, mix};
use crate::load_reports::IN_FLIGHT_HALF_LIFE;
use crate::state::WorkerState;

/// A function's order goes through so many workers at the most: a call costs no more in a larger tier.
const MAX_ORDER: usize = 512;
/// At a worker that tells of more calls than the average, this power of the average over its own is the share
/// of front ends that still begin there; the rest begin at one of so many next in the order. What it tells
/// sinks in by this weight and fades by half in this time: a crowd of functions lasts.
const AVOIDANCE_EXPONENT: i32 = 4;
/// At a worker that tells of more calls than the average, this power of the average over its own is the share
/// of front ends that still begin there; the rest begin at one of so many next in the order. What it tells
/// sinks in by this weight and fades by half in this time: a crowd of functions lasts.
const AVOIDANCE_CANDIDATES: usize = 4;

impl FrontEnd {
    /// The workers that may be sent work, in the function's order: the same at every front end. Of very many
    /// it goes through those that come next to the function on a ring of hashes. In a large tier a function
    /// that fills one home has several: each front end begins at one of them, drawn once for all, so that no
    /// home is full while the next ones idle, and each front end has few workers to meet.
    pub(crate) fn preference_order(&self, function: FunctionId) -> Vec<&WorkerId> {
        let place = mix(function.0);
        let near = self.workers.ring_from(mix(place), MAX_ORDER);
        let mut ranked: Vec<_> = near.map(|(hash, w)| (mix(hash ^ place), w)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut order: Vec<&WorkerId> = ranked.into_iter().map(|(_, w)| w).collect();
        let homes = self
            .functions
            .get(&function)
            .map_or(0.0, |p| p.preferred_workers);
        if self.relies_on_load_reports() && homes > 1.0 && !order.is_empty() {
            let draw = draw(self.seed ^ mix(function.0));
            // Of several homes one in the own zone, where there is one: crossing costs time and more.
            let all = 0..(homes as usize).min(order.len());
            let near: Vec<usize> = all
                .filter(|i| self.workers[order[*i]].endpoint.zone == self.settings.zone)
                .collect();
            let any = ((draw * homes) as usize).min(order.len() - 1);
            let first = near
                .get((draw * near.len() as f64) as usize)
                .copied()
                .unwrap_or(any);
            order[..=first].rotate_right(1);
        }
        if self.relies_on_load_reports() && !order.is_empty() {
            // Wanted functions may share a home by chance, and it stays full while others idle: each front
            // end that was told so draws, once for all, whether it still begins there.
            let mean = self.workers.mean_reported_in_flight(self.now);
            let stays = |w: &&WorkerId| {
                let node = &self.workers[w];
                let share = (mean / self.usual_in_flight(node)).powi(AVOIDANCE_EXPONENT);
                node.load_report.received_at == 0
                    || draw(self.seed ^ mix(function.0) ^ node.hash) <= share
            };
            let first = order
                .iter()
                .take(AVOIDANCE_CANDIDATES)
                .position(stays)
                .unwrap_or(0);
            order[..=first].rotate_right(1);
        }
        order
    }

    /// What a worker usually holds, as it told; one call where that is long ago.
    fn usual_in_flight(&self, node: &WorkerState) -> f64 {
        let age = self.now.saturating_sub(node.load_report.received_at) as f64;
        1.0 + (node.load_report.mean_in_flight - 1.0).max(0.0)
            * 0.5f64.powf(age / IN_FLIGHT_HALF_LIFE as f64)
    }
}
