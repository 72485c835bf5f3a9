//! The simulation: front ends with the decision module, workers with a capacity, clients, and the events between them.

use std::collections::{BTreeMap, VecDeque};

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{
    Action, AttemptFinished, Endpoint, EndpointState, EndpointUpdate, Event, FunctionId,
    FunctionLoading, Idempotency, LoadReport, Outcome, ReplicaStatus, Request, RequestId, Settings,
    Time, WorkerId,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::SECOND;
use crate::common::{self, MS, settings};
use crate::scenario::{Scenario, Summary, max_survivable};

/// The longest time from the start of a worker until a front end is notified of it.
const MAX_UPDATE_DELAY: Time = SECOND / 2;
/// When the simulation begins.
const START: Time = 1_000 * SECOND;
/// How long traffic runs before the first worker starts, so that front ends learn what warm workers serve.
const LEAD_TIME: Time = 6 * SECOND;
/// The time from an attempt to its answer.
const LATENCY: Time = 50 * MS;
/// A worker rejects a call if its queue would exceed both this much work and [`MAX_BACKLOG_CALLS`].
const MAX_BACKLOG: Time = SECOND / 2;
const MAX_BACKLOG_CALLS: f64 = 2.0;
/// The period of the front ends' maintenance timer.
const MAINTENANCE_INTERVAL: Time = 50 * MS;

/// An event of the simulation.
enum SimulationEvent {
    /// A client calls a function, and the next call is scheduled.
    ClientCall,
    /// An answer arrives at a front end.
    Answer {
        front_end: usize,
        incarnation: u32,
        finished: AttemptFinished,
    },
    /// A new worker replaces the one in this place.
    WorkerStart { place: usize },
    /// A front end is notified that a worker has replaced another.
    EndpointUpdate {
        front_end: usize,
        removed: Endpoint,
        added: Endpoint,
    },
    /// About half of the front ends restart.
    FrontEndsRestart,
}

/// A worker that serves calls at a limited rate.
struct SimulatedWorker {
    /// Its capacity as a multiple of the usual one.
    size: f64,
    /// When it started; `None`: it is warm from the beginning.
    started_at: Option<Time>,
    /// When it will have finished all calls that it has accepted.
    free_at: Time,
    /// Attempts within the last `overload_window`.
    recent_sends: VecDeque<Time>,
    /// Whether some window has held more attempts than the budget allows.
    over_budget: bool,
}

impl SimulatedWorker {
    fn new(size: f64, started_at: Option<Time>) -> SimulatedWorker {
        SimulatedWorker {
            size,
            started_at,
            free_at: 0,
            recent_sends: VecDeque::new(),
            over_budget: false,
        }
    }
}

struct SimulatedFrontEnd {
    module: FrontEnd,
    seed: u64,
    /// How often it has restarted: answers to earlier incarnations are lost.
    incarnation: u32,
    maintenance_token: u64,
    last_maintenance: Time,
}

pub(super) struct Fleet {
    scenario: Scenario,
    settings: Settings,
    now: Time,
    end: Time,
    random: SmallRng,
    front_ends: Vec<SimulatedFrontEnd>,
    /// Running sums of the weights of the front ends' traffic.
    cumulative_weights: Vec<f64>,
    workers: BTreeMap<WorkerId, SimulatedWorker>,
    /// For each place, the two names that its workers have in turn.
    names: Vec<[WorkerId; 2]>,
    /// For each place, which of the two names its worker has now.
    current_names: Vec<usize>,
    /// For each worker, a function that prefers it to all others.
    functions: BTreeMap<WorkerId, FunctionId>,
    /// The number of attempts of each pending request.
    attempts: BTreeMap<RequestId, u32>,
    next_request: RequestId,
    queue: BTreeMap<(Time, u64), SimulationEvent>,
    queued: u64,
    summary: Summary,
}

/// The entry of a worker in the endpoint list.
fn endpoint(worker: &WorkerId, size: f64, started_at: Option<Time>) -> Endpoint {
    Endpoint {
        started_at,
        weight: size,
        ..common::endpoint(&worker.0)
    }
}

/// For each worker, a function that the decision module sends there first.
fn functions_by_first_choice(workers: &[WorkerId]) -> BTreeMap<WorkerId, FunctionId> {
    let mut probe = FrontEnd::new(settings(Idempotency::Idempotent), 1);
    let endpoints = workers.iter().map(|w| endpoint(w, 1.0, None)).collect();
    probe.handle(
        SECOND,
        Event::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints,
        },
        &mut Vec::new(),
    );
    let mut found = BTreeMap::new();
    for number in 0.. {
        if found.len() == workers.len() {
            break;
        }
        let function = FunctionId(number);
        let mut actions = Vec::new();
        let call = Request {
            id: RequestId(number),
            function,
            replica_concurrency: 64,
            timeout: Some(4 * SECOND),
            ..Request::default()
        };
        // The calls are 100 s apart, so that none meets the queue of an earlier one.
        probe.handle(
            (number + 2) * 100 * SECOND,
            Event::Arrived(call),
            &mut actions,
        );
        let worker = common::forwarded_to(&actions).expect("a request is forwarded");
        let answer = AttemptFinished {
            request: RequestId(number),
            attempt: 0,
            worker: worker.clone(),
            outcome: Outcome::Served,
            elapsed: LATENCY,
            settled: true,
            replica_status: None,
            function_concurrency: None,
            load_report: LoadReport::default(),
        };
        probe.handle(
            (number + 2) * 100 * SECOND + LATENCY,
            Event::AttemptFinished(answer),
            &mut actions,
        );
        found.entry(worker).or_insert(function);
    }
    found
}

impl Fleet {
    fn new(scenario: Scenario) -> Fleet {
        let mut settings = settings(Idempotency::Idempotent);
        settings.front_ends = scenario.front_ends as u32;
        settings.slow_start.clone_from(&scenario.slow_start);
        settings.loading = FunctionLoading {
            reports_cold_starts: true,
            ..FunctionLoading::default()
        };
        let warm: Vec<WorkerId> = (0..scenario.warm_workers)
            .map(|i| WorkerId::new(&format!("warm{i}")))
            .collect();
        let name = |place: usize, turn: &str| WorkerId::new(&format!("place{place}{turn}"));
        let names: Vec<_> = (0..scenario.warming_places)
            .map(|p| [name(p, "a"), name(p, "b")])
            .collect();
        let all: Vec<WorkerId> = warm.iter().chain(names.iter().flatten()).cloned().collect();
        let warm_workers_at_start = warm.iter().map(|name| (name, 1.0));
        let first_in_places = names
            .iter()
            .enumerate()
            .map(|(place, names)| (&names[0], scenario.size(place)));
        let initial_workers = warm_workers_at_start.chain(first_in_places);
        let workers = initial_workers
            .map(|(name, size)| (name.clone(), SimulatedWorker::new(size, None)))
            .collect();
        let mut sum = 0.0;
        let mut running_sum = |front_end| {
            sum += scenario.traffic.weight(front_end, scenario.front_ends);
            sum
        };
        let mut fleet = Fleet {
            settings,
            now: START,
            end: START + LEAD_TIME + scenario.slow_start.window * scenario.rounds(),
            random: SmallRng::seed_from_u64(scenario.seed),
            front_ends: Vec::new(),
            cumulative_weights: (0..scenario.front_ends).map(&mut running_sum).collect(),
            workers,
            names,
            current_names: vec![0; scenario.warming_places],
            functions: functions_by_first_choice(&all),
            attempts: BTreeMap::new(),
            next_request: RequestId(1),
            queue: BTreeMap::new(),
            queued: 0,
            summary: Summary::default(),
            scenario,
        };
        for _ in 0..fleet.scenario.front_ends {
            let seed = fleet.random.random();
            let front_end = fleet.start_front_end(seed, 0);
            fleet.front_ends.push(front_end);
        }
        fleet
    }

    /// Runs a scenario to its end.
    pub(super) fn run(scenario: Scenario) -> Summary {
        let mut fleet = Fleet::new(scenario);
        let (window, places) = (
            fleet.scenario.slow_start.window,
            fleet.scenario.warming_places,
        );
        let first_start = fleet.now + LEAD_TIME;
        for round in 0..fleet.scenario.rounds() {
            for place in 0..places {
                let offset = window * place as u64 / places as u64;
                fleet.schedule(
                    first_start + window * round + offset,
                    SimulationEvent::WorkerStart { place },
                );
            }
            if fleet.scenario.restarts {
                let offset = fleet.random.random_range(0..window);
                fleet.schedule(
                    first_start + window * round + offset,
                    SimulationEvent::FrontEndsRestart,
                );
            }
        }
        fleet.schedule(fleet.now, SimulationEvent::ClientCall);
        while let Some(((at, _), event)) = fleet
            .queue
            .pop_first()
            .filter(|((at, _), _)| *at < fleet.end)
        {
            fleet.now = at;
            fleet.dispatch(event);
        }
        fleet.summary
    }

    fn schedule(&mut self, at: Time, event: SimulationEvent) {
        self.queued += 1;
        self.queue.insert((at, self.queued), event);
    }

    fn dispatch(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ClientCall => self.client_call(),
            SimulationEvent::Answer {
                front_end,
                incarnation,
                finished,
            } => {
                if self.front_ends[front_end].incarnation == incarnation {
                    self.handle(front_end, Event::AttemptFinished(finished));
                }
            }
            SimulationEvent::WorkerStart { place } => self.start_worker(place),
            SimulationEvent::EndpointUpdate {
                front_end,
                removed,
                added,
            } => {
                let update = Event::Endpoints {
                    update: EndpointUpdate::Delta,
                    endpoints: vec![removed, added],
                };
                self.handle(front_end, update);
            }
            SimulationEvent::FrontEndsRestart => self.restart_half(),
        }
    }

    /// A client calls a function that prefers a warming worker; the next call is scheduled.
    fn client_call(&mut self) {
        let all = (self.scenario.warm_workers + self.scenario.warming_places) as f64;
        let rate = self.scenario.demand * self.scenario.capacity() * all / SECOND as f64;
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.schedule(self.now + gap as Time, SimulationEvent::ClientCall);

        let total = self.cumulative_weights[self.cumulative_weights.len() - 1];
        let point = self.random.random::<f64>() * total;
        let front_end = self
            .cumulative_weights
            .partition_point(|sum| *sum <= point)
            .min(self.cumulative_weights.len() - 1);
        let place = self.random.random_range(0..self.scenario.warming_places);
        let function = self.functions[&self.names[place][self.current_names[place]]];
        self.next_request.0 += 1;
        let call = Request {
            id: self.next_request,
            function,
            replica_concurrency: 64,
            load_time: Some(MS),
            timeout: Some(4 * SECOND),
            ..Request::default()
        };
        self.run_maintenance(front_end);
        self.handle(front_end, Event::Arrived(call));
    }

    /// Lets the maintenance timer expire if it is due. This is done at calls only: nothing depends on it between them.
    fn run_maintenance(&mut self, front_end: usize) {
        let simulated = &mut self.front_ends[front_end];
        if self.now >= simulated.last_maintenance + MAINTENANCE_INTERVAL {
            simulated.last_maintenance = self.now;
            let token = simulated.maintenance_token;
            self.handle(front_end, Event::Timer { token });
        }
    }

    /// Has the module of a front end handle an event, and carries out the actions that the simulation knows.
    fn handle(&mut self, front_end: usize, event: Event) {
        let mut actions = Vec::new();
        self.front_ends[front_end]
            .module
            .handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward {
                    request, worker, ..
                } => self.send(front_end, request, worker),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.attempts.remove(&request);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, front_end: usize, request: RequestId, worker: WorkerId) {
        let attempts = self.attempts.entry(request).or_default();
        let attempt = std::mem::replace(attempts, *attempts + 1);
        let outcome = self.receive(&worker);
        let settled = outcome == Outcome::Served;
        if settled {
            self.attempts.remove(&request);
        }
        let finished = AttemptFinished {
            request,
            attempt,
            worker,
            outcome,
            elapsed: LATENCY,
            settled,
            replica_status: Some(ReplicaStatus::Warm).filter(|_| settled),
            function_concurrency: None,
            load_report: LoadReport::default(),
        };
        let incarnation = self.front_ends[front_end].incarnation;
        self.schedule(
            self.now + LATENCY,
            SimulationEvent::Answer {
                front_end,
                incarnation,
                finished,
            },
        );
    }

    /// Delivers a request to a worker. Checks the window that ends with it against the budget, and returns whether the
    /// worker serves the request, rejects it or does not exist any more.
    fn receive(&mut self, worker: &WorkerId) -> Outcome {
        let Some(simulated) = self.workers.get_mut(worker) else {
            return Outcome::Unreachable;
        };
        let (scenario, now) = (&self.scenario, self.now);
        let age = simulated
            .started_at
            .map_or(scenario.slow_start.window, |started_at| now - started_at);
        if age < scenario.slow_start.window {
            simulated
                .recent_sends
                .retain(|sent| sent + scenario.slow_start.overload_window > now);
            simulated.recent_sends.push_back(now);
            let window_use = simulated.recent_sends.len() as f64
                / max_survivable(simulated.size * scenario.budget(age));
            self.summary.fullest_window = self.summary.fullest_window.max(window_use);
            self.summary.sent += 1.0;
            if window_use > 1.0 && !std::mem::replace(&mut simulated.over_budget, true) {
                self.summary.over_budget += 1;
            }
        }
        let time_per_call =
            SECOND as f64 / (simulated.size * scenario.capacity() * scenario.capacity_share(age));
        let free_at = simulated.free_at.max(now) + time_per_call as Time;
        if free_at - now > MAX_BACKLOG.max((time_per_call * MAX_BACKLOG_CALLS) as Time) {
            return Outcome::Rejected;
        }
        simulated.free_at = free_at;
        Outcome::Served
    }

    fn start_worker(&mut self, place: usize) {
        let removed = self.names[place][self.current_names[place]].clone();
        self.current_names[place] = 1 - self.current_names[place];
        let added = self.names[place][self.current_names[place]].clone();
        self.workers.remove(&removed);
        let (size, started_at) = (self.scenario.size(place), Some(self.now));
        self.workers
            .insert(added.clone(), SimulatedWorker::new(size, started_at));
        self.summary.starts += 1;
        // The end of the simulation cuts the slow start of the last workers short.
        let simulated_time = self.scenario.slow_start.window.min(self.end - self.now);
        let overload_windows =
            simulated_time as f64 / self.scenario.slow_start.overload_window as f64;
        self.summary.budgeted += size * self.scenario.budget(simulated_time / 2) * overload_windows;
        let removed = Endpoint {
            state: EndpointState::Removed,
            ..endpoint(&removed, size, None)
        };
        let added = endpoint(&added, size, started_at);
        for front_end in 0..self.front_ends.len() {
            let delay = self.random.random_range(0..MAX_UPDATE_DELAY);
            let (removed, added) = (removed.clone(), added.clone());
            self.schedule(
                self.now + delay,
                SimulationEvent::EndpointUpdate {
                    front_end,
                    removed,
                    added,
                },
            );
        }
    }

    /// Starts a front end that knows the endpoint list and nothing else.
    fn start_front_end(&self, seed: u64, incarnation: u32) -> SimulatedFrontEnd {
        let mut module = FrontEnd::new(self.settings.clone(), seed);
        let endpoints = self
            .workers
            .iter()
            .map(|(name, worker)| endpoint(name, worker.size, worker.started_at))
            .collect();
        let mut actions = Vec::new();
        module.handle(
            self.now,
            Event::Endpoints {
                update: EndpointUpdate::Cached,
                endpoints,
            },
            &mut actions,
        );
        let maintenance = actions.iter().find_map(|action| match action {
            Action::SetTimer {
                after: MAINTENANCE_INTERVAL,
                token,
            } => Some(*token),
            _ => None,
        });
        let maintenance_token = maintenance.expect("a front end sets its maintenance timer");
        SimulatedFrontEnd {
            module,
            seed,
            incarnation,
            maintenance_token,
            last_maintenance: self.now,
        }
    }

    /// Restarts each front end with a probability of one half: it loses all that it has learnt and counted, and keeps
    /// its seed.
    fn restart_half(&mut self) {
        for front_end in 0..self.front_ends.len() {
            if self.random.random::<bool>() {
                let SimulatedFrontEnd {
                    seed, incarnation, ..
                } = self.front_ends[front_end];
                self.front_ends[front_end] = self.start_front_end(seed, incarnation + 1);
            }
        }
    }
}
