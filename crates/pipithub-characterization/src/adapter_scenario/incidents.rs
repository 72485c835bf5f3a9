//! What befalls workers and front ends in the course of a scenario.

use super::settings::ZONES;
use super::tier::{Condition, Listed, Worker};
use super::world::{Event, World};
use super::{MILLISECOND, SECOND};

impl World<'_> {
    /// One incident; the next one follows after a drawn time.
    pub(super) fn incident(&mut self) {
        let next = self.random.between(50, 700) * MILLISECOND;
        self.schedule.add(self.now + next, Event::Incident);
        let worker = self.random.between(0, self.workers.len() as u64 - 1) as usize;
        match self.random.between(0, 17) {
            0 => self.drain(worker),
            1 => self.crash(worker),
            2 => self.zone_outage(),
            3 => self.strike(worker, Condition::Slow),
            4 => self.strike(worker, Condition::Failing),
            5 => self.strike(worker, Condition::Full),
            6 => self.strike(worker, Condition::Silent),
            7 => self.loads_fail_until = self.now + self.random.between(300, 2_500) * MILLISECOND,
            8 | 9 => self.workers[worker].copies.clear(),
            10 => self.add_worker(),
            11 => self.notify_all("total"),
            12 => self.lose_subscription(),
            13 => self.restart_front_end(),
            14 => self.emit_peer_message(),
            15 => self.errors_everywhere(),
            _ => self.burst(),
        }
    }

    fn drain(&mut self, worker: usize) {
        self.publish_state(worker, Listed::Draining);
        let gone = self.now + self.random.between(300, 2_000) * MILLISECOND;
        self.schedule.add(gone, Event::Listed { worker, state: Listed::Gone });
        self.schedule.add(gone + self.random.between(1, 3) * SECOND, Event::Restarted { worker });
    }

    fn crash(&mut self, worker: usize) {
        self.workers[worker].condition = Condition::Crashed;
        self.workers[worker].copies.clear();
        let told = self.now + self.random.between(50, 1_500) * MILLISECOND;
        self.schedule.add(told, Event::Listed { worker, state: Listed::Gone });
        self.schedule.add(told + self.random.between(200, 3_000) * MILLISECOND, Event::Restarted { worker });
    }

    fn zone_outage(&mut self) {
        let zone = self.random.pick(&ZONES);
        let until = self.now + self.random.between(500, 3_000) * MILLISECOND;
        for worker in 0..self.workers.len() {
            if self.workers[worker].zone == zone && self.workers[worker].condition != Condition::Crashed {
                self.workers[worker].condition = Condition::Silent;
                self.schedule.add(until, Event::Recovered { worker });
            }
        }
    }

    fn strike(&mut self, worker: usize, condition: Condition) {
        if self.workers[worker].condition != Condition::Crashed {
            self.workers[worker].condition = condition;
            let until = self.now + self.random.between(300, 4_000) * MILLISECOND;
            self.schedule.add(until, Event::Recovered { worker });
        }
    }

    /// A worker that was struck is sound again.
    pub(super) fn recovered(&mut self, worker: usize) {
        if self.workers[worker].condition != Condition::Crashed {
            self.workers[worker].condition = Condition::Sound;
        }
    }

    /// A worker is back as another process.
    pub(super) fn restarted(&mut self, worker: usize) {
        let now = self.now;
        let back = &mut self.workers[worker];
        (back.condition, back.started, back.held) = (Condition::Sound, Some(now), 0);
        back.copies.clear();
        self.publish_state(worker, Listed::Live);
    }

    /// Discovery tells of a worker's state.
    pub(super) fn publish_state(&mut self, worker: usize, state: Listed) {
        self.workers[worker].listed = state;
        self.notify_changes(&[worker]);
    }

    fn add_worker(&mut self) {
        if self.workers.len() < super::world::MAX_WORKERS {
            let mut worker = Worker::draw(&mut self.random, self.workers.len() as u64);
            worker.started = Some(self.now);
            self.workers.push(worker);
            self.notify_changes(&[self.workers.len() - 1]);
        }
    }

    fn errors_everywhere(&mut self) {
        let errors = self.random.between(100, 600);
        self.errors_everywhere = (errors, self.now + self.random.between(1, 6) * SECOND);
    }

    /// Many requests at once, of one function or of any.
    fn burst(&mut self) {
        let one = self.random.per_mille(500).then(|| self.any_function());
        for _ in 0..self.random.between(3, 25) {
            let at = self.now + self.random.between(0, 30) * MILLISECOND;
            self.schedule.add(at, Event::Arrival { again: false, function: one });
        }
    }
}
