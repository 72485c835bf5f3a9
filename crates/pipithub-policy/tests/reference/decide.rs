//! The decisions of one front end. The types that go in and out stand in `src/api.rs`.
//!
//! A request goes to the first worker in a shared hash order whose replayed queue of this front end's
//! own sends, any load counted, still meets every deadline; else it is refused unsent. No clock, thread
//! or I/O: equal events give equal actions. Plain data stands in `src/state.rs`.

pub(crate) use super::state::FrontEnd;
use super::state::{
    Attempt, Health, PendingRequest, Prediction, Replicas, ReportedLoad, WorkerState, draw, mix,
};
use pipithub_policy::api::{
    Action, AttemptFinished, Class, DeduplicationScope, Endpoint, EndpointState, EndpointUpdate,
    Event, FunctionId, Idempotency, LoadFinished, LoadReport, Outcome, ReplicaStatus, Request,
    RequestId, Settings, Time, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Nanoseconds in a millisecond.
const MILLISECOND: Time = 1_000_000;
/// No length of time told or seen counts as longer, so that no sum overflows.
const MAX_DURATION: Time = 3_600_000 * MILLISECOND;
/// Housekeeping period: short beside any aim, long beside a tick.
const MAINTENANCE_PERIOD: Time = 50 * MILLISECOND;
/// Token of the housekeeping timer; request ids stay far below.
const MAINTENANCE_TOKEN: u64 = 1 << 62;
/// Run time, as a share of the aim, believed of a class before its first answer.
const INITIAL_RUN_TIME: f64 = 0.15;
/// Load time, as a multiple of the aim, believed before any load was seen or told.
const INITIAL_LOAD_TIME: f64 = 1.0;
/// Weight of a new sample in a function's run time: about its last twenty answers; and, in a large tier, of
/// one above the mean beside one below it.
const RUN_TIME_GAIN: f64 = 0.05;
const UNREPORTED_RISE: f64 = 0.2;
/// A function's run time counts for no more than this multiple of its class's.
const MAX_RUN_TIME_FACTOR: f64 = 3.0;
/// Marks the timers of calls that wait for a probe; how long they wait; how often for each call.
const POLL_TIMEOUT_TOKEN: u64 = 1 << 61;
const POLL_TIMEOUT: Time = 30 * MILLISECOND;
const MAX_POLLS_PER_REQUEST: u32 = 3;
/// What asking first saves of a call's worth, as a multiple of the chance that one worker fails it and the
/// next does not.
const POLL_SAVING: f64 = 0.2;
/// Among more front ends than this, own sends tell too little of the queues.
const MAX_FRONT_ENDS_WITHOUT_REPORTS: u32 = 8;
/// Word of a worker's load, or an answer from it, is fresh for so long.
const REPORT_LIFETIME: Time = 700 * MILLISECOND;
/// Weight of a new sample in the number of homes that a function needs in a large tier.
const PREFERRED_WORKERS_GAIN: f64 = 0.3;
/// At a worker that tells of more calls than the average, this power of the average over its own is the share
/// of front ends that still begin there; the rest begin at one of so many next in the order. What it tells
/// sinks in by this weight and fades by half in this time: a crowd of functions lasts.
const AVOIDANCE_EXPONENT: i32 = 4;
const AVOIDANCE_CANDIDATES: usize = 4;
const IN_FLIGHT_GAIN: f64 = 0.5;
const IN_FLIGHT_HALF_LIFE: Time = 20_000 * MILLISECOND;
/// A worker whose cores are told to be busier than this has a queue: it is second choice.
const MAX_CPU_UTILIZATION: f64 = 0.95;
/// Calls that may be sent on a guess that others hold a copy, for each call taken, and the most saved up.
const SPECULATION_TOKENS_PER_REQUEST: f64 = 0.5;
const MAX_SPECULATION_TOKENS: f64 = 8.0;
/// Weight of a new sample in a worker's pace: about its last seven, so a slow-down shows in time.
const SLOWDOWN_GAIN: f64 = 0.15;
/// No sample counts for more than this many times what was expected: one heavy call is no bad worker.
const MAX_SAMPLE: f64 = 4.0;
/// The newcomer's own run is padded so much: served times have tails, the replay knows averages.
const RUN_TIME_MARGIN: f64 = 1.6;
/// A pace that no answer refreshes goes half the way back to the usual in this time.
const SLOWDOWN_HALF_LIFE: Time = 3_000 * MILLISECOND;
/// A send is overdue at this multiple of what was foreseen; a worker is silent when more of a class's sends
/// are than it has answered since the first of them, and at least so many.
const OVERDUE_FACTOR: f64 = 3.0;
const MIN_OVERDUE_ATTEMPTS: usize = 3;
/// A worker that turns a call away is held to this share of its own sends; each answer gives back so much.
const CONCURRENCY_DECREASE: f64 = 0.7;
const CONCURRENCY_INCREASE: f64 = 0.1;
/// Loads that may be under way for each worker: with one, a lost zone's functions came back too slowly.
const MAX_LOADS_PER_WORKER: usize = 4;
/// The most late calls to wait at one worker for a load: they must not fill its queue.
const MAX_LATE_REQUESTS: usize = 8;
/// The share of a worker's memory that believed copies fill before a further one evicts: others run too.
const MAX_MEMORY_SHARE: f64 = 0.5;
/// Connections failed, with no answer between, before a worker is left alone; one more: its copies are lost.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// A worker is in trouble when this share of its last ends are errors, and so many times that of the others.
const MAX_ERROR_RATE: f64 = 0.35;
const MAX_RELATIVE_ERROR_RATE: f64 = 2.0;
/// First time that a worker in trouble is left alone, and how often it doubles at most: the way back.
const BASE_EJECTION_TIME: Time = 500 * MILLISECOND;
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// The share of its part of a cold worker's budget that this front end spends; and where that part is under
/// one send, so that chance does not overdraw the sum, drawn so many times a span.
const BUDGET_SAFETY: f64 = 0.75;
const DRAWN_BUDGET_SAFETY: f64 = 0.35;
const DRAWS_PER_WINDOW: Time = 2;
/// Time over which sends are counted to learn what a warm worker takes.
const RATE_WINDOW: Time = 4_000 * MILLISECOND;
/// The least that it is held to take, as a share of the arrivals for each live worker: repeats swell those.
const MIN_RATE_SHARE: f64 = 0.25;
/// The most of the placed copies replaced in a round (the paper's cap).
const MAX_REPLACED_SHARE: f64 = 1.0 / 15.0;
/// The paper's replacement interval; the told keep-alive shortens it.
const MAX_INTERVAL: Time = 30_000 * MILLISECOND;
/// Misses of a function at a worker, within an interval, before a further worker is made to hold it.
const MISSES_TO_SPREAD: u32 = 2;
/// A function that was not called for so many intervals is forgotten.
const FORGET_AFTER_INTERVALS: u64 = 6;

// ---- worker list and health ----

impl Health {
    /// Leaves the worker alone for a while, longer each time.
    fn eject(&mut self, now: Time) {
        self.since = now;
        self.ejected_until = now + (BASE_EJECTION_TIME << self.bad.min(MAX_EJECTION_DOUBLINGS));
        self.bad = (self.bad + 1).min(MAX_EJECTION_DOUBLINGS + 1);
    }
}

/// A stretch last heard of some time ago: it fades to the usual, so no bad spell is believed for ever.
fn decayed_slowdown(stretch: f64, age: Time) -> f64 {
    1.0 + (stretch - 1.0) * 0.5f64.powf(age as f64 / SLOWDOWN_HALF_LIFE as f64)
}

impl Attempt {
    /// Whether its answer is so late that it counts as silence.
    fn overdue(&self, now: Time) -> bool {
        now > self.at
            + (self.predicted_finish.saturating_sub(self.at) as f64 * OVERDUE_FACTOR) as Time
    }
}

impl WorkerState {
    /// Takes in how far a run was stretched here, and beside how many own sends.
    fn record_slowdown(&mut self, ratio: f64, concurrency: f64) {
        self.slowdown += SLOWDOWN_GAIN * (ratio - self.slowdown);
        self.concurrency += SLOWDOWN_GAIN * (concurrency - self.concurrency);
    }

    /// What a run is stretched by with so many own sends there: the usual when empty, the pace seen at
    /// the queue it was seen with, and beyond that in proportion. An emptied worker is soon trusted.
    fn stretch(&self, now: Time, sends: usize) -> f64 {
        let slowdown = decayed_slowdown(self.slowdown, now.saturating_sub(self.heard));
        let part = sends as f64 / self.concurrency.max(2.0);
        if part > 1.0 {
            slowdown * part
        } else {
            slowdown.min(1.0) + (slowdown - slowdown.min(1.0)) * part
        }
    }
}

impl FrontEnd {
    /// A front end that knows nothing but its settings.
    pub(crate) fn new(settings: Settings, seed: u64) -> Self {
        let mut s = settings;
        if s.classes.is_empty() {
            s.classes.push(Class::default());
        }
        s.front_ends = s.front_ends.max(1);
        let (rules, loading) = (&mut s.slow_start, &mut s.loading);
        let window = loading.rate_limit.iter_mut().map(|r| &mut r.window);
        let told = [
            &mut s.tick,
            &mut rules.window,
            &mut rules.overload_window,
            &mut loading.keep_alive,
        ];
        let class = s.classes.iter_mut().flat_map(|c| {
            [
                &mut c.latency_objective,
                &mut c.client_timeout,
                &mut c.deduplication_window,
            ]
        });
        told.into_iter()
            .chain(window)
            .chain(class)
            .for_each(|t| *t = (*t).min(MAX_DURATION));
        let class_run_times = vec![None; s.classes.len()];
        FrontEnd {
            class_run_times,
            settings: s,
            seed,
            load_slowdown: 1.0,
            reported_queues: (6.0, 1.0),
            ..FrontEnd::default()
        }
    }

    /// Takes one event and appends what to do about it.
    pub(crate) fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now.min(Time::MAX >> 2));
        if self.next_rebalancing_at == 0 {
            self.next_rebalancing_at = self.now
                + self.rebalancing_interval() / 2
                + mix(self.seed) % (self.rebalancing_interval() / 2);
            actions.push(Action::SetTimer {
                after: MAINTENANCE_PERIOD,
                token: MAINTENANCE_TOKEN,
            });
            if self.settings.watch_on_request {
                actions.push(Action::WatchEndpoints);
            }
        }
        match event {
            Event::Endpoints {
                update: kind,
                endpoints: entries,
            } => self.list(kind, entries, actions),
            Event::Arrived(call) => self.accept(call, actions),
            Event::AttemptFinished(end) => {
                if end.load_report != LoadReport::default() {
                    self.told(&end.worker, Some(end.load_report), actions);
                }
                let ran = self.record_attempt(&end);
                self.outcome(&end, ran, actions);
            }
            Event::Streaming { request } => {
                self.pending
                    .entry(request)
                    .and_modify(|o| o.streaming = true);
            }
            Event::ClientCancelled { request } => {
                if let Some(open) = self.pending.remove(&request) {
                    self.cancel_attempt(request, &open, actions);
                }
            }
            Event::LoadFinished(reply) => self.ordered(&reply, actions),
            Event::Timer {
                token: MAINTENANCE_TOKEN,
            } => self.run_maintenance(actions),
            Event::LoadPolled {
                worker,
                answered,
                report: load,
            } => {
                self.told(&worker, Some(load).filter(|_| answered), actions);
            }
            Event::Timer { token } if token & POLL_TIMEOUT_TOKEN > 0 => {
                if let Some(worker) = self
                    .pending
                    .get(&RequestId(token & !POLL_TIMEOUT_TOKEN))
                    .and_then(|o| o.polled_worker.clone())
                {
                    self.told(&worker, None, actions);
                }
            }
            Event::Timer { token } => {
                // The client's time may be all but over.
                let over = |o: &PendingRequest| {
                    !o.streaming && self.now + 3 * self.settings.tick >= o.deadline
                };
                if self.pending.get(&RequestId(token)).is_some_and(over) {
                    self.end(RequestId(token), actions);
                }
            }
            Event::Peer { .. } => {}
        }
    }

    fn list(&mut self, kind: EndpointUpdate, entries: Vec<Endpoint>, actions: &mut Vec<Action>) {
        if kind == EndpointUpdate::Lost {
            if self.settings.watch_on_request {
                actions.push(Action::WatchEndpoints);
            }
            return;
        }
        if kind != EndpointUpdate::Delta {
            let named: BTreeSet<&WorkerId> = entries.iter().map(|e| &e.worker).collect();
            for worker_state in self
                .workers
                .values_mut()
                .filter(|n| !named.contains(&n.endpoint.worker))
            {
                worker_state.endpoint.state = EndpointState::Removed;
            }
        }
        let classes = self.settings.classes.len();
        for mut endpoint in entries {
            endpoint.started_at = endpoint.started_at.map(|t| t.min(Time::MAX >> 2));
            let worker_state = self
                .workers
                .entry(endpoint.worker.clone())
                .or_insert_with(|| WorkerState::new(endpoint.clone(), classes));
            if worker_state.endpoint.started_at != endpoint.started_at {
                // A process that started anew holds nothing and has no past.
                worker_state.replicas.clear();
                (
                    worker_state.slowdown,
                    worker_state.concurrency,
                    worker_state.concurrency_limit,
                    worker_state.consecutive_connect_failures,
                ) = (1.0, 1.0, f64::INFINITY, 0);
                worker_state.health = vec![Health::default(); classes];
            }
            worker_state.endpoint = endpoint;
        }
        self.workers
            .retain(|_, n| n.endpoint.state != EndpointState::Removed || !n.in_flight.is_empty());
    }

    /// The workers that may be sent work, in the function's order: the same at every front end. In a large
    /// tier a function that fills one home has several: each front end begins at one of them, drawn once for
    /// all, so that no home is full while the next ones idle, and each front end has few workers to meet.
    fn order(&self, function: FunctionId) -> Vec<WorkerId> {
        let live = self
            .workers
            .iter()
            .filter(|(_, n)| n.endpoint.state == EndpointState::Ready);
        let mut ranked: Vec<_> = live
            .map(|(w, n)| (mix(n.hash ^ mix(function.0)), w))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut order: Vec<WorkerId> = ranked.into_iter().map(|(_, w)| w.clone()).collect();
        let preferred_workers = self
            .functions
            .get(&function)
            .map_or(0.0, |p| p.preferred_workers);
        if self.relies_on_load_reports() && preferred_workers > 1.0 && !order.is_empty() {
            let draw = draw(self.seed ^ mix(function.0));
            // Of several homes one in the own zone, where there is one: crossing costs time and more.
            let all = 0..(preferred_workers as usize).min(order.len());
            let near: Vec<usize> = all
                .filter(|i| self.workers[&order[*i]].endpoint.zone == self.settings.zone)
                .collect();
            let any = ((draw * preferred_workers) as usize).min(order.len() - 1);
            let first = near
                .get((draw * near.len() as f64) as usize)
                .copied()
                .unwrap_or(any);
            order[..=first].rotate_right(1);
        }
        if self.relies_on_load_reports() && !order.is_empty() {
            // Wanted functions may share a home by chance, and it stays full while others idle: each front
            // end that was told so draws, once for all, whether it still begins there.
            let known = || {
                self.workers
                    .values()
                    .filter(|n| n.endpoint.state == EndpointState::Ready && n.told.at > 0)
            };
            let mean = known().map(|n| self.usual_in_flight(n)).sum::<f64>()
                / known().count().max(1) as f64;
            let stays = |w: &WorkerId| {
                let worker_state = &self.workers[w];
                let share = (mean / self.usual_in_flight(worker_state)).powi(AVOIDANCE_EXPONENT);
                worker_state.told.at == 0
                    || draw(self.seed ^ mix(function.0) ^ worker_state.hash) <= share
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
    fn usual_in_flight(&self, worker_state: &WorkerState) -> f64 {
        let age = self.now.saturating_sub(worker_state.told.at) as f64;
        1.0 + (worker_state.told.usual - 1.0).max(0.0)
            * 0.5f64.powf(age / IN_FLIGHT_HALF_LIFE as f64)
    }

    // ---- beliefs: warm copies, run and load times ----

    /// What a run of the call takes at the usual pace, averaged from served answers.
    fn expected_run_time(&self, function: FunctionId, class: usize) -> f64 {
        // Capped, so that no estimate shuts a function out: what is never sent is never learnt again.
        let usual = self.class_run_times[class]
            .unwrap_or(self.settings.classes[class].latency_objective as f64 * INITIAL_RUN_TIME);
        self.functions
            .get(&function)
            .and_then(|p| p.run)
            .map_or(usual, |run| run.min(usual * MAX_RUN_TIME_FACTOR))
    }

    /// What loads take beside the usual, from those that were seen.
    fn load_slowdown_now(&self) -> f64 {
        decayed_slowdown(
            self.load_slowdown,
            self.now.saturating_sub(self.load_observed_at),
        )
    }

    /// What a load takes: the told time at the store's present pace, else the longest seen.
    fn expected_load_time(&self, function: FunctionId, class: usize) -> f64 {
        let (function_state, stretch) = (self.functions.get(&function), self.load_slowdown_now());
        if let Some(told) = function_state.and_then(|p| p.declared_load_time) {
            return told as f64 * stretch;
        }
        let seen = function_state
            .and_then(|p| p.observed_load_time)
            .or(self.mean_load_time);
        seen.unwrap_or(self.settings.classes[class].latency_objective as f64 * INITIAL_LOAD_TIME)
            * stretch
    }

    fn record_load_time(&mut self, function: FunctionId, took: f64) {
        let Some(function_state) = self.functions.get_mut(&function) else {
            return;
        };
        let usual = function_state
            .declared_load_time
            .map(|t| t as f64)
            .or(function_state.observed_load_time)
            .or(self.mean_load_time);
        if let Some(usual) = usual.filter(|u| *u > 0.0) {
            let sample = (took / usual).clamp(0.5, 2.0 * MAX_SAMPLE);
            self.load_slowdown += 0.3 * (sample - self.load_slowdown);
            self.load_observed_at = self.now;
        }
        let mean = self.mean_load_time.get_or_insert(took);
        *mean += RUN_TIME_GAIN * (took - *mean);
        let seen = function_state.observed_load_time.get_or_insert(took);
        *seen = if took > *seen {
            took.min(*seen * 2.0)
        } else {
            *seen + 0.3 * (took - *seen)
        };
    }

    /// Notes a load that was done or failed. Where loads fail, each further one, a repeat of the same call
    /// above all, keeps the store in trouble: none is begun for a while, longer each time. It holds for a
    /// store that turns fetches away, stops or has lost a program; one failure means nothing. Harm: what is
    /// asked for seldom is refused meanwhile, though a load might have come through.
    fn record_load_outcome(&mut self, failed: bool) {
        self.consecutive_failed_loads = if failed {
            self.consecutive_failed_loads + 1
        } else {
            0
        };
        self.store_health.bad -= u32::from(!failed && self.store_health.bad > 0);
        if self.consecutive_failed_loads >= MAX_CONSECUTIVE_FAILURES
            && self.now >= self.store_health.ejected_until
        {
            self.store_health.eject(self.now);
        }
    }

    /// Takes an ended attempt out of the worker's queue and learns from it; tells when it was sent and where.
    #[allow(
        clippy::cognitive_complexity,
        clippy::too_many_lines,
        reason = "not split yet; see the roadmap"
    )]
    fn record_attempt(&mut self, end: &AttemptFinished) -> Option<(Time, String, u64)> {
        let (now, relies_on_load_reports) = (self.now, self.relies_on_load_reports());
        let failed = end.replica_status == Some(ReplicaStatus::LoadFailed);
        if failed || end.replica_status == Some(ReplicaStatus::LoadStarted) {
            self.record_load_outcome(failed);
        }
        let worker_state = self.workers.get_mut(&end.worker)?;
        let at = worker_state
            .in_flight
            .iter()
            .position(|s| s.request == end.request && s.attempt == end.attempt)?;
        // Withdrawn work may go on unseen: the replay holds it until its foreseen end.
        let sent = if end.outcome == Outcome::Cancelled
            && worker_state.in_flight[at].predicted_finish > now
        {
            worker_state.in_flight[at].cancelled = true;
            worker_state.in_flight[at].clone()
        } else {
            worker_state.in_flight.remove(at)
        };
        let ran = Some((
            sent.at,
            worker_state.endpoint.zone.clone(),
            worker_state.endpoint.cell,
        ));
        if !end.outcome.never_ran() {
            let late = if now > sent.latency_objective {
                1.0 - self.settings.classes[sent.class].late_answer_weight
            } else {
                0.0
            };
            let lost = if end.outcome == Outcome::Served {
                late
            } else {
                1.0
            };
            self.mean_lost_value += RUN_TIME_GAIN * (lost - self.mean_lost_value);
        }
        // A try of a zone that brought no word is as good as overdue.
        let silent = matches!(
            end.outcome,
            Outcome::Unreachable | Outcome::ConnectionLost | Outcome::TimedOut
        );
        let attempted_workers = |z: &&mut Health| silent && sent.at >= z.ejected_until;
        if let Some(zone) = self
            .silent_zones
            .get_mut(&worker_state.endpoint.zone)
            .filter(attempted_workers)
        {
            zone.eject(now);
        }
        // The function's calls that stood there, at each of its homes alike, over the lanes of a copy: so
        // many homes does it need. A worker adds copies by itself too, but no cores to run them.
        let alike = end
            .function_concurrency
            .filter(|_| self.settings.loading.reports_concurrency)
            .map(|a| a.min(1_000));
        let told = alike.map(|a| (a, (f64::from(a) + 1.0 - sent.same).max(0.0)));
        let function_state = self
            .functions
            .get_mut(&sent.function)
            .filter(|_| relies_on_load_reports);
        if let Some(((_, others), function_state)) = told.zip(function_state) {
            let preferred_workers = function_state.preferred_workers.max(1.0);
            let wanted =
                others * preferred_workers / f64::from(function_state.replica_concurrency.max(1));
            function_state.preferred_workers = preferred_workers
                + PREFERRED_WORKERS_GAIN * (wanted.clamp(1.0, 64.0) - preferred_workers);
        }
        // An attempt of an earlier process tells nothing of the present one.
        let same_process = worker_state
            .endpoint
            .started_at
            .is_none_or(|t| t <= sent.at);
        let took = end.elapsed.min(MAX_DURATION) as f64;
        let ratio = (took / sent.run.max(1.0)).clamp(0.1, MAX_SAMPLE);
        match end.outcome {
            Outcome::Served if same_process => {
                let health = &mut worker_state.health[sent.class];
                health.bad = health.bad.saturating_sub(1);
                health.errors -= SLOWDOWN_GAIN * health.errors;
                (
                    worker_state.heard,
                    worker_state.consecutive_connect_failures,
                ) = (now, 0);
                worker_state.concurrency_limit += CONCURRENCY_INCREASE;
                worker_state.served.push_back((now, sent.class));
                let replicas = worker_state.replicas.entry(sent.function).or_default();
                replicas.ready = if replicas.confirmed {
                    replicas.ready
                } else {
                    now
                };
                (replicas.count, replicas.confirmed, replicas.used) =
                    (replicas.count.max(1), true, now);
                if let Some((alike, others)) = told {
                    // What others had there, beside our own; and copies enough for all of them at once.
                    replicas.others += SLOWDOWN_GAIN * (others - replicas.others);
                    let replica_concurrency = self
                        .functions
                        .get(&sent.function)
                        .map_or(1, |p| p.replica_concurrency.max(1));
                    if end.replica_status == Some(ReplicaStatus::Warm) {
                        replicas.count = replicas
                            .count
                            .max((alike + 1).div_ceil(replica_concurrency));
                    }
                }
                let expected = sent.run * worker_state.slowdown.max(0.1);
                let loaded = match end.replica_status {
                    Some(ReplicaStatus::Warm) => false,
                    Some(_) => true,
                    None => (sent.cold || sent.unconfirmed) && took > expected * MAX_SAMPLE,
                };
                if loaded {
                    if end.replica_status != Some(ReplicaStatus::LoadAwaited) {
                        self.record_load_time(sent.function, (took - expected).max(0.0));
                    }
                    return ran;
                }
                let ReportedLoad { at, held, .. } = worker_state.told;
                if held > 2.0 && held.is_finite() && at + REPORT_LIFETIME > sent.at {
                    let (mean, ratios) = &mut self.reported_queues;
                    *mean += RUN_TIME_GAIN * (held - *mean);
                    *ratios += RUN_TIME_GAIN * (ratio.max(1.0) - *ratios);
                }
                worker_state.record_slowdown(ratio, sent.concurrency);
                // Answers from an uncrowded worker, also as told, tell the run itself; the rest is its pace.
                let held = end.load_report.in_flight.unwrap_or(0.0);
                let gain =
                    RUN_TIME_GAIN * (2.0 / sent.concurrency.max(held / 2.0)).min(1.0).powi(2);
                // Where that is not told, a long answer is rather the queue of the others than a long run.
                let rise = if relies_on_load_reports && end.load_report.in_flight.is_none() {
                    UNREPORTED_RISE
                } else {
                    1.0
                };
                let learn = |mean: &mut f64| {
                    let sample = took.min(*mean * MAX_SAMPLE);
                    *mean += gain * (sample - *mean) * if sample > *mean { rise } else { 1.0 };
                };
                learn(self.class_run_times[sent.class].get_or_insert(took));
                if let Some(function_state) = self.functions.get_mut(&sent.function) {
                    learn(function_state.run.get_or_insert(sent.run));
                }
            }
            Outcome::Unreachable | Outcome::ConnectionLost if same_process => {
                // One broken connection is no dead process: where every worker resets a few, acting on it
                // would bring all down by itself.
                worker_state.consecutive_connect_failures += 1;
                if worker_state.consecutive_connect_failures >= MAX_CONSECUTIVE_FAILURES {
                    worker_state
                        .health
                        .iter_mut()
                        .filter(|h| now >= h.ejected_until)
                        .for_each(|h| h.eject(now));
                }
                if worker_state.consecutive_connect_failures > MAX_CONSECUTIVE_FAILURES {
                    worker_state.replicas.clear();
                }
            }
            // Withdrawn, it has taken so long at the least: else only the quick answers would teach.
            Outcome::Cancelled
                if same_process
                    && !sent.cold
                    && !sent.unconfirmed
                    && ratio > worker_state.slowdown =>
            {
                worker_state.record_slowdown(ratio, sent.concurrency);
                worker_state.heard = now;
            }
            // What failed to load does not stand: believed, it would draw the next call.
            Outcome::NotLoaded | Outcome::Error
                if same_process && (failed || end.outcome == Outcome::NotLoaded) =>
            {
                worker_state.replicas.remove(&sent.function);
            }
            Outcome::Error if same_process => self.record_error(&end.worker, &sent),
            Outcome::Rejected if same_process => {
                worker_state.concurrency_limit = (sent.concurrency * CONCURRENCY_DECREASE).max(1.0);
                worker_state.heard = now;
            }
            _ => {}
        }
        ran
    }

    /// Notes an error. A worker whose calls mostly fail answers fast, so it looks free and draws more: it is
    /// left alone, for as long as it is worse than the others: a broken disk, a bad release, a lost secret.
    /// What fails everywhere alike, a program or a client's nonsense, shuts nobody: of one function's errors
    /// in a row one counts. Harm: where a worker alone can run a function, its calls are refused.
    fn record_error(&mut self, worker: &WorkerId, sent: &Attempt) {
        let (now, class) = (self.now, sent.class);
        let live = |n: &&WorkerState| {
            n.endpoint.state == EndpointState::Ready && n.endpoint.worker != *worker
        };
        let others = || {
            self.workers
                .values()
                .filter(live)
                .map(|n| n.health[class].errors)
        };
        let usual = others().sum::<f64>() / others().count().max(1) as f64;
        let Some(health) = self.workers.get_mut(worker).map(|n| &mut n.health[class]) else {
            return;
        };
        if health.record_error.replace(sent.function) != Some(sent.function) || health.bad > 0 {
            health.errors += SLOWDOWN_GAIN * (1.0 - health.errors);
        }
        if health.errors > MAX_ERROR_RATE.max(usual * MAX_RELATIVE_ERROR_RATE)
            && now >= health.ejected_until
        {
            health.eject(now);
        }
    }

    /// Takes the reply to an order; calls that waited for it are placed again.
    fn ordered(&mut self, reply: &LoadFinished, actions: &mut Vec<Action>) {
        let (worker, function, took, count) = (
            &reply.worker,
            reply.function,
            reply.elapsed.min(MAX_DURATION),
            reply.replicas.min(64),
        );
        let run = self.expected_run_time(function, 0);
        if reply.outcome == Outcome::Error {
            self.record_load_outcome(true);
        }
        if let Some(replicas) = self
            .workers
            .get_mut(worker)
            .and_then(|n| n.replicas.get_mut(&function))
            && std::mem::take(&mut replicas.ordered)
        {
            if reply.outcome == Outcome::Served && count > 0 {
                (replicas.count, replicas.confirmed, replicas.placed) = (count, true, true);
                (replicas.ready, replicas.used) = (replicas.ready.min(self.now), self.now);
                if took as f64 > run {
                    self.record_load_time(function, took as f64);
                }
            } else if count == 0 && !replicas.confirmed {
                self.workers
                    .get_mut(worker)
                    .map(|n| n.replicas.remove(&function));
            }
        }
        for id in self.waiting(|o| o.awaits_load && o.call.function == function) {
            if let Some(open) = self
                .pending
                .get_mut(&id)
                .filter(|_| reply.outcome == Outcome::Served)
            {
                open.attempted_workers.pop();
            }
            self.route(id, actions);
        }
    }

    /// The requests of which this holds.
    fn waiting(&self, holds: impl Fn(&PendingRequest) -> bool) -> Vec<RequestId> {
        self.pending
            .iter()
            .filter(|(_, open)| holds(open))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Notes what a worker tells of its load, the worst where it keeps silent; calls that waited to hear it
    /// are placed.
    fn told(&mut self, worker: &WorkerId, load: Option<LoadReport>, actions: &mut Vec<Action>) {
        if let Some(worker_state) = self.workers.get_mut(worker) {
            let usual = match load.and_then(|l| l.in_flight).filter(|h| h.is_finite()) {
                Some(held) if worker_state.told.at > 0 => {
                    let age = self.now.saturating_sub(worker_state.told.at) as f64;
                    let before =
                        worker_state.told.usual * 0.5f64.powf(age / IN_FLIGHT_HALF_LIFE as f64);
                    before + IN_FLIGHT_GAIN * (held - before)
                }
                held => held.unwrap_or(worker_state.told.usual),
            };
            let load = load.unwrap_or(LoadReport {
                in_flight: Some(f64::INFINITY),
                ..LoadReport::default()
            });
            let (held, busy) = (
                load.in_flight.unwrap_or(0.0),
                load.cpu_utilization.unwrap_or(0.0),
            );
            worker_state.told = ReportedLoad {
                at: self.now,
                held,
                busy,
                usual,
            };
        }
        for id in self.waiting(|o| o.polled_worker.as_ref() == Some(worker)) {
            self.pending
                .entry(id)
                .and_modify(|o| o.polled_worker = None);
            self.route(id, actions);
        }
    }

    /// Whether this front end's own sends are too small a part of the queues to tell of them.
    fn relies_on_load_reports(&self) -> bool {
        self.settings.front_ends > MAX_FRONT_ENDS_WITHOUT_REPORTS
    }

    /// Whether asking first pays. Trying a worker tells the same, and a call turned away proves that nothing
    /// ran; so only a part of what own sends lose can be saved, the less the more is lost at the next worker
    /// too. In a large tier each call met a worker that was not heard of lately, so that all asked for every
    /// call, whatever it cost. Harm: where asking is dear a silent worker is found by calls alone.
    fn poll_is_worthwhile(&self) -> bool {
        self.settings.limits.load_polls
            && self.mean_lost_value * (1.0 - self.mean_lost_value) * POLL_SAVING
                >= self.settings.costs.load_poll
    }

    /// How far fresh word of a worker's load stretches a run there; an own answer since tells more.
    fn reported_slowdown(&self, worker_state: &WorkerState) -> f64 {
        let ReportedLoad { at, held, .. } = worker_state.told;
        if self.now > at + REPORT_LIFETIME
            || worker_state.heard >= at
            || !self.relies_on_load_reports()
        {
            return 1.0;
        }
        let at_once = (self.reported_queues.0 / self.reported_queues.1.max(0.1)).max(1.0);
        (held + 1.0) / at_once
    }

    // ---- replay and admission ----

    /// When the copies of a function stand at a worker: `None` where none is believed there.
    fn replica_ready_at(&self, worker_state: &WorkerState, function: FunctionId) -> Option<Time> {
        let replicas = worker_state
            .replicas
            .get(&function)
            .filter(|c| c.ready > 0)?;
        let busy = worker_state
            .in_flight
            .iter()
            .any(|s| s.function == function);
        if !busy && !replicas.ordered && self.now > replicas.used + self.settings.loading.keep_alive
        {
            return None;
        }
        if replicas.confirmed && replicas.ready <= self.now {
            return Some(self.now);
        }
        // Not seen yet. When the answer is overdue there is a load before it, and a slow one.
        let first = worker_state
            .in_flight
            .iter()
            .filter(|s| s.function == function)
            .map(|s| (s.at, s.predicted_finish))
            .min();
        Some(match first {
            Some((at, predicted_finish)) if predicted_finish < self.now => {
                let load = at + self.expected_load_time(function, 0) as Time;
                Some(load)
                    .filter(|t| *t > self.now)
                    .unwrap_or(self.now + (self.now - at) / 2)
            }
            _ => replicas.ready.max(self.now),
        })
    }

    /// Replays this front end's own sends at the worker, in arrival order, and the newcomer after them.
    fn replay(&self, worker_state: &WorkerState, call: &Request, presumed: bool) -> Prediction {
        let now = self.now;
        let replicas = worker_state.replicas.get(&call.function);
        let ready = self
            .replica_ready_at(worker_state, call.function)
            .or(presumed.then_some(now));
        let all = f64::from(call.replica_concurrency.max(1))
            * f64::from(replicas.map_or(1, |c| c.count.max(1)));
        // The other front ends follow the same order and fill their part of the lanes: as told, else alike.
        let replica_concurrency =
            match replicas.filter(|_| self.settings.loading.reports_concurrency) {
                Some(replicas) => all - replicas.others,
                None => all / f64::from(self.settings.front_ends),
            };
        let replica_concurrency = replica_concurrency.ceil().clamp(1.0, 64.0) as usize;
        let adds_replica = self.settings.loading.reports_concurrency
            && worker_state
                .in_flight
                .iter()
                .filter(|s| s.function == call.function)
                .count()
                >= replica_concurrency;
        let (before, slowdown) = (
            worker_state.stretch(now, worker_state.in_flight.len()),
            worker_state.stretch(now, worker_state.in_flight.len() + 1),
        );
        let run = self.expected_run_time(call.function, call.class) * slowdown;
        let begin = |ready: Time| -> (Time, bool) {
            let mut free = vec![ready; replica_concurrency];
            let mut command_load = true;
            for sent in &worker_state.in_flight {
                let (start, end) = if sent.function == call.function {
                    let lane = (0..replica_concurrency)
                        .min_by_key(|&i| free[i])
                        .unwrap_or(0);
                    let base = if free[lane] > now || sent.predicted_finish <= now {
                        free[lane]
                    } else {
                        sent.at
                    };
                    free[lane] = (base + (sent.run * slowdown) as Time).max(now);
                    (base, free[lane])
                } else {
                    (
                        sent.at,
                        if sent.cold {
                            sent.predicted_finish
                        } else {
                            sent.at + (sent.run * slowdown) as Time
                        },
                    )
                };
                // A deadline lost already binds no more, else one late call would shut the worker.
                let lost = sent.cold || start + (sent.run * before) as Time > sent.target_deadline;
                command_load &= end <= sent.target_deadline || lost;
            }
            (
                free.into_iter().min().unwrap_or(ready) + (run * RUN_TIME_MARGIN) as Time,
                command_load,
            )
        };
        let (warm_finish, others_meet_deadlines) = begin(now);
        let stands = ready
            .unwrap_or_else(|| now + self.expected_load_time(call.function, call.class) as Time);
        let finish = if stands <= now {
            warm_finish
        } else {
            begin(stands).0
        };
        Prediction {
            cold: ready.is_none(),
            adds_replica,
            others_meet_deadlines,
            warm_finish,
            finish,
        }
    }

    /// Loads that this front end believes under way, and whether one is of this function.
    fn loads_in_progress(&self, function: FunctionId) -> (usize, bool) {
        let (mut count, mut same) = (0, false);
        // What hangs at a worker that cannot be reached loads nothing: counted, it would bar those left.
        for worker_state in self
            .workers
            .values()
            .filter(|n| n.consecutive_connect_failures < MAX_CONSECUTIVE_FAILURES)
        {
            let slow = |s: &&Attempt| {
                s.cold || s.unconfirmed && self.now > s.at + (s.run * MAX_SAMPLE) as Time
            };
            // A load that nobody waits for may be left out: no other waits for it.
            let awaited = || worker_state.in_flight.iter().filter(|s| !s.cancelled);
            let waiting = awaited().filter(slow).map(|s| s.function);
            // However many wait beside taken lanes, a worker adds one copy at a time: counted each, a lost
            // zone's calls at those left barred them from loads that they had room and time for.
            let adding: BTreeSet<FunctionId> = worker_state
                .in_flight
                .iter()
                .filter(|s| s.adds_replica)
                .map(|s| s.function)
                .collect();
            count += adding.len();
            let ordered = worker_state
                .replicas
                .iter()
                .filter(|(_, c)| c.ordered)
                .map(|(f, _)| *f);
            let loading: BTreeSet<FunctionId> = waiting.chain(ordered).collect();
            count += loading.len();
            // Before an answer has shown a copy anywhere, a second load would be a guess on a guess.
            same |= loading.contains(&function)
                || awaited().any(|s| s.unconfirmed && s.function == function);
        }
        (count, same)
    }

    /// Whether a copy more should fit beside those believed there: in a shared order own beliefs tell most.
    fn has_memory_for(&self, worker_state: &WorkerState, function: FunctionId) -> bool {
        let memory = |f: &FunctionId| self.functions.get(f).map_or(0.0, |p| p.memory_mb);
        let stands = worker_state
            .replicas
            .iter()
            .filter(|(f, _)| self.replica_ready_at(worker_state, **f).is_some());
        let held: f64 = stands
            .map(|(f, c)| memory(f) * f64::from(c.count.max(1)))
            .sum();
        worker_state.endpoint.memory_mb <= 0.0
            || held + memory(&function) <= worker_state.endpoint.memory_mb * MAX_MEMORY_SHARE
    }

    /// Whether the request may have an attempt at this worker at all.
    fn allowed(&self, open: &PendingRequest, worker_state: &WorkerState) -> bool {
        let class = &self.settings.classes[open.call.class];
        let repeat_ok = match (&open.possible_execution, class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (_, Idempotency::NonIdempotent) => false,
            (Some((at, zone, cell)), Idempotency::WithKey) => {
                let in_group = match class.deduplication_scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => *zone == worker_state.endpoint.zone,
                    DeduplicationScope::Cell => *cell == worker_state.endpoint.cell,
                };
                in_group
                    && self.now + 4 * self.settings.tick.max(MILLISECOND)
                        < at + class.deduplication_window
            }
        };
        // A worker in trouble is left alone; once that time is over one send at a time tries it.
        let health = &worker_state.health[open.call.class];
        let idle = || {
            worker_state
                .in_flight
                .iter()
                .all(|s| s.class != open.call.class || s.at < health.ejected_until)
        };
        // So is a zone; the try may end in any way, then the next one may go.
        let near = || {
            self.workers
                .values()
                .filter(|n| n.endpoint.zone == worker_state.endpoint.zone)
                .flat_map(|n| &n.in_flight)
        };
        let free = |z: &Health| near().all(|s| s.cancelled || s.at < z.ejected_until);
        repeat_ok
            && self
                .silent_zones
                .get(&worker_state.endpoint.zone)
                .is_none_or(|z| self.now >= z.ejected_until && free(z))
            && (health.bad == 0 || self.now >= health.ejected_until && idle())
            && (worker_state.in_flight.len() as f64) < worker_state.concurrency_limit
            && self.has_slow_start_budget(worker_state)
    }

    /// Sends the request where the design says, or ends it.
    #[allow(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    fn route(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.get_mut(&id) else {
            return;
        };
        open.awaits_load = false;
        if open.attempt_in_flight || open.streaming || open.polled_worker.is_some() {
            return;
        }
        let open = &self.pending[&id];
        let class = &self.settings.classes[open.call.class];
        let (now, function) = (self.now, open.call.function);
        if open.attempts >= self.settings.limits.max_attempts
            || now + 2 * self.settings.tick >= open.deadline
        {
            return self.end(id, actions);
        }
        // After the aim only late worth is left; where there is none, more work would be waste.
        let target_deadline = if now < open.latency_objective {
            open.latency_objective
        } else {
            open.deadline
        };
        if target_deadline == open.deadline
            && open.latency_objective < now
            && class.late_answer_weight <= 0.0
        {
            return self.end(id, actions);
        }
        let order = self.order(function);
        let located = order
            .iter()
            .any(|w| self.replica_ready_at(&self.workers[w], function).is_some());
        // A slow store must not be asked for more: loads are bounded, and one of this function is awaited.
        let (loads, loading) = self.loads_in_progress(function);
        // The most: some for each of its part of the workers; the fewer, the slower the store is.
        let store_open = now >= self.store_health.ejected_until;
        let most = (MAX_LOADS_PER_WORKER * order.len())
            .div_ceil(self.settings.front_ends as usize)
            .max(2);
        let may_add = store_open && loads as f64 * self.load_slowdown_now().max(1.0) < most as f64;
        let may_load = may_add && !loading;
        let (relies_on_load_reports, run) = (
            self.relies_on_load_reports(),
            self.expected_run_time(function, open.call.class) * RUN_TIME_MARGIN,
        );
        let mut presume = !located && open.attempts == 0;
        let (mut choice, mut late, mut want, mut soft, mut ask) = (None, None, None, None, None);
        for worker in order.iter().filter(|w| !open.attempted_workers.contains(w)) {
            let worker_state = &self.workers[worker];
            if !self.allowed(open, worker_state) {
                // Presumed at its home alone. Where that is lost it stands nowhere: presumed at the next one,
                // each of the lost worker's functions would begin a load there past the bound on loads.
                presume = false;
                continue;
            }
            // Found nowhere, it is presumed at its home: who knows nothing must neither refuse nor spread.
            let seen = self.replay(worker_state, &open.call, presume);
            presume = false;
            let crowded =
                run * self.reported_slowdown(worker_state) > (target_deadline - now) as f64;
            if !seen.others_meet_deadlines || seen.warm_finish > target_deadline || crowded {
                continue;
            }
            if relies_on_load_reports
                && now < worker_state.told.at + REPORT_LIFETIME
                && worker_state.told.busy > MAX_CPU_UTILIZATION
            {
                soft =
                    soft.or_else(|| (!seen.cold).then(|| (worker.clone(), seen, target_deadline)));
                continue;
            }
            let unheard = relies_on_load_reports
                && now > REPORT_LIFETIME + worker_state.told.at.max(worker_state.heard);
            if unheard && self.poll_is_worthwhile() && open.load_polls < MAX_POLLS_PER_REQUEST {
                ask = Some(worker.clone());
                break;
            }
            if seen.finish <= target_deadline
                && (!seen.cold || may_load)
                && (!seen.adds_replica || may_add)
            {
                choice = Some((worker.clone(), seen, target_deadline));
                break;
            }
            // Only a load stands in the way.
            if seen.cold && want.is_none() {
                want = Some((worker.clone(), seen));
            }
            if late.is_some() || class.late_answer_weight <= 0.0 || seen.finish > open.deadline {
                continue;
            }
            let waiting = worker_state
                .in_flight
                .iter()
                .filter(|s| s.target_deadline > s.latency_objective)
                .count();
            // A function that stands elsewhere is loaded here only where that should evict nothing.
            let worthwhile =
                || may_load && (!located || self.has_memory_for(worker_state, function));
            if waiting < MAX_LATE_REQUESTS
                && (!seen.cold || worthwhile())
                && (!seen.adds_replica || may_add)
            {
                late = Some((worker.clone(), seen, open.deadline));
            }
        }
        if let Some(worker) = ask {
            actions.push(Action::PollLoad {
                worker: worker.clone(),
            });
            actions.push(Action::SetTimer {
                after: POLL_TIMEOUT,
                token: id.0 | POLL_TIMEOUT_TOKEN,
            });
            self.pending
                .entry(id)
                .and_modify(|o| (o.polled_worker, o.load_polls) = (Some(worker), o.load_polls + 1));
            return;
        }
        if let Some((worker, seen)) = &want {
            // A load longer than clients wait is begun by no call: only an order spreads such a function.
            let spread = choice.is_some() || seen.finish > self.pending[&id].deadline;
            self.record_placement_miss(worker, id, spread, actions);
        }
        let mut choice = choice.or(late);
        // The others follow the same order: what moved on here did there, and has likely loaded it. A wrong
        // guess must still be served: a call with little time goes where a copy stands, or not at all.
        if let Some((worker, seen)) =
            want.filter(|_| choice.is_none() && self.speculation_tokens >= 1.0 && store_open)
        {
            let target_deadline = self.pending[&id].deadline;
            if self.settings.loading.loads_on_request && seen.finish <= target_deadline {
                self.speculation_tokens -= 1.0;
                let seen = Prediction {
                    cold: false,
                    finish: seen.warm_finish,
                    ..seen
                };
                choice = Some((worker, seen, target_deadline));
            }
        }
        match choice.or(soft) {
            Some((worker, seen, _)) if seen.cold && !self.settings.loading.loads_on_request => {
                // Only an order brings the function in: the call waits here, unsent, for its reply.
                if !self.command_load(&worker, function, actions) {
                    return self.end(id, actions);
                }
                if let Some(open) = self.pending.get_mut(&id) {
                    open.awaits_load = true;
                    open.attempted_workers.push(worker);
                }
            }
            Some(chosen) => self.send(id, chosen, actions),
            None => self.end(id, actions),
        }
    }

    fn accept(&mut self, mut call: Request, actions: &mut Vec<Action>) {
        let now = self.now;
        call.class = call.class.min(self.settings.classes.len() - 1);
        let class = &self.settings.classes[call.class];
        let stretch = call.expected_work.unwrap_or(0).min(MAX_DURATION) as f64
            * class.objective_per_work.clamp(0.0, 1e3);
        let budget = call
            .timeout
            .unwrap_or(class.client_timeout)
            .min(MAX_DURATION);
        let deadline = now + budget;
        let latency_objective = (now + class.latency_objective + stretch as Time).min(deadline);
        self.arrivals.push_back(now);
        if self.relies_on_load_reports() {
            self.speculation_tokens = (self.speculation_tokens + SPECULATION_TOKENS_PER_REQUEST)
                .min(MAX_SPECULATION_TOKENS);
        }
        let function_state = self.functions.entry(call.function).or_default();
        (
            function_state.replica_concurrency,
            function_state.memory_mb,
            function_state.last_requested_at,
        ) = (call.replica_concurrency, call.memory_mb.max(0.0), now);
        function_state.declared_load_time = call
            .load_time
            .filter(|t| *t > 0)
            .map(|t| t.min(MAX_DURATION))
            .or(function_state.declared_load_time);
        // Two ticks early: the answer must be out before the client's time is up.
        let (id, after) = (call.id, budget.saturating_sub(2 * self.settings.tick));
        actions.push(Action::SetTimer { after, token: id.0 });
        self.pending.insert(
            id,
            PendingRequest {
                call,
                latency_objective,
                deadline,
                ..PendingRequest::default()
            },
        );
        self.route(id, actions);
    }

    /// Sends to a worker, with what was foreseen there and the deadline that the send is held to.
    fn send(
        &mut self,
        id: RequestId,
        chosen: (WorkerId, Prediction, Time),
        actions: &mut Vec<Action>,
    ) {
        let (now, (worker, seen, target_deadline)) = (self.now, chosen);
        let Some((function, class)) = self
            .pending
            .get(&id)
            .map(|o| (o.call.function, o.call.class))
        else {
            return;
        };
        let run = self.expected_run_time(function, class);
        let (Some(worker_state), Some(open)) =
            (self.workers.get_mut(&worker), self.pending.get_mut(&id))
        else {
            return;
        };
        let concurrency = worker_state.in_flight.len() as f64 + 1.0;
        worker_state.in_flight.push(Attempt {
            request: id,
            attempt: open.attempts,
            function,
            class,
            at: now,
            predicted_finish: seen.finish,
            target_deadline,
            run,
            cold: seen.cold || seen.finish > seen.warm_finish,
            adds_replica: seen.adds_replica,
            same: worker_state
                .in_flight
                .iter()
                .filter(|s| s.function == function)
                .count() as f64
                + 1.0,
            unconfirmed: worker_state
                .replicas
                .get(&function)
                .is_none_or(|c| !c.confirmed),
            latency_objective: open.latency_objective,
            concurrency,
            cancelled: false,
        });
        worker_state.sends.push_back(now);
        let replicas = worker_state.replicas.entry(function).or_default();
        if replicas.ready == 0 || seen.cold {
            *replicas = Replicas {
                count: 1,
                ready: now,
                placed: replicas.placed,
                ..Replicas::default()
            };
            if seen.cold {
                replicas.ready = seen.finish.saturating_sub((run * RUN_TIME_MARGIN) as Time);
            }
        }
        replicas.used = now;
        replicas.admitted_run_time += run;
        open.attempts += 1;
        open.attempt_in_flight = true;
        open.attempted_workers.push(worker.clone());
        actions.push(Action::Forward {
            request: id,
            worker,
            timeout: None,
        });
    }

    fn outcome(
        &mut self,
        end: &AttemptFinished,
        ran: Option<(Time, String, u64)>,
        actions: &mut Vec<Action>,
    ) {
        if end.settled {
            self.pending.remove(&end.request);
            return;
        }
        let Some(open) = self.pending.get_mut(&end.request) else {
            return;
        };
        open.attempt_in_flight = false;
        if end.outcome == Outcome::NotLoaded {
            // The worker is sound, only the copy is not there: an order may still bring it.
            open.attempted_workers.pop();
        }
        if !end.outcome.never_ran() && open.possible_execution.is_none() {
            // Where the send is not known any more, the window counts as over.
            open.possible_execution = Some(ran.unwrap_or_default());
        }
        self.route(end.request, actions);
    }

    /// Gives the final answer: a refusal where a further try is harmless, else a failure.
    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.remove(&id) else {
            return;
        };
        self.cancel_attempt(id, &open, actions);
        let class = &self.settings.classes[open.call.class];
        let any = class.idempotency == Idempotency::Idempotent
            || class.idempotency == Idempotency::WithKey
                && class.deduplication_scope == DeduplicationScope::All;
        let harmless = any || open.possible_execution.is_none() && !open.attempt_in_flight;
        if harmless {
            let may = |t: &Time| self.settings.limits.retry_after && *t > 0;
            let retry_after = Some(self.settings.limits.max_retry_after).filter(may);
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { request: id });
        }
    }

    /// Withdraws an attempt that nobody waits for, however the wait ended: clients that leave and ask again
    /// at once would else have the work done twice and more, and the full queues then outlast the cause. In a
    /// small tier the own queue shows it; in a large one nothing does. It may harm where withdrawn work goes
    /// on: that is replayed to its foreseen end, and what it took teaches, but its true end is never heard.
    fn cancel_attempt(&self, id: RequestId, open: &PendingRequest, actions: &mut Vec<Action>) {
        if self.settings.limits.cancel && open.attempt_in_flight && !open.streaming {
            actions.push(Action::Cancel {
                request: id,
                attempt: open.attempts - 1,
            });
        }
    }

    fn run_maintenance(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        actions.push(Action::SetTimer {
            after: MAINTENANCE_PERIOD,
            token: MAINTENANCE_TOKEN,
        });
        // No outcome is a symptom too, counted a class: a fault behind the workers may swallow the calls of
        // one though others are answered; slow loads may look alike.
        let mut recalled = Vec::new();
        for worker_state in self.workers.values_mut() {
            let keep =
                RATE_WINDOW.max(self.settings.slow_start.overload_window) + MAINTENANCE_PERIOD;
            worker_state.sends.retain(|t| t + keep >= now);
            worker_state
                .in_flight
                .retain(|s| !s.cancelled || s.predicted_finish > now);
            worker_state.served.retain(|(t, _)| t + keep >= now);
            for class in 0..worker_state.health.len() {
                let overdue = |s: &&Attempt| s.class == class && s.overdue(now);
                let count = worker_state.in_flight.iter().filter(overdue).count();
                let since = worker_state
                    .in_flight
                    .iter()
                    .filter(overdue)
                    .map(|s| s.at)
                    .min()
                    .unwrap_or(now);
                let answers = worker_state
                    .served
                    .iter()
                    .filter(|(t, c)| *c == class && *t > since)
                    .count();
                let health = &mut worker_state.health[class];
                let needed = if health.bad > 0 {
                    1
                } else {
                    MIN_OVERDUE_ATTEMPTS
                };
                if now >= health.ejected_until && count >= needed && count > answers {
                    health.eject(now);
                    let out = worker_state
                        .in_flight
                        .iter()
                        .filter(|s| s.class == class && !s.cancelled);
                    recalled.extend(out.map(|s| (s.request, s.attempt)));
                }
            }
        }
        if self.relies_on_load_reports() {
            self.detect_silent_zones(&mut recalled);
        }
        for (id, attempt) in recalled {
            let Some(open) = self.pending.get(&id) else {
                continue;
            };
            let (limits, effect) = (
                &self.settings.limits,
                self.settings.classes[open.call.class].idempotency,
            );
            if limits.cancel
                && effect != Idempotency::NonIdempotent
                && open.attempts < limits.max_attempts
            {
                actions.push(Action::Cancel {
                    request: id,
                    attempt,
                });
            }
        }
        self.workers
            .retain(|_, n| n.endpoint.state != EndpointState::Removed || !n.in_flight.is_empty());
        self.update_warm_rate();
        let window = self
            .settings
            .loading
            .rate_limit
            .as_ref()
            .map_or(0, |r| r.window)
            .max(RATE_WINDOW)
            + MAINTENANCE_PERIOD;
        self.load_commands.retain(|t| t + window >= now);
        self.arrivals.retain(|t| t + window >= now);
        if now >= self.next_rebalancing_at {
            self.next_rebalancing_at = now + self.rebalancing_interval();
            self.rebalance_replicas(actions);
        }
    }

    /// Leaves a zone alone from which nothing came since sends went there that are overdue now, several of
    /// them; what is out there is sent elsewhere as with a silent worker, and one send at a time finds the
    /// way back. In a large tier no worker gets enough sends to be told silent by itself before the outage
    /// is over. Harm: a zone in which just the few workers that this front end met are silent is left too.
    fn detect_silent_zones(&mut self, recalled: &mut Vec<(RequestId, u32)>) {
        let now = self.now;
        let mut heard: BTreeMap<&str, Time> = BTreeMap::new();
        for worker_state in self.workers.values() {
            let last = heard.entry(&worker_state.endpoint.zone).or_default();
            *last = (*last).max(worker_state.heard);
        }
        let all = heard.len();
        self.silent_zones.retain(|zone, z| {
            all > 1
                && heard
                    .get(zone.as_str())
                    .is_some_and(|last| *last <= z.since)
        });
        for (zone, last) in heard {
            let eject = self.silent_zones.get(zone);
            // Where all say nothing it is not the zone, and all that there is cannot be left alone.
            if self.silent_zones.len() - usize::from(eject.is_some()) + 1 >= all {
                continue;
            }
            let out = || {
                self.workers
                    .values()
                    .filter(|n| n.endpoint.zone == zone)
                    .flat_map(|n| &n.in_flight)
            };
            // What was out when it was shut is no news of it since.
            let since = last.max(eject.map_or(0, |z| z.since));
            let overdue = out().filter(|s| s.at > since && s.overdue(now)).count();
            let needed = if eject.is_some() {
                1
            } else {
                MIN_OVERDUE_ATTEMPTS
            };
            if overdue >= needed && eject.is_none_or(|z| now >= z.ejected_until) {
                recalled.extend(
                    out()
                        .filter(|s| !s.cancelled)
                        .map(|s| (s.request, s.attempt)),
                );
                self.silent_zones
                    .entry(zone.to_string())
                    .or_default()
                    .eject(now);
            }
        }
    }

    fn rebalancing_interval(&self) -> Time {
        self.settings
            .loading
            .keep_alive
            .clamp(1_000 * MILLISECOND, MAX_INTERVAL)
    }

    /// Notes run time that moved on because no copy stood at the worker. After such misses one hold loads the
    /// function here: one at a time, as a slow store must not be asked again for what it has not brought yet.
    fn record_placement_miss(
        &mut self,
        worker: &WorkerId,
        id: RequestId,
        spread: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.pending.get(&id) else {
            return;
        };
        let (function, class, latency_objective) =
            (open.call.function, open.call.class, open.latency_objective);
        let run = self.expected_run_time(function, class);
        let Some(worker_state) = self.workers.get_mut(worker) else {
            return;
        };
        let replicas = worker_state.replicas.entry(function).or_default();
        let min_slack = (latency_objective.saturating_sub(self.now) as f64 - run).max(0.0);
        replicas.min_slack = if replicas.placement_misses == 0 {
            min_slack
        } else {
            replicas.min_slack.min(min_slack)
        };
        replicas.placement_misses += 1;
        replicas.missed_run_time += run;
        let enough = spread && replicas.placement_misses >= MISSES_TO_SPREAD;
        let loading = |n: &WorkerState| n.replicas.get(&function).is_some_and(|c| c.ordered);
        if enough
            && self.has_memory_for(&self.workers[worker], function)
            && !self.workers.values().any(loading)
        {
            self.command_load(worker, function, actions);
        }
    }

    /// One round of the hybrid policy.
    fn rebalance_replicas(&mut self, actions: &mut Vec<Action>) {
        let mut placed: Vec<(f64, WorkerId, FunctionId)> = Vec::new();
        let mut wanted: Vec<(f64, f64, WorkerId, FunctionId)> = Vec::new();
        for (worker, worker_state) in self.workers.iter_mut() {
            for (function, replicas) in &mut worker_state.replicas {
                let stands = replicas.confirmed
                    && self.now <= replicas.used + self.settings.loading.keep_alive;
                if replicas.placed && stands {
                    placed.push((replicas.admitted_run_time, worker.clone(), *function));
                } else if replicas.missed_run_time > 0.0 {
                    wanted.push((
                        replicas.min_slack,
                        replicas.missed_run_time,
                        worker.clone(),
                        *function,
                    ));
                }
                (
                    replicas.admitted_run_time,
                    replicas.missed_run_time,
                    replicas.placement_misses,
                ) = (0.0, 0.0, 0);
                // Further copies go first when idle: what is not seen again is not believed for long.
                replicas.count = replicas.count.saturating_sub(1).max(1);
            }
        }
        placed.sort_by(|a, b| {
            a.0.total_cmp(&b.0)
                .then_with(|| (&a.1, a.2).cmp(&(&b.1, b.2)))
        });
        wanted.sort_by(|a, b| {
            a.0.total_cmp(&b.0)
                .then_with(|| (&a.2, a.3).cmp(&(&b.2, b.3)))
        });
        self.rebalancing_allowance =
            (self.rebalancing_allowance + placed.len() as f64 * MAX_REPLACED_SHARE).min(2.0);
        let mut placed = placed.into_iter();
        for (_, record_placement_miss, worker, function) in wanted {
            if self.rebalancing_allowance < 1.0 {
                break;
            }
            let Some((used, old_worker, old)) = placed.next() else {
                break;
            };
            if record_placement_miss <= used || !self.command_load(&worker, function, actions) {
                break;
            }
            self.rebalancing_allowance -= 1.0;
            if let Some(worker_state) = self.workers.get_mut(&old_worker) {
                worker_state.replicas.remove(&old);
                if worker_state.endpoint.state == EndpointState::Ready {
                    actions.push(Action::EvictFunction {
                        worker: old_worker,
                        function: old,
                    });
                }
            }
        }
        let (now, keep) = (self.now, self.settings.loading.keep_alive);
        for worker_state in self.workers.values_mut() {
            let busy: BTreeSet<FunctionId> =
                worker_state.in_flight.iter().map(|s| s.function).collect();
            worker_state.replicas.retain(|f, c| {
                busy.contains(f) || c.ordered || c.used + 2 * keep > now && c.ready > 0
            });
        }
        let forget = FORGET_AFTER_INTERVALS * self.rebalancing_interval();
        self.functions
            .retain(|_, p| p.last_requested_at + forget > now);
    }

    // ---- rule guards ----

    /// The only place that orders loads: drained and gone workers get none, and the ration holds.
    fn command_load(
        &mut self,
        worker: &WorkerId,
        function: FunctionId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let now = self.now;
        if !self.settings.loading.load_commands
            || !self.functions.contains_key(&function)
            || now < self.store_health.ejected_until
        {
            return false;
        }
        if let Some(ration) = &self.settings.loading.rate_limit {
            let slack = 2 * self.settings.tick;
            let orders = self
                .load_commands
                .iter()
                .filter(|t| **t + ration.window + slack >= now)
                .count();
            let taken = self
                .arrivals
                .iter()
                .filter(|t| **t + ration.window > now + slack)
                .count();
            if orders as f64 + 1.0 > ration.burst + ration.per_request * taken as f64 {
                return false;
            }
        }
        let live = self
            .workers
            .get_mut(worker)
            .filter(|n| n.endpoint.state == EndpointState::Ready);
        let replicas = live.map(|n| n.replicas.entry(function).or_default());
        let Some(replicas) = replicas.filter(|c| !c.ordered) else {
            return false;
        };
        replicas.ordered = true;
        if !replicas.confirmed {
            replicas.ready = Time::MAX >> 1;
        }
        replicas.used = now;
        self.load_commands.push_back(now);
        actions.push(Action::LoadFunction {
            worker: worker.clone(),
            function,
            replicas: 1,
        });
        true
    }

    /// Whether a worker that has just started can take a send. Its capacity is told nowhere: it is judged by
    /// what warm workers serve this front end, less at a smaller one; sends turned away would swell it.
    /// Where the part is under one send a span, one each would add up over a large tier: then each slot is
    /// drawn anew. A right to send must not be saved up: when all turn to a worker that stood idle, all would
    /// use theirs at once. It hurts where few want the worker: it is used too little.
    fn has_slow_start_budget(&self, worker_state: &WorkerState) -> bool {
        let (rules, now) = (&self.settings.slow_start, self.now);
        let Some(started) = worker_state
            .endpoint
            .started_at
            .filter(|t| now < t + rules.window)
        else {
            return true;
        };
        if rules.overload_window == 0 || rules.overload_factor <= 0.0 {
            return true;
        }
        let age = now.saturating_sub(started) as f64 / rules.window.max(1) as f64;
        let part = rules.initial_weight + (1.0 - rules.initial_weight) * age;
        let rate = rules.overload_factor
            * part
            * self.warm_rate
            * self.relative_weight(worker_state).min(1.0);
        let budget = BUDGET_SAFETY * rate * rules.overload_window as f64;
        if budget >= 1.0 {
            let sent = worker_state
                .sends
                .iter()
                .filter(|t| **t + rules.overload_window > now)
                .count();
            return sent as f64 + 1.0 <= budget;
        }
        let slot = (rules.overload_window / DRAWS_PER_WINDOW).max(1);
        let draw = draw(self.seed ^ worker_state.hash ^ mix(started ^ (now / slot)));
        worker_state
            .sends
            .back()
            .is_none_or(|t| *t < now - now % slot)
            && draw < DRAWN_BUDGET_SAFETY * rate * slot as f64
    }

    /// A worker's size as a multiple of the mean of the live ones that tell theirs; 1 where it is not told.
    fn relative_weight(&self, worker_state: &WorkerState) -> f64 {
        let units =
            |n: &WorkerState| (n.endpoint.weight.clamp(0.0, 1e6) * (1u64 << 30) as f64) as u64;
        let live = self
            .workers
            .values()
            .filter(|n| n.endpoint.state == EndpointState::Ready);
        let told: Vec<u64> = live.map(units).filter(|size| *size > 0).collect();
        let sum: u128 = told.iter().copied().map(u128::from).sum();
        if units(worker_state) == 0 || sum == 0 {
            return 1.0;
        }
        units(worker_state) as f64 * told.len() as f64 / sum as f64
    }

    /// What a warm worker serves this front end, in calls for each unit of time; the last figure where none
    /// is warm. The least is a quarter of the own part of the calls, or of what was usually served if less.
    fn update_warm_rate(&mut self) {
        let (now, ramp) = (self.now, self.settings.slow_start.window);
        let live = || {
            self.workers
                .values()
                .filter(|n| n.endpoint.state == EndpointState::Ready)
        };
        let warm = live().filter(|n| n.endpoint.started_at.is_none_or(|t| now >= t + ramp));
        let within = |n: &WorkerState| {
            n.served
                .iter()
                .filter(|(t, _)| t + RATE_WINDOW > now)
                .count()
        };
        let mean =
            |total: usize, count: usize| total as f64 / count.max(1) as f64 / RATE_WINDOW as f64;
        let came = self
            .arrivals
            .iter()
            .filter(|t| **t + RATE_WINDOW > now)
            .count();
        let served: Vec<usize> = warm.map(within).collect();
        let rate = if served.is_empty() {
            self.warm_rate
        } else {
            mean(served.iter().sum(), served.len())
        };
        if !served.is_empty() {
            self.mean_warm_rate.add(rate);
        }
        self.warm_rate =
            rate.max(self.mean_warm_rate.cap(mean(came, live().count())) * MIN_RATE_SHARE);
    }
}
