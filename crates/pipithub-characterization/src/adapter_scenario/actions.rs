//! The effects of the actions of a front end.

use super::MILLISECOND;
use super::event::FrontEndEvent;
use super::requests::Attempt;
use super::tier::{AttemptResult, Condition, EndpointState};
use super::world::World;

impl World<'_> {
    /// Performs the action of one line of a reply.
    pub(super) fn perform(&mut self, line: &str) {
        let parts: Vec<&str> = line.split(' ').collect();
        let number = |index: usize| parts[index].parse::<u64>().expect("a number in an action");
        let front_end = number(1) as usize;
        self.transcript
            .count(&format!("out {}", action_kind(&parts)));
        match parts[0] {
            "hand_off" => self.begin_attempt(front_end, number(2), parts[3], parts[4]),
            "recall" => self.cancel_attempt(front_end, number(2), number(3) as usize),
            "reject" | "abort" => self.settle(front_end, number(2)),
            "touch" => self.begin_health_check(front_end, parts[2]),
            "bring_up" => self.begin_load(front_end, parts[2], parts[3]),
            "shelve" => self.evict(parts[2], parts[3]),
            "remind" => self.set_timer(front_end, number(2), parts[3]),
            "tail" => self.subscribe(front_end),
            other => panic!("an unknown action: {other}"),
        }
    }

    fn cancel_attempt(&mut self, front_end: usize, request: u64, attempt: usize) {
        let at = self.now + self.settings.granularity;
        let ended = FrontEndEvent::AttemptEnds {
            request,
            attempt,
            status: "X",
            detail: 0,
        };
        self.schedule_for(front_end, at, ended);
    }

    fn settle(&mut self, front_end: usize, request: u64) {
        if let Some(request) = self.front_ends[front_end].requests.get_mut(&request) {
            request.settled = true;
        }
    }

    fn begin_health_check(&mut self, front_end: usize, address: &str) {
        let at = self.now + self.random.between(1, 40) * MILLISECOND;
        let ended = FrontEndEvent::HealthCheckEnds {
            worker: address.to_string(),
            sent: self.now,
        };
        self.schedule_for(front_end, at, ended);
    }

    fn evict(&mut self, function: &str, address: &str) {
        let worker = self.workers_by_address[address];
        self.workers[worker]
            .replicas
            .remove(&function_name(function));
    }

    fn set_timer(&mut self, front_end: usize, after: u64, token: &str) {
        let line = format!("wake {front_end} {token}");
        let at = self.now + after.max(1);
        self.schedule_for(front_end, at, FrontEndEvent::Line { line });
    }

    fn subscribe(&mut self, front_end: usize) {
        let at = self.now + self.random.between(1, 60) * MILLISECOND;
        self.schedule_for(front_end, at, FrontEndEvent::SubscriptionAnswer);
    }

    fn begin_attempt(&mut self, front_end: usize, id: u64, address: &str, timeout: &str) {
        let worker = self.workers_by_address[address];
        let now = self.now;
        // An action that was written just before the front end was killed names a request of its earlier incarnation.
        let Some(request) = self.front_ends[front_end].requests.get_mut(&id) else {
            return;
        };
        let attempt = request.attempts.len();
        request.attempts.push(Attempt {
            worker,
            sent: now,
            ended: false,
        });
        let is_obsolete =
            request.settled || request.streaming || attempt >= self.settings.max_attempts;
        let (function, is_streamed, deadline) =
            (request.function, request.stream, request.deadline);
        let mut result = if is_obsolete {
            AttemptResult::new("N", self.settings.granularity, 0)
        } else {
            self.draw_result(worker, function)
        };
        self.workers[worker].in_flight += 1;
        let timeout: Option<u64> = timeout.parse().ok();
        if let Some(timeout) = timeout.filter(|timeout| *timeout < result.after) {
            result = AttemptResult::new("T", timeout, 0);
        }
        if is_streamed && result.status == "S" {
            let begins = now + result.after / 2;
            if begins < deadline {
                let event = FrontEndEvent::StreamBegins {
                    request: id,
                    attempt,
                };
                self.schedule_for(front_end, begins, event);
            }
            if self.random.per_mille(100) {
                result = AttemptResult::new("R", result.after, 0);
            }
        }
        let ended = FrontEndEvent::AttemptEnds {
            request: id,
            attempt,
            status: result.status,
            detail: result.detail,
        };
        self.schedule_for(front_end, now + result.after, ended);
    }

    /// Draws how an attempt that reaches its worker ends.
    fn draw_result(&mut self, worker: usize, function: u64) -> AttemptResult {
        let errors = self.errors_on_all_workers;
        if self.now < errors.until && self.random.per_mille(errors.per_mille) {
            return AttemptResult::new("E", 5 * MILLISECOND, 0);
        }
        let loads_fail = self.now < self.loads_fail_until;
        self.workers[worker].attempt(
            &mut self.random,
            &self.settings,
            self.now,
            function,
            loads_fail,
        )
    }

    fn begin_load(&mut self, front_end: usize, function: &str, address: &str) {
        let function = function_name(function);
        let index = self.workers_by_address[address];
        let round_trip = self.random.between(1, 5) * MILLISECOND;
        let fails = self.now < self.loads_fail_until;
        let worker = &mut self.workers[index];
        let (status, after) = match worker.condition {
            Condition::Crashed => ("C", round_trip),
            Condition::Unresponsive => ("T", self.settings.load_command_timeout),
            _ if worker.state != EndpointState::Ready => ("F", round_trip),
            Condition::AtCapacity => ("F", round_trip),
            _ if fails => ("E", round_trip * 20),
            _ => {
                let loaded_at = worker.load(&mut self.random, self.now, function);
                ("S", loaded_at.saturating_sub(self.now) + round_trip)
            }
        };
        let ended = FrontEndEvent::LoadCommandEnds {
            worker: address.to_string(),
            function,
            sent: self.now,
            status,
        };
        self.schedule_for(front_end, self.now + after, ended);
    }
}

/// The kind under which an action is counted.
fn action_kind<'a>(parts: &[&'a str]) -> &'a str {
    match parts[0] {
        "reject" if parts[3] == "-" => "reject without a time",
        "reject" => "reject with a time",
        other => other,
    }
}

fn function_name(text: &str) -> u64 {
    u64::from_str_radix(text, 16).expect("a function")
}
