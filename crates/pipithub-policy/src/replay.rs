//! The queue of a worker, predicted from this front end's own attempts.

use crate::api::{FunctionId, Request, Time};
use crate::front_end::FrontEnd;
use crate::state::{Prediction, WorkerState};

/// The newcomer's own run is padded so much: served times have tails, the replay knows averages.
pub(crate) const RUN_TIME_MARGIN: f64 = 1.6;

impl FrontEnd {
    /// When the copies of a function stand at a worker: `None` where none is believed there.
    pub(crate) fn replica_ready_at(
        &self,
        node: &WorkerState,
        function: FunctionId,
    ) -> Option<Time> {
        let copies = node.replicas.get(&function).filter(|c| c.ready_at > 0)?;
        let busy = node.in_flight.iter().any(|s| s.function == function);
        if !busy
            && !copies.load_requested
            && self.now > copies.last_used_at + self.settings.loading.keep_alive
        {
            return None;
        }
        if copies.confirmed && copies.ready_at <= self.now {
            return Some(self.now);
        }
        // Not seen yet. When the answer is overdue there is a load before it, and a slow one.
        let first = node
            .in_flight
            .iter()
            .filter(|s| s.function == function)
            .map(|s| (s.sent_at, s.predicted_finish))
            .min();
        Some(match first {
            Some((at, due)) if due < self.now => {
                let load = at + self.expected_load_time(function, 0) as Time;
                Some(load)
                    .filter(|t| *t > self.now)
                    .unwrap_or(self.now + (self.now - at) / 2)
            }
            _ => copies.ready_at.max(self.now),
        })
    }

    /// Replays this front end's own sends at the worker, in arrival order, and the newcomer after them.
    pub(crate) fn predict(&self, node: &WorkerState, call: &Request, presumed: bool) -> Prediction {
        let now = self.now;
        let copies = node.replicas.get(&call.function);
        let ready = self
            .replica_ready_at(node, call.function)
            .or(presumed.then_some(now));
        let all = f64::from(call.replica_concurrency.max(1))
            * f64::from(copies.map_or(1, |c| c.count.max(1)));
        // The other front ends follow the same order and fill their part of the lanes: as told, else alike.
        let lanes = match copies.filter(|_| self.settings.loading.reports_concurrency) {
            Some(copies) => all - copies.others_in_flight,
            None => all / f64::from(self.settings.front_ends),
        };
        let lanes = lanes.ceil().clamp(1.0, 64.0) as usize;
        let adds = self.settings.loading.reports_concurrency
            && node
                .in_flight
                .iter()
                .filter(|s| s.function == call.function)
                .count()
                >= lanes;
        let (before, pace) = (
            node.slowdown_at(now, node.in_flight.len()),
            node.slowdown_at(now, node.in_flight.len() + 1),
        );
        let run = self.expected_run_time(call.function, call.class) * pace;
        let begin = |ready: Time| -> (Time, bool) {
            let mut free = vec![ready; lanes];
            let mut hold = true;
            for sent in &node.in_flight {
                let (start, end) = if sent.function == call.function {
                    let lane = (0..lanes).min_by_key(|&i| free[i]).unwrap_or(0);
                    let base = if free[lane] > now || sent.predicted_finish <= now {
                        free[lane]
                    } else {
                        sent.sent_at
                    };
                    free[lane] = (base + (sent.run_time * pace) as Time).max(now);
                    (base, free[lane])
                } else {
                    (
                        sent.sent_at,
                        if sent.cold_start {
                            sent.predicted_finish
                        } else {
                            sent.sent_at + (sent.run_time * pace) as Time
                        },
                    )
                };
                // A deadline lost already binds no more, else one late call would shut the worker.
                let lost = sent.cold_start
                    || start + (sent.run_time * before) as Time > sent.target_deadline;
                hold &= end <= sent.target_deadline || lost;
            }
            (
                free.into_iter().min().unwrap_or(ready) + (run * RUN_TIME_MARGIN) as Time,
                hold,
            )
        };
        let (warm_finish, others_hold) = begin(now);
        let stands = ready
            .unwrap_or_else(|| now + self.expected_load_time(call.function, call.class) as Time);
        let finish = if stands <= now {
            warm_finish
        } else {
            begin(stands).0
        };
        Prediction {
            cold_start: ready.is_none(),
            adds_replica: adds,
            others_meet_deadlines: others_hold,
            warm_finish,
            finish,
        }
    }
}
