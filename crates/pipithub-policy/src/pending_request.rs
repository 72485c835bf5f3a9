//! Requests that have no final answer yet.

use crate::api::{Outcome, Request, Time, WorkerId};
use crate::load_polls::RequestPolls;
use crate::service_lease::RequestChecks;

/// A request that has no final answer yet.
#[derive(Debug, Default)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    /// An answer after this point in time is late.
    pub(crate) latency_objective: Time,
    /// When the client gives up.
    pub(crate) deadline: Time,
    pub(crate) attempts: RequestAttempts,
    pub(crate) polls: RequestPolls,
    pub(crate) checks: RequestChecks,
    /// The answer is being streamed.
    pub(crate) streaming: bool,
    /// The request waits, unsent, for the reply to a load command.
    pub(crate) awaits_load: bool,
}

/// When and where an attempt that may have run was sent.
#[derive(Debug, Default)]
pub(crate) struct PossibleExecution {
    pub(crate) sent_at: Time,
    pub(crate) zone: String,
    pub(crate) cell: u64,
}

/// The attempts of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestAttempts {
    /// The number of attempts that were sent.
    count: u32,
    /// The last attempt has not ended.
    in_flight: bool,
    /// The first attempt that may have run.
    possible_execution: Option<PossibleExecution>,
    /// The workers that get no further attempt.
    excluded_workers: Vec<WorkerId>,
}

impl RequestAttempts {
    /// How many attempts were sent, which is also the number of the next attempt.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// The number of the attempt that has not ended; `None` if there is none.
    pub(crate) fn in_flight(&self) -> Option<u32> {
        self.in_flight.then(|| self.count - 1)
    }

    /// The first attempt that may have run; `None` if no ended attempt can have run.
    pub(crate) fn possible_execution(&self) -> Option<&PossibleExecution> {
        self.possible_execution.as_ref()
    }

    /// Whether it is certain that no attempt has run or will run.
    pub(crate) fn never_ran(&self) -> bool {
        self.possible_execution.is_none() && !self.in_flight
    }

    /// Whether a worker gets no further attempt.
    pub(crate) fn excludes(&self, worker: &WorkerId) -> bool {
        self.excluded_workers.contains(worker)
    }

    /// Records that an attempt is sent to a worker.
    pub(crate) fn begin(&mut self, worker: WorkerId) {
        self.count += 1;
        self.in_flight = true;
        self.excluded_workers.push(worker);
    }

    /// Records the end of the attempt in flight. `execution` states when and where it was sent; with
    /// `None`, which means that this is no longer known, the deduplication window counts as over.
    pub(crate) fn end(&mut self, outcome: Outcome, execution: Option<PossibleExecution>) {
        self.in_flight = false;
        if outcome == Outcome::NotLoaded {
            // The worker is healthy and only lacks the replica: a command may still load it.
            self.readmit_last_worker();
        }
        if !outcome.never_ran() && self.possible_execution.is_none() {
            self.possible_execution = Some(execution.unwrap_or_default());
        }
    }

    /// Excludes a worker that was sent a load command instead of an attempt.
    pub(crate) fn exclude(&mut self, worker: WorkerId) {
        self.excluded_workers.push(worker);
    }

    /// Ends the exclusion of the worker that was excluded last.
    pub(crate) fn readmit_last_worker(&mut self) {
        self.excluded_workers.pop();
    }
}
