//! Predicts when a worker would serve a new request, from this front end's own attempts there.
//!
//! Admission by replay (section III-B of the paper): a request is admitted at a worker if a replay of
//! the worker's queue with the new request still meets every deadline. The queue consists of this
//! front end's attempts in the order in which they were sent; a load that a request has to wait for
//! comes first.

use super::FrontEnd;
use crate::api::{FunctionId, Request, Time};
use crate::worker::WorkerState;

/// The factor on the expected run time of the new request: run times have long tails, which their
/// means do not show. Margins of 1.3 and 2.2 were each worse on some days (`docs/design.md`, "Tried
/// without success").
pub(super) const RUN_TIME_MARGIN: f64 = 1.6;
/// The largest number of a function's requests that the replay runs in parallel at one worker.
const MAX_REPLAYED_CONCURRENCY: f64 = 64.0;

/// The prediction for a new request at one worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prediction {
    /// The worker is assumed to hold no replica, so that the request would wait for a load.
    pub(super) cold_start: bool,
    /// All of the replicas' concurrency is in use, so that the worker may start a further replica for
    /// the request.
    pub(super) adds_replica: bool,
    /// The new request makes no attempt in the queue miss its deadline.
    pub(super) others_meet_deadlines: bool,
    /// When the request would be served if a replica were loaded.
    pub(super) warm_finish: Time,
    /// When the request will be served, including any load.
    pub(super) finish: Time,
}

/// A worker's queue, and the new request that is replayed after it.
struct Queue<'a> {
    worker: &'a WorkerState,
    request: &'a Request,
    now: Time,
    /// The number of the function's requests that the worker runs in parallel for this front end.
    concurrency: usize,
    /// The slowdown at the worker without the new request.
    slowdown_without: f64,
    /// The slowdown at the worker with the new request.
    slowdown_with: f64,
}

/// The result of replaying a queue.
struct QueueEnd {
    /// When the first of the function's slots becomes free.
    free_at: Time,
    /// The new request makes no attempt in the queue miss its deadline.
    deadlines_met: bool,
}

impl Queue<'_> {
    /// Replays the queue, with the function's replicas loaded at the time `ready_at`.
    fn replay(&self, ready_at: Time) -> QueueEnd {
        let mut slots = vec![ready_at; self.concurrency];
        let mut deadlines_met = true;
        for attempt in self.worker.attempts.iter() {
            let run_time = (attempt.expected.run_time * self.slowdown_with) as Time;
            let (start, finish) = if attempt.function == self.request.function {
                let slot = earliest_free(&slots);
                let start = if slots[slot] > self.now || attempt.expected.finish <= self.now {
                    slots[slot]
                } else {
                    attempt.sent_at
                };
                slots[slot] = (start + run_time).max(self.now);
                (start, slots[slot])
            } else if attempt.expected.cold_start {
                (attempt.sent_at, attempt.expected.finish)
            } else {
                (attempt.sent_at, attempt.sent_at + run_time)
            };
            // A deadline that would be missed even without the new request is ignored; otherwise one
            // late request would prevent all admissions at the worker.
            let finish_without =
                start + (attempt.expected.run_time * self.slowdown_without) as Time;
            let missed_anyway =
                attempt.expected.cold_start || finish_without > attempt.deadlines.target;
            deadlines_met &= finish <= attempt.deadlines.target || missed_anyway;
        }
        QueueEnd {
            free_at: slots.into_iter().min().unwrap_or(ready_at),
            deadlines_met,
        }
    }
}

/// The index of the slot that becomes free earliest; the lowest one of equals.
fn earliest_free(slots: &[Time]) -> usize {
    (0..slots.len())
        .min_by_key(|&slot| slots[slot])
        .unwrap_or(0)
}

/// Uses the settings and the estimates, and changes nothing.
impl FrontEnd {
    /// When the replicas of a function are loaded at a worker; `None` if the worker is assumed to
    /// hold none.
    pub(super) fn replica_ready_at(
        &self,
        worker: &WorkerState,
        function: FunctionId,
    ) -> Option<Time> {
        let now = self.now;
        let replicas = worker
            .replicas
            .get(function)
            .filter(|replicas| replicas.ready_at > 0)?;
        let busy = worker.attempts.of_function(function).next().is_some();
        let kept_until = replicas.last_used_at + self.settings.loading.keep_alive;
        if !busy && !replicas.load_requested && self.now > kept_until {
            return None;
        }
        if replicas.confirmed && replicas.ready_at <= self.now {
            return Some(self.now);
        }
        let first = worker
            .attempts
            .of_function(function)
            .map(|attempt| (attempt.sent_at, attempt.expected.finish))
            .min();
        Some(match first {
            // The replica is not confirmed yet. An overdue answer means that the request waits for a
            // load, and for a slow one if the usual load time has passed too.
            Some((sent_at, predicted_finish)) if predicted_finish < self.now => {
                let loaded_at = sent_at + self.estimates.load_time(function, 0, now) as Time;
                if loaded_at > self.now {
                    loaded_at
                } else {
                    self.now + (self.now - sent_at) / 2
                }
            }
            _ => replicas.ready_at.max(self.now),
        })
    }

    /// Replays this front end's attempts at the worker, and the new request after them; `presumed`
    /// means that the function is presumed loaded there.
    pub(super) fn predict(
        &self,
        worker: &WorkerState,
        request: &Request,
        presumed: bool,
    ) -> Prediction {
        let now = self.now;
        let ready_at = self
            .replica_ready_at(worker, request.function)
            .or(presumed.then_some(now));
        let concurrency = self.replayed_concurrency(worker, request);
        let adds_replica = self.settings.loading.reports_concurrency
            && worker.attempts.of_function(request.function).count() >= concurrency;
        let in_flight = worker.attempts.len();
        let queue = Queue {
            worker,
            request,
            now,
            concurrency,
            slowdown_without: worker.expected_slowdown(in_flight, now),
            slowdown_with: worker.expected_slowdown(in_flight + 1, now),
        };
        let run_time =
            self.estimates.run_time(request.function, request.class) * queue.slowdown_with;
        let padded_run_time = (run_time * RUN_TIME_MARGIN) as Time;
        let warm = queue.replay(now);
        let warm_finish = warm.free_at + padded_run_time;
        let loaded_at = ready_at.unwrap_or_else(|| {
            now + self
                .estimates
                .load_time(request.function, request.class, now) as Time
        });
        let finish = if loaded_at <= now {
            warm_finish
        } else {
            queue.replay(loaded_at).free_at + padded_run_time
        };
        Prediction {
            cold_start: ready_at.is_none(),
            adds_replica,
            others_meet_deadlines: warm.deadlines_met,
            warm_finish,
            finish,
        }
    }

    /// How many requests of the function the worker's replicas run in parallel for this front end.
    fn replayed_concurrency(&self, worker: &WorkerState, request: &Request) -> usize {
        let replicas = worker.replicas.get(request.function);
        let of_all = f64::from(request.replica_concurrency.max(1))
            * f64::from(replicas.map_or(1, |replicas| replicas.count.max(1)));
        // The other front ends follow the same order and use part of the concurrency: as much as
        // answers report, or an equal share each if answers report none.
        let own = match replicas.filter(|_| self.settings.loading.reports_concurrency) {
            Some(replicas) => of_all - replicas.others_in_flight,
            None => of_all / f64::from(self.settings.front_ends),
        };
        own.ceil().clamp(1.0, MAX_REPLAYED_CONCURRENCY) as usize
    }
}
