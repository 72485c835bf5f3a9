//! Requests and health checks: how they begin, what becomes of them, and what the front end is told.

use super::MILLISECOND;
use super::event::Event;
use super::settings::Settings;
use super::tier::Condition;
use super::world::World;
use crate::random::Random;

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

#[derive(Clone, Debug)]
pub(super) struct Function {
    name: u64,
    memory: u64,
    replica_concurrency: u64,
    load: Option<u64>,
    class: usize,
}

impl World<'_> {
    pub(super) fn request_arrives(&mut self, recurring: bool, function: Option<usize>) {
        if recurring {
            let gap = self.random.between(MILLISECOND, 2 * self.mean_arrival_gap);
            self.schedule.add(
                self.now + gap,
                Event::Arrival {
                    recurring,
                    function,
                },
            );
        }
        let front_end = self.random.between(0, self.front_ends.len() as u64 - 1) as usize;
        // Low numbers are asked for more often.
        let last = self.functions.len() as u64 - 1;
        let drawn = self
            .random
            .between(0, last)
            .min(self.random.between(0, last));
        let function = self.functions[function.unwrap_or(drawn as usize)].clone();
        let class = &self.settings.classes[function.class];
        let timeout = class.deadline * self.random.between(4, 10) / 10;
        let (id, incarnation) = (self.next_request, self.front_ends[front_end].incarnation);
        self.next_request += 1;
        let expected = if self.random.per_mille(300) {
            "-".into()
        } else {
            self.random.between(1, 90).to_string()
        };
        let load = function
            .load
            .map_or_else(|| "-".to_string(), |load| load.to_string());
        let line = format!(
            "query {front_end} {id} {expected} - {} {} {} {load} {:016x} 1 {timeout}",
            function.memory, function.replica_concurrency, class.name, function.name
        );
        let request = Request {
            function: function.name,
            deadline: self.now + timeout,
            stream: class.stream,
            streaming: false,
            settled: false,
            attempts: Vec::new(),
        };
        self.emit("query", line);
        self.front_ends[front_end].requests.insert(id, request);
        self.schedule.add(
            self.now + timeout,
            Event::Deadline {
                front_end,
                incarnation,
                request: id,
            },
        );
        if self.random.per_mille(50) {
            // Some cancel at once: attempts that are sent for them afterwards are moot.
            let left = self.now
                + if self.random.per_mille(200) {
                    0
                } else {
                    self.random.between(1, timeout)
                };
            self.schedule.add(
                left,
                Event::ClientCancels {
                    front_end,
                    incarnation,
                    request: id,
                },
            );
        }
    }

    pub(super) fn stream_begins(&mut self, front_end: usize, id: u64, attempt: usize) {
        let now = self.now;
        let Some(request) = self.front_ends[front_end].requests.get_mut(&id) else {
            return;
        };
        if request.settled || request.streaming || request.attempts[attempt].ended {
            return;
        }
        request.streaming = true;
        let (worker, elapsed) = (
            request.attempts[attempt].worker,
            now - request.attempts[attempt].sent,
        );
        let address = &self.workers[worker].address;
        let line = format!("head_received {front_end} {id} {attempt} {address} {elapsed}");
        self.emit("head_received", line);
    }

    pub(super) fn attempt_ends(
        &mut self,
        front_end: usize,
        id: u64,
        number: usize,
        status: &'static str,
        detail: u32,
    ) {
        let now = self.now;
        let Some(request) = self.front_ends[front_end].requests.get_mut(&id) else {
            return;
        };
        let attempt = &mut request.attempts[number];
        if attempt.ended {
            return;
        }
        attempt.ended = true;
        request.settled |= status == "S" || request.streaming;
        let (settled, elapsed) = (u8::from(request.settled), now - attempt.sent);
        let worker = &mut self.workers[attempt.worker];
        worker.in_flight = worker.in_flight.saturating_sub(1);
        let told = matches!(status, "S" | "F" | "E") && self.settings.load_reports == "answers";
        let load = if told {
            worker.report(&mut self.random)
        } else {
            "-".to_string()
        };
        let address = &worker.address;
        let line = format!(
            "completed {front_end} {id} {number} {address} {status} {elapsed} {settled} {detail} {load}"
        );
        self.emit(&format!("completed {status}"), line);
    }

    /// The client's time is over: what is out times out, and an owed answer is given up a little later.
    pub(super) fn deadline(&mut self, front_end: usize, id: u64) {
        let incarnation = self.front_ends[front_end].incarnation;
        let Some(request) = self.front_ends[front_end].requests.get(&id) else {
            return;
        };
        if request.streaming {
            return;
        }
        let out: Vec<_> = (0..request.attempts.len())
            .filter(|n| !request.attempts[*n].ended)
            .collect();
        for number in out {
            self.attempt_ends(front_end, id, number, "T", 0);
        }
        self.schedule.add(
            self.now + 8 * MILLISECOND,
            Event::ClientCancels {
                front_end,
                incarnation,
                request: id,
            },
        );
    }

    /// The client leaves; the front end is told a little later.
    pub(super) fn client_cancels(&mut self, front_end: usize, id: u64) {
        let incarnation = self.front_ends[front_end].incarnation;
        let Some(request) = self.front_ends[front_end].requests.get_mut(&id) else {
            return;
        };
        if !request.settled && !request.streaming {
            request.settled = true;
            let line = format!("lapsed {front_end} {id}");
            let told = self.now + self.random.between(0, 20) * MILLISECOND;
            self.schedule.add(
                told,
                Event::Line {
                    front_end,
                    incarnation,
                    line,
                },
            );
        }
    }

    pub(super) fn health_check_ends(&mut self, front_end: usize, address: &str, sent: u64) {
        let worker = &self.workers[self.workers_by_address[address]];
        let is_healthy = !matches!(
            worker.condition,
            Condition::Crashed | Condition::Unresponsive
        );
        let status = if is_healthy { "S" } else { "C" };
        let load = if is_healthy {
            worker.report(&mut self.random)
        } else {
            "-".to_string()
        };
        let elapsed = self.now - sent;
        let line = format!("health_result {front_end} {elapsed} {status} {address} {load}");
        self.emit(&format!("health_result {status}"), line);
    }
}

impl Function {
    pub(super) fn draw(random: &mut Random, settings: &Settings) -> Self {
        Function {
            name: random.number(),
            memory: random.between(64, 1_200),
            replica_concurrency: random.between(1, 4),
            load: random.per_mille(500).then(|| random.between(50, 900)),
            class: random.between(0, settings.classes.len() as u64 - 1) as usize,
        }
    }
}
