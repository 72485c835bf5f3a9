//! Requests to workers, and how they may end.

use bytes::Bytes;
use pipithub_engine::policy::{FunctionId, WorkerId};
use pipithub_engine::{AttemptId, Time};
use pipithub_platform::worker::RunRequest;

/// A run with less time left is not sent: its line states the time in milliseconds.
const MIN_TIMEOUT: Time = 1_000_000;

/// What a worker is requested to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Run a call.
    Attempt(AttemptId),
    /// Load replicas of a function.
    LoadFunction(FunctionId),
    /// Report its load.
    PollLoad,
    /// Tell whether it is in service.
    CheckHealth,
    /// Evict idle replicas of a function. There is no answer to this.
    EvictFunction,
}

/// What is written on the connection for a request.
#[derive(Clone, Debug)]
pub enum Payload {
    /// A line that does not depend on the time.
    Line(Bytes),
    /// A run: its line states how much time is left when it is written.
    Run(RunRequest),
}

impl From<Bytes> for Payload {
    fn from(line: Bytes) -> Self {
        Payload::Line(line)
    }
}

/// A request to a worker that has not ended.
#[derive(Clone, Debug)]
pub struct WorkerRequest {
    /// What the worker is requested to do.
    pub kind: RequestKind,
    /// What the answer names: the name of the call, or a tag that is unique for other requests.
    pub reference: String,
    /// What is written on a connection for it.
    pub payload: Payload,
    /// When it was submitted.
    pub began: Time,
    /// It fails as timed out if there is no answer by this time.
    pub deadline: Time,
    /// How often it was written again after its connection ended.
    pub(super) rewrites: u32,
    /// Its answer is no longer awaited: it must not be written again.
    pub(super) abandoned: bool,
}

impl WorkerRequest {
    /// A request that was not sent yet.
    pub fn new(
        kind: RequestKind,
        reference: String,
        payload: impl Into<Payload>,
        began: Time,
        deadline: Time,
    ) -> Self {
        WorkerRequest {
            kind,
            reference,
            payload: payload.into(),
            began,
            deadline,
            rewrites: 0,
            abandoned: false,
        }
    }

    /// Whether it must not be written any more: it is new work, and the lease on its worker ends here.
    pub(super) fn has_lost_lease(&self, lease_end: Option<Time>, now: Time) -> bool {
        let is_new_work = matches!(
            self.kind,
            RequestKind::Attempt(_) | RequestKind::LoadFunction(_)
        );
        is_new_work && lease_end.is_some_and(|end| now >= end)
    }

    /// The line to write now; `None` if too little time is left.
    pub(super) fn line(&self, now: Time) -> Option<Bytes> {
        let left = self.deadline.saturating_sub(now);
        match &self.payload {
            Payload::Line(line) => Some(line.clone()).filter(|_| left > 0),
            Payload::Run(run) => Some(run)
                .filter(|_| left >= MIN_TIMEOUT)
                .map(|run| run.line(left)),
        }
    }
}

/// Why a request ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The worker could not be reached, or the request did not arrive completely: it did not run.
    Unreachable,
    /// It was not sent, because of a fault of this machine, because its answer was no longer awaited, or because the lease on
    /// its worker had ended: it did not run, and the worker is not at fault.
    NeverSent,
    /// Its connection ended after it was sent: it may have run.
    ConnectionLost,
    /// A malformed answer came on its connection: the worker is alive, and it may have run.
    Malformed,
    /// There was no answer before its deadline: it may have run.
    TimedOut,
}

/// A request that ended without an answer.
#[derive(Clone, Debug)]
pub struct FailedRequest {
    /// The worker to which it was submitted.
    pub worker: WorkerId,
    /// The request.
    pub request: WorkerRequest,
    /// Why it ended.
    pub failure: SendFailure,
}

/// A request that was cancelled.
#[derive(Clone, Debug)]
pub struct CancelledRequest {
    /// The request.
    pub request: WorkerRequest,
    /// Whether it is certain that it did not arrive completely.
    pub not_sent: bool,
}

/// A request that a worker has answered.
#[derive(Clone, Debug)]
pub struct AnsweredRequest {
    /// The worker that answered.
    pub worker: WorkerId,
    /// The request.
    pub request: WorkerRequest,
    /// When the connection was established on which the answer came.
    pub connected_at: Time,
}
