//! Inputs of an engine.

use std::sync::Arc;

use pipithub_policy::api::{
    Endpoint, EndpointListContact, EndpointUpdate, Event, FunctionId, HealthChecked, LoadFinished,
    LoadReport, Outcome, ReplicaStatus, Time, WorkerId,
};

use crate::call::{AttemptId, SourceId, Tenant, Ticket, Trigger};
use crate::reply::{Cause, Served};

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The attempt that ended.
    pub id: AttemptId,
    /// The way in which the attempt ended.
    pub outcome: Outcome,
    /// The time from the start of the attempt to its end, in nanoseconds.
    pub elapsed: Time,
    /// The state in which the attempt found the replica; `None` if the worker does not report it.
    pub replica_status: Option<ReplicaStatus>,
    /// The number of calls of the same function that were in flight at the worker; `None` if it does not report it.
    pub function_concurrency: Option<u32>,
    /// The load report that came with the answer; fields that the worker does not report are `None`.
    pub load_report: LoadReport,
    /// The answer of the worker; given only with [`Outcome::Served`].
    pub served: Option<Served>,
}

/// The result of a poll of a worker's load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPollResult {
    /// The worker that was polled.
    pub worker: WorkerId,
    /// Whether the worker answered the poll.
    pub answered: bool,
    /// The load report in the worker's answer.
    pub load_report: LoadReport,
}

/// The result of a load command.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCommandResult {
    /// The worker that was given the command.
    pub worker: WorkerId,
    /// The function that was to be loaded.
    pub function: FunctionId,
    /// The way in which the command ended; with [`Outcome::Served`] the replicas are loaded.
    pub outcome: Outcome,
    /// The time from the start of the command to its end, in nanoseconds.
    pub elapsed: Time,
    /// The number of replicas that are loaded now.
    pub replicas: u32,
}

/// A user, as listed in the directory of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantUser {
    /// The tenant that the user belongs to.
    pub tenant: Tenant,
    /// Distinguishes the user from other persons with the same user name; 0 if that is not known.
    pub person: u64,
}

/// An input of the engine: something that has happened since the last input.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Only time has passed. Timers that are due expire, as they do before every other input.
    Tick,
    /// A call arrived that is to run.
    Trigger(Trigger),
    /// The source of a ticket is about to lose its connection while it waits for the confirmation that the answer is safe.
    /// It may be safe or not. [`SourceLost`](Self::SourceLost) follows.
    AnswerUnconfirmed(Ticket),
    /// A source lost its connection. Its pending tickets are void, and their messages may be redelivered.
    SourceLost(SourceId),
    /// The answer to a ticket is safe at its source, so the request can be removed.
    Settled(Ticket),
    /// The client of a ticket has left. It gets no answer, and the attempts for it are cancelled.
    CallerCancelled(Ticket),
    /// An attempt has its result. Every [`Output::Forward`](crate::Output::Forward) gets exactly one.
    AttemptFinished(AttemptResult),
    /// A poll of a worker's load has its result. Every [`Output::PollLoad`](crate::Output::PollLoad) gets exactly one.
    LoadPolled(LoadPollResult),
    /// A load command has its result. Every [`Output::LoadFunction`](crate::Output::LoadFunction) gets exactly one.
    LoadCommandFinished(LoadCommandResult),
    /// The front end began to follow the endpoint list, or the source of the list gave a sign of life.
    EndpointListContact(EndpointListContact),
    /// A health check of a worker has its result. Every [`Output::CheckHealth`](crate::Output::CheckHealth) gets
    /// exactly one.
    HealthChecked(HealthChecked),
    /// A worker has closed or reset a connection on which nothing was in flight.
    WorkerDisconnected(WorkerId),
    /// The endpoint list changed.
    Endpoints {
        /// Whether the endpoints are the complete list or a change to it.
        update: EndpointUpdate,
        /// The endpoints that the update names.
        endpoints: Vec<Endpoint>,
    },
    /// A call arrived that must not run. It gets one final answer like any other call. A redelivered message is still
    /// handled as a redelivery: it joins the pending request of its message, and fails if the call may have run
    /// elsewhere and must not run again.
    Reject {
        /// The trigger of the call.
        trigger: Trigger,
        /// The cause that the answer gives.
        cause: Cause,
        /// How long the client should wait before it retries, in nanoseconds; `None` if the answer does not say.
        retry_after: Option<Time>,
    },
    /// A user name now belongs to another tenant or another person. The pending requests of the former user end now.
    UserMigrated {
        /// The name of the user.
        user: Arc<str>,
        /// The user who has the name now; `None` if the name no longer belongs to exactly one tenant.
        successor: Option<TenantUser>,
    },
    /// Graceful shutdown begins: new calls are rejected from now on, and pending requests are finished.
    Drain,
    /// Graceful shutdown ends, because the process may be killed soon: all pending requests are answered now, and new
    /// calls are rejected.
    AnswerAll,
}

impl From<LoadPollResult> for Event {
    fn from(result: LoadPollResult) -> Self {
        Event::LoadPolled {
            worker: result.worker,
            answered: result.answered,
            report: result.load_report,
        }
    }
}

impl From<LoadCommandResult> for Event {
    fn from(result: LoadCommandResult) -> Self {
        Event::LoadFinished(LoadFinished {
            worker: result.worker,
            function: result.function,
            outcome: result.outcome,
            elapsed: result.elapsed,
            replicas: result.replicas,
        })
    }
}
