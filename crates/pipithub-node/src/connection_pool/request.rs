//! What is asked of a worker, and how it may end without an answer.

use bytes::Bytes;
use pipithub_engine::policy::{FunctionId, WorkerId};
use pipithub_engine::{AttemptId, Time};
use pipithub_platform::worker::RunRequest;

/// A call with less left is not sent: workers are told whole milliseconds.
const MIN_TIMEOUT: Time = 1_000_000;

/// What is asked of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// To run a call.
    Attempt(AttemptId),
    /// To load replicas of a function.
    LoadFunction(FunctionId),
    /// To report its load.
    PollLoad,
    /// To evict idle replicas of a function; no answer comes.
    EvictFunction,
}

/// What is written for a request.
#[derive(Clone, Debug)]
pub enum Payload {
    /// The same line whenever it is written.
    Line(Bytes),
    /// A run: its line states the time that is left when it is put on a connection.
    Run(RunRequest),
}

impl From<Bytes> for Payload {
    fn from(line: Bytes) -> Self {
        Payload::Line(line)
    }
}

/// Something asked of a worker that has not ended.
#[derive(Clone, Debug)]
pub struct WorkerRequest {
    /// What.
    pub kind: RequestKind,
    /// What the answer will name: the call, or a tag.
    pub reference: String,
    /// What is written for it.
    pub payload: Payload,
    /// When it was asked for.
    pub began: Time,
    /// It ends as timed out by then.
    pub deadline: Time,
    pub(super) rewrites: u32,
    /// Nobody waits for it any more: it must not be written again.
    pub(super) abandoned: bool,
}

impl WorkerRequest {
    /// A request that has not been tried.
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

    /// The line to write now; `None` where too little time is left for any.
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

/// How a request ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The worker could not be reached, or the request never arrived whole: it did not run.
    Unreachable,
    /// It never left, because of a fault on this machine or because nobody waited for it: it did not run, and the
    /// worker is not at fault.
    NeverSent,
    /// Its connection broke: it may have run.
    ConnectionLost,
    /// What came back cannot be read: the worker is there, and it may have run.
    Malformed,
    /// No answer in time: it may have run.
    TimedOut,
}

/// A request that ended without an answer.
#[derive(Clone, Debug)]
pub struct FailedRequest {
    /// The worker that it was for.
    pub worker: WorkerId,
    /// What was asked.
    pub request: WorkerRequest,
    /// How it ended.
    pub failure: SendFailure,
}

/// A request that was withdrawn.
#[derive(Clone, Debug)]
pub struct CancelledRequest {
    /// What was asked.
    pub request: WorkerRequest,
    /// It is certain that it did not arrive whole.
    pub not_sent: bool,
}

/// A request that a worker has answered.
#[derive(Clone, Debug)]
pub struct AnsweredRequest {
    /// The worker.
    pub worker: WorkerId,
    /// What was asked.
    pub request: WorkerRequest,
}
