//! A world for one front end: clients, workers and faults in simulated time, drawn from a [`Day`]'s seed.
//!
//! It hands out one event after the other and answers the actions that come of it. What is drawn for a call, an
//! attempt or a worker depends on the seed and its name alone, so two front ends in two worlds of one day meet
//! the same calls, and equal sends end alike.
#![allow(dead_code)]

mod day;
pub(super) mod meter;

use std::collections::{BTreeMap, BTreeSet};

use pipithub_policy::api::{
    Action, AttemptFinished, Endpoint, EndpointState, EndpointUpdate, Event, FunctionId,
    LoadFinished, LoadReport, Outcome, ReplicaStatus, Request, RequestId, Time, WorkerId,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Zipf};

pub(super) use day::{Day, MS};

/// What is to happen at a time.
enum What {
    Calls,
    Again(Request),
    Timer(u64),
    Streaming(RequestId),
    Ends(RequestId, u32, AttemptFinished),
    Left(RequestId),
    Probed(usize, bool),
    Ordered(LoadFinished),
    News,
    SeventhGone,
    SeventhBack,
}

/// A worker as it is.
struct Machine {
    entry: Endpoint,
    /// Copies that stand or will, since when, and the calls of this front end there.
    copies: BTreeMap<FunctionId, Time>,
    own: BTreeSet<(RequestId, u32)>,
}

/// A call whose client waits, or that has attempts out.
struct Client {
    call: Request,
    attempts: u32,
    /// Attempts that have not ended, and the worker of each.
    out: BTreeMap<u32, usize>,
    over: bool,
}

/// What happened how often, by name.
pub(super) type Counts = BTreeMap<&'static str, u64>;

/// The world of one day.
pub(super) struct World {
    /// The day.
    pub day: Day,
    /// What happened how often.
    pub counts: Counts,
    now: Time,
    next_id: RequestId,
    next_name: u64,
    next_once: u64,
    happenings: BTreeMap<(Time, u64), What>,
    sequence: u64,
    no_calls: bool,
    machines: Vec<Machine>,
    index: BTreeMap<WorkerId, usize>,
    clients: BTreeMap<RequestId, Client>,
    calls: SmallRng,
    news: SmallRng,
    wanted: Zipf<f64>,
}

/// Spreads a number over all bits.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

impl World {
    /// The world at the start of a day.
    pub(super) fn new(day: Day) -> World {
        let wanted = Zipf::new(day.functions.max(1) as f64, 1.0).expect("one function at least");
        let mut world = World {
            counts: Counts::new(),
            now: day.start,
            next_id: RequestId(1),
            next_name: 0,
            next_once: 0,
            happenings: BTreeMap::new(),
            sequence: 0,
            no_calls: false,
            machines: Vec::new(),
            index: BTreeMap::new(),
            clients: BTreeMap::new(),
            calls: SmallRng::seed_from_u64(mix(day.seed ^ 1)),
            news: SmallRng::seed_from_u64(mix(day.seed ^ 2)),
            wanted,
            day,
        };
        for _ in 0..world.day.workers {
            world.new_machine();
        }
        world.at(world.now, What::Calls);
        if world.day.changes > 0 {
            world.at(world.now + world.day.changes, What::News);
        }
        if let Some(at) = world.day.seventh {
            world.at(at, What::SeventhGone);
            world.at(at + world.day.length / 3, What::SeventhBack);
        }
        world
    }

    /// The next event and its time; `None` once the day is over.
    pub(super) fn step(&mut self) -> Option<(Time, Event)> {
        loop {
            let ((at, _), what) = self.happenings.pop_first()?;
            if at > self.day.start + self.day.length {
                return None;
            }
            self.now = self.now.max(at);
            if self.no_calls && matches!(what, What::Calls | What::Again(_)) {
                continue;
            }
            if let Some(event) = self.event(what) {
                return Some((at, event));
            }
        }
    }

    /// The time in this world.
    pub(super) fn now(&self) -> Time {
        self.now
    }

    /// No client calls any more, and the day goes on for so long.
    pub(super) fn stop_calls(&mut self, for_another: Time) {
        self.no_calls = true;
        self.day.length = self.now + for_another - self.day.start;
    }

    /// Whether no attempt is out and no client waits.
    pub(super) fn idle(&self) -> bool {
        self.clients.is_empty()
    }

    /// All workers as they stand, as the first list.
    pub(super) fn complete(&self) -> Event {
        let live = |m: &&Machine| m.entry.state != EndpointState::Removed;
        let entries = self
            .machines
            .iter()
            .filter(live)
            .map(|m| m.entry.clone())
            .collect();
        Event::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: entries,
        }
    }

    /// One worker is replaced by a new process of its own: a list of one change.
    pub(super) fn change_one(&mut self) -> Event {
        let one = self.news.random_range(0..self.machines.len());
        self.restart(one);
        Event::Endpoints {
            update: EndpointUpdate::Delta,
            endpoints: vec![self.machines[one].entry.clone()],
        }
    }

    /// A seventh of all workers goes at once, or comes back as new processes.
    pub(super) fn seventh(&mut self, gone: bool) -> Event {
        let which: Vec<usize> = (0..self.machines.len()).filter(|i| i % 7 == 3).collect();
        for i in &which {
            if gone {
                self.machines[*i].entry.state = EndpointState::Removed;
            } else {
                self.restart(*i);
            }
        }
        let entries = which
            .iter()
            .map(|i| self.machines[*i].entry.clone())
            .collect();
        Event::Endpoints {
            update: EndpointUpdate::Delta,
            endpoints: entries,
        }
    }

    /// What the front end did about the last event.
    pub(super) fn answer(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Forward {
                    request, worker, ..
                } => self.sent(*request, worker),
                Action::Cancel { request, attempt } => self.cancelled(*request, *attempt),
                Action::Reject {
                    request,
                    retry_after,
                } => {
                    self.count(if retry_after.is_some() {
                        "refused for a while"
                    } else {
                        "refused"
                    });
                    self.ended(*request, retry_after.unwrap_or(30 * MS));
                }
                Action::Fail { request } => {
                    self.count("failed");
                    self.ended(*request, 30 * MS);
                }
                Action::LoadFunction {
                    worker,
                    function,
                    replicas: copies,
                } => self.ordered(worker, *function, *copies),
                Action::EvictFunction { worker, function } => {
                    self.count("drop");
                    if let Some(i) = self.index.get(worker) {
                        self.machines[*i].copies.remove(function);
                    }
                }
                Action::PollLoad { worker } => {
                    self.count("probe");
                    let Some(&i) = self.index.get(worker) else {
                        continue;
                    };
                    let mut dice = self.dice(3, i as u64, self.now);
                    let gone =
                        self.machines[i].entry.state == EndpointState::Removed || self.silent(i);
                    let answered = !gone && dice.random_bool(self.day.probes);
                    // One that is not answered is told as such late, or never.
                    if answered || dice.random_bool(0.5) {
                        let after = dice.random_range(1..if answered { 20 } else { 60 }) * MS;
                        self.at(self.now + after, What::Probed(i, answered));
                    }
                }
                Action::SetTimer { after, token } => {
                    let late = self.dice(4, *token, self.now).random_range(0..4) * MS / 2;
                    self.at(self.now + *after + late, What::Timer(*token));
                }
                Action::WatchEndpoints => self.count("follow list"),
            }
        }
    }

    // ---- what happens ----

    fn at(&mut self, at: Time, what: What) {
        self.sequence += 1;
        self.happenings.insert((at, self.sequence), what);
    }

    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Numbers for one thing: equal in all worlds of the day.
    fn dice(&self, kind: u64, one: u64, other: u64) -> SmallRng {
        SmallRng::seed_from_u64(mix(mix(mix(self.day.seed ^ kind << 56) ^ one) ^ other))
    }

    fn event(&mut self, what: What) -> Option<Event> {
        Some(match what {
            What::Calls => {
                let call = self.draw_call();
                // Some come at once, the others after a drawn while.
                let together = self.day.burst > 1 && !self.next_id.0.is_multiple_of(self.day.burst);
                let mean = if together {
                    0
                } else {
                    self.day.gap * self.day.burst
                };
                let gap =
                    (mean as f64 * -(1.0 - self.calls.random_range(0.0..1.0f64)).ln()) as Time;
                self.at(self.now + gap, What::Calls);
                return Some(self.arrive(call));
            }
            What::Again(mut call) => {
                call.id = RequestId(self.next_id.0 | 1 << 40);
                self.next_id.0 += 1;
                self.count("asked again");
                return Some(self.arrive(call));
            }
            What::Timer(token) => Event::Timer { token },
            What::Streaming(request) => {
                self.clients
                    .get(&request)
                    .filter(|c| !c.over && !c.out.is_empty())?;
                self.count("streaming");
                Event::Streaming { request }
            }
            What::Ends(request, attempt, end) => return self.ends(request, attempt, end),
            What::Left(request) => {
                let client = self.clients.get_mut(&request).filter(|c| !c.over)?;
                client.over = true;
                self.count("left");
                self.forget(request);
                Event::ClientCancelled { request }
            }
            What::Probed(i, answered) => {
                self.count(if answered {
                    "probe answered"
                } else {
                    "probe not answered"
                });
                let load = if answered {
                    self.load(i)
                } else {
                    LoadReport::default()
                };
                Event::LoadPolled {
                    worker: self.machines[i].entry.worker.clone(),
                    answered,
                    report: load,
                }
            }
            What::Ordered(reply) => Event::LoadFinished(reply),
            What::News => {
                let gap = self.day.changes / 2 + self.news.random_range(0..self.day.changes);
                self.at(self.now + gap, What::News);
                return Some(self.draw_news());
            }
            What::SeventhGone => {
                self.count("seventh gone");
                self.seventh(true)
            }
            What::SeventhBack => self.seventh(false),
        })
    }

    /// A call of a client, with the figures of its function.
    fn draw_call(&mut self) -> Request {
        let function = if self.day.once {
            self.next_once += 1;
            self.next_once
        } else {
            self.wanted.sample(&mut self.calls) as u64
        };
        let classes = self.day.settings.classes.len().max(1);
        let class = self.calls.random_range(0..classes);
        let give_up = self
            .day
            .settings
            .classes
            .get(class)
            .map_or(4_000 * MS, |c| c.client_timeout);
        let mut dice = self.dice(1, function, 0);
        let (least, most) = self.day.load;
        let load_time = (dice.random_range(0.0..1.0) < self.day.told_load)
            .then(|| dice.random_range(least..=most.max(least + 1)));
        let (lanes, memory_mb) = (
            dice.random_range(0..6),
            [0.0, 100.0, 900.0][dice.random_range(0..3)],
        );
        let budget = match self.calls.random_range(0..8) {
            0 => None,
            1 => Some(give_up / 3),
            _ => Some(give_up),
        };
        let expected = self.calls.random_bool(0.5).then(|| self.run_of(function));
        let id = RequestId(self.next_id.0 | 1 << 40);
        self.next_id.0 += 1;
        Request {
            id,
            expected_work: expected,
            memory_mb,
            replica_concurrency: lanes,
            class,
            load_time,
            function: FunctionId(function),
            timeout: budget,
        }
    }

    fn arrive(&mut self, call: Request) -> Event {
        self.count("arrived");
        let mut dice = self.dice(5, call.id.0, 0);
        if dice.random_bool(self.day.leaves) {
            let after = dice.random_range(MS..=self.day.leaves_within.max(MS));
            self.at(self.now + after, What::Left(call.id));
        }
        let client = Client {
            call: call.clone(),
            attempts: 0,
            out: BTreeMap::new(),
            over: false,
        };
        self.clients.insert(call.id, client);
        Event::Arrived(call)
    }

    /// The usual run of a function, and what a load of it takes.
    fn run_of(&self, function: u64) -> Time {
        let (least, most) = self.day.run;
        self.dice(1, function, 1)
            .random_range(least..=most.max(least + 1))
    }

    fn silent(&self, machine: usize) -> bool {
        let zone = &self.machines[machine].entry.zone;
        zone == "z1"
            && self
                .day
                .silent
                .is_some_and(|(from, until)| (from..until).contains(&self.now))
    }

    /// Calls of the other front ends at a worker: some hold many times the mean, and all change.
    fn others(&self, machine: usize) -> f64 {
        let busy = self
            .dice(6, machine as u64, 0)
            .random_range(0.0..1.0f64)
            .powi(3)
            * 4.0;
        let present = self
            .dice(6, machine as u64, 1 + self.now / (400 * MS))
            .random_range(0.5..1.5);
        (self.day.others * busy * present).floor()
    }

    fn load(&self, machine: usize) -> LoadReport {
        let mut dice = self.dice(7, machine as u64, self.now);
        let held = self.others(machine) + self.machines[machine].own.len() as f64;
        // A few tell nonsense.
        let held = if dice.random_bool(0.002) {
            f64::INFINITY
        } else {
            held
        };
        let busy = (held / 16.0).min(1.0);
        LoadReport {
            in_flight: dice.random_bool(0.9).then_some(held),
            cpu_utilization: dice.random_bool(0.9).then_some(busy),
            pinned_memory: None,
            pending_loads: None,
        }
    }

    /// A send: how and when its attempt ends.
    #[allow(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    fn sent(&mut self, request: RequestId, worker: &WorkerId) {
        let Some(client) = self.clients.get_mut(&request) else {
            return;
        };
        let (function, attempt) = (client.call.function, client.attempts);
        client.attempts += 1;
        let load_time = client.call.load_time;
        let Some(&i) = self.index.get(worker) else {
            return;
        };
        client.out.insert(attempt, i);
        self.count("send");
        if attempt > 0 {
            self.count("sent again");
        }
        let mut dice = self.dice(8, request.0, u64::from(attempt));
        let (now, day) = (self.now, &self.day);
        let chance = |dice: &mut SmallRng, p: f64| dice.random_range(0.0..1.0) < p;
        let machine = &self.machines[i];
        let same = machine
            .own
            .iter()
            .filter(|(r, _)| self.clients[r].call.function == function)
            .count();
        let rank = function.0 as f64;
        let alike = day.alike / rank * dice.random_range(0.5..1.5) + same as f64;
        let held = self.others(i) + machine.own.len() as f64;
        let mut run =
            self.run_of(function.0) as f64 * dice.random_range(0.7..1.4) * (1.0 + held / 16.0);
        if chance(&mut dice, day.slow) {
            run *= 10.0;
        }
        let mut load = None;
        let first = self.dice(9, i as u64, function.0).random_range(0.0..1.0) < day.warm;
        let drained = machine.entry.started_at.is_some();
        let copy = machine
            .copies
            .get(&function)
            .copied()
            .or((first && !drained).then_some(0));
        let copy = copy.filter(|_| !chance(&mut dice, day.gone));
        let bad = self.dice(10, i as u64, 0).random_range(0.0..1.0) < day.bad;
        let mut note = Some(ReplicaStatus::Warm);
        let (outcome, took) = if machine.entry.state == EndpointState::Removed
            || chance(&mut dice, day.unreachable)
        {
            (Outcome::Unreachable, MS)
        } else if self.silent(i) || chance(&mut dice, day.mute) {
            (
                Outcome::TimedOut,
                [1_500, 4_000, 60_000][dice.random_range(0..3)] * MS,
            )
        } else if chance(&mut dice, day.full) || held > day.cap {
            (Outcome::Rejected, MS)
        } else if bad && chance(&mut dice, 0.8) || chance(&mut dice, day.error) {
            (Outcome::Error, (run * 0.2) as Time)
        } else if chance(&mut dice, day.broken) {
            (Outcome::ConnectionLost, (run * 0.5) as Time)
        } else if let Some(ready) = copy {
            let wait = ready.saturating_sub(now);
            note = Some(if wait > 0 {
                ReplicaStatus::LoadAwaited
            } else {
                ReplicaStatus::Warm
            });
            load = Some(ready);
            (Outcome::Served, wait + run as Time)
        } else if !day.settings.loading.loads_on_request {
            (Outcome::NotLoaded, MS)
        } else {
            let (least, most) = day.load;
            let usual =
                load_time.unwrap_or_else(|| self.dice(1, function.0, 2).random_range(least..=most));
            let takes = (usual as f64 * dice.random_range(0.8..1.5)) as Time;
            if chance(&mut dice, day.load_fails) {
                note = Some(ReplicaStatus::LoadFailed);
                (
                    [Outcome::Error, Outcome::NotLoaded][dice.random_range(0..2)],
                    takes / 2,
                )
            } else {
                note = Some(ReplicaStatus::LoadStarted);
                load = Some(now + takes);
                (Outcome::Served, takes + run as Time)
            }
        };
        let tells = outcome != Outcome::TimedOut && chance(&mut dice, day.tells);
        let end = AttemptFinished {
            request,
            attempt,
            worker: worker.clone(),
            outcome,
            elapsed: took,
            settled: false,
            replica_status: note.filter(|_| {
                day.settings.loading.reports_cold_starts && outcome != Outcome::TimedOut
            }),
            function_concurrency: (day.settings.loading.reports_concurrency
                && outcome == Outcome::Served)
                .then_some(alike as u32),
            load_report: if tells {
                self.load(i)
            } else {
                LoadReport::default()
            },
        };
        if outcome == Outcome::Served && chance(&mut dice, day.streams) {
            self.at(now + took / 2, What::Streaming(request));
        }
        if let Some(ready) = load {
            self.machines[i].copies.insert(function, ready);
        }
        self.machines[i].own.insert((request, attempt));
        self.at(now + took, What::Ends(request, attempt, end));
    }

    /// An attempt ends, unless it has ended before.
    fn ends(
        &mut self,
        request: RequestId,
        attempt: u32,
        mut end: AttemptFinished,
    ) -> Option<Event> {
        let client = self.clients.get_mut(&request)?;
        let machine = client.out.remove(&attempt)?;
        client.over |= end.outcome == Outcome::Served;
        end.settled = client.over;
        self.machines[machine].own.remove(&(request, attempt));
        self.forget(request);
        self.count(match end.outcome {
            Outcome::Served => "served",
            Outcome::Error => "error",
            Outcome::Rejected => "full",
            Outcome::TimedOut => "timed out",
            Outcome::Unreachable => "unreachable",
            Outcome::ConnectionLost => "broken",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not sent",
            Outcome::NotLoaded => "absent",
        });
        match end.replica_status {
            Some(ReplicaStatus::LoadStarted) => self.count("load begun"),
            Some(ReplicaStatus::LoadFailed) => self.count("load failed"),
            Some(ReplicaStatus::LoadAwaited) => self.count("load awaited"),
            _ => {}
        }
        Some(Event::AttemptFinished(end))
    }

    fn forget(&mut self, request: RequestId) {
        if self
            .clients
            .get(&request)
            .is_some_and(|c| c.over && c.out.is_empty())
        {
            self.clients.remove(&request);
        }
    }

    fn cancelled(&mut self, request: RequestId, attempt: u32) {
        self.count("cancel");
        let mut dice = self.dice(11, request.0, u64::from(attempt));
        let machine = self
            .clients
            .get(&request)
            .and_then(|c| c.out.get(&attempt))
            .copied();
        let Some(machine) = machine.filter(|_| dice.random_bool(self.day.stops)) else {
            return;
        };
        let end = AttemptFinished {
            request,
            attempt,
            worker: self.machines[machine].entry.worker.clone(),
            outcome: if dice.random_bool(0.05) {
                Outcome::NotSent
            } else {
                Outcome::Cancelled
            },
            elapsed: dice.random_range(20..400) * MS,
            settled: false,
            replica_status: None,
            function_concurrency: None,
            load_report: LoadReport::default(),
        };
        self.at(self.now + MS, What::Ends(request, attempt, end));
    }

    /// The front end gave the final answer.
    fn ended(&mut self, request: RequestId, away: Time) {
        let Some(client) = self.clients.get_mut(&request) else {
            return;
        };
        client.over = true;
        let call = client.call.clone();
        let mut dice = self.dice(12, request.0, 0);
        if dice.random_bool(self.day.retries) && self.clients.len() < 400 {
            let after = away + dice.random_range(0..300) * MS;
            self.at(self.now + after, What::Again(call));
        }
        self.forget(request);
    }

    fn ordered(&mut self, worker: &WorkerId, function: FunctionId, copies: u32) {
        self.count("hold");
        let Some(&i) = self.index.get(worker) else {
            return;
        };
        let mut dice = self.dice(13, i as u64, function.0 ^ self.now);
        let (least, most) = self.day.load;
        let stands = self.machines[i]
            .copies
            .get(&function)
            .is_some_and(|ready| *ready <= self.now);
        let takes = if stands {
            MS
        } else {
            dice.random_range(least..=most)
        };
        let fails = self.machines[i].entry.state == EndpointState::Removed
            || dice.random_bool(self.day.load_fails);
        let outcome = match dice.random_range(0..4) {
            _ if !fails => Outcome::Served,
            0 => Outcome::Error,
            1 => Outcome::NotLoaded,
            2 => Outcome::Unreachable,
            _ => Outcome::TimedOut,
        };
        if !fails {
            self.machines[i].copies.insert(function, self.now + takes);
        }
        self.count(if fails { "order failed" } else { "order done" });
        let stand = if fails {
            dice.random_range(0..2)
        } else {
            copies + dice.random_range(0..2)
        };
        let reply = LoadFinished {
            worker: worker.clone(),
            function,
            outcome,
            elapsed: takes,
            replicas: stand,
        };
        self.at(self.now + takes, What::Ordered(reply));
    }

    // ---- the list ----

    fn new_machine(&mut self) -> usize {
        let (n, i) = (self.next_name, self.machines.len());
        self.next_name += 1;
        let worker = WorkerId::new(&format!("10.{}.{}.{}:8080", n >> 16, n >> 8 & 255, n & 255));
        let mut dice = self.dice(2, n, 0);
        // Zones of unequal sizes: the first has the most.
        let zone = (dice.random_range(0.0..1.0f64).powf(1.5) * self.day.zones as f64) as usize;
        let started = (dice.random_range(0.0..1.0) < self.day.started || self.now > self.day.start)
            .then(|| self.now.saturating_sub(dice.random_range(0..3_000) * MS));
        let entry = Endpoint {
            worker: worker.clone(),
            weight: [0.0, 1.0, 2.0][dice.random_range(0..3)],
            state: EndpointState::Ready,
            zone: if self.day.zones > 0 {
                format!("z{zone}")
            } else {
                String::new()
            },
            cell: dice.random_range(0..4),
            memory_mb: [0.0, 2_000.0, 16_000.0][dice.random_range(0..3)],
            started_at: started,
        };
        self.machines.push(Machine {
            entry,
            copies: BTreeMap::new(),
            own: BTreeSet::new(),
        });
        self.index.insert(worker, i);
        i
    }

    /// A new process in place of a worker.
    fn restart(&mut self, machine: usize) {
        let (m, now) = (&mut self.machines[machine], self.now);
        m.copies.clear();
        (m.entry.state, m.entry.started_at) = (EndpointState::Ready, Some(now));
    }

    /// Something changes; what is told of it is a list of some kind.
    fn draw_news(&mut self) -> Event {
        let mut named = BTreeSet::new();
        for _ in 0..self.news.random_range(1..4) {
            let i = match self.news.random_range(0..10) {
                0 if self.machines.len() < 600 => self.new_machine(),
                _ => self.news.random_range(0..self.machines.len()),
            };
            match self.news.random_range(0..8) {
                0 | 1 if self.day.odd => self.machines[i].entry.state = EndpointState::Draining,
                2 => self.machines[i].entry.state = EndpointState::Removed,
                3 | 4 => self.restart(i),
                5 if self.day.odd => self.machines[i].entry.zone = "z1".to_string(),
                6 => self.machines[i].entry.weight = 1.5,
                _ => self.machines[i].entry.state = EndpointState::Ready,
            }
            named.insert(i);
        }
        let roll = if self.day.odd {
            self.news.random_range(0..12)
        } else {
            11
        };
        let mut entries: Vec<Endpoint> = named
            .iter()
            .map(|i| self.machines[*i].entry.clone())
            .collect();
        match roll {
            0 => {
                self.count("list lost");
                Event::Endpoints {
                    update: EndpointUpdate::Lost,
                    endpoints: Vec::new(),
                }
            }
            1 | 2 => {
                self.count("list complete");
                self.complete()
            }
            3 => {
                // A stale one: some are missing.
                self.count("list remembered");
                let Event::Endpoints {
                    endpoints: mut entries,
                    ..
                } = self.complete()
                else {
                    return self.complete();
                };
                entries.retain(|_| self.news.random_bool(0.8));
                Event::Endpoints {
                    update: EndpointUpdate::Cached,
                    endpoints: entries,
                }
            }
            4 | 5 => {
                // The same worker twice, first as it was not; and one that nobody knows, gone.
                self.count("list with one twice");
                let stray = Endpoint {
                    worker: WorkerId::new("nobody:1"),
                    state: EndpointState::Removed,
                    ..Endpoint::default()
                };
                if let Some(first) = entries.first().cloned() {
                    let states = [
                        EndpointState::Ready,
                        EndpointState::Draining,
                        EndpointState::Removed,
                    ];
                    let state = states[self.news.random_range(0..3)];
                    let started = Some(self.now).filter(|_| self.news.random_bool(0.5));
                    entries.insert(
                        0,
                        Endpoint {
                            state,
                            started_at: started,
                            ..first
                        },
                    );
                }
                entries.push(stray);
                Event::Endpoints {
                    update: EndpointUpdate::Delta,
                    endpoints: entries,
                }
            }
            _ => {
                self.count("list of changes");
                Event::Endpoints {
                    update: EndpointUpdate::Delta,
                    endpoints: entries,
                }
            }
        }
    }
}
