//! Incidents that happen to workers and front ends in the course of a scenario.

use super::event::Event;
use super::settings::ZONES;
use super::tier::{Condition, EndpointState, Worker};
use super::world::{ErrorBurst, MAX_WORKERS, World};
use super::{MILLISECOND, SECOND};

impl World<'_> {
    /// Causes one incident and schedules the next one after a drawn time.
    pub(super) fn incident(&mut self) {
        let next = self.random.between(50, 700) * MILLISECOND;
        self.schedule.add(self.now + next, Event::Incident);
        let worker = self.random.between(0, self.workers.len() as u64 - 1) as usize;
        match self.random.between(0, 17) {
            0 => self.drain(worker),
            1 => self.crash(worker),
            2 => self.zone_outage(),
            3 => self.impair(worker, Condition::Slow),
            4 => self.impair(worker, Condition::Failing),
            5 => self.impair(worker, Condition::AtCapacity),
            6 => self.impair(worker, Condition::Unresponsive),
            7 => self.loads_fail_until = self.now + self.random.between(300, 2_500) * MILLISECOND,
            8 | 9 => self.workers[worker].replicas.clear(),
            10 => self.add_worker(),
            11 => self.notify_all("total"),
            12 => self.lose_subscription(),
            13 => self.restart_front_end(),
            14 => self.emit_peer_message(),
            15 => self.errors_on_all_workers(),
            _ => self.burst(),
        }
    }

    fn drain(&mut self, worker: usize) {
        self.publish_state(worker, EndpointState::Draining);
        let removed_at = self.now + self.random.between(300, 2_000) * MILLISECOND;
        self.schedule_removal(worker, removed_at);
        let restarted_at = removed_at + self.random.between(1, 3) * SECOND;
        self.schedule.add(restarted_at, Event::Restarted { worker });
    }

    fn crash(&mut self, worker: usize) {
        self.workers[worker].condition = Condition::Crashed;
        self.workers[worker].replicas.clear();
        let removed_at = self.now + self.random.between(50, 1_500) * MILLISECOND;
        self.schedule_removal(worker, removed_at);
        let restarted_at = removed_at + self.random.between(200, 3_000) * MILLISECOND;
        self.schedule.add(restarted_at, Event::Restarted { worker });
    }

    fn schedule_removal(&mut self, worker: usize, at: u64) {
        let state = EndpointState::Removed;
        self.schedule.add(at, Event::StateChanges { worker, state });
    }

    fn zone_outage(&mut self) {
        let zone = self.random.pick(&ZONES);
        let until = self.now + self.random.between(500, 3_000) * MILLISECOND;
        for worker in 0..self.workers.len() {
            if self.workers[worker].zone == zone
                && self.workers[worker].condition != Condition::Crashed
            {
                self.workers[worker].condition = Condition::Unresponsive;
                self.schedule.add(until, Event::Recovered { worker });
            }
        }
    }

    fn impair(&mut self, worker: usize, condition: Condition) {
        if self.workers[worker].condition != Condition::Crashed {
            self.workers[worker].condition = condition;
            let until = self.now + self.random.between(300, 4_000) * MILLISECOND;
            self.schedule.add(until, Event::Recovered { worker });
        }
    }

    /// Makes a worker that was impaired healthy again, unless it has crashed.
    pub(super) fn recovered(&mut self, worker: usize) {
        if self.workers[worker].condition != Condition::Crashed {
            self.workers[worker].condition = Condition::Healthy;
        }
    }

    /// Restarts a worker as a new process.
    pub(super) fn restarted(&mut self, worker: usize) {
        let now = self.now;
        let restarted = &mut self.workers[worker];
        restarted.condition = Condition::Healthy;
        restarted.started = Some(now);
        restarted.in_flight = 0;
        restarted.replicas.clear();
        self.publish_state(worker, EndpointState::Ready);
    }

    /// Publishes a state of a worker through discovery.
    pub(super) fn publish_state(&mut self, worker: usize, state: EndpointState) {
        self.workers[worker].state = state;
        self.notify_changes(&[worker]);
    }

    fn add_worker(&mut self) {
        if self.workers.len() < MAX_WORKERS {
            let mut worker = Worker::draw(&mut self.random, self.workers.len() as u64);
            worker.started = Some(self.now);
            self.workers.push(worker);
            self.notify_changes(&[self.workers.len() - 1]);
        }
    }

    fn errors_on_all_workers(&mut self) {
        self.errors_on_all_workers = ErrorBurst {
            per_mille: self.random.between(100, 600),
            until: self.now + self.random.between(1, 6) * SECOND,
        };
    }

    /// Sends many requests at once, for one function or for drawn functions.
    fn burst(&mut self) {
        let function = self.random.per_mille(500).then(|| self.any_function());
        for _ in 0..self.random.between(3, 25) {
            let at = self.now + self.random.between(0, 30) * MILLISECOND;
            self.schedule.add(
                at,
                Event::Arrival {
                    recurring: false,
                    function,
                },
            );
        }
    }
}
