//! When a worker would serve a new request, predicted from this front end's own attempts there.
//!
//! Admission by replay: a worker admits a request if a replay of its queue with the request meets
//! every deadline. The queue is this front end's attempts in the order in which they were sent.

use pipithub_policy::api::{FunctionId, Request, Time};

use super::front_end::FrontEnd;
use super::state::WorkerState;

/// The expected run time of the new request is multiplied by this: run times have long tails, which
/// their means do not show.
pub(crate) const RUN_TIME_MARGIN: f64 = 1.6;
/// The largest number of a function's requests that are replayed in parallel at one worker.
const MAX_REPLAYED_CONCURRENCY: f64 = 64.0;

/// What the replay of one worker predicts for a new request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prediction {
    /// No replica is assumed there: the request would wait for a load.
    pub(crate) cold_start: bool,
    /// All of the replicas' concurrency is in use, so that the worker may start a further replica
    /// for the request.
    pub(crate) adds_replica: bool,
    /// The new request makes no attempt in the queue miss its deadline.
    pub(crate) others_meet_deadlines: bool,
    /// When the request would be answered if a replica were loaded.
    pub(crate) warm_finish: Time,
    /// When the request is expected to be answered, any load included.
    pub(crate) finish: Time,
}

/// A worker's queue and the new request behind it.
struct Queue<'a> {
    worker: &'a WorkerState,
    function: FunctionId,
    now: Time,
    /// Requests of the function that run in parallel for this front end.
    concurrency: usize,
    /// The slowdown at the worker without the new request.
    slowdown_without: f64,
    /// The slowdown at the worker with the new request.
    slowdown_with: f64,
    /// The expected run time of the new request, slowed down and with its margin, in nanoseconds.
    padded_run_time: Time,
}

/// The result of one replay.
struct Replayed {
    /// When the new request would be answered.
    finish: Time,
    /// The new request makes no attempt in the queue miss its deadline.
    deadlines_met: bool,
}

impl Queue<'_> {
    /// Replays the queue and then the new request, with the function's replicas loaded at the time
    /// `ready_at`.
    fn replay(&self, ready_at: Time) -> Replayed {
        let mut free_at = vec![ready_at; self.concurrency];
        let mut deadlines_met = true;
        for attempt in &self.worker.in_flight {
            let run_time = (attempt.run_time * self.slowdown_with) as Time;
            let (start, end) = if attempt.function == self.function {
                let slot = (0..self.concurrency)
                    .min_by_key(|&slot| free_at[slot])
                    .unwrap_or(0);
                let waited = free_at[slot] > self.now || attempt.predicted_finish <= self.now;
                let start = if waited {
                    free_at[slot]
                } else {
                    attempt.sent_at
                };
                free_at[slot] = (start + run_time).max(self.now);
                (start, free_at[slot])
            } else if attempt.cold_start {
                (attempt.sent_at, attempt.predicted_finish)
            } else {
                (attempt.sent_at, attempt.sent_at + run_time)
            };
            // A deadline that is missed without the new request too does not count, as otherwise
            // one late request would keep all others away from the worker. Neither does the
            // deadline of a cold start.
            let end_without = start + (attempt.run_time * self.slowdown_without) as Time;
            let missed_anyway = attempt.cold_start || end_without > attempt.target_deadline;
            deadlines_met &= end <= attempt.target_deadline || missed_anyway;
        }
        let first_free = free_at.into_iter().min().unwrap_or(ready_at);
        Replayed {
            finish: first_free + self.padded_run_time,
            deadlines_met,
        }
    }
}

impl FrontEnd {
    /// Predicts a new request by replaying this front end's attempts at the worker and then the
    /// request. If `presumed` is set, the worker counts as having a loaded replica even if none is
    /// assumed there.
    pub(crate) fn predict(
        &self,
        worker: &WorkerState,
        request: &Request,
        presumed: bool,
    ) -> Prediction {
        let (now, function) = (self.now, request.function);
        let ready_at = self
            .replica_ready_at(worker, function)
            .or(presumed.then_some(now));
        let concurrency = self.replayed_concurrency(worker, request);
        let adds_replica = self.settings.loading.reports_concurrency
            && worker.in_flight_of(function).count() >= concurrency;
        let slowdown_with = worker.slowdown_at(now, worker.in_flight.len() + 1);
        let run_time = self.expected_run_time(function, request.class) * slowdown_with;
        let queue = Queue {
            worker,
            function,
            now,
            concurrency,
            slowdown_without: worker.slowdown_at(now, worker.in_flight.len()),
            slowdown_with,
            padded_run_time: (run_time * RUN_TIME_MARGIN) as Time,
        };
        let warm = queue.replay(now);
        let loaded_at = ready_at
            .unwrap_or_else(|| now + self.expected_load_time(function, request.class) as Time);
        let finish = if loaded_at <= now {
            warm.finish
        } else {
            queue.replay(loaded_at).finish
        };
        Prediction {
            cold_start: ready_at.is_none(),
            adds_replica,
            others_meet_deadlines: warm.deadlines_met,
            warm_finish: warm.finish,
            finish,
        }
    }

    /// How many requests of the function the worker's replicas run in parallel for this front end.
    /// The other front ends use the same workers: their requests are subtracted if workers report
    /// them, otherwise each front end is assumed to have an equal part.
    fn replayed_concurrency(&self, worker: &WorkerState, request: &Request) -> usize {
        let replicas = worker.replicas.get(&request.function);
        let of_all = f64::from(request.replica_concurrency.max(1))
            * f64::from(replicas.map_or(1, |replicas| replicas.count.max(1)));
        let own = match replicas {
            Some(replicas) if self.settings.loading.reports_concurrency => {
                of_all - replicas.others_in_flight
            }
            _ => of_all / f64::from(self.settings.front_ends),
        };
        own.ceil().clamp(1.0, MAX_REPLAYED_CONCURRENCY) as usize
    }

    /// When the replicas of a function are loaded at a worker, which is now if they are loaded
    /// already; `None` if none is assumed there.
    pub(crate) fn replica_ready_at(
        &self,
        worker: &WorkerState,
        function: FunctionId,
    ) -> Option<Time> {
        let replicas = worker
            .replicas
            .get(&function)
            .filter(|replicas| replicas.ready_at > 0)?;
        let in_use = replicas.load_requested || worker.in_flight_of(function).next().is_some();
        let kept_until = replicas.last_used_at + self.settings.loading.keep_alive;
        if !in_use && self.now > kept_until {
            return None;
        }
        if replicas.confirmed && replicas.ready_at <= self.now {
            return Some(self.now);
        }
        let first = worker
            .in_flight_of(function)
            .map(|attempt| (attempt.sent_at, attempt.predicted_finish))
            .min();
        match first {
            // The replicas are not confirmed yet, and the first answer is later than predicted: its
            // request probably waits for a load, and a slow one.
            Some((sent_at, predicted_finish)) if predicted_finish < self.now => {
                let loaded_at = sent_at + self.expected_load_time(function, 0) as Time;
                let later = self.now + (self.now - sent_at) / 2;
                Some(if loaded_at > self.now {
                    loaded_at
                } else {
                    later
                })
            }
            _ => Some(replicas.ready_at.max(self.now)),
        }
    }
}
