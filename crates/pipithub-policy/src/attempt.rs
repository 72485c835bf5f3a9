//! Attempts in flight: what was expected when each was sent, and the queue of a worker.

use crate::api::{AttemptFinished, FunctionId, Outcome, RequestId, Time};

/// Identifies an attempt among those of all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    /// The number of the attempt among those of the request, from 0.
    pub(crate) number: u32,
}

/// What was expected of an attempt when it was sent.
#[derive(Clone, Debug)]
pub(crate) struct Expectation {
    /// The run time at a slowdown of 1, without a load, in nanoseconds.
    pub(crate) run_time: f64,
    /// When the answer was expected, including any load.
    pub(crate) finish: Time,
    /// The attempt was expected to wait for a load.
    pub(crate) cold_start: bool,
    /// The replica had not been confirmed by an answer or the reply to a load command.
    pub(crate) unconfirmed: bool,
    /// All of the replicas' concurrency was in use, so that the worker may add a replica.
    pub(crate) adds_replica: bool,
}

/// The points in time by which an attempt should be answered.
#[derive(Clone, Debug)]
pub(crate) struct AttemptDeadlines {
    /// The deadline for which the attempt was admitted.
    pub(crate) target: Time,
    /// An answer after this point in time is late.
    pub(crate) latency_objective: Time,
}

/// The number of this front end's attempts at the worker when an attempt was sent, including it.
#[derive(Clone, Debug)]
pub(crate) struct OwnConcurrency {
    /// The attempts of all functions.
    pub(crate) total: f64,
    /// The attempts of the same function.
    pub(crate) of_function: f64,
}

/// An attempt that has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) function: FunctionId,
    pub(crate) class: usize,
    pub(crate) sent_at: Time,
    /// The zone and the cell of the worker when the attempt was sent.
    pub(crate) zone: String,
    pub(crate) cell: u64,
    pub(crate) expected: Expectation,
    pub(crate) deadlines: AttemptDeadlines,
    pub(crate) concurrency: OwnConcurrency,
    /// The attempt was cancelled, but its work may continue.
    pub(crate) cancelled: bool,
}

impl Attempt {
    /// Whether the attempt was admitted for a deadline after its latency objective.
    pub(crate) fn is_late(&self) -> bool {
        self.deadlines.target > self.deadlines.latency_objective
    }

    /// Whether the attempt may cause or await a load.
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

    /// Returns an ended attempt and removes it from the queue; `None` if it is not known.
    ///
    /// The work of a cancelled attempt may continue at the worker: such an attempt stays in the queue
    /// until its expected finish, so that the replay counts it.
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

    /// The number of attempts in the queue.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
