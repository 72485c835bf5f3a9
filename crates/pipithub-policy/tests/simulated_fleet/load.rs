//! The load of simulated workers, their reports of it, and the effects of load commands.

use pipithub_policy::api::{Event, FunctionId, LoadFinished, LoadReport, Outcome, Time, WorkerId};
use rand::RngExt;

use super::SimulatedFleet;
use super::attempts::IN_FLIGHT_AT_FULL_LOAD;
use super::draws::Purpose;
use super::scenario::MS;
use super::schedule::ScheduledEvent;

/// How long the load by other front ends stays the same.
const LOAD_INTERVAL: Time = 400 * MS;
/// The zone that does not answer for a while in some scenarios.
const SILENT_ZONE: &str = "z1";

impl SimulatedFleet {
    /// Requests in flight at a worker, from all front ends.
    pub(super) fn in_flight(&self, worker: usize) -> f64 {
        self.others_in_flight(worker) + self.workers.get(worker).attempts.len() as f64
    }

    /// Requests in flight from other front ends. Some workers have up to six times the mean, and the numbers change with
    /// each [`LOAD_INTERVAL`].
    fn others_in_flight(&self, worker: usize) -> f64 {
        let key = worker as u64;
        let interval = self.now / LOAD_INTERVAL;
        let lasting = self
            .random_for(Purpose::OtherFrontEnds, key, 0)
            .random_range(0.0..1.0f64)
            .powi(3)
            * 4.0;
        let present = self
            .random_for(Purpose::OtherFrontEnds, key, 1 + interval)
            .random_range(0.5..1.5);
        (self.scenario.other_front_ends.mean_in_flight * lasting * present).floor()
    }

    /// The load report of a worker now. Parts may be missing, and one report in 500 states an infinite load.
    pub(super) fn load_report(&self, worker: usize) -> LoadReport {
        let mut random = self.random_for(Purpose::LoadReport, worker as u64, self.now);
        let in_flight = if random.random_bool(0.002) {
            f64::INFINITY
        } else {
            self.in_flight(worker)
        };
        let cpu_utilization = (in_flight / IN_FLIGHT_AT_FULL_LOAD).min(1.0);
        LoadReport {
            in_flight: random.random_bool(0.9).then_some(in_flight),
            cpu_utilization: random.random_bool(0.9).then_some(cpu_utilization),
            pinned_memory: None,
            pending_loads: None,
        }
    }

    /// Whether a worker belongs to a zone that does not answer now.
    pub(super) fn is_silent(&self, worker: usize) -> bool {
        let silence = self.scenario.endpoint_changes.silent_zone;
        let silent_now = silence.is_some_and(|(from, until)| (from..until).contains(&self.now));
        silent_now && self.workers.get(worker).endpoint.zone == SILENT_ZONE
    }

    /// Carries out a load poll and schedules its end. A poll that is not answered ends later as such, or never.
    pub(super) fn poll_load(&mut self, address: &WorkerId) {
        self.count("load poll");
        let Some(worker) = self.workers.index_of(address) else {
            return;
        };
        let mut random = self.random_for(Purpose::LoadPoll, worker as u64, self.now);
        let can_answer = !self.workers.get(worker).is_removed() && !self.is_silent(worker);
        let answered = can_answer && random.random_bool(self.scenario.reporting.polls_answered);
        if answered || random.random_bool(0.5) {
            let latest = if answered { 20 } else { 60 };
            let ends_at = self.now + random.random_range(1..latest) * MS;
            self.schedule
                .push(ends_at, ScheduledEvent::LoadPollEnds { worker, answered });
        }
    }

    pub(super) fn load_poll_ends(&mut self, worker: usize, answered: bool) -> Event {
        self.count(if answered {
            "load poll answered"
        } else {
            "load poll not answered"
        });
        Event::LoadPolled {
            worker: self.workers.get(worker).endpoint.worker.clone(),
            answered,
            report: if answered {
                self.load_report(worker)
            } else {
                LoadReport::default()
            },
        }
    }

    /// Carries out a load command and schedules its end.
    pub(super) fn load_function(&mut self, address: &WorkerId, function: FunctionId, wanted: u32) {
        self.count("load command");
        let Some(worker) = self.workers.index_of(address) else {
            return;
        };
        let key = function.0 ^ self.now;
        let mut random = self.random_for(Purpose::LoadCommand, worker as u64, key);
        let (shortest, longest) = self.scenario.functions.load_time;
        let simulated = self.workers.get(worker);
        let replica = simulated.replicas.get(&function);
        let elapsed = if replica.is_some_and(|ready_at| *ready_at <= self.now) {
            MS
        } else {
            random.random_range(shortest..=longest)
        };
        let fails = simulated.is_removed() || random.random_bool(self.scenario.faults.load_failed);
        let outcome = match random.random_range(0..4) {
            _ if !fails => Outcome::Served,
            0 => Outcome::Error,
            1 => Outcome::NotLoaded,
            2 => Outcome::Unreachable,
            _ => Outcome::TimedOut,
        };
        let ends_at = self.now + elapsed;
        let replicas = if fails {
            self.count("load command failed");
            random.random_range(0..2)
        } else {
            let replicas = &mut self.workers.get_mut(worker).replicas;
            replicas.insert(function, ends_at);
            self.count("load command done");
            wanted + random.random_range(0..2)
        };
        let finished = LoadFinished {
            worker: address.clone(),
            function,
            outcome,
            elapsed,
            replicas,
        };
        self.schedule
            .push(ends_at, ScheduledEvent::LoadCommandEnds(finished));
    }

    /// Carries out a command to evict the replicas of a function.
    pub(super) fn evict_function(&mut self, address: &WorkerId, function: FunctionId) {
        self.count("evict command");
        if let Some(worker) = self.workers.index_of(address) {
            self.workers.get_mut(worker).replicas.remove(&function);
        }
    }
}
