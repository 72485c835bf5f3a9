//! What is asked of a worker, and how it may end without an answer.

use bytes::Bytes;
use pipithub_engine::policy::FunctionId;
use pipithub_engine::{AttemptId, Time};
use pipithub_platform::worker::RunRequest;

/// A call with less left is not sent: workers are told whole milliseconds.
const LEAST_PATIENCE: Time = 1_000_000;

/// What is asked of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// To run a call.
    Attempt(AttemptId),
    /// To hold copies.
    Order(FunctionId),
    /// To tell its load.
    Probe,
    /// To unload copies; no answer comes.
    Drop,
}

/// What is written for a job.
#[derive(Clone, Debug)]
pub enum Request {
    /// The same line whenever it is written.
    Line(Bytes),
    /// A run: its line states the time that is left when it is put on a connection.
    Run(RunRequest),
}

impl From<Bytes> for Request {
    fn from(line: Bytes) -> Self {
        Request::Line(line)
    }
}

/// Something asked of a worker that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// What.
    pub task: Task,
    /// What the answer will name: the call, or a tag.
    pub reference: String,
    /// What is written for it.
    pub request: Request,
    /// When it was asked for.
    pub began: Time,
    /// It ends as timed out by then.
    pub deadline: Time,
    pub(super) rewrites: u32,
    /// Nobody waits for it any more: it must not be written again.
    pub(super) abandoned: bool,
}

impl Job {
    /// A job that has not been tried.
    pub fn new(
        task: Task,
        reference: String,
        request: impl Into<Request>,
        began: Time,
        deadline: Time,
    ) -> Self {
        Job {
            task,
            reference,
            request: request.into(),
            began,
            deadline,
            rewrites: 0,
            abandoned: false,
        }
    }

    /// The line to write now; `None` where too little time is left for any.
    pub(super) fn line(&self, now: Time) -> Option<Bytes> {
        let left = self.deadline.saturating_sub(now);
        match &self.request {
            Request::Line(line) => Some(line.clone()).filter(|_| left > 0),
            Request::Run(run) => Some(run)
                .filter(|_| left >= LEAST_PATIENCE)
                .map(|run| run.line(left)),
        }
    }
}

/// How a job ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// The worker could not be reached, or the job never arrived whole: it did not run.
    NotSent,
    /// It never left, for reasons of this front end's own: it did not run, and the worker is not to blame.
    Unsent,
    /// Its connection broke: it may have run.
    Broken,
    /// What came back cannot be read: the worker is there, and it may have run.
    Spoilt,
    /// No answer in time: it may have run.
    TimedOut,
}
