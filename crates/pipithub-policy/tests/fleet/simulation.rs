//! Front ends with the decision module, workers and clients in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{
    Action, AttemptFinished, Endpoint, EndpointState, EndpointUpdate, Event, FunctionId,
    Idempotency, LoadReport, Outcome, Request, RequestId, Settings, Time, WorkerId,
};

use crate::common::{MS, endpoint, settings};
use crate::worker::{CORES, LOAD_TIME, RUN_TIME, Reception, SimulatedWorker, WorkerCall};

const START: Time = 1_000_000 * MS;
/// The time of one way between a front end and a worker.
const LINK_DELAY: Time = MS;
/// How long the simulation goes on after the last call, for the answers.
const DRAIN_TIME: Time = 8_000 * MS;
/// A call counts as served in time up to this age.
const LATENCY_OBJECTIVE: Time = 1_000 * MS;
/// The longest time until a front end is notified of a new worker, in milliseconds.
const MAX_UPDATE_DELAY_MS: f64 = 1_000.0;

/// A linear congruential generator: equal seeds give equal numbers.
struct Random(u64);

impl Random {
    /// The next number, from 0 up to 1.
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The parameters of a simulation.
#[derive(Clone, Copy)]
pub(super) struct Scenario {
    pub(super) front_ends: usize,
    pub(super) workers: usize,
    /// The rate of calls, as a share of what all cores can run.
    pub(super) utilization: f64,
    /// For how long clients send calls.
    pub(super) seconds: u64,
    /// Whether answers report how many calls the worker has in flight.
    pub(super) load_reports: bool,
    /// The number of workers that are replaced by new ones, one every 0.3 s from 4 s on. If there are any, one front
    /// end in five restarts meanwhile.
    pub(super) replaced_workers: usize,
}

/// Counts over all front ends.
#[derive(Debug, Default)]
pub(super) struct Totals {
    pub(super) calls: u32,
    pub(super) load_polls: u32,
    /// Calls that were served within the latency objective.
    pub(super) in_time: u32,
    /// Loads that workers started.
    pub(super) loads: u32,
    /// Attempts that workers at capacity rejected.
    pub(super) rejected: u32,
}

/// A worker that started during the scenario.
pub(super) struct WorkerStart {
    pub(super) started_at: Time,
    /// When attempts arrived at it.
    pub(super) attempts: Vec<Time>,
}

/// The results of a scenario.
pub(super) struct Outcomes {
    pub(super) totals: Totals,
    /// Workers that started during the scenario, by number.
    pub(super) worker_starts: BTreeMap<usize, WorkerStart>,
}

enum SimulationEvent {
    Call {
        front_end: usize,
    },
    Timer {
        front_end: usize,
        token: u64,
    },
    AttemptArrives {
        front_end: usize,
        worker: usize,
        request: RequestId,
        attempt: u32,
        function: u64,
    },
    CallDone {
        worker: usize,
        function: u64,
    },
    LoadDone {
        worker: usize,
        function: u64,
    },
    Answer {
        front_end: usize,
        finished: AttemptFinished,
    },
    LoadPolled {
        front_end: usize,
        worker: usize,
    },
    /// A worker is removed, and a new one takes its place.
    WorkerReplaced {
        old: usize,
    },
    /// A front end is notified that a worker was replaced.
    EndpointUpdate {
        front_end: usize,
        old: usize,
        new: usize,
        started_at: Time,
    },
    /// A front end restarts and knows only the endpoint list.
    FrontEndRestarted {
        front_end: usize,
    },
}

/// A call of a client.
struct ClientCall {
    arrived_at: Time,
    function: u64,
    attempts: u32,
}

pub(super) struct Simulation {
    front_ends: Vec<FrontEnd>,
    workers: Vec<SimulatedWorker>,
    due: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, SimulationEvent>,
    next_event: u64,
    now: Time,
    random: Random,
    totals: Totals,
    calls: BTreeMap<RequestId, ClientCall>,
    load_reports: bool,
    settings: Settings,
    endpoints: BTreeMap<usize, Endpoint>,
    worker_starts: BTreeMap<usize, WorkerStart>,
}

fn worker_name(worker: usize) -> String {
    format!("w{worker}")
}

fn worker_number(worker: &WorkerId) -> usize {
    worker.0[1..]
        .parse()
        .expect("a worker id ends with a number")
}

impl Simulation {
    /// Runs a scenario with settings changed by `change`.
    pub(super) fn run(scenario: Scenario, change: impl Fn(&mut Settings)) -> Outcomes {
        let mut simulation = Simulation::new(scenario, change);
        simulation.schedule_rollout(scenario);
        let last_call = simulation.schedule_calls(scenario);
        let end = last_call + DRAIN_TIME;
        while let Some(Reverse((at, number))) = simulation.due.pop().filter(|d| d.0.0 <= end) {
            simulation.now = at;
            let event = simulation
                .events
                .remove(&number)
                .expect("an event that is due is scheduled");
            simulation.dispatch(event);
        }
        Outcomes {
            totals: simulation.totals,
            worker_starts: simulation.worker_starts,
        }
    }

    fn new(scenario: Scenario, change: impl Fn(&mut Settings)) -> Simulation {
        let mut settings = settings(Idempotency::Idempotent);
        settings.front_ends = scenario.front_ends as u32;
        settings.limits.load_polls = true;
        settings.loading.reports_concurrency = true;
        settings.slow_start.window = 0;
        change(&mut settings);
        let mut simulation = Simulation {
            front_ends: (0..scenario.front_ends)
                .map(|i| FrontEnd::new(settings.clone(), 77 + i as u64))
                .collect(),
            workers: (0..scenario.workers)
                .map(|_| SimulatedWorker::default())
                .collect(),
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            now: START,
            random: Random(5),
            totals: Totals::default(),
            calls: BTreeMap::new(),
            load_reports: scenario.load_reports,
            settings,
            endpoints: (0..scenario.workers)
                .map(|worker| (worker, endpoint(&worker_name(worker))))
                .collect(),
            worker_starts: BTreeMap::new(),
        };
        for front_end in 0..scenario.front_ends {
            simulation.send_cached_endpoints(front_end);
        }
        simulation
    }

    /// Schedules the replacement of workers, and the restarts of front ends meanwhile.
    fn schedule_rollout(&mut self, scenario: Scenario) {
        if scenario.replaced_workers == 0 {
            return;
        }
        for old in 0..scenario.replaced_workers {
            let at = START + (4_000 + 300 * old as u64) * MS;
            self.schedule(at, SimulationEvent::WorkerReplaced { old });
        }
        for front_end in (0..scenario.front_ends).step_by(5) {
            let at = START + (4_500 + 37 * front_end as u64) * MS;
            self.schedule(at, SimulationEvent::FrontEndRestarted { front_end });
        }
    }

    /// Schedules all calls of clients, and returns the time of the last one.
    fn schedule_calls(&mut self, scenario: Scenario) -> Time {
        let cores = (scenario.workers * CORES) as f64;
        let mean_gap = RUN_TIME as f64 / (scenario.utilization * cores);
        let end = (START + scenario.seconds * 1_000 * MS) as f64;
        let mut at = START as f64;
        while at < end {
            at -= mean_gap * (1.0 - self.random.next()).ln();
            let front_end = (self.random.next() * scenario.front_ends as f64) as usize;
            self.schedule(at as Time, SimulationEvent::Call { front_end });
        }
        at as Time
    }

    fn schedule(&mut self, at: Time, event: SimulationEvent) {
        let number = self.next_event;
        self.next_event += 1;
        self.due.push(Reverse((at, number)));
        self.events.insert(number, event);
    }

    fn dispatch(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Call { front_end } => self.client_call(front_end),
            SimulationEvent::Timer { front_end, token } => {
                self.handle(front_end, Event::Timer { token });
            }
            SimulationEvent::AttemptArrives {
                front_end,
                worker,
                request,
                attempt,
                function,
            } => {
                let call = WorkerCall {
                    front_end,
                    request,
                    attempt,
                    function,
                    received_at: self.now,
                    function_concurrency: self.workers[worker].concurrency_of(function),
                };
                self.attempt_arrives(worker, call);
            }
            SimulationEvent::CallDone { worker, function } => {
                let call = self.workers[worker].finish_call(function);
                self.answer(worker, &call, Outcome::Served);
                self.start_waiting(worker);
            }
            SimulationEvent::LoadDone { worker, function } => {
                self.workers[worker].finish_load(self.now, function);
                self.start_waiting(worker);
            }
            SimulationEvent::Answer {
                front_end,
                finished,
            } => self.answer_arrives(front_end, finished),
            SimulationEvent::LoadPolled { front_end, worker } => {
                self.load_polled(front_end, worker);
            }
            SimulationEvent::WorkerReplaced { old } => self.replace_worker(old),
            SimulationEvent::EndpointUpdate {
                front_end,
                old,
                new,
                started_at,
            } => self.update_endpoints(front_end, old, new, started_at),
            SimulationEvent::FrontEndRestarted { front_end } => self.restart_front_end(front_end),
        }
    }

    fn client_call(&mut self, front_end: usize) {
        // A few functions are called often, many only now and then.
        let function = (60.0f64.powf(self.random.next()) - 1.0) as u64;
        let id = u64::from(self.totals.calls);
        self.totals.calls += 1;
        let call = ClientCall {
            arrived_at: self.now,
            function,
            attempts: 0,
        };
        self.calls.insert(RequestId(id), call);
        let request = Request {
            id: RequestId(id),
            function: FunctionId(function),
            replica_concurrency: 4,
            memory_mb: 100.0,
            load_time: Some(LOAD_TIME),
            timeout: Some(4_000 * MS),
            ..Request::default()
        };
        self.handle(front_end, Event::Arrived(request));
    }

    fn attempt_arrives(&mut self, worker: usize, call: WorkerCall) {
        if let Some(worker_start) = self.worker_starts.get_mut(&worker) {
            worker_start.attempts.push(self.now);
        }
        let function = call.function;
        match self.workers[worker].receive(call) {
            Reception::Queued => self.start_waiting(worker),
            Reception::Loading { begins: true } => {
                self.totals.loads += 1;
                let done = SimulationEvent::LoadDone { worker, function };
                self.schedule(self.now + LOAD_TIME, done);
            }
            Reception::Loading { begins: false } => {}
            Reception::Rejected(call) => {
                self.totals.rejected += 1;
                self.answer(worker, &call, Outcome::Rejected);
            }
        }
    }

    fn start_waiting(&mut self, worker: usize) {
        for function in self.workers[worker].start_waiting(self.now) {
            let run_time = -(RUN_TIME as f64) * (1.0 - self.random.next()).ln();
            let done = SimulationEvent::CallDone { worker, function };
            self.schedule(self.now + run_time as Time, done);
        }
    }

    fn answer(&mut self, worker: usize, call: &WorkerCall, outcome: Outcome) {
        let in_flight = self.workers[worker].in_flight();
        let finished = AttemptFinished {
            request: call.request,
            attempt: call.attempt,
            worker: WorkerId::new(&worker_name(worker)),
            outcome,
            elapsed: self.now - call.received_at + 2 * LINK_DELAY,
            settled: outcome == Outcome::Served,
            replica_status: None,
            function_concurrency: Some(call.function_concurrency),
            load_report: LoadReport {
                in_flight: Some(in_flight).filter(|_| self.load_reports),
                ..LoadReport::default()
            },
        };
        let answer = SimulationEvent::Answer {
            front_end: call.front_end,
            finished,
        };
        self.schedule(self.now + LINK_DELAY, answer);
    }

    fn answer_arrives(&mut self, front_end: usize, finished: AttemptFinished) {
        if finished.settled && finished.outcome == Outcome::Served {
            let arrived_at = self.calls[&finished.request].arrived_at;
            let in_time = self.now <= arrived_at + LATENCY_OBJECTIVE;
            self.totals.in_time += u32::from(in_time);
        }
        self.handle(front_end, Event::AttemptFinished(finished));
    }

    fn load_polled(&mut self, front_end: usize, worker: usize) {
        let report = LoadReport {
            in_flight: Some(self.workers[worker].in_flight()),
            ..LoadReport::default()
        };
        let polled = Event::LoadPolled {
            worker: WorkerId::new(&worker_name(worker)),
            answered: true,
            report,
        };
        self.handle(front_end, polled);
    }

    fn replace_worker(&mut self, old: usize) {
        let new = self.workers.len();
        self.workers.push(SimulatedWorker::default());
        let worker_start = WorkerStart {
            started_at: self.now,
            attempts: Vec::new(),
        };
        self.worker_starts.insert(new, worker_start);
        self.endpoints.remove(&old);
        let endpoint = Endpoint {
            started_at: Some(self.now),
            ..endpoint(&worker_name(new))
        };
        self.endpoints.insert(new, endpoint);
        for front_end in 0..self.front_ends.len() {
            let delay = (self.random.next() * MAX_UPDATE_DELAY_MS) as u64 * MS;
            let update = SimulationEvent::EndpointUpdate {
                front_end,
                old,
                new,
                started_at: self.now,
            };
            self.schedule(self.now + delay, update);
        }
    }

    fn update_endpoints(&mut self, front_end: usize, old: usize, new: usize, started_at: Time) {
        let removed = Endpoint {
            state: EndpointState::Removed,
            ..endpoint(&worker_name(old))
        };
        let added = Endpoint {
            started_at: Some(started_at),
            ..endpoint(&worker_name(new))
        };
        let update = Event::Endpoints {
            update: EndpointUpdate::Delta,
            endpoints: vec![removed, added],
        };
        self.handle(front_end, update);
    }

    fn restart_front_end(&mut self, front_end: usize) {
        let seed = 1_000 + 77 * front_end as u64;
        self.front_ends[front_end] = FrontEnd::new(self.settings.clone(), seed);
        self.send_cached_endpoints(front_end);
    }

    fn send_cached_endpoints(&mut self, front_end: usize) {
        let update = Event::Endpoints {
            update: EndpointUpdate::Cached,
            endpoints: self.endpoints.values().cloned().collect(),
        };
        self.handle(front_end, update);
    }

    /// Has a front end handle an event, and carries out the actions that the simulation knows.
    fn handle(&mut self, front_end: usize, event: Event) {
        let mut actions = Vec::new();
        self.front_ends[front_end].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    let timer = SimulationEvent::Timer { front_end, token };
                    self.schedule(self.now + after, timer);
                }
                Action::Forward {
                    request, worker, ..
                } => self.forward(front_end, request, worker_number(&worker)),
                Action::PollLoad { worker } => {
                    self.totals.load_polls += 1;
                    let polled = SimulationEvent::LoadPolled {
                        front_end,
                        worker: worker_number(&worker),
                    };
                    self.schedule(self.now + 2 * LINK_DELAY, polled);
                }
                _ => {}
            }
        }
    }

    fn forward(&mut self, front_end: usize, request: RequestId, worker: usize) {
        let call = self
            .calls
            .get_mut(&request)
            .expect("a forwarded request is a call of a client");
        let attempt = call.attempts;
        call.attempts += 1;
        let arrival = SimulationEvent::AttemptArrives {
            front_end,
            worker,
            request,
            attempt,
            function: call.function,
        };
        self.schedule(self.now + LINK_DELAY, arrival);
    }
}
