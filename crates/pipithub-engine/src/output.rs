//! What an engine asks for.

use std::sync::Arc;

use pipithub_policy::api::{FunctionId, Time, WorkerId};

use crate::call::{AttemptId, Call, Ticket};
use crate::reply::Reply;

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Start an attempt; one [`AttemptFinished`](crate::Input::AttemptFinished) is owed for it.
    Forward {
        /// The attempt.
        id: AttemptId,
        /// The worker that it goes to.
        worker: WorkerId,
        /// What to run.
        call: Arc<Call>,
        /// An answer is of no use after this time, by the caller's clock: the attempt ends as timed out.
        deadline: Time,
    },
    /// Stop waiting for an attempt; its [`AttemptFinished`](crate::Input::AttemptFinished) is owed still.
    Cancel(AttemptId),
    /// Have a worker load replicas; one [`LoadCommandFinished`](crate::Input::LoadCommandFinished) is owed.
    LoadFunction {
        /// The worker.
        worker: WorkerId,
        /// The function's id.
        function: FunctionId,
        /// The function's name.
        name: Arc<str>,
        /// Replicas wanted; 0 only asks how many there are.
        replicas: u32,
    },
    /// Have a worker unload its idle replicas of a function.
    EvictFunction {
        /// The worker.
        worker: WorkerId,
        /// The function's name.
        name: Arc<str>,
    },
    /// Ask a worker for its load; one [`LoadPolled`](crate::Input::LoadPolled) is owed.
    PollLoad(WorkerId),
    /// Give the final answer and settle the trigger, both or neither; [`Settled`](crate::Input::Settled) or
    /// [`SourceLost`](crate::Input::SourceLost) is owed.
    Answer {
        /// The trigger to answer.
        ticket: Ticket,
        /// The answer.
        reply: Arc<Reply>,
    },
    /// Settle a trigger that was answered before, without another answer.
    Forget(Ticket),
    /// Watch the endpoint list.
    WatchEndpoints,
}
