//! What goes into the engine and what comes out, as plain types.

use std::sync::Arc;

use bytes::Bytes;
use pipithub_policy::api::{
    Endpoint, EndpointUpdate, FunctionId, LoadReport, Outcome, ReplicaStatus, RequestId, Time,
    WorkerId,
};

/// A source of triggers: a queue at one broker, a timer table, or whatever hands in calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u32);

/// What a source needs to settle a trigger; never used twice by one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The source.
    pub source: SourceId,
    /// Its own number for the trigger.
    pub number: u64,
}

/// The id under which the module knows a function: the same at every front end, on every machine.
pub fn function_id(name: &str) -> FunctionId {
    // FNV-1a with a finishing mix. Two names that meet share a place in the hash order and their averages; the
    // calls themselves always carry their own name.
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    FunctionId(mixed ^ (mixed >> 32))
}

/// A tenant, by its place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tenant(pub u16);

/// A call as its trigger states it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// The function or model to run.
    pub function: Arc<str>,
    /// Its class, as an index into the settings.
    pub class: usize,
    /// What is left of the client's time; `None`: as long as the class gives.
    pub timeout: Option<Time>,
    /// For how long the message has surely waited already: its class's time began then. [`Call::timeout`] is net of it.
    pub waited: Time,
    /// For how long the message may have existed at the most, where its source tells.
    pub age: Option<Time>,
    /// The work it is expected to take, where told.
    pub expected_work: Option<Time>,
    /// Memory of one loaded copy, in MB.
    pub memory_mb: f64,
    /// Calls that one copy runs at a time.
    pub replica_concurrency: u32,
    /// The usual time of a load, where told.
    pub load_time: Option<Time>,
    /// Names the call to workers and in logs; the message's own id, where it has one.
    pub label: Option<Arc<str>>,
    /// Under which workers drop repeats.
    pub idempotency_key: Option<Arc<str>>,
    /// MIME type of the body.
    pub content_type: Option<Arc<str>>,
    /// Handed to the worker as it is.
    pub body: Bytes,
    /// The tenant whose call it is; `None`: nobody's, where functions belong to nobody either.
    pub tenant: Option<Tenant>,
    /// The user who made it, where one did.
    pub user: Option<Arc<str>>,
    /// Tells that user from another person of the same name; 0: not known.
    pub person: u64,
}

/// A call that has come in.
#[derive(Clone, Debug, PartialEq)]
pub struct Trigger {
    /// How to settle it.
    pub ticket: Ticket,
    /// Names the message beyond this delivery, where its source can: equal for each delivery of it.
    pub identity: Option<Arc<str>>,
    /// It may have been delivered before, here or elsewhere.
    pub redelivered: bool,
    /// How often it came before, where the source counts.
    pub deliveries: u32,
    /// The call.
    pub call: Call,
}

/// Names one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The engine's number of the request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub number: u32,
}

/// An answer as a worker gave it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Served {
    /// The worker's status; 200 where it ran, another where it told the caller of a fault of the call's own.
    pub status: u16,
    /// MIME type of the body.
    pub content_type: Option<Arc<str>>,
    /// The answer.
    pub body: Bytes,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The attempt.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Time,
    /// What it met there, where told.
    pub replica_status: Option<ReplicaStatus>,
    /// Calls of the function that the worker held, where told.
    pub function_concurrency: Option<u32>,
    /// The worker's report.
    pub load_report: LoadReport,
    /// The answer; with [`Outcome::Served`] alone.
    pub served: Option<Served>,
}

/// How a probe ended.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPollResult {
    /// The worker.
    pub worker: WorkerId,
    /// It answered.
    pub answered: bool,
    /// Its report.
    pub load_report: LoadReport,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCommandResult {
    /// The worker.
    pub worker: WorkerId,
    /// The function.
    pub function: FunctionId,
    /// [`Outcome::Served`]: the copies stand.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Time,
    /// Copies that stand loaded.
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
    /// A call came in.
    Trigger(Trigger),
    /// A source lost its connection: its open tickets are void, and what it delivered may come again.
    SourceLost(SourceId),
    /// An answer is safe at its source.
    Settled(Ticket),
    /// One caller has left or ceased to wait: no answer is owed, and what runs for it is withdrawn.
    CallerCancelled(Ticket),
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// A probe ended.
    LoadPolled(LoadPollResult),
    /// An order ended.
    LoadCommandFinished(LoadCommandResult),
    /// News of the workers.
    Endpoints {
        /// What it covers.
        update: EndpointUpdate,
        /// The workers in it.
        endpoints: Vec<Endpoint>,
    },
    /// A call came in that is not to run: it gets its one answer like any other, unless it is known already.
    Reject {
        /// The call.
        trigger: Trigger,
        /// Why.
        cause: Cause,
        /// How long the caller should stay away.
        retry_after: Option<Time>,
    },
    /// A user is not whose they were, or not who they were: what is open for the user as they were ends now.
    UserMigrated {
        /// The user.
        user: Arc<str>,
        /// Who bears the name now; `None`: nobody.
        now: Option<TenantUser>,
    },
    /// Take nothing new from now on; what is open is finished.
    Drain,
    /// The process may be killed soon: whatever has no answer gets one now, and nothing new is taken.
    AnswerAll,
}

/// The kind of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// A worker answered.
    Served,
    /// It did not run; another try is harmless.
    Rejected,
    /// Nothing is promised: it may have run.
    Failed,
}

impl Verdict {
    /// Its name in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Served => "served",
            Verdict::Rejected => "refused",
            Verdict::Failed => "failed",
        }
    }
}

/// Why a final answer is what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// A worker answered.
    Answered,
    /// No worker could have met its deadline; never sent.
    NoWorkerInTime,
    /// Attempts were made, none was served in time.
    AttemptsEnded,
    /// Its time was over when it came.
    TooLate,
    /// It came again and may have run before, where it must not run twice.
    MayHaveRunBefore,
    /// It came again more often than is allowed.
    TooManyDeliveries,
    /// As much is held already as may be.
    AtCapacity,
    /// The front end is being stopped.
    Draining,
    /// It does not say whose it is.
    NoUser,
    /// Nobody could say in time whose its user is.
    UserUnknown,
    /// Its user is no tenant's.
    NoTenant,
    /// More than one tenant claims its user.
    AmbiguousTenant,
    /// Its function or route is not its tenant's.
    OtherTenant,
    /// Its user moved while it was open.
    UserMigrated,
    /// Its tenant has as much as is its share.
    OverQuota,
    /// Its tenant calls more often than it may.
    OverRate,
}

impl Cause {
    /// Its name in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Answered => "answered",
            Cause::NoWorkerInTime => "no-worker-in-time",
            Cause::AttemptsEnded => "attempts-ended",
            Cause::TooLate => "too-late",
            Cause::MayHaveRunBefore => "may-have-run-before",
            Cause::TooManyDeliveries => "redelivered-too-often",
            Cause::AtCapacity => "no-room",
            Cause::Draining => "draining",
            Cause::NoUser => "no-user",
            Cause::UserUnknown => "user-unknown",
            Cause::NoTenant => "no-tenant",
            Cause::AmbiguousTenant => "claimed-twice",
            Cause::OtherTenant => "other-tenant",
            Cause::UserMigrated => "user-moved",
            Cause::OverQuota => "over-share",
            Cause::OverRate => "over-rate",
        }
    }
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Its kind.
    pub verdict: Verdict,
    /// Why.
    pub cause: Cause,
    /// How long the caller should stay away; with refusals alone.
    pub retry_after: Option<Time>,
    /// Attempts made.
    pub attempts: u32,
    /// How the last of them ended.
    pub last_outcome: Option<Outcome>,
    /// The worker of the last attempt.
    pub worker: Option<WorkerId>,
    /// What the worker answered; with [`Verdict::Served`] alone.
    pub served: Option<Served>,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Start an attempt; one [`Input::AttemptFinished`] is owed for it.
    Forward {
        /// Its id.
        id: AttemptId,
        /// Where to.
        worker: WorkerId,
        /// What to run.
        call: Arc<Call>,
        /// After this point on the caller's clock an answer is of no use: the attempt ends as timed out.
        deadline: Time,
    },
    /// Stop waiting for an attempt; its [`Input::AttemptFinished`] is owed still.
    Cancel(AttemptId),
    /// Have a worker hold copies; one [`Input::LoadCommandFinished`] is owed.
    LoadFunction {
        /// The worker.
        worker: WorkerId,
        /// The function's id and name.
        function: FunctionId,
        /// Its name.
        name: Arc<str>,
        /// Copies wanted; 0 only asks.
        replicas: u32,
    },
    /// Have a worker unload idle copies.
    EvictFunction {
        /// The worker.
        worker: WorkerId,
        /// The function's name.
        name: Arc<str>,
    },
    /// Ask a worker for its load; one [`Input::LoadPolled`] is owed.
    PollLoad(WorkerId),
    /// Give the final answer and settle the trigger, both or neither; [`Input::Settled`] or
    /// [`Input::SourceLost`] is owed.
    Answer {
        /// Whom.
        ticket: Ticket,
        /// What.
        reply: Arc<Reply>,
    },
    /// Settle a trigger that has had its answer before, without another.
    Forget(Ticket),
    /// The list of workers must be asked for.
    WatchEndpoints,
}
