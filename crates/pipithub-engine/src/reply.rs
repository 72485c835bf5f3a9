//! Final answers.

use std::sync::Arc;

use bytes::Bytes;
use pipithub_policy::api::{Outcome, Time, WorkerId};

/// The kind of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// A worker ran the call and answered.
    Served,
    /// The call did not run, so a retry is harmless.
    Rejected,
    /// There is no answer, and the call may have run.
    Failed,
}

impl Verdict {
    /// The name of the verdict in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Served => "served",
            Verdict::Rejected => "refused",
            Verdict::Failed => "failed",
        }
    }
}

/// The reason for the verdict of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// A worker ran the call and answered.
    Answered,
    /// No worker could meet the deadline; the call was never forwarded.
    NoWorkerInTime,
    /// Attempts were made, and none of them was served in time.
    AttemptsEnded,
    /// The client's timeout had passed when the call arrived.
    TooLate,
    /// The message was redelivered, its call may have run before, and the call must not run twice.
    MayHaveRunBefore,
    /// The message was redelivered more often than is allowed.
    TooManyDeliveries,
    /// The front end has reached its limit on the number or the size of pending requests.
    AtCapacity,
    /// The front end is shutting down.
    Draining,
    /// The call does not state its user.
    NoUser,
    /// No directory stated in time which tenant the user belongs to.
    UserUnknown,
    /// The user belongs to no tenant.
    NoTenant,
    /// More than one tenant claims the user.
    AmbiguousTenant,
    /// The function or the route belongs to another tenant.
    OtherTenant,
    /// The user migrated to another tenant while the call was pending.
    UserMigrated,
    /// The tenant has used up its quota.
    OverQuota,
    /// The tenant exceeds its rate limit.
    OverRate,
    /// Front ends are changing the form in which they send idempotency keys, so that the call could run twice now.
    KeysChanging,
}

impl Cause {
    /// The name of the cause in answers, logs and metrics.
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
            Cause::KeysChanging => "keys-changing",
        }
    }
}

/// The answer of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Served {
    /// The HTTP status of the answer: 200 if the call succeeded, another if the worker reports a fault of the call
    /// itself.
    pub status: u16,
    /// The MIME type of the body; `None` if the worker states none.
    pub content_type: Option<Arc<str>>,
    /// The body of the answer, unchanged.
    pub body: Bytes,
}

/// The final answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Whether the call was served, rejected or failed.
    pub verdict: Verdict,
    /// The reason for the verdict.
    pub cause: Cause,
    /// How long the client should wait before it retries, in nanoseconds. Only rejections state it; `None` leaves it to
    /// the client.
    pub retry_after: Option<Time>,
    /// The number of attempts made before the answer.
    pub attempts: u32,
    /// The outcome of the last attempt that ended; `None` if none did.
    pub last_outcome: Option<Outcome>,
    /// The worker of the last attempt that ended; `None` if none did.
    pub worker: Option<WorkerId>,
    /// The answer of the worker; given only with [`Verdict::Served`].
    pub served: Option<Served>,
}

/// The part of a [`Reply`] that does not depend on the attempts made.
#[derive(Debug)]
pub(crate) struct FinalAnswer {
    pub(crate) verdict: Verdict,
    pub(crate) cause: Cause,
    pub(crate) retry_after: Option<Time>,
    pub(crate) served: Option<Served>,
}

impl FinalAnswer {
    pub(crate) fn served(served: Option<Served>) -> Self {
        FinalAnswer {
            served,
            ..Self::without_body(Verdict::Served, Cause::Answered)
        }
    }

    pub(crate) fn rejected(cause: Cause) -> Self {
        Self::without_body(Verdict::Rejected, cause)
    }

    pub(crate) fn rejected_with_retry_after(cause: Cause, retry_after: Option<Time>) -> Self {
        FinalAnswer {
            retry_after,
            ..Self::rejected(cause)
        }
    }

    pub(crate) fn failed(cause: Cause) -> Self {
        Self::without_body(Verdict::Failed, cause)
    }

    /// The answer of a request that ends before its attempts do. It is rejected if no attempt was made, because a retry
    /// is harmless then, and failed otherwise.
    pub(crate) fn interrupted(attempts: u32, cause: Cause) -> Self {
        if attempts == 0 {
            Self::rejected(cause)
        } else {
            Self::failed(cause)
        }
    }

    fn without_body(verdict: Verdict, cause: Cause) -> Self {
        FinalAnswer {
            verdict,
            cause,
            retry_after: None,
            served: None,
        }
    }
}
