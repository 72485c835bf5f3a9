//! Final answers.

use std::sync::Arc;

use bytes::Bytes;
use pipithub_policy::api::{Outcome, Time, WorkerId};

/// The kind of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// A worker answered.
    Served,
    /// The call did not run; a retry is harmless.
    Rejected,
    /// Nothing is promised: the call may have run.
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
    /// No worker could meet the deadline; the call was never forwarded.
    NoWorkerInTime,
    /// Attempts were made, and none was served in time.
    AttemptsEnded,
    /// The client's timeout had passed when the call arrived.
    TooLate,
    /// The message was redelivered and may have run before, where it must not run twice.
    MayHaveRunBefore,
    /// The message was redelivered more often than is allowed.
    TooManyDeliveries,
    /// The front end has as many pending requests, or as large ones, as it may have.
    AtCapacity,
    /// The front end is shutting down.
    Draining,
    /// The call does not name its user.
    NoUser,
    /// No directory could tell in time which tenant the user belongs to.
    UserUnknown,
    /// The user belongs to no tenant.
    NoTenant,
    /// More than one tenant claims the user.
    AmbiguousTenant,
    /// The function or the route belongs to another tenant.
    OtherTenant,
    /// The user migrated to another tenant while the call was pending.
    UserMigrated,
    /// The tenant uses all of its quota.
    OverQuota,
    /// The tenant calls more often than it may.
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

/// An answer as a worker gave it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Served {
    /// The worker's status: 200 if the call ran, another if the worker reports a fault of the call itself.
    pub status: u16,
    /// MIME type of the body.
    pub content_type: Option<Arc<str>>,
    /// The answer.
    pub body: Bytes,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Its kind.
    pub verdict: Verdict,
    /// Why.
    pub cause: Cause,
    /// How long the caller should wait before it retries; with rejections alone.
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

    /// The answer of a request that is ended before its attempts are: rejected if none was made, for then a retry is
    /// harmless, else failed.
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
