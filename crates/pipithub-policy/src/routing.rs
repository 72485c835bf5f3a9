//! The worker that a request is forwarded to.

use std::collections::BTreeSet;

use crate::api::{Action, DeduplicationScope, Idempotency, RequestId};
use crate::front_end::{FrontEnd, MS};
use crate::load_reports::{ASKS_MOST, ASK_TOKEN, ASK_WAIT, FRESH};
use crate::replay::PAD;
use crate::state::{Foreseen, Node, Open};

/// Loads that may be under way for each worker: with one, a lost zone's functions came back too slowly.
const LOADS_MOST: usize = 4;
/// The most late calls to wait at one worker for a load: they must not fill its queue.
const LATE_MOST: usize = 8;
/// A worker whose cores are told to be busier than this has a queue: it is second choice.
const BUSY: f64 = 0.95;

impl FrontEnd {
    /// Whether the request may have an attempt at this worker at all.
    fn allowed(&self, open: &Open, node: &Node, closed: &BTreeSet<&str>) -> bool {
        let class = &self.s.classes[open.call.class];
        let repeat_ok = match (&open.may_have_run, class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (_, Idempotency::NonIdempotent) => false,
            (Some((at, zone, cell)), Idempotency::WithKey) => {
                let in_group = match class.deduplication_scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => *zone == node.entry.zone,
                    DeduplicationScope::Cell => *cell == node.entry.cell,
                };
                in_group && self.now + 4 * self.s.tick.max(MS) < at + class.deduplication_window
            }
        };
        // A worker in trouble is left alone; once that time is over one send at a time tries it.
        let health = &node.health[open.call.class];
        let idle = || {
            node.out
                .iter()
                .all(|s| s.class != open.call.class || s.at < health.shut_until)
        };
        repeat_ok
            && !closed.contains(node.entry.zone.as_str())
            && (health.bad == 0 || self.now >= health.shut_until && idle())
            && (node.out.len() as f64) < node.room
            && self.cold_budget_left(node)
    }

    /// Sends the request where the design says, or ends it.
    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    pub(crate) fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.parked = false;
        if open.outstanding || open.streaming || open.asks.is_some() {
            return;
        }
        let open = &self.open[&id];
        let class = &self.s.classes[open.call.class];
        let (now, function) = (self.now, open.call.function);
        if open.attempts >= self.s.limits.max_attempts || now + 2 * self.s.tick >= open.deadline {
            return self.end(id, actions);
        }
        // After the aim only late worth is left; where there is none, more work would be waste.
        let goal = if now < open.aim {
            open.aim
        } else {
            open.deadline
        };
        if goal == open.deadline && open.aim < now && class.late_answer_weight <= 0.0 {
            return self.end(id, actions);
        }
        let order = self.order(function);
        let stands = |n: &Node| n.is_live() && self.ready_at(n, function).is_some();
        let located = self.nodes.holders(function).any(stands);
        let closed = self.closed_zones();
        // A slow store must not be asked for more: loads are bounded, and one of this function is awaited.
        let (loads, loading) = self.loads_under_way(function);
        // The most: some for each of its part of the workers; the fewer, the slower the store is.
        let store_open = now >= self.store.shut_until;
        let most = (LOADS_MOST * self.nodes.live())
            .div_ceil(self.s.front_ends as usize)
            .max(2);
        let may_add = store_open && loads as f64 * self.store_pace().max(1.0) < most as f64;
        let may_load = may_add && !loading;
        let (blind, run) = (self.blind(), self.run_of(function, open.call.class) * PAD);
        let mut presume = !located && open.attempts == 0;
        let (mut choice, mut late, mut want, mut soft, mut ask) = (None, None, None, None, None);
        for worker in order.into_iter().filter(|w| !open.tried.contains(w)) {
            let node = &self.nodes[worker];
            if !self.allowed(open, node, &closed) {
                // Presumed at its home alone. Where that is lost it stands nowhere: presumed at the next one,
                // each of the lost worker's functions would begin a load there past the bound on loads.
                presume = false;
                continue;
            }
            // Found nowhere, it is presumed at its home: who knows nothing must neither refuse nor spread.
            let seen = self.replay(node, &open.call, presume);
            presume = false;
            let crowded = run * self.told_stretch(node) > (goal - now) as f64;
            if !seen.others_hold || seen.warm_finish > goal || crowded {
                continue;
            }
            if blind && now < node.told.at + FRESH && node.told.busy > BUSY {
                soft = soft.or_else(|| (!seen.cold).then(|| (worker.clone(), seen, goal)));
                continue;
            }
            let unheard = blind && now > FRESH + node.told.at.max(node.heard);
            if unheard && self.asking_pays() && open.asked < ASKS_MOST {
                ask = Some(worker.clone());
                break;
            }
            if seen.finish <= goal && (!seen.cold || may_load) && (!seen.adds || may_add) {
                choice = Some((worker.clone(), seen, goal));
                break;
            }
            // Only a load stands in the way.
            if seen.cold && want.is_none() {
                want = Some((worker.clone(), seen));
            }
            if late.is_some() || class.late_answer_weight <= 0.0 || seen.finish > open.deadline {
                continue;
            }
            let waiting = node.out.iter().filter(|s| s.goal > s.aim).count();
            // A function that stands elsewhere is loaded here only where that should evict nothing.
            let worthwhile = || may_load && (!located || self.has_room(node, function));
            if waiting < LATE_MOST && (!seen.cold || worthwhile()) && (!seen.adds || may_add) {
                late = Some((worker.clone(), seen, open.deadline));
            }
        }
        if let Some(worker) = ask {
            actions.push(Action::PollLoad {
                worker: worker.clone(),
            });
            actions.push(Action::SetTimer {
                after: ASK_WAIT,
                token: id | ASK_TOKEN,
            });
            self.asking.entry(worker.clone()).or_default().insert(id);
            self.open
                .entry(id)
                .and_modify(|o| (o.asks, o.asked) = (Some(worker), o.asked + 1));
            return;
        }
        if let Some((worker, seen)) = &want {
            // A load longer than clients wait is begun by no call: only an order spreads such a function.
            let spread = choice.is_some() || seen.finish > self.open[&id].deadline;
            self.missed(worker, id, spread, actions);
        }
        let mut choice = choice.or(late);
        // The others follow the same order: what moved on here did there, and has likely loaded it. A wrong
        // guess must still be served: a call with little time goes where a copy stands, or not at all.
        if let Some((worker, seen)) =
            want.filter(|_| choice.is_none() && self.guesses >= 1.0 && store_open)
        {
            let goal = self.open[&id].deadline;
            if self.s.loading.loads_on_request && seen.finish <= goal {
                self.guesses -= 1.0;
                let seen = Foreseen {
                    cold: false,
                    finish: seen.warm_finish,
                    ..seen
                };
                choice = Some((worker, seen, goal));
            }
        }
        match choice.or(soft) {
            Some((worker, seen, _)) if seen.cold && !self.s.loading.loads_on_request => {
                // Only an order brings the function in: the call waits here, unsent, for its reply.
                if !self.hold(&worker, function, actions) {
                    return self.end(id, actions);
                }
                if let Some(open) = self.open.get_mut(&id) {
                    open.parked = true;
                    open.tried.push(worker);
                }
            }
            Some(chosen) => self.send(id, chosen, actions),
            None => self.end(id, actions),
        }
    }
}
