//! How attempts at simulated workers end.

use pipithub_policy::api::{
    AttemptFinished, Event, FunctionId, LoadReport, Outcome, ReplicaStatus, RequestId, Time,
    WorkerId,
};
use rand::RngExt;
use rand::rngs::SmallRng;

use super::SimulatedFleet;
use super::clients::{usual_load_time, usual_run_time};
use super::draws::Purpose;
use super::scenario::MS;
use super::schedule::{AttemptId, ScheduledEvent};

/// The number of requests in flight at a worker that doubles run times and keeps all cores busy.
pub(crate) const IN_FLIGHT_AT_FULL_LOAD: f64 = 16.0;
/// The factor by which a slow run takes longer.
const SLOW_FACTOR: f64 = 10.0;
/// The probability that a failing worker answers with an error.
const FAILING_WORKER_ERROR_RATE: f64 = 0.8;
/// The times after which unanswered attempts time out, in milliseconds.
const TIMEOUTS_MS: [Time; 3] = [1_500, 4_000, 60_000];

/// The conditions at its worker that decide how an attempt ends.
struct AttemptConditions {
    worker: usize,
    function: FunctionId,
    /// The load time that the request states; `None`: it states none.
    load_time: Option<Time>,
    /// Requests in flight at the worker.
    in_flight: f64,
    /// Requests of the function in flight at the worker.
    function_concurrency: f64,
    /// How long the function runs, in nanoseconds.
    run_time: f64,
    /// The time from which a replica can serve requests; `None`: the worker has none.
    replica_ready_at: Option<Time>,
}

/// How an attempt ends, and the replica that it uses or loads.
struct AttemptEnd {
    outcome: Outcome,
    elapsed: Time,
    replica_status: ReplicaStatus,
    /// The time from which the replica that this attempt uses or loads can serve requests; `None`: it uses none.
    replica_ready_at: Option<Time>,
}

impl AttemptEnd {
    /// The end of an attempt that neither uses nor loads a replica.
    fn without_replica(outcome: Outcome, elapsed: Time) -> AttemptEnd {
        AttemptEnd {
            outcome,
            elapsed,
            replica_status: ReplicaStatus::Warm,
            replica_ready_at: None,
        }
    }
}

/// True with this probability.
fn chance(random: &mut SmallRng, probability: f64) -> bool {
    random.random_range(0.0..1.0) < probability
}

impl SimulatedFleet {
    /// Begins an attempt, draws how it ends, and schedules its end.
    pub(super) fn forward(&mut self, request: RequestId, worker: &WorkerId) {
        let Some((attempt, worker_index)) = self.begin_attempt(request, worker) else {
            return;
        };
        let key = u64::from(attempt.number);
        let mut random = self.random_for(Purpose::Attempt, request.0, key);
        let conditions = self.attempt_conditions(request, worker_index, &mut random);
        let end = self.draw_end(&conditions, &mut random);
        let finished = self.attempt_finished(attempt, &conditions, &end, &mut random);
        let served = end.outcome == Outcome::Served;
        if served && chance(&mut random, self.scenario.clients.streams) {
            let begins_at = self.now + end.elapsed / 2;
            self.schedule
                .push(begins_at, ScheduledEvent::StreamingBegins(request));
        }
        let worker = self.workers.get_mut(worker_index);
        if let Some(ready_at) = end.replica_ready_at {
            worker.replicas.insert(conditions.function, ready_at);
        }
        worker.attempts.insert(attempt);
        let ends_at = self.now + end.elapsed;
        self.schedule
            .push(ends_at, ScheduledEvent::AttemptEnds(finished));
    }

    /// Counts an attempt and records its worker; `None`: the request or the worker is unknown.
    fn begin_attempt(
        &mut self,
        request: RequestId,
        worker: &WorkerId,
    ) -> Option<(AttemptId, usize)> {
        let pending = self.clients.get_mut(request)?;
        let number = pending.attempts;
        pending.attempts += 1;
        let worker = self.workers.index_of(worker)?;
        pending.in_flight.insert(number, worker);
        self.count("attempt");
        if number > 0 {
            self.count("retry");
        }
        Some((AttemptId { request, number }, worker))
    }

    fn attempt_conditions(
        &self,
        request: RequestId,
        worker: usize,
        random: &mut SmallRng,
    ) -> AttemptConditions {
        let request = &self
            .clients
            .get(request)
            .expect("a forwarded request is pending")
            .request;
        let function = request.function;
        let own = self.own_concurrency(worker, function) as f64;
        let popularity_rank = function.0 as f64;
        let others = self.scenario.other_front_ends.same_function / popularity_rank
            * random.random_range(0.5..1.5);
        let in_flight = self.in_flight(worker);
        let mut run_time = usual_run_time(&self.scenario, function.0) as f64
            * random.random_range(0.7..1.4)
            * (1.0 + in_flight / IN_FLIGHT_AT_FULL_LOAD);
        if chance(random, self.scenario.faults.slow) {
            run_time *= SLOW_FACTOR;
        }
        let replica_ready_at = self
            .replica_ready_at(worker, function)
            .filter(|_| !chance(random, self.scenario.faults.replica_evicted));
        AttemptConditions {
            worker,
            function,
            load_time: request.load_time,
            in_flight,
            function_concurrency: others + own,
            run_time,
            replica_ready_at,
        }
    }

    /// This front end's requests in flight for a function at a worker.
    fn own_concurrency(&self, worker: usize, function: FunctionId) -> usize {
        let calls_function = |attempt: &&AttemptId| {
            let pending = self.clients.get(attempt.request);
            pending.is_some_and(|pending| pending.request.function == function)
        };
        let attempts = self.workers.get(worker).attempts.iter();
        attempts.filter(calls_function).count()
    }

    /// The time from which a replica at a worker can serve requests; `None`: there is none. A worker that has neither
    /// just started nor restarted may have loaded one before the scenario, which can serve from time 0.
    fn replica_ready_at(&self, worker: usize, function: FunctionId) -> Option<Time> {
        let simulated = self.workers.get(worker);
        let known = simulated.replicas.get(&function).copied();
        let mut random = self.random_for(Purpose::LoadedBefore, worker as u64, function.0);
        let loaded_before = chance(&mut random, self.scenario.functions.loaded_before)
            && simulated.endpoint.started_at.is_none();
        known.or(loaded_before.then_some(0))
    }

    fn draw_end(&self, conditions: &AttemptConditions, random: &mut SmallRng) -> AttemptEnd {
        if let Some(fault) = self.draw_fault(conditions, random) {
            return fault;
        }
        if let Some(ready_at) = conditions.replica_ready_at {
            return self.served_by_replica(conditions, ready_at);
        }
        if self.scenario.settings.loading.loads_on_request {
            self.load_on_request(conditions, random)
        } else {
            AttemptEnd::without_replica(Outcome::NotLoaded, MS)
        }
    }

    /// Draws a fault that ends the attempt, whether or not its function is loaded; `None`: there is none.
    fn draw_fault(
        &self,
        conditions: &AttemptConditions,
        random: &mut SmallRng,
    ) -> Option<AttemptEnd> {
        let faults = &self.scenario.faults;
        let worker = conditions.worker;
        let concurrency_limit = self.scenario.workers.concurrency_limit;
        let (outcome, elapsed) =
            if self.workers.get(worker).is_removed() || chance(random, faults.unreachable) {
                (Outcome::Unreachable, MS)
            } else if self.is_silent(worker) || chance(random, faults.unanswered) {
                let timeout = TIMEOUTS_MS[random.random_range(0..TIMEOUTS_MS.len())];
                (Outcome::TimedOut, timeout * MS)
            } else if chance(random, faults.rejected) || conditions.in_flight > concurrency_limit {
                (Outcome::Rejected, MS)
            } else if self.is_failing(worker) && chance(random, FAILING_WORKER_ERROR_RATE)
                || chance(random, faults.error)
            {
                (Outcome::Error, (conditions.run_time * 0.2) as Time)
            } else if chance(random, faults.connection_lost) {
                (Outcome::ConnectionLost, (conditions.run_time * 0.5) as Time)
            } else {
                return None;
            };
        Some(AttemptEnd::without_replica(outcome, elapsed))
    }

    /// Whether a worker answers most requests with an error.
    fn is_failing(&self, worker: usize) -> bool {
        let mut random = self.random_for(Purpose::FailingWorker, worker as u64, 0);
        chance(&mut random, self.scenario.faults.failing_workers)
    }

    fn served_by_replica(&self, conditions: &AttemptConditions, ready_at: Time) -> AttemptEnd {
        let wait = ready_at.saturating_sub(self.now);
        AttemptEnd {
            outcome: Outcome::Served,
            elapsed: wait + conditions.run_time as Time,
            replica_status: if wait > 0 {
                ReplicaStatus::LoadAwaited
            } else {
                ReplicaStatus::Warm
            },
            replica_ready_at: Some(ready_at),
        }
    }

    fn load_on_request(&self, conditions: &AttemptConditions, random: &mut SmallRng) -> AttemptEnd {
        let usual = conditions
            .load_time
            .unwrap_or_else(|| usual_load_time(&self.scenario, conditions.function.0));
        let load_time = (usual as f64 * random.random_range(0.8..1.5)) as Time;
        if chance(random, self.scenario.faults.load_failed) {
            let outcomes = [Outcome::Error, Outcome::NotLoaded];
            return AttemptEnd {
                outcome: outcomes[random.random_range(0..outcomes.len())],
                elapsed: load_time / 2,
                replica_status: ReplicaStatus::LoadFailed,
                replica_ready_at: None,
            };
        }
        AttemptEnd {
            outcome: Outcome::Served,
            elapsed: load_time + conditions.run_time as Time,
            replica_status: ReplicaStatus::LoadStarted,
            replica_ready_at: Some(self.now + load_time),
        }
    }

    /// The event that ends an attempt.
    fn attempt_finished(
        &self,
        attempt: AttemptId,
        conditions: &AttemptConditions,
        end: &AttemptEnd,
        random: &mut SmallRng,
    ) -> AttemptFinished {
        let loading = &self.scenario.settings.loading;
        let answered = end.outcome != Outcome::TimedOut;
        let served = end.outcome == Outcome::Served;
        let reports_load = answered && chance(random, self.scenario.reporting.load_reports);
        AttemptFinished {
            request: attempt.request,
            attempt: attempt.number,
            worker: self.workers.get(conditions.worker).endpoint.worker.clone(),
            outcome: end.outcome,
            elapsed: end.elapsed,
            settled: false,
            replica_status: (loading.reports_cold_starts && answered).then_some(end.replica_status),
            function_concurrency: (loading.reports_concurrency && served)
                .then_some(conditions.function_concurrency as u32),
            load_report: if reports_load {
                self.load_report(conditions.worker)
            } else {
                LoadReport::default()
            },
        }
    }

    /// Cancels an attempt; the worker may go on with it nevertheless.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, number: u32) {
        self.count("cancel");
        let pending = self.clients.get(request);
        let Some(worker) = pending.and_then(|p| p.in_flight.get(&number)).copied() else {
            return;
        };
        let mut random =
            self.random_for(Purpose::AttemptCancellation, request.0, u64::from(number));
        if !random.random_bool(self.scenario.reporting.cancels_honored) {
            return;
        }
        let outcome = if random.random_bool(0.05) {
            Outcome::NotSent
        } else {
            Outcome::Cancelled
        };
        let finished = AttemptFinished {
            request,
            attempt: number,
            worker: self.workers.get(worker).endpoint.worker.clone(),
            outcome,
            elapsed: random.random_range(20..400) * MS,
            settled: false,
            replica_status: None,
            function_concurrency: None,
            load_report: LoadReport::default(),
        };
        self.schedule
            .push(self.now + MS, ScheduledEvent::AttemptEnds(finished));
    }

    /// Ends an attempt; `None`: it has ended before, for example by a cancellation.
    pub(super) fn attempt_ends(&mut self, mut finished: AttemptFinished) -> Option<Event> {
        let (request, number) = (finished.request, finished.attempt);
        let pending = self.clients.get_mut(request)?;
        let worker = pending.in_flight.remove(&number)?;
        pending.settled |= finished.outcome == Outcome::Served;
        finished.settled = pending.settled;
        let attempts = &mut self.workers.get_mut(worker).attempts;
        attempts.remove(&AttemptId { request, number });
        self.clients.forget_if_complete(request);
        self.count(outcome_name(finished.outcome));
        match finished.replica_status {
            Some(ReplicaStatus::LoadStarted) => self.count("load started"),
            Some(ReplicaStatus::LoadFailed) => self.count("load failed"),
            Some(ReplicaStatus::LoadAwaited) => self.count("load awaited"),
            _ => {}
        }
        Some(Event::AttemptFinished(finished))
    }
}

/// The name under which an outcome is counted.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "rejected by worker",
        Outcome::TimedOut => "timed out",
        Outcome::Unreachable => "unreachable",
        Outcome::ConnectionLost => "connection lost",
        Outcome::Cancelled => "attempt cancelled",
        Outcome::NotSent => "not sent",
        Outcome::NotLoaded => "not loaded",
    }
}
