//! Requests and health checks: how they start and end, and the lines that report this to the front end.

use super::MILLISECOND;
use super::event::{Event, FrontEndEvent};
use super::settings::Settings;
use super::tier::Condition;
use super::world::World;
use crate::random::Random;

/// An attempt of a front end to have a request served by a worker.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) worker: usize,
    pub(super) sent: u64,
    pub(super) ended: bool,
}

/// A request of a client.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) function: u64,
    pub(super) deadline: u64,
    /// Whether the response is streamed.
    pub(super) stream: bool,
    /// Whether a streamed response has started.
    pub(super) streaming: bool,
    /// Whether the request has ended.
    pub(super) settled: bool,
    pub(super) attempts: Vec<Attempt>,
}

/// A function that clients request.
#[derive(Clone, Debug)]
pub(super) struct Function {
    name: u64,
    /// The memory of one replica, in MB.
    memory: u64,
    replica_concurrency: u64,
    /// The usual load time in milliseconds; `None` if the client does not specify it.
    load: Option<u64>,
    /// The index of the function's class in the settings.
    class: usize,
}

impl World<'_> {
    /// A client sends a request to one of the front ends.
    pub(super) fn request_arrives(&mut self, recurring: bool, function: Option<usize>) {
        if recurring {
            let gap = self.random.between(MILLISECOND, 2 * self.mean_arrival_gap);
            let next = Event::Arrival {
                recurring,
                function,
            };
            self.schedule.add(self.now + gap, next);
        }
        let front_end = self.random.between(0, self.front_ends.len() as u64 - 1) as usize;
        // A function is drawn in any case, so that the numbers drawn afterwards do not depend on `function`.
        let popular = self.popular_function();
        let function = self.functions[function.unwrap_or(popular)].clone();
        let class = &self.settings.classes[function.class];
        let timeout = class.deadline * self.random.between(4, 10) / 10;
        let request = Request {
            function: function.name,
            deadline: self.now + timeout,
            stream: class.stream,
            streaming: false,
            settled: false,
            attempts: Vec::new(),
        };
        let id = self.next_request;
        self.next_request += 1;
        self.emit_query(front_end, id, &function, timeout);
        self.front_ends[front_end].requests.insert(id, request);
        let deadline = self.now + timeout;
        self.schedule_for(front_end, deadline, FrontEndEvent::Deadline { request: id });
        if self.random.per_mille(50) {
            // Some clients cancel at once: attempts that are sent for their requests afterwards are obsolete.
            let after = if self.random.per_mille(200) {
                0
            } else {
                self.random.between(1, timeout)
            };
            let cancels = FrontEndEvent::ClientCancels { request: id };
            self.schedule_for(front_end, self.now + after, cancels);
        }
    }

    /// The index of a function; low numbers are requested more often.
    fn popular_function(&mut self) -> usize {
        let last = self.functions.len() as u64 - 1;
        let first_draw = self.random.between(0, last);
        let second_draw = self.random.between(0, last);
        first_draw.min(second_draw) as usize
    }

    fn emit_query(&mut self, front_end: usize, id: u64, function: &Function, timeout: u64) {
        let expected = if self.random.per_mille(300) {
            "-".into()
        } else {
            self.random.between(1, 90).to_string()
        };
        let load = function
            .load
            .map_or_else(|| "-".to_string(), |load| load.to_string());
        let class = &self.settings.classes[function.class];
        let line = format!(
            "query {front_end} {id} {expected} - {} {} {} {load} {:016x} 1 {timeout}",
            function.memory, function.replica_concurrency, class.name, function.name
        );
        self.emit("query", line);
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
        let begun = &request.attempts[attempt];
        let elapsed = now - begun.sent;
        let address = &self.workers[begun.worker].address;
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
        let is_reported =
            matches!(status, "S" | "F" | "E") && self.settings.load_reports == "answers";
        let load = if is_reported {
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

    /// The deadline of a request has passed: its attempts in flight time out, and the client cancels the request 8 ms later unless
    /// the request has ended by then. A streaming response goes on.
    pub(super) fn deadline(&mut self, front_end: usize, id: u64) {
        let Some(request) = self.front_ends[front_end].requests.get(&id) else {
            return;
        };
        if request.streaming {
            return;
        }
        let in_flight: Vec<_> = (0..request.attempts.len())
            .filter(|number| !request.attempts[*number].ended)
            .collect();
        for number in in_flight {
            self.attempt_ends(front_end, id, number, "T", 0);
        }
        let cancels = FrontEndEvent::ClientCancels { request: id };
        self.schedule_for(front_end, self.now + 8 * MILLISECOND, cancels);
    }

    /// The client cancels a request; the front end is informed up to 20 ms later.
    pub(super) fn client_cancels(&mut self, front_end: usize, id: u64) {
        let Some(request) = self.front_ends[front_end].requests.get_mut(&id) else {
            return;
        };
        if !request.settled && !request.streaming {
            request.settled = true;
            let line = format!("lapsed {front_end} {id}");
            let reported_at = self.now + self.random.between(0, 20) * MILLISECOND;
            self.schedule_for(front_end, reported_at, FrontEndEvent::Line { line });
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
