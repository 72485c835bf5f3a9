//! The naive model of the workers, and the random steps that change the model and the table.

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::api::{
    AttemptFinished, Endpoint, FunctionId, LoadReport, Outcome, RequestId, Time, WorkerId,
};
use crate::attempt::{Attempt, AttemptDeadlines, AttemptId, Expectation, OwnConcurrency};

pub(super) const HALF_LIFE: Time = 20_000;
pub(super) const CLASSES: usize = 2;
/// The weight of a new sample in an error rate.
pub(super) const ERROR_RATE_GAIN: f64 = 0.15;

/// The reasons why an attempt may be loading a function.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadFlags {
    pub(super) cold_start: bool,
    pub(super) unconfirmed: bool,
    pub(super) adds_replica: bool,
}

impl LoadFlags {
    pub(super) fn may_load(self) -> bool {
        self.cold_start || self.unconfirmed || self.adds_replica
    }
}

/// A load report in the naive model; `received_at` is 0 if there was none.
#[derive(Debug, Default)]
pub(super) struct NaiveReport {
    pub(super) received_at: Time,
    pub(super) in_flight: f64,
}

/// A worker in the naive model.
#[derive(Debug, Default)]
pub(super) struct NaiveWorker {
    pub(super) endpoint: Endpoint,
    pub(super) in_flight: Vec<LoadFlags>,
    pub(super) answers: usize,
    /// The functions with replicas, and whether a load command for each is in progress.
    pub(super) replicas: BTreeMap<FunctionId, bool>,
    pub(super) load_report: NaiveReport,
    pub(super) last_response_at: Time,
    pub(super) error_rates: [f64; CLASSES],
    /// The number of errors so far, which gives each error another function.
    pub(super) errors: u32,
}

impl NaiveWorker {
    /// Applies an entry of the endpoint list; a restarted worker loses its replicas and error rates.
    pub(super) fn update_endpoint(&mut self, endpoint: Endpoint) {
        if self.endpoint.started_at != endpoint.started_at {
            self.replicas.clear();
            self.error_rates = [0.0; CLASSES];
        }
        self.endpoint = endpoint;
    }
}

/// A random change of the workers or of the time.
#[derive(Clone, Debug)]
pub(super) enum Step {
    UpdateEndpoint {
        worker: u8,
        state: u8,
        zone: u8,
        started: Option<u16>,
    },
    RemoveAllBut {
        kept: u8,
    },
    SendAttempt {
        worker: u8,
        flags: LoadFlags,
    },
    EndAttempt {
        worker: u8,
    },
    Answer {
        worker: u8,
        count: u8,
    },
    HoldReplica {
        worker: u8,
        function: u8,
        load_requested: bool,
    },
    ForgetReplica {
        worker: u8,
        function: u8,
    },
    Report {
        worker: u8,
        in_flight: f64,
    },
    RecordErrors {
        worker: u8,
        class: u8,
        errors: u8,
    },
    Restart {
        worker: u8,
    },
    ForgetRemoved,
    ForgetFormerHolders,
    AdvanceTime {
        time: u32,
    },
}

pub(super) fn load_flags() -> impl Strategy<Value = LoadFlags> {
    any::<(bool, bool, bool)>().prop_map(|(cold_start, unconfirmed, adds_replica)| LoadFlags {
        cold_start,
        unconfirmed,
        adds_replica,
    })
}

pub(super) fn step() -> impl Strategy<Value = Step> {
    let worker = 0u8..14;
    prop_oneof![
        4 => (worker.clone(), 0u8..5, 0u8..4, proptest::option::of(0u16..5_000))
            .prop_map(|(worker, state, zone, started)| {
                Step::UpdateEndpoint { worker, state, zone, started }
            }),
        1 => (0u8..14).prop_map(|kept| Step::RemoveAllBut { kept }),
        4 => (worker.clone(), load_flags())
            .prop_map(|(worker, flags)| Step::SendAttempt { worker, flags }),
        3 => worker.clone().prop_map(|worker| Step::EndAttempt { worker }),
        2 => (worker.clone(), 0u8..3)
            .prop_map(|(worker, count)| Step::Answer { worker, count }),
        3 => (worker.clone(), 0u8..6, any::<bool>())
            .prop_map(|(worker, function, load_requested)| {
                Step::HoldReplica { worker, function, load_requested }
            }),
        2 => (worker.clone(), 0u8..6)
            .prop_map(|(worker, function)| Step::ForgetReplica { worker, function }),
        3 => (worker.clone(), 0.0..90.0f64)
            .prop_map(|(worker, in_flight)| Step::Report { worker, in_flight }),
        2 => (worker.clone(), 0u8..2, 0u8..12)
            .prop_map(|(worker, class, errors)| Step::RecordErrors { worker, class, errors }),
        1 => worker.prop_map(|worker| Step::Restart { worker }),
        2 => Just(Step::ForgetRemoved),
        1 => Just(Step::ForgetFormerHolders),
        2 => prop_oneof![9 => 0u32..300_000, 1 => Just(200 * HALF_LIFE as u32)]
            .prop_map(|time| Step::AdvanceTime { time }),
    ]
}

pub(super) fn name(worker: u8) -> WorkerId {
    WorkerId::new(&format!("10.0.0.{worker}:80"))
}

/// An attempt with the given reasons to be loading a function.
pub(super) fn attempt(flags: LoadFlags) -> Attempt {
    Attempt {
        id: AttemptId {
            request: RequestId(1),
            number: 0,
        },
        function: FunctionId(1),
        class: 0,
        sent_at: 0,
        zone: String::new(),
        cell: 0,
        expected: Expectation {
            run_time: 0.0,
            finish: 0,
            cold_start: flags.cold_start,
            unconfirmed: flags.unconfirmed,
            adds_replica: flags.adds_replica,
        },
        deadlines: AttemptDeadlines {
            target: 0,
            latency_objective: 0,
        },
        concurrency: OwnConcurrency {
            total: 1.0,
            of_function: 1.0,
        },
        cancelled: false,
    }
}

/// The end of the oldest attempt at a worker. All attempts have the same id, so the first one matches.
pub(super) fn oldest_attempt_ended(worker: u8) -> AttemptFinished {
    AttemptFinished {
        request: RequestId(1),
        attempt: 0,
        worker: name(worker),
        outcome: Outcome::TimedOut,
        elapsed: 0,
        settled: true,
        replica_status: None,
        function_concurrency: None,
        load_report: LoadReport::default(),
    }
}
