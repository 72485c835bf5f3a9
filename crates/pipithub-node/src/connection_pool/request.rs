//! Requests to workers, and how they may end.

use bytes::Bytes;
use pipithub_engine::policy::{FunctionId, WorkerId};
use pipithub_engine::{AttemptId, Time};
use pipithub_platform::worker::RunRequest;

/// A run with less time left than this, in nanoseconds, is not sent: its line states the time left in milliseconds.
const MIN_TIMEOUT: Time = 1_000_000;

/// What a worker is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Run a call.
    Attempt(AttemptId),
    /// Load replicas of a function.
    LoadFunction(FunctionId),
    /// Report the worker's load.
    PollLoad,
    /// Report whether the worker is in service.
    CheckHealth,
    /// Evict idle replicas of a function. Workers do not answer this.
    EvictFunction,
}

/// What is written on the connection for a request.
#[derive(Clone, Debug)]
pub enum Payload {
    /// A line that does not depend on the time.
    Line(Bytes),
    /// A run, whose line states how much time is left when the line is written.
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
    /// What the worker is asked to do.
    pub kind: RequestKind,
    /// The reference that the answer repeats: the call's name for an attempt, the function's name for an evict command,
    /// a unique tag for any other request.
    pub reference: String,
    /// What is written on a connection for the request.
    pub payload: Payload,
    /// When the request was submitted.
    pub began: Time,
    /// The request fails if there is no answer by this time.
    pub deadline: Time,
    /// The time from which the request must not be written any more; `None` if there is no limit but the deadline.
    send_by: Option<Time>,
    /// How often the request was queued again for another connection because it had not arrived completely.
    pub(super) rewrites: u32,
    /// Whether the answer is no longer awaited: the request must not be written again.
    pub(super) abandoned: bool,
}

impl WorkerRequest {
    /// Creates a request that has not been sent.
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
            send_by: None,
            rewrites: 0,
            abandoned: false,
        }
    }

    /// Sets the time from which the request must not be written any more; a request that is not written completely
    /// before then ends as never sent.
    #[must_use]
    pub fn send_by(self, send_by: Option<Time>) -> Self {
        WorkerRequest { send_by, ..self }
    }

    /// Whether a request of which nothing was written must not be written any more.
    pub(super) fn must_not_be_sent(&self, lease_end: Option<Time>, now: Time) -> bool {
        self.has_lost_lease(lease_end, now) || self.is_past_send_by(now)
    }

    /// Whether the time until which the request may be written is over.
    pub(super) fn is_past_send_by(&self, now: Time) -> bool {
        self.send_by.is_some_and(|send_by| now >= send_by)
    }

    /// Whether the request must not be written any more because it is new work and the lease on its worker has ended.
    fn has_lost_lease(&self, lease_end: Option<Time>, now: Time) -> bool {
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
    /// The worker could not be reached, or the request did not arrive completely: the request did not run.
    Unreachable,
    /// The request was not sent, because of a fault of this machine, because its answer was no longer awaited, because
    /// the lease on its worker had ended, or because the time until which it might be written was over: the request did
    /// not run, and the worker is not at fault.
    NeverSent,
    /// The connection ended after the request was sent: the request may have run.
    ConnectionLost,
    /// A malformed answer came on the request's connection: the worker is alive, and the request may have run.
    Malformed,
    /// There was no answer before the deadline: the request may have run.
    TimedOut,
    /// The worker was told to give the request up, or its connection was closed for that: the request may have run.
    Cancelled,
}

/// What became of the order to cancel an attempt.
#[derive(Clone, Debug)]
pub enum CancelResult {
    /// The attempt has ended: it was not sent, or the worker is told to give it up.
    Ended(Box<CancelledRequest>),
    /// The attempt is still out, as the worker has not been told to give it up. It ends when the worker has, with its
    /// answer, or with its connection.
    Pending,
    /// The attempt is neither waiting nor in flight.
    Unknown,
}

/// A request that ended without an answer.
#[derive(Clone, Debug)]
pub struct FailedRequest {
    /// The worker to which it was submitted.
    pub worker: WorkerId,
    /// The request.
    pub request: WorkerRequest,
    /// Why the request ended.
    pub failure: SendFailure,
}

/// A request that was cancelled.
#[derive(Clone, Debug)]
pub struct CancelledRequest {
    /// The request.
    pub request: WorkerRequest,
    /// Whether it is certain that the request did not arrive completely.
    pub not_sent: bool,
}

/// A request that a worker has answered.
#[derive(Clone, Debug)]
pub struct AnsweredRequest {
    /// The worker that answered.
    pub worker: WorkerId,
    /// The request.
    pub request: WorkerRequest,
    /// When the connection on which the answer came was established.
    pub connected_at: Time,
}
