//! The world of a scenario: what is due becomes event lines, the actions of the reply become what is due.

use std::collections::BTreeMap;

use super::settings::Settings;
use super::tier::{Condition, Listed, Worker};
use super::{MILLISECOND, SECOND};
use crate::random::Random;
use crate::recording::Transcript;
use crate::schedule::Schedule;

/// The most workers of a scenario.
pub(super) const MAX_WORKERS: usize = 700;
/// The largest tier of which a front end considers every worker.
const MAX_CONSIDERED: usize = 512;
/// Replies with more actions than this in a whole scenario are a runaway.
const MAX_ACTIONS: u64 = 400_000;

/// The program under test.
pub trait LineProtocol {
    /// Hands over one batch, its `end` line included; the reply up to and with its `end` line.
    fn exchange(&mut self, batch: &str) -> String;
}

/// What comes due in a scenario.
#[derive(Debug)]
pub(super) enum Event {
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
    SubscriptionAnswer {
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
    ClientCancels {
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
pub(super) struct Attempt {
    pub(super) worker: usize,
    pub(super) sent: u64,
    pub(super) ended: bool,
}

#[derive(Debug)]
pub(super) struct Request {
    pub(super) function: u64,
    pub(super) deadline: u64,
    pub(super) stream: bool,
    pub(super) streaming: bool,
    pub(super) settled: bool,
    pub(super) attempts: Vec<Attempt>,
}

#[derive(Debug, Default)]
pub(super) struct FrontEnd {
    pub(super) life: u64,
    pub(super) requests: BTreeMap<u64, Request>,
    pub(super) subscribed: bool,
    pub(super) revision: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Function {
    name: u64,
    memory: u64,
    lanes: u64,
    load: Option<u64>,
    class: usize,
}

/// All that a scenario consists of.
pub(super) struct World<'a> {
    pub(super) random: Random,
    pub(super) schedule: Schedule<Event>,
    pub(super) workers: Vec<Worker>,
    pub(super) now: u64,
    pub(super) loads_fail_until: u64,
    pub(super) settings: Settings,
    pub(super) functions: Vec<Function>,
    pub(super) front_ends: Vec<FrontEnd>,
    pub(super) by_address: BTreeMap<String, usize>,
    pub(super) next_request: u64,
    /// Errors of all workers alike, in a thousand attempts, and until when there are any.
    pub(super) errors_everywhere: (u64, u64),
    pub(super) length: u64,
    pub(super) gap: u64,
    pub(super) lines: Vec<String>,
    pub(super) actions: u64,
    pub(super) transcript: &'a mut Transcript,
}

/// Runs the scenario of a seed against the program under test.
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
        let considered = workers.len() <= MAX_CONSIDERED;
        transcript.count(if considered {
            "scenario with at most 512 workers"
        } else {
            "scenario with more than 512 workers"
        });
        let (low, high) = random.pick(&[(1, 10), (10, 40), (40, 120)]);
        let functions =
            (0..random.between(low, high)).map(|_| Function::draw(&mut random, &settings)).collect();
        // A few scenarios are long, with less in each second.
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
        world.schedule.add(world.now + MILLISECOND, Event::Arrival { again: true, function: None });
        world.schedule.add(world.now + 500 * MILLISECOND, Event::Incident);
        world
    }

    // ---- batches ----

    /// Turns all that is due into lines.
    fn collect(&mut self) {
        while let Some(event) = self.schedule.take_due(self.now) {
            self.handle(event);
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
                assert!(self.actions < MAX_ACTIONS, "the program acts without end");
                self.act(line);
            }
        }
    }

    /// Notes an event line and counts it under a kind.
    pub(super) fn emit(&mut self, kind: &str, line: String) {
        self.transcript.count(&format!("in {kind}"));
        self.lines.push(line);
    }

    // ---- what comes due ----

    fn alive(&self, front_end: usize, life: u64) -> bool {
        self.front_ends[front_end].life == life
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { again, function } => self.arrival(again, function),
            Event::Incident => self.incident(),
            Event::Listed { worker, state } => self.publish_state(worker, state),
            Event::Restarted { worker } => self.restarted(worker),
            Event::Recovered { worker } => self.recovered(worker),
            Event::Line { front_end, life, line } if self.alive(front_end, life) => {
                self.emit(line.split(' ').next().unwrap_or_default(), line.clone());
            }
            Event::SubscriptionAnswer { front_end, life } if self.alive(front_end, life) => {
                self.subscription_answer(front_end);
            }
            Event::StreamBegins { front_end, life, request, attempt } if self.alive(front_end, life) => {
                self.stream_begins(front_end, request, attempt);
            }
            Event::AttemptEnds { front_end, life, request, attempt, ending, detail }
                if self.alive(front_end, life) =>
            {
                self.attempt_ends(front_end, request, attempt, ending, detail);
            }
            Event::Deadline { front_end, life, request } if self.alive(front_end, life) => {
                self.deadline(front_end, request);
            }
            Event::ClientCancels { front_end, life, request } if self.alive(front_end, life) => {
                self.client_cancels(front_end, request);
            }
            Event::ProbeEnds { front_end, life, worker, sent } if self.alive(front_end, life) => {
                self.probe_ends(front_end, &worker, sent);
            }
            Event::OrderEnds { front_end, life, worker, function, sent, status }
                if self.alive(front_end, life) =>
            {
                let copies = u64::from(status == "S");
                let took = self.now - sent;
                let line =
                    format!("brought_up {front_end} {worker} {function:016x} {status} {took} {copies}");
                self.emit(&format!("brought_up {status}"), line);
            }
            // Meant for an earlier life of the front end.
            _ => {}
        }
    }

    fn arrival(&mut self, again: bool, function: Option<usize>) {
        if again {
            let gap = self.random.between(MILLISECOND, 2 * self.gap);
            self.schedule.add(self.now + gap, Event::Arrival { again, function });
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
        self.emit("query", line);
        self.front_ends[front_end].requests.insert(id, request);
        self.schedule.add(self.now + budget, Event::Deadline { front_end, life, request: id });
        if self.random.per_mille(50) {
            // Some leave at once: what is sent for them then is moot.
            let left = self.now + if self.random.per_mille(200) { 0 } else { self.random.between(1, budget) };
            self.schedule.add(left, Event::ClientCancels { front_end, life, request: id });
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
        self.emit("head_received", line);
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
        self.emit(&format!("completed {ending}"), line);
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
        self.schedule.add(self.now + 8 * MILLISECOND, Event::ClientCancels { front_end, life, request: id });
    }

    /// The client leaves; the front end is told a little later.
    fn client_cancels(&mut self, front_end: usize, id: u64) {
        let life = self.front_ends[front_end].life;
        let Some(request) = self.front_ends[front_end].requests.get_mut(&id) else { return };
        if !request.settled && !request.streaming {
            request.settled = true;
            let line = format!("lapsed {front_end} {id}");
            let told = self.now + self.random.between(0, 20) * MILLISECOND;
            self.schedule.add(told, Event::Line { front_end, life, line });
        }
    }

    fn probe_ends(&mut self, front_end: usize, address: &str, sent: u64) {
        let worker = &self.workers[self.by_address[address]];
        let sound = !matches!(worker.condition, Condition::Crashed | Condition::Silent);
        let status = if sound { "S" } else { "C" };
        let load = if sound { worker.report(&mut self.random) } else { "-".to_string() };
        let took = self.now - sent;
        let line = format!("health_result {front_end} {took} {status} {address} {load}");
        self.emit(&format!("health_result {status}"), line);
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
