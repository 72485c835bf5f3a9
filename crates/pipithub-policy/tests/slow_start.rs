//! The slow-start budget of workers that have just started, summed over all front ends of a fleet.
//!
//! The operators let a warming worker fall when, within `fall_span`, it is sent more than its budget N and
//! a margin for chance. Each front end decides alone, so the fleet is simulated here: every start is drawn,
//! and the sum is checked at every single send, not on average.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::{entry, settings, MS};
use pipithub_policy::api::{
    Action, AttemptFinished, Endpoint, EndpointState, EndpointUpdate, Event, FunctionId,
    FunctionLoading, Idempotency, LoadReport, Outcome, ReplicaStatus, Request, RequestId, Settings,
    SlowStart, Time, WorkerId,
};
use pipithub_policy::FrontEnd;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SECOND: Time = 1_000 * MS;
/// Time between a start and the moment the last front end has heard of it.
const NEWS_DELAY_MOST: Time = SECOND / 2;
/// When the simulation begins.
const FIRST_TIME: Time = 1_000 * SECOND;
/// Traffic before the first start, so that front ends know what warm workers take.
const LEAD_TIME: Time = 6 * SECOND;
/// Time from a send to its answer.
const LATENCY: Time = 50 * MS;
/// A worker holds up to this backlog, or this many calls, before it turns calls away.
const BACKLOG_MOST: Time = SECOND / 2;
const BACKLOG_CALLS: f64 = 2.0;
/// The traffic of one busy front end, as a multiple of the mean.
const BUSY_SHARE: f64 = 7.0;
/// The share of all budgets that a herd may use. The module draws for about half of them: a fleet whose
/// expected sends come near the budget keeps it by luck alone.
const HERD_SENDS_MOST: f64 = 0.6;
/// Period of the front ends' housekeeping timer.
const HOUSEKEEPING: Time = 50 * MS;

/// How the calls of clients are spread over the front ends.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    Equal,
    /// Front end `i` gets a share proportional to `1 / (i + 1)`.
    Unequal,
    /// One front end gets seven times the mean; of so few that none can, nearly all.
    OneBusy,
}

impl Traffic {
    fn weight(self, front_end: usize, front_ends: usize) -> f64 {
        let others = front_ends as f64 - 1.0;
        match self {
            Traffic::Equal => 1.0,
            Traffic::Unequal => 1.0 / (front_end as f64 + 1.0),
            Traffic::OneBusy if front_end == 0 => {
                BUSY_SHARE * others / (front_ends as f64 - BUSY_SHARE).max(1.0)
            }
            Traffic::OneBusy => 1.0,
        }
    }
}

/// One simulated fleet.
#[derive(Clone, Debug)]
struct Scenario {
    front_ends: usize,
    traffic: Traffic,
    /// In each ramp, half of the front ends restart at one drawn moment.
    restarts: bool,
    /// Requests that a worker may be sent within `fall_span` as it starts; it grows with the ramp.
    first_budget: f64,
    /// Workers that are warm throughout, and places in which one warming worker follows another.
    warm_workers: usize,
    warming_places: usize,
    /// Size of the workers in every other warming place; all others have size 1.
    small_size: f64,
    /// Arrivals as a multiple of what all workers would serve if they were warm.
    demand: f64,
    rules: SlowStart,
    /// Starts to draw, at least.
    starts: usize,
    seed: u64,
}

impl Scenario {
    fn new(front_ends: usize, traffic: Traffic, first_budget: f64, starts: usize) -> Scenario {
        Scenario {
            front_ends,
            traffic,
            restarts: false,
            first_budget,
            warm_workers: 3,
            warming_places: 9,
            small_size: 1.0,
            demand: 1.5,
            rules: SlowStart {
                initial_weight: 0.2,
                window: 6 * SECOND,
                overload_factor: 3.0,
                overload_window: 2 * SECOND,
            },
            starts,
            seed: 43,
        }
    }

    /// Calls that a warm worker serves in a second.
    fn capacity(&self) -> f64 {
        let span = self.rules.overload_window as f64 / SECOND as f64;
        self.first_budget / (self.rules.overload_factor * self.rules.initial_weight * span)
    }

    /// The share of its capacity that a worker of this age has.
    fn warmth(&self, age: Time) -> f64 {
        let ramped = (age as f64 / self.rules.window as f64).min(1.0);
        self.rules.initial_weight + (1.0 - self.rules.initial_weight) * ramped
    }

    /// The size of the workers in a warming place.
    fn size(&self, place: usize) -> f64 {
        if place % 2 == 1 {
            self.small_size
        } else {
            1.0
        }
    }

    /// How often each place gets a new worker.
    fn rounds(&self) -> u64 {
        self.starts.div_ceil(self.warming_places) as u64
    }

    /// The budget N of a worker of this age.
    fn budget(&self, age: Time) -> f64 {
        self.first_budget * self.warmth(age) / self.rules.initial_weight
    }
}

/// The most requests within `fall_span` that a warming worker with this budget survives.
fn survivable(budget: f64) -> f64 {
    if budget < 30.0 {
        budget + 3.0 * budget.sqrt() + 3.0
    } else {
        budget + 2.0 * budget.sqrt() + 2.0
    }
}

/// What came of all starts of a scenario.
#[derive(Debug, Default)]
struct Summary {
    starts: usize,
    /// Starts in which some window was overdrawn.
    overdrawn: usize,
    /// The fullest window, as a share of what is survivable.
    fullest: f64,
    /// Requests sent to warming workers, and their budgets over the time played.
    sent: f64,
    budgeted: f64,
}

/// What happens next in the simulation.
enum Happening {
    ClientCall,
    Answer {
        front_end: usize,
        incarnation: u32,
        finished: AttemptFinished,
    },
    /// A new worker takes the place of the one there.
    WorkerStart {
        place: usize,
    },
    /// A front end hears that a worker followed another.
    News {
        front_end: usize,
        left: Endpoint,
        came: Endpoint,
    },
    Restarts,
}

/// A worker with a rate of calls that it can take.
struct SimulatedWorker {
    /// Its capacity as a multiple of the usual one.
    size: f64,
    /// `None`: warm from the beginning.
    started: Option<Time>,
    /// When it is done with all it was sent.
    free_at: Time,
    /// Sends within the last `fall_span`.
    recent_sends: VecDeque<Time>,
    overdrawn: bool,
}

impl SimulatedWorker {
    fn new(size: f64, started: Option<Time>) -> SimulatedWorker {
        SimulatedWorker {
            size,
            started,
            free_at: 0,
            recent_sends: VecDeque::new(),
            overdrawn: false,
        }
    }
}

struct SimulatedFrontEnd {
    module: FrontEnd,
    seed: u64,
    /// How often it has restarted: answers to earlier incarnations are lost.
    incarnation: u32,
    housekeeping_token: u64,
    housekept: Time,
}

struct Fleet {
    scenario: Scenario,
    settings: Settings,
    now: Time,
    end: Time,
    random: SmallRng,
    front_ends: Vec<SimulatedFrontEnd>,
    /// Running sums of the weights of the front ends' traffic.
    shares: Vec<f64>,
    workers: BTreeMap<WorkerId, SimulatedWorker>,
    /// In each place two names take turns.
    names: Vec<[WorkerId; 2]>,
    turns: Vec<usize>,
    /// A function whose first choice is the worker.
    functions: BTreeMap<WorkerId, FunctionId>,
    attempts: BTreeMap<RequestId, u32>,
    next_request: RequestId,
    queue: BTreeMap<(Time, u64), Happening>,
    queued: u64,
    summary: Summary,
}

/// The entry of a worker in the list.
fn listed(worker: &WorkerId, size: f64, started: Option<Time>) -> Endpoint {
    Endpoint {
        started_at: started,
        weight: size,
        ..entry(&worker.0)
    }
}

/// For each worker a function that tries it before all others, as the module itself decides.
fn functions_by_first_choice(workers: &[WorkerId]) -> BTreeMap<WorkerId, FunctionId> {
    let mut scout = FrontEnd::new(settings(Idempotency::Idempotent), 1);
    let entries = workers.iter().map(|w| listed(w, 1.0, None)).collect();
    scout.handle(
        SECOND,
        Event::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: entries,
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
            id: number,
            function,
            replica_concurrency: 64,
            timeout: Some(4 * SECOND),
            ..Request::default()
        };
        // Ever later, so that no call meets the queue of an earlier one.
        scout.handle(
            (number + 2) * 100 * SECOND,
            Event::Arrived(call),
            &mut actions,
        );
        let worker = common::sent_to(&actions).expect("a scouting call is sent");
        let answer = AttemptFinished {
            request: number,
            attempt: 0,
            worker: worker.clone(),
            outcome: Outcome::Served,
            elapsed: LATENCY,
            settled: true,
            replica_status: None,
            function_concurrency: None,
            load_report: LoadReport::default(),
        };
        scout.handle(
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
        settings.slow_start.clone_from(&scenario.rules);
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
        let lasting = warm.iter().map(|name| (name, 1.0));
        let first = names
            .iter()
            .enumerate()
            .map(|(place, names)| (&names[0], scenario.size(place)));
        let at_first = lasting.chain(first);
        let workers = at_first
            .map(|(name, size)| (name.clone(), SimulatedWorker::new(size, None)))
            .collect();
        let mut sum = 0.0;
        let mut running_sum = |front_end| {
            sum += scenario.traffic.weight(front_end, scenario.front_ends);
            sum
        };
        let mut fleet = Fleet {
            settings,
            now: FIRST_TIME,
            end: FIRST_TIME + LEAD_TIME + scenario.rules.window * scenario.rounds(),
            random: SmallRng::seed_from_u64(scenario.seed),
            front_ends: Vec::new(),
            shares: (0..scenario.front_ends).map(&mut running_sum).collect(),
            workers,
            names,
            turns: vec![0; scenario.warming_places],
            functions: functions_by_first_choice(&all),
            attempts: BTreeMap::new(),
            next_request: 1,
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

    /// Plays the scenario to its end.
    fn play(scenario: Scenario) -> Summary {
        let mut fleet = Fleet::new(scenario);
        let (ramp, places) = (fleet.scenario.rules.window, fleet.scenario.warming_places);
        let first_start = fleet.now + LEAD_TIME;
        for round in 0..fleet.scenario.rounds() {
            for place in 0..places {
                let offset = ramp * place as u64 / places as u64;
                fleet.schedule(
                    first_start + ramp * round + offset,
                    Happening::WorkerStart { place },
                );
            }
            if fleet.scenario.restarts {
                let moment = fleet.random.random_range(0..ramp);
                fleet.schedule(first_start + ramp * round + moment, Happening::Restarts);
            }
        }
        fleet.schedule(fleet.now, Happening::ClientCall);
        while let Some(((at, _), happening)) = fleet
            .queue
            .pop_first()
            .filter(|((at, _), _)| *at < fleet.end)
        {
            fleet.now = at;
            fleet.take(happening);
        }
        fleet.summary
    }

    fn schedule(&mut self, at: Time, happening: Happening) {
        self.queued += 1;
        self.queue.insert((at, self.queued), happening);
    }

    fn take(&mut self, happening: Happening) {
        match happening {
            Happening::ClientCall => self.client_call(),
            Happening::Answer {
                front_end,
                incarnation,
                finished,
            } => {
                if self.front_ends[front_end].incarnation == incarnation {
                    self.hand_over(front_end, Event::AttemptFinished(finished));
                }
            }
            Happening::WorkerStart { place } => self.start_worker(place),
            Happening::News {
                front_end,
                left,
                came,
            } => {
                let news = Event::Endpoints {
                    update: EndpointUpdate::Delta,
                    endpoints: vec![left, came],
                };
                self.hand_over(front_end, news);
            }
            Happening::Restarts => self.restart_half(),
        }
    }

    /// A client calls a function that prefers a warming worker; the next call is scheduled.
    fn client_call(&mut self) {
        let all = (self.scenario.warm_workers + self.scenario.warming_places) as f64;
        let rate = self.scenario.demand * self.scenario.capacity() * all / SECOND as f64;
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.schedule(self.now + gap as Time, Happening::ClientCall);

        let total = self.shares[self.shares.len() - 1];
        let point = self.random.random::<f64>() * total;
        let front_end = self
            .shares
            .partition_point(|sum| *sum <= point)
            .min(self.shares.len() - 1);
        let place = self.random.random_range(0..self.scenario.warming_places);
        let function = self.functions[&self.names[place][self.turns[place]]];
        self.next_request += 1;
        let call = Request {
            id: self.next_request,
            function,
            replica_concurrency: 64,
            load_time: Some(MS),
            timeout: Some(4 * SECOND),
            ..Request::default()
        };
        self.housekeep(front_end);
        self.hand_over(front_end, Event::Arrived(call));
    }

    /// Fires the housekeeping timer where it is due: between calls nothing depends on it.
    fn housekeep(&mut self, front_end: usize) {
        let simulated = &mut self.front_ends[front_end];
        if self.now >= simulated.housekept + HOUSEKEEPING {
            simulated.housekept = self.now;
            let token = simulated.housekeeping_token;
            self.hand_over(front_end, Event::Timer { token });
        }
    }

    /// Lets the module of a front end handle an event, and does what it wants done.
    fn hand_over(&mut self, front_end: usize, event: Event) {
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
        let outcome = self.received(&worker);
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
            Happening::Answer {
                front_end,
                incarnation,
                finished,
            },
        );
    }

    /// A worker gets a request: the window that ends with it is checked against the budget, and the worker
    /// takes the request or turns it away.
    fn received(&mut self, worker: &WorkerId) -> Outcome {
        let Some(simulated) = self.workers.get_mut(worker) else {
            return Outcome::Unreachable;
        };
        let (scenario, now) = (&self.scenario, self.now);
        let age = simulated
            .started
            .map_or(scenario.rules.window, |started| now - started);
        if age < scenario.rules.window {
            simulated
                .recent_sends
                .retain(|sent| sent + scenario.rules.overload_window > now);
            simulated.recent_sends.push_back(now);
            let filled = simulated.recent_sends.len() as f64
                / survivable(simulated.size * scenario.budget(age));
            self.summary.fullest = self.summary.fullest.max(filled);
            self.summary.sent += 1.0;
            if filled > 1.0 && !std::mem::replace(&mut simulated.overdrawn, true) {
                self.summary.overdrawn += 1;
            }
        }
        let time_per_call =
            SECOND as f64 / (simulated.size * scenario.capacity() * scenario.warmth(age));
        let free_at = simulated.free_at.max(now) + time_per_call as Time;
        if free_at - now > BACKLOG_MOST.max((time_per_call * BACKLOG_CALLS) as Time) {
            return Outcome::Rejected;
        }
        simulated.free_at = free_at;
        Outcome::Served
    }

    fn start_worker(&mut self, place: usize) {
        let left = self.names[place][self.turns[place]].clone();
        self.turns[place] = 1 - self.turns[place];
        let came = self.names[place][self.turns[place]].clone();
        self.workers.remove(&left);
        let (size, started) = (self.scenario.size(place), Some(self.now));
        self.workers
            .insert(came.clone(), SimulatedWorker::new(size, started));
        self.summary.starts += 1;
        // The last workers' ramps are cut short by the end.
        let played = self.scenario.rules.window.min(self.end - self.now);
        let spans = played as f64 / self.scenario.rules.overload_window as f64;
        self.summary.budgeted += size * self.scenario.budget(played / 2) * spans;
        let left = Endpoint {
            state: EndpointState::Removed,
            ..listed(&left, size, None)
        };
        let came = listed(&came, size, started);
        for front_end in 0..self.front_ends.len() {
            let delay = self.random.random_range(0..NEWS_DELAY_MOST);
            let (left, came) = (left.clone(), came.clone());
            self.schedule(
                self.now + delay,
                Happening::News {
                    front_end,
                    left,
                    came,
                },
            );
        }
    }

    /// A front end that knows the list of workers and nothing else.
    fn start_front_end(&self, seed: u64, incarnation: u32) -> SimulatedFrontEnd {
        let mut module = FrontEnd::new(self.settings.clone(), seed);
        let entries = self
            .workers
            .iter()
            .map(|(name, worker)| listed(name, worker.size, worker.started))
            .collect();
        let mut actions = Vec::new();
        module.handle(
            self.now,
            Event::Endpoints {
                update: EndpointUpdate::Cached,
                endpoints: entries,
            },
            &mut actions,
        );
        let housekeeping = actions.iter().find_map(|action| match action {
            Action::SetTimer {
                after: HOUSEKEEPING,
                token,
            } => Some(*token),
            _ => None,
        });
        let housekeeping_token = housekeeping.expect("a front end asks for its housekeeping timer");
        SimulatedFrontEnd {
            module,
            seed,
            incarnation,
            housekeeping_token,
            housekept: self.now,
        }
    }

    /// Half of the front ends, drawn, lose all that they have learnt and counted; each keeps its seed.
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

/// How traffic reaches a fleet: its spread, and whether half of the front ends restart in each ramp.
const CONDITIONS: [(Traffic, bool); 4] = [
    (Traffic::Equal, false),
    (Traffic::Unequal, false),
    (Traffic::OneBusy, false),
    (Traffic::Equal, true),
];
const FLEETS: [usize; 6] = [2, 5, 20, 30, 60, 300];

/// Plays scenarios side by side, as many at a time as there are conditions, and tells what came of each.
fn play_all(scenarios: Vec<Scenario>) -> Vec<(Scenario, Summary)> {
    let queue = std::sync::Mutex::new(scenarios.into_iter());
    let next = || queue.lock().expect("no player has failed").next();
    let player = || {
        let mut played = Vec::new();
        while let Some(scenario) = next() {
            let summary = Fleet::play(scenario.clone());
            played.push((scenario, summary));
        }
        played
    };
    std::thread::scope(|scope| {
        let players: Vec<_> = CONDITIONS.iter().map(|_| scope.spawn(player)).collect();
        players
            .into_iter()
            .flat_map(|p| p.join().expect("a player ends"))
            .collect()
    })
}

/// Fails where a single window of a single start was overdrawn.
fn assert_none_overdrawn(played: &[(Scenario, Summary)]) {
    let overdrawn: Vec<_> = played
        .iter()
        .filter(|(_, summary)| summary.overdrawn > 0)
        .collect();
    assert!(overdrawn.is_empty(), "overdrawn: {overdrawn:#?}");
}

/// A fleet of each size under each condition, `starts` starts of workers with this first budget.
fn fleets(first_budget: f64, starts: usize) -> Vec<Scenario> {
    let conditions = || CONDITIONS.into_iter();
    let fleet = |front_ends| {
        conditions().map(move |(traffic, restarts)| Scenario {
            restarts,
            ..Scenario::new(front_ends, traffic, first_budget, starts)
        })
    };
    FLEETS.into_iter().flat_map(fleet).collect()
}

#[test]
fn no_start_is_overdrawn_with_budgets_of_1_to_5() {
    assert_none_overdrawn(&play_all(fleets(1.0, 198)));
}

#[test]
fn no_start_is_overdrawn_with_budgets_of_6_to_30() {
    assert_none_overdrawn(&play_all(fleets(6.0, 63)));
}

#[test]
fn no_start_is_overdrawn_with_budgets_of_40_to_200_and_much_of_them_is_used() {
    let played = play_all(fleets(40.0, 18));
    assert_none_overdrawn(&played);
    for (scenario, summary) in played {
        let least = if scenario.front_ends < 300 { 0.4 } else { 0.2 };
        assert!(
            summary.sent > least * summary.budgeted,
            "shut out: {scenario:?}, {summary:?}"
        );
    }
}

/// Clients that repeat refused calls raise the arrivals far beyond what the workers can serve.
#[test]
fn no_start_is_overdrawn_under_overload_while_front_ends_restart() {
    let overload = |s: Scenario| Scenario {
        demand: 8.0,
        restarts: true,
        ..s
    };
    let small = [2, 20, 300].map(|n| Scenario::new(n, Traffic::Unequal, 6.0, 45));
    let large = [2, 20].map(|n| Scenario::new(n, Traffic::Equal, 40.0, 9));
    assert_none_overdrawn(&play_all(
        small.into_iter().chain(large).map(overload).collect(),
    ));
}

/// A herd: every front end has more calls for few warming workers than their budgets bear.
#[test]
fn no_start_is_overdrawn_where_every_front_end_always_has_a_call_for_it() {
    let herd = |s: Scenario| Scenario {
        warm_workers: 9,
        warming_places: 3,
        demand: 8.0,
        ..s
    };
    let small = [20, 60, 300].map(|n| Scenario::new(n, Traffic::Equal, 1.0, 63));
    let large = [20, 60].map(|n| Scenario::new(n, Traffic::Equal, 6.0, 18));
    let played = play_all(small.into_iter().chain(large).map(herd).collect());
    assert_none_overdrawn(&played);
    for (scenario, summary) in played {
        let most = HERD_SENDS_MOST * summary.budgeted;
        assert!(
            summary.sent < most,
            "no room for chance: {scenario:?}, {summary:?}"
        );
    }
}

/// What warm workers take says little of a smaller one, but the list tells its size.
#[test]
fn no_start_is_overdrawn_where_some_workers_are_smaller() {
    let sized = |s: Scenario| {
        [0.5, 0.25].map(|small_size| Scenario {
            small_size,
            ..s.clone()
        })
    };
    let scenarios = [2, 20, 300].map(|n| Scenario::new(n, Traffic::Equal, 40.0, 9));
    assert_none_overdrawn(&play_all(scenarios.into_iter().flat_map(sized).collect()));
}

/// Where no worker is warm, nothing new is learnt of what a warm one takes.
#[test]
fn no_start_is_overdrawn_where_all_workers_are_warming() {
    let all_cold = |s: Scenario| Scenario {
        warm_workers: 0,
        demand: 4.0,
        ..s
    };
    let scenarios = [2, 20, 300].map(|n| Scenario::new(n, Traffic::Unequal, 40.0, 18));
    assert_none_overdrawn(&play_all(scenarios.into_iter().map(all_cold).collect()));
}
