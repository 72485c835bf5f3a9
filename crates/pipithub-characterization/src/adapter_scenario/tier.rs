//! The workers of a scenario and how they answer.

use std::collections::BTreeMap;

use super::settings::{MACHINE_KINDS, Settings, ZONES};
use super::{MILLISECOND, SECOND};
use crate::random::Random;

/// The number of requests in flight at which a worker rejects further ones.
const CAPACITY: u32 = 12;
/// The maximum number of functions of which a worker has replicas at the same time.
const MAX_REPLICAS: usize = 6;

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointState {
    Ready,
    Draining,
    Removed,
}

/// How a worker treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    Healthy,
    Slow,
    Failing,
    AtCapacity,
    /// Connections to the worker fail at once.
    Crashed,
    /// Connections to the worker time out, or it accepts requests but does not respond.
    Unresponsive,
}

/// A worker and its current condition.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) address: String,
    pub(super) zone: &'static str,
    pub(super) state: EndpointState,
    pub(super) condition: Condition,
    pub(super) started: Option<u64>,
    /// The functions of which the worker has a replica, with the time in nanoseconds at which the replica is loaded.
    pub(super) replicas: BTreeMap<u64, u64>,
    pub(super) in_flight: u32,
    cell: u64,
    kind: &'static str,
    weight: &'static str,
}

/// How an attempt ends.
#[derive(Debug)]
pub(super) struct AttemptResult {
    pub(super) status: &'static str,
    pub(super) after: u64,
    pub(super) detail: u32,
}

impl AttemptResult {
    pub(super) fn new(status: &'static str, after: u64, detail: u32) -> Self {
        AttemptResult {
            status,
            after,
            detail,
        }
    }
}

impl Worker {
    pub(super) fn draw(random: &mut Random, number: u64) -> Self {
        Worker {
            address: format!(
                "10.{}.{}.{}:{}",
                number / 65_536,
                number / 256 % 256,
                number % 256,
                9_000 + number
            ),
            zone: random.pick(&ZONES),
            state: EndpointState::Ready,
            condition: random.pick(&[
                Condition::Healthy,
                Condition::Healthy,
                Condition::Healthy,
                Condition::Healthy,
                Condition::Healthy,
                Condition::Healthy,
                Condition::Slow,
                Condition::Failing,
            ]),
            started: None,
            replicas: BTreeMap::new(),
            in_flight: 0,
            cell: random.between(0, 3),
            kind: random.pick(&MACHINE_KINDS),
            weight: random.pick(&["1", "1.5", "4"]),
        }
    }

    /// The line of the worker in an endpoint list.
    pub(super) fn entry_line(&self) -> String {
        let state = match self.state {
            EndpointState::Ready => "live",
            EndpointState::Draining => "quiescing",
            EndpointState::Removed => "dead",
        };
        let started = self
            .started
            .map_or_else(|| "-".to_string(), |time| time.to_string());
        format!(
            "entry {} {} {state} {} {} {} {started}",
            self.weight, self.address, self.zone, self.cell, self.kind
        )
    }

    /// A load report in the format of the protocol.
    pub(super) fn report(&self, random: &mut Random) -> String {
        let busy = random
            .between(0, 100)
            .min(u64::from(self.in_flight) * 12 + random.between(0, 20));
        format!(
            "rif:{},busy:0.{busy:02},x0:0.{:02},x1:{}",
            self.in_flight,
            self.replicas.len() * 9,
            random.between(0, 2)
        )
    }

    /// Loads a replica of a function unless there is one already; returns the time at which the replica is loaded.
    pub(super) fn load(&mut self, random: &mut Random, now: u64, function: u64) -> u64 {
        if let Some(ready) = self.replicas.get(&function) {
            return *ready;
        }
        if self.replicas.len() >= MAX_REPLICAS {
            let evicted = random.pick(&self.replicas.keys().copied().collect::<Vec<_>>());
            self.replicas.remove(&evicted);
        }
        let ready = now + random.between(50, 900) * MILLISECOND;
        self.replicas.insert(function, ready);
        ready
    }

    /// How an attempt fails because of the condition of the worker; `None` if it does not fail for this reason.
    fn fail(
        &self,
        random: &mut Random,
        settings: &Settings,
        round_trip: u64,
    ) -> Option<AttemptResult> {
        match self.condition {
            Condition::Crashed => Some(AttemptResult::new("C", round_trip, 0)),
            Condition::Unresponsive if random.per_mille(500) => {
                Some(AttemptResult::new("C", settings.connect_timeout, 0))
            }
            Condition::Unresponsive => Some(AttemptResult::new("T", 3_600 * SECOND, 0)),
            Condition::Failing if random.per_mille(700) => {
                Some(AttemptResult::new("E", round_trip, 0))
            }
            Condition::Healthy | Condition::Slow | Condition::Failing | Condition::AtCapacity => {
                None
            }
        }
    }

    /// How an attempt to run a function ends at this worker, apart from timeouts set by the front end.
    pub(super) fn attempt(
        &mut self,
        random: &mut Random,
        settings: &Settings,
        now: u64,
        function: u64,
        loads_fail: bool,
    ) -> AttemptResult {
        let round_trip = random.between(1, 4) * MILLISECOND;
        if let Some(failure) = self.fail(random, settings, round_trip) {
            return failure;
        }
        let concurrency = if settings.reports_concurrency {
            8 * random.between(0, 2).min(u64::from(self.in_flight)) as u32
        } else {
            0
        };
        let is_full = self.condition == Condition::AtCapacity && random.per_mille(800);
        if is_full || self.in_flight >= CAPACITY || self.state != EndpointState::Ready {
            return AttemptResult::new("F", round_trip, concurrency);
        }
        if random.per_mille(8) {
            return AttemptResult::new("R", round_trip * 3, 0);
        }
        let loaded = self.replicas.get(&function).copied();
        if loaded.is_none() && !settings.loads_on_request {
            return AttemptResult::new("M", round_trip, 0);
        }
        let awaits_load = loaded.is_none_or(|ready| ready > now);
        if awaits_load && loads_fail {
            self.replicas.remove(&function);
            let status = if settings.loads_on_request { "E" } else { "M" };
            return AttemptResult::new(status, round_trip * 10, 4);
        }
        let ready = self.load(random, now, function);
        let replica_status = match loaded {
            Some(ready) if ready <= now => 1,
            Some(_) => 3,
            None => 2,
        };
        let slowdown = if self.condition == Condition::Slow {
            8
        } else {
            1
        };
        let run =
            random.between(5, 60) * MILLISECOND * slowdown * u64::from(2 + self.in_flight / 4) / 2;
        let reported_status = if settings.reports_cold_starts {
            replica_status
        } else {
            0
        };
        let detail = concurrency + reported_status;
        AttemptResult::new("S", round_trip + ready.saturating_sub(now) + run, detail)
    }
}
