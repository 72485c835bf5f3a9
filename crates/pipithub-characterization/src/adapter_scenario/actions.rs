//! What the actions of a front end bring about.

use super::MILLISECOND;
use super::event::Event;
use super::requests::Attempt;
use super::tier::{Condition, EndpointState};
use super::world::World;

impl World<'_> {
    pub(super) fn perform(&mut self, line: &str) {
        let parts: Vec<&str> = line.split(' ').collect();
        let number = |place: usize| parts[place].parse::<u64>().expect("a number in an action");
        let front_end = number(1) as usize;
        let incarnation = self.front_ends[front_end].incarnation;
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
                let ended = Event::AttemptEnds {
                    front_end,
                    incarnation,
                    request,
                    attempt,
                    status: "X",
                    detail: 0,
                };
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
                self.schedule.add(
                    at,
                    Event::HealthCheckEnds {
                        front_end,
                        incarnation,
                        worker,
                        sent,
                    },
                );
            }
            "bring_up" => self.begin_load(front_end, parts[2], parts[3]),
            "shelve" => {
                let function = u64::from_str_radix(parts[2], 16).expect("a function");
                let worker = self.workers_by_address[parts[3]];
                self.workers[worker].replicas.remove(&function);
            }
            "remind" => {
                let line = format!("wake {front_end} {}", parts[3]);
                self.schedule.add(
                    self.now + number(2).max(1),
                    Event::Line {
                        front_end,
                        incarnation,
                        line,
                    },
                );
            }
            "tail" => {
                let at = self.now + self.random.between(1, 60) * MILLISECOND;
                self.schedule.add(
                    at,
                    Event::SubscriptionAnswer {
                        front_end,
                        incarnation,
                    },
                );
            }
            other => panic!("an unknown action: {other}"),
        }
    }

    fn begin_attempt(&mut self, front_end: usize, id: u64, address: &str, most: &str) {
        let worker = self.workers_by_address[address];
        let (incarnation, now) = (self.front_ends[front_end].incarnation, self.now);
        let loads_fail = now < self.loads_fail_until;
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
        let is_moot = request.settled || request.streaming || attempt >= self.settings.max_attempts;
        let (mut status, mut after, mut detail) = ("N", self.settings.granularity, 0);
        let (errors, errors_until) = self.errors_on_all_workers;
        if !is_moot && now < errors_until && self.random.per_mille(errors) {
            (status, after) = ("E", 5 * MILLISECOND);
        } else if !is_moot {
            let drawn = self.workers[worker].attempt(
                &mut self.random,
                &self.settings,
                now,
                request.function,
                loads_fail,
            );
            (status, after, detail) = (drawn.status, drawn.after, drawn.detail);
        }
        self.workers[worker].in_flight += 1;
        if let Some(most) = most.parse().ok().filter(|most| *most < after) {
            (status, after, detail) = ("T", most, 0);
        }
        if request.stream && status == "S" {
            let begins = now + after / 2;
            if begins < request.deadline {
                let event = Event::StreamBegins {
                    front_end,
                    incarnation,
                    request: id,
                    attempt,
                };
                self.schedule.add(begins, event);
            }
            if self.random.per_mille(100) {
                (status, detail) = ("R", 0);
            }
        }
        let ends = Event::AttemptEnds {
            front_end,
            incarnation,
            request: id,
            attempt,
            status,
            detail,
        };
        self.schedule.add(now + after, ends);
    }

    fn begin_load(&mut self, front_end: usize, function: &str, address: &str) {
        let function = u64::from_str_radix(function, 16).expect("a function");
        let index = self.workers_by_address[address];
        let trip = self.random.between(1, 5) * MILLISECOND;
        let fails = self.now < self.loads_fail_until;
        let worker = &mut self.workers[index];
        let (status, after) = match worker.condition {
            Condition::Crashed => ("C", trip),
            Condition::Unresponsive => ("T", self.settings.load_command_timeout),
            _ if worker.state != EndpointState::Ready => ("F", trip),
            Condition::AtCapacity => ("F", trip),
            _ if fails => ("E", trip * 20),
            _ => (
                "S",
                worker
                    .load(&mut self.random, self.now, function)
                    .saturating_sub(self.now)
                    + trip,
            ),
        };
        let (incarnation, sent, worker) = (
            self.front_ends[front_end].incarnation,
            self.now,
            address.to_string(),
        );
        let ends = Event::LoadCommandEnds {
            front_end,
            incarnation,
            worker,
            function,
            sent,
            status,
        };
        self.schedule.add(self.now + after, ends);
    }
}
