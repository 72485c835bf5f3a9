//! The world of a day: what is due becomes event lines, the actions of the reply become what is due.

use std::collections::BTreeMap;

use super::settings::Settings;
use super::tier::{Condition, Listed, Worker};
use super::{MILLISECOND, SECOND};
use crate::random::Random;
use crate::recording::Transcript;
use crate::schedule::Schedule;

/// The most workers of a day.
pub(super) const WORKERS_MOST: usize = 700;
/// The largest tier of which a front end considers every worker.
const CONSIDERED_MOST: usize = 512;
/// Replies with more actions than this in a whole day are a runaway.
const ACTIONS_MOST: u64 = 400_000;

/// The program under test.
pub trait LineProtocol {
    /// Hands over one batch, its `end` line included; the reply up to and with its `end` line.
    fn exchange(&mut self, batch: &str) -> String;
}

/// What comes due in a day.
#[derive(Debug)]
pub(super) enum Happening {
    Arrival {
        again: bool,
        function: Option<usize>,
    },
    Incident,
    Listed {
        worker: usize,
        state: Listed,
    },
    Restarted {
        worker: usize,
    },
    Recovered {
        worker: usize,
    },
    /// A line for a front end in this life of it.
    Line {
        front_end: usize,
        life: u64,
        line: String,
    },
    ListAnswer {
        front_end: usize,
        life: u64,
    },
    StreamBegins {
        front_end: usize,
        life: u64,
        request: u64,
        attempt: usize,
    },
    AttemptEnds {
        front_end: usize,
        life: u64,
        request: u64,
        attempt: usize,
        ending: &'static str,
        detail: u32,
    },
    Deadline {
        front_end: usize,
        life: u64,
        request: u64,
    },
    ClientLeaves {
        front_end: usize,
        life: u64,
        request: u64,
    },
    ProbeEnds {
        front_end: usize,
        life: u64,
        worker: String,
        sent: u64,
    },
    OrderEnds {
        front_end: usize,
        life: u64,
        worker: String,
        function: u64,
        sent: u64,
        status: &'static str,
    },
}

#[derive(Debug)]
struct Attempt {
    worker: usize,
    sent: u64,
    ended: bool,
}

#[derive(Debug)]
struct Request {
    function: u64,
    deadline: u64,
    stream: bool,
    streaming: bool,
    settled: bool,
    attempts: Vec<Attempt>,
}

#[derive(Debug, Default)]
struct FrontEnd {
    life: u64,
    requests: BTreeMap<u64, Request>,
    subscribed: bool,
    revision: u64,
}

#[derive(Clone, Debug)]
struct Function {
    name: u64,
    memory: u64,
    lanes: u64,
    load: Option<u64>,
    class: usize,
}

/// All that a day consists of.
pub(super) struct World<'a> {
    pub(super) random: Random,
    pub(super) schedule: Schedule<Happening>,
    pub(super) workers: Vec<Worker>,
    pub(super) now: u64,
    pub(super) loads_fail_until: u64,
    settings: Settings,
    functions: Vec<Function>,
    front_ends: Vec<FrontEnd>,
    by_address: BTreeMap<String, usize>,
    next_request: u64,
    /// Errors of all workers alike, in a thousand attempts, and until when there are any.
    pub(super) errors_everywhere: (u64, u64),
    length: u64,
    gap: u64,
    lines: Vec<String>,
    actions: u64,
    transcript: &'a mut Transcript,
}

/// Runs the day of a seed against the program under test.
pub fn run(seed: u64, program: &mut impl LineProtocol, transcript: &mut Transcript) {
    let mut world = World::draw(seed, transcript);
    let end = world.now + world.length;
    for front_end in 0..world.front_ends.len() {
        world.attach(front_end);
    }
    while world.now < end {
        world.collect();
        let batch = world.batch();
        let reply = program.exchange(&batch);
        world.act_on(&reply);
        let granularity = world.settings.granularity;
        let due = world.schedule.next_due().unwrap_or(end).max(world.now + granularity);
        world.now = due.div_ceil(granularity) * granularity;
    }
}

impl<'a> World<'a> {
    fn draw(seed: u64, transcript: &'a mut Transcript) -> Self {
        let mut random = Random::new(seed);
        let settings = Settings::draw(&mut random);
        let (low, high) = random.pick(&[(1, 3), (2, 12), (10, 40), (10, 40), (40, 120), (500, 690)]);
        let workers: Vec<_> =
            (0..random.between(low, high)).map(|number| Worker::draw(&mut random, number)).collect();
        let considered = workers.len() <= CONSIDERED_MOST;
        transcript.count(if considered {
            "day with at most 512 workers"
        } else {
            "day with more than 512 workers"
        });
        let (low, high) = random.pick(&[(1, 10), (10, 40), (40, 120)]);
        let functions =
            (0..random.between(low, high)).map(|_| Function::draw(&mut random, &settings)).collect();
        // A few days are long, with less in each second.
        let (length, gap) = if random.per_mille(120) {
            (random.between(25, 40), random.between(20, 50))
        } else {
            (random.between(6, 14), random.between(4, 40))
        };
        let mut world = World {
            schedule: Schedule::default(),
            now: 1_000 * SECOND + random.between(0, 50) * SECOND,
            loads_fail_until: 0,
            functions,
            front_ends: (0..random.between(1, 3)).map(|_| FrontEnd::default()).collect(),
            by_address: BTreeMap::new(),
            next_request: 1,
            errors_everywhere: (0, 0),
            length: length * SECOND,
            gap: gap * MILLISECOND,
            lines: Vec::new(),
            actions: 0,
            random,
            settings,
            workers,
            transcript,
        };
        world.schedule.add(world.now + MILLISECOND, Happening::Arrival { again: true, function: None });
        world.schedule.add(world.now + 500 * MILLISECOND, Happening::Incident);
        world
    }

    // ---- batches ----

    /// Turns all that is due into lines.
    fn collect(&mut self) {
        while let Some(happening) = self.schedule.take_due(self.now) {
            self.happen(happening);
        }
    }

    fn batch(&mut self) -> String {
        let mut batch = format!("sync {}\n", self.now);
        for line in std::mem::take(&mut self.lines) {
            batch.push_str(&line);
            batch.push('\n');
        }
        batch.push_str("end\n");
        batch.lines().for_each(|line| self.transcript.input(line));
        batch
    }

    fn act_on(&mut self, reply: &str) {
        for line in reply.lines() {
            self.transcript.output(line);
            if line != "end" {
                self.actions += 1;
                assert!(self.actions < ACTIONS_MOST, "the program acts without end");
                self.act(line);
            }
        }
    }

    /// Notes an event line and counts it under a kind.
    fn say(&mut self, kind: &str, line: String) {
        self.transcript.count(&format!("in {kind}"));
        self.lines.push(line);
    }

    // ---- what comes due ----

    fn alive(&self, front_end: usize, life: u64) -> bool {
        self.front_ends[front_end].life == life
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival { again, function } => self.arrival(again, function),
            Happening::Incident => self.incident(),
            Happening::Listed { worker, state } => self.list_state(worker, state),
            Happening::Restarted { worker } => self.restarted(worker),
            Happening::Recovered { worker } => self.recovered(worker),
            Happening::Line { front_end, life, line } if self.alive(front_end, life) => {
                self.say(line.split(' ').next().unwrap_or_default(), line.clone());
            }
            Happening::ListAnswer { front_end, life } if self.alive(front_end, life) => {
                self.list_answer(front_end);
            }
            Happening::StreamBegins { front_end, life, request, attempt } if self.alive(front_end, life) => {
                self.stream_begins(front_end, request, attempt);
            }
            Happening::AttemptEnds { front_end, life, request, attempt, ending, detail }
                if self.alive(front_end, life) =>
            {
                self.attempt_ends(front_end, request, attempt, ending, detail);
            }
            Happening::Deadline { front_end, life, request } if self.alive(front_end, life) => {
                self.deadline(front_end, request);
            }
            Happening::ClientLeaves { front_end, life, request } if self.alive(front_end, life) => {
                self.client_leaves(front_end, request);
            }
            Happening::ProbeEnds { front_end, life, worker, sent } if self.alive(front_end, life) => {
                self.probe_ends(front_end, &worker, sent);
            }
            Happening::OrderEnds { front_end, life, worker, function, sent, status }
                if self.alive(front_end, life) =>
            {
                let copies = u64::from(status == "S");
                let took = self.now - sent;
                let line =
                    format!("brought_up {front_end} {worker} {function:016x} {status} {took} {copies}");
                self.say(&format!("brought_up {status}"), line);
            }
            // Meant for an earlier life of the front end.
            _ => {}
        }
    }

    fn arrival(&mut self, again: bool, function: Option<usize>) {
        if again {
            let gap = self.random.between(MILLISECOND, 2 * self.gap);
            self.schedule.add(self.now + gap, Happening::Arrival { again, function });
        }
        let front_end = self.random.between(0, self.front_ends.len() as u64 - 1) as usize;
        // Low numbers are asked for more often.
        let last = self.functions.len() as u64 - 1;
        let drawn = self.random.between(0, last).min(self.random.between(0, last));
        let function = self.functions[function.unwrap_or(drawn as usize)].clone();
        let class = &self.settings.classes[function.class];
        let budget = class.deadline * self.random.between(4, 10) / 10;
        let (id, life) = (self.next_request, self.front_ends[front_end].life);
        self.next_request += 1;
        let expected =
            if self.random.per_mille(300) { "-".into() } else { self.random.between(1, 90).to_string() };
        let load = function.load.map_or_else(|| "-".to_string(), |load| load.to_string());
        let line = format!(
            "query {front_end} {id} {expected} - {} {} {} {load} {:016x} 1 {budget}",
            function.memory, function.lanes, class.name, function.name
        );
        let request = Request {
            function: function.name,
            deadline: self.now + budget,
            stream: class.stream,
            streaming: false,
            settled: false,
            attempts: Vec::new(),
        };
        self.say("query", line);
        self.front_ends[front_end].requests.insert(id, request);
        self.schedule.add(self.now + budget, Happening::Deadline { front_end, life, request: id });
        if self.random.per_mille(50) {
            // Some leave at once: what is sent for them then is moot.
            let left = self.now + if self.random.per_mille(200) { 0 } else { self.random.between(1, budget) };
            self.schedule.add(left, Happening::ClientLeaves { front_end, life, request: id });
        }
    }

    fn stream_begins(&mut self, front_end: usize, id: u64, attempt: usize) {
        let now = self.now;
        let Some(request) = self.front_ends[front_end].requests.get_mut(&id) else { return };
        if request.settled || request.streaming || request.attempts[attempt].ended {
            return;
        }
        request.streaming = true;
        let (worker, took) = (request.attempts[attempt].worker, now - request.attempts[attempt].sent);
        let address = &self.workers[worker].address;
        let line = format!("head_received {front_end} {id} {attempt} {address} {took}");
        self.say("head_received", line);
    }

    fn attempt_ends(&mut self, front_end: usize, id: u64, number: usize, ending: &'static str, detail: u32) {
        let now = self.now;
        let Some(request) = self.front_ends[front_end].requests.get_mut(&id) else { return };
        let attempt = &mut request.attempts[number];
        if attempt.ended {
            return;
        }
        attempt.ended = true;
        request.settled |= ending == "S" || request.streaming;
        let (settled, took) = (u8::from(request.settled), now - attempt.sent);
        let worker = &mut self.workers[attempt.worker];
        worker.held = worker.held.saturating_sub(1);
        let told = matches!(ending, "S" | "F" | "E") && self.settings.reports == "answers";
        let load = if told { worker.report(&mut self.random) } else { "-".to_string() };
        let address = &worker.address;
        let line = format!(
            "completed {front_end} {id} {number} {address} {ending} {took} {settled} {detail} {load}"
        );
        self.say(&format!("completed {ending}"), line);
    }

    /// The client's time is over: what is out times out, and an owed answer is given up a little later.
    fn deadline(&mut self, front_end: usize, id: u64) {
        let life = self.front_ends[front_end].life;
        let Some(request) = self.front_ends[front_end].requests.get(&id) else { return };
        if request.streaming {
            return;
        }
        let out: Vec<_> = (0..request.attempts.len()).filter(|n| !request.attempts[*n].ended).collect();
        for number in out {
            self.attempt_ends(front_end, id, number, "T", 0);
        }
        self.schedule
            .add(self.now + 8 * MILLISECOND, Happening::ClientLeaves { front_end, life, request: id });
    }

    /// The client leaves; the front end is told a little later.
    fn client_leaves(&mut self, front_end: usize, id: u64) {
        let life = self.front_ends[front_end].life;
        let Some(request) = self.front_ends[front_end].requests.get_mut(&id) else { return };
        if !request.settled && !request.streaming {
            request.settled = true;
            let line = format!("lapsed {front_end} {id}");
            let told = self.now + self.random.between(0, 20) * MILLISECOND;
            self.schedule.add(told, Happening::Line { front_end, life, line });
        }
    }

    fn probe_ends(&mut self, front_end: usize, address: &str, sent: u64) {
        let worker = &self.workers[self.by_address[address]];
        let sound = !matches!(worker.condition, Condition::Crashed | Condition::Silent);
        let status = if sound { "S" } else { "C" };
        let load = if sound { worker.report(&mut self.random) } else { "-".to_string() };
        let took = self.now - sent;
        let line = format!("health_result {front_end} {took} {status} {address} {load}");
        self.say(&format!("health_result {status}"), line);
    }

    // ---- lists ----

    fn say_list(&mut self, front_end: usize, kind: &str, workers: &[usize]) {
        let told = &mut self.front_ends[front_end];
        told.revision += 1;
        let revision = told.revision;
        let head = format!("backends_changed {front_end} {revision} {kind} {}", workers.len());
        self.say(&format!("backends_changed {kind}"), head);
        for number in workers {
            let worker = &self.workers[*number];
            self.lines.push(worker.entry());
            self.by_address.insert(worker.address.clone(), *number);
        }
    }

    fn listed(&self) -> Vec<usize> {
        (0..self.workers.len()).filter(|n| self.workers[*n].listed != Listed::Gone).collect()
    }

    /// The place of a function that is asked for seldom or often.
    pub(super) fn any_function(&mut self) -> usize {
        self.random.between(0, self.functions.len() as u64 - 1) as usize
    }

    pub(super) fn tell_changes(&mut self, workers: &[usize]) {
        for front_end in 0..self.front_ends.len() {
            if self.front_ends[front_end].subscribed {
                self.say_list(front_end, "incr", workers);
            }
        }
    }

    pub(super) fn tell_all(&mut self, kind: &str) {
        let listed = self.listed();
        for front_end in 0..self.front_ends.len() {
            if self.front_ends[front_end].subscribed {
                self.say_list(front_end, kind, &listed);
            }
        }
    }

    fn list_answer(&mut self, front_end: usize) {
        if self.random.per_mille(200) {
            return self.say_list(front_end, "lost", &[]);
        }
        self.front_ends[front_end].subscribed = true;
        let listed = self.listed();
        self.say_list(front_end, "total", &listed);
    }

    pub(super) fn lose_subscription(&mut self) {
        let front_end = self.random.between(0, self.front_ends.len() as u64 - 1) as usize;
        if self.settings.list_on_request && self.front_ends[front_end].subscribed {
            self.front_ends[front_end].subscribed = false;
            self.say_list(front_end, "lost", &[]);
        }
    }

    // ---- front ends ----

    /// A front end begins, with a list that may be stale.
    fn attach(&mut self, number: usize) {
        self.withdraw_all(number);
        let life = self.front_ends[number].life + 1;
        let subscribed = !self.settings.list_on_request;
        self.front_ends[number] = FrontEnd { life, subscribed, ..FrontEnd::default() };
        let seed = self.random.number() >> 1;
        let text = self.settings.text(number as u64);
        self.say("attach", format!("attach {number} {seed} {text}"));
        let stale: Vec<_> = self.listed().into_iter().filter(|_| !self.random.per_mille(100)).collect();
        self.say_list(number, "warm_copy", &stale);
        if subscribed {
            let at = self.now + self.random.between(0, 200) * MILLISECOND;
            self.schedule.add(at, Happening::ListAnswer { front_end: number, life });
        }
    }

    /// What a front end that ends has out is held by the workers no more.
    fn withdraw_all(&mut self, front_end: usize) {
        let attempts = self.front_ends[front_end].requests.values().flat_map(|request| &request.attempts);
        for attempt in attempts.filter(|attempt| !attempt.ended) {
            let worker = &mut self.workers[attempt.worker];
            worker.held = worker.held.saturating_sub(1);
        }
    }

    pub(super) fn restart_front_end(&mut self) {
        let number = self.random.between(0, self.front_ends.len() as u64 - 1) as usize;
        // What is already in the batch for it stays: it came before the end.
        self.say("killed", format!("killed {number}"));
        self.attach(number);
    }

    pub(super) fn tell_peer_message(&mut self) {
        let number = self.random.between(0, self.front_ends.len() as u64 - 1);
        let bytes =
            if self.random.per_mille(200) { "-".into() } else { format!("{:016x}", self.random.number()) };
        self.say("heard", format!("heard {number} 1 {bytes}"));
    }

    // ---- actions ----

    fn act(&mut self, line: &str) {
        let parts: Vec<&str> = line.split(' ').collect();
        let number = |place: usize| parts[place].parse::<u64>().expect("a number in an action");
        let front_end = number(1) as usize;
        let life = self.front_ends[front_end].life;
        let kind = match parts[0] {
            "reject" if parts[3] == "-" => "reject without a time",
            "reject" => "reject with a time",
            other => other,
        };
        self.transcript.count(&format!("out {kind}"));
        match parts[0] {
            "hand_off" => self.begin_attempt(front_end, number(2), parts[3], parts[4]),
            "recall" => {
                let (request, attempt) = (number(2), number(3) as usize);
                let at = self.now + self.settings.granularity;
                let ended =
                    Happening::AttemptEnds { front_end, life, request, attempt, ending: "X", detail: 0 };
                self.schedule.add(at, ended);
            }
            "reject" | "abort" => {
                if let Some(request) = self.front_ends[front_end].requests.get_mut(&number(2)) {
                    request.settled = true;
                }
            }
            "touch" => {
                let at = self.now + self.random.between(1, 40) * MILLISECOND;
                let (worker, sent) = (parts[2].to_string(), self.now);
                self.schedule.add(at, Happening::ProbeEnds { front_end, life, worker, sent });
            }
            "bring_up" => self.order(front_end, parts[2], parts[3]),
            "shelve" => {
                let function = u64::from_str_radix(parts[2], 16).expect("a function");
                let worker = self.by_address[parts[3]];
                self.workers[worker].copies.remove(&function);
            }
            "remind" => {
                let line = format!("wake {front_end} {}", parts[3]);
                self.schedule.add(self.now + number(2).max(1), Happening::Line { front_end, life, line });
            }
            "tail" => {
                let at = self.now + self.random.between(1, 60) * MILLISECOND;
                self.schedule.add(at, Happening::ListAnswer { front_end, life });
            }
            other => panic!("an unknown action: {other}"),
        }
    }

    fn begin_attempt(&mut self, front_end: usize, id: u64, address: &str, most: &str) {
        let worker = self.by_address[address];
        let (life, now) = (self.front_ends[front_end].life, self.now);
        let loads_fail = now < self.loads_fail_until;
        // An action that was written just before the front end was killed names a request of its earlier life.
        let Some(request) = self.front_ends[front_end].requests.get_mut(&id) else { return };
        let attempt = request.attempts.len();
        request.attempts.push(Attempt { worker, sent: now, ended: false });
        let moot = request.settled || request.streaming || attempt >= self.settings.most_tries;
        let (mut ending, mut after, mut detail) = ("N", self.settings.granularity, 0);
        let (errors, errors_until) = self.errors_everywhere;
        if !moot && now < errors_until && self.random.per_mille(errors) {
            (ending, after) = ("E", 5 * MILLISECOND);
        } else if !moot {
            let drawn = self.workers[worker].attempt(
                &mut self.random,
                &self.settings,
                now,
                request.function,
                loads_fail,
            );
            (ending, after, detail) = (drawn.status, drawn.after, drawn.detail);
        }
        self.workers[worker].held += 1;
        if let Some(most) = most.parse().ok().filter(|most| *most < after) {
            (ending, after, detail) = ("T", most, 0);
        }
        if request.stream && ending == "S" {
            let begins = now + after / 2;
            if begins < request.deadline {
                let event = Happening::StreamBegins { front_end, life, request: id, attempt };
                self.schedule.add(begins, event);
            }
            if self.random.per_mille(100) {
                (ending, detail) = ("R", 0);
            }
        }
        let ends = Happening::AttemptEnds { front_end, life, request: id, attempt, ending, detail };
        self.schedule.add(now + after, ends);
    }

    fn order(&mut self, front_end: usize, function: &str, address: &str) {
        let function = u64::from_str_radix(function, 16).expect("a function");
        let index = self.by_address[address];
        let trip = self.random.between(1, 5) * MILLISECOND;
        let fails = self.now < self.loads_fail_until;
        let worker = &mut self.workers[index];
        let (status, after) = match worker.condition {
            Condition::Crashed => ("C", trip),
            Condition::Silent => ("T", self.settings.order_timeout),
            _ if worker.listed != Listed::Live => ("F", trip),
            Condition::Full => ("F", trip),
            _ if fails => ("E", trip * 20),
            _ => ("S", worker.load(&mut self.random, self.now, function).saturating_sub(self.now) + trip),
        };
        let (life, sent, worker) = (self.front_ends[front_end].life, self.now, address.to_string());
        let ends = Happening::OrderEnds { front_end, life, worker, function, sent, status };
        self.schedule.add(self.now + after, ends);
    }
}

impl Function {
    fn draw(random: &mut Random, settings: &Settings) -> Self {
        Function {
            name: random.number(),
            memory: random.between(64, 1_200),
            lanes: random.between(1, 4),
            load: random.per_mille(500).then(|| random.between(50, 900)),
            class: random.between(0, settings.classes.len() as u64 - 1) as usize,
        }
    }
}
