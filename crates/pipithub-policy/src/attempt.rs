//! Attempts in flight: what was expected of each when it was sent, and the queue of a worker.

use crate::api::{AttemptFinished, FunctionId, Outcome, RequestId, Time};

/// Identifies an attempt among those of all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    /// Which attempt of the request it is, from 0.
    pub(crate) number: u32,
}

/// What was expected of an attempt when it was sent.
#[derive(Clone, Debug)]
pub(crate) struct Expectation {
    /// The run alone at a slowdown of 1, in nanoseconds.
    pub(crate) run_time: f64,
    /// When its answer was expected, any load included.
    pub(crate) finish: Time,
    /// It was expected to wait for a load.
    pub(crate) cold_start: bool,
    /// No answer had confirmed the replica yet.
    pub(crate) unconfirmed: bool,
    /// All of the replicas' concurrency was taken.
    pub(crate) adds_replica: bool,
}

/// The points in time by which an attempt should be answered.
#[derive(Clone, Debug)]
pub(crate) struct AttemptDeadlines {
    /// The deadline that it was admitted for.
    pub(crate) target: Time,
    /// An answer after this point in time is late.
    pub(crate) latency_objective: Time,
}

/// This front end's attempts at the worker when an attempt was sent, itself included.
#[derive(Clone, Debug)]
pub(crate) struct OwnConcurrency {
    /// Those of all functions.
    pub(crate) total: f64,
    /// Those of the same function.
    pub(crate) of_function: f64,
}

/// An attempt that has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) function: FunctionId,
    pub(crate) class: usize,
    pub(crate) sent_at: Time,
    pub(crate) expected: Expectation,
    pub(crate) deadlines: AttemptDeadlines,
    pub(crate) concurrency: OwnConcurrency,
    /// It was cancelled, but its work may continue.
    pub(crate) cancelled: bool,
}

impl Attempt {
    /// Whether it was admitted after its latency objective.
    pub(crate) fn is_late(&self) -> bool {
        self.deadlines.target > self.deadlines.latency_objective
    }

    /// Whether it may wait for a load.
    pub(crate) fn may_load(&self) -> bool {
        let expected = &self.expected;
        expected.cold_start || expected.unconfirmed || expected.adds_replica
    }
}

/// This front end's attempts in flight at one worker, in the order in which they were sent.
#[derive(Debug, Default)]
pub(crate) struct AttemptQueue(Vec<Attempt>);

impl AttemptQueue {
    /// Adds an attempt that is sent now.
    pub(crate) fn push(&mut self, attempt: Attempt) {
        self.0.push(attempt);
    }

    /// Removes and returns an ended attempt; `None` if it is not known.
    ///
    /// Cancelled work may continue unseen: such an attempt stays until its expected finish, so that
    /// the replay counts it.
    pub(crate) fn finish(&mut self, end: &AttemptFinished, now: Time) -> Option<Attempt> {
        let position = self
            .0
            .iter()
            .position(|a| a.id.request == end.request && a.id.number == end.attempt)?;
        let attempt = &mut self.0[position];
        if end.outcome == Outcome::Cancelled && attempt.expected.finish > now {
            attempt.cancelled = true;
            return Some(attempt.clone());
        }
        Some(self.0.remove(position))
    }

    /// Forgets the cancelled attempts whose expected finish has passed.
    pub(crate) fn forget_cancelled(&mut self, now: Time) {
        self.0
            .retain(|attempt| !attempt.cancelled || attempt.expected.finish > now);
    }

    /// All attempts, the oldest first.
    pub(crate) fn as_slice(&self) -> &[Attempt] {
        &self.0
    }

    /// All attempts, the oldest first.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, Attempt> {
        self.0.iter()
    }

    /// The attempts of a function.
    pub(crate) fn of_function(&self, function: FunctionId) -> impl Iterator<Item = &Attempt> {
        self.0
            .iter()
            .filter(move |attempt| attempt.function == function)
    }

    /// How many attempts are in flight.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no attempt is in flight.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
