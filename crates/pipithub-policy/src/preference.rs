//! The order in which the workers are considered for a function.

use crate::api::{FunctionId, WorkerId};
use crate::front_end::FrontEnd;
use crate::load_reports::HELD_AGE;
use crate::state::{draw, mix, Node};

/// A function's order goes through so many workers at the most: a call costs no more in a larger tier.
const ORDER_MOST: usize = 512;
/// At a worker that tells of more calls than the average, this power of the average over its own is the share
/// of front ends that still begin there; the rest begin at one of so many next in the order. What it tells
/// sinks in by this weight and fades by half in this time: a crowd of functions lasts.
const EASE: i32 = 4;
/// At a worker that tells of more calls than the average, this power of the average over its own is the share
/// of front ends that still begin there; the rest begin at one of so many next in the order. What it tells
/// sinks in by this weight and fades by half in this time: a crowd of functions lasts.
const EASE_AMONG: usize = 4;

impl FrontEnd {
    /// The workers that may be sent work, in the function's order: the same at every front end. Of very many
    /// it goes through those that come next to the function on a ring of hashes. In a large tier a function
    /// that fills one home has several: each front end begins at one of them, drawn once for all, so that no
    /// home is full while the next ones idle, and each front end has few workers to meet.
    pub(crate) fn order(&self, function: FunctionId) -> Vec<&WorkerId> {
        let place = mix(function.0);
        let near = self.nodes.from(mix(place), ORDER_MOST);
        let mut ranked: Vec<_> = near.map(|(hash, w)| (mix(hash ^ place), w)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut order: Vec<&WorkerId> = ranked.into_iter().map(|(_, w)| w).collect();
        let homes = self.programs.get(&function).map_or(0.0, |p| p.homes);
        if self.blind() && homes > 1.0 && !order.is_empty() {
            let draw = draw(self.seed ^ mix(function.0));
            // Of several homes one in the own zone, where there is one: crossing costs time and more.
            let all = 0..(homes as usize).min(order.len());
            let near: Vec<usize> = all
                .filter(|i| self.nodes[order[*i]].entry.zone == self.s.zone)
                .collect();
            let any = ((draw * homes) as usize).min(order.len() - 1);
            let first = near
                .get((draw * near.len() as f64) as usize)
                .copied()
                .unwrap_or(any);
            order[..=first].rotate_right(1);
        }
        if self.blind() && !order.is_empty() {
            // Wanted functions may share a home by chance, and it stays full while others idle: each front
            // end that was told so draws, once for all, whether it still begins there.
            let mean = self.nodes.mean_held(self.now);
            let stays = |w: &&WorkerId| {
                let node = &self.nodes[w];
                let share = (mean / self.usually_holds(node)).powi(EASE);
                node.told.at == 0 || draw(self.seed ^ mix(function.0) ^ node.hash) <= share
            };
            let first = order.iter().take(EASE_AMONG).position(stays).unwrap_or(0);
            order[..=first].rotate_right(1);
        }
        order
    }

    /// What a worker usually holds, as it told; one call where that is long ago.
    fn usually_holds(&self, node: &Node) -> f64 {
        let age = self.now.saturating_sub(node.told.at) as f64;
        1.0 + (node.told.usual - 1.0).max(0.0) * 0.5f64.powf(age / HELD_AGE as f64)
    }
}
