//! Outputs of an engine.

use std::sync::Arc;

use pipithub_policy::api::{FunctionId, Time, WorkerId};

use crate::call::{AttemptId, Call, Ticket};
use crate::reply::Reply;

/// An action that the engine's caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Start an attempt. Its result must be reported once, as [`AttemptFinished`](crate::Input::AttemptFinished).
    Forward {
        /// Identifies the attempt in its result.
        id: AttemptId,
        /// The worker that the call is forwarded to.
        worker: WorkerId,
        /// The call to run.
        call: Arc<Call>,
        /// The time at which the attempt must end as timed out, on the clock of [`handle`](crate::Engine::handle).
        deadline: Time,
        /// The time from which the call must not be written to the worker any more; `None` if there is no limit. An
        /// attempt that is not written completely before then ends as not sent.
        send_by: Option<Time>,
    },
    /// Cancel an attempt. Its result must still be reported, as [`AttemptFinished`](crate::Input::AttemptFinished).
    Cancel(AttemptId),
    /// Have a worker load replicas of a function. The result must be reported once, as
    /// [`LoadCommandFinished`](crate::Input::LoadCommandFinished).
    LoadFunction {
        /// The worker that is to load them.
        worker: WorkerId,
        /// The id of the function, for the result.
        function: FunctionId,
        /// The name under which workers know the function.
        name: Arc<str>,
        /// The number of replicas wanted; 0 only asks how many are loaded.
        replicas: u32,
        /// The time from which the command must not be written to the worker any more; `None` if there is no limit.
        send_by: Option<Time>,
    },
    /// Have a worker unload its idle replicas of a function.
    EvictFunction {
        /// The worker that is to unload them.
        worker: WorkerId,
        /// The name under which workers know the function.
        name: Arc<str>,
    },
    /// Poll the load of a worker. The result must be reported once, as [`LoadPolled`](crate::Input::LoadPolled).
    PollLoad(WorkerId),
    /// Check whether a worker is in service. The result must be reported once, as
    /// [`HealthChecked`](crate::Input::HealthChecked).
    CheckHealth(WorkerId),
    /// Deliver the final answer and settle the trigger, both or neither. Either [`Settled`](crate::Input::Settled) or
    /// [`SourceLost`](crate::Input::SourceLost) must follow.
    Answer {
        /// The ticket of the trigger to answer.
        ticket: Ticket,
        /// The final answer.
        reply: Arc<Reply>,
    },
    /// Start to watch the endpoint list. Its state must be reported as [`Endpoints`](crate::Input::Endpoints).
    WatchEndpoints,
}
