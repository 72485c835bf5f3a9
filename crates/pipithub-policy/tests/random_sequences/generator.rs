//! Draws events: plausible ones, late ones, and ones that a caller should never send.

use pipithub_policy::api::{
    AttemptFinished, Endpoint, EndpointState, EndpointUpdate, Event, FunctionId, LoadFinished,
    LoadReport, Outcome, ReplicaStatus, Request, RequestId, Time, WorkerId,
};

use crate::common::MS;
use crate::model::Model;

const OUTCOMES: [Outcome; 9] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::Unreachable,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::NotLoaded,
];
const TIMEOUTS: [Time; 5] = [0, MS, 50 * MS, 2_000 * MS, 4_000 * MS];
const LOAD_TIMES: [Option<Time>; 4] = [None, Some(0), Some(u64::MAX), Some(700 * MS)];
const MEMORY_MB: [f64; 3] = [0.0, -3.0, 700.0];
const REPLICA_STATUSES: [Option<ReplicaStatus>; 3] = [
    None,
    Some(ReplicaStatus::Warm),
    Some(ReplicaStatus::LoadStarted),
];
/// The number of classes in the settings.
const CLASSES: u64 = 3;
const FUNCTIONS: u64 = 9;
const WORKERS: u64 = 10;
/// The workers that unexpected ends of load commands name; the endpoint list never names some of them.
const WORKERS_AND_UNKNOWN: u64 = 12;
/// The longest time between two steps, in milliseconds.
const MAX_GAP_MS: u64 = 30;
/// The start time of a clock that has run for a long time; other sequences start at 0.
const LATE_START: Time = 77_000_000 * MS;

/// A small random number generator (xorshift); it is part of the test so that the sequences never change.
struct Random(u64);

impl Random {
    fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number from 0 up to, but not including, `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }

    fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }

    fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.index(choices.len())]
    }

    /// `true` with a probability of 1 / `bound`.
    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}

/// Draws the events of one sequence.
pub(super) struct Generator {
    random: Random,
    /// The clock time of the present step.
    pub(super) now: Time,
    next_request: u64,
}

impl Generator {
    pub(super) fn new(seed: u64) -> Generator {
        Generator {
            random: Random::new(seed),
            now: if seed.is_multiple_of(4) {
                0
            } else {
                LATE_START
            },
            next_request: 1,
        }
    }

    pub(super) fn advance_clock(&mut self) {
        self.now += self.random.below(MAX_GAP_MS) * MS;
    }

    /// Draws the event of a step; the first event is a cached endpoint list.
    pub(super) fn draw_event(&mut self, first: bool, model: &mut Model) -> Event {
        match self.random.below(20) {
            _ if first => self.endpoints(EndpointUpdate::Cached, 6),
            0 => self.endpoints(EndpointUpdate::Delta, 2),
            1 if self.random.one_in(10) => self.endpoints(EndpointUpdate::Snapshot, 5),
            2 if self.random.one_in(10) => self.endpoints(EndpointUpdate::Lost, 0),
            3 => Event::Timer {
                token: self.random.below(1 << 40),
            },
            4 => Event::ClientCancelled {
                request: RequestId(self.random.below(self.next_request + 5)),
            },
            5 => self.unexpected_load_finished(),
            6 if !model.load_commands.is_empty() => self.load_finished(model),
            7..=12 if !model.in_flight.is_empty() => self.attempt_finished(model),
            _ => self.request(),
        }
    }

    fn endpoints(&mut self, update: EndpointUpdate, count: usize) -> Event {
        Event::Endpoints {
            update,
            endpoints: (0..count).map(|_| self.endpoint()).collect(),
        }
    }

    fn endpoint(&mut self) -> Endpoint {
        let number = self.random.below(WORKERS);
        let state = match self.random.below(6) {
            0 => EndpointState::Draining,
            1 => EndpointState::Removed,
            _ => EndpointState::Ready,
        };
        Endpoint {
            worker: worker(number),
            state,
            cell: number % 2,
            memory_mb: 4_000.0,
            started_at: self.random.one_in(4).then_some(self.now),
            ..Endpoint::default()
        }
    }

    /// The end of a load command that was never sent.
    fn unexpected_load_finished(&mut self) -> Event {
        Event::LoadFinished(LoadFinished {
            worker: worker(self.random.below(WORKERS_AND_UNKNOWN)),
            function: FunctionId(self.random.below(FUNCTIONS)),
            outcome: self.random.pick(&OUTCOMES),
            elapsed: self.random.below(u64::MAX >> 12),
            replicas: self.random.below(1 << 32) as u32,
        })
    }

    fn load_finished(&mut self, model: &mut Model) -> Event {
        let index = self.random.index(model.load_commands.len());
        let command = model.load_commands.remove(index);
        Event::LoadFinished(LoadFinished {
            worker: command.worker,
            function: command.function,
            outcome: self.random.pick(&OUTCOMES),
            elapsed: 300 * MS,
            replicas: 1,
        })
    }

    fn attempt_finished(&mut self, model: &mut Model) -> Event {
        let index = self.random.index(model.in_flight.len());
        let attempt = model.in_flight.remove(index);
        let outcome = if self.random.one_in(2) {
            Outcome::Served
        } else {
            self.random.pick(&OUTCOMES)
        };
        let elapsed = if self.random.one_in(50) {
            u64::MAX
        } else {
            self.random.below(900) * MS
        };
        Event::AttemptFinished(AttemptFinished {
            request: attempt.request,
            attempt: attempt.number,
            worker: attempt.worker,
            outcome,
            elapsed,
            settled: outcome == Outcome::Served || model.requests[&attempt.request].settled,
            replica_status: self.random.pick(&REPLICA_STATUSES),
            function_concurrency: Some(self.random.below(40) as u32),
            load_report: LoadReport::default(),
        })
    }

    fn request(&mut self) -> Event {
        let class = self.random.below(CLASSES) as usize;
        let timeout = self.random.pick(&TIMEOUTS);
        let id = RequestId(self.next_request);
        self.next_request += 1;
        Event::Arrived(Request {
            id,
            function: FunctionId(self.random.below(FUNCTIONS)),
            class,
            replica_concurrency: self.random.below(4) as u32,
            memory_mb: self.random.pick(&MEMORY_MB),
            load_time: self.random.pick(&LOAD_TIMES),
            timeout: Some(timeout),
            ..Request::default()
        })
    }
}

fn worker(number: u64) -> WorkerId {
    WorkerId::new(&format!("w{number}"))
}
