//! What an engine is told.

use std::sync::Arc;

use pipithub_policy::api::{
    Endpoint, EndpointUpdate, Event, FunctionId, LoadFinished, LoadReport, Outcome, ReplicaStatus,
    Time, WorkerId,
};

use crate::call::{AttemptId, SourceId, Tenant, Ticket, Trigger};
use crate::reply::{Cause, Served};

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The attempt.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Time,
    /// The state in which it found the replica, where the worker reports it.
    pub replica_status: Option<ReplicaStatus>,
    /// Calls of the same function that were in flight at the worker, where it reports them.
    pub function_concurrency: Option<u32>,
    /// The worker's load report.
    pub load_report: LoadReport,
    /// The answer; with [`Outcome::Served`] alone.
    pub served: Option<Served>,
}

/// How a poll of a worker's load ended.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPollResult {
    /// The worker.
    pub worker: WorkerId,
    /// It answered.
    pub answered: bool,
    /// Its load report.
    pub load_report: LoadReport,
}

/// How a load command ended.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCommandResult {
    /// The worker.
    pub worker: WorkerId,
    /// The function.
    pub function: FunctionId,
    /// [`Outcome::Served`]: the replicas are loaded.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Time,
    /// Replicas that are loaded.
    pub replicas: u32,
}

/// A user as a tenant's directory knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantUser {
    /// The tenant.
    pub tenant: Tenant,
    /// Tells the user from another person of the same name; 0 if it is not known.
    pub person: u64,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Only time has passed: what is due is done. Every other input does this too.
    Tick,
    /// A call arrived.
    Trigger(Trigger),
    /// A source lost its connection: its pending tickets are void, and their messages may be redelivered.
    SourceLost(SourceId),
    /// An answer is safe at its source.
    Settled(Ticket),
    /// A caller has left or ceased to wait: no answer is owed, and what runs for it is cancelled.
    CallerCancelled(Ticket),
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// A poll of a worker's load ended.
    LoadPolled(LoadPollResult),
    /// A load command ended.
    LoadCommandFinished(LoadCommandResult),
    /// The endpoint list changed.
    Endpoints {
        /// What the update covers.
        update: EndpointUpdate,
        /// The endpoints in it.
        endpoints: Vec<Endpoint>,
    },
    /// A call arrived that is not to run: it gets one final answer like any other, unless its message is known already.
    Reject {
        /// The call.
        trigger: Trigger,
        /// Why it is not to run.
        cause: Cause,
        /// How long the caller should wait before it retries.
        retry_after: Option<Time>,
    },
    /// A user now belongs to another tenant, or is another person: what is pending for the user as they were ends now.
    UserMigrated {
        /// The user's name.
        user: Arc<str>,
        /// Who bears the name now; `None`: nobody.
        now: Option<TenantUser>,
    },
    /// Accept nothing new from now on; what is pending is finished.
    Drain,
    /// The process may be killed soon: all that is pending is answered now, and nothing new is accepted.
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
