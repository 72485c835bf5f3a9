//! The queue of a worker, predicted from this front end's own attempts.

use crate::api::{FunctionId, Request, Time};
use crate::front_end::FrontEnd;
use crate::state::{Foreseen, Node};

/// The newcomer's own run is padded so much: served times have tails, the replay knows averages.
pub(crate) const PAD: f64 = 1.6;

impl FrontEnd {
    /// When the copies of a function stand at a worker: `None` where none is believed there.
    pub(crate) fn ready_at(&self, node: &Node, function: FunctionId) -> Option<Time> {
        let copies = node.copies.get(&function).filter(|c| c.ready > 0)?;
        let busy = node.out.iter().any(|s| s.function == function);
        if !busy && !copies.ordered && self.now > copies.used + self.s.loading.keep_alive {
            return None;
        }
        if copies.proven && copies.ready <= self.now {
            return Some(self.now);
        }
        // Not seen yet. When the answer is overdue there is a load before it, and a slow one.
        let first = node
            .out
            .iter()
            .filter(|s| s.function == function)
            .map(|s| (s.at, s.due))
            .min();
        Some(match first {
            Some((at, due)) if due < self.now => {
                let load = at + self.load_of(function, 0) as Time;
                Some(load)
                    .filter(|t| *t > self.now)
                    .unwrap_or(self.now + (self.now - at) / 2)
            }
            _ => copies.ready.max(self.now),
        })
    }

    /// Replays this front end's own sends at the worker, in arrival order, and the newcomer after them.
    pub(crate) fn replay(&self, node: &Node, call: &Request, presumed: bool) -> Foreseen {
        let now = self.now;
        let copies = node.copies.get(&call.function);
        let ready = self
            .ready_at(node, call.function)
            .or(presumed.then_some(now));
        let all = f64::from(call.replica_concurrency.max(1))
            * f64::from(copies.map_or(1, |c| c.count.max(1)));
        // The other front ends follow the same order and fill their part of the lanes: as told, else alike.
        let lanes = match copies.filter(|_| self.s.loading.reports_concurrency) {
            Some(copies) => all - copies.others,
            None => all / f64::from(self.s.front_ends),
        };
        let lanes = lanes.ceil().clamp(1.0, 64.0) as usize;
        let adds = self.s.loading.reports_concurrency
            && node
                .out
                .iter()
                .filter(|s| s.function == call.function)
                .count()
                >= lanes;
        let (before, pace) = (
            node.stretch(now, node.out.len()),
            node.stretch(now, node.out.len() + 1),
        );
        let run = self.run_of(call.function, call.class) * pace;
        let begin = |ready: Time| -> (Time, bool) {
            let mut free = vec![ready; lanes];
            let mut hold = true;
            for sent in &node.out {
                let (start, end) = if sent.function == call.function {
                    let lane = (0..lanes).min_by_key(|&i| free[i]).unwrap_or(0);
                    let base = if free[lane] > now || sent.due <= now {
                        free[lane]
                    } else {
                        sent.at
                    };
                    free[lane] = (base + (sent.run * pace) as Time).max(now);
                    (base, free[lane])
                } else {
                    (
                        sent.at,
                        if sent.cold {
                            sent.due
                        } else {
                            sent.at + (sent.run * pace) as Time
                        },
                    )
                };
                // A deadline lost already binds no more, else one late call would shut the worker.
                let lost = sent.cold || start + (sent.run * before) as Time > sent.goal;
                hold &= end <= sent.goal || lost;
            }
            (
                free.into_iter().min().unwrap_or(ready) + (run * PAD) as Time,
                hold,
            )
        };
        let (warm_finish, others_hold) = begin(now);
        let stands = ready.unwrap_or_else(|| now + self.load_of(call.function, call.class) as Time);
        let finish = if stands <= now {
            warm_finish
        } else {
            begin(stands).0
        };
        Foreseen {
            cold: ready.is_none(),
            adds,
            others_hold,
            warm_finish,
            finish,
        }
    }
}
